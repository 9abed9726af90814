"""A server that has just started: what all gateways together send to it, and what the rules let it bear."""

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

SERVER_RATE = 18.0  # requests a second that a warm server serves
BUSY = 0.6  # part of that which is asked for
SERVERS = 24
COLD = "h0"
STARTED_AT, FAILURE_AT, END = (
    4.0,
    7.0,
    9.0,
)  # seconds: the server starts and all are told; the trouble; the end
CUSTOMERS, DEADLINE = 50, 3.0
COLD_SHARE, COLD_TIME, FALL_MULTIPLE, FALL_TIME = 0.15, 18.0, 3.0, 1.0  # the rule's figures
BIG = api.Plan("p", 1000.0, 4000.0, 0, 1.0, 0.0, 1.0, 0.0, 0.0, 0.0)
READ = api.ServiceClass("read", 1.0, 3.0, "safe", "all", 5.0, 1.0, 0.0, False, 0.0)
RULES = api.Rules(0.01, 1.0, COLD_SHARE, COLD_TIME, FALL_MULTIPLE, FALL_TIME, 10.0)
LIMITS = api.Limits(True, True, False, False, True, 4, 1.0)


@dataclass(slots=True)
class SlowStartExperiment:
    """Many gateways, some of which see several times the mean, before servers one of which starts cold.

    Attributes:
        units: draws the units of a request.
        load: times the usual load at a virtual time in seconds.
    """

    gateways: int
    seed: int
    plan: api.Plan = BIG
    most_units: float = 4.0
    units: Callable[[random.Random], float] = lambda generator: 1.0
    load: Callable[[float], float] = lambda now: 1.0
    names: list[str] = field(default_factory=lambda: [f"h{n}" for n in range(SERVERS)])
    sent: list[Attempt] = field(default_factory=list)
    generator: random.Random = field(init=False)
    simulation: Simulation = field(init=False)
    fleet: HollowFleet = field(init=False)

    def __post_init__(self) -> None:
        self.generator, self.simulation = random.Random(self.seed), Simulation()
        servers = {name: ServerModel(math.inf if name == COLD else SERVER_RATE) for name in self.names}
        self.fleet = HollowFleet(
            self.simulation, self.settings, self.gateways, servers, None, self.seed, self.sent.append
        )
        self.send_list_to_all("cached")

    def settings(self, index: int) -> api.Settings:
        """Without a counter, so that the choice of servers is all that decides."""
        return api.Settings(
            index=index,
            gateways=self.gateways,
            zone="z1",
            classes={READ.name: READ},
            plans={self.plan.name: self.plan},
            limits=LIMITS,
            rules=RULES,
            prices={},
            counter=False,
            counter_price=0.01,
            counter_timeout=0.05,
            meter_period=0.0,
            settles_actual_units=False,
            max_request_units=self.most_units,
            discovery="push",
            report_fields=("queue",),
            weight_meaning="none",
        )

    def listed(self, mode: str) -> api.ServerListUpdate:
        """The whole list as it is now."""
        started = STARTED_AT if self.simulation.now >= STARTED_AT else 0.0
        hosts = (
            api.Server(name, "z1", 0, 1.0, "k", "up", started if name == COLD else 0.0) for name in self.names
        )
        return api.ServerListUpdate(mode, 1, tuple(hosts))

    def send_list_to_all(self, mode: str = "full") -> None:
        """Every gateway hears the whole list."""
        self.fleet.deliver_to_all(self.listed(mode))

    def keep_only(self, names: list[str]) -> None:
        """Only these servers are left, and all are told at once."""
        self.names = names
        self.send_list_to_all()

    def restart(self, part: float) -> None:
        """So large a part of the gateways starts anew, and is told of the list."""
        for index in self.generator.sample(range(self.gateways), int(part * self.gateways)):
            self.fleet.restart(index)
            self.fleet.deliver(index, self.listed("cached"))

    def run(self, failure: Callable[[SlowStartExperiment], None]) -> None:
        """Plays to the end; `failure` strikes three seconds after the server's start."""
        self.simulation.at(STARTED_AT, self.send_list_to_all)
        self.simulation.at(FAILURE_AT, failure, self)
        shares = [self.generator.expovariate(1.0) for _ in range(self.gateways)]
        rate, at, number = SERVER_RATE * BUSY * SERVERS, 0.0, 0
        while at < END:
            load = self.load(at)
            at += self.generator.expovariate(rate * load) if load else 0.1
            if load:
                number += 1
                (index,) = self.generator.choices(range(self.gateways), shares)
                self.simulation.at(at, self.ask, f"r{number}", index)
        self.simulation.run(END)

    def ask(self, name: str, index: int) -> None:
        """One request at one gateway."""
        customer = f"c{self.generator.randrange(CUSTOMERS)}"
        units = self.units(self.generator)
        request = api.Request(name, DEADLINE, customer, self.plan.name, READ.name, units, 0, 1)
        self.fleet.request(index, request)

    def slow_start_attempts(self) -> list[Attempt]:
        """What went to the cold server since it started."""
        return [attempt for attempt in self.sent if attempt.server == COLD and attempt.at >= STARTED_AT]

    def excess(self) -> float:
        """By how many requests of mean work the worst window passes what the rules let the server bear,
        N + 2 x root of N + 2; below 0 while they are kept."""
        cold = self.slow_start_attempts()
        mean = sum(attempt.units for attempt in self.sent) / len(self.sent)
        worst = -math.inf
        for first in cold:
            warm = COLD_SHARE + (1 - COLD_SHARE) * (first.at - STARTED_AT) / COLD_TIME
            bears = FALL_MULTIPLE * warm * SERVER_RATE * FALL_TIME
            got = sum(a.units for a in cold if first.at <= a.at < first.at + FALL_TIME) / mean
            worst = max(worst, got - (bears + 2 * math.sqrt(bears) + 2))
        return worst


def no_failure(world: SlowStartExperiment) -> None:
    """No trouble."""


def all_others_removed(world: SlowStartExperiment) -> None:
    """All warm servers go at once: each gateway is left with what it may send to the cold one."""
    world.keep_only([COLD])


def most_others_removed(world: SlowStartExperiment) -> None:
    """All but two warm servers go at once."""
    world.keep_only(world.names[:3])


def gateways_restarted(world: SlowStartExperiment) -> None:
    """Seven in ten gateways start anew, and all warm servers go."""
    world.restart(0.7)
    all_others_removed(world)


FAILURES = (no_failure, most_others_removed, all_others_removed, gateways_restarted)
GATEWAYS = 230


def run(options: Options) -> list[Row]:
    """Each trouble at three sizes."""
    sizes = geometric_sizes(options.gateways or GATEWAYS, steps=3, factor=3.0, least=2)
    cases = [(gateways, failure) for gateways in sizes for failure in FAILURES]
    rows = []
    for done, (gateways, failure) in enumerate(cases):
        options.progress(f"{gateways} gateways, {failure.__name__.replace('_', ' ')}", done / len(cases))
        world = SlowStartExperiment(gateways, options.seed)
        world.run(failure)
        rows.append(
            {
                "gateways": gateways,
                "trouble": FAILURES.index(failure),
                "sent_to_cold": len(world.slow_start_attempts()),
                "excess": round(world.excess(), 3),
                "served": world.fleet.tally.served,
                "refused": world.fleet.tally.refused,
            }
        )
    return rows


SCENARIO = Scenario(
    "cold-start",
    "hollow",
    "a server that has just started: what all gateways send to it against what it bears",
    run,
    ("gateways", "trouble", "sent_to_cold", "excess", "served", "refused"),
)
