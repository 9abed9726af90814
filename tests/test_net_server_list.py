"""Lists of servers: read piece by piece, taken over in slices, and what is no list."""

import json
import logging

import pytest
from netkit import SERVED, Node, StubHost, command, entry, in_virtual_time, on_loop
from test_net_discovery import DiscoverySimulation, available_servers

from calicomast.net import discovery, gateway, server_list, server_table
from calicomast.net.events import Kind
from calicomast.net.json_stream import MAX_VALUE_CHARACTERS, JsonArrayReader
from calicomast.net.server_list import CHUNK_BYTES, ServerListReader, parse_server_list
from calicomast.net.server_table import BATCH_SIZE, COMPARISONS_PER_STEP, ServerTable


def told(name="h1", state="up", **more):
    return {"id": name, "addr": "127.0.0.1:1", "zone": "a", "state": state, "started_ms": 0} | more


def text(servers, version=3, full=True, **layout):
    return json.dumps({"version": version, "full": full, "servers": servers}, **layout).encode()


SERVERS = [told(f"h{n}", cell=n, zone='zóna } ] , { \\ "') for n in range(40)]
LAYOUTS = [dict(indent=2), dict(separators=(",", ":")), dict(ensure_ascii=False), dict(sort_keys=True)]


def items(data, size, path=("servers",)):
    reader = JsonArrayReader(path)
    found = []
    for start in range(0, len(data), size):
        found += reader.feed(data[start : start + size])
    found += reader.feed(b"", final=True)
    return found, reader.members


@pytest.mark.parametrize("layout", LAYOUTS, ids=str)
@pytest.mark.parametrize("size", [1, 2, 7, 100, 10**6])
def test_items_come_out_whole_whatever_the_pieces_and_the_layout(size, layout):
    found, members = items(text(SERVERS, **layout), size)
    assert found == SERVERS and members == [{"version": 3, "full": True}]


@pytest.mark.parametrize("size", [1, 50])
def test_an_array_is_found_inside_of_a_member_and_members_come_in_any_order(size):
    nested = {"a": [1, {"servers": 2}], "known": {"servers": SERVERS[:3], "version": 4}, "z": {"known": None}}
    found, members = items(json.dumps(nested).encode(), size, ("known", "servers"))
    assert found == SERVERS[:3]
    assert members == [{"a": [1, {"servers": 2}], "z": {"known": None}}, {"version": 4}]


def test_items_that_are_nested_or_no_objects_are_given_as_they_are():
    odd = [{"a": {"b": [{}]}}, 5, "x}", [1, {"c": "]"}], None, {}]
    for size in (1, 3, 1000):
        assert items(json.dumps({"servers": odd}).encode(), size)[0] == odd


def test_a_text_cut_short_at_any_place_is_no_list():
    whole = text(SERVERS[:2])
    assert parse_server_list(whole).version == 3
    for end in range(len(whole)):
        with pytest.raises(ValueError):
            parse_server_list(whole[:end])


@pytest.mark.parametrize(
    "bad",
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
        text([{"id": "h9"}]),
    ],
    ids=lambda bad: bad[:40],
)
def test_what_is_no_list_is_a_value_error(bad):
    with pytest.raises(ValueError):
        parse_server_list(bad)


def test_a_value_without_end_is_given_up_before_it_fills_the_memory():
    reader = JsonArrayReader(("servers",))
    assert not list(reader.feed(b'{"a": "'))
    fed = 0
    with pytest.raises(ValueError, match="exceeds the length limit"):
        while True:
            fed += CHUNK_BYTES
            list(reader.feed(b"x" * CHUNK_BYTES))
    assert fed <= MAX_VALUE_CHARACTERS + 2 * CHUNK_BYTES


ODD = [
    {"id": "h9"},
    None,
    7,
    told("h8", weight="x"),
    told("h8", weight=-1),
    told("h8", weight=1e999),
    told("h8", cell=-4),
    told("h8", cell=10**30),
    told("h8", started_ms=-5),
    told("h8", addr="nowhere"),
    told("h8", addr="127.0.0.1:99999"),
    told("h8", state="odd"),
    told(8),
    told("h\ud800"),
]


def test_entries_that_cannot_be_read_harm_no_other_and_are_a_warning(caplog):
    listed = parse_server_list(text([told("h1"), *ODD, told("h2", "draining")]))
    assert [(e.server.id, e.server.state) for e in listed.entries] == [("h1", "up"), ("h2", "leaving")]
    assert f"{len(ODD)} malformed entries" in caplog.text and len(caplog.records) == 1


def test_of_an_id_that_is_named_twice_the_last_counts_and_a_warning_says_so(caplog):
    listed = parse_server_list(text([told("h1"), told("h2"), told("h1", "draining")]))
    assert [(e.server.id, e.server.state) for e in listed.entries] == [("h1", "leaving"), ("h2", "up")]
    assert "1 duplicate ids" in caplog.text


def test_reading_gives_way_after_each_piece():
    data = text([told(f"h{n}") for n in range(2000)])
    reader, steps, before = ServerListReader(), 0, 0
    for _ in reader.feed(data):
        steps += 1
        assert len(reader.entries) - before < 2 * CHUNK_BYTES / len(text([told("h1000")])) * 3
        before = len(reader.entries)
    assert steps == len(data) // CHUNK_BYTES


def test_what_is_held_already_is_not_kept_twice():
    first = parse_server_list(text([told("h1"), told("h2")]))
    held = {e.server.id: e for e in first.entries}
    reader = ServerListReader(known_entries=held)
    list(reader.feed(text([told("h1"), told("h2", weight=2.0)]), final=True))
    same, other = reader.server_list().entries
    assert same is held["h1"] and other is not held["h2"]


class Table:
    """A server table, with what it passes on in the order in which it does."""

    def __init__(self):
        self.seen = []
        self.table = ServerTable(self.feed, lambda server: self.seen.append(("stop", server)))

    def feed(self, event):
        self.seen.append((event.mode, event.version, [(h.id, h.state) for h in event.hosts]))

    def take(self, servers, version=3, full=True, mode=None):
        """Takes a list over; how often it gave way, and what was passed on."""
        self.seen.clear()
        listed = parse_server_list(text(servers, version, full), mode)
        self.table.validate(listed)
        return sum(1 for _ in self.table.apply(listed)), self.seen


def test_only_what_changed_is_passed_on_and_what_a_whole_list_leaves_out_is_gone():
    table = Table()
    assert table.take([told("h1"), told("h2")], mode="cached") == (
        0,
        [("cached", 3, [("h1", "up"), ("h2", "up")])],
    )
    assert table.take([told("h1"), told("h2")])[1] == [("delta", 3, [])]
    assert table.take([told("h2"), told("h3", started_ms=5000)], 4)[1] == [
        ("delta", 4, [("h1", "down"), ("h3", "up")]),
        ("stop", "h1"),
    ]
    assert set(table.table.entries) == {"h2", "h3"}


def test_a_restart_under_the_same_id_and_a_new_address_are_changes():
    table = Table()
    table.take([told("h1"), told("h2")])
    assert table.take([told("h1", started_ms=7000)], full=False)[1] == [("delta", 3, [("h1", "up")])]
    assert table.take([told("h2", addr="127.0.0.1:2")], full=False)[1] == [
        ("stop", "h2"),
        ("delta", 3, [("h2", "up")]),
    ]
    assert table.table.address_of("h2") == ("127.0.0.1", 2)
    assert table.take([told("h2", addr="", weight=3.0)], full=False)[1] == [("delta", 3, [("h2", "up")])]
    assert table.table.address_of("h2") == ("127.0.0.1", 2)  # where it was


def test_a_long_list_is_taken_over_in_slices_and_what_stops_comes_first():
    table = Table()
    steps, seen = table.take([told(f"h{n}") for n in range(1000)], mode="cached")
    assert steps == 1000 // BATCH_SIZE - 1 and [len(hosts) for _, _, hosts in seen] == [BATCH_SIZE] * (
        1000 // BATCH_SIZE
    )
    assert [mode for mode, _, _ in seen] == ["cached"] + ["delta"] * (1000 // BATCH_SIZE - 1)
    left = [told(f"h{n}", "draining" if n == 500 else "up", weight=2.0) for n in range(10, 1000)]
    _, seen = table.take(left, 4)
    events = [hosts for kind, *rest in seen if kind == "delta" for hosts in rest[1:]]
    stopping = [name for name, state in events[0] if state != "up"]
    assert len(stopping) == 11 and "h500" in stopping
    assert all(state == "up" for hosts in events[1:] for _, state in hosts)
    assert table.table.address_of("h500") is None and table.table.address_of("h501")


def test_a_long_list_that_says_nothing_new_is_compared_in_steps():
    table = Table()
    servers = [told(f"h{n}") for n in range(5 * COMPARISONS_PER_STEP)]
    table.take(servers)
    steps, seen = table.take(servers, 4)
    assert steps == 2 * 4 and seen == [("delta", 4, [])]  # four over the list, four over those that are held
    steps, seen = table.take(servers[:1], 5)
    assert steps >= 4 and len(table.table.entries) == 1


def test_a_whole_list_without_servers_is_refused_while_some_are_held():
    table = Table()
    table.take([])
    table.take([told("h1")])
    with pytest.raises(ValueError, match="without servers"):
        table.take([])
    assert set(table.table.entries) == {"h1"}
    table.take([], full=False)  # no change is none


def test_a_drain_of_a_server_that_was_never_listed_is_a_warning_and_no_more(caplog):
    table = Table()
    table.take([told("h1")])
    table.take([told("h7", "draining"), told("h8", "removed")], full=False)
    assert "2 servers that were never listed are draining or removed" in caplog.text
    assert sorted(table.table.entries) == ["h1", "h7"] and table.table.address_of("h7") is None


BAD_BODIES = {
    "cut short": text([told("h1")])[:-9].decode(),
    "negative version": '{"version":-3,"full":true,"servers":[]}',
    "no servers": '{"version":9,"full":true,"servers":[]}',
    "absurd version": '{"version":1e999,"full":true,"servers":[]}',
}


@pytest.mark.parametrize("raw", BAD_BODIES.values(), ids=BAD_BODIES)
@on_loop
async def test_a_bad_list_is_a_warning_and_the_last_good_one_stays(raw, tmp_path, caplog):
    caplog.set_level(logging.WARNING)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        await node.discovery.calls.get()
        node.discovery.raw = raw
        node.discovery.changes.put_nowait([])
        while "index" in await node.discovery.calls.get():
            pass  # it asks for the whole list again
        assert available_servers(node) == {"h1"} and await node.ask(command()) == SERVED
    assert "keeping the last server list" in caplog.text


@on_loop
async def test_a_list_past_what_the_memory_allows_is_given_up_and_the_last_one_stays(tmp_path, monkeypatch):
    monkeypatch.setattr(gateway, "LEAST_LIST", 4096)
    monkeypatch.setattr(gateway, "OWN_MEMORY", 192 * 1024 * 1024)
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        assert node.node.most_list == 4096
        await node.discovery.calls.get()
        many = [entry(host, f"x{n}") for n in range(100)]
        node.discovery.raw = json.dumps({"version": 5, "full": True, "servers": many})
        node.discovery.changes.put_nowait([])
        while "index" in await node.discovery.calls.get():
            pass
        assert available_servers(node) == {"h1"} and await node.ask(command()) == SERVED


def test_the_bound_on_a_list_comes_from_the_memory(tmp_path):
    assert gateway.list_bound(192 * 1024 * 1024) > 4 * gateway.list_bound(72 * 1024 * 1024)
    assert gateway.list_bound(16 * 1024 * 1024) == gateway.LEAST_LIST


@in_virtual_time
async def test_a_costly_list_that_is_refused_is_asked_for_with_a_growing_pause(monkeypatch):
    simulation = DiscoverySimulation(monkeypatch, lambda call, at: 0.0, has_list=False)

    async def oversized(target):
        simulation.calls.append((simulation.loop.time(), {}))
        yield b" " * (discovery.LARGE_RESPONSE_BYTES + 1)
        raise ValueError("the response body exceeds the size limit")

    monkeypatch.setattr(simulation.client, "read_body", oversized)
    await simulation.run(60.0)
    began = [at for at, _ in simulation.calls]
    pauses = [round(later - at, 6) for at, later in zip(began, began[1:], strict=False)]
    assert pauses == sorted(pauses) and pauses[0] < 0.2
    assert (
        2.0 < pauses[-1] < discovery.CHANGE_DEADLINE - discovery.RESPONSE_TIMEOUT
    )  # a change is heard in time
    assert len(began) < 30


@in_virtual_time
async def test_an_answer_that_still_comes_in_keeps_others_from_being_asked_for(monkeypatch):
    simulation = DiscoverySimulation(monkeypatch, lambda call, at: 0.0, has_list=False)
    whole = text([told("h1")], version=8)

    async def slow(target):
        simulation.calls.append((simulation.loop.time(), {}))
        for start in range(0, len(whole), 20):
            await discovery.asyncio.sleep(0.3)
            yield whole[start : start + 20]

    monkeypatch.setattr(simulation.client, "read_body", slow)
    simulation.client.watch(True)
    await discovery.asyncio.sleep(1.9)
    assert len(simulation.calls) == 1
    await discovery.asyncio.sleep(0.5)
    assert [version for _, version in simulation.received] == [8]
    await simulation.client.close()


@on_loop
async def test_requests_are_answered_while_a_long_list_is_taken_over(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        await node.discovery.calls.get()
        steps, take = [], node.node.take_list

        def counted(listed):
            for step in take(listed):
                steps.append(len(node.node.servers.entries))
                yield step

        node.node.discovery.apply_list = counted
        many = [entry(host, f"x{n}") for n in range(3000)] + [entry(host)]
        whole = json.dumps({"version": 5, "full": True, "servers": many})
        node.discovery.raw = whole
        node.discovery.changes.put_nowait([])
        answered = 0
        while len(node.node.servers.entries) < 3001:
            assert await node.ask(command(b"r%d" % answered)) == SERVED
            answered += 1
        assert answered > 3 and len(steps) >= 3000 // BATCH_SIZE - 1
        assert max(b - a for a, b in zip(steps, steps[1:], strict=False)) <= BATCH_SIZE


def test_pieces_and_slices_are_small_enough_to_let_others_run():
    assert server_list.CHUNK_BYTES <= 16 * 1024 and server_table.BATCH_SIZE <= 128
    assert server_table.COMPARISONS_PER_STEP <= 1000


@on_loop
async def test_a_list_is_not_gone_on_with_once_the_configuration_names_another_discovery(tmp_path):
    async with StubHost() as host, Node(host, path=tmp_path) as node:
        await node.discovery.calls.get()
        many = [entry(host, f"x{n}") for n in range(3 * BATCH_SIZE)]
        listed = parse_server_list(json.dumps({"version": 5, "full": False, "servers": many}).encode())
        slices = node.node.take_list(listed, node.node.sources)
        next(slices)
        held = len(node.node.servers.entries)
        node.node.reload(node.node.config)
        with pytest.raises(ValueError, match="replaced"):
            next(slices)
        assert len(node.node.servers.entries) == held < 3 * BATCH_SIZE
        assert node.node.log.counts[Kind.LIST_NOT_APPLIED, "discovery was replaced"] == 1
