"""Calls to the counter: late, odd and missing answers."""

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

from calicomast.net import counter as calls
from calicomast.net.counter import CONNECTION_COUNT


@on_loop
async def test_a_late_answer_of_the_counter_keeps_its_place(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        counter, results = node.service.counter, asyncio.Queue()

        def add(amount):
            counter.add(8, amount, 4, lambda name, *told: results.put_nowait(told[:2]))

        while counter.lines[0].transport is None:
            await asyncio.sleep(0)
        node.counter.silent = True
        add(1)
        assert (await results.get())[0] == "timeout"
        node.counter.silent = False
        add(2)
        node.counter.answer_all()  # the first answer comes now, before or behind the second's request
        assert await results.get() == ("ok", 3.0)
        assert [words[1:] for words in node.counter.calls] == [[b"8", b"1", b"4000"], [b"8", b"2", b"4000"]]


@on_loop
async def test_the_counter_is_connected_again_and_unwritten_calls_are_told(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        counter, results = node.service.counter, asyncio.Queue()

        def add():
            counter.add(8, 1, 4, lambda name, result, total, elapsed: results.put_nowait(result))

        while len(node.counter.writers) < CONNECTION_COUNT or any(
            line.transport is None for line in counter.lines
        ):
            await asyncio.sleep(0)
        node.counter.silent = True
        add()
        await node.counter.arrived.get()
        node.counter.server.close()
        for writer in node.counter.writers:
            writer.transport.abort()
        assert await results.get() == "timeout"  # it was written, so it may have been added
        while any(line.transport for line in counter.lines):
            await asyncio.sleep(0)
        add()
        assert await results.get() == "connect_failed"
        node.counter.silent = False
        node.counter.server = await asyncio.start_server(
            node.counter.handle_connection, "127.0.0.1", node.counter.port
        )
        while counter.lines[0].transport is None:
            await asyncio.sleep(0.01)
        add()
        assert await results.get() == "ok"


@pytest.mark.parametrize(
    "odd", [b"ok\r\n", b"ok many\r\n", b"pong\r\n", b"ok inf\r\n", b"ok 1_0\r\n", b"x" * 5000, b"what\r\n"]
)
@on_loop
async def test_odd_answers_of_the_counter_cost_only_the_connection(odd, tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        counter, results = node.service.counter, asyncio.Queue()
        while counter.lines[0].transport is None:
            await asyncio.sleep(0)
        old, node.counter.silent = counter.lines[0].transport, True
        counter.add(8, 1, 4, lambda name, result, total, elapsed: results.put_nowait(result))
        await node.counter.arrived.get()
        for writer in node.counter.writers:
            writer.write(odd)
        assert await results.get() == "spoilt"
        while counter.lines[0].transport in (None, old):
            await asyncio.sleep(0.01)
        assert await node.send_command(command()) == CLIENT_REPLY


@on_loop
async def test_calls_to_an_old_address_get_their_answers_and_its_lines_end(tmp_path):
    async with StubCounter() as new, StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        counter, results = node.service.counter, asyncio.Queue()

        def add(amount):
            counter.add(8, amount, 4, lambda name, *told: results.put_nowait(told[:2]))

        counter.timeout = 10.0
        while any(line.transport is None for line in counter.lines):
            await asyncio.sleep(0)
        old, node.counter.silent = list(counter.lines), True
        add(1)
        await node.counter.arrived.get()
        counter.change_address(("127.0.0.1", new.port))
        counter.change_address(("127.0.0.1", new.port))  # twice in a row does no harm
        while counter.next:
            await asyncio.sleep(0.001)
        add(5)
        assert (await results.get()) == ("ok", 5.0) and [c[2] for c in new.calls] == [b"5"]
        node.counter.answer_all()
        assert (await results.get()) == ("ok", 1.0)
        await asyncio.wait([line.task for line in old])
        assert all(line.transport is None or line.transport.is_closing() for line in old)


@on_loop
async def test_a_line_that_is_made_again_is_stood_in_for(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        counter, results = node.service.counter, asyncio.Queue()

        def add():
            counter.add(8, 1, 4, lambda name, result, total, elapsed: results.put_nowait((result, total)))

        while any(line.transport is None for line in counter.lines):
            await asyncio.sleep(0)
        node.counter.silent = True
        add()
        await node.counter.arrived.get()
        ((spoilt, _),) = node.counter.held_replies
        spoilt.write(b"ok {}\r\n")
        assert (await results.get())[0] == "spoilt"  # it was added, but what it made is not known
        node.counter.silent = False
        add()
        assert await results.get() == ("ok", 2.0)


@on_loop
async def test_rounding_of_totals_is_not_taken_for_lost_counts(tmp_path):
    """Amounts and totals have seven digits on the wire; what is missing by them was never lost."""
    few = {**SETTINGS, "plans": [{"name": "p", "rate": 1.0, "most_at_once": 40.0}]}
    async with StubServer() as host, GatewayHarness(host, path=tmp_path, settings=few) as node:
        while any(line.transport is None for line in node.service.counter.lines):
            await asyncio.sleep(0)
        await node.send_command(command())
        (acct,) = node.service.policy.tenant_quotas.values()
        now = acct.window_start + acct.window_length + 1.0  # early in a window, whenever this runs
        node.service.clock = lambda: now
        await node.send_command(command(b"r"))
        acct.debt = 10 / 3  # an overdraft of the last window, brought along once the first call is answered
        replies = [await node.send_command(command(b"r%d" % n)) for n in range(90)]
        assert len(node.counter.calls) > 3
        assert max(node.counter.totals.values()) < 6 + 1.1 * replies.count(CLIENT_REPLY)


@on_loop
async def test_without_the_counter_a_customer_keeps_the_part_that_passed_here_before(tmp_path):
    two = {**SETTINGS, "group_size": 2, "plans": [{"name": "p", "rate": 10.0, "most_at_once": 20.0}]}
    async with StubServer() as host, GatewayHarness(host, path=tmp_path, settings=two) as node:
        lines = node.service.counter.lines
        while any(line.transport is None for line in lines):
            await asyncio.sleep(0)

        async def ask(n):
            return (await node.send_command(command(b"r%d" % n, command_fields(spread=2)))) == CLIENT_REPLY

        await ask(1)
        (acct,) = node.service.policy.tenant_quotas.values()
        # At the same place of its windows, whenever this runs.
        now = acct.window_start + acct.window_length + 0.5
        for window in range(4):  # all that the counter tells of is used here, though two could
            node.service.clock = lambda at=now + 2 * window: at
            for n in range(14):
                await ask(100 * window + n)
        node.counter.server.close()
        for writer in node.counter.writers:
            writer.transport.abort()
        while any(line.transport for line in lines):
            await asyncio.sleep(0)
        node.service.clock = lambda: now + 20
        assert sum([await ask(1000 + n) for n in range(20)]) > 15


@on_loop
async def test_a_connection_is_not_held_dead_while_a_call_has_time(tmp_path):
    patient = SETTINGS | {"specifics": SETTINGS["specifics"] | {"counter_timeout": 2_000_000_000}}
    async with StubServer() as host, GatewayHarness(host, path=tmp_path, settings=patient) as node:
        counter, results = node.service.counter, asyncio.Queue()
        while counter.lines[0].transport is None:
            await asyncio.sleep(0)
        node.counter.silent = True
        counter.add(8, 1, 4, lambda name, *told: results.put_nowait(told[:2]))
        await node.counter.arrived.get()
        (line,) = [line for line in counter.lines if line.calls and line.calls[0].name == 8]
        line.calls[0].started -= 1.9
        line.check()
        assert not line.transport.is_closing()
        node.counter.answer_all()
        assert await results.get() == ("ok", 1.0)
        counter.add(8, 1, 4, lambda name, *told: results.put_nowait(told[:2]))
        await node.counter.arrived.get()
        line.calls[0].started -= 4.1
        line.check()
        assert line.transport is None or line.transport.is_closing()


class Expiring:
    """asyncio, but for its clock: `caught` has each time-out, to be brought to its end by the test, and a
    pause lasts until `go` is set."""

    def __init__(self):
        self.caught, self.go = [], asyncio.Event()

    def __getattr__(self, name):
        return getattr(asyncio, name)

    def timeout(self, seconds):
        self.caught.append(asyncio.timeout(None))
        return self.caught[-1]

    async def sleep(self, seconds):
        await self.go.wait()


@on_loop
async def test_a_connection_that_comes_up_as_its_time_ends_is_not_written_to(monkeypatch):
    """The loop has told of the connection and then closes it, without telling that it is lost."""
    monkeypatch.setattr(calls, "asyncio", expiring := Expiring())
    async with StubCounter() as stub:
        ups, ended, again = [], [], asyncio.Event()

        def up(line):
            ups.append(line)
            if len(ups) == 1:
                assert line.write(calls.Call(1, lambda *told: ended.append(told[1])), b"incr 1 1 1000\r\n")
                expiring.caught[0].reschedule(0.0)
            else:
                again.set()

        line = calls.Line(("127.0.0.1", stub.port), up, 10.0)
        while len(ups) < 1 or not expiring.caught[0].expired():
            await asyncio.sleep(0)
        assert not line.write(calls.Call(2, lambda *told: None), b"incr 2 1 1000\r\n")  # another is asked
        assert ended == ["timeout"] and not line.calls  # it may have been added
        expiring.go.set()
        await again.wait()
        done = asyncio.get_running_loop().create_future()
        assert line.write(calls.Call(3, lambda *told: done.set_result(told[:3])), b"incr 3 1 1000\r\n")
        assert await done == (3, "ok", 1.0)
        line.close()
