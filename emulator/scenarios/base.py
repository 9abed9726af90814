"""Definition of a scenario, and the options that all scenarios take."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

Row = dict[str, float]
Progress = Callable[[str, float], None]  # description of the current step, completed fraction of the run


class ScenarioError(Exception):
    """The options of a scenario contradict each other. The message gives the reason in one line."""


def no_progress(text: str, fraction: float) -> None:
    """Ignores the progress of a run."""


@dataclass(frozen=True, slots=True)
class Options:
    """Sizes of a run; None selects the default of the scenario.

    Attributes:
        gateways: number of gateways in the largest fleet.
        servers: number of servers in the longest server list.
        tenants: largest number of tenants.
        seed: seed of all random numbers.
        progress: called before each step of the run.
    """

    gateways: int | None = None
    servers: int | None = None
    tenants: int | None = None
    seed: int = 1
    progress: Progress = no_progress


@dataclass(frozen=True, slots=True)
class Scenario:
    """One experiment.

    Attributes:
        name: name on the command line.
        kind: kind of the gateways that it drives, "hollow" or "real".
        summary: one line that says what it measures.
        run: measures and returns the rows, one for each size or case.
        counted: names of the columns that the seed determines.
        slopes: pairs of a column and the size column over which a line is fitted to it.
    """

    name: str
    kind: str
    summary: str
    run: Callable[[Options], list[Row]]
    counted: tuple[str, ...]
    slopes: tuple[tuple[str, str], ...] = ()


def geometric_sizes(largest: int, steps: int = 4, factor: float = 4.0, least: int = 1) -> list[int]:
    """Returns up to `steps` different sizes in ascending order.

    The largest is `largest`; each smaller one is the next larger divided by `factor`, rounded up, but at
    least `least`.
    """
    sizes = {max(least, math.ceil(largest / factor**step)) for step in range(steps)}
    return sorted(sizes)
