"""Faults of system calls in a process under test: builds the shim faults.c and steers it while it runs.

The shim is built with `cc` and preloaded (LD_PRELOAD) into processes started for tests, and no others.
"""

from __future__ import annotations

import mmap
import subprocess
from enum import IntEnum, auto
from pathlib import Path

SHIM_SOURCE = Path(__file__).with_name("faults.c")
FIELD_BYTES = 8
BUILD_TIMEOUT = 60.0  # seconds
SECOND_NS = 1_000_000_000


class ShimError(Exception):
    """The shim could not be built; the text says why in one line."""


class ControlField(IntEnum):
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


def build_shim(directory: Path) -> Path:
    """Builds the shim into a folder; raises ShimError."""
    library = directory / "faults.so"
    command = ["cc", "-O2", "-Wall", "-shared", "-fPIC", "-o", str(library), str(SHIM_SOURCE), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True, text=True, timeout=BUILD_TIMEOUT)
    except (OSError, subprocess.SubprocessError) as err:
        raise ShimError(f"cc failed: {err}") from err
    return library


class FaultInjector:
    """The control file of one process."""

    def __init__(self, library: Path, control_file: Path) -> None:
        self.library, self.control_file = library, control_file
        control_file.write_bytes(bytes(len(ControlField) * FIELD_BYTES))
        with control_file.open("r+b") as opened:
            self._map = mmap.mmap(opened.fileno(), 0)
        self._fields = memoryview(self._map).cast("q")

    @property
    def environment(self) -> dict[str, str]:
        """What the process needs in its environment."""
        return {"LD_PRELOAD": str(self.library), "FAULTS_FILE": str(self.control_file)}

    def __getitem__(self, field: ControlField) -> int:
        return self._fields[field]

    def __setitem__(self, field: ControlField, value: int) -> None:
        self._fields[field] = value

    def fail_accept(self, error_number: int, every: int = 1) -> None:
        """Calls of accept fail with this errno; 0 ends it."""
        self[ControlField.ACCEPT_EVERY], self[ControlField.ACCEPT_ERRNO] = every, error_number

    def fail_connect(self, error_number: int, every: int = 1) -> None:
        """Calls of connect fail with this errno; 0 ends it."""
        self[ControlField.CONNECT_EVERY], self[ControlField.CONNECT_ERRNO] = every, error_number

    def fail_socket(self, error_number: int, every: int = 1) -> None:
        """Calls of socket fail with this errno; 0 ends it."""
        self[ControlField.SOCKET_EVERY], self[ControlField.SOCKET_ERRNO] = every, error_number

    def step_wall_clock(self, seconds: float) -> None:
        """The wall clock stands so far from the machine's."""
        self[ControlField.WALL_OFFSET_NS] = int(seconds * SECOND_NS)

    def limit_transfers(self, max_bytes: int) -> None:
        """Reads and writes on sockets move so many bytes at most; 0 ends it."""
        self[ControlField.READ_CAP] = self[ControlField.WRITE_CAP] = max_bytes

    def delay_writes(self, seconds: float, every: int) -> None:
        """One write in so many comes late by so much; 0 ends it."""
        self[ControlField.HOLD_NS], self[ControlField.HOLD_EVERY] = int(seconds * SECOND_NS), every

    def interrupt_calls(self, every: int) -> None:
        """One accept, read or write in so many ends with EINTR; 0 ends it."""
        self[ControlField.INTERRUPT_EVERY] = every

    def clear(self) -> None:
        """Ends all faults but a step of the wall clock."""
        for field in ControlField:
            if not (
                field.name.endswith(("FAILED", "HELD", "INTERRUPTED")) or field is ControlField.WALL_OFFSET_NS
            ):
                self[field] = 0
