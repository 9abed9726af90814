"""One connection of a client: reads commands, writes responses in order, and detects a client's disconnect.

The states of a connection are in lifecycle.py, the limits and timeouts of all connections in clients.py.
"""

from __future__ import annotations

import asyncio
import select
from collections import deque
from enum import Enum
from time import monotonic
from typing import TYPE_CHECKING, NamedTuple

from calicomast.net.events import EventKind
from calicomast.net.framing import FramingError, MessageFramer, parse_message
from calicomast.net.invariants import MONITOR, Invariant
from calicomast.net.lifecycle import ClientConnectionState, transition
from calicomast.net.pending_commands import (
    BUSY,
    FAILED_RESPONSE,
    PENDING_COMMAND_BYTES,
    QueuedCommand,
    ResponseSlot,
)
from calicomast.net.socket_state import disconnect_events, unacknowledged_bytes, unread_bytes
from calicomast.rules import Verdict, may_close_connection

if TYPE_CHECKING:
    from calicomast.net.clients import ClientConnections

MAX_PENDING_COMMANDS = 512  # per connection; further ones are refused at once
READ_SIZE = 16 * 1024  # bytes; reading pauses until what was read is split into commands
# Seconds of a step of handling input, after which other connections have their turn: see FairQueue. The last
# command of a step may exceed it.
STEP_TIME = 0.0001
# Seconds that a command may wait for its turn before the client is checked for a disconnect.
DISCONNECT_CHECK_AGE = 0.005
# Seconds that a partial command has at least, even if the idle timeout of its connection is over.
MIN_PARTIAL_COMMAND_TIME = 0.5
# Input that is read and discarded after lost framing, as closing with unread input would send a reset.
MAX_DISCARDED_BYTES = 256 * 1024
# Responses that the client has not read. A connection with more is dropped at its timeout even if a response
# has not expired.
MAX_UNSENT_BYTES = 1024 * 1024
PROTOCOL_ERROR = b"-ERR protocol error\r\n"


class CloseReason(Enum):
    """Reason for closing a client's connection; the values are printed in the log and in the counters."""

    CLIENT_DISCONNECTED = "client left"
    IDLE = "idle"
    PARTIAL_COMMAND = "half a command"
    LOST_FRAMING = "lost framing"
    PARTIAL_COMMANDS_TOO_LARGE = "half commands too large"
    TOO_MANY_CONNECTIONS = "too many connections"
    EVICTED = "made room"
    CLIENT_DID_NOT_CLOSE = "client did not end"
    RESPONSES_NOT_READ = "answers not taken"
    SENT_AFTER_LOST_FRAMING = "sent on behind lost framing"
    SHUTTING_DOWN = "shutting down"


class InputFailure(NamedTuple):
    """Why the input of a connection can't be read any further.

    Attributes:
        response: the last response on the connection.
        reason: why the connection is closed.
    """

    response: bytes
    reason: CloseReason


class ClientConnection(asyncio.BufferedProtocol):
    """One connection of a client.

    Input is split into commands, which are queued as they came; queued commands are then parsed and handed to
    the handler. Both share the time of the event loop with other connections, see FairQueue.

    Args:
        owner: the connections that this one is added to.
        waited: the longest time, in seconds, that the connection may have waited to be accepted.

    Attributes:
        unread_seconds: the longest time, in seconds, that the next bytes may have waited in the
            socket because accept failed or reading was paused.
        number: identifies the connection in the log.
        previous_state: the state before the current one.
        close_reason: the first reason to leave OPEN.
        pending: slots of commands whose response has not been written, in order of arrival.
        partial_bytes: size of a command of which only a part has arrived.
        discarded_bytes: bytes that were read and discarded after lost framing.
        partial_since: time at which the partial command began.
        written_expires_at: latest expiry of the responses that were written.
        queued: commands that were read and not handed to the handler yet, in order of arrival.
        input_received_at: the earliest time at which the bytes that were read last may have arrived.
        input_unsplit: whether bytes that were read may hold commands that are not queued yet.
        input_failure: set if the input ends after the queued commands, as it can't be read any further.
        input_ended: whether no more input is read, as a command in it could not be answered any more.
        refusals_paused: whether reading is paused as too many commands were refused since the last check.
    """

    def __init__(self, owner: ClientConnections, waited: float = 0.0) -> None:
        self.owner = owner
        self.unread_seconds = waited
        self.number = next(owner.numbers)
        self.state = self.previous_state = ClientConnectionState.OPEN
        self.close_reason = CloseReason.CLIENT_DISCONNECTED
        self.framer = MessageFramer()
        self.pending: deque[ResponseSlot] = deque()
        self.partial_bytes = self.discarded_bytes = 0
        self.partial_since = self.written_expires_at = 0.0
        self.writes_paused = self.reads_paused = False
        self.reads_paused_at = 0.0
        self.input_ended = self.refusals_paused = self.input_unsplit = False
        self.input_received_at = 0.0
        self.input_failure: InputFailure | None = None
        self.queued: list[QueuedCommand] = []
        self.transport: asyncio.Transport

    @property
    def is_closing(self) -> bool:
        """Whether the connection is closed, or closes once no command on it is pending."""
        return self.state is not ClientConnectionState.OPEN

    @property
    def is_readable(self) -> bool:
        """Whether commands on the connection are still read."""
        return self.state is ClientConnectionState.OPEN or self.state is ClientConnectionState.CLOSING

    def transition_to(self, state: ClientConnectionState, reason: CloseReason | None = None) -> None:
        """Changes the state. The first reason to leave OPEN is kept as the close reason."""
        if reason is not None and self.state is ClientConnectionState.OPEN:
            self.close_reason = reason
        self.previous_state = self.state
        self.state = transition(self.state, state, self.number)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the event loop once the connection is set up."""
        self.transport = transport  # type: ignore[assignment]
        self.owner.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by the event loop once the connection is closed."""
        self.handle_disconnect()
        self.transition_to(ClientConnectionState.CLOSED)
        self.owner.remove(self)

    def eof_received(self) -> None:
        """Called by the event loop when the client has closed.

        Its requests end now rather than in connection_lost(), which waits for the client to read the written
        responses and may never be called.
        """
        if self.is_readable:
            self.handle_disconnect()

    def handle_disconnect(self) -> None:
        """Ends the pending requests of a client that has disconnected."""
        if self.state not in (ClientConnectionState.DISCONNECTED, ClientConnectionState.CLOSED):
            self.transition_to(ClientConnectionState.DISCONNECTED, CloseReason.CLIENT_DISCONNECTED)
        self.clear_queue()
        pending, self.pending = self.pending, deque()
        for slot in pending:
            slot.release()
            if slot.response is None:
                self.owner.handler.handle_client_gone(slot)

    def check_disconnect(self) -> None:
        """Detects a disconnect while reading is paused and the FIN is queued behind unread bytes.

        A client that has ended only its sending still receives the responses that were written before.
        """
        events = disconnect_events(self.descriptor)
        if not events:
            return
        if self.input_ended and not events & select.POLLERR and self.unsent_bytes():
            return
        self.handle_disconnect()
        self.transport.abort()

    def peer_has_closed(self) -> bool:
        """Whether the client has closed, even if the event loop has not read that yet."""
        return self.transport.is_closing() or disconnect_events(self.descriptor) != 0

    def get_buffer(self, sizehint: int) -> memoryview:
        """Called by the event loop before it reads; all connections share one buffer."""
        return self.owner.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Called by the event loop with the number of bytes that it has read into the buffer."""
        if not self.is_readable:
            self.discard(nbytes)
            return
        self.framer.feed(self.owner.read_buffer[:nbytes])
        self.input_received_at = monotonic() - self.read_delay()
        self.unread_seconds = 0.0
        self.input_unsplit = True
        self.owner.splitting.submit(self)
        if self.input_unsplit:
            self.update_flow_control()

    def split_input(self) -> bool:
        """Queues the next commands of the input; returns whether it may hold more."""
        if not self.is_readable or self.input_failure is not None:
            return False
        try:
            self.input_unsplit = self.queue_commands()
        except FramingError:
            self.fail_after_queued(PROTOCOL_ERROR, CloseReason.LOST_FRAMING)
        else:
            if not self.input_unsplit and not self.track_partial_command():
                self.fail_after_queued(b"-ERR too much in work\r\n", CloseReason.PARTIAL_COMMANDS_TOO_LARGE)
        if self.queued or self.input_failure is not None:
            self.owner.dispatching.submit(self)
        if not self.input_unsplit and self.is_readable:
            self.update_flow_control()
            if self.is_closing and not self.pending:
                self.try_close()
        return self.input_unsplit and self.input_failure is None

    def queue_commands(self) -> bool:
        """Queues the commands of one step; returns whether the input may hold more. Raises FramingError."""
        until = monotonic() + STEP_TIME
        while length := self.framer.message_length():
            if self.partial_bytes:
                self.owner.track_partial(self, 0)
            self.queue_command(length)
            if monotonic() >= until:
                return True
        return False

    def track_partial_command(self) -> bool:
        """Records the partial command at the end of the input; returns whether it may be kept."""
        is_new = not self.partial_bytes
        if is_new and self.framer.buffer:
            self.partial_since = monotonic()
        return self.owner.track_partial(self, len(self.framer.buffer), is_new)

    def fail_after_queued(self, response: bytes, reason: CloseReason) -> None:
        """Has the connection fail once the queued commands, which came before, are handed to the handler.

        The input counts as unsplit until then, so that no more is read and the connection isn't closed.
        """
        self.input_failure, self.input_unsplit = InputFailure(response, reason), True

    def queue_command(self, length: int) -> None:
        """Queues the next command, or refuses it at once if too much is pending.

        Refusing is cheaper than to leave the command unread: a client's end of input is behind its commands.

        `length` is the size of the command on the wire, in bytes.
        """
        if len(self.pending) >= MAX_PENDING_COMMANDS or not self.owner.may_queue(self, length):
            self.framer.skip(length)
            self.owner.record_refusal(self)
            if self.pending:
                self.pending[-1].refusals_behind += 1
            else:
                self.transport.write(BUSY)
                self.owner.mark_idle(self)
            return
        queued = QueuedCommand(ResponseSlot(self, self.input_received_at), self.framer.take(length))
        self.owner.idle.pop(self, None)
        self.owner.queued_bytes += length
        self.add_pending(queued.slot)
        self.queued.append(queued)

    def add_pending(self, slot: ResponseSlot) -> None:
        """Adds the slot of a command that is answered behind all pending ones."""
        slot.hold(PENDING_COMMAND_BYTES)
        self.pending.append(slot)

    def dispatch_commands(self) -> bool:
        """Hands the next queued commands to the handler; returns whether there are more.

        Commands that have waited for their turn are dropped if the client has disconnected since.
        """
        if (
            self.queued
            and self.queued[0].slot.received_at < monotonic() - DISCONNECT_CHECK_AGE
            and self.peer_has_closed()
        ):
            self.handle_disconnect()
        until = monotonic() + STEP_TIME
        while self.queued:
            self.dispatch(self.queued.pop(0))
            if monotonic() >= until:
                break
        if not self.queued and self.input_failure is not None and self.is_readable:
            self.fail(*self.input_failure)
        return bool(self.queued)

    def dispatch(self, queued: QueuedCommand) -> None:
        """Parses a command and hands it to the handler."""
        self.owner.queued_bytes -= len(queued.encoded)
        try:
            command = parse_message(queued.encoded)
        except FramingError:
            self.fail(PROTOCOL_ERROR, CloseReason.LOST_FRAMING)
            return
        self.owner.handler.handle_command(queued.slot, command)

    def clear_queue(self) -> None:
        """Drops the queued commands; their slots stay in `pending`."""
        self.owner.queued_bytes -= sum(len(queued.encoded) for queued in self.queued)
        self.queued.clear()

    def discard(self, size: int) -> None:
        """Discards input that can't be parsed or answered. A client that keeps sending would waste CPU."""
        self.discarded_bytes += size
        if self.discarded_bytes <= MAX_DISCARDED_BYTES:
            return
        if self.has_unexpired_response(monotonic()):
            self.end_input()  # a close would reset the connection and discard the responses
        else:
            self.drop(CloseReason.SENT_AFTER_LOST_FRAMING)

    def fail(self, response: bytes, reason: CloseReason) -> None:
        """Stops reading commands, as no further one can be parsed, and writes `response` as the last one.

        Pending commands fail at once, so that the client doesn't have to wait for them.
        """
        self.transition_to(ClientConnectionState.BROKEN, reason)
        self.owner.track_partial(self, 0)
        self.framer.buffer.clear()
        self.input_unsplit = False
        self.clear_queue()
        for slot in list(self.pending):
            if slot.response is None:
                slot.store(FAILED_RESPONSE)
                self.owner.handler.handle_client_gone(slot)
        slot = ResponseSlot(self)
        self.add_pending(slot)
        slot.reply(response)
        self.update_flow_control()

    def on_idle_timeout(self) -> None:
        """Closes the connection, or fails its partial command, unless received bytes are still unread."""
        if self.transport.is_closing() or self.has_unread_input():
            return
        if self.partial_bytes:
            self.expire_partial_command(MIN_PARTIAL_COMMAND_TIME)
        else:
            self.close_when_done(CloseReason.IDLE)

    def expire_partial_command(self, seconds: float) -> None:
        """Fails a command that has been partial for `seconds`, unless more bytes wait in the socket."""
        if not self.is_readable or self.transport.is_closing() or self.partial_since >= monotonic() - seconds:
            return
        if not self.has_unread_input():
            self.fail(b"-ERR command not finished in time\r\n", CloseReason.PARTIAL_COMMAND)

    def read_delay(self) -> float:
        """Returns the longest time, in seconds, that the bytes read now may have waited in the socket.

        The client's remaining time is shorter by it.
        """
        return max(self.unread_seconds, self.owner.loop_lag())

    @property
    def descriptor(self) -> int:
        """The descriptor of the socket; negative once that is closed."""
        return self.transport.get_extra_info("socket").fileno()

    def has_unread_bytes(self) -> bool:
        """Whether the socket holds bytes that have not been read yet."""
        return unread_bytes(self.descriptor) > 0

    def has_unread_input(self) -> bool:
        """Whether there is input that may hold a command which is not pending yet."""
        return self.input_unsplit or self.has_unread_bytes()

    def unsent_bytes(self) -> int:
        """Returns how many bytes of responses the client's machine has not acknowledged yet.

        Those that the event loop holds count as well as those in the system's send queue.
        """
        return self.transport.get_write_buffer_size() + unacknowledged_bytes(self.descriptor)

    def log_unsent_responses(self) -> None:
        """Logs that the connection is closed while responses on it are unsent, if there are any.

        Input of the client that is unread then, or comes later, leads to a reset that discards them.
        """
        if unsent := self.unsent_bytes():
            ids = {"connection": self.number, "state": self.state.value, "bytes": unsent}
            self.owner.events.log(EventKind.CLOSED_WITH_UNSENT_RESPONSES, self.close_reason.value, **ids)

    def has_unexpired_response(self, now: float) -> bool:
        """Whether the client still has to receive a response that has not expired.

        A client that has stopped waiting may never read its responses.
        """
        return any(slot.expires_at > now for slot in self.pending) or (
            self.written_expires_at > now and self.unsent_bytes() > 0
        )

    def may_be_dropped(self, now: float) -> bool:
        """Whether to stop waiting for a client that doesn't read its responses or doesn't close."""
        return (
            not self.has_unexpired_response(now) or self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES
        )

    def drop(self, reason: CloseReason) -> None:
        """Closes the connection at once, without waiting for pending or unsent responses."""
        if self in self.owner.dropped:
            return
        if self.state not in (ClientConnectionState.DISCONNECTED, ClientConnectionState.CLOSED):
            self.transition_to(ClientConnectionState.DISCONNECTED, reason)
        self.log_unsent_responses()
        self.owner.dropped.add(self)
        self.transport.abort()

    def close_when_done(self, reason: CloseReason) -> None:
        """Closes the connection once all commands on it, also those that still arrive, are answered."""
        if self.state is ClientConnectionState.OPEN:
            self.transition_to(ClientConnectionState.CLOSING, reason)
        self.flush()

    def flush(self) -> None:
        """Writes the responses that are next in order."""
        pending = self.pending
        while pending and (response := pending[0].response) is not None:
            slot = pending.popleft()
            slot.release()
            self.written_expires_at = max(self.written_expires_at, slot.expires_at)
            self.transport.write(response + BUSY * slot.refusals_behind if slot.refusals_behind else response)
        if not pending:
            self.owner.mark_idle(self)
            if self.is_closing:
                self.try_close()

    def try_close(self) -> None:
        """Ends sending on the connection, unless a response is pending or received bytes are still unread."""
        if self.transport.is_closing() or self.state is ClientConnectionState.AWAITING_CLOSE:
            return
        broken = self.state is ClientConnectionState.BROKEN
        verdict = may_close_connection(
            response_pending=any(slot.response is None for slot in self.pending),
            partial_command=self.partial_bytes > 0,
            unread_input=not broken and not self.partial_bytes and self.has_unread_input(),
            framing_lost=broken,
        )
        if verdict is not Verdict.ALLOWED:
            # Commands that have arrived are answered first; the sweep tries again after the idle timeout.
            self.owner.idle.setdefault(self, monotonic())
            return
        MONITOR.check(not self.pending, Invariant.CLOSED_OWING, f"connection {self.number}")
        self.owner.idle.pop(self, None)
        self.owner.awaiting_close.setdefault(self, monotonic())
        if self.state in (ClientConnectionState.CLOSING, ClientConnectionState.BROKEN):
            self.transition_to(ClientConnectionState.AWAITING_CLOSE)
        # Closing the socket now would answer any further bytes of the client with a reset, which discards the
        # responses that it has not received. So only sending ends here. The socket is closed once the client
        # has closed, or after CLOSE_TIMEOUT.
        self.transport.write_eof()
        if not broken:
            self.end_input()

    def end_input(self) -> None:
        """Stops reading for good. A client sends a command that was not read once more elsewhere."""
        self.input_ended = True
        self.update_flow_control()

    def pause_writing(self) -> None:
        """Called by the event loop when the write buffer is full."""
        self.writes_paused = True
        self.owner.write_stalled[self] = monotonic()
        self.update_flow_control()

    def resume_writing(self) -> None:
        """Called by the event loop when the write buffer has drained."""
        self.writes_paused = False
        self.owner.write_stalled.pop(self, None)
        self.update_flow_control()

    def update_flow_control(self) -> None:
        """Pauses reading while the client doesn't read responses, or sends more than can be handled."""
        pause = self.input_ended or self.writes_paused or self.refusals_paused or self.input_unsplit
        if pause != self.reads_paused and not self.transport.is_closing():
            self.reads_paused = pause
            if pause:
                self.reads_paused_at = monotonic()
                self.transport.pause_reading()
                self.owner.reading_paused.add(self)
            else:
                self.unread_seconds = monotonic() - self.reads_paused_at
                self.transport.resume_reading()
                self.owner.reading_paused.discard(self)
