"""Slow start: limits what each gateway sends to a server that has just started.

Part of the policy: policy.py. A server in slow start is overloaded when all gateways together send more than
it can serve, and gateways cannot communicate with each other. So the right to send is assigned rather than
accumulated: for each start of a server, every gateway computes the same permutation of all gateways, and only
the gateways in its first positions may send, each once per budget window. No state is kept that a restart
of a gateway could lose or duplicate.

Trade-off: a server may stay idle although a gateway without a slot could use it. The effect decreases as the
budget grows during slow start.
"""

from __future__ import annotations

import math

from calicomast import interface as api
from calicomast.quota import stable_hash

# Fraction of the load that a server in slow start can take according to the rules. The rest is reserved for
# gateways that have just restarted and have no record of what they sent.
BUDGET_FRACTION = 0.9
MILLISECONDS = 1000.0  # per second; discovery reports start times in whole milliseconds


def gateway_position(server: str, started_at: float, index: int, gateways: int) -> int:
    """Returns the position, from 0, of gateway `index` among all gateways for one start of a server.

    The order is an affine permutation of the gateway indexes that differs for each start. `started_at` is the
    clock time of the start in seconds.
    """
    seed = stable_hash("cold", server, round(started_at * MILLISECONDS))
    step, shift = seed % gateways, seed // gateways % gateways
    while math.gcd(step, gateways) != 1:
        step += 1
    return (step * index + shift) % gateways


def slow_start_charge(work: float, random_draw: float) -> float:
    """Returns the amount that a request takes from the budget: its work, in requests of mean work.

    Most gateways may send one request per window, so a request of more than mean work would never fit. It is
    charged as one with probability 1 / work ** 2 (`random_draw` is uniform in 0..1). That keeps the mean and
    the variance of the work that all gateways send at once at or below those of mean requests.
    """
    return 1.0 if work > 1.0 and random_draw * work * work < 1.0 else work


class SlowStartAdmission:
    """Admission of one gateway's attempts to one server after one start of it.

    Attributes:
        position: position of this gateway in the order of all gateways for this start.
        gateways: number of gateways.
        rules: settings with the window (`overload_window`, seconds) and the load that overloads a server.
        sent: send time and charge of each attempt within the window, by request id and attempt number.
    """

    __slots__ = ("position", "gateways", "rules", "sent")

    def __init__(self, info: api.Server, index: int, gateways: int, rules: api.Rules) -> None:
        self.position = gateway_position(info.id, info.started_at, index, gateways)
        self.gateways, self.rules = gateways, rules
        self.sent: dict[tuple[str, int], tuple[float, float]] = {}

    def budget(self, weight: float, capacity: float) -> float:
        """Returns the requests of mean work that all gateways together may send per window, at least 1.

        `weight` is the slow-start weight of the server, `capacity` the requests of mean work per second that
        it serves after slow start.
        """
        return max(
            1.0,
            BUDGET_FRACTION * self.rules.overload_multiple * weight * capacity * self.rules.overload_window,
        )

    def remaining(self, now: float, weight: float, capacity: float) -> float:
        """Returns the charge that this gateway may still send now.

        `weight` is the slow-start weight that the server had at the start of the window that ends now,
        `capacity` the requests of mean work per second that it serves after slow start.
        """
        budget = self.budget(weight, capacity)
        share = int(budget / self.gateways) + (self.position < budget % self.gateways)
        if self.sent:
            window_start = now - self.rules.overload_window
            self.sent = {key: entry for key, entry in self.sent.items() if entry[0] > window_start}
        return share - sum(charge for _, charge in self.sent.values())

    def record_send(self, now: float, charge: float, key: tuple[str, int]) -> None:
        """Records that the attempt `key` (request id, attempt number) was sent with this charge."""
        self.sent[key] = now, charge

    def readmit(
        self, now: float, charge: float, key: tuple[str, int], weight: float, capacity: float
    ) -> bool:
        """Moves an attempt, sent earlier but written only now, to the current window, if it still fits."""
        self.sent.pop(key, None)
        if self.remaining(now, weight, capacity) < charge:
            return False
        self.record_send(now, charge, key)
        return True
