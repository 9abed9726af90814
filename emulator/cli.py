"""The command line: `python -m emulator list | run SCENARIO | report FILE... | soak`."""

from __future__ import annotations

import shlex
import sys
from pathlib import Path
from typing import Annotated

import structlog
import typer
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table
from typer.exceptions import Abort, TyperException

from emulator.report import plot_fit, print_result
from emulator.results import Result, ResultFileError, read_result
from emulator.runner import run_scenario
from emulator.scenarios import DEFAULT_SCENARIO, SCENARIOS
from emulator.scenarios.base import Options, ScenarioError
from emulator.soak.command import soak

EXIT_USAGE = 2  # exit status after wrong arguments
EXIT_INTERRUPTED = 130  # exit status after SIGINT
MAX_GATEWAYS = 10_000
MAX_SERVERS = 200_000
MAX_TENANTS = 1_000_000

app = typer.Typer(
    help="Scale tests of the gateway: hollow gateways in virtual time, real gateways on loopback.",
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
log = structlog.get_logger()


def make_console() -> Console:
    """Returns a console for tables.

    It is 240 columns wide if standard output is not a terminal, so that long rows are not wrapped.
    """
    return Console() if sys.stdout.isatty() else Console(width=240)


@app.command("list")
def list_scenarios() -> None:
    """Lists the scenarios."""
    table = Table(box=None)
    for name in ("scenario", "gateways", "what it measures"):
        table.add_column(name)
    for scenario in SCENARIOS.values():
        default = " (default)" if scenario.name == DEFAULT_SCENARIO else ""
        table.add_row(scenario.name + default, scenario.kind, scenario.summary)
    make_console().print(table)


def validate_scenario_name(name: str) -> str:
    """Returns the name of a scenario unchanged; raises typer.BadParameter if there is no such scenario."""
    if name not in SCENARIOS:
        raise typer.BadParameter(f"no scenario {name!r}; there are {', '.join(SCENARIOS)}")
    return name


@app.command("run")
def run(
    scenario: Annotated[
        str,
        typer.Argument(
            help="Name of the scenario; `list` prints all names.", callback=validate_scenario_name
        ),
    ] = DEFAULT_SCENARIO,
    gateways: Annotated[
        int | None, typer.Option(min=1, max=MAX_GATEWAYS, help="Number of gateways in the largest fleet.")
    ] = None,
    servers: Annotated[
        int | None, typer.Option(min=1, max=MAX_SERVERS, help="Number of servers in the longest server list.")
    ] = None,
    tenants: Annotated[
        int | None, typer.Option(min=1, max=MAX_TENANTS, help="Largest number of tenants.")
    ] = None,
    seed: Annotated[
        int, typer.Option(min=0, help="Seed of all random numbers; it determines the counts.")
    ] = 1,
    out: Annotated[
        Path | None, typer.Option(dir_okay=False, help="File to which the result is also written as JSON.")
    ] = None,
) -> None:
    """Runs one scenario and prints its results."""
    selected = SCENARIOS[scenario]
    bar = Progress(
        TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=Console(stderr=True)
    )
    with bar:
        task = bar.add_task(selected.name, total=1.0)

        def progress(text: str, fraction: float) -> None:
            bar.update(task, description=f"{selected.name}: {text}", completed=fraction)

        options = Options(gateways, servers, tenants, seed, progress)
        result = run_scenario(selected, options, "python -m emulator " + shlex.join(sys.argv[1:]))
        bar.update(task, completed=1.0)
    print_result(make_console(), result)
    if out is not None:
        write_result(result, out)


def write_result(result: Result, path: Path) -> None:
    """Writes a result to a file; raises typer.BadParameter with the reason if the file cannot be written."""
    try:
        result.write(path)
    except OSError as err:
        raise typer.BadParameter(f"{path}: {err.strerror}") from err
    log.info("result written", file=str(path), scenario=result.scenario, seed=result.seed)


@app.command("report")
def report(
    files: Annotated[
        list[Path], typer.Argument(help="Result files written by `run --out`.", metavar="FILE...")
    ],
    plots: Annotated[
        Path | None,
        typer.Option(file_okay=False, help="Directory into which the fitted lines are drawn as PNG files."),
    ] = None,
) -> None:
    """Prints saved results and, with --plots, draws their fitted lines."""
    try:
        results = [read_result(path) for path in files]
    except ResultFileError as err:
        raise typer.BadParameter(str(err)) from err
    for result in results:
        print_result(make_console(), result)
        for fit in result.fits if plots else ():
            log.info("plot drawn", file=str(plot_fit(result, fit, plots)))


app.command("soak")(soak)


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line and exits.

    The exit status is 2, after one line on standard error, if the arguments are wrong, and 130 after SIGINT.
    """
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper("iso"),
            structlog.processors.add_log_level,
            structlog.processors.KeyValueRenderer(key_order=["timestamp", "level", "event"]),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    arguments = sys.argv[1:] if arguments is None else arguments
    try:
        code = app(arguments or ["--help"], prog_name="python -m emulator", standalone_mode=False)
    except TyperException as err:
        print(f"emulator: {' '.join(err.format_message().split())}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except ScenarioError as err:
        print(f"emulator: {err}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    except (KeyboardInterrupt, Abort):
        print("emulator: interrupted", file=sys.stderr)
        sys.exit(EXIT_INTERRUPTED)
    sys.exit(code or 0)
