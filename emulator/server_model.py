"""Model of a server with a fixed service rate and a bounded backlog."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class ServerModel:
    """One server.

    Attributes:
        rate: requests of mean work served per second; infinite for a server that is never the bottleneck.
        latency: response time in seconds of an idle server.
        max_backlog: seconds of queued work above which the server rejects requests.
        busy_until: virtual time in seconds at which the queued work ends.
        received: number of requests, rejected ones included.
        rejected: number of rejected requests.
    """

    rate: float = 18.0
    latency: float = 0.1
    max_backlog: float = math.inf
    busy_until: float = 0.0
    received: int = 0
    rejected: int = 0

    def receive(self, now: float, work: float = 1.0) -> float | None:
        """Queues a request at the virtual time `now`, in seconds, with `work` relative to a mean request.

        Returns the virtual time of the response, or None if the server rejects the request.
        """
        self.received += 1
        if self.busy_until - now > self.max_backlog:
            self.rejected += 1
            return None
        service_time = work / self.rate if math.isfinite(self.rate) else 0.0
        self.busy_until = max(now + self.latency, self.busy_until + service_time)
        return self.busy_until
