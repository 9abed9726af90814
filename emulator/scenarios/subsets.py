"""Which servers the gateways keep to: how evenly they are covered, and what a change of the list moves."""

from __future__ import annotations

from collections import Counter

from calicomast import interface as api
from calicomast.policy import GatewayPolicy
from emulator.deployment import GATEWAYS_AT_TARGET, SERVERS_AT_TARGET, Deployment
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes

GATEWAYS = 330  # with as many servers to each as at the target
REPLACED = 0.01  # part of the servers that is replaced to see what moves


def subset(gateway: GatewayPolicy) -> set[str]:
    """The ids of the servers that a gateway keeps to."""
    return {server.info.id for server in gateway.balancer.subset}


def measure(deployment: Deployment, seed: int) -> Row:
    """Subsets of all gateways of one size, before and after a part of the servers is replaced."""
    hosts = deployment.all_servers()
    step = round(1 / REPLACED)
    gone = tuple(deployment.server(n, "down") for n in range(0, deployment.servers, step))
    new = tuple(deployment.server(deployment.servers + n) for n in range(len(gone)))
    covered: Counter[str] = Counter({host.id: 0 for host in hosts})
    sizes, moved, kept_names = [], 0, 0
    for index in range(deployment.gateways):
        gateway = GatewayPolicy(deployment.settings(index), seed, 1000.0)
        gateway.handle(1000.0, api.ServerListUpdate("cached", 1, hosts))
        before = subset(gateway)
        covered.update(before)
        sizes.append(len(before))
        gateway.handle(1000.0, api.ServerListUpdate("delta", 2, gone + new))
        lost = before - subset(gateway)
        moved += len(lost - {host.id for host in gone})
        kept_names += len(before)
    return {
        "gateways": deployment.gateways,
        "servers": deployment.servers,
        "subset_least": min(sizes),
        "subset_most": max(sizes),
        "gateways_per_server_least": min(covered.values()),
        "gateways_per_server_mean": sum(covered.values()) / len(covered),
        "gateways_per_server_most": max(covered.values()),
        "uncovered_servers": sum(count == 0 for count in covered.values()),
        "needlessly_dropped_part": moved / max(1, kept_names),
    }


def run(options: Options) -> list[Row]:
    """Three sizes at the target's ratio of servers to gateways."""
    largest = options.gateways or GATEWAYS
    ratio = (options.servers or SERVERS_AT_TARGET * largest / GATEWAYS_AT_TARGET) / largest
    sizes = geometric_sizes(largest, steps=3, factor=2.0, least=2)
    rows = []
    for done, gateways in enumerate(sizes):
        options.progress(f"{gateways} gateways", done / len(sizes))
        rows.append(measure(Deployment(gateways, max(1, round(gateways * ratio))), options.seed))
    return rows


SCENARIO = Scenario(
    "subsets",
    "hollow",
    "which servers the gateways keep to: gateways of each server, and what a change of the list moves",
    run,
    (
        "gateways",
        "servers",
        "subset_least",
        "subset_most",
        "gateways_per_server_least",
        "gateways_per_server_mean",
        "gateways_per_server_most",
        "uncovered_servers",
        "needlessly_dropped_part",
    ),
    (("gateways_per_server_mean", "gateways"),),
)
