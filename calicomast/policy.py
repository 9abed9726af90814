"""The decisions of calicomast. Types, events and actions: interface.py in this folder.

GatewayPolicy(settings, seed, now).handle(now, event) -> actions. No clock, no I/O. What a gateway may do by
itself is its part of an amount for all; what is less than one is kept as credit or drawn as a chance.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random

from calicomast import interface as api
from calicomast.admission import charge
from calicomast.leases import LeasePolicy
from calicomast.pending import PendingRequest
from calicomast.quota import EWMA_WEIGHT, CounterCall, CounterMonitor, GrantStatistics, TenantQuota
from calicomast.rules import RefusalReason, repeat_until
from calicomast.servers import LIMIT_MOST, PRESS_SPAN, PRESSED, ROOM_CLEAR, SERVICE_LEAST, TICK, Fleet, Server

LEAST_UNITS = 1e-9  # of a request; below it the mean says nothing
GRANT_PRIOR = (0.7, 0.6, 0.4, 0.2, 0.1)  # share of tries granted at each level of demand, before any was
QUEUE_HOLD, QUEUE_LEAST = 0.5, 4  # share of the aim spent waiting for a server; requests that always may
IDLE_MOST = 30.0  # s; least life of an idle account
FREED_AT_ONCE = 4  # idle accounts looked at with each request: more than come, so that they never pile up
SHED_FAST, SHED_BACK, SHED_LEAST = 0.7, 0.15, 0.05  # 1/s down, 1/s up, least part that still passes
RETRY_SHARE, RETRY_SPARE, RETRY_FULL = 0.1, 0.3, 0.2  # per first send; with room; price of one after `full`
RETRY_START, RETRY_MOST = 15.0, 30.0  # retries over all gateways at the start; that may be saved up


class GatewayPolicy(LeasePolicy):
    """All decisions of one gateway."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.settings, self.born, self.rng = settings, now, random.Random(seed)
        self.fleet, self.counter = Fleet(settings, self.rng), CounterMonitor(settings)
        self.grant_statistics = {
            (p, level): GrantStatistics(now, share)
            for p in self.settings.plans
            for level, share in enumerate(GRANT_PRIOR)
        }
        self.tenant_quotas: dict[str, TenantQuota] = {}  # in order of their last request
        self.requests, self.queue = dict[str, PendingRequest](), list[PendingRequest]()
        self.outstanding_calls: dict[int, list[CounterCall]] = {}  # by count name, in order of the calls
        self.units = 0.0  # running mean of a request's
        self.retry_budget = RETRY_START / settings.gateways
        self.max_class_value = max(c.worth for c in settings.classes.values())
        self.checks: list[tuple[float, str]] = []  # when which request is to be looked at
        self.timer_at = self.watch_at = math.inf
        self.trial_at = 0.0  # when the queue is looked at for a host's next trial
        self.pass_share, self.pass_at, self.mean_value = 1.0, now, 0.0  # worth: running mean of a request's
        self.ranks: list[float] = []  # values of the latest requests
        self.value_within_quota = self.value_at_risk = (
            0.0  # worth passed inside quotas; what would be lost if all unasked passed
        )
        self.decayed_at = now
        self.actions: list[api.Action] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        self.actions = []
        self.fleet.now = now
        self.fleet.proceed()
        match event:
            case api.Request():
                self.on_request(now, event)
            case api.Outcome():
                self.on_outcome(now, event)
            case api.Counted():
                self.on_counted(now, event)
            case api.Timer():
                self.tick(now)
            case api.HostList():
                self.fleet.listed(now, event)
                if event.mode == "failed":
                    self.watch_at = now + 1.0
                elif event.mode == "cached" and self.settings.discovery == "ask":
                    self.actions.append(api.Watch(True))
            case api.Began() if event.id in self.requests:
                self.requests[event.id].streaming = True
            case api.Gone() if event.id in self.requests:
                self.finish(now, self.requests[event.id])
        self.drain_queue(now)
        while self.checks and self.checks[0][1] not in self.requests:
            heapq.heappop(self.checks)
        trial = self.trial_at if self.queue and self.trial_at > now else math.inf
        scan = now + TICK if self.fleet.members.unfinished else math.inf
        at = min(self.checks[0][0] if self.checks else math.inf, self.watch_at, trial, scan)
        if at < self.timer_at:  # what is due next; nothing when idle
            self.timer_at = at
            self.actions.append(api.SetTimer(max(0.0, at - now), 0))
        return self.actions

    def on_request(self, now: float, req: api.Request) -> None:
        cls, plan = self.settings.classes[req.cls], self.settings.plans[req.plan]
        tenant = self.tenant_quotas.pop(req.customer, None)
        if tenant is None:
            tenant = TenantQuota(req, plan, self.born, now, self.rng)
        self.tenant_quotas[req.customer], tenant.last_request_at = tenant, now
        self.free_accounts(now)
        worth = cls.worth * plan.price * req.units
        self.mean_value += (EWMA_WEIGHT if self.mean_value else 1.0) * (worth - self.mean_value)
        value = worth / max(self.fleet.mean[cls.name], 1e-6)
        keys = ("host", "class " + cls.name, "plan " + plan.name)
        pending = PendingRequest(req, cls, plan, tenant, now, now + req.left, worth, value, keys)
        self.requests[req.id] = pending
        pending.slow_start_charge = charge(self.work(pending), self.rng.random())
        if req.left < 2 * TICK:  # no check would come round in time
            self.refuse(now, pending, RefusalReason.DEADLINE_NEAR)
        elif self.shed(now, pending):
            self.refuse(now, pending, RefusalReason.LOAD_SHED)
        elif tenant.available_ceiling_units(now) < req.units:
            wait = (req.units - tenant.ceiling_units) * tenant.spread / plan.ceiling_rate
            self.refuse(now, pending, RefusalReason.CEILING, wait)
        elif plan.rate:
            self.request_units(now, pending)
        else:
            self.take_slot(now, pending)

    def work(self, pending: PendingRequest) -> float:
        """What a request is expected to take, over the mean: units tell it where requests differ in them."""
        units = pending.req.units
        self.units += (EWMA_WEIGHT if self.units else 1.0) * (units - self.units)
        if self.settings.most_units > 1:
            return units / max(self.units, LEAST_UNITS)
        return self.fleet.mean[pending.service_class.name] / max(self.fleet.service, SERVICE_LEAST)

    def free_accounts(self, now: float) -> None:
        """Many customers come only once. Past its windows an account tells no more than a new one would."""
        for oldest in list(itertools.islice(self.tenant_quotas.values(), FREED_AT_ONCE)):
            if now - oldest.last_request_at <= max(IDLE_MOST, 3 * oldest.window_length):
                return
            del self.tenant_quotas[oldest.name]
            if (
                oldest.outstanding_call or oldest.own_slots_in_use or oldest.waiting
            ):  # a busy one holds up none behind it
                self.tenant_quotas[oldest.name], oldest.last_request_at = oldest, now

    def shed(self, now: float, pending: PendingRequest) -> bool:
        """While answers come from servers that hold too much, what is worth least a unit of work is refused,
        whatever the cause: one gateway of many has too few out for a limit of its own to relieve them."""
        ranks = self.ranks = [*self.ranks[-63:], pending.value_per_work]
        step, fleet, self.pass_at = now - self.pass_at, self.fleet, now
        if fleet.pressure * math.exp(min(0.0, (fleet.answer_at + 1 - now) / PRESS_SPAN)) > PRESSED:
            self.pass_share = max(SHED_LEAST, self.pass_share * math.exp(-SHED_FAST * min(step, 1.0)))
        else:
            self.pass_share = min(1.0, self.pass_share + SHED_BACK * step)
        luck, most = (
            self.rng.random(),
            (1 - self.pass_share) * len(ranks) * (self.settings.gateways > LIMIT_MOST),
        )
        return (
            most > 0
            and luck * ranks.count(pending.value_per_work) + sum(v < pending.value_per_work for v in ranks)
            < most
        )

    def handle_over_quota(
        self, now: float, pending: PendingRequest, reason: RefusalReason, wait: float = 0.0
    ) -> None:
        clear = self.fleet.mean_held() < ROOM_CLEAR * LIMIT_MOST and not self.queue
        if pending.plan.over_worth > pending.plan.over_cost and clear:
            pending.over_quota = True
            self.enqueue(now, pending)
        else:
            self.refuse(now, pending, reason, wait)

    def enqueue(self, now: float, pending: PendingRequest) -> None:
        tenant, units = pending.tenant, pending.req.units
        if tenant.available_ceiling_units(now) < units:
            self.refuse(now, pending, RefusalReason.CEILING)
            return
        tenant.ceiling_units -= units  # spent before sending
        self.line_up(pending)
        most = max(QUEUE_LEAST, self.fleet.own_rate(now) * QUEUE_HOLD * pending.service_class.aim)
        self.queue = [j for j in self.queue if not j.finished] if len(self.queue) > most else self.queue
        # What waits for this machine waits for a moment only: that is no overload.
        if len(self.queue) > most and now >= self.fleet.hindered_until:
            self.refuse(now, self.queue.pop(0), RefusalReason.QUEUE_FULL)
        self.drain_queue(now)
        if pending.stage == "queue" and not pending.finished:
            self.schedule_check(pending.arrived_at + self.hold(pending), pending)

    def line_up(self, pending: PendingRequest) -> None:
        pending.stage = "queue"
        bisect.insort(self.queue, pending, key=lambda j: (not j.over_quota, j.value_per_work))

    def hold(self, pending: PendingRequest) -> float:
        """How long after its arrival a request may wait for a server: while it can still be sent with use,
        and its refusal comes in the first half of its time. Of those not sent yet, there are many."""
        useful = max(0.0, pending.service_class.aim - self.fleet.mean[pending.service_class.name])
        share = 1.0 if pending.attempts_sent else QUEUE_HOLD
        return min(useful, (pending.deadline - pending.arrived_at) / 2, pending.service_class.aim * share)

    def refuse(self, now: float, pending: PendingRequest, reason: RefusalReason, wait: float = 0.0) -> None:
        ran = pending.service_class.effect != "safe" and (
            pending.service_class.effect,
            pending.service_class.scope,
        ) != ("keyed", "all")
        if not (ran and (pending.may_have_run or pending.live_attempts)):
            most = self.settings.limits.max_retry_after if self.settings.limits.retry_after else 0.0
            self.actions.append(api.Refuse(pending.req.id, min(max(wait, 0.0), most), reason.value))
        else:
            self.actions.append(api.Fail(pending.req.id, reason.value))
        self.finish(now, pending)

    def finish(self, now: float, pending: PendingRequest) -> None:
        pending.finished = True
        self.requests.pop(pending.req.id, None)
        self.actions += [
            api.Cancel(pending.req.id, number)
            for number in pending.live_attempts
            if self.settings.limits.cancel
        ]
        if pending.held_slot > 0:
            self.count_open_request(pending.tenant, pending.held_slot, -1)
        pending.tenant.own_slots_in_use -= pending.held_slot < 0

    def is_eligible(self, pending: PendingRequest, s: Server, now: float) -> bool:
        unproven = pending.may_have_run + list(pending.live_attempts.values())
        if s.host.id in pending.excluded_servers or not unproven or pending.service_class.effect == "safe":
            return s.host.id not in pending.excluded_servers
        if pending.service_class.effect == "unsafe" or now >= self.retry_deadline(pending):
            return False
        known, scope = [self.fleet.host(h) for h, _ in unproven], pending.service_class.scope
        if None in known:
            return False
        if scope == "all":
            return True
        place = (lambda h: h.zone) if scope == "zone" else (lambda h: h.cell)
        return all(place(h) == place(s.host) for h in known)

    def retry_deadline(self, pending: PendingRequest) -> float:
        """Until when a further attempt may be written; no bound where none before may have run."""
        unproven = pending.may_have_run + list(pending.live_attempts.values())
        if pending.service_class.effect == "safe" or not unproven:
            return math.inf
        return repeat_until(min(sent for _, sent in unproven), pending.service_class.memory)

    def admits_delayed_attempt(self, now: float, id: str, number: int, server: str) -> bool:
        """Whether an attempt at a cold server, whose connection came up late, may still be written."""
        pending, s = self.requests.get(id), self.fleet.servers.get(server)
        if pending is None or s is None:
            return False
        return self.fleet.admits_late(s, (id, number), now, pending.slow_start_charge)

    def choose(self, now: float, pending: PendingRequest) -> Server | None:
        if not pending.excluded_servers:
            return self.fleet.pick(now, pending.failure_keys, None, pending.slow_start_charge)
        mates = self.cell_mates(pending)
        if mates is not None:
            fit = [s for s in mates if self.is_eligible(pending, s, now)]
            return self.fleet.best(now, pending.failure_keys, fit, pending.slow_start_charge)
        return self.fleet.pick(
            now, pending.failure_keys, lambda s: self.is_eligible(pending, s, now), pending.slow_start_charge
        )

    def cell_mates(self, pending: PendingRequest) -> list[Server] | None:
        """The servers of the cell that another attempt is bound to, where not all are in view; else None."""
        tried = [name for name, _ in [*pending.may_have_run, *pending.live_attempts.values()]]
        bound = (pending.service_class.effect, pending.service_class.scope) == (
            "keyed",
            "cell",
        ) and self.fleet.members.limited
        host = self.fleet.host(tried[0]) if bound and tried else None
        return self.fleet.cell_mates(host.cell) if host is not None else None

    def send_attempt(self, now: float, pending: PendingRequest) -> bool:
        if pending.attempts_begun >= self.settings.limits.max_attempts or pending.streaming:
            return False
        s = (
            self.choose(now, pending)
            if self.settings.limits.second_copies or not pending.live_attempts
            else None
        )
        if s is None:
            return False
        cold = s.admission is not None and s.warmth(now, self.settings.rules) < 1.0
        self.actions.append(api.Send(pending.req.id, s.host.id, 0, self.retry_deadline(pending), cold))
        pending.live_attempts[pending.attempts_sent] = (s.host.id, now)
        self.fleet.sent(s, (pending.req.id, pending.attempts_sent), now, pending.slow_start_charge)
        pending.attempts_sent += 1
        pending.excluded_servers.add(s.host.id)
        pending.stage = "sent"
        self.schedule_check(now + self.fleet.patience(pending.service_class.name), pending)
        return True

    def drain_queue(self, now: float) -> None:
        # Classes that no server has room for, by whether a cold one's place holds their work; what was tried
        # before has fewer left.
        stuck: set[tuple[str, bool]] = set()
        for pending in self.queue[::-1] if self.queue and self.fleet.room(now) else ():
            first = not pending.attempts_sent
            if not pending.finished:
                kind = (pending.service_class.name, pending.slow_start_charge > 1.0)
                if kind in stuck or not self.send_attempt(now, pending):
                    stuck.update([kind] * first)
                    continue
                if first:
                    clear = self.fleet.mean_held() < ROOM_CLEAR * LIMIT_MOST
                    share = RETRY_SPARE if clear else RETRY_SHARE
                    self.retry_budget = min(
                        max(2.0, RETRY_MOST / self.settings.gateways), self.retry_budget + share
                    )
            self.queue.remove(pending)
        if self.queue and self.trial_at <= now:  # no other event may come when a host's rest is over
            trials = [at for s in self.fleet.up for _, at in s.rests.values() if at > now]
            trials += [self.fleet.hindered_until] * (self.fleet.hindered_until > now)
            self.trial_at = min(trials, default=0.0)

    def on_outcome(self, now: float, event: api.Outcome) -> None:
        pending = self.requests.get(event.id)
        cls, keys = (pending.service_class, pending.failure_keys) if pending else (None, ("host",))
        self.fleet.answered(now, event, cls, keys)
        if pending is None:
            return
        sent = pending.live_attempts.pop(event.attempt, None)
        if event.actual and self.settings.settles and pending.plan.rate and not pending.over_quota:
            pending.tenant.uncharged += event.actual - pending.req.units
        if event.final:
            self.finish(now, pending)
            return
        if event.result in ("error", "timeout", "reset", "cancelled") and sent is not None:
            pending.may_have_run.append(sent)
        if event.result in api.NEVER_BEGAN:
            pending.attempts_not_begun += 1
            pending.excluded_servers.discard(event.host)
        if event.result == "unsent":
            self.fleet.hindered(now)
        if pending.live_attempts:
            return
        free = event.result == "connect_failed" or event.result in api.NEVER_BEGAN
        cost = 0.0 if free else RETRY_FULL if event.result == "full" else 1.0
        late = (
            now + max(TICK, self.fleet.mean[pending.service_class.name]) > pending.deadline
            or event.result == "moot"
        )
        if late:
            self.refuse(now, pending, RefusalReason.DEADLINE_NEAR)
        elif self.retry_budget < cost:
            self.refuse(now, pending, RefusalReason.RETRIES_SPENT)
        elif self.send_attempt(now, pending):
            self.retry_budget -= cost
        elif (free or event.result in ("full", "reset")) and self.may_wait(now, pending):
            # All that it may go to are busy, which is no reason to give up what was turned away or lost. What
            # was silent or erred has had its time at a host, and in overload would take that of others.
            self.retry_budget -= cost
            self.line_up(pending)
            self.schedule_check(pending.arrived_at + self.hold(pending), pending)
        else:
            self.refuse(now, pending, RefusalReason.NO_SERVER)

    def may_wait(self, now: float, pending: PendingRequest) -> bool:
        more = not pending.streaming and pending.attempts_begun < self.settings.limits.max_attempts
        more = more and now < pending.arrived_at + self.hold(pending)
        mates = self.cell_mates(pending) if more else None
        servers = self.fleet.up if mates is None else mates
        return more and any(self.is_eligible(pending, s, now) for s in servers)

    def schedule_check(self, at: float, pending: PendingRequest) -> None:
        heapq.heappush(self.checks, (min(at, pending.deadline - 2 * TICK), pending.req.id))

    def tick(self, now: float) -> None:
        if now >= self.timer_at - 1e-6:
            self.timer_at = math.inf
        if now >= self.watch_at:
            self.watch_at = math.inf
            self.actions.append(api.Watch(True))
        while self.checks and self.checks[0][0] <= now + 1e-6:
            name = heapq.heappop(self.checks)[1]
            if name in self.requests:
                self.check_request(now, self.requests[name])

    def check_request(self, now: float, pending: PendingRequest) -> None:
        ending = now >= pending.deadline - 2 * TICK - 1e-6
        most = {"units": 2 * self.counter.timeout, "queue": self.hold(pending)}.get(pending.stage, math.inf)
        if pending.stage != "sent" and (ending or now - pending.arrived_at >= most - 1e-6):
            self.refuse(now, pending, RefusalReason.WAITED)
        elif pending.stage == "sent" and not ending and not pending.streaming:
            self.handle_late_attempts(now, pending)

    def handle_late_attempts(self, now: float, pending: PendingRequest) -> None:
        """An attempt long without answer: evidence against its host, and reason for another one, whatever the
        cause. Harm: work done twice where an answer was only slow, so it draws on the budget for retries."""
        patience = self.fleet.patience(pending.service_class.name) - TICK
        late = [n for n, (_, sent) in pending.live_attempts.items() if now - sent >= patience]
        for number in set(late) - pending.late_attempts:
            out = self.fleet.servers[
                pending.live_attempts[number][0]
            ].out  # a silent one holds no other's place
            self.fleet.out -= out.pop((pending.req.id, number), None) is not None
            self.fleet.detector.note(pending.live_attempts[number][0], pending.failure_keys, True, now)
        pending.late_attempts.update(late)
        self.schedule_check(now + max(2 * TICK, self.fleet.dev[pending.service_class.name]), pending)
        if (
            not late
            or len(pending.live_attempts) > 1
            or pending.service_class.effect == "unsafe"
            or self.retry_budget < 1.0
        ):
            return
        if self.settings.limits.second_copies:
            self.retry_budget -= self.send_attempt(now, pending)
        elif (
            self.settings.limits.cancel
            and pending.attempts_begun < self.settings.limits.max_attempts
            and self.choose(now, pending)
        ):
            self.actions.append(api.Cancel(pending.req.id, late[0]))  # its outcome starts the next attempt
