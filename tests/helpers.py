"""A test harness for the policy of one gateway; it answers only the policy's calls to the counter."""

from calicomast import interface as api
from calicomast.policy import GatewayPolicy

READ = api.ServiceClass("read", 1.0, 3.0, "safe", "all", 5.0, 1.0, 0.0, False, 0.0)
WRITE = api.ServiceClass("write", 1.0, 3.0, "keyed", "zone", 1.0, 3.0, 0.0, False, 0.0)
CELL_WRITE = api.ServiceClass("cellwrite", 1.0, 3.0, "keyed", "cell", 5.0, 3.0, 0.0, False, 0.0)
UNSAFE_WRITE = api.ServiceClass("note", 1.0, 3.0, "unsafe", "all", 5.0, 2.0, 0.0, False, 0.0)


def make_plan(name="p", **changes):
    """Returns a plan, with defaults for the fields that are not given."""
    defaults = dict(
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
    return api.Plan(name, **{**defaults, **changes})


def make_settings(plans=None, limits=None, rules=None, **changes):
    """Returns settings, with defaults for the fields, limits and rules that are not given."""
    default_limits = dict(
        cancel=True,
        hedging=True,
        probes=False,
        peers=False,
        retry_after=True,
        max_attempts=4,
        max_retry_after=1.0,
    )
    default_rules = dict(
        answer_slack=0.01,
        drain_grace=1.0,
        slow_start_initial_share=0.2,
        slow_start_duration=10.0,
        overload_multiple=2.0,
        overload_window=2.0,
        max_fetch_interval=10.0,
    )
    defaults = dict(
        index=0,
        gateways=2,
        zone="z1",
        classes={
            service_class.name: service_class for service_class in (READ, WRITE, CELL_WRITE, UNSAFE_WRITE)
        },
        plans={plan.name: plan for plan in (plans or [make_plan()])},
        limits=api.Limits(**{**default_limits, **(limits or {})}),
        rules=api.Rules(**{**default_rules, **(rules or {})}),
        prices={"cross_zone": 0.02},
        counter_enabled=True,
        counter_price=0.01,
        counter_timeout=0.05,
        meter_period=0.0,
        settles_actual_units=False,
        max_request_units=4.0,
        discovery="push",
        report_fields=("queue",),
        weight_meaning="none",
    )
    return api.Settings(**{**defaults, **changes})


def make_server(name, zone="z1", cell=0, state="up", started_at=0.0):
    """Returns a server as discovery lists it."""
    return api.Server(name, zone, cell, 1.0, "k", state, started_at)


class PolicyHarness:
    """Runs the policy of one gateway on a clock of its own, starting with a cached server list.

    Attributes:
        now: the clock, in seconds.
        action_log: time and action, for all actions so far.
        counter_totals: totals of the counter, by counter key.
        counter_mode: "answer", "silent" (each call times out), "refuse" (each is rejected) or "hold" (the
            test answers).
    """

    def __init__(self, settings=None, servers=None, seed=1, start=1000.0):
        self.now, self.settings = start, settings or make_settings()
        self.policy = GatewayPolicy(self.settings, seed, start)
        self.action_log, self.request_count = [], 0
        self.counter_totals = {}
        self.counter_mode = "answer"
        server_list = tuple(servers if servers is not None else [make_server("h1"), make_server("h2")])
        self.handle(api.ServerListUpdate("cached", 1, server_list))

    def handle(self, event):
        """Passes an event to the policy, answers its counter calls by `counter_mode`, returns all actions."""
        actions = self.policy.handle(self.now, event)
        self.action_log += [(self.now, action) for action in actions]
        for call in [action for action in actions if isinstance(action, api.AddToCounter)]:
            if self.counter_mode == "answer":
                total = self.counter_totals[call.counter_key] = (
                    self.counter_totals.get(call.counter_key, 0) + call.amount
                )
                actions = actions + self.handle(api.CounterResult(call.counter_key, "ok", total, 0.002))
            elif self.counter_mode == "silent":
                self.now += 0.05
                actions = actions + self.handle(api.CounterResult(call.counter_key, "timeout", 0, 0.05))
            elif self.counter_mode == "refuse":
                actions = actions + self.handle(api.CounterResult(call.counter_key, "full", 0, 0.001))
        return actions

    def send_request(self, tenant="c", plan="p", service_class="read", units=1, spread=2, remaining_time=3.0):
        """Sends the policy a request; returns the request's id and all actions."""
        self.request_count += 1
        request_id = f"r{self.request_count}"
        return request_id, self.handle(
            api.Request(request_id, remaining_time, tenant, plan, service_class, units, 0, spread)
        )

    def advance(self, seconds, step=0.02):
        """Advances the clock, with a timer event after each step; returns all actions."""
        actions, end = [], self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(end, self.now + step)
            actions += self.handle(api.TimerExpired(0))
        return actions

    def finish_attempt(self, send, result="ok", attempt=0, final=None, elapsed=0.05, **fields):
        """Reports the outcome of an attempt, by default final if it is "ok"; returns all actions."""
        return self.handle(
            api.Outcome(
                send.id,
                attempt,
                send.server,
                result,
                elapsed,
                result == "ok" if final is None else final,
                **fields,
            )
        )


def actions_of(actions, action_type):
    """Returns the actions of a type, or of a union of types."""
    return [action for action in actions if isinstance(action, action_type)]
