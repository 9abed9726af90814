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
from calicomast.leases import LeaseDecisions
from calicomast.pending import PendingRequest
from calicomast.quota import EWMA_WEIGHT, Call, Counter, PlanUse, TenantQuota
from calicomast.rules import RefusalReason, retry_deadline
from calicomast.servers import (
    CONGESTION_TIME_CONSTANT,
    MAX_ATTEMPTS_PER_SERVER,
    MIN_SERVICE_TIME,
    SHEDDING_THRESHOLD,
    SPARE_CAPACITY_SHARE,
    TICK,
    LoadBalancer,
    ServerState,
)
from calicomast.slow_start import slow_start_charge

LEAST_UNITS = 1e-9  # of a request; below it the mean says nothing
GRANT_PRIOR = (0.7, 0.6, 0.4, 0.2, 0.1)  # share of tries granted at each level of demand, before any was
QUEUE_HOLD, QUEUE_LEAST = 0.5, 4  # share of the aim spent waiting for a server; requests that always may
IDLE_MOST = 30.0  # s; least life of an idle account
FREED_AT_ONCE = 4  # idle accounts looked at with each request: more than come, so that they never pile up
SHED_FAST, SHED_BACK, SHED_LEAST = 0.7, 0.15, 0.05  # 1/s down, 1/s up, least part that still passes
RETRY_SHARE, RETRY_SPARE, RETRY_FULL = 0.1, 0.3, 0.2  # per first send; with room; price of one after `full`
RETRY_START, RETRY_MOST = 15.0, 30.0  # retries over all gateways at the start; that may be saved up


class GatewayPolicy(LeaseDecisions):
    """All decisions of one gateway."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        self.set, self.born, self.rng = settings, now, random.Random(seed)
        self.balancer, self.counter = LoadBalancer(settings, self.rng), Counter(settings)
        self.uses = {
            (p, level): PlanUse(now, share) for p in self.set.plans for level, share in enumerate(GRANT_PRIOR)
        }
        self.tenant_quotas: dict[str, TenantQuota] = {}  # in order of their last request
        self.requests, self.queue = dict[str, PendingRequest](), list[PendingRequest]()
        self.calls: dict[int, list[Call]] = {}  # by count name, in order of the calls
        self.units = 0.0  # running mean of a request's
        self.retry_budget = RETRY_START / settings.gateways
        self.top = max(c.value for c in settings.classes.values())
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
        self.balancer.now = now
        self.balancer.continue_view_rebuild()
        match event:
            case api.Request():
                self.on_request(now, event)
            case api.Outcome():
                self.on_outcome(now, event)
            case api.CounterResult():
                self.counted(now, event)
            case api.TimerExpired():
                self.tick(now)
            case api.ServerListUpdate():
                self.balancer.apply_server_list(now, event)
                if event.mode == "failed":
                    self.watch_at = now + 1.0
                elif event.mode == "cached" and self.set.discovery == "ask":
                    self.out.append(api.WatchServerList(True))
            case api.AttemptStarted() if event.id in self.requests:
                self.requests[event.id].streaming = True
            case api.ClientDisconnected() if event.id in self.requests:
                self.finish(now, self.requests[event.id])
        self.drain_queue(now)
        while self.checks and self.checks[0][1] not in self.requests:
            heapq.heappop(self.checks)
        trial = self.trial_at if self.queue and self.trial_at > now else math.inf
        scan = now + TICK if self.balancer.membership.is_rebuilding else math.inf
        at = min(self.checks[0][0] if self.checks else math.inf, self.watch_at, trial, scan)
        if at < self.timer_at:  # what is due next; nothing when idle
            self.timer_at = at
            self.out.append(api.SetTimer(max(0.0, at - now), 0))
        return self.out

    def on_request(self, now: float, req: api.Request) -> None:
        cls, plan = self.set.classes[req.service_class], self.set.plans[req.plan]
        acct = self.tenant_quotas.pop(req.tenant, None)
        if acct is None:
            acct = TenantQuota(req, plan, self.born, now, self.rng)
        self.tenant_quotas[req.tenant], acct.seen_at = acct, now
        self.free_accounts(now)
        worth = cls.value * plan.value_factor * req.units
        self.worth += (EWMA_WEIGHT if self.worth else 1.0) * (worth - self.worth)
        value = worth / max(self.balancer.mean_latency[cls.name], 1e-6)
        keys = ("server", "class " + cls.name, "plan " + plan.name)
        pending = PendingRequest(req, cls, plan, acct, now, now + req.remaining_time, worth, value, keys)
        self.requests[req.id] = pending
        pending.charge = slow_start_charge(self.work(pending), self.rng.random())
        if req.remaining_time < 2 * TICK:  # no check would come round in time
            self.refuse(now, pending, RefusalReason.DEADLINE_NEAR)
        elif self.shed(now, pending):
            self.refuse(now, pending, RefusalReason.LOAD_SHED)
        elif acct.available_ceiling_units(now) < req.units:
            wait = (req.units - acct.cap) * acct.spread / plan.ceiling_rate
            self.refuse(now, pending, RefusalReason.CEILING_REACHED, wait)
        elif plan.rate:
            self.want_units(now, pending)
        else:
            self.want_slot(now, pending)

    def work(self, pending: PendingRequest) -> float:
        """What a request is expected to take, over the mean: units tell it where requests differ in them."""
        units = pending.req.units
        self.units += (EWMA_WEIGHT if self.units else 1.0) * (units - self.units)
        if self.set.max_request_units > 1:
            return units / max(self.units, LEAST_UNITS)
        return self.balancer.mean_latency[pending.cls.name] / max(
            self.balancer.mean_service_time, MIN_SERVICE_TIME
        )

    def free_accounts(self, now: float) -> None:
        """Many customers come only once. Past its windows an account tells no more than a new one would."""
        for oldest in list(itertools.islice(self.tenant_quotas.values(), FREED_AT_ONCE)):
            if now - oldest.seen_at <= max(IDLE_MOST, 3 * oldest.window_length):
                return
            del self.tenant_quotas[oldest.name]
            if oldest.call or oldest.open_here or oldest.waiting:  # a busy one holds up none behind it
                self.tenant_quotas[oldest.name], oldest.seen_at = oldest, now

    def shed(self, now: float, pending: PendingRequest) -> bool:
        """While answers come from servers that hold too much, what is worth least a unit of work is refused,
        whatever the cause: one gateway of many has too few out for a limit of its own to relieve them."""
        ranks = self.ranks = [*self.ranks[-63:], pending.value]
        step, balancer, self.pass_at = now - self.pass_at, self.balancer, now
        if (
            balancer.congested_share
            * math.exp(min(0.0, (balancer.last_answer_at + 1 - now) / CONGESTION_TIME_CONSTANT))
            > SHEDDING_THRESHOLD
        ):
            self.pass_share = max(SHED_LEAST, self.pass_share * math.exp(-SHED_FAST * min(step, 1.0)))
        else:
            self.pass_share = min(1.0, self.pass_share + SHED_BACK * step)
        luck, most = (
            self.rng.random(),
            (1 - self.pass_share) * len(ranks) * (self.set.gateways > MAX_ATTEMPTS_PER_SERVER),
        )
        return most > 0 and luck * ranks.count(pending.value) + sum(v < pending.value for v in ranks) < most

    def handle_over_quota(
        self, now: float, pending: PendingRequest, reason: RefusalReason, wait: float = 0.0
    ) -> None:
        clear = (
            self.balancer.mean_server_load() < SPARE_CAPACITY_SHARE * MAX_ATTEMPTS_PER_SERVER
            and not self.queue
        )
        if pending.plan.over_quota_value > pending.plan.over_quota_cost and clear:
            pending.beyond = True
            self.enqueue(now, pending)
        else:
            self.refuse(now, pending, reason, wait)

    def enqueue(self, now: float, pending: PendingRequest) -> None:
        acct, units = pending.acct, pending.req.units
        if acct.available_ceiling_units(now) < units:
            self.refuse(now, pending, RefusalReason.CEILING_REACHED)
            return
        acct.cap -= units  # spent before sending
        self.line_up(pending)
        most = max(QUEUE_LEAST, self.balancer.send_rate(now) * QUEUE_HOLD * pending.cls.latency_target)
        self.queue = [j for j in self.queue if not j.done] if len(self.queue) > most else self.queue
        # What waits for this machine waits for a moment only: that is no overload.
        if len(self.queue) > most and now >= self.balancer.local_backoff_until:
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
        useful = max(0.0, pending.cls.latency_target - self.balancer.mean_latency[pending.cls.name])
        share = 1.0 if pending.sends else QUEUE_HOLD
        return min(useful, (pending.deadline - pending.arrived) / 2, pending.cls.latency_target * share)

    def refuse(self, now: float, pending: PendingRequest, reason: RefusalReason, wait: float = 0.0) -> None:
        ran = pending.cls.effect != "safe" and (pending.cls.effect, pending.cls.dedup_scope) != (
            "keyed",
            "all",
        )
        if not (ran and (pending.ran or pending.live)):
            most = self.set.limits.max_retry_after if self.set.limits.retry_after else 0.0
            self.out.append(api.Refuse(pending.req.id, min(max(wait, 0.0), most), reason.value))
        else:
            self.out.append(api.Fail(pending.req.id, reason.value))
        self.finish(now, pending)

    def finish(self, now: float, pending: PendingRequest) -> None:
        pending.done = True
        self.requests.pop(pending.req.id, None)
        self.out += [api.Cancel(pending.req.id, number) for number in pending.live if self.set.limits.cancel]
        if pending.slot > 0:
            self.count_open(pending.acct, pending.slot, -1)
        pending.acct.open_here -= pending.slot < 0

    def is_eligible(self, pending: PendingRequest, s: ServerState, now: float) -> bool:
        unproven = pending.ran + list(pending.live.values())
        if s.info.id in pending.avoid or not unproven or pending.cls.effect == "safe":
            return s.info.id not in pending.avoid
        if pending.cls.effect == "unsafe" or now >= self.retry_deadline(pending):
            return False
        known, scope = [self.balancer.server_info(h) for h, _ in unproven], pending.cls.dedup_scope
        if None in known:
            return False
        if scope == "all":
            return True
        place = (lambda h: h.zone) if scope == "zone" else (lambda h: h.cell)
        return all(place(h) == place(s.info) for h in known)

    def retry_deadline(self, pending: PendingRequest) -> float:
        """Until when a further attempt may be written; no bound where none before may have run."""
        unproven = pending.ran + list(pending.live.values())
        if pending.cls.effect == "safe" or not unproven:
            return math.inf
        return retry_deadline(min(sent for _, sent in unproven), pending.cls.dedup_window)

    def admits_delayed_attempt(self, now: float, id: str, number: int, server: str) -> bool:
        """Whether an attempt at a cold server, whose connection came up late, may still be written."""
        pending, s = self.requests.get(id), self.balancer.servers.get(server)
        if pending is None or s is None:
            return False
        return self.balancer.admits_delayed_write(s, (id, number), now, pending.charge)

    def choose(self, now: float, pending: PendingRequest) -> ServerState | None:
        if not pending.avoid:
            return self.balancer.pick_server(now, pending.keys, None, pending.charge)
        mates = self.cell_mates(pending)
        if mates is not None:
            fit = [s for s in mates if self.is_eligible(pending, s, now)]
            return self.balancer.best_server(now, pending.keys, fit, pending.charge)
        return self.balancer.pick_server(
            now, pending.keys, lambda s: self.is_eligible(pending, s, now), pending.charge
        )

    def cell_mates(self, pending: PendingRequest) -> list[ServerState] | None:
        """The servers of the cell that another attempt is bound to, where not all are in view; else None."""
        tried = [name for name, _ in [*pending.ran, *pending.live.values()]]
        bound = (pending.cls.effect, pending.cls.dedup_scope) == (
            "keyed",
            "cell",
        ) and self.balancer.membership.has_partial_view
        host = self.balancer.server_info(tried[0]) if bound and tried else None
        return self.balancer.servers_in_cell(host.cell) if host is not None else None

    def send_attempt(self, now: float, pending: PendingRequest) -> bool:
        if pending.begun >= self.set.limits.max_attempts or pending.streaming:
            return False
        s = self.choose(now, pending) if self.set.limits.hedging or not pending.live else None
        if s is None:
            return False
        cold = s.slow_start is not None and s.slow_start_weight(now, self.set.rules) < 1.0
        self.out.append(api.Send(pending.req.id, s.info.id, 0, self.retry_deadline(pending), cold))
        pending.live[pending.sends] = (s.info.id, now)
        self.balancer.record_send(s, (pending.req.id, pending.sends), now, pending.charge)
        pending.sends += 1
        pending.avoid.add(s.info.id)
        pending.stage = "sent"
        self.check_at(now + self.balancer.hedge_delay(pending.cls.name), pending)
        return True

    def drain_queue(self, now: float) -> None:
        # Classes that no server has room for, by whether a cold one's place holds their work; what was tried
        # before has fewer left.
        stuck: set[tuple[str, bool]] = set()
        for pending in self.queue[::-1] if self.queue and self.balancer.has_capacity(now) else ():
            first = not pending.sends
            if not pending.done:
                kind = (pending.cls.name, pending.charge > 1.0)
                if kind in stuck or not self.send_attempt(now, pending):
                    stuck.update([kind] * first)
                    continue
                if first:
                    clear = self.balancer.mean_server_load() < SPARE_CAPACITY_SHARE * MAX_ATTEMPTS_PER_SERVER
                    share = RETRY_SPARE if clear else RETRY_SHARE
                    self.retry_budget = min(
                        max(2.0, RETRY_MOST / self.set.gateways), self.retry_budget + share
                    )
            self.queue.remove(pending)
        if self.queue and self.trial_at <= now:  # no other event may come when a host's rest is over
            trials = [at for s in self.balancer.up_servers for _, at in s.cooldowns.values() if at > now]
            trials += [self.balancer.local_backoff_until] * (self.balancer.local_backoff_until > now)
            self.trial_at = min(trials, default=0.0)

    def on_outcome(self, now: float, event: api.Outcome) -> None:
        pending = self.requests.get(event.id)
        cls, keys = (pending.cls, pending.keys) if pending else (None, ("server",))
        self.balancer.record_outcome(now, event, cls, keys)
        if pending is None:
            return
        sent = pending.live.pop(event.attempt, None)
        if event.actual_units and self.set.settles_actual_units and pending.plan.rate and not pending.beyond:
            pending.acct.uncharged += event.actual_units - pending.req.units
        if event.final:
            self.finish(now, pending)
            return
        if event.result in ("error", "timeout", "reset", "cancelled") and sent is not None:
            pending.ran.append(sent)
        if event.result in api.NOT_STARTED_RESULTS:
            pending.unsent += 1
            pending.avoid.discard(event.server)
        if event.result == "unsent":
            self.balancer.record_local_error(now)
        if pending.live:
            return
        free = event.result == "connect_failed" or event.result in api.NOT_STARTED_RESULTS
        cost = 0.0 if free else RETRY_FULL if event.result == "full" else 1.0
        late = (
            now + max(TICK, self.balancer.mean_latency[pending.cls.name]) > pending.deadline
            or event.result == "moot"
        )
        if late:
            self.refuse(now, pending, RefusalReason.DEADLINE_NEAR)
        elif self.retry_budget < cost:
            self.refuse(now, pending, RefusalReason.RETRY_BUDGET_SPENT)
        elif self.send_attempt(now, pending):
            self.retry_budget -= cost
        elif (free or event.result in ("full", "reset")) and self.may_wait(now, pending):
            # All that it may go to are busy, which is no reason to give up what was turned away or lost. What
            # was silent or erred has had its time at a host, and in overload would take that of others.
            self.retry_budget -= cost
            self.line_up(pending)
            self.check_at(pending.arrived + self.hold(pending), pending)
        else:
            self.refuse(now, pending, RefusalReason.NO_SERVER)

    def may_wait(self, now: float, pending: PendingRequest) -> bool:
        more = not pending.streaming and pending.begun < self.set.limits.max_attempts
        more = more and now < pending.arrived + self.hold(pending)
        mates = self.cell_mates(pending) if more else None
        servers = self.balancer.up_servers if mates is None else mates
        return more and any(self.is_eligible(pending, s, now) for s in servers)

    def check_at(self, at: float, pending: PendingRequest) -> None:
        heapq.heappush(self.checks, (min(at, pending.deadline - 2 * TICK), pending.req.id))

    def tick(self, now: float) -> None:
        if now >= self.timer_at - 1e-6:
            self.timer_at = math.inf
        if now >= self.watch_at:
            self.watch_at = math.inf
            self.out.append(api.WatchServerList(True))
        while self.checks and self.checks[0][0] <= now + 1e-6:
            name = heapq.heappop(self.checks)[1]
            if name in self.requests:
                self.check_request(now, self.requests[name])

    def check_request(self, now: float, pending: PendingRequest) -> None:
        ending = now >= pending.deadline - 2 * TICK - 1e-6
        most = {"units": 2 * self.counter.timeout, "queue": self.hold(pending)}.get(pending.stage, math.inf)
        if pending.stage != "sent" and (ending or now - pending.arrived >= most - 1e-6):
            self.refuse(now, pending, RefusalReason.QUEUE_TIMEOUT)
        elif pending.stage == "sent" and not ending and not pending.streaming:
            self.handle_late_attempts(now, pending)

    def handle_late_attempts(self, now: float, pending: PendingRequest) -> None:
        """An attempt long without answer: evidence against its host, and reason for another one, whatever the
        cause. Harm: work done twice where an answer was only slow, so it draws on the budget for retries."""
        patience = self.balancer.hedge_delay(pending.cls.name) - TICK
        late = [n for n, (_, sent) in pending.live.items() if now - sent >= patience]
        for number in set(late) - pending.late:
            # A silent one holds no other's place.
            out = self.balancer.servers[pending.live[number][0]].in_flight
            self.balancer.attempts_in_flight -= out.pop((pending.req.id, number), None) is not None
            self.balancer.detector.record(pending.live[number][0], pending.keys, True, now)
        pending.late.update(late)
        self.check_at(now + max(2 * TICK, self.balancer.latency_deviation[pending.cls.name]), pending)
        if not late or len(pending.live) > 1 or pending.cls.effect == "unsafe" or self.retry_budget < 1.0:
            return
        if self.set.limits.hedging:
            self.retry_budget -= self.send_attempt(now, pending)
        elif (
            self.set.limits.cancel
            and pending.begun < self.set.limits.max_attempts
            and self.choose(now, pending)
        ):
            self.out.append(api.Cancel(pending.req.id, late[0]))  # its outcome starts the next attempt
