"""What must hold at run time, checked after the fact.

A violation raises in tests, and is counted and logged in production.
"""

from __future__ import annotations

import logging
from collections import Counter
from enum import Enum

log = logging.getLogger(__name__)


class Invariant(Enum):
    """A rule as it is checked behind the code that keeps it."""

    TRANSITION = "a state follows another one as the tables allow"
    DEADLINE_TOLD = "a server is told at most what its client has left"
    ATTEMPT_AFTER_ANSWER = "no attempt begins after its request's final answer"
    ATTEMPT_LIMIT = "a request has no more attempts than the settings allow"
    SECOND_ATTEMPT = "no second attempt is out where none is allowed"
    REPEAT_WINDOW = "no repeat begins after the window for repeats"
    SERVER_GONE = "nothing is sent to a server that drains or is gone"
    SECOND_ANSWER = "a command has one answer"
    CLOSED_OWING = "no connection is closed while an answer on it is owed"


class InvariantError(AssertionError):
    """An invariant does not hold; raised in strict mode only."""


class Monitor:
    """Counts violations. `strict`: raises at each, as tests do."""

    def __init__(self) -> None:
        self.strict = False
        self.counts: Counter[Invariant] = Counter()

    def record_violation(self, invariant: Invariant, detail: str) -> None:
        """An invariant does not hold; `detail` has the ids. Raises InvariantError in strict mode."""
        self.counts[invariant] += 1
        if self.strict:
            raise InvariantError(f"{invariant.value}: {detail}")
        log.error("violation %s: %s", invariant.name, detail)

    def check(self, holds: bool, invariant: Invariant, detail: str) -> None:
        """Counts a violation unless it holds."""
        if not holds:
            self.record_violation(invariant, detail)


MONITOR = Monitor()  # of this process
