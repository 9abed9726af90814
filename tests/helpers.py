"""A scripted world for one or several gateways: it answers nothing by itself."""

from calicomast import interface as api
from calicomast.policy import GatewayPolicy

READ = api.ServiceClass("read", 1.0, 3.0, "safe", "all", 5.0, 1.0, 0.0, False, 0.0)
WRITE = api.ServiceClass("write", 1.0, 3.0, "keyed", "zone", 1.0, 3.0, 0.0, False, 0.0)
CELL_WRITE = api.ServiceClass("cellwrite", 1.0, 3.0, "keyed", "cell", 5.0, 3.0, 0.0, False, 0.0)
UNSAFE_WRITE = api.ServiceClass("note", 1.0, 3.0, "unsafe", "all", 5.0, 2.0, 0.0, False, 0.0)


def make_plan(name="p", **kw):
    base = dict(
        rate=2.0,
        burst=8.0,
        concurrency_limit=0,
        value_factor=1.0,
        over_quota_value=0.0,
        over_quota_cost=1.0,
        ceiling_rate=0.0,
        ceiling_burst=0.0,
        ceiling_slack=0.0,
    )
    return api.Plan(name, **{**base, **kw})


def make_settings(plans=None, limits=None, rules=None, **kw):
    lim = dict(
        cancel=True,
        hedging=True,
        probes=False,
        peers=False,
        retry_after=True,
        max_attempts=4,
        max_retry_after=1.0,
    )
    rul = dict(
        answer_slack=0.01,
        drain_grace=1.0,
        slow_start_initial_share=0.2,
        slow_start_duration=10.0,
        overload_multiple=2.0,
        overload_window=2.0,
        max_fetch_interval=10.0,
    )
    base = dict(
        index=0,
        gateways=2,
        zone="z1",
        classes={c.name: c for c in (READ, WRITE, CELL_WRITE, UNSAFE_WRITE)},
        plans={p.name: p for p in (plans or [make_plan()])},
        limits=api.Limits(**{**lim, **(limits or {})}),
        rules=api.Rules(**{**rul, **(rules or {})}),
        prices={"cross_zone": 0.02},
        counter=True,
        counter_price=0.01,
        counter_timeout=0.05,
        meter_period=0.0,
        settles_actual_units=False,
        max_request_units=4.0,
        discovery="push",
        report_fields=("queue",),
        weight_meaning="none",
    )
    return api.Settings(**{**base, **kw})


def make_server(name, zone="z1", cell=0, state="up", started_at=0.0):
    return api.Server(name, zone, cell, 1.0, "k", state, started_at)


class GatewayHarness:
    def __init__(self, settings=None, servers=None, seed=1, start=1000.0):
        self.now, self.settings = start, settings or make_settings()
        self.gateway = GatewayPolicy(self.settings, seed, start)
        self.action_log, self.request_count = [], 0
        self.counter_totals = {}
        self.counter_mode = "answer"  # or "silent", "refuse", "hold"
        listed = tuple(servers if servers is not None else [make_server("h1"), make_server("h2")])
        self.handle(api.ServerListUpdate("cached", 1, listed))

    def handle(self, event):
        """Hands one event over, answers counter calls as `counter_mode` says, returns all actions."""
        acts = self.gateway.handle(self.now, event)
        self.action_log += [(self.now, a) for a in acts]
        for call in [a for a in acts if isinstance(a, api.AddToCounter)]:
            if self.counter_mode == "answer":
                total = self.counter_totals[call.name] = self.counter_totals.get(call.name, 0) + call.amount
                acts = acts + self.handle(api.CounterResult(call.name, "ok", total, 0.002))
            elif self.counter_mode == "silent":
                self.now += 0.05
                acts = acts + self.handle(api.CounterResult(call.name, "timeout", 0, 0.05))
            elif self.counter_mode == "refuse":
                acts = acts + self.handle(api.CounterResult(call.name, "full", 0, 0.001))
        return acts

    def send_request(self, tenant="c", plan="p", service_class="read", units=1, spread=2, remaining_time=3.0):
        self.request_count += 1
        name = f"r{self.request_count}"
        return name, self.handle(
            api.Request(name, remaining_time, tenant, plan, service_class, units, 0, spread)
        )

    def advance(self, seconds, step=0.02):
        acts, end = [], self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + step)
            acts += self.handle(api.TimerExpired(0))
        return acts

    def finish_attempt(self, send, result="ok", attempt=0, final=None, elapsed=0.05, **kw):
        return self.handle(
            api.Outcome(
                send.id,
                attempt,
                send.server,
                result,
                elapsed,
                result == "ok" if final is None else final,
                **kw,
            )
        )


def actions_of(acts, kind):
    return [a for a in acts if isinstance(a, kind)]
