"""Results as tables and plots."""

from __future__ import annotations

import math
from collections.abc import Iterable
from pathlib import Path

from rich import box
from rich.console import Console
from rich.table import Table

from emulator.results import Fit, Result

PLOT_SIZE, PLOT_DPI = (6.4, 4.0), 110  # inches; dots an inch
SMALL = 0.001  # figures below it are shown as powers of ten


def shown(value: float) -> str:
    """A figure as tables show it."""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, int) or float(value).is_integer():
        return f"{int(value):,}"
    if math.isnan(value):
        return "-"
    return f"{value:.2e}" if 0 < abs(value) < SMALL else f"{value:,.4g}"


def columns(result: Result) -> list[str]:
    """Names of all figures in the rows, in the order in which they come."""
    return list(dict.fromkeys(name for row in result.rows for name in row))


def rows_table(result: Result) -> Table:
    """The measured rows; figures that the seed fixes are marked."""
    table = Table(title=f"{result.scenario}, seed {result.seed}", title_justify="left", box=box.SIMPLE)
    names = columns(result)
    for name in names:
        table.add_column(name + ("*" if name in result.counted else ""), justify="right")
    for row in result.rows:
        table.add_row(*(shown(row[name]) if name in row else "-" for name in names))
    return table


def fits_table(fits: Iterable[Fit]) -> Table:
    """The fitted lines."""
    table = Table(title="figure = base + slope x size", title_justify="left", box=box.SIMPLE)
    for name in ("figure", "size", "slope", "base", "r squared"):
        table.add_column(name, justify="left" if name in ("figure", "size") else "right")
    for fit in fits:
        table.add_row(fit.figure, fit.by, shown(fit.slope), shown(fit.base), f"{fit.r_squared:.4f}")
    return table


def print_result(console: Console, result: Result) -> None:
    """Prints one result."""
    console.print(rows_table(result))
    if result.fits:
        console.print(fits_table(result.fits))
    load = "/".join(f"{value:g}" for value in result.load_before)
    console.print(
        f"* the same for the same seed.  {result.command}  commit {result.commit or 'unknown'}, "
        f"{result.seconds:g} s, load before {load}",
        soft_wrap=True,
    )


def plot_fit(result: Result, fit: Fit, folder: Path) -> Path:
    """Draws the measured points and their line as a PNG; the file's path."""
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
        sizes, line, "-", label=f"{shown(fit.base)} + {shown(fit.slope)} x, r squared {fit.r_squared:.3f}"
    )
    axes.set_xlabel(fit.by)
    axes.set_ylabel(fit.figure)
    axes.set_title(f"{result.scenario}: {fit.figure}")
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{result.scenario}-{fit.figure}.png"
    figure.savefig(path)
    pyplot.close(figure)
    return path
