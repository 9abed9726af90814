"""Simulated clients, well-behaved and not, and the front end that distributes them over the gateways."""

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

from emulator.soak.configuration import PLAN, SERVICE_CLASSES, SPREAD, ServiceClassConfig
from emulator.soak.record import BadClient, RequestOutcome, RequestRecord, SoakRecord
from emulator.soak.standins import expected_value

LATE_RESPONSE_GRACE = 0.5  # seconds after the deadline within which a response is accepted
BAD_CLIENT_TIMEOUT = 3.0  # seconds within which a gateway must send a bad client an error or a close
OBSERVATION_MARGIN = 1.5  # seconds for which clients wait beyond these limits
CONNECT_TIMEOUT = 1.0  # seconds
SHORT_BODY_BYTES = 20
LONG_BODY_BYTES = 40_000
LONG_BODY_SHARE = 0.04  # share of the bodies that are long
FLOOD_COMMANDS = 900  # more than a gateway keeps pending for one connection
FLOOD_BODY_BYTES = 4096  # together more than a receive buffer holds
FLOOD_STALL = 0.01  # seconds without progress after which a client stops sending
MAX_PIPELINED_COMMANDS = 200  # commands that one client sends on a connection
TENANTS = 40
LINGER_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close resets the connection


class ClientConnection:
    """One connection to a gateway. Commands may be pipelined; responses arrive in the same order."""

    def __init__(self, number: int, gateway: int, run_number: int) -> None:
        self.number, self.gateway, self.run_number = number, gateway, run_number
        self.parser = hiredis.Reader()
        self.pending: list[RequestRecord] = []
        self.last_answered: RequestRecord | None = None
        self.reader: asyncio.StreamReader
        self.writer: asyncio.StreamWriter
        self.closed = asyncio.Event()

    async def open(self, port: int) -> None:
        """Connects and starts to read responses; raises OSError."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.read_task = asyncio.get_running_loop().create_task(self.read_responses())

    async def read_responses(self) -> None:
        """Reads responses until the connection ends, and records pending requests as closed."""
        with contextlib.suppress(OSError):
            while data := await self.reader.read(65536):
                self.parser.feed(data)
                while (response := self.parser.gets()) is not False:
                    self.handle_response(response)
        now = time.monotonic()
        for request in self.pending:
            if request.client_closed_at is None:
                request.outcome, request.ended_at = RequestOutcome.CONNECTION_CLOSED, now
        self.pending = []
        self.closed.set()
        self.writer.close()

    def handle_response(self, response: object) -> None:
        """Assigns a response to the oldest pending request, or counts a surplus one for the last request."""
        now = time.monotonic()
        if not self.pending:
            if self.last_answered is not None:
                self.last_answered.response_count += 1
            return
        request = self.last_answered = self.pending.pop(0)
        request.response_count += 1
        request.ended_at = now
        if isinstance(response, bytes):
            request.outcome, request.response = RequestOutcome.SERVED, response
        elif isinstance(response, hiredis.ReplyError) and str(response).startswith("BUSY"):
            request.outcome = RequestOutcome.REFUSED
        else:
            request.outcome = RequestOutcome.FAILED

    @property
    def is_usable(self) -> bool:
        """Whether commands can still be sent."""
        return not self.closed.is_set() and not self.writer.is_closing()

    def disconnect(self, method: str) -> None:
        """Ends the connection.

        `method` is "close", "reset", "abort" to close without sending what is buffered, or "half" to close
        only the sending side.
        """
        now = time.monotonic()
        for request in self.pending:
            request.client_closed_at, request.outcome, request.ended_at = now, RequestOutcome.CLIENT_LEFT, now
        if method == "half":
            self.writer.write_eof()
            return
        if method == "reset":
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.writer.transport.abort() if method in ("reset", "abort") else self.writer.close()


class FrontEnd:
    """A front end that routes clients to gateways and learns about their readiness with a delay."""

    def __init__(self, ports: list[int], current_run: Callable[[int], int]) -> None:
        self.ports, self.current_run = ports, current_run
        self.ready = [False] * len(ports)

    def pick_gateway(self, first_gateway: int, generator: random.Random) -> int | None:
        """Returns a random ready gateway of a tenant's gateways, or None if none is ready."""
        tenant_gateways = [
            (first_gateway + offset) % len(self.ports) for offset in range(min(SPREAD, len(self.ports)))
        ]
        ready_gateways = [index for index in tenant_gateways if self.ready[index]]
        return generator.choice(ready_gateways) if ready_gateways else None


class ClientSimulator:
    """Simulates all clients of a soak."""

    def __init__(self, front_end: FrontEnd, record: SoakRecord, generator: random.Random) -> None:
        self.front_end, self.record, self.generator = front_end, record, generator
        self.connection_numbers, self.request_ids = itertools.count(1), itertools.count(1)
        self.idle_connections: dict[int, list[ClientConnection]] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.read_tasks: set[asyncio.Task[None]] = set()  # of all open connections
        # Shares of the requests.
        self.leave_share, self.slow_share, self.idle_share = 0.02, 0.02, 0.01
        self.stopped = False

    async def generate_load(self, rate: float) -> None:
        """Sends requests at random times with a mean rate per second, until `stopped` is set."""
        while not self.stopped:
            await asyncio.sleep(self.generator.expovariate(rate))
            self.spawn(self.run_request())

    def spawn(self, client: object) -> None:
        """Starts the coroutine of one client as a task."""
        task = asyncio.get_running_loop().create_task(client)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def encode_command(
        self, request_id: str, service_class: ServiceClassConfig, tenant: int, body_bytes: int = 0
    ) -> bytes:
        """Returns a request as it is sent to a gateway, with a body of random size if `body_bytes` is 0."""
        first_gateway = tenant % len(self.front_end.ports)
        spread = min(SPREAD, len(self.front_end.ports))
        key = "" if service_class.effect.value != "keyed" else f",k=key-{request_id}"
        options = (
            f"c={service_class.name},t={PLAN.name},d={int(service_class.deadline * 1000)}{key},"
            f"units=1,spread={spread},first={first_gateway}"
        )
        is_read = service_class.effect.value == "safe"
        parts = ["API.READ" if is_read else "API.WRITE", f"{tenant:016x}", request_id, options]
        if not is_read:
            is_long = self.generator.random() < LONG_BODY_SHARE
            parts.append("B" * (body_bytes or (LONG_BODY_BYTES if is_long else SHORT_BODY_BYTES)))
        return (f"*{len(parts)}\r\n" + "".join(f"${len(part)}\r\n{part}\r\n" for part in parts)).encode()

    async def acquire_connection(self, gateway: int) -> ClientConnection | None:
        """Returns an idle connection to a gateway or opens one; returns None if that fails."""
        idle = self.idle_connections.setdefault(gateway, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable and connection.run_number == self.front_end.current_run(gateway):
                return connection
        return await self.open_connection(gateway)

    async def open_connection(self, gateway: int) -> ClientConnection | None:
        """Opens a connection to a gateway; returns None if that fails."""
        connection = ClientConnection(
            next(self.connection_numbers), gateway, self.front_end.current_run(gateway)
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await connection.open(self.front_end.ports[gateway])
        except (OSError, TimeoutError):
            return None
        self.read_tasks.add(connection.read_task)
        connection.read_task.add_done_callback(self.read_tasks.discard)
        return connection

    async def run_request(self) -> None:
        """Sends one request of a regular client, which may disconnect early or write slowly."""
        generator = self.generator
        tenant = int(TENANTS * generator.random() ** 1.5)
        service_class = generator.choices(SERVICE_CLASSES, [each.traffic_share for each in SERVICE_CLASSES])[
            0
        ]
        gateway = self.front_end.pick_gateway(tenant % len(self.front_end.ports), generator)
        if gateway is None or (connection := await self.acquire_connection(gateway)) is None:
            return
        draw = generator.random()
        if draw < self.leave_share:
            request = await self.send_request(connection, service_class, tenant)
            await asyncio.sleep(generator.random() * 0.2)
            if request.outcome is RequestOutcome.NO_RESPONSE and connection.is_usable:
                connection.disconnect(generator.choice(("close", "reset", "half")))
            return
        slow = self.leave_share <= draw < self.leave_share + self.slow_share
        request = await self.send_request(connection, service_class, tenant, slow)
        await self.wait_for_response(connection, request)
        if request.outcome is RequestOutcome.CONNECTION_CLOSED and self.crossed_close(request):
            await self.resend(request, service_class, tenant)
        elif connection.is_usable:
            self.idle_connections[gateway].append(connection)

    async def send_request(
        self,
        connection: ClientConnection,
        service_class: ServiceClassConfig,
        tenant: int,
        slow: bool = False,
        request_id: str = "",
        body_bytes: int = 0,
    ) -> RequestRecord:
        """Sends a command, slowly in two parts if `slow`; its timeout starts with the last byte."""
        request_id = request_id or f"q{next(self.request_ids)}"
        text = self.encode_command(request_id, service_class, tenant, body_bytes)
        if slow:
            half = self.generator.randrange(1, len(text))
            connection.writer.write(text[:half])
            await asyncio.sleep(0.05 + 0.3 * self.generator.random())
            text = text[half:]
        request = RequestRecord(
            request_id,
            connection.gateway,
            connection.run_number,
            connection.number,
            service_class.effect,
            f"{tenant:016x}",
            service_class.deadline,
            time.monotonic(),
        )
        self.record.requests.append(request)
        connection.pending.append(request)
        if connection.closed.is_set():
            request.outcome, request.ended_at = RequestOutcome.CONNECTION_CLOSED, request.sent_at
        else:
            connection.writer.write(text)
        return request

    async def wait_for_response(self, connection: ClientConnection, request: RequestRecord) -> None:
        """Waits for the response until the client gives up, and then closes the connection."""
        until = request.sent_at + request.timeout + LATE_RESPONSE_GRACE + OBSERVATION_MARGIN
        while request.outcome is RequestOutcome.NO_RESPONSE and time.monotonic() < until:
            await asyncio.sleep(0.02)
        if request.outcome is RequestOutcome.NO_RESPONSE and connection.is_usable:
            connection.writer.close()

    def crossed_close(self, request: RequestRecord) -> bool:
        """Returns whether the gateway closed the connection at the same time and did not read the request."""
        return request.ended_at - request.sent_at < 0.05

    async def resend(self, request: RequestRecord, service_class: ServiceClassConfig, tenant: int) -> None:
        """Sends a request again on a new connection, after a simultaneous close of the first one."""
        gateway = self.front_end.pick_gateway(tenant % len(self.front_end.ports), self.generator)
        if gateway is None or (connection := await self.open_connection(gateway)) is None:
            return
        resent = await self.send_request(connection, service_class, tenant, request_id=request.id)
        await self.wait_for_response(connection, resent)
        if connection.is_usable:
            connection.writer.close()

    async def run_burst(self, count: int, disconnect: bool) -> None:
        """Pipelines many commands on one connection; the client may disconnect right after them."""
        gateway = self.front_end.pick_gateway(
            self.generator.randrange(len(self.front_end.ports)), self.generator
        )
        if gateway is None or (connection := await self.acquire_connection(gateway)) is None:
            return
        requests = [
            await self.send_request(
                connection, self.generator.choice(SERVICE_CLASSES), self.generator.randrange(TENANTS)
            )
            for _ in range(count)
        ]
        if disconnect and connection.is_usable:
            await asyncio.sleep(self.generator.random() * 0.02)
            connection.disconnect("close")
            return
        for request in requests:
            await self.wait_for_response(connection, request)
        if connection.is_usable:
            connection.writer.close()

    async def flood_and_leave(self) -> None:
        """Pipelines more commands than a gateway keeps pending, as many as the system takes, and leaves."""
        gateway = self.front_end.pick_gateway(
            self.generator.randrange(len(self.front_end.ports)), self.generator
        )
        if gateway is None or (connection := await self.open_connection(gateway)) is None:
            return
        unsafe_class = SERVICE_CLASSES[-1]
        for _ in range(FLOOD_COMMANDS):
            tenant = self.generator.randrange(TENANTS)
            await self.send_request(connection, unsafe_class, tenant, body_bytes=FLOOD_BODY_BYTES)
        transport, unsent = connection.writer.transport, -1
        while connection.is_usable and transport.get_write_buffer_size() not in (0, unsent):
            unsent = transport.get_write_buffer_size()
            await asyncio.sleep(FLOOD_STALL)
        if connection.is_usable:
            connection.disconnect("abort")

    async def send_until_closed(self, gateway: int, interval: float) -> None:
        """Sends on one connection to a gateway until it closes, also while the gateway restarts."""
        connection = await self.open_connection(gateway)
        sent: list[tuple[RequestRecord, ServiceClassConfig, int]] = []
        while connection is not None and connection.is_usable and len(sent) < MAX_PIPELINED_COMMANDS:
            service_class, tenant = self.generator.choice(SERVICE_CLASSES), self.generator.randrange(TENANTS)
            sent.append((await self.send_request(connection, service_class, tenant), service_class, tenant))
            await asyncio.sleep(interval)
        for request, service_class, tenant in sent:
            await self.wait_for_response(connection, request)
            if request.outcome is RequestOutcome.CONNECTION_CLOSED and self.crossed_close(request):
                await self.resend(request, service_class, tenant)

    async def send_at_idle_timeout(self) -> None:
        """Keeps a connection idle until the gateway is about to close it, and sends a request then."""
        gateway = self.front_end.pick_gateway(
            self.generator.randrange(len(self.front_end.ports)), self.generator
        )
        if gateway is None or (connection := await self.acquire_connection(gateway)) is None:
            return
        service_class, tenant = SERVICE_CLASSES[0], self.generator.randrange(TENANTS)
        await asyncio.sleep(2.1 + 0.5 * self.generator.random())
        if not connection.is_usable:
            return
        request = await self.send_request(connection, service_class, tenant)
        await self.wait_for_response(connection, request)
        if request.outcome is RequestOutcome.CONNECTION_CLOSED and self.crossed_close(request):
            await self.resend(request, service_class, tenant)

    async def run_bad_client(self) -> None:
        """Runs one client that violates the protocol and records when it gets an error or a close.

        The gateway must send one within 3 s.
        """
        generator = self.generator
        gateway = self.front_end.pick_gateway(generator.randrange(len(self.front_end.ports)), generator)
        if gateway is None:
            return
        valid_command = self.encode_command(f"b{next(self.request_ids)}", SERVICE_CLASSES[0], 0)
        commands_by_kind = {
            "garbage": b"\x88\xa8\x01garbage\r\n",
            "long line": b"*" + b"1" * 5000,
            "half a command": valid_command[: generator.randrange(1, len(valid_command) - 1)],
            "half command behind a pending one": valid_command + valid_command[: len(valid_command) // 2],
            "silent": b"",
            "unknown class": valid_command.replace(b"c=fetch", b"c=xxxxx"),
            "negative length": b"*4\r\n$-7\r\n",
            "huge length": b"*4\r\n$8\r\nAPI.READ\r\n$999999999\r\n",
        }
        kind = generator.choice(sorted(commands_by_kind))
        run_number = self.front_end.current_run(gateway)
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.front_end.ports[gateway])
        except OSError:
            return
        bad_client = BadClient(kind, gateway, run_number, time.monotonic())
        self.record.bad_clients.append(bad_client)
        writer.write(commands_by_kind[kind])
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(BAD_CLIENT_TIMEOUT + OBSERVATION_MARGIN):
                while (line := await reader.readline()) and not line.startswith(b"-ERR"):
                    if line.startswith(b"$"):
                        await reader.readline()
        if time.monotonic() - bad_client.started_at < BAD_CLIENT_TIMEOUT + OBSERVATION_MARGIN:
            bad_client.ended_at = time.monotonic()
        writer.close()

    async def stop(self) -> None:
        """Stops the load and waits for the pending requests."""
        self.stopped = True
        while self.tasks:
            await asyncio.wait(list(self.tasks))

    def close(self) -> None:
        """Cancels all remaining tasks of clients and connections."""
        for task in [*self.tasks, *self.read_tasks]:
            task.cancel()


def has_expected_value(request: RequestRecord) -> bool:
    """Returns whether the response is the value that servers produce for the request."""
    return request.response == expected_value(request.id)
