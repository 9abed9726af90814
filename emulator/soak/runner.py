"""Plays a soak: draws the troubles of a seed, lets them overlap, and judges what was seen."""

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

DEFAULT_RATE = 14.0  # requests a second for each gateway, if nothing else is said
INITIAL_DELAY = 2.0  # seconds before the first trouble
MIN_OVERLAP, MAX_OVERLAP = 2, 3  # troubles that overlap
MIN_FAULT_DURATION, MAX_FAULT_DURATION = 1.5, 5.0  # seconds of a trouble
MAX_START_DELAY = 1.5  # seconds over which those of one episode begin
PAUSE, LONG_PAUSE, LONG_PAUSE_PROBABILITY = 2.0, 12.0, 0.15  # seconds between episodes


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """What is played.

    Attributes:
        seconds: for which troubles are played.
        rate: requests a second for each gateway.
        troubles: names to draw from; all where it is empty.
        overlap: how many of them at once; two or three where it is None.
        folder: where configurations and logs are kept; a temporary one where it is None.
        broken: how each gateway is broken on purpose, see sabotage.py.
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
    """What was seen and found."""

    options: SoakOptions
    record: SoakRecord
    violations: list[Violation]

    def counts(self) -> dict[str, int]:
        """Requests by how they ended, and what else was counted."""
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
    """The soak cannot be played; the text says why in one line."""


def resolve_fault_names(names: tuple[str, ...]) -> tuple[str, ...]:
    """The names to draw from; raises SoakError for one that does not exist."""
    unknown = [name for name in names if name not in FAULTS]
    if unknown:
        raise SoakError(f"no trouble {unknown[0]!r}; there are {', '.join(FAULTS)}")
    return names or tuple(FAULTS)


async def inject_fault(
    environment: SoakEnvironment, name: str, generator: random.Random, start_delay: float, seconds: float
) -> None:
    """One trouble, from its beginning to its end."""
    await asyncio.sleep(start_delay)
    began = time.monotonic()
    detail = await FAULTS[name](environment, generator, seconds)
    environment.record.faults.append(InjectedFault(name, began, time.monotonic(), detail))


async def inject_episodes(
    environment: SoakEnvironment, options: SoakOptions, progress: Callable[[str, float], None]
) -> None:
    """Episodes of troubles that overlap, until the time is over."""
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
    """Plays one soak with its files in a folder."""
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
    options: SoakOptions, progress: Callable[[str, float], None] = lambda text, share: None
) -> SoakResult:
    """Plays a soak and judges it; raises SoakError, or ShimError where the shim cannot be built."""
    resolve_fault_names(options.faults)
    with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
        directory = options.directory or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        record = uvloop.run(run_in_directory(directory, options, progress))
    return SoakResult(options, record, check_invariants(record))
