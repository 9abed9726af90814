"""Scenario: memory and quota entries that each tenant costs a gateway."""

from __future__ import annotations

from calicomast import interface as api
from calicomast.policy import GatewayPolicy
from emulator.deployment import GATEWAYS_AT_TARGET, Deployment
from emulator.measure import memory_megabytes
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes

MAX_TENANTS = 32_000  # more than one gateway serves in a few minutes; a ninth of all tenants
SERVERS = 64


def measure(tenants: int, gateways: int, seed: int) -> Row:
    """Measures one gateway that serves one request of each of `tenants` tenants within one second.

    Each request is answered at once.
    """
    deployment = Deployment(gateways, SERVERS, tenants)

    def serve_all_tenants() -> GatewayPolicy:
        gateway = GatewayPolicy(deployment.settings(0), seed, 1000.0)
        gateway.handle(1000.0, api.ServerListUpdate("cached", 1, deployment.all_servers()))
        for number in range(tenants):
            now = 1000.0 + number / tenants
            request = api.Request(f"r{number}", 1.5, f"{number:016x}", "standard", "fetch", 1.0, 0, 3)
            for action in gateway.handle(now, request):
                if isinstance(action, api.Send):
                    gateway.handle(now, api.Outcome(action.id, 0, action.server, "ok", 0.05, True))
                elif isinstance(action, api.AddToCounter):
                    gateway.handle(now, api.CounterResult(action.counter_key, "ok", action.amount, 0.002))
        gateway.handle(1010.0, api.TimerExpired(0))
        return gateway

    gateway, memory, _ = memory_megabytes(serve_all_tenants)
    return {"tenants": tenants, "accounts_held": len(gateway.tenant_quotas), "memory_mb": memory}


def run(options: Options) -> list[Row]:
    """Measures four numbers of tenants."""
    gateways = options.gateways or GATEWAYS_AT_TARGET
    sizes = geometric_sizes(options.tenants or MAX_TENANTS)
    rows = []
    for index, tenants in enumerate(sizes):
        options.progress(f"{tenants} tenants", index / len(sizes))
        rows.append(measure(tenants, gateways, options.seed))
    return rows


SCENARIO = Scenario(
    "accounts",
    "hollow",
    "memory and quota entries that each tenant costs a gateway",
    run,
    ("tenants", "accounts_held"),
    (("memory_mb", "tenants"), ("accounts_held", "tenants")),
)
