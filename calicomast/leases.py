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
from calicomast.quota import CHARGE_AT, CROWDED, USE_SPAN, Call, Counter, PlanUse, TenantQuota, stable_hash
from calicomast.rules import RefusalReason
from calicomast.servers import TICK, LoadBalancer

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
    balancer: LoadBalancer
    counter: Counter
    uses: dict[tuple[str, int], PlanUse]
    requests: dict[str, PendingRequest]
    calls: dict[int, list[Call]]
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
        return RESERVE * pending.plan.burst * (1 - pending.cls.value / self.top) if self.top else 0.0

    def spare(self, now: float, pending: PendingRequest) -> float:
        return pending.acct.available_units(now) - self.kept(pending) - pending.req.units

    def take_units(self, now: float, pending: PendingRequest) -> bool:
        acct, units = pending.acct, pending.req.units
        if self.spare(now, pending) + acct.lease < 0:
            return False
        left = acct.local_allowance(now, self.counter.fails > 0) - acct.uncharged
        if acct.lease >= units:
            acct.lease -= units
        # What is less than a request is rounded at random, once a window: over all gateways it comes out.
        elif acct.available_units(now) >= units and left >= units * (1 - acct.rounding):
            acct.uncharged += units
        else:
            return False
        acct.used += units
        self.inside += pending.worth
        self.want_slot(now, pending)
        return True

    def want_units(self, now: float, pending: PendingRequest) -> None:
        pending.acct.roll(now)
        pending.level = pending.acct.tried(now)
        use = self.uses[pending.plan.name, pending.level]
        gain = pending.worth / max(self.worth, 1e-9) * min(use.share, use.mistake(pending.plan))
        chance = self.counter.chance(gain)
        self.decide(now, pending, self.rng.random() < chance)
        # It stands for those that pass unasked too.
        self.renew(now, pending.acct, 1 / max(chance, 1 / SAMPLE_MOST))

    def decide(self, now: float, pending: PendingRequest, ask: bool) -> None:
        acct, room = pending.acct, pending.acct.available_units(now)
        if self.take_units(now, pending):
            return
        if now < acct.full_until or self.spare(now, pending) < 0:
            wait = (pending.req.units - room) / acct.plan.rate
            self.handle_over_quota(now, pending, RefusalReason.OVER_QUOTA, wait)
        elif ask and self.counter.usable(now):
            acct.waiting.append(pending.req.id)
            self.check_at(now + 2 * self.counter.timeout + TICK, pending)
        else:
            self.decide_without_lease(now, pending)

    def decide_without_lease(self, now: float, pending: PendingRequest) -> None:
        use, units = self.uses[pending.plan.name, pending.level], pending.req.units
        away, mistake = self.counter.fails > 0, use.mistake(pending.plan)
        use.refill(now)
        likely = pending.acct.thin and use.share > mistake and not (away and use.credit < units)
        if likely and (away or self.risked(now, use.known * mistake * pending.worth)):
            use.credit -= units * away
            self.inside += use.share * pending.worth
            pending.acct.used += units
            self.want_slot(now, pending)
        else:
            self.handle_over_quota(now, pending, RefusalReason.COUNTER_UNAVAILABLE)

    def risked(self, now: float, loss: float) -> bool:
        """Whether a try may pass unasked, which loses `loss` in the mean. What all such tries lose is bounded
        by the part of calls that is turned away: 7.5 in 100 of what passes where that is a fifth. A counter
        that is slow or silent is so for a while; one that turns calls away bears fewer than there are."""
        fade = math.exp((self.faded_at - now) / USE_SPAN)
        self.inside, self.risk, self.faded_at = self.inside * fade, self.risk * fade + loss, now
        return self.rng.random() * self.risk * self.counter.turned <= UNASKED_LOSS * self.inside

    def renew(self, now: float, acct: TenantQuota, factor: float = 1.0) -> None:
        if acct.call is not None or not self.counter.usable(now):
            return
        need = sum(self.requests[i].req.units for i in acct.waiting if i in self.requests)
        w, room = acct.block(self.counter.price + CROWD * self.counter.slow**2), acct.available_units(now)
        more = acct.lease < w / 2 and room > w * acct.spread and now >= acct.full_until
        due = acct.uncharged > max(1.0, CHARGE_AT * acct.local_allowance(now, False))
        if not (need or due or (acct.put and more)):
            return
        ask = max(need, w) - acct.lease if need else w * more
        ask = max(0, int(min(math.ceil(ask), max(room, 0.0))))
        if ask + acct.uncharged <= 0:
            self.decide_waiting(now, acct)
            return
        extra = need * (factor - 1)
        call = acct.call = Call(acct, "units", acct.k, acct.uncharged, ask, extra, acct.spare)
        acct.total += acct.uncharged
        acct.uncharged = acct.spare = 0.0
        self.count(stable_hash(acct.name, acct.k), call.amount, 3 * acct.window_length, call)

    def count(self, name: int, amount: float, life: float, call: Call) -> None:
        self.calls.setdefault(name, []).append(call)
        self.out.append(api.AddToCounter(name, amount, min(60.0, max(life, 1.0))))

    def counted(self, now: float, event: api.CounterResult) -> None:
        if event.name not in self.calls:
            return
        call, *rest = self.calls.pop(event.name)
        self.calls.update({event.name: rest} if rest else {})
        ok, acct = event.result == "ok", call.acct
        # A spoilt answer, or a line that broke before the time was up, says nothing of the next call.
        early = event.result == "timeout" and event.elapsed < CALL_SPOILT * self.counter.timeout
        if event.result != "spoilt" and not early:
            self.counter.note(now, event.result, event.elapsed)
        if call.kind == "units":
            acct.call = None
            acct.roll(now)
            if call.window == acct.k and ok:
                self.on_units_counted(now, acct, event.total, call)
            elif call.window == acct.k and event.result == "spoilt":
                acct.put += call.amount  # surely added: what was asked for is used up by the next call
                acct.spare += call.ask
            elif call.window == acct.k and event.result != "timeout":
                acct.uncharged += call.charge  # surely not added: the charge is still owed
                acct.total -= call.charge
                acct.spare += call.spare
            elif call.window == acct.k:
                acct.unsure += call.amount
            self.decide_waiting(now, acct, event.result != "full")
        elif call.kind == "slot":
            self.slot_counted(now, event, call)
        elif call.window == acct.k and event.result not in ("ok", "spoilt"):
            acct.put -= call.amount  # else what never came into the count would be taken for lost from it
            acct.unsure += call.amount * (event.result == "timeout")

    def on_units_counted(self, now: float, acct: TenantQuota, total: float, call: Call) -> None:
        mine, extra, slack = call.amount, 0.0, ROUNDING * max(1.0, total)
        if total < acct.put + mine - slack:  # less than what is ours alone: counts were lost; add ours again
            extra, acct.put = acct.put, 0.0  # the new count holds nothing else of ours
        elif total <= acct.put + mine + acct.unsure + slack:
            extra, acct.debt = acct.debt, 0.0  # who finds none but its own brings the overdraft along
        # The store holds a burst at most: what a quiet customer let run over is gone.
        surplus = max(0, int(acct.hold(now) - acct.plan.burst - (total + extra - call.ask)))
        extra, acct.carried = extra + surplus, acct.carried + surplus
        pending_requests = [self.requests[i] for i in acct.waiting if i in self.requests]
        kept = min((self.kept(j) for j in pending_requests), default=0.0)
        over = min(call.ask, max(0.0, math.ceil(total + extra + kept - acct.hold(now))))
        acct.put += mine + extra - over
        acct.total = total + extra - over
        acct.lease += call.ask - over
        acct.found_full = now if over > 0 else -math.inf
        need = sum(j.req.units for j in pending_requests)
        if need:
            weight = 1 + call.extra / need
            use = self.uses[acct.plan.name, pending_requests[0].level]
            use.note(now, need * weight, min(need, acct.lease) * weight)
        if self.rng.random() < self.counter.chance(SIDE_CALL):  # in a crowd the excess stays counted
            extra -= over
        if extra:
            call = Call(acct, "void", acct.k, extra=extra)
            self.count(stable_hash(acct.name, acct.k), extra, 3 * acct.window_length, call)

    def decide_waiting(self, now: float, acct: TenantQuota, again: bool = True) -> None:
        waiting, acct.waiting = acct.waiting, []
        pending_requests = [self.requests[i] for i in waiting if i in self.requests]
        for pending in sorted(pending_requests, key=lambda j: -j.worth / max(j.req.units, 1e-9)):
            if acct.available_units(now) + acct.lease < pending.req.units:
                wait = max(0.0, 1 - acct.available_units(now)) / acct.plan.rate
                crowd = self.counter.slow > CROWDED  # the others wait for the same unit: no call for long
                acct.full_until = now + wait * (acct.spread if crowd else 1)
            self.decide(now, pending, again and not self.counter.fails)
        if acct.waiting:
            self.renew(now, acct)

    def want_slot(self, now: float, pending: PendingRequest, ask: bool = True) -> None:
        """Own even part of the open limit; the rest is shared by a count, asked for what that changes, or
        judged by Little's law from the customer's rate, which its units bound, and the time of answers."""
        acct, plan = pending.acct, pending.plan
        own, shared = divmod(plan.concurrency_limit, acct.spread)
        rate = max(acct.total, acct.used) / max(now - acct.window_start, acct.window_length / 4)
        mean = (
            min(rate, plan.rate or rate)
            / max(pending.req.units, 1e-9)
            * self.balancer.mean_latency[pending.cls.name]
        )
        over = 1 - sum(mean**n * math.exp(-mean) / math.factorial(n) for n in range(plan.concurrency_limit))
        cost = max(0.0, plan.over_quota_cost - plan.over_quota_value)
        pending.stage = "slot"
        if acct.open_here < own:
            pending.slot = -1
            acct.open_here += 1
        elif (
            shared
            and ask
            and self.counter.usable(now)
            and (self.rng.random() < self.counter.chance(max(over, SIDE_CALL) * cost))
        ):
            self.count_open(acct, int(now / OPEN_EPOCH) + 1, 1, pending)
            self.check_at(pending.deadline, pending)
            return
        elif plan.concurrency_limit and (plan.concurrency_limit >= acct.spread or over * cost >= 1 - over):
            self.handle_over_quota(now, pending, RefusalReason.OPEN_LIMIT_REACHED)
            return
        self.enqueue(now, pending)

    def count_open(
        self, acct: TenantQuota, epoch: int, amount: int, pending: PendingRequest | None = None
    ) -> None:
        call = Call(acct, "slot" if pending else "void", epoch, pending=pending)
        self.count(stable_hash("open", acct.name, epoch), amount, 2 * OPEN_EPOCH, call)

    def slot_counted(self, now: float, event: api.CounterResult, call: Call) -> None:
        pending, acct, ok = call.pending, call.acct, event.result == "ok"
        if ok and (pending.done or event.total > acct.plan.concurrency_limit % acct.spread):
            self.count_open(acct, call.window, -1)
        if ok and not pending.done and event.total > acct.plan.concurrency_limit % acct.spread:
            self.handle_over_quota(now, pending, RefusalReason.OPEN_LIMIT_REACHED)
        elif not pending.done:
            pending.slot = call.window if ok else 0
            self.enqueue(now, pending) if ok else self.want_slot(now, pending, False)
