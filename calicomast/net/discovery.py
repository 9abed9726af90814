"""Discovery: a watch for changes to the list of hosts, from the last version that is held."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

from calicomast.net.http import HttpConnection, StatusError
from calicomast.net.listing import Address, Listing, read_list

# What discovery has and would give counts as told 6 s later, whatever became of the calls made till then. So
# a watch that fell silent as it began is given up by half of that, and the rest is for tries that fail too.
TOLD = 6.0
WAIT = TOLD / 2  # s that discovery may hold a watch open
ANSWER = 0.5  # s past that after which another call begins: the agent is on this machine and answers at once
ANSWER_LEAST = 0.1  # s of it where sends to a drained host must stop sooner than twice that
MOST_OPEN = 16  # calls at once that are late; past that the oldest is given up
MOST_LIST = 1024 * 1024  # bytes of an answer: one without end must not fill the memory
BACKOFF_LEAST, BACKOFF_MOST = 0.1, TOLD / 15  # s between tries of a busy discovery, more or less by half
GRACE_PART = 0.2  # of the time in which sends to a drained host must stop; longest pause before silence ends
AGAIN = 0.1  # s before the next call where a watch ended early without news: a watch goes on for 0.2 s

log = logging.getLogger(__name__)


class Discovery:
    """`told` gets each list, `failed` hears of each call that failed.

    A version that is `held` is asked for what came after it: each line of a list is work for discovery, and
    when many gateways begin at once, or ask again after a failure, whole lists keep it from answering any.

    What the agent has counts as told, also while no call hears it, and sends to a host that drains must stop
    within `grace`. So a call that failed or got no answer is followed by short ones that wait for nothing,
    one of which always begins within `grace` of the agent's return; a watch is opened again once one was
    answered. One that is late is still listened to while others follow: discovery may just be slow."""

    def __init__(
        self,
        address: Address,
        version: int,
        told: Callable[[Listing], None],
        failed: Callable[[], None],
        held: bool = False,
        grace: float = 1.0,
    ) -> None:
        self.address, self.version, self.told, self.failed, self.held = address, version, told, failed, held
        self.limit, self.pause = min(ANSWER, max(ANSWER_LEAST, grace / 2)), GRACE_PART * grace
        self.well = True  # the last call was answered
        self.silent = False  # it got no answer at all
        self.began = self.heard = 0  # calls so far; those that had begun when the last list was taken
        self.resting: HttpConnection | None = None
        self.watching: asyncio.Task[None] | None = None
        self.calls: dict[asyncio.Task[bool], None] = {}  # that are out, the oldest first

    async def body(self, target: str) -> bytes:
        kept, self.resting = self.resting, None
        if kept is not None and kept.free:
            try:
                return await self.body_on(kept, target)
            except ConnectionError:
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
        """One call to its end, however it ends; whether discovery answered it as it should."""
        self.began += 1
        number, loop = self.began, asyncio.get_running_loop()
        began = loop.time()
        try:
            async with asyncio.timeout(limit):
                news = await self.ask(params, number)
        except Exception as err:  # whatever it is, the watch must outlive it
            if number > self.heard:  # else one that began after it was answered
                # One that is too busy or away leaves the version good; one that answers oddly does not.
                busy = isinstance(err, StatusError) and err.status >= 500
                self.well, self.silent = False, isinstance(err, OSError | TimeoutError)
                self.held = self.held and (busy or self.silent)
                log.warning("discovery: %s %s; the last list stays", type(err).__name__, err)
                self.failed()
            return False
        self.well, self.silent = True, False
        wait = params.get("wait", 0)
        if wait > 1 and not news and loop.time() - began < wait / 2000:
            await asyncio.sleep(AGAIN)  # else one that holds no watch open would be asked all the time
        return True

    async def ask(self, params: dict[str, int], number: int) -> int:
        """One call. Returns how many entries of its answer were told."""
        terms = "&".join(f"{name}={value}" for name, value in params.items())
        listing = read_list(json.loads(await self.body("/v1/endpoints" + ("?" + terms if terms else ""))))
        version, mode = listing.hosts.version, listing.hosts.mode
        if number <= self.heard and version <= self.version:
            return 0  # overtaken by one that began after it
        if number > self.heard and mode == "delta" and version < self.version:
            raise ValueError("changes to an older list than the last")  # they may bring back what is gone
        self.version, self.held, self.heard = version, True, self.began
        self.told(listing)
        return len(listing.hosts.hosts)

    def begin(self, params: dict[str, int]) -> asyncio.Task[bool]:
        wait = params.get("wait", 0) / 1000
        call = asyncio.get_running_loop().create_task(self.attempt(params, wait + TOLD))
        self.calls[call] = None
        call.add_done_callback(lambda _: self.calls.pop(call, None))
        if len(self.calls) > MOST_OPEN:
            next(iter(self.calls)).cancel()
        return call

    async def run(self) -> None:
        pause = BACKOFF_LEAST
        while True:
            if not self.held:
                call, patience = self.begin({}), self.limit
            elif not self.well:
                call, patience = self.begin({"index": self.version, "wait": 1}), self.limit
            else:  # at once after the last answer: past 200 ms it would be a new watch
                call = self.begin({"index": self.version, "wait": int(WAIT * 1000)})
                patience = WAIT + self.limit
            done, _ = await asyncio.wait([call], timeout=patience)
            if not done:
                self.well, self.silent = False, True
                log.warning("discovery: no answer in %.1f s; the last list stays", patience)
                self.failed()
            if done and not call.cancelled() and call.result():
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
        self.begin({})

    async def close(self) -> None:
        """Nothing is told from now on."""
        self.watch(False)
        for call in list(self.calls):
            call.cancel()
        if self.resting is not None:
            self.resting.close()
