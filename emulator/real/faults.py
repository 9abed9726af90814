"""Injects faults into the system calls of a process under test, with the shim faults.c.

The shim is built with `cc` and preloaded (LD_PRELOAD), only into processes that are started for tests. It is
controlled through a memory-mapped file while the process runs.
"""

from __future__ import annotations

import mmap
import subprocess
from enum import IntEnum, auto
from pathlib import Path

SHIM_SOURCE = Path(__file__).with_name("faults.c")
FIELD_BYTES = 8  # of each field in the control file
BUILD_TIMEOUT = 60.0  # seconds
SECOND_NS = 1_000_000_000


class ShimError(Exception):
    """Raised if the shim cannot be built; the message is one line."""


class ControlField(IntEnum):
    """The fields of the control file, in the order of `enum field` in faults.c.

    A fault affects one call in `*_EVERY` on average, and each call if that is 1. The shim counts the affected
    calls in `*_FAILED`, `HELD` and `INTERRUPTED`.
    """

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
    """Builds the shim in a directory and returns its path; raises ShimError."""
    library = directory / "faults.so"
    command = ["cc", "-O2", "-Wall", "-shared", "-fPIC", "-o", str(library), str(SHIM_SOURCE), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True, text=True, timeout=BUILD_TIMEOUT)
    except (OSError, subprocess.SubprocessError) as err:
        raise ShimError(f"cc failed: {err}") from err
    return library


class FaultInjector:
    """Controls the faults of one process through its control file."""

    def __init__(self, library: Path, control_file: Path) -> None:
        """Creates the control file, without faults, and maps it.

        Args:
            library: the shim, as built by build_shim.
        """
        self.library, self.control_file = library, control_file
        control_file.write_bytes(bytes(len(ControlField) * FIELD_BYTES))
        with control_file.open("r+b") as opened:
            self._map = mmap.mmap(opened.fileno(), 0)
        self._fields = memoryview(self._map).cast("q")

    @property
    def environment(self) -> dict[str, str]:
        """The environment variables that preload the shim into the process."""
        return {"LD_PRELOAD": str(self.library), "FAULTS_FILE": str(self.control_file)}

    def __getitem__(self, field: ControlField) -> int:
        """Returns a field of the control file."""
        return self._fields[field]

    def __setitem__(self, field: ControlField, value: int) -> None:
        """Writes a field of the control file."""
        self._fields[field] = value

    def fail_accept(self, error_number: int, every: int = 1) -> None:
        """Makes one call of accept in `every` fail with this errno; 0 removes the fault."""
        self[ControlField.ACCEPT_EVERY], self[ControlField.ACCEPT_ERRNO] = every, error_number

    def fail_connect(self, error_number: int, every: int = 1) -> None:
        """Makes one call of connect in `every` fail with this errno; 0 removes the fault."""
        self[ControlField.CONNECT_EVERY], self[ControlField.CONNECT_ERRNO] = every, error_number

    def fail_socket(self, error_number: int, every: int = 1) -> None:
        """Makes one call of socket in `every` fail with this errno; 0 removes the fault."""
        self[ControlField.SOCKET_EVERY], self[ControlField.SOCKET_ERRNO] = every, error_number

    def step_wall_clock(self, seconds: float) -> None:
        """Sets the offset of the process's wall clock from the machine's, in seconds."""
        self[ControlField.WALL_OFFSET_NS] = int(seconds * SECOND_NS)

    def limit_transfers(self, max_bytes: int) -> None:
        """Limits each read and write on a socket to this many bytes; 0 removes the limit."""
        self[ControlField.READ_CAP] = self[ControlField.WRITE_CAP] = max_bytes

    def delay_writes(self, seconds: float, every: int) -> None:
        """Delays one write in `every` by some seconds; `every` 0 removes the fault."""
        self[ControlField.HOLD_NS], self[ControlField.HOLD_EVERY] = int(seconds * SECOND_NS), every

    def interrupt_calls(self, every: int) -> None:
        """Makes one accept, read or write in `every` fail with EINTR; 0 removes the fault."""
        self[ControlField.INTERRUPT_EVERY] = every

    def clear(self) -> None:
        """Removes all faults except an offset of the wall clock."""
        for field in ControlField:
            if not (
                field.name.endswith(("FAILED", "HELD", "INTERRUPTED")) or field is ControlField.WALL_OFFSET_NS
            ):
                self[field] = 0
