"""What a scenario found: counts that a seed fixes, measurements that vary, and where they come from."""

from __future__ import annotations

import json
import os
import subprocess
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

ROOT = Path(__file__).resolve().parent.parent


class ResultFileError(Exception):
    """A file that holds no result; the text says why in one line."""


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line through measured points.

    Attributes:
        slope: of the figure, in its unit, for one more of `by`.
        base: the figure where there are none.
        r_squared: part of the variance that the line explains.
    """

    figure: str
    by: str
    slope: float
    base: float
    r_squared: float


def fit_line(rows: list[dict[str, float]], by: str, figure: str) -> Fit:
    """Fits `figure` over `by`; needs rows of three sizes at least (ValueError)."""
    points = [(row[by], row[figure]) for row in rows]
    if len({x for x, _ in points}) < 3:
        raise ValueError(f"{figure} over {by}: a slope needs three sizes")
    x, y = np.array(points, dtype=float).T
    slope, base = np.polyfit(x, y, 1)
    rest = float(((y - (slope * x + base)) ** 2).sum())
    spread = float(((y - y.mean()) ** 2).sum())
    return Fit(figure, by, float(slope), float(base), 1.0 - rest / spread if spread else 1.0)


@dataclass(slots=True)
class Result:
    """One run of a scenario.

    Attributes:
        rows: a measured point each: sizes, counts and measurements by name, the unit in the name.
        counted: names of the figures in `rows` that the seed fixes; all others vary with the machine.
        fits: lines over `rows`.
    """

    scenario: str
    command: str
    seed: int
    rows: list[dict[str, float]]
    counted: list[str]
    fits: list[Fit] = field(default_factory=list)
    commit: str = ""
    load_before: tuple[float, ...] = ()
    load_after: tuple[float, ...] = ()
    seconds: float = 0.0

    def counts(self) -> list[dict[str, float]]:
        """The part of the rows that is the same for the same seed."""
        return [{name: row[name] for name in self.counted if name in row} for row in self.rows]

    def write(self, path: Path) -> None:
        """Writes the result as JSON."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(asdict(self), indent=1) + "\n")


def read_result(path: Path) -> Result:
    """Reads a result that `Result.write` wrote; raises ResultFileError with a one-line text."""
    try:
        told: dict[str, Any] = json.loads(path.read_text())
        fits = [Fit(**fit) for fit in told.pop("fits")]
        return Result(**told, fits=fits)
    except (OSError, ValueError, TypeError, KeyError) as err:
        raise ResultFileError(f"{path}: no result of a scenario: {' '.join(str(err).split())}") from err


def current_commit() -> str:
    """The commit that is checked out, with a + where files differ from it; empty outside a checkout."""

    def git(*arguments: str) -> str:
        ended = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True)
        return ended.stdout.strip() if ended.returncode == 0 else ""

    try:
        commit, changed = git("rev-parse", "--short", "HEAD"), git("status", "--porcelain", "--", "*.py")
    except OSError:
        return ""
    return commit + ("+" if commit and changed else "")


def machine_load() -> tuple[float, ...]:
    """The machine's load average over 1, 5 and 15 minutes."""
    return tuple(round(value, 2) for value in os.getloadavg())
