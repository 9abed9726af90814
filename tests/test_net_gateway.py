"""Each request's one answer, the module's failures, timers, the end."""

import asyncio
import logging
import socket
import time

import pytest
from netkit import (
    CLIENT_REPLY,
    SERVER_REPLY,
    SETTINGS,
    GatewayHarness,
    SaturatedServer,
    StubServer,
    command,
    command_fields,
    on_loop,
    propagated_deadline_ms,
    read_reply,
    server_entry,
    write_command,
)

from calicomast import interface as api
from calicomast.net import clients, gateway, server_connections
from calicomast.net.requests import parse_request


@on_loop
async def test_serves_the_value_as_the_host_gave_it(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        host.answer = b"*3\r\n$6\r\na\r\nb\x00c\r\n:42\r\n$18\r\nactive=1,waiting=0\r\n"
        assert await node.send_command(command()) == b"$6\r\na\r\nb\x00c\r\n"
        assert host.commands[0][:3] == [b"API.READ", b"00000000b4d65521", b"r1"]
        fields = dict(f.split(b"=") for f in host.commands[0][3].split(b","))
        assert 0 < int(fields.pop(b"d")) < 3000  # as long as the gateway waits, less than the client does
        assert fields == {b"c": b"read", b"t": b"p", b"units": b"1", b"spread": b"1", b"first": b"0"}


@on_loop
async def test_a_silent_host_is_answered_for_before_the_client_gives_up(tmp_path, monkeypatch):
    monkeypatch.setattr(gateway, "RESPONSE_MARGIN", 2.0)  # a margin that no busy machine eats up
    async with StubServer(answer=None) as host, GatewayHarness(host, path=tmp_path) as node:
        began = time.monotonic()
        # it may have run: no refusal
        assert (await node.send_command(write_command(cls=b"note", d=2300))).startswith(b"-ERR")
        assert time.monotonic() - began < 2.3
        assert len(host.commands) == 1


@on_loop
async def test_a_refusal_tells_when_to_come_back_at_once(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        small, replies = command_fields(t="small"), []
        began = time.monotonic()
        for n in range(4):
            replies.append(await node.send_command(command(b"r%d" % n, fields=small)))
        assert replies[0] == CLIENT_REPLY and replies[-1].startswith(b"-BUSY ")
        assert 0 < int(replies[-1].split()[1]) <= 2000
        assert time.monotonic() - began < 3.0


@on_loop
async def test_an_exception_in_the_module_fails_that_request_only(tmp_path, caplog):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        module, real = node.service.policy, node.service.policy.handle

        class Broken:
            def handle(self, now, event):
                if getattr(event, "id", "") == "bad":
                    raise RuntimeError("broken")
                return real(now, event)

        node.service.policy = Broken()
        with caplog.at_level(logging.CRITICAL):
            assert await node.send_command(command(b"bad")) == b"-ERR failed\r\n"
            assert await node.send_command(command(b"good")) == CLIENT_REPLY
        assert module.requests == {} and not node.service.active_requests


@on_loop
async def test_a_module_that_says_nothing_does_not_lose_the_request(tmp_path, monkeypatch):
    monkeypatch.setattr(gateway, "DEADLINE_GUARD_MARGIN", 2.0)  # as above
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:

        class Mute:
            def handle(self, now, event):
                return []

        node.service.policy = Mute()
        began = time.monotonic()
        assert await node.send_command(command(fields=command_fields(d="2300"))) == b"-ERR failed\r\n"
        assert time.monotonic() - began < 2.3


@on_loop
async def test_a_timer_never_reaches_the_module_early(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:

        class Clocked:
            def __init__(self):
                self.early, self.seen, self.done = [], 0, asyncio.Event()

            def handle(self, now, event):
                self.early += [now - due[event.label]] if now < due[event.label] else []
                self.seen += 1
                if self.seen == len(due):
                    self.done.set()
                return []

        node.service.policy = clocked = Clocked()
        due = {}
        for n in range(300):
            delay = 0.0101 + n * 0.00037
            due[n] = node.service.clock() + delay
            node.service.set_timer(api.SetTimer(delay, n))
        await clocked.done.wait()
        assert clocked.early == []


@on_loop
async def test_the_end_serves_what_was_taken_and_closes(tmp_path):
    async with StubServer(answer=None) as host, GatewayHarness(host, path=tmp_path) as node:
        _, idle_writer = idle = await node.connect()
        reader, writer = await node.connect()
        writer.write(command(b"before"))
        await host.arrived.get()
        ending = asyncio.create_task(node.service.stop())
        await asyncio.sleep(0)
        late_reader, late_writer = await node.connect()  # connections still come for a while
        late_writer.write(command(b"after"))
        while (got := await host.arrived.get()) is None or got[2] != b"after":
            pass
        assert await read_reply(idle[0]) == b""  # idle ones are closed, busy ones not yet
        assert not ending.done()
        for out in host.writers:
            out.write(SERVER_REPLY)
        assert await read_reply(reader) == CLIENT_REPLY and await read_reply(late_reader) == CLIENT_REPLY
        assert await read_reply(reader) == b"" and await read_reply(late_reader) == b""
        await ending
        with pytest.raises(OSError):
            await node.connect()


@on_loop
async def test_the_end_comes_before_the_kill_that_follows_the_longest_deadline(tmp_path):
    deadline = 0.6
    settings = SETTINGS | {"services": [c | {"deadline": int(deadline * 1e9)} for c in SETTINGS["services"]]}
    async with (
        StubServer(answer=None) as host,
        GatewayHarness(host, path=tmp_path, settings=settings) as node,
    ):
        reader, writer = await node.connect()
        writer.write(command(b"before", fields=command_fields(d="20000")))
        await host.arrived.get()
        assert node.service.shutdown_timeout + gateway.FINAL_FLUSH_TIMEOUT < deadline + 0.7
        late = asyncio.get_running_loop().create_future()  # far beyond, for a busy machine's sake
        asyncio.get_running_loop().call_later(deadline + 2.4, late.set_result, None)
        ending = asyncio.create_task(node.service.stop())
        while node.service.clients.listener.is_serving():
            await asyncio.sleep(0)
        # on a connection that is open still
        writer.write(command(b"after", fields=command_fields(d="20000")))
        assert [await read_reply(reader) for _ in range(3)] == [b"-ERR failed\r\n"] * 2 + [b""]
        await ending
        assert not late.done()


@on_loop
async def test_the_end_waits_for_answers_to_be_taken(tmp_path):
    value = b"$60000\r\n%s\r\n" % (b"v" * 60000)
    async with (
        StubServer(b"*3\r\n%s$-1\r\n$-1\r\n" % value) as host,
        GatewayHarness(host, path=tmp_path) as node,
    ):
        reader, writer = await node.connect()
        writer.transport.pause_reading()
        asked = 0
        while not (there := node.service.clients.connections) or not any(c.writes_paused for c in there):
            writer.write(command(b"r%d" % asked))
            asked += 1
            await asyncio.sleep(0.001)
        ending = asyncio.create_task(node.service.stop())
        while node.service.clients.listener.is_serving() or node.service.active_requests:
            await asyncio.sleep(0)
        for _ in range(1000):  # turns, in which all that does not wait for the client comes to its end
            await asyncio.sleep(0)
        assert not ending.done()
        writer.transport.resume_reading()
        taken = [await read_reply(reader) for _ in range(asked + 1)]
        assert set(taken[:-1]) <= {value, b"-BUSY\r\n"} and taken[-1] == b"" and value in taken
        await ending
        assert not node.service.clients.connections and not node.service.active_requests


@on_loop
async def test_a_second_copy_is_not_sent_where_it_is_not_allowed(tmp_path):
    async with StubServer(None) as one, StubServer() as two, GatewayHarness(one, two, path=tmp_path) as node:

        class Doubler:
            results = []

            def handle(self, now, event):
                if isinstance(event, api.Request):
                    return [api.Send(event.id, "h1"), api.Send(event.id, "h2")]
                if isinstance(event, api.Outcome):
                    self.results.append(event.result)
                    return [api.Fail(event.id)]
                return []

        node.service.policy = Doubler()
        assert (await node.send_command(command())).startswith(b"-ERR")
        assert Doubler.results[0] == "moot" and not two.commands


@pytest.mark.parametrize("turned_away", [False, True], ids=["refuses connections", "turns requests away"])
@on_loop
async def test_a_host_that_fails_at_once_does_not_draw_what_waits_for_a_busy_one(turned_away, tmp_path):
    asked = 8  # twice what the sound host may get at once
    async with StubServer(answer=None) as sound, StubServer(answer=b"-BUSY\r\n") as failing:
        async with GatewayHarness(sound, failing, path=tmp_path) as node:
            if not turned_away:
                failing.server.close()  # its process died, and the list does not tell it yet
            module, tried, came = node.service.policy.handle, [], []

            def handle(now, event):
                came.extend([event] * isinstance(event, api.Request))
                actions = module(now, event)
                tried.extend(a for a in actions if isinstance(a, api.Send) and a.server == "h2")
                return actions

            node.service.policy.handle = handle
            asks = [asyncio.ensure_future(node.send_command(command(b"r%d" % n))) for n in range(asked)]
            while len(came) < asked or not sound.commands:
                await asyncio.sleep(0)
            sound.answer = SERVER_REPLY
            for writer in sound.writers:  # those that it has; the others follow
                writer.write(SERVER_REPLY)
            replies = await asyncio.gather(*asks)
            assert replies == [CLIENT_REPLY] * asked
            assert len(tried) < asked / 2


async def left_unread(node, *events):
    """A client that has asked and closed, of which the loop reads nothing more; its work."""
    client = socket.create_connection(("127.0.0.1", node.port))
    client.sendall(command())
    while not node.service.active_requests:
        await asyncio.sleep(0)
    (work,) = node.service.active_requests.values()
    for event in events:
        await event()
    work.slot.connection.transport.pause_reading()
    client.close()
    return work


class Held:
    """A module that decides nothing by itself."""

    def __init__(self):
        self.seen = []

    def handle(self, now, event):
        self.seen.append(event)
        return []


@on_loop
async def test_no_first_attempt_begins_for_a_client_whose_end_lies_unread(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:
        node.service.policy = module = Held()
        work = await left_unread(node)
        node.service.send(api.Send(work.id, "h1"))
        assert (
            work.finished
            and not work.active_attempts
            and not node.service.server_connections.pool_for("h1").connecting
        )
        (ended,) = [e for e in module.seen if isinstance(e, api.Outcome)]
        assert (ended.id, ended.attempt, ended.result, ended.final) == (work.id, 0, "moot", True)
        assert not node.service.active_requests


@on_loop
async def test_no_further_attempt_begins_for_a_client_whose_end_lies_unread(tmp_path):
    async with (
        StubServer(None) as one,
        StubServer(None) as two,
        GatewayHarness(one, two, path=tmp_path) as node,
    ):

        async def begun():
            await asyncio.wait(
                [asyncio.ensure_future(h.arrived.get()) for h in (one, two)],
                return_when=asyncio.FIRST_COMPLETED,
            )

        work = await left_unread(node, begun)
        first, other = (one, two) if one.commands else (two, one)
        first.writers[0].write(b"-BUSY\r\n")  # never ran: it would go to the other one
        while node.service.active_requests:
            await asyncio.sleep(0)
        assert work.finished and work.attempts_created == 2 and not other.commands
        assert not node.service.policy.requests and not node.service.policy.balancer.attempts_in_flight


@on_loop
async def test_no_attempt_begins_on_a_connection_that_came_up_after_the_client_left(tmp_path):
    async with StubServer() as host, GatewayHarness(host, path=tmp_path) as node:

        async def begun():
            assert node.service.server_connections.pool_for("h1").connecting

        work = await left_unread(node, begun)
        pool = node.service.server_connections.pool_for("h1")
        assert pool.connecting
        while pool.connecting:
            await asyncio.sleep(0)
        assert work.finished and not work.active_attempts and not host.commands
        assert (
            len(pool.idle) == 1 and not node.service.policy.balancer.attempts_in_flight
        )  # the connection serves the next one
        await asyncio.sleep(2 * server_connections.REUSE_DELAY)  # timers may come up to a millisecond early
        assert await node.send_command(command(b"r2")) == CLIENT_REPLY
        assert len(host.writers) == 1


@pytest.mark.parametrize("late", [0.0, 0.4, 5.0])
@on_loop
async def test_a_request_read_late_has_only_the_rest_of_its_time(late, tmp_path, monkeypatch):
    """A loop that was held up for so long cannot know when the bytes came; the client's time went on."""
    async with StubServer(None) as host, GatewayHarness(host, path=tmp_path) as node:
        now, server = time.monotonic() + 10.0, node.service.clients
        monkeypatch.setattr(clients, "monotonic", lambda: now)
        server.next_poll_at = now - late  # the look that was due then comes now
        server.poll_disconnects()
        asked = [b"API.READ", b"00000000b4d65521", b"r1", command_fields(d="1000")]
        spent = gateway.RESPONSE_MARGIN + server.loop_lag()
        left = parse_request(asked, node.service.settings, spent).remaining_time
        assert left == pytest.approx(1.0 - gateway.RESPONSE_MARGIN - late)
        now += clients.DISCONNECT_POLL_INTERVAL
        server.poll_disconnects()
        spent = gateway.RESPONSE_MARGIN + server.loop_lag()
        assert parse_request(asked, node.service.settings, spent).remaining_time == pytest.approx(
            1.0 - gateway.RESPONSE_MARGIN
        )
        if late > 1.0:
            now, server.last_poll_lag = server.last_poll_at, 600.0
            # at once
            assert await node.send_command(command(fields=command_fields(d="1000"))) == b"-BUSY\r\n"


def settings_with(**limits):
    """The tests' settings with other limits."""
    return {**SETTINGS, "limits": {**SETTINGS["limits"], **limits}}


@on_loop
async def test_a_connection_that_comes_up_late_tells_what_is_left_then(tmp_path):
    settings = settings_with(connect_timeout=2_500_000_000)
    async with SaturatedServer() as host, GatewayHarness(host, path=tmp_path, settings=settings) as node:
        reader, writer = await node.connect()
        writer.write(command())
        asked = time.monotonic()
        await asyncio.sleep(0.6)
        waited = time.monotonic() - asked  # it cannot have come up before
        await host.make_room()
        assert await read_reply(reader) == CLIENT_REPLY
        assert propagated_deadline_ms(host) <= 3000 - 1000 * waited + 150


@on_loop
async def test_a_repeat_whose_connection_comes_up_after_its_window_is_not_written(tmp_path):
    keyed = {**SETTINGS["services"][1], "memory_span": 800_000_000}  # a connection comes up after a second
    settings = settings_with(connect_timeout=2_500_000_000)
    settings["services"] = [SETTINGS["services"][0], keyed, SETTINGS["services"][2]]
    async with StubServer(None) as first, SaturatedServer() as late:
        async with GatewayHarness(first, path=tmp_path, settings=settings) as node:
            asked = asyncio.create_task(node.send_command(write_command()))
            await first.arrived.get()
            node.discovery.changes.put_nowait([server_entry(late, "h2")])
            while "h2" not in node.service.server_table.entries:
                await asyncio.sleep(0.01)
            first.writers[0].close()  # it may have run: its repeat has a window
            while not (pool := node.service.server_connections.pools.get("h2")) or not pool.connecting:
                await asyncio.sleep(0.01)
            await late.make_room()
            assert (await asked).startswith(b"-ERR")
            assert not late.commands
