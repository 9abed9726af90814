"""What a soak found, as text and as a file."""

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
from emulator.soak.record import Record
from emulator.soak.runner import RATE, SoakOptions, SoakResult

MOST_PRINTED = 20  # violations
MOST_LINES = 8  # of the log of a gateway with each


def replay_command(options: SoakOptions) -> str:
    """The command that plays the same troubles again."""
    words = ["python", "-m", "emulator", "soak", "--seed", str(options.seed)]
    words += ["--gateways", str(options.gateways), "--minutes", f"{options.seconds / 60:g}"]
    if options.rate != RATE:
        words += ["--rate", f"{options.rate:g}"]
    if options.troubles:
        words += ["--troubles", ",".join(options.troubles)]
    return shlex.join(words)


def log_lines(record: Record, violation: Violation) -> list[str]:
    """The lines that the gateway logged about the request and the connection of a violation."""
    found = re.search(r"gateway (\d+)\.(\d+)", violation.detail)
    if not found:
        return []
    log = record.life(int(found[1]), int(found[2])).log.splitlines()
    request = re.search(r"request (\S+)", violation.detail)
    connection = re.search(r"connection (\d+)", violation.detail)
    wanted = [f"id={request[1]} "] if request else []
    wanted += [f"connection={connection[1]}"] if connection else []
    lines = [line for line in log if any(word in f"{line} " for word in wanted)]
    return (lines or log)[-MOST_LINES:]


def print_soak(console: Console, result: SoakResult) -> None:
    """Prints the counts, the troubles and the violations of a soak."""
    record = result.record
    counts = Table(box=None)
    for name in result.counts():
        counts.add_column(name)
    counts.add_row(*(str(count) for count in result.counts().values()))
    console.print(counts)
    for trouble in sorted(record.troubles, key=lambda trouble: trouble.began):
        begin, end = trouble.began - record.began, trouble.ended - record.began
        console.print(f"{begin:7.2f} to {end:7.2f} s  {trouble.name}  {trouble.detail}", soft_wrap=True)
    for violation in result.violations[:MOST_PRINTED]:
        at = violation.at - record.began
        console.print(
            f"violation  seed {result.options.seed}  {at:.3f} s  {violation.invariant}: {violation.detail}",
            soft_wrap=True,
            markup=False,
        )
        for line in log_lines(record, violation):
            console.print(f"    {line}", soft_wrap=True, markup=False, highlight=False)
    kinds = Counter(violation.invariant for violation in result.violations)
    if kinds:
        console.print(", ".join(f"{count} {name}" for name, count in kinds.items()))
    console.print(f"again: {replay_command(result.options)}", soft_wrap=True)


def write_soak(result: SoakResult, path: Path) -> None:
    """Writes what was found as JSON; raises OSError."""
    told = {
        "command": replay_command(result.options),
        "counts": result.counts(),
        "troubles": [asdict(trouble) for trouble in result.record.troubles],
        "violations": [asdict(violation) for violation in result.violations],
    }
    path.write_text(json.dumps(told, indent=1) + "\n")
