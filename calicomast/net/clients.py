"""The server that clients connect to: reads commands, answers in order, notes clients that left.

The states of a connection stand in lifecycle.py. One with nothing in work, one with half a command and one
that is ending each end by a time of their own, which nothing else on the connection sets back.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import itertools
import select
import termios
from collections import deque
from enum import Enum
from time import monotonic
from typing import Any

from calicomast.net.events import EventKind, EventLog
from calicomast.net.framing import NO_MESSAGE, FramingError, MessageFramer
from calicomast.net.invariants import MONITOR, Invariant
from calicomast.net.lifecycle import ClientConnectionState, transition
from calicomast.net.listener import Listener
from calicomast.rules import Verdict, may_close_connection

MOST_PENDING = 512  # commands of one connection in work; past that it is not read
IDLE = 2.2  # s without a command in work, or with half a one, after which a connection is closed
ENDING = 1.0  # s that a closing connection has for its client's end; for answers, while they still count
STUCK = 5.0  # s without the client taking its answers, though none of them counts any more
SWEEP = 0.25  # s between looks for those
HALF = 0.5  # s that half a command has at least, though the idle time of its connection is over; IDLE at most
DISCONNECT_POLL_INTERVAL = (
    0.1  # s between looks at connections that are not read: a request of a client that left ends by 0.3 s
)
MOST_DROPPED = 256 * 1024  # bytes read and dropped behind lost framing, so that the close is no reset
MOST_LOOKED_AT = 64  # idle connections asked for unread bytes when one has to go
MOST_UNTAKEN = 1024 * 1024  # bytes of answers that wait past STUCK for a client to take them
MOST_AWAY = 16  # connections turned away that wait for their client's end
LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR
FAILED_RESPONSE = b"-ERR failed\r\n"


class CloseReason(Enum):
    """Why a client's connection was closed."""

    CLIENT_LEFT = "client left"
    IDLE = "idle"
    HALF_COMMAND = "half a command"
    LOST_FRAMING = "lost framing"
    HALF_COMMANDS_TOO_LARGE = "half commands too large"
    TOO_MANY_CONNECTIONS = "too many connections"
    MADE_ROOM = "made room"
    NOT_ENDED = "client did not end"
    ANSWERS_NOT_TAKEN = "answers not taken"
    SENT_ON = "sent on behind lost framing"
    SHUTTING_DOWN = "shutting down"


class ResponseSlot:
    """The place of one command's answer among those of its connection."""

    __slots__ = ("connection", "response", "active_request", "expires_at")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.expires_at = 0.0  # until when its answer counts
        self.response: bytes | None = None
        self.active_request: Any = None  # what the handler keeps of a command that it has not answered yet

    def reply(self, answer: bytes) -> None:
        if self.response is not None:
            MONITOR.record_violation(Invariant.SECOND_ANSWER, f"connection {self.connection.number}")
            return
        self.response = answer
        self.connection.flush()


class ClientConnection(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: ClientConnections, waited: float = 0.0) -> None:
        self.server = server
        self.unread_for = waited  # s for which what is read next may have lain there, for a reason known here
        self.number = next(server.numbers)
        self.state = self.before_end = ClientConnectionState.OPEN  # before_end: the state before this one
        self.reason = CloseReason.CLIENT_LEFT
        self.framing = MessageFramer()
        self.pending: deque[ResponseSlot] = deque()
        self.partial = self.dropped = 0  # bytes of half a command; those behind lost framing
        self.began = self.due = 0.0  # when the half command did; until when an answer that was written counts
        self.writes_paused = self.reads_paused = False
        self.paused_at = 0.0  # when reading was
        self.dispatching = False  # commands that were read are just being handed over, one after another
        self.transport: asyncio.Transport

    @property
    def closing(self) -> bool:
        """Whether it closes once nothing on it is in work, or is closed."""
        return self.state is not ClientConnectionState.OPEN

    @property
    def readable(self) -> bool:
        """Whether commands on it are still read."""
        return self.state is ClientConnectionState.OPEN or self.state is ClientConnectionState.CLOSING

    def become(self, state: ClientConnectionState, reason: CloseReason | None = None) -> None:
        """Changes its state; the first reason to leave OPEN is the one that is told."""
        if reason is not None and self.state is ClientConnectionState.OPEN:
            self.reason = reason
        self.before_end = self.state
        self.state = transition(self.state, state, self.number)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.handle_disconnect()
        self.become(ClientConnectionState.CLOSED)
        self.server.remove(self)

    def eof_received(self) -> None:
        """The client has closed. What it still waits for ends now, not only once what was written to it has
        been taken, which may be never."""
        if self.readable:
            self.handle_disconnect()

    def handle_disconnect(self) -> None:
        """Ends what is in work for a client that has gone."""
        if self.state not in (ClientConnectionState.DISCONNECTED, ClientConnectionState.CLOSED):
            self.become(ClientConnectionState.DISCONNECTED, CloseReason.CLIENT_LEFT)
        pending, self.pending = self.pending, deque()
        for slot in pending:
            if slot.response is None:
                self.server.handler.handle_client_gone(slot)

    def check_disconnect(self) -> None:
        """Sees a client leave whose connection is not read: its end stands behind bytes that nobody takes."""
        if self.peer_has_closed():
            self.handle_disconnect()
            self.transport.abort()

    def peer_has_closed(self) -> bool:
        """Whether the client has closed, though the loop has not read that yet."""
        if self.transport.is_closing():
            return True
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        return any(seen & LEFT for _, seen in poll.poll(0))

    def data_received(self, data: bytes) -> None:
        if not self.readable:
            self.dropped += len(data)
            if self.dropped > MOST_DROPPED:  # one that goes on sending would take CPU for nothing
                self.transport.abort()
            return
        self.framing.feed(data)
        begins, self.dispatching, spoilt = not self.partial, True, False
        try:
            while (command := self.framing.next_message()) is not NO_MESSAGE:
                slot = ResponseSlot(self)
                self.pending.append(slot)
                self.server.idle.pop(self, None)
                begins = True
                self.server.handler.handle_command(slot, command)
        except FramingError:
            spoilt = True
        self.dispatching = False
        self.unread_for = 0.0
        if not self.readable:
            return
        if spoilt:
            self.fail(b"-ERR protocol error\r\n", CloseReason.LOST_FRAMING)
            return
        if begins and self.framing.buffer:
            self.began = monotonic()
        if not self.server.track_partial(self, len(self.framing.buffer), begins):
            self.fail(b"-ERR too much in work\r\n", CloseReason.HALF_COMMANDS_TOO_LARGE)
            return
        self.throttle()
        if self.closing and not self.pending:
            self.try_close()

    def fail(self, answer: bytes, reason: CloseReason) -> None:
        """Nothing that follows can be read. What is in work is failed: the client is not to wait for it."""
        self.become(ClientConnectionState.BROKEN, reason)
        self.server.track_partial(self, 0)
        for slot in list(self.pending):
            if slot.response is None:
                slot.response = FAILED_RESPONSE
                self.server.handler.handle_client_gone(slot)
        slot = ResponseSlot(self)
        self.pending.append(slot)
        slot.reply(answer)

    def on_idle_timeout(self) -> None:
        """Its idle time is over."""
        if self.transport.is_closing() or self.unread():
            return  # it has gone, or asks just now
        if self.partial:
            self.expire_partial_command(HALF)
        else:
            self.close_when_done(CloseReason.IDLE)

    def expire_partial_command(self, seconds: float) -> None:
        """Ends a command of which only a part has come for so long, unless its rest lies in the socket."""
        if not self.readable or self.transport.is_closing() or self.began >= monotonic() - seconds:
            return
        if not self.unread():
            self.fail(b"-ERR command not finished in time\r\n", CloseReason.HALF_COMMAND)

    def read_delay(self) -> float:
        """How long, at most, what is read now has lain unread: s by which its client's time is shorter."""
        return max(self.unread_for, self.server.loop_lag())

    def unread(self) -> bool:
        """Whether the socket holds bytes that were not read yet."""
        told = fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0\0\0\0")
        return told != b"\0\0\0\0"

    def owes(self, now: float) -> bool:
        """Whether the client still has to get an answer that counts. Past that time it may never take it."""
        return any(slot.expires_at > now for slot in self.pending) or (
            self.due > now and self.transport.get_write_buffer_size() > 0
        )

    def may_be_dropped(self, now: float) -> bool:
        """Whether to wait no longer for a client that takes nothing or does not end."""
        return not self.owes(now) or self.transport.get_write_buffer_size() > MOST_UNTAKEN

    def drop(self, reason: CloseReason) -> None:
        """Lets it go at once."""
        if self.state not in (ClientConnectionState.DISCONNECTED, ClientConnectionState.CLOSED):
            self.become(ClientConnectionState.DISCONNECTED, reason)
        self.server.leaving.add(self)
        self.transport.abort()

    def close_when_done(self, reason: CloseReason) -> None:
        """What still comes on it before that is served too: it was taken."""
        if self.state is ClientConnectionState.OPEN:
            self.become(ClientConnectionState.CLOSING, reason)
        self.flush()

    def flush(self) -> None:
        """Writes the answers that are next in order."""
        pending = self.pending
        while pending and (answer := pending[0].response) is not None:
            self.due = max(self.due, pending.popleft().expires_at)
            self.transport.write(answer)
        if self.reads_paused:
            self.throttle()
        if not pending:
            self.server.rest(self)
            if self.closing:
                self.try_close()

    def try_close(self) -> None:
        """Closes it, if nothing on it is owed."""
        if self.transport.is_closing() or self.dispatching or self.state is ClientConnectionState.ENDING:
            return  # what was read is answered first
        broken = self.state is ClientConnectionState.BROKEN
        verdict = may_close_connection(
            response_pending=any(slot.response is None for slot in self.pending),
            partial_command=self.partial > 0,
            unread_input=not broken and not self.partial and self.unread(),
            framing_lost=broken,
        )
        if verdict is not Verdict.ALLOWED:
            self.server.idle.setdefault(self, monotonic())  # what has come was taken: it is answered first
            return
        MONITOR.check(not self.pending, Invariant.CLOSED_OWING, f"connection {self.number}")
        self.server.idle.pop(self, None)
        self.server.ending.setdefault(self, monotonic())
        if self.state in (ClientConnectionState.CLOSING, ClientConnectionState.BROKEN):
            self.become(ClientConnectionState.ENDING)
        if broken:
            self.transport.write_eof()  # closing with input unread would be a reset, which can eat the error
        else:
            self.transport.close()

    def pause_writing(self) -> None:
        self.writes_paused = True
        self.server.stuck[self] = monotonic()
        self.throttle()

    def resume_writing(self) -> None:
        self.writes_paused = False
        self.server.stuck.pop(self, None)
        self.throttle()

    def throttle(self) -> None:
        """A client that takes no answers or has too much in work is not read until that is over."""
        pause = self.writes_paused or len(self.pending) >= MOST_PENDING
        if pause != self.reads_paused and not self.transport.is_closing():
            self.reads_paused = pause
            if pause:
                self.paused_at = monotonic()
                self.transport.pause_reading()
                self.server.unread.add(self)
            else:
                self.unread_for = monotonic() - self.paused_at
                self.transport.resume_reading()
                self.server.unread.discard(self)


class ClientConnections:
    """`handler` has handle_command(slot, command) and handle_client_gone(slot). At most `most` connections;
    at most `most_partial` bytes of half commands on all of them."""

    def __init__(self, handler: Any, most: int, most_partial: int, events: EventLog) -> None:
        self.handler, self.max_connections, self.max_partial_bytes, self.partial = (
            handler,
            most,
            most_partial,
            0,
        )
        self.events, self.numbers = events, itertools.count(1)
        self.connections: set[ClientConnection] = set()
        self.idle: dict[ClientConnection, float] = {}  # since when, oldest first
        self.halves: dict[ClientConnection, float] = {}  # with half a command, and since when, oldest first
        self.ending: dict[ClientConnection, float] = {}
        self.stuck: dict[ClientConnection, float] = {}
        self.leaving: set[ClientConnection] = (
            set()
        )  # that were let go and are lost in the next turn of the loop
        self.away: dict[ClientConnection, None] = {}  # that were turned away, oldest first
        self.unread: set[ClientConnection] = set()  # those that are not read for now
        self.listener: Listener | None = None
        self.next_poll_at = self.last_poll_at = self.last_poll_lag = (
            0.0  # when the next look is due; when the last was, how late
        )
        self.timer: asyncio.TimerHandle | None = None
        self.poll_timer: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> int:
        listener = Listener(lambda waited: ClientConnection(self, waited), self.accept_failed)
        port = listener.open(host, port)
        self.listener = listener
        self.sweep()
        self.next_poll_at = monotonic()
        self.poll_disconnects()
        return port

    def accept_failed(self, err: OSError) -> None:
        """Nothing is closed for it: what waits is accepted once the failure is over."""
        self.events.log(EventKind.ACCEPT_FAILED, errno.errorcode.get(err.errno or 0, str(err)))

    def add(self, client: ClientConnection) -> None:
        self.connections.add(client)
        # Descriptors are limited. Those that are just being let go are free by the next turn of the loop.
        if (
            len(self.connections) - len(self.leaving) - len(self.away) > self.max_connections
            and not self.evict_connection()
        ):
            self.away[client] = None
            client.fail(b"-ERR too many connections\r\n", CloseReason.TOO_MANY_CONNECTIONS)
            if len(self.away) > MOST_AWAY:
                next(iter(self.away)).drop(CloseReason.TOO_MANY_CONNECTIONS)
            return
        self.idle[client] = monotonic() - client.unread_for  # it is owed its close from its connecting on

    def evict_connection(self) -> bool:
        """Lets a connection go that is ending anyhow, else the one that is idle for longest; none on which an
        answer is owed or bytes lie that may be a request."""
        now = monotonic()
        for client in self.ending:
            if client not in self.leaving and client not in self.away and not client.owes(now):
                client.drop(CloseReason.MADE_ROOM)
                return True
        for client in [c for c, _ in zip(self.idle, range(MOST_LOOKED_AT), strict=False)]:
            half = client.partial and client.began > now - HALF
            if not (
                client.transport.is_closing()
                or half
                or client.transport.get_write_buffer_size()
                or client.unread()
            ):
                client.drop(CloseReason.MADE_ROOM)
                return True
        return False

    def remove(self, client: ClientConnection) -> None:
        """It is closed."""
        if client.reason in (CloseReason.CLIENT_LEFT, CloseReason.IDLE, CloseReason.SHUTTING_DOWN):
            self.events.count(EventKind.CLIENT_CLOSED, client.reason.value)
        else:
            ids = {"connection": client.number, "state": client.before_end.value}
            self.events.log(EventKind.CLIENT_CLOSED, client.reason.value, **ids)
        self.connections.discard(client)
        self.track_partial(client, 0)
        self.unread.discard(client)
        self.leaving.discard(client)
        for place in (self.idle, self.ending, self.stuck, self.away):
            place.pop(client, None)

    def rest(self, client: ClientConnection) -> None:
        self.idle.pop(client, None)
        if not client.closing:
            self.idle[client] = monotonic()

    def track_partial(self, client: ClientConnection, partial: int, begins: bool = False) -> bool:
        """Counts the bytes of half a command, which `begins` with them or began before; False if that is too
        much for all connections together."""
        self.partial += partial - client.partial
        client.partial = partial
        if begins or not partial:
            self.halves.pop(client, None)
        if partial:
            self.halves.setdefault(client, client.began)
        return not partial or self.partial <= self.max_partial_bytes

    def sweep(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(SWEEP, self.sweep)
        now = monotonic()
        for client in [c for c, since in self.idle.items() if since < now - IDLE]:
            client.on_idle_timeout()
        limit = max(IDLE, HALF)
        for client in list(itertools.takewhile(lambda c: self.halves[c] < now - limit, self.halves)):
            client.expire_partial_command(limit)
        for place, most, reason in (
            (self.ending, ENDING, CloseReason.NOT_ENDED),
            (self.stuck, STUCK, CloseReason.ANSWERS_NOT_TAKEN),
        ):
            for client in [c for c, since in place.items() if since < now - most and c.may_be_dropped(now)]:
                client.drop(reason)

    def poll_disconnects(self) -> None:
        self.poll_timer = asyncio.get_running_loop().call_later(
            DISCONNECT_POLL_INTERVAL, self.poll_disconnects
        )
        now = monotonic()
        self.last_poll_lag, self.last_poll_at, self.next_poll_at = (
            max(0.0, now - self.next_poll_at),
            now,
            now + DISCONNECT_POLL_INTERVAL,
        )
        for client in [c for c in self.unread if not c.transport.is_closing()]:
            client.check_disconnect()

    def loop_lag(self) -> float:
        """How long what is read now may have lain there: the loop was that late just before."""
        return self.last_poll_lag if monotonic() - self.last_poll_at < self.last_poll_lag else 0.0

    async def stop_accepting(self) -> None:
        """No new connections, but for those that the machine has accepted by now: what they ask was taken."""
        if self.listener is not None:
            await self.listener.close()

    def drain(self) -> None:
        """Each connection that there is closes once all it asked has been answered."""
        for client in list(self.connections):
            client.close_when_done(CloseReason.SHUTTING_DOWN)

    def close(self) -> None:
        for timer in (self.timer, self.poll_timer):
            if timer is not None:
                timer.cancel()
