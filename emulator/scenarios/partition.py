"""Scenario: units that are admitted over quota while the counter is unreachable."""

from __future__ import annotations

from calicomast import interface as api
from emulator.counter_model import CounterModel
from emulator.deployment import Deployment, PlanQuota
from emulator.hollow import Attempt, HollowFleet
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes
from emulator.server_model import ServerModel
from emulator.tenants import TenantPopulation
from emulator.virtual_time import Simulation

GATEWAYS = 16
SERVERS = 64
TENANTS = 24
SPREAD = 4  # gateways that receive the requests of one tenant
OUTAGE_SECONDS = 240.0  # longest outage of the counter
WARMUP_SECONDS = 20.0  # time before the outage, in which the counter answers
DEMAND_FACTOR = 2.0  # requested rate of each tenant as a multiple of its quota
PLAN = PlanQuota("standard", 4.0, 8.0)


class QuotaAudit:
    """Checks the admitted units of each tenant, over all gateways, against the token bucket of its plan.

    Attributes:
        within_quota: admitted units that the bucket held.
        over_quota: admitted units that it did not hold.
    """

    def __init__(self, plan: PlanQuota) -> None:
        self.plan = plan
        self.within_quota = self.over_quota = 0.0
        self._buckets: dict[str, tuple[float, float]] = {}

    def record(self, tenant: str, now: float, units: float) -> None:
        """Records units that a gateway sent to a server at the time `now`, in seconds."""
        available, at = self._buckets.get(tenant, (self.plan.burst, now))
        available = min(self.plan.burst, available + (now - at) * self.plan.rate)
        if available >= units:
            available -= units
            self.within_quota += units
        else:
            self.over_quota += units
        self._buckets[tenant] = (available, now)


def measure(seconds: float, gateways: int, tenants: int, seed: int) -> Row:
    """Measures an outage of the counter that lasts `seconds`."""
    deployment = Deployment(gateways, SERVERS, tenants, plans=(PLAN,))
    simulation = Simulation(start=1000.0)
    counter = CounterModel(simulation, 1e5, seed=seed)
    servers = {deployment.server_id(n): ServerModel(rate=1e6) for n in range(SERVERS)}
    audit, first_attempts, tenant_of = QuotaAudit(PLAN), set[str](), dict[str, str]()

    def record_attempt(attempt: Attempt) -> None:
        if attempt.request not in first_attempts:
            first_attempts.add(attempt.request)
            audit.record(tenant_of[attempt.request], attempt.at, attempt.units)

    fleet = HollowFleet(
        simulation, deployment.settings, gateways, servers, counter, seed, on_attempt=record_attempt
    )
    fleet.deliver_to_all(api.ServerListUpdate("cached", 1, deployment.all_servers()))
    population = TenantPopulation(tenants, gateways, SPREAD, 0.0, seed)
    rate, total_seconds = DEMAND_FACTOR * PLAN.rate * tenants, WARMUP_SECONDS + seconds

    def send_request(name: str, tenant: str, first_gateway: int, index: int) -> None:
        tenant_of[name] = tenant
        fleet.request(
            index, api.Request(name, 1.5, tenant, "standard", "fetch", 1.0, first_gateway, population.spread)
        )

    arrivals = population.arrivals(int(rate * total_seconds), rate)
    for number, (at, (tenant, index)) in enumerate(
        zip(arrivals, population.draw(len(arrivals)), strict=True)
    ):
        simulation.at(
            simulation.now + at, send_request, f"r{number}", tenant.name, tenant.first_gateway, index
        )
    simulation.run(simulation.now + WARMUP_SECONDS)
    over_quota_before = audit.over_quota
    counter.unreachable = True
    simulation.run(simulation.now + seconds)
    return {
        "seconds": seconds,
        "tenants": tenants,
        "requests": fleet.tally.requests,
        "passed_inside": audit.within_quota,
        "passed_beyond": audit.over_quota,
        "overdraft_units": audit.over_quota - over_quota_before,
        "overdraft_part_of_quota": (audit.over_quota - over_quota_before) / (PLAN.rate * tenants * seconds),
    }


def run(options: Options) -> list[Row]:
    """Measures four durations of the outage. Every tenant requests twice its quota."""
    gateways, tenants = options.gateways or GATEWAYS, options.tenants or TENANTS
    rows = []
    durations = geometric_sizes(int(OUTAGE_SECONDS), factor=2.0)
    for step, seconds in enumerate(durations):
        options.progress(f"{seconds} s without the counter", step / len(durations))
        rows.append(measure(float(seconds), gateways, tenants, options.seed))
    return rows


SCENARIO = Scenario(
    "partition",
    "hollow",
    "units admitted over quota while the counter is unreachable, by the duration of the outage",
    run,
    (
        "seconds",
        "tenants",
        "requests",
        "passed_inside",
        "passed_beyond",
        "overdraft_units",
        "overdraft_part_of_quota",
    ),
    (("overdraft_units", "seconds"),),
)
