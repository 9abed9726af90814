"""This gateway's clock, and the starts of servers on it."""

from __future__ import annotations

import time

LONG_AGO = 0.0  # s; the start of most servers, on any clock


class Clock:
    """Unix time as it was at the start of the process, going on with the monotonic clock: it never steps, so
    deadlines, windows and ages stay spans of real time when the wall clock is stepped."""

    def __init__(self) -> None:
        self.zero = time.time() - time.monotonic()

    def __call__(self) -> float:
        return self.zero + time.monotonic()

    def local_start_time(self, told: float) -> float:
        """When a server started, on this clock; `told` is Unix time as it was just told.

        After a step of the wall clock that time may stand on the clock before it or on the one after it. Of
        both ages the younger one counts that is no time to come: a server taken for warm falls over."""
        if told == LONG_AGO:
            return LONG_AGO
        now = self()
        ages = [age for age in (now - told, time.time() - told) if age >= 0]
        return now - min(ages, default=0.0)
