"""All servers that discovery has listed, and which of them this gateway works with.

Part of the decisions: policy.py. Of a long list a gateway holds each server as it was told, and nothing more;
it works with a *view* of it, those that come first in its own order, and keeps to the first of these, its
subset. Both change only by what a change of the list names, so a change costs the same whatever the length.
"""

from __future__ import annotations

import bisect
import heapq
import math
from collections.abc import Iterator

import xxhash

from calicomast import interface as api

COVER = 10  # gateways that keep to one server, about
SUBSET_LEAST = 8  # servers that a gateway keeps to at least
VIEW_LEAST = 1024  # servers in a view at least; a shorter list is all in view
VIEW_SPARE = 2  # times its size that a view may grow, and the part that may be lost, before it is made anew
SCANNED = 500  # servers looked at for a new view at each event: under half a millisecond


class Membership:
    """The list, the view and this gateway's order of servers.

    The order: the gateways are divided into COVER groups by their numbers, and in each group a hash of the
    server's id picks one gateway. There the server comes first, at the others later the further they are from
    it. So each server has COVER gateways that rank it first whatever else is listed, and gateways that share
    one server do not share the others.

    Attributes:
        hosts: all that are up or leaving, by id.
        up: how many of them are up.
        view: ranks and ids of those in view, in order.
    """

    def __init__(self, index: int, gateways: int, cells: bool) -> None:
        self.hosts: dict[str, api.Server] = {}
        self.up = 0
        self.view: list[tuple[float, str]] = []
        self.cells: dict[int, dict[str, None]] | None = {} if cells else None  # ids in the order listed
        self.gateways = gateways
        groups = min(COVER, gateways)
        self.group = index * groups // gateways
        first = -(-self.group * gateways // groups)
        self.width = -(-(self.group + 1) * gateways // groups) - first  # gateways in this one's group
        self.offset = index - first
        self.bound, self.trimmed = math.inf, False  # of the ranks in view; whether some ever were outside
        self._scan: Iterator[str] | None = None  # for a new view
        self._found: list[tuple[float, str]] = []  # a heap, the last in the order first
        self._passed_over = False  # whether there was more than that

    @property
    def has_partial_view(self) -> bool:
        """Whether there are servers outside of the view."""
        return math.isfinite(self.bound)

    @property
    def subset_size(self) -> int:
        """How many servers this gateway keeps to."""
        return math.ceil(max(SUBSET_LEAST, COVER * self.up / self.gateways))

    @property
    def view_size(self) -> int:
        """How many servers the view is made of when it is made anew."""
        return max(VIEW_LEAST, VIEW_SPARE * self.subset_size)

    def rank(self, server: str) -> float:
        """The place of a server in this gateway's order, lowest first."""
        digest = xxhash.xxh3_64_intdigest(server.encode(), self.group)
        return ((digest >> 32) - self.offset) % self.width + (digest & 0xFFFFFFFF) / 2**32

    def __contains__(self, server: str) -> bool:
        """Whether a server is up and in view."""
        return self._is_up(server) and (not self.has_partial_view or self.rank(server) <= self.bound)

    def tell(self, host: api.Server) -> None:
        """Takes a server over as it was told."""
        old = self.hosts.get(host.id)
        was, now = old is not None and old.state == "up", host.state == "up"
        if self.cells is not None:
            self._note_cell(old, host)
        if host.state == "down":
            self.hosts.pop(host.id, None)
        else:
            self.hosts[host.id] = host
        if was == now:
            return
        self.up += 1 if now else -1
        place = (self.rank(host.id), host.id)
        if place[0] > self.bound:
            if now and self._scan is not None:
                self._find(place)
        elif now:
            bisect.insort(self.view, place)
            self._trim()
        else:
            del self.view[bisect.bisect_left(self.view, place)]
            self._refill()

    def missing(self, named: set[str]) -> list[api.Server]:
        """Those held that are not among the ids of a whole list."""
        return [host for name, host in self.hosts.items() if name not in named]

    def continue_rebuild(self) -> bool:
        """Goes on with making the view anew, if it has become too small; whether the view has changed."""
        if self._scan is None:
            return False
        for _ in range(SCANNED):
            name = next(self._scan, None)
            if name is None:
                self._finish()
                return True
            if self._is_up(name) and (rank := self.rank(name)) > self.bound:
                self._find((rank, name))
        return False

    @property
    def is_rebuilding(self) -> bool:
        """Whether the view is being made anew."""
        return self._scan is not None

    def in_cell(self, cell: int) -> list[str]:
        """Ids of all servers of a cell; none where cells do not matter."""
        return list(self.cells.get(cell, ())) if self.cells is not None else []

    def _trim(self) -> None:
        size = self.view_size
        if len(self.view) > VIEW_SPARE * size:
            del self.view[size:]
            self.bound, self.trimmed = self.view[-1][0], True

    def _refill(self) -> None:
        small = max(self.subset_size, self.view_size // VIEW_SPARE)
        if self.has_partial_view and self._scan is None and len(self.view) < min(small, self.up):
            self._scan, self._found, self._passed_over = iter(list(self.hosts)), [], False

    def _find(self, place: tuple[float, str]) -> None:
        """Notes a server that may come into view; only as many are kept as there is room for."""
        heapq.heappush(self._found, (-place[0], place[1]))
        if len(self._found) > self.view_size:
            heapq.heappop(self._found)
            self._passed_over = True

    def _finish(self) -> None:
        """Takes those found into the view, but for what has gone since it was looked at."""
        self.bound = -self._found[0][0] if self._found and self._passed_over else math.inf
        self.view += sorted({(-rank, name) for rank, name in self._found if self._is_up(name)})
        self._scan, self._found = None, []
        self._refill()

    def _is_up(self, server: str) -> bool:
        host = self.hosts.get(server)
        return host is not None and host.state == "up"

    def _note_cell(self, old: api.Server | None, host: api.Server) -> None:
        assert self.cells is not None
        if old is not None and (old.cell != host.cell or host.state == "down"):
            mates = self.cells.get(old.cell, {})
            mates.pop(host.id, None)
            if not mates:
                self.cells.pop(old.cell, None)
        if host.state != "down":
            self.cells.setdefault(host.cell, {})[host.id] = None
