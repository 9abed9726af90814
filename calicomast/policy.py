"""The decisions of a gateway. Types, events and actions are defined in interface.py in this folder.

GatewayPolicy(settings, seed, now).handle(now, event) returns actions. It reads no clock and does no I/O.
Where a limit holds over all gateways, each gateway acts on its share; fractions are saved up as credit or
rounded by a random draw.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import math
import random

from calicomast import interface as api
from calicomast.leases import LeasePolicy
from calicomast.pending import PendingRequest
from calicomast.quota import EWMA_WEIGHT, CounterCall, CounterMonitor, GrantStatistics, TenantQuota
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

MIN_MEAN_UNITS = 1e-9  # of a request; lower bound of the mean as a divisor
# Share of requests that the counter is assumed to grant at each demand level, before any was observed.
GRANTED_SHARE_PRIORS = (0.7, 0.6, 0.4, 0.2, 0.1)
QUEUE_TIME_SHARE = 0.5  # part of its class's latency target that a request may wait for a server
MIN_QUEUE_LIMIT = 4  # requests that may always wait for a server
IDLE_TENANT_TIMEOUT = 30.0  # seconds; least time for which the quota state of an idle tenant is kept
# Idle tenants that are checked with each request. More than one, so that they cannot pile up.
IDLE_TENANTS_CHECKED = 4
ADMISSION_DECREASE_RATE = 0.7  # per second; exponential decrease of the admission ratio under load shedding
ADMISSION_INCREASE_RATE = 0.15  # per second; linear increase of the admission ratio afterwards
MIN_ADMISSION_RATIO = 0.05  # lower bound of the admission ratio
RETRIES_PER_REQUEST = 0.1  # added to the retry budget with each first attempt
RETRIES_PER_REQUEST_UNLOADED = 0.3  # added instead while the servers have spare capacity
FULL_RETRY_COST = 0.2  # retries that a retry costs after the result "full"
INITIAL_RETRIES = 15.0  # retry budget of all gateways together at the start
MAX_SAVED_RETRIES = 30.0  # upper bound of the retry budget of all gateways together


class GatewayPolicy(LeasePolicy):
    """All decisions of one gateway."""

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        """Starts at clock time `now` without servers, leases and requests; `seed` is that of all draws."""
        self.settings = settings
        self.started_at = now
        self.rng = random.Random(seed)
        self.balancer = LoadBalancer(settings, self.rng)
        self.counter = CounterMonitor(settings)
        self.grant_statistics = {
            (plan, level): GrantStatistics(now, share)
            for plan in self.settings.plans
            for level, share in enumerate(GRANTED_SHARE_PRIORS)
        }
        self.tenant_quotas: dict[str, TenantQuota] = {}  # in order of their last request
        self.requests = dict[str, PendingRequest]()
        self.queue = list[PendingRequest]()  # requests that wait for a server, the most valuable one last
        self.outstanding_calls: dict[int, list[CounterCall]] = {}  # by counter key, oldest first
        self.mean_units = 0.0  # moving average of a request's units
        self.retry_budget = INITIAL_RETRIES / settings.gateways
        self.max_class_value = max(service_class.value for service_class in settings.classes.values())
        self.scheduled_checks: list[tuple[float, str]] = []  # heap of times and request ids
        # When the timer expires, and when the watch on discovery is started again.
        self.timer_at = self.watch_at = math.inf
        self.next_trial_at = 0.0  # when the queue is tried again because a server's cool-down ends
        self.admission_ratio = 1.0  # part of the requests that load shedding admits
        self.admission_ratio_at = now
        self.mean_value = 0.0  # moving average of a request's value
        self.recent_values: list[float] = []  # values per work of the latest requests
        self.value_within_quota = 0.0
        self.value_at_risk = 0.0
        self.decayed_at = now
        self.actions: list[api.Action] = []

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Handles one event at clock time `now` and returns the actions to carry out."""
        self.actions = []
        self.balancer.now = now
        self.balancer.continue_view_rebuild()
        match event:
            case api.Request():
                self.on_request(now, event)
            case api.Outcome():
                self.on_outcome(now, event)
            case api.CounterResult():
                self.on_counter_result(now, event)
            case api.TimerExpired():
                self.on_timer(now)
            case api.ServerListUpdate():
                self.balancer.apply_server_list(now, event)
                if event.mode == "failed":
                    self.watch_at = now + 1.0
                elif event.mode == "cached" and self.settings.discovery == "ask":
                    self.actions.append(api.WatchServerList(True))
            case api.AttemptStarted() if event.id in self.requests:
                self.requests[event.id].streaming = True
            case api.ClientDisconnected() if event.id in self.requests:
                self.finish(now, self.requests[event.id])
        self.drain_queue(now)
        while self.scheduled_checks and self.scheduled_checks[0][1] not in self.requests:
            heapq.heappop(self.scheduled_checks)
        trial = self.next_trial_at if self.queue and self.next_trial_at > now else math.inf
        update = now + TICK if self.balancer.membership.is_rebuilding else math.inf
        next_at = min(
            self.scheduled_checks[0][0] if self.scheduled_checks else math.inf, self.watch_at, trial, update
        )
        if next_at < self.timer_at:  # never while nothing is scheduled
            self.timer_at = next_at
            self.actions.append(api.SetTimer(max(0.0, next_at - now), 0))
        return self.actions

    def on_request(self, now: float, request: api.Request) -> None:
        """Handles a new request: refuses it at once, or starts with its quota or its concurrency slot."""
        service_class, plan = self.settings.classes[request.service_class], self.settings.plans[request.plan]
        tenant = self.tenant_quotas.pop(request.tenant, None)
        if tenant is None:
            tenant = TenantQuota(request, plan, self.started_at, now, self.rng)
        self.tenant_quotas[request.tenant], tenant.last_request_at = tenant, now
        self.drop_idle_tenants(now)
        value = service_class.value * plan.value_factor * request.units
        self.mean_value += (EWMA_WEIGHT if self.mean_value else 1.0) * (value - self.mean_value)
        value_per_work = value / max(self.balancer.mean_latency[service_class.name], 1e-6)
        failure_levels = ("server", "class " + service_class.name, "plan " + plan.name)
        pending = PendingRequest(
            request,
            service_class,
            plan,
            tenant,
            now,
            now + request.remaining_time,
            value,
            value_per_work,
            failure_levels,
        )
        self.requests[request.id] = pending
        pending.charge = slow_start_charge(self.relative_work(pending), self.rng.random())
        if request.remaining_time < 2 * TICK:  # no scheduled check would run in time
            self.refuse(now, pending, RefusalReason.DEADLINE_NEAR)
        elif self.should_shed(now, pending):
            self.refuse(now, pending, RefusalReason.LOAD_SHED)
        elif tenant.available_ceiling_units(now) < request.units:
            wait = (request.units - tenant.ceiling_units) * tenant.spread / plan.ceiling_rate
            self.refuse(now, pending, RefusalReason.CEILING_REACHED, wait)
        elif plan.rate:
            self.request_units(now, pending)
        else:
            self.take_slot(now, pending)

    def relative_work(self, pending: PendingRequest) -> float:
        """Returns the expected work of a request in requests of mean work.

        It follows from the units where the settings allow requests to differ in them, otherwise from the mean
        response time of the class.
        """
        units = pending.request.units
        self.mean_units += (EWMA_WEIGHT if self.mean_units else 1.0) * (units - self.mean_units)
        if self.settings.max_request_units > 1:
            return units / max(self.mean_units, MIN_MEAN_UNITS)
        return self.balancer.mean_latency[pending.service_class.name] / max(
            self.balancer.mean_service_time, MIN_SERVICE_TIME
        )

    def drop_idle_tenants(self, now: float) -> None:
        """Drops the quota state of tenants that have been idle for long; many tenants come only once."""
        for oldest in list(itertools.islice(self.tenant_quotas.values(), IDLE_TENANTS_CHECKED)):
            if now - oldest.last_request_at <= max(IDLE_TENANT_TIMEOUT, 3 * oldest.window_length):
                return
            del self.tenant_quotas[oldest.name]
            # A tenant that is still needed moves to the end, so that it does not block those behind it.
            if oldest.is_in_use() or oldest.limits_future_use(now):
                self.tenant_quotas[oldest.name], oldest.last_request_at = oldest, now

    def should_shed(self, now: float, pending: PendingRequest) -> bool:
        """Returns whether to shed a request while many responses come from congested servers.

        Requests with the least value per unit of work are shed first, whatever causes the congestion. With
        many gateways, each one has too few attempts out for a limit of its own to relieve the servers.
        """
        values = self.recent_values = [*self.recent_values[-63:], pending.value_per_work]
        elapsed, balancer, self.admission_ratio_at = now - self.admission_ratio_at, self.balancer, now
        if (
            balancer.congested_share
            * math.exp(min(0.0, (balancer.last_answer_at + 1 - now) / CONGESTION_TIME_CONSTANT))
            > SHEDDING_THRESHOLD
        ):
            self.admission_ratio = max(
                MIN_ADMISSION_RATIO,
                self.admission_ratio * math.exp(-ADMISSION_DECREASE_RATE * min(elapsed, 1.0)),
            )
        else:
            self.admission_ratio = min(1.0, self.admission_ratio + ADMISSION_INCREASE_RATE * elapsed)
        draw = self.rng.random()
        shed_count = (
            (1 - self.admission_ratio) * len(values) * (self.settings.gateways > MAX_ATTEMPTS_PER_SERVER)
        )
        return (
            shed_count > 0
            and draw * values.count(pending.value_per_work) + sum(v < pending.value_per_work for v in values)
            < shed_count
        )

    def handle_over_quota(
        self, now: float, pending: PendingRequest, reason: RefusalReason, wait: float = 0.0
    ) -> None:
        """Handles a request that is over quota: admits it if that earns something and capacity is spare,
        otherwise refuses it; the client may retry after `wait` seconds.
        """
        unloaded = (
            self.balancer.mean_server_load() < SPARE_CAPACITY_SHARE * MAX_ATTEMPTS_PER_SERVER
            and not self.queue
        )
        if pending.plan.over_quota_value > pending.plan.over_quota_cost and unloaded:
            pending.over_quota = True
            self.enqueue(now, pending)
        else:
            self.refuse(now, pending, reason, wait)

    def enqueue(self, now: float, pending: PendingRequest) -> None:
        """Queues a request that has its units and its concurrency slot, and sends it if possible."""
        tenant, units = pending.tenant, pending.request.units
        if tenant.available_ceiling_units(now) < units:
            self.refuse(now, pending, RefusalReason.CEILING_REACHED)
            return
        tenant.ceiling_units -= units  # spent before the request is sent
        self.insert_into_queue(pending)
        limit = max(
            MIN_QUEUE_LIMIT,
            self.balancer.send_rate(now) * QUEUE_TIME_SHARE * pending.service_class.latency_target,
        )
        self.queue = (
            [each for each in self.queue if not each.finished] if len(self.queue) > limit else self.queue
        )
        # During the short backoff after a local error the queue grows without any overload.
        if len(self.queue) > limit and now >= self.balancer.local_backoff_until:
            self.refuse(now, self.queue.pop(0), RefusalReason.QUEUE_FULL)
        self.drain_queue(now)
        if pending.stage == "queue" and not pending.finished:
            self.schedule_check(pending.arrived_at + self.max_queue_time(pending), pending)

    def insert_into_queue(self, pending: PendingRequest) -> None:
        """Inserts a request into the queue, ordered by quota and value per work."""
        pending.stage = "queue"
        bisect.insort(self.queue, pending, key=lambda each: (not each.over_quota, each.value_per_work))

    def max_queue_time(self, pending: PendingRequest) -> float:
        """Returns for how many seconds after its arrival a request may wait for a server.

        An attempt that begins later would probably miss the latency target of the class, and a refusal should
        come in the first half of the time until the deadline. Requests without an attempt so far wait for
        QUEUE_TIME_SHARE of the target only, as there are many of them.
        """
        useful = max(
            0.0, pending.service_class.latency_target - self.balancer.mean_latency[pending.service_class.name]
        )
        share = 1.0 if pending.attempts_sent else QUEUE_TIME_SHARE
        return min(
            useful, (pending.deadline - pending.arrived_at) / 2, pending.service_class.latency_target * share
        )

    def refuse(self, now: float, pending: PendingRequest, reason: RefusalReason, wait: float = 0.0) -> None:
        """Gives a request up: refuses it if a retry after `wait` seconds is safe, otherwise fails it."""
        unrepeatable = pending.service_class.effect != "safe" and (
            pending.service_class.effect,
            pending.service_class.dedup_scope,
        ) != ("keyed", "all")
        if not (unrepeatable and (pending.may_have_run or pending.live_attempts)):
            max_wait = self.settings.limits.max_retry_after if self.settings.limits.retry_after else 0.0
            self.actions.append(api.Refuse(pending.request.id, min(max(wait, 0.0), max_wait), reason.value))
        else:
            self.actions.append(api.Fail(pending.request.id, reason.value))
        self.finish(now, pending)

    def finish(self, now: float, pending: PendingRequest) -> None:
        """Removes a request that is answered or abandoned: cancels its attempts and releases its slot."""
        pending.finished = True
        self.requests.pop(pending.request.id, None)
        self.actions += [
            api.Cancel(pending.request.id, number)
            for number in pending.live_attempts
            if self.settings.limits.cancel
        ]
        if pending.held_slot > 0:
            self.count_concurrent_request(pending.tenant, pending.held_slot, -1)
        pending.tenant.own_slots_in_use -= pending.held_slot < 0

    def is_eligible(self, pending: PendingRequest, server: ServerState, now: float) -> bool:
        """Returns whether a request may be sent to a server, given its attempts that may have run.

        A keyed request may be retried only within the scope and the time in which servers discard duplicates,
        an unsafe one only if no attempt may have run.
        """
        possibly_executed = pending.may_have_run + list(pending.live_attempts.values())
        if (
            server.info.id in pending.excluded_servers
            or not possibly_executed
            or pending.service_class.effect == "safe"
        ):
            return server.info.id not in pending.excluded_servers
        send_times = [sent_at for _, sent_at in possibly_executed]
        if now >= retry_deadline(pending.service_class, send_times):
            return False
        known = [self.balancer.server_info(server_id) for server_id, _ in possibly_executed]
        scope = pending.service_class.dedup_scope
        if None in known:
            return False
        if scope == "all":
            return True
        group = (lambda info: info.zone) if scope == "zone" else (lambda info: info.cell)
        return all(group(info) == group(server.info) for info in known)

    def admits_delayed_attempt(self, now: float, request_id: str, number: int, server_id: str) -> bool:
        """Returns whether an attempt at a server in slow start may be written to a delayed connection."""
        pending, server = self.requests.get(request_id), self.balancer.servers.get(server_id)
        if pending is None or server is None:
            return False
        return self.balancer.admits_delayed_write(server, (request_id, number), now, pending.charge)

    def choose_server(self, now: float, pending: PendingRequest) -> ServerState | None:
        """Returns the best eligible server for the next attempt, or None if no server can take it now."""
        if not pending.excluded_servers:
            return self.balancer.pick_server(now, pending.failure_levels, None, pending.charge)
        peers = self.cell_peers(pending)
        if peers is not None:
            eligible = [server for server in peers if self.is_eligible(pending, server, now)]
            return self.balancer.best_server(now, pending.failure_levels, eligible, pending.charge)
        return self.balancer.pick_server(
            now, pending.failure_levels, lambda server: self.is_eligible(pending, server, now), pending.charge
        )

    def cell_peers(self, pending: PendingRequest) -> list[ServerState] | None:
        """Returns the servers of the cell to which earlier attempts bind a request.

        None if the request is not bound to a cell, or if all servers are in view anyway.
        """
        tried = [server_id for server_id, _ in [*pending.may_have_run, *pending.live_attempts.values()]]
        bound = (pending.service_class.effect, pending.service_class.dedup_scope) == (
            "keyed",
            "cell",
        ) and self.balancer.membership.has_partial_view
        info = self.balancer.server_info(tried[0]) if bound and tried else None
        return self.balancer.servers_in_cell(info.cell) if info is not None else None

    def send_attempt(self, now: float, pending: PendingRequest) -> bool:
        """Sends an attempt; returns False if the request may have no further one or no server is free."""
        if pending.attempts_begun >= self.settings.limits.max_attempts or pending.streaming:
            return False
        server = (
            self.choose_server(now, pending)
            if self.settings.limits.hedging or not pending.live_attempts
            else None
        )
        if server is None:
            return False
        in_slow_start = (
            server.slow_start is not None and server.slow_start_weight(now, self.settings.rules) < 1.0
        )
        self.actions.append(api.Send(pending.request.id, server.info.id, 0, in_slow_start))
        pending.live_attempts[pending.attempts_sent] = (server.info.id, now)
        self.balancer.record_send(server, (pending.request.id, pending.attempts_sent), now, pending.charge)
        pending.attempts_sent += 1
        pending.excluded_servers.add(server.info.id)
        pending.stage = "sent"
        self.schedule_check(now + self.balancer.hedge_delay(pending.service_class.name), pending)
        return True

    def drain_queue(self, now: float) -> None:
        """Sends queued requests, the most valuable ones first, as far as servers have capacity."""
        # Classes for which no server has capacity, each with whether the work exceeds a place at a server in
        # slow start. Only first attempts count here, since retries have fewer servers to go to.
        blocked: set[tuple[str, bool]] = set()
        for pending in self.queue[::-1] if self.queue and self.balancer.has_capacity(now) else ():
            first = not pending.attempts_sent
            if not pending.finished:
                kind = (pending.service_class.name, pending.charge > 1.0)
                if kind in blocked or not self.send_attempt(now, pending):
                    blocked.update([kind] * first)
                    continue
                if first:
                    unloaded = (
                        self.balancer.mean_server_load() < SPARE_CAPACITY_SHARE * MAX_ATTEMPTS_PER_SERVER
                    )
                    earned = RETRIES_PER_REQUEST_UNLOADED if unloaded else RETRIES_PER_REQUEST
                    self.retry_budget = min(
                        max(2.0, MAX_SAVED_RETRIES / self.settings.gateways), self.retry_budget + earned
                    )
            self.queue.remove(pending)
        if self.queue and self.next_trial_at <= now:  # no event may come when a server's cool-down ends
            trials = [
                at for server in self.balancer.up_servers for _, at in server.cooldowns.values() if at > now
            ]
            trials += [self.balancer.local_backoff_until] * (self.balancer.local_backoff_until > now)
            self.next_trial_at = min(trials, default=0.0)

    def on_outcome(self, now: float, event: api.Outcome) -> None:
        """Handles the end of an attempt: the request is finished, retried, queued again or given up."""
        pending = self.requests.get(event.id)
        service_class, levels = (
            (pending.service_class, pending.failure_levels) if pending else (None, ("server",))
        )
        self.balancer.record_outcome(now, event, service_class, levels)
        if pending is None:
            return
        attempt = pending.live_attempts.pop(event.attempt, None)
        if (
            event.actual_units
            and self.settings.settles_actual_units
            and pending.plan.rate
            and not pending.over_quota
        ):
            pending.tenant.uncharged += event.actual_units - pending.request.units
        if event.final:
            self.finish(now, pending)
            return
        if event.result in ("error", "timeout", "reset", "cancelled") and attempt is not None:
            pending.may_have_run.append(attempt)
        if event.result in api.NOT_STARTED_RESULTS:
            pending.attempts_not_begun += 1
            pending.excluded_servers.discard(event.server)
        if event.result == "unsent":
            self.balancer.record_local_error(now)
        if pending.live_attempts:
            return
        free = event.result == "connect_failed" or event.result in api.NOT_STARTED_RESULTS
        cost = 0.0 if free else FULL_RETRY_COST if event.result == "full" else 1.0
        too_late = (
            now + max(TICK, self.balancer.mean_latency[pending.service_class.name]) > pending.deadline
            or event.result == "moot"
        )
        if too_late:
            self.refuse(now, pending, RefusalReason.DEADLINE_NEAR)
        elif self.retry_budget < cost:
            self.refuse(now, pending, RefusalReason.RETRY_BUDGET_SPENT)
        elif self.send_attempt(now, pending):
            self.retry_budget -= cost
        elif (free or event.result in ("full", "reset")) and self.may_wait_for_server(now, pending):
            # All eligible servers are busy. A request that was rejected or lost waits for one of them. One
            # that timed out or failed has used its time at a server; in overload it would delay the others.
            self.retry_budget -= cost
            self.insert_into_queue(pending)
            self.schedule_check(pending.arrived_at + self.max_queue_time(pending), pending)
        else:
            self.refuse(now, pending, RefusalReason.NO_SERVER)

    def may_wait_for_server(self, now: float, pending: PendingRequest) -> bool:
        """Returns whether a request may be queued for a retry: it has attempts, time and a server left."""
        allowed = not pending.streaming and pending.attempts_begun < self.settings.limits.max_attempts
        allowed = allowed and now < pending.arrived_at + self.max_queue_time(pending)
        peers = self.cell_peers(pending) if allowed else None
        servers = self.balancer.up_servers if peers is None else peers
        return allowed and any(self.is_eligible(pending, server, now) for server in servers)

    def schedule_check(self, at: float, pending: PendingRequest) -> None:
        """Schedules a check of a request, at the latest two ticks before its deadline."""
        heapq.heappush(self.scheduled_checks, (min(at, pending.deadline - 2 * TICK), pending.request.id))

    def on_timer(self, now: float) -> None:
        """Handles the timer: starts the watch on discovery again and runs the checks that are due."""
        if now >= self.timer_at - 1e-6:
            self.timer_at = math.inf
        if now >= self.watch_at:
            self.watch_at = math.inf
            self.actions.append(api.WatchServerList(True))
        while self.scheduled_checks and self.scheduled_checks[0][0] <= now + 1e-6:
            request_id = heapq.heappop(self.scheduled_checks)[1]
            if request_id in self.requests:
                self.check_request(now, self.requests[request_id])

    def check_request(self, now: float, pending: PendingRequest) -> None:
        """Refuses a request that has waited too long, or looks for late attempts of one that was sent."""
        near_deadline = now >= pending.deadline - 2 * TICK - 1e-6
        if pending.stage == "sent":
            if not near_deadline and not pending.streaming:
                self.handle_late_attempts(now, pending)
            return
        max_wait = {"units": 2 * self.counter.timeout, "queue": self.max_queue_time(pending)}.get(
            pending.stage, math.inf
        )
        if near_deadline or now - pending.arrived_at >= max_wait - 1e-6:
            self.refuse(now, pending, RefusalReason.QUEUE_TIMEOUT)
        else:  # the limit has changed since this check was scheduled
            self.schedule_check(max(now + TICK, pending.arrived_at + max_wait), pending)

    def handle_late_attempts(self, now: float, pending: PendingRequest) -> None:
        """Reports late attempts to the failure detector, and starts a hedged attempt whatever the cause.

        Trade-off: where an answer was only slow, work is done twice, so a hedged attempt costs a retry.
        """
        timeout = self.balancer.hedge_delay(pending.service_class.name) - TICK
        late = [number for number, (_, sent_at) in pending.live_attempts.items() if now - sent_at >= timeout]
        for number in set(late) - pending.late_attempts:
            # A late attempt does not occupy a place at its server or among this gateway's attempts.
            live_at_server = self.balancer.servers[pending.live_attempts[number][0]].in_flight
            self.balancer.attempts_in_flight -= (
                live_at_server.pop((pending.request.id, number), None) is not None
            )
            self.balancer.detector.record(pending.live_attempts[number][0], pending.failure_levels, True, now)
        pending.late_attempts.update(late)
        self.schedule_check(
            now + max(2 * TICK, self.balancer.latency_deviation[pending.service_class.name]), pending
        )
        if (
            not late
            or len(pending.live_attempts) > 1
            or pending.service_class.effect == "unsafe"
            or self.retry_budget < 1.0
        ):
            return
        if self.settings.limits.hedging:
            self.retry_budget -= self.send_attempt(now, pending)
        elif (
            self.settings.limits.cancel
            and pending.attempts_begun < self.settings.limits.max_attempts
            and self.choose_server(now, pending)
        ):
            # The outcome of the cancelled attempt starts the next one.
            self.actions.append(api.Cancel(pending.request.id, late[0]))
