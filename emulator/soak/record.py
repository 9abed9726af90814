"""Observations made during a soak from outside the gateways.

All times are seconds on the monotonic clock of this machine.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether requests of a service class may be retried."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class RequestOutcome(Enum):
    """The result of a request as its client observed it; the values are keys of the soak's report."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CONNECTION_CLOSED = "closed"  # the connection ended without a response
    NO_RESPONSE = "none"  # no response arrived in time
    CLIENT_LEFT = "left"  # the client disconnected before the response


@dataclass(slots=True)
class RequestRecord:
    """One request that a client sent.

    Attributes:
        run_number: the number of the gateway's process run that received the request.
        timeout: seconds that the client waits for a response, counted from `sent_at`.
        client_closed_at: when the client closed the connection or its sending side, if it did.
        response_count: number of responses received; more than one violates an invariant.
    """

    id: str
    gateway: int
    run_number: int
    connection: int
    effect: Effect
    tenant: str
    timeout: float
    sent_at: float
    client_closed_at: float | None = None
    ended_at: float = 0.0
    outcome: RequestOutcome = RequestOutcome.NO_RESPONSE
    response: bytes = b""
    response_count: int = 0


@dataclass(slots=True)
class AttemptRecord:
    """An attempt that a server received.

    Attributes:
        received_at: when the last byte of the command arrived.
        remaining_time: the deadline propagated to the server, as seconds left.
    """

    id: str
    server: str
    received_at: float
    remaining_time: float


@dataclass(slots=True)
class StateDelivery:
    """A change of a server's state that was written to a gateway's discovery connection.

    Attributes:
        written_at: when it was written, in monotonic seconds; the gateway cannot have learned of it before.
        delivered_at: when it counts as delivered, which is later where a proxy may have dropped it.
    """

    gateway: int
    run_number: int
    server: str
    state: str
    written_at: float
    delivered_at: float


@dataclass(slots=True)
class StateChange:
    """A change of a server's state in discovery, regardless of which gateways have received it."""

    server: str
    state: str
    changed_at: float


@dataclass(slots=True)
class ServerStart:
    """The start of a server that is subject to slow start."""

    server: str
    started_at: float


@dataclass(slots=True)
class BadClient:
    """A client that violates the protocol.

    Attributes:
        kind: the kind of violation.
        ended_at: when the client received an error or a close, if it did.
    """

    kind: str
    gateway: int
    run_number: int
    started_at: float
    ended_at: float | None = None


@dataclass(slots=True)
class ProcessRun:
    """One process of a gateway, from its start to its exit.

    Attributes:
        sigterm_at, sigkill_at: when SIGTERM and SIGKILL were sent, if they were.
        exit_code: the exit code of the process, once it has ended.
        log_tail: the last part of the process's log.
        resident_kb, descriptor_counts: samples taken while the process ran.
    """

    gateway: int
    number: int
    started_at: float
    ready_at: float | None = None
    sigterm_at: float | None = None
    sigkill_at: float | None = None
    ended_at: float | None = None
    exit_code: int | None = None
    log_tail: str = ""
    resident_kb: list[tuple[float, int]] = field(default_factory=list)
    descriptor_counts: list[int] = field(default_factory=list)


@dataclass(slots=True)
class InjectedFault:
    """A fault that was injected; the field names are keys of the soak's report."""

    name: str
    began: float
    ended: float
    detail: str


@dataclass(slots=True)
class SoakRecord:
    """All observations of one soak, which the invariant checks read.

    Attributes:
        malformed_commands: commands that servers could not read, as pairs of time and description.
        scheduling_delays: delays of the event loop of the soak's own process, as pairs of time and seconds.
    """

    started_at: float
    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    state_deliveries: list[StateDelivery] = field(default_factory=list)
    state_changes: list[StateChange] = field(default_factory=list)
    server_starts: list[ServerStart] = field(default_factory=list)
    bad_clients: list[BadClient] = field(default_factory=list)
    process_runs: list[ProcessRun] = field(default_factory=list)
    faults: list[InjectedFault] = field(default_factory=list)
    malformed_commands: list[tuple[float, str]] = field(default_factory=list)
    scheduling_delays: list[tuple[float, float]] = field(default_factory=list)
    ended_at: float = 0.0

    def attempts_by_request(self) -> dict[str, list[AttemptRecord]]:
        """Returns the attempts of each request id, in the order in which servers received them."""
        by_id: dict[str, list[AttemptRecord]] = {}
        for attempt in self.attempts:
            by_id.setdefault(attempt.id, []).append(attempt)
        return by_id

    def process_run(self, gateway: int, number: int) -> ProcessRun:
        """Returns the process run of a gateway with this number."""
        return next(run for run in self.process_runs if (run.gateway, run.number) == (gateway, number))

    def max_scheduling_delay(self, begin: float, end: float) -> float:
        """Returns the longest delay of the soak's own process, which takes all timestamps, in a time span."""
        return max((delay for at, delay in self.scheduling_delays if begin <= at <= end + delay), default=0.0)
