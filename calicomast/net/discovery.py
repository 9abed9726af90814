"""Discovery: a watch for changes to the list of hosts, from the last version that is held."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import aclosing

from calicomast.net.http import HttpConnection, StatusError
from calicomast.net.lifecycle import DiscoveryCallState, transition
from calicomast.net.server_list import Address, ServerEntry, ServerList, ServerListReader

# What discovery has and would give counts as told 6 s later, whatever became of the calls made till then. So
# a watch that fell silent as it began is given up by half of that, and the rest is for tries that fail too.
TOLD = 6.0
WAIT = TOLD / 2  # s that discovery may hold a watch open
ANSWER = 0.5  # s past that after which another call begins: the agent is on this machine and answers at once
ANSWER_LEAST = 0.1  # s of it where sends to a drained host must stop sooner than twice that
LONGEST_ANSWER = TOLD / 2  # s for which an answer that is coming in keeps another call from being made
MOST_OPEN = 16  # calls at once that are late; past that the oldest is given up
MOST_LIST = 1024 * 1024  # bytes of an answer, if nothing else is said: one without end would fill the memory
BACKOFF_LEAST, BACKOFF_MOST = 0.1, TOLD / 15  # s between tries of a busy discovery, more or less by half
COSTLY, COSTLY_MOST = 64 * 1024, TOLD / 3  # bytes of a refused answer from which the pause grows to more; s
GRACE_PART = 0.2  # of the time in which sends to a drained host must stop; longest pause before silence ends
AGAIN = 0.1  # s before the next call where a watch ended early without news: a watch goes on for 0.2 s

log = logging.getLogger(__name__)


class Call:
    """One call to discovery that is out."""

    def __init__(self, number: int, now: float, longest: float) -> None:
        self.number, self.began, self.longest = number, now, longest
        self.state = DiscoveryCallState.REQUESTED
        self.moved_at = now  # when it last got on: an answer began, came in or was taken over
        self.size = 0  # bytes of its answer so far
        self.task: asyncio.Task[bool] | None = None

    def become(self, state: DiscoveryCallState) -> None:
        """Changes its state."""
        self.state = transition(self.state, state, self.number)

    def moved(self, now: float) -> None:
        """It got on, which keeps other calls from being made for `longest` seconds."""
        if now - self.began < self.longest:
            self.moved_at = now


class DiscoveryClient:
    """`apply_list` gets each list, and may take it over in steps between which others are let run; it raises
    ValueError for one that is not to be taken. `on_failure` hears of each call that failed. `max_body_bytes`:
    bytes of an answer; `known_entries`: what is held of the list, by id.

    With `has_list` only changes since the version are asked for: each line of a list is work for discovery,
    and when many gateways begin at once, or ask again after a failure, whole lists keep it from answering.

    What the agent has counts as told, also while no call hears it, and sends to a host that drains must stop
    within `drain_grace`. So a call that failed or got no answer is followed by short ones that wait for
    nothing, one of which always begins within `drain_grace` of the agent's return; a watch is opened again
    once one was answered. One that is late is still listened to while others follow: discovery may be
    slow."""

    def __init__(
        self,
        address: Address,
        version: int,
        apply_list: Callable[[ServerList], Iterable[None] | None],
        on_failure: Callable[[], None],
        has_list: bool = False,
        drain_grace: float = 1.0,
        max_body_bytes: int = MOST_LIST,
        known_entries: dict[str, ServerEntry] | None = None,
    ) -> None:
        self.address, self.version, self.has_list = address, version, has_list
        self.apply_list, self.on_failure = apply_list, on_failure
        self.limit, self.pause = min(ANSWER, max(ANSWER_LEAST, drain_grace / 2)), GRACE_PART * drain_grace
        self.max_body_bytes, self.known_entries = max_body_bytes, known_entries
        self.well = True  # the last call was answered
        self.costly = False  # it was not, or not as it should, and much came before that was seen
        self.silent = False  # it got no answer at all
        self.began = self.heard = 0  # calls so far; those that had begun when the last list was taken
        self.resting: HttpConnection | None = None
        self.watch_task: asyncio.Task[None] | None = None
        self.calls: dict[asyncio.Task[bool], Call] = {}  # that are out, the oldest first
        self.taking = asyncio.Lock()  # one list is taken over at a time

    async def read_body(self, target: str) -> AsyncIterator[bytes]:
        """An answer's body as it comes in, on the resting connection if that is still good."""
        kept, self.resting = self.resting, None
        if kept is not None and kept.reusable:
            try:
                async for piece in self.read_body_on(kept, target):
                    yield piece
                return
            except ConnectionError:
                if kept.received_data:
                    raise
        async for piece in self.read_body_on(HttpConnection(*self.address, self.max_body_bytes), target):
            yield piece

    async def read_body_on(self, conn: HttpConnection, target: str) -> AsyncIterator[bytes]:
        async with aclosing(conn.stream(target)) as body:
            async for piece in body:
                yield piece
        if conn.reusable:
            if self.resting is not None:
                self.resting.close()
            self.resting = conn

    async def perform_call(self, call: Call, params: dict[str, int], limit: float) -> bool:
        """One call to its end, however it ends; whether discovery answered it as it should."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(limit):
                news = await self.fetch_and_apply(call, params)
        except Exception as err:  # whatever it is, the watch must outlive it
            if call.number > self.heard:  # else one that began after it was answered
                # One that is too busy or away leaves the version good; one that answers oddly does not.
                busy = isinstance(err, StatusError) and err.status >= 500
                self.well, self.silent = False, isinstance(err, OSError | TimeoutError)
                self.costly = call.size > COSTLY
                self.has_list = self.has_list and (busy or self.silent)
                log.warning("discovery: %s %s; the last list stays", type(err).__name__, err)
                self.on_failure()
            return False
        self.well, self.silent, self.costly = True, False, False
        wait = params.get("wait", 0)
        if wait > 1 and not news and loop.time() - call.began < wait / 2000:
            await asyncio.sleep(AGAIN)  # else one that holds no watch open would be asked all the time
        return True

    async def fetch_and_apply(self, call: Call, params: dict[str, int]) -> int:
        """One call. Returns how many entries of its answer were told."""
        terms = "&".join(f"{name}={value}" for name, value in params.items())
        listing = await self.read_listing(call, "/v1/endpoints" + ("?" + terms if terms else ""))
        async with self.taking:
            version, count = listing.version, len(listing.entries)
            if call.number <= self.heard and version <= self.version:
                return 0  # overtaken by one that began after it
            if call.number > self.heard and listing.mode == "delta" and version < self.version:
                raise ValueError("changes to an older list than the last")  # they may bring back what is gone
            call.become(DiscoveryCallState.APPLYING)
            for _ in self.apply_list(listing) or ():
                await self.let_others_run(call)
            self.version, self.has_list, self.heard = version, True, self.began
        return count

    async def read_listing(self, call: Call, target: str) -> ServerList:
        """Reads an answer as it comes in; raises ValueError if it holds no list."""
        reader = ServerListReader(held=self.known_entries)
        async with aclosing(self.read_body(target)) as body:
            async for piece in body:
                call.size += len(piece)
                call.moved(asyncio.get_running_loop().time())
                for _ in reader.feed(piece):
                    await self.let_others_run(call)
        for _ in reader.feed(b"", final=True):
            pass
        return reader.server_list()

    async def let_others_run(self, call: Call) -> None:
        call.moved(asyncio.get_running_loop().time())
        await asyncio.sleep(0)

    def start_call(self, params: dict[str, int]) -> Call:
        loop = asyncio.get_running_loop()
        wait = params.get("wait", 0) / 1000
        self.began += 1
        call = Call(self.began, loop.time(), wait + LONGEST_ANSWER)
        task = call.task = loop.create_task(self.perform_call(call, params, wait + TOLD))
        self.calls[task] = call
        task.add_done_callback(self.ended)
        if len(self.calls) > MOST_OPEN:
            next(iter(self.calls)).cancel()
        return call

    def ended(self, task: asyncio.Task[bool]) -> None:
        """A call is over, however it ended."""
        call = self.calls.pop(task, None)
        if call is not None:
            call.become(DiscoveryCallState.ENDED)

    async def answered(self, call: Call, patience: float) -> bool:
        """Waits for a call to end, or for so many seconds in which it does not get on; whether it ended."""
        assert call.task is not None
        loop, until = asyncio.get_running_loop(), call.began + patience
        while not call.task.done() and loop.time() < until:
            await asyncio.wait([call.task], timeout=until - loop.time())
            until = max(until, call.moved_at + self.limit if call.moved_at > call.began else until)
        return call.task.done()

    async def run(self) -> None:
        pause = BACKOFF_LEAST
        while True:
            if not self.has_list:
                call, patience = self.start_call({}), self.limit
            elif not self.well:
                call, patience = self.start_call({"index": self.version, "wait": 1}), self.limit
            else:  # at once after the last answer: past 200 ms it would be a new watch
                call = self.start_call({"index": self.version, "wait": int(WAIT * 1000)})
                patience = WAIT + self.limit
            done = await self.answered(call, patience)
            if not done:
                self.well, self.silent = False, True
                log.warning("discovery: no answer in %.1f s; the last list stays", patience)
                self.on_failure()
            if done and not call.task.cancelled() and call.task.result():
                pause = BACKOFF_LEAST
            else:  # gateways that failed together must not come again together
                most = min(pause, self.pause) if self.silent else pause
                await asyncio.sleep(most * (0.5 + random.random()))
                pause = min(COSTLY_MOST if self.costly else BACKOFF_MOST, 2 * pause)

    def watch(self, on: bool) -> None:
        if on and self.watch_task is None:
            self.watch_task = asyncio.get_running_loop().create_task(self.run())
        elif not on and self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None

    def fetch(self) -> None:
        self.start_call({})

    async def close(self) -> None:
        """Nothing is told from now on."""
        self.watch(False)
        for call in list(self.calls):
            call.cancel()
        if self.resting is not None:
            self.resting.close()
