"""What a list of servers costs one gateway: reading it, taking it over, and one change of it."""

from __future__ import annotations

import json

from calicomast import interface as api
from calicomast.net.server_list import ServerList, parse_server_list
from calicomast.net.server_table import ServerTable
from calicomast.policy import GatewayPolicy
from emulator.deployment import GATEWAYS_AT_TARGET, SERVERS_AT_TARGET, Deployment
from emulator.measure import cpu_seconds, executed_lines, memory_megabytes
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes

CHANGES = 50  # of which the mean is taken


def body(deployment: Deployment) -> bytes:
    """A whole list as discovery sends it."""
    entries = [deployment.discovery_entry(n) for n in range(deployment.servers)]
    return json.dumps({"version": 1, "full": True, "servers": entries}, separators=(",", ":")).encode()


def change_body(deployment: Deployment, number: int, state: str) -> bytes:
    """One change as a watch tells it."""
    told = {"version": 2, "full": False, "servers": [deployment.discovery_entry(number, state=state)]}
    return json.dumps(told, separators=(",", ":")).encode()


class Taker:
    """The module, and the network code's table that hands lists to it."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.gateway = GatewayPolicy(deployment.settings(0), seed, 1000.0)
        self.table = ServerTable(lambda event: self.gateway.handle(1000.0, event), lambda server: None)

    def take(self, listing: ServerList) -> None:
        """Takes a list over, and looks for a server once, which is when the lists of them are made."""
        for _ in self.table.apply(listing):
            pass
        self.gateway.balancer.refresh()


def measure(deployment: Deployment, seed: int) -> Row:
    """One size."""
    text = body(deployment)
    listing, reading = cpu_seconds(lambda: parse_server_list(text))
    taker = Taker(deployment, seed)
    _, taking = cpu_seconds(lambda: taker.take(listing))
    step = max(1, deployment.servers // CHANGES)
    changed = [
        (deployment.server(n, state),)
        for state in ("leaving", "up")
        for n in range(0, deployment.servers, step)
    ]
    changes = [api.ServerListUpdate("delta", 2, hosts) for hosts in changed]

    def change_all() -> None:
        for change in changes:
            taker.gateway.handle(1000.0, change)
            taker.gateway.balancer.refresh()

    _, changing = cpu_seconds(change_all)
    lines = executed_lines(change_all)

    def hold() -> Taker:
        held = Taker(deployment, seed)
        held.take(parse_server_list(text))
        return held

    _, kept, peak = memory_megabytes(hold)
    return {
        "servers": deployment.servers,
        "body_bytes": len(text),
        "change_bytes": len(change_body(deployment, 0, "up")),
        "read_ms": 1000 * reading,
        "module_ms": 1000 * taking,
        "change_ms": 1000 * changing / len(changes),
        "change_lines": lines / len(changes),
        "memory_mb": kept,
        "memory_peak_mb": peak,
    }


def run(options: Options) -> list[Row]:
    """Sizes up to the target's 51,000 servers."""
    gateways = options.gateways or GATEWAYS_AT_TARGET
    sizes = geometric_sizes(options.servers or SERVERS_AT_TARGET, steps=5, factor=4.0)
    rows = []
    for done, servers in enumerate(sizes):
        options.progress(f"{servers} servers", done / len(sizes))
        rows.append(measure(Deployment(gateways, servers), options.seed))
    return rows


SCENARIO = Scenario(
    "membership",
    "hollow",
    "what a list of servers costs one gateway: bytes, CPU and memory of a whole list and of one change",
    run,
    ("servers", "body_bytes", "change_bytes", "change_lines"),
    (
        ("body_bytes", "servers"),
        ("read_ms", "servers"),
        ("module_ms", "servers"),
        ("change_ms", "servers"),
        ("change_lines", "servers"),
        ("memory_mb", "servers"),
    ),
)
