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

from calicomast.net.events import EventLog, Kind
from calicomast.net.framing import NO_MESSAGE, Framing, FramingError
from calicomast.net.invariants import MONITOR, Invariant
from calicomast.net.lifecycle import ClientState, change
from calicomast.net.listener import Listener
from calicomast.rules import Verdict, may_close_connection

MOST_PENDING = 512  # commands of one connection in work; past that it is not read
IDLE = 2.2  # s without a command in work, or with half a one, after which a connection is closed
ENDING = 1.0  # s that a closing connection has for its client's end; for answers, while they still count
STUCK = 5.0  # s without the client taking its answers, though none of them counts any more
SWEEP = 0.25  # s between looks for those
HALF = 0.5  # s that half a command has at least, though the idle time of its connection is over; IDLE at most
LOOK = 0.1  # s between looks at connections that are not read: a request of a client that left ends by 0.3 s
MOST_DROPPED = 256 * 1024  # bytes read and dropped behind lost framing, so that the close is no reset
MOST_LOOKED_AT = 64  # idle connections asked for unread bytes when one has to go
MOST_UNTAKEN = 1024 * 1024  # bytes of answers that wait past STUCK for a client to take them
MOST_AWAY = 16  # connections turned away that wait for their client's end
LEFT = select.POLLRDHUP | select.POLLHUP | select.POLLERR
FAILED = b"-ERR failed\r\n"


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


class Slot:
    """The place of one command's answer among those of its connection."""

    __slots__ = ("client", "answer", "token", "due")

    def __init__(self, client: Client) -> None:
        self.client = client
        self.due = 0.0  # until when its answer counts
        self.answer: bytes | None = None
        self.token: Any = None  # what the handler keeps of a command that it has not answered yet

    def reply(self, answer: bytes) -> None:
        if self.answer is not None:
            MONITOR.violated(Invariant.SECOND_ANSWER, f"connection {self.client.number}")
            return
        self.answer = answer
        self.client.flush()


class Client(asyncio.Protocol):
    """One connection of a client."""

    def __init__(self, server: ClientServer, waited: float = 0.0) -> None:
        self.server = server
        self.unread_for = waited  # s for which what is read next may have lain there, for a reason known here
        self.number = next(server.numbers)
        self.state = self.before_end = ClientState.OPEN  # before_end: the state before this one
        self.reason = CloseReason.CLIENT_LEFT
        self.framing = Framing()
        self.pending: deque[Slot] = deque()
        self.partial = self.dropped = 0  # bytes of half a command; those behind lost framing
        self.began = self.due = 0.0  # when the half command did; until when an answer that was written counts
        self.writes_paused = self.reads_paused = False
        self.paused_at = 0.0  # when reading was
        self.dispatching = False  # commands that were read are just being handed over, one after another
        self.transport: asyncio.Transport

    @property
    def closing(self) -> bool:
        """Whether it closes once nothing on it is in work, or is closed."""
        return self.state is not ClientState.OPEN

    @property
    def readable(self) -> bool:
        """Whether commands on it are still read."""
        return self.state is ClientState.OPEN or self.state is ClientState.CLOSING

    def become(self, state: ClientState, reason: CloseReason | None = None) -> None:
        """Changes its state; the first reason to leave OPEN is the one that is told."""
        if reason is not None and self.state is ClientState.OPEN:
            self.reason = reason
        self.before_end = self.state
        self.state = change(self.state, state, self.number)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.leave()
        self.become(ClientState.CLOSED)
        self.server.left(self)

    def eof_received(self) -> None:
        """The client has closed. What it still waits for ends now, not only once what was written to it has
        been taken, which may be never."""
        if self.readable:
            self.leave()

    def leave(self) -> None:
        """Ends what is in work for a client that has gone."""
        if self.state not in (ClientState.LEFT, ClientState.CLOSED):
            self.become(ClientState.LEFT, CloseReason.CLIENT_LEFT)
        pending, self.pending = self.pending, deque()
        for slot in pending:
            if slot.answer is None:
                self.server.handler.gone(slot)

    def look(self) -> None:
        """Sees a client leave whose connection is not read: its end stands behind bytes that nobody takes."""
        if self.has_left():
            self.leave()
            self.transport.abort()

    def has_left(self) -> bool:
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
            while (command := self.framing.take()) is not NO_MESSAGE:
                slot = Slot(self)
                self.pending.append(slot)
                self.server.idle.pop(self, None)
                begins = True
                self.server.handler.command(slot, command)
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
        if not self.server.hold(self, len(self.framing.buffer), begins):
            self.fail(b"-ERR too much in work\r\n", CloseReason.HALF_COMMANDS_TOO_LARGE)
            return
        self.throttle()
        if self.closing and not self.pending:
            self.end()

    def fail(self, answer: bytes, reason: CloseReason) -> None:
        """Nothing that follows can be read. What is in work is failed: the client is not to wait for it."""
        self.become(ClientState.BROKEN, reason)
        self.server.hold(self, 0)
        for slot in list(self.pending):
            if slot.answer is None:
                slot.answer = FAILED
                self.server.handler.gone(slot)
        slot = Slot(self)
        self.pending.append(slot)
        slot.reply(answer)

    def expire(self) -> None:
        """Its idle time is over."""
        if self.transport.is_closing() or self.unread():
            return  # it has gone, or asks just now
        if self.partial:
            self.expire_half(HALF)
        else:
            self.close_when_done(CloseReason.IDLE)

    def expire_half(self, seconds: float) -> None:
        """Ends a command of which only a part has come for so long, unless its rest lies in the socket."""
        if not self.readable or self.transport.is_closing() or self.began >= monotonic() - seconds:
            return
        if not self.unread():
            self.fail(b"-ERR command not finished in time\r\n", CloseReason.HALF_COMMAND)

    def waited(self) -> float:
        """How long, at most, what is read now has lain unread: s by which its client's time is shorter."""
        return max(self.unread_for, self.server.waited())

    def unread(self) -> bool:
        """Whether the socket holds bytes that were not read yet."""
        told = fcntl.ioctl(self.transport.get_extra_info("socket").fileno(), termios.FIONREAD, b"\0\0\0\0")
        return told != b"\0\0\0\0"

    def owes(self, now: float) -> bool:
        """Whether the client still has to get an answer that counts. Past that time it may never take it."""
        return any(slot.due > now for slot in self.pending) or (
            self.due > now and self.transport.get_write_buffer_size() > 0
        )

    def hopeless(self, now: float) -> bool:
        """Whether to wait no longer for a client that takes nothing or does not end."""
        return not self.owes(now) or self.transport.get_write_buffer_size() > MOST_UNTAKEN

    def drop(self, reason: CloseReason) -> None:
        """Lets it go at once."""
        if self.state not in (ClientState.LEFT, ClientState.CLOSED):
            self.become(ClientState.LEFT, reason)
        self.server.leaving.add(self)
        self.transport.abort()

    def close_when_done(self, reason: CloseReason) -> None:
        """What still comes on it before that is served too: it was taken."""
        if self.state is ClientState.OPEN:
            self.become(ClientState.CLOSING, reason)
        self.flush()

    def flush(self) -> None:
        """Writes the answers that are next in order."""
        pending = self.pending
        while pending and (answer := pending[0].answer) is not None:
            self.due = max(self.due, pending.popleft().due)
            self.transport.write(answer)
        if self.reads_paused:
            self.throttle()
        if not pending:
            self.server.rest(self)
            if self.closing:
                self.end()

    def end(self) -> None:
        """Closes it, if nothing on it is owed."""
        if self.transport.is_closing() or self.dispatching or self.state is ClientState.ENDING:
            return  # what was read is answered first
        broken = self.state is ClientState.BROKEN
        verdict = may_close_connection(
            response_pending=any(slot.answer is None for slot in self.pending),
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
        if self.state in (ClientState.CLOSING, ClientState.BROKEN):
            self.become(ClientState.ENDING)
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


class ClientServer:
    """`handler` has command(slot, command) and gone(slot). At most `most` connections; at most `most_partial`
    bytes of half commands on all of them."""

    def __init__(self, handler: Any, most: int, most_partial: int, events: EventLog) -> None:
        self.handler, self.most, self.most_partial, self.partial = handler, most, most_partial, 0
        self.events, self.numbers = events, itertools.count(1)
        self.clients: set[Client] = set()
        self.idle: dict[Client, float] = {}  # since when, oldest first
        self.halves: dict[Client, float] = {}  # with half a command, and since when, oldest first
        self.ending: dict[Client, float] = {}
        self.stuck: dict[Client, float] = {}
        self.leaving: set[Client] = set()  # that were let go and are lost in the next turn of the loop
        self.away: dict[Client, None] = {}  # that were turned away, oldest first
        self.unread: set[Client] = set()  # those that are not read for now
        self.listener: Listener | None = None
        self.look_at = self.looked = self.lag = 0.0  # when the next look is due; when the last was, how late
        self.timer: asyncio.TimerHandle | None = None
        self.looks: asyncio.TimerHandle | None = None

    async def listen(self, host: str, port: int) -> int:
        listener = Listener(lambda waited: Client(self, waited), self.accept_failed)
        port = listener.open(host, port)
        self.listener = listener
        self.sweep()
        self.look_at = monotonic()
        self.look()
        return port

    def accept_failed(self, err: OSError) -> None:
        """Nothing is closed for it: what waits is accepted once the failure is over."""
        self.events.tell(Kind.ACCEPT_FAILED, errno.errorcode.get(err.errno or 0, str(err)))

    def joined(self, client: Client) -> None:
        self.clients.add(client)
        # Descriptors are limited. Those that are just being let go are free by the next turn of the loop.
        if len(self.clients) - len(self.leaving) - len(self.away) > self.most and not self.make_room():
            self.away[client] = None
            client.fail(b"-ERR too many connections\r\n", CloseReason.TOO_MANY_CONNECTIONS)
            if len(self.away) > MOST_AWAY:
                next(iter(self.away)).drop(CloseReason.TOO_MANY_CONNECTIONS)
            return
        self.idle[client] = monotonic() - client.unread_for  # it is owed its close from its connecting on

    def make_room(self) -> bool:
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

    def left(self, client: Client) -> None:
        """It is closed."""
        if client.reason in (CloseReason.CLIENT_LEFT, CloseReason.IDLE, CloseReason.SHUTTING_DOWN):
            self.events.note(Kind.CLIENT_CLOSED, client.reason.value)
        else:
            ids = {"connection": client.number, "state": client.before_end.value}
            self.events.tell(Kind.CLIENT_CLOSED, client.reason.value, **ids)
        self.clients.discard(client)
        self.hold(client, 0)
        self.unread.discard(client)
        self.leaving.discard(client)
        for place in (self.idle, self.ending, self.stuck, self.away):
            place.pop(client, None)

    def rest(self, client: Client) -> None:
        self.idle.pop(client, None)
        if not client.closing:
            self.idle[client] = monotonic()

    def hold(self, client: Client, partial: int, begins: bool = False) -> bool:
        """Counts the bytes of half a command, which `begins` with them or began before; False if that is too
        much for all connections together."""
        self.partial += partial - client.partial
        client.partial = partial
        if begins or not partial:
            self.halves.pop(client, None)
        if partial:
            self.halves.setdefault(client, client.began)
        return not partial or self.partial <= self.most_partial

    def sweep(self) -> None:
        self.timer = asyncio.get_running_loop().call_later(SWEEP, self.sweep)
        now = monotonic()
        for client in [c for c, since in self.idle.items() if since < now - IDLE]:
            client.expire()
        limit = max(IDLE, HALF)
        for client in list(itertools.takewhile(lambda c: self.halves[c] < now - limit, self.halves)):
            client.expire_half(limit)
        for place, most, reason in (
            (self.ending, ENDING, CloseReason.NOT_ENDED),
            (self.stuck, STUCK, CloseReason.ANSWERS_NOT_TAKEN),
        ):
            for client in [c for c, since in place.items() if since < now - most and c.hopeless(now)]:
                client.drop(reason)

    def look(self) -> None:
        self.looks = asyncio.get_running_loop().call_later(LOOK, self.look)
        now = monotonic()
        self.lag, self.looked, self.look_at = max(0.0, now - self.look_at), now, now + LOOK
        for client in [c for c in self.unread if not c.transport.is_closing()]:
            client.look()

    def waited(self) -> float:
        """How long what is read now may have lain there: the loop was that late just before."""
        return self.lag if monotonic() - self.looked < self.lag else 0.0

    async def no_more(self) -> None:
        """No new connections, but for those that the machine has accepted by now: what they ask was taken."""
        if self.listener is not None:
            await self.listener.close()

    def finish(self) -> None:
        """Each connection that there is closes once all it asked has been answered."""
        for client in list(self.clients):
            client.close_when_done(CloseReason.SHUTTING_DOWN)

    def close(self) -> None:
        for timer in (self.timer, self.looks):
            if timer is not None:
                timer.cancel()
