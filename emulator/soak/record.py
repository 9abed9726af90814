"""What was seen from outside during a soak. Times are seconds on the monotonic clock of this machine."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a class allows about repeats."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Ending(Enum):
    """How a request ended, as its client saw it."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    CLOSED = "closed"  # the connection ended without an answer
    NONE = "none"  # nothing came in time
    LEFT = "left"  # the client did not wait for it


@dataclass(slots=True)
class Asked:
    """One request.

    Attributes:
        deadline: seconds for which its client waits, from `at` on.
        closed_at: when the client closed or ended its sending, if it did.
        answers: how many came; a second one is a fault.
    """

    id: str
    gateway: int
    life: int  # of the gateway: which of its processes
    connection: int
    effect: Effect
    customer: str
    deadline: float
    at: float
    closed_at: float | None = None
    ended_at: float = 0.0
    ending: Ending = Ending.NONE
    answer: bytes = b""
    answers: int = 0


@dataclass(slots=True)
class Began:
    """An attempt whose last byte came to a server; `told`: the seconds that it was told are left."""

    id: str
    server: str
    at: float
    told: float


@dataclass(slots=True)
class Told:
    """A change of a server's state was written to a gateway."""

    gateway: int
    life: int
    server: str
    state: str
    at: float


@dataclass(slots=True)
class Changed:
    """Discovery had a change of a server's state, whoever was told."""

    server: str
    state: str
    at: float


@dataclass(slots=True)
class Started:
    """A server started cold."""

    server: str
    at: float


@dataclass(slots=True)
class BadClient:
    """A client that does what no client may; `ended_at`: when it got an error or a close."""

    manner: str
    gateway: int
    life: int
    at: float
    ended_at: float | None = None


@dataclass(slots=True)
class Life:
    """One process of a gateway.

    Attributes:
        told_at, killed_at: when SIGTERM and SIGKILL were sent, if they were.
        code: with which it ended.
        log: the end of what it wrote.
        resident_kb, descriptors: samples over its life.
    """

    gateway: int
    number: int
    started_at: float
    ready_at: float | None = None
    told_at: float | None = None
    killed_at: float | None = None
    ended_at: float | None = None
    code: int | None = None
    log: str = ""
    resident_kb: list[tuple[float, int]] = field(default_factory=list)
    descriptors: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Trouble:
    """A trouble as it was played."""

    name: str
    began: float
    ended: float
    detail: str


@dataclass(slots=True)
class Record:
    """All of it."""

    began: float
    asked: list[Asked] = field(default_factory=list)
    began_at_servers: list[Began] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    changed: list[Changed] = field(default_factory=list)
    started: list[Started] = field(default_factory=list)
    bad_clients: list[BadClient] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    unreadable: list[tuple[float, str]] = field(default_factory=list)  # commands that servers could not read
    lags: list[tuple[float, float]] = field(default_factory=list)  # when this process was late, by how much
    ended: float = 0.0

    def attempts(self) -> dict[str, list[Began]]:
        """The attempts of each request, in order."""
        by_id: dict[str, list[Began]] = {}
        for began in self.began_at_servers:
            by_id.setdefault(began.id, []).append(began)
        return by_id

    def life(self, gateway: int, number: int) -> Life:
        """One process of a gateway."""
        return next(life for life in self.lives if (life.gateway, life.number) == (gateway, number))

    def late(self, begin: float, end: float) -> float:
        """The most by which this process, which reads the clocks, was late in a span."""
        return max((lag for at, lag in self.lags if begin <= at <= end + lag), default=0.0)
