"""Scenario: cost of a server list to one gateway: parsing it, applying it, and applying one change."""

from __future__ import annotations

import json

from calicomast import interface as api
from calicomast.net.server_list import ServerList, parse_server_list
from calicomast.net.server_table import ServerTable
from calicomast.policy import GatewayPolicy
from emulator.deployment import GATEWAYS_AT_TARGET, SERVERS_AT_TARGET, Deployment
from emulator.measure import cpu_seconds, executed_lines, memory_megabytes
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes

CHANGED_SERVERS = 50  # servers whose state changes; the results are means over the changes


def full_list_body(deployment: Deployment) -> bytes:
    """Returns the body of a response of discovery with the full list."""
    entries = [deployment.discovery_entry(number) for number in range(deployment.servers)]
    return json.dumps({"version": 1, "full": True, "servers": entries}, separators=(",", ":")).encode()


def change_body(deployment: Deployment, number: int, state: str) -> bytes:
    """Returns the body of a response of discovery with one change."""
    message = {"version": 2, "full": False, "servers": [deployment.discovery_entry(number, state=state)]}
    return json.dumps(message, separators=(",", ":")).encode()


class ListReceiver:
    """A gateway policy and the server table of the network code that passes server lists to it."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.gateway = GatewayPolicy(deployment.settings(0), seed, 1000.0)
        self.table = ServerTable(lambda event: self.gateway.handle(1000.0, event), lambda server: None)

    def apply_list(self, server_list: ServerList) -> None:
        """Applies a server list, and refreshes the load balancer, which builds its candidate lists lazily."""
        for _ in self.table.apply(server_list):
            pass
        self.gateway.balancer.refresh()


def measure(deployment: Deployment, seed: int) -> Row:
    """Measures the costs at one length of the server list."""
    body = full_list_body(deployment)
    server_list, parse_seconds = cpu_seconds(lambda: parse_server_list(body))
    receiver = ListReceiver(deployment, seed)
    _, apply_seconds = cpu_seconds(lambda: receiver.apply_list(server_list))
    step = max(1, deployment.servers // CHANGED_SERVERS)
    changed_servers = [
        (deployment.server(number, state),)
        for state in ("leaving", "up")
        for number in range(0, deployment.servers, step)
    ]
    changes = [api.ServerListUpdate("delta", 2, servers) for servers in changed_servers]

    def apply_changes() -> None:
        for change in changes:
            receiver.gateway.handle(1000.0, change)
            receiver.gateway.balancer.refresh()

    _, change_seconds = cpu_seconds(apply_changes)
    line_count = executed_lines(apply_changes)

    def build_receiver() -> ListReceiver:
        new_receiver = ListReceiver(deployment, seed)
        new_receiver.apply_list(parse_server_list(body))
        return new_receiver

    _, memory, peak_memory = memory_megabytes(build_receiver)
    return {
        "servers": deployment.servers,
        "body_bytes": len(body),
        "change_bytes": len(change_body(deployment, 0, "up")),
        "read_ms": 1000 * parse_seconds,
        "module_ms": 1000 * apply_seconds,
        "change_ms": 1000 * change_seconds / len(changes),
        "change_lines": line_count / len(changes),
        "memory_mb": memory,
        "memory_peak_mb": peak_memory,
    }


def run(options: Options) -> list[Row]:
    """Measures five list lengths, up to the 51,000 servers of the target deployment."""
    gateways = options.gateways or GATEWAYS_AT_TARGET
    sizes = geometric_sizes(options.servers or SERVERS_AT_TARGET, steps=5, factor=4.0)
    rows = []
    for index, servers in enumerate(sizes):
        options.progress(f"{servers} servers", index / len(sizes))
        rows.append(measure(Deployment(gateways, servers), options.seed))
    return rows


SCENARIO = Scenario(
    "membership",
    "hollow",
    "bytes, CPU and memory that a full server list and one change of it cost a gateway",
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
