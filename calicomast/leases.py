"""Admission by quota: units and concurrency slots of tenants, and the calls to the counter service for them.

A request is admitted by a lease, by the local allowance, or without either where the counter cannot be asked.
`LeasePolicy` is a base class of GatewayPolicy in policy.py.
"""

from __future__ import annotations

import math
import random
from abc import ABC, abstractmethod

from calicomast import interface as api
from calicomast.pending import PendingRequest
from calicomast.quota import (
    CHARGE_THRESHOLD,
    CONTENTION_LATENCY,
    GRANT_AVERAGING_TIME,
    CounterCall,
    CounterMonitor,
    GrantStatistics,
    TenantQuota,
    poisson_tail,
    stable_hash,
)
from calicomast.rules import RefusalReason
from calicomast.servers import TICK, LoadBalancer

# Share of a burst that is reserved from the class with the least value per unit, for the one with the most.
RESERVED_BURST_SHARE = 0.2
# Cost of the time of a call that takes the full timeout, in mean request values. It grows with the square of
# the latency and is part of c1 in `TenantQuota.lease_size`.
FULL_LATENCY_COST = 0.3
# Benefit of a call that only corrects a count for other gateways, or checks a limit that is seldom reached.
MINOR_CALL_BENEFIT = 0.15
MAX_SAMPLE_WEIGHT = 4.0  # requests that one sampled charge stands for; with more, the count jumps
MAX_UNLEASED_LOSS = 0.015  # part of the value that is admitted within quotas, see `accepts_loss`
# Part of a total. Totals are exact to seven digits; a difference below this part is a rounding error.
TOTAL_TOLERANCE = 1e-4
EARLY_TIMEOUT = 0.9  # part of the timeout; a call that times out earlier was lost with its connection
SLOT_EPOCH = 5.0  # seconds; one count of concurrent requests covers this time


class LeasePolicy(ABC):
    """Decides which requests are within their tenant's quota, and calls the counter.

    Attributes:
        grant_statistics: what the counter granted, by plan and demand level.
        outstanding_calls: counter calls without a result, by counter key, oldest first.
        mean_value: moving average of a request's value.
        max_class_value: value of the most valuable class.
        value_within_quota: decaying sum of the value admitted within quotas.
        value_at_risk: decaying sum of the expected loss if all requests were admitted without a lease.
        decayed_at: when these two sums were last updated.
        actions: the actions that the current event has led to.
    """

    settings: api.Settings
    rng: random.Random
    balancer: LoadBalancer
    counter: CounterMonitor
    grant_statistics: dict[tuple[str, int], GrantStatistics]
    requests: dict[str, PendingRequest]
    outstanding_calls: dict[int, list[CounterCall]]
    mean_value: float
    max_class_value: float
    value_within_quota: float
    value_at_risk: float
    decayed_at: float
    actions: list[api.Action]

    @abstractmethod
    def handle_over_quota(
        self, now: float, pending: PendingRequest, reason: RefusalReason, wait: float = 0.0
    ) -> None:
        """Refuses a request that is over quota, or admits it if its plan earns something by that."""

    @abstractmethod
    def enqueue(self, now: float, pending: PendingRequest) -> None:
        """Queues a request for a server, once it has its units and its concurrency slot."""

    @abstractmethod
    def schedule_check(self, at: float, pending: PendingRequest) -> None:
        """Schedules a check of the request's progress."""

    def reserved_units(self, pending: PendingRequest) -> float:
        """Returns the units reserved for classes of more value; they matter only near the end of a quota."""
        return (
            RESERVED_BURST_SHARE
            * pending.plan.burst
            * (1 - pending.service_class.value / self.max_class_value)
            if self.max_class_value
            else 0.0
        )

    def units_left(self, now: float, pending: PendingRequest) -> float:
        """Returns the available units less the reserve and those of this request; negative if too few."""
        return pending.tenant.available_units(now) - self.reserved_units(pending) - pending.request.units

    def take_units(self, now: float, pending: PendingRequest) -> bool:
        """Admits a request by the lease or the local allowance; returns whether there were enough units."""
        tenant, units = pending.tenant, pending.request.units
        if self.units_left(now, pending) + tenant.lease < 0:
            return False
        allowance = tenant.local_allowance(now, self.counter.failures > 0) - tenant.uncharged
        if tenant.lease >= units:
            tenant.lease -= units
        # A fraction of a request is rounded by one random draw per window: this averages out over gateways.
        elif tenant.available_units(now) >= units and allowance >= units * (1 - tenant.rounding):
            tenant.uncharged += units
        else:
            return False
        tenant.used += units
        self.value_within_quota += pending.value
        self.take_slot(now, pending)
        return True

    def request_units(self, now: float, pending: PendingRequest) -> None:
        """Starts the quota check of a new request whose plan has a rate."""
        pending.tenant.advance_window(now)
        pending.demand_level = pending.tenant.record_request(now)
        statistics = self.grant_statistics[pending.plan.name, pending.demand_level]
        benefit = (
            pending.value
            / max(self.mean_value, 1e-9)
            * min(statistics.granted_share, statistics.expected_loss(pending.plan))
        )
        probability = self.counter.call_probability(benefit)
        self.decide(now, pending, self.rng.random() < probability)
        # A sampled call also charges for the requests that were admitted without a call.
        self.call_for_units(now, pending.tenant, 1 / max(probability, 1 / MAX_SAMPLE_WEIGHT))

    def decide(self, now: float, pending: PendingRequest, may_call: bool) -> None:
        """Admits a request, lets it wait for a call to the counter, or handles it as over quota."""
        tenant, available = pending.tenant, pending.tenant.available_units(now)
        if self.take_units(now, pending):
            return
        if now < tenant.exhausted_until or self.units_left(now, pending) < 0:
            wait = (pending.request.units - available) / tenant.plan.rate
            self.handle_over_quota(now, pending, RefusalReason.OVER_QUOTA, wait)
        elif may_call and self.counter.is_available(now):
            tenant.waiting.append(pending.request.id)
            self.schedule_check(now + 2 * self.counter.timeout + TICK, pending)
        else:
            self.decide_without_lease(now, pending)

    def decide_without_lease(self, now: float, pending: PendingRequest) -> None:
        """Admits a request without a lease if the counter would probably have granted one."""
        statistics = self.grant_statistics[pending.plan.name, pending.demand_level]
        units = pending.request.units
        counter_down, loss = self.counter.failures > 0, statistics.expected_loss(pending.plan)
        statistics.refill_credit(now)
        likely = (
            pending.tenant.low_rate
            and statistics.granted_share > loss
            and not (counter_down and statistics.credit < units)
        )
        if likely and (counter_down or self.accepts_loss(now, statistics.confidence * loss * pending.value)):
            statistics.credit -= units * counter_down
            self.value_within_quota += statistics.granted_share * pending.value
            pending.tenant.used += units
            self.take_slot(now, pending)
        else:
            self.handle_over_quota(now, pending, RefusalReason.COUNTER_UNAVAILABLE)

    def accepts_loss(self, now: float, loss: float) -> bool:
        """Returns whether a request with this expected loss may be admitted without a lease.

        The loss of all such requests is bounded by the share of calls that the counter rejects: with a fifth
        of the calls rejected, it is at most 7.5 % of the value that is admitted. A counter that is slow or
        does not answer recovers after a while, but one that rejects calls cannot carry the present load.
        """
        decay = math.exp((self.decayed_at - now) / GRANT_AVERAGING_TIME)
        self.value_within_quota = self.value_within_quota * decay
        self.value_at_risk = self.value_at_risk * decay + loss
        self.decayed_at = now
        return (
            self.rng.random() * self.value_at_risk * self.counter.rejected_share
            <= MAX_UNLEASED_LOSS * self.value_within_quota
        )

    def call_for_units(self, now: float, tenant: TenantQuota, sample_weight: float = 1.0) -> None:
        """Calls the counter to lease and charge units, if enough are needed and no call is outstanding.

        Args:
            sample_weight: number of requests for which each waiting one stands.
        """
        if tenant.outstanding_call is not None or not self.counter.is_available(now):
            return
        needed = sum(self.requests[i].request.units for i in tenant.waiting if i in self.requests)
        size = tenant.lease_size(self.counter.price + FULL_LATENCY_COST * self.counter.latency**2)
        available = tenant.available_units(now)
        renewal_due = (
            tenant.lease < size / 2 and available > size * tenant.spread and now >= tenant.exhausted_until
        )
        charge_due = tenant.uncharged > max(1.0, CHARGE_THRESHOLD * tenant.local_allowance(now, False))
        if not (needed or charge_due or (tenant.added and renewal_due)):
            return
        lease = max(needed, size) - tenant.lease if needed else size * renewal_due
        lease = max(0, int(min(math.ceil(lease), max(available, 0.0))))
        if lease + tenant.uncharged <= 0:
            self.decide_waiting(now, tenant)
            return
        extra = needed * (sample_weight - 1)
        call = tenant.outstanding_call = CounterCall(
            tenant, "units", tenant.window, tenant.uncharged, lease, extra, tenant.unclaimed
        )
        tenant.total += tenant.uncharged
        tenant.uncharged = tenant.unclaimed = 0.0
        self.call_counter(
            stable_hash(tenant.name, tenant.window), call.amount, 3 * tenant.window_length, call
        )

    def call_counter(self, counter_key: int, amount: float, lifetime: float, call: CounterCall) -> None:
        """Adds an amount to a count; the counter keeps the count for the lifetime, 1 to 60 seconds."""
        self.outstanding_calls.setdefault(counter_key, []).append(call)
        self.actions.append(api.AddToCounter(counter_key, amount, min(60.0, max(lifetime, 1.0))))

    def on_counter_result(self, now: float, event: api.CounterResult) -> None:
        """Handles the result of the oldest outstanding call for a count."""
        if event.counter_key not in self.outstanding_calls:
            return
        call, *rest = self.outstanding_calls.pop(event.counter_key)
        self.outstanding_calls.update({event.counter_key: rest} if rest else {})
        ok, tenant = event.result == "ok", call.tenant
        # A malformed response, or a connection that broke before the timeout, says nothing of the next call.
        early = event.result == "timeout" and event.elapsed < EARLY_TIMEOUT * self.counter.timeout
        if event.result != "spoilt" and not early:
            self.counter.record_result(now, event.result, event.elapsed)
        if call.kind == "units":
            tenant.outstanding_call = None
            tenant.advance_window(now)
            if call.window == tenant.window and ok:
                self.on_units_result(now, tenant, event.total, call)
            elif call.window == tenant.window and event.result == "spoilt":
                tenant.added += call.amount  # certainly added; the next call uses the leased units
                tenant.unclaimed += call.lease
            elif call.window == tenant.window and event.result != "timeout":
                tenant.uncharged += call.charge  # certainly not added: the charge is still due
                tenant.total -= call.charge
                tenant.unclaimed += call.unclaimed
            elif call.window == tenant.window:
                tenant.unconfirmed += call.amount
            self.decide_waiting(now, tenant, event.result != "full")
        elif call.kind == "slot":
            self.on_slot_result(now, event, call)
        elif call.window == tenant.window and event.result not in ("ok", "spoilt"):
            # The amount may be missing from the count, so a total without it does not mean a lost count.
            tenant.added -= call.amount
            tenant.unconfirmed += call.amount * (event.result == "timeout")

    def on_units_result(self, now: float, tenant: TenantQuota, total: float, call: CounterCall) -> None:
        """Takes over the counter's total and the leased units, and corrects the count where it is wrong."""
        amount, correction, tolerance = call.amount, 0.0, TOTAL_TOLERANCE * max(1.0, total)
        if total < tenant.added + amount - tolerance:
            # The total is below what this gateway alone has added: the counter lost its counts. Add them
            # again; the new count holds nothing else of this gateway.
            correction, tenant.added = tenant.added, 0.0
        elif total <= tenant.added + amount + tenant.unconfirmed + tolerance:
            # Only this gateway has added to the count, so it adds the overdraft of the windows before.
            correction, tenant.debt = tenant.debt, 0.0
        # A quota saves up one burst at most: what an idle tenant leaves unused above that is written off.
        surplus = max(
            0, int(tenant.window_limit(now) - tenant.plan.burst - (total + correction - call.lease))
        )
        correction, tenant.carried = correction + surplus, tenant.carried + surplus
        waiting = [self.requests[i] for i in tenant.waiting if i in self.requests]
        reserved = min((self.reserved_units(pending) for pending in waiting), default=0.0)
        excess = min(
            call.lease, max(0.0, math.ceil(total + correction + reserved - tenant.window_limit(now)))
        )
        tenant.added += amount + correction - excess
        tenant.total = total + correction - excess
        tenant.lease += call.lease - excess
        tenant.found_exhausted_at = now if excess > 0 else -math.inf
        needed = sum(pending.request.units for pending in waiting)
        if needed:
            weight = 1 + call.extra / needed
            statistics = self.grant_statistics[tenant.plan.name, waiting[0].demand_level]
            statistics.record(now, needed * weight, min(needed, tenant.lease) * weight)
        # Under contention the excess stays in the count.
        if self.rng.random() < self.counter.call_probability(MINOR_CALL_BENEFIT):
            correction -= excess
        if correction:
            call = CounterCall(tenant, "correction", tenant.window, extra=correction)
            self.call_counter(
                stable_hash(tenant.name, tenant.window), correction, 3 * tenant.window_length, call
            )

    def decide_waiting(self, now: float, tenant: TenantQuota, may_call: bool = True) -> None:
        """Decides the requests that waited for a call, those with the most value per unit first."""
        ids, tenant.waiting = tenant.waiting, []
        waiting = [self.requests[i] for i in ids if i in self.requests]
        for pending in sorted(waiting, key=lambda each: -each.value / max(each.request.units, 1e-9)):
            if tenant.available_units(now) + tenant.lease < pending.request.units:
                wait = max(0.0, 1 - tenant.available_units(now)) / tenant.plan.rate
                # Under contention the other gateways wait for the same unit, so pause for longer.
                contention = self.counter.latency > CONTENTION_LATENCY
                tenant.exhausted_until = now + wait * (tenant.spread if contention else 1)
            self.decide(now, pending, may_call and not self.counter.failures)
        if tenant.waiting:
            self.call_for_units(now, tenant)

    def take_slot(self, now: float, pending: PendingRequest, may_call: bool = True) -> None:
        """Takes a concurrency slot for a request and queues it, or handles it as over quota.

        Each gateway has an even share of the concurrency limit to itself. The remaining slots are shared by
        a count at the counter, which is called where its answer may change the decision. Otherwise the number
        of concurrent requests is estimated by Little's law from the tenant's request rate, which its units
        bound, and the mean response time.
        """
        tenant, plan = pending.tenant, pending.plan
        own_slots, shared_slots = divmod(plan.concurrency_limit, tenant.spread)
        pending.stage = "slot"
        if tenant.own_slots_in_use < own_slots:
            pending.held_slot = -1
            tenant.own_slots_in_use += 1
            self.enqueue(now, pending)
            return
        over_probability = self.over_limit_probability(now, pending)
        cost = max(0.0, plan.over_quota_cost - plan.over_quota_value)
        if (
            shared_slots
            and may_call
            and self.counter.is_available(now)
            and (
                self.rng.random()
                < self.counter.call_probability(max(over_probability, MINOR_CALL_BENEFIT) * cost)
            )
        ):
            self.count_concurrent_request(tenant, int(now / SLOT_EPOCH) + 1, 1, pending)
            self.schedule_check(pending.deadline, pending)
            return
        elif plan.concurrency_limit and (
            plan.concurrency_limit >= tenant.spread or over_probability * cost >= 1 - over_probability
        ):
            self.handle_over_quota(now, pending, RefusalReason.CONCURRENCY_LIMIT_REACHED)
            return
        self.enqueue(now, pending)

    def over_limit_probability(self, now: float, pending: PendingRequest) -> float:
        """Returns the probability that other requests of the tenant take all slots of its limit."""
        tenant, plan = pending.tenant, pending.plan
        rate = max(tenant.total, tenant.used) / max(now - tenant.window_start, tenant.window_length / 4)
        mean_concurrency = (
            min(rate, plan.rate or rate)
            / max(pending.request.units, 1e-9)
            * self.balancer.mean_latency[pending.service_class.name]
        )
        return poisson_tail(plan.concurrency_limit, mean_concurrency)

    def count_concurrent_request(
        self, tenant: TenantQuota, epoch: int, amount: int, pending: PendingRequest | None = None
    ) -> None:
        """Adds to the count of concurrent requests of an epoch: 1 for `pending`, or -1 to release a slot."""
        call = CounterCall(tenant, "slot" if pending else "correction", epoch, pending=pending)
        self.call_counter(stable_hash("open", tenant.name, epoch), amount, 2 * SLOT_EPOCH, call)

    def on_slot_result(self, now: float, event: api.CounterResult, call: CounterCall) -> None:
        """Handles the result of the call that takes a shared slot for a request."""
        pending, tenant, ok = call.pending, call.tenant, event.result == "ok"
        if ok and (pending.finished or event.total > tenant.plan.concurrency_limit % tenant.spread):
            self.count_concurrent_request(tenant, call.window, -1)
        if ok and not pending.finished and event.total > tenant.plan.concurrency_limit % tenant.spread:
            self.handle_over_quota(now, pending, RefusalReason.CONCURRENCY_LIMIT_REACHED)
        elif not pending.finished:
            pending.held_slot = call.window if ok else 0
            self.enqueue(now, pending) if ok else self.take_slot(now, pending, False)
