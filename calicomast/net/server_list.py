"""Server lists in discovery's JSON format, parsed incrementally, and the addresses in them."""

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

STATES_BY_WIRE_NAME = {"up": "up", "draining": "leaving", "removed": "down"}
VERSION_LIMIT = 2**63  # exclusive
CELL_LIMIT = 2**31  # exclusive
MAX_INTERNED_VALUES = 16_384  # beyond this number a new value is no longer shared
PORT_PATTERN = r"([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
ADDRESS_PATTERN = re.compile(r"\S+:" + PORT_PATTERN)
CHUNK_BYTES = 16 * 1024  # parsed before other tasks run; takes about a millisecond

Address = tuple[str, int]

log = logging.getLogger(__name__)


def parse_address(text: str) -> Address:
    """Splits HOST:PORT into host and port; raises ValueError for anything else."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        raise ValueError(f"{text!r} is not HOST:PORT")
    return host.strip("[]"), int(port)


class ServerEntry(NamedTuple):
    """A server as listed, and the HOST:PORT where it listens; empty if the list did not state it."""

    server: api.Server
    address: str


@dataclass(slots=True)
class ServerList:
    """A server list or changes to one."""

    mode: str  # one of interface.SERVER_LIST_MODES
    version: int
    entries: list[ServerEntry]
    entries_taken: bool = False  # whether `take_entries` was called

    @property
    def empty(self) -> bool:
        """Whether the list had no entries when it was received."""
        return not self.entries and not self.entries_taken

    def take_entries(self) -> list[ServerEntry]:
        """Returns the entries and drops them here, so that their memory can be freed as they are applied."""
        entries, self.entries, self.entries_taken = self.entries, [], True
        return entries


class ValueInterner:
    """Replaces equal values by one shared object: many entries repeat zones, kinds, cells and weights."""

    def __init__(self) -> None:
        self._values: dict[Any, Any] = {}

    def __call__(self, value: Any) -> Any:
        """Returns the value or an equal one seen before. One interner must only get values of one type."""
        if len(self._values) >= MAX_INTERNED_VALUES:
            return self._values.get(value, value)
        return self._values.setdefault(value, value)


class ServerEntryParser:
    """Parses the entries of one server list; equal values in them are shared."""

    def __init__(self) -> None:
        self.texts, self.cells, self.weights = ValueInterner(), ValueInterner(), ValueInterner()

    def parse(self, fields: dict[str, Any]) -> ServerEntry:
        """Converts an entry as decoded from JSON.

        Raises KeyError, TypeError, ValueError, AttributeError or OverflowError if the entry is malformed.
        """
        server_id, state, address = (
            fields["id"],
            STATES_BY_WIRE_NAME[fields["state"]],
            fields.get("addr") or "",
        )
        if not isinstance(server_id, str):
            raise TypeError("id is not a string")
        if not server_id.isascii():
            server_id.encode()  # raises ValueError if an escape sequence left a lone surrogate
        started = fields.get("started_ms")
        started = float(started) / 1000 if started else STARTED_LONG_AGO
        weight, cell = float(fields.get("weight", 1.0)), int(fields.get("cell", 0))
        if not (0 <= weight < math.inf and 0 <= started < math.inf and 0 <= cell < CELL_LIMIT):
            raise ValueError("weight, start time or cell out of range")
        if address and not ADDRESS_PATTERN.fullmatch(address):
            raise ValueError("addr is not HOST:PORT")
        zone, kind = self.texts(str(fields.get("zone", ""))), self.texts(str(fields.get("kind", "")))
        server = api.Server(server_id, zone, self.cells(cell), self.weights(weight), kind, state, started)
        return ServerEntry(server, address)


class ServerListReader:
    """Parses one server list from chunks of bytes.

    A malformed entry is skipped, so that it does not hide the others, drains among them. If an id occurs more
    than once, its last entry counts.

    Args:
        path: names of the members that lead to the entries, see JsonArrayReader.
        mode: mode of the list; None if the text states it.
        known_entries: the entries held, by server id. An equal entry in the list is replaced by the one held.
        keep_entries: whether the entries are stored at all.
    """

    def __init__(
        self,
        path: tuple[str, ...] = ("servers",),
        mode: str | None = None,
        known_entries: dict[str, ServerEntry] | None = None,
        keep_entries: bool = True,
    ) -> None:
        self.json_reader, self.mode = JsonArrayReader(path), mode
        self.known_entries, self.keep_entries = known_entries or {}, keep_entries
        self.entries: dict[str, ServerEntry] = {}
        self.entry_parser = ServerEntryParser()
        self.malformed_count = self.duplicate_count = 0

    def feed(self, data: bytes, final: bool = False) -> Iterator[None]:
        """Parses the next bytes of the text, and yields after each CHUNK_BYTES so that others can run.

        `final` states whether no more bytes follow. Raises ValueError if the text is not a server list.
        """
        for start in range(0, max(1, len(data)), CHUNK_BYTES):
            end = start + CHUNK_BYTES
            for item in self.json_reader.feed(data[start:end], final and end >= len(data)):
                if self.keep_entries:
                    self._add(item)
            if end < len(data):
                yield

    def _add(self, item: Any) -> None:
        """Stores a decoded entry, or counts it as malformed."""
        try:
            entry = self.entry_parser.parse(item)
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError):
            self.malformed_count += 1
            return
        server_id = entry.server.id
        self.duplicate_count += server_id in self.entries
        known = self.known_entries.get(server_id)
        self.entries[server_id] = known if known == entry else entry

    def server_list(self) -> ServerList:
        """Returns the list once its text has ended; raises ValueError if the text was not a server list."""
        members = self.json_reader.members[-1]
        try:
            mode = self.mode or ("full" if members["full"] else "delta")
            version = int(members["version"])
        except (KeyError, TypeError, ValueError, OverflowError) as err:
            raise ValueError(f"not a server list: {type(err).__name__} {err}") from err
        if not self.json_reader.array_found or not 0 <= version < VERSION_LIMIT:
            raise ValueError("not a server list: no servers, or a version out of range")
        if self.malformed_count and not self.entries:
            raise ValueError("not a server list: all entries are malformed")
        if self.malformed_count or self.duplicate_count:
            log.warning(
                "server list: %d malformed entries, %d duplicate ids",
                self.malformed_count,
                self.duplicate_count,
            )
        entries, self.entries = list(self.entries.values()), {}
        return ServerList(mode, version, entries)


def parse_server_list(text: bytes, mode: str | None = None) -> ServerList:
    """Parses a complete server list at once; raises ValueError if `text` is not one."""
    reader = ServerListReader(mode=mode)
    for _ in reader.feed(text, final=True):
        pass
    return reader.server_list()
