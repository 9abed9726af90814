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
from emulator.soak.environment import World
from emulator.soak.faults import TROUBLES
from emulator.soak.invariants import Violation, judge
from emulator.soak.record import Ending, Record, Trouble

RATE = 14.0  # requests a second for each gateway, if nothing else is said
SETTLE = 2.0  # seconds before the first trouble
FEWEST, MOST = 2, 3  # troubles that overlap
SHORTEST, LONGEST = 1.5, 5.0  # seconds of a trouble
SPREAD = 1.5  # seconds over which those of one episode begin
QUIET, LONG_QUIET, LONG_QUIET_CHANCE = 2.0, 12.0, 0.15  # seconds between episodes


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
    rate: float = RATE
    troubles: tuple[str, ...] = ()
    overlap: int | None = None
    folder: Path | None = None
    broken: tuple[str | None, ...] = ()


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What was seen and found."""

    options: SoakOptions
    record: Record
    violations: list[Violation]

    def counts(self) -> dict[str, int]:
        """Requests by how they ended, and what else was counted."""
        endings = Counter(asked.ending.value for asked in self.record.asked)
        return {
            "requests": len(self.record.asked),
            **{ending.value: endings[ending.value] for ending in Ending},
            "attempts": len(self.record.began_at_servers),
            "bad_clients": len(self.record.bad_clients),
            "lives": len(self.record.lives),
            "troubles": len(self.record.troubles),
            "violations": len(self.violations),
        }


class SoakError(Exception):
    """The soak cannot be played; the text says why in one line."""


def check_troubles(names: tuple[str, ...]) -> tuple[str, ...]:
    """The names to draw from; raises SoakError for one that does not exist."""
    unknown = [name for name in names if name not in TROUBLES]
    if unknown:
        raise SoakError(f"no trouble {unknown[0]!r}; there are {', '.join(TROUBLES)}")
    return names or tuple(TROUBLES)


async def play_trouble(
    world: World, name: str, generator: random.Random, after: float, seconds: float
) -> None:
    """One trouble, from its beginning to its end."""
    await asyncio.sleep(after)
    began = time.monotonic()
    detail = await TROUBLES[name](world, generator, seconds)
    world.record.troubles.append(Trouble(name, began, time.monotonic(), detail))


async def play_episodes(world: World, options: SoakOptions, progress: Callable[[str, float], None]) -> None:
    """Episodes of troubles that overlap, until the time is over."""
    names, generator = check_troubles(options.troubles), random.Random(options.seed)
    began = time.monotonic()
    await asyncio.sleep(SETTLE)
    while (spent := time.monotonic() - began) < options.seconds:
        count = min(len(names), options.overlap or generator.randrange(FEWEST, MOST + 1))
        chosen = generator.sample(names, count)
        progress(" + ".join(chosen), spent / options.seconds)
        async with asyncio.TaskGroup() as group:
            for name in chosen:
                after, seconds = generator.random() * SPREAD, generator.uniform(SHORTEST, LONGEST)
                group.create_task(
                    play_trouble(world, name, random.Random(generator.random()), after, seconds)
                )
        long = generator.random() < LONG_QUIET_CHANCE and options.seconds > LONG_QUIET
        await asyncio.sleep(LONG_QUIET if long else QUIET)


async def play_in(folder: Path, options: SoakOptions, progress: Callable[[str, float], None]) -> Record:
    """Plays one soak with its files in a folder."""
    world = World(options.gateways, options.seed, folder, build_shim(folder), options.rate, options.broken)
    try:
        await world.start()
        await play_episodes(world, options, progress)
        await world.finish()
    finally:
        world.close()
    return world.record


def play(
    options: SoakOptions, progress: Callable[[str, float], None] = lambda text, part: None
) -> SoakResult:
    """Plays a soak and judges it; raises SoakError, or ShimError where the shim cannot be built."""
    check_troubles(options.troubles)
    with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
        folder = options.folder or Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        record = uvloop.run(play_in(folder, options, progress))
    return SoakResult(options, record, judge(record))
