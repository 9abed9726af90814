"""Hollow gateways: the decision module without sockets, many instances in one process."""

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

CONNECT_TIMEOUT = 0.25  # seconds until an attempt at a server that is gone ends
REFUSED_AFTER = 0.001  # seconds until a server's refusal is known


@dataclass(slots=True)
class FleetTally:
    """Counts over all gateways; the same for the same seed."""

    requests: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    cancelled: int = 0
    counter_calls: int = 0
    timers: int = 0
    handshakes: int = 0  # first attempts of a gateway at a server

    def as_counts(self) -> dict[str, int]:
        """The counts by their names."""
        return asdict(self)


@dataclass(slots=True)
class PendingRequest:
    """A request between its arrival and its final answer."""

    gateway: int
    units: float
    attempts: int = 0
    over: bool = False


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt as it was sent: virtual time in seconds, request, server and the request's units."""

    at: float
    request: str
    gateway: int
    server: str
    units: float


class HollowFleet:
    """Many decision modules before emulated servers and an emulated counter, in virtual time.

    Args:
        simulation: the clock.
        settings: gives the settings of the gateway with a number.
        gateways: how many there are.
        servers: the servers by id; one that is not among them cannot be connected to.
        counter: None where the settings have no counter.
        seed: of the seeds that the gateways are started with.
        on_attempt: hears of each attempt.
        on_end: hears of each request's end: its id and "served", "refused" or "failed".
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
        self.connected: defaultdict[str, set[int]] = defaultdict(set)  # server: gateways that sent there
        self._random = random.Random(seed)
        self._on_attempt, self._on_end = on_attempt, on_end
        self._requests: dict[str, PendingRequest] = {}
        self._lives = [0] * gateways  # starts of each gateway; what an earlier life waits for is dropped
        self.gateways = [self._new_gateway(index) for index in range(gateways)]

    def _new_gateway(self, index: int) -> GatewayPolicy:
        return GatewayPolicy(self.settings(index), self._random.randrange(2**32), self.simulation.now)

    def restart(self, index: int) -> None:
        """Starts a gateway anew: it has no list, and all that it had in work is lost."""
        self._lives[index] += 1
        self.gateways[index] = self._new_gateway(index)

    def deliver(self, index: int, event: api.Event) -> None:
        """Hands an event to one gateway and carries its actions out."""
        for action in self.gateways[index].handle(self.simulation.now, event):
            self._carry_out(index, action)

    def deliver_to_all(self, event: api.Event) -> None:
        """Hands one event to every gateway."""
        for index in range(len(self.gateways)):
            self.deliver(index, event)

    def request(self, index: int, request: api.Request) -> None:
        """A client's request arrives at a gateway."""
        self.tally.requests += 1
        self._requests[request.id] = PendingRequest(index, request.units)
        self.deliver(index, request)

    def _deliver_in_life(self, index: int, life: int, event: api.Event) -> None:
        if life == self._lives[index]:
            self.deliver(index, event)

    def _carry_out(self, index: int, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(index, action)
            case api.AddToCounter():
                self._count(index, action)
            case api.SetTimer():
                self.tally.timers += 1
                timer = api.TimerExpired(action.label)
                self.simulation.after(action.delay, self._deliver_in_life, index, self._lives[index], timer)
            case api.Refuse():
                self._end(action.id, "refused")
            case api.Fail():
                self._end(action.id, "failed")
            case api.Cancel():
                self.tally.cancelled += 1

    def _send(self, index: int, action: api.Send) -> None:
        pending = self._requests.get(action.id)
        if pending is None:
            return
        number, pending.attempts = pending.attempts, pending.attempts + 1
        now = self.simulation.now
        self.tally.attempts += 1
        if index not in self.connected[action.server]:
            self.connected[action.server].add(index)
            self.tally.handshakes += 1
        if self._on_attempt:
            self._on_attempt(Attempt(now, action.id, index, action.server, pending.units))
        server = self.servers.get(action.server)
        if server is None:
            self._answer_later(index, action, number, "connect_failed", now + CONNECT_TIMEOUT)
            return
        answered_at = server.receive(now)
        if answered_at is None:
            self._answer_later(index, action, number, "full", now + REFUSED_AFTER)
        else:
            self._answer_later(index, action, number, "ok", answered_at)

    def _answer_later(self, index: int, action: api.Send, number: int, result: str, at: float) -> None:
        sent_at, life = self.simulation.now, self._lives[index]
        self.simulation.at(at, self._answered, index, life, action, number, result, sent_at)

    def _answered(
        self, index: int, life: int, action: api.Send, number: int, result: str, sent_at: float
    ) -> None:
        if life != self._lives[index]:
            self._requests.pop(action.id, None)
            return
        over = action.id not in self._requests
        if result == "ok":
            self._end(action.id, "served")
        elapsed = self.simulation.now - sent_at
        final = over or result == "ok"
        self.deliver(index, api.Outcome(action.id, number, action.server, result, elapsed, final))

    def _count(self, index: int, action: api.AddToCounter) -> None:
        self.tally.counter_calls += 1
        if self.counter is None:
            return
        life = self._lives[index]

        def answered(result: str, total: float, elapsed: float) -> None:
            self._deliver_in_life(index, life, api.CounterResult(action.counter_key, result, total, elapsed))

        self.counter.add(action.counter_key, action.amount, answered)

    def _end(self, request: str, how: str) -> None:
        if self._requests.pop(request, None) is None:
            return
        setattr(self.tally, how, getattr(self.tally, how) + 1)
        if self._on_end:
            self._on_end(request, how)
