"""The listening socket: accepts connections, and goes on after calls of accept that failed.

The event loop's own server calls accept again at once after a failure, which takes all CPU while it lasts.
Without descriptors (EMFILE, ENFILE) it accepts the connections that wait only to close them, and what their
clients had asked is lost. Here a failure is followed by a pause, and what waits goes on waiting.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from time import monotonic

BACKLOG = 1024  # connections that may wait at the listener
PAUSE_LEAST, PAUSE_MOST = 0.005, 0.05  # s after calls of accept that failed one after another
LAST_ACCEPTS = 0.3  # s for which accept is tried again at the end, if it fails

log = logging.getLogger(__name__)


class Listener:
    """Accepts connections at one address.

    Args:
        protocol: makes the protocol of a new connection, told for how many seconds it may have waited here
            because accept failed.
        failed: hears of each call of accept that failed.
    """

    def __init__(
        self,
        protocol: Callable[[float], asyncio.Protocol],
        failed: Callable[[OSError], None] = lambda err: None,
    ) -> None:
        self._protocol, self._failed = protocol, failed
        self._socket: socket.socket | None = None
        self._loop = asyncio.get_running_loop()
        self._handed_over: set[asyncio.Task[None]] = set()
        self._pause = PAUSE_LEAST
        self._paused: asyncio.TimerHandle | None = None
        self._failing_since: float | None = None  # connections that wait may have come at any time since
        self.failures = 0  # calls of accept that failed

    def open(self, host: str, port: int) -> int:
        """Listens; returns the port, which the system picks for 0. Raises OSError."""
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
        """Whether it is open."""
        return self._socket is not None

    async def close(self) -> None:
        """No new connections, but for those that the machine has accepted by now: what they ask was taken."""
        if self._socket is None:
            return
        until = monotonic() + LAST_ACCEPTS
        while monotonic() < until:
            if not self._accept_waiting():
                await asyncio.sleep(self._pause)
            elif self._handed_over:
                await asyncio.gather(*self._handed_over)  # others may have come meanwhile
            else:
                break
        self._stop_reading()
        self._socket.close()
        self._socket = None

    def _accept_waiting(self) -> bool:
        """Accepts all connections that wait; whether none is left."""
        for _ in range(2 * BACKLOG):
            try:
                if not self._accept_one():
                    return True
            except OSError as err:
                self._note(err)
                return False
        return True

    def _on_readable(self) -> None:
        """Accepts one in a turn of the loop: what those before it ask is begun first. After a failure all
        that wait are accepted, so that it is known which did."""
        try:
            while self._accept_one() and self._failing_since is not None:
                pass
        except OSError as err:
            self._note(err)
            self._stop_reading()
            self._paused = self._loop.call_later(self._pause, self._read_again)
            self._pause = min(PAUSE_MOST, 2 * self._pause)

    def _accept_one(self) -> bool:
        """Accepts one connection; False if none waits. Raises OSError."""
        assert self._socket is not None
        try:
            accepted, _ = self._socket.accept()
        except BlockingIOError:
            self._failing_since = None
            return False
        self._pause = PAUSE_LEAST
        waited = monotonic() - self._failing_since if self._failing_since is not None else 0.0
        task = self._loop.create_task(self._hand_over(accepted, waited))
        self._handed_over.add(task)
        task.add_done_callback(self._handed_over.discard)
        return True

    async def _hand_over(self, accepted: socket.socket, waited: float) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._protocol(waited), accepted)
        except Exception:  # one connection must not end the others
            log.exception("an accepted connection could not be taken over")
            accepted.close()

    def _note(self, err: OSError) -> None:
        self.failures += 1
        if self._failing_since is None:
            self._failing_since = monotonic()
        self._failed(err)

    def _stop_reading(self) -> None:
        if self._paused is not None:
            self._paused.cancel()
            self._paused = None
        elif self._socket is not None:
            self._loop.remove_reader(self._socket)

    def _read_again(self) -> None:
        self._paused = None
        if self._socket is not None:
            self._loop.add_reader(self._socket, self._on_readable)
