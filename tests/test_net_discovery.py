"""Lists of hosts: changes, drains, malformed answers."""

import asyncio
import json
from urllib.parse import parse_qsl, urlsplit

import pytest
from netkit import SERVED, Node, StubDiscovery, StubHost, command, entry, in_virtual_time, on_loop, told

from calicomast import interface as api
from calicomast.net import discovery
from calicomast.net.config import read_config
from calicomast.net.http import StatusError
from calicomast.net.server_list import parse_server_list


def sendable(node):
    """The servers that requests may be sent to."""
    return {name for name in node.node.servers.entries if node.node.servers.address_of(name)}


@on_loop
async def test_a_drained_host_gets_nothing_new_nor_what_waits_for_a_connection(tmp_path):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        for n in range(4):
            await node.ask(command(b"a%d" % n))
        await node.discovery.calls.get()
        node.discovery.changes.put_nowait([entry(one, "h1", "draining")])
        while (await node.discovery.calls.get()).get("index") != "2":
            pass  # the watch that follows the change: it has been told
        before = len(one.commands)
        for n in range(8):
            assert await node.ask(command(b"b%d" % n)) == SERVED
        assert len(one.commands) == before


@on_loop
async def test_hosts_move_with_the_list(tmp_path):
    async with StubHost() as old, StubHost() as new, Node(old, path=tmp_path) as node:
        assert await node.ask(command(b"a")) == SERVED
        await node.discovery.calls.get()
        node.discovery.changes.put_nowait([entry(new, "h1")])
        while (await node.discovery.calls.get()).get("index") != "2":
            pass
        assert await node.ask(command(b"b")) == SERVED
        assert [c[2] for c in new.commands] == [b"b"]


@pytest.mark.parametrize(
    "raw",
    [
        "{",
        "[]",
        '{"version":3,"full":true,"servers":[{"id":"h9"}]}',
        '{"version":"x","full":false,"servers":[]}',
    ],
)
@on_loop
async def test_malformed_lists_leave_the_last_one_in_force(raw, tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        await node.discovery.calls.get()
        await node.discovery.calls.get()
        node.discovery.raw = raw
        node.discovery.changes.put_nowait([])
        assert await node.ask(command()) == SERVED
        while "index" in await node.discovery.calls.get():
            pass  # it asks for the whole list again
        assert await node.ask(command(b"r2")) == SERVED


@on_loop
async def test_an_odd_entry_does_not_hide_the_drains_beside_it(tmp_path):
    async with StubHost() as one, StubHost() as two, Node(one, two, path=tmp_path) as node:
        await node.discovery.calls.get()
        node.discovery.changes.put_nowait(
            [
                {"id": "h9"},
                None,
                entry(two, "h8") | {"weight": "x"},
                entry(one, "h1", "draining"),
                entry(two, "h7") | {"addr": "nowhere"},
                entry(two, "h6", "odd"),
            ]
        )
        while (await node.discovery.calls.get()).get("index") != "2":
            pass
        assert sendable(node) == {"h2"}


@on_loop
async def test_changes_to_an_older_list_are_not_taken(tmp_path):
    async with StubHost() as one, Node(one, path=tmp_path) as node:
        while "index" not in await node.discovery.calls.get():
            pass
        gone = entry(one, "h1", "removed")
        node.discovery.raw = json.dumps({"version": 0, "full": False, "servers": [gone]})
        node.discovery.changes.put_nowait([])
        while "index" in await node.discovery.calls.get():
            pass  # it asks for the whole list again
        assert await node.ask(command()) == SERVED


@on_loop
async def test_the_module_hears_of_a_drain_before_what_ends_by_it(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        seen, done = [], asyncio.Event()

        class Sender:
            def handle(self, now, event):
                seen.append(type(event))
                if isinstance(event, api.Outcome):
                    seen.append(event.result)
                    done.set()
                    return [api.Fail(event.id)]
                return [api.Send(event.id, "h1")] if isinstance(event, api.Request) else []

        node.node.module = Sender()
        asked = asyncio.create_task(node.ask(command()))
        pool = node.node.hosts.pool("h1")
        while not pool.coming:  # the attempt waits for its connection
            await asyncio.sleep(0)
        seen.clear()
        drains = {"version": 2, "full": False, "servers": [entry(host, "h1", "draining")]}
        assert list(node.node.take_list(parse_server_list(json.dumps(drains).encode()))) == []  # in one step
        await done.wait()
        assert seen == [api.HostList, api.Outcome, "connect_failed"]
        assert (await asked).startswith(b"-ERR") and not host.commands


@on_loop
async def test_silent_discovery_is_asked_again_while_the_last_list_serves(tmp_path, monkeypatch):
    monkeypatch.setattr(discovery, "WATCH_DURATION", 0.1)
    monkeypatch.setattr(discovery, "RESPONSE_TIMEOUT", 0.2)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        while "index" not in await node.discovery.calls.get():
            pass
        node.discovery.silent = True
        for _ in range(3):  # calls that got no answer are made again, for what came after the list held
            assert (await node.discovery.calls.get())["index"] == "1"
        assert await node.ask(command()) == SERVED
        node.discovery.silent = False
        while "index" not in await node.discovery.calls.get():
            pass  # it watches again
        assert await node.ask(command(b"r2")) == SERVED


@on_loop
async def test_a_busy_discovery_is_not_asked_for_the_whole_list(tmp_path, monkeypatch):
    monkeypatch.setattr(discovery, "MAX_BACKOFF", 0.1)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        node.discovery.busy = 4
        calls = [await node.discovery.calls.get() for _ in range(6)]
        assert all(call["index"] in ("0", "1") for call in calls)
        assert node.discovery.busy == 0
        assert await node.ask(command()) == SERVED


class Agent:
    """Discovery in virtual time: `behave(call, at)` tells what becomes of a call, by its number and when it
    began: how long until it is answered with what there is then, an error, or None for silence."""

    def __init__(self, monkeypatch, behave, held=True, grace=1.0):
        monkeypatch.setattr(discovery.random, "random", lambda: 1.0)  # the longest pauses
        self.behave, self.loop, self.calls, self.most = behave, asyncio.get_running_loop(), [], 0
        self.lists, self.heard = [(0.0, 7)], []  # from when which version; when which was told
        self.watch = discovery.DiscoveryClient(("127.0.0.1", 1), 7, self.told, lambda: None, held, grace)
        monkeypatch.setattr(self.watch, "read_body", self.read_body)

    def told(self, listing):
        self.heard.append((self.loop.time(), listing.version))

    async def read_body(self, target):
        yield (await self.body(target)).encode()

    async def body(self, target):
        query = dict(parse_qsl(urlsplit(target).query))
        self.calls.append((self.loop.time(), query))
        self.most = max(self.most, len(self.watch.calls))
        does = self.behave(len(self.calls) - 1, self.loop.time())
        if isinstance(does, Exception):
            raise does
        if does is None:
            await asyncio.Event().wait()
        version = self.version()
        await asyncio.sleep(does)
        if int(query.get("wait", "0")) > 1:
            while self.version() == int(query["index"]) and self.loop.time() < self.calls[-1][0] + 3:
                await asyncio.sleep(0.01)
            version = self.version()
        entry = {"id": "h1", "addr": "127.0.0.1:1", "state": "draining"}
        return json.dumps(
            {
                "version": version,
                "full": "index" not in query,
                "servers": [entry] * (version != int(query.get("index", "-1"))),
            }
        )

    def version(self):
        return [version for at, version in self.lists if at <= self.loop.time()][-1]

    async def play(self, seconds):
        self.watch.watch(True)
        await asyncio.sleep(seconds)
        await self.watch.close()


@pytest.mark.parametrize("grace", [0.3, 0.7, 1.0, 2.0])
@pytest.mark.parametrize("back", [4.0, 5.3, 8.0, 9.1, 9.2, 9.3, 9.4])
@in_virtual_time
async def test_news_of_an_agent_that_comes_back_are_heard_within_the_grace(back, grace, monkeypatch):
    agent = Agent(monkeypatch, lambda call, at: None if at < back else 0.0, grace=grace)
    agent.lists.append((0.1, 8))
    await agent.play(12.0)
    began = [at for at, _ in agent.calls]
    assert began[0] == 0.0 and began[1] < discovery.WATCH_DURATION + 1.0
    calls = [query for at, query in agent.calls[1:] if at < back]
    assert all(query == {"index": "7", "wait": "1"} for query in calls)
    assert agent.heard and agent.heard[0] == (pytest.approx(agent.heard[0][0]), 8)
    assert back <= agent.heard[0][0] < max(back, discovery.WATCH_DURATION) + grace
    assert agent.most <= discovery.MAX_OPEN_CALLS + 1


FAILURES = [
    StatusError(503),
    ValueError("odd"),
    ConnectionResetError("reset"),
    ConnectionRefusedError("no"),
    StatusError(404),
    json.JSONDecodeError("odd", "", 0),
]


@pytest.mark.parametrize("failure", FAILURES, ids=repr)
@pytest.mark.parametrize("failed", [0, 1, 2, 3, 4])
@in_virtual_time
async def test_a_change_is_told_within_six_seconds_whatever_calls_failed(failed, failure, monkeypatch):
    """It is made as a watch falls silent, and the first calls after that fail."""
    agent = Agent(monkeypatch, lambda call, at: None if call == 0 else failure if call <= failed else 0.0)
    agent.lists.append((0.01, 8))
    await agent.play(8.0)
    assert [version for _, version in agent.heard][:1] == [8] and agent.heard[0][0] < 6.0


@pytest.mark.parametrize("failure", FAILURES, ids=repr)
@in_virtual_time
async def test_a_call_after_one_that_failed_waits_for_nothing(failure, monkeypatch):
    """It may fall silent too, and a watch would do so for long."""
    fates = [None, failure, None, failure]
    agent = Agent(monkeypatch, lambda call, at: fates[call] if call < len(fates) else 0.0)
    agent.lists.append((0.01, 8))
    await agent.play(8.0)
    assert agent.heard[0][1] == 8 and agent.heard[0][0] < 6.0


@pytest.mark.parametrize("failed", [1, 2, 5, 9])
@in_virtual_time
async def test_a_change_made_while_calls_fail_is_told_soon_after(failed, monkeypatch):
    agent = Agent(monkeypatch, lambda call, at: FAILURES[call % 6] if call < failed else 0.0)
    agent.lists.append((0.01, 8))
    await agent.play(30.0)
    assert agent.heard[0][1] == 8
    assert agent.heard[0][0] - agent.calls[failed - 1][0] < 1.0


@pytest.mark.parametrize("takes", [0.4, 0.6, 1.5, 4.0])
@in_virtual_time
async def test_a_discovery_that_is_slow_to_answer_is_heard_all_the_same(takes, monkeypatch):
    agent = Agent(monkeypatch, lambda call, at: takes, held=False)
    agent.lists.append((10.0, 8))
    await agent.play(20.0)
    first = [at for at, version in agent.heard if version == 7][0]
    assert first == pytest.approx(takes)
    assert 10.0 < [at for at, version in agent.heard if version == 8][0] < 16.0
    versions = [version for _, version in agent.heard]
    assert versions == sorted(versions) and agent.most <= discovery.MAX_OPEN_CALLS


@in_virtual_time
async def test_an_answer_that_was_overtaken_brings_nothing_back(monkeypatch):
    takes = {0: 2.0, 1: 0.0}  # the whole list as it was at first comes after what followed it
    agent = Agent(monkeypatch, lambda call, at: takes.get(call, 0.0), held=False)
    agent.lists.append((0.4, 8))
    await agent.play(6.0)
    assert len(agent.calls) > 2 and {version for _, version in agent.heard} == {8}


@in_virtual_time
async def test_a_discovery_that_holds_no_watch_open_is_not_asked_all_the_time(monkeypatch):
    agent = Agent(monkeypatch, lambda call, at: 0.0)

    async def at_once(target):
        agent.calls.append((agent.loop.time(), {}))
        if len(agent.calls) > 100:
            raise asyncio.CancelledError  # not for ever
        yield b'{"version": 7, "full": false, "servers": []}'

    monkeypatch.setattr(agent.watch, "read_body", at_once)
    await agent.play(2.0)
    assert 5 < len(agent.calls) <= 21


@on_loop
async def test_an_old_watch_tells_nothing_once_the_configuration_names_another(tmp_path):
    async with (
        StubHost() as old,
        StubHost() as new,
        StubDiscovery() as next_one,
        Node(old, path=tmp_path) as node,
    ):
        next_one.servers = [entry(new, "h2")]
        while "index" not in await node.discovery.calls.get():
            pass
        file = tmp_path / "next.json"
        file.write_text(json.dumps(told([], next_one.port, node.counter.port)))
        node.node.reload(read_config({"RELAY_CONFIG": str(file)}, again=True))
        while "index" not in await next_one.calls.get():
            pass  # the new list was told, and its watch is open
        node.discovery.changes.put_nowait([entry(old, "h1")])
        for _ in range(1000):  # turns, far more than an answer that is out takes to be told
            await asyncio.sleep(0)
        assert sendable(node) == {"h2"}
