"""Font servers: each works at a fixed rate and holds a bounded backlog."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class ServerModel:
    """One server.

    Attributes:
        rate: requests of mean work served a second; infinite for one that is never the bottleneck.
        latency: seconds that an answer takes on an idle server.
        longest_backlog: seconds of work in line past which requests are turned away.
    """

    rate: float = 18.0
    latency: float = 0.1
    longest_backlog: float = math.inf
    busy_until: float = 0.0
    received: int = 0
    turned_away: int = 0

    def receive(self, now: float, work: float = 1.0) -> float | None:
        """Takes a request in; the virtual time of its answer, or None where it is turned away."""
        self.received += 1
        if self.busy_until - now > self.longest_backlog:
            self.turned_away += 1
            return None
        gap = work / self.rate if math.isfinite(self.rate) else 0.0
        self.busy_until = max(now + self.latency, self.busy_until + gap)
        return self.busy_until
