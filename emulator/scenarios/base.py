"""What a scenario is, and the options that all of them take."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

Row = dict[str, float]
Progress = Callable[[str, float], None]  # what is done now, and the part of the run that lies behind


class ScenarioError(Exception):
    """The options do not go together; the text says why in one line."""


def no_progress(text: str, part: float) -> None:
    """Shows nothing."""


@dataclass(frozen=True, slots=True)
class Options:
    """Sizes of a run; None leaves a scenario's own."""

    gateways: int | None = None
    servers: int | None = None
    tenants: int | None = None
    seed: int = 1
    progress: Progress = no_progress


@dataclass(frozen=True, slots=True)
class Scenario:
    """One experiment.

    Attributes:
        kind: "hollow" or "real", the gateways that it drives.
        run: gives the rows, one a measured size.
        counted: names in the rows that the seed fixes.
        slopes: pairs of a figure and the size over which a line is fitted.
    """

    name: str
    kind: str
    summary: str
    run: Callable[[Options], list[Row]]
    counted: tuple[str, ...]
    slopes: tuple[tuple[str, str], ...] = ()


def geometric_sizes(largest: int, steps: int = 4, factor: float = 4.0, least: int = 1) -> list[int]:
    """Sizes up to `largest`, each `factor` times the one before; all different, `least` or more."""
    sizes = {max(least, math.ceil(largest / factor**step)) for step in range(steps)}
    return sorted(sizes)
