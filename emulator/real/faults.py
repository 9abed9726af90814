"""Faults of system calls in a process under test: builds the shim faults.c and steers it while it runs.

The shim is built with `cc` and preloaded (LD_PRELOAD) into processes started for tests, and no others.
"""

from __future__ import annotations

import mmap
import subprocess
from enum import IntEnum, auto
from pathlib import Path

SOURCE = Path(__file__).with_name("faults.c")
NUMBER_BYTES = 8
BUILD_WITHIN = 60.0  # seconds
SECOND_NS = 1_000_000_000


class ShimError(Exception):
    """The shim could not be built; the text says why in one line."""


class Field(IntEnum):
    """The numbers of the control file, in the order of faults.c. `*_EVERY`: one call in so many; 1: each.
    The shim writes the counts of those that did."""

    ACCEPT_ERRNO = 0
    ACCEPT_EVERY = auto()
    ACCEPT_FAILED = auto()
    CONNECT_ERRNO = auto()
    CONNECT_EVERY = auto()
    CONNECT_FAILED = auto()
    SOCKET_ERRNO = auto()
    SOCKET_EVERY = auto()
    SOCKET_FAILED = auto()
    WALL_OFFSET_NS = auto()
    WRITE_CAP = auto()
    READ_CAP = auto()
    HOLD_NS = auto()
    HOLD_EVERY = auto()
    HELD = auto()
    INTERRUPT_EVERY = auto()
    INTERRUPTED = auto()


def build_shim(folder: Path) -> Path:
    """Builds the shim into a folder; raises ShimError."""
    library = folder / "faults.so"
    command = ["cc", "-O2", "-Wall", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True, text=True, timeout=BUILD_WITHIN)
    except (OSError, subprocess.SubprocessError) as err:
        raise ShimError(f"cc failed: {err}") from err
    return library


class Faults:
    """The control file of one process."""

    def __init__(self, library: Path, file: Path) -> None:
        self.library, self.file = library, file
        file.write_bytes(bytes(len(Field) * NUMBER_BYTES))
        with file.open("r+b") as opened:
            self._map = mmap.mmap(opened.fileno(), 0)
        self._numbers = memoryview(self._map).cast("q")

    @property
    def environment(self) -> dict[str, str]:
        """What the process needs in its environment."""
        return {"LD_PRELOAD": str(self.library), "FAULTS_FILE": str(self.file)}

    def __getitem__(self, field: Field) -> int:
        return self._numbers[field]

    def __setitem__(self, field: Field, value: int) -> None:
        self._numbers[field] = value

    def fail_accept(self, number: int, every: int = 1) -> None:
        """Calls of accept fail with this errno; 0 ends it."""
        self[Field.ACCEPT_EVERY], self[Field.ACCEPT_ERRNO] = every, number

    def fail_connect(self, number: int, every: int = 1) -> None:
        """Calls of connect fail with this errno; 0 ends it."""
        self[Field.CONNECT_EVERY], self[Field.CONNECT_ERRNO] = every, number

    def fail_socket(self, number: int, every: int = 1) -> None:
        """Calls of socket fail with this errno; 0 ends it."""
        self[Field.SOCKET_EVERY], self[Field.SOCKET_ERRNO] = every, number

    def step_wall_clock(self, seconds: float) -> None:
        """The wall clock stands so far from the machine's."""
        self[Field.WALL_OFFSET_NS] = int(seconds * SECOND_NS)

    def cut_transfers(self, most: int) -> None:
        """Reads and writes on sockets move so many bytes at most; 0 ends it."""
        self[Field.READ_CAP] = self[Field.WRITE_CAP] = most

    def hold_up_writes(self, seconds: float, every: int) -> None:
        """One write in so many comes late by so much; 0 ends it."""
        self[Field.HOLD_NS], self[Field.HOLD_EVERY] = int(seconds * SECOND_NS), every

    def interrupt(self, every: int) -> None:
        """One accept, read or write in so many ends with EINTR; 0 ends it."""
        self[Field.INTERRUPT_EVERY] = every

    def clear(self) -> None:
        """Ends all faults but a step of the wall clock."""
        for field in Field:
            if not (field.name.endswith(("FAILED", "HELD", "INTERRUPTED")) or field is Field.WALL_OFFSET_NS):
                self[field] = 0
