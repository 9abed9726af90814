"""The deployment that is emulated: sizes, classes and plans, in the form that real gateways read."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from calicomast import interface as api
from calicomast.settings import read_settings

SECOND_NS = 1_000_000_000
MILLISECOND_NS = 1_000_000
GATEWAYS_AT_TARGET, SERVERS_AT_TARGET, TENANTS_AT_TARGET = 3300, 51_000, 280_000
ZONES_AT_TARGET, REGIONS_AT_TARGET = 16, 8


@dataclass(frozen=True, slots=True)
class PlanQuota:
    """A plan's quota: `rate` in units a second, `burst` in units."""

    name: str = "standard"
    rate: float = 4.0
    burst: float = 8.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes and figures of one emulated deployment.

    Attributes:
        latency_target: seconds within which a request should be answered.
        deadline: seconds after which the client gives up.
        slow_start_duration: seconds for which a started server is in slow start.
        counter_timeout: seconds after which a gateway abandons a call to the counter.
    """

    gateways: int
    servers: int
    tenants: int = 1000
    zones: int = ZONES_AT_TARGET
    plans: tuple[PlanQuota, ...] = (PlanQuota(),)
    latency_target: float = 0.6
    deadline: float = 1.5
    slow_start_duration: float = 18.0
    counter: bool = True
    counter_timeout: float = 0.05
    extra_limits: dict[str, Any] = field(default_factory=dict)

    def zone(self, index: int) -> str:
        """The zone of the gateway or server with this number."""
        return f"zone-{index % self.zones}"

    def settings_tree(self, index: int) -> dict[str, Any]:
        """The settings of one gateway as nested JSON, times in nanoseconds, as configurations hold them."""
        limits = {
            "cancel": True,
            "second_copies": True,
            "probes": True,
            "peers": False,
            "retry_after": True,
            "max_attempts": 4,
            "max_retry_after": SECOND_NS,
            "connect_timeout": 250 * MILLISECOND_NS,
            "idle_close": 15 * SECOND_NS,
            "max_open": 20_000,
        }
        rules = {
            "answer_slack": 16 * MILLISECOND_NS,
            "drain_grace": SECOND_NS,
            "start_capacity": 0.15,
            "cold": int(self.slow_start_duration * SECOND_NS),
            "fall_multiple": 3.0,
            "tip_after": SECOND_NS,
            "must_ask_in": 10 * SECOND_NS,
        }
        service = {
            "name": "fetch",
            "slo": int(self.latency_target * SECOND_NS),
            "deadline": int(self.deadline * SECOND_NS),
            "effect": "pure",
            "gain": 1.0,
        }
        plans = [
            {"name": p.name, "rate": p.rate, "most_at_once": p.burst, "over_cost": 1.0} for p in self.plans
        ]
        return {
            "index": index,
            "group_size": self.gateways,
            "locality": self.zone(index),
            "registry_mode": "pushed",
            "limits": limits | self.extra_limits,
            "rules": rules,
            "services": [service],
            "plans": plans,
            "prices": {},
            "reporting": {"names": [], "via": "none"},
            "weights": "none",
            "specifics": {
                "shared_counter": self.counter,
                "counter_price": 0.02,
                "counter_timeout": int(self.counter_timeout * SECOND_NS),
                "units_top": 1,
            },
        }

    def settings(self, index: int) -> api.Settings:
        """The settings of one gateway as the decision module takes them."""
        return read_settings(self.settings_tree(index))

    def server_id(self, number: int) -> str:
        """The id of a server; ids look as discovery's do."""
        return f"s-{(number * 2654435761) % 2**32:08x}"

    def server(self, number: int, state: str = "up", started: float = 0.0) -> api.Server:
        """A server as the decision module is told of it; `started` is a clock time in seconds, 0 long ago."""
        return api.Server(
            self.server_id(number), self.zone(number), number // 8, 1.0, "small", state, started
        )

    def all_servers(self) -> tuple[api.Server, ...]:
        """All servers, up and warm."""
        return tuple(self.server(number) for number in range(self.servers))

    def discovery_entry(
        self, number: int, address: str = "10.0.0.1:6379", state: str = "up"
    ) -> dict[str, Any]:
        """A server in discovery's JSON form."""
        return {
            "id": self.server_id(number),
            "addr": address,
            "zone": self.zone(number),
            "kind": "small",
            "cell": number // 8,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }
