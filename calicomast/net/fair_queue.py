"""Shares the time of the event loop between owners of work, for example connections with unhandled input.

Work of one owner is done in short steps. Where several owners have work, their steps take turns (round
robin), and all steps together get a limited time in one turn of the event loop, however many owners there are
and whatever a step costs. Other sockets and timers are served between two turns.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from time import monotonic
from typing import Generic, TypeVar

Owner = TypeVar("Owner")


class FairQueue(Generic[Owner]):
    """Runs the steps of all owners that have work.

    Args:
        step: does a small part of an owner's work; returns whether there is more.
        time_per_turn: seconds for steps in one turn of the event loop; the last step may exceed it.
    """

    def __init__(self, step: Callable[[Owner], bool], time_per_turn: float) -> None:
        self._step, self._time_per_turn = step, time_per_turn
        self._loop = asyncio.get_running_loop()
        self._waiting: OrderedDict[Owner, None] = OrderedDict()
        self._scheduled = False
        self._time_used = 0.0  # seconds since _run_turn last began; the event loop calls it once a turn

    def __contains__(self, owner: Owner) -> bool:
        """Whether an owner's work waits for a later turn."""
        return owner in self._waiting

    def submit(self, owner: Owner) -> None:
        """Does an owner's work at once if none waits and there is time left, or else in a later turn."""
        if owner in self._waiting:
            return
        while not self._waiting and self._has_time_left():
            if not self._run_step(owner):
                return
        self._waiting[owner] = None
        self._schedule()

    def _has_time_left(self) -> bool:
        """Whether another step may begin before the next call of _run_turn."""
        return self._time_used < self._time_per_turn

    def _run_step(self, owner: Owner) -> bool:
        """Runs one step and counts its time; returns whether the owner has more work."""
        started_at = monotonic()
        try:
            return self._step(owner)
        finally:
            self._time_used += monotonic() - started_at

    def _schedule(self) -> None:
        """Has the waiting work go on in the next turn of the event loop."""
        if self._waiting and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon(self._run_turn)

    def _run_turn(self) -> None:
        """Runs steps of the waiting owners in turn while there is time."""
        self._scheduled, self._time_used = False, 0.0
        try:
            while self._waiting and self._has_time_left():
                owner, _ = self._waiting.popitem(last=False)
                if self._run_step(owner):
                    self._waiting[owner] = None
        finally:
            self._schedule()
