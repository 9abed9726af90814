"""Stand-ins for servers, the counter and discovery, in a process of their own.

`python -m emulator.real.standins` prints its ports as one line of JSON. It then reads commands from standard
input, one line of JSON each, and prints the result of each as one line of JSON. It exits at the end of its
input.
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

SERVER_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"
ANY_PORT = ("127.0.0.1", 0)
MAX_LINE_BYTES = 16 * 1024 * 1024  # longest command on standard input


@dataclass(slots=True)
class StandInTally:
    """Counters of what the gateways sent. Bytes are those of bodies and lines, without HTTP headers."""

    commands: int = 0
    server_connections: int = 0
    counter_calls: int = 0
    counter_bytes: int = 0
    discovery_calls: int = 0
    whole_lists: int = 0
    discovery_bytes: int = 0


class ServerProtocol(asyncio.Protocol):
    """A server that answers each command at once with the same value."""

    def __init__(self, tally: StandInTally) -> None:
        self.tally, self.reader = tally, hiredis.Reader()
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport and counts the connection."""
        self.transport = transport  # type: ignore[assignment]
        self.tally.server_connections += 1

    def data_received(self, data: bytes) -> None:
        """Counts the complete commands and answers each of them."""
        assert self.transport is not None
        self.reader.feed(data)
        while self.reader.gets() is not False:
            self.tally.commands += 1
            self.transport.write(SERVER_REPLY)


class CounterProtocol(asyncio.Protocol):
    """A counter that keeps its totals in memory and answers at once."""

    def __init__(self, tally: StandInTally, totals: dict[bytes, float]) -> None:
        self.tally, self.totals, self.partial_line = tally, totals, b""
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Answers the complete lines and counts the bytes."""
        assert self.transport is not None
        *lines, self.partial_line = (self.partial_line + data).split(b"\r\n")
        for line in lines:
            self.transport.write(self.execute_call(line.split()))
        self.tally.counter_bytes += len(data)

    def execute_call(self, fields: list[bytes]) -> bytes:
        """Executes the call of one line and returns the line of the response."""
        if fields == [b"ping"]:
            return b"pong\r\n"
        if len(fields) != 4 or fields[0] != b"incr":
            return b"error\r\n"
        self.tally.counter_calls += 1
        new_total = self.totals[fields[1]] = self.totals.get(fields[1], 0.0) + float(fields[2])
        return b"ok %.7g\r\n" % new_total


class ServerListService:
    """The server list of discovery with its versions.

    Attributes:
        entry: returns a server in the JSON form of discovery, from its number and its state.
        servers: number of servers.
        full_body: body of a response with the full list.
    """

    def __init__(self, tally: StandInTally) -> None:
        self.tally, self.version = tally, 1
        self.entry: Callable[[int, str], dict[str, Any]] = lambda number, state: {}
        self.servers = 0
        self.changes: list[dict[str, Any]] = []  # changes that led to versions 2, 3 and so on
        self.version_changed = asyncio.Event()
        self.full_body = b""

    def reset(self, servers: int, entry: Callable[[int, str], dict[str, Any]]) -> None:
        """Replaces the list by one with `servers` servers, at version 1."""
        self.servers, self.entry, self.version, self.changes = servers, entry, 1, []
        self.full_body = self._encode_list(True, [entry(number, "up") for number in range(servers)])

    def change_state(self, number: int, state: str) -> None:
        """Changes the state of one server, which creates a new version."""
        self.version += 1
        self.changes.append(self.entry(number, state))
        version_changed, self.version_changed = self.version_changed, asyncio.Event()
        version_changed.set()

    async def respond(self, query: dict[str, str]) -> bytes:
        """Returns the body of the response to a call, after the wait that the call requests."""
        self.tally.discovery_calls += 1
        client_version = int(query.get("index", 0))
        if client_version == self.version:
            try:
                async with asyncio.timeout(int(query.get("wait", 0)) / 1000):
                    await self.version_changed.wait()
            except TimeoutError:
                pass
        if client_version == 0 or client_version > self.version:
            self.tally.whole_lists += 1
            body = self.full_body
        else:
            body = self._encode_list(False, self.changes[client_version - 1 :])
        self.tally.discovery_bytes += len(body)
        return body

    def _encode_list(self, full: bool, servers: list[dict[str, Any]]) -> bytes:
        message = {"version": self.version, "full": full, "servers": servers}
        return json.dumps(message, separators=(",", ":")).encode()


def http_response(body: bytes) -> bytes:
    """Returns a complete HTTP response of discovery."""
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body)
    return head + body


class DiscoveryProtocol(asyncio.Protocol):
    """An HTTP/1.1 server for discovery that serves one GET at a time.

    The bodies are those that `service.respond` returns; see `ServerListService.respond`.
    """

    def __init__(self, service: Any) -> None:
        self.service, self.parser, self.target = service, HttpRequestParser(self), ""
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Passes the data to the parser."""
        self.parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the call that is being served."""
        if self.task is not None:
            self.task.cancel()

    def on_url(self, url: bytes) -> None:
        """Keeps the target of the request; called by the parser."""
        self.target = url.decode()

    def on_message_complete(self) -> None:
        """Starts to serve the complete request; called by the parser."""
        self.task = asyncio.get_running_loop().create_task(self.send_response(self.target))

    async def send_response(self, target: str) -> None:
        """Writes the response to one call."""
        assert self.transport is not None
        body = await self.service.respond(dict(parse_qsl(urlsplit(target).query)))
        self.transport.write(http_response(body))


class StandIns:
    """All stand-ins, and the commands by which the emulator controls them."""

    def __init__(self) -> None:
        self.tally = StandInTally()
        self.service = ServerListService(self.tally)
        self.totals: dict[bytes, float] = {}
        self.ports: dict[str, int] = {}

    async def listen(self) -> None:
        """Starts to listen at a free port for each kind of stand-in."""
        loop = asyncio.get_running_loop()
        for name, protocol in (
            ("server", lambda: ServerProtocol(self.tally)),
            ("counter", lambda: CounterProtocol(self.tally, self.totals)),
            ("discovery", lambda: DiscoveryProtocol(self.service)),
        ):
            listener = await loop.create_server(protocol, *ANY_PORT)
            self.ports[name] = listener.sockets[0].getsockname()[1]

    async def execute(self, command: dict[str, Any]) -> dict[str, Any]:
        """Executes one command and returns its result.

        "list" replaces the server list, "changes" makes a series of changes, and "tally" returns the
        counters.
        """
        match command["do"]:
            case "list":
                deployment = Deployment(command["gateways"], command["servers"])
                address = f"127.0.0.1:{self.ports['server']}"
                self.service.reset(
                    deployment.servers,
                    lambda number, state: deployment.discovery_entry(number, address, state),
                )
                return {"bytes": len(self.service.full_body)}
            case "changes":
                for number in range(command["count"]):
                    state = "draining" if number % 2 == 0 else "up"
                    self.service.change_state(command["first"] + number // 2, state)
                    await asyncio.sleep(command["every"])
                return {"version": self.service.version}
            case "tally":
                return asdict(self.tally)
        return {"error": "unknown command"}


async def serve() -> None:
    """Starts the stand-ins and executes commands until the end of standard input."""
    stand_ins = StandIns()
    await stand_ins.listen()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    print(json.dumps(stand_ins.ports), flush=True)
    while line := await reader.readline():
        print(json.dumps(await stand_ins.execute(json.loads(line))), flush=True)


if __name__ == "__main__":
    uvloop.run(serve())
