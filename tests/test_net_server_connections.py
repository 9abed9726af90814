"""Connections to hosts: attempts, their outcomes, probes, caps."""

import asyncio
import gc
import math
import os
import socket
import struct
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
    write_command,
)

from calicomast import interface as api
from calicomast.net import server_connections
from calicomast.net.server_connections import Attempt


@on_loop
async def test_a_report_that_says_nothing_sound_is_ignored(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        for n, report in enumerate(
            (
                b"$-1\r\n",
                b"$3\r\n???\r\n",
                b"$10\r\nactive=nan\r\n",
                b"$9\r\nactive=-1\r\n",
                b"$10\r\nactive=1_0\r\n",
                b"$3\r\n=,=\r\n",
                b"$12\r\nactive=99999\r\n",
                b"$10\r\nactive= 1 \r\n",
                b":7\r\n",
                b"$8\r\nactive=x\r\n",
            )
        ):
            host.answer = b"*3\r\n$1\r\nv\r\n$-1\r\n" + report
            assert await node.send_command(command(b"r%d" % n)) == b"$1\r\nv\r\n"
        assert not node.service.policy.balancer.has_load_reports


@pytest.mark.parametrize(
    "odd",
    [
        b"+OK\r\n",
        b"$2\r\nOK\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*1\r\n$-1\r\n",
        b":1\r\n",
        b"*1\r\n:1\r\n",
        b"nonsense\r\n",
        b"$-1\r\n",
        b"*1000000000\r\n",
        b"*3\r\n*3\r\n*3\r\n",
        b"*3\r\n$3000000000\r\n",
        b"*3\r\n$-7\r\n$-1\r\n$-1\r\n",
        b"x" * 5000,
        b"*3\r\n$3\r\nvalue\r\n$-1\r\n$-1\r\n",
        b"\x88\xa8",
    ],
)
@on_loop
async def test_what_is_no_value_of_a_host_is_not_served(odd, tmp_path):
    async with StubServer(odd) as host, GatewayHarness(host, path=tmp_path) as node:
        began = time.process_time()
        assert (await node.send_command(write_command(cls=b"note"))).startswith(b"-ERR")
        assert time.process_time() - began < 0.5  # CPU is rationed; hiredis took over a second for some
        host.answer = SERVER_REPLY
        assert await node.send_command(command(b"r2")) == CLIENT_REPLY
        assert len(host.writers) == 2  # a connection that brought such a thing is of no further use


@on_loop
async def test_a_probe_brings_the_load_report(tmp_path):
    async with StubServer(b"$8\r\nactive=7\r\n") as host, GatewayHarness(host, path=tmp_path) as node:
        seen, done = [], asyncio.Event()

        class Watcher:
            def handle(self, now, event):
                if isinstance(event, api.ProbeResult):
                    seen.append(event)
                    done.set()
                return []

        node.service.policy = Watcher()
        node.service.probe(api.Probe("h1"))
        await done.wait()
        assert host.commands == [[b"INFO", b"load"]]
        assert seen[0].result == "ok" and seen[0].report == {"inflight": 7.0}


@on_loop
async def test_a_late_answer_reaches_nobody(tmp_path):
    async with StubServer(answer=None) as host, GatewayHarness(host, path=tmp_path) as node:
        assert (await node.send_command(write_command(cls=b"note", d=300))).startswith(b"-ERR")
        assert await host.arrived.get() and await host.arrived.get() is None  # the connection went too
        host.writers[0].write(b"*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n")
        host.answer = SERVER_REPLY
        assert await node.send_command(command(b"r2")) == CLIENT_REPLY


@on_loop
async def test_a_host_that_breaks_off_may_have_run_an_unsafe_request(tmp_path):
    async with (
        StubServer(b"") as one,
        StubServer(b"") as two,
        GatewayHarness(one, two, path=tmp_path) as node,
    ):
        assert (await node.send_command(write_command(cls=b"note"))).startswith(b"-ERR")
        assert len(one.commands) + len(two.commands) == 1


@on_loop
async def test_a_host_that_turns_away_never_ran_it(tmp_path):
    turns = iter([b"-BUSY active=3\r\n", SERVER_REPLY])
    async with StubServer() as one, StubServer() as two, GatewayHarness(one, two, path=tmp_path) as node:
        one.answer = two.answer = lambda: next(turns)
        assert await node.send_command(write_command(cls=b"note")) == CLIENT_REPLY
        assert [c[2] for c in one.commands + two.commands] == [b"r1", b"r1"]


@on_loop
async def test_a_refused_connection_never_ran_it(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        host.server.close()
        await host.server.wait_closed()
        # harmless to try again
        assert (await node.send_command(write_command(cls=b"note"))).startswith(b"-BUSY")


@on_loop
async def test_one_connection_is_used_again_and_closed_before_the_host_would(tmp_path, monkeypatch):
    monkeypatch.setattr(server_connections, "REUSE_DELAY", 0.0)
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        for n in range(3):
            assert await node.send_command(command(b"r%d" % n)) == CLIENT_REPLY
        assert len(host.writers) == 1
        (conn,) = node.service.server_connections.pool_for("h1").idle
        node.service.server_connections.close_stale()
        assert node.service.server_connections.pool_for("h1").idle == [conn]
        conn.idle_since -= 28.0  # of the 30 s after which the host would close it
        node.service.server_connections.close_stale()
        assert node.service.server_connections.pool_for("h1").idle == []
        while await host.arrived.get() is not None:
            pass


@on_loop
async def test_the_cap_on_connections_holds(tmp_path):
    async with StubServer(answer=None) as host, GatewayHarness(host, path=tmp_path) as node:
        node.service.server_connections.most = 2
        node.service.policy.balancer.server_attempt_limit = 100.0
        asked = [
            asyncio.create_task(node.send_command(command(b"r%d" % n, fields=command_fields(d="500"))))
            for n in range(6)
        ]
        await asyncio.gather(*asked)
        assert len(host.writers) <= 2 * 3 and node.service.server_connections.open <= 2


@on_loop
async def test_an_attempt_called_off_has_left_the_host_before_the_next_goes_out(tmp_path):
    """Where second copies are not allowed, one attempt's connection must end before the next is written."""
    async with StubServer(None) as one, StubServer() as two, GatewayHarness(one, two, path=tmp_path) as node:

        class Mover:
            def handle(self, now, event):
                if isinstance(event, api.Request):
                    return [api.Send(event.id, "h1")]
                return [api.Send(event.id, "h2")] if getattr(event, "result", "") == "cancelled" else []

        node.service.policy = Mover()
        asked = asyncio.create_task(node.send_command(command()))
        await one.arrived.get()
        (attempt,) = node.service.active_requests["r1"].active_attempts.values()
        ended = socket.socket(fileno=os.dup(attempt.conn.descriptor))
        node.service.cancel(api.Cancel("r1", 0))
        with pytest.raises(OSError):  # the socket was shut at once, not in a later turn of the loop
            ended.send(b"x")
        ended.close()
        assert await one.arrived.get() is None
        assert await asked == CLIENT_REPLY and len(two.commands) == 1


@on_loop
async def test_connects_called_off_before_they_began_take_no_room(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        hosts = node.service.server_connections
        hosts.most = 2
        for _ in range(5):
            attempt = Attempt("h1", lambda attempt: command(), lambda attempt: None)
            hosts.send(attempt, 3.0)
            hosts.cancel_attempt(attempt, "cancelled")
            assert attempt.result == "connect_failed"
        assert await node.send_command(command()) == CLIENT_REPLY
        assert len(host.commands) == 1


@pytest.mark.parametrize("together", [True, False])
@on_loop
async def test_what_comes_behind_an_answer_is_never_the_next_one(together, tmp_path):
    """A second copy may still wait in the socket when the next request is sent off."""
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:
        for n in range(3):
            asked = asyncio.create_task(node.send_command(command(b"a%d" % n)))
            while not (got := await host.arrived.get()):
                pass
            own = b"*3\r\n$2\r\n%s\r\n$-1\r\n$-1\r\n" % got[2]
            writer = host.writers[-1]
            if together:
                writer.write(own + own)
            else:  # two packets: the gateway reads the first alone
                writer.write(own)
                conns = [c for c in node.service.server_connections.conns if c.attempt is not None]
                while any(c.attempt is not None for c in conns):
                    await asyncio.sleep(0)
                writer.write(own)
            assert await asked == b"$2\r\na%d\r\n" % n


@on_loop
async def test_a_second_answer_some_milliseconds_late_is_not_the_next_one(tmp_path, monkeypatch):
    """Nothing is to be read when the next request goes off, and on its connection it would come next."""
    now = time.monotonic()
    monkeypatch.setattr(server_connections, "monotonic", lambda: now)
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:

        async def ask(name):
            asked = asyncio.create_task(node.send_command(command(name)))
            while not await host.arrived.get():
                pass
            return asked

        first, second = b"*3\r\n$1\r\na\r\n$-1\r\n$-1\r\n", b"*3\r\n$1\r\nb\r\n$-1\r\n$-1\r\n"
        asked = await ask(b"a")
        host.writers[0].write(first)
        assert await asked == b"$1\r\na\r\n"
        now += 0.005
        asked = await ask(b"b")
        host.writers[0].write(first)
        host.writers[-1].write(second)
        assert await asked == b"$1\r\nb\r\n"


@on_loop
async def test_a_connection_is_looked_at_before_it_is_used_again(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        assert await node.send_command(command(b"a")) == CLIENT_REPLY
        pool = node.service.server_connections.pool_for("h1")
        (conn,) = pool.idle
        conn.idle_since -= 1.0
        assert conn.quiet()
        conn.transport.pause_reading()  # as if the loop had not come round to it
        host.writers[0].write(b"*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n")
        await host.writers[0].drain()
        while conn.quiet():
            await asyncio.sleep(0)
        assert await node.send_command(command(b"b")) == CLIENT_REPLY
        assert len(host.writers) == 2 and conn not in node.service.server_connections.conns


@on_loop
async def test_an_answer_that_cannot_be_handled_ends_its_attempt(tmp_path, monkeypatch):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        with monkeypatch.context() as patch:
            patch.setattr("calicomast.net.server_connections.read_reply", lambda *_: 1 / 0)
            assert (await node.send_command(write_command(cls=b"note"))).startswith(b"-ERR")
        assert not node.service.server_connections.conns
        assert await node.send_command(command(b"r2")) == CLIENT_REPLY


@on_loop
async def test_a_connection_that_is_dropped_does_not_close_a_descriptor_by_itself(tmp_path):
    """uvloop drops a transport whose connect is called off without a connection_lost."""
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        ours, theirs = socket.socketpair()

        class Transport(asyncio.Transport):
            def set_write_buffer_limits(self, high=None, low=None):
                pass

            def is_closing(self):
                return False

        conn = server_connections.Connection(node.service.server_connections.pool_for("h1"))
        conn.connection_made(Transport({"socket": ours}))
        assert conn.quiet()
        del conn
        gc.collect()
        theirs.send(b"x")
        assert ours.recv(1) == b"x"
        ours.close()
        theirs.close()


class Forgetful(StubServer):
    """Behind something that drops connections at rest: the second request on one is reset while `dropped`."""

    def __init__(self):
        super().__init__()
        self.dropped, self.made = True, 0

    async def serve(self, reader, writer):
        self.made += 1
        while data := await reader.read(65536):
            if data and self.dropped and writer in self.used:
                writer.transport.abort()
                return
            self.used.add(writer)
            writer.write(SERVER_REPLY)

    async def __aenter__(self):
        self.used = set()
        return await super().__aenter__()


@on_loop
async def test_connections_that_are_lost_after_a_rest_are_no_longer_used_after_it(tmp_path):
    async with Forgetful() as host, GatewayHarness(host, path=tmp_path) as node:

        async def ask(n, rest):
            """A request once the host's connections have rested so long."""
            for pool in node.service.server_connections.pools.values():
                for conn in pool.idle:
                    conn.idle_since = time.monotonic() - rest
            return await node.send_command(command(b"r%d" % n))

        replies = [await ask(n, 1.0) for n in range(40)]
        assert replies.count(CLIENT_REPLY) >= 34 and replies[-20:] == [CLIENT_REPLY] * 20
        host.dropped, made = False, host.made
        assert [await ask(n, 0.05) for n in range(50, 60)] == [CLIENT_REPLY] * 10
        assert host.made <= made + 1  # those that rested for less are used on


def test_resets_that_come_by_chance_close_no_connections():
    staleness = server_connections.Staleness()
    for n in range(400):
        lost = n % 11 == 0
        staleness.note(0.0, lost)
        staleness.note(0.03 * (1 + n % 60), lost)
    assert staleness.limit == math.inf


def test_a_limit_of_rest_is_tried_again_in_time():
    staleness = server_connections.Staleness()
    for n in range(60):
        staleness.note(0.3, False)
        staleness.note(0.9 + n % 5, n % 2 == 0)
    assert 0.3 < staleness.limit < 0.9
    staleness.fade(300.0)
    assert staleness.limit == math.inf  # tried again in time


class RawHost:
    """A host at the level of its sockets. `arrived` gets each connection that the gateway opens to it."""

    def __init__(self, receive=None):
        self.listener = socket.create_server(("127.0.0.1", 0))
        if receive:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]

    async def accept(self):
        conn, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return conn

    @staticmethod
    def reset(conn):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()


def first(name):
    """A module's part: each request goes to `name`, and to the other host where it surely never ran."""

    class Module:
        results = []

        def handle(self, now, event):
            if isinstance(event, api.Request):
                return [api.Send(event.id, name)]
            if isinstance(event, api.Outcome) and not event.final:
                self.results.append(event.result)
                never = event.result in ("connect_failed", "full")
                return [api.Send(event.id, "h2") if never else api.Fail(event.id)]
            return []

    return Module()


@on_loop
async def test_a_reset_between_the_look_and_the_write_never_ran(tmp_path, monkeypatch):
    monkeypatch.setattr(server_connections, "REUSE_DELAY", 0.0)
    raw, loop = RawHost(), asyncio.get_running_loop()
    async with StubServer() as other, GatewayHarness(raw, other, path=tmp_path) as node:
        node.service.policy = module = first("h1")
        asked = asyncio.create_task(node.send_command(command(b"a")))
        conn = await raw.accept()
        await loop.sock_recv(conn, 65536)
        await loop.sock_sendall(conn, SERVER_REPLY)
        assert await asked == CLIENT_REPLY
        look = server_connections.Connection.quiet

        def crossed(self):
            quiet = look(self)
            raw.reset(conn)
            return quiet

        monkeypatch.setattr(server_connections.Connection, "quiet", crossed)
        assert await node.send_command(write_command(cls=b"note")) == CLIENT_REPLY
        assert module.results == ["connect_failed"] and len(other.commands) == 1


@pytest.mark.parametrize(
    "read, result, answer", [(False, "connect_failed", CLIENT_REPLY), (True, "reset", b"-ERR failed\r\n")]
)
@on_loop
async def test_a_request_may_have_run_from_its_last_byte_on(read, result, answer, tmp_path, monkeypatch):
    made = server_connections.Connection.connection_made

    def narrow(self, transport):
        made(self, transport)
        with self.borrowed() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    monkeypatch.setattr(server_connections.Connection, "connection_made", narrow)
    raw, loop = RawHost(receive=4096), asyncio.get_running_loop()
    async with StubServer() as other, GatewayHarness(raw, other, path=tmp_path) as node:
        node.service.policy = module = first("h1")
        terms = b"c=note,t=p,d=3000,units=1,spread=1,first=0"
        asked = asyncio.create_task(
            node.send_command(command(b"r1", terms, b"API.WRITE", body=b"x" * 60_000))
        )
        conn, got = await raw.accept(), b""
        while not node.service.server_connections.conns or all(
            c.written for c in node.service.server_connections.conns
        ):
            await asyncio.sleep(0)  # until a part of it is out
        while read and not got.endswith(b"x" * 60 + b"\r\n"):
            got += await loop.sock_recv(conn, 65536)
        while read and not all(c.written for c in node.service.server_connections.conns):
            await asyncio.sleep(0)
        raw.reset(conn)
        assert await asked == answer
        assert module.results == [result] and len(other.commands) == (not read)
