"""Ends what a case started if the case itself is killed: it waits for the end of its standard input.

Each line names the id of a process or, behind `folder`, a temporary folder; `done` means that nothing is
left.
"""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import sys


def main() -> None:
    """Reads to the end and cleans up, unless the case has done so."""
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)
    processes, folders = [], []
    for line in sys.stdin:
        words = line.rstrip("\n").split(" ", 1)
        if words[0] == "done":
            return
        if words[0] == "folder":
            folders.append(words[1])
        else:
            processes.append(int(words[0]))
    for process in processes:
        with contextlib.suppress(ProcessLookupError):
            os.kill(process, signal.SIGKILL)
    for folder in folders:
        shutil.rmtree(folder, ignore_errors=True)


if __name__ == "__main__":
    main()
