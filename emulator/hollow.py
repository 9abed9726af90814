"""Hollow gateways: instances of the gateway policy without network I/O, thousands in one process.

A "hollow" gateway runs the decision code of a real gateway (`calicomast.policy.GatewayPolicy`). Its
connections, the servers and the counter are replaced by models in virtual time.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import asdict, dataclass

from calicomast import interface as api
from calicomast.policy import GatewayPolicy
from emulator.counter_model import CounterModel
from emulator.server_model import ServerModel
from emulator.virtual_time import Simulation

CONNECT_TIMEOUT = 0.25  # seconds until an attempt at a server that no longer exists fails
REJECTION_DELAY = 0.001  # seconds until the gateway receives a rejection from a server


@dataclass(slots=True)
class FleetTally:
    """Counters summed over all gateways. They are reproducible: the same seed gives the same counts."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    cancelled: int = 0
    counter_calls: int = 0
    timers: int = 0
    handshakes: int = 0  # (gateway, server) pairs with at least one attempt

    def as_counts(self) -> dict[str, int]:
        """Returns the counters by field name."""
        return asdict(self)


@dataclass(slots=True)
class PendingRequest:
    """A request that has arrived and has no final response yet."""

    gateway: int
    units: float
    attempts: int = 0
    finished: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to send a request to a server.

    Attributes:
        at: virtual time of sending, in seconds.
        request: id of the request.
        gateway: number of the gateway that sent it.
        server: id of the server.
        units: quota units of the request.
    """

    at: float
    request: str
    gateway: int
    server: str
    units: float


class HollowFleet:
    """A fleet of gateway policies that use emulated servers and an emulated counter in virtual time.

    Args:
        simulation: virtual clock and scheduler.
        settings: returns the settings of the gateway with the given number.
        gateways: number of gateways.
        servers: servers by id; a connection to any other id fails.
        counter: None if the settings disable the counter.
        seed: seed of the generator that draws the seeds of the gateways.
        on_attempt: called for each attempt.
        on_end: called at the end of each request with its id and "served", "refused" or "failed".
    """

    def __init__(
        self,
        simulation: Simulation,
        settings: Callable[[int], api.Settings],
        gateways: int,
        servers: dict[str, ServerModel],
        counter: CounterModel | None,
        seed: int,
        on_attempt: Callable[[Attempt], None] | None = None,
        on_end: Callable[[str, str], None] | None = None,
    ) -> None:
        self.simulation, self.settings, self.servers, self.counter = simulation, settings, servers, counter
        self.tally = FleetTally()
        # Numbers of the gateways that have sent to a server, by server id.
        self.connected: defaultdict[str, set[int]] = defaultdict(set)
        self._random = random.Random(seed)
        self._on_attempt, self._on_end = on_attempt, on_end
        self._requests: dict[str, PendingRequest] = {}
        # Restarts of each gateway; events for an earlier incarnation are dropped.
        self._incarnations = [0] * gateways
        self.gateways = [self._new_gateway(index) for index in range(gateways)]

    def _new_gateway(self, index: int) -> GatewayPolicy:
        return GatewayPolicy(self.settings(index), self._random.randrange(2**32), self.simulation.now)

    def restart(self, index: int) -> None:
        """Restarts a gateway: the new instance has no server list and all active requests are lost."""
        self._incarnations[index] += 1
        self.gateways[index] = self._new_gateway(index)

    def deliver(self, index: int, event: api.Event) -> None:
        """Passes an event to one gateway and executes the actions that it returns."""
        for action in self.gateways[index].handle(self.simulation.now, event):
            self._execute(index, action)

    def deliver_to_all(self, event: api.Event) -> None:
        """Passes one event to every gateway."""
        for index in range(len(self.gateways)):
            self.deliver(index, event)

    def request(self, index: int, request: api.Request) -> None:
        """Delivers a request of a client to a gateway."""
        self.tally.requests += 1
        self._requests[request.id] = PendingRequest(index, request.units)
        self.deliver(index, request)

    def _deliver_to_incarnation(self, index: int, incarnation: int, event: api.Event) -> None:
        if incarnation == self._incarnations[index]:
            self.deliver(index, event)

    def _execute(self, index: int, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(index, action)
            case api.AddToCounter():
                self._add_to_counter(index, action)
            case api.SetTimer():
                self.tally.timers += 1
                timer = api.TimerExpired(action.label)
                self.simulation.after(
                    action.delay, self._deliver_to_incarnation, index, self._incarnations[index], timer
                )
            case api.Refuse():
                self._end_request(action.id, "refused")
            case api.Fail():
                self._end_request(action.id, "failed")
            case api.Cancel():
                self.tally.cancelled += 1

    def _send(self, index: int, action: api.Send) -> None:
        pending = self._requests.get(action.id)
        if pending is None:
            return
        attempt, pending.attempts = pending.attempts, pending.attempts + 1
        now = self.simulation.now
        self.tally.attempts += 1
        if index not in self.connected[action.server]:
            self.connected[action.server].add(index)
            self.tally.handshakes += 1
        if self._on_attempt:
            self._on_attempt(Attempt(now, action.id, index, action.server, pending.units))
        server = self.servers.get(action.server)
        if server is None:
            self._schedule_outcome(index, action, attempt, "connect_failed", now + CONNECT_TIMEOUT)
            return
        completes_at = server.receive(now)
        if completes_at is None:
            self._schedule_outcome(index, action, attempt, "full", now + REJECTION_DELAY)
        else:
            self._schedule_outcome(index, action, attempt, "ok", completes_at)

    def _schedule_outcome(self, index: int, action: api.Send, attempt: int, result: str, at: float) -> None:
        sent_at, incarnation = self.simulation.now, self._incarnations[index]
        self.simulation.at(at, self._complete_attempt, index, incarnation, action, attempt, result, sent_at)

    def _complete_attempt(
        self, index: int, incarnation: int, action: api.Send, attempt: int, result: str, sent_at: float
    ) -> None:
        if incarnation != self._incarnations[index]:
            self._requests.pop(action.id, None)
            return
        finished = action.id not in self._requests
        if result == "ok":
            self._end_request(action.id, "served")
        elapsed = self.simulation.now - sent_at
        final = finished or result == "ok"
        self.deliver(index, api.Outcome(action.id, attempt, action.server, result, elapsed, final))

    def _add_to_counter(self, index: int, action: api.AddToCounter) -> None:
        self.tally.counter_calls += 1
        if self.counter is None:
            return
        incarnation = self._incarnations[index]

        def on_result(result: str, total: float, elapsed: float) -> None:
            self._deliver_to_incarnation(
                index, incarnation, api.CounterResult(action.counter_key, result, total, elapsed)
            )

        self.counter.add(action.counter_key, action.amount, on_result)

    def _end_request(self, request: str, outcome: str) -> None:
        if self._requests.pop(request, None) is None:
            return
        setattr(self.tally, outcome, getattr(self.tally, outcome) + 1)
        if self._on_end:
            self._on_end(request, outcome)
