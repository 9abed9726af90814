"""All client connections of a gateway: their number, their timeouts, and their end at shutdown.

An idle connection, one with a partial command and one that is closing each have a timeout of their own, which
no other activity on the connection resets.
"""

from __future__ import annotations

import asyncio
import errno
import itertools
from time import monotonic
from typing import Any

from calicomast.net.client_connection import (
    MIN_PARTIAL_COMMAND_TIME,
    READ_SIZE,
    ClientConnection,
    CloseReason,
)
from calicomast.net.events import EventKind, EventLog
from calicomast.net.fair_queue import FairQueue
from calicomast.net.listener import Listener
from calicomast.net.pending_commands import PENDING_COMMAND_BYTES
from calicomast.rules import Verdict

# Seconds without a pending command, or with a partial one, until a connection is closed.
IDLE_TIMEOUT = 2.2
# Seconds that a closing connection waits for its client to close, or to read the responses; longer while a
# response has not expired.
CLOSE_TIMEOUT = 1.0
# Seconds for which a client may leave its responses unread; longer while a response has not expired.
WRITE_STALL_TIMEOUT = 5.0
SWEEP_INTERVAL = 0.25  # seconds between checks of these timeouts
# Seconds between checks of connections whose reading is paused, so that the request of a disconnected client
# ends within 0.3 s.
DISCONNECT_POLL_INTERVAL = 0.1
# Commands over the limit of their connections that are refused between two of these checks, on all of them
# together. It bounds the CPU that they take; reading is paused beyond it.
MAX_REFUSALS_PER_POLL = 8192
# Seconds in one turn of the event loop, for all connections together: for splitting input into commands, and
# for handling these. Splitting has a time of its own: the end of a client's input lies behind its commands.
SPLITTING_TIME_PER_TURN = 0.002
DISPATCHING_TIME_PER_TURN = 0.002
# Part of the memory for pending commands that connections with a pending command already may fill together.
# The rest is for the first commands on other connections.
SHARE_FOR_FURTHER_COMMANDS = 0.75
MAX_EVICTION_CANDIDATES = 64  # idle connections checked for unread bytes when one has to be evicted
MAX_REJECTED_CONNECTIONS = 16  # rejected connections that wait for their client to close


class ClientConnections:
    """All client connections of a gateway, with their limits and timeouts.

    Args:
        handler: has handle_command(slot, command), called for each command, and handle_client_gone(slot),
            called for each pending command of a client that has disconnected.
        max_connections: limit of connections.
        max_partial_bytes: limit of bytes of partial commands on all connections together; also, separately,
            of the memory of pending commands.
        events: counts and logs closed connections.

    Attributes:
        idle: connections without a pending command and since when, longest idle first.
        partial_commands: connections with a partial command and since when, oldest first.
        awaiting_close: connections whose last response is written and since when.
        write_stalled: connections whose write buffer is full and since when.
        dropped: connections that were aborted and will be lost in the next turn of the event loop.
        rejected: connections over the limit that have been sent an error, oldest first.
        reading_paused: connections whose reading is paused.
        queued_bytes: bytes of commands that were read and not handed to the handler yet.
        pending_bytes: memory of pending commands and their responses, without the commands' own bytes.
        refusals: commands over the limit of their connections that were refused since the last check.
        read_buffer: takes the bytes that are read, on whatever connection, until these are copied.
        splitting: connections whose input is split into commands.
        dispatching: connections with queued commands.
    """

    def __init__(self, handler: Any, max_connections: int, max_partial_bytes: int, events: EventLog) -> None:
        self.handler = handler
        self.max_connections = max_connections
        self.max_partial_bytes = max_partial_bytes
        self.partial_bytes = self.queued_bytes = self.pending_bytes = self.refusals = 0
        self.events = events
        self.numbers = itertools.count(1)
        self.connections: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, float] = {}
        self.partial_commands: dict[ClientConnection, float] = {}
        self.awaiting_close: dict[ClientConnection, float] = {}
        self.write_stalled: dict[ClientConnection, float] = {}
        self.dropped: set[ClientConnection] = set()
        self.rejected: dict[ClientConnection, None] = {}
        self.reading_paused: set[ClientConnection] = set()
        self.read_buffer = memoryview(bytearray(READ_SIZE))
        self.splitting = FairQueue(ClientConnection.split_input, SPLITTING_TIME_PER_TURN)
        self.dispatching = FairQueue(ClientConnection.dispatch_commands, DISPATCHING_TIME_PER_TURN)
        self.listener: Listener | None = None
        # When the next disconnect poll is due, when the last one ran, and by how many seconds that was late.
        self.next_poll_at = self.last_poll_at = self.last_poll_lag = 0.0
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.poll_timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> int:
        """Starts listening and the periodic checks; returns the port. Raises OSError."""
        listener = Listener(lambda waited: ClientConnection(self, waited), self.on_accept_error)
        port = listener.open(host, port)
        self.listener = listener
        self.sweep()
        self.next_poll_at = monotonic()
        self.poll_disconnects()
        return port

    def on_accept_error(self, err: OSError) -> None:
        """Logs a failed accept call; waiting connections stay in the accept queue until it works again."""
        self.events.log(EventKind.ACCEPT_FAILED, errno.errorcode.get(err.errno or 0, str(err)))

    def add(self, connection: ClientConnection) -> None:
        """Adds a new connection; at the limit evicts another for it, or else rejects it."""
        self.connections.add(connection)
        # The limit protects descriptors; those of dropped connections are free by the next turn of the loop.
        if (
            len(self.connections) - len(self.dropped) - len(self.rejected) > self.max_connections
            and not self.evict_connection()
        ):
            self.rejected[connection] = None
            connection.fail(b"-ERR too many connections\r\n", CloseReason.TOO_MANY_CONNECTIONS)
            if len(self.rejected) > MAX_REJECTED_CONNECTIONS:
                next(iter(self.rejected)).drop(CloseReason.TOO_MANY_CONNECTIONS)
            return
        # The idle timeout counts from the client's connect, also where accept was late.
        self.idle[connection] = monotonic() - connection.unread_seconds

    def evict_connection(self) -> bool:
        """Drops a connection that waits for its client to close, or else the longest idle one.

        Connections with an unexpired response, or with bytes that may be a command, are not dropped. Returns
        False if there is no other.
        """
        now = monotonic()
        for connection in self.awaiting_close:
            if (
                connection not in self.dropped
                and connection not in self.rejected
                and not connection.has_unexpired_response(now)
            ):
                connection.drop(CloseReason.EVICTED)
                return True
        for connection in [c for c, _ in zip(self.idle, range(MAX_EVICTION_CANDIDATES), strict=False)]:
            recent_partial = (
                connection.partial_bytes and connection.partial_since > now - MIN_PARTIAL_COMMAND_TIME
            )
            if not (
                connection.transport.is_closing()
                or recent_partial
                or connection.unsent_bytes()
                or connection.has_unread_input()
            ):
                connection.drop(CloseReason.EVICTED)
                return True
        return False

    def remove(self, connection: ClientConnection) -> None:
        """Removes a closed connection, and counts and logs why it was closed."""
        if connection.close_reason in (
            CloseReason.CLIENT_DISCONNECTED,
            CloseReason.IDLE,
            CloseReason.SHUTTING_DOWN,
        ):
            self.events.count(EventKind.CLIENT_CLOSED, connection.close_reason.value)
        else:
            ids = {"connection": connection.number, "state": connection.previous_state.value}
            self.events.log(EventKind.CLIENT_CLOSED, connection.close_reason.value, **ids)
        self.connections.discard(connection)
        self.track_partial(connection, 0)
        self.reading_paused.discard(connection)
        self.dropped.discard(connection)
        for group in (self.idle, self.awaiting_close, self.write_stalled, self.rejected):
            group.pop(connection, None)

    def mark_idle(self, connection: ClientConnection) -> None:
        """Restarts the idle timeout of a connection without pending commands, unless it is closing."""
        self.idle.pop(connection, None)
        if not connection.is_closing:
            self.idle[connection] = monotonic()

    def track_partial(
        self, connection: ClientConnection, partial_bytes: int, partial_is_new: bool = False
    ) -> bool:
        """Records the size of a connection's partial command; 0 if it has none.

        `partial_is_new` means that the command began with the bytes just read. Returns False if the partial
        commands of all connections together exceed their limit.
        """
        self.partial_bytes += partial_bytes - connection.partial_bytes
        connection.partial_bytes = partial_bytes
        if partial_is_new or not partial_bytes:
            self.partial_commands.pop(connection, None)
        if partial_bytes:
            self.partial_commands.setdefault(connection, connection.partial_since)
        return not partial_bytes or self.partial_bytes <= self.max_partial_bytes

    def may_queue(self, connection: ClientConnection, length: int) -> bool:
        """Whether a command of `length` bytes on the wire may be kept until its response is written."""
        held = self.queued_bytes + self.pending_bytes
        limit = self.max_partial_bytes * (SHARE_FOR_FURTHER_COMMANDS if connection.pending else 1.0)
        return not held or held + length + PENDING_COMMAND_BYTES <= limit

    def record_refusal(self, connection: ClientConnection) -> None:
        """Counts a command that was refused unparsed; too many of them pause reading until the next check."""
        self.events.count(EventKind.REQUEST_REFUSED, Verdict.CAPACITY_EXCEEDED.value)
        self.refusals += 1
        if self.refusals > MAX_REFUSALS_PER_POLL:
            connection.refusals_paused = True

    def resume_after_refusals(self) -> None:
        """Lets connections whose reading was paused after too many refusals be read again."""
        self.refusals = 0
        for connection in [c for c in self.reading_paused if c.refusals_paused]:
            connection.refusals_paused = False
            connection.update_flow_control()

    def sweep(self) -> None:
        """Applies the timeouts of all connections, and schedules the next sweep."""
        self.sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL, self.sweep)
        now = monotonic()
        for connection in [c for c, since in self.idle.items() if since < now - IDLE_TIMEOUT]:
            connection.on_idle_timeout()
        limit = max(IDLE_TIMEOUT, MIN_PARTIAL_COMMAND_TIME)
        for connection in list(
            itertools.takewhile(lambda c: self.partial_commands[c] < now - limit, self.partial_commands)
        ):
            connection.expire_partial_command(limit)
        for group, timeout, reason in (
            (self.awaiting_close, CLOSE_TIMEOUT, CloseReason.CLIENT_DID_NOT_CLOSE),
            (self.write_stalled, WRITE_STALL_TIMEOUT, CloseReason.RESPONSES_NOT_READ),
        ):
            for connection in [
                c for c, since in group.items() if since < now - timeout and c.may_be_dropped(now)
            ]:
                connection.drop(reason)

    def poll_disconnects(self) -> None:
        """Checks connections whose reading is paused for a disconnect, and schedules the next check."""
        self.poll_timer = asyncio.get_running_loop().call_later(
            DISCONNECT_POLL_INTERVAL, self.poll_disconnects
        )
        now = monotonic()
        self.last_poll_lag = max(0.0, now - self.next_poll_at)
        self.last_poll_at = now
        self.next_poll_at = now + DISCONNECT_POLL_INTERVAL
        for connection in [c for c in self.reading_paused if not c.transport.is_closing()]:
            connection.check_disconnect()
        self.resume_after_refusals()

    def loop_lag(self) -> float:
        """Returns by how many seconds the event loop was late just before, or 0.

        Bytes that are read now may have waited in the socket for as long.
        """
        return self.last_poll_lag if monotonic() - self.last_poll_at < self.last_poll_lag else 0.0

    async def stop_accepting(self) -> None:
        """Accepts the connections in the queue, whose commands are still answered, and stops listening."""
        if self.listener is not None:
            await self.listener.close()

    def drain(self) -> None:
        """Closes each connection once all commands on it are answered."""
        for connection in list(self.connections):
            connection.close_when_done(CloseReason.SHUTTING_DOWN)

    def close(self) -> None:
        """Stops the periodic checks."""
        for timer in (self.sweep_timer, self.poll_timer):
            if timer is not None:
                timer.cancel()
