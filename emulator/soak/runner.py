"""Runs a soak: draws faults from a seed, injects them so that they overlap, and checks the invariants."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import uvloop

from emulator.real.faults import build_shim
from emulator.soak.environment import SoakEnvironment
from emulator.soak.faults import FAULTS
from emulator.soak.invariants import Violation, check_invariants
from emulator.soak.record import InjectedFault, RequestOutcome, SoakRecord

DEFAULT_RATE = 14.0  # requests per second for each gateway
INITIAL_DELAY = 2.0  # seconds before the first fault
MIN_OVERLAP = 2  # faults in one episode
MAX_OVERLAP = 3  # faults in one episode
MIN_FAULT_DURATION = 1.5  # seconds
MAX_FAULT_DURATION = 5.0  # seconds
MAX_START_DELAY = 1.5  # seconds over which the faults of one episode begin
PAUSE = 2.0  # seconds between episodes
LONG_PAUSE = 12.0  # seconds between episodes
LONG_PAUSE_PROBABILITY = 0.15  # of a long pause after an episode


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Options of one soak.

    Attributes:
        seconds: duration of the fault injection.
        rate: requests per second for each gateway.
        faults: names of the faults to draw from; all faults if empty.
        overlap: number of faults injected at once; two or three if None.
        directory: where configurations and logs are kept; a temporary directory if None.
        sabotage: for each gateway the invariant that it violates on purpose, see sabotage.py.
    """

    seed: int = 1
    gateways: int = 24
    seconds: float = 60.0
    rate: float = DEFAULT_RATE
    faults: tuple[str, ...] = ()
    overlap: int | None = None
    directory: Path | None = None
    sabotage: tuple[str | None, ...] = ()


@dataclass(frozen=True, slots=True)
class SoakResult:
    """The observations of a soak and the violations found in them."""

    options: SoakOptions
    record: SoakRecord
    violations: list[Violation]

    def counts(self) -> dict[str, int]:
        """Returns the number of requests by outcome and the other counts of the soak's report."""
        outcome_counts = Counter(request.outcome.value for request in self.record.requests)
        return {
            "requests": len(self.record.requests),
            **{outcome.value: outcome_counts[outcome.value] for outcome in RequestOutcome},
            "attempts": len(self.record.attempts),
            "bad_clients": len(self.record.bad_clients),
            "lives": len(self.record.process_runs),
            "troubles": len(self.record.faults),
            "violations": len(self.violations),
        }


class SoakError(Exception):
    """Raised for options that a soak cannot run with; the message is one line."""


def resolve_fault_names(names: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the fault names to draw from, all if none are given; raises SoakError for an unknown name."""
    unknown = [name for name in names if name not in FAULTS]
    if unknown:
        raise SoakError(f"unknown fault {unknown[0]!r}; known faults: {', '.join(FAULTS)}")
    return names or tuple(FAULTS)


async def inject_fault(
    environment: SoakEnvironment, name: str, generator: random.Random, start_delay: float, seconds: float
) -> None:
    """Injects one fault after a delay, waits for its end and records it."""
    await asyncio.sleep(start_delay)
    began = time.monotonic()
    detail = await FAULTS[name](environment, generator, seconds)
    environment.record.faults.append(InjectedFault(name, began, time.monotonic(), detail))


async def inject_episodes(
    environment: SoakEnvironment, options: SoakOptions, progress: Callable[[str, float], None]
) -> None:
    """Injects episodes of overlapping faults until the configured time is over."""
    names, generator = resolve_fault_names(options.faults), random.Random(options.seed)
    began = time.monotonic()
    await asyncio.sleep(INITIAL_DELAY)
    while (elapsed := time.monotonic() - began) < options.seconds:
        count = min(len(names), options.overlap or generator.randrange(MIN_OVERLAP, MAX_OVERLAP + 1))
        chosen_names = generator.sample(names, count)
        progress(" + ".join(chosen_names), elapsed / options.seconds)
        async with asyncio.TaskGroup() as group:
            for name in chosen_names:
                start_delay, seconds = (
                    generator.random() * MAX_START_DELAY,
                    generator.uniform(MIN_FAULT_DURATION, MAX_FAULT_DURATION),
                )
                group.create_task(
                    inject_fault(environment, name, random.Random(generator.random()), start_delay, seconds)
                )
        is_long_pause = generator.random() < LONG_PAUSE_PROBABILITY and options.seconds > LONG_PAUSE
        await asyncio.sleep(LONG_PAUSE if is_long_pause else PAUSE)


async def run_in_directory(
    directory: Path, options: SoakOptions, progress: Callable[[str, float], None]
) -> SoakRecord:
    """Runs one soak with its files in a directory and returns the observations."""
    environment = SoakEnvironment(
        options.gateways, options.seed, directory, build_shim(directory), options.rate, options.sabotage
    )
    try:
        await environment.start()
        await inject_episodes(environment, options, progress)
        await environment.stop()
    finally:
        environment.close()
    return environment.record


def run_soak(
    options: SoakOptions, progress: Callable[[str, float], None] = lambda text, fraction: None
) -> SoakResult:
    """Runs a soak and checks its invariants.

    Raises SoakError for invalid options and ShimError if the fault shim cannot be built.
    `progress` is called at each episode with the names of its faults and the completed fraction of the run.
    """
    resolve_fault_names(options.faults)
    with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
        directory = options.directory or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        record = uvloop.run(run_in_directory(directory, options, progress))
    return SoakResult(options, record, check_invariants(record))
