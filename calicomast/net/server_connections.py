"""Connections to servers: attempts, their results, and probes.

A connection carries one attempt at a time. Responses arrive in order, so a slow one would delay those behind
it, and cancelling an attempt closes its connection.
"""

from __future__ import annotations

import asyncio
import bisect
import contextlib
import logging
import math
import re
import socket
import struct
from collections.abc import Callable, Iterator
from time import monotonic
from typing import Any

import hiredis

from calicomast.net.framing import MAX_BODY_BYTES, NO_MESSAGE, FramingError, MessageFramer
from calicomast.net.lifecycle import AttemptState, ServerConnectionState, transition
from calicomast.net.local_errors import is_local_error
from calicomast.net.server_list import Address
from calicomast.net.socket_state import unacknowledged_bytes
from calicomast.rules import WRITE_CHECK_INTERVAL
from calicomast.settings import read_load_report

REUSE_DELAY = 0.02  # seconds after a response; a duplicate of it can arrive some milliseconds late
IDLE_TIMEOUT_MARGIN = 0.1  # fraction of the servers' idle timeout by which the gateway closes earlier
IDLE_CHECK_INTERVAL = 0.5  # seconds between checks for expired idle connections
IDLE_TIME_STEPS = [0.02 * 1.5**k for k in range(18)]  # seconds, up to 20; idle times are counted by step
NEW_CONNECTION_COST = 0.1  # attempts; for the server's work on a new connection, and the time it takes
MIN_SAVED_ATTEMPTS = 2.0  # a smaller saving by closing idle connections may be chance
IDLE_LOSS_HALF_LIFE = 30.0  # seconds after which the counts of idle connections have decayed by half
MAX_LOAD = 10_000.0  # largest figure in a load report; a larger one would distort the averages for long
MAX_QUOTA_USAGE = 1_000_000  # percent of a tenant's rate; a larger number is taken to be an error
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # for SO_LINGER: enabled, with a time of 0 seconds
PROBE_MARKER = object()  # in place of request and number: the attempt is a probe
PROBE_COMMAND = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"

Report = dict[str, float]
# The protocol's format; float() alone accepts more.
REPORT_PATTERN = re.compile(r"(\w+=([0-9]{1,9}(\.[0-9]{1,9})?)?(,|$))+")

log = logging.getLogger(__name__)


class Attempt:
    """One command sent to one server.

    Attributes:
        server: the id of the server.
        build_command: called in the same step as the write; returns the bytes to write, or None if the
            attempt may no longer begin.
        may_finish_write: called with the attempt, and whether the socket took any byte, while the socket
            has not taken the whole command; returns whether the rest may still be sent.
        on_done: called once with the attempt, when `result` is set.
        request_and_number: the request that the attempt belongs to and the number of the attempt; for a
            probe, PROBE_MARKER.
        started_at: monotonic time at which the attempt was created.
        encoded_at: monotonic time at which its command was encoded.
        result: one of interface.ATTEMPT_RESULTS; empty until the attempt has ended.
        value: the value that the server returned.
        quota_usage: the server's figure: 1 + percent of the tenant's rate used in the last metered period;
            0 if there is none.
        report: the load report that came with the response.
        connection: the connection that it was handed to.
        timer: cancels the attempt at its timeout.
        state: AttemptState.
        slow_start: whether the server has just started, so that a write needs the policy's permission if the
            connection was established late.
        permitted: whether the caller has checked in this same step that the attempt may begin.
    """

    __slots__ = (
        "server",
        "build_command",
        "may_finish_write",
        "on_done",
        "request_and_number",
        "started_at",
        "encoded_at",
        "result",
        "value",
        "quota_usage",
        "report",
        "connection",
        "timer",
        "state",
        "slow_start",
        "permitted",
    )

    def __init__(
        self,
        server: str,
        build_command: Callable[[Attempt], bytes | None],
        on_done: Callable[[Attempt], None],
        request_and_number: Any = None,
    ) -> None:
        self.server = server
        self.build_command = build_command
        self.on_done = on_done
        self.request_and_number = request_and_number
        self.may_finish_write: Callable[[Attempt, bool], bool] = lambda attempt, begun: True
        self.started_at = self.encoded_at = monotonic()
        self.state = AttemptState.WAITING
        self.slow_start = False
        self.permitted = False
        self.result = ""
        self.value = b""
        self.quota_usage = 0
        self.report: Report = {}
        self.connection: Connection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def elapsed(self) -> float:
        """Returns the seconds since the attempt was created."""
        return monotonic() - self.started_at

    def end(self, result: str) -> None:
        """Sets the result and reports it to `on_done`, unless the attempt has already ended."""
        if self.result:
            return
        self.result = result
        self.state = transition(self.state, AttemptState.ENDED, self.server)
        if self.timer is not None:
            self.timer.cancel()
        self.on_done(self)

    @property
    def written(self) -> bool:
        """Whether the socket took the last byte. From then on the server may have executed the request."""
        return self.connection is not None and self.connection.written


def parse_report(text: object) -> Report:
    """Returns the figures of a load report; none if the report is missing or malformed."""
    if isinstance(text, bytes):
        text = text.decode("utf-8", "replace")
    if not isinstance(text, str) or not REPORT_PATTERN.fullmatch(text):
        return {}
    report = read_load_report(pair.split("=", 1) for pair in text.rstrip(",").split(","))
    return report if all(value <= MAX_LOAD for value in report.values()) else {}


class IdleLossEstimator:
    """Estimates the idle time after which a connection is worse than a new one.

    A device on the path may drop idle connections sooner than the servers do, and notify neither end. The
    next request on such a connection is reset. This covers address translation, a shorter limit of a proxy or
    of a server, and a server that was replaced at its address.

    Trade-off: where resets come by chance alone, connections are replaced without benefit until the counts
    have decayed by half. An improvement is noticed as late.

    Attributes:
        idle_limit: seconds of idle time beyond which closing connections would have saved the most attempts.
    """

    def __init__(self) -> None:
        self.uses = [0.0] * (len(IDLE_TIME_STEPS) + 1)  # attempts, by step of the idle time before them
        self.losses = [0.0] * (len(IDLE_TIME_STEPS) + 1)  # those of them that were reset
        # As if 10 attempts had gone well, so that a first reset has little weight.
        self.new_connection_uses = 10.0
        self.new_connection_losses = 0.0
        self.idle_limit = math.inf

    def record(self, idle_time: float, lost: bool) -> None:
        """Counts an attempt on a connection that was idle for so many seconds before it; 0: a new one."""
        if idle_time <= 0:
            self.new_connection_uses = self.new_connection_uses + 1
            self.new_connection_losses = self.new_connection_losses + lost
            return
        step = bisect.bisect(IDLE_TIME_STEPS, idle_time)
        self.uses[step] += 1
        self.losses[step] += lost
        if lost:
            self.update_limit()

    def update_limit(self) -> None:
        """Sets the limit to the step from which closing would have saved the most attempts."""
        saved, most_saved, self.idle_limit = 0.0, MIN_SAVED_ATTEMPTS, math.inf
        expected_loss = self.new_connection_losses / self.new_connection_uses + NEW_CONNECTION_COST
        for step in range(len(IDLE_TIME_STEPS), 0, -1):
            saved += self.losses[step] - self.uses[step] * expected_loss
            if saved > most_saved:
                most_saved, self.idle_limit = saved, IDLE_TIME_STEPS[step - 1]

    def decay(self, seconds: float) -> None:
        """Decays all counts by the time that has passed."""
        factor = 0.5 ** (seconds / IDLE_LOSS_HALF_LIFE)
        self.uses = [count * factor for count in self.uses]
        self.losses = [count * factor for count in self.losses]
        self.new_connection_uses = 10.0 + (self.new_connection_uses - 10.0) * factor
        self.new_connection_losses = self.new_connection_losses * factor
        self.update_limit()


class Connection(asyncio.Protocol):
    """One connection to a server.

    Attributes:
        pool: the pool that it belongs to.
        attempt: the attempt in progress on it.
        written: whether the socket took every byte so far.
        command_bytes: length of the command of its attempt.
        write_check: timer of the next check of a command that is written in part.
        idle_since: monotonic time at which its last attempt ended; 0 before the first attempt.
        idle_time: seconds for which it was idle before its attempt; 0 on a new connection.
        response_started: whether any byte of the response to its attempt has arrived.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.framing = MessageFramer()
        self.state = ServerConnectionState.CONNECTING
        self.attempt: Attempt | None = None
        self.written = True
        self.command_bytes = 0
        self.write_check: asyncio.TimerHandle | None = None
        self.idle_since = 0.0
        self.idle_time = 0.0
        self.response_started = False
        self.transport: asyncio.Transport | None = None
        self.family = 0
        self.descriptor = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is established."""
        self.transport = transport  # type: ignore[assignment]
        transport_socket = transport.get_extra_info("socket")
        self.family = transport_socket.family
        self.descriptor = transport_socket.fileno()
        # With this limit, pause_writing is called at once if the socket did not take every byte.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """Called by the event loop: some bytes are still buffered above the socket."""
        self.written = False
        self._schedule_write_check()

    def resume_writing(self) -> None:
        """Called by the event loop: the socket took all buffered bytes."""
        self.written = True
        self._cancel_write_check()

    def _schedule_write_check(self) -> None:
        """Schedules a check whether the rest of the command may still be sent."""
        loop = asyncio.get_running_loop()
        self.write_check = loop.call_later(WRITE_CHECK_INTERVAL, self._check_write)

    def _cancel_write_check(self) -> None:
        """Cancels the next check."""
        if self.write_check is not None:
            self.write_check.cancel()
            self.write_check = None

    def _check_write(self) -> None:
        """Ends an attempt whose command is written in part once the rules no longer allow the rest.

        The server cannot execute it then, as the last byte is still buffered here.
        """
        attempt, self.write_check = self.attempt, None
        if attempt is None or self.transport is None:
            return
        begun = self.transport.get_write_buffer_size() < self.command_bytes
        if attempt.may_finish_write(attempt, begun):
            self._schedule_write_check()
        else:
            self.abandon("cancelled")

    @contextlib.contextmanager
    def borrow_socket(self) -> Iterator[socket.socket]:
        """Yields the socket of the open transport for one call.

        The socket object is not kept. If a connect is cancelled, uvloop drops the transport without calling
        connection_lost, and a socket object left over would later close a descriptor that is in use again.
        """
        sock = socket.socket(self.family, socket.SOCK_STREAM, 0, self.descriptor)
        try:
            yield sock
        finally:
            sock.detach()

    def is_reusable(self) -> bool:
        """Returns whether the connection is open and has nothing to read, neither bytes nor the end.

        Bytes that follow a response never belong to the next one.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        with self.borrow_socket() as sock:
            try:
                sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return True
            except OSError:
                pass
        return False

    def start_attempt(self, attempt: Attempt) -> bool:
        """Writes an attempt; returns False and changes nothing if it may no longer begin."""
        assert self.transport is not None
        command = attempt.build_command(attempt)
        if command is None:
            return False
        self.state = transition(self.state, ServerConnectionState.BUSY, attempt.server)
        attempt.state = transition(attempt.state, AttemptState.RUNNING, attempt.server)
        self.attempt, attempt.connection = attempt, self
        self.idle_time = monotonic() - self.idle_since if self.idle_since else 0.0
        self.response_started = False
        self.command_bytes = len(command)
        self.transport.write(command)
        if self.transport.is_closing():  # the write failed at once, so the socket took nothing
            self.written = False
        return True

    def data_received(self, data: bytes) -> None:
        """Called by the event loop: ends the attempt once its response is complete."""
        attempt = self.attempt
        if attempt is None:  # no attempt waits for this response
            self.close()
            return
        self.response_started = True
        self.framing.feed(data)
        try:
            response = self.framing.next_message()
            if response is NO_MESSAGE:
                return
            result = read_response(attempt, response)
        except FramingError:  # the request was executed, and where the next response begins is unknown
            self.close()
            return
        except Exception:  # without the close, the attempt would last until its timeout
            log.exception("failed to read a server's response")
            self.close()
            return
        self.attempt = None
        self.pool.owner.idle_loss.record(self.idle_time, False)
        if self.framing.buffer:  # bytes behind the response: the next attempt would read them as its own
            self.close()
        else:
            self.pool.release(self)
        attempt.end(result)

    def abandon(self, result: str) -> None:
        """Ends the attempt with a result and closes the connection.

        The result is "connect_failed" if the command was not written completely. The connection is closed
        since the next attempt on it would read a late response as its own.
        """
        attempt, self.attempt = self.attempt, None
        if not self.written:
            result = "connect_failed"
        self._discard_unsent()
        self.close()
        if attempt is not None:
            attempt.end(result)

    def _discard_unsent(self) -> None:
        """Makes the coming close discard what the server has not acknowledged.

        The system would go on to send it after the close, and a server that reads again later would begin the
        attempt then.
        """
        if self.transport is None or self.transport.is_closing() or not unacknowledged_bytes(self.descriptor):
            return
        with self.borrow_socket() as sock, contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop when the connection has ended."""
        self.close()

    def close(self) -> None:
        """Closes the connection and ends its attempt.

        The socket is shut down at once, before another attempt can be sent.
        """
        attempt, self.attempt = self.attempt, None
        self._cancel_write_check()
        if self.state is not ServerConnectionState.CLOSED:
            self.state = transition(self.state, ServerConnectionState.CLOSED)
        self.pool.discard(self)
        if self.transport is not None and not self.transport.is_closing():
            with self.borrow_socket() as sock, contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
        if attempt is not None:
            if not self.response_started:  # a partial response shows that the request reached the server
                self.pool.owner.idle_loss.record(self.idle_time, True)
            attempt.end("reset" if self.written else "connect_failed")


def read_response(attempt: Attempt, response: object) -> str:
    """Copies a response into its attempt and returns the attempt's result.

    Raises FramingError for a malformed response. The request may have been executed, and no value can be
    returned for it.
    """
    if isinstance(response, list) and attempt.request_and_number is not PROBE_MARKER:
        if len(response) != 3 or not isinstance(response[0], bytes) or len(response[0]) > MAX_BODY_BYTES:
            raise FramingError("malformed value in a server's response")
        attempt.value = response[0]
        if isinstance(response[1], int) and 0 <= response[1] <= MAX_QUOTA_USAGE:
            attempt.quota_usage = response[1]
        attempt.report = parse_report(response[2])
        return "ok"
    if isinstance(response, hiredis.ReplyError):
        words = str(response).split(" ")
        attempt.report = parse_report(words[-1])
        return "full" if words[0] == "BUSY" else "error"
    if isinstance(response, bytes) and attempt.request_and_number is PROBE_MARKER:
        attempt.report = parse_report(response)
        return "ok"
    raise FramingError("unexpected type of a server's response")


class ConnectionPool:
    """The connections to one server.

    Attributes:
        owner: the connections to all servers.
        address: where the server listens.
        active: False after `stop`; no attempt starts then.
        idle: idle connections, the most recently used one last.
        open_count: established connections, the idle ones among them.
        connecting: attempts that wait for a new connection, each with the task that connects.
    """

    def __init__(self, owner: ServerConnections, address: Address) -> None:
        self.owner = owner
        self.address = address
        self.active = True
        self.idle: list[Connection] = []
        self.open_count = 0
        self.connecting: dict[Attempt, asyncio.Task[None]] = {}

    def start_attempt(self, attempt: Attempt) -> None:
        """Writes an attempt on the idle connection used last, or connects for it.

        Connections idle for less than REUSE_DELAY or beyond the idle limit are not used. The attempt ends
        with "withheld" if it may no longer begin, and with "unsent" if no further connection may be opened.
        """
        now = monotonic()
        latest, earliest = now - REUSE_DELAY, now - self.owner.idle_loss.idle_limit
        for connection in [each for each in reversed(self.idle) if earliest < each.idle_since <= latest]:
            if connection.is_reusable():
                self.idle.remove(connection)
                if not connection.start_attempt(attempt):
                    self.idle.append(connection)
                    attempt.end("withheld")
                return
            connection.close()
        if not self.owner.ensure_capacity():
            asyncio.get_running_loop().call_soon(attempt.end, "unsent")
            return
        self.connecting[attempt] = asyncio.get_running_loop().create_task(self.connect(attempt))

    async def connect(self, attempt: Attempt) -> None:
        """Opens a connection for an attempt and starts the attempt, if it has not ended meanwhile."""
        loop = asyncio.get_running_loop()
        connection: Connection | None = None
        result = "connect_failed"
        try:
            async with asyncio.timeout(self.owner.connect_timeout):
                _, connection = await loop.create_connection(lambda: Connection(self), *self.address)
        except (OSError, ValueError) as error:  # refused, timed out, no descriptor, or not an address
            if is_local_error(error):
                result = "unsent"
        finally:
            waiting = self.connecting.pop(attempt, None) is not None
        if connection is not None:
            self.owner.connections.add(connection)
            self.open_count += 1
            if waiting and not attempt.result and self.active and not connection.transport.is_closing():
                if not connection.start_attempt(attempt):
                    self.release(connection)
                    attempt.end("withheld")
                return
            connection.close()
        if waiting:
            attempt.end(result)

    def release(self, connection: Connection) -> None:
        """Marks a connection as idle; closes it if the pool was stopped."""
        if self.active:
            connection.state = transition(connection.state, ServerConnectionState.IDLE, self.address)
            connection.idle_since = monotonic()
            self.idle.append(connection)
        else:
            connection.close()

    def discard(self, connection: Connection) -> None:
        """Forgets a connection that is closing. Calls after the first have no effect."""
        if connection in self.idle:
            self.idle.remove(connection)
        if connection in self.owner.connections:
            self.owner.connections.remove(connection)
            self.open_count -= 1

    def close_idle(self, before: float = math.inf) -> None:
        """Closes the connections that became idle before a monotonic time; by default all idle ones."""
        for connection in [each for each in self.idle if each.idle_since < before]:
            connection.close()

    def stop(self) -> None:
        """Closes the idle connections and ends the attempts that wait for a connection.

        No further attempt starts at this address. Attempts that were written continue.
        """
        self.active = False
        self.close_idle()
        for attempt, task in list(self.connecting.items()):
            del self.connecting[attempt]
            task.cancel()
            attempt.end("connect_failed")


class ServerConnections:
    """The connections to all servers that this gateway sends to. Nothing is kept for other servers.

    Args:
        connect_timeout: seconds; also the timeout of a probe.
        server_idle_timeout: seconds after which the servers close an idle connection.
        max_connections: limit over all servers, with those that are being established.
        address_of: returns where a server listens now; None if nothing may be sent to it.
    """

    def __init__(
        self,
        connect_timeout: float,
        server_idle_timeout: float,
        max_connections: int,
        address_of: Callable[[str], Address | None],
    ) -> None:
        self.connect_timeout = connect_timeout
        self.max_connections = max_connections
        self.address_of = address_of
        self.idle_timeout = server_idle_timeout * (1 - IDLE_TIMEOUT_MARGIN) - IDLE_CHECK_INTERVAL
        # One estimator for all servers: what drops idle connections is rarely specific to one of them.
        self.idle_loss = IdleLossEstimator()
        self.pools: dict[str, ConnectionPool] = {}
        self.connections: set[Connection] = set()
        self.idle_check_timer: asyncio.TimerHandle | None = None

    def pool_for(self, server_id: str) -> ConnectionPool | None:
        """Returns the connections to a server; None if nothing may be sent to it."""
        pool = self.pools.get(server_id)
        if pool is None and (address := self.address_of(server_id)) is not None:
            pool = self.pools[server_id] = ConnectionPool(self, address)
        return pool

    def stop_server(self, server_id: str) -> None:
        """Sends nothing more to a server at the address that it has had until now."""
        pool = self.pools.pop(server_id, None)
        if pool is not None:
            pool.stop()

    def send(self, attempt: Attempt, timeout: float) -> None:
        """Starts an attempt; it is cancelled with "timeout" after so many seconds."""
        loop = asyncio.get_running_loop()
        pool = self.pool_for(attempt.server)
        if pool is None:
            loop.call_soon(attempt.end, "connect_failed")
            return
        attempt.timer = loop.call_later(timeout, self.cancel_attempt, attempt, "timeout")
        pool.start_attempt(attempt)

    def probe(self, server_id: str, on_done: Callable[[Attempt], None]) -> None:
        """Asks a server for its load report; `on_done` gets the attempt that did it."""
        self.send(
            Attempt(server_id, lambda attempt: PROBE_COMMAND, on_done, PROBE_MARKER), self.connect_timeout
        )

    def cancel_attempt(self, attempt: Attempt, result: str) -> None:
        """Ends an attempt with a result; "connect_failed" if it was not written completely."""
        if attempt.result:
            return
        if attempt.connection is None:
            self._end_waiting(attempt, "connect_failed")
        else:
            attempt.connection.abandon(result)

    def withhold(self, attempt: Attempt) -> None:
        """Ends an attempt that waits for a connection with "withheld"; others are not affected."""
        if not attempt.result and attempt.connection is None:
            self._end_waiting(attempt, "withheld")

    def _end_waiting(self, attempt: Attempt, result: str) -> None:
        """Ends an attempt that waits for a connection, and stops connecting for it."""
        pool = self.pools.get(attempt.server)
        task = pool.connecting.pop(attempt, None) if pool else None
        if task is not None:
            task.cancel()
        attempt.end(result)

    @property
    def open_count(self) -> int:
        """The number of connections, with those that are being established.

        It is computed, not stored: a connecting task that is cancelled before its first step could not
        subtract itself.
        """
        return len(self.connections) + sum(len(pool.connecting) for pool in self.pools.values())

    def ensure_capacity(self) -> bool:
        """Returns whether another connection may be opened; at the limit, evicts the one idle longest."""
        if self.open_count < self.max_connections:
            return True
        idle_longest = min(
            (pool.idle[0] for pool in self.pools.values() if pool.idle),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if idle_longest is None:
            return False
        idle_longest.close()
        return True

    def close_idle(self, server_id: str) -> None:
        """Closes the idle connections to a server."""
        if server_id in self.pools:
            self.pools[server_id].close_idle()

    def close_expired_idle(self) -> None:
        """Closes connections that have been idle too long, and removes pools without connections.

        A request would be reset on a connection that has been idle nearly as long as the servers allow, or so
        long that something on the path may have dropped it.
        """
        self.idle_loss.decay(IDLE_CHECK_INTERVAL)
        before = monotonic() - min(self.idle_timeout, self.idle_loss.idle_limit)
        for server_id, pool in list(self.pools.items()):
            if pool.idle and pool.idle[0].idle_since < before:
                pool.close_idle(before)
            if not pool.open_count and not pool.connecting:
                del self.pools[server_id]

    def start_idle_checks(self) -> None:
        """Closes expired idle connections now and at every IDLE_CHECK_INTERVAL."""
        self.close_expired_idle()
        self.idle_check_timer = asyncio.get_running_loop().call_later(
            IDLE_CHECK_INTERVAL, self.start_idle_checks
        )

    def close(self) -> None:
        """Stops the checks and closes all connections."""
        if self.idle_check_timer is not None:
            self.idle_check_timer.cancel()
        for pool in self.pools.values():
            pool.stop()
        for connection in list(self.connections):
            connection.close()
