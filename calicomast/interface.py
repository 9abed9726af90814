"""Types shared by the policy and the I/O layers: settings, events for the policy, and the policy's actions.

Times are seconds (floats). The caller passes the clock reading with each event. Ids are opaque text.
Effects of a request class: "safe" (it may be executed any number of times), "keyed" (servers that share the
deduplication scope discard a duplicate) and "unsafe" (a duplicate is executed again).
"""

from __future__ import annotations

from dataclasses import dataclass, field

EFFECTS = ("safe", "keyed", "unsafe")
DEDUP_SCOPES = ("all", "zone", "cell")
# Results of attempts that were never written, for a reason that is not the server's. "unsent": this machine
# could not connect. "withheld": by the time it could be written, rules.py no longer allowed it.
NOT_STARTED_RESULTS = ("unsent", "withheld")
# Results which prove that the server has not executed the attempt.
NEVER_EXECUTED_RESULTS = ("full", "connect_failed", *NOT_STARTED_RESULTS)
# "moot": the attempt was cancelled before it was sent, so it says nothing about the server.
ATTEMPT_RESULTS = (
    "ok",
    "error",
    "full",
    "timeout",
    "connect_failed",
    "reset",
    "cancelled",
    "moot",
    *NOT_STARTED_RESULTS,
)
# "spoilt": a malformed response; the amount was added, but the new total is unknown.
COUNTER_RESULTS = ("ok", "full", "connect_failed", "timeout", "spoilt")
SERVER_STATES = ("up", "leaving", "down")
# "delta": changes only; "full": the whole list; "cached": a whole list that may be out of date;
# "failed": discovery sent no list.
SERVER_LIST_MODES = ("delta", "full", "cached", "failed")


def _require(condition: bool, message: str) -> None:
    """Raises ValueError with this message unless the condition holds."""
    if not condition:
        raise ValueError(message)


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A class of requests with its deadline, its effect on servers and its value; raises ValueError."""

    name: str
    latency_target: float  # seconds; an answer within this time earns the full value
    deadline: float  # seconds
    effect: str  # one of EFFECTS
    dedup_scope: str  # keyed requests only: the servers that discard a duplicate, one of DEDUP_SCOPES
    dedup_window: float  # keyed requests only: seconds for which they discard it
    value: float  # of one unit
    late_value: float  # of an answer after latency_target; not used by the policy
    streaming: bool
    latency_target_stretch: float  # not used by the policy

    def __post_init__(self) -> None:
        _require(self.effect in EFFECTS, f"class {self.name}: unknown effect {self.effect!r}")
        _require(
            self.dedup_scope in DEDUP_SCOPES,
            f"class {self.name}: unknown deduplication scope {self.dedup_scope!r}",
        )
        _require(
            0 < self.latency_target and 0 < self.deadline,
            f"class {self.name}: latency_target and deadline must be above 0",
        )
        _require(
            self.dedup_window >= 0 and self.value >= 0,
            f"class {self.name}: dedup_window and value must not be negative",
        )


@dataclass(frozen=True, slots=True)
class Plan:
    """The quotas of a tenant and the value of its requests; raises ValueError."""

    name: str
    rate: float  # units per second; 0: no rate quota
    burst: float  # units
    concurrency_limit: int  # concurrent attempts over all gateways; 0: no such quota
    value_factor: float  # multiplies the value of the request class
    over_quota_value: float  # of a request that is served over quota, as a share of its value
    over_quota_cost: float  # of a request that is served over quota, as a share of its value
    ceiling_rate: float  # units per second that are never exceeded; 0: no ceiling
    ceiling_burst: float  # units
    ceiling_slack: float  # not used by the policy

    def __post_init__(self) -> None:
        smallest = min(
            self.rate,
            self.burst,
            self.concurrency_limit,
            self.value_factor,
            self.over_quota_value,
            self.over_quota_cost,
            self.ceiling_rate,
            self.ceiling_burst,
            self.ceiling_slack,
        )
        _require(smallest >= 0, f"plan {self.name}: no value may be negative")
        _require(
            self.rate == 0 or self.burst > 0, f"plan {self.name}: a rate above 0 requires a burst above 0"
        )
        _require(
            self.ceiling_rate == 0 or self.ceiling_burst > 0,
            f"plan {self.name}: a ceiling_rate above 0 requires a ceiling_burst above 0",
        )


@dataclass(frozen=True, slots=True)
class Limits:
    """Features that a gateway may use, and bounds on attempts and retries; raises ValueError."""

    cancel: bool  # attempts may be cancelled
    hedging: bool  # a request may have several attempts in flight at once
    probes: bool  # servers may be probed; not used by the policy
    peers: bool  # gateways may exchange messages; not used by the policy
    retry_after: bool  # a refusal may say when to retry
    max_attempts: int  # per request
    max_retry_after: float  # seconds; upper bound of the time that a refusal gives

    def __post_init__(self) -> None:
        _require(self.max_attempts >= 1, "max_attempts must be at least 1")


@dataclass(frozen=True, slots=True)
class Rules:
    """Times and shares that servers and discovery impose on every gateway; raises ValueError."""

    answer_slack: float  # seconds; not used by the policy
    drain_grace: float  # seconds within which sends to a draining server must stop
    slow_start_initial_share: float  # smallest share of its capacity that a server has right after its start
    slow_start_duration: float  # seconds after its start until a server has its full capacity
    overload_multiple: float  # multiple of its present capacity at which a starting server fails
    overload_window: float  # seconds over which the load of a starting server is measured
    max_fetch_interval: float  # seconds; only if discovery is asked ("ask"); not used by the policy

    def __post_init__(self) -> None:
        _require(0 <= self.slow_start_initial_share <= 1, "slow_start_initial_share must be between 0 and 1")
        smallest = min(
            self.drain_grace, self.slow_start_duration, self.overload_multiple, self.overload_window
        )
        _require(smallest >= 0, "rules: times and multiples must not be negative")


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one gateway; raises ValueError."""

    index: int  # of this gateway, from 0
    gateways: int  # number of gateways
    zone: str  # of this gateway
    classes: dict[str, ServiceClass]
    plans: dict[str, Plan]
    limits: Limits
    rules: Rules
    prices: dict[str, float]  # costs by name, such as "cross_zone" for an attempt in another zone
    counter_enabled: bool  # whether there is a shared counter
    counter_price: float  # cost of one call to the counter, in value
    counter_timeout: float  # seconds
    meter_period: float  # seconds; not used by the policy
    settles_actual_units: bool  # whether a tenant is charged the units reported with the response
    max_request_units: float  # of one request
    discovery: str  # "push" (discovery sends changes) or "ask" (the gateway asks for them)
    report_fields: tuple[str, ...]  # fields of a load report
    weight_meaning: str  # of a server's weight: "nominal" or "rough" size, or "none"

    def __post_init__(self) -> None:
        _require(0 <= self.index < self.gateways, "index must be between 0 and gateways - 1")
        _require(self.discovery in ("push", "ask"), f"unknown discovery mode {self.discovery!r}")
        _require(
            not self.counter_enabled or self.counter_timeout > 0,
            "a counter requires a counter_timeout above 0",
        )
        _require(bool(self.classes), "there must be at least one request class")


@dataclass(frozen=True, slots=True)
class Server:
    """A server as discovery lists it; raises ValueError."""

    id: str
    zone: str
    cell: int
    weight: float  # its meaning: Settings.weight_meaning
    kind: str  # of machine
    state: str  # one of SERVER_STATES; "leaving" means draining
    started_at: float  # clock time of its last start; 0: long ago

    def __post_init__(self) -> None:
        # Not _require: lists are long, so the message is formatted only on failure.
        if self.state not in SERVER_STATES:
            raise ValueError(f"server {self.id}: unknown state {self.state!r}")


@dataclass(frozen=True, slots=True)
class ServerListUpdate:
    """Event: discovery sent a server list or changes to it, or failed to; raises ValueError."""

    mode: str  # one of SERVER_LIST_MODES
    version: int
    servers: tuple[Server, ...]

    def __post_init__(self) -> None:
        _require(self.mode in SERVER_LIST_MODES, f"unknown server list mode {self.mode!r}")


@dataclass(frozen=True, slots=True)
class Request:
    """Event: a client sent a request; raises ValueError."""

    id: str
    remaining_time: float  # seconds until the client's deadline
    tenant: str
    plan: str
    service_class: str
    units: float
    first_gateway: int  # index of the first of the tenant's gateways, which are consecutive
    spread: int  # number of the tenant's gateways
    is_retry: bool = False  # not used by the policy
    is_write: bool = False  # not used by the policy

    def __post_init__(self) -> None:
        _require(self.units >= 0, f"request {self.id}: units must not be negative")
        _require(self.spread >= 1, f"request {self.id}: spread must be at least 1")


@dataclass(frozen=True, slots=True)
class Outcome:
    """Event: an attempt ended; raises ValueError."""

    id: str  # of the request
    attempt: int
    server: str
    result: str  # one of ATTEMPT_RESULTS
    elapsed: float  # seconds since the attempt began
    final: bool  # whether the request has ended
    quota_usage: int = 0  # 1 + percent of the tenant's rate used in the last metering period; 0: not reported
    actual_units: float = 0  # units that the server charged for the request; 0: not reported
    report: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        _require(self.result in ATTEMPT_RESULTS, f"unknown result {self.result!r}")


@dataclass(frozen=True, slots=True)
class CounterResult:
    """Event: a call to the shared counter ended; raises ValueError."""

    counter_key: int  # as in AddToCounter
    result: str  # one of COUNTER_RESULTS
    total: float  # of the count after the addition, if the result is "ok"
    elapsed: float  # seconds since the call

    def __post_init__(self) -> None:
        _require(self.result in COUNTER_RESULTS, f"unknown counter result {self.result!r}")


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """Event: a probe ended."""

    server: str
    result: str  # one of ATTEMPT_RESULTS
    elapsed: float  # seconds since the probe was sent
    report: dict[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Event: a timer that the policy set has expired."""

    label: int


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """Event: a server began to stream its response to an attempt."""

    id: str  # of the request
    attempt: int
    server: str
    elapsed: float  # seconds since the attempt was sent


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """Event: the client of a request disconnected."""

    id: str  # of the request


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """Event: another gateway sent a message. The policy ignores it."""

    sender: int  # index of the gateway
    data: bytes


Event = (
    ServerListUpdate
    | Request
    | Outcome
    | CounterResult
    | ProbeResult
    | TimerExpired
    | AttemptStarted
    | ClientDisconnected
    | PeerMessage
)


@dataclass(frozen=True, slots=True)
class Send:
    """Action: send an attempt of a request to a server."""

    id: str  # of the request
    server: str
    timeout: float = 0  # seconds; 0: until the client's deadline
    slow_start: bool = False  # whether a delayed write needs GatewayPolicy.admits_delayed_attempt


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action: answer a request with a refusal, after which the client may safely send it again."""

    id: str  # of the request
    retry_after: float = 0  # seconds
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Fail:
    """Action: answer a request with an error, as it may have been executed."""

    id: str  # of the request
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Action: cancel an attempt."""

    id: str  # of the request
    attempt: int


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Action: add an amount to a count of the shared counter and report its new total."""

    counter_key: int  # a hash that identifies the count
    amount: float
    lifetime: float  # seconds after which the counter may drop the count


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Action: report TimerExpired with this label after a delay."""

    delay: float  # seconds
    label: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Action: ask a server for its load report."""

    server: str


@dataclass(frozen=True, slots=True)
class CloseConnections:
    """Action: close the idle connections to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class FetchServerList:
    """Action: ask discovery for the whole server list, once."""


@dataclass(frozen=True, slots=True)
class WatchServerList:
    """Action: start or stop watching discovery for changes to the server list."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class Log:
    """Action: write a log line."""

    text: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | AddToCounter
    | SetTimer
    | Probe
    | CloseConnections
    | FetchServerList
    | WatchServerList
    | Log
)
