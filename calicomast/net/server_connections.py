"""The connections to all servers, in a pool for each server, and the attempts that wait for one."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from time import monotonic

from calicomast.net.attempt import PROBE_MARKER, Attempt
from calicomast.net.idle_loss import IdleLossEstimator
from calicomast.net.lifecycle import ServerConnectionState, transition
from calicomast.net.local_errors import is_local_error
from calicomast.net.server_connection import ServerConnection
from calicomast.net.server_list import Address

REUSE_DELAY = 0.02  # seconds after a response; a duplicate of it can arrive some milliseconds late
IDLE_TIMEOUT_MARGIN = 0.1  # fraction of the servers' idle timeout by which the gateway closes earlier
IDLE_CHECK_INTERVAL = 0.5  # seconds between checks for expired idle connections
PROBE_COMMAND = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"


class ConnectionPool:
    """The connections to one server.

    Attributes:
        owner: the connections to all servers.
        address: where the server listens.
        active: False after `stop`; no attempt starts then.
        idle: idle connections, the most recently used one last.
        open_count: established connections, the idle ones among them.
        connecting: attempts that wait for a new connection, each with the task that connects.
    """

    def __init__(self, owner: ServerConnections, address: Address) -> None:
        self.owner = owner
        self.address = address
        self.active = True
        self.idle: list[ServerConnection] = []
        self.open_count = 0
        self.connecting: dict[Attempt, asyncio.Task[None]] = {}

    def start_attempt(self, attempt: Attempt) -> None:
        """Writes an attempt on the idle connection used last, or connects for it.

        Connections idle for less than REUSE_DELAY or beyond the idle limit are not used. The attempt ends
        with "withheld" if it may no longer begin, and with "unsent" if no further connection may be opened.
        """
        now = monotonic()
        latest, earliest = now - REUSE_DELAY, now - self.owner.idle_loss.idle_limit
        for connection in [each for each in reversed(self.idle) if earliest < each.idle_since <= latest]:
            if connection.is_reusable():
                self.idle.remove(connection)
                if not connection.start_attempt(attempt):
                    self.idle.append(connection)
                    attempt.end("withheld")
                return
            connection.close()
        if not self.owner.ensure_capacity():
            asyncio.get_running_loop().call_soon(attempt.end, "unsent")
            return
        self.connecting[attempt] = asyncio.get_running_loop().create_task(self.connect(attempt))

    async def connect(self, attempt: Attempt) -> None:
        """Opens a connection for an attempt and starts the attempt, if it has not ended meanwhile."""
        loop = asyncio.get_running_loop()
        connection: ServerConnection | None = None
        result = "connect_failed"
        try:
            async with asyncio.timeout(self.owner.connect_timeout):
                _, connection = await loop.create_connection(lambda: ServerConnection(self), *self.address)
        except (OSError, ValueError) as error:  # refused, timed out, no descriptor, or not an address
            if is_local_error(error):
                result = "unsent"
        finally:
            waiting = self.connecting.pop(attempt, None) is not None
        if connection is not None:
            self.owner.connections.add(connection)
            self.open_count += 1
            if waiting and not attempt.result and self.active and not connection.transport.is_closing():
                if not connection.start_attempt(attempt):
                    self.release(connection)
                    attempt.end("withheld")
                return
            connection.close()
        if waiting:
            attempt.end(result)

    def release(self, connection: ServerConnection) -> None:
        """Marks a connection as idle; closes it if the pool was stopped."""
        if self.active:
            connection.state = transition(connection.state, ServerConnectionState.IDLE, self.address)
            connection.idle_since = monotonic()
            self.idle.append(connection)
        else:
            connection.close()

    def discard(self, connection: ServerConnection) -> None:
        """Forgets a connection that is closing. Calls after the first have no effect."""
        if connection in self.idle:
            self.idle.remove(connection)
        if connection in self.owner.connections:
            self.owner.connections.remove(connection)
            self.open_count -= 1

    def close_idle(self, before: float = math.inf) -> None:
        """Closes the connections that became idle before a monotonic time; by default all idle ones."""
        for connection in [each for each in self.idle if each.idle_since < before]:
            connection.close()

    def stop(self) -> None:
        """Closes the idle connections and ends the attempts that wait for a connection.

        No further attempt starts at this address. Attempts that were written continue.
        """
        self.active = False
        self.close_idle()
        for attempt, task in list(self.connecting.items()):
            del self.connecting[attempt]
            task.cancel()
            attempt.end("connect_failed")


class ServerConnections:
    """The connections to all servers that this gateway sends to. Nothing is kept for other servers.

    Args:
        connect_timeout: seconds; also the timeout of a probe.
        server_idle_timeout: seconds after which the servers close an idle connection.
        max_connections: limit over all servers, with those that are being established.
        address_of: returns where a server listens now; None if nothing may be sent to it.
    """

    def __init__(
        self,
        connect_timeout: float,
        server_idle_timeout: float,
        max_connections: int,
        address_of: Callable[[str], Address | None],
    ) -> None:
        self.connect_timeout = connect_timeout
        self.max_connections = max_connections
        self.address_of = address_of
        self.idle_timeout = server_idle_timeout * (1 - IDLE_TIMEOUT_MARGIN) - IDLE_CHECK_INTERVAL
        # One estimator for all servers: what drops idle connections is rarely specific to one of them.
        self.idle_loss = IdleLossEstimator()
        self.pools: dict[str, ConnectionPool] = {}
        self.connections: set[ServerConnection] = set()
        self.idle_check_timer: asyncio.TimerHandle | None = None

    def pool_for(self, server_id: str) -> ConnectionPool | None:
        """Returns the connections to a server; None if nothing may be sent to it."""
        pool = self.pools.get(server_id)
        if pool is None and (address := self.address_of(server_id)) is not None:
            pool = self.pools[server_id] = ConnectionPool(self, address)
        return pool

    def stop_server(self, server_id: str) -> None:
        """Sends nothing more to a server at the address that it has had until now."""
        pool = self.pools.pop(server_id, None)
        if pool is not None:
            pool.stop()

    def send(self, attempt: Attempt, timeout: float) -> None:
        """Starts an attempt; it is cancelled with "timeout" after so many seconds."""
        loop = asyncio.get_running_loop()
        pool = self.pool_for(attempt.server)
        if pool is None:
            loop.call_soon(attempt.end, "connect_failed")
            return
        attempt.timer = loop.call_later(timeout, self.cancel_attempt, attempt, "timeout")
        pool.start_attempt(attempt)

    def probe(self, server_id: str, on_done: Callable[[Attempt], None]) -> None:
        """Asks a server for its load report; `on_done` gets the attempt that did it."""
        self.send(
            Attempt(server_id, lambda attempt: PROBE_COMMAND, on_done, PROBE_MARKER), self.connect_timeout
        )

    def cancel_attempt(self, attempt: Attempt, result: str) -> None:
        """Ends an attempt with a result; "connect_failed" if it was not written completely."""
        if attempt.result:
            return
        if attempt.connection is None:
            self._end_waiting(attempt, "connect_failed")
        else:
            attempt.connection.abandon(result)

    def withhold(self, attempt: Attempt) -> None:
        """Ends an attempt that waits for a connection with "withheld"; others are not affected."""
        if not attempt.result and attempt.connection is None:
            self._end_waiting(attempt, "withheld")

    def _end_waiting(self, attempt: Attempt, result: str) -> None:
        """Ends an attempt that waits for a connection, and stops connecting for it."""
        pool = self.pools.get(attempt.server)
        task = pool.connecting.pop(attempt, None) if pool else None
        if task is not None:
            task.cancel()
        attempt.end(result)

    @property
    def open_count(self) -> int:
        """The number of connections, with those that are being established.

        It is computed, not stored: a connecting task that is cancelled before its first step could not
        subtract itself.
        """
        return len(self.connections) + sum(len(pool.connecting) for pool in self.pools.values())

    def ensure_capacity(self) -> bool:
        """Returns whether another connection may be opened; at the limit, evicts the one idle longest."""
        if self.open_count < self.max_connections:
            return True
        idle_longest = min(
            (pool.idle[0] for pool in self.pools.values() if pool.idle),
            key=lambda connection: connection.idle_since,
            default=None,
        )
        if idle_longest is None:
            return False
        idle_longest.close()
        return True

    def close_idle(self, server_id: str) -> None:
        """Closes the idle connections to a server."""
        if server_id in self.pools:
            self.pools[server_id].close_idle()

    def close_expired_idle(self) -> None:
        """Closes connections that have been idle too long, and removes pools without connections.

        A request would be reset on a connection that has been idle nearly as long as the servers allow, or so
        long that something on the path may have dropped it.
        """
        self.idle_loss.decay(IDLE_CHECK_INTERVAL)
        before = monotonic() - min(self.idle_timeout, self.idle_loss.idle_limit)
        for server_id, pool in list(self.pools.items()):
            if pool.idle and pool.idle[0].idle_since < before:
                pool.close_idle(before)
            if not pool.open_count and not pool.connecting:
                del self.pools[server_id]

    def start_idle_checks(self) -> None:
        """Closes expired idle connections now and at every IDLE_CHECK_INTERVAL."""
        self.close_expired_idle()
        self.idle_check_timer = asyncio.get_running_loop().call_later(
            IDLE_CHECK_INTERVAL, self.start_idle_checks
        )

    def close(self) -> None:
        """Stops the checks and closes all connections."""
        if self.idle_check_timer is not None:
            self.idle_check_timer.cancel()
        for pool in self.pools.values():
            pool.stop()
        for connection in list(self.connections):
            connection.close()
