"""Load balancing: the state of the servers that this gateway uses, and the choice among them.

Part of the policy: policy.py. Limits that hold over all gateways are divided equally among them. Where the
share of a gateway is fractional, it is rounded at random.
"""

from __future__ import annotations

import dataclasses
import itertools
import math
import random
from collections.abc import Callable

from calicomast import interface as api
from calicomast.failure_detector import FailureDetector
from calicomast.membership import Membership
from calicomast.quota import EWMA_WEIGHT, FAST_EWMA_WEIGHT
from calicomast.slow_start import SlowStartAdmission

TICK = 0.02  # seconds; granularity of checks on queued and hedged requests, far below any latency target
REMOVED_SERVER_RETENTION = 30.0  # seconds; no attempt or retry at a removed server matters for longer
CONGESTED_LOAD = 5.0  # requests at a server; with more, it holds more than it can process efficiently
SHEDDING_THRESHOLD = 0.5  # share of responses from congested servers above which load is shed
CONGESTION_TIME_CONSTANT = 1.5  # seconds over which that share is averaged
MAX_ATTEMPTS_PER_SERVER = 4.0  # attempts in flight at one server, over all gateways
SPARE_CAPACITY_SHARE = 0.6  # fraction of that limit; a lower mean load counts as spare capacity
GATEWAY_SHARE_SLACK = 2.0  # factor on a gateway's equal share of that limit, because traffic is uneven
SERVER_CONCURRENCY = 2.0  # requests that a server processes at once, assumed where nothing is reported
LOAD_REPORT_HALF_LIFE = 1.0  # seconds after which the weight of a load report has halved
SEND_RATE_TIME_CONSTANT = 3.0  # seconds over which the send rate of this gateway is averaged
CANDIDATE_FACTOR = 4.0  # servers compared for a choice, as a multiple of servers per gateway
MAX_DRAWS = 40  # random draws of candidates before all servers are compared
HEDGE_DEVIATIONS = 4.0  # mean deviations above the mean latency at which an attempt counts as late
MIN_COOLDOWN = 0.02  # seconds; cool-down of a server after its first failure
MAX_COOLDOWN = 0.5  # seconds; cool-down after many failures in a row
MAX_LOCAL_BACKOFF = 0.1  # seconds; longest backoff after local errors
MIN_SERVICE_TIME = 1e-3  # seconds; lower bound of the service time from which capacity is computed
CAPACITY_WEIGHT_MODES = ("nominal", "rough")  # meanings of a server's weight that are about its capacity
MIN_CHARGE = 1e-9  # requests; a charge small enough to ask whether anything may be sent at all
CROSS_ZONE_PENALTY = 10.0  # relative service time accepted to save one unit of the cross-zone price


class ServerState:
    """What this gateway knows about one server that it uses.

    Attributes:
        info: the server as discovery last listed it.
        up: whether it is listed as up.
        in_flight: send time of each attempt in flight there, by request id and attempt number.
        other_load: requests of other gateways there, from the last load report.
        other_load_at: time of that report.
        latency_ratio: running mean of its latency relative to that of all servers.
        cooldowns: failures in a row and the end of the cool-down, by level (whole server or class).
        rounding: random offset in 0..1 by which the limit of attempts at this server is rounded.
        slow_start: its slow-start admission; None if it started long ago.
    """

    def __init__(self, info: api.Server, rounding: float, in_flight: dict) -> None:
        self.info, self.up, self.in_flight = info, info.state == "up", in_flight
        self.other_load = 0.0
        self.other_load_at = -math.inf
        self.latency_ratio = 1.0
        self.cooldowns: dict[str, tuple[int, float]] = {}
        self.rounding = rounding
        self.slow_start: SlowStartAdmission | None = None

    def record_result(self, now: float, levels: tuple[str, ...], ok: bool) -> None:
        """Starts or ends the cool-down of this server after an attempt.

        A server that fails immediately always looks idle, so it would attract more requests the busier the
        healthy servers are, and fail them all: one that crashed before discovery reports it, or that rejects,
        resets or errs. So each failure ejects it, as a whole or for one class, for a time that doubles with
        each failure in a row up to MAX_COOLDOWN.

        Trade-off: after an isolated failure a healthy server idles briefly, and the recovery of a failed one
        is noticed up to MAX_COOLDOWN late.
        """
        if ok:
            for level in levels if self.cooldowns else ():
                self.cooldowns.pop(level, None)
            return
        failures = self.cooldowns.get(levels[-1], (0, 0.0))[0] + 1
        self.cooldowns[levels[-1]] = (
            failures,
            now + min(MAX_COOLDOWN, MIN_COOLDOWN * 2.0 ** min(failures - 1, 10)),
        )

    def is_cooling_down(self, now: float, levels: tuple[str, ...]) -> bool:
        """Returns whether the server is ejected at one of these levels."""
        return bool(self.cooldowns) and any(now < self.cooldowns.get(level, (0, 0.0))[1] for level in levels)

    def slow_start_weight(self, now: float, rules: api.Rules) -> float:
        """Returns the fraction of its capacity that the server has; 1 after slow start."""
        age = max(0.0, now - self.info.started_at)
        is_starting = 0 < self.info.started_at and age < rules.slow_start_duration
        return (
            rules.slow_start_initial_share
            + (1 - rules.slow_start_initial_share) * age / rules.slow_start_duration
            if is_starting
            else 1.0
        )


class LoadBalancer:
    """Chooses servers for attempts, and learns from the outcomes.

    Attributes:
        settings: the settings of the gateway.
        rng: random generator shared with the rest of the policy.
        detector: failure estimates of all servers.
        servers: state of each server that this gateway uses, by id.
        membership: the server list, with this gateway's view and subset.
        removed_at: time since when each server with state is no longer listed, by id.
        is_stale: whether the server lists below have to be computed again.
        now: time of the event that the policy handles; the policy sets it.
        server_attempt_limit: attempts that this gateway may have in flight at one server, not yet rounded.
        mean_latency: running mean of the latency of successful attempts (seconds), by class.
        latency_deviation: running mean deviation from it (seconds), by class.
        answer_counts: successful attempts, by class.
        last_send_rate: sends per second of this gateway at its last send.
        last_send_at: time of that send.
        attempts_in_flight: attempts of this gateway in flight at all servers.
        mean_reported_load: running mean of the load in load reports.
        has_load_reports: whether any load report was received.
        congested_share: running share of responses that come from congested servers or timed out.
        last_answer_at: time of the last response that counts for that share.
        local_backoff_until: time until which this machine sends nothing after local errors.
        local_errors: local errors in a row.
        max_weight: largest weight of all servers that are up.
        mean_service_time: running mean latency over all classes (seconds).
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.settings, self.rng, self.detector = settings, rng, FailureDetector()
        self.servers: dict[str, ServerState] = {}
        track_cells = any(c.effect == "keyed" and c.dedup_scope == "cell" for c in settings.classes.values())
        self.membership = Membership(settings.index, settings.gateways, track_cells)
        self.removed_at: dict[str, float] = {}
        self._up_servers: list[ServerState] = []
        self._subset: list[ServerState] = []
        self._starting: list[ServerState] = []  # servers in slow start outside of the subset
        self.is_stale = False
        self.now = 0.0
        self.server_attempt_limit = max(1.0, MAX_ATTEMPTS_PER_SERVER / settings.gateways)
        self.mean_latency = {c.name: min(c.latency_target / 5, c.deadline) for c in settings.classes.values()}
        self.latency_deviation = dict(self.mean_latency)
        self.answer_counts = dict.fromkeys(self.mean_latency, 0)
        self.last_send_rate = 0.0
        self.last_send_at = 0.0
        self.attempts_in_flight = 0
        self.mean_reported_load = 0.0
        self.has_load_reports = False
        self.congested_share = 0.0
        self.last_answer_at = 0.0
        self.local_backoff_until = 0.0
        self.local_errors = 0
        self.max_weight = 1.0
        self.mean_service_time = sum(self.mean_latency.values()) / len(self.mean_latency)

    @property
    def up_servers(self) -> list[ServerState]:
        """The servers with state that are up: those in view, and some in slow start."""
        self.refresh()
        return self._up_servers

    @property
    def subset(self) -> list[ServerState]:
        """The servers that this gateway sends to by default."""
        self.refresh()
        return self._subset

    def apply_server_list(self, now: float, event: api.ServerListUpdate) -> None:
        """Applies a server list from discovery, complete or with changes only."""
        if event.mode not in ("delta", "failed"):
            for info in self.membership.missing_from({h.id for h in event.servers}):
                self.apply_server(now, dataclasses.replace(info, state="down"))
        for info in event.servers:
            self.apply_server(now, info)
        self.drop_removed_servers(now)

    def apply_server(self, now: float, info: api.Server) -> None:
        """Applies the listed state of one server; only servers that this gateway uses get a ServerState."""
        self.membership.apply(info)
        old = self.servers.get(info.id)
        if old is None and not (info.id in self.membership or self.has_slow_start_slot(info, now)):
            return
        if old is None or (info.state == "up" and info.started_at > old.info.started_at):
            self.servers[info.id] = self.new_state(info, old.in_flight if old else {})
        else:
            old.info, old.up = info, info.state == "up"
        if info.state != "down":
            self.removed_at.pop(info.id, None)
        else:
            self.removed_at.setdefault(info.id, now)
        self.is_stale = True

    def has_slow_start_slot(self, info: api.Server, now: float) -> bool:
        """Returns whether this gateway may send to a server outside of its view during its slow start."""
        age = now - info.started_at
        if info.state != "up" or not info.started_at or age >= self.settings.rules.slow_start_duration:
            return False
        admission = SlowStartAdmission(info, self.settings.index, self.settings.gateways, self.settings.rules)
        return admission.position < admission.budget(
            1.0, SERVER_CONCURRENCY / max(self.mean_service_time, MIN_SERVICE_TIME)
        )

    def new_state(self, info: api.Server, in_flight: dict) -> ServerState:
        """Creates the state of a server, with its slow-start admission unless it started long ago (0)."""
        server = ServerState(info, self.rng.random(), in_flight)
        if info.started_at > 0:
            server.slow_start = SlowStartAdmission(
                info, self.settings.index, self.settings.gateways, self.settings.rules
            )
        return server

    def continue_view_rebuild(self) -> None:
        """Scans one batch of servers if a rebuild of the view is running; the policy calls it per event."""
        self.is_stale = self.membership.continue_rebuild() or self.is_stale

    def refresh(self) -> None:
        """Computes the server lists again if the listed state of a server or the view has changed."""
        if not self.is_stale:
            return
        self.is_stale = False
        if self.membership.was_trimmed:
            self.sync_with_view()
        servers, rules = self.servers, self.settings.rules
        self._up_servers = [s for s in servers.values() if s.up]
        self.max_weight = max((s.info.weight for s in self._up_servers), default=1.0) or 1.0
        subset_size = self.membership.subset_size
        if subset_size >= self.membership.up_count:
            self._subset, self._starting = self._up_servers, []
            return
        self._subset = [servers[server_id] for _, server_id in self.membership.view[:subset_size]]
        starting = [
            s
            for s in self._up_servers
            if s.slow_start is not None and s.slow_start_weight(self.now, rules) < 1.0
        ]
        subset_ids = {s.info.id for s in self._subset} if starting else set()
        self._starting = [s for s in starting if s.info.id not in subset_ids]

    def sync_with_view(self) -> None:
        """Creates the state of servers that have come into view, and drops that of listed ones outside of it.

        Servers with attempts in flight keep their state, and so do servers in slow start at which this
        gateway has a slot.
        """
        view_ids = {server_id for _, server_id in self.membership.view}
        for server_id in list(self.servers):
            server, is_listed = self.servers[server_id], server_id in self.membership.servers
            is_starting = (
                server.up
                and server.slow_start is not None
                and server.slow_start_weight(self.now, self.settings.rules) < 1.0
            )
            if is_listed and server_id not in view_ids and not server.in_flight and not is_starting:
                del self.servers[server_id]
                self.detector.forget(server_id)
        for _, server_id in self.membership.view:
            if server_id not in self.servers:
                self.servers[server_id] = self.new_state(self.membership.servers[server_id], {})

    def server_info(self, server_id: str) -> api.Server | None:
        """Returns a server as it was last listed; None if it was removed long ago."""
        server = self.servers.get(server_id)
        return server.info if server is not None else self.membership.servers.get(server_id)

    def servers_in_cell(self, cell: int) -> list[ServerState]:
        """Returns the servers of a cell that are up, in view or not."""
        server_ids = [
            server_id
            for server_id in self.membership.ids_in_cell(cell)
            if self.membership.servers[server_id].state == "up"
        ]
        for server_id in server_ids:
            if server_id not in self.servers:
                self.servers[server_id] = self.new_state(self.membership.servers[server_id], {})
        return [self.servers[server_id] for server_id in server_ids]

    def drop_removed_servers(self, now: float) -> None:
        """Drops servers without attempts in flight that were removed REMOVED_SERVER_RETENTION seconds ago.

        Without this the state would grow without bound, because new servers come with new ids.
        """
        for server_id in [
            server_id for server_id, at in self.removed_at.items() if now - at > REMOVED_SERVER_RETENTION
        ]:
            if not self.servers[server_id].in_flight:
                del self.servers[server_id], self.removed_at[server_id]
                self.detector.forget(server_id)
                self.is_stale = True

    def mean_server_load(self) -> float:
        """Returns the mean number of requests at a server: reported, or estimated from this gateway's own."""
        return (
            self.mean_reported_load
            if self.has_load_reports
            else self.attempts_in_flight * self.settings.gateways / max(1, self.membership.up_count)
        )

    def send_rate(self, now: float) -> float:
        """Returns the sends per second of this gateway, as an exponentially decaying mean."""
        return self.last_send_rate * math.exp((self.last_send_at - now) / SEND_RATE_TIME_CONSTANT)

    def hedge_delay(self, class_name: str) -> float:
        """Returns the seconds after which an unanswered attempt of a class counts as late."""
        return max(
            TICK, self.mean_latency[class_name] + HEDGE_DEVIATIONS * self.latency_deviation[class_name]
        )

    def may_send(
        self,
        server: ServerState,
        now: float,
        levels: tuple[str, ...] = ("server",),
        charge: float = MIN_CHARGE,
    ) -> bool:
        """Returns whether an attempt may be sent to a server now.

        `charge` is what the attempt takes from the slow-start budget of the server.
        """
        # Many gateways with one attempt at each server would overload all servers, so the attempts of a
        # gateway at all servers together are limited too.
        max_in_flight = max(
            2.0,
            GATEWAY_SHARE_SLACK * MAX_ATTEMPTS_PER_SERVER * self.membership.up_count / self.settings.gateways,
        )
        if (
            not server.up
            or len(server.in_flight) >= int(self.server_attempt_limit + server.rounding)
            or self.attempts_in_flight >= max_in_flight
            or server.is_cooling_down(now, levels)
        ):
            return False
        if now < self.local_backoff_until:
            return False
        rules = self.settings.rules
        if server.slow_start is None or server.slow_start_weight(now, rules) == 1.0:
            return True
        # The budget window that ends now began when the server had less capacity.
        return (
            server.slow_start.remaining(
                now, server.slow_start_weight(now - rules.overload_window, rules), self.capacity(server)
            )
            >= charge
        )

    def capacity(self, server: ServerState) -> float:
        """Estimates the requests of mean work per second that a server serves after slow start.

        Latency includes time in the server's queue, so the estimate is too low rather than too high.
        """
        size = (
            server.info.weight / self.max_weight
            if self.settings.weight_meaning in CAPACITY_WEIGHT_MODES
            else 1.0
        )
        return size * SERVER_CONCURRENCY / max(self.mean_service_time, MIN_SERVICE_TIME)

    def has_capacity(self, now: float) -> bool:
        """Returns whether an attempt may be sent to any server now."""
        return any(self.may_send(server, now) for server in self.up_servers)

    def draw_weight(self, server: ServerState, levels: tuple[str, ...], now: float) -> float:
        """Returns the probability in 0..1 with which a drawn server becomes a candidate."""
        size = server.info.weight / self.max_weight * self.slow_start_traffic_share(server, now)
        return size * self.detector.health_weight(server.info.id, levels, now)

    def slow_start_traffic_share(self, server: ServerState, now: float) -> float:
        """Returns the traffic of this gateway to a server in slow start, relative to one after slow start.

        If fewer gateways have a slot there than have another server in their subset, each of them sends more.
        """
        weight = server.slow_start_weight(now, self.settings.rules)
        if server.slow_start is None or weight == 1.0:
            return weight
        gateways = self.settings.gateways
        gateways_per_server = gateways * len(self.subset) / max(1, self.membership.up_count)
        slots = min(gateways, server.slow_start.budget(weight, self.capacity(server)))
        return min(1.0, weight * max(1.0, gateways_per_server / slots))

    def score(self, server: ServerState, levels: tuple[str, ...], now: float) -> float:
        """Returns the expected cost of an attempt at a server; the server with the lowest is chosen."""
        # Without a recent load report a server is assumed to have the mean load.
        freshness = 0.5 ** ((now - server.other_load_at) / LOAD_REPORT_HALF_LIFE)
        load = (
            len(server.in_flight) + freshness * server.other_load + (1 - freshness) * self.mean_server_load()
        )
        size = max(server.info.weight, 1e-9)  # without slow start: its admission limits what is sent
        cross_zone_cost = (
            self.settings.prices.get("cross_zone", 0.0) * CROSS_ZONE_PENALTY
            if server.info.zone != self.settings.zone
            else 0.0
        )
        health = max(0.01, self.detector.health_weight(server.info.id, levels, now))
        return (
            max(0.3, server.latency_ratio) * (1 + load / SERVER_CONCURRENCY) / size / health + cross_zone_cost
        )

    def pick_server(
        self,
        now: float,
        levels: tuple[str, ...],
        is_eligible: Callable[[ServerState], bool] | None,
        charge: float,
    ) -> ServerState | None:
        """Chooses a server for an attempt; None if there is none that may be sent to.

        The choice is among the subset and the servers in slow start at which this gateway has a slot, or
        among all up servers with state if none of these may be sent to. If one gateway of many spread its few
        requests over all servers, it would open a connection to each and learn about none.

        Trade-off: servers in the subset of more gateways than others are busier, until gateways avoid them.
        """
        if len(self.subset) < self.membership.up_count:
            subset = self.subset + self.admitted_in_slow_start(now, levels, charge)
            found = self.best_server(
                now, levels, subset if is_eligible is None else list(filter(is_eligible, subset)), charge
            )
            if found is not None:
                return found
        return self.best_server(
            now,
            levels,
            self.up_servers if is_eligible is None else list(filter(is_eligible, self.up_servers)),
            charge,
        )

    def admitted_in_slow_start(self, now: float, levels: tuple[str, ...], charge: float) -> list[ServerState]:
        """Returns the servers in slow start outside of the subset that this gateway may send to now."""
        if self._starting:
            self._starting = [
                s for s in self._starting if s.slow_start_weight(now, self.settings.rules) < 1.0
            ]
        return [s for s in self._starting if self.may_send(s, now, levels, charge)]

    def best_server(
        self, now: float, levels: tuple[str, ...], candidates: list[ServerState], charge: float
    ) -> ServerState | None:
        """Returns the server with the lowest score among candidates drawn by weight, or None.

        As many are compared as this gateway has recent load reports for, at least two: with old reports the
        best of all servers would be the same one for all gateways.
        """
        sample_size = max(2, math.ceil(CANDIDATE_FACTOR * len(candidates) / self.settings.gateways))
        if sample_size < len(candidates):
            draws = (candidates[int(self.rng.random() * len(candidates))] for _ in range(MAX_DRAWS))
            random_draw = self.rng.random
            accepted = (s for s in draws if random_draw() < self.draw_weight(s, levels, now))
            able = (s for s in accepted if self.may_send(s, now, levels, charge))
            candidates = list(itertools.islice(able, sample_size)) or candidates
        able_candidates = [s for s in candidates if self.may_send(s, now, levels, charge)]
        return min(
            able_candidates,
            key=lambda s: self.score(s, levels, now) + TICK * self.rng.random(),
            default=None,
        )

    def record_send(self, server: ServerState, key: tuple[str, int], now: float, charge: float) -> None:
        """Records that the attempt `key` (request id, attempt number) was sent to a server."""
        server.in_flight[key] = now
        if server.slow_start is not None and server.slow_start_weight(now, self.settings.rules) < 1.0:
            server.slow_start.record_send(now, charge, key)
        self.attempts_in_flight += 1
        self.last_send_rate, self.last_send_at = self.send_rate(now) + 1.0 / SEND_RATE_TIME_CONSTANT, now

    def admits_delayed_write(
        self, server: ServerState, key: tuple[str, int], now: float, charge: float
    ) -> bool:
        """Returns whether an attempt to a server in slow start may be written though it connected late."""
        rules = self.settings.rules
        if server.slow_start is None or server.slow_start_weight(now, rules) == 1.0:
            return True
        weight = server.slow_start_weight(now - rules.overload_window, rules)
        return server.slow_start.readmit(now, charge, key, weight, self.capacity(server))

    def record_local_error(self, now: float) -> None:
        """Stops sending for a while after an error of this machine; longer with each such error in a row.

        Local errors do not count against servers.
        """
        if now >= self.local_backoff_until:
            self.local_errors += 1
            self.local_backoff_until = now + min(
                MAX_LOCAL_BACKOFF, TICK * 2.0 ** min(self.local_errors - 1, 10)
            )

    def record_outcome(
        self, now: float, event: api.Outcome, cls: api.ServiceClass | None, levels: tuple[str, ...]
    ) -> None:
        """Learns from the outcome of an attempt: load, failures, congestion and latency.

        `cls` is the class of the request, None if the request has already ended.
        """
        server = self.servers.get(event.server)
        if server is None:  # removed so long ago that its outcomes no longer matter
            return
        in_flight, is_congested = len(server.in_flight), event.result == "timeout"
        self.attempts_in_flight -= server.in_flight.pop((event.id, event.attempt), None) is not None
        if event.result != "moot" and event.result not in api.NOT_STARTED_RESULTS:
            self.local_errors = 0
        if event.report:
            load = event.report.get("inflight")
            if load is None:
                load = event.report.get("queue", 0.0) + SERVER_CONCURRENCY * event.report.get("util", 0.0)
            server.other_load, server.other_load_at = max(0.0, load - in_flight), now
            self.mean_reported_load += (FAST_EWMA_WEIGHT if self.has_load_reports else 1.0) * (
                load - self.mean_reported_load
            )
            self.has_load_reports, is_congested = True, load > CONGESTED_LOAD
        if event.result in ("connect_failed", "full", "error", "reset", "ok"):
            affected = levels[:1] if event.result == "connect_failed" else levels
            self.detector.record(event.server, affected, event.result != "ok", now)
            server.record_result(now, affected[:2], event.result == "ok")
        if event.report or event.result in ("ok", "timeout"):
            gain = max(
                FAST_EWMA_WEIGHT / 2, 1 - math.exp((self.last_answer_at - now) / CONGESTION_TIME_CONSTANT)
            )
            self.congested_share, self.last_answer_at = (
                self.congested_share + min(gain, 0.5) * (is_congested - self.congested_share),
                now,
            )
        if event.result != "ok" or cls is None:
            return
        server.latency_ratio += FAST_EWMA_WEIGHT * (
            min(event.elapsed / max(self.mean_latency[cls.name], 1e-6), 10.0) - server.latency_ratio
        )
        self.answer_counts[cls.name] += 1
        gain = max(1 / self.answer_counts[cls.name], EWMA_WEIGHT)
        deviation = event.elapsed - self.mean_latency[cls.name]
        self.mean_latency[cls.name] += gain * deviation
        self.mean_service_time += gain * (event.elapsed - self.mean_service_time)
        self.latency_deviation[cls.name] += gain * (
            abs(deviation) * (1 - gain) - self.latency_deviation[cls.name]
        )
