"""Stub servers, counter and discovery that a test controls, and a real gateway that uses them on loopback."""

import asyncio
import functools
import json
import socket

import hiredis
import uvloop
from aiohttp import web

from calicomast import interface as api
from calicomast.net.config import read_config
from calicomast.net.gateway import GatewayService
from emulator.virtual_loop import VirtualLoop

TEST_TIMEOUT = 20  # seconds for one test, far more than any needs
DEFAULT_FIELDS = b"c=read,t=p,d=3000,units=1,spread=1,first=0"
SERVER_REPLY = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"  # from a server to the gateway
CLIENT_REPLY = b"$5\r\nvalue\r\n"  # what the gateway then sends to its client

# The settings tree of the configuration file; spans of time are in nanoseconds.
SETTINGS = {
    "group_size": 1,
    "index": 0,
    "locality": "a",
    "registry_mode": "pushed",
    "limits": {
        "cancel": True,
        "second_copies": False,
        "probes": True,
        "max_attempts": 3,
        "retry_after": True,
        "max_retry_after": 2_000_000_000,
        "connect_timeout": 250_000_000,
        "idle_close": 30_000_000_000,
        "max_open": 20000,
    },
    "rules": {
        "answer_slack": 8_000_000,
        "drain_grace": 1_000_000_000,
        "start_capacity": 0.2,
        "cold": 1_000_000_000,
        "fall_multiple": 2.0,
        "tip_after": 1_000_000_000,
    },
    "services": [
        {"name": "read", "slo": 1_000_000_000, "deadline": 3_000_000_000, "effect": "pure", "gain": 1.0},
        {
            "name": "write",
            "slo": 1_000_000_000,
            "deadline": 3_000_000_000,
            "effect": "token",
            "gain": 1.0,
            "dedup_scope": "cell",
            "memory_span": 3_000_000_000,
        },
        {
            "name": "note",
            "slo": 1_000_000_000,
            "deadline": 3_000_000_000,
            "effect": "side_effect",
            "gain": 1.0,
        },
    ],
    "plans": [
        {"name": "p", "rate": 1000.0, "most_at_once": 10000.0},
        {"name": "small", "rate": 1.0, "most_at_once": 1.0},
    ],
    "prices": {"cross_zone": 0.005},
    "reporting": {"names": ["active"], "via": "answers"},
    "specifics": {
        "shared_counter": True,
        "counter_price": 0.01,
        "counter_timeout": 80_000_000,
        "units_top": 1,
    },
    "weights": "none",
}


def settings_with(**limits):
    """Returns the settings of the tests with some limits replaced."""
    return {**SETTINGS, "limits": {**SETTINGS["limits"], **limits}}


def settings_with_window(seconds, **limits):
    """Returns settings with a retry window of so many seconds for the class "write"."""
    read, write, note = SETTINGS["services"]
    services = [read, {**write, "memory_span": int(seconds * 1e9)}, note]
    return {**settings_with(**limits), "services": services}


def on_loop(test):
    """Runs an async test on uvloop, as the gateway does, for at most TEST_TIMEOUT."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        async def bounded():
            async with asyncio.timeout(TEST_TIMEOUT):
                await test(*args, **kwargs)

        uvloop.run(bounded())

    return run


def in_virtual_time(test):
    """Runs an async test that opens no sockets in virtual time: its timers fire without waiting."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        with asyncio.Runner(loop_factory=VirtualLoop) as runner:
            runner.run(test(*args, **kwargs))

    return run


def command(id=b"r1", fields=DEFAULT_FIELDS, verb=b"API.READ", tenant=b"00000000b4d65521", body=None):
    """Encodes a command of a client."""
    parts = [verb, tenant, id, fields] + ([body] if body is not None else [])
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def command_fields(**overrides):
    """Encodes the field list of a command with some fields replaced, or left out where the value is None."""
    fields = dict(c="read", t="p", d="3000", units="1", spread="1", first="0") | overrides
    return ",".join(f"{name}={value}" for name, value in fields.items() if value is not None).encode()


def write_command(id=b"r1", service_class=b"write", deadline_ms=3000):
    """Encodes an API.WRITE command of a service class."""
    fields = b"c=%s,t=p,d=%d,k=77,units=1,spread=1,first=0" % (service_class, deadline_ms)
    return command(id, fields, b"API.WRITE", body=b"BODY")


async def read_reply(reader):
    """Reads one reply as it is on the wire; b"" at the end of the connection."""
    line = await reader.readline()
    if line.startswith(b"$"):
        line += await reader.readexactly(int(line[1:]) + 2)
    return line


class StubListener:
    """A listener on a free port of 127.0.0.1; a subclass serves each connection in `serve`."""

    def __init__(self):
        self.writers = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def handle_connection(self, reader, writer):
        """Serves one connection and closes it at the end."""
        self.writers.append(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def __aexit__(self, *_):
        self.server.close()
        for writer in self.writers:
            writer.close()


class StubServer(StubListener):
    """A server that answers each command with `answer`, or with what that returns if it can be called.

    None: it does not answer. b"": it closes the connection. `arrived` gets each command, and None at the end
    of each connection.
    """

    def __init__(self, answer=SERVER_REPLY):
        super().__init__()
        self.answer, self.commands, self.arrived = answer, [], asyncio.Queue()
        self.open_connections = 0

    async def serve(self, reader, writer):
        """Reads the commands of one connection and answers them."""
        parser = hiredis.Reader(notEnoughData=...)
        self.open_connections += 1
        try:
            while data := await reader.read(65536):
                parser.feed(data)
                while (request := parser.gets()) is not ...:
                    self.commands.append(request)
                    self.arrived.put_nowait(request)
                    answer = self.answer() if callable(self.answer) else self.answer
                    if answer == b"":
                        return
                    if answer is not None:
                        writer.write(answer)
        finally:
            self.open_connections -= 1
            self.arrived.put_nowait(None)


class SaturatedServer(StubServer):
    """A server whose connections are not established before `accept_connections` is called.

    The queue of its listener is full, and the system sends the first packet again a second later.
    """

    async def __aenter__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.port = self.listener.getsockname()[1]
        self.fillers = [socket.socket() for _ in range(4)]
        for filler in self.fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
        return self

    async def accept_connections(self):
        """Closes the connections that fill the queue and starts to accept others."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.server = await asyncio.start_server(self.handle_connection, sock=self.listener)

    async def __aexit__(self, *_):
        if self.fillers:  # accept_connections was not called
            await self.accept_connections()
        await super().__aexit__()


def propagated_deadline_ms(server):
    """Returns the remaining time, in milliseconds, that the last command propagated to its server."""
    return int(dict(field.split(b"=") for field in server.commands[-1][3].split(b","))[b"d"])


class StubCounter(StubListener):
    """A counter service; while `silent` is set, calls are not answered before `answer_all` is called."""

    def __init__(self):
        super().__init__()
        self.calls, self.totals, self.silent, self.held_replies = [], {}, False, []
        self.arrived = asyncio.Queue()

    async def serve(self, reader, writer):
        """Answers the calls of one connection, or holds the replies back."""
        while line := await reader.readline():
            call = line.split()
            if call[0] == b"ping":
                writer.write(b"pong\r\n")
                continue
            self.calls.append(call)
            self.totals[call[1]] = self.totals.get(call[1], 0) + float(call[2])
            answer = b"ok %.7g\r\n" % self.totals[call[1]]
            self.arrived.put_nowait(call)
            if self.silent:
                self.held_replies.append((writer, answer))
            else:
                writer.write(answer)

    def answer_all(self):
        """Sends the replies that were held back."""
        for writer, answer in self.held_replies:
            writer.write(answer)
        self.held_replies = []


class StubDiscovery:
    """A discovery service that serves `servers` as its server list.

    raw_response: the text of the next response, in place of the list.
    changes: each item, a list of changed entries, ends a watch.
    silent: whether calls are never answered.
    busy_responses: how many of the next calls are answered with status 503.
    delay: seconds for which each response is held back.
    """

    def __init__(self):
        self.servers, self.version, self.raw_response, self.silent = [], 1, None, False
        self.calls, self.changes, self.busy_responses = asyncio.Queue(), asyncio.Queue(), 0
        self.delay = 0.0

    async def answer(self, request):
        """Handles one GET of the server list."""
        self.calls.put_nowait(dict(request.query))
        if self.busy_responses:
            self.busy_responses -= 1
            return web.Response(status=503)
        await asyncio.sleep(self.delay)
        if self.silent:
            await asyncio.Event().wait()
        if self.raw_response is not None:
            response, self.raw_response = self.raw_response, None
            return web.Response(text=response)
        if "index" in request.query:
            try:
                async with asyncio.timeout(int(request.query["wait"]) / 1000):
                    changed = await self.changes.get()
            except TimeoutError:
                changed = []
            self.version += bool(changed)
            return web.json_response({"version": self.version, "full": False, "servers": changed})
        return web.json_response({"version": self.version, "full": True, "servers": self.servers})

    async def __aenter__(self):
        app = web.Application()
        app.router.add_get("/v1/endpoints", self.answer)
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        self.port = self.runner.addresses[0][1]
        return self

    async def __aexit__(self, *_):
        await self.runner.cleanup()


def server_entry(server, name="h1", state="up", port=None):
    """Returns the entry of a stub server in a server list."""
    return {
        "id": name,
        "addr": f"127.0.0.1:{port or server.port}",
        "zone": "a",
        "kind": "k",
        "cell": 0,
        "state": state,
        "weight": 1.0,
        "started_ms": 0,
    }


def gateway_config(servers, discovery_port, counter_port, settings=None):
    """Returns the content of a configuration file of a gateway whose list already holds these servers."""
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "counter": f"127.0.0.1:{counter_port}",
        "known": {"version": 1, "full": True, "servers": servers},
        "settings": settings or SETTINGS,
    }


class TwoServerPolicy:
    """A policy that sends each request to h1 and h2 at once, and fails it when both attempts have ended."""

    def __init__(self):
        self.results = {}

    def handle(self, now, event):
        if isinstance(event, api.Request):
            return [api.Send(event.id, "h1"), api.Send(event.id, "h2")]
        if isinstance(event, api.Outcome) and not event.final:
            self.results[event.server] = event.result
            return [api.Fail(event.id)] * (len(self.results) == 2)
        return []


class GatewayHarness:
    """A gateway with a stub counter, a stub discovery and the given stub servers, named h1, h2 and so on."""

    def __init__(self, *servers, path, settings=None):
        self.servers, self.path, self.settings = servers, path, settings
        self.counter, self.discovery, self.writers = StubCounter(), StubDiscovery(), []

    async def __aenter__(self):
        await self.counter.__aenter__()
        await self.discovery.__aenter__()
        entries = [server_entry(server, f"h{n}") for n, server in enumerate(self.servers, 1)]
        self.discovery.servers = entries
        file = self.path / "config.json"
        file.write_text(
            json.dumps(gateway_config(entries, self.discovery.port, self.counter.port, self.settings))
        )
        self.service = GatewayService(read_config({"RELAY_CONFIG": str(file)}))
        await self.service.start()
        self.port = await self.service.listen()
        return self

    async def connect(self):
        """Opens a client connection to the gateway, which is closed at the end."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writers.append(writer)
        return reader, writer

    async def send_command(self, encoded):
        """Sends one encoded command on a connection of its own and returns the reply."""
        reader, writer = await self.connect()
        writer.write(encoded)
        reply = await read_reply(reader)
        writer.close()
        return reply

    async def __aexit__(self, *_):
        for writer in self.writers:
            writer.close()
        self.service.clients.drain()
        self.service.server_connections.close()
        self.service.counter.close()
        self.service.discovery.close()
        await self.discovery.__aexit__()
        await self.counter.__aexit__()
