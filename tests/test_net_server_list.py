"""Server lists: parsed in chunks, applied in batches, and rejected if malformed."""

import json
import logging

import pytest
from netkit import CLIENT_REPLY, GatewayHarness, StubServer, command, in_virtual_time, on_loop, server_entry
from test_net_discovery import DiscoverySimulation, available_servers

from calicomast.net import discovery, gateway, server_list, server_table
from calicomast.net.events import EventKind
from calicomast.net.json_stream import MAX_VALUE_CHARACTERS, JsonArrayReader
from calicomast.net.server_list import CHUNK_BYTES, ServerListReader, parse_server_list
from calicomast.net.server_table import BATCH_SIZE, COMPARISONS_PER_STEP, ServerTable


def server_json(server_id="h1", state="up", **fields):
    """Returns an entry in discovery's format."""
    return {"id": server_id, "addr": "127.0.0.1:1", "zone": "a", "state": state, "started_ms": 0} | fields


def list_json(servers, version=3, full=True, **layout):
    """Returns a list as discovery sends it; `layout` holds options of json.dumps."""
    return json.dumps({"version": version, "full": full, "servers": servers}, **layout).encode()


SERVERS = [server_json(f"h{n}", cell=n, zone='zóna } ] , { \\ "') for n in range(40)]
LAYOUTS = [dict(indent=2), dict(separators=(",", ":")), dict(ensure_ascii=False), dict(sort_keys=True)]


def read_items(data, chunk_size, path=("servers",)):
    """Reads a text in chunks of one size; returns the items of the array and the other members."""
    reader = JsonArrayReader(path)
    items = []
    for start in range(0, len(data), chunk_size):
        items += reader.feed(data[start : start + chunk_size])
    items += reader.feed(b"", final=True)
    return items, reader.members


@pytest.mark.parametrize("layout", LAYOUTS, ids=str)
@pytest.mark.parametrize("chunk_size", [1, 2, 7, 100, 10**6])
def test_items_do_not_depend_on_chunk_size_and_layout(chunk_size, layout):
    items, members = read_items(list_json(SERVERS, **layout), chunk_size)
    assert items == SERVERS and members == [{"version": 3, "full": True}]


@pytest.mark.parametrize("chunk_size", [1, 50])
def test_nested_array_is_found_with_members_in_any_order(chunk_size):
    nested = {"a": [1, {"servers": 2}], "known": {"servers": SERVERS[:3], "version": 4}, "z": {"known": None}}
    items, members = read_items(json.dumps(nested).encode(), chunk_size, ("known", "servers"))
    assert items == SERVERS[:3]
    assert members == [{"a": [1, {"servers": 2}], "z": {"known": None}}, {"version": 4}]


def test_nested_items_and_items_of_other_types_are_returned_unchanged():
    mixed = [{"a": {"b": [{}]}}, 5, "x}", [1, {"c": "]"}], None, {}]
    for chunk_size in (1, 3, 1000):
        assert read_items(json.dumps({"servers": mixed}).encode(), chunk_size)[0] == mixed


def test_truncated_list_is_rejected():
    whole = list_json(SERVERS[:2])
    assert parse_server_list(whole).version == 3
    for end in range(len(whole)):
        with pytest.raises(ValueError):
            parse_server_list(whole[:end])


@pytest.mark.parametrize(
    "malformed",
    [
        b"[]",
        b"{",
        b"null",
        b'{"servers": 5}',
        b'{"version":1,"full":true}',
        b'{"servers": [], "version": 1}',
        b'{"servers": [], "version": 1, "full": true} more',
        b'{"servers": [1 2], "version": 1, "full": true}',
        b'{"servers": [], "version": -1, "full": true}',
        b'{"servers": [], "version": 1e400, "full": true}',
        b'{"servers": [], "version": 99999999999999999999, "full": true}',
        b'{"servers": [], "version": "x", "full": true}',
        b"{1: 2}",
        b"\xff\xfe",
        b'{"a":' + b"[" * 100_000,
        list_json([{"id": "h9"}]),
    ],
    ids=lambda malformed: malformed[:40],
)
def test_malformed_list_raises_value_error(malformed):
    with pytest.raises(ValueError):
        parse_server_list(malformed)


def test_endless_value_is_rejected_before_it_fills_the_memory():
    reader = JsonArrayReader(("servers",))
    assert not list(reader.feed(b'{"a": "'))
    fed = 0
    with pytest.raises(ValueError, match="exceeds the length limit"):
        while True:
            fed += CHUNK_BYTES
            list(reader.feed(b"x" * CHUNK_BYTES))
    assert fed <= MAX_VALUE_CHARACTERS + 2 * CHUNK_BYTES


MALFORMED = [
    {"id": "h9"},
    None,
    7,
    server_json("h8", weight="x"),
    server_json("h8", weight=-1),
    server_json("h8", weight=1e999),
    server_json("h8", cell=-4),
    server_json("h8", cell=10**30),
    server_json("h8", started_ms=-5),
    server_json("h8", addr="nowhere"),
    server_json("h8", addr="127.0.0.1:99999"),
    server_json("h8", state="odd"),
    server_json(8),
    server_json("h\ud800"),
]


def test_malformed_entries_are_skipped_with_one_warning(caplog):
    parsed = parse_server_list(list_json([server_json("h1"), *MALFORMED, server_json("h2", "draining")]))
    assert [(entry.server.id, entry.server.state) for entry in parsed.entries] == [
        ("h1", "up"),
        ("h2", "leaving"),
    ]
    assert f"{len(MALFORMED)} malformed entries" in caplog.text and len(caplog.records) == 1


def test_last_entry_of_a_duplicate_id_counts_and_a_warning_is_logged(caplog):
    parsed = parse_server_list(
        list_json([server_json("h1"), server_json("h2"), server_json("h1", "draining")])
    )
    assert [(entry.server.id, entry.server.state) for entry in parsed.entries] == [
        ("h1", "leaving"),
        ("h2", "up"),
    ]
    assert "1 duplicate ids" in caplog.text


def test_reader_yields_after_each_chunk():
    data = list_json([server_json(f"h{n}") for n in range(2000)])
    reader, steps, before = ServerListReader(), 0, 0
    for _ in reader.feed(data):
        steps += 1
        assert len(reader.entries) - before < 2 * CHUNK_BYTES / len(list_json([server_json("h1000")])) * 3
        before = len(reader.entries)
    assert steps == len(data) // CHUNK_BYTES


def test_equal_entry_is_replaced_by_the_known_one():
    first = parse_server_list(list_json([server_json("h1"), server_json("h2")]))
    known = {entry.server.id: entry for entry in first.entries}
    reader = ServerListReader(known_entries=known)
    list(reader.feed(list_json([server_json("h1"), server_json("h2", weight=2.0)]), final=True))
    same, other = reader.server_list().entries
    assert same is known["h1"] and other is not known["h2"]


class RecordingTable:
    """A server table that records its events and the servers that it stops sending to, in their order."""

    def __init__(self):
        self.calls = []
        self.table = ServerTable(self.handle_event, lambda server: self.calls.append(("stop", server)))

    def handle_event(self, event):
        self.calls.append(
            (event.mode, event.version, [(server.id, server.state) for server in event.servers])
        )

    def apply(self, servers, version=3, full=True, mode=None):
        """Applies a list; returns how often the table yielded, and what was recorded."""
        self.calls.clear()
        parsed = parse_server_list(list_json(servers, version, full), mode)
        self.table.validate(parsed)
        return sum(1 for _ in self.table.apply(parsed)), self.calls


def test_only_changes_are_passed_on_and_a_whole_list_removes_omitted_servers():
    table = RecordingTable()
    assert table.apply([server_json("h1"), server_json("h2")], mode="cached") == (
        0,
        [("cached", 3, [("h1", "up"), ("h2", "up")])],
    )
    assert table.apply([server_json("h1"), server_json("h2")])[1] == [("delta", 3, [])]
    assert table.apply([server_json("h2"), server_json("h3", started_ms=5000)], 4)[1] == [
        ("delta", 4, [("h1", "down"), ("h3", "up")]),
        ("stop", "h1"),
    ]
    assert set(table.table.entries) == {"h2", "h3"}


def test_restart_with_the_same_id_and_new_address_count_as_changes():
    table = RecordingTable()
    table.apply([server_json("h1"), server_json("h2")])
    assert table.apply([server_json("h1", started_ms=7000)], full=False)[1] == [("delta", 3, [("h1", "up")])]
    assert table.apply([server_json("h2", addr="127.0.0.1:2")], full=False)[1] == [
        ("stop", "h2"),
        ("delta", 3, [("h2", "up")]),
    ]
    assert table.table.address_of("h2") == ("127.0.0.1", 2)
    assert table.apply([server_json("h2", addr="", weight=3.0)], full=False)[1] == [
        ("delta", 3, [("h2", "up")])
    ]
    assert table.table.address_of("h2") == ("127.0.0.1", 2)  # unchanged


def test_new_address_is_in_force_before_attempts_at_the_old_one_end():
    # Guards against an attempt at an address that a server has left, begun as another attempt there ends.
    addresses = []
    table = ServerTable(lambda event: None, lambda server: addresses.append(table.address_of(server)))
    for port in (1, 2):
        parsed = parse_server_list(list_json([server_json("h1", addr=f"127.0.0.1:{port}")], port))
        assert not list(table.apply(parsed))
    assert addresses == [("127.0.0.1", 2)]


def test_long_list_is_applied_in_batches_with_drains_and_removals_first():
    table = RecordingTable()
    steps, calls = table.apply([server_json(f"h{n}") for n in range(1000)], mode="cached")
    assert steps == 1000 // BATCH_SIZE - 1 and [len(servers) for _, _, servers in calls] == [BATCH_SIZE] * (
        1000 // BATCH_SIZE
    )
    assert [mode for mode, _, _ in calls] == ["cached"] + ["delta"] * (1000 // BATCH_SIZE - 1)
    remaining = [server_json(f"h{n}", "draining" if n == 500 else "up", weight=2.0) for n in range(10, 1000)]
    _, calls = table.apply(remaining, 4)
    events = [servers for kind, *rest in calls if kind == "delta" for servers in rest[1:]]
    unavailable = [server_id for server_id, state in events[0] if state != "up"]
    assert len(unavailable) == 11 and "h500" in unavailable
    assert all(state == "up" for servers in events[1:] for _, state in servers)
    assert table.table.address_of("h500") is None and table.table.address_of("h501")


def test_long_unchanged_list_is_compared_in_steps():
    table = RecordingTable()
    servers = [server_json(f"h{n}") for n in range(5 * COMPARISONS_PER_STEP)]
    table.apply(servers)
    steps, calls = table.apply(servers, 4)
    assert steps == 2 * 4 and calls == [("delta", 4, [])]  # four for the list, four for the servers held
    steps, calls = table.apply(servers[:1], 5)
    assert steps >= 4 and len(table.table.entries) == 1


def test_empty_whole_list_that_is_not_newer_is_rejected_while_servers_are_held():
    table = RecordingTable()
    table.apply([], 3)
    table.apply([server_json("h1")], 3)
    for version in (0, 2, 3):  # of a discovery that has lost its data
        with pytest.raises(ValueError, match="without servers"):
            table.apply([], version)
    assert set(table.table.entries) == {"h1"}
    table.apply([], 3, full=False)  # an empty list of changes is valid
    assert set(table.table.entries) == {"h1"}


def test_newer_whole_list_without_servers_ends_all_sending():
    # Guards against attempts at servers that a whole list leaves out, where it leaves out all of them.
    table = RecordingTable()
    servers = [server_json(f"h{n}") for n in range(3 * BATCH_SIZE)]
    table.apply(servers, 3)
    steps, calls = table.apply([], 4)
    assert steps and not table.table.entries
    assert {call[1] for call in calls if call[0] == "stop"} == {f"h{n}" for n in range(3 * BATCH_SIZE)}
    table.apply(servers[:1], 5)
    assert table.table.any_available()


@on_loop
async def test_requests_are_refused_while_the_list_is_empty_and_served_after_it(tmp_path):
    # Guards against sends to servers that are gone, and against a gateway that cannot recover from that.
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        source = harness.service.discovery.current_source
        for _ in harness.service.apply_server_list(parse_server_list(list_json([], 2)), source):
            pass
        assert (await harness.send_command(command(b"r1"))).startswith(b"-BUSY")
        assert not server.commands
        entries = [server_entry(server)]
        for _ in harness.service.apply_server_list(parse_server_list(list_json(entries, 3)), source):
            pass
        assert await harness.send_command(command(b"r2")) == CLIENT_REPLY


def test_drain_of_an_unknown_server_only_logs_a_warning(caplog):
    table = RecordingTable()
    table.apply([server_json("h1")])
    table.apply([server_json("h7", "draining"), server_json("h8", "removed")], full=False)
    assert "2 servers that were never listed are draining or removed" in caplog.text
    assert sorted(table.table.entries) == ["h1", "h7"] and table.table.address_of("h7") is None


BAD_BODIES = {
    "truncated": list_json([server_json("h1")])[:-9].decode(),
    "negative version": '{"version":-3,"full":true,"servers":[]}',
    "no servers, not newer": '{"version":1,"full":true,"servers":[]}',
    "infinite version": '{"version":1e999,"full":true,"servers":[]}',
}


@pytest.mark.parametrize("raw", BAD_BODIES.values(), ids=BAD_BODIES)
@on_loop
async def test_bad_list_logs_a_warning_and_the_last_good_one_is_kept(raw, tmp_path, caplog):
    caplog.set_level(logging.WARNING)
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        await harness.discovery.calls.get()
        harness.discovery.raw_response = raw
        harness.discovery.changes.put_nowait([])
        while "index" in await harness.discovery.calls.get():
            pass  # the gateway requests the whole list again
        assert available_servers(harness) == {"h1"} and await harness.send_command(command()) == CLIENT_REPLY
    assert "keeping the last server list" in caplog.text


@on_loop
async def test_list_too_large_for_the_memory_is_rejected_and_the_last_one_kept(tmp_path, monkeypatch):
    monkeypatch.setattr(gateway, "MIN_SERVER_LIST_BYTES", 4096)
    monkeypatch.setattr(gateway, "BASE_MEMORY_BYTES", 192 * 1024 * 1024)
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        assert harness.service.max_server_list_bytes == 4096
        await harness.discovery.calls.get()
        many = [server_entry(server, f"x{n}") for n in range(100)]
        harness.discovery.raw_response = json.dumps({"version": 5, "full": True, "servers": many})
        harness.discovery.changes.put_nowait([])
        while "index" in await harness.discovery.calls.get():
            pass
        assert available_servers(harness) == {"h1"} and await harness.send_command(command()) == CLIENT_REPLY


def test_list_size_limit_depends_on_the_memory(tmp_path):
    assert gateway.max_server_list_bytes(192 * 1024 * 1024) > 4 * gateway.max_server_list_bytes(
        72 * 1024 * 1024
    )
    assert gateway.max_server_list_bytes(16 * 1024 * 1024) == gateway.MIN_SERVER_LIST_BYTES


@in_virtual_time
async def test_large_rejected_list_is_requested_with_growing_backoff(monkeypatch):
    simulation = DiscoverySimulation(monkeypatch, lambda call, at: 0.0, has_list=False)

    async def send_oversized(target):
        simulation.calls.append((simulation.loop.time(), {}))
        yield b" " * (discovery.LARGE_RESPONSE_BYTES + 1)
        raise ValueError("the response body exceeds the size limit")

    monkeypatch.setattr(simulation.client, "read_body", send_oversized)
    await simulation.run(60.0)
    began = [at for at, _ in simulation.calls]
    backoffs = [round(later - at, 6) for at, later in zip(began, began[1:], strict=False)]
    assert backoffs == sorted(backoffs) and backoffs[0] < 0.2
    # The longest backoff still lets a change be received in time.
    assert 2.0 < backoffs[-1] < discovery.CHANGE_DEADLINE - discovery.RESPONSE_TIMEOUT
    assert len(began) < 30


@in_virtual_time
async def test_incoming_response_delays_the_next_call(monkeypatch):
    simulation = DiscoverySimulation(monkeypatch, lambda call, at: 0.0, has_list=False)
    whole = list_json([server_json("h1")], version=8)

    async def send_slowly(target):
        simulation.calls.append((simulation.loop.time(), {}))
        for start in range(0, len(whole), 20):
            await discovery.asyncio.sleep(0.3)
            yield whole[start : start + 20]

    monkeypatch.setattr(simulation.client, "read_body", send_slowly)
    simulation.client.watch(True)
    await discovery.asyncio.sleep(1.9)
    assert len(simulation.calls) == 1
    await discovery.asyncio.sleep(0.5)
    assert [version for _, version in simulation.received] == [8]
    simulation.client.close()


@on_loop
async def test_requests_are_answered_while_a_long_list_is_applied(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        await harness.discovery.calls.get()
        steps, apply_server_list = [], harness.service.apply_server_list

        def record_steps(received):
            for step in apply_server_list(received, 1):
                steps.append(len(harness.service.server_table.entries))
                yield step

        harness.service.discovery.current.apply_list = record_steps
        many = [server_entry(server, f"x{n}") for n in range(3000)] + [server_entry(server)]
        whole = json.dumps({"version": 5, "full": True, "servers": many})
        harness.discovery.raw_response = whole
        harness.discovery.changes.put_nowait([])
        answered = 0
        while len(harness.service.server_table.entries) < 3001:
            assert await harness.send_command(command(b"r%d" % answered)) == CLIENT_REPLY
            answered += 1
        assert answered > 3 and len(steps) >= 3000 // BATCH_SIZE - 1
        assert max(later - earlier for earlier, later in zip(steps, steps[1:], strict=False)) <= BATCH_SIZE


def test_chunks_and_batches_are_small_enough_to_let_others_run():
    assert server_list.CHUNK_BYTES <= 16 * 1024 and server_table.BATCH_SIZE <= 128
    assert server_table.COMPARISONS_PER_STEP <= 1000


@on_loop
async def test_list_is_abandoned_when_a_discovery_that_was_named_later_sends_one(tmp_path):
    async with StubServer() as server, GatewayHarness(server, path=tmp_path) as harness:
        await harness.discovery.calls.get()
        many = [server_entry(server, f"x{n}") for n in range(3 * BATCH_SIZE)]
        parsed = parse_server_list(json.dumps({"version": 5, "full": False, "servers": many}).encode())
        steps = harness.service.apply_server_list(parsed, harness.service.discovery.current_source)
        next(steps)
        harness.service.reload(harness.service.config)
        next(steps)  # the new discovery has not sent a list yet
        held = len(harness.service.server_table.entries)
        newer = parse_server_list(json.dumps({"version": 1, "full": False, "servers": []}).encode())
        for _ in harness.service.apply_server_list(newer, harness.service.discovery.current_source):
            pass
        with pytest.raises(ValueError, match="replaced"):
            next(steps)
        assert len(harness.service.server_table.entries) == held < 3 * BATCH_SIZE
        assert harness.service.event_log.counts[EventKind.LIST_NOT_APPLIED, "discovery was replaced"] == 1
