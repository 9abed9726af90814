"""Random runs of the policy with the checks at the write, in simulated time: no request is executed twice."""

import dataclasses
import heapq
import itertools
import random
from collections import Counter, deque

import pytest
from helpers import UNSAFE_WRITE, WRITE, make_plan, make_server, make_settings

from calicomast import interface as api
from calicomast.net import attempt, attempt_control
from calicomast.net.attempt import Attempt
from calicomast.net.attempt_control import AttemptControl
from calicomast.net.events import EventLog
from calicomast.net.lifecycle import AttemptState, RequestState
from calicomast.net.requests import ActiveRequest
from calicomast.policy import GatewayPolicy
from calicomast.rules import Verdict

REQUESTS = 300
REQUEST_INTERVAL = 0.02  # seconds
DEADLINE = 2.5  # seconds
TRANSIT_TIME = 0.02  # seconds that a command takes to its server at the most
EXECUTED_RESULTS = ("ok", "error", "reset", "timeout")
COMMAND = [b"API.WRITE", b"00000000b4d65521", b"r", b"c=write,t=p,d=2500,units=1,spread=1,first=0", b"BODY"]


class PresentClient:
    """A response slot, and its connection, whose client has not gone."""

    connection = property(lambda self: self)

    def peer_has_closed(self):
        return False


class Simulation:
    """One gateway's policy and AttemptControl with servers that connect late, fail and discard duplicates.

    Attributes:
        executions: how often each request was executed.
        results: how many attempts ended with each result.
    """

    def __init__(self, seed, window, connect_time, effect, scope, hedging):
        base = WRITE if effect == "keyed" else UNSAFE_WRITE
        self.service_class = dataclasses.replace(base, dedup_scope=scope, dedup_window=window)
        self.settings = make_settings(
            plans=[make_plan(rate=1000.0, burst=4000.0)],
            limits={"hedging": hedging},
            classes={base.name: self.service_class},
        )
        self.random, self.connect_time, self.now = random.Random(seed), connect_time, 1000.0
        self.timers, self.order, self.events, self.requests = [], itertools.count(), deque(), {}
        self.first_seen, self.executions, self.results = {}, Counter(), Counter()
        self.policy = GatewayPolicy(self.settings, seed, self.now)
        self.control = AttemptControl(
            self.settings,
            lambda: self.now,
            lambda server: True,
            self.policy.admits_delayed_attempt,
            EventLog(),
        )
        self.cells = {f"h{number}": number // 4 for number in range(12)}
        servers = [make_server(name, "z1", cell) for name, cell in self.cells.items()]
        self.submit(api.ServerListUpdate("cached", 1, tuple(servers)))

    def after(self, delay, action, *arguments):
        """Calls an action after some seconds of simulated time."""
        heapq.heappush(self.timers, (self.now + delay, next(self.order), action, arguments))

    def run(self):
        """Sends all requests and runs until nothing is scheduled any more."""
        for number in range(REQUESTS):
            self.after(number * REQUEST_INTERVAL, self.send_request, f"r{number}")
        while self.timers:
            self.now, _, action, arguments = heapq.heappop(self.timers)
            action(*arguments)

    def send_request(self, request_id):
        """Sends the policy a request."""
        client, deadline = PresentClient(), self.now + DEADLINE
        self.requests[request_id] = ActiveRequest(request_id, client, COMMAND, deadline, self.service_class)
        self.submit(api.Request(request_id, DEADLINE, "c", "p", self.service_class.name, 1, 0, 2))

    def submit(self, event):
        """Passes an event to the policy, behind those whose actions are not carried out yet."""
        self.events.append(event)
        if len(self.events) > 1:
            return
        while self.events:
            for action in self.policy.handle(self.now, self.events[0]):
                self.carry_out(action)
            self.events.popleft()

    def carry_out(self, action):
        """Carries out an action of the policy."""
        match action:
            case api.Send() if not self.requests[action.id].finished:
                self.start_attempt(self.requests[action.id], action.server)
            case api.Refuse() | api.Fail() if not self.requests[action.id].finished:
                self.finish(self.requests[action.id])
            case api.Cancel():
                for started in [self.requests[action.id].active_attempts.get(action.attempt)]:
                    if started is not None:
                        self.end(started, "cancelled")
            case api.SetTimer():
                self.after(action.delay, self.submit, api.TimerExpired(action.label))
            case api.AddToCounter():
                self.after(0.001, self.submit, api.CounterResult(action.counter_key, "ok", 1.0, 0.001))

    def finish(self, request):
        """Ends a request, and its attempts that are not written."""
        request.transition_to(RequestState.ANSWERED)
        for waiting in request.waiting_attempts():
            self.end(waiting, "connect_failed")

    def start_attempt(self, request, server):
        """Starts an attempt, which waits for a connection or is written at once."""
        number = request.attempts_created
        request.attempts_created += 1
        started = Attempt(server, lambda _: None, lambda _: None, (request, number))
        if self.control.may_write(started, connected_late=False) is not Verdict.ALLOWED:
            self.submit(api.Outcome(request.id, number, server, "moot", 0.0, request.finished))
            return
        request.active_attempts[number] = started
        self.after(max(0.0, request.deadline - self.now), self.end, started, "timeout")
        if self.random.random() < 0.5:
            self.write(started)
        else:
            self.after(self.random.random() * self.connect_time, self.connected, started)

    def connected(self, started):
        """Writes an attempt whose connection was established late, if it may still be written."""
        if started.result:
            return
        if self.control.may_write(started, connected_late=True) is Verdict.ALLOWED:
            self.write(started)
        else:
            self.end(started, "withheld")

    def write(self, started):
        """Writes an attempt; its server gets it, and ends it unless it hangs."""
        self.control.prepare_write(started)
        started.state = AttemptState.RUNNING
        result = self.random.choice(("ok", "ok", "error", "reset", "full", "timeout"))
        transit = self.random.random() * TRANSIT_TIME
        if result in EXECUTED_RESULTS:
            self.after(transit, self.execute, started)
        if result != "timeout":  # those end at their deadline
            self.after(transit + self.random.random() * 0.1, self.end, started, result)

    def execute(self, started):
        """Executes a request at a server, unless its deduplication scope has seen it within the window."""
        request, _ = started.request_and_number
        scope = self.cells[started.server] if self.service_class.dedup_scope == "cell" else "all"
        seen_at = self.first_seen.get((request.id, scope))
        is_keyed = self.service_class.effect == "keyed"
        if is_keyed and seen_at is not None and self.now <= seen_at + self.service_class.dedup_window:
            return
        self.first_seen[request.id, scope] = self.now
        self.executions[request.id] += 1

    def end(self, started, result):
        """Ends an attempt, unless it has ended, and reports it to the policy."""
        if started.result:
            return
        if started.state is AttemptState.WAITING and result != "withheld":
            result = "connect_failed"
        request, number = started.request_and_number
        started.result, started.state = result, AttemptState.ENDED
        self.results[result] += 1
        del request.active_attempts[number]
        if result in api.NEVER_EXECUTED_RESULTS:
            request.write_times.pop(number, None)
        if result == "ok" and not request.finished:
            self.finish(request)
        elapsed = self.now - started.started_at
        self.submit(api.Outcome(request.id, number, started.server, result, elapsed, request.finished))


@pytest.mark.parametrize("hedging", [True, False], ids=["hedging", "no hedging"])
@pytest.mark.parametrize("effect, scope", [("keyed", "all"), ("keyed", "cell"), ("unsafe", "all")])
@pytest.mark.parametrize("seed", [0, 1, 2, 3, 276])
def test_no_request_is_executed_twice_whatever_connects_late(seed, effect, scope, hedging, monkeypatch):
    # Guards against a second execution, where the time for connecting exceeds the retry window.
    generator = random.Random(seed)
    window, connect_time = generator.uniform(0.05, 1.0), generator.uniform(0.1, 2.4)
    simulation = Simulation(seed, window, connect_time, effect, scope, hedging)
    for module in (attempt, attempt_control):
        monkeypatch.setattr(module, "monotonic", lambda: simulation.now)
    simulation.run()
    assert simulation.executions and max(simulation.executions.values()) == 1
    assert all(request.finished for request in simulation.requests.values())
    assert simulation.results["reset"]  # some that were executed ended without an answer


def test_random_runs_reach_the_end_of_the_window_at_the_write(monkeypatch):
    simulation = Simulation(1, 0.4, 1.5, "keyed", "all", hedging=True)
    for module in (attempt, attempt_control):
        monkeypatch.setattr(module, "monotonic", lambda: simulation.now)
    simulation.run()
    assert simulation.results["withheld"]
