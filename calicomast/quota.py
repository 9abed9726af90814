"""Tenant quotas as one gateway keeps them, calls to the counter service, and statistics of its grants.

This module holds the state. leases.py and policy.py decide when a call is made and what follows from its
result.
"""

from __future__ import annotations

import bisect
import hashlib
import math
import random
from dataclasses import dataclass
from typing import Any

from calicomast import interface as api

# Part of the even share of the available units that is admitted without a charge at the counter.
LOCAL_ALLOWANCE_PART = 0.5
CHARGE_THRESHOLD = 0.5  # part of the local allowance; uncharged units above it are charged
# Least probability that a unit left unspent here is missed at another gateway (c2 in `lease_size`), which
# applies to a tenant that is nearly idle.
MIN_STRANDING_PROBABILITY = 0.05
# Window of a low-rate tenant, in refills of its burst. It is longer than that of other tenants because
# overdrafts are lost at its end.
LOW_RATE_WINDOW = 2.0
CONTENTION_LATENCY = 0.5  # part of the call timeout; above this mean latency, calls are rationed
CONTENTION_PRICE = 4.0  # added to a call's price for each timeout above that latency, in mean request values
# Number of gateways at which half of CONTENTION_LATENCY is assumed before the counter has answered.
CONTENTION_GATEWAYS = 20.0
GRANT_AVERAGING_TIME = 10.0  # seconds; time constant of the average of granted units
GRANT_BURST_TIME = 2.0  # seconds of the granted rate that may be admitted at once
# Bounds between demand levels: a tenant's requests at this gateway, in even shares of its rate.
DEMAND_LEVEL_BOUNDS = (0.5, 1.5, 4.0)
DEMAND_AVERAGING_REFILLS = 2.0  # time constant of the demand average, in refills of the burst
EXHAUSTED_REFILLS = 4.0  # refills of the burst during which a count that was found exhausted counts as such
# Least cost of a unit that is admitted over quota, in values of that unit: it loads servers that all share.
MIN_OVER_QUOTA_COST = 0.2
MAX_COUNTER_BACKOFF = 1.0  # seconds; longest pause between calls to a counter that does not answer
LOCAL_SHARE_WEIGHT = 0.5  # weight of the latest window in the average of a tenant's local share
EWMA_WEIGHT = 0.05  # weight of a new sample in moving averages
EXACT_POISSON_TERMS = 64  # a longer sum is approximated
FAST_EWMA_WEIGHT = 0.15  # the same, for averages that have to show a change within a few samples


def stable_hash(*parts: object) -> int:
    """Hashes values to 63 bits, alike in every process, so that all gateways use the same numbers."""
    text = "\x1f".join(str(p) for p in parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 1


def poisson_tail(count: int, mean: float) -> float:
    """Returns the probability that a Poisson variable with this mean is at least `count`.

    The cost does not grow with `count`: beyond EXACT_POISSON_TERMS the probability is approximated by a
    normal distribution (Wilson and Hilferty, "The distribution of chi-square", 1931), within 0.001.
    """
    if count > EXACT_POISSON_TERMS:
        root = (mean / count) ** (1 / 3)
        deviations = 3 * math.sqrt(count) * (root - 1 + 1 / (9 * count))
        return 0.5 * math.erfc(-deviations / math.sqrt(2))
    below, term = 0.0, math.exp(-mean)
    for number in range(1, count + 1):
        below += term
        term *= mean / number
    return max(0.0, 1 - below)


@dataclass(slots=True)
class CounterCall:
    """A call to the counter whose result has not arrived yet.

    Attributes:
        kind: "units" leases units, "slot" takes a concurrency slot, "correction" adjusts a count.
        window: index of the tenant's quota window; for the count of concurrent requests, its epoch.
        charge: units that were admitted before without a charge.
        lease: units that are requested.
        extra: units for requests that were admitted without a call, or the amount of a correction.
        unclaimed: units that earlier calls added and that this call uses.
        pending: the request that waits for a concurrency slot, if there is one.
    """

    tenant: TenantQuota
    kind: str
    window: int
    charge: float = 0.0
    lease: float = 0.0
    extra: float = 0.0
    unclaimed: float = 0.0
    pending: Any = None

    @property
    def amount(self) -> float:
        """Units that the call adds to the count."""
        return self.charge + self.lease + self.extra - self.unclaimed


class TenantQuota:
    """The quota of one tenant as this gateway sees it, in the current window."""

    def __init__(
        self, request: api.Request, plan: api.Plan, started_at: float, now: float, rng: random.Random
    ) -> None:
        """Starts without a lease.

        Args:
            request: the tenant's first request at this gateway.
            plan: the tenant's plan.
            started_at: when this gateway started.
            now: the current time.
            rng: the random generator of the policy.
        """
        self.name = request.tenant
        self.plan = plan
        self.spread = request.spread
        # Concurrent requests within this gateway's even share of the concurrency limit.
        self.own_slots_in_use = 0
        self.low_rate = 0 < plan.burst < self.spread  # the even share of the burst is less than a unit
        self.refill_time = plan.burst / plan.rate if plan.rate else 1.0  # seconds to refill an empty burst
        self.window_length = self.refill_time * (LOW_RATE_WINDOW if self.low_rate else 1.0)  # seconds
        # Seconds by which the tenant's windows are shifted; the same at all gateways.
        self.phase = stable_hash(self.name, "phase") % 4096 / 4096 * self.window_length
        self.window = self.window_at(now)
        self.window_start = self.window * self.window_length + self.phase
        # Units that this gateway added by calls with malformed responses; they are not leased yet.
        self.unclaimed = 0.0
        self.local_share = 1.0 / self.spread  # average share of the tenant's use that is admitted here
        self.carried = 0.0  # part of `total` that was not used in this window
        self.unconfirmed = 0.0  # amount of calls without an answer: the counter may have added it
        self.lease = 0.0  # units leased and not spent yet
        self.uncharged = 0.0  # units admitted here and not sent to the counter yet
        self.added = 0.0  # units that this gateway has added to the count of this window
        self.total = 0.0  # the count of this window over all gateways, as last known
        self.debt = 0.0  # overdraft of earlier windows that is still to be added to the count of this one
        self.used = 0.0  # units admitted here in this window
        self.used_last_window = 0.0  # units admitted here in the window before; 0 if that is longer ago
        self.outstanding_call: CounterCall | None = None
        self.exhausted_until = 0.0  # no units are available before this time
        self.last_request_at = now
        self.rng = rng
        self.rounding = rng.random()  # random draw of this window that decides on fractions of a request
        self.waiting: list[str] = []  # ids of the requests that wait for the outstanding call
        self.recent_requests = 0.0  # decaying number of earlier requests at this gateway
        self.recent_requests_at = now
        self.found_exhausted_at = -math.inf
        # Each gateway has an even share of the ceiling, so that it holds whatever fails. The share starts
        # empty, as the use before a restart of this gateway is unknown.
        self.ceiling_updated_at = now
        self.ceiling_units = min(plan.ceiling_burst, (now - started_at) * plan.ceiling_rate) / self.spread

    def window_at(self, now: float) -> int:
        """Returns the index of the quota window at a time."""
        return math.floor((now - self.phase) / self.window_length)

    def advance_window(self, now: float) -> None:
        """Moves on to the window of `now`: leases expire, and use above the quota becomes debt."""
        window = self.window_at(now)
        if window == self.window:
            return
        if self.added > 0 and self.total - self.carried >= 1:  # the counter has reported the use everywhere
            share = min(1.0, self.used / (self.total - self.carried))
            self.local_share += LOCAL_SHARE_WEIGHT * (share - self.local_share)
        refilled = self.plan.rate * self.window_length * (window - self.window)
        debt = max(0.0, self.total + self.uncharged * self.spread - refilled)
        self.used_last_window = self.used if window == self.window + 1 else 0.0
        self.window = window
        self.window_start = window * self.window_length + self.phase
        self.lease = self.uncharged = self.added = self.used = self.exhausted_until = 0.0
        self.unclaimed = self.unconfirmed = 0.0
        self.carried = debt
        self.total = debt
        self.debt = debt
        self.rounding = self.rng.random()

    def record_request(self, now: float) -> int:
        """Records a request and returns the tenant's demand level, which rises with use above its quota.

        The level follows from the requests that arrived here before this one. The highest level is that of a
        tenant whose count was found exhausted a short time ago.
        """
        averaging_time = DEMAND_AVERAGING_REFILLS * self.refill_time
        decayed = self.recent_requests = self.recent_requests * math.exp(
            (self.recent_requests_at - now) / averaging_time
        )
        self.recent_requests = decayed + 1.0
        self.recent_requests_at = now
        if now - self.found_exhausted_at < EXHAUSTED_REFILLS * self.refill_time:
            return len(DEMAND_LEVEL_BOUNDS) + 1
        return bisect.bisect(DEMAND_LEVEL_BOUNDS, decayed * self.spread / (averaging_time * self.plan.rate))

    def window_limit(self, now: float) -> float:
        """Returns the units that all gateways together may have admitted in this window until `now`."""
        return self.plan.burst + self.plan.rate * (now - self.window_start)

    def available_units(self, now: float) -> float:
        """Returns the units that are still available over all gateways; at most one burst."""
        return min(self.plan.burst, self.window_limit(now) - self.total) - self.uncharged

    def local_allowance(self, now: float, counter_down: bool) -> float:
        """Returns the units that may be admitted here without a charge, including the uncharged ones.

        While the counter does not answer, this is the share of the tenant's use that was admitted here
        before: a tenant's traffic is spread unevenly, and an even share would refuse most of it. Trade-off:
        if the traffic has just moved, the gateway that it left and the one that it moved to may both admit
        this share.
        """
        available = max(0.0, min(self.plan.burst, self.window_limit(now) - self.total))
        return (
            available * max(self.local_share, 1 / self.spread)
            if counter_down
            else available / self.spread * LOCAL_ALLOWANCE_PART
        )

    def lease_size(self, call_cost: float) -> int:
        """Returns how many units to lease at once: w = sqrt(c1 * A / c2).

        c1 is the cost of a call, A the use of a window, and c2 the probability that a unit which is left
        unspent here is missed at another gateway.
        """
        used_part = min(1.0, self.total / self.plan.burst)
        size = math.sqrt(
            call_cost
            * max(self.used_last_window, self.used)
            / max(MIN_STRANDING_PROBABILITY, used_part * used_part)
        )
        return max(1, int(min(size, self.plan.burst, max(self.used_last_window, self.used, 1.0))))

    def is_in_use(self) -> bool:
        """Whether a call or a request of the tenant is still pending here."""
        return bool(self.outstanding_call or self.own_slots_in_use or self.waiting)

    def limits_future_use(self, now: float) -> bool:
        """Whether the state would admit less than a new one: until a ceiling is full or a debt is paid."""
        refilled = self.plan.rate * self.window_length * (self.window_at(now) - self.window)
        in_debt = self.total + self.uncharged * self.spread > refilled
        return in_debt or self.available_ceiling_units(now) < self.plan.ceiling_burst / self.spread

    def available_ceiling_units(self, now: float) -> float:
        """Refills and returns this gateway's share of the ceiling; infinite for a plan without a ceiling."""
        plan = self.plan
        if not plan.ceiling_rate:
            return math.inf
        refilled = (now - self.ceiling_updated_at) * plan.ceiling_rate / self.spread
        self.ceiling_units = min(plan.ceiling_burst / self.spread, self.ceiling_units + refilled)
        self.ceiling_updated_at = now
        return self.ceiling_units


class CounterMonitor:
    """Availability, latency and saturation of the counter service, as seen from this gateway."""

    def __init__(self, settings: api.Settings) -> None:
        """Starts with a latency that grows with the number of gateways: many start as under contention."""
        self.enabled = settings.counter_enabled
        self.timeout = settings.counter_timeout  # seconds
        self.price = settings.counter_price
        self.failures = int(not self.enabled)  # consecutive calls without an answer
        self.retry_at = 0.0
        self.rejected_share = 0.0  # moving average of the share of calls that the counter rejects
        # Moving average of the time that a call takes, as a part of the timeout.
        self.latency = 0.5 * settings.gateways / (settings.gateways + CONTENTION_GATEWAYS)

    def is_available(self, now: float) -> bool:
        """Returns whether a call may be made: there is a counter, and no backoff is running."""
        return self.enabled and now >= self.retry_at

    def call_probability(self, benefit: float) -> float:
        """Returns the probability of making a call, which falls with the latency of the counter.

        Calls that are less likely to change a decision are dropped first. `benefit` is the expected value of
        the change, in mean request values.
        """
        return min(
            1.0,
            benefit / max(1e-9, self.price + CONTENTION_PRICE * max(0.0, self.latency - CONTENTION_LATENCY)),
        )

    def record_result(self, now: float, result: str, elapsed: float) -> None:
        """Records the result of a call and how many seconds it took.

        A rejected call indicates contention: calls become more expensive, but the counter is reachable and
        keeps its counts, so no backoff follows.
        """
        self.rejected_share += EWMA_WEIGHT * ((result == "full") - self.rejected_share)
        self.latency += FAST_EWMA_WEIGHT * (
            (min(1.0, elapsed / self.timeout) if result == "ok" else 1.0) - self.latency
        )
        if result in ("ok", "full"):
            self.failures = 0
        elif now >= self.retry_at:  # a burst of failures counts once
            self.failures += 1
            self.retry_at = now + min(MAX_COUNTER_BACKOFF, self.timeout * 2.0**self.failures)


class GrantStatistics:
    """What the counter granted here to tenants of one plan at one demand level.

    With many gateways, each one sees most tenants too rarely to know them, but has asked the counter about
    enough tenants of the same plan and level. While the counter does not answer, such tenants share the rate
    that was granted before, so that about as many units are admitted. Trade-off: the first requests of a
    tenant far over its quota are admitted here like those of a tenant with little demand.
    """

    def __init__(self, now: float, granted_share: float) -> None:
        """Starts from an assumed share of granted units, with the weight of two observations."""
        self.granted_share = granted_share
        self.observations = 2
        self.granted_rate = 0.0  # units per second
        self.credit = 0.0  # units that may be admitted while the counter does not answer
        self.recorded_at = now
        self.refilled_at = now

    def record(self, now: float, requested: float, granted: float) -> None:
        """Records how many of the requested units the counter granted."""
        self.refill_credit(now)
        self.observations += 1
        self.granted_share += max(EWMA_WEIGHT, 1 / self.observations) * (
            min(1.0, granted / requested) - self.granted_share
        )
        decayed = self.granted_rate * math.exp((self.recorded_at - now) / GRANT_AVERAGING_TIME)
        self.granted_rate = decayed + granted / GRANT_AVERAGING_TIME
        self.recorded_at = now

    def refill_credit(self, now: float) -> None:
        """Adds the granted rate since the last refill to the credit, up to GRANT_BURST_TIME of it."""
        self.credit = min(
            max(1.0, self.granted_rate * GRANT_BURST_TIME),
            self.credit + self.granted_rate * (now - self.refilled_at),
        )
        self.refilled_at = now

    @property
    def confidence(self) -> float:
        """How far `granted_share` rests on observations, from 0 to 1; 0 before the counter's first answer."""
        return 1 - 2 / self.observations

    def expected_loss(self, plan: api.Plan) -> float:
        """Returns the expected cost of admitting a request without a call, as a part of its value."""
        return (1 - self.granted_share) * max(
            MIN_OVER_QUOTA_COST, plan.over_quota_cost - plan.over_quota_value
        )
