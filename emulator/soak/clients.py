"""Clients of every manner that the pages name, and the front that spreads them over the gateways."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import struct
import time
from collections.abc import Callable

import hiredis

from emulator.soak.configuration import CLASSES, PLAN, SPREAD, ClassShape
from emulator.soak.record import Asked, BadClient, Ending, Record
from emulator.soak.standins import value_of

LATE_ANSWER = 0.5  # seconds after its time for which an answer is still one
BAD_WITHIN = 3.0  # seconds in which a bad client is owed an error or a close
SPARE = 1.5  # seconds for which it is watched beyond that
CONNECT_WITHIN = 1.0  # seconds
SHORT_BODY, LONG_BODY, LONG_PART = 20, 40_000, 0.04  # bytes; part of the bodies that are long
MOST_PRESSED = 200  # commands on a connection that is pressed
CUSTOMERS = 40
RESET = struct.pack("ii", 1, 0)


class Connection:
    """One connection to a gateway. Commands may be written one behind another, and are answered in order."""

    def __init__(self, number: int, gateway: int, life: int) -> None:
        self.number, self.gateway, self.life = number, gateway, life
        self.parser = hiredis.Reader()
        self.pending: list[Asked] = []
        self.answered: Asked | None = None
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.over = asyncio.Event()

    async def open(self, port: int) -> None:
        """Connects, and listens until the connection ends. Raises OSError."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.get_running_loop().create_task(self.listen())

    async def listen(self) -> None:
        """Takes answers until the end."""
        with contextlib.suppress(OSError):
            while data := await self.reader.read(65536):
                self.parser.feed(data)
                while (answer := self.parser.gets()) is not False:
                    self.take(answer)
        now = time.monotonic()
        for asked in self.pending:
            if asked.closed_at is None:
                asked.ending, asked.ended_at = Ending.CLOSED, now
        self.pending = []
        self.over.set()
        self.writer.close()

    def take(self, answer: object) -> None:
        """One answer: to the oldest command that waits; one too many belongs to the last."""
        now = time.monotonic()
        if not self.pending:
            if self.answered is not None:
                self.answered.answers += 1
            return
        asked = self.answered = self.pending.pop(0)
        asked.answers += 1
        asked.ended_at = now
        if isinstance(answer, bytes):
            asked.ending, asked.answer = Ending.SERVED, answer
        elif isinstance(answer, hiredis.ReplyError) and str(answer).startswith("BUSY"):
            asked.ending = Ending.REFUSED
        else:
            asked.ending = Ending.FAILED

    @property
    def usable(self) -> bool:
        """Whether a command may be written to it."""
        return not self.over.is_set() and not self.writer.is_closing()

    def leave(self, manner: str) -> None:
        """The client goes: it closes, resets or ends its sending."""
        now = time.monotonic()
        for asked in self.pending:
            asked.closed_at, asked.ending, asked.ended_at = now, Ending.LEFT, now
        if manner == "half":
            self.writer.write_eof()
            return
        if manner == "reset":
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.writer.transport.abort() if manner == "reset" else self.writer.close()


class Front:
    """Knows which gateways are ready, as a front does some time after it."""

    def __init__(self, ports: list[int], life: Callable[[int], int]) -> None:
        self.ports, self.life = ports, life
        self.ready = [False] * len(ports)

    def pick(self, first: int, generator: random.Random) -> int | None:
        """A ready gateway of a customer's set."""
        chosen = [(first + n) % len(self.ports) for n in range(min(SPREAD, len(self.ports)))]
        able = [index for index in chosen if self.ready[index]]
        return generator.choice(able) if able else None


class Crowd:
    """All clients of a run."""

    def __init__(self, front: Front, record: Record, generator: random.Random) -> None:
        self.front, self.record, self.generator = front, record, generator
        self.numbers, self.ids = itertools.count(1), itertools.count(1)
        self.free: dict[int, list[Connection]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.listeners: set[asyncio.Task[None]] = set()  # of all connections that were opened
        self.leaving, self.slow, self.resting = 0.02, 0.02, 0.01  # parts of the requests
        self.stopped = False

    async def ask_steadily(self, rate: float) -> None:
        """Requests at random times, so many a second, until `stopped`."""
        while not self.stopped:
            await asyncio.sleep(self.generator.expovariate(rate))
            self.spawn(self.request())

    def spawn(self, work: object) -> None:
        """Starts one client's work."""
        task = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def command(self, request: str, shape: ClassShape, customer: int) -> bytes:
        """A request on the wire."""
        first = customer % len(self.front.ports)
        spread = min(SPREAD, len(self.front.ports))
        key = "" if shape.effect.value != "keyed" else f",k=key-{request}"
        terms = (
            f"c={shape.name},t={PLAN.name},d={int(shape.deadline * 1000)}{key},"
            f"units=1,spread={spread},first={first}"
        )
        read = shape.effect.value == "safe"
        parts = ["API.READ" if read else "API.WRITE", f"{customer:016x}", request, terms]
        parts += [] if read else ["B" * (LONG_BODY if self.generator.random() < LONG_PART else SHORT_BODY)]
        return (f"*{len(parts)}\r\n" + "".join(f"${len(p)}\r\n{p}\r\n" for p in parts)).encode()

    async def connection(self, gateway: int) -> Connection | None:
        """A free connection to a gateway, or a new one; None where none comes up."""
        free = self.free.setdefault(gateway, [])
        while free:
            connection = free.pop()
            if connection.usable and connection.life == self.front.life(gateway):
                return connection
        return await self.new_connection(gateway)

    async def new_connection(self, gateway: int) -> Connection | None:
        """A new connection to a gateway; None where none comes up."""
        connection = Connection(next(self.numbers), gateway, self.front.life(gateway))
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                await connection.open(self.front.ports[gateway])
        except (OSError, TimeoutError):
            return None
        self.listeners.add(connection.task)
        connection.task.add_done_callback(self.listeners.discard)
        return connection

    async def request(self) -> None:
        """One request of a usual client, which may leave early, write slowly or rest first."""
        generator = self.generator
        customer = int(CUSTOMERS * generator.random() ** 1.5)
        shape = generator.choices(CLASSES, [each.share for each in CLASSES])[0]
        gateway = self.front.pick(customer % len(self.front.ports), generator)
        if gateway is None or (connection := await self.connection(gateway)) is None:
            return
        manner = generator.random()
        if manner < self.leaving:
            asked = await self.write(connection, shape, customer)
            await asyncio.sleep(generator.random() * 0.2)
            if asked.ending is Ending.NONE and connection.usable:
                connection.leave(generator.choice(("close", "reset", "half")))
            return
        slow = self.leaving <= manner < self.leaving + self.slow
        asked = await self.write(connection, shape, customer, slow)
        await self.wait(connection, asked)
        if asked.ending is Ending.CLOSED and self.crossed(asked):
            await self.once_more(asked, shape, customer)
        elif connection.usable:
            self.free[gateway].append(connection)

    async def write(
        self, connection: Connection, shape: ClassShape, customer: int, slow: bool = False, request: str = ""
    ) -> Asked:
        """Writes a command; its time begins with its last byte."""
        request = request or f"q{next(self.ids)}"
        text = self.command(request, shape, customer)
        if slow:
            half = self.generator.randrange(1, len(text))
            connection.writer.write(text[:half])
            await asyncio.sleep(0.05 + 0.3 * self.generator.random())
            text = text[half:]
        asked = Asked(
            request,
            connection.gateway,
            connection.life,
            connection.number,
            shape.effect,
            f"{customer:016x}",
            shape.deadline,
            time.monotonic(),
        )
        self.record.asked.append(asked)
        connection.pending.append(asked)
        if connection.over.is_set():
            asked.ending, asked.ended_at = Ending.CLOSED, asked.at
        else:
            connection.writer.write(text)
        return asked

    async def wait(self, connection: Connection, asked: Asked) -> None:
        """Waits for the answer, or until it can be none any more."""
        until = asked.at + asked.deadline + LATE_ANSWER + SPARE
        while asked.ending is Ending.NONE and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if asked.ending is Ending.NONE and connection.usable:
            connection.writer.close()

    def crossed(self, asked: Asked) -> bool:
        """Whether the close of its connection crossed the request, which was then not read."""
        return asked.ended_at - asked.at < 0.05

    async def once_more(self, asked: Asked, shape: ClassShape, customer: int) -> None:
        """Sends a request that crossed a close once more, on a new connection."""
        gateway = self.front.pick(customer % len(self.front.ports), self.generator)
        if gateway is None or (connection := await self.new_connection(gateway)) is None:
            return
        again = await self.write(connection, shape, customer, request=asked.id)
        await self.wait(connection, again)
        if connection.usable:
            connection.writer.close()

    async def burst(self, count: int, leave: bool) -> None:
        """Many commands at once on one connection, whose client may leave at once."""
        gateway = self.front.pick(self.generator.randrange(len(self.front.ports)), self.generator)
        if gateway is None or (connection := await self.connection(gateway)) is None:
            return
        asked = [
            await self.write(connection, self.generator.choice(CLASSES), self.generator.randrange(CUSTOMERS))
            for _ in range(count)
        ]
        if leave and connection.usable:
            await asyncio.sleep(self.generator.random() * 0.02)
            connection.leave("close")
            return
        for each in asked:
            await self.wait(connection, each)
        if connection.usable:
            connection.writer.close()

    async def press(self, gateway: int, every: float) -> None:
        """Sends on one connection to a gateway for as long as that is open, whatever the gateway is told."""
        connection = await self.new_connection(gateway)
        written: list[tuple[Asked, ClassShape, int]] = []
        while connection is not None and connection.usable and len(written) < MOST_PRESSED:
            shape, customer = self.generator.choice(CLASSES), self.generator.randrange(CUSTOMERS)
            written.append((await self.write(connection, shape, customer), shape, customer))
            await asyncio.sleep(every)
        for asked, shape, customer in written:
            await self.wait(connection, asked)
            if asked.ending is Ending.CLOSED and self.crossed(asked):
                await self.once_more(asked, shape, customer)

    async def rest_and_cross(self) -> None:
        """Rests until the gateway is about to close the connection, and asks just then."""
        gateway = self.front.pick(self.generator.randrange(len(self.front.ports)), self.generator)
        if gateway is None or (connection := await self.connection(gateway)) is None:
            return
        shape, customer = CLASSES[0], self.generator.randrange(CUSTOMERS)
        await asyncio.sleep(2.1 + 0.5 * self.generator.random())
        if not connection.usable:
            return
        asked = await self.write(connection, shape, customer)
        await self.wait(connection, asked)
        if asked.ending is Ending.CLOSED and self.crossed(asked):
            await self.once_more(asked, shape, customer)

    async def misbehave(self) -> None:
        """One bad client: it is owed an error or a close within 3 s of its fault."""
        generator = self.generator
        gateway = self.front.pick(generator.randrange(len(self.front.ports)), generator)
        if gateway is None:
            return
        sound = self.command(f"b{next(self.ids)}", CLASSES[0], 0)
        texts = {
            "garbage": b"\x88\xa8\x01garbage\r\n",
            "long line": b"*" + b"1" * 5000,
            "half a command": sound[: generator.randrange(1, len(sound) - 1)],
            "half behind one in work": sound + sound[: len(sound) // 2],
            "silent": b"",
            "unknown class": sound.replace(b"c=fetch", b"c=xxxxx"),
            "negative length": b"*4\r\n$-7\r\n",
            "huge length": b"*4\r\n$8\r\nAPI.READ\r\n$999999999\r\n",
        }
        manner = generator.choice(sorted(texts))
        life = self.front.life(gateway)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.front.ports[gateway])
        except OSError:
            return
        bad = BadClient(manner, gateway, life, time.monotonic())
        self.record.bad_clients.append(bad)
        writer.write(texts[manner])
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(BAD_WITHIN + SPARE):
                while (line := await reader.readline()) and not line.startswith(b"-ERR"):
                    if line.startswith(b"$"):
                        await reader.readline()
        if time.monotonic() - bad.at < BAD_WITHIN + SPARE:
            bad.ended_at = time.monotonic()
        writer.close()

    async def finish(self) -> None:
        """No more requests; waits for those that are out."""
        self.stopped = True
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    def close(self) -> None:
        """Ends what is left of its connections."""
        for task in [*self.tasks, *self.listeners]:
            task.cancel()


def served_rightly(asked: Asked) -> bool:
    """Whether what it was served is what servers make for it."""
    return asked.answer == value_of(asked.id)
