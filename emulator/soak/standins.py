"""The parties that the gateways speak to: font servers, the counter, discovery. Each notes what came."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import hiredis

from emulator.real.standins import CounterProtocol, DiscoveryProtocol, StandInTally, http_response
from emulator.soak.link import Fault, Link
from emulator.soak.record import Began, Record, Started, Told
from emulator.soak.shape import SLOTS, TOLD_AT_LATEST, WORK

SPOILT = (b"*3\r\n$3\r\nvalue\r\n", b"\x88\xa8\r\n", b"*3\r\n$3000000000\r\n", b"$-1\r\n")
LONG_VALUE, LONG_ENDING = 40_000, "77"  # bytes; of the ids of requests whose values are long
ANSWERED_TWICE = 0.3  # part of spoilt answers that are good, with noise behind them


class Manner(Enum):
    """How a server behaves."""

    SOUND = "sound"
    HANGS = "hangs"  # takes requests and answers none
    ERRS = "errs"
    BUSY = "busy"
    SPOILS = "spoils"  # some of its answers cannot be read
    DRAINS = "drains"  # turns away what is new


def value_of(request: str) -> bytes:
    """The value that servers make for a request; no other answer to it is right. Some are long."""
    padding = LONG_VALUE if request.endswith(LONG_ENDING) else 0
    return b"value-of-" + request.encode() + b"." * padding


class FontServer:
    """One font server at a port of its own, behind a link."""

    def __init__(self, name: str, record: Record, generator: random.Random, started_ms: int) -> None:
        self.name, self.record, self.generator, self.started_ms = name, record, generator, started_ms
        self.manner, self.state = Manner.SOUND, "up"
        self.slots = asyncio.Semaphore(SLOTS)
        self.connections: set[ServerConnection] = set()
        self.link: Link
        self.listener: asyncio.Server

    async def start(self) -> None:
        """Listens."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", 0)
        self.link = Link(self.listener.sockets[0].getsockname()[1], self.generator)

    def entry(self) -> dict[str, Any]:
        """It in discovery's form."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.link.port}",
            "zone": "zone-0",
            "kind": "small",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    def close(self) -> None:
        """Ends it: its connections are reset and new ones refused."""
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self.link.close()


class ServerConnection(asyncio.Protocol):
    """One connection to a font server; answers come in the order of the commands."""

    def __init__(self, server: FontServer) -> None:
        self.server, self.reader = server, hiredis.Reader()
        self.last: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self.reader.feed(data)
        while (command := self.next_command()) is not None:
            self.last = asyncio.get_running_loop().create_task(self.serve(command, self.last))

    def next_command(self) -> list[bytes] | None:
        """The next command that is whole; one that cannot be read is noted and ends the connection."""
        try:
            command = self.reader.gets()
        except hiredis.ProtocolError as err:
            command = str(err)
        if command is False:
            return None
        if isinstance(command, list) and len(command) in (4, 5):
            return command
        self.server.record.unreadable.append((time.monotonic(), f"server {self.server.name}: {command}"))
        self.transport.abort()
        return None

    async def serve(self, command: list[bytes], before: asyncio.Task[None] | None) -> None:
        """Works on one command and answers it behind the one before."""
        server = self.server
        request = command[2].decode()
        told = dict(term.split(b"=") for term in command[3].split(b","))[b"d"]
        turned_away = server.manner in (Manner.BUSY, Manner.DRAINS)
        if not turned_away:
            began = Began(request, server.name, time.monotonic(), int(told) / 1000)
            server.record.began_at_servers.append(began)
            async with server.slots:
                await asyncio.sleep(server.generator.expovariate(1 / WORK))
        if before is not None:
            await before
        if server.manner is Manner.HANGS or self.transport.is_closing():
            return
        self.transport.write(b"-BUSY\r\n" if turned_away else self.answer(request))

    def answer(self, request: str) -> bytes:
        """The answer to a command that has run."""
        value, generator = value_of(request), self.server.generator
        good = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)
        match self.server.manner:
            case Manner.ERRS:
                return b"-ERR failed\r\n"
            case Manner.SPOILS if generator.random() < ANSWERED_TWICE:
                return good + good
            case Manner.SPOILS if generator.random() < ANSWERED_TWICE:
                return generator.choice(SPOILT)
        return good


class SoakCounter:
    """The counter, at two addresses that share its numbers."""

    def __init__(self) -> None:
        self.tally, self.totals = StandInTally(), dict[bytes, float]()
        self.links: list[Link] = []
        self.listeners: list[asyncio.Server] = []

    async def start(self, generator: random.Random) -> None:
        """Listens."""
        loop = asyncio.get_running_loop()
        for _ in range(2):
            listener = await loop.create_server(
                lambda: CounterProtocol(self.tally, self.totals), "127.0.0.1", 0
            )
            self.listeners.append(listener)
            self.links.append(Link(listener.sockets[0].getsockname()[1], generator))

    def close(self) -> None:
        """Ends it."""
        for each in [*self.links, *self.listeners]:
            each.close()


class SoakList:
    """The list of servers with its versions."""

    def __init__(self) -> None:
        self.version, self.changes = 1, list[dict[str, Any]]()
        self.entries: dict[str, dict[str, Any]] = {}
        self.news = asyncio.Event()

    def change(self, entry: dict[str, Any]) -> None:
        """A server's state changed, or a new one came."""
        self.version += 1
        self.changes.append(entry)
        if entry["state"] == "removed":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        news, self.news = self.news, asyncio.Event()
        news.set()

    async def answer(self, query: dict[str, str]) -> tuple[bytes, list[dict[str, Any]]]:
        """The body for a call, and the entries in it, after the wait that it asks for."""
        held = int(query.get("index", 0))
        if held == self.version:
            try:
                async with asyncio.timeout(int(query.get("wait", 0)) / 1000):
                    await self.news.wait()
            except TimeoutError:
                pass
        whole = not 0 < held <= self.version
        servers = list(self.entries.values()) if whole else self.changes[held - 1 :]
        return self.body(whole, servers), servers

    def body(self, whole: bool, servers: list[dict[str, Any]]) -> bytes:
        """A list as it goes over the wire."""
        return json.dumps({"version": self.version, "full": whole, "servers": servers}).encode()


@dataclass(slots=True)
class Agent:
    """Discovery's agent beside one gateway, at two addresses. What it wrote to the gateway counts as told."""

    gateway: int
    service: SoakList
    record: Record
    life: Callable[[], int]
    links: list[Link]
    listeners: list[asyncio.Server]

    async def start(self, generator: random.Random) -> None:
        """Listens."""
        loop = asyncio.get_running_loop()
        for _ in range(2):
            listener = await loop.create_server(lambda: AgentConnection(self), "127.0.0.1", 0)
            self.listeners.append(listener)
            self.links.append(Link(listener.sockets[0].getsockname()[1], generator))

    def wrote(self, servers: list[dict[str, Any]]) -> None:
        """Notes what was told; where the way is not sound, it counts as told later."""
        sound = all(link.fault in (Fault.NONE, Fault.PIECES) for link in self.links)
        at, life = time.monotonic() + (0.0 if sound else TOLD_AT_LATEST), self.life()
        for entry in servers:
            self.record.told.append(Told(self.gateway, life, entry["id"], entry["state"], at))

    def close(self) -> None:
        """Ends it."""
        for each in [*self.links, *self.listeners]:
            each.close()


class AgentConnection(DiscoveryProtocol):
    """One connection to an agent; what it answers counts as told."""

    def __init__(self, agent: Agent) -> None:
        super().__init__(agent.service)
        self.agent = agent

    async def reply(self, target: str) -> None:
        """Answers one call."""
        assert self.transport is not None
        body, servers = await self.agent.service.answer(dict(parse_qsl(urlsplit(target).query)))
        self.transport.write(http_response(body))
        self.agent.wrote(servers)


def started_now(record: Record, name: str, offset_ms: int = 0) -> int:
    """Notes the cold start of a server; its time as discovery tells it."""
    record.started.append(Started(name, time.monotonic()))
    return int(time.time() * 1000) + offset_ms
