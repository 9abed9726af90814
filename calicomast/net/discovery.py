"""Discovery: a watch for changes to the list of hosts, from the last version that is held."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from typing import Any

from calicomast.net.http import HttpConnection, StatusError
from calicomast.net.listing import Address, Listing, read_list

WAIT = 5.0  # s that discovery may hold a watch open
ANSWER = 0.5  # s past that after which a call is given up: the agent is on this machine and answers at once
ANSWER_LEAST = 0.1  # s of it where sends to a drained host must stop sooner than twice that
MOST_LIST = 1024 * 1024  # bytes of an answer: one without end must not fill the memory
BACKOFF_LEAST, BACKOFF_MOST = 0.1, 2.0  # s between tries of a discovery that is busy, more or less by half
GRACE_PART = 0.2  # of the time in which sends to a drained host must stop; longest pause before silence ends

log = logging.getLogger(__name__)


class Discovery:
    """`told` gets each list, `failed` hears of each call that failed.

    A version that is `held` is asked for what came after it: each line of a list is work for discovery, and
    when many gateways begin at once, or ask again after a failure, whole lists keep it from answering any.

    What the agent has counts as told, also while no call hears it, and sends to a host that drains must stop
    within `grace`. So a call that got no answer is followed by short ones that wait for nothing, one of which
    always ends within `grace` of the agent's return; a watch is opened again once one was answered."""

    def __init__(self, address: Address, version: int, told: Callable[[Listing], None],
                 failed: Callable[[], None], held: bool = False, grace: float = 1.0) -> None:
        self.address, self.version, self.told, self.failed, self.held = address, version, told, failed, held
        self.limit, self.pause = min(ANSWER, max(ANSWER_LEAST, grace / 2)), GRACE_PART * grace
        self.silent = False  # the last call got no answer
        self.resting: HttpConnection | None = None
        self.watching: asyncio.Task[None] | None = None
        self.fetching: set[asyncio.Task[None]] = set()

    async def get(self, params: dict[str, int], limit: float) -> None:
        terms = "&".join(f"{name}={value}" for name, value in params.items())
        async with asyncio.timeout(limit):
            body = await self.body("/v1/endpoints" + ("?" + terms if terms else ""))
        listing = read_list(json.loads(body))
        if listing.hosts.mode == "delta" and listing.hosts.version < self.version:
            raise ValueError("changes to an older list than the last")  # they may bring back what is gone
        self.version, self.held = listing.hosts.version, True
        self.told(listing)

    async def body(self, target: str) -> bytes:
        kept, self.resting = self.resting, None
        if kept is not None and kept.free:
            try:
                return await self.body_on(kept, target)
            except ConnectionError:  # the service may close one that rests at any time
                if kept.heard:
                    raise
        return await self.body_on(HttpConnection(*self.address, MOST_LIST), target)

    async def body_on(self, conn: HttpConnection, target: str) -> bytes:
        body = await conn.get(target)
        if conn.free:
            if self.resting is not None:
                self.resting.close()
            self.resting = conn
        return body

    async def attempt(self, params: dict[str, int], limit: float) -> bool:
        try:
            await self.get(params, limit)
        except Exception as err:  # whatever it is, the watch must outlive it
            # One that is too busy or away leaves the version good; one that answers oddly does not.
            busy = isinstance(err, StatusError) and err.status >= 500
            self.silent = isinstance(err, OSError | TimeoutError)
            self.held = self.held and (busy or self.silent)
            log.warning("discovery: %s %s; the last list stays", type(err).__name__, err)
            self.failed()
            return False
        self.silent = False
        return True

    async def run(self) -> None:
        pause = BACKOFF_LEAST
        while True:
            if not self.held:
                done = await self.attempt({}, self.limit)
            elif self.silent:
                done = await self.attempt({"index": self.version, "wait": 1}, self.limit)
            else:  # at once after the last answer: past 200 ms it would be a new watch
                watch = {"index": self.version, "wait": int(WAIT * 1000)}
                done = await self.attempt(watch, WAIT + self.limit)
            if done:
                pause = BACKOFF_LEAST
            else:  # gateways that failed together must not come again together
                most = min(pause, self.pause) if self.silent else pause
                await asyncio.sleep(most * (0.5 + random.random()))
                pause = min(BACKOFF_MOST, 2 * pause)

    def watch(self, on: bool) -> None:
        if on and self.watching is None:
            self.watching = asyncio.get_running_loop().create_task(self.run())
        elif not on and self.watching is not None:
            self.watching.cancel()
            self.watching = None

    def fetch(self) -> None:
        task: asyncio.Task[Any] = asyncio.get_running_loop().create_task(self.attempt({}, self.limit))
        self.fetching.add(task)
        task.add_done_callback(self.fetching.discard)

    async def close(self) -> None:
        """Nothing is told from now on."""
        self.watch(False)
        for task in self.fetching:
            task.cancel()
        if self.resting is not None:
            self.resting.close()
