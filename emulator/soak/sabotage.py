"""Gateways that are broken on purpose, to see that each invariant fires.

`python -m emulator.soak.sabotage NAME` starts one. Each function breaks one rule in this process before the
gateway starts; it is named after the invariant that has to notice. Only the tests of the soak run this.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Callable
from typing import Any

from calicomast import quota, servers, slow_start
from calicomast.net import (
    clients,
    discovery,
    gateway,
    invariants,
    program,
    requests,
    server_connections,
    server_table,
)
from calicomast.net.__main__ import SighupCounter

LATE = 0.4  # seconds by which an attempt is held back where its client may have left
PAST_WINDOW = 2.3  # seconds after which a keyed request is sent again
TWICE = 0.02  # seconds after an answer at which its request is sent again
AFTER = 2.0  # seconds after the start at which something happens by itself
LEAKED = 2 * 1024 * 1024  # bytes at a time
LEAK_EVERY = 0.1  # seconds
EVERY = 5  # of the requests one is left without an answer


def later(seconds: float, what: Callable[..., Any], *told: Any) -> None:
    """Calls something later on the running loop."""
    asyncio.get_running_loop().call_later(seconds, what, *told)


def after_start(what: Callable[[gateway.GatewayService], None]) -> None:
    """Does something once a gateway starts."""
    start = gateway.GatewayService.start

    async def started(node: gateway.GatewayService) -> None:
        await start(node)
        what(node)

    gateway.GatewayService.start = started  # type: ignore[method-assign]


def one_answer() -> None:
    """Some requests get no answer."""
    finish, count = gateway.GatewayService.finish_request, [0]

    def silent(node: gateway.GatewayService, work: requests.ActiveRequest, answer: bytes) -> None:
        count[0] += 1
        finish(node, work, b"" if count[0] % EVERY == 0 else answer)

    gateway.GatewayService.finish_request = silent  # type: ignore[method-assign]


def right_answer() -> None:
    """What is served is not what the server made."""
    gateway.encode_bulk_string = lambda data: requests.encode_bulk_string(data + b"-not")  # type: ignore[assignment]


def hold_back(seconds: float) -> None:
    """Attempts go out late, and nobody asks again whether they may."""
    send = server_connections.ServerConnections.send

    def late(
        self: server_connections.ServerConnections, attempt: server_connections.Attempt, timeout: float
    ) -> None:
        def go() -> None:
            if not attempt.result:
                attempt.permitted = True
                send(self, attempt, timeout)

        later(seconds, go)

    server_connections.ServerConnections.send = late  # type: ignore[method-assign]


def send_again(seconds: float) -> None:
    """What was served goes to its server once more after so many seconds."""
    done = gateway.GatewayService.attempt_done

    def again(node: gateway.GatewayService, attempt: server_connections.Attempt) -> None:
        work, _ = attempt.request_and_number
        done(node, attempt)
        if attempt.result == "ok":
            payload = work.encode_command(1.0)
            second = server_connections.Attempt(
                attempt.server, lambda _: payload, lambda _: None, server_connections.PROBE_MARKER
            )
            later(seconds, node.server_connections.send, second, 1.0)

    gateway.GatewayService.attempt_done = again  # type: ignore[method-assign]


def runs_once() -> None:
    """A request goes to a server twice, whatever its class allows."""
    send_again(TWICE)


def repeats_in_window() -> None:
    """Repeats go out after their window."""
    send_again(PAST_WINDOW)


def nothing_after_leaving() -> None:
    """A client that left is not noticed."""
    clients.ClientConnection.peer_has_closed = lambda self: False  # type: ignore[method-assign]
    gateway.GatewayService.handle_client_gone = lambda self, slot: None  # type: ignore[method-assign]
    hold_back(LATE)


def nothing_after_answer() -> None:
    """A request goes to a server once more after its answer."""
    send_again(LATE)


def deadline_told() -> None:
    """Servers are told a second more than there is."""
    payload = requests.ActiveRequest.encode_command
    requests.ActiveRequest.encode_command = lambda self, left: payload(self, left + 1.0)  # type: ignore[method-assign]


def drained_servers_rest() -> None:
    """Drains and removals are not heard."""
    take = server_table.ServerTable.apply

    def deaf(self: server_table.ServerTable, listing: Any) -> Any:
        listing.entries = [entry for entry in listing.entries if entry.server.state == "up"]
        listing.mode = "delta"
        return take(self, listing)

    server_table.ServerTable.apply = deaf  # type: ignore[method-assign]


def changes_are_heard() -> None:
    """Discovery is never asked."""
    discovery.DiscoveryClient.watch = lambda self, on: None  # type: ignore[method-assign]


def cold_servers_stand() -> None:
    """The server that started last gets all requests at once."""
    slow_start.SlowStartAdmission.remaining = lambda *told: 1e9  # type: ignore[method-assign]
    servers.LoadBalancer.best_server = (  # type: ignore[method-assign]
        lambda self, now, keys, pool, charge: max(pool, key=lambda s: s.info.started_at, default=None)
    )


def quotas_hold() -> None:
    """No account is ever spent."""
    quota.TenantQuota.available_units = lambda self, now: 1e9  # type: ignore[method-assign]
    quota.TenantQuota.local_allowance = lambda self, now, silent: 1e9  # type: ignore[method-assign]


def bad_clients_are_answered() -> None:
    """Nobody looks at connections that are idle or have half a command."""
    clients.ClientConnection.on_idle_timeout = lambda self: None  # type: ignore[method-assign]
    clients.ClientConnection.expire_partial_command = lambda self, seconds: None  # type: ignore[method-assign]


def processes_live() -> None:
    """The process ends by itself."""
    after_start(lambda node: later(AFTER, os._exit, 3))


def resources_stay() -> None:
    """Memory is taken and never given back."""
    kept: list[bytes] = []

    def leak() -> None:
        kept.append(os.urandom(LEAKED))
        later(LEAK_EVERY, leak)

    after_start(lambda node: leak())


def own_checks_hold() -> None:
    """A run-time check finds something."""
    found = invariants.Invariant.SECOND_ANSWER
    after_start(lambda node: later(AFTER, invariants.MONITOR.record_violation, found, "on purpose"))


def commands_are_sound() -> None:
    """Servers get what no client sent."""
    requests.ActiveRequest.encode_command = lambda self, left: b"GET / HTTP/1.1\r\n\r\n"  # type: ignore[method-assign]


BREAKS: dict[str, Callable[[], None]] = {
    each.__name__: each
    for each in (
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
    BREAKS[sys.argv[1]]()
    sys.exit(program.main(hangups))
