"""The discovery client: changes, drains, malformed lists, and calls that fail or get no response."""

import asyncio
import json
import time
from urllib.parse import parse_qsl, urlsplit

import pytest
from netkit import (
    CLIENT_REPLY,
    GatewayHarness,
    StubDiscovery,
    StubServer,
    command,
    gateway_config,
    in_virtual_time,
    on_loop,
    server_entry,
)

from calicomast import interface as api
from calicomast.net import discovery
from calicomast.net.config import read_config
from calicomast.net.http import StatusError
from calicomast.net.server_list import parse_server_list


def available_servers(harness):
    """Returns the ids of the servers that requests may be sent to."""
    return {
        server_id
        for server_id in harness.service.server_table.entries
        if harness.service.server_table.address_of(server_id)
    }


@on_loop
async def test_draining_server_gets_no_further_requests(tmp_path):
    async with StubServer() as one, StubServer() as two, GatewayHarness(one, two, path=tmp_path) as harness:
        for number in range(4):
            await harness.send_command(command(b"a%d" % number))
        await harness.discovery.calls.get()
        harness.discovery.changes.put_nowait([server_entry(one, "h1", "draining")])
        while (await harness.discovery.calls.get()).get("index") != "2":
            pass  # the next watch has the new version, so the change has been applied
        before = len(one.commands)
        for number in range(8):
            assert await harness.send_command(command(b"b%d" % number)) == CLIENT_REPLY
        assert len(one.commands) == before


@on_loop
async def test_server_moves_to_the_address_in_the_list(tmp_path):
    async with StubServer() as old, StubServer() as new, GatewayHarness(old, path=tmp_path) as harness:
        assert await harness.send_command(command(b"a")) == CLIENT_REPLY
        await harness.discovery.calls.get()
        harness.discovery.changes.put_nowait([server_entry(new, "h1")])
        while (await harness.discovery.calls.get()).get("index") != "2":
            pass
        assert await harness.send_command(command(b"b")) == CLIENT_REPLY
        assert [received_command[2] for received_command in new.commands] == [b"b"]


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
async def test_malformed_list_leaves_the_last_one_in_use(raw, tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        await harness.discovery.calls.get()
        await harness.discovery.calls.get()
        harness.discovery.raw_response = raw
        harness.discovery.changes.put_nowait([])
        assert await harness.send_command(command()) == CLIENT_REPLY
        while "index" in await harness.discovery.calls.get():
            pass  # the gateway requests the whole list again
        assert await harness.send_command(command(b"r2")) == CLIENT_REPLY


@on_loop
async def test_malformed_entry_does_not_hide_a_drain_in_the_same_list(tmp_path):
    async with StubServer() as one, StubServer() as two, GatewayHarness(one, two, path=tmp_path) as harness:
        await harness.discovery.calls.get()
        harness.discovery.changes.put_nowait(
            [
                {"id": "h9"},
                None,
                server_entry(two, "h8") | {"weight": "x"},
                server_entry(one, "h1", "draining"),
                server_entry(two, "h7") | {"addr": "nowhere"},
                server_entry(two, "h6", "odd"),
            ]
        )
        while (await harness.discovery.calls.get()).get("index") != "2":
            pass
        assert available_servers(harness) == {"h2"}


@on_loop
async def test_changes_to_an_older_version_are_rejected(tmp_path):
    async with StubServer() as one, GatewayHarness(one, path=tmp_path) as harness:
        while "index" not in await harness.discovery.calls.get():
            pass
        gone = server_entry(one, "h1", "removed")
        harness.discovery.raw_response = json.dumps({"version": 0, "full": False, "servers": [gone]})
        harness.discovery.changes.put_nowait([])
        while "index" in await harness.discovery.calls.get():
            pass  # the gateway requests the whole list again
        assert await harness.send_command(command()) == CLIENT_REPLY


@on_loop
async def test_policy_receives_a_drain_before_the_attempts_that_it_ends(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        events, done = [], asyncio.Event()

        class SendingPolicy:
            def handle(self, now, event):
                events.append(type(event))
                if isinstance(event, api.Outcome):
                    events.append(event.result)
                    done.set()
                    return [api.Fail(event.id)]
                return [api.Send(event.id, "h1")] if isinstance(event, api.Request) else []

        harness.service.policy = SendingPolicy()
        request = asyncio.create_task(harness.send_command(command()))
        pool = harness.service.server_connections.pool_for("h1")
        while not pool.connecting:  # until the attempt waits for its connection
            await asyncio.sleep(0)
        events.clear()
        drain = {"version": 2, "full": False, "servers": [server_entry(server, "h1", "draining")]}
        # A short list is applied in one batch.
        received = parse_server_list(json.dumps(drain).encode())
        source = harness.service.discovery.current_source
        assert list(harness.service.apply_server_list(received, source)) == []
        await done.wait()
        assert events == [api.ServerListUpdate, api.Outcome, "connect_failed"]
        assert (await request).startswith(b"-ERR") and not server.commands


@on_loop
async def test_silent_discovery_is_called_again_while_the_last_list_is_used(tmp_path, monkeypatch):
    monkeypatch.setattr(discovery, "WATCH_DURATION", 0.1)
    monkeypatch.setattr(discovery, "RESPONSE_TIMEOUT", 0.2)
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        while "index" not in await harness.discovery.calls.get():
            pass
        harness.discovery.silent = True
        for _ in range(3):  # calls without a response are repeated, for changes since the version held
            assert (await harness.discovery.calls.get())["index"] == "1"
        assert await harness.send_command(command()) == CLIENT_REPLY
        harness.discovery.silent = False
        while "index" not in await harness.discovery.calls.get():
            pass  # the gateway has opened a watch again
        assert await harness.send_command(command(b"r2")) == CLIENT_REPLY


@on_loop
async def test_no_whole_list_is_requested_after_busy_responses_of_discovery(tmp_path, monkeypatch):
    monkeypatch.setattr(discovery, "MAX_BACKOFF", 0.1)
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        harness.discovery.busy_responses = 4
        calls = [await harness.discovery.calls.get() for _ in range(6)]
        assert all(call["index"] in ("0", "1") for call in calls)
        assert harness.discovery.busy_responses == 0
        assert await harness.send_command(command()) == CLIENT_REPLY


class DiscoverySimulation:
    """Discovery in virtual time, and a client that calls it.

    `outcome_of(call, at)` decides what becomes of a call, by its number and the time when it began: the
    seconds until a response with the list of that time, an exception, or None for no response.
    """

    def __init__(self, monkeypatch, outcome_of, has_list=True, grace=1.0):
        monkeypatch.setattr(discovery.random, "random", lambda: 1.0)  # the longest backoff
        self.outcome_of, self.loop, self.calls, self.max_open = outcome_of, asyncio.get_running_loop(), [], 0
        self.versions = [(0.0, 7)]  # pairs of a time and the version of the list from then on
        self.received = []  # pairs of a time and the version that the client received then
        self.client = discovery.DiscoveryClient(
            ("127.0.0.1", 1), 7, self.apply_list, lambda: None, has_list, grace
        )
        monkeypatch.setattr(self.client, "read_body", self.read_body)

    def apply_list(self, server_list):
        self.received.append((self.loop.time(), server_list.version))

    async def read_body(self, target):
        yield (await self.body(target)).encode()

    async def body(self, target):
        query = dict(parse_qsl(urlsplit(target).query))
        self.calls.append((self.loop.time(), query))
        self.max_open = max(self.max_open, len(self.client.calls))
        outcome = self.outcome_of(len(self.calls) - 1, self.loop.time())
        if isinstance(outcome, Exception):
            raise outcome
        if outcome is None:
            await asyncio.Event().wait()
        version = self.version()
        await asyncio.sleep(outcome)
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
        return [version for at, version in self.versions if at <= self.loop.time()][-1]

    async def run(self, seconds):
        self.client.watch(True)
        await asyncio.sleep(seconds)
        self.client.close()


@pytest.mark.parametrize("grace", [0.3, 0.7, 1.0, 2.0])
@pytest.mark.parametrize("back", [4.0, 5.3, 8.0, 9.1, 9.2, 9.3, 9.4])
@in_virtual_time
async def test_change_is_received_within_the_drain_grace_after_discovery_returns(back, grace, monkeypatch):
    simulation = DiscoverySimulation(monkeypatch, lambda call, at: None if at < back else 0.0, grace=grace)
    simulation.versions.append((0.1, 8))
    await simulation.run(12.0)
    began = [at for at, _ in simulation.calls]
    assert began[0] == 0.0 and began[1] < discovery.WATCH_DURATION + 1.0
    calls = [query for at, query in simulation.calls[1:] if at < back]
    assert all(query == {"index": "7", "wait": "1"} for query in calls)
    assert simulation.received and simulation.received[0] == (pytest.approx(simulation.received[0][0]), 8)
    assert back <= simulation.received[0][0] < max(back, discovery.WATCH_DURATION) + grace
    assert simulation.max_open <= discovery.MAX_OPEN_CALLS + 1


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
async def test_change_is_received_within_six_seconds_although_calls_fail(failed, failure, monkeypatch):
    """The change happens as a watch goes silent, and the first calls after that fail."""
    simulation = DiscoverySimulation(
        monkeypatch, lambda call, at: None if call == 0 else failure if call <= failed else 0.0
    )
    simulation.versions.append((0.01, 8))
    await simulation.run(8.0)
    assert [version for _, version in simulation.received][:1] == [8] and simulation.received[0][0] < 6.0


@pytest.mark.parametrize("failure", FAILURES, ids=repr)
@in_virtual_time
async def test_call_after_a_failed_one_does_not_wait_for_a_change(failure, monkeypatch):
    """The call may go silent as well, and a watch would then stay silent for long."""
    outcomes = [None, failure, None, failure]
    simulation = DiscoverySimulation(
        monkeypatch, lambda call, at: outcomes[call] if call < len(outcomes) else 0.0
    )
    simulation.versions.append((0.01, 8))
    await simulation.run(8.0)
    assert simulation.received[0][1] == 8 and simulation.received[0][0] < 6.0


@pytest.mark.parametrize("failed", [1, 2, 5, 9])
@in_virtual_time
async def test_change_during_failing_calls_is_received_soon_after_them(failed, monkeypatch):
    simulation = DiscoverySimulation(
        monkeypatch, lambda call, at: FAILURES[call % 6] if call < failed else 0.0
    )
    simulation.versions.append((0.01, 8))
    await simulation.run(30.0)
    assert simulation.received[0][1] == 8
    assert simulation.received[0][0] - simulation.calls[failed - 1][0] < 1.0


@pytest.mark.parametrize("delay", [0.4, 0.6, 1.5, 4.0])
@in_virtual_time
async def test_slow_responses_are_applied(delay, monkeypatch):
    simulation = DiscoverySimulation(monkeypatch, lambda call, at: delay, has_list=False)
    simulation.versions.append((10.0, 8))
    await simulation.run(20.0)
    first = [at for at, version in simulation.received if version == 7][0]
    assert first == pytest.approx(delay)
    assert 10.0 < [at for at, version in simulation.received if version == 8][0] < 16.0
    versions = [version for _, version in simulation.received]
    assert versions == sorted(versions) and simulation.max_open <= discovery.MAX_OPEN_CALLS


@in_virtual_time
async def test_overtaken_response_is_not_applied(monkeypatch):
    delays = {0: 2.0, 1: 0.0}  # the whole list of the start arrives after the response to a later call
    simulation = DiscoverySimulation(monkeypatch, lambda call, at: delays.get(call, 0.0), has_list=False)
    simulation.versions.append((0.4, 8))
    await simulation.run(6.0)
    assert len(simulation.calls) > 2 and {version for _, version in simulation.received} == {8}


@in_virtual_time
async def test_call_rate_is_limited_if_discovery_holds_no_watch_open(monkeypatch):
    simulation = DiscoverySimulation(monkeypatch, lambda call, at: 0.0)

    async def respond_at_once(target):
        simulation.calls.append((simulation.loop.time(), {}))
        if len(simulation.calls) > 100:
            raise asyncio.CancelledError  # ends the test if the calls are not limited
        yield b'{"version": 7, "full": false, "servers": []}'

    monkeypatch.setattr(simulation.client, "read_body", respond_at_once)
    await simulation.run(2.0)
    assert 5 < len(simulation.calls) <= 21


@on_loop
async def test_drain_is_received_while_new_configurations_follow_one_another(tmp_path):
    # Guards against sending to a draining server, as each new configuration cancelled the calls to discovery.
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        await harness.discovery.calls.get()
        assert available_servers(harness) == {"h1"}
        harness.discovery.delay = 0.4
        harness.discovery.servers = [server_entry(server, "h1", "draining")]
        started_at = time.monotonic()
        while available_servers(harness) and time.monotonic() < started_at + discovery.CHANGE_DEADLINE:
            harness.service.reload(harness.service.config)
            await asyncio.sleep(0.3)
        assert not available_servers(harness)


@on_loop
async def test_replaced_discovery_no_longer_changes_the_list(tmp_path):
    async with (
        StubServer() as old,
        StubServer() as new,
        StubDiscovery() as new_discovery,
        GatewayHarness(old, path=tmp_path) as harness,
    ):
        new_discovery.servers = [server_entry(new, "h2")]
        while "index" not in await harness.discovery.calls.get():
            pass
        config_file = tmp_path / "next.json"
        config_file.write_text(json.dumps(gateway_config([], new_discovery.port, harness.counter.port)))
        harness.service.reload(read_config({"RELAY_CONFIG": str(config_file)}, reload=True))
        while "index" not in await new_discovery.calls.get():
            pass  # the new list has been applied, and the watch is open
        harness.discovery.changes.put_nowait([server_entry(old, "h1")])
        for _ in range(1000):  # turns of the event loop; applying an outstanding response takes far fewer
            await asyncio.sleep(0)
        assert available_servers(harness) == {"h2"}
