"""A discrete-event simulation that runs callbacks in the order of their virtual times."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from typing import Any


class Simulation:
    """Scheduler with a virtual clock. Callbacks with the same time run in the order of their scheduling.

    Attributes:
        now: virtual time in seconds; it never decreases.
    """

    def __init__(self, start: float = 0.0) -> None:
        self.now = start
        self._sequence = itertools.count()
        self._pending: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []

    def at(self, time: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules a callback at a virtual time in seconds. A callback in the past runs next."""
        entry = (max(time, self.now), next(self._sequence), callback, arguments)
        heapq.heappush(self._pending, entry)

    def after(self, delay: float, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules a callback after a delay in seconds."""
        self.at(self.now + delay, callback, *arguments)

    def run(self, until: float = math.inf) -> None:
        """Runs callbacks up to and including the virtual time `until`, in seconds, or until none is left."""
        while self._pending and self._pending[0][0] <= until:
            time, _, callback, arguments = heapq.heappop(self._pending)
            self.now = time
            callback(*arguments)
        if math.isfinite(until):
            self.now = max(self.now, until)
