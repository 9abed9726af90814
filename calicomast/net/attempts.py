"""Attempts at the moment of their write: asks whether each may begin, and checks what goes out.

Nothing here decides: rules.py does, from the facts that are gathered here.
"""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

from calicomast import interface as api
from calicomast.net.clock import Clock
from calicomast.net.events import EventLog, Kind
from calicomast.net.hosts import Attempt
from calicomast.net.invariants import MONITOR, Invariant
from calicomast.net.listing import Address
from calicomast.net.requests import Work, time_field
from calicomast.rules import HOLD_UP, AttemptFacts, Verdict, may_write_attempt

TERMS_LINE = 8  # of a command on the wire, counted from 0: its terms
MILLISECONDS = 1000  # in a second


class AttemptControl:
    """Args:
    address: where a server listens now; None where nothing is to be sent to it.
    admits_late: whether an attempt (clock time, request, number, server) may still be written to a server in
        slow start though its connection came up late.
    """

    def __init__(
        self,
        settings: api.Settings,
        clock: Clock,
        address: Callable[[str], Address | None],
        admits_late: Callable[[float, str, int, str], bool],
        events: EventLog,
    ) -> None:
        self._limits, self._clock, self._address = settings.limits, clock, address
        self._admits_late, self._events = admits_late, events

    def judge(self, attempt: Attempt, late: bool) -> Verdict:
        """Whether an attempt may be written now. `late`: its connection came up only now."""
        work, number = attempt.tag
        now = self._clock()
        verdict = may_write_attempt(
            AttemptFacts(
                finished=work.over,
                client_gone=not work.over and work.slot.client.has_left(),
                left=work.deadline - monotonic(),
                repeat_left=attempt.repeat_until - now,
                begun=work.begun,
                most_attempts=self._limits.max_attempts,
                others_out=len(work.live) - (number in work.live),
                second_copies=self._limits.second_copies,
                server_listed=self._address(attempt.host) is not None,
                start_budget=not (late and attempt.cold)
                or self._admits_late(now, work.id, number, attempt.host),
            )
        )
        if verdict is not Verdict.ALLOWED:
            ids = {"id": work.id, "attempt": number, "server": attempt.host}
            self._events.tell(Kind.ATTEMPT_NOT_WRITTEN, verdict.value, **ids)
        return verdict

    def write(self, attempt: Attempt) -> bytes:
        """What goes to the server; it counts as begun."""
        work, _ = attempt.tag
        work.begun += 1
        left = work.deadline - monotonic()
        payload = work.payload(left)
        self._check(attempt, work, payload, left)
        return payload

    def _check(self, attempt: Attempt, work: Work, payload: bytes, left: float) -> None:
        """The rules once more, from what goes on the wire; `left`: seconds until the module's deadline."""
        detail = f"request {work.id} attempt {attempt.tag[1]} server {attempt.host}"
        terms = payload.split(b"\r\n", TERMS_LINE + 1)[TERMS_LINE]
        start, end = time_field(terms)
        told = int(terms[start:end]) / MILLISECONDS
        limits = self._limits
        MONITOR.check(told <= max(left, 0.0) + HOLD_UP, Invariant.DEADLINE_TOLD, f"{detail} {told} {left}")
        MONITOR.check(not work.over, Invariant.ATTEMPT_AFTER_ANSWER, detail)
        MONITOR.check(work.begun <= limits.max_attempts, Invariant.ATTEMPT_LIMIT, detail)
        MONITOR.check(limits.second_copies or len(work.live) <= 1, Invariant.SECOND_ATTEMPT, detail)
        MONITOR.check(self._clock() <= attempt.repeat_until + HOLD_UP, Invariant.REPEAT_WINDOW, detail)
        MONITOR.check(self._address(attempt.host) is not None, Invariant.SERVER_GONE, detail)
