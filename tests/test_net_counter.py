"""The counter client: late, malformed and missing responses."""

import asyncio

import pytest
from netkit import (
    CLIENT_REPLY,
    SETTINGS,
    GatewayHarness,
    StubCounter,
    StubServer,
    command,
    command_fields,
    on_loop,
)

from calicomast.net import counter as counter_module
from calicomast.net.counter import CONNECTION_COUNT


@on_loop
async def test_late_response_is_matched_to_the_call_that_timed_out(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        counter, results = harness.service.counter, asyncio.Queue()

        def add(amount):
            counter.add(8, amount, 4, lambda name, *outcome: results.put_nowait(outcome[:2]))

        while counter.connections[0].transport is None:
            await asyncio.sleep(0)
        harness.counter.silent = True
        add(1)
        assert (await results.get())[0] == "timeout"
        harness.counter.silent = False
        add(2)
        harness.counter.answer_all()  # the first response arrives now, before or after the second request
        assert await results.get() == ("ok", 3.0)
        assert [words[1:] for words in harness.counter.calls] == [
            [b"8", b"1", b"4000"],
            [b"8", b"2", b"4000"],
        ]


@on_loop
async def test_client_reconnects_and_reports_calls_that_were_not_written(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        counter, results = harness.service.counter, asyncio.Queue()

        def add():
            counter.add(8, 1, 4, lambda name, result, total, elapsed: results.put_nowait(result))

        while len(harness.counter.writers) < CONNECTION_COUNT or any(
            connection.transport is None for connection in counter.connections
        ):
            await asyncio.sleep(0)
        harness.counter.silent = True
        add()
        await harness.counter.arrived.get()
        harness.counter.server.close()
        for writer in harness.counter.writers:
            writer.transport.abort()
        assert await results.get() == "timeout"  # it was written, so the counter may have added it
        while any(connection.transport for connection in counter.connections):
            await asyncio.sleep(0)
        add()
        assert await results.get() == "connect_failed"
        harness.counter.silent = False
        harness.counter.server = await asyncio.start_server(
            harness.counter.handle_connection, "127.0.0.1", harness.counter.port
        )
        while counter.connections[0].transport is None:
            await asyncio.sleep(0.01)
        add()
        assert await results.get() == "ok"


@pytest.mark.parametrize(
    "malformed",
    [b"ok\r\n", b"ok many\r\n", b"pong\r\n", b"ok inf\r\n", b"ok 1_0\r\n", b"x" * 5000, b"what\r\n"],
)
@on_loop
async def test_malformed_response_closes_only_its_connection(malformed, tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        counter, results = harness.service.counter, asyncio.Queue()
        while counter.connections[0].transport is None:
            await asyncio.sleep(0)
        old_transport, harness.counter.silent = counter.connections[0].transport, True
        counter.add(8, 1, 4, lambda name, result, total, elapsed: results.put_nowait(result))
        await harness.counter.arrived.get()
        for writer in harness.counter.writers:
            writer.write(malformed)
        assert await results.get() == "spoilt"
        while counter.connections[0].transport in (None, old_transport):
            await asyncio.sleep(0.01)
        assert await harness.send_command(command()) == CLIENT_REPLY


@on_loop
async def test_calls_to_an_old_address_are_answered_before_its_connections_close(tmp_path):
    async with StubCounter() as new, StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        counter, results = harness.service.counter, asyncio.Queue()

        def add(amount):
            counter.add(8, amount, 4, lambda name, *outcome: results.put_nowait(outcome[:2]))

        counter.timeout = 10.0
        while any(connection.transport is None for connection in counter.connections):
            await asyncio.sleep(0)
        old_connections, harness.counter.silent = list(counter.connections), True
        add(1)
        await harness.counter.arrived.get()
        counter.change_address(("127.0.0.1", new.port))
        # A second change before the first has taken effect must be harmless.
        counter.change_address(("127.0.0.1", new.port))
        while counter.replacements:
            await asyncio.sleep(0.001)
        add(5)
        assert (await results.get()) == ("ok", 5.0) and [c[2] for c in new.calls] == [b"5"]
        harness.counter.answer_all()
        assert (await results.get()) == ("ok", 1.0)
        await asyncio.wait([connection.task for connection in old_connections])
        assert all(
            connection.transport is None or connection.transport.is_closing()
            for connection in old_connections
        )


@on_loop
async def test_another_connection_is_used_while_one_reconnects(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        counter, results = harness.service.counter, asyncio.Queue()

        def add():
            counter.add(8, 1, 4, lambda name, result, total, elapsed: results.put_nowait((result, total)))

        while any(connection.transport is None for connection in counter.connections):
            await asyncio.sleep(0)
        harness.counter.silent = True
        add()
        await harness.counter.arrived.get()
        ((writer, _),) = harness.counter.held_replies
        writer.write(b"ok {}\r\n")
        assert (await results.get())[0] == "spoilt"  # it was added, but the total is unknown
        harness.counter.silent = False
        add()
        assert await results.get() == ("ok", 2.0)


@on_loop
async def test_rounded_totals_are_not_taken_for_lost_counts(tmp_path):
    """Amounts and totals have seven digits on the wire. A rounding difference is not a lost count."""
    small_plan = {**SETTINGS, "plans": [{"name": "p", "rate": 1.0, "most_at_once": 40.0}]}
    async with StubServer() as server, GatewayHarness(server, path=tmp_path, settings=small_plan) as harness:
        while any(connection.transport is None for connection in harness.service.counter.connections):
            await asyncio.sleep(0)
        await harness.send_command(command())
        (tenant_quota,) = harness.service.policy.tenant_quotas.values()
        # Early in a window, at whatever time the test runs.
        now = tenant_quota.window_start + tenant_quota.window_length + 1.0
        harness.service.clock = lambda: now
        await harness.send_command(command(b"r"))
        # An overdraft of the last window, carried over once the first call is answered.
        tenant_quota.debt = 10 / 3
        replies = [await harness.send_command(command(b"r%d" % n)) for n in range(90)]
        assert len(harness.counter.calls) > 3
        assert max(harness.counter.totals.values()) < 6 + 1.1 * replies.count(CLIENT_REPLY)


@on_loop
async def test_tenant_keeps_its_recent_share_here_while_the_counter_is_down(tmp_path):
    two_gateways = {**SETTINGS, "group_size": 2, "plans": [{"name": "p", "rate": 10.0, "most_at_once": 20.0}]}
    async with (
        StubServer() as server,
        GatewayHarness(server, path=tmp_path, settings=two_gateways) as harness,
    ):
        connections = harness.service.counter.connections
        while any(connection.transport is None for connection in connections):
            await asyncio.sleep(0)

        async def ask(n):
            return (await harness.send_command(command(b"r%d" % n, command_fields(spread=2)))) == CLIENT_REPLY

        await ask(1)
        (tenant_quota,) = harness.service.policy.tenant_quotas.values()
        # At the same offset in its windows, at whatever time the test runs.
        now = tenant_quota.window_start + tenant_quota.window_length + 0.5
        for window in range(4):  # this gateway alone uses all that the counter reports, though two share it
            harness.service.clock = lambda at=now + 2 * window: at
            for n in range(14):
                await ask(100 * window + n)
        harness.counter.server.close()
        for writer in harness.counter.writers:
            writer.transport.abort()
        while any(connection.transport for connection in connections):
            await asyncio.sleep(0)
        harness.service.clock = lambda: now + 20
        assert sum([await ask(1000 + n) for n in range(20)]) > 15


@on_loop
async def test_silence_timeout_is_not_shorter_than_the_call_timeout(tmp_path):
    long_timeout = SETTINGS | {"specifics": SETTINGS["specifics"] | {"counter_timeout": 2_000_000_000}}
    async with (
        StubServer() as server,
        GatewayHarness(server, path=tmp_path, settings=long_timeout) as harness,
    ):
        counter, results = harness.service.counter, asyncio.Queue()
        while counter.connections[0].transport is None:
            await asyncio.sleep(0)
        harness.counter.silent = True
        counter.add(8, 1, 4, lambda name, *outcome: results.put_nowait(outcome[:2]))
        await harness.counter.arrived.get()
        (connection,) = [c for c in counter.connections if c.pending_calls and c.pending_calls[0].name == 8]
        connection.pending_calls[0].started_at -= 1.9
        connection.check()
        assert not connection.transport.is_closing()
        harness.counter.answer_all()
        assert await results.get() == ("ok", 1.0)
        counter.add(8, 1, 4, lambda name, *outcome: results.put_nowait(outcome[:2]))
        await harness.counter.arrived.get()
        connection.pending_calls[0].started_at -= 4.1
        connection.check()
        assert connection.transport is None or connection.transport.is_closing()


class AsyncioWithoutClock:
    """The asyncio module with timeouts and sleeps under the test's control.

    `timeouts` holds each timeout context, which expires when the test reschedules it. A sleep lasts until
    `resume` is set.
    """

    def __init__(self):
        self.timeouts, self.resume = [], asyncio.Event()

    def __getattr__(self, name):
        return getattr(asyncio, name)

    def timeout(self, seconds):
        self.timeouts.append(asyncio.timeout(None))
        return self.timeouts[-1]

    async def sleep(self, seconds):
        await self.resume.wait()


@on_loop
async def test_connection_established_as_its_timeout_expires_is_not_used(monkeypatch):
    """The timeout of a connect can expire just after connection_made.

    The event loop then closes the connection without calling connection_lost.
    """
    monkeypatch.setattr(counter_module, "asyncio", fake_asyncio := AsyncioWithoutClock())
    async with StubCounter() as stub:
        connected, ended, again = [], [], asyncio.Event()

        def on_connected(connection):
            connected.append(connection)
            if len(connected) == 1:
                assert connection.write(
                    counter_module.Call(1, lambda *outcome: ended.append(outcome[1])), b"incr 1 1 1000\r\n"
                )
                fake_asyncio.timeouts[0].reschedule(0.0)
            else:
                again.set()

        connection = counter_module.CounterConnection(("127.0.0.1", stub.port), on_connected, 10.0)
        while len(connected) < 1 or not fake_asyncio.timeouts[0].expired():
            await asyncio.sleep(0)
        # The connection is not written to, so the client uses another one.
        assert not connection.write(counter_module.Call(2, lambda *outcome: None), b"incr 2 1 1000\r\n")
        # The first call was written, so the counter may have added it.
        assert ended == ["timeout"] and not connection.pending_calls
        fake_asyncio.resume.set()
        await again.wait()
        done = asyncio.get_running_loop().create_future()
        assert connection.write(
            counter_module.Call(3, lambda *outcome: done.set_result(outcome[:3])), b"incr 3 1 1000\r\n"
        )
        assert await done == (3, "ok", 1.0)
        connection.close()
