"""How long the connections in the accept queue of a listening socket have waited.

The system does not tell when a connection came. But the queue is first in, first out: once as many
connections were accepted as it held at some time, all others came after that time.
"""

from __future__ import annotations

from collections.abc import Callable


class AcceptQueueWait:
    """Bounds the wait of accepted connections from the times at which the queue's length was seen.

    All times are on one clock, in seconds.

    Args:
        queue_length: returns how many connections wait now, or a higher number.

    Attributes:
        waiting_since: no connection in the queue came earlier; None while the queue is emptied in each turn
            of the event loop.
    """

    def __init__(self, queue_length: Callable[[], int]) -> None:
        self._queue_length = queue_length
        self.waiting_since: float | None = None
        # When the length of the queue was last seen, and how many of the connections in it then still wait.
        self._seen_at = 0.0
        self._seen_left = 0

    def emptied(self) -> None:
        """Notes that no connection waits."""
        self.waiting_since = None

    def not_emptied(self, now: float) -> None:
        """Notes that connections may be left in the queue until the next turn of the event loop or later."""
        if self.waiting_since is None:
            self.waiting_since = now
            self._look(now)

    def accepted(self, now: float) -> float:
        """Notes that a connection was accepted; returns the longest time for which it may have waited."""
        if self.waiting_since is None:
            return 0.0
        waited = now - self.waiting_since
        self._seen_left -= 1
        if self._seen_left <= 0:
            self.waiting_since = self._seen_at
            self._look(now)
        return waited

    def _look(self, now: float) -> None:
        """Notes the length of the queue."""
        self._seen_at, self._seen_left = now, self._queue_length()
