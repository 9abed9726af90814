"""Final checks of an attempt at the moment of its write, and invariant checks on the bytes that are sent.

This module gathers the facts; rules.py decides from them whether an attempt may be written.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from time import monotonic

from calicomast import interface as api
from calicomast.net.attempt import Attempt
from calicomast.net.clock import Clock
from calicomast.net.events import EventKind, EventLog
from calicomast.net.invariants import MONITOR, Invariant
from calicomast.net.requests import ActiveRequest
from calicomast.rules import (
    MAX_PROCESS_PAUSE,
    AttemptFacts,
    PartialWriteFacts,
    Verdict,
    may_finish_write,
    may_write_attempt,
    retry_deadline,
)

PROPAGATED_DEADLINE = re.compile(rb"[\n,]d=([0-9]+)")  # milliseconds, in an encoded command
MAX_LOGGED_BYTES = 200  # of a command, in the message of a violation
MILLISECONDS_PER_SECOND = 1000


class AttemptControl:
    """Decides whether the attempts of one gateway may be written, and checks those that are.

    Args:
        is_available: returns whether requests may be sent to a server now.
        admits_delayed_attempt: returns whether an attempt (clock time, request id, attempt number, server)
            may still be written to a server in slow start whose connection was established late.
    """

    def __init__(
        self,
        settings: api.Settings,
        clock: Clock,
        is_available: Callable[[str], bool],
        admits_delayed_attempt: Callable[[float, str, int, str], bool],
        events: EventLog,
    ) -> None:
        self._limits, self._clock, self._is_available = settings.limits, clock, is_available
        self._admits_delayed_attempt, self._events = admits_delayed_attempt, events

    def may_write(self, attempt: Attempt, connected_late: bool) -> Verdict:
        """Returns whether an attempt may be written now, and logs a refusal.

        `connected_late` means that the attempt had to wait for its connection.
        """
        request, number = attempt.request_and_number
        verdict = may_write_attempt(
            AttemptFacts(
                finished=request.finished,
                client_gone=not request.finished and request.slot.connection.peer_has_closed(),
                remaining_time=request.deadline - monotonic(),
                retry_window_left=self._retry_window_left(attempt),
                attempts_written=request.attempts_written,
                max_attempts=self._limits.max_attempts,
                other_attempts=len(request.active_attempts) - (number in request.active_attempts),
                hedging_allowed=self._limits.hedging,
                server_listed=self._is_available(attempt.server),
                within_slow_start_budget=not (connected_late and attempt.slow_start)
                or self._admits_delayed_attempt(self._clock(), request.id, number, attempt.server),
            )
        )
        if verdict is not Verdict.ALLOWED:
            self.log_refusal(attempt, verdict)
        return verdict

    def may_finish_write(self, attempt: Attempt, begun: bool) -> Verdict:
        """Returns whether the rest of a partly written command may be written, and logs a refusal.

        `begun` means that the socket took at least one byte.
        """
        request, _ = attempt.request_and_number
        now = monotonic()
        verdict = may_finish_write(
            PartialWriteFacts(
                finished=request.finished,
                client_gone=not request.finished and request.slot.connection.peer_has_closed(),
                remaining_time=request.deadline - now,
                retry_window_left=self._retry_window_left(attempt),
                server_listed=self._is_available(attempt.server),
                begun=begun,
                write_time=now - attempt.encoded_at,
            )
        )
        if verdict is not Verdict.ALLOWED:
            self.log_refusal(attempt, verdict)
        return verdict

    def log_refusal(self, attempt: Attempt, verdict: Verdict) -> None:
        """Counts and logs why an attempt was not written."""
        request, number = attempt.request_and_number
        ids = {"id": request.id, "attempt": number, "server": attempt.server}
        self._events.log(EventKind.ATTEMPT_NOT_WRITTEN, verdict.value, **ids)

    def _retry_window_left(self, attempt: Attempt) -> float:
        """Returns for how many seconds an attempt may still be written, given the writes of the others."""
        request, number = attempt.request_and_number
        if not request.write_times:
            return math.inf
        return retry_deadline(request.service_class, request.write_times_beside(number)) - self._clock()

    def prepare_write(self, attempt: Attempt) -> bytes:
        """Encodes the command for an attempt, counts it as written and checks it against the invariants."""
        request, number = attempt.request_and_number
        request.attempts_written += 1
        if request.service_class.effect != "safe":
            request.write_times[number] = self._clock()
        attempt.encoded_at = monotonic()
        remaining = request.deadline - attempt.encoded_at
        command = request.encode_command(remaining)
        self._check_invariants(attempt, request, command, remaining)
        return command

    def _check_invariants(
        self, attempt: Attempt, request: ActiveRequest, command: bytes, remaining: float
    ) -> None:
        """Checks an encoded command against the invariants.

        `remaining` is the time in seconds until the request's deadline.
        """
        violated = self._find_violation(attempt, request, command, remaining)
        if violated is not None:
            excerpt = command[:MAX_LOGGED_BYTES]
            detail = (
                f"request {request.id} attempt {attempt.request_and_number[1]} server {attempt.server} "
                f"remaining {remaining:.3f} {excerpt!r}"
            )
            MONITOR.record_violation(violated, detail)

    def _find_violation(
        self, attempt: Attempt, request: ActiveRequest, command: bytes, remaining: float
    ) -> Invariant | None:
        """Returns the first invariant that the attempt violates, or None."""
        limits, deadline = self._limits, PROPAGATED_DEADLINE.search(command)
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
        if self._is_duplicate(attempt, request):
            return Invariant.REPEAT_WINDOW
        if not self._is_available(attempt.server):
            return Invariant.SERVER_GONE
        return None

    def _is_duplicate(self, attempt: Attempt, request: ActiveRequest) -> bool:
        """Returns whether a server may execute an attempt though another one may have been executed.

        This goes by the writes alone, whatever was decided about the attempt before.
        """
        earlier = request.write_times_beside(attempt.request_and_number[1])
        service_class = request.service_class
        if not earlier:
            return False
        return service_class.effect == "unsafe" or self._clock() > min(earlier) + service_class.dedup_window
