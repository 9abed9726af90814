"""Estimates how long connections to servers may be idle before requests on them are lost."""

from __future__ import annotations

import bisect
import math

IDLE_TIME_STEPS = [0.02 * 1.5**k for k in range(18)]  # seconds, up to 20; idle times are counted by step
NEW_CONNECTION_COST = 0.1  # attempts; for the server's work on a new connection, and the time it takes
MIN_SAVED_ATTEMPTS = 2.0  # a smaller saving by closing idle connections may be chance
IDLE_LOSS_HALF_LIFE = 30.0  # seconds after which the counts of idle connections have decayed by half


class IdleLossEstimator:
    """Estimates the idle time after which a connection is worse than a new one.

    A device on the path may drop idle connections sooner than the servers do, and notify neither end. The
    next request on such a connection is reset. This covers address translation, a shorter limit of a proxy or
    of a server, and a server that was replaced at its address.

    Trade-off: where resets come by chance alone, connections are replaced without benefit until the counts
    have decayed by half. An improvement is noticed as late.

    Attributes:
        idle_limit: seconds of idle time beyond which closing connections would have saved the most attempts.
    """

    def __init__(self) -> None:
        self.uses = [0.0] * (len(IDLE_TIME_STEPS) + 1)  # attempts, by step of the idle time before them
        self.losses = [0.0] * (len(IDLE_TIME_STEPS) + 1)  # those of them that were reset
        # As if 10 attempts had gone well, so that a first reset has little weight.
        self.new_connection_uses = 10.0
        self.new_connection_losses = 0.0
        self.idle_limit = math.inf

    def record(self, idle_time: float, lost: bool) -> None:
        """Counts an attempt on a connection that was idle for so many seconds before it; 0: a new one."""
        if idle_time <= 0:
            self.new_connection_uses = self.new_connection_uses + 1
            self.new_connection_losses = self.new_connection_losses + lost
            return
        step = bisect.bisect(IDLE_TIME_STEPS, idle_time)
        self.uses[step] += 1
        self.losses[step] += lost
        if lost:
            self.update_limit()

    def update_limit(self) -> None:
        """Sets the limit to the step from which closing would have saved the most attempts."""
        saved, most_saved, self.idle_limit = 0.0, MIN_SAVED_ATTEMPTS, math.inf
        expected_loss = self.new_connection_losses / self.new_connection_uses + NEW_CONNECTION_COST
        for step in range(len(IDLE_TIME_STEPS), 0, -1):
            saved += self.losses[step] - self.uses[step] * expected_loss
            if saved > most_saved:
                most_saved, self.idle_limit = saved, IDLE_TIME_STEPS[step - 1]

    def decay(self, seconds: float) -> None:
        """Decays all counts by the time that has passed."""
        factor = 0.5 ** (seconds / IDLE_LOSS_HALF_LIFE)
        self.uses = [count * factor for count in self.uses]
        self.losses = [count * factor for count in self.losses]
        self.new_connection_uses = 10.0 + (self.new_connection_uses - 10.0) * factor
        self.new_connection_losses = self.new_connection_losses * factor
        self.update_limit()
