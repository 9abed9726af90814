"""What a tenant costs a gateway that it was seen at: memory, and the entries held."""

from __future__ import annotations

from calicomast import interface as api
from calicomast.policy import GatewayPolicy
from emulator.deployment import GATEWAYS_AT_TARGET, Deployment
from emulator.measure import memory_megabytes
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes

TENANTS = 32_000  # more than a gateway sees in a few minutes; a ninth of all
SERVERS = 64


def measure(tenants: int, gateways: int, seed: int) -> Row:
    """One request of each of so many tenants within one second, answered at once."""
    deployment = Deployment(gateways, SERVERS, tenants)

    def see_all() -> GatewayPolicy:
        gateway = GatewayPolicy(deployment.settings(0), seed, 1000.0)
        gateway.handle(1000.0, api.ServerListUpdate("cached", 1, deployment.all_servers()))
        for number in range(tenants):
            now = 1000.0 + number / tenants
            request = api.Request(f"r{number}", 1.5, f"{number:016x}", "standard", "fetch", 1.0, 0, 3)
            for action in gateway.handle(now, request):
                if isinstance(action, api.Send):
                    gateway.handle(now, api.Outcome(action.id, 0, action.server, "ok", 0.05, True))
                elif isinstance(action, api.AddToCounter):
                    gateway.handle(now, api.CounterResult(action.name, "ok", action.amount, 0.002))
        gateway.handle(1010.0, api.TimerExpired(0))
        return gateway

    gateway, kept, _ = memory_megabytes(see_all)
    return {"tenants": tenants, "accounts_held": len(gateway.tenant_quotas), "memory_mb": kept}


def run(options: Options) -> list[Row]:
    """Four sizes."""
    gateways = options.gateways or GATEWAYS_AT_TARGET
    sizes = geometric_sizes(options.tenants or TENANTS)
    rows = []
    for done, tenants in enumerate(sizes):
        options.progress(f"{tenants} tenants", done / len(sizes))
        rows.append(measure(tenants, gateways, options.seed))
    return rows


SCENARIO = Scenario(
    "accounts",
    "hollow",
    "what a tenant costs a gateway that it was seen at: memory and entries",
    run,
    ("tenants", "accounts_held"),
    (("memory_mb", "tenants"), ("accounts_held", "tenants")),
)
