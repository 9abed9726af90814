"""The configuration of a soak: settings of its gateways, and constants that the invariant checks use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from emulator.deployment import MILLISECOND_NS, SECOND_NS, Deployment, PlanQuota
from emulator.soak.record import Effect

SPREAD = 3  # gateways that receive the requests of one tenant
SERVER_CONCURRENCY = 2  # requests that a server processes at once
MEAN_SERVICE_TIME = 0.03  # seconds
PLAN = PlanQuota("standard", rate=6.0, burst=12.0)
CONCURRENCY_LIMIT = 1000  # requests of a tenant at once; more than a soak reaches
DRAIN_GRACE = 1.0  # seconds within which a gateway must stop sending to a draining server
# Seconds after which a change in discovery is assumed to have reached every gateway, even if calls failed.
MAX_DISCOVERY_DELAY = 6.0
SLOW_START_DURATION = 6.0  # seconds
SLOW_START_INITIAL_SHARE = 0.15  # share of its capacity that a server has when it starts
OVERLOAD_MULTIPLE = 3.0  # a server fails above this multiple of its current capacity
OVERLOAD_WINDOW = 1.0  # seconds over which the load of a server is compared with its capacity
DEDUP_WINDOW = 2.0  # seconds for which servers drop a retry of a keyed request
MAX_DESCRIPTORS = 256  # descriptors that a gateway may hold
CONNECT_TIMEOUT = 1.5  # seconds


@dataclass(frozen=True, slots=True)
class ServiceClassConfig:
    """A service class of the soak.

    Attributes:
        latency_target, deadline: seconds.
        traffic_share: share of the requests that belong to this class.
    """

    name: str
    effect: Effect
    latency_target: float
    deadline: float
    traffic_share: float


SERVICE_CLASSES = (
    ServiceClassConfig("fetch", Effect.SAFE, 0.6, 1.5, 0.6),
    ServiceClassConfig("report", Effect.KEYED, 0.6, 2.5, 0.25),
    ServiceClassConfig("order", Effect.UNSAFE, 0.6, 2.0, 0.15),
)
MAX_DEADLINE = max(service_class.deadline for service_class in SERVICE_CLASSES)
EFFECT_SETTINGS = {Effect.SAFE: "pure", Effect.KEYED: "token", Effect.UNSAFE: "side_effect"}


def settings_tree(gateways: int, index: int) -> dict[str, Any]:
    """Returns the settings of one gateway as nested JSON, with times in nanoseconds."""
    deployment = Deployment(
        gateways,
        16,
        zones=2,
        plans=(PLAN,),
        slow_start_duration=SLOW_START_DURATION,
        extra_limits={"max_open": 500},
    )
    tree = deployment.settings_tree(index)
    tree["limits"]["connect_timeout"] = int(CONNECT_TIMEOUT * SECOND_NS)
    tree["limits"]["idle_close"] = 5 * SECOND_NS
    tree["specifics"]["counter_timeout"] = 80 * MILLISECOND_NS
    for plan in tree["plans"]:
        plan["parallel"] = CONCURRENCY_LIMIT
    tree["services"] = [
        {
            "name": service_class.name,
            "slo": int(service_class.latency_target * SECOND_NS),
            "deadline": int(service_class.deadline * SECOND_NS),
            "effect": EFFECT_SETTINGS[service_class.effect],
            "dedup_scope": "all",
            "memory_span": int(DEDUP_WINDOW * SECOND_NS),
            "gain": 1.0,
        }
        for service_class in SERVICE_CLASSES
    ]
    return tree
