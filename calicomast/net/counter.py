"""Client of the counter service: pipelined calls over a few persistent connections.

Each counter name is assigned to one of the connections, so that responses for a name arrive in order.
"""

from __future__ import annotations

import asyncio
import logging
import math
import re
from collections import deque
from collections.abc import Callable
from time import monotonic

from calicomast.net.server_list import Address

CONNECTION_COUNT = 4  # several, so that a slow partition of the counter does not delay the other names
KEEP_ALIVE_INTERVAL = 2.0  # seconds without a call after which a `ping`, which is free, is sent as keep-alive
CHECK_INTERVAL = 0.25  # seconds between checks for silent and idle connections
# A connection is dead after this time without a response: the larger of the two.
MIN_SILENCE_TIMEOUT = 0.5  # seconds
SILENCE_TIMEOUT_FACTOR = 2.0  # multiple of a call's timeout
MIN_BACKOFF = 0.05  # seconds before reconnecting; doubled after each failure
MAX_BACKOFF = 1.0  # seconds
PING_NAME = -1  # the name of a `ping` call, which concerns no counter
MAX_RESPONSE_LINE = 4096  # bytes
# Stricter than float(), which accepts nan and 1_0 as well.
TOTAL_PATTERN = re.compile(rb"-?[0-9]{1,20}(\.[0-9]{1,20})?(e[+-]?[0-9]{1,2})?")

log = logging.getLogger(__name__)

CallDone = Callable[[int, str, float, float], None]  # name, result, total, elapsed seconds


class Call:
    """One call to the counter. `on_done` receives its result once.

    Attributes:
        name: the number of the counter, or PING_NAME.
        on_done: None once the result was reported, and for a ping.
        started_at: monotonic time.
        timer: ends the call with "timeout".
    """

    __slots__ = ("name", "on_done", "started_at", "timer")

    def __init__(self, name: int, on_done: CallDone | None) -> None:
        self.name, self.on_done, self.started_at = name, on_done, monotonic()
        self.timer: asyncio.TimerHandle | None = None

    def end(self, result: str, total: float = 0.0) -> None:
        """Reports the result, at most once.

        A call that timed out stays queued, because its late response still takes its turn in the order of
        responses. That response is not reported.
        """
        if self.timer is not None:
            self.timer.cancel()
        on_done, self.on_done = self.on_done, None
        if on_done is not None:
            on_done(self.name, result, total, monotonic() - self.started_at)


class CounterConnection(asyncio.Protocol):
    """One connection to the counter. It reconnects whenever the connection is lost.

    Args:
        address: where the counter listens.
        on_connected: called each time the connection is established.
        silence_timeout: seconds without a response after which it reconnects.
    """

    def __init__(
        self, address: Address, on_connected: Callable[[CounterConnection], None], silence_timeout: float
    ) -> None:
        self.silence_timeout = silence_timeout
        self.address = address
        self.on_connected = on_connected
        self.task = asyncio.get_running_loop().create_task(self.keep_connected())
        self.retired = False  # replaced by another connection; closes after the last pending response
        self.transport: asyncio.Transport | None = None
        self.pending_calls: deque[Call] = deque()  # written, without a response so far
        self.unparsed = b""
        self.write_blocked = False
        self.last_used = 0.0  # monotonic time
        self.disconnected = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop: resets the state for a new connection and reports it."""
        self.transport = transport  # type: ignore[assignment]
        # With this limit, pause_writing is called at once if the socket did not take a whole call.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]
        self.unparsed = b""
        self.write_blocked = False
        self.last_used = monotonic()
        self.on_connected(self)

    def pause_writing(self) -> None:
        """Called by the event loop: the socket's send buffer is full."""
        self.write_blocked = True

    def resume_writing(self) -> None:
        """Called by the event loop: all buffered bytes were sent."""
        self.write_blocked = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop: ends all pending calls and lets `keep_connected` reconnect."""
        self.transport = None
        calls, self.pending_calls = self.pending_calls, deque()
        for call in calls:  # they were written, so the counter may have added each of them
            call.end("timeout")
        self.disconnected.set()

    def retire(self) -> None:
        """Closes the connection once its pending calls have their responses."""
        self.retired = True
        if not self.pending_calls:
            self.close()

    def close(self) -> None:
        """Closes the connection for good."""
        self.task.cancel()
        self.abort()

    def write(self, call: Call, command: bytes) -> bool:
        """Writes a call; returns False if nothing of it was written."""
        if self.transport is None or self.write_blocked or self.transport.is_closing():
            return False
        self.pending_calls.append(call)
        self.last_used = call.started_at
        self.transport.write(command)
        return True

    def data_received(self, data: bytes) -> None:
        """Called by the event loop: handles each complete line of the responses."""
        *lines, self.unparsed = (self.unparsed + data).split(b"\n")
        for line in lines:
            if not self.handle_response(line.split()):
                self.handle_malformed_response(line)
                return
        if len(self.unparsed) > MAX_RESPONSE_LINE:
            self.handle_malformed_response(self.unparsed)
        elif self.retired and not self.pending_calls:
            self.close()

    def handle_response(self, words: list[bytes]) -> bool:
        """Ends the oldest pending call with its response; returns False if the response is malformed."""
        if (
            not self.pending_calls
            or not words
            or (words[0] == b"pong") != (self.pending_calls[0].name == PING_NAME)
        ):
            return False
        if words[0] == b"ok" and len(words) == 2:
            if not TOTAL_PATTERN.fullmatch(words[1]):
                return False
            self.pending_calls.popleft().end("ok", float(words[1]))
        elif words[0] in (b"busy", b"error"):
            self.pending_calls.popleft().end("full")
        elif words[0] == b"pong":
            self.pending_calls.popleft().end("ok")
        else:
            return False
        return True

    def handle_malformed_response(self, text: bytes) -> None:
        """Drops the connection, because the responses that follow can no longer be matched to calls.

        The counter has added the call that was answered, but its total is unknown.
        """
        log.warning("malformed response from the counter: %r", text[:80])
        if self.pending_calls and self.pending_calls[0].name != PING_NAME:
            self.pending_calls.popleft().end("spoilt")
        self.abort()

    def abort(self) -> None:
        """Drops the current connection, if there is one; it reconnects unless it was closed."""
        if self.transport is not None:
            self.transport.abort()

    def check(self) -> None:
        """Drops a connection that no longer responds; pings one that is idle. Called at CHECK_INTERVAL."""
        now = monotonic()
        if self.pending_calls and now - self.pending_calls[0].started_at > self.silence_timeout:
            # A machine that vanished sends nothing, not even a reset: the connection would stay open forever.
            log.warning("no response from the counter for %.1f s, reconnecting", self.silence_timeout)
            self.abort()
        elif not self.pending_calls and not self.retired and now - self.last_used > KEEP_ALIVE_INTERVAL:
            self.write(Call(PING_NAME, None), b"ping\r\n")

    async def keep_connected(self) -> None:
        """Connects, and reconnects with backoff whenever the connection is lost, until it is retired."""
        loop, backoff = asyncio.get_running_loop(), MIN_BACKOFF
        while not self.retired:
            self.disconnected.clear()
            try:
                async with asyncio.timeout(1.0):
                    await loop.create_connection(lambda: self, *self.address)
            except (OSError, TimeoutError):
                # If the connection came up just as the timeout expired, the event loop closes it without a
                # call of connection_lost.
                if self.transport is not None:
                    self.connection_lost(None)
                await asyncio.sleep(backoff)
                backoff = min(MAX_BACKOFF, 2 * backoff)
                continue
            connected_at = monotonic()
            await self.disconnected.wait()
            if monotonic() - connected_at < MAX_BACKOFF:  # accepted, then closed soon after
                await asyncio.sleep(backoff)
                backoff = min(MAX_BACKOFF, 2 * backoff)
            else:
                backoff = MIN_BACKOFF


class CounterClient:
    """Calls the counter over CONNECTION_COUNT connections.

    Args:
        address: where the counter listens.
        timeout: seconds that a call waits for its response.
    """

    def __init__(self, address: Address, timeout: float) -> None:
        self.timeout, self.address = timeout, address
        self.connections: list[CounterConnection] = []
        # By index: connections to a new address until they are established.
        self.replacements: dict[int, CounterConnection] = {}
        # Connections to a previous address until their last response.
        self.retired_connections: set[CounterConnection] = set()
        self.check_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts all connections and the periodic checks."""
        self.connections = [self.new_connection() for _ in range(CONNECTION_COUNT)]
        self.check_task = asyncio.get_running_loop().create_task(self.run_checks())

    def new_connection(self) -> CounterConnection:
        """Creates a connection to the current address; it connects by itself."""
        return CounterConnection(
            self.address,
            self.replace_connection,
            max(MIN_SILENCE_TIMEOUT, SILENCE_TIMEOUT_FACTOR * self.timeout),
        )

    def change_address(self, address: Address) -> None:
        """Moves to another address. Each connection is used until its replacement is established."""
        self.address = address
        for connection in self.replacements.values():
            connection.close()
        self.replacements = {index: self.new_connection() for index in range(CONNECTION_COUNT)}

    def replace_connection(self, connection: CounterConnection) -> None:
        """Puts an established connection to a new address in the place of the one that it replaces.

        Every connection calls this once it is established; one that replaces none is left as it is.
        """
        for index in [index for index, new in self.replacements.items() if new is connection]:
            replaced, self.connections[index] = self.connections[index], self.replacements.pop(index)
            self.retired_connections.add(replaced)
            replaced.retire()

    async def run_checks(self) -> None:
        """Checks all connections at CHECK_INTERVAL and forgets retired ones without pending calls."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            for connection in [*self.connections, *self.retired_connections]:
                connection.check()
            self.retired_connections = {
                connection for connection in self.retired_connections if connection.pending_calls
            }

    def add(self, name: int, amount: float, lifetime: float, on_done: CallDone) -> None:
        """Adds an amount to a counter; `on_done` gets the result and the new total.

        Args:
            name: the number of the counter.
            amount: in units.
            lifetime: seconds for which the counter keeps this name.
            on_done: called once with one of these results: "ok", "full" (the counter responded busy or
                error), "timeout" (may have been added), "spoilt" (malformed response: added, total unknown),
                "connect_failed" (not sent).
        """
        call = Call(name, on_done)
        command = b"incr %d %s %d\r\n" % (name, f"{amount:.7g}".encode(), max(1, math.ceil(lifetime * 1000)))
        loop = asyncio.get_running_loop()
        # One connection per name keeps the responses in order. Another one is used while that one reconnects,
        # as it does after each malformed response.
        index = name % CONNECTION_COUNT
        if any(
            connection.write(call, command)
            for connection in self.connections[index:] + self.connections[:index]
        ):
            call.timer = loop.call_later(self.timeout, call.end, "timeout")
        else:
            loop.call_soon(call.end, "connect_failed")

    def close(self) -> None:
        """Stops the checks and closes all connections."""
        if self.check_task is not None:
            self.check_task.cancel()
        for connection in [*self.connections, *self.replacements.values(), *self.retired_connections]:
            connection.close()
