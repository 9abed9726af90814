"""Client connections: invalid input, order of responses, timeouts, limits, disconnects and shutdown."""

import asyncio
import contextlib
import socket
import time

import pytest
from netkit import (
    CLIENT_REPLY,
    SERVER_REPLY,
    GatewayHarness,
    StubServer,
    command,
    command_fields,
    on_loop,
    propagated_deadline_ms,
    read_reply,
)

from calicomast.net import client_connection, clients, gateway
from calicomast.net.events import EventKind
from calicomast.net.fair_queue import FairQueue
from calicomast.net.requests import MAX_FIELDS
from calicomast.rules import Verdict

SILENT_CLIENTS = 200
BUSY_TURN = 0.01  # seconds that a turn of the event loop takes while many clients are busy
LATE_ANSWER = 0.55  # seconds after its deadline in which an answer of a request only earns nothing


@pytest.mark.parametrize(
    "bad",
    [
        b"*1\r\n$7\r\nUNKNOWN\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b":5\r\n",
        b"*2\r\n$8\r\nAPI.READ\r\n:0\r\n",
        command(fields=command_fields(d=None)),
        command(fields=command_fields(d="soon")),
        command(fields=command_fields(d="-1")),
        command(fields=command_fields(c="none")),
        command(fields=command_fields(t="none")),
        command(fields=command_fields(units="nan")),
        command(fields=command_fields(spread="0")),
        command(fields=command_fields(c="note")),
        command(fields=b"\xff\xfe"),
        command(fields=command_fields(c=None)),
        command(tenant=b"xyz"),
        command(id=b""),
        command(body=b"BODY"),
        command(fields=command_fields(d="1_0")),
        command(fields=command_fields(d="+10")),
        command(fields=command_fields(d=" 10")),
        command(fields=command_fields(units="0")),
        command(fields=command_fields(units="2")),
        command(fields=command_fields(units="1_0")),
        command(fields=command_fields(spread="2")),
        command(fields=command_fields(first="1")),
        command(fields=command_fields(first="-1")),
        command(tenant=b"0x000000b4d65521"),
        command(tenant=b"ffffffffb4d65521"),
        command(id=b"x" * 65),
        command(fields=command_fields() + b",d=2000"),
        command(fields=command_fields() + b"".join(b",x%d=1" % n for n in range(MAX_FIELDS - 5))),
        command(fields=b"," * 64_000),
        command(fields=command_fields(d="9" * 400)),
        command(fields=command_fields(d="9" * 12)),
        command(fields=command_fields(units="1e999")),
        # A keyed class without a key.
        command(fields=command_fields(c="write"), verb=b"API.WRITE", body=b"x"),
        command(fields=command_fields(c="note"), verb=b"API.WRITE", body=b"x" * 65537),
    ],
)
@on_loop
async def test_invalid_command_gets_error_and_connection_stays_usable(bad, tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(bad + b"*1\r\n$4\r\nPING\r\n")
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b"+PONG\r\n"
        assert not server.commands


@pytest.mark.parametrize(
    "bad",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*1\r\n$70000\r\n" + b"x" * 69900,
        b"*x\r\n",
        b"*99999999999\r\n",
        b"*4294967295\r\n",
        b"*1000000000\r\n",
        b"*5\r\n*5\r\n",
        b"*1\r\n$60000000\r\n",
        b"*1\r\n$-7\r\n",
        b"*1\r\n$4\r\nPINGxx",
        b"*1\r\n$+4\r\nPING\r\n",
        b"*1\r\n$1_0\r\n",
        b"%1\r\n",
        b"*" + b"1" * 2000,
    ],
)
@on_loop
async def test_malformed_framing_closes_only_its_own_connection(bad, tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(bad)
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b""
        assert await harness.send_command(command()) == CLIENT_REPLY


@on_loop
async def test_body_of_wrong_length_that_arrives_in_pieces_is_not_forwarded(tmp_path):
    # Guards against forwarding a body with bytes of its framing, where its length does not fit.
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        good = command(fields=command_fields(c="note"), verb=b"API.WRITE", body=b"BODY")
        bad = good.replace(b"$4\r\nBODY", b"$5\r\nBODY")
        reader, writer = await harness.connect()
        writer.write(bad[:-4])
        while not any(client.partial_bytes for client in harness.service.clients.connections):
            await asyncio.sleep(0)
        writer.write(bad[-4:] + b"\n*1\r\n$4\r\nPING\r\n")
        assert await read_reply(reader) == b"-ERR protocol error\r\n"
        assert await read_reply(reader) == b""
        assert not server.commands


@on_loop
async def test_responses_are_sent_in_order_of_commands(tmp_path):
    async with StubServer(answer=None) as server, GatewayHarness(server, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(command(b"slow"))
        await server.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        server.writers[0].write(SERVER_REPLY)
        assert await read_reply(reader) == CLIENT_REPLY
        assert await read_reply(reader) == b"+PONG\r\n"


@on_loop
async def test_disconnect_cancels_the_attempt(tmp_path):
    async with StubServer(answer=None) as server, GatewayHarness(server, path=tmp_path) as harness:
        _, writer = await harness.connect()
        writer.write(command())
        await server.arrived.get()
        writer.close()
        assert await server.arrived.get() is None  # the connection to the server was closed
        assert not harness.service.active_requests


@on_loop
async def test_commands_received_while_draining_are_served(tmp_path):
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(command(b"first"))
        await server.arrived.get()
        harness.service.clients.drain()
        writer.write(command(b"second"))
        while (await server.arrived.get())[2] != b"second":
            pass
        for out in server.writers:
            out.write(SERVER_REPLY)
        assert [await read_reply(reader) for _ in range(3)] == [CLIENT_REPLY, CLIENT_REPLY, b""]


@pytest.mark.parametrize(
    "sent, expected", [(b"", b""), (b"*4\r\n$8\r\nAPI.R", b"-ERR"), (b"*1\r\n$4\r\nPING\r\n", b"+PONG")]
)
@on_loop
async def test_connection_without_request_is_closed_after_idle_timeout(sent, expected, tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "IDLE_TIMEOUT", 0.1)
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(sent)
        assert (await read_reply(reader)).startswith(expected)
        assert await reader.read() == b""
        while harness.service.clients.connections:
            await asyncio.sleep(0.01)
        assert not (
            harness.service.clients.idle
            or harness.service.clients.awaiting_close
            or harness.service.clients.partial_bytes
        )


@on_loop
async def test_connection_with_pending_request_is_not_closed_as_idle(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "IDLE_TIMEOUT", 0.1)
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        idle, _ = await harness.connect()
        writer.write(command())
        await server.arrived.get()
        assert await idle.read() == b""  # closed after its idle timeout
        server.writers[0].write(SERVER_REPLY)
        assert await read_reply(reader) == CLIENT_REPLY


@on_loop
async def test_malformed_framing_fails_pending_requests_at_once(tmp_path):
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(command())
        await server.arrived.get()
        writer.write(b"nonsense" + b"x" * 100_000)
        assert await read_reply(reader) == b"-ERR failed\r\n"  # though the server sends no response
        assert (await read_reply(reader)).startswith(b"-ERR protocol")
        assert await reader.read() == b""  # EOF, not a reset, though input was unread
        assert await server.arrived.get() is None and not harness.service.active_requests


@on_loop
async def test_client_that_reads_no_responses_is_dropped(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "WRITE_STALL_TIMEOUT", 0.1)
    async with StubServer(b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60000)) as server:
        async with GatewayHarness(server, path=tmp_path) as harness:
            _, writer = await harness.connect()
            writer.transport.pause_reading()
            with contextlib.suppress(ConnectionError):
                for n in range(400):
                    writer.write(command(b"r%d" % n))
                    await writer.drain()
            while harness.service.clients.connections:
                await asyncio.sleep(0.01)
            assert not (harness.service.active_requests or harness.service.held_command_bytes)


@on_loop
async def test_connection_limit_evicts_longest_idle_or_rejects_new_connection(tmp_path):
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        harness.service.clients.max_connections = 2
        harness.service.policy.balancer.server_attempt_limit = 100.0
        first, _ = await harness.connect()
        busy = []
        for n in range(2):
            reader, writer = await harness.connect()
            writer.write(command(b"r%d" % n))
            await server.arrived.get()
            busy.append(reader)
        assert await first.read() == b""
        last, _ = await harness.connect()
        assert (await read_reply(last)).startswith(b"-ERR too many") and await last.read() == b""
        for writer in server.writers:
            writer.write(SERVER_REPLY)
        assert [await read_reply(reader) for reader in busy] == [CLIENT_REPLY, CLIENT_REPLY]


class SilentPolicy:
    """Decides nothing."""

    def handle(self, now, event):
        return []


LONG_RESPONSE = b"$60000\r\n" + b"v" * 60000 + b"\r\n"


SMALL_BUFFER = 4096  # bytes; the event loop holds most responses
LARGE_BUFFER = 1024 * 1024  # bytes; three of LONG_RESPONSE fit in the system's send queue


async def connect_with_unread_responses(harness, count=10, send_buffer=SMALL_BUFFER):
    """Connects a client that sends `count` requests and reads no response.

    Returns the client's socket and the gateway's connection of it, whose send buffer is set to `send_buffer`.
    """
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", harness.port))
    client.setblocking(False)
    before = set(harness.service.clients.connections)
    while not (added := harness.service.clients.connections - before):
        await asyncio.sleep(0)
    (connection,) = added
    gateway_socket = connection.transport.get_extra_info("socket")
    gateway_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)

    policy, harness.service.policy = harness.service.policy, SilentPolicy()
    client.send(b"".join(command(b"u%d" % n) for n in range(count)))
    while len(connection.pending) < count:
        await asyncio.sleep(0)
    harness.service.policy = policy
    for request in list(harness.service.active_requests.values()):
        harness.service.finish_request(request, LONG_RESPONSE)
    await asyncio.sleep(0)
    assert (connection.transport.get_write_buffer_size() > 0) == (send_buffer == SMALL_BUFFER)
    assert connection.unsent_bytes() > SMALL_BUFFER
    return client, connection


@on_loop
async def test_connection_with_unread_responses_is_not_evicted(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        client, connection = await connect_with_unread_responses(harness)
        connection.close_when_done(client_connection.CloseReason.IDLE)
        assert connection in harness.service.clients.awaiting_close
        harness.service.clients.max_connections = 1
        reader, _ = await harness.connect()
        assert (await read_reply(reader)).startswith(b"-ERR too many")
        assert await read_to_end(client) == LONG_RESPONSE * 10


@pytest.mark.parametrize(
    "reason", [client_connection.CloseReason.SHUTTING_DOWN, client_connection.CloseReason.IDLE]
)
@on_loop
async def test_responses_are_received_though_client_sends_after_the_close(reason, tmp_path):
    # Guards against a reset that discards written responses, as further commands come after the close.
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        client, connection = await connect_with_unread_responses(harness, 3, LARGE_BUFFER)
        connection.close_when_done(reason)
        for _ in range(10):
            await asyncio.sleep(0)  # the event loop carries out the close
        client.send(command(b"late"))
        assert await receive(client, 3 * len(LONG_RESPONSE)) == LONG_RESPONSE * 3
        assert connection.has_unread_bytes()  # so the client may send the command again elsewhere
        assert await read_to_end(client) == b""
        while harness.service.clients.connections:
            await asyncio.sleep(0)
        assert not (server.commands or harness.service.clients.awaiting_close)


@on_loop
async def test_responses_are_received_though_client_has_ended_its_sending(tmp_path):
    # Guards against a reset that discards written responses, as the gateway sees the client's end of input.
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        client, connection = await connect_with_unread_responses(harness, 3, LARGE_BUFFER)
        connection.close_when_done(client_connection.CloseReason.SHUTTING_DOWN)
        await asyncio.sleep(0)
        client.send(command(b"late"))
        client.shutdown(socket.SHUT_WR)
        connection.check_disconnect()
        await asyncio.sleep(0)
        assert await read_to_end(client) == LONG_RESPONSE * 3


@on_loop
async def test_responses_are_received_though_client_floods_after_lost_framing(tmp_path):
    # Guards against a reset that discards written responses, as the gateway gives up reading what follows.
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        client, connection = await connect_with_unread_responses(harness, 3, LARGE_BUFFER)
        flood = b"nonsense\r\n" + bytes(4 * client_connection.MAX_DISCARDED_BYTES)
        sending = asyncio.create_task(asyncio.get_running_loop().sock_sendall(client, flood))
        while connection.discarded_bytes <= client_connection.MAX_DISCARDED_BYTES:
            await asyncio.sleep(0)
        assert await receive(client, 3 * len(LONG_RESPONSE)) == LONG_RESPONSE * 3
        sending.cancel()
        client.close()


@on_loop
async def test_idle_connection_with_responses_in_the_send_queue_is_not_evicted(tmp_path):
    # Guards against a close of connections whose client has not received its responses, to make room.
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        client, connection = await connect_with_unread_responses(harness, 3, LARGE_BUFFER)
        assert connection in harness.service.clients.idle
        assert not harness.service.clients.evict_connection()
        await receive(client, 3 * len(LONG_RESPONSE))
        while connection.unsent_bytes():
            await asyncio.sleep(0)
        assert harness.service.clients.evict_connection()
        client.close()


@on_loop
async def test_each_eviction_drops_a_different_connection(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        client_connections = harness.service.clients
        for _ in range(4):
            await harness.connect()
        while len(client_connections.connections) < 4:
            await asyncio.sleep(0)
        for client in list(client_connections.connections)[:2]:
            client.fail(
                b"-ERR\r\n", client_connection.CloseReason.LOST_FRAMING
            )  # closes once its client does
        assert [client_connections.evict_connection() for _ in range(5)] == [True] * 4 + [False]
        assert client_connections.dropped == client_connections.connections
        while client_connections.connections:
            await asyncio.sleep(0)
        assert not (
            client_connections.dropped or client_connections.awaiting_close or client_connections.idle
        )


@on_loop
async def test_rejected_connection_gets_error_though_it_has_sent_commands(tmp_path):
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        harness.service.clients.max_connections = 1
        busy, writer = await harness.connect()
        writer.write(command(b"first"))
        await server.arrived.get()
        rejected = [
            connect_and_send(harness, command(b"r%d" % n) * 3)
            for n in range(clients.MAX_REJECTED_CONNECTIONS)
        ]
        for client in rejected:
            client.shutdown(socket.SHUT_WR)
            assert (await read_to_end(client)).startswith(b"-ERR too many")  # EOF, not a reset
        while len(harness.service.clients.connections) > 1:
            await asyncio.sleep(0)
        for _ in range(2 * clients.MAX_REJECTED_CONNECTIONS):
            await harness.connect()
        await asyncio.sleep(0)
        # A few may still be in the course of being accepted or closed.
        assert len(harness.service.clients.connections) <= clients.MAX_REJECTED_CONNECTIONS + 3
        server.writers[0].write(SERVER_REPLY)
        assert await read_reply(busy) == CLIENT_REPLY and len(server.commands) == 1


@pytest.mark.parametrize(
    "closing, count, send_buffer",
    [(False, 10, SMALL_BUFFER), (True, 10, SMALL_BUFFER), (True, 3, LARGE_BUFFER)],
)
@on_loop
async def test_closing_and_stalled_connections_are_kept_until_responses_expire(
    closing, count, send_buffer, tmp_path, monkeypatch
):
    for name in ("CLOSE_TIMEOUT", "WRITE_STALL_TIMEOUT"):
        monkeypatch.setattr(clients, name, 0.0)
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        client, connection = await connect_with_unread_responses(harness, count, send_buffer)
        if closing:
            connection.close_when_done(client_connection.CloseReason.IDLE)
        now = clients.monotonic() + 1.0
        monkeypatch.setattr(clients, "monotonic", lambda: now)
        harness.service.clients.sweep()
        assert connection not in harness.service.clients.dropped
        now += 2.0 + gateway.LATE_ANSWER_GRACE  # past all deadlines
        harness.service.clients.sweep()
        assert connection in harness.service.clients.dropped
        unsent = (EventKind.CLOSED_WITH_UNSENT_RESPONSES, client_connection.CloseReason.IDLE.value)
        assert harness.service.event_log.counts[unsent] == 1
        client.close()


@on_loop
async def test_total_size_of_partial_commands_is_limited(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        harness.service.clients.max_partial_bytes = 100_000
        readers = []
        for _ in range(3):
            reader, writer = await harness.connect()
            writer.write(b"*5\r\n$60000\r\n" + b"x" * 40_000)
            readers.append(asyncio.create_task(read_reply(reader)))
        done, _ = await asyncio.wait(readers, return_when=asyncio.FIRST_COMPLETED)
        assert [task.result() for task in done] == [b"-ERR too much in work\r\n"]
        assert await harness.send_command(command()) == CLIENT_REPLY


async def connect_with_paused_reading(harness, monkeypatch):
    """Connects a client with as many pending commands as may be, and one over the limit that pauses reading.

    Reading resumes only as a test calls `resume_after_refusals`. The policy decides nothing meanwhile.
    """
    monkeypatch.setattr(clients, "MAX_REFUSALS_PER_POLL", 0)
    harness.service.policy = SilentPolicy()
    reader, writer = await harness.connect()
    for n in range(client_connection.MAX_PENDING_COMMANDS + 1):
        writer.write(command(b"r%d" % n))
    while not any(client.refusals_paused for client in harness.service.clients.reading_paused):
        await asyncio.sleep(0)
    (client,) = harness.service.clients.reading_paused
    return reader, writer, client


@on_loop
async def test_disconnect_is_detected_while_reading_is_paused(tmp_path, monkeypatch):
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        _, writer, client = await connect_with_paused_reading(harness, monkeypatch)
        assert client.reads_paused
        writer.write(command(b"unread"))
        writer.close()
        # Long before the deadlines of the requests.
        while harness.service.active_requests or harness.service.clients.connections:
            await asyncio.sleep(0)
        assert not harness.service.clients.reading_paused


@on_loop
async def test_disconnect_is_detected_behind_commands_over_the_limit(tmp_path, monkeypatch):
    # Guards against attempts for a client that has left, as the end of its input lay behind unread commands.
    monkeypatch.setattr(clients, "DISCONNECT_POLL_INTERVAL", 600.0)
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        harness.service.policy = SilentPolicy()
        client = connect_and_send(harness, command(b"first", fields=command_fields(d="600000")))
        while not harness.service.active_requests:
            await asyncio.sleep(0)
        flood = b"".join(
            command(b"f%d" % n, command_fields(c="note", d="600000"), b"API.WRITE", body=bytes(4096))
            for n in range(4 * client_connection.MAX_PENDING_COMMANDS)
        )
        await asyncio.get_running_loop().sock_sendall(client, flood)
        client.close()
        while harness.service.active_requests or harness.service.clients.connections:
            await asyncio.sleep(0)
        assert not (harness.service.clients.queued_bytes or harness.service.held_command_bytes)


@on_loop
async def test_commands_over_the_limit_are_refused_in_their_order(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        policy, harness.service.policy = harness.service.policy, SilentPolicy()
        reader, writer = await harness.connect()
        limit = client_connection.MAX_PENDING_COMMANDS
        for n in range(limit + 3):
            writer.write(command(b"r%d" % n))
        while harness.service.clients.refusals < 3 or len(harness.service.active_requests) < limit:
            await asyncio.sleep(0)
        harness.service.policy = policy
        for request in list(harness.service.active_requests.values()):
            harness.service.finish_request(request, CLIENT_REPLY)
        writer.write(command(b"last"))
        expected = [CLIENT_REPLY] * limit + [b"-BUSY\r\n"] * 3 + [CLIENT_REPLY]
        assert [await read_reply(reader) for _ in expected] == expected
        assert [c[2] for c in server.commands] == [b"last"]


@on_loop
async def test_bytes_of_queued_commands_are_limited_over_all_connections(tmp_path):
    """The limit is that for a connection which has a pending command already."""
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        harness.service.policy, client_connections = SilentPolicy(), harness.service.clients
        client_connections.max_partial_bytes = int(100_000 / clients.SHARE_FOR_FURTHER_COMMANDS)
        dispatching = client_connections.dispatching
        client_connections.dispatching = FairQueue(client_connection.ClientConnection.dispatch_commands, 0.0)
        reader, writer = await harness.connect()
        for n in range(60):
            writer.write(command(b"r%d" % n, command_fields(c="note"), b"API.WRITE", body=bytes(4096)))
        refused = EventKind.REQUEST_REFUSED, Verdict.CAPACITY_EXCEEDED.value
        counts, client = harness.service.event_log.counts, None
        while client is None or len(client.queued) + counts[refused] < 60:
            await asyncio.sleep(0)
            client = next(iter(client_connections.connections), None)
        assert 0 < client_connections.queued_bytes <= 100_000 and counts[refused]
        dispatching.submit(client)
        while len(harness.service.active_requests) + counts[refused] < 60:
            await asyncio.sleep(0)
        assert not client_connections.queued_bytes


@pytest.mark.parametrize("step_time, commands_per_step", [(0.0, 1), (600.0, 4)])
@on_loop
async def test_steps_of_handling_input_are_limited_by_time(
    step_time, commands_per_step, tmp_path, monkeypatch
):
    # Guards against other clients that wait for steps of many costly commands, as their number was limited.
    monkeypatch.setattr(client_connection, "STEP_TIME", step_time)
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        owner = harness.service.clients
        owner.splitting = FairQueue(client_connection.ClientConnection.split_input, 0.0)
        owner.dispatching = FairQueue(client_connection.ClientConnection.dispatch_commands, 0.0)
        client_socket = connect_and_send(harness, b"*1\r\n$4\r\nPING\r\n" * 4)
        while not any(client.input_unsplit for client in owner.connections):
            await asyncio.sleep(0)
        (client,) = owner.connections
        client.split_input()
        assert len(client.queued) == commands_per_step
        while client.split_input():
            pass
        assert len(client.queued) == 4
        client.dispatch_commands()
        assert len(client.queued) == 4 - commands_per_step
        client_socket.close()


@on_loop
async def test_all_parts_of_the_commands_of_active_requests_are_limited(tmp_path):
    # Guards against requests whose list of fields is long and did not count for the limit, only their body.
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        policy, harness.service.policy = harness.service.policy, SilentPolicy()
        harness.service.max_held_bytes = 50_000
        long_fields = command_fields(c="note") + b",x=" + b"x" * 60_000
        _, writer = await harness.connect()
        writer.write(command(b"long", long_fields, b"API.WRITE", body=b"BODY"))
        while not harness.service.active_requests:
            await asyncio.sleep(0)
        harness.service.policy = policy
        assert await harness.send_command(command(b"refused")) == b"-BUSY\r\n"
        harness.service.abort_request(harness.service.active_requests["long"], "test")
        assert not harness.service.held_command_bytes
        assert await harness.send_command(command(b"served")) == CLIENT_REPLY


@on_loop
async def test_disconnect_with_unread_responses_ends_pending_requests(tmp_path, monkeypatch):
    """The written responses can't be flushed, so connection_lost() is not called for a while yet."""
    monkeypatch.setattr(clients, "WRITE_STALL_TIMEOUT", 600.0)
    async with StubServer(b"*3\r\n$20000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 20000)) as server:
        async with GatewayHarness(server, path=tmp_path) as harness:
            _, writer = await harness.connect()
            writer.transport.pause_reading()
            served, client = 0, None
            while client is None or not client.transport.get_write_buffer_size():
                writer.write(command(b"r%d" % served))
                served += 1
                while len(server.commands) < served or client is None or client.pending:
                    await asyncio.sleep(0)
                    (client,) = harness.service.clients.connections
                await asyncio.sleep(0)
            server.answer = None
            writer.write(command(b"waits", fields=command_fields(d="600000")))
            while not client.pending:
                await asyncio.sleep(0)
            assert not client.reads_paused  # so the EOF is read
            writer.write_eof()  # a half-close, which a full close looks like at first
            while harness.service.active_requests:
                await asyncio.sleep(0)
            assert client.transport.get_write_buffer_size()


def connect_and_send(harness, text):
    """Connects a client and sends `text` before the event loop runs again; returns its socket."""
    client = socket.create_connection(("127.0.0.1", harness.port))
    client.sendall(text)
    client.setblocking(False)
    return client


async def receive(client, count):
    """Reads `count` bytes from a client's socket; fewer if EOF comes first."""
    received, loop = b"", asyncio.get_running_loop()
    while len(received) < count and (data := await loop.sock_recv(client, count - len(received))):
        received += data
    return received


async def read_to_end(client):
    """Reads from a client's socket until EOF and closes it; returns all the bytes."""
    received, loop = b"", asyncio.get_running_loop()
    while data := await loop.sock_recv(client, 65536):
        received += data
    client.close()
    return received


@on_loop
async def test_command_unread_when_draining_begins_is_served(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        client = connect_and_send(harness, b"")
        while not harness.service.clients.connections:
            await asyncio.sleep(0)
        client.send(command())  # the gateway has not read it yet
        harness.service.clients.drain()
        assert await read_to_end(client) == CLIENT_REPLY


@on_loop
async def test_commands_read_together_before_close_are_all_answered(tmp_path):
    """The first is answered at once, so no command is pending while the others are not dispatched yet."""
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        client = connect_and_send(harness, b"")
        while not harness.service.clients.connections:
            await asyncio.sleep(0)
        client.send(b"*1\r\n$4\r\nPING\r\n" + command(b"refused", fields=command_fields(d="1")) + command())
        harness.service.clients.drain()
        assert await read_to_end(client) == b"+PONG\r\n-BUSY\r\n" + CLIENT_REPLY


@on_loop
async def test_command_unread_at_last_response_is_served_before_close(tmp_path):
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        client = connect_and_send(harness, command(b"first"))
        await server.arrived.get()
        harness.service.clients.drain()
        (request,) = harness.service.active_requests.values()
        client.send(command(b"second"))  # the gateway has not read it yet
        server.answer = SERVER_REPLY
        harness.service.finish_request(request, CLIENT_REPLY)
        assert await read_to_end(client) == CLIENT_REPLY * 2


@on_loop
async def test_request_behind_many_connections_in_the_accept_queue_is_answered_in_time(tmp_path):
    # Guards against first requests that wait for seconds, as one connection is accepted in a turn.
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        silent = [socket.create_connection(("127.0.0.1", harness.port)) for _ in range(SILENT_CLIENTS)]
        client = connect_and_send(harness, command(fields=command_fields(d="750")))
        sent_at, answer = time.monotonic(), asyncio.create_task(receive(client, len(CLIENT_REPLY)))
        while not answer.done():
            time.sleep(BUSY_TURN)
            await asyncio.sleep(0)
        assert answer.result() == CLIENT_REPLY and time.monotonic() - sent_at < 0.75 + LATE_ANSWER
        for connection in (client, *silent):
            connection.close()


@on_loop
async def test_connections_in_accept_queue_are_served_at_shutdown(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        ping, pong = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
        waiting = [connect_and_send(harness, ping) for _ in range(60)] + [
            connect_and_send(harness, command(b"r%d" % n)) for n in range(8)
        ]
        assert not harness.service.clients.connections
        await harness.service.clients.stop_accepting()
        harness.service.clients.drain()
        assert [await read_to_end(client) for client in waiting] == [pong] * 60 + [CLIENT_REPLY] * 8
        with pytest.raises(ConnectionError):
            connect_and_send(harness, b"")


@on_loop
async def test_partial_command_at_idle_timeout_gets_time_to_complete(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        text, (reader, writer) = command(), await harness.connect()
        writer.write(text[:9])
        while (
            not (connections := list(harness.service.clients.connections)) or not connections[0].partial_bytes
        ):
            await asyncio.sleep(0)
        (client,), client_connections = connections, harness.service.clients
        # As if the first part had come at the idle timeout.
        client_connections.idle[client] -= clients.IDLE_TIMEOUT
        client_connections.sweep()
        client.partial_since -= client_connection.MIN_PARTIAL_COMMAND_TIME
        writer.write(text[9:] + text[:9])  # the next command's time counts from its own first part
        assert await read_reply(reader) == CLIENT_REPLY
        while not client.partial_bytes or client not in client_connections.idle:
            await asyncio.sleep(0)
        client_connections.idle[client] -= clients.IDLE_TIMEOUT
        client_connections.sweep()
        assert not client.is_closing
        client_connections.idle[client] -= clients.IDLE_TIMEOUT
        client.partial_since -= client_connection.MIN_PARTIAL_COMMAND_TIME
        client_connections.sweep()
        assert await read_reply(reader) == b"-ERR command not finished in time\r\n"


@on_loop
async def test_command_sent_while_reading_is_paused_is_served_before_close(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "DISCONNECT_POLL_INTERVAL", 600.0)
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        policy = harness.service.policy
        reader, writer, client = await connect_with_paused_reading(harness, monkeypatch)
        writer.write(command(b"last"))
        while not client.has_unread_bytes() or client.queued:
            await asyncio.sleep(0)
        harness.service.policy = policy
        harness.service.clients.drain()
        # In reverse order, so that the first releases the others.
        for request in list(harness.service.active_requests.values())[::-1]:
            harness.service.finish_request(request, CLIENT_REPLY)
        harness.service.clients.resume_after_refusals()
        limit = client_connection.MAX_PENDING_COMMANDS
        expected = [CLIENT_REPLY] * limit + [b"-BUSY\r\n", CLIENT_REPLY, b""]
        assert [await read_reply(reader) for _ in expected] == expected
        assert [c[2] for c in server.commands] == [b"last"]


@on_loop
async def test_partial_command_times_out_while_another_is_pending(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "IDLE_TIMEOUT", 0.1)
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        reader, writer = await harness.connect()
        writer.write(command(b"r1", fields=command_fields(d="3600000")))
        await server.arrived.get()
        writer.write(command(b"r2")[:9])
        assert await read_reply(reader) == b"-ERR failed\r\n"
        assert await read_reply(reader) == b"-ERR command not finished in time\r\n"
        assert await reader.read() == b""


@on_loop
async def test_time_unread_while_reading_was_paused_is_subtracted_from_deadline(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "DISCONNECT_POLL_INTERVAL", 600.0)
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        policy = harness.service.policy
        reader, writer, client = await connect_with_paused_reading(harness, monkeypatch)
        writer.write(command(b"last"))
        sent_at = time.monotonic()
        await asyncio.sleep(0.4)
        waited = time.monotonic() - sent_at  # the command has not been read before now
        assert not client.queued
        harness.service.policy = policy
        for request in list(harness.service.active_requests.values()):
            harness.service.finish_request(request, CLIENT_REPLY)
        harness.service.clients.resume_after_refusals()
        replies = [await read_reply(reader) for _ in range(client_connection.MAX_PENDING_COMMANDS + 2)]
        assert replies[-2:] == [b"-BUSY\r\n", CLIENT_REPLY]
        assert propagated_deadline_ms(server) <= 3000 - 1000 * waited + 150


@on_loop
async def test_idle_timeout_counts_from_connect_when_accept_has_failed(tmp_path):
    """A client that sends nothing must be closed within 3 s of connecting."""
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        client_connections = harness.service.clients
        before = time.monotonic()
        client_connections.listener.queue_wait.not_emptied(before - 1.0)  # accept calls have failed for 1 s
        await harness.connect()
        while not client_connections.idle:
            await asyncio.sleep(0)
        (since,) = client_connections.idle.values()
        assert since < before
