"""Clients: bad input, the order of answers, those that leave."""

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

from calicomast.net import clients, gateway


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
        command(fields=command_fields(d="9" * 400)),
        command(fields=command_fields(d="9" * 12)),
        command(fields=command_fields(units="1e999")),
        command(fields=command_fields(c="write"), verb=b"API.WRITE", body=b"x"),  # keyed, without its key
        command(fields=command_fields(c="note"), verb=b"API.WRITE", body=b"x" * 65537),
    ],
)
@on_loop
async def test_bad_commands_are_answered_and_the_connection_goes_on(bad, tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad + b"*1\r\n$4\r\nPING\r\n")
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b"+PONG\r\n"
        assert not host.commands


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
async def test_lost_framing_ends_only_its_own_connection(bad, tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(bad)
        assert (await read_reply(reader)).startswith(b"-ERR")
        assert await read_reply(reader) == b""
        assert await node.send_command(command()) == CLIENT_REPLY


@on_loop
async def test_answers_come_in_the_order_of_the_commands(tmp_path):
    async with StubServer(answer=None) as host, GatewayHarness(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"slow"))
        await host.arrived.get()
        writer.write(b"*1\r\n$4\r\nPING\r\n")
        host.writers[0].write(SERVER_REPLY)
        assert await read_reply(reader) == CLIENT_REPLY
        assert await read_reply(reader) == b"+PONG\r\n"


@on_loop
async def test_a_client_that_left_has_its_attempt_called_off(tmp_path):
    async with StubServer(answer=None) as host, GatewayHarness(host, path=tmp_path) as node:
        _, writer = await node.connect()
        writer.write(command())
        await host.arrived.get()
        writer.close()
        assert await host.arrived.get() is None  # the connection to the host ended
        assert not node.service.active_requests


@on_loop
async def test_what_comes_on_a_connection_that_is_to_close_is_served(tmp_path):
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"first"))
        await host.arrived.get()
        node.service.clients.drain()
        writer.write(command(b"second"))
        while (await host.arrived.get())[2] != b"second":
            pass
        for out in host.writers:
            out.write(SERVER_REPLY)
        assert [await read_reply(reader) for _ in range(3)] == [CLIENT_REPLY, CLIENT_REPLY, b""]


@pytest.mark.parametrize(
    "sent, told", [(b"", b""), (b"*4\r\n$8\r\nAPI.R", b"-ERR"), (b"*1\r\n$4\r\nPING\r\n", b"+PONG")]
)
@on_loop
async def test_a_connection_without_a_request_is_closed_in_time(sent, told, tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "IDLE", 0.1)
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(sent)
        assert (await read_reply(reader)).startswith(told)
        assert await reader.read() == b""
        while node.service.clients.connections:
            await asyncio.sleep(0.01)
        assert not (node.service.clients.idle or node.service.clients.ending or node.service.clients.partial)


@on_loop
async def test_a_connection_with_a_request_in_work_is_not_idle(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "IDLE", 0.1)
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        idle, _ = await node.connect()
        writer.write(command())
        await host.arrived.get()
        assert await idle.read() == b""  # this one went, some sweeps later
        host.writers[0].write(SERVER_REPLY)
        assert await read_reply(reader) == CLIENT_REPLY


@on_loop
async def test_lost_framing_does_not_wait_for_what_is_in_work(tmp_path):
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command())
        await host.arrived.get()
        writer.write(b"nonsense" + b"x" * 100_000)
        assert await read_reply(reader) == b"-ERR failed\r\n"  # its one answer, though the host is silent
        assert (await read_reply(reader)).startswith(b"-ERR protocol")
        assert await reader.read() == b""  # an end, not a reset, though there was more to read
        assert await host.arrived.get() is None and not node.service.active_requests


@on_loop
async def test_who_takes_no_answers_is_let_go(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "STUCK", 0.1)
    async with StubServer(b"*3\r\n$60000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 60000)) as host:
        async with GatewayHarness(host, path=tmp_path) as node:
            _, writer = await node.connect()
            writer.transport.pause_reading()
            with contextlib.suppress(ConnectionError):
                for n in range(400):
                    writer.write(command(b"r%d" % n))
                    await writer.drain()
            while node.service.clients.connections:
                await asyncio.sleep(0.01)
            assert not (node.service.active_requests or node.service.held_body_bytes)


@on_loop
async def test_at_the_limit_the_longest_idle_goes_and_with_all_busy_the_newcomer(tmp_path):
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:
        node.service.clients.max_connections = 2
        node.service.policy.balancer.server_attempt_limit = 100.0
        first, _ = await node.connect()
        busy = []
        for n in range(2):
            reader, writer = await node.connect()
            writer.write(command(b"r%d" % n))
            await host.arrived.get()
            busy.append(reader)
        assert await first.read() == b""
        last, _ = await node.connect()
        assert (await read_reply(last)).startswith(b"-ERR too many") and await last.read() == b""
        for writer in host.writers:
            writer.write(SERVER_REPLY)
        assert [await read_reply(reader) for reader in busy] == [CLIENT_REPLY, CLIENT_REPLY]


LONG = b"$60000\r\n" + b"v" * 60000 + b"\r\n"


async def untaken(node, count=10):
    """A client that has asked `count` times and takes no answer yet; its end of the gateway's connection."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.connect(("127.0.0.1", node.port))
    client.setblocking(False)
    before = set(node.service.clients.connections)
    while not (there := node.service.clients.connections - before):
        await asyncio.sleep(0)
    (served,) = there
    served.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    class Mute:
        def handle(self, now, event):
            return []

    module, node.service.policy = node.service.policy, Mute()
    client.send(b"".join(command(b"u%d" % n) for n in range(count)))
    while len(served.pending) < count:
        await asyncio.sleep(0)
    node.service.policy = module
    for work in list(node.service.active_requests.values()):
        node.service.finish_request(work, LONG)
    assert served.transport.get_write_buffer_size()
    return client, served


@on_loop
async def test_room_is_not_made_at_the_cost_of_an_answer_that_is_not_taken_yet(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        client, served = await untaken(node)
        served.close_when_done(clients.CloseReason.IDLE)
        assert served in node.service.clients.ending
        node.service.clients.max_connections = 1
        reader, _ = await node.connect()
        assert (await read_reply(reader)).startswith(b"-ERR too many")
        assert await take(client) == LONG * 10


@on_loop
async def test_each_newcomer_takes_the_place_of_another(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        server = node.service.clients
        for _ in range(4):
            await node.connect()
        while len(server.connections) < 4:
            await asyncio.sleep(0)
        for client in list(server.connections)[:2]:
            client.fail(b"-ERR\r\n", clients.CloseReason.LOST_FRAMING)  # ends once its client does
        assert [server.evict_connection() for _ in range(5)] == [True] * 4 + [False]
        assert server.leaving == server.connections
        while server.connections:
            await asyncio.sleep(0)
        assert not (server.leaving or server.ending or server.idle)


@on_loop
async def test_one_that_is_turned_away_hears_of_it_though_it_has_asked(tmp_path):
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:
        node.service.clients.max_connections = 1
        busy, writer = await node.connect()
        writer.write(command(b"first"))
        await host.arrived.get()
        asked = [blocking(node, command(b"r%d" % n) * 3) for n in range(clients.MOST_AWAY)]
        for client in asked:
            client.shutdown(socket.SHUT_WR)
            assert (await take(client)).startswith(b"-ERR too many")  # an end, not a reset
        while len(node.service.clients.connections) > 1:
            await asyncio.sleep(0)
        for _ in range(2 * clients.MOST_AWAY):
            await node.connect()
        await asyncio.sleep(0)
        assert len(node.service.clients.connections) <= clients.MOST_AWAY + 3  # a few may be on their way
        host.writers[0].write(SERVER_REPLY)
        assert await read_reply(busy) == CLIENT_REPLY and len(host.commands) == 1


@pytest.mark.parametrize("ends", [False, True])
@on_loop
async def test_answers_are_waited_for_while_they_count_and_no_longer(ends, tmp_path, monkeypatch):
    for name in ("ENDING", "STUCK"):
        monkeypatch.setattr(clients, name, 0.0)
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        client, served = await untaken(node)
        if ends:
            served.close_when_done(clients.CloseReason.IDLE)
        now = clients.monotonic() + 1.0
        monkeypatch.setattr(clients, "monotonic", lambda: now)
        node.service.clients.sweep()
        assert served not in node.service.clients.leaving
        now += 2.0 + gateway.LATE_ANSWER_GRACE  # past all deadlines
        node.service.clients.sweep()
        assert served in node.service.clients.leaving
        client.close()


@on_loop
async def test_half_commands_together_are_bounded(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        node.service.clients.max_partial_bytes = 100_000
        readers = []
        for _ in range(3):
            reader, writer = await node.connect()
            writer.write(b"*5\r\n$60000\r\n" + b"x" * 40_000)
            readers.append(asyncio.create_task(read_reply(reader)))
        done, _ = await asyncio.wait(readers, return_when=asyncio.FIRST_COMPLETED)
        assert [task.result() for task in done] == [b"-ERR too much in work\r\n"]
        assert await node.send_command(command()) == CLIENT_REPLY


@on_loop
async def test_a_client_that_sent_much_and_left_is_noticed_though_it_is_not_read(tmp_path):
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:

        class Mute:
            def handle(self, now, event):
                return []

        node.service.policy = Mute()
        _, writer = await node.connect()
        for n in range(clients.MOST_PENDING):
            writer.write(command(b"r%d" % n, fields=command_fields(d="600000")))
        while (
            not (there := list(node.service.clients.connections))
            or len(there[0].pending) < clients.MOST_PENDING
        ):
            await asyncio.sleep(0)
        assert there[0].reads_paused
        writer.write(command(b"unread"))
        writer.close()
        # long before any of their deadlines
        while node.service.active_requests or node.service.clients.connections:
            await asyncio.sleep(0)
        assert not node.service.clients.unread


@on_loop
async def test_a_client_that_left_with_answers_not_taken_has_its_requests_ended(tmp_path, monkeypatch):
    """Its connection cannot be flushed, so it is not lost to the loop for a while yet."""
    monkeypatch.setattr(clients, "STUCK", 600.0)
    async with StubServer(b"*3\r\n$20000\r\n%s\r\n$-1\r\n$-1\r\n" % (b"v" * 20000)) as host:
        async with GatewayHarness(host, path=tmp_path) as node:
            _, writer = await node.connect()
            writer.transport.pause_reading()
            served, client = 0, None
            while client is None or not client.transport.get_write_buffer_size():
                writer.write(command(b"r%d" % served))
                served += 1
                while len(host.commands) < served or client is None or client.pending:
                    await asyncio.sleep(0)
                    (client,) = node.service.clients.connections
                await asyncio.sleep(0)
            host.answer = None
            writer.write(command(b"waits", fields=command_fields(d="600000")))
            while not client.pending:
                await asyncio.sleep(0)
            assert not client.reads_paused  # it is read, and its end is seen
            writer.write_eof()  # half closed, as the end of one that leaves looks at first
            while node.service.active_requests:
                await asyncio.sleep(0)
            assert client.transport.get_write_buffer_size()


def blocking(node, text):
    """A client that has connected and sent `text` before the gateway's loop turns once more."""
    client = socket.create_connection(("127.0.0.1", node.port))
    client.sendall(text)
    client.setblocking(False)
    return client


async def take(client):
    """All that a client gets to the end of its connection."""
    got, loop = b"", asyncio.get_running_loop()
    while data := await loop.sock_recv(client, 65536):
        got += data
    client.close()
    return got


@on_loop
async def test_what_was_sent_before_an_idle_connection_is_closed_is_served(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        client = blocking(node, b"")
        while not node.service.clients.connections:
            await asyncio.sleep(0)
        client.send(command())  # lies unread
        node.service.clients.drain()
        assert await take(client) == CLIENT_REPLY


@on_loop
async def test_commands_read_together_before_a_close_are_all_answered(tmp_path):
    """Though the first of them is answered at once, which leaves nothing in work."""
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        client = blocking(node, b"")
        while not node.service.clients.connections:
            await asyncio.sleep(0)
        client.send(b"*1\r\n$4\r\nPING\r\n" + command(b"refused", fields=command_fields(d="1")) + command())
        node.service.clients.drain()
        assert await take(client) == b"+PONG\r\n-BUSY\r\n" + CLIENT_REPLY


@on_loop
async def test_a_command_behind_the_last_answer_is_served_before_the_close(tmp_path):
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:
        client = blocking(node, command(b"first"))
        await host.arrived.get()
        node.service.clients.drain()
        (work,) = node.service.active_requests.values()
        client.send(command(b"second"))  # lies unread
        host.answer = SERVER_REPLY
        node.service.finish_request(work, CLIENT_REPLY)
        assert await take(client) == CLIENT_REPLY * 2


@on_loop
async def test_connections_that_wait_at_the_listener_are_served_at_the_end(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        ping, pong = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
        asked = [blocking(node, ping) for _ in range(60)] + [
            blocking(node, command(b"r%d" % n)) for n in range(8)
        ]
        assert not node.service.clients.connections
        await node.service.clients.stop_accepting()
        node.service.clients.drain()
        assert [await take(client) for client in asked] == [pong] * 60 + [CLIENT_REPLY] * 8
        with pytest.raises(ConnectionError):
            blocking(node, b"")


@on_loop
async def test_a_command_in_two_parts_crosses_the_end_of_the_idle_time(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        text, (reader, writer) = command(), await node.connect()
        writer.write(text[:9])
        while not (there := list(node.service.clients.connections)) or not there[0].partial:
            await asyncio.sleep(0)
        (client,), server = there, node.service.clients
        server.idle[client] -= clients.IDLE  # as if the first part had come at its end
        server.sweep()
        client.began -= clients.HALF
        writer.write(text[9:] + text[:9])  # the next one's time begins with its own first part
        assert await read_reply(reader) == CLIENT_REPLY
        while not client.partial or client not in server.idle:
            await asyncio.sleep(0)
        server.idle[client] -= clients.IDLE
        server.sweep()
        assert not client.closing
        server.idle[client] -= clients.IDLE
        client.began -= clients.HALF
        server.sweep()
        assert await read_reply(reader) == b"-ERR command not finished in time\r\n"


@on_loop
async def test_what_a_client_not_read_for_a_while_has_sent_is_served_before_its_close(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:

        class Mute:
            def handle(self, now, event):
                return []

        module, node.service.policy = node.service.policy, Mute()
        reader, writer = await node.connect()
        for n in range(clients.MOST_PENDING):
            writer.write(command(b"r%d" % n))
        while not node.service.clients.unread:
            await asyncio.sleep(0)
        (client,) = node.service.clients.unread
        writer.write(command(b"last"))
        while not client.unread():
            await asyncio.sleep(0)
        node.service.policy = module
        node.service.clients.drain()
        # so that the first releases all the others
        for work in list(node.service.active_requests.values())[::-1]:
            node.service.finish_request(work, CLIENT_REPLY)
        assert [await read_reply(reader) for _ in range(clients.MOST_PENDING + 2)] == (
            [CLIENT_REPLY] * (clients.MOST_PENDING + 1) + [b""]
        )
        assert [c[2] for c in host.commands] == [b"last"]


@on_loop
async def test_half_a_command_ends_in_time_though_another_is_in_work(tmp_path, monkeypatch):
    monkeypatch.setattr(clients, "IDLE", 0.1)
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:
        reader, writer = await node.connect()
        writer.write(command(b"r1", fields=command_fields(d="3600000")))
        await host.arrived.get()
        writer.write(command(b"r2")[:9])
        assert await read_reply(reader) == b"-ERR failed\r\n"
        assert await read_reply(reader) == b"-ERR command not finished in time\r\n"
        assert await reader.read() == b""


@on_loop
async def test_what_lay_unread_while_a_client_was_not_read_has_only_the_rest_of_its_time(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:

        class Mute:
            def handle(self, now, event):
                return []

        module, node.service.policy = node.service.policy, Mute()
        reader, writer = await node.connect()
        for n in range(clients.MOST_PENDING):
            writer.write(command(b"r%d" % n))
        while not node.service.clients.unread:
            await asyncio.sleep(0)
        writer.write(command(b"last"))
        asked = time.monotonic()
        await asyncio.sleep(0.4)
        waited = time.monotonic() - asked  # it is not read before
        node.service.policy = module
        for work in list(node.service.active_requests.values()):
            node.service.finish_request(work, CLIENT_REPLY)
        assert [await read_reply(reader) for _ in range(clients.MOST_PENDING + 1)][-1] == CLIENT_REPLY
        assert propagated_deadline_ms(host) <= 3000 - 1000 * waited + 150


@on_loop
async def test_the_time_of_an_idle_client_begins_with_its_connecting_though_accept_failed(tmp_path):
    """A client that says nothing is owed its close within 3 s of connecting."""
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        server = node.service.clients
        before = time.monotonic()
        server.listener._failing_since = before - 1.0  # accept has failed for a second
        await node.connect()
        while not server.idle:
            await asyncio.sleep(0)
        (since,) = server.idle.values()
        assert since < before
