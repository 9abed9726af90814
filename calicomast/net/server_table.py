"""The servers that discovery has told of, held in a compact form, and how news of them are passed on.

A long list is taken over in slices, between which the loop goes on: what stops being sent to first, then what
is new or changed. What has not changed is not passed on.
"""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable, Generator, Iterator

from calicomast import interface as api
from calicomast.net.clock import STARTED_LONG_AGO
from calicomast.net.server_list import Address, ServerEntry, ServerList, parse_address
from calicomast.rules import Verdict, may_apply_list

SLICE = 100  # servers that are passed on at once; about a millisecond's work
COMPARED = 1000  # servers that are compared at once; about a millisecond's work

log = logging.getLogger(__name__)


class ServerTable:
    """All listed servers that may be sent to or drain, by id.

    Args:
        feed: hands an event to the decision module.
        stop: nothing more goes to this server, nor to the address that it had.
        started: gives a start that was just told on this gateway's clock.
    """

    def __init__(
        self,
        feed: Callable[[api.Event], None],
        stop: Callable[[str], None],
        started: Callable[[float], float] = lambda told: told,
    ) -> None:
        self.entries: dict[str, ServerEntry] = {}
        self._started = started
        self._starts: dict[str, tuple[float, float]] = {}  # of servers that told one: as told, on our clock
        self._feed, self._stop = feed, stop

    def address_of(self, server: str) -> Address | None:
        """Where a server listens; None where it is not to be sent to."""
        entry = self.entries.get(server)
        if entry is None or not entry.address or entry.server.state != "up":
            return None
        return parse_address(entry.address)

    def is_available(self, server: str) -> bool:
        """Whether a server is one that requests may be sent to."""
        entry = self.entries.get(server)
        return entry is not None and entry.server.state == "up" and bool(entry.address)

    def any_available(self) -> bool:
        """Whether there is a server that requests may be sent to."""
        return any(entry.address and entry.server.state == "up" for entry in self.entries.values())

    def validate(self, listing: ServerList, source_current: bool = True) -> None:
        """Raises ValueError for a list that may not be put in force. `source_current`: whether who told it is
        still the one to listen to."""
        verdict = may_apply_list(
            source_current=source_current,
            whole=listing.mode == "full",
            empty=listing.empty,
            some_held=bool(self.entries),
        )
        if verdict is not Verdict.ALLOWED:
            raise ValueError(verdict.value)

    def apply(self, listing: ServerList) -> Iterator[None]:
        """Takes a list over, slice by slice; gives way between slices."""
        changed = yield from self._changed(listing)
        mode, first = listing.mode, True
        # What stops comes first: sends to it have to end soon. They are taken from the end.
        changed.reverse()
        changed.sort(key=lambda entry: entry.server.state == "up", reverse=True)
        while changed or first:
            part = [changed.pop() for _ in range(min(SLICE, len(changed)))]
            self._apply_batch(part, "cached" if mode == "cached" and first else "delta", listing.version)
            first = False
            if changed:
                yield

    def _changed(self, listing: ServerList) -> Generator[None, None, list[ServerEntry]]:
        """Entries of the list that say something new, and those that a whole list leaves out as gone."""
        entries = listing.take_entries()
        changed, unknown = [], 0
        for number, entry in enumerate(entries):
            if number and number % COMPARED == 0:
                yield
            held = self.entries.get(entry.server.id)
            if held == entry:
                continue
            unknown += held is None and entry.server.state != "up"
            changed.append(entry)
        if listing.mode != "delta":
            changed += yield from self._left_out(entries)
        if unknown and listing.mode == "delta":
            log.warning("changes: %d servers that were never listed drain or are gone", unknown)
        return changed

    def _left_out(self, entries: list[ServerEntry]) -> Generator[None, None, list[ServerEntry]]:
        """Those held that a whole list does not name."""
        if not self.entries:
            return []
        named = {entry.server.id for entry in entries}
        gone = []
        for number, (name, entry) in enumerate(list(self.entries.items())):
            if number and number % COMPARED == 0:
                yield
            if name not in named:
                gone.append(ServerEntry(dataclasses.replace(entry.server, state="down"), ""))
        return gone

    def _apply_batch(self, entries: list[ServerEntry], mode: str, version: int) -> None:
        """The module hears of it between new servers and those that go: what ends with a server that goes is
        then not sent there once more."""
        for entry in entries:
            if entry.server.state == "up":
                self._hold(entry)
        self._feed(
            api.HostList(mode, version, tuple([self._on_our_clock(entry.server) for entry in entries]))
        )
        for entry in entries:
            if entry.server.state != "up":
                self._leave(entry)

    def _on_our_clock(self, host: api.Host) -> api.Host:
        """The server with its start on this gateway's clock, worked out once for each start."""
        if host.started == STARTED_LONG_AGO:
            return host
        told, started = self._starts.get(host.id, (None, 0.0))
        if told != host.started:
            started = self._started(host.started)
            self._starts[host.id] = host.started, started
        if host.state == "down":
            del self._starts[host.id]
        return dataclasses.replace(host, started=started)

    def _hold(self, entry: ServerEntry) -> None:
        held = self.entries.get(entry.server.id)
        if held is not None and not entry.address:  # it is where it was
            entry = ServerEntry(entry.server, held.address)
        elif held is not None and held.address != entry.address:
            self._stop(entry.server.id)
        self.entries[entry.server.id] = entry

    def _leave(self, entry: ServerEntry) -> None:
        if entry.server.state == "down":
            self.entries.pop(entry.server.id, None)
        else:
            self.entries[entry.server.id] = entry
        self._stop(entry.server.id)
