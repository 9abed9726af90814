"""Reports of a soak, as text and as JSON."""

from __future__ import annotations

import json
import re
import shlex
from collections import Counter
from dataclasses import asdict
from pathlib import Path

from rich.console import Console
from rich.table import Table

from emulator.soak.invariants import Violation
from emulator.soak.record import SoakRecord
from emulator.soak.runner import DEFAULT_RATE, SoakOptions, SoakResult

MAX_PRINTED_VIOLATIONS = 20
MAX_LOG_LINES = 8  # lines of a gateway's log printed for each violation


def replay_command(options: SoakOptions) -> str:
    """Returns the command that injects the same faults again."""
    arguments = ["python", "-m", "emulator", "soak", "--seed", str(options.seed)]
    arguments += ["--gateways", str(options.gateways), "--minutes", f"{options.seconds / 60:g}"]
    if options.rate != DEFAULT_RATE:
        arguments += ["--rate", f"{options.rate:g}"]
    if options.faults:
        arguments += ["--troubles", ",".join(options.faults)]
    return shlex.join(arguments)


def log_lines(record: SoakRecord, violation: Violation) -> list[str]:
    """Returns the lines that the gateway logged about the request or the connection of a violation.

    If there are none, returns the last lines of its log.
    """
    gateway = re.search(r"gateway (\d+)\.(\d+)", violation.detail)
    if not gateway:
        return []
    log = record.process_run(int(gateway[1]), int(gateway[2])).log_tail.splitlines()
    request = re.search(r"request (\S+)", violation.detail)
    connection = re.search(r"connection (\d+)", violation.detail)
    keywords = [f"id={request[1]} "] if request else []
    keywords += [f"connection={connection[1]}"] if connection else []
    lines = [line for line in log if any(keyword in f"{line} " for keyword in keywords)]
    return (lines or log)[-MAX_LOG_LINES:]


def print_soak(console: Console, result: SoakResult) -> None:
    """Prints the counts, faults and violations of a soak, and the command that repeats it."""
    record = result.record
    counts = Table(box=None)
    for name in result.counts():
        counts.add_column(name)
    counts.add_row(*(str(count) for count in result.counts().values()))
    console.print(counts)
    for fault in sorted(record.faults, key=lambda fault: fault.began):
        begin, end = fault.began - record.started_at, fault.ended - record.started_at
        console.print(f"{begin:7.2f} to {end:7.2f} s  {fault.name}  {fault.detail}", soft_wrap=True)
    for violation in result.violations[:MAX_PRINTED_VIOLATIONS]:
        elapsed = violation.at - record.started_at
        console.print(
            f"violation  seed {result.options.seed}  {elapsed:.3f} s  "
            f"{violation.invariant}: {violation.detail}",
            soft_wrap=True,
            markup=False,
        )
        for line in log_lines(record, violation):
            console.print(f"    {line}", soft_wrap=True, markup=False, highlight=False)
    violation_counts = Counter(violation.invariant for violation in result.violations)
    if violation_counts:
        console.print(", ".join(f"{count} {name}" for name, count in violation_counts.items()))
    console.print(f"repeat with: {replay_command(result.options)}", soft_wrap=True)


def write_soak(result: SoakResult, path: Path) -> None:
    """Writes the report of a soak as JSON; raises OSError."""
    report = {
        "command": replay_command(result.options),
        "counts": result.counts(),
        "troubles": [asdict(fault) for fault in result.record.faults],
        "violations": [asdict(violation) for violation in result.violations],
    }
    path.write_text(json.dumps(report, indent=1) + "\n")
