"""The invariants of a soak, one function each. They use only observations from outside the gateways."""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict
from collections.abc import Callable, Hashable, Iterable, Iterator
from dataclasses import dataclass

from emulator.real.processes import READY_TIMEOUT
from emulator.soak.clients import BAD_CLIENT_TIMEOUT, LATE_RESPONSE_GRACE, has_expected_value
from emulator.soak.configuration import (
    DEDUP_WINDOW,
    DRAIN_GRACE,
    MAX_DESCRIPTORS,
    MAX_DISCOVERY_DELAY,
    MEAN_SERVICE_TIME,
    OVERLOAD_MULTIPLE,
    OVERLOAD_WINDOW,
    PLAN,
    SERVER_CONCURRENCY,
    SLOW_START_DURATION,
    SLOW_START_INITIAL_SHARE,
)
from emulator.soak.record import Effect, ProcessRun, RequestOutcome, RequestRecord, SoakRecord

CLOCK_TOLERANCE = 0.05  # seconds that transport to and from this process may add to a timestamp
CLOSE_DETECTION_TIME = 0.1  # seconds after a client's close within which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds by which a propagated deadline may exceed the remaining time
READ_TIMEOUT = 0.3  # seconds after which a gateway must have read a command
# Multiple of a tenant's quota over the soak. Each gateway admits a share on its own while the counter is
# unreachable.
MAX_QUOTA_MULTIPLE = 1.5
MAX_GROWTH_KB = 12_000  # allowed growth of resident memory after the warm-up
WARM_UP_TIME = 5.0  # seconds after the start of a process
SMALL_BUDGET = 30  # attempts; slow-start budgets below it get a wider margin
SPARE_DESCRIPTORS = 4  # descriptors that must stay free
DISCOVERY_FAULT_PREFIXES = ("discovery-", "watch-", "reload", "restart", "kill")


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant; the field names are keys of the soak's report.

    Attributes:
        at: seconds on the clock of the record.
        detail: the ids of the request, gateway, connection or server, and what was observed.
    """

    invariant: str
    at: float
    detail: str


def describe_request(request: RequestRecord) -> str:
    """Returns the ids of a request, its gateway's process run and its connection; report.py parses them."""
    return (
        f"request {request.id} gateway {request.gateway}.{request.run_number} connection {request.connection}"
    )


def tolerance(record: SoakRecord, begin: float, end: float) -> float:
    """Returns the seconds by which timestamps in a time span may be wrong."""
    return CLOCK_TOLERANCE + record.max_scheduling_delay(begin, end)


def was_killed(run: ProcessRun, request: RequestRecord) -> bool:
    """Returns whether a process was killed without SIGTERM before the latest time for a response."""
    until = request.sent_at + request.timeout + LATE_RESPONSE_GRACE
    killed = run.sigkill_at is not None and run.sigkill_at < until
    return killed and run.sigterm_at is None


def one_answer(record: SoakRecord) -> Iterator[Violation]:
    """Each accepted request gets exactly one final response, at most 0.5 s after its deadline."""
    attempts = record.attempts_by_request()
    for request in record.requests:
        name = "one_answer"
        subject = describe_request(request)
        if request.response_count > 1:
            yield Violation(name, request.ended_at, f"{subject}: {request.response_count} responses")
        if request.client_closed_at is not None or was_killed(
            record.process_run(request.gateway, request.run_number), request
        ):
            continue
        late = request.ended_at - request.sent_at - request.timeout - LATE_RESPONSE_GRACE
        if request.outcome is RequestOutcome.NO_RESPONSE:
            yield Violation(name, request.sent_at, f"{subject}: no response")
        elif late > tolerance(record, request.sent_at, request.ended_at):
            yield Violation(name, request.ended_at, f"{subject}: {late:.3f} s late")
        elif request.outcome is RequestOutcome.CONNECTION_CLOSED:
            earlier_attempts = [
                attempt for attempt in attempts.get(request.id, []) if attempt.received_at < request.ended_at
            ]
            waited = request.ended_at - request.sent_at - tolerance(record, request.sent_at, request.ended_at)
            if earlier_attempts or waited > READ_TIMEOUT:
                yield Violation(name, request.ended_at, f"{subject}: closed without a response")


def right_answer(record: SoakRecord) -> Iterator[Violation]:
    """Each served response is the value that a server produced for that request."""
    for request in record.requests:
        if request.outcome is RequestOutcome.SERVED and not has_expected_value(request):
            yield Violation(
                "right_answer", request.ended_at, f"{describe_request(request)}: {request.response[:40]!r}"
            )


def requests_by_id(record: SoakRecord) -> dict[str, RequestRecord]:
    """Returns the requests by id; for a request that was resent, the first one."""
    requests: dict[str, RequestRecord] = {}
    for request in record.requests:
        requests.setdefault(request.id, request)
    return requests


def runs_once(record: SoakRecord) -> Iterator[Violation]:
    """A request of a class that must not be retried reaches at most one server once."""
    requests = requests_by_id(record)
    for request_id, attempts in record.attempts_by_request().items():
        request = requests.get(request_id)
        if request is not None and request.effect is Effect.UNSAFE and len(attempts) > 1:
            if was_killed(record.process_run(request.gateway, request.run_number), request):
                continue  # the client may resend requests of a killed gateway
            servers = ",".join(attempt.server for attempt in attempts)
            yield Violation(
                "runs_once", attempts[1].received_at, f"{describe_request(request)} ran at {servers}"
            )


def repeats_in_window(record: SoakRecord) -> Iterator[Violation]:
    """A keyed request is retried only within the window in which servers drop duplicates."""
    requests = requests_by_id(record)
    for request_id, attempts in record.attempts_by_request().items():
        request = requests.get(request_id)
        if request is None or request.effect is not Effect.KEYED:
            continue
        first = attempts[0].received_at
        for attempt in attempts[1:]:
            if attempt.received_at - first > DEDUP_WINDOW + tolerance(record, first, attempt.received_at):
                yield Violation(
                    "repeats_in_window",
                    attempt.received_at,
                    f"{describe_request(request)}: "
                    f"{attempt.received_at - first:.3f} s after the first attempt",
                )


def nothing_after_leaving(record: SoakRecord) -> Iterator[Violation]:
    """No attempt begins more than 0.1 s after the client closed its connection."""
    attempts = record.attempts_by_request()
    for request in record.requests:
        if request.client_closed_at is None:
            continue
        for attempt in attempts.get(request.id, []):
            after = attempt.received_at - request.client_closed_at
            if after > CLOSE_DETECTION_TIME + tolerance(
                record, request.client_closed_at, attempt.received_at
            ):
                yield Violation(
                    "nothing_after_leaving",
                    attempt.received_at,
                    f"{describe_request(request)}: {after:.3f} s after the client closed",
                )


def nothing_after_answer(record: SoakRecord) -> Iterator[Violation]:
    """No attempt begins after the final response."""
    requests = requests_by_id(record)
    send_counts = Counter(request.id for request in record.requests)
    for request_id, attempts in record.attempts_by_request().items():
        request = requests.get(request_id)
        if request is None or send_counts[request_id] > 1 or request.response_count == 0:
            continue
        for attempt in attempts:
            if attempt.received_at - request.ended_at > tolerance(
                record, request.ended_at, attempt.received_at
            ):
                yield Violation(
                    "nothing_after_answer",
                    attempt.received_at,
                    f"{describe_request(request)}: "
                    f"{attempt.received_at - request.ended_at:.3f} s after the response",
                )


def deadline_told(record: SoakRecord) -> Iterator[Violation]:
    """The deadline propagated to a server exceeds the client's remaining time by at most 0.15 s."""
    requests, last_sent_at = (
        requests_by_id(record),
        {request.id: request.sent_at for request in record.requests},
    )
    for attempt in record.attempts:
        request = requests.get(attempt.id)
        if request is None:
            continue
        remaining = last_sent_at[attempt.id] + request.timeout - attempt.received_at
        if attempt.remaining_time > max(remaining, 0.0) + DEADLINE_SLACK + tolerance(
            record, request.sent_at, attempt.received_at
        ):
            yield Violation(
                "deadline_told",
                attempt.received_at,
                f"{describe_request(request)}: "
                f"propagated {attempt.remaining_time:.3f} s, {remaining:.3f} s left",
            )


@dataclass(slots=True)
class UnavailablePeriod:
    """The time from the latest delivery of a drain or removal to the earliest of the server's return."""

    start: float
    end: float = math.inf


def unavailable_periods(
    changes: Iterable[tuple[Hashable, str, float, float]],
) -> dict[Hashable, list[UnavailablePeriod]]:
    """Returns the periods in which a server must not be sent to, by the key of its changes.

    Args:
        changes: a key, a state, and the earliest and the latest time of its delivery, in the order sent.
    """
    periods: dict[Hashable, list[UnavailablePeriod]] = {}
    for key, state, earliest, latest in changes:
        previous = periods.setdefault(key, [])
        is_unavailable = bool(previous) and previous[-1].end == math.inf
        if state == "up" and is_unavailable:
            previous[-1].end = earliest
        elif state != "up" and not is_unavailable:
            previous.append(UnavailablePeriod(latest))
    return periods


def seconds_too_late(
    record: SoakRecord, received_at: float, periods: Iterable[UnavailablePeriod]
) -> float | None:
    """Returns how long before an attempt its server had become unavailable, if the drain grace was over."""
    for period in periods:
        late = received_at - period.start
        if (
            late > DRAIN_GRACE
            and received_at < period.end
            and late > DRAIN_GRACE + tolerance(record, period.start, received_at)
        ):
            return late
    return None


def drained_servers_rest(record: SoakRecord) -> Iterator[Violation]:
    """A gateway stops sending to a server within the drain grace after it received the drain or removal."""
    periods = unavailable_periods(
        (
            (delivery.gateway, delivery.run_number, delivery.server),
            delivery.state,
            delivery.written_at,
            delivery.delivered_at,
        )
        for delivery in record.state_deliveries
    )
    requests = requests_by_id(record)
    for attempt in record.attempts:
        request = requests.get(attempt.id)
        if request is None:
            continue
        key = (request.gateway, request.run_number, attempt.server)
        late = seconds_too_late(record, attempt.received_at, periods.get(key, ()))
        if late is not None:
            subject = f"{describe_request(request)} server {attempt.server}"
            yield Violation(
                "drained_servers_rest",
                attempt.received_at,
                f"{subject}: {late:.3f} s after the gateway received it",
            )


def latest_delivery(record: SoakRecord, at: float) -> float:
    """Returns the latest time at which a change in discovery at `at` must have reached every gateway.

    That is 6 s after the change. A fault that makes discovery or a gateway unavailable restarts this time.
    """
    prefixes = DISCOVERY_FAULT_PREFIXES
    for fault in sorted(record.faults, key=lambda fault: fault.began):
        if fault.name.startswith(prefixes) and fault.began <= at + MAX_DISCOVERY_DELAY and fault.ended > at:
            at = fault.ended
    return at + MAX_DISCOVERY_DELAY


def changes_are_heard(record: SoakRecord) -> Iterator[Violation]:
    """No gateway sends to a server later than the drain grace after the latest delivery of its removal.

    Unlike `drained_servers_rest` this also covers a gateway that never received the change.
    """
    periods = unavailable_periods(
        (change.server, change.state, change.changed_at, latest_delivery(record, change.changed_at))
        for change in record.state_changes
    )
    requests = requests_by_id(record)
    for attempt in record.attempts:
        request = requests.get(attempt.id)
        late = seconds_too_late(record, attempt.received_at, periods.get(attempt.server, ()))
        if request is not None and late is not None:
            subject = f"{describe_request(request)} server {attempt.server}"
            yield Violation(
                "changes_are_heard",
                attempt.received_at,
                f"{subject}: {late:.3f} s after the latest delivery",
            )


def cold_servers_stand(record: SoakRecord) -> Iterator[Violation]:
    """All gateways together send a server in slow start no more than it can handle."""
    for start in record.server_starts:
        times = sorted(
            attempt.received_at
            for attempt in record.attempts
            if attempt.server == start.server
            and start.started_at <= attempt.received_at < start.started_at + SLOW_START_DURATION
        )
        for number, at in enumerate(times):
            count = sum(at <= other < at + OVERLOAD_WINDOW for other in times[number:])
            capacity_share = (
                SLOW_START_INITIAL_SHARE
                + (1 - SLOW_START_INITIAL_SHARE) * (at - start.started_at) / SLOW_START_DURATION
            )
            allowed = (
                OVERLOAD_MULTIPLE * capacity_share * SERVER_CONCURRENCY / MEAN_SERVICE_TIME * OVERLOAD_WINDOW
            )
            margin = 3 if allowed < SMALL_BUDGET else 2
            if count > allowed + margin * math.sqrt(allowed) + margin:
                yield Violation(
                    "cold_servers_stand",
                    at,
                    f"server {start.server} {at - start.started_at:.2f} s old: {count} for {allowed:.1f}",
                )
                break


def quotas_hold(record: SoakRecord) -> Iterator[Violation]:
    """All gateways together forward at most 1.5 times a tenant's quota over the soak."""
    attempts, forwarded = record.attempts_by_request(), defaultdict(set)
    for request in record.requests:
        if request.id in attempts:
            forwarded[request.tenant].add(request.id)
    quota = PLAN.burst + PLAN.rate * (record.ended_at - record.started_at)
    for tenant, ids in forwarded.items():
        if len(ids) > MAX_QUOTA_MULTIPLE * quota:
            yield Violation("quotas_hold", record.ended_at, f"tenant {tenant}: {len(ids)} for {quota:.0f}")


def bad_clients_are_answered(record: SoakRecord) -> Iterator[Violation]:
    """A client that violates the protocol gets an error or a close within 3 s."""
    for bad_client in record.bad_clients:
        run = record.process_run(bad_client.gateway, bad_client.run_number)
        elapsed = (bad_client.ended_at or math.inf) - bad_client.started_at
        if elapsed <= BAD_CLIENT_TIMEOUT + tolerance(
            record, bad_client.started_at, bad_client.started_at + BAD_CLIENT_TIMEOUT + 1
        ):
            continue
        if run.sigkill_at is None or run.sigkill_at > bad_client.started_at + BAD_CLIENT_TIMEOUT:
            subject = f"gateway {bad_client.gateway}.{bad_client.run_number} {bad_client.kind}"
            yield Violation("bad_clients_are_answered", bad_client.started_at, f"{subject}: {elapsed:.3f} s")


def processes_live(record: SoakRecord) -> Iterator[Violation]:
    """A gateway becomes ready in time, ends only after SIGTERM or SIGKILL, ends in time, and exits with 0."""
    for run in record.process_runs:
        subject = f"gateway {run.gateway}.{run.number}"
        ends = [at for at in (run.sigterm_at, run.sigkill_at, run.ended_at) if at is not None]
        until = min(ends, default=record.ended_at)
        ended_by_itself = run.sigterm_at is None and run.sigkill_at is None
        if run.ready_at is None and (ended_by_itself or until - run.started_at >= READY_TIMEOUT):
            yield Violation(
                "processes_live", run.started_at, f"{subject}: never ready, exit code {run.exit_code}"
            )
        elif run.ended_at is not None and run.sigterm_at is None and run.sigkill_at is None:
            yield Violation(
                "processes_live",
                run.ended_at,
                f"{subject}: ended without a signal, exit code {run.exit_code}",
            )
        elif run.sigterm_at is not None and run.sigkill_at is not None:
            yield Violation(
                "processes_live", run.sigkill_at, f"{subject}: still running when SIGKILL was due"
            )
        elif run.sigterm_at is not None and run.exit_code not in (0, None):
            yield Violation("processes_live", run.sigterm_at, f"{subject}: exit code {run.exit_code}")


def resources_stay(record: SoakRecord) -> Iterator[Violation]:
    """Memory grows by at most 12,000 KB after the warm-up, and descriptors stay within the limit."""
    for run in record.process_runs:
        subject = f"gateway {run.gateway}.{run.number}"
        sizes = [size for at, size in run.resident_kb if at > run.started_at + WARM_UP_TIME]
        if sizes and sizes[-1] - sizes[0] > MAX_GROWTH_KB:
            yield Violation("resources_stay", record.ended_at, f"{subject}: {sizes[0]} to {sizes[-1]} KB")
        if run.descriptor_counts and max(run.descriptor_counts) > MAX_DESCRIPTORS - SPARE_DESCRIPTORS:
            yield Violation(
                "resources_stay", record.ended_at, f"{subject}: {max(run.descriptor_counts)} descriptors"
            )


def own_checks_hold(record: SoakRecord) -> Iterator[Violation]:
    """The gateways' own run-time invariants recorded no violation, and no exception was logged."""
    for run in record.process_runs:
        subject = f"gateway {run.gateway}.{run.number}"
        found = re.search(r'"violations": (\{"[^}]*\})', run.log_tail)
        if found:
            yield Violation("own_checks_hold", run.ended_at or record.ended_at, f"{subject}: {found[1]}")
        if "Traceback" in run.log_tail:
            lines = run.log_tail.split("Traceback")[1].strip().split("\n")
            error = next((line for line in lines if re.match(r"\w+(Error|Exception)", line)), lines[0])
            yield Violation("own_checks_hold", run.ended_at or record.ended_at, f"{subject}: {error[:120]}")


def commands_are_sound(record: SoakRecord) -> Iterator[Violation]:
    """Servers receive only well-formed commands."""
    for at, detail in record.malformed_commands:
        yield Violation("commands_are_sound", at, detail)


InvariantCheck = Callable[[SoakRecord], Iterator[Violation]]

INVARIANT_CHECKS: tuple[InvariantCheck, ...] = (
    one_answer,
    right_answer,
    runs_once,
    repeats_in_window,
    nothing_after_leaving,
    nothing_after_answer,
    deadline_told,
    drained_servers_rest,
    changes_are_heard,
    cold_servers_stand,
    quotas_hold,
    bad_clients_are_answered,
    processes_live,
    resources_stay,
    own_checks_hold,
    commands_are_sound,
)


def check_invariants(record: SoakRecord) -> list[Violation]:
    """Runs all invariant checks and returns the violations, ordered by time."""
    found = [violation for check in INVARIANT_CHECKS for violation in check(record)]
    return sorted(found, key=lambda violation: violation.at)
