"""One connection to a server.

It carries one attempt at a time. Responses arrive in order, so a slow one would delay those behind it, and
giving an attempt up closes its connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import struct
from collections.abc import Iterator
from time import monotonic
from typing import TYPE_CHECKING

from calicomast.net.attempt import Attempt
from calicomast.net.framing import NO_MESSAGE, FramingError, MessageFramer
from calicomast.net.lifecycle import AttemptState, ServerConnectionState, transition
from calicomast.net.server_responses import read_response
from calicomast.net.socket_state import unacknowledged_bytes
from calicomast.rules import WRITE_CHECK_INTERVAL

if TYPE_CHECKING:
    from calicomast.net.server_connections import ConnectionPool

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # for SO_LINGER: enabled, with a time of 0 seconds

log = logging.getLogger(__name__)


class ServerConnection(asyncio.Protocol):
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
        # No attempt waits for this response, or the server lacks the end of the command, so that it responds
        # to another one. The rest of the command must not precede the next one.
        if attempt is None or not self.written:
            self.abandon("reset")
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
