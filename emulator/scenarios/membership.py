"""What a list of servers costs one gateway: reading it, taking it over, and one change of it."""

from __future__ import annotations

import json

from calicomast import interface as api
from calicomast.net.listing import Listing, read_list
from calicomast.policy import Gateway
from emulator.deployment import GATEWAYS_AT_TARGET, SERVERS_AT_TARGET, Deployment
from emulator.measure import cpu_seconds, executed_lines, memory_megabytes
from emulator.scenarios.base import Options, Row, Scenario, ladder

CHANGES = 50  # of which the mean is taken


def body(deployment: Deployment) -> bytes:
    """A whole list as discovery sends it."""
    entries = [deployment.entry(n) for n in range(deployment.servers)]
    return json.dumps({"version": 1, "full": True, "servers": entries}, separators=(",", ":")).encode()


def change_body(deployment: Deployment, number: int, state: str) -> bytes:
    """One change as a watch tells it."""
    told = {"version": 2, "full": False, "servers": [deployment.entry(number, state=state)]}
    return json.dumps(told, separators=(",", ":")).encode()


def take(gateway: Gateway, listing: Listing) -> None:
    """Hands a list to the module as the network code does."""
    gateway.handle(1000.0, listing.hosts)


def measure(deployment: Deployment, seed: int) -> Row:
    """One size."""
    text = body(deployment)
    listing, reading = cpu_seconds(lambda: read_list(json.loads(text)))
    gateway = Gateway(deployment.settings(0), seed, 1000.0)
    _, taking = cpu_seconds(lambda: take(gateway, listing))
    step = max(1, deployment.servers // CHANGES)
    changed = [
        (deployment.host(n, state),)
        for state in ("leaving", "up")
        for n in range(0, deployment.servers, step)
    ]
    changes = [api.HostList("delta", 2, hosts) for hosts in changed]
    _, changing = cpu_seconds(lambda: [gateway.handle(1000.0, change) for change in changes])
    lines = executed_lines(lambda: [gateway.handle(1000.0, change) for change in changes])

    def hold() -> Gateway:
        held = Gateway(deployment.settings(0), seed, 1000.0)
        take(held, read_list(json.loads(text)))
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
    sizes = ladder(options.servers or SERVERS_AT_TARGET, steps=5, factor=4.0)
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
