"""The command line: `python -m emulator list | run SCENARIO | report FILE...`."""

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
from emulator.scenarios import DEFAULT, SCENARIOS
from emulator.scenarios.base import Options, ScenarioError
from emulator.soak.command import soak

USAGE, INTERRUPTED = 2, 130  # exit codes
MOST_GATEWAYS, MOST_SERVERS, MOST_TENANTS = 10_000, 200_000, 1_000_000

app = typer.Typer(
    help="Scale tests of the gateway: hollow gateways in virtual time, real ones on loopback.",
    add_completion=False,
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)
log = structlog.get_logger()


def console() -> Console:
    """Where tables go: as wide as they need to be, where nobody watches."""
    return Console() if sys.stdout.isatty() else Console(width=240)


@app.command("list")
def list_scenarios() -> None:
    """Lists the scenarios."""
    table = Table(box=None)
    for name in ("scenario", "gateways", "what it measures"):
        table.add_column(name)
    for scenario in SCENARIOS.values():
        default = " (default)" if scenario.name == DEFAULT else ""
        table.add_row(scenario.name + default, scenario.kind, scenario.summary)
    console().print(table)


def known_scenario(name: str) -> str:
    """Checks a scenario's name."""
    if name not in SCENARIOS:
        raise typer.BadParameter(f"no scenario {name!r}; there are {', '.join(SCENARIOS)}")
    return name


@app.command("run")
def run(
    scenario: Annotated[
        str, typer.Argument(help="Name, as `list` gives it.", callback=known_scenario)
    ] = DEFAULT,
    gateways: Annotated[int | None, typer.Option(min=1, max=MOST_GATEWAYS, help="Largest fleet.")] = None,
    servers: Annotated[
        int | None, typer.Option(min=1, max=MOST_SERVERS, help="Longest list of servers.")
    ] = None,
    tenants: Annotated[int | None, typer.Option(min=1, max=MOST_TENANTS, help="Most tenants.")] = None,
    seed: Annotated[int, typer.Option(min=0, help="Of all random numbers; fixes the counts.")] = 1,
    out: Annotated[Path | None, typer.Option(dir_okay=False, help="Also write the result as JSON.")] = None,
) -> None:
    """Runs one scenario and prints what it measured."""
    chosen = SCENARIOS[scenario]
    bar = Progress(
        TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn(), console=Console(stderr=True)
    )
    with bar:
        task = bar.add_task(chosen.name, total=1.0)

        def progress(text: str, part: float) -> None:
            bar.update(task, description=f"{chosen.name}: {text}", completed=part)

        options = Options(gateways, servers, tenants, seed, progress)
        result = run_scenario(chosen, options, "python -m emulator " + shlex.join(sys.argv[1:]))
        bar.update(task, completed=1.0)
    print_result(console(), result)
    if out is not None:
        write(result, out)


def write(result: Result, path: Path) -> None:
    """Writes a result's file, or ends with a line that says why not."""
    try:
        result.write(path)
    except OSError as err:
        raise typer.BadParameter(f"{path}: {err.strerror}") from err
    log.info("result written", file=str(path), scenario=result.scenario, seed=result.seed)


@app.command("report")
def report(
    files: Annotated[list[Path], typer.Argument(help="Results that `run --out` wrote.", metavar="FILE...")],
    plots: Annotated[
        Path | None, typer.Option(file_okay=False, help="Draw the slopes as PNG into it.")
    ] = None,
) -> None:
    """Prints results again, and draws their slopes."""
    try:
        results = [read_result(path) for path in files]
    except ResultFileError as err:
        raise typer.BadParameter(str(err)) from err
    for result in results:
        print_result(console(), result)
        for fit in result.fits if plots else ():
            log.info("plot drawn", file=str(plot_fit(result, fit, plots)))


app.command("soak")(soak)


def main(arguments: list[str] | None = None) -> None:
    """Runs the command line. Bad arguments give one line on standard error and exit code 2."""
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
        sys.exit(USAGE)
    except ScenarioError as err:
        print(f"emulator: {err}", file=sys.stderr)
        sys.exit(USAGE)
    except (KeyboardInterrupt, Abort):
        print("emulator: interrupted", file=sys.stderr)
        sys.exit(INTERRUPTED)
    sys.exit(code or 0)
