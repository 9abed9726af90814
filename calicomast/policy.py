"""The decisions of calicomast. Types, events and actions: interface.py in this folder.

Gateway(settings, seed, now).handle(now, event) -> actions. No clock, no I/O. What a gateway may do by itself
is its part of an amount for all; what is less than one is kept as credit or drawn as a chance.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random

from calicomast import interface as api
from calicomast.admission import charge
from calicomast.pending import PendingRequest
from calicomast.quota import (
    CHARGE_AT,
    CROWDED,
    GAIN,
    USE_SPAN,
    Account,
    Call,
    Counter,
    PlanUse,
    stable_hash,
)
from calicomast.rules import RefusalReason, repeat_until
from calicomast.servers import LIMIT_MOST, PRESS_SPAN, PRESSED, ROOM_CLEAR, SERVICE_LEAST, TICK, Fleet, Server

LEAST_UNITS = 1e-9  # of a request; below it the mean says nothing
RESERVE = 0.2  # share of a burst kept from the class worth least a unit, for the one worth most
CROWD = 0.3  # worth of a call's time at the full time-out (c1 grows as the counter slows), squared share
SIDE_CALL = 0.15  # worth of a call that only mends a count for others, or finds a limit seldom reached
SAMPLE_MOST = 4.0  # a sampled charge stands for so many at most: more makes the count jump
GRANT_PRIOR = (0.7, 0.6, 0.4, 0.2, 0.1)  # share of tries granted at each level of demand, before any was
UNASKED_LOSS = 0.015  # of the worth that passes inside quotas: see `risked`
QUEUE_HOLD, QUEUE_LEAST = 0.5, 4  # share of the aim spent waiting for a server; requests that always may
ROUNDING = 1e-4  # part of a total, seven digits of which are exact: less than that is no difference
CALL_SPOILT = 0.9  # part of the time-out before which a call without answer was lost with its line
OPEN_EPOCH, IDLE_MOST = 5.0, 30.0  # s; life of a count of open attempts; least life of an idle account
FREED_AT_ONCE = 4  # idle accounts looked at with each request: more than come, so that they never pile up
SHED_FAST, SHED_BACK, SHED_LEAST = 0.7, 0.15, 0.05  # 1/s down, 1/s up, least part that still passes
RETRY_SHARE, RETRY_SPARE, RETRY_FULL = 0.1, 0.3, 0.2  # per first send; with room; price of one after `full`
RETRY_START, RETRY_MOST = 15.0, 30.0  # retries over all gateways at the start; that may be saved up


class Gateway:
    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.set, self.born, self.rng = settings, now, random.Random(seed)
        self.fleet, self.counter = Fleet(settings, self.rng), Counter(settings)
        self.uses = {
            (p, level): PlanUse(now, share) for p in self.set.plans for level, share in enumerate(GRANT_PRIOR)
        }
        self.accounts: dict[str, Account] = {}  # in order of their last request
        self.requests, self.queue = dict[str, PendingRequest](), list[PendingRequest]()
        self.calls: dict[int, list[Call]] = {}  # by count name, in order of the calls
        self.units = 0.0  # running mean of a request's
        self.budget = RETRY_START / settings.gateways
        self.top = max(c.worth for c in settings.classes.values())
        self.checks: list[tuple[float, str]] = []  # when which request is to be looked at
        self.timer_at = self.watch_at = math.inf
        self.trial_at = 0.0  # when the queue is looked at for a host's next trial
        self.pass_share, self.pass_at, self.worth = 1.0, now, 0.0  # worth: running mean of a request's
        self.ranks: list[float] = []  # values of the latest requests
        self.inside = self.risk = 0.0  # worth passed inside quotas; what would be lost if all unasked passed
        self.faded_at = now
        self.out: list[api.Action] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.out = []
        self.fleet.now = now
        self.fleet.proceed()
        match event:
            case api.Request():
                self.request(now, event)
            case api.Outcome():
                self.outcome(now, event)
            case api.Counted():
                self.counted(now, event)
            case api.Timer():
                self.tick(now)
            case api.HostList():
                self.fleet.listed(now, event)
                if event.mode == "failed":
                    self.watch_at = now + 1.0
                elif event.mode == "cached" and self.set.discovery == "ask":
                    self.out.append(api.Watch(True))
            case api.Began() if event.id in self.requests:
                self.requests[event.id].streaming = True
            case api.Gone() if event.id in self.requests:
                self.close(now, self.requests[event.id])
        self.drain_queue(now)
        while self.checks and self.checks[0][1] not in self.requests:
            heapq.heappop(self.checks)
        trial = self.trial_at if self.queue and self.trial_at > now else math.inf
        scan = now + TICK if self.fleet.members.unfinished else math.inf
        at = min(self.checks[0][0] if self.checks else math.inf, self.watch_at, trial, scan)
        if at < self.timer_at:  # what is due next; nothing when idle
            self.timer_at = at
            self.out.append(api.SetTimer(max(0.0, at - now), 0))
        return self.out

    def request(self, now: float, req: api.Request) -> None:
        cls, plan = self.set.classes[req.cls], self.set.plans[req.plan]
        acct = self.accounts.pop(req.customer, None)
        if acct is None:
            acct = Account(req, plan, self.born, now, self.rng)
        self.accounts[req.customer], acct.seen_at = acct, now
        self.free_accounts(now)
        worth = cls.worth * plan.price * req.units
        self.worth += (GAIN if self.worth else 1.0) * (worth - self.worth)
        value = worth / max(self.fleet.mean[cls.name], 1e-6)
        keys = ("host", "class " + cls.name, "plan " + plan.name)
        pending = PendingRequest(req, cls, plan, acct, now, now + req.left, worth, value, keys)
        self.requests[req.id] = pending
        pending.charge = charge(self.work(pending), self.rng.random())
        if req.left < 2 * TICK:  # no check would come round in time
            self.refuse(now, pending, RefusalReason.DEADLINE_NEAR)
        elif self.shed(now, pending):
            self.refuse(now, pending, RefusalReason.LOAD_SHED)
        elif acct.ceiling_room(now) < req.units:
            wait = (req.units - acct.cap) * acct.spread / plan.ceiling_rate
            self.refuse(now, pending, RefusalReason.CEILING, wait)
        elif plan.rate:
            self.want_units(now, pending)
        else:
            self.want_slot(now, pending)

    def work(self, pending: PendingRequest) -> float:
        """What a request is expected to take, over the mean: units tell it where requests differ in them."""
        units = pending.req.units
        self.units += (GAIN if self.units else 1.0) * (units - self.units)
        if self.set.most_units > 1:
            return units / max(self.units, LEAST_UNITS)
        return self.fleet.mean[pending.cls.name] / max(self.fleet.service, SERVICE_LEAST)

    def free_accounts(self, now: float) -> None:
        """Many customers come only once. Past its windows an account tells no more than a new one would."""
        for oldest in list(itertools.islice(self.accounts.values(), FREED_AT_ONCE)):
            if now - oldest.seen_at <= max(IDLE_MOST, 3 * oldest.length):
                return
            del self.accounts[oldest.name]
            if oldest.call or oldest.open_here or oldest.waiting:  # a busy one holds up none behind it
                self.accounts[oldest.name], oldest.seen_at = oldest, now

    def shed(self, now: float, pending: PendingRequest) -> bool:
        """While answers come from servers that hold too much, what is worth least a unit of work is refused,
        whatever the cause: one gateway of many has too few out for a limit of its own to relieve them."""
        ranks = self.ranks = [*self.ranks[-63:], pending.value]
        step, fleet, self.pass_at = now - self.pass_at, self.fleet, now
        if fleet.pressure * math.exp(min(0.0, (fleet.answer_at + 1 - now) / PRESS_SPAN)) > PRESSED:
            self.pass_share = max(SHED_LEAST, self.pass_share * math.exp(-SHED_FAST * min(step, 1.0)))
        else:
            self.pass_share = min(1.0, self.pass_share + SHED_BACK * step)
        luck, most = self.rng.random(), (1 - self.pass_share) * len(ranks) * (self.set.gateways > LIMIT_MOST)
        return most > 0 and luck * ranks.count(pending.value) + sum(v < pending.value for v in ranks) < most

    def kept(self, pending: PendingRequest) -> float:
        """Kept for classes that earn more with a unit; binds subset the end of a quota only."""
        return RESERVE * pending.plan.burst * (1 - pending.cls.worth / self.top) if self.top else 0.0

    def spare(self, now: float, pending: PendingRequest) -> float:
        return pending.acct.room(now) - self.kept(pending) - pending.req.units

    def take_units(self, now: float, pending: PendingRequest) -> bool:
        acct, units = pending.acct, pending.req.units
        if self.spare(now, pending) + acct.lease < 0:
            return False
        left = acct.allowance(now, self.counter.fails > 0) - acct.uncharged
        if acct.lease >= units:
            acct.lease -= units
        # What is less than a request is rounded at random, once a window: over all gateways it comes out.
        elif acct.room(now) >= units and left >= units * (1 - acct.rounding):
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
        acct, room = pending.acct, pending.acct.room(now)
        if self.take_units(now, pending):
            return
        if now < acct.full_until or self.spare(now, pending) < 0:
            wait = (pending.req.units - room) / acct.plan.rate
            self.beyond(now, pending, RefusalReason.QUOTA, wait)
        elif ask and self.counter.usable(now):
            acct.waiting.append(pending.req.id)
            self.check_at(now + 2 * self.counter.timeout + TICK, pending)
        else:
            self.unasked(now, pending)

    def unasked(self, now: float, pending: PendingRequest) -> None:
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
            self.beyond(now, pending, RefusalReason.QUOTA_UNKNOWN)

    def risked(self, now: float, loss: float) -> bool:
        """Whether a try may pass unasked, which loses `loss` in the mean. What all such tries lose is bounded
        by the part of calls that is turned away: 7.5 in 100 of what passes where that is a fifth. A counter
        that is slow or silent is so for a while; one that turns calls away bears fewer than there are."""
        fade = math.exp((self.faded_at - now) / USE_SPAN)
        self.inside, self.risk, self.faded_at = self.inside * fade, self.risk * fade + loss, now
        return self.rng.random() * self.risk * self.counter.turned <= UNASKED_LOSS * self.inside

    def renew(self, now: float, acct: Account, factor: float = 1.0) -> None:
        if acct.call is not None or not self.counter.usable(now):
            return
        need = sum(self.requests[i].req.units for i in acct.waiting if i in self.requests)
        w, room = acct.block(self.counter.price + CROWD * self.counter.slow**2), acct.room(now)
        more = acct.lease < w / 2 and room > w * acct.spread and now >= acct.full_until
        due = acct.uncharged > max(1.0, CHARGE_AT * acct.allowance(now, False))
        if not (need or due or (acct.put and more)):
            return
        ask = max(need, w) - acct.lease if need else w * more
        ask = max(0, int(min(math.ceil(ask), max(room, 0.0))))
        if ask + acct.uncharged <= 0:
            self.settle_waiting(now, acct)
            return
        extra = need * (factor - 1)
        call = acct.call = Call(acct, "units", acct.k, acct.uncharged, ask, extra, acct.spare)
        acct.total += acct.uncharged
        acct.uncharged = acct.spare = 0.0
        self.count(stable_hash(acct.name, acct.k), call.amount, 3 * acct.length, call)

    def count(self, name: int, amount: float, life: float, call: Call) -> None:
        self.calls.setdefault(name, []).append(call)
        self.out.append(api.Count(name, amount, min(60.0, max(life, 1.0))))

    def counted(self, now: float, event: api.Counted) -> None:
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
                self.granted(now, acct, event.total, call)
            elif call.window == acct.k and event.result == "spoilt":
                acct.put += call.amount  # surely added: what was asked for is used up by the next call
                acct.spare += call.ask
            elif call.window == acct.k and event.result != "timeout":
                acct.uncharged += call.charge  # surely not added: the charge is still owed
                acct.total -= call.charge
                acct.spare += call.spare
            elif call.window == acct.k:
                acct.unsure += call.amount
            self.settle_waiting(now, acct, event.result != "full")
        elif call.kind == "slot":
            self.slot_counted(now, event, call)
        elif call.window == acct.k and event.result not in ("ok", "spoilt"):
            acct.put -= call.amount  # else what never came into the count would be taken for lost from it
            acct.unsure += call.amount * (event.result == "timeout")

    def granted(self, now: float, acct: Account, total: float, call: Call) -> None:
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
            self.count(stable_hash(acct.name, acct.k), extra, 3 * acct.length, call)

    def settle_waiting(self, now: float, acct: Account, again: bool = True) -> None:
        waiting, acct.waiting = acct.waiting, []
        pending_requests = [self.requests[i] for i in waiting if i in self.requests]
        for pending in sorted(pending_requests, key=lambda j: -j.worth / max(j.req.units, 1e-9)):
            if acct.room(now) + acct.lease < pending.req.units:
                wait = max(0.0, 1 - acct.room(now)) / acct.plan.rate
                crowd = self.counter.slow > CROWDED  # the others wait for the same unit: no call for long
                acct.full_until = now + wait * (acct.spread if crowd else 1)
            self.decide(now, pending, again and not self.counter.fails)
        if acct.waiting:
            self.renew(now, acct)

    def want_slot(self, now: float, pending: PendingRequest, ask: bool = True) -> None:
        """Own even part of the open limit; the rest is shared by a count, asked for what that changes, or
        judged by Little's law from the customer's rate, which its units bound, and the time of answers."""
        acct, plan = pending.acct, pending.plan
        own, shared = divmod(plan.open_limit, acct.spread)
        rate = max(acct.total, acct.used) / max(now - acct.start, acct.length / 4)
        mean = min(rate, plan.rate or rate) / max(pending.req.units, 1e-9) * self.fleet.mean[pending.cls.name]
        over = 1 - sum(mean**n * math.exp(-mean) / math.factorial(n) for n in range(plan.open_limit))
        cost = max(0.0, plan.over_cost - plan.over_worth)
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
        elif plan.open_limit and (plan.open_limit >= acct.spread or over * cost >= 1 - over):
            self.beyond(now, pending, RefusalReason.OPEN_LIMIT)
            return
        self.enqueue(now, pending)

    def count_open(
        self, acct: Account, epoch: int, amount: int, pending: PendingRequest | None = None
    ) -> None:
        call = Call(acct, "slot" if pending else "void", epoch, pending=pending)
        self.count(stable_hash("open", acct.name, epoch), amount, 2 * OPEN_EPOCH, call)

    def slot_counted(self, now: float, event: api.Counted, call: Call) -> None:
        pending, acct, ok = call.pending, call.acct, event.result == "ok"
        if ok and (pending.done or event.total > acct.plan.open_limit % acct.spread):
            self.count_open(acct, call.window, -1)
        if ok and not pending.done and event.total > acct.plan.open_limit % acct.spread:
            self.beyond(now, pending, RefusalReason.OPEN_LIMIT)
        elif not pending.done:
            pending.slot = call.window if ok else 0
            self.enqueue(now, pending) if ok else self.want_slot(now, pending, False)

    def beyond(self, now: float, pending: PendingRequest, reason: RefusalReason, wait: float = 0.0) -> None:
        clear = self.fleet.mean_held() < ROOM_CLEAR * LIMIT_MOST and not self.queue
        if pending.plan.over_worth > pending.plan.over_cost and clear:
            pending.beyond = True
            self.enqueue(now, pending)
        else:
            self.refuse(now, pending, reason, wait)

    def enqueue(self, now: float, pending: PendingRequest) -> None:
        acct, units = pending.acct, pending.req.units
        if acct.ceiling_room(now) < units:
            self.refuse(now, pending, RefusalReason.CEILING)
            return
        acct.cap -= units  # spent before sending
        self.line_up(pending)
        most = max(QUEUE_LEAST, self.fleet.own_rate(now) * QUEUE_HOLD * pending.cls.aim)
        self.queue = [j for j in self.queue if not j.done] if len(self.queue) > most else self.queue
        # What waits for this machine waits for a moment only: that is no overload.
        if len(self.queue) > most and now >= self.fleet.hindered_until:
            self.refuse(now, self.queue.pop(0), RefusalReason.QUEUE_FULL)
        self.drain_queue(now)
        if pending.stage == "queue" and not pending.done:
            self.check_at(pending.arrived + self.hold(pending), pending)

    def line_up(self, pending: PendingRequest) -> None:
        pending.stage = "queue"
        bisect.insort(self.queue, pending, key=lambda j: (not j.beyond, j.value))

    def hold(self, pending: PendingRequest) -> float:
        """How long after its arrival a request may wait for a server: while it can still be sent with use,
        and its refusal comes in the first half of its time. Of those not sent yet, there are many."""
        useful = max(0.0, pending.cls.aim - self.fleet.mean[pending.cls.name])
        share = 1.0 if pending.sends else QUEUE_HOLD
        return min(useful, (pending.deadline - pending.arrived) / 2, pending.cls.aim * share)

    def refuse(self, now: float, pending: PendingRequest, reason: RefusalReason, wait: float = 0.0) -> None:
        ran = pending.cls.effect != "safe" and (pending.cls.effect, pending.cls.scope) != ("keyed", "all")
        if not (ran and (pending.ran or pending.live)):
            most = self.set.limits.max_retry_after if self.set.limits.retry_after else 0.0
            self.out.append(api.Refuse(pending.req.id, min(max(wait, 0.0), most), reason.value))
        else:
            self.out.append(api.Fail(pending.req.id, reason.value))
        self.close(now, pending)

    def close(self, now: float, pending: PendingRequest) -> None:
        pending.done = True
        self.requests.pop(pending.req.id, None)
        self.out += [api.Cancel(pending.req.id, number) for number in pending.live if self.set.limits.cancel]
        if pending.slot > 0:
            self.count_open(pending.acct, pending.slot, -1)
        pending.acct.open_here -= pending.slot < 0

    def fits(self, pending: PendingRequest, s: Server, now: float) -> bool:
        unproven = pending.ran + list(pending.live.values())
        if s.host.id in pending.avoid or not unproven or pending.cls.effect == "safe":
            return s.host.id not in pending.avoid
        if pending.cls.effect == "unsafe" or now >= self.repeat_until(pending):
            return False
        known, scope = [self.fleet.host(h) for h, _ in unproven], pending.cls.scope
        if None in known:
            return False
        if scope == "all":
            return True
        place = (lambda h: h.zone) if scope == "zone" else (lambda h: h.cell)
        return all(place(h) == place(s.host) for h in known)

    def repeat_until(self, pending: PendingRequest) -> float:
        """Until when a further attempt may be written; no bound where none before may have run."""
        unproven = pending.ran + list(pending.live.values())
        if pending.cls.effect == "safe" or not unproven:
            return math.inf
        return repeat_until(min(sent for _, sent in unproven), pending.cls.memory)

    def admits_late(self, now: float, id: str, number: int, server: str) -> bool:
        """Whether an attempt at a cold server, whose connection came up late, may still be written."""
        pending, s = self.requests.get(id), self.fleet.servers.get(server)
        if pending is None or s is None:
            return False
        return self.fleet.admits_late(s, (id, number), now, pending.charge)

    def choose(self, now: float, pending: PendingRequest) -> Server | None:
        if not pending.avoid:
            return self.fleet.pick(now, pending.keys, None, pending.charge)
        mates = self.cell_mates(pending)
        if mates is not None:
            fit = [s for s in mates if self.fits(pending, s, now)]
            return self.fleet.best(now, pending.keys, fit, pending.charge)
        return self.fleet.pick(now, pending.keys, lambda s: self.fits(pending, s, now), pending.charge)

    def cell_mates(self, pending: PendingRequest) -> list[Server] | None:
        """The servers of the cell that another attempt is bound to, where not all are in view; else None."""
        tried = [name for name, _ in [*pending.ran, *pending.live.values()]]
        bound = (pending.cls.effect, pending.cls.scope) == ("keyed", "cell") and self.fleet.members.limited
        host = self.fleet.host(tried[0]) if bound and tried else None
        return self.fleet.cell_mates(host.cell) if host is not None else None

    def send(self, now: float, pending: PendingRequest) -> bool:
        if pending.begun >= self.set.limits.max_attempts or pending.streaming:
            return False
        s = self.choose(now, pending) if self.set.limits.second_copies or not pending.live else None
        if s is None:
            return False
        cold = s.admission is not None and s.warmth(now, self.set.rules) < 1.0
        self.out.append(api.Send(pending.req.id, s.host.id, 0, self.repeat_until(pending), cold))
        pending.live[pending.sends] = (s.host.id, now)
        self.fleet.sent(s, (pending.req.id, pending.sends), now, pending.charge)
        pending.sends += 1
        pending.avoid.add(s.host.id)
        pending.stage = "sent"
        self.check_at(now + self.fleet.patience(pending.cls.name), pending)
        return True

    def drain_queue(self, now: float) -> None:
        # Classes that no server has room for, by whether a cold one's place holds their work; what was tried
        # before has fewer left.
        stuck: set[tuple[str, bool]] = set()
        for pending in self.queue[::-1] if self.queue and self.fleet.room(now) else ():
            first = not pending.sends
            if not pending.done:
                kind = (pending.cls.name, pending.charge > 1.0)
                if kind in stuck or not self.send(now, pending):
                    stuck.update([kind] * first)
                    continue
                if first:
                    clear = self.fleet.mean_held() < ROOM_CLEAR * LIMIT_MOST
                    share = RETRY_SPARE if clear else RETRY_SHARE
                    self.budget = min(max(2.0, RETRY_MOST / self.set.gateways), self.budget + share)
            self.queue.remove(pending)
        if self.queue and self.trial_at <= now:  # no other event may come when a host's rest is over
            trials = [at for s in self.fleet.up for _, at in s.rests.values() if at > now]
            trials += [self.fleet.hindered_until] * (self.fleet.hindered_until > now)
            self.trial_at = min(trials, default=0.0)

    def outcome(self, now: float, event: api.Outcome) -> None:
        pending = self.requests.get(event.id)
        cls, keys = (pending.cls, pending.keys) if pending else (None, ("host",))
        self.fleet.answered(now, event, cls, keys)
        if pending is None:
            return
        sent = pending.live.pop(event.attempt, None)
        if event.actual and self.set.settles and pending.plan.rate and not pending.beyond:
            pending.acct.uncharged += event.actual - pending.req.units
        if event.final:
            self.close(now, pending)
            return
        if event.result in ("error", "timeout", "reset", "cancelled") and sent is not None:
            pending.ran.append(sent)
        if event.result in api.NEVER_BEGAN:
            pending.unsent += 1
            pending.avoid.discard(event.host)
        if event.result == "unsent":
            self.fleet.hindered(now)
        if pending.live:
            return
        free = event.result == "connect_failed" or event.result in api.NEVER_BEGAN
        cost = 0.0 if free else RETRY_FULL if event.result == "full" else 1.0
        late = now + max(TICK, self.fleet.mean[pending.cls.name]) > pending.deadline or event.result == "moot"
        if late:
            self.refuse(now, pending, RefusalReason.DEADLINE_NEAR)
        elif self.budget < cost:
            self.refuse(now, pending, RefusalReason.RETRIES_SPENT)
        elif self.send(now, pending):
            self.budget -= cost
        elif (free or event.result in ("full", "reset")) and self.may_wait(now, pending):
            # All that it may go to are busy, which is no reason to give up what was turned away or lost. What
            # was silent or erred has had its time at a host, and in overload would take that of others.
            self.budget -= cost
            self.line_up(pending)
            self.check_at(pending.arrived + self.hold(pending), pending)
        else:
            self.refuse(now, pending, RefusalReason.NO_SERVER)

    def may_wait(self, now: float, pending: PendingRequest) -> bool:
        more = not pending.streaming and pending.begun < self.set.limits.max_attempts
        more = more and now < pending.arrived + self.hold(pending)
        mates = self.cell_mates(pending) if more else None
        servers = self.fleet.up if mates is None else mates
        return more and any(self.fits(pending, s, now) for s in servers)

    def check_at(self, at: float, pending: PendingRequest) -> None:
        heapq.heappush(self.checks, (min(at, pending.deadline - 2 * TICK), pending.req.id))

    def tick(self, now: float) -> None:
        if now >= self.timer_at - 1e-6:
            self.timer_at = math.inf
        if now >= self.watch_at:
            self.watch_at = math.inf
            self.out.append(api.Watch(True))
        while self.checks and self.checks[0][0] <= now + 1e-6:
            name = heapq.heappop(self.checks)[1]
            if name in self.requests:
                self.check(now, self.requests[name])

    def check(self, now: float, pending: PendingRequest) -> None:
        ending = now >= pending.deadline - 2 * TICK - 1e-6
        most = {"units": 2 * self.counter.timeout, "queue": self.hold(pending)}.get(pending.stage, math.inf)
        if pending.stage != "sent" and (ending or now - pending.arrived >= most - 1e-6):
            self.refuse(now, pending, RefusalReason.WAITED)
        elif pending.stage == "sent" and not ending and not pending.streaming:
            self.late(now, pending)

    def late(self, now: float, pending: PendingRequest) -> None:
        """An attempt long without answer: evidence against its host, and reason for another one, whatever the
        cause. Harm: work done twice where an answer was only slow, so it draws on the budget for retries."""
        patience = self.fleet.patience(pending.cls.name) - TICK
        late = [n for n, (_, sent) in pending.live.items() if now - sent >= patience]
        for number in set(late) - pending.late:
            out = self.fleet.servers[pending.live[number][0]].out  # a silent one holds no other's place
            self.fleet.out -= out.pop((pending.req.id, number), None) is not None
            self.fleet.detector.note(pending.live[number][0], pending.keys, True, now)
        pending.late.update(late)
        self.check_at(now + max(2 * TICK, self.fleet.dev[pending.cls.name]), pending)
        if not late or len(pending.live) > 1 or pending.cls.effect == "unsafe" or self.budget < 1.0:
            return
        if self.set.limits.second_copies:
            self.budget -= self.send(now, pending)
        elif (
            self.set.limits.cancel
            and pending.begun < self.set.limits.max_attempts
            and self.choose(now, pending)
        ):
            self.out.append(api.Cancel(pending.req.id, late[0]))  # its outcome starts the next attempt
