"""What may begin: one question for each kind of act, asked in the same step as the act itself.

Part of the decisions: policy.py. What holds when something is decided may have changed when it is done: after
a connection came up, after a queue, after a hold-up of the process. So whoever writes, closes, takes on or
puts in force asks here with what holds at that moment, whichever way the code got there.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

MAX_PROCESS_PAUSE = 0.15  # s for which a process may be held up between reading its clock and writing
MILLISECONDS = 1000  # in a second


class Verdict(Enum):
    """`ALLOWED`, or why not."""

    ALLOWED = "allowed"
    REQUEST_FINISHED = "request finished"
    CLIENT_GONE = "client gone"
    DEADLINE_PASSED = "deadline passed"
    RETRY_WINDOW_CLOSED = "repeat window closed"
    ATTEMPT_LIMIT = "attempt limit"
    HEDGING_NOT_ALLOWED = "second attempt out"
    SERVER_UNAVAILABLE = "server draining or removed"
    SLOW_START_BUDGET_SPENT = "start budget spent"
    SHUTTING_DOWN = "shutting down"
    CAPACITY_EXCEEDED = "too much in work"
    RESPONSE_PENDING = "answer owed"
    UNREAD_INPUT = "bytes unread"
    EMPTY_SERVER_LIST = "whole list without servers"
    SOURCE_REPLACED = "discovery was replaced"


class RefusalReason(Enum):
    """Why a request was given up."""

    DEADLINE_NEAR = "too little time left"
    LOAD_SHED = "load shed"
    CEILING_REACHED = "ceiling reached"
    OVER_QUOTA = "beyond quota"
    COUNTER_UNAVAILABLE = "counter not heard"
    OPEN_LIMIT_REACHED = "too many open"
    QUEUE_FULL = "queue full"
    QUEUE_TIMEOUT = "waited too long"
    RETRY_BUDGET_SPENT = "retries spent"
    NO_SERVER = "no server for a further attempt"


@dataclass(slots=True)
class AttemptFacts:
    """What holds as an attempt is to be written; times are spans in seconds from that moment on.

    Attributes:
        remaining_time: until its client gives up.
        retry_window_left: until the window for repeats closes; infinite where none is open.
        attempts_written: attempts of the request that were written before.
        other_attempts: other attempts of the request that are out or wait for a connection.
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
    """Whether an attempt may be written now: a first one, a repeat or a second copy."""
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


def may_accept_request(
    *,
    shutting_down: bool,
    active_requests: int,
    max_active_requests: int,
    body_bytes: int,
    max_body_bytes: int,
) -> Verdict:
    """Whether a request may be taken on. `active_requests`: requests; `body_bytes`: bytes of bodies."""
    if shutting_down:
        return Verdict.SHUTTING_DOWN
    if active_requests >= max_active_requests or body_bytes > max_body_bytes:
        return Verdict.CAPACITY_EXCEEDED
    return Verdict.ALLOWED


def may_close_connection(
    *, response_pending: bool, partial_command: bool, unread_input: bool, framing_lost: bool
) -> Verdict:
    """Whether a client's connection may be closed. `response_pending`: an answer is owed; `partial_command`:
    half a command was read; `unread_input`: bytes that may be a request lie in the socket; `framing_lost`:
    what comes cannot be read any more."""
    if response_pending:
        return Verdict.RESPONSE_PENDING
    if not framing_lost and (partial_command or unread_input):
        return Verdict.UNREAD_INPUT
    return Verdict.ALLOWED


def may_apply_server_list(
    *, source_current: bool, is_complete: bool, is_empty: bool, has_servers: bool
) -> Verdict:
    """Whether a list of servers may be put in force. A whole one without any server, while some are held, is
    a fault of who told it, and would leave nothing to send to."""
    if not source_current:
        return Verdict.SOURCE_REPLACED
    if is_complete and is_empty and has_servers:
        return Verdict.EMPTY_SERVER_LIST
    return Verdict.ALLOWED


def retry_deadline(first_sent: float, memory: float) -> float:
    """Until when a repeat may be written: `memory` seconds from the first attempt that may have run, less the
    time for which the process may be held up."""
    return first_sent + memory - MAX_PROCESS_PAUSE


def remaining_time_ms(left: float) -> int:
    """The milliseconds that a server is told that its answer is waited for, `left` seconds being left."""
    return max(1, math.floor(left * MILLISECONDS))
