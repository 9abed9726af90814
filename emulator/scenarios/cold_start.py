"""Scenario: load of all gateways together on a server in slow start, against the limit of its rules."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from calicomast import interface as api
from emulator.hollow import Attempt, HollowFleet
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes
from emulator.server_model import ServerModel
from emulator.virtual_time import Simulation

SERVER_RATE = 18.0  # requests per second that a server serves after its slow start
UTILIZATION = 0.6  # requested share of that rate
SERVERS = 24
STARTED_SERVER = "h0"
STARTED_AT = 4.0  # seconds; the server starts and all gateways receive the list
FAILURE_AT = 7.0  # seconds; the failure of the experiment occurs
END_AT = 9.0  # seconds; the experiment ends
TENANTS = 50
DEADLINE = 3.0  # seconds
# Slow-start rules of the server.
SLOW_START_INITIAL_SHARE = 0.15  # share of its capacity right after the start
SLOW_START_DURATION = 18.0  # seconds until it has its full capacity
OVERLOAD_MULTIPLE = 3.0  # it fails above this multiple of its present capacity
OVERLOAD_WINDOW = 1.0  # seconds over which the load is measured
AMPLE_PLAN = api.Plan("p", 1000.0, 4000.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
READ_CLASS = api.ServiceClass("read", 1.0, 3.0, "safe", "all", 5.0, 1.0, 0.0, False, 0.0)
RULES = api.Rules(
    0.01, 1.0, SLOW_START_INITIAL_SHARE, SLOW_START_DURATION, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, 10.0
)
LIMITS = api.Limits(True, True, False, False, True, 4, 1.0)


@dataclass(slots=True)
class SlowStartExperiment:
    """A fleet with an uneven distribution of requests, and servers one of which is in slow start.

    Attributes:
        gateways: number of gateways; some receive several times the mean number of requests.
        seed: seed of all random numbers.
        plan: plan of all tenants.
        max_request_units: upper limit of the units of a request in the settings.
        draw_units: draws the units of a request.
        load: returns the load at a virtual time in seconds, as a multiple of the usual load.
        server_names: ids of the listed servers.
        attempts: all attempts in the order of sending.
    """

    gateways: int
    seed: int
    plan: api.Plan = AMPLE_PLAN
    max_request_units: float = 4.0
    draw_units: Callable[[random.Random], float] = lambda generator: 1.0
    load: Callable[[float], float] = lambda now: 1.0
    server_names: list[str] = field(default_factory=lambda: [f"h{n}" for n in range(SERVERS)])
    attempts: list[Attempt] = field(default_factory=list)
    generator: random.Random = field(init=False)
    simulation: Simulation = field(init=False)
    fleet: HollowFleet = field(init=False)

    def __post_init__(self) -> None:
        self.generator, self.simulation = random.Random(self.seed), Simulation()
        servers = {
            name: ServerModel(math.inf if name == STARTED_SERVER else SERVER_RATE)
            for name in self.server_names
        }
        self.fleet = HollowFleet(
            self.simulation, self.settings, self.gateways, servers, None, self.seed, self.attempts.append
        )
        self.send_list_to_all("cached")

    def settings(self, index: int) -> api.Settings:
        """Returns settings without a counter, so that only the choice of servers limits the load."""
        return api.Settings(
            index=index,
            gateways=self.gateways,
            zone="z1",
            classes={READ_CLASS.name: READ_CLASS},
            plans={self.plan.name: self.plan},
            limits=LIMITS,
            rules=RULES,
            prices={},
            counter_enabled=False,
            counter_price=0.01,
            counter_timeout=0.05,
            meter_period=0.0,
            settles_actual_units=False,
            max_request_units=self.max_request_units,
            discovery="push",
            report_fields=("queue",),
            weight_meaning="none",
        )

    def server_list(self, mode: str) -> api.ServerListUpdate:
        """Returns an update with the full list of the current servers."""
        started_at = STARTED_AT if self.simulation.now >= STARTED_AT else 0.0
        servers = (
            api.Server(name, "z1", 0, 1.0, "k", "up", started_at if name == STARTED_SERVER else 0.0)
            for name in self.server_names
        )
        return api.ServerListUpdate(mode, 1, tuple(servers))

    def send_list_to_all(self, mode: str = "full") -> None:
        """Delivers the current server list to every gateway."""
        self.fleet.deliver_to_all(self.server_list(mode))

    def keep_only(self, server_names: list[str]) -> None:
        """Removes all other servers; every gateway receives the new list at once."""
        self.server_names = server_names
        self.send_list_to_all()

    def restart(self, fraction: float) -> None:
        """Restarts a random share of the gateways and delivers the current list to them."""
        for index in self.generator.sample(range(self.gateways), int(fraction * self.gateways)):
            self.fleet.restart(index)
            self.fleet.deliver(index, self.server_list("cached"))

    def run(self, failure: Callable[[SlowStartExperiment], None]) -> None:
        """Simulates the whole experiment; `failure` is called three seconds after the start of the server."""
        self.simulation.at(STARTED_AT, self.send_list_to_all)
        self.simulation.at(FAILURE_AT, failure, self)
        shares = [self.generator.expovariate(1.0) for _ in range(self.gateways)]
        rate, at, number = SERVER_RATE * UTILIZATION * SERVERS, 0.0, 0
        while at < END_AT:
            load = self.load(at)
            at += self.generator.expovariate(rate * load) if load else 0.1
            if load:
                number += 1
                (index,) = self.generator.choices(range(self.gateways), shares)
                self.simulation.at(at, self.send_request, f"r{number}", index)
        self.simulation.run(END_AT)

    def send_request(self, name: str, index: int) -> None:
        """Delivers one request to one gateway."""
        tenant = f"c{self.generator.randrange(TENANTS)}"
        units = self.draw_units(self.generator)
        request = api.Request(name, DEADLINE, tenant, self.plan.name, READ_CLASS.name, units, 0, 1)
        self.fleet.request(index, request)

    def slow_start_attempts(self) -> list[Attempt]:
        """Returns the attempts at the started server since its start."""
        return [
            attempt
            for attempt in self.attempts
            if attempt.server == STARTED_SERVER and attempt.at >= STARTED_AT
        ]

    def excess(self) -> float:
        """Returns by how much the load on the started server exceeds its limit in the worst window.

        The unit is requests of mean work. If the rules allow N requests in a window, the limit is
        N + 2 * sqrt(N) + 2, which leaves room for random variation. The result is negative if no window
        exceeds the limit.
        """
        started_server_attempts = self.slow_start_attempts()
        mean = sum(attempt.units for attempt in self.attempts) / len(self.attempts)
        max_excess = -math.inf
        for first_attempt in started_server_attempts:
            capacity_share = (
                SLOW_START_INITIAL_SHARE
                + (1 - SLOW_START_INITIAL_SHARE) * (first_attempt.at - STARTED_AT) / SLOW_START_DURATION
            )
            allowed = OVERLOAD_MULTIPLE * capacity_share * SERVER_RATE * OVERLOAD_WINDOW
            received = (
                sum(
                    attempt.units
                    for attempt in started_server_attempts
                    if first_attempt.at <= attempt.at < first_attempt.at + OVERLOAD_WINDOW
                )
                / mean
            )
            max_excess = max(max_excess, received - (allowed + 2 * math.sqrt(allowed) + 2))
        return max_excess


def no_failure(experiment: SlowStartExperiment) -> None:
    """Leaves all servers and gateways as they are."""


def all_others_removed(experiment: SlowStartExperiment) -> None:
    """Removes all other servers at once.

    Each gateway can then only send what the slow start of the remaining server admits.
    """
    experiment.keep_only([STARTED_SERVER])


def most_others_removed(experiment: SlowStartExperiment) -> None:
    """Removes all but two of the other servers at once."""
    experiment.keep_only(experiment.server_names[:3])


def gateways_restarted(experiment: SlowStartExperiment) -> None:
    """Restarts seven in ten gateways and removes all other servers."""
    experiment.restart(0.7)
    all_others_removed(experiment)


FAILURES = (no_failure, most_others_removed, all_others_removed, gateways_restarted)
MAX_GATEWAYS = 230


def run(options: Options) -> list[Row]:
    """Measures each failure at three fleet sizes."""
    sizes = geometric_sizes(options.gateways or MAX_GATEWAYS, steps=3, factor=3.0, least=2)
    cases = [(gateways, failure) for gateways in sizes for failure in FAILURES]
    rows = []
    for step, (gateways, failure) in enumerate(cases):
        options.progress(f"{gateways} gateways, {failure.__name__.replace('_', ' ')}", step / len(cases))
        experiment = SlowStartExperiment(gateways, options.seed)
        experiment.run(failure)
        rows.append(
            {
                "gateways": gateways,
                "trouble": FAILURES.index(failure),
                "sent_to_cold": len(experiment.slow_start_attempts()),
                "excess": round(experiment.excess(), 3),
                "served": experiment.fleet.tally.served,
                "refused": experiment.fleet.tally.refused,
            }
        )
    return rows


SCENARIO = Scenario(
    "cold-start",
    "hollow",
    "load of all gateways on a server in slow start, against the limit of its rules",
    run,
    ("gateways", "trouble", "sent_to_cold", "excess", "served", "refused"),
)
