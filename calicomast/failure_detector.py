"""Failure detector: estimates from the outcomes of attempts how likely each server fails.

Part of the policy: policy.py.
"""

from __future__ import annotations

from calicomast.quota import EWMA_WEIGHT

# Half-life, in seconds, of the deviation of an estimate from that of the fleet. Its decay lets a server that
# failed be tried again.
ESTIMATE_HALF_LIFE = 10.0
MIN_FLEET_ESTIMATE = 0.02  # lower bound of the assumed share of failing servers, used before any outcome
MAX_FLEET_ESTIMATE = 0.6  # upper bound of that share
FAILING_ERROR_RATE = 0.9  # share of failed attempts at a failing server
HEALTHY_ERROR_RATE = 0.05  # share of failed attempts at a healthy server


class FailureDetector:
    """Estimates the probability that a server fails, per level: the whole server, a request class, a plan.

    Errors, timeouts, lost connections and `full` responses are treated alike. Each counts as evidence at
    every level, weighted by the share of the fleet that fails there, so that a response of another class or
    plan does not clear it. While many servers fail, those that have proven to work are preferred.

    Trade-off: after an isolated failure a healthy server gets less traffic until half of the evidence has
    decayed.

    Attributes:
        estimates: failure probability and the time it was computed, by server id and level.
        fleet_estimates: mean failure probability over all servers, by level.
    """

    def __init__(self) -> None:
        self.estimates: dict[str, dict[str, tuple[float, float]]] = {}
        self.fleet_estimates: dict[str, float] = {}

    def failure_probability(self, server: str, level: str, now: float) -> float:
        """Returns the estimate for one server and level, decayed towards that of the fleet."""
        fleet = self.fleet_estimates.get(level, MIN_FLEET_ESTIMATE)
        known = self.estimates[server].get(level) if server in self.estimates else None
        return (
            fleet
            if known is None
            else fleet + (known[0] - fleet) * 0.5 ** ((now - known[1]) / ESTIMATE_HALF_LIFE)
        )

    def health_weight(self, server: str, levels: tuple[str, ...], now: float) -> float:
        """Returns the squared probability that the server works at the worst of the levels, from 0 to 1."""
        return (1 - max(self.failure_probability(server, level, now) for level in levels)) ** 2

    def record(self, server: str, levels: tuple[str, ...], failed: bool, now: float) -> None:
        """Updates the estimates with the outcome of one attempt.

        `levels` starts with the level of the whole server. The load balancer and the policy call this.
        """
        max_fleet = max(self.fleet_estimates.get(level, MIN_FLEET_ESTIMATE) for level in levels)
        for level in levels:
            fleet = self.fleet_estimates.get(level, MIN_FLEET_ESTIMATE)
            estimate = self.failure_probability(server, level, now)
            if failed:  # Bayes' rule, weighted by how much of the fleet fails at this level
                estimate += (
                    estimate
                    * FAILING_ERROR_RATE
                    / (estimate * FAILING_ERROR_RATE + (1 - estimate) * HEALTHY_ERROR_RATE)
                    - estimate
                ) * (fleet / max_fleet) ** 2
            else:  # any response proves that the server works, but not that it serves other classes and plans
                estimate = (
                    0.0
                    if level == levels[0]
                    else estimate
                    * (1 - FAILING_ERROR_RATE)
                    / (estimate * (1 - FAILING_ERROR_RATE) + (1 - estimate) * (1 - HEALTHY_ERROR_RATE))
                )
            self.estimates.setdefault(server, {})[level] = (estimate, now)
            self.fleet_estimates[level] = min(
                MAX_FLEET_ESTIMATE, max(MIN_FLEET_ESTIMATE, fleet + EWMA_WEIGHT * (estimate - fleet))
            )

    def forget(self, server: str) -> None:
        """Drops the estimates of a server. The load balancer calls this when it drops the server's state."""
        self.estimates.pop(server, None)
