"""The invariants of a soak: one function each, judged from what was seen from outside alone."""

from __future__ import annotations

import math
import re
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from emulator.real.processes import READY_WITHIN
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

CLOCK_TOLERANCE = 0.05  # seconds that the ways to and from this process may add to a reading
CLOSE_DETECTION_TIME = 0.1  # seconds after a client's close in which an attempt may still begin
DEADLINE_SLACK = 0.15  # seconds by which the deadline told may be over what is left
READ_TIMEOUT = 0.3  # seconds after which a command that was sent has been read
MAX_QUOTA_MULTIPLE = 1.5  # of a run's quota: each gateway passes a part by itself while the counter is away
MAX_GROWTH_KB, WARM_UP_TIME = 12_000, 5.0  # memory that may come on after so many seconds
SMALL_BUDGET = 30  # below it a cold server's budget has the wider margin
SPARE_DESCRIPTORS = 4
DISCOVERY_FAULT_PREFIXES = ("discovery-", "watch-", "reload", "restart", "kill")


@dataclass(frozen=True, slots=True)
class Violation:
    """An invariant that did not hold: when, and for which ids."""

    invariant: str
    at: float
    detail: str


def describe_request(request: RequestRecord) -> str:
    """The ids of a request and of the process that took it."""
    return (
        f"request {request.id} gateway {request.gateway}.{request.run_number} connection {request.connection}"
    )


def tolerance(record: SoakRecord, begin: float, end: float) -> float:
    """By how much readings of clocks in a span may be off."""
    return CLOCK_TOLERANCE + record.max_scheduling_delay(begin, end)


def was_killed(run: ProcessRun, request: RequestRecord) -> bool:
    """Whether a gateway's process was killed, or had ended, before a request was due."""
    until = request.sent_at + request.timeout + LATE_RESPONSE_GRACE
    killed = run.sigkill_at is not None and run.sigkill_at < until
    return killed and run.sigterm_at is None


def one_answer(record: SoakRecord) -> Iterator[Violation]:
    """Each request that was taken gets one final answer, half a second after its time at the latest."""
    attempts = record.attempts_by_request()
    for request in record.requests:
        name = "one_answer"
        subject = describe_request(request)
        if request.response_count > 1:
            yield Violation(name, request.ended_at, f"{subject}: {request.response_count} answers")
        if request.client_closed_at is not None or was_killed(
            record.process_run(request.gateway, request.run_number), request
        ):
            continue
        late = request.ended_at - request.sent_at - request.timeout - LATE_RESPONSE_GRACE
        if request.outcome is RequestOutcome.NO_RESPONSE:
            yield Violation(name, request.sent_at, f"{subject}: no answer")
        elif late > tolerance(record, request.sent_at, request.ended_at):
            yield Violation(name, request.ended_at, f"{subject}: {late:.3f} s late")
        elif request.outcome is RequestOutcome.CONNECTION_CLOSED:
            earlier_attempts = [
                attempt for attempt in attempts.get(request.id, []) if attempt.received_at < request.ended_at
            ]
            waited = request.ended_at - request.sent_at - tolerance(record, request.sent_at, request.ended_at)
            if earlier_attempts or waited > READ_TIMEOUT:
                yield Violation(name, request.ended_at, f"{subject}: closed without an answer")


def right_answer(record: SoakRecord) -> Iterator[Violation]:
    """What is served is what a server made for that request."""
    for request in record.requests:
        if request.outcome is RequestOutcome.SERVED and not has_expected_value(request):
            yield Violation(
                "right_answer", request.ended_at, f"{describe_request(request)}: {request.response[:40]!r}"
            )


def requests_by_id(record: SoakRecord) -> dict[str, RequestRecord]:
    """The requests by id; of one that was sent again the first."""
    requests: dict[str, RequestRecord] = {}
    for request in record.requests:
        requests.setdefault(request.id, request)
    return requests


def runs_once(record: SoakRecord) -> Iterator[Violation]:
    """What may not be repeated runs once."""
    requests = requests_by_id(record)
    for request_id, attempts in record.attempts_by_request().items():
        request = requests.get(request_id)
        if request is not None and request.effect is Effect.UNSAFE and len(attempts) > 1:
            if was_killed(record.process_run(request.gateway, request.run_number), request):
                continue  # what a killed gateway held is its client's to repeat
            servers = ",".join(attempt.server for attempt in attempts)
            yield Violation(
                "runs_once", attempts[1].received_at, f"{describe_request(request)} ran at {servers}"
            )


def repeats_in_window(record: SoakRecord) -> Iterator[Violation]:
    """A keyed request is repeated only while servers still drop a repeat."""
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
                    f"{describe_request(request)}: {attempt.received_at - first:.3f} s after its first",
                )


def nothing_after_leaving(record: SoakRecord) -> Iterator[Violation]:
    """No attempt begins over 0.1 s after its client closed."""
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
                    f"{describe_request(request)}: {after:.3f} s after its client left",
                )


def nothing_after_answer(record: SoakRecord) -> Iterator[Violation]:
    """No attempt begins after the final answer."""
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
                    f"{attempt.received_at - request.ended_at:.3f} s after its answer",
                )


def deadline_told(record: SoakRecord) -> Iterator[Violation]:
    """A server is told at most what its client has left, with 0.15 s of slack."""
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
                f"{describe_request(request)}: told {attempt.remaining_time:.3f} s, {remaining:.3f} s left",
            )


def drained_servers_rest(record: SoakRecord) -> Iterator[Violation]:
    """Nothing is sent to a server after the grace once its gateway was told that it drains or is gone."""
    delivered_at: dict[tuple[int, int, str], float] = {}
    for delivery in sorted(record.state_deliveries, key=lambda delivery: delivery.delivered_at):
        key = (delivery.gateway, delivery.run_number, delivery.server)
        if delivery.state == "up":
            delivered_at.pop(key, None)
        else:
            delivered_at.setdefault(key, delivery.delivered_at)
    requests = requests_by_id(record)
    for attempt in record.attempts:
        request = requests.get(attempt.id)
        if request is None:
            continue
        at = delivered_at.get((request.gateway, request.run_number, attempt.server), math.inf)
        if attempt.received_at > at + DRAIN_GRACE + tolerance(record, at, attempt.received_at):
            subject = f"{describe_request(request)} server {attempt.server}"
            yield Violation(
                "drained_servers_rest",
                attempt.received_at,
                f"{subject}: {attempt.received_at - at:.3f} s after it was told",
            )


def latest_delivery(record: SoakRecord, at: float) -> float:
    """When a change that discovery had then counts as told: 6 s after it could be reached for so long."""
    prefixes = DISCOVERY_FAULT_PREFIXES
    for fault in sorted(record.faults, key=lambda fault: fault.began):
        if fault.name.startswith(prefixes) and fault.began <= at + MAX_DISCOVERY_DELAY and fault.ended > at:
            at = fault.ended
    return at + MAX_DISCOVERY_DELAY


def changes_are_heard(record: SoakRecord) -> Iterator[Violation]:
    """Nothing is sent to a server after the grace once its drain or removal counts as told to everyone."""
    unavailable_from: dict[str, float] = {}
    for change in record.state_changes:
        if change.state == "up":
            unavailable_from.pop(change.server, None)
        else:
            unavailable_from.setdefault(change.server, latest_delivery(record, change.changed_at))
    requests = requests_by_id(record)
    for attempt in record.attempts:
        request, at = requests.get(attempt.id), unavailable_from.get(attempt.server, math.inf)
        if request is not None and attempt.received_at > at + DRAIN_GRACE + tolerance(
            record, at, attempt.received_at
        ):
            subject = f"{describe_request(request)} server {attempt.server}"
            yield Violation(
                "changes_are_heard",
                attempt.received_at,
                f"{subject}: {attempt.received_at - at:.3f} s after it counts as told",
            )


def cold_servers_stand(record: SoakRecord) -> Iterator[Violation]:
    """All gateways together send a cold server no more than it bears."""
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
    """All gateways together send on little more for a customer than its quota of the run."""
    attempts, forwarded = record.attempts_by_request(), defaultdict(set)
    for request in record.requests:
        if request.id in attempts:
            forwarded[request.tenant].add(request.id)
    quota = PLAN.burst + PLAN.rate * (record.ended_at - record.started_at)
    for tenant, ids in forwarded.items():
        if len(ids) > MAX_QUOTA_MULTIPLE * quota:
            yield Violation("quotas_hold", record.ended_at, f"customer {tenant}: {len(ids)} for {quota:.0f}")


def bad_clients_are_answered(record: SoakRecord) -> Iterator[Violation]:
    """A bad client gets an error or a close within 3 s."""
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
    """A gateway is ready in time, ends only when told to, in time, and without an error."""
    for run in record.process_runs:
        subject = f"gateway {run.gateway}.{run.number}"
        ends = [at for at in (run.sigterm_at, run.sigkill_at, run.ended_at) if at is not None]
        until = min(ends, default=record.ended_at)
        ended_by_itself = run.sigterm_at is None and run.sigkill_at is None
        if run.ready_at is None and (ended_by_itself or until - run.started_at >= READY_WITHIN):
            yield Violation("processes_live", run.started_at, f"{subject}: never ready, code {run.exit_code}")
        elif run.ended_at is not None and run.sigterm_at is None and run.sigkill_at is None:
            yield Violation(
                "processes_live", run.ended_at, f"{subject}: ended by itself with {run.exit_code}"
            )
        elif run.sigterm_at is not None and run.sigkill_at is not None:
            yield Violation("processes_live", run.sigkill_at, f"{subject}: still there as SIGKILL is due")
        elif run.sigterm_at is not None and run.exit_code not in (0, None):
            yield Violation("processes_live", run.sigterm_at, f"{subject}: ended with {run.exit_code}")


def resources_stay(record: SoakRecord) -> Iterator[Violation]:
    """Memory does not keep growing, and descriptors stay within the limit."""
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
    """The gateways' own run-time checks found nothing, and no exception was logged."""
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
    """Servers get no command that no client sent in this form."""
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
    """All violations, in the order of time."""
    found = [violation for check in INVARIANT_CHECKS for violation in check(record)]
    return sorted(found, key=lambda violation: violation.at)
