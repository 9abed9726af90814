"""The client of the discovery service, which fetches the server list and watches for changes of it."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import aclosing

from calicomast.net.http import HttpConnection, StatusError
from calicomast.net.lifecycle import DiscoveryCallState, transition
from calicomast.net.server_list import Address, ServerEntry, ServerList, ServerListReader

# A change counts as sent to this gateway CHANGE_DEADLINE after discovery has it, whatever became of the calls
# in that time. A watch that goes silent as it begins is therefore given up after half of that time; the other
# half remains for retries that fail as well.
CHANGE_DEADLINE = 6.0  # seconds
WATCH_DURATION = CHANGE_DEADLINE / 2  # seconds for which discovery may hold a watch open
# Seconds past the duration of a call after which the next call is made without its response. Discovery's
# agent runs on the same machine and responds at once.
RESPONSE_TIMEOUT = 0.5
MIN_RESPONSE_TIMEOUT = 0.1  # seconds; applies where the drain grace is shorter than twice this
MAX_RESPONSE_DURATION = CHANGE_DEADLINE / 2  # seconds for which an incoming response delays the next call
MAX_OPEN_CALLS = 16  # late calls at once; beyond that the oldest is cancelled
DEFAULT_MAX_BODY_BYTES = 1024 * 1024  # an endless response would fill the memory
MIN_BACKOFF = 0.1  # seconds between calls to a busy discovery, randomized by up to half in both directions
MAX_BACKOFF = CHANGE_DEADLINE / 15  # seconds
LARGE_RESPONSE_BYTES = 64 * 1024  # after a rejected response that is larger, the backoff grows further
MAX_BACKOFF_AFTER_LARGE_RESPONSE = CHANGE_DEADLINE / 3  # seconds
BACKOFF_GRACE_FRACTION = 0.2  # longest backoff while discovery is silent, as a fraction of the drain grace
# Seconds before the next call when a watch ended early without changes. Discovery considers a watch continued
# if the next call comes within 0.2 s.
EARLY_WATCH_END_DELAY = 0.1

log = logging.getLogger(__name__)


class Call:
    """One call to discovery that has not ended yet.

    Args:
        number: counts the calls from 1.
        now: time of the event loop, in seconds.
        max_delay: seconds from the start for which progress of the response delays the next call.
    """

    def __init__(self, number: int, now: float, max_delay: float) -> None:
        self.number, self.started_at, self.max_delay = number, now, max_delay
        self.state = DiscoveryCallState.REQUESTED
        self.progress_at = now  # when a part of its response last arrived, was parsed or was applied
        self.response_bytes = 0  # received so far
        self.task: asyncio.Task[bool] | None = None

    def enter(self, state: DiscoveryCallState) -> None:
        """Changes the state of the call."""
        self.state = transition(self.state, state, self.number)

    def record_progress(self, now: float) -> None:
        """Notes progress of the response, which delays the next call until `max_delay` has passed."""
        if now - self.started_at < self.max_delay:
            self.progress_at = now


class DiscoveryClient:
    """Fetches the server list and then watches for changes of it.

    When a list of `version` is held already, the client requests only the changes since that version: each
    entry of a list costs discovery work, and when many gateways start at once, or call again after a failure,
    whole lists would keep it from responding to any of them.

    Changes that discovery's agent has count as sent to this gateway, even if no call receives them, and
    sending to a draining server must stop within `drain_grace`. After a call that failed or got no response,
    the client therefore makes short calls that do not wait for a change, one of which always starts within
    `drain_grace` of the agent's return. It opens a watch again once one of them succeeded. The client still
    accepts the response of a late call while others follow, as discovery may only be slow.

    Args:
        address: where discovery's agent listens.
        version: the last version of the list received.
        apply_list: applies a received list. It may do so in steps, between which other tasks run, and raises
            ValueError for a list that must not be applied.
        on_failure: called after each call that failed.
        has_list: whether the list of `version` is held.
        drain_grace: seconds within which sending to a draining server must stop.
        max_body_bytes: a longer response is rejected.
        known_entries: the entries held, by server id.
    """

    def __init__(
        self,
        address: Address,
        version: int,
        apply_list: Callable[[ServerList], Iterable[None] | None],
        on_failure: Callable[[], None],
        has_list: bool = False,
        drain_grace: float = 1.0,
        max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
        known_entries: dict[str, ServerEntry] | None = None,
    ) -> None:
        self.address, self.version, self.has_list = address, version, has_list
        self.apply_list, self.on_failure = apply_list, on_failure
        self.response_timeout = min(RESPONSE_TIMEOUT, max(MIN_RESPONSE_TIMEOUT, drain_grace / 2))
        self.max_silent_backoff = BACKOFF_GRACE_FRACTION * drain_grace
        self.max_body_bytes, self.known_entries = max_body_bytes, known_entries
        self.last_call_succeeded = True
        self.large_response_rejected = False  # the last call failed after more than LARGE_RESPONSE_BYTES
        self.silent = False  # the last call got no response at all
        self.calls_started = 0
        self.calls_at_last_list = 0  # value of `calls_started` when the last list had been applied
        self.idle_connection: HttpConnection | None = None
        self.watch_task: asyncio.Task[None] | None = None
        self.retired = False  # another discovery service has taken this one's place
        self.calls: dict[asyncio.Task[bool], Call] = {}  # calls that have not ended, oldest first
        self.apply_lock = asyncio.Lock()  # one list is applied at a time

    async def read_body(self, target: str) -> AsyncIterator[bytes]:
        """Yields the body of a response as it arrives; uses the idle connection if that is still open."""
        connection, self.idle_connection = self.idle_connection, None
        if connection is not None and connection.reusable:
            try:
                async for chunk in self.read_body_on(connection, target):
                    yield chunk
                return
            except ConnectionError:
                if connection.received_data:
                    raise
        async for chunk in self.read_body_on(HttpConnection(*self.address, self.max_body_bytes), target):
            yield chunk

    async def read_body_on(self, connection: HttpConnection, target: str) -> AsyncIterator[bytes]:
        """Yields the body of a response on a given connection, and then keeps the connection if possible."""
        async with aclosing(connection.stream(target)) as body:
            async for chunk in body:
                yield chunk
        if connection.reusable:
            if self.idle_connection is not None:
                self.idle_connection.close()
            self.idle_connection = connection

    async def perform_call(self, call: Call, params: dict[str, int], time_limit: float) -> bool:
        """Performs one call and handles its failure; returns whether it succeeded."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(time_limit):
                changes = await self.fetch_and_apply(call, params)
        except Exception as err:  # the watch must go on after any failure
            if self.retired:
                log.info("discovery call to a replaced address failed: %s: %s", type(err).__name__, err)
            elif call.number > self.calls_at_last_list:  # otherwise a call that started later has succeeded
                # A busy or absent discovery does not invalidate the version held; a malformed response does.
                busy = isinstance(err, StatusError) and err.status >= 500
                self.last_call_succeeded, self.silent = False, isinstance(err, OSError | TimeoutError)
                self.large_response_rejected = call.response_bytes > LARGE_RESPONSE_BYTES
                self.has_list = self.has_list and (busy or self.silent)
                log.warning(
                    "discovery call failed: %s: %s; keeping the last server list", type(err).__name__, err
                )
                self.on_failure()
            return False
        self.last_call_succeeded, self.silent, self.large_response_rejected = True, False, False
        wait = params.get("wait", 0)
        if wait > 1 and not changes and loop.time() - call.started_at < wait / 2000:
            # This limits the calls to a discovery that holds no watch open.
            await asyncio.sleep(EARLY_WATCH_END_DELAY)
        return True

    async def fetch_and_apply(self, call: Call, params: dict[str, int]) -> int:
        """Sends one call and applies the list in its response.

        Returns the number of entries applied: 0 for a list that is out of date because a call that started
        later has succeeded. Raises ValueError for a response that must not be applied.
        """
        query = "&".join(f"{name}={value}" for name, value in params.items())
        server_list = await self.read_server_list(call, "/v1/endpoints" + ("?" + query if query else ""))
        async with self.apply_lock:
            version, count = server_list.version, len(server_list.entries)
            if call.number <= self.calls_at_last_list and version <= self.version:
                return 0
            if (
                call.number > self.calls_at_last_list
                and server_list.mode == "delta"
                and version < self.version
            ):
                # These changes may add servers again that were removed since.
                raise ValueError("changes to a version older than the last one")
            call.enter(DiscoveryCallState.APPLYING)
            for _ in self.apply_list(server_list) or ():
                await self.let_others_run(call)
            self.version, self.has_list, self.calls_at_last_list = version, True, self.calls_started
        return count

    async def read_server_list(self, call: Call, target: str) -> ServerList:
        """Parses a response while it arrives; raises ValueError if it is not a server list."""
        reader = ServerListReader(known_entries=self.known_entries)
        async with aclosing(self.read_body(target)) as body:
            async for chunk in body:
                call.response_bytes += len(chunk)
                call.record_progress(asyncio.get_running_loop().time())
                for _ in reader.feed(chunk):
                    await self.let_others_run(call)
        for _ in reader.feed(b"", final=True):
            pass
        return reader.server_list()

    async def let_others_run(self, call: Call) -> None:
        """Notes progress of a call and yields to other tasks."""
        call.record_progress(asyncio.get_running_loop().time())
        await asyncio.sleep(0)

    def start_call(self, params: dict[str, int]) -> Call:
        """Starts a call with the given query parameters, and cancels the oldest if too many are open."""
        loop = asyncio.get_running_loop()
        wait = params.get("wait", 0) / 1000
        self.calls_started += 1
        call = Call(self.calls_started, loop.time(), wait + MAX_RESPONSE_DURATION)
        task = call.task = loop.create_task(self.perform_call(call, params, wait + CHANGE_DEADLINE))
        self.calls[task] = call
        task.add_done_callback(self.call_ended)
        self.cancel_oldest_calls(len(self.calls) - MAX_OPEN_CALLS)
        return call

    def cancel_oldest_calls(self, count: int) -> int:
        """Cancels up to `count` calls; returns how many."""
        oldest = list(self.calls)[: max(0, count)]
        for task in oldest:
            task.cancel()
        return len(oldest)

    def call_ended(self, task: asyncio.Task[bool]) -> None:
        """Removes a call that succeeded, failed or was cancelled."""
        call = self.calls.pop(task, None)
        if call is not None:
            call.enter(DiscoveryCallState.ENDED)
        if self.retired and not self.calls:
            self.close_idle_connection()

    async def wait_for_call(self, call: Call, max_wait: float) -> bool:
        """Waits until a call has ended or is overdue; returns whether it has ended.

        A call is overdue `max_wait` seconds after its start, or later if its response makes progress: then
        `response_timeout` seconds after the last progress.
        """
        assert call.task is not None
        loop, until = asyncio.get_running_loop(), call.started_at + max_wait
        while not call.task.done() and loop.time() < until:
            await asyncio.wait([call.task], timeout=until - loop.time())
            until = max(
                until,
                call.progress_at + self.response_timeout if call.progress_at > call.started_at else until,
            )
        return call.task.done()

    async def run(self) -> None:
        """Calls discovery until cancelled: for the whole list, for changes at once, or with a watch."""
        backoff = MIN_BACKOFF
        while True:
            if not self.has_list:
                call, timeout = self.start_call({}), self.response_timeout
            elif not self.last_call_succeeded:
                call, timeout = self.start_call({"index": self.version, "wait": 1}), self.response_timeout
            else:  # sent at once after the last response: after 200 ms it would count as a new watch
                call = self.start_call({"index": self.version, "wait": int(WATCH_DURATION * 1000)})
                timeout = WATCH_DURATION + self.response_timeout
            ended = await self.wait_for_call(call, timeout)
            if not ended:
                self.last_call_succeeded, self.silent = False, True
                log.warning("discovery did not respond within %.1f s; keeping the last server list", timeout)
                self.on_failure()
            if ended and not call.task.cancelled() and call.task.result():
                backoff = MIN_BACKOFF
            else:  # gateways whose calls failed together must not call again at the same time
                limit = min(backoff, self.max_silent_backoff) if self.silent else backoff
                await asyncio.sleep(limit * (0.5 + random.random()))
                backoff = min(
                    MAX_BACKOFF_AFTER_LARGE_RESPONSE if self.large_response_rejected else MAX_BACKOFF,
                    2 * backoff,
                )

    def watch(self, enabled: bool) -> None:
        """Starts or stops the watch."""
        if enabled and self.watch_task is None:
            self.watch_task = asyncio.get_running_loop().create_task(self.run())
        elif not enabled and self.watch_task is not None:
            self.watch_task.cancel()
            self.watch_task = None

    def fetch(self) -> None:
        """Starts one call for the whole list."""
        self.start_call({})

    def retire(self) -> None:
        """Starts no further calls. Those in progress go on, but their failures are not reported."""
        self.retired = True
        self.watch(False)
        if not self.calls:
            self.close_idle_connection()

    def close(self) -> None:
        """Stops the watch, cancels all calls and closes the idle connection. No list is applied after it."""
        self.watch(False)
        self.cancel_oldest_calls(len(self.calls))
        self.close_idle_connection()

    def close_idle_connection(self) -> None:
        """Closes the connection that is kept for the next call, if there is one."""
        if self.idle_connection is not None:
            self.idle_connection.close()
