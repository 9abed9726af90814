"""Ends attempts that wait for a connection once their retry window has closed.

Such an attempt can no longer be written, as AttemptControl would find when its connection is established.
Until then its request would wait in vain. Ending the attempt lets the policy answer the request at once.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from calicomast.net.attempt import Attempt
from calicomast.net.clock import Clock
from calicomast.net.requests import ActiveRequest
from calicomast.rules import retry_deadline


class RetryWindowTimers:
    """One timer for each request that has both written attempts and attempts waiting for a connection.

    Args:
        withhold: ends an attempt that was not written.
    """

    def __init__(self, clock: Clock, withhold: Callable[[Attempt], None]) -> None:
        self._clock, self._withhold = clock, withhold

    def watch(self, request: ActiveRequest) -> None:
        """Starts the timer of a request if it needs one; called whenever an attempt is sent or written."""
        if not request.write_times or request.window_timer is not None or request.finished:
            return
        if not request.waiting_attempts():
            return
        remaining = self._window_end(request) - self._clock()
        if remaining < math.inf:
            loop = asyncio.get_running_loop()
            request.window_timer = loop.call_later(max(0.0, remaining), self._on_timer, request)

    def _window_end(self, request: ActiveRequest) -> float:
        """Returns the clock time until which waiting attempts may be written."""
        return retry_deadline(request.service_class, request.write_times.values())

    def _on_timer(self, request: ActiveRequest) -> None:
        """Ends the waiting attempts if the window has closed.

        It may close later than it did when the timer was started, as an attempt may have proved meanwhile
        that it was not executed.
        """
        request.window_timer = None
        if self._clock() < self._window_end(request):
            self.watch(request)
            return
        for attempt in request.waiting_attempts():
            self._withhold(attempt)
