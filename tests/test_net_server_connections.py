"""Connections to servers: attempts, their results, probes, limits."""

import asyncio
import contextlib
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
    TwoServerPolicy,
    command,
    command_fields,
    on_loop,
    read_reply,
    server_entry,
    settings_with_window,
    write_command,
)

from calicomast import interface as api
from calicomast import rules
from calicomast.net import attempt, idle_loss, server_connection, server_connections
from calicomast.net.attempt import Attempt


@on_loop
async def test_malformed_load_report_is_ignored(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
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
            server.answer = b"*3\r\n$1\r\nv\r\n$-1\r\n" + report
            assert await harness.send_command(command(b"r%d" % n)) == b"$1\r\nv\r\n"
        assert not harness.service.policy.balancer.has_load_reports


@pytest.mark.parametrize(
    "malformed",
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
async def test_malformed_response_of_a_server_is_not_served(malformed, tmp_path):
    async with StubServer(malformed) as server, GatewayHarness(server, path=tmp_path) as harness:
        began = time.process_time()
        assert (await harness.send_command(write_command(service_class=b"note"))).startswith(b"-ERR")
        # CPU time is limited, and hiredis took over a second for some of these responses.
        assert time.process_time() - began < 0.5
        server.answer = SERVER_REPLY
        assert await harness.send_command(command(b"r2")) == CLIENT_REPLY
        assert len(server.writers) == 2  # the connection with the malformed response was closed


async def answer_in_two_pieces(harness, server, answer):
    """Waits for a command and answers it in two pieces, of which the gateway reads the first by itself."""
    await server.arrived.get()
    server.writers[-1].write(answer[:20])
    while not any(connection.framing.buffer for connection in harness.service.server_connections.connections):
        await asyncio.sleep(0)
    server.writers[-1].write(answer[20:])


@pytest.mark.parametrize("wrong_by", [-2, -1, 0, 1, 2])
@on_loop
async def test_value_of_wrong_length_that_arrives_in_pieces_is_not_served(wrong_by, tmp_path):
    # Guards against serving a value with bytes of its framing, where its length does not fit.
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        value = b"v" * 40
        reader, writer = await harness.connect()
        writer.write(command(fields=command_fields(c="note", d="700"), verb=b"API.WRITE", body=b"x"))
        answer = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value) + wrong_by, value)
        await answer_in_two_pieces(harness, server, answer)
        reply = await read_reply(reader)
        assert reply == (b"$40\r\n%s\r\n" % value if wrong_by == 0 else b"-ERR failed\r\n")


@on_loop
async def test_probe_returns_the_load_report(tmp_path):
    async with StubServer(b"$8\r\nactive=7\r\n") as server, GatewayHarness(server, path=tmp_path) as harness:
        seen, done = [], asyncio.Event()

        class ProbeRecorder:
            def handle(self, now, event):
                if isinstance(event, api.ProbeResult):
                    seen.append(event)
                    done.set()
                return []

        harness.service.policy = ProbeRecorder()
        harness.service.probe(api.Probe("h1"))
        await done.wait()
        assert server.commands == [[b"INFO", b"load"]]
        assert seen[0].result == "ok" and seen[0].report == {"inflight": 7.0}


@on_loop
async def test_late_response_is_not_delivered_to_a_later_request(tmp_path):
    async with StubServer(answer=None) as server, GatewayHarness(server, path=tmp_path) as harness:
        assert (await harness.send_command(write_command(service_class=b"note", deadline_ms=300))).startswith(
            b"-ERR"
        )
        assert await server.arrived.get() and await server.arrived.get() is None  # None: connection closed
        server.writers[0].write(b"*3\r\n$4\r\nlate\r\n$-1\r\n$-1\r\n")
        server.answer = SERVER_REPLY
        assert await harness.send_command(command(b"r2")) == CLIENT_REPLY


@on_loop
async def test_unsafe_request_is_not_retried_after_its_connection_closes(tmp_path):
    async with (
        StubServer(b"") as one,
        StubServer(b"") as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):
        assert (await harness.send_command(write_command(service_class=b"note"))).startswith(b"-ERR")
        assert len(one.commands) + len(two.commands) == 1


@on_loop
async def test_unsafe_request_is_retried_after_a_busy_response(tmp_path):
    turns = iter([b"-BUSY active=3\r\n", SERVER_REPLY])
    async with StubServer() as one, StubServer() as two, GatewayHarness(one, two, path=tmp_path) as harness:
        one.answer = two.answer = lambda: next(turns)
        assert await harness.send_command(write_command(service_class=b"note")) == CLIENT_REPLY
        assert [c[2] for c in one.commands + two.commands] == [b"r1", b"r1"]


@on_loop
async def test_client_gets_busy_after_a_refused_connection(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        server.server.close()
        await server.server.wait_closed()
        # The request did not run, so the client may retry.
        assert (await harness.send_command(write_command(service_class=b"note"))).startswith(b"-BUSY")


@on_loop
async def test_idle_connection_is_reused_and_closed_before_the_server_closes_it(tmp_path, monkeypatch):
    monkeypatch.setattr(server_connections, "REUSE_DELAY", 0.0)
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        for n in range(3):
            assert await harness.send_command(command(b"r%d" % n)) == CLIENT_REPLY
        assert len(server.writers) == 1
        (connection,) = harness.service.server_connections.pool_for("h1").idle
        harness.service.server_connections.close_expired_idle()
        assert harness.service.server_connections.pool_for("h1").idle == [connection]
        connection.idle_since -= 28.0  # of the 30 s after which the server would close it
        harness.service.server_connections.close_expired_idle()
        assert harness.service.server_connections.pool_for("h1").idle == []
        while await server.arrived.get() is not None:
            pass


@on_loop
async def test_number_of_connections_stays_within_its_limit(tmp_path):
    async with StubServer(answer=None) as server, GatewayHarness(server, path=tmp_path) as harness:
        harness.service.server_connections.max_connections = 2
        harness.service.policy.balancer.server_attempt_limit = 100.0
        tasks = [
            asyncio.create_task(harness.send_command(command(b"r%d" % n, fields=command_fields(d="500"))))
            for n in range(6)
        ]
        await asyncio.gather(*tasks)
        assert len(server.writers) <= 2 * 3 and harness.service.server_connections.open_count <= 2


@on_loop
async def test_connection_of_a_cancelled_attempt_closes_before_the_next_attempt_is_sent(tmp_path):
    """Without hedging, the connection of one attempt must close before the next attempt is written."""
    async with (
        StubServer(None) as one,
        StubServer() as two,
        GatewayHarness(one, two, path=tmp_path) as harness,
    ):

        class SwitchingPolicy:
            def handle(self, now, event):
                if isinstance(event, api.Request):
                    return [api.Send(event.id, "h1")]
                return [api.Send(event.id, "h2")] if getattr(event, "result", "") == "cancelled" else []

        harness.service.policy = SwitchingPolicy()
        task = asyncio.create_task(harness.send_command(command()))
        await one.arrived.get()
        (attempt,) = harness.service.active_requests["r1"].active_attempts.values()
        duplicate_socket = socket.socket(fileno=os.dup(attempt.connection.descriptor))
        harness.service.cancel(api.Cancel("r1", 0))
        with pytest.raises(OSError):  # the socket was shut down at once, not in a later loop iteration
            duplicate_socket.send(b"x")
        duplicate_socket.close()
        assert await one.arrived.get() is None
        assert await task == CLIENT_REPLY and len(two.commands) == 1


@on_loop
async def test_cancelled_connects_do_not_count_toward_the_connection_limit(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        connections = harness.service.server_connections
        connections.max_connections = 2
        for _ in range(5):
            attempt = Attempt("h1", lambda attempt: command(), lambda attempt: None)
            connections.send(attempt, 3.0)
            connections.cancel_attempt(attempt, "cancelled")
            assert attempt.result == "connect_failed"
        assert await harness.send_command(command()) == CLIENT_REPLY
        assert len(server.commands) == 1


@pytest.mark.parametrize("one_packet", [True, False])
@on_loop
async def test_duplicate_response_is_not_taken_for_the_next_response(one_packet, tmp_path):
    """A duplicate response may still be unread in the socket when the next request is sent."""
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:
        for n in range(3):
            task = asyncio.create_task(harness.send_command(command(b"a%d" % n)))
            while not (arrived := await server.arrived.get()):
                pass
            response = b"*3\r\n$2\r\n%s\r\n$-1\r\n$-1\r\n" % arrived[2]
            writer = server.writers[-1]
            if one_packet:
                writer.write(response + response)
            else:  # two packets, of which the gateway reads the first alone
                writer.write(response)
                busy = [c for c in harness.service.server_connections.connections if c.attempt is not None]
                while any(c.attempt is not None for c in busy):
                    await asyncio.sleep(0)
                writer.write(response)
            assert await task == b"$2\r\na%d\r\n" % n


@on_loop
async def test_late_duplicate_response_is_not_taken_for_the_next_response(tmp_path, monkeypatch):
    """The duplicate arrives only after the next request was written, so a check for unread data misses it."""
    now = time.monotonic()
    for module in (attempt, server_connection, server_connections):
        monkeypatch.setattr(module, "monotonic", lambda: now)
    async with StubServer(None) as server, GatewayHarness(server, path=tmp_path) as harness:

        async def send_request(name):
            task = asyncio.create_task(harness.send_command(command(name)))
            while not await server.arrived.get():
                pass
            return task

        response_a, response_b = b"*3\r\n$1\r\na\r\n$-1\r\n$-1\r\n", b"*3\r\n$1\r\nb\r\n$-1\r\n$-1\r\n"
        task = await send_request(b"a")
        server.writers[0].write(response_a)
        assert await task == b"$1\r\na\r\n"
        now += 0.005
        task = await send_request(b"b")
        server.writers[0].write(response_a)
        server.writers[-1].write(response_b)
        assert await task == b"$1\r\nb\r\n"


@on_loop
async def test_connection_with_unread_data_is_not_reused(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        assert await harness.send_command(command(b"a")) == CLIENT_REPLY
        pool = harness.service.server_connections.pool_for("h1")
        (connection,) = pool.idle
        connection.idle_since -= 1.0
        assert connection.is_reusable()
        connection.transport.pause_reading()  # as if the event loop had not read it yet
        server.writers[0].write(b"*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n")
        await server.writers[0].drain()
        while connection.is_reusable():
            await asyncio.sleep(0)
        assert await harness.send_command(command(b"b")) == CLIENT_REPLY
        assert len(server.writers) == 2 and connection not in harness.service.server_connections.connections


@on_loop
async def test_exception_while_reading_a_response_ends_the_attempt(tmp_path, monkeypatch):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        with monkeypatch.context() as patch:
            patch.setattr("calicomast.net.server_connection.read_response", lambda *_: 1 / 0)
            assert (await harness.send_command(write_command(service_class=b"note"))).startswith(b"-ERR")
        assert not harness.service.server_connections.connections
        assert await harness.send_command(command(b"r2")) == CLIENT_REPLY


@on_loop
async def test_garbage_collected_connection_does_not_close_a_descriptor(tmp_path):
    """uvloop drops the transport of a cancelled connect without calling connection_lost.

    A socket object that the connection kept would then close a descriptor that is in use again.
    """
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        ours, theirs = socket.socketpair()

        class Transport(asyncio.Transport):
            def set_write_buffer_limits(self, high=None, low=None):
                pass

            def is_closing(self):
                return False

        connection = server_connection.ServerConnection(harness.service.server_connections.pool_for("h1"))
        connection.connection_made(Transport({"socket": ours}))
        assert connection.is_reusable()
        del connection
        gc.collect()
        theirs.send(b"x")
        assert ours.recv(1) == b"x"
        ours.close()
        theirs.close()


class IdleResettingServer(StubServer):
    """A server behind a device that drops idle connections.

    While `dropping`, the second request on a connection is reset. `connections_made` counts its connections.
    """

    def __init__(self):
        super().__init__()
        self.dropping, self.connections_made = True, 0

    async def serve(self, reader, writer):
        """Answers the requests of one connection; resets its second one while `dropping`."""
        self.connections_made += 1
        while data := await reader.read(65536):
            if data and self.dropping and writer in self.used:
                writer.transport.abort()
                return
            self.used.add(writer)
            writer.write(SERVER_REPLY)

    async def __aenter__(self):
        self.used = set()
        return await super().__aenter__()


@on_loop
async def test_connections_are_not_reused_after_an_idle_time_that_leads_to_resets(tmp_path):
    async with IdleResettingServer() as server, GatewayHarness(server, path=tmp_path) as harness:

        async def send_request(n, idle_time):
            """Sends a request after the idle connections have been idle for so many seconds."""
            for pool in harness.service.server_connections.pools.values():
                for connection in pool.idle:
                    connection.idle_since = time.monotonic() - idle_time
            return await harness.send_command(command(b"r%d" % n))

        replies = [await send_request(n, 1.0) for n in range(40)]
        assert replies.count(CLIENT_REPLY) >= 34 and replies[-20:] == [CLIENT_REPLY] * 20
        server.dropping, made_before = False, server.connections_made
        assert [await send_request(n, 0.05) for n in range(50, 60)] == [CLIENT_REPLY] * 10
        # Connections that were idle for less are still reused.
        assert server.connections_made <= made_before + 1


def test_random_resets_set_no_idle_limit():
    estimator = idle_loss.IdleLossEstimator()
    for n in range(400):
        lost = n % 11 == 0
        estimator.record(0.0, lost)
        estimator.record(0.03 * (1 + n % 60), lost)
    assert estimator.idle_limit == math.inf


def test_idle_limit_expires_as_the_counts_decay():
    estimator = idle_loss.IdleLossEstimator()
    for n in range(60):
        estimator.record(0.3, False)
        estimator.record(0.9 + n % 5, n % 2 == 0)
    assert 0.3 < estimator.idle_limit < 0.9
    estimator.decay(300.0)
    assert estimator.idle_limit == math.inf


class RawServer:
    """A server that the test drives by its sockets.

    Args:
        receive_buffer: bytes of the receive buffer; the system's default if it is None.
    """

    def __init__(self, receive_buffer=None):
        self.listener = socket.create_server(("127.0.0.1", 0))
        if receive_buffer:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]

    async def accept(self):
        """Accepts the next connection of the gateway."""
        connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        return connection

    @staticmethod
    def reset(connection):
        """Closes a connection with a TCP reset."""
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()


def policy_sending_first_to(server):
    """Returns a policy that sends each request to `server`, and to h2 after an attempt that never ran."""

    class RecordingPolicy:
        results = []

        def handle(self, now, event):
            if isinstance(event, api.Request):
                return [api.Send(event.id, server)]
            if isinstance(event, api.Outcome) and not event.final:
                self.results.append(event.result)
                not_run = event.result in ("connect_failed", "full")
                return [api.Send(event.id, "h2") if not_run else api.Fail(event.id)]
            return []

    return RecordingPolicy()


@on_loop
async def test_reset_between_the_reuse_check_and_the_write_counts_as_not_sent(tmp_path, monkeypatch):
    monkeypatch.setattr(server_connections, "REUSE_DELAY", 0.0)
    raw_server, loop = RawServer(), asyncio.get_running_loop()
    async with StubServer() as other, GatewayHarness(raw_server, other, path=tmp_path) as harness:
        harness.service.policy = policy = policy_sending_first_to("h1")
        task = asyncio.create_task(harness.send_command(command(b"a")))
        connection = await raw_server.accept()
        await loop.sock_recv(connection, 65536)
        await loop.sock_sendall(connection, SERVER_REPLY)
        assert await task == CLIENT_REPLY
        original = server_connection.ServerConnection.is_reusable

        def reset_after_check(self):
            reusable = original(self)
            raw_server.reset(connection)
            return reusable

        monkeypatch.setattr(server_connection.ServerConnection, "is_reusable", reset_after_check)
        assert await harness.send_command(write_command(service_class=b"note")) == CLIENT_REPLY
        assert policy.results == ["connect_failed"] and len(other.commands) == 1


def shrink_send_buffers(monkeypatch, max_write_time=60.0):
    """Makes the sockets of connections to servers take only a part of a long command at once.

    `max_write_time` is in seconds; by default there is enough even on a busy machine.
    """
    monkeypatch.setattr(rules, "MAX_WRITE_TIME", max_write_time)
    original = server_connection.ServerConnection.connection_made

    def with_small_send_buffer(self, transport):
        original(self, transport)
        with self.borrow_socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    monkeypatch.setattr(server_connection.ServerConnection, "connection_made", with_small_send_buffer)


@pytest.mark.parametrize(
    "read, result, answer", [(False, "connect_failed", CLIENT_REPLY), (True, "reset", b"-ERR failed\r\n")]
)
@on_loop
async def test_request_counts_as_possibly_executed_once_its_last_byte_is_written(
    read, result, answer, tmp_path, monkeypatch
):
    shrink_send_buffers(monkeypatch)
    raw_server, loop = RawServer(receive_buffer=4096), asyncio.get_running_loop()
    async with StubServer() as other, GatewayHarness(raw_server, other, path=tmp_path) as harness:
        harness.service.policy = policy = policy_sending_first_to("h1")
        fields = b"c=note,t=p,d=3000,units=1,spread=1,first=0"
        task = asyncio.create_task(
            harness.send_command(command(b"r1", fields, b"API.WRITE", body=b"x" * 60_000))
        )
        connection, got = await raw_server.accept(), b""
        while not harness.service.server_connections.connections or all(
            c.written for c in harness.service.server_connections.connections
        ):
            await asyncio.sleep(0)  # until a part of it is written
        while read and not got.endswith(b"x" * 60 + b"\r\n"):
            got += await loop.sock_recv(connection, 65536)
        while read and not all(c.written for c in harness.service.server_connections.connections):
            await asyncio.sleep(0)
        raw_server.reset(connection)
        assert await task == answer
        assert policy.results == [result] and len(other.commands) == (not read)


DEADLINE_SLACK = 0.15  # seconds by which the time told to a server may exceed what is left to the client
LONG_BODY = b"x" * 60_000  # more than the sockets of `shrink_send_buffers` take at once


async def partly_written_connection(harness):
    """Waits until a part of a command is written, and returns its connection."""
    while True:
        for connection in harness.service.server_connections.connections:
            if not connection.written:
                return connection
        await asyncio.sleep(0)


async def read_to_end(connection):
    """Reads what the gateway sends on a connection until it ends."""
    received = b""
    with contextlib.suppress(ConnectionError):
        while data := await asyncio.get_running_loop().sock_recv(connection, 65536):
            received += data
    return received


@on_loop
async def test_partly_written_attempt_is_not_completed_after_the_window_of_another(tmp_path, monkeypatch):
    # Guards against running a keyed request twice, as the rest of its command waited in a send buffer.
    shrink_send_buffers(monkeypatch)
    raw_server, window = RawServer(receive_buffer=4096), 0.3
    settings = settings_with_window(window, second_copies=True)
    async with (
        StubServer(b"") as other,
        GatewayHarness(raw_server, other, path=tmp_path, settings=settings) as harness,
    ):
        harness.service.policy = policy = TwoServerPolicy()
        fields = command_fields(c="write", k="77")
        reply = asyncio.create_task(
            harness.send_command(command(b"r1", fields, b"API.WRITE", body=LONG_BODY))
        )
        connection = await raw_server.accept()
        await other.arrived.get()
        await asyncio.sleep(window)  # the server reads nothing for so long
        received = await read_to_end(connection)
        assert received and not received.endswith(LONG_BODY[:60] + b"\r\n")
        assert (await reply).startswith(b"-ERR")
        assert policy.results == {"h1": "connect_failed", "h2": "reset"}


@pytest.mark.parametrize("max_write_time", [rules.MAX_WRITE_TIME, 60.0])
@on_loop
async def test_partly_written_attempt_is_not_completed_once_its_deadline_is_stale(
    max_write_time, tmp_path, monkeypatch
):
    # Guards against telling a server time that the client no longer has.
    shrink_send_buffers(monkeypatch, max_write_time)
    raw_server, loop = RawServer(receive_buffer=4096), asyncio.get_running_loop()
    async with (
        StubServer() as other,
        GatewayHarness(raw_server, other, path=tmp_path) as harness,
    ):
        harness.service.policy = policy_sending_first_to("h1")
        fields = command_fields(c="note")
        reply = asyncio.create_task(
            harness.send_command(command(b"r1", fields, b"API.WRITE", body=LONG_BODY))
        )
        connection = await raw_server.accept()
        await partly_written_connection(harness)
        await asyncio.sleep(DEADLINE_SLACK)
        if max_write_time < DEADLINE_SLACK:
            received = await read_to_end(connection)
            assert received and not received.endswith(LONG_BODY[:60] + b"\r\n")
            assert await reply == CLIENT_REPLY and len(other.commands) == 1  # as nothing ran here
        else:
            received = b""
            while not received.endswith(LONG_BODY[:60] + b"\r\n"):
                received += await loop.sock_recv(connection, 65536)
            await loop.sock_sendall(connection, SERVER_REPLY)
            assert await reply == CLIENT_REPLY and not other.commands


@on_loop
async def test_attempt_of_which_nothing_is_written_yet_ends_when_its_server_drains(tmp_path, monkeypatch):
    # Guards against sending to a draining server what waited in a send buffer.
    original = server_connection.ServerConnection.connection_made

    def with_full_socket(self, transport):
        original(self, transport)
        with self.borrow_socket() as sock, contextlib.suppress(BlockingIOError):
            while True:
                sock.send(b"x" * 65536, socket.MSG_DONTWAIT)

    monkeypatch.setattr(server_connection.ServerConnection, "connection_made", with_full_socket)
    monkeypatch.setattr(rules, "MAX_WRITE_TIME", 60.0)  # only the drain ends the attempt
    raw_server = RawServer(receive_buffer=4096)
    async with (
        StubServer() as other,
        GatewayHarness(raw_server, other, path=tmp_path) as harness,
    ):
        harness.service.policy = policy_sending_first_to("h1")
        reply = asyncio.create_task(harness.send_command(write_command(service_class=b"note")))
        accepted = await raw_server.accept()
        await partly_written_connection(harness)
        monkeypatch.setattr(server_connection.ServerConnection, "connection_made", original)
        harness.discovery.changes.put_nowait([server_entry(raw_server, "h1", state="draining")])
        assert await reply == CLIENT_REPLY and len(other.commands) == 1
        accepted.close()


@on_loop
async def test_command_of_an_ended_attempt_does_not_reach_a_server_that_reads_late(tmp_path):
    # Guards against beginning an attempt after its client has gone, as its command waited in the system.
    raw_server, command_end = RawServer(receive_buffer=4096), LONG_BODY[:60] + b"\r\n"
    async with GatewayHarness(raw_server, path=tmp_path) as harness:
        _, writer = await harness.connect()
        fields = command_fields(c="note")
        writer.write(command(b"r1", fields, b"API.WRITE", body=LONG_BODY))
        connection = await raw_server.accept()
        while not any(
            each.attempt and each.written for each in harness.service.server_connections.connections
        ):
            await asyncio.sleep(0)
        writer.close()
        while harness.service.active_requests:
            await asyncio.sleep(0)
        received = await read_to_end(connection)
        assert received and not received.endswith(command_end)


@on_loop
async def test_response_before_the_whole_command_is_written_is_not_served(tmp_path, monkeypatch):
    # Guards against serving the late second response of another request.
    shrink_send_buffers(monkeypatch)
    raw_server, loop = RawServer(receive_buffer=4096), asyncio.get_running_loop()
    async with StubServer() as other, GatewayHarness(raw_server, other, path=tmp_path) as harness:
        harness.service.policy = policy = policy_sending_first_to("h1")
        fields = command_fields(c="note")
        reply = asyncio.create_task(
            harness.send_command(command(b"r1", fields, b"API.WRITE", body=LONG_BODY))
        )
        connection = await raw_server.accept()
        await partly_written_connection(harness)
        await loop.sock_sendall(connection, b"*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n")
        assert await reply == CLIENT_REPLY and len(other.commands) == 1
        assert policy.results == ["connect_failed"]
        assert not (await read_to_end(connection)).endswith(LONG_BODY[:60] + b"\r\n")
