"""Lists of servers in discovery's form, read piece by piece, and the addresses in them."""

from __future__ import annotations

import logging
import math
import re
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from calicomast import interface as api
from calicomast.net.clock import STARTED_LONG_AGO
from calicomast.net.json_stream import JsonArrayReader

STATE = {"up": "up", "draining": "leaving", "removed": "down"}
MOST_VERSION = 2**63
MOST_CELL = 2**31
MOST_REPEATED = 16_384  # values that are looked for; past that each new one is kept by itself
PORT = r"([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
ADDRESS = re.compile(r"\S+:" + PORT)
CHUNK_BYTES = 16 * 1024  # bytes that are read before others are let run; about a millisecond's work

Address = tuple[str, int]

log = logging.getLogger(__name__)


def parse_address(text: str) -> Address:
    """HOST:PORT as a pair; raises ValueError for anything else."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


class ServerEntry(NamedTuple):
    """A server as it was listed, and HOST:PORT where it listens; empty where that was not told."""

    server: api.Host
    address: str


@dataclass(slots=True)
class ServerList:
    """A list or changes to one."""

    mode: str  # one of interface.MODES
    version: int
    entries: list[ServerEntry]
    taken: bool = False  # whether the entries were handed over

    @property
    def empty(self) -> bool:
        """Whether it came without entries."""
        return not self.entries and not self.taken

    def hand_over(self) -> list[ServerEntry]:
        """The entries, which are not kept here any longer."""
        entries, self.entries, self.taken = self.entries, [], True
        return entries


class Repeated:
    """One object in place of equal ones: many entries repeat zones, kinds, cells and weights."""

    def __init__(self) -> None:
        self._values: dict[Any, Any] = {}

    def __call__(self, value: Any) -> Any:
        """The value itself or one that is equal; all values that one instance gets are of one type."""
        if len(self._values) >= MOST_REPEATED:
            return self._values.get(value, value)
        return self._values.setdefault(value, value)


class EntryReader:
    """Reads the entries of one list."""

    def __init__(self) -> None:
        self.texts, self.cells, self.weights = Repeated(), Repeated(), Repeated()

    def read(self, told: dict[str, Any]) -> ServerEntry:
        """One entry as JSON has it; raises KeyError, TypeError, ValueError, AttributeError or OverflowError
        if it is none."""
        name, state, address = told["id"], STATE[told["state"]], told.get("addr") or ""
        if not isinstance(name, str):
            raise TypeError("id is no text")
        if not name.isascii():
            name.encode()  # raises ValueError where an escape stands for half a character
        started = told.get("started_ms")
        started = float(started) / 1000 if started else STARTED_LONG_AGO
        weight, cell = float(told.get("weight", 1.0)), int(told.get("cell", 0))
        if not (0 <= weight < math.inf and 0 <= started < math.inf and 0 <= cell < MOST_CELL):
            raise ValueError("weight, start or cell out of range")
        if address and not ADDRESS.fullmatch(address):
            raise ValueError("addr is not HOST:PORT")
        zone, kind = self.texts(str(told.get("zone", ""))), self.texts(str(told.get("kind", "")))
        host = api.Host(name, zone, self.cells(cell), self.weights(weight), kind, state, started)
        return ServerEntry(host, address)


class ServerListReader:
    """Reads one list. An entry that cannot be read is left out; the others, drains among them, are heard all
    the same. Where an id is named twice, what is said last counts.

    Args:
        path: of the entries in the text, see JsonArrayReader.
        mode: of the list, if the text does not decide it.
        known_entries: entries that are held now: one that says the same is not kept twice.
        keep_entries: whether entries are wanted at all.
    """

    def __init__(
        self,
        path: tuple[str, ...] = ("servers",),
        mode: str | None = None,
        known_entries: dict[str, ServerEntry] | None = None,
        keep_entries: bool = True,
    ) -> None:
        self.json_reader, self.mode, self.known_entries, self.keep_entries = (
            JsonArrayReader(path),
            mode,
            known_entries or {},
            keep_entries,
        )
        self.entries: dict[str, ServerEntry] = {}
        self.entry_reader = EntryReader()
        self.unreadable = self.repeated = 0

    def feed(self, data: bytes, final: bool = False) -> Iterator[None]:
        """Reads a piece, and gives way within it after each CHUNK_BYTES bytes. Raises ValueError if the text
        is no list."""
        for start in range(0, max(1, len(data)), CHUNK_BYTES):
            end = start + CHUNK_BYTES
            for item in self.json_reader.feed(data[start:end], final and end >= len(data)):
                if self.keep_entries:
                    self._take(item)
            if end < len(data):
                yield

    def _take(self, told: Any) -> None:
        try:
            entry = self.entry_reader.read(told)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            self.unreadable += 1
            return
        name = entry.server.id
        self.repeated += name in self.entries
        held = self.known_entries.get(name)
        self.entries[name] = held if held == entry else entry

    def server_list(self) -> ServerList:
        """The list, once its text has ended; raises ValueError if it was none."""
        members = self.json_reader.members[-1]
        try:
            mode = self.mode or ("full" if members["full"] else "delta")
            version = int(members["version"])
        except (KeyError, TypeError, ValueError, OverflowError) as err:
            raise ValueError(f"not a list of hosts: {type(err).__name__} {err}") from err
        if not self.json_reader.array_found or not 0 <= version < MOST_VERSION:
            raise ValueError("not a list of hosts: no servers, or a version out of range")
        if self.unreadable and not self.entries:
            raise ValueError("not a list of hosts: no entry can be read")
        if self.unreadable or self.repeated:
            log.warning("a list: %d entries unreadable, %d ids twice", self.unreadable, self.repeated)
        entries, self.entries = list(self.entries.values()), {}
        return ServerList(mode, version, entries)


def parse_server_list(text: bytes, mode: str | None = None) -> ServerList:
    """Reads a whole list at once; raises ValueError if `text` is none."""
    reader = ServerListReader(mode=mode)
    for _ in reader.feed(text, final=True):
        pass
    return reader.server_list()
