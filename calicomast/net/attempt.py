"""One attempt of a request at a server, from its creation to its result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING, Any

from calicomast.net.lifecycle import AttemptState, transition

if TYPE_CHECKING:
    from calicomast.net.server_connection import ServerConnection

PROBE_MARKER = object()  # in place of request and number: the attempt is a probe

Report = dict[str, float]


def always_allowed(attempt: Attempt, begun: bool) -> bool:
    """Lets the rest of a command be written whatever has changed, as for probes."""
    return True


class Attempt:
    """One command sent to one server.

    Attributes:
        server: the id of the server.
        build_command: called in the same step as the write; returns the bytes to write, or None if the
            attempt may no longer begin.
        may_finish_write: called with the attempt, and whether the socket took any byte, while the socket
            has not taken the whole command; returns whether the rest may still be sent.
        on_done: called once with the attempt, when `result` is set.
        request_and_number: the request that the attempt belongs to and the number of the attempt; for a
            probe, PROBE_MARKER.
        started_at: monotonic time at which the attempt was created.
        encoded_at: monotonic time at which its command was encoded.
        result: one of interface.ATTEMPT_RESULTS; empty until the attempt has ended.
        value: the value that the server returned.
        quota_usage: the server's figure: 1 + percent of the tenant's rate used in the last metered period;
            0 if there is none.
        report: the load report that came with the response.
        connection: the connection that it was handed to.
        timer: cancels the attempt at its timeout.
        state: AttemptState.
        slow_start: whether the server has just started, so that a write needs the policy's permission if the
            connection was established late.
        permitted: whether the caller has checked in this same step that the attempt may begin.
    """

    __slots__ = (
        "server",
        "build_command",
        "may_finish_write",
        "on_done",
        "request_and_number",
        "started_at",
        "encoded_at",
        "result",
        "value",
        "quota_usage",
        "report",
        "connection",
        "timer",
        "state",
        "slow_start",
        "permitted",
    )

    def __init__(
        self,
        server: str,
        build_command: Callable[[Attempt], bytes | None],
        on_done: Callable[[Attempt], None],
        request_and_number: Any = None,
    ) -> None:
        self.server = server
        self.build_command = build_command
        self.on_done = on_done
        self.request_and_number = request_and_number
        self.may_finish_write: Callable[[Attempt, bool], bool] = always_allowed
        self.started_at = self.encoded_at = monotonic()
        self.state = AttemptState.WAITING
        self.slow_start = False
        self.permitted = False
        self.result = ""
        self.value = b""
        self.quota_usage = 0
        self.report: Report = {}
        self.connection: ServerConnection | None = None
        self.timer: asyncio.TimerHandle | None = None

    def elapsed(self) -> float:
        """Returns the seconds since the attempt was created."""
        return monotonic() - self.started_at

    def end(self, result: str) -> None:
        """Sets the result and reports it to `on_done`, unless the attempt has already ended."""
        if self.result:
            return
        self.result = result
        self.state = transition(self.state, AttemptState.ENDED, self.server)
        if self.timer is not None:
            self.timer.cancel()
        self.on_done(self)

    @property
    def written(self) -> bool:
        """Whether the socket took the last byte. From then on the server may have executed the request."""
        return self.connection is not None and self.connection.written
