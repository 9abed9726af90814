"""The gateway's clock, and the conversion of servers' start times to it."""

from __future__ import annotations

import time

STARTED_LONG_AGO = 0.0  # seconds; stands for the start time of most servers, on any clock


class Clock:
    """Unix time at the start of the process, advanced by the monotonic clock.

    It never steps, so deadlines, windows and ages stay spans of real time when the wall clock is stepped.
    """

    def __init__(self) -> None:
        self.offset = time.time() - time.monotonic()  # seconds from the monotonic clock to this one

    def __call__(self) -> float:
        """Returns the current time in seconds."""
        return self.offset + time.monotonic()

    def local_start_time(self, reported: float) -> float:
        """Converts a server's start time, in Unix time as discovery has just sent it, to this clock.

        After a step of the wall clock, the reported time may be on the clock before the step or on the one
        after it. Of the two ages that follow, the smaller one that is not negative is used: a server that is
        taken to be past its slow start too early would be overloaded.
        """
        if reported == STARTED_LONG_AGO:
            return STARTED_LONG_AGO
        now = self()
        ages = [age for age in (now - reported, time.time() - reported) if age >= 0]
        return now - min(ages, default=0.0)
