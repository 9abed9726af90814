"""The emulated deployment: its sizes, classes and plans, in the form that real gateways read."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from calicomast import interface as api
from calicomast.settings import read_settings

SECOND_NS = 1_000_000_000
MILLISECOND_NS = 1_000_000
# Sizes of the deployment that the gateway is designed for.
GATEWAYS_AT_TARGET = 3300
SERVERS_AT_TARGET = 51_000
TENANTS_AT_TARGET = 280_000
ZONES_AT_TARGET = 16
REGIONS_AT_TARGET = 8


@dataclass(frozen=True, slots=True)
class PlanQuota:
    """The quota of a plan: `rate` in units per second, `burst` in units."""

    name: str = "standard"
    rate: float = 4.0
    burst: float = 8.0


@dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes and settings of one emulated deployment.

    Attributes:
        gateways: number of gateways, spread evenly over the zones.
        servers: number of servers, spread evenly over the zones.
        tenants: number of tenants.
        zones: number of zones.
        plans: quotas of the plans.
        latency_target: seconds within which a request should be answered.
        deadline: seconds after which the client gives up.
        slow_start_duration: seconds for which a started server is in slow start.
        counter: whether gateways lease quota from the counter.
        counter_timeout: seconds after which a gateway abandons a call to the counter.
        extra_limits: entries that replace or extend the `limits` of the settings.
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
        """Returns the zone of the gateway or server with this number."""
        return f"zone-{index % self.zones}"

    def settings_tree(self, index: int) -> dict[str, Any]:
        """Returns the settings of one gateway as a JSON tree, as in a configuration file.

        Times are in nanoseconds.
        """
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
            {"name": plan.name, "rate": plan.rate, "most_at_once": plan.burst, "over_cost": 1.0}
            for plan in self.plans
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
        """Returns the settings of one gateway as `GatewayPolicy` takes them."""
        return read_settings(self.settings_tree(index))

    def server_id(self, number: int) -> str:
        """Returns the id of a server, in the format of the ids of discovery."""
        return f"s-{(number * 2654435761) % 2**32:08x}"

    def server(self, number: int, state: str = "up", started_at: float = 0.0) -> api.Server:
        """Returns a server as `GatewayPolicy` receives it in a server list.

        `started_at` is the clock time of its last start in seconds; 0 means long ago.
        """
        return api.Server(
            self.server_id(number), self.zone(number), number // 8, 1.0, "small", state, started_at
        )

    def all_servers(self) -> tuple[api.Server, ...]:
        """Returns all servers, in state "up" and past their slow start."""
        return tuple(self.server(number) for number in range(self.servers))

    def discovery_entry(
        self, number: int, address: str = "10.0.0.1:6379", state: str = "up"
    ) -> dict[str, Any]:
        """Returns a server in the JSON form of discovery."""
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
