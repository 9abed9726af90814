"""The table of all servers that discovery has listed, and how received lists are applied to it.

A long list is applied in batches, between which the event loop runs: first the servers that must no longer be
sent to, then the new and changed ones. Unchanged servers are not passed on to the policy.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable, Generator, Iterator

from calicomast import interface as api
from calicomast.net.clock import STARTED_LONG_AGO
from calicomast.net.server_list import Address, ServerEntry, ServerList, parse_address
from calicomast.rules import Verdict, may_apply_server_list

BATCH_SIZE = 100  # servers passed on to the policy at once; takes about a millisecond
COMPARISONS_PER_STEP = 1000  # servers compared at once; takes about a millisecond

log = logging.getLogger(__name__)


class ServerTable:
    """All listed servers that may receive requests or are draining, by id.

    Args:
        handle_event: passes an event to the policy.
        stop_sending: ends all sending to a server, and to the address that it had.
        local_start_time: converts a start time that discovery has just sent to this gateway's clock.
    """

    def __init__(
        self,
        handle_event: Callable[[api.Event], None],
        stop_sending: Callable[[str], None],
        local_start_time: Callable[[float], float] = lambda reported: reported,
    ) -> None:
        self.entries: dict[str, ServerEntry] = {}
        self.version = 0  # of the last list applied
        self._local_start_time = local_start_time
        # Start times of the servers that have one: as reported, and on this gateway's clock.
        self._start_times: dict[str, tuple[float, float]] = {}
        self._handle_event, self._stop_sending = handle_event, stop_sending

    def address_of(self, server_id: str) -> Address | None:
        """Returns the address of a server, or None if requests may not be sent to it."""
        entry = self.entries.get(server_id)
        if entry is None or not entry.address or entry.server.state != "up":
            return None
        return parse_address(entry.address)

    def is_available(self, server_id: str) -> bool:
        """Returns whether requests may be sent to a server."""
        entry = self.entries.get(server_id)
        return entry is not None and entry.server.state == "up" and bool(entry.address)

    def any_available(self) -> bool:
        """Returns whether there is a server that requests may be sent to."""
        return any(entry.address and entry.server.state == "up" for entry in self.entries.values())

    def validate(self, server_list: ServerList, source_superseded: bool = False) -> None:
        """Raises ValueError for a list that must not be applied; see may_apply_server_list."""
        verdict = may_apply_server_list(
            source_superseded=source_superseded,
            is_complete=server_list.mode == "full",
            is_empty=server_list.empty,
            is_newer=server_list.version > self.version,
            has_servers=bool(self.entries),
        )
        if verdict is not Verdict.ALLOWED:
            raise ValueError(verdict.value)

    def apply(self, server_list: ServerList) -> Iterator[None]:
        """Applies a list in batches, and yields between them so that others can run."""
        changed = yield from self._changed_entries(server_list)
        mode, first = server_list.mode, True
        # Servers that must no longer be sent to come first, as sending to them has to stop soon. Batches are
        # taken from the end of `changed`.
        changed.reverse()
        changed.sort(key=lambda entry: entry.server.state == "up", reverse=True)
        while changed or first:
            batch = [changed.pop() for _ in range(min(BATCH_SIZE, len(changed)))]
            self._apply_batch(batch, "cached" if mode == "cached" and first else "delta", server_list.version)
            first = False
            if changed:
                yield
        self.version = server_list.version

    def _changed_entries(self, server_list: ServerList) -> Generator[None, None, list[ServerEntry]]:
        """Returns the entries that differ from the table, and those that a whole list removes by omission."""
        entries = server_list.take_entries()
        changed, unknown = [], 0
        for number, entry in enumerate(entries):
            if number and number % COMPARISONS_PER_STEP == 0:
                yield
            held = self.entries.get(entry.server.id)
            if held == entry:
                continue
            unknown += held is None and entry.server.state != "up"
            changed.append(entry)
        if server_list.mode != "delta":
            changed += yield from self._omitted_entries(entries)
        if unknown and server_list.mode == "delta":
            log.warning("server list: %d servers that were never listed are draining or removed", unknown)
        return changed

    def _omitted_entries(self, entries: list[ServerEntry]) -> Generator[None, None, list[ServerEntry]]:
        """Returns the servers in the table that a whole list omits, as entries with state "down"."""
        if not self.entries:
            return []
        listed_ids = {entry.server.id for entry in entries}
        omitted = []
        for number, (server_id, entry) in enumerate(list(self.entries.items())):
            if number and number % COMPARISONS_PER_STEP == 0:
                yield
            if server_id not in listed_ids:
                omitted.append(ServerEntry(dataclasses.replace(entry.server, state="down"), ""))
        return omitted

    def _apply_batch(self, entries: list[ServerEntry], mode: str, version: int) -> None:
        """Stores available servers, passes the batch on to the policy, then stops sending to the others.

        In this order the policy knows that a server drains or is removed before the attempts there end, so it
        does not send them to the same server again.
        """
        for entry in entries:
            if entry.server.state == "up":
                self._store_available(entry)
        self._handle_event(
            api.ServerListUpdate(
                mode, version, tuple([self._with_local_start_time(entry.server) for entry in entries])
            )
        )
        for entry in entries:
            if entry.server.state != "up":
                self._store_unavailable(entry)

    def _with_local_start_time(self, server: api.Server) -> api.Server:
        """Returns the server with its start time on this gateway's clock, converted once for each start."""
        if server.started_at == STARTED_LONG_AGO:
            return server
        reported, started = self._start_times.get(server.id, (None, 0.0))
        if reported != server.started_at:
            started = self._local_start_time(server.started_at)
            self._start_times[server.id] = server.started_at, started
        if server.state == "down":
            del self._start_times[server.id]
        return dataclasses.replace(server, started_at=started)

    def _store_available(self, entry: ServerEntry) -> None:
        """Stores a server that may receive requests, and stops sending to an address that it has left."""
        held = self.entries.get(entry.server.id)
        if held is not None and not entry.address:  # the address is unchanged
            entry = ServerEntry(entry.server, held.address)
        self.entries[entry.server.id] = entry
        if held is not None and held.address != entry.address:
            # After the new address is stored: attempts that end now may lead to others at once.
            self._stop_sending(entry.server.id)

    def _store_unavailable(self, entry: ServerEntry) -> None:
        """Removes a server, or stores it as draining, and stops sending to it."""
        if entry.server.state == "down":
            self.entries.pop(entry.server.id, None)
        else:
            self.entries[entry.server.id] = entry
        self._stop_sending(entry.server.id)
