"""Admission to cold servers: what one gateway may send to a server that has just started.

Part of the decisions: policy.py. A cold server falls over when all gateways together send more than it bears,
and they cannot talk to each other. So the right to send is placed, not saved up: for each start of a server
the gateways stand in an order that every one of them works out alone, and only the first of them send, each
once in the time that the rule takes its budget over. Nothing is kept that a restart could lose or double.
Harm: a gateway without a place leaves a server idle that could do its work; that falls as the server warms.
"""

from __future__ import annotations

import math

from calicomast import interface as api
from calicomast.quota import stable_hash

COLD_PART = 0.9  # of what a cold server bears by the rules; the rest is for gateways that have just restarted
MILLISECONDS = 1000.0  # in a second; starts are told in whole ones


def gateway_position(server: str, started: float, index: int, gateways: int) -> int:
    """The place, from 0, of gateway `index` among all for one start of one server (clock time in seconds):
    an affine permutation of the indexes, another one for each start."""
    seed = stable_hash("cold", server, round(started * MILLISECONDS))
    step, shift = seed % gateways, seed // gateways % gateways
    while math.gcd(step, gateways) != 1:
        step += 1
    return (step * index + shift) % gateways


def slow_start_charge(work: float, luck: float) -> float:
    """What a request counts as against the budget: its work in requests of mean work.

    Most places hold one request, so one of more work would never fit. With the chance 1 / work ** 2 (`luck`
    is drawn from 0..1) it counts as one: neither the mean nor the variance of the work that all places send
    in a moment is then above that of mean requests."""
    return 1.0 if work > 1.0 and luck * work * work < 1.0 else work


class SlowStartAdmission:
    """One gateway's admission to one start of one server."""

    __slots__ = ("place", "gateways", "rules", "sent")

    def __init__(self, host: api.Server, index: int, gateways: int, rules: api.Rules) -> None:
        self.place = gateway_position(host.id, host.started_at, index, gateways)
        self.gateways, self.rules = gateways, rules
        # Times and charges of what was sent within the time of the rule, by request and attempt.
        self.sent: dict[tuple[str, int], tuple[float, float]] = {}

    def budget(self, warmth: float, capacity: float) -> float:
        """Requests of mean work that all gateways together may send in the time of the rule."""
        return max(
            1.0, COLD_PART * self.rules.overload_multiple * warmth * capacity * self.rules.overload_window
        )

    def remaining(self, now: float, warmth: float, capacity: float) -> float:
        """The charge that may still be sent from here now. `warmth`: the part of its capacity that the server
        had when the time of the rule began; `capacity`: requests of mean work a second that it serves when
        warm."""
        budget = self.budget(warmth, capacity)
        share = int(budget / self.gateways) + (self.place < budget % self.gateways)
        if self.sent:
            since = now - self.rules.overload_window
            self.sent = {key: noted for key, noted in self.sent.items() if noted[0] > since}
        return share - sum(charge for _, charge in self.sent.values())

    def record_send(self, now: float, charge: float, key: tuple[str, int]) -> None:
        """An attempt of this charge is sent."""
        self.sent[key] = now, charge

    def readmit(
        self, now: float, charge: float, key: tuple[str, int], warmth: float, capacity: float
    ) -> bool:
        """An attempt that was sent before would be written only now; whether it still has its place."""
        self.sent.pop(key, None)
        if self.remaining(now, warmth, capacity) < charge:
            return False
        self.record_send(now, charge, key)
        return True
