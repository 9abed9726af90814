"""Stand-ins for the servers, the counter and discovery, which record what the gateways send to them."""

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
from emulator.soak.configuration import MAX_DISCOVERY_DELAY, MEAN_SERVICE_TIME, SERVER_CONCURRENCY
from emulator.soak.proxy import FaultProxy, ProxyFault
from emulator.soak.record import AttemptRecord, ServerStart, SoakRecord, StateDelivery

LENGTH_ERRORS = (-2, -1, 1, 2)  # bytes by which the length of a malformed response is wrong
MALFORMED_RESPONSES = (b"*3\r\n$3\r\nvalue\r\n", b"\x88\xa8\r\n", b"*3\r\n$3000000000\r\n", b"$-1\r\n")
LONG_VALUE_BYTES = 40_000
LONG_VALUE_ID_SUFFIX = "77"  # requests whose id ends with it get a long value
MALFORMATION_PROBABILITY = 0.3  # of a duplicated response, and of a malformed one otherwise


class ServerBehavior(Enum):
    """How a server responds to commands."""

    NORMAL = "normal"
    HANG = "hang"  # accepts requests and responds to none
    ERROR = "error"
    BUSY = "busy"
    MALFORMED = "malformed"  # some responses are malformed or duplicated
    DRAINING = "draining"  # rejects new requests


def expected_value(request_id: str) -> bytes:
    """Returns the only correct response value for a request; some values are long."""
    padding = LONG_VALUE_BYTES if request_id.endswith(LONG_VALUE_ID_SUFFIX) else 0
    return b"value-of-" + request_id.encode() + b"." * padding


class SoakServer:
    """One server at its own port, behind a proxy."""

    def __init__(self, name: str, record: SoakRecord, generator: random.Random, started_ms: int) -> None:
        self.name, self.record, self.generator, self.started_ms = name, record, generator, started_ms
        self.behavior, self.state = ServerBehavior.NORMAL, "up"
        self.slots = asyncio.Semaphore(SERVER_CONCURRENCY)
        self.connections: set[ServerConnection] = set()
        self.proxy: FaultProxy
        self.listener: asyncio.Server

    async def start(self) -> None:
        """Starts to listen and creates the proxy."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", 0)
        self.proxy = FaultProxy(self.listener.sockets[0].getsockname()[1], self.generator)

    def entry(self) -> dict[str, Any]:
        """Returns the server's entry in discovery's JSON form."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.proxy.port}",
            "zone": "zone-0",
            "kind": "small",
            "cell": 0,
            "state": self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    def close(self) -> None:
        """Closes the listener and the proxy, and aborts all connections."""
        self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self.proxy.close()


class ServerConnection(asyncio.Protocol):
    """One connection to a server, which sends responses in the order of the commands."""

    def __init__(self, server: SoakServer) -> None:
        self.server, self.reader = server, hiredis.Reader()
        self.last_task: asyncio.Task[None] | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection at its server."""
        self.transport = transport  # type: ignore[assignment]
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from its server."""
        self.server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Starts a task for each complete command."""
        self.reader.feed(data)
        while (command := self.next_command()) is not None:
            self.last_task = asyncio.get_running_loop().create_task(self.serve(command, self.last_task))

    def next_command(self) -> list[bytes] | None:
        """Returns the next complete command, or None; records a malformed one and aborts the connection."""
        try:
            command = self.reader.gets()
        except hiredis.ProtocolError as err:
            command = str(err)
        if command is False:
            return None
        if isinstance(command, list) and len(command) in (4, 5):
            return command
        self.server.record.malformed_commands.append(
            (time.monotonic(), f"server {self.server.name}: {command}")
        )
        self.transport.abort()
        return None

    async def serve(self, command: list[bytes], previous: asyncio.Task[None] | None) -> None:
        """Processes one command and sends its response after that of the previous command."""
        server = self.server
        request_id = command[2].decode()
        remaining_ms = dict(term.split(b"=") for term in command[3].split(b","))[b"d"]
        is_busy = server.behavior in (ServerBehavior.BUSY, ServerBehavior.DRAINING)
        if not is_busy:
            attempt = AttemptRecord(request_id, server.name, time.monotonic(), int(remaining_ms) / 1000)
            server.record.attempts.append(attempt)
            async with server.slots:
                await asyncio.sleep(server.generator.expovariate(1 / MEAN_SERVICE_TIME))
        if previous is not None:
            await previous
        if server.behavior is ServerBehavior.HANG or self.transport.is_closing():
            return
        self.transport.write(b"-BUSY\r\n" if is_busy else self.encode_response(request_id))

    def encode_response(self, request_id: str) -> bytes:
        """Returns the encoded response to a command that was processed."""
        value, generator = expected_value(request_id), self.server.generator
        response = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)
        match self.server.behavior:
            case ServerBehavior.ERROR:
                return b"-ERR failed\r\n"
            case ServerBehavior.MALFORMED if generator.random() < MALFORMATION_PROBABILITY:
                return response + response
            case ServerBehavior.MALFORMED if generator.random() < MALFORMATION_PROBABILITY:
                return generator.choice(MALFORMED_RESPONSES)
            case ServerBehavior.MALFORMED if generator.random() < MALFORMATION_PROBABILITY:
                wrong_length = len(value) + generator.choice(LENGTH_ERRORS)
                return response.replace(b"$%d" % len(value), b"$%d" % wrong_length, 1)
        return response


class SoakCounter:
    """The counter, at two addresses that share its totals."""

    def __init__(self) -> None:
        self.tally, self.totals = StandInTally(), dict[bytes, float]()
        self.proxies: list[FaultProxy] = []
        self.listeners: list[asyncio.Server] = []

    async def start(self, generator: random.Random) -> None:
        """Starts to listen at two addresses, each behind a proxy."""
        loop = asyncio.get_running_loop()
        for _ in range(2):
            listener = await loop.create_server(
                lambda: CounterProtocol(self.tally, self.totals), "127.0.0.1", 0
            )
            self.listeners.append(listener)
            self.proxies.append(FaultProxy(listener.sockets[0].getsockname()[1], generator))

    def close(self) -> None:
        """Closes the proxies and listeners."""
        for resource in [*self.proxies, *self.listeners]:
            resource.close()


class SoakServerList:
    """Discovery's server list with its versions.

    Attributes:
        changes: the entry that changed with each version after the first.
        first_change_version: clients with an older version get the whole list.
        omitted: ids that a whole list leaves out to remove them.
    """

    def __init__(self) -> None:
        self.version, self.changes = 1, list[dict[str, Any]]()
        self.entries: dict[str, dict[str, Any]] = {}
        self.first_change_version, self.omitted = 1, set[str]()
        self.version_changed = asyncio.Event()

    def apply_change(self, entry: dict[str, Any]) -> None:
        """Applies a changed or new entry, which creates a version, and wakes waiting calls."""
        if entry["state"] == "removed":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
            self.omitted.discard(entry["id"])
        self.add_version(entry)

    def remove_all(self) -> None:
        """Removes all servers in one version, of which a client learns by a whole list without servers."""
        self.omitted |= set(self.entries)
        self.entries.clear()
        self.first_change_version = self.version + 1
        self.add_version({})

    def add_version(self, change: dict[str, Any]) -> None:
        """Adds a version with its change, and wakes waiting calls."""
        self.version += 1
        self.changes.append(change)
        version_changed, self.version_changed = self.version_changed, asyncio.Event()
        version_changed.set()

    async def respond(self, query: dict[str, str]) -> tuple[bytes, list[dict[str, Any]]]:
        """Returns the response body for a call and the changes that it tells, after the requested wait."""
        client_version = int(query.get("index", 0))
        if client_version == self.version:
            try:
                async with asyncio.timeout(int(query.get("wait", 0)) / 1000):
                    await self.version_changed.wait()
            except TimeoutError:
                pass
        if self.first_change_version <= client_version <= self.version:
            servers = self.changes[client_version - 1 :]
            return self.encode_list(False, servers), servers
        servers = list(self.entries.values())
        removed = [{"id": server_id, "state": "removed"} for server_id in self.omitted]
        return self.encode_list(True, servers), servers + removed

    def encode_list(self, full: bool, servers: list[dict[str, Any]]) -> bytes:
        """Returns a server list as JSON."""
        return json.dumps({"version": self.version, "full": full, "servers": servers}).encode()


@dataclass(slots=True)
class DiscoveryAgent:
    """Discovery's agent beside one gateway, at two addresses.

    It records the server states that it writes to the gateway as delivered.
    """

    gateway: int
    service: SoakServerList
    record: SoakRecord
    current_run: Callable[[], int]
    proxies: list[FaultProxy]
    listeners: list[asyncio.Server]

    async def start(self, generator: random.Random) -> None:
        """Starts to listen at two addresses, each behind a proxy."""
        loop = asyncio.get_running_loop()
        for _ in range(2):
            listener = await loop.create_server(lambda: DiscoveryAgentConnection(self), "127.0.0.1", 0)
            self.listeners.append(listener)
            self.proxies.append(FaultProxy(listener.sockets[0].getsockname()[1], generator))

    def record_delivery(self, servers: list[dict[str, Any]]) -> None:
        """Records server states as delivered: now, or MAX_DISCOVERY_DELAY later if a proxy may drop them."""
        is_reachable = all(proxy.fault in (ProxyFault.NONE, ProxyFault.FRAGMENTED) for proxy in self.proxies)
        written_at, run_number = time.monotonic(), self.current_run()
        delivered_at = written_at + (0.0 if is_reachable else MAX_DISCOVERY_DELAY)
        for entry in servers:
            self.record.state_deliveries.append(
                StateDelivery(self.gateway, run_number, entry["id"], entry["state"], written_at, delivered_at)
            )

    def close(self) -> None:
        """Closes the proxies and listeners."""
        for resource in [*self.proxies, *self.listeners]:
            resource.close()


class DiscoveryAgentConnection(DiscoveryProtocol):
    """One connection to an agent, whose responses are recorded as delivered."""

    def __init__(self, agent: DiscoveryAgent) -> None:
        super().__init__(agent.service)
        self.agent = agent

    async def send_response(self, target: str) -> None:
        """Responds to one call and records the delivery."""
        assert self.transport is not None
        body, servers = await self.agent.service.respond(dict(parse_qsl(urlsplit(target).query)))
        self.transport.write(http_response(body))
        self.agent.record_delivery(servers)


def record_server_start(record: SoakRecord, name: str, offset_ms: int = 0) -> int:
    """Records the start of a server and returns its start time as discovery sends it, in milliseconds."""
    record.server_starts.append(ServerStart(name, time.monotonic()))
    return int(time.time() * 1000) + offset_ms
