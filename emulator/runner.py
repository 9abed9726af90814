"""Runs a scenario and collects its result."""

from __future__ import annotations

import time

from emulator.results import Result, current_commit, fit_line, machine_load
from emulator.scenarios.base import Options, Row, Scenario


def fit_slopes(scenario: Scenario, rows: list[Row]) -> list:
    """Fits a line for each slope of the scenario, over the rows that have both columns.

    A slope whose rows have fewer than three different sizes is left out.
    """
    fits = []
    for figure, by in scenario.slopes:
        points = [row for row in rows if figure in row and by in row]
        if len({row[by] for row in points}) >= 3:
            fits.append(fit_line(points, by, figure))
    return fits


def run_scenario(scenario: Scenario, options: Options, command: str) -> Result:
    """Runs a scenario.

    The result also holds the command, the seed, the commit, and the machine's load before and after the run.
    """
    load_before, started_at = machine_load(), time.monotonic()
    rows = scenario.run(options)
    return Result(
        scenario=scenario.name,
        command=command,
        seed=options.seed,
        rows=rows,
        counted=list(scenario.counted),
        fits=fit_slopes(scenario, rows),
        commit=current_commit(),
        load_before=load_before,
        load_after=machine_load(),
        seconds=round(time.monotonic() - started_at, 2),
    )
