"""Discovery: one service of fixed capacity that holds a versioned list for all gateways."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

from calicomast.net.http import StatusError

OVERLOADED = 503
LONGEST_WATCH = 60.0  # seconds


@dataclass(slots=True)
class DiscoveryTally:
    """What was asked of discovery and what it sent."""

    calls: int = 0
    whole_lists: int = 0
    changes: int = 0  # answers that hold changes only, none among them
    refused: int = 0
    entries: int = 0
    bytes: int = 0


class DiscoveryModel:
    """Emulates discovery on the running loop's clock. Entries that are sent are work; calls wait in turn.

    Args:
        entries: the list at version 1, in discovery's JSON form.
        entries_per_second: the work that it does; each call counts as one entry more.
        longest_wait: seconds of waiting past which a call is refused with status 503.
        history: changes that are kept; who is further behind gets the whole list.
    """

    def __init__(
        self,
        entries: list[dict[str, Any]],
        entries_per_second: float,
        longest_wait: float = 1.0,
        history: int = 10_000,
    ) -> None:
        self.entries = {entry["id"]: entry for entry in entries}
        self.version, self.tally = 1, DiscoveryTally()
        self.entries_per_second, self.longest_wait, self.history = entries_per_second, longest_wait, history
        self.down = False
        self._log: list[dict[str, Any]] = []  # the change that made version 2, 3 and so on
        self._free_at = 0.0
        self._news = asyncio.Event()
        self._whole: tuple[int, bytes] | None = None

    def change(self, entry: dict[str, Any]) -> None:
        """Makes one change, which is a version of its own."""
        if entry["state"] == "removed":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        self.version += 1
        self._log.append(entry)
        news, self._news = self._news, asyncio.Event()
        news.set()

    async def get(self, target: str) -> bytes:
        """The body that answers a GET; raises StatusError where the call is refused."""
        self.tally.calls += 1
        if self.down:
            await asyncio.Event().wait()
        query = dict(parse_qsl(urlsplit(target).query))
        held, wait = int(query.get("index", 0)), int(query.get("wait", 0)) / 1000
        if held == self.version and wait > 0:
            await self._wait_for_news(min(wait, LONGEST_WATCH))
        whole = held == 0 or self.version - held > min(self.history, len(self._log))
        changed = {} if whole else {entry["id"]: entry for entry in self._log[held - 1 :]}
        await self._take_turn(1 + (len(self.entries) if whole else len(changed)))
        if whole:
            self.tally.whole_lists += 1
            self.tally.entries += len(self.entries)
            body = self._whole_body()
        else:
            self.tally.changes += 1
            self.tally.entries += len(changed)
            body = self._body(False, list(changed.values()))
        self.tally.bytes += len(body)
        return body

    async def _wait_for_news(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._news.wait()
        except TimeoutError:
            pass

    async def _take_turn(self, work: int) -> None:
        now = asyncio.get_running_loop().time()
        wait = max(0.0, self._free_at - now)
        if wait > self.longest_wait:
            self.tally.refused += 1
            raise StatusError(OVERLOADED)
        self._free_at = now + wait + work / self.entries_per_second
        await asyncio.sleep(self._free_at - now)

    def _whole_body(self) -> bytes:
        if self._whole is None or self._whole[0] != self.version:
            self._whole = self.version, self._body(True, list(self.entries.values()))
        return self._whole[1]

    def _body(self, full: bool, servers: list[dict[str, Any]]) -> bytes:
        told = {"version": self.version, "full": full, "servers": servers}
        return json.dumps(told, separators=(",", ":")).encode()
