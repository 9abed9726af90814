"""Runs a scenario and makes its result."""

from __future__ import annotations

import time

from emulator.results import Result, current_commit, fit_line, machine_load
from emulator.scenarios.base import Options, Row, Scenario


def fitted(scenario: Scenario, rows: list[Row]) -> list:
    """Lines over the rows that hold both figures; none where fewer than three sizes do."""
    fits = []
    for figure, by in scenario.slopes:
        points = [row for row in rows if figure in row and by in row]
        if len({row[by] for row in points}) >= 3:
            fits.append(fit_line(points, by, figure))
    return fits


def run_scenario(scenario: Scenario, options: Options, command: str) -> Result:
    """Runs it; the result names the command, the seed, the commit and the machine's load."""
    load_before, began = machine_load(), time.monotonic()
    rows = scenario.run(options)
    return Result(
        scenario=scenario.name,
        command=command,
        seed=options.seed,
        rows=rows,
        counted=list(scenario.counted),
        fits=fitted(scenario, rows),
        commit=current_commit(),
        load_before=load_before,
        load_after=machine_load(),
        seconds=round(time.monotonic() - began, 2),
    )
