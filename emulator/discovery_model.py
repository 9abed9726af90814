"""Model of discovery: one service of limited capacity that keeps a versioned server list for all gateways."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from calicomast.net.http import StatusError

SERVICE_UNAVAILABLE = 503  # HTTP status of a refused call
MAX_WATCH_TIME = 60.0  # seconds for which a call waits for a change at most


@dataclass(slots=True)
class DiscoveryTally:
    """Counters of the calls to discovery and of the data that it sent."""

    calls: int = 0
    whole_lists: int = 0
    changes: int = 0  # responses with changes only, empty ones included
    refused: int = 0
    entries: int = 0
    bytes: int = 0


class DiscoveryModel:
    """Emulates discovery on the clock of the running event loop.

    Calls are served in order of arrival; a call costs as much as the entries that it sends, plus one.

    Args:
        entries: the server list at version 1, in the JSON form of discovery.
        entries_per_second: capacity of the service.
        max_queue_time: queueing delay in seconds above which a call is refused with status 503.
        max_history: number of changes that are kept; a client that is further behind gets the full list.

    Attributes:
        down: if set, calls get no response.
    """

    def __init__(
        self,
        entries: list[dict[str, Any]],
        entries_per_second: float,
        max_queue_time: float = 1.0,
        max_history: int = 10_000,
    ) -> None:
        self.entries = {entry["id"]: entry for entry in entries}
        self.version, self.tally = 1, DiscoveryTally()
        self.entries_per_second = entries_per_second
        self.max_queue_time = max_queue_time
        self.max_history = max_history
        self.down = False
        self._history: list[dict[str, Any]] = []  # changes that led to versions 2, 3 and so on
        self._free_at = 0.0
        self._version_changed = asyncio.Event()
        self._full_body_cache: tuple[int, bytes] | None = None

    def apply_change(self, entry: dict[str, Any]) -> None:
        """Adds, replaces or removes one entry, which creates a new version of the list."""
        if entry["state"] == "removed":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        self.version += 1
        self._history.append(entry)
        version_changed, self._version_changed = self._version_changed, asyncio.Event()
        version_changed.set()

    async def get(self, target: str) -> bytes:
        """Returns the body of the response to a GET; raises StatusError if the call is refused."""
        self.tally.calls += 1
        if self.down:
            await asyncio.Event().wait()
        query = dict(parse_qsl(urlsplit(target).query))
        client_version, wait = int(query.get("index", 0)), int(query.get("wait", 0)) / 1000
        if client_version == self.version and wait > 0:
            await self._wait_for_change(min(wait, MAX_WATCH_TIME))
        full = client_version == 0 or self.version - client_version > min(
            self.max_history, len(self._history)
        )
        changed = {} if full else {entry["id"]: entry for entry in self._history[client_version - 1 :]}
        await self._process(1 + (len(self.entries) if full else len(changed)))
        if full:
            self.tally.whole_lists += 1
            self.tally.entries += len(self.entries)
            body = self._full_body()
        else:
            self.tally.changes += 1
            self.tally.entries += len(changed)
            body = self._encode_list(False, list(changed.values()))
        self.tally.bytes += len(body)
        return body

    async def _wait_for_change(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._version_changed.wait()
        except TimeoutError:
            pass

    async def _process(self, cost: int) -> None:
        now = asyncio.get_running_loop().time()
        wait = max(0.0, self._free_at - now)
        if wait > self.max_queue_time:
            self.tally.refused += 1
            raise StatusError(SERVICE_UNAVAILABLE)
        self._free_at = now + wait + cost / self.entries_per_second
        await asyncio.sleep(self._free_at - now)

    def _full_body(self) -> bytes:
        if self._full_body_cache is None or self._full_body_cache[0] != self.version:
            self._full_body_cache = self.version, self._encode_list(True, list(self.entries.values()))
        return self._full_body_cache[1]

    def _encode_list(self, full: bool, servers: list[dict[str, Any]]) -> bytes:
        message = {"version": self.version, "full": full, "servers": servers}
        return json.dumps(message, separators=(",", ":")).encode()
