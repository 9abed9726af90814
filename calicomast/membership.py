"""All servers that discovery has listed, and the subset of them that this gateway sends to.

Part of the policy: policy.py. A gateway stores every listed server but keeps further state for few of them.
Its *view* holds the up servers that rank first in its own order, and its *subset* the first ones of the view,
to which it sends by default. A change of the server list touches only the servers that the change names, so
its cost does not depend on the length of the list.
"""

from __future__ import annotations

import bisect
import heapq
import math
from collections.abc import Iterator

import xxhash

from calicomast import interface as api

GATEWAYS_PER_SERVER = 10  # approximate number of gateways that have a server in their subset
MIN_SUBSET_SIZE = 8  # servers
MIN_VIEW_SIZE = 1024  # servers; the view of a shorter list holds all of it
# Factor by which a view may outgrow its size before it is trimmed, and shrink before it is rebuilt. A view is
# also this many times the size of the subset.
VIEW_SIZE_FACTOR = 2
REBUILD_BATCH_SIZE = 500  # servers scanned per event during a rebuild, which takes less than 0.5 ms


class Membership:
    """The server list, with the view and the server order of one gateway.

    Order: the gateways are divided by index into GATEWAYS_PER_SERVER groups. In each group a hash of the
    server id selects one gateway. That gateway ranks the server first; the others rank it lower the further
    they are from the selected one. So each server has GATEWAYS_PER_SERVER gateways that rank it first,
    whatever else is listed, and gateways that share one server do not share their other servers.

    Attributes:
        servers: all servers that are up or draining, by id.
        up_count: number of servers that are up.
        view: rank and id of each server in view, in order.
        ids_by_cell: ids of the servers of each cell, in the order listed; None if cells are not tracked.
        gateways: number of gateways.
        group: index of the group of this gateway.
        group_size: number of gateways in that group.
        group_offset: index of this gateway within its group.
        max_view_rank: servers with a higher rank are outside of the view; infinite if none is.
        was_trimmed: whether the view was ever trimmed.
    """

    def __init__(self, index: int, gateways: int, track_cells: bool) -> None:
        self.servers: dict[str, api.Server] = {}
        self.up_count = 0
        self.view: list[tuple[float, str]] = []
        self.ids_by_cell: dict[int, dict[str, None]] | None = {} if track_cells else None
        self.gateways = gateways
        groups = min(GATEWAYS_PER_SERVER, gateways)
        self.group = index * groups // gateways
        first_index = -(-self.group * gateways // groups)
        self.group_size = -(-(self.group + 1) * gateways // groups) - first_index
        self.group_offset = index - first_index
        self.max_view_rank, self.was_trimmed = math.inf, False
        self._unscanned: Iterator[str] | None = None  # ids that a running rebuild has yet to scan
        # Heap of (-rank, id) of servers for the new view; the one that ranks last comes first.
        self._candidates: list[tuple[float, str]] = []
        self._candidates_dropped = False  # whether the heap overflowed during this rebuild

    @property
    def has_partial_view(self) -> bool:
        """Whether servers may be up outside of the view."""
        return math.isfinite(self.max_view_rank)

    @property
    def subset_size(self) -> int:
        """Number of servers that this gateway sends to by default."""
        return math.ceil(max(MIN_SUBSET_SIZE, GATEWAYS_PER_SERVER * self.up_count / self.gateways))

    @property
    def target_view_size(self) -> int:
        """Number of servers in a rebuilt or trimmed view."""
        return max(MIN_VIEW_SIZE, VIEW_SIZE_FACTOR * self.subset_size)

    def rank(self, server: str) -> float:
        """Returns the rank of a server id in the order of this gateway; the lowest comes first."""
        digest = xxhash.xxh3_64_intdigest(server.encode(), self.group)
        return ((digest >> 32) - self.group_offset) % self.group_size + (digest & 0xFFFFFFFF) / 2**32

    def __contains__(self, server: str) -> bool:
        """Returns whether a server id is up and in view."""
        return self._is_up(server) and (not self.has_partial_view or self.rank(server) <= self.max_view_rank)

    def apply(self, info: api.Server) -> None:
        """Applies the listed state of one server."""
        old = self.servers.get(info.id)
        was_up, is_up = old is not None and old.state == "up", info.state == "up"
        if self.ids_by_cell is not None:
            self._update_cell(old, info)
        if info.state == "down":
            self.servers.pop(info.id, None)
        else:
            self.servers[info.id] = info
        if was_up == is_up:
            return
        self.up_count += 1 if is_up else -1
        ranked = (self.rank(info.id), info.id)
        if ranked[0] > self.max_view_rank:
            if is_up and self._unscanned is not None:
                self._add_candidate(ranked)
        elif is_up:
            bisect.insort(self.view, ranked)
            self._trim_view()
        else:
            del self.view[bisect.bisect_left(self.view, ranked)]
            self._start_rebuild_if_needed()

    def missing_from(self, listed_ids: set[str]) -> list[api.Server]:
        """Returns the stored servers that a complete list with these ids no longer names."""
        return [info for server, info in self.servers.items() if server not in listed_ids]

    def continue_rebuild(self) -> bool:
        """Scans one batch of servers if a rebuild of the view is running; returns whether the view changed.

        The policy calls this with every event.
        """
        if self._unscanned is None:
            return False
        for _ in range(REBUILD_BATCH_SIZE):
            server = next(self._unscanned, None)
            if server is None:
                self._finish_rebuild()
                return True
            if self._is_up(server) and (rank := self.rank(server)) > self.max_view_rank:
                self._add_candidate((rank, server))
        return False

    @property
    def is_rebuilding(self) -> bool:
        """Whether a rebuild of the view is running."""
        return self._unscanned is not None

    def ids_in_cell(self, cell: int) -> list[str]:
        """Returns the ids of all servers of a cell; none if cells are not tracked."""
        return list(self.ids_by_cell.get(cell, ())) if self.ids_by_cell is not None else []

    def _trim_view(self) -> None:
        """Cuts the view to its target size once it is VIEW_SIZE_FACTOR times as large."""
        size = self.target_view_size
        if len(self.view) > VIEW_SIZE_FACTOR * size:
            del self.view[size:]
            self.max_view_rank, self.was_trimmed = self.view[-1][0], True

    def _start_rebuild_if_needed(self) -> None:
        """Starts a rebuild of a partial view that has become too small, unless one is running."""
        min_size = max(self.subset_size, self.target_view_size // VIEW_SIZE_FACTOR)
        if (
            self.has_partial_view
            and self._unscanned is None
            and len(self.view) < min(min_size, self.up_count)
        ):
            self._unscanned, self._candidates, self._candidates_dropped = iter(list(self.servers)), [], False

    def _add_candidate(self, ranked: tuple[float, str]) -> None:
        """Adds a server (rank, id) to the candidates for the new view, of which only the first are kept."""
        heapq.heappush(self._candidates, (-ranked[0], ranked[1]))
        if len(self._candidates) > self.target_view_size:
            heapq.heappop(self._candidates)
            self._candidates_dropped = True

    def _finish_rebuild(self) -> None:
        """Adds the candidates to the view, except those that are no longer up."""
        self.max_view_rank = (
            -self._candidates[0][0] if self._candidates and self._candidates_dropped else math.inf
        )
        self.view += sorted({(-rank, server) for rank, server in self._candidates if self._is_up(server)})
        self._unscanned, self._candidates = None, []
        self._start_rebuild_if_needed()

    def _is_up(self, server: str) -> bool:
        """Returns whether a server id is listed as up."""
        info = self.servers.get(server)
        return info is not None and info.state == "up"

    def _update_cell(self, old: api.Server | None, info: api.Server) -> None:
        """Moves a server to its listed cell in the index of cells, or removes it if it is down."""
        assert self.ids_by_cell is not None
        if old is not None and (old.cell != info.cell or info.state == "down"):
            peers = self.ids_by_cell.get(old.cell, {})
            peers.pop(info.id, None)
            if not peers:
                self.ids_by_cell.pop(old.cell, None)
        if info.state != "down":
            self.ids_by_cell.setdefault(info.cell, {})[info.id] = None
