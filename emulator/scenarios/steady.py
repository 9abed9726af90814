"""Scenario: normal operation at several fleet sizes: requests, attempts, counter calls, connections."""

from __future__ import annotations

import time
from dataclasses import fields

from calicomast import interface as api
from emulator.counter_model import CounterModel
from emulator.deployment import Deployment
from emulator.hollow import FleetTally, HollowFleet
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes
from emulator.server_model import ServerModel
from emulator.tenants import TenantPopulation
from emulator.virtual_time import Simulation

GATEWAYS = 240
SERVERS_PER_GATEWAY = 2
TENANTS_PER_GATEWAY = 20
REQUESTS_PER_SERVER = 6.0  # per second
SECONDS = 4.0  # virtual time in which requests arrive
SPREAD = 3  # gateways that receive the requests of one tenant
SKEW = 0.6  # exponent of the distribution of the tenants' rates
COUNTER_CALLS_PER_GATEWAY = 30.0  # per second


def simulate(deployment: Deployment, seed: int, seconds: float = SECONDS) -> tuple[HollowFleet, Row]:
    """Simulates one fleet size; returns the fleet in its final state and the row of the results."""
    simulation = Simulation(start=1000.0)
    counter = CounterModel(simulation, COUNTER_CALLS_PER_GATEWAY * deployment.gateways, seed=seed)
    servers = {deployment.server_id(n): ServerModel() for n in range(deployment.servers)}
    fleet = HollowFleet(simulation, deployment.settings, deployment.gateways, servers, counter, seed)
    fleet.deliver_to_all(api.ServerListUpdate("cached", 1, deployment.all_servers()))
    population = TenantPopulation(deployment.tenants, deployment.gateways, SPREAD, SKEW, seed)
    rate = REQUESTS_PER_SERVER * deployment.servers
    arrivals = population.arrivals(int(rate * seconds), rate)
    for number, (at, (tenant, index)) in enumerate(
        zip(arrivals, population.draw(len(arrivals)), strict=True)
    ):
        request = api.Request(
            f"r{number}",
            deployment.deadline,
            tenant.name,
            "standard",
            "fetch",
            1.0,
            tenant.first_gateway,
            tenant.spread,
        )
        simulation.at(simulation.now + at, fleet.request, index, request)
    started_at = time.process_time()
    simulation.run(simulation.now + seconds + 2 * deployment.deadline)
    cpu = time.process_time() - started_at
    tally = fleet.tally
    gateways_per_server = [len(fleet.connected[name]) for name in servers]
    row: Row = {
        "gateways": deployment.gateways,
        "servers": deployment.servers,
        "tenants": deployment.tenants,
        **tally.as_counts(),
        "counter_turned_away": counter.tally.rejected,
        "gateways_per_server_mean": sum(gateways_per_server) / len(gateways_per_server),
        "gateways_per_server_most": max(gateways_per_server),
        "cpu_us_per_request": 1e6 * cpu / max(1, tally.requests),
    }
    return fleet, row


def run(options: Options) -> list[Row]:
    """Measures four fleet sizes, each with the same load per server."""
    rows = []
    sizes = geometric_sizes(options.gateways or GATEWAYS, factor=2.0, least=2)
    for step, gateways in enumerate(sizes):
        options.progress(f"{gateways} gateways", step / len(sizes))
        fraction = gateways / sizes[-1]
        servers = max(1, round((options.servers or SERVERS_PER_GATEWAY * sizes[-1]) * fraction))
        tenants = max(1, round((options.tenants or TENANTS_PER_GATEWAY * sizes[-1]) * fraction))
        rows.append(simulate(Deployment(gateways, servers, tenants), options.seed)[1])
    return rows


COUNTED = (
    "gateways",
    "servers",
    "tenants",
    *(field.name for field in fields(FleetTally)),
    "counter_turned_away",
    "gateways_per_server_mean",
    "gateways_per_server_most",
)
SCENARIO = Scenario(
    "steady",
    "hollow",
    "normal operation at four fleet sizes: requests, attempts, counter calls, connections",
    run,
    COUNTED,
    (("counter_calls", "requests"), ("handshakes", "servers"), ("cpu_us_per_request", "gateways")),
)
