"""Counters of closed connections, ended attempts and refused requests by reason, with rate-limited logging.

Every event is counted by its kind and reason: a connection that was closed, an attempt that was given up, a
request that was refused. To save CPU, at most one line a second is logged for each kind; the counters include
every event. They are logged when the process exits and on SIGUSR1.
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
    """Kind of an event; the values are printed in the log and in the counters."""

    CLIENT_CLOSED = "client_closed"
    CLOSED_WITH_UNSENT_RESPONSES = "closed_with_unsent_responses"
    ATTEMPT_ENDED = "attempt_ended"
    ATTEMPT_NOT_WRITTEN = "attempt_not_written"
    REQUEST_REFUSED = "request_refused"
    REQUEST_FAILED = "request_failed"
    REQUEST_NOT_TAKEN = "request_not_taken"
    ACCEPT_FAILED = "accept_failed"
    LIST_NOT_APPLIED = "list_not_applied"
    CONFIGURATION = "configuration"


class EventLog:
    """Event counters of one gateway."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[EventKind, str]] = Counter()
        self._last_logged_second: dict[EventKind, int] = {}  # on the monotonic clock

    def count(self, kind: EventKind, reason: str) -> None:
        """Counts an event without logging it."""
        self.counts[kind, reason] += 1

    def log(self, kind: EventKind, reason: str, **ids: object) -> None:
        """Counts an event, and logs it with its ids unless one of its kind was logged in this second."""
        self.counts[kind, reason] += 1
        second = int(monotonic())
        if self._last_logged_second.get(kind) != second:
            self._last_logged_second[kind] = second
            details = " ".join(f"{name}={value}" for name, value in ids.items())
            log.info("event=%s reason=%s %s", kind.value, reason.replace(" ", "-"), details)

    def summary(self) -> str:
        """Returns all counters and invariant violations as one line of JSON."""
        counts: dict[str, dict[str, int]] = {}
        for (kind, reason), count in sorted(self.counts.items(), key=lambda item: str(item[0])):
            counts.setdefault(kind.value, {})[reason] = count
        violations = {invariant.name: count for invariant, count in MONITOR.counts.items()}
        return json.dumps({"counts": counts, "violations": violations})
