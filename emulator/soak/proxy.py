"""A TCP proxy between any two parties, with faults that are set while it runs."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from enum import Enum

BACKLOG = 256
FILLERS = 4  # connections that fill the queue of a listener whose connections come up late
PIECE = 7  # bytes at a time where messages come in pieces
PIECE_EVERY = 0.002  # seconds between pieces
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close is a reset


class Fault(Enum):
    """What a link does to its connections."""

    NONE = "none"
    LATE = "late"  # new connections come up a second or more late
    CUT = "cut"  # nothing passes, new ones never come up; open ones stay open and silent
    RESET = "reset"  # each connection is reset as soon as bytes pass towards the server
    HALF = "half"  # half of an answer passes, then the connection is reset
    STALLED = "stalled"  # requests pass, answers do not
    PIECES = "pieces"  # bytes pass a few at a time
    REFUSED = "refused"  # new connections are closed at once


class Side(asyncio.Protocol):
    """One end of a connection through the proxy."""

    def __init__(self, link: Link, answers: bool) -> None:
        self.link, self.answers = link, answers
        self.other: Side | None = None
        self.transport: asyncio.Transport | None = None
        self.waiting: list[bytes] = []
        self.ended = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        waiting, self.waiting = self.waiting, []
        for data in waiting:
            self.transport.write(data)
        if self.ended:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        self.link.passed(self, data)

    def send(self, data: bytes) -> None:
        """Writes to this end, or keeps it until there is one."""
        if self.transport is None:
            self.waiting.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def eof_received(self) -> None:
        if self.other is not None and self.link.fault is not Fault.CUT:
            self.other.finish()

    def finish(self) -> None:
        """Ends this end after what was written to it."""
        self.ended = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.link.sides.discard(self)
        if self.other is not None and self.link.fault is not Fault.CUT:
            self.other.finish()

    def reset(self) -> None:
        """Resets this end."""
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.transport.abort()


class Link:
    """Passes connections from a port of its own on to a target port."""

    def __init__(self, target: int, generator: random.Random) -> None:
        self.target, self.generator = target, generator
        self.fault = Fault.NONE
        self.sides: set[Side] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.fillers: list[socket.socket] = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(BACKLOG)
        self.port = self.listener.getsockname()[1]
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.listener, self.accept)
        self.accepting = True

    def set(self, fault: Fault) -> None:
        """From now on this fault is in force."""
        self.fault = fault
        self.saturate(fault in (Fault.LATE, Fault.CUT))
        if fault is Fault.NONE:
            for side in list(self.sides):  # what was silent is reset once it is back
                if side.answers and getattr(side, "silent", False):
                    side.reset()

    def reset_all(self) -> None:
        """Resets all open connections."""
        for side in list(self.sides):
            side.reset()

    def accept(self) -> None:
        """Takes the next connection."""
        try:
            accepted, _ = self.listener.accept()
        except OSError:
            return
        if self.fault is Fault.REFUSED:
            accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            accepted.close()
            return
        task = self.loop.create_task(self.join(accepted))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def join(self, accepted: socket.socket) -> None:
        """Joins a connection with one to the target."""
        near, far = Side(self, answers=False), Side(self, answers=True)
        near.other, far.other = far, near
        self.sides |= {near, far}
        await self.loop.connect_accepted_socket(lambda: near, accepted)
        try:
            await self.loop.create_connection(lambda: far, "127.0.0.1", self.target)
        except OSError:
            near.reset()

    def passed(self, side: Side, data: bytes) -> None:
        """Bytes came in at one end."""
        other = side.other
        assert other is not None
        if self.fault is Fault.CUT or (self.fault is Fault.STALLED and side.answers):
            side.silent = other.silent = True  # type: ignore[attr-defined]
        elif self.fault is Fault.RESET and not side.answers:
            side.reset()
            other.reset()
        elif self.fault is Fault.HALF and side.answers:
            other.send(data[: len(data) // 2])
            other.finish()
            side.reset()
        elif self.fault is Fault.PIECES:
            task = self.loop.create_task(self.in_pieces(other, data))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            other.send(data)

    async def in_pieces(self, other: Side, data: bytes) -> None:
        """Passes bytes a few at a time, in their order."""
        before = getattr(other, "pieces", None)
        done = self.loop.create_future()
        other.pieces = done  # type: ignore[attr-defined]
        if before is not None:
            await before
        for start in range(0, len(data), PIECE):
            other.send(data[start : start + PIECE])
            await asyncio.sleep(PIECE_EVERY)
        done.set_result(None)

    def saturate(self, on: bool) -> None:
        """Fills the listener's queue, so that a connection comes up only once the system tries again."""
        if on and not self.fillers:
            self.loop.remove_reader(self.listener)
            self.listener.listen(0)
            for _ in range(FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self.port))
                self.fillers.append(filler)
        elif not on and self.fillers:
            for filler in self.fillers:
                filler.close()
            self.fillers = []
            self.listener.listen(BACKLOG)
            self.loop.add_reader(self.listener, self.accept)

    def close(self) -> None:
        """Ends it."""
        for filler in self.fillers:
            filler.close()
        self.loop.remove_reader(self.listener)
        self.listener.close()
        for side in list(self.sides):
            side.reset()
        for task in self.tasks:
            task.cancel()
