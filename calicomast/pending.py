"""State of a request between its arrival and its final answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from calicomast import interface as api
from calicomast.quota import TenantQuota


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final answer yet.

    Attributes:
        arrived_at, deadline: clock times in seconds.
        value_per_work: value for each unit of work, by which requests are ordered.
        failure_keys: scopes in which a server may fail the request: wholly, for its class, for its plan.
        stage: "units", "slot" or "queue" while the request waits for that, then "sent".
        charge: charge against the budget of a server in slow start, see slow_start.py.
        demand_level: the tenant's demand level at this gateway when the request arrived.
        over_quota: whether the request was admitted over quota.
        held_slot: the concurrency slot that the request holds: 0 none, -1 one of this gateway's own, else
            the epoch of the shared count in which it was taken.
        attempts_sent: number of attempts, and the number of the next one.
        attempts_not_begun: those among them that never began, for reasons that are not the server's.
        live_attempts: server id and send time of each attempt without an outcome, by attempt number.
        may_have_run: server id and send time of attempts that ended but may have been executed.
        late_attempts: numbers of the attempts that were reported as late to the failure detector.
        excluded_servers: ids of the servers that get no further attempt.
    """

    req: api.Request
    service_class: api.ServiceClass
    plan: api.Plan
    tenant: TenantQuota
    arrived_at: float
    deadline: float
    value: float
    value_per_work: float
    failure_keys: tuple[str, ...]
    stage: str = "units"
    charge: float = 1.0
    demand_level: int = 0
    over_quota: bool = False
    held_slot: int = 0
    attempts_sent: int = 0
    attempts_not_begun: int = 0
    streaming: bool = False
    live_attempts: dict[int, tuple[str, float]] = field(default_factory=dict)
    may_have_run: list[tuple[str, float]] = field(default_factory=list)
    late_attempts: set[int] = field(default_factory=set)
    excluded_servers: set[str] = field(default_factory=set)
    finished: bool = False

    @property
    def attempts_begun(self) -> int:
        """Number of attempts that were written to a server, or may have been."""
        return self.attempts_sent - self.attempts_not_begun
