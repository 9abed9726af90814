"""What may begin: one question for each kind of act, asked in the same step as the act itself.

Part of the decisions: policy.py. What holds when something is decided may have changed when it is done: after
a connection came up, after a queue, after a hold-up of the process. So whoever writes, closes, takes on or
puts in force asks here with what holds at that moment, whichever way the code got there.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

HOLD_UP = 0.15  # s for which a process may be held up between reading its clock and writing
MILLISECONDS = 1000  # in a second


class Verdict(Enum):
    """`ALLOWED`, or why not."""

    ALLOWED = "allowed"
    REQUEST_FINISHED = "request finished"
    CLIENT_GONE = "client gone"
    DEADLINE_PASSED = "deadline passed"
    REPEAT_WINDOW_CLOSED = "repeat window closed"
    ATTEMPT_LIMIT = "attempt limit"
    SECOND_ATTEMPT_OUT = "second attempt out"
    SERVER_GONE = "server draining or removed"
    START_BUDGET_SPENT = "start budget spent"
    SHUTTING_DOWN = "shutting down"
    TOO_MUCH_IN_WORK = "too much in work"
    ANSWER_OWED = "answer owed"
    BYTES_UNREAD = "bytes unread"
    EMPTY_LIST = "whole list without servers"
    SOURCE_REPLACED = "discovery was replaced"


class RefusalReason(Enum):
    """Why a request was given up."""

    DEADLINE_NEAR = "too little time left"
    LOAD_SHED = "load shed"
    CEILING = "ceiling reached"
    QUOTA = "beyond quota"
    QUOTA_UNKNOWN = "counter not heard"
    OPEN_LIMIT = "too many open"
    QUEUE_FULL = "queue full"
    WAITED = "waited too long"
    RETRIES_SPENT = "retries spent"
    NO_SERVER = "no server for a further attempt"


@dataclass(slots=True)
class AttemptFacts:
    """What holds as an attempt is to be written; times are spans in seconds from that moment on.

    Attributes:
        left: until its client gives up.
        repeat_left: until the window for repeats closes; infinite where none is open.
        begun: attempts of the request that were written before.
        others_out: other attempts of the request that are out or wait for a connection.
    """

    finished: bool
    client_gone: bool
    left: float
    repeat_left: float
    begun: int
    most_attempts: int
    others_out: int
    second_copies: bool
    server_listed: bool
    start_budget: bool


def may_write_attempt(facts: AttemptFacts) -> Verdict:
    """Whether an attempt may be written now: a first one, a repeat or a second copy."""
    if facts.finished:
        return Verdict.REQUEST_FINISHED
    if facts.client_gone:
        return Verdict.CLIENT_GONE
    if facts.left <= 0:
        return Verdict.DEADLINE_PASSED
    if facts.begun >= facts.most_attempts:
        return Verdict.ATTEMPT_LIMIT
    if facts.others_out and not facts.second_copies:
        return Verdict.SECOND_ATTEMPT_OUT
    if facts.repeat_left <= 0:
        return Verdict.REPEAT_WINDOW_CLOSED
    if not facts.server_listed:
        return Verdict.SERVER_GONE
    if not facts.start_budget:
        return Verdict.START_BUDGET_SPENT
    return Verdict.ALLOWED


def may_take_request(*, ending: bool, in_work: int, most_in_work: int, held: int, most_held: int) -> Verdict:
    """Whether a request may be taken on. `in_work`: requests; `held`: bytes of bodies."""
    if ending:
        return Verdict.SHUTTING_DOWN
    if in_work >= most_in_work or held > most_held:
        return Verdict.TOO_MUCH_IN_WORK
    return Verdict.ALLOWED


def may_close_connection(*, owed: bool, half_command: bool, unread: bool, broken: bool) -> Verdict:
    """Whether a client's connection may be closed. `owed`: an answer is; `half_command`: one was read;
    `unread`: bytes that may be a request lie in the socket; `broken`: what comes cannot be read any more."""
    if owed:
        return Verdict.ANSWER_OWED
    if not broken and (half_command or unread):
        return Verdict.BYTES_UNREAD
    return Verdict.ALLOWED


def may_apply_list(*, source_current: bool, whole: bool, empty: bool, some_held: bool) -> Verdict:
    """Whether a list of servers may be put in force. A whole one without any server, while some are held, is
    a fault of who told it, and would leave nothing to send to."""
    if not source_current:
        return Verdict.SOURCE_REPLACED
    if whole and empty and some_held:
        return Verdict.EMPTY_LIST
    return Verdict.ALLOWED


def repeat_until(first_sent: float, memory: float) -> float:
    """Until when a repeat may be written: `memory` seconds from the first attempt that may have run, less the
    time for which the process may be held up."""
    return first_sent + memory - HOLD_UP


def time_told(left: float) -> int:
    """The milliseconds that a server is told that its answer is waited for, `left` seconds being left."""
    return max(1, math.floor(left * MILLISECONDS))
