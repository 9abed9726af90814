"""The listening socket for clients, with a backoff after failed accept calls.

asyncio's own server calls accept again at once after a failure, which takes all CPU while the failure lasts.
When descriptors run out (EMFILE, ENFILE) it accepts waiting connections only to close them, and the commands
that their clients have sent are lost. This listener pauses after a failure instead, and connections stay in
the accept queue.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from time import monotonic

from calicomast.net.accept_queue import AcceptQueueWait
from calicomast.net.socket_state import accept_queue_length, connection_waits

BACKLOG = 1024  # connections that may wait in the accept queue
MIN_PAUSE = 0.005  # seconds after a failed accept; doubles with each further failure
MAX_PAUSE = 0.05  # seconds
# In a turn of the event loop one connection is accepted, and another for each ACCEPT_INTERVAL seconds since
# the last such turn. So connections wait no longer where turns are long; where they are short, first commands
# come one after another, and the results of the first attempts are known to the next.
ACCEPT_INTERVAL = 0.0002
MAX_ACCEPTS_PER_TURN = 32
FINAL_ACCEPT_TIMEOUT = 0.3  # seconds for which close() retries accept calls that fail

log = logging.getLogger(__name__)


class Listener:
    """Accepts connections at one address.

    Args:
        make_protocol: makes the protocol of a new connection. Its argument is the longest time, in seconds,
            that the connection may have waited because accept failed or many others were before it.
        on_accept_error: called after each failed accept call.
    """

    def __init__(
        self,
        make_protocol: Callable[[float], asyncio.Protocol],
        on_accept_error: Callable[[OSError], None] = lambda err: None,
    ) -> None:
        self._make_protocol, self._on_accept_error = make_protocol, on_accept_error
        self._socket: socket.socket | None = None
        self._loop = asyncio.get_running_loop()
        self._attaching: set[asyncio.Task[None]] = set()
        self._pause = MIN_PAUSE
        self._resume_timer: asyncio.TimerHandle | None = None
        self.queue_wait = AcceptQueueWait(self._queue_length)
        self._accepting_at: float | None = None  # when connections were last accepted; None if none was left
        self.failures = 0  # failed accept calls

    def open(self, host: str, port: int) -> int:
        """Starts listening and returns the port, which the system assigns if `port` is 0. Raises OSError."""
        listening = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        try:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listening.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # accepted sockets inherit it
            listening.setblocking(False)
            listening.bind((host, port))
            listening.listen(BACKLOG)
        except OSError:
            listening.close()
            raise
        self._socket = listening
        self._loop.add_reader(listening, self._on_readable)
        return listening.getsockname()[1]

    def is_serving(self) -> bool:
        """Whether the listening socket is open."""
        return self._socket is not None

    async def close(self) -> None:
        """Accepts the connections in the queue, whose commands are still answered, and stops listening."""
        if self._socket is None:
            return
        deadline = monotonic() + FINAL_ACCEPT_TIMEOUT
        while monotonic() < deadline:
            if not self._accept_waiting():
                await asyncio.sleep(self._pause)
            elif self._attaching:
                await asyncio.gather(*self._attaching)  # more connections may come meanwhile
            else:
                break
        self._stop_reading()
        self._socket.close()
        self._socket = None

    def _accept_waiting(self) -> bool:
        """Accepts all connections in the queue; returns False if an accept call failed."""
        for _ in range(2 * BACKLOG):
            try:
                if not self._accept_one():
                    return True
            except OSError as err:
                self._record_failure(err)
                return False
        return True

    def _on_readable(self) -> None:
        """Accepts waiting connections, but not too many in one turn of the event loop."""
        now = monotonic()
        allowed = self._allowed_accepts(now)
        self._accepting_at = now
        try:
            for _ in range(allowed):
                if not self._accept_one():
                    break
            self._note_queue()
        except OSError as err:
            self._record_failure(err)
            self._stop_reading()
            self._resume_timer = self._loop.call_later(self._pause, self._resume_reading)
            self._pause = min(MAX_PAUSE, 2 * self._pause)

    def _note_queue(self) -> None:
        """Notes whether connections are left in the queue."""
        assert self._socket is not None
        if connection_waits(self._socket):
            self.queue_wait.not_emptied(monotonic())
        else:
            self.queue_wait.emptied()
            self._accepting_at = None

    def _allowed_accepts(self, now: float) -> int:
        """Returns how many connections may be accepted in this turn of the event loop."""
        if self._accepting_at is None:
            return 1
        return min(MAX_ACCEPTS_PER_TURN, 1 + int((now - self._accepting_at) / ACCEPT_INTERVAL))

    def _accept_one(self) -> bool:
        """Accepts one connection; returns False if the queue is empty. Raises OSError."""
        assert self._socket is not None
        try:
            accepted, _ = self._socket.accept()
        except BlockingIOError:
            return False
        self._pause = MIN_PAUSE
        accepted_at = monotonic()
        came_at = accepted_at - self.queue_wait.accepted(accepted_at)
        task = self._loop.create_task(self._attach_protocol(accepted, came_at))
        self._attaching.add(task)
        task.add_done_callback(self._attaching.discard)
        return True

    async def _attach_protocol(self, accepted: socket.socket, came_at: float) -> None:
        """Connects an accepted socket, which came at this time or later, to a new protocol.

        Closes the socket if that fails.
        """
        try:
            await self._loop.connect_accepted_socket(
                lambda: self._make_protocol(monotonic() - came_at), accepted
            )
        except Exception:  # one connection must not stop the listener
            log.exception("failed to set up an accepted connection")
            accepted.close()

    def _record_failure(self, err: OSError) -> None:
        """Counts a failed accept call and reports it."""
        self.failures += 1
        self.queue_wait.not_emptied(monotonic())
        self._on_accept_error(err)

    def _queue_length(self) -> int:
        """Returns how many connections wait in the accept queue, or the most that may."""
        assert self._socket is not None
        length = accept_queue_length(self._socket)
        return BACKLOG if length is None else length

    def _stop_reading(self) -> None:
        """Stops watching the socket, or cancels the timer that would start that again."""
        if self._resume_timer is not None:
            self._resume_timer.cancel()
            self._resume_timer = None
        elif self._socket is not None:
            self._loop.remove_reader(self._socket)

    def _resume_reading(self) -> None:
        """Watches the socket again after the pause that follows a failure."""
        self._resume_timer = None
        if self._socket is not None:
            self._note_queue()  # the connection for which accept failed may be gone
            self._loop.add_reader(self._socket, self._on_readable)
