"""Counts of what ended and why, and a log line for some of them.

Every end is counted under its kind and reason: a connection that was closed, an attempt that was given up, a
request that was refused. Of each kind one line a second is logged, as CPU is rationed; the counts beside them
miss nothing. They are printed when the process ends and on SIGUSR1.
"""

from __future__ import annotations

import json
import logging
from collections import Counter
from enum import Enum
from time import monotonic

from calicomast.net.invariants import MONITOR

log = logging.getLogger(__name__)


class EventKind(Enum):
    """What ended or failed."""

    CLIENT_CLOSED = "client_closed"
    ATTEMPT_ENDED = "attempt_ended"
    ATTEMPT_NOT_WRITTEN = "attempt_not_written"
    REQUEST_REFUSED = "request_refused"
    REQUEST_FAILED = "request_failed"
    REQUEST_NOT_TAKEN = "request_not_taken"
    ACCEPT_FAILED = "accept_failed"
    LIST_NOT_APPLIED = "list_not_applied"
    CONFIGURATION = "configuration"


class EventLog:
    """The counts of one gateway."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[EventKind, str]] = Counter()
        self._logged: dict[EventKind, int] = {}  # in which second the last line of a kind was

    def count(self, kind: EventKind, reason: str) -> None:
        """Counts an end without a line."""
        self.counts[kind, reason] += 1

    def log(self, kind: EventKind, reason: str, **ids: object) -> None:
        """Counts an end, and logs it with its ids if no other of its kind was logged in this second."""
        self.counts[kind, reason] += 1
        second = int(monotonic())
        if self._logged.get(kind) != second:
            self._logged[kind] = second
            told = " ".join(f"{name}={value}" for name, value in ids.items())
            log.info("event=%s reason=%s %s", kind.value, reason.replace(" ", "-"), told)

    def summary(self) -> str:
        """All counts and violations as one line of JSON."""
        counts: dict[str, dict[str, int]] = {}
        for (kind, reason), count in sorted(self.counts.items(), key=lambda item: str(item[0])):
            counts.setdefault(kind.value, {})[reason] = count
        violations = {invariant.name: count for invariant, count in MONITOR.counts.items()}
        return json.dumps({"counts": counts, "violations": violations})
