"""Stand-ins for font servers, the counter and discovery, in one process of their own.

`python -m emulator.real.standins` prints one line of JSON with its ports, then reads commands from standard
input, one line of JSON each, and answers each with one. It ends with its input.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import hiredis
import uvloop
from httptools import HttpRequestParser

from emulator.deployment import Deployment

VALUE = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
ANY_PORT = ("127.0.0.1", 0)
LONGEST_LINE = 16 * 1024 * 1024  # bytes of a command on standard input


@dataclass(slots=True)
class StandInTally:
    """What the gateways asked of the stand-ins. Bytes are of bodies and lines, without HTTP's headers."""

    commands: int = 0
    server_connections: int = 0
    counter_calls: int = 0
    counter_bytes: int = 0
    discovery_calls: int = 0
    whole_lists: int = 0
    discovery_bytes: int = 0


class ServerProtocol(asyncio.Protocol):
    """A font server that answers each command at once."""

    def __init__(self, tally: StandInTally) -> None:
        self.tally, self.reader = tally, hiredis.Reader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.tally.server_connections += 1

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        self.reader.feed(data)
        while self.reader.gets() is not False:
            self.tally.commands += 1
            self.transport.write(VALUE)


class CounterProtocol(asyncio.Protocol):
    """A counter that keeps totals and answers at once."""

    def __init__(self, tally: StandInTally, totals: dict[bytes, float]) -> None:
        self.tally, self.totals, self.rest = tally, totals, b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        assert self.transport is not None
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self.transport.write(self.answer(line.split()))
        self.tally.counter_bytes += len(data)

    def answer(self, words: list[bytes]) -> bytes:
        """The line that answers a call."""
        if words == [b"ping"]:
            return b"pong\r\n"
        if len(words) != 4 or words[0] != b"incr":
            return b"error\r\n"
        self.tally.counter_calls += 1
        total = self.totals[words[1]] = self.totals.get(words[1], 0.0) + float(words[2])
        return b"ok %.7g\r\n" % total


class ListService:
    """Discovery's list and its versions; `entry` gives a server in discovery's form."""

    def __init__(self, tally: StandInTally) -> None:
        self.tally, self.version = tally, 1
        self.entry: Callable[[int, str], dict[str, Any]] = lambda number, state: {}
        self.servers = 0
        self.changes: list[dict[str, Any]] = []  # that made version 2, 3 and so on
        self.news = asyncio.Event()
        self.whole = b""

    def set_list(self, servers: int, entry: Callable[[int, str], dict[str, Any]]) -> None:
        """Starts over with so many servers, at version 1."""
        self.servers, self.entry, self.version, self.changes = servers, entry, 1, []
        self.whole = self._body(True, [entry(n, "up") for n in range(servers)])

    def change(self, number: int, state: str) -> None:
        """One server's state changes, which makes a version."""
        self.version += 1
        self.changes.append(self.entry(number, state))
        news, self.news = self.news, asyncio.Event()
        news.set()

    async def answer(self, query: dict[str, str]) -> bytes:
        """The body for a call, after the wait that it asks for."""
        self.tally.discovery_calls += 1
        held = int(query.get("index", 0))
        if held == self.version:
            try:
                async with asyncio.timeout(int(query.get("wait", 0)) / 1000):
                    await self.news.wait()
            except TimeoutError:
                pass
        if held == 0 or held > self.version:
            self.tally.whole_lists += 1
            body = self.whole
        else:
            body = self._body(False, self.changes[held - 1 :])
        self.tally.discovery_bytes += len(body)
        return body

    def _body(self, full: bool, servers: list[dict[str, Any]]) -> bytes:
        told = {"version": self.version, "full": full, "servers": servers}
        return json.dumps(told, separators=(",", ":")).encode()


def http_response(body: bytes) -> bytes:
    """A whole answer of discovery."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + body


class DiscoveryProtocol(asyncio.Protocol):
    """HTTP/1.1, one GET at a time. `service` gives the bodies, see ListService.answer."""

    def __init__(self, service: Any) -> None:
        self.service, self.parser, self.target = service, HttpRequestParser(self), ""
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self.task is not None:
            self.task.cancel()

    def on_url(self, url: bytes) -> None:
        """Called by the parser."""
        self.target = url.decode()

    def on_message_complete(self) -> None:
        """Called by the parser."""
        self.task = asyncio.get_running_loop().create_task(self.reply(self.target))

    async def reply(self, target: str) -> None:
        """Answers one call."""
        assert self.transport is not None
        body = await self.service.answer(dict(parse_qsl(urlsplit(target).query)))
        self.transport.write(http_response(body))


class StandIns:
    """All of them, and the commands by which the emulator steers them."""

    def __init__(self) -> None:
        self.tally = StandInTally()
        self.service = ListService(self.tally)
        self.totals: dict[bytes, float] = {}
        self.ports: dict[str, int] = {}

    async def listen(self) -> None:
        """Takes a free port for each."""
        loop = asyncio.get_running_loop()
        for name, protocol in (
            ("server", lambda: ServerProtocol(self.tally)),
            ("counter", lambda: CounterProtocol(self.tally, self.totals)),
            ("discovery", lambda: DiscoveryProtocol(self.service)),
        ):
            listener = await loop.create_server(protocol, *ANY_PORT)
            self.ports[name] = listener.sockets[0].getsockname()[1]

    async def command(self, told: dict[str, Any]) -> dict[str, Any]:
        """Carries out one command; its answer."""
        match told["do"]:
            case "list":
                deployment = Deployment(told["gateways"], told["servers"])
                address = f"127.0.0.1:{self.ports['server']}"
                self.service.set_list(
                    deployment.servers, lambda n, state: deployment.discovery_entry(n, address, state)
                )
                return {"bytes": len(self.service.whole)}
            case "changes":
                for number in range(told["count"]):
                    state = "draining" if number % 2 == 0 else "up"
                    self.service.change(told["first"] + number // 2, state)
                    await asyncio.sleep(told["every"])
                return {"version": self.service.version}
            case "tally":
                return asdict(self.tally)
        return {"error": "unknown command"}


async def serve() -> None:
    """Listens, and carries out commands until standard input ends."""
    stand_ins = StandIns()
    await stand_ins.listen()
    reader = asyncio.StreamReader(limit=LONGEST_LINE)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    print(json.dumps(stand_ins.ports), flush=True)
    while line := await reader.readline():
        print(json.dumps(await stand_ins.command(json.loads(line))), flush=True)


if __name__ == "__main__":
    uvloop.run(serve())
