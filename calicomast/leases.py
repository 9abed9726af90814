"""Units and open slots of customers: what passes by a lease, by the local allowance or unasked.

Also the calls to the counter by which leases are sought.
Part of the decisions: policy.py, whose GatewayPolicy is made of this.
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
    stable_hash,
)
from calicomast.rules import RefusalReason
from calicomast.servers import TICK, Fleet

RESERVE = 0.2  # share of a burst kept from the class worth least a unit, for the one worth most
CROWD = 0.3  # worth of a call's time at the full time-out (c1 grows as the counter slows), squared share
SIDE_CALL = 0.15  # worth of a call that only mends a count for others, or finds a limit seldom reached
SAMPLE_MOST = 4.0  # a sampled charge stands for so many at most: more makes the count jump
UNASKED_LOSS = 0.015  # of the worth that passes inside quotas: see `risked`
ROUNDING = 1e-4  # part of a total, seven digits of which are exact: less than that is no difference
CALL_SPOILT = 0.9  # part of the time-out before which a call without answer was lost with its line
OPEN_EPOCH = 5.0  # s; life of a count of open attempts


class LeaseDecisions(ABC):
    """The part of GatewayPolicy that keeps quotas.

    Attributes:
        uses: what the counter granted, by plan and level of demand.
        calls: to the counter that are out, by count name, in order.
        inside, risk: worth that passed inside quotas; what would be lost if all unasked passed.
    """

    set: api.Settings
    rng: random.Random
    fleet: Fleet
    counter: CounterMonitor
    uses: dict[tuple[str, int], GrantStatistics]
    requests: dict[str, PendingRequest]
    calls: dict[int, list[CounterCall]]
    worth: float
    top: float
    inside: float
    risk: float
    faded_at: float
    out: list[api.Action]

    @abstractmethod
    def handle_over_quota(
        self, now: float, pending: PendingRequest, reason: RefusalReason, wait: float = 0.0
    ) -> None:
        """A request is beyond its quota."""

    @abstractmethod
    def enqueue(self, now: float, pending: PendingRequest) -> None:
        """A request has its units and its slot, and waits for a server."""

    @abstractmethod
    def check_at(self, at: float, pending: PendingRequest) -> None:
        """The request is to be looked at then."""

    def kept(self, pending: PendingRequest) -> float:
        """Kept for classes that earn more with a unit; binds subset the end of a quota only."""
        return (
            RESERVE * pending.plan.burst * (1 - pending.service_class.worth / self.top) if self.top else 0.0
        )

    def spare(self, now: float, pending: PendingRequest) -> float:
        return pending.tenant.available_units(now) - self.kept(pending) - pending.req.units

    def take_units(self, now: float, pending: PendingRequest) -> bool:
        tenant, units = pending.tenant, pending.req.units
        if self.spare(now, pending) + tenant.lease < 0:
            return False
        left = tenant.local_allowance(now, self.counter.failures > 0) - tenant.uncharged
        if tenant.lease >= units:
            tenant.lease -= units
        # What is less than a request is rounded at random, once a window: over all gateways it comes out.
        elif tenant.available_units(now) >= units and left >= units * (1 - tenant.rounding):
            tenant.uncharged += units
        else:
            return False
        tenant.used += units
        self.inside += pending.value
        self.want_slot(now, pending)
        return True

    def want_units(self, now: float, pending: PendingRequest) -> None:
        pending.tenant.advance_window(now)
        pending.demand_level = pending.tenant.record_request(now)
        use = self.uses[pending.plan.name, pending.demand_level]
        gain = pending.value / max(self.worth, 1e-9) * min(use.granted_share, use.expected_loss(pending.plan))
        chance = self.counter.call_probability(gain)
        self.decide(now, pending, self.rng.random() < chance)
        # It stands for those that pass unasked too.
        self.renew(now, pending.tenant, 1 / max(chance, 1 / SAMPLE_MOST))

    def decide(self, now: float, pending: PendingRequest, ask: bool) -> None:
        tenant, room = pending.tenant, pending.tenant.available_units(now)
        if self.take_units(now, pending):
            return
        if now < tenant.exhausted_until or self.spare(now, pending) < 0:
            wait = (pending.req.units - room) / tenant.plan.rate
            self.handle_over_quota(now, pending, RefusalReason.QUOTA, wait)
        elif ask and self.counter.is_available(now):
            tenant.waiting.append(pending.req.id)
            self.check_at(now + 2 * self.counter.timeout + TICK, pending)
        else:
            self.decide_without_lease(now, pending)

    def decide_without_lease(self, now: float, pending: PendingRequest) -> None:
        use, units = self.uses[pending.plan.name, pending.demand_level], pending.req.units
        away, mistake = self.counter.failures > 0, use.expected_loss(pending.plan)
        use.refill_credit(now)
        likely = pending.tenant.low_rate and use.granted_share > mistake and not (away and use.credit < units)
        if likely and (away or self.risked(now, use.confidence * mistake * pending.value)):
            use.credit -= units * away
            self.inside += use.granted_share * pending.value
            pending.tenant.used += units
            self.want_slot(now, pending)
        else:
            self.handle_over_quota(now, pending, RefusalReason.QUOTA_UNKNOWN)

    def risked(self, now: float, loss: float) -> bool:
        """Whether a try may pass unasked, which loses `loss` in the mean. What all such tries lose is bounded
        by the part of calls that is turned away: 7.5 in 100 of what passes where that is a fifth. A counter
        that is slow or silent is so for a while; one that turns calls away bears fewer than there are."""
        fade = math.exp((self.faded_at - now) / GRANT_AVERAGING_TIME)
        self.inside, self.risk, self.faded_at = self.inside * fade, self.risk * fade + loss, now
        return self.rng.random() * self.risk * self.counter.rejected_share <= UNASKED_LOSS * self.inside

    def renew(self, now: float, tenant: TenantQuota, factor: float = 1.0) -> None:
        if tenant.outstanding_call is not None or not self.counter.is_available(now):
            return
        need = sum(self.requests[i].req.units for i in tenant.waiting if i in self.requests)
        w, room = (
            tenant.lease_size(self.counter.price + CROWD * self.counter.latency**2),
            tenant.available_units(now),
        )
        more = tenant.lease < w / 2 and room > w * tenant.spread and now >= tenant.exhausted_until
        due = tenant.uncharged > max(1.0, CHARGE_THRESHOLD * tenant.local_allowance(now, False))
        if not (need or due or (tenant.added and more)):
            return
        ask = max(need, w) - tenant.lease if need else w * more
        ask = max(0, int(min(math.ceil(ask), max(room, 0.0))))
        if ask + tenant.uncharged <= 0:
            self.decide_waiting(now, tenant)
            return
        extra = need * (factor - 1)
        call = tenant.outstanding_call = CounterCall(
            tenant, "units", tenant.window, tenant.uncharged, ask, extra, tenant.unclaimed
        )
        tenant.total += tenant.uncharged
        tenant.uncharged = tenant.unclaimed = 0.0
        self.count(stable_hash(tenant.name, tenant.window), call.amount, 3 * tenant.window_length, call)

    def count(self, name: int, amount: float, life: float, call: CounterCall) -> None:
        self.calls.setdefault(name, []).append(call)
        self.out.append(api.Count(name, amount, min(60.0, max(life, 1.0))))

    def counted(self, now: float, event: api.Counted) -> None:
        if event.name not in self.calls:
            return
        call, *rest = self.calls.pop(event.name)
        self.calls.update({event.name: rest} if rest else {})
        ok, tenant = event.result == "ok", call.tenant
        # A spoilt answer, or a line that broke before the time was up, says nothing of the next call.
        early = event.result == "timeout" and event.elapsed < CALL_SPOILT * self.counter.timeout
        if event.result != "spoilt" and not early:
            self.counter.record_result(now, event.result, event.elapsed)
        if call.kind == "units":
            tenant.outstanding_call = None
            tenant.advance_window(now)
            if call.window == tenant.window and ok:
                self.on_units_counted(now, tenant, event.total, call)
            elif call.window == tenant.window and event.result == "spoilt":
                tenant.added += call.amount  # surely added: what was asked for is used up by the next call
                tenant.unclaimed += call.lease
            elif call.window == tenant.window and event.result != "timeout":
                tenant.uncharged += call.charge  # surely not added: the charge is still owed
                tenant.total -= call.charge
                tenant.unclaimed += call.unclaimed
            elif call.window == tenant.window:
                tenant.unconfirmed += call.amount
            self.decide_waiting(now, tenant, event.result != "full")
        elif call.kind == "slot":
            self.slot_counted(now, event, call)
        elif call.window == tenant.window and event.result not in ("ok", "spoilt"):
            tenant.added -= call.amount  # else what never came into the count would be taken for lost from it
            tenant.unconfirmed += call.amount * (event.result == "timeout")

    def on_units_counted(self, now: float, tenant: TenantQuota, total: float, call: CounterCall) -> None:
        mine, extra, slack = call.amount, 0.0, ROUNDING * max(1.0, total)
        if (
            total < tenant.added + mine - slack
        ):  # less than what is ours alone: counts were lost; add ours again
            extra, tenant.added = tenant.added, 0.0  # the new count holds nothing else of ours
        elif total <= tenant.added + mine + tenant.unconfirmed + slack:
            extra, tenant.debt = tenant.debt, 0.0  # who finds none but its own brings the overdraft along
        # The store holds a burst at most: what a quiet customer let run over is gone.
        surplus = max(0, int(tenant.window_limit(now) - tenant.plan.burst - (total + extra - call.lease)))
        extra, tenant.carried = extra + surplus, tenant.carried + surplus
        pending_requests = [self.requests[i] for i in tenant.waiting if i in self.requests]
        kept = min((self.kept(j) for j in pending_requests), default=0.0)
        over = min(call.lease, max(0.0, math.ceil(total + extra + kept - tenant.window_limit(now))))
        tenant.added += mine + extra - over
        tenant.total = total + extra - over
        tenant.lease += call.lease - over
        tenant.found_exhausted_at = now if over > 0 else -math.inf
        need = sum(j.req.units for j in pending_requests)
        if need:
            weight = 1 + call.extra / need
            use = self.uses[tenant.plan.name, pending_requests[0].demand_level]
            use.record(now, need * weight, min(need, tenant.lease) * weight)
        if self.rng.random() < self.counter.call_probability(
            SIDE_CALL
        ):  # in a crowd the excess stays counted
            extra -= over
        if extra:
            call = CounterCall(tenant, "correction", tenant.window, extra=extra)
            self.count(stable_hash(tenant.name, tenant.window), extra, 3 * tenant.window_length, call)

    def decide_waiting(self, now: float, tenant: TenantQuota, again: bool = True) -> None:
        waiting, tenant.waiting = tenant.waiting, []
        pending_requests = [self.requests[i] for i in waiting if i in self.requests]
        for pending in sorted(pending_requests, key=lambda j: -j.value / max(j.req.units, 1e-9)):
            if tenant.available_units(now) + tenant.lease < pending.req.units:
                wait = max(0.0, 1 - tenant.available_units(now)) / tenant.plan.rate
                crowd = (
                    self.counter.latency > CONTENTION_LATENCY
                )  # the others wait for the same unit: no call for long
                tenant.exhausted_until = now + wait * (tenant.spread if crowd else 1)
            self.decide(now, pending, again and not self.counter.failures)
        if tenant.waiting:
            self.renew(now, tenant)

    def want_slot(self, now: float, pending: PendingRequest, ask: bool = True) -> None:
        """Own even part of the open limit; the rest is shared by a count, asked for what that changes, or
        judged by Little's law from the customer's rate, which its units bound, and the time of answers."""
        tenant, plan = pending.tenant, pending.plan
        own, shared = divmod(plan.open_limit, tenant.spread)
        rate = max(tenant.total, tenant.used) / max(now - tenant.window_start, tenant.window_length / 4)
        mean = (
            min(rate, plan.rate or rate)
            / max(pending.req.units, 1e-9)
            * self.fleet.mean[pending.service_class.name]
        )
        over = 1 - sum(mean**n * math.exp(-mean) / math.factorial(n) for n in range(plan.open_limit))
        cost = max(0.0, plan.over_cost - plan.over_worth)
        pending.stage = "slot"
        if tenant.own_slots_in_use < own:
            pending.held_slot = -1
            tenant.own_slots_in_use += 1
        elif (
            shared
            and ask
            and self.counter.is_available(now)
            and (self.rng.random() < self.counter.call_probability(max(over, SIDE_CALL) * cost))
        ):
            self.count_open(tenant, int(now / OPEN_EPOCH) + 1, 1, pending)
            self.check_at(pending.deadline, pending)
            return
        elif plan.open_limit and (plan.open_limit >= tenant.spread or over * cost >= 1 - over):
            self.handle_over_quota(now, pending, RefusalReason.OPEN_LIMIT)
            return
        self.enqueue(now, pending)

    def count_open(
        self, tenant: TenantQuota, epoch: int, amount: int, pending: PendingRequest | None = None
    ) -> None:
        call = CounterCall(tenant, "slot" if pending else "correction", epoch, pending=pending)
        self.count(stable_hash("open", tenant.name, epoch), amount, 2 * OPEN_EPOCH, call)

    def slot_counted(self, now: float, event: api.Counted, call: CounterCall) -> None:
        pending, tenant, ok = call.pending, call.tenant, event.result == "ok"
        if ok and (pending.finished or event.total > tenant.plan.open_limit % tenant.spread):
            self.count_open(tenant, call.window, -1)
        if ok and not pending.finished and event.total > tenant.plan.open_limit % tenant.spread:
            self.handle_over_quota(now, pending, RefusalReason.OPEN_LIMIT)
        elif not pending.finished:
            pending.held_slot = call.window if ok else 0
            self.enqueue(now, pending) if ok else self.want_slot(now, pending, False)
