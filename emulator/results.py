"""Results of scenarios: measured rows, the counts that the seed determines, and how they were obtained."""

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
    """A file does not hold a result. The message gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class Fit:
    """A least-squares line through measured points.

    Attributes:
        figure: name of the fitted column.
        by: name of the column over which the line is fitted.
        slope: change of `figure`, in its unit, for an increase of `by` by one.
        base: value of the line where `by` is 0.
        r_squared: share of the variance that the line explains.
    """

    figure: str
    by: str
    slope: float
    base: float
    r_squared: float


def fit_line(rows: list[dict[str, float]], by: str, figure: str) -> Fit:
    """Fits a least-squares line to `figure` over `by`.

    Raises ValueError if the rows hold fewer than three different values of `by`.
    """
    points = [(row[by], row[figure]) for row in rows]
    if len({x for x, _ in points}) < 3:
        raise ValueError(f"{figure} over {by}: a slope needs at least three sizes")
    x, y = np.array(points, dtype=float).T
    slope, base = np.polyfit(x, y, 1)
    residual_squares = float(((y - (slope * x + base)) ** 2).sum())
    total_squares = float(((y - y.mean()) ** 2).sum())
    return Fit(
        figure,
        by,
        float(slope),
        float(base),
        1.0 - residual_squares / total_squares if total_squares else 1.0,
    )


@dataclass(slots=True)
class Result:
    """One run of a scenario.

    Attributes:
        scenario: name of the scenario.
        command: command line that ran it.
        seed: seed of all random numbers.
        rows: one measured point each: sizes, counts and measurements by column name; the name has the unit.
        counted: names of the columns in `rows` that the seed determines; all others vary with the machine.
        fits: lines fitted to `rows`.
        commit: commit that was checked out, see `current_commit`.
        load_before: load average of the machine before the run, see `machine_load`.
        load_after: load average of the machine after the run.
        seconds: duration of the run.
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
        """Returns the columns of the rows that are the same for the same seed."""
        return [{name: row[name] for name in self.counted if name in row} for row in self.rows]

    def write(self, path: Path) -> None:
        """Writes the result to a file as JSON. Raises OSError."""
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(json.dumps(asdict(self), indent=1) + "\n")


def read_result(path: Path) -> Result:
    """Reads a result that `Result.write` wrote.

    Raises ResultFileError with a message of one line if the file cannot be read or does not hold a result.
    """
    try:
        data: dict[str, Any] = json.loads(path.read_text())
        fits = [Fit(**fit) for fit in data.pop("fits")]
        return Result(**data, fits=fits)
    except (OSError, ValueError, TypeError, KeyError) as err:
        raise ResultFileError(f"{path}: no result of a scenario: {' '.join(str(err).split())}") from err


def current_commit() -> str:
    """Returns the abbreviated hash of the commit that is checked out.

    A "+" follows if Python files differ from the commit. The string is empty outside a checkout.
    """

    def git(*arguments: str) -> str:
        completed = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True)
        return completed.stdout.strip() if completed.returncode == 0 else ""

    try:
        commit, changed = git("rev-parse", "--short", "HEAD"), git("status", "--porcelain", "--", "*.py")
    except OSError:
        return ""
    return commit + ("+" if commit and changed else "")


def machine_load() -> tuple[float, ...]:
    """Returns the load average of the machine over 1, 5 and 15 minutes."""
    return tuple(round(value, 2) for value in os.getloadavg())
