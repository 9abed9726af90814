"""Scenario: the subsets of servers that the gateways use.

It measures how evenly the subsets cover the servers, and how a change of the server list alters them.
"""

from __future__ import annotations

from collections import Counter

from calicomast import interface as api
from calicomast.policy import GatewayPolicy
from emulator.deployment import GATEWAYS_AT_TARGET, SERVERS_AT_TARGET, Deployment
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes

GATEWAYS = 330  # with the number of servers per gateway of the target deployment
REPLACED_SHARE = 0.01  # share of the servers that is replaced to measure how the subsets change


def subset_ids(gateway: GatewayPolicy) -> set[str]:
    """Returns the ids of the servers in the subset of a gateway."""
    return {server.info.id for server in gateway.balancer.subset}


def measure(deployment: Deployment, seed: int) -> Row:
    """Compares the subsets of all gateways before and after a share of the servers is replaced."""
    servers = deployment.all_servers()
    step = round(1 / REPLACED_SHARE)
    removed = tuple(deployment.server(number, "down") for number in range(0, deployment.servers, step))
    added = tuple(deployment.server(deployment.servers + number) for number in range(len(removed)))
    gateways_by_server: Counter[str] = Counter({server.id: 0 for server in servers})
    sizes, needlessly_dropped, subset_entries = [], 0, 0
    for index in range(deployment.gateways):
        gateway = GatewayPolicy(deployment.settings(index), seed, 1000.0)
        gateway.handle(1000.0, api.ServerListUpdate("cached", 1, servers))
        before = subset_ids(gateway)
        gateways_by_server.update(before)
        sizes.append(len(before))
        gateway.handle(1000.0, api.ServerListUpdate("delta", 2, removed + added))
        dropped = before - subset_ids(gateway)
        needlessly_dropped += len(dropped - {server.id for server in removed})
        subset_entries += len(before)
    return {
        "gateways": deployment.gateways,
        "servers": deployment.servers,
        "subset_least": min(sizes),
        "subset_most": max(sizes),
        "gateways_per_server_least": min(gateways_by_server.values()),
        "gateways_per_server_mean": sum(gateways_by_server.values()) / len(gateways_by_server),
        "gateways_per_server_most": max(gateways_by_server.values()),
        "uncovered_servers": sum(count == 0 for count in gateways_by_server.values()),
        "needlessly_dropped_part": needlessly_dropped / max(1, subset_entries),
    }


def run(options: Options) -> list[Row]:
    """Measures three fleet sizes with the target deployment's ratio of servers to gateways."""
    largest = options.gateways or GATEWAYS
    ratio = (options.servers or SERVERS_AT_TARGET * largest / GATEWAYS_AT_TARGET) / largest
    sizes = geometric_sizes(largest, steps=3, factor=2.0, least=2)
    rows = []
    for step, gateways in enumerate(sizes):
        options.progress(f"{gateways} gateways", step / len(sizes))
        rows.append(measure(Deployment(gateways, max(1, round(gateways * ratio))), options.seed))
    return rows


SCENARIO = Scenario(
    "subsets",
    "hollow",
    "subsets of servers: gateways per server, and how a change of the server list alters the subsets",
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
