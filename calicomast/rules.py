"""Rules that decide whether an action may start: a write, an accept, a close or an update of the server list.

Part of the policy, see policy.py. The facts behind an earlier decision can change before the action runs,
for example while a connection is established, while a request is queued or while the process is suspended.
So the code that writes an attempt, closes a connection, accepts a request or applies a server list evaluates
the rule in the same step as the action, with the facts of that moment, on every code path.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from calicomast import interface as api

MAX_PROCESS_PAUSE = 0.15  # seconds that the process may be suspended between reading its clock and writing
# Seconds from encoding a command until its socket has taken the last byte. The command states a remaining
# time that is too long by as much.
MAX_WRITE_TIME = 0.05
WRITE_CHECK_INTERVAL = 0.01  # seconds between checks of a command that its socket has taken only in part
MILLISECONDS_PER_SECOND = 1000


class Verdict(Enum):
    """Result of a rule: `ALLOWED`, or the reason why the action may not start."""

    ALLOWED = "allowed"
    REQUEST_FINISHED = "request finished"
    CLIENT_GONE = "client gone"
    DEADLINE_PASSED = "deadline passed"
    RETRY_WINDOW_CLOSED = "repeat window closed"
    ATTEMPT_LIMIT = "attempt limit"
    HEDGING_NOT_ALLOWED = "second attempt out"
    REMAINING_TIME_OUTDATED = "remaining time outdated"
    SERVER_UNAVAILABLE = "server draining or removed"
    SLOW_START_BUDGET_SPENT = "start budget spent"
    SHUTTING_DOWN = "shutting down"
    CAPACITY_EXCEEDED = "too much in work"
    RESPONSE_PENDING = "answer owed"
    UNREAD_INPUT = "bytes unread"
    EMPTY_SERVER_LIST = "whole list without servers"  # of a version that is not newer
    SOURCE_REPLACED = "discovery was replaced"


class RefusalReason(Enum):
    """Reason why the policy refused or failed a request."""

    DEADLINE_NEAR = "too little time left"
    LOAD_SHED = "load shed"
    CEILING_REACHED = "ceiling reached"
    OVER_QUOTA = "beyond quota"
    COUNTER_UNAVAILABLE = "counter not heard"
    CONCURRENCY_LIMIT_REACHED = "too many open"
    QUEUE_FULL = "queue full"
    QUEUE_TIMEOUT = "waited too long"
    RETRY_BUDGET_SPENT = "retries spent"
    NO_SERVER = "no server for a further attempt"


@dataclass(slots=True)
class AttemptFacts:
    """State of a request and its server at the moment an attempt is about to be written.

    Attributes:
        finished: whether the request already has its final answer.
        client_gone: whether the client has closed its connection.
        remaining_time: seconds until the client gives up.
        retry_window_left: seconds until servers may no longer discard the attempt as a duplicate of another
            one that may have been executed; infinite while there is none, or the class is safe to repeat.
        attempts_written: attempts of the request that were written before this one.
        max_attempts: limit of written attempts for one request.
        other_attempts: other attempts of the request that are in flight or wait for a connection.
        hedging_allowed: whether several attempts of the request may be in flight at once.
        server_listed: whether the server list has the server as up.
        within_slow_start_budget: whether the slow-start admission of the server still allows the attempt.
    """

    finished: bool
    client_gone: bool
    remaining_time: float
    retry_window_left: float
    attempts_written: int
    max_attempts: int
    other_attempts: int
    hedging_allowed: bool
    server_listed: bool
    within_slow_start_budget: bool


def may_write_attempt(facts: AttemptFacts) -> Verdict:
    """Decides whether an attempt may be written now, whether it is the first one, a retry or a hedged one."""
    if facts.finished:
        return Verdict.REQUEST_FINISHED
    if facts.client_gone:
        return Verdict.CLIENT_GONE
    if facts.remaining_time <= 0:
        return Verdict.DEADLINE_PASSED
    if facts.attempts_written >= facts.max_attempts:
        return Verdict.ATTEMPT_LIMIT
    if facts.other_attempts and not facts.hedging_allowed:
        return Verdict.HEDGING_NOT_ALLOWED
    if facts.retry_window_left <= 0:
        return Verdict.RETRY_WINDOW_CLOSED
    if not facts.server_listed:
        return Verdict.SERVER_UNAVAILABLE
    if not facts.within_slow_start_budget:
        return Verdict.SLOW_START_BUDGET_SPENT
    return Verdict.ALLOWED


@dataclass(slots=True)
class PartialWriteFacts:
    """State of an attempt whose command its socket has not taken completely.

    The server does not execute the attempt before it has the last byte, so it may still be withdrawn.

    Attributes:
        begun: whether the socket took any byte.
        write_time: seconds since the command was encoded.
        The others are those of AttemptFacts.
    """

    finished: bool
    client_gone: bool
    remaining_time: float
    retry_window_left: float
    server_listed: bool
    begun: bool
    write_time: float


def may_finish_write(facts: PartialWriteFacts) -> Verdict:
    """Decides whether the rest of a command may be written until the next check of it."""
    if facts.finished:
        return Verdict.REQUEST_FINISHED
    if facts.client_gone:
        return Verdict.CLIENT_GONE
    if facts.remaining_time <= WRITE_CHECK_INTERVAL:
        return Verdict.DEADLINE_PASSED
    if facts.retry_window_left <= WRITE_CHECK_INTERVAL:
        return Verdict.RETRY_WINDOW_CLOSED
    if facts.write_time + WRITE_CHECK_INTERVAL > MAX_WRITE_TIME:
        return Verdict.REMAINING_TIME_OUTDATED
    if not facts.begun and not facts.server_listed:
        return Verdict.SERVER_UNAVAILABLE
    return Verdict.ALLOWED


def may_accept_request(
    *,
    shutting_down: bool,
    active_requests: int,
    max_active_requests: int,
    command_bytes: int,
    max_command_bytes: int,
) -> Verdict:
    """Decides whether a new request may be accepted.

    Args:
        shutting_down: whether the gateway no longer accepts requests.
        active_requests: number of requests without a final answer.
        max_active_requests: limit of `active_requests`.
        command_bytes: total size of the commands of the active requests.
        max_command_bytes: limit of `command_bytes`.
    """
    if shutting_down:
        return Verdict.SHUTTING_DOWN
    if active_requests >= max_active_requests or command_bytes > max_command_bytes:
        return Verdict.CAPACITY_EXCEEDED
    return Verdict.ALLOWED


def may_close_connection(
    *, response_pending: bool, partial_command: bool, unread_input: bool, framing_lost: bool
) -> Verdict:
    """Decides whether the connection of a client may be closed.

    Args:
        response_pending: whether a request of this connection is still without its response.
        partial_command: whether the beginning of a command was read.
        unread_input: whether the socket buffer holds bytes that may be a request.
        framing_lost: whether further input of this connection can no longer be parsed.
    """
    if response_pending:
        return Verdict.RESPONSE_PENDING
    if not framing_lost and (partial_command or unread_input):
        return Verdict.UNREAD_INPUT
    return Verdict.ALLOWED


def may_apply_server_list(
    *, source_superseded: bool, is_complete: bool, is_empty: bool, is_newer: bool, has_servers: bool
) -> Verdict:
    """Decides whether a server list may be applied.

    What a complete list does not name is gone, so one without servers ends all sending. While servers are
    known it is rejected unless it is newer than what is known: a source that has lost its data begins anew.

    Args:
        source_superseded: whether a discovery service that was configured after this list's has sent a list.
        is_complete: whether the list replaces all known servers, rather than changing some.
        is_empty: whether the list names no server.
        is_newer: whether its version is higher than that of the last list applied.
        has_servers: whether any server is known now.
    """
    if source_superseded:
        return Verdict.SOURCE_REPLACED
    if is_complete and is_empty and has_servers and not is_newer:
        return Verdict.EMPTY_SERVER_LIST
    return Verdict.ALLOWED


def retry_deadline(service_class: api.ServiceClass, send_times: Collection[float]) -> float:
    """Returns the clock time until which an attempt of a request may be written beside its other attempts.

    This holds for a first attempt too: others may have been written while it waited for its connection.

    Servers discard duplicates for `dedup_window` seconds from the first attempt that may have been executed.
    The retry window ends `MAX_PROCESS_PAUSE` seconds earlier, because the process may be suspended that long
    between this check and the write.

    Args:
        service_class: the class of the request.
        send_times: clock times at which those of the other attempts were sent that may have been executed.

    Returns:
        Infinity while nothing limits the attempt, negative infinity if it may not be written at all.
    """
    if service_class.effect == "safe" or not send_times:
        return math.inf
    if service_class.effect == "unsafe":
        return -math.inf
    return min(send_times) + service_class.dedup_window - MAX_PROCESS_PAUSE


def remaining_time_ms(remaining_time: float) -> int:
    """Returns the remaining time to propagate to a server, in whole milliseconds and at least 1.

    `remaining_time` is in seconds.
    """
    return max(1, math.floor(remaining_time * MILLISECONDS_PER_SECOND))
