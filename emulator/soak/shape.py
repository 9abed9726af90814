"""The deployment that a soak plays: settings of its gateways, and figures that the judges go by."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from emulator.deployment import MILLISECOND_NS, SECOND_NS, Deployment, PlanQuota
from emulator.soak.record import Effect

SPREAD = 3  # gateways that a customer's requests come through
SLOTS = 2  # requests that a server works on at once
WORK = 0.03  # seconds of a request, in the mean
PLAN = PlanQuota("standard", rate=6.0, burst=12.0)
GRACE = 1.0  # seconds in which sends to a drained server must stop
TOLD_AT_LATEST = 6.0  # seconds after which what discovery has counts as told, whatever became of calls
COLD_TIME, COLD_SHARE = (
    6.0,
    0.15,
)  # seconds until a server is warm; the part of its capacity that it has at first
FALL_MULTIPLE, FALL_TIME = 3.0, 1.0
MEMORY = 2.0  # seconds for which repeats of a keyed request are dropped
SOCKETS = 256  # descriptors that a gateway may hold
CONNECT_TIMEOUT = 1.5


@dataclass(frozen=True, slots=True)
class ClassShape:
    """A class of requests; times in seconds."""

    name: str
    effect: Effect
    aim: float
    deadline: float
    share: float


CLASSES = (
    ClassShape("fetch", Effect.SAFE, 0.6, 1.5, 0.6),
    ClassShape("report", Effect.KEYED, 0.6, 2.5, 0.25),
    ClassShape("order", Effect.UNSAFE, 0.6, 2.0, 0.15),
)
LONGEST = max(shape.deadline for shape in CLASSES)
EFFECT_NAMES = {Effect.SAFE: "pure", Effect.KEYED: "token", Effect.UNSAFE: "side_effect"}


def settings_tree(gateways: int, index: int) -> dict[str, Any]:
    """The settings of one gateway as nested JSON."""
    deployment = Deployment(
        gateways, 16, zones=2, plans=(PLAN,), slow_start_duration=COLD_TIME, extra_limits={"max_open": 500}
    )
    tree = deployment.settings_tree(index)
    tree["limits"]["connect_timeout"] = int(CONNECT_TIMEOUT * SECOND_NS)
    tree["limits"]["idle_close"] = 5 * SECOND_NS
    tree["specifics"]["counter_timeout"] = 80 * MILLISECOND_NS
    tree["services"] = [
        {
            "name": shape.name,
            "slo": int(shape.aim * SECOND_NS),
            "deadline": int(shape.deadline * SECOND_NS),
            "effect": EFFECT_NAMES[shape.effect],
            "dedup_scope": "all",
            "memory_span": int(MEMORY * SECOND_NS),
            "gain": 1.0,
        }
        for shape in CLASSES
    ]
    return tree
