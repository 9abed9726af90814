"""The command `python -m emulator soak`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from rich.console import Console

from emulator.real.faults import ShimError
from emulator.soak.report import print_soak, write_soak
from emulator.soak.runner import DEFAULT_RATE, SoakError, SoakOptions, run_soak

SECONDS_PER_MINUTE = 60
MAX_GATEWAYS = 60
MAX_MINUTES = 120.0
MAX_RATE = 500.0  # requests per second for each gateway
EXIT_VIOLATIONS = 1  # exit status if an invariant was violated


def soak(
    seed: Annotated[int, typer.Option(min=0, help="Seed for the random faults.")] = 1,
    gateways: Annotated[int, typer.Option(min=1, max=MAX_GATEWAYS, help="Number of gateway processes.")] = 24,
    minutes: Annotated[
        float, typer.Option(min=0.05, max=MAX_MINUTES, help="Duration of the fault injection.")
    ] = 1.0,
    rate: Annotated[
        float, typer.Option(min=1, max=MAX_RATE, help="Requests per second for each gateway.")
    ] = DEFAULT_RATE,
    troubles: Annotated[
        str, typer.Option(help="Comma-separated names of faults to draw from; all if empty.")
    ] = "",
    out: Annotated[Path | None, typer.Option(dir_okay=False, help="Also write the report as JSON.")] = None,
    logs: Annotated[
        Path | None, typer.Option(file_okay=False, help="Keep configurations and logs in this directory.")
    ] = None,
) -> None:
    """Injects overlapping faults into real gateways and checks invariants from outside."""
    names = tuple(name for name in troubles.split(",") if name)
    options = SoakOptions(seed, gateways, minutes * SECONDS_PER_MINUTE, rate, names, directory=logs)
    errors = Console(stderr=True)
    try:
        result = run_soak(
            options, lambda text, fraction: errors.print(f"{100 * fraction:3.0f}%  {text}", highlight=False)
        )
    except (SoakError, ShimError) as err:
        raise typer.BadParameter(str(err)) from err
    print_soak(Console(width=240), result)
    if out is not None:
        try:
            write_soak(result, out)
        except OSError as err:
            raise typer.BadParameter(f"{out}: {err.strerror}") from err
    if result.violations:
        raise typer.Exit(EXIT_VIOLATIONS)
