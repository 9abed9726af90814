"""Prints results as tables and draws their fitted lines."""

from __future__ import annotations

import math
from collections.abc import Iterable
from pathlib import Path

from rich import box
from rich.console import Console
from rich.table import Table

from emulator.results import Fit, Result

PLOT_SIZE = (6.4, 4.0)  # width and height in inches
PLOT_DPI = 110  # dots per inch
SCIENTIFIC_BELOW = 0.001  # absolute values below it are printed in scientific notation


def format_value(value: float) -> str:
    """Formats a value for a table."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, int) or float(value).is_integer():
        return f"{int(value):,}"
    if math.isnan(value):
        return "-"
    return f"{value:.2e}" if 0 < abs(value) < SCIENTIFIC_BELOW else f"{value:,.4g}"


def column_names(result: Result) -> list[str]:
    """Returns the names of all columns in the rows, in order of first appearance."""
    return list(dict.fromkeys(name for row in result.rows for name in row))


def rows_table(result: Result) -> Table:
    """Builds the table of the measured rows. An asterisk marks the columns that the seed determines."""
    table = Table(title=f"{result.scenario}, seed {result.seed}", title_justify="left", box=box.SIMPLE)
    names = column_names(result)
    for name in names:
        table.add_column(name + ("*" if name in result.counted else ""), justify="right")
    for row in result.rows:
        table.add_row(*(format_value(row[name]) if name in row else "-" for name in names))
    return table


def fits_table(fits: Iterable[Fit]) -> Table:
    """Builds the table of the fitted lines."""
    table = Table(title="figure = base + slope x size", title_justify="left", box=box.SIMPLE)
    for name in ("figure", "size", "slope", "base", "r squared"):
        table.add_column(name, justify="left" if name in ("figure", "size") else "right")
    for fit in fits:
        table.add_row(
            fit.figure, fit.by, format_value(fit.slope), format_value(fit.base), f"{fit.r_squared:.4f}"
        )
    return table


def print_result(console: Console, result: Result) -> None:
    """Prints the tables of one result, the command that produced it, its commit and the machine load."""
    console.print(rows_table(result))
    if result.fits:
        console.print(fits_table(result.fits))
    load = "/".join(f"{value:g}" for value in result.load_before)
    console.print(
        f"* the same for the same seed.  {result.command}  commit {result.commit or 'unknown'}, "
        f"{result.seconds:g} s, load before {load}",
        soft_wrap=True,
    )


def plot_fit(result: Result, fit: Fit, directory: Path) -> Path:
    """Draws the measured points and the fitted line as a PNG file in `directory`; returns its path."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    points = sorted(
        (row[fit.by], row[fit.figure]) for row in result.rows if fit.figure in row and fit.by in row
    )
    sizes = [x for x, _ in points]
    figure, axes = pyplot.subplots(figsize=PLOT_SIZE, dpi=PLOT_DPI)
    axes.plot(sizes, [y for _, y in points], "o", label="measured")
    line = [fit.base + fit.slope * x for x in sizes]
    axes.plot(
        sizes,
        line,
        "-",
        label=f"{format_value(fit.base)} + {format_value(fit.slope)} x, r squared {fit.r_squared:.3f}",
    )
    axes.set_xlabel(fit.by)
    axes.set_ylabel(fit.figure)
    axes.set_title(f"{result.scenario}: {fit.figure}")
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    directory.mkdir(parents=True, exist_ok=True)
    path = directory / f"{result.scenario}-{fit.figure}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path
