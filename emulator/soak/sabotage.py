"""Gateways that violate an invariant on purpose, to test that each invariant check detects its violation.

`python -m emulator.soak.sabotage NAME` starts one. Each function patches the gateway's code in this process
before the gateway starts, and is named after the invariant that must detect it. Only the soak's tests use it.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from typing import Any

from calicomast import quota, servers, slow_start
from calicomast.net import (
    client_connection,
    discovery,
    gateway,
    invariants,
    program,
    requests,
    server_connections,
    server_table,
)
from calicomast.net.__main__ import SighupCounter
from calicomast.net.attempt import PROBE_MARKER, Attempt

SEND_DELAY = 0.4  # seconds by which attempts are sent late; their clients have left or been answered by then
RESEND_DELAY_PAST_WINDOW = 2.3  # seconds after a response; longer than the deduplication window
DUPLICATE_DELAY = 0.02  # seconds after a response
ACTION_DELAY = 2.0  # seconds after the start of the gateway
LEAK_BYTES = 2 * 1024 * 1024  # bytes allocated in each interval
LEAK_INTERVAL = 0.1  # seconds
UNANSWERED_INTERVAL = 5  # one request in so many gets no response


def call_later(seconds: float, action: Callable[..., Any], *arguments: Any) -> None:
    """Calls an action after some seconds on the running event loop."""
    asyncio.get_running_loop().call_later(seconds, action, *arguments)


def after_start(action: Callable[[gateway.GatewayService], None]) -> None:
    """Calls an action after the gateway has started."""
    start = gateway.GatewayService.start

    async def start_with_action(service: gateway.GatewayService) -> None:
        await start(service)
        action(service)

    gateway.GatewayService.start = start_with_action  # type: ignore[method-assign]


def one_answer() -> None:
    """Leaves some requests without a response."""
    finish_request, request_count = gateway.GatewayService.finish_request, [0]

    def finish_or_drop_response(
        service: gateway.GatewayService, request: requests.ActiveRequest, answer: bytes
    ) -> None:
        request_count[0] += 1
        finish_request(service, request, b"" if request_count[0] % UNANSWERED_INTERVAL == 0 else answer)

    gateway.GatewayService.finish_request = finish_or_drop_response  # type: ignore[method-assign]


def right_answer() -> None:
    """Changes the value that a server produced."""
    gateway.encode_bulk_string = lambda data: requests.encode_bulk_string(data + b"-not")  # type: ignore[assignment]


def delay_attempts(seconds: float) -> None:
    """Sends attempts late and skips the check whether they are still permitted."""
    send = server_connections.ServerConnections.send

    def send_later(self: server_connections.ServerConnections, attempt: Attempt, timeout: float) -> None:
        def send_now() -> None:
            if not attempt.result:
                attempt.permitted = True
                send(self, attempt, timeout)

        call_later(seconds, send_now)

    server_connections.ServerConnections.send = send_later  # type: ignore[method-assign]


def resend_after_response(seconds: float) -> None:
    """Sends a request to its server again, some seconds after its response."""
    original_attempt_done = gateway.GatewayService.attempt_done

    def attempt_done(service: gateway.GatewayService, attempt: Attempt) -> None:
        request, _ = attempt.request_and_number
        original_attempt_done(service, attempt)
        if attempt.result == "ok":
            payload = request.encode_command(1.0)
            resent = Attempt(attempt.server, lambda _: payload, lambda _: None, PROBE_MARKER)
            call_later(seconds, service.server_connections.send, resent, 1.0)

    gateway.GatewayService.attempt_done = attempt_done  # type: ignore[method-assign]


def runs_once() -> None:
    """Sends each request twice, even if its class must not be retried."""
    resend_after_response(DUPLICATE_DELAY)


def repeats_in_window() -> None:
    """Sends retries after the deduplication window."""
    resend_after_response(RESEND_DELAY_PAST_WINDOW)


def nothing_after_leaving() -> None:
    """Ignores that a client has left."""
    client_connection.ClientConnection.peer_has_closed = lambda self: False  # type: ignore[method-assign]
    gateway.GatewayService.handle_client_gone = lambda self, slot: None  # type: ignore[method-assign]
    delay_attempts(SEND_DELAY)


def nothing_after_answer() -> None:
    """Sends a request to its server again after the response."""
    resend_after_response(SEND_DELAY)


def deadline_told() -> None:
    """Propagates a deadline that is a second too long."""
    encode_command = requests.ActiveRequest.encode_command
    requests.ActiveRequest.encode_command = lambda self, remaining: encode_command(self, remaining + 1.0)  # type: ignore[method-assign]


def drained_servers_rest() -> None:
    """Ignores drains and removals of servers."""
    apply = server_table.ServerTable.apply

    def apply_without_drains(self: server_table.ServerTable, update: Any) -> Any:
        update.entries = [entry for entry in update.entries if entry.server.state == "up"]
        update.mode = "delta"
        return apply(self, update)

    server_table.ServerTable.apply = apply_without_drains  # type: ignore[method-assign]


def changes_are_heard() -> None:
    """Never calls discovery."""
    discovery.DiscoveryClient.watch = lambda self, enabled: None  # type: ignore[method-assign]


def cold_servers_stand() -> None:
    """Sends all requests to the server that started last, without slow start."""
    slow_start.SlowStartAdmission.remaining = lambda *arguments: 1e9  # type: ignore[method-assign]
    servers.LoadBalancer.best_server = (  # type: ignore[method-assign]
        lambda self, now, keys, pool, charge: max(
            pool, key=lambda server: server.info.started_at, default=None
        )
    )


def quotas_hold() -> None:
    """Never exhausts a quota."""
    quota.TenantQuota.available_units = lambda self, now: 1e9  # type: ignore[method-assign]
    quota.TenantQuota.local_allowance = lambda self, now, counter_down: 1e9  # type: ignore[method-assign]


def bad_clients_are_answered() -> None:
    """Never closes connections that are idle or have an incomplete command."""
    client_connection.ClientConnection.on_idle_timeout = lambda self: None  # type: ignore[method-assign]
    client_connection.ClientConnection.expire_partial_command = lambda self, seconds: None  # type: ignore[method-assign]


def processes_live() -> None:
    """Ends the process without a signal."""
    after_start(lambda service: call_later(ACTION_DELAY, os._exit, 3))


def resources_stay() -> None:
    """Leaks memory."""
    leaked_blocks: list[bytes] = []

    def leak() -> None:
        leaked_blocks.append(os.urandom(LEAK_BYTES))
        call_later(LEAK_INTERVAL, leak)

    after_start(lambda service: leak())


def own_checks_hold() -> None:
    """Records a violation of a run-time invariant."""
    violation = invariants.Invariant.SECOND_ANSWER
    after_start(
        lambda service: call_later(ACTION_DELAY, invariants.MONITOR.record_violation, violation, "on purpose")
    )


def commands_are_sound() -> None:
    """Sends a malformed command to servers."""
    requests.ActiveRequest.encode_command = lambda self, remaining: b"GET / HTTP/1.1\r\n\r\n"  # type: ignore[method-assign]


SABOTAGES: dict[str, Callable[[], None]] = {
    sabotage.__name__: sabotage
    for sabotage in (
        one_answer,
        right_answer,
        runs_once,
        repeats_in_window,
        nothing_after_leaving,
        nothing_after_answer,
        deadline_told,
        drained_servers_rest,
        changes_are_heard,
        cold_servers_stand,
        quotas_hold,
        bad_clients_are_answered,
        processes_live,
        resources_stay,
        own_checks_hold,
        commands_are_sound,
    )
}

if __name__ == "__main__":
    hangups = SighupCounter()
    SABOTAGES[sys.argv[1]]()
    sys.exit(program.main(hangups))
