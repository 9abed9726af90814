"""Scenario: counter calls per request, by the rate of a tenant and the number of its gateways."""

from __future__ import annotations

from calicomast import interface as api
from emulator.counter_model import CounterModel
from emulator.deployment import Deployment, PlanQuota
from emulator.hollow import HollowFleet
from emulator.scenarios.base import Options, Row, Scenario
from emulator.server_model import ServerModel
from emulator.tenants import TenantPopulation
from emulator.virtual_time import Simulation

GATEWAYS = 64
SERVERS = 64
RATES = (0.25, 1.0, 4.0, 16.0, 64.0)  # rate of the plan in units per second
SPREADS = (2, 8, 32)  # gateways that receive the requests of the tenant
UTILIZATION = 0.5  # requested share of the rate
BURST_SECONDS = 2.0  # burst of the plan, in seconds at its rate; at least one unit
MIN_REFILLS = 6  # shortest measurement, in times that the burst takes to refill
MIN_SECONDS = 20.0  # shortest measurement in seconds


def measure(rate: float, spread: int, gateways: int, seed: int) -> Row:
    """Measures a single tenant with a counter that is never saturated."""
    burst = max(1.0, BURST_SECONDS * rate)
    seconds = max(MIN_SECONDS, MIN_REFILLS * burst / rate)
    deployment = Deployment(gateways, SERVERS, 1, plans=(PlanQuota("standard", rate, burst),))
    simulation = Simulation(start=1000.0)
    counter = CounterModel(simulation, 1e6, seed=seed)
    servers = {deployment.server_id(n): ServerModel() for n in range(SERVERS)}
    fleet = HollowFleet(simulation, deployment.settings, gateways, servers, counter, seed)
    fleet.deliver_to_all(api.ServerListUpdate("cached", 1, deployment.all_servers()))
    population = TenantPopulation(1, gateways, spread, 0.0, seed)
    arrivals = population.arrivals(max(1, int(rate * UTILIZATION * seconds)), rate * UTILIZATION)
    for number, (at, (tenant, index)) in enumerate(
        zip(arrivals, population.draw(len(arrivals)), strict=True)
    ):
        request = api.Request(
            f"r{number}", 1.5, tenant.name, "standard", "fetch", 1.0, tenant.first_gateway, tenant.spread
        )
        simulation.at(simulation.now + at, fleet.request, index, request)
    simulation.run(simulation.now + arrivals[-1] + 3.0)
    tally = fleet.tally
    return {
        "rate": rate,
        "spread": population.spread,
        "requests": tally.requests,
        "served": tally.served,
        "counter_calls": tally.counter_calls,
        "calls_per_request": tally.counter_calls / tally.requests,
        "refused_part": tally.refused / tally.requests,
    }


def run(options: Options) -> list[Row]:
    """Measures all rates at all spreads."""
    gateways = options.gateways or GATEWAYS
    cases = [(rate, spread) for rate in RATES for spread in SPREADS if spread <= gateways]
    rows = []
    for step, (rate, spread) in enumerate(cases):
        options.progress(f"{rate:g} units per second through {spread} gateways", step / len(cases))
        rows.append(measure(rate, spread, gateways, options.seed))
    return rows


SCENARIO = Scenario(
    "quota",
    "hollow",
    "counter calls per request, by the rate of a tenant and the number of its gateways",
    run,
    ("rate", "spread", "requests", "served", "counter_calls", "calls_per_request", "refused_part"),
    (("calls_per_request", "spread"),),
)
