"""A counter that cannot be reached: units that pass beyond the quotas."""

from __future__ import annotations

from calicomast import interface as api
from emulator.counter_model import CounterModel
from emulator.deployment import Deployment, PlanQuota
from emulator.hollow import Attempt, HollowFleet
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes
from emulator.server_model import ServerModel
from emulator.tenants import TenantPopulation
from emulator.virtual_time import Simulation

GATEWAYS, SERVERS, TENANTS, SPREAD = 16, 64, 24, 4
SECONDS = 240.0  # of silence at the largest size
BEFORE = 20.0  # seconds in which the counter answers
DEMAND = 2.0  # times the quota that each tenant asks
PLAN = PlanQuota("standard", 4.0, 8.0)


class QuotaBooks:
    """What each tenant may pass over all gateways: a store of `burst` units that fills at `rate`."""

    def __init__(self, plan: PlanQuota) -> None:
        self.plan = plan
        self.inside = self.beyond = 0.0
        self._stores: dict[str, tuple[float, float]] = {}

    def take(self, tenant: str, now: float, units: float) -> None:
        """Books units that were sent on at the time `now` (seconds)."""
        left, at = self._stores.get(tenant, (self.plan.burst, now))
        left = min(self.plan.burst, left + (now - at) * self.plan.rate)
        if left >= units:
            left -= units
            self.inside += units
        else:
            self.beyond += units
        self._stores[tenant] = (left, now)


def measure(seconds: float, gateways: int, tenants: int, seed: int) -> Row:
    """One length of the silence."""
    deployment = Deployment(gateways, SERVERS, tenants, plans=(PLAN,))
    simulation = Simulation(start=1000.0)
    counter = CounterModel(simulation, 1e5, seed=seed)
    servers = {deployment.server_id(n): ServerModel(rate=1e6) for n in range(SERVERS)}
    books, first_attempts, tenant_of = QuotaBooks(PLAN), set[str](), dict[str, str]()

    def attempted(attempt: Attempt) -> None:
        if attempt.request not in first_attempts:
            first_attempts.add(attempt.request)
            books.take(tenant_of[attempt.request], attempt.at, attempt.units)

    fleet = HollowFleet(
        simulation, deployment.settings, gateways, servers, counter, seed, on_attempt=attempted
    )
    fleet.deliver_to_all(api.ServerListUpdate("cached", 1, deployment.all_servers()))
    population = TenantPopulation(tenants, gateways, SPREAD, 0.0, seed)
    rate, whole = DEMAND * PLAN.rate * tenants, BEFORE + seconds

    def ask(name: str, tenant: str, first: int, index: int) -> None:
        tenant_of[name] = tenant
        fleet.request(
            index, api.Request(name, 1.5, tenant, "standard", "fetch", 1.0, first, population.spread)
        )

    arrivals = population.arrivals(int(rate * whole), rate)
    for number, (at, (tenant, index)) in enumerate(
        zip(arrivals, population.draw(len(arrivals)), strict=True)
    ):
        simulation.at(simulation.now + at, ask, f"r{number}", tenant.name, tenant.first_gateway, index)
    simulation.run(simulation.now + BEFORE)
    beyond_before = books.beyond
    counter.unreachable = True
    simulation.run(simulation.now + seconds)
    return {
        "seconds": seconds,
        "tenants": tenants,
        "requests": fleet.tally.requests,
        "passed_inside": books.inside,
        "passed_beyond": books.beyond,
        "overdraft_units": books.beyond - beyond_before,
        "overdraft_part_of_quota": (books.beyond - beyond_before) / (PLAN.rate * tenants * seconds),
    }


def run(options: Options) -> list[Row]:
    """Four lengths of the silence; every tenant asks twice its quota."""
    gateways, tenants = options.gateways or GATEWAYS, options.tenants or TENANTS
    rows = []
    lengths = geometric_sizes(int(SECONDS), factor=2.0)
    for done, seconds in enumerate(lengths):
        options.progress(f"{seconds} s without the counter", done / len(lengths))
        rows.append(measure(float(seconds), gateways, tenants, options.seed))
    return rows


SCENARIO = Scenario(
    "partition",
    "hollow",
    "a counter that cannot be reached: units that pass beyond the quotas, by the length of its silence",
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
