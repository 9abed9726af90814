"""The servers as one gateway knows them, and the choice among them.

Part of the decisions: policy.py. What a gateway may do by itself is its part of an amount for all; what is
less than one is drawn as a chance.
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

TICK = 0.02  # s; coarsest delay of a check on held requests and copies; far under any aim
GONE_MOST = 30.0  # s that a host which is gone is known: longer than any attempt or repeat on it matters
CONGESTED = 5.0  # requests held at a server, above which it holds more than it works on well
SHEDDING_THRESHOLD, CONGESTION_TIME_CONSTANT = (
    0.5,
    1.5,
)  # part of answers from congested servers that sheds work; s taken over
MAX_ATTEMPTS_PER_SERVER, SPARE_CAPACITY_SHARE = (
    4.0,
    0.6,
)  # attempts out per server over all gateways; part that is clear room;
OUT_SLACK = 2.0  # times its even part of them that one gateway may have out: traffic is uneven
SERVERS_OF_HOST = 2.0  # requests a server works on at once, when nothing tells more
REPORT_AGE, RATE_SPAN = 1.0, 3.0  # s; a load report says half as much after it; own sends are counted over it
CHOICES, DRAWS = 4.0, 40  # servers compared, times servers over gateways; draws before all are looked at
COPY_AT = 4.0  # mean deviations above the mean time, after which an attempt is taken for silent
TRIAL_LEAST, TRIAL_MOST = 0.02, 0.5  # s; pause of a host after one failure there, and after many in a row
HINDERED_MOST = 0.1  # s; longest pause after this machine could not send
MIN_SERVICE_TIME = 1e-3  # s; least time of a request that a server's capacity is judged by
SIZES = ("nominal", "rough")  # meanings of a weight that tell a server's size
LEAST_CHARGE = 1e-9  # of a request: whether anything may be sent at all
CROSS_WEIGHT = 10.0  # relative service time given to save one unit of the cross-zone price


class ServerState:
    def __init__(self, host: api.Server, rounding: float, out: dict) -> None:
        self.info, self.up, self.in_flight = host, host.state == "up", out  # attempts out: when sent
        self.others, self.others_at, self.ratio = 0.0, -math.inf, 1.0  # ratio: time against the fleet's
        self.cooldowns: dict[str, tuple[int, float]] = {}  # host or class: failures in a row, its next trial
        self.rounding = rounding  # by which its part of an attempt out is rounded
        self.slow_start: SlowStartAdmission | None = None  # while it may be cold

    def tried(self, now: float, keys: tuple[str, ...], ok: bool) -> None:
        """A host that fails at once is always free, so the fuller the sound ones are, the more requests it
        would draw and spend: one that died before the list tells it, turns all away, resets or errs. After
        each failure it rests, as a whole or for a class, twice as long up to a bound. Harm: after a chance
        failure a sound host idles for a moment, and one that comes back is found up to TRIAL_MOST late."""
        if ok:
            for key in keys if self.cooldowns else ():
                self.cooldowns.pop(key, None)
            return
        failed = self.cooldowns.get(keys[-1], (0, 0.0))[0] + 1
        self.cooldowns[keys[-1]] = failed, now + min(TRIAL_MOST, TRIAL_LEAST * 2.0 ** min(failed - 1, 10))

    def resting(self, now: float, keys: tuple[str, ...]) -> bool:
        return bool(self.cooldowns) and any(now < self.cooldowns.get(key, (0, 0.0))[1] for key in keys)

    def slow_start_weight(self, now: float, rules: api.Rules) -> float:
        age = max(0.0, now - self.info.started_at)
        cold = 0 < self.info.started_at and age < rules.slow_start_duration
        return (
            rules.slow_start_initial_share
            + (1 - rules.slow_start_initial_share) * age / rules.slow_start_duration
            if cold
            else 1.0
        )


class LoadBalancer:
    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self.set, self.rng, self.detector = settings, rng, FailureDetector()
        self.servers: dict[str, ServerState] = {}
        cells = any(c.effect == "keyed" and c.dedup_scope == "cell" for c in settings.classes.values())
        self.membership = Membership(settings.index, settings.gateways, cells)
        self.gone: dict[str, float] = {}  # servers that are gone, and since when
        self._up: list[ServerState] = []
        self._subset: list[ServerState] = []
        self._cold: list[ServerState] = []
        self.stale, self.now = False, 0.0  # whether these three are; time of the event that is handled
        self.server_attempt_limit = max(1.0, MAX_ATTEMPTS_PER_SERVER / settings.gateways)
        self.mean_latency = {c.name: min(c.latency_target / 5, c.deadline) for c in settings.classes.values()}
        self.latency_deviation, self.seen = dict(self.mean_latency), dict.fromkeys(self.mean_latency, 0)
        self.rate, self.rate_at = 0.0, 0.0  # own sends a second
        self.attempts_in_flight, self.held, self.has_load_reports = (
            0,
            0.0,
            False,
        )  # own attempts out; mean load of reports, if any
        self.congested_share, self.last_answer_at = 0.0, 0.0
        self.local_backoff_until = 0.0  # this machine cannot send until then
        self.hindrances = 0  # so often in a row
        self.top = 1.0  # largest weight
        self.mean_service_time = sum(self.mean_latency.values()) / len(
            self.mean_latency
        )  # s that an answer takes, over all classes

    @property
    def up_servers(self) -> list[ServerState]:
        """Servers in view that are up."""
        self.refresh()
        return self._up

    @property
    def subset(self) -> list[ServerState]:
        """Those of them that this gateway keeps to."""
        self.refresh()
        return self._subset

    def apply_server_list(self, now: float, event: api.ServerListUpdate) -> None:
        if event.mode not in ("delta", "failed"):
            for host in self.membership.missing({h.id for h in event.servers}):
                self.apply_server(now, dataclasses.replace(host, state="down"))
        for host in event.servers:
            self.apply_server(now, host)
        self.forget(now)

    def apply_server(self, now: float, host: api.Server) -> None:
        """Takes over what was said of one server; there is state only for those worked with."""
        self.membership.tell(host)
        old = self.servers.get(host.id)
        if old is None and not (host.id in self.membership or self.has_place(host, now)):
            return
        if old is None or (host.state == "up" and host.started_at > old.info.started_at):
            self.servers[host.id] = self.new_server(host, old.in_flight if old else {})
        else:
            old.info, old.up = host, host.state == "up"
        if host.state != "down":
            self.gone.pop(host.id, None)
        else:
            self.gone.setdefault(host.id, now)
        self.stale = True

    def has_place(self, host: api.Server, now: float) -> bool:
        """Whether a server outside of the view is cold and may be sent to from here while it is."""
        age = now - host.started_at
        if host.state != "up" or not host.started_at or age >= self.set.rules.slow_start_duration:
            return False
        admission = SlowStartAdmission(host, self.set.index, self.set.gateways, self.set.rules)
        return admission.place < admission.budget(
            1.0, SERVERS_OF_HOST / max(self.mean_service_time, MIN_SERVICE_TIME)
        )

    def new_server(self, host: api.Server, out: dict) -> ServerState:
        server = ServerState(host, self.rng.random(), out)
        if host.started_at > 0:
            server.slow_start = SlowStartAdmission(host, self.set.index, self.set.gateways, self.set.rules)
        return server

    def continue_view_rebuild(self) -> None:
        """Does a part of the work that a new view takes, if there is some."""
        self.stale = self.membership.continue_rebuild() or self.stale

    def refresh(self) -> None:
        """Makes the lists of servers anew, after something was told of one of them."""
        if not self.stale:
            return
        self.stale = False
        if self.membership.trimmed:
            self.follow_view()
        servers, rules = self.servers, self.set.rules
        self._up = [s for s in servers.values() if s.up]
        self.top = max((s.info.weight for s in self._up), default=1.0) or 1.0
        many = self.membership.subset_size
        if many >= self.membership.up:
            self._subset, self._cold = self._up, []
            return
        self._subset = [servers[name] for _, name in self.membership.view[:many]]
        cold = [
            s for s in self._up if s.slow_start is not None and s.slow_start_weight(self.now, rules) < 1.0
        ]
        kept_to = {s.info.id for s in self._subset} if cold else set()
        self._cold = [s for s in cold if s.info.id not in kept_to]

    def follow_view(self) -> None:
        """Gives each server that has come into view its state, and drops that of others that are listed: none
        but those with something out, or cold and with a place, are worked with."""
        view = {name for _, name in self.membership.view}
        for name in list(self.servers):
            s, listed = self.servers[name], name in self.membership.hosts
            cold = s.up and s.slow_start is not None and s.slow_start_weight(self.now, self.set.rules) < 1.0
            if listed and name not in view and not s.in_flight and not cold:
                del self.servers[name]
                self.detector.forget(name)
        for _, name in self.membership.view:
            if name not in self.servers:
                self.servers[name] = self.new_server(self.membership.hosts[name], {})

    def server_info(self, name: str) -> api.Server | None:
        """What is known of a server; None for one that is gone for long."""
        server = self.servers.get(name)
        return server.info if server is not None else self.membership.hosts.get(name)

    def servers_in_cell(self, cell: int) -> list[ServerState]:
        """The servers of a cell, in view or not."""
        names = [name for name in self.membership.in_cell(cell) if self.membership.hosts[name].state == "up"]
        for name in names:
            if name not in self.servers:
                self.servers[name] = self.new_server(self.membership.hosts[name], {})
        return [self.servers[name] for name in names]

    def forget(self, now: float) -> None:
        """Hosts come under ever new ids: what is gone for long, with nothing out there, is dropped."""
        for name in [name for name, at in self.gone.items() if now - at > GONE_MOST]:
            if not self.servers[name].in_flight:
                del self.servers[name], self.gone[name]
                self.detector.forget(name)
                self.stale = True

    def mean_server_load(self) -> float:
        return (
            self.held
            if self.has_load_reports
            else self.attempts_in_flight * self.set.gateways / max(1, self.membership.up)
        )

    def send_rate(self, now: float) -> float:
        return self.rate * math.exp((self.rate_at - now) / RATE_SPAN)

    def hedge_delay(self, name: str) -> float:
        """Time after which an attempt is taken for silent."""
        return max(TICK, self.mean_latency[name] + COPY_AT * self.latency_deviation[name])

    def may_send(
        self, s: ServerState, now: float, keys: tuple[str, ...] = ("server",), charge: float = LEAST_CHARGE
    ) -> bool:
        # Many gateways with one out at each server overdrive all, so what one has out in all is limited too.
        most = max(2.0, OUT_SLACK * MAX_ATTEMPTS_PER_SERVER * self.membership.up / self.set.gateways)
        if (
            not s.up
            or len(s.in_flight) >= int(self.server_attempt_limit + s.rounding)
            or self.attempts_in_flight >= most
            or s.resting(now, keys)
        ):
            return False
        if now < self.local_backoff_until:
            return False
        rules = self.set.rules
        if s.slow_start is None or s.slow_start_weight(now, rules) == 1.0:
            return True
        # The window that ends now began when the server was colder.
        return (
            s.slow_start.remaining(
                now, s.slow_start_weight(now - rules.overload_window, rules), self.capacity(s)
            )
            >= charge
        )

    def capacity(self, s: ServerState) -> float:
        """Requests of mean work a second that a server serves when it is warm, about. Time in line makes it
        less than it is, which errs on the safe side."""
        size = s.info.weight / self.top if self.set.weight_meaning in SIZES else 1.0
        return size * SERVERS_OF_HOST / max(self.mean_service_time, MIN_SERVICE_TIME)

    def has_capacity(self, now: float) -> bool:
        return any(self.may_send(s, now) for s in self.up_servers)

    def weight(self, s: ServerState, keys: tuple[str, ...], now: float) -> float:
        size = s.info.weight / self.top * self.cold_weight(s, now)
        return size * self.detector.sound(s.info.id, keys, now)

    def cold_weight(self, s: ServerState, now: float) -> float:
        """A cold server's part of a warm one's requests. Where fewer gateways have a place there than keep to
        a warm one, those send it the more."""
        warmth = s.slow_start_weight(now, self.set.rules)
        if s.slow_start is None or warmth == 1.0:
            return warmth
        gateways = self.set.gateways
        keep_to_one = gateways * len(self.subset) / max(1, self.membership.up)
        places = min(gateways, s.slow_start.budget(warmth, self.capacity(s)))
        return min(1.0, warmth * max(1.0, keep_to_one / places))

    def score(self, s: ServerState, keys: tuple[str, ...], now: float) -> float:
        fresh = 0.5 ** ((now - s.others_at) / REPORT_AGE)  # without a report it is as busy as the rest
        load = len(s.in_flight) + fresh * s.others + (1 - fresh) * self.mean_server_load()
        size = max(s.info.weight, 1e-9)  # what a cold one may get is up to its admission
        cross = self.set.prices.get("cross_zone", 0.0) * CROSS_WEIGHT if s.info.zone != self.set.zone else 0.0
        sound = max(0.01, self.detector.sound(s.info.id, keys, now))
        return max(0.3, s.ratio) * (1 + load / SERVERS_OF_HOST) / size / sound + cross

    def pick_server(
        self, now: float, keys: tuple[str, ...], fits: Callable[[ServerState], bool] | None, charge: float
    ) -> ServerState | None:
        """One of those that this gateway keeps to or has a place at while they are cold, or of all where none
        of these is able. A gateway of many that spreads its few requests over all servers opens a connection
        to each, and learns of none. Harm: servers that more gateways than others keep to are busier, until
        they are passed over."""
        if len(self.subset) < self.membership.up:
            subset = self.subset + self.admitted(now, keys, charge)
            found = self.best_server(
                now, keys, subset if fits is None else list(filter(fits, subset)), charge
            )
            if found is not None:
                return found
        return self.best_server(
            now, keys, self.up_servers if fits is None else list(filter(fits, self.up_servers)), charge
        )

    def admitted(self, now: float, keys: tuple[str, ...], charge: float) -> list[ServerState]:
        """Cold servers besides those kept to at which this gateway has a place now."""
        if self._cold:
            self._cold = [s for s in self._cold if s.slow_start_weight(now, self.set.rules) < 1.0]
        return [s for s in self._cold if self.may_send(s, now, keys, charge)]

    def best_server(
        self, now: float, keys: tuple[str, ...], pool: list[ServerState], charge: float
    ) -> ServerState | None:
        """Best of some servers, drawn by weight: as many as this gateway has fresh reports for, two at least,
        since the best of all by an old report is the same server for all gateways."""
        few = max(2, math.ceil(CHOICES * len(pool) / self.set.gateways))
        if few < len(pool):
            draws = (pool[int(self.rng.random() * len(pool))] for _ in range(DRAWS))
            sure = self.rng.random
            sound = (s for s in draws if sure() < self.weight(s, keys, now))
            fit = (s for s in sound if self.may_send(s, now, keys, charge))
            pool = list(itertools.islice(fit, few)) or pool
        able = [s for s in pool if self.may_send(s, now, keys, charge)]
        return min(able, key=lambda s: self.score(s, keys, now) + TICK * self.rng.random(), default=None)

    def record_send(self, s: ServerState, key: tuple[str, int], now: float, charge: float) -> None:
        s.in_flight[key] = now
        if s.slow_start is not None and s.slow_start_weight(now, self.set.rules) < 1.0:
            s.slow_start.record_send(now, charge, key)
        self.attempts_in_flight += 1
        self.rate, self.rate_at = self.send_rate(now) + 1.0 / RATE_SPAN, now

    def admits_delayed_write(self, s: ServerState, key: tuple[str, int], now: float, charge: float) -> bool:
        """Whether an attempt whose connection came up late may still be written to a server that was cold."""
        rules = self.set.rules
        if s.slow_start is None or s.slow_start_weight(now, rules) == 1.0:
            return True
        warmth = s.slow_start_weight(now - rules.overload_window, rules)
        return s.slow_start.readmit(now, charge, key, warmth, self.capacity(s))

    def record_local_error(self, now: float) -> None:
        """This machine could not send: nothing goes for a moment, the longer the more often that was so in
        a row. The servers are not to blame."""
        if now >= self.local_backoff_until:
            self.hindrances += 1
            self.local_backoff_until = now + min(HINDERED_MOST, TICK * 2.0 ** min(self.hindrances - 1, 10))

    def record_outcome(
        self, now: float, event: api.Outcome, cls: api.ServiceClass | None, keys: tuple[str, ...]
    ) -> None:
        s = self.servers.get(event.server)
        if s is None:  # gone for longer than anything there could matter
            return
        out, high = len(s.in_flight), event.result == "timeout"
        self.attempts_in_flight -= s.in_flight.pop((event.id, event.attempt), None) is not None
        if event.result != "moot" and event.result not in api.NOT_STARTED_RESULTS:
            self.hindrances = 0
        if event.report:
            held = event.report.get("inflight")
            if held is None:
                held = event.report.get("queue", 0.0) + SERVERS_OF_HOST * event.report.get("util", 0.0)
            s.others, s.others_at = max(0.0, held - out), now
            self.held += (FAST_EWMA_WEIGHT if self.has_load_reports else 1.0) * (held - self.held)
            self.has_load_reports, high = True, held > CONGESTED
        if event.result in ("connect_failed", "full", "error", "reset", "ok"):
            level = keys[:1] if event.result == "connect_failed" else keys
            self.detector.record(event.server, level, event.result != "ok", now)
            s.tried(now, level[:2], event.result == "ok")
        if event.report or event.result in ("ok", "timeout"):
            gain = max(
                FAST_EWMA_WEIGHT / 2, 1 - math.exp((self.last_answer_at - now) / CONGESTION_TIME_CONSTANT)
            )
            self.congested_share, self.last_answer_at = (
                self.congested_share + min(gain, 0.5) * (high - self.congested_share),
                now,
            )
        if event.result != "ok" or cls is None:
            return
        s.ratio += FAST_EWMA_WEIGHT * (
            min(event.elapsed / max(self.mean_latency[cls.name], 1e-6), 10.0) - s.ratio
        )
        self.seen[cls.name] += 1
        gain, off = max(1 / self.seen[cls.name], EWMA_WEIGHT), event.elapsed - self.mean_latency[cls.name]
        self.mean_latency[cls.name] += gain * off
        self.mean_service_time += gain * (event.elapsed - self.mean_service_time)
        self.latency_deviation[cls.name] += gain * (abs(off) * (1 - gain) - self.latency_deviation[cls.name])
