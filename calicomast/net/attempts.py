"""Final checks of an attempt at the moment of its write, and invariant checks on the bytes that are sent.

This module gathers the facts; rules.py decides from them whether an attempt may be written.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from time import monotonic

from calicomast import interface as api
from calicomast.net.clock import Clock
from calicomast.net.events import EventKind, EventLog
from calicomast.net.invariants import MONITOR, Invariant
from calicomast.net.requests import ActiveRequest
from calicomast.net.server_connections import Attempt
from calicomast.rules import MAX_PROCESS_PAUSE, AttemptFacts, Verdict, may_write_attempt

PROPAGATED_DEADLINE = re.compile(rb"[\n,]d=([0-9]+)")  # milliseconds, in an encoded command
MAX_LOGGED_BYTES = 200  # of a command, in the message of a violation
MILLISECONDS_PER_SECOND = 1000


class AttemptControl:
    """Decides whether the attempts of one gateway may be written, and checks those that are.

    Args:
        listed: returns whether requests may be sent to a server now.
        admits_late: returns whether an attempt (clock time, request id, attempt number, server) may still be
            written to a server in slow start whose connection came up late.
    """

    def __init__(
        self,
        settings: api.Settings,
        clock: Clock,
        listed: Callable[[str], bool],
        admits_late: Callable[[float, str, int, str], bool],
        events: EventLog,
    ) -> None:
        self._limits, self._clock, self._listed = settings.limits, clock, listed
        self._admits_late, self._events = admits_late, events

    def may_write(self, attempt: Attempt, connected_late: bool) -> Verdict:
        """Returns whether an attempt may be written now, and logs a refusal.

        `connected_late` means that the attempt had to wait for its connection.
        """
        request, number = attempt.tag
        verdict = may_write_attempt(
            AttemptFacts(
                finished=request.finished,
                client_gone=not request.finished and request.slot.connection.peer_has_closed(),
                remaining_time=request.deadline - monotonic(),
                retry_window_left=attempt.retry_until - self._clock(),
                attempts_written=request.attempts_written,
                max_attempts=self._limits.max_attempts,
                other_attempts=len(request.active_attempts) - (number in request.active_attempts),
                hedging_allowed=self._limits.hedging,
                server_listed=self._listed(attempt.server),
                within_slow_start_budget=not (connected_late and attempt.slow_start)
                or self._admits_late(self._clock(), request.id, number, attempt.server),
            )
        )
        if verdict is not Verdict.ALLOWED:
            ids = {"id": request.id, "attempt": number, "server": attempt.server}
            self._events.log(EventKind.ATTEMPT_NOT_WRITTEN, verdict.value, **ids)
        return verdict

    def prepare_write(self, attempt: Attempt) -> bytes:
        """Encodes the command for an attempt, counts it as written and checks it against the invariants."""
        request, _ = attempt.tag
        request.attempts_written += 1
        remaining = request.deadline - monotonic()
        payload = request.encode_command(remaining)
        self._check_invariants(attempt, request, payload, remaining)
        return payload

    def _check_invariants(
        self, attempt: Attempt, request: ActiveRequest, payload: bytes, remaining: float
    ) -> None:
        """Checks an encoded command against the invariants.

        `remaining` is the time in seconds until the request's deadline.
        """
        violated = self._find_violation(attempt, request, payload, remaining)
        if violated is not None:
            excerpt = payload[:MAX_LOGGED_BYTES]
            detail = (
                f"request {request.id} attempt {attempt.tag[1]} server {attempt.server} "
                f"remaining {remaining:.3f} {excerpt!r}"
            )
            MONITOR.record_violation(violated, detail)

    def _find_violation(
        self, attempt: Attempt, request: ActiveRequest, payload: bytes, remaining: float
    ) -> Invariant | None:
        """Returns the first invariant that the attempt violates, or None."""
        limits, deadline = self._limits, PROPAGATED_DEADLINE.search(payload)
        if (
            deadline is None
            or int(deadline[1]) / MILLISECONDS_PER_SECOND > max(remaining, 0.0) + MAX_PROCESS_PAUSE
        ):
            return Invariant.DEADLINE_TOLD
        if request.finished:
            return Invariant.ATTEMPT_AFTER_ANSWER
        if request.attempts_written > limits.max_attempts:
            return Invariant.ATTEMPT_LIMIT
        if len(request.active_attempts) > 1 and not limits.hedging:
            return Invariant.SECOND_ATTEMPT
        if attempt.retry_until < math.inf and self._clock() > attempt.retry_until + MAX_PROCESS_PAUSE:
            return Invariant.REPEAT_WINDOW
        if not self._listed(attempt.server):
            return Invariant.SERVER_GONE
        return None
