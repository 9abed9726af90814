"""Attempts at the moment of their write: asks whether each may begin, and checks what goes out.

Nothing here decides: rules.py does, from the facts that are gathered here.
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

TIME_TOLD = re.compile(rb"[\n,]d=([0-9]+)")  # in a command on the wire
MOST_TOLD = 200  # bytes of a command in a message
MILLISECONDS = 1000  # in a second


class AttemptControl:
    """Asks and checks for all attempts of one gateway.

    Args:
        listed: whether a server is one that requests may be sent to now.
        admits_late: whether an attempt (clock time, request, number, server) may still be written to a server
            in slow start though its connection came up late.
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
        """Whether an attempt may be written now. `connected_late`: its connection came up only now."""
        work, number = attempt.tag
        verdict = may_write_attempt(
            AttemptFacts(
                finished=work.finished,
                client_gone=not work.finished and work.slot.connection.peer_has_closed(),
                remaining_time=work.deadline - monotonic(),
                retry_window_left=attempt.retry_until - self._clock(),
                attempts_written=work.attempts_written,
                max_attempts=self._limits.max_attempts,
                other_attempts=len(work.active_attempts) - (number in work.active_attempts),
                hedging_allowed=self._limits.hedging,
                server_listed=self._listed(attempt.server),
                within_slow_start_budget=not (connected_late and attempt.slow_start)
                or self._admits_late(self._clock(), work.id, number, attempt.server),
            )
        )
        if verdict is not Verdict.ALLOWED:
            ids = {"id": work.id, "attempt": number, "server": attempt.server}
            self._events.log(EventKind.ATTEMPT_NOT_WRITTEN, verdict.value, **ids)
        return verdict

    def prepare_write(self, attempt: Attempt) -> bytes:
        """What goes to the server; it counts as begun."""
        work, _ = attempt.tag
        work.attempts_written += 1
        left = work.deadline - monotonic()
        payload = work.encode_command(left)
        self._check(attempt, work, payload, left)
        return payload

    def _check(self, attempt: Attempt, work: ActiveRequest, payload: bytes, left: float) -> None:
        """The rules once more, from what goes on the wire; `left`: seconds until the module's deadline."""
        broken = self._broken(attempt, work, payload, left)
        if broken is not None:
            told = payload[:MOST_TOLD]
            detail = (
                f"request {work.id} attempt {attempt.tag[1]} server {attempt.server} left {left:.3f} {told!r}"
            )
            MONITOR.record_violation(broken, detail)

    def _broken(self, attempt: Attempt, work: ActiveRequest, payload: bytes, left: float) -> Invariant | None:
        """The invariant that does not hold, if one does not."""
        limits, told = self._limits, TIME_TOLD.search(payload)
        if told is None or int(told[1]) / MILLISECONDS > max(left, 0.0) + MAX_PROCESS_PAUSE:
            return Invariant.DEADLINE_TOLD
        if work.finished:
            return Invariant.ATTEMPT_AFTER_ANSWER
        if work.attempts_written > limits.max_attempts:
            return Invariant.ATTEMPT_LIMIT
        if len(work.active_attempts) > 1 and not limits.hedging:
            return Invariant.SECOND_ATTEMPT
        if attempt.retry_until < math.inf and self._clock() > attempt.retry_until + MAX_PROCESS_PAUSE:
            return Invariant.REPEAT_WINDOW
        if not self._listed(attempt.server):
            return Invariant.SERVER_GONE
        return None
