"""Run-time checks of invariants, made after the action that they guard.

A violation raises InvariantError in tests; in production it is counted and logged.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

log = logging.getLogger(__name__)


class Invariant(Enum):
    """A rule that is checked independently of the code that enforces it.

    Violations are logged and counted by member name.
    """

    TRANSITION = "a state follows another only as the transition tables allow"
    DEADLINE_TOLD = "the deadline propagated to a server is at most the client's remaining time"
    ATTEMPT_AFTER_ANSWER = "no attempt is written after the final response of its request"
    ATTEMPT_LIMIT = "a request has no more attempts than the settings allow"
    SECOND_ATTEMPT = "no hedged attempt is in flight where the settings forbid it"
    REPEAT_WINDOW = "no retry is written after the retry window"
    SERVER_GONE = "nothing is sent to a server that is draining or was removed"
    SECOND_ANSWER = "a command has one response"
    CLOSED_OWING = "no connection is closed while a response on it is pending"


class InvariantError(AssertionError):
    """Raised in strict mode when an invariant is violated."""


class Monitor:
    """Counts and logs invariant violations.

    Attributes:
        strict: whether a violation raises InvariantError, as in tests.
        counts: violations by invariant.
    """

    def __init__(self) -> None:
        self.strict = False
        self.counts: Counter[Invariant] = Counter()

    def record_violation(self, invariant: Invariant, detail: str) -> None:
        """Counts and logs a violation; `detail` has the ids. Raises InvariantError in strict mode."""
        self.counts[invariant] += 1
        if self.strict:
            raise InvariantError(f"{invariant.value}: {detail}")
        log.error("violation %s: %s", invariant.name, detail)

    def check(self, holds: bool, invariant: Invariant, detail: str) -> None:
        """Records a violation unless `holds` is true."""
        if not holds:
            self.record_violation(invariant, detail)


MONITOR = Monitor()  # the one monitor of this process
