"""A TCP proxy that injects network faults, which are set while it runs."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
from enum import Enum

BACKLOG = 256  # connections
FILLER_CONNECTIONS = 4  # connections that fill the listener's backlog to delay further ones
FRAGMENT_BYTES = 7  # bytes per fragment of fragmented messages
FRAGMENT_INTERVAL = 0.002  # seconds between fragments
LINGER_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close resets the connection


class ProxyFault(Enum):
    """The fault that a proxy injects into its connections."""

    NONE = "none"
    DELAYED = "delayed"  # new connections are established a second or more late
    PARTITIONED = "partitioned"  # no bytes pass and no connection is established; open ones stay open
    RESET = "reset"  # a connection is reset when the client sends bytes
    TRUNCATED = "truncated"  # half of a response passes, then the connection is reset
    STALLED = "stalled"  # requests pass, responses do not
    FRAGMENTED = "fragmented"  # bytes pass a few at a time
    REFUSED = "refused"  # new connections are closed at once


class ProxyEndpoint(asyncio.Protocol):
    """One endpoint of a proxied connection, on the side of the client or of the target."""

    def __init__(self, proxy: FaultProxy, is_target_side: bool) -> None:
        self.proxy, self.is_target_side = proxy, is_target_side
        self.peer: ProxyEndpoint | None = None
        self.transport: asyncio.Transport | None = None
        self.pending_data: list[bytes] = []
        self.close_requested = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the buffered data, and closes the endpoint if that was requested before."""
        self.transport = transport  # type: ignore[assignment]
        pending_data, self.pending_data = self.pending_data, []
        for data in pending_data:
            self.transport.write(data)
        if self.close_requested:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Passes the received bytes to the proxy."""
        self.proxy.forward(self, data)

    def send(self, data: bytes) -> None:
        """Writes data to this endpoint, or buffers it until the endpoint is connected."""
        if self.transport is None:
            self.pending_data.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def eof_received(self) -> None:
        """Closes the other endpoint, unless the network is partitioned."""
        if self.peer is not None and self.proxy.fault is not ProxyFault.PARTITIONED:
            self.peer.close_after_flush()

    def close_after_flush(self) -> None:
        """Closes this endpoint after the data written to it."""
        self.close_requested = True
        if self.transport is not None and not self.transport.is_closing():
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the other endpoint, unless the network is partitioned."""
        self.proxy.endpoints.discard(self)
        if self.peer is not None and self.proxy.fault is not ProxyFault.PARTITIONED:
            self.peer.close_after_flush()

    def reset(self) -> None:
        """Resets the connection of this endpoint."""
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.transport.abort()


class FaultProxy:
    """Forwards connections from a local port to a target port, with the fault that is set."""

    def __init__(self, target: int, generator: random.Random) -> None:
        self.target, self.generator = target, generator
        self.fault = ProxyFault.NONE
        self.endpoints: set[ProxyEndpoint] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.fillers: list[socket.socket] = []
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setblocking(False)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(BACKLOG)
        self.port = self.listener.getsockname()[1]
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.listener, self.accept_connection)
        self.accepting = True

    def set_fault(self, fault: ProxyFault) -> None:
        """Replaces the current fault, also for open connections."""
        self.fault = fault
        self.saturate_backlog(fault in (ProxyFault.DELAYED, ProxyFault.PARTITIONED))
        if fault is ProxyFault.NONE:
            for endpoint in list(self.endpoints):  # a connection that lost bytes cannot continue
                if endpoint.is_target_side and getattr(endpoint, "has_dropped_data", False):
                    endpoint.reset()

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for endpoint in list(self.endpoints):
            endpoint.reset()

    def accept_connection(self) -> None:
        """Accepts the next connection; called when the listener is readable."""
        try:
            client_socket, _ = self.listener.accept()
        except OSError:
            return
        if self.fault is ProxyFault.REFUSED:
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            client_socket.close()
            return
        task = self.loop.create_task(self.connect_to_target(client_socket))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect_to_target(self, client_socket: socket.socket) -> None:
        """Connects to the target and joins the accepted connection with it."""
        client_endpoint, target_endpoint = (
            ProxyEndpoint(self, is_target_side=False),
            ProxyEndpoint(self, is_target_side=True),
        )
        client_endpoint.peer, target_endpoint.peer = target_endpoint, client_endpoint
        self.endpoints |= {client_endpoint, target_endpoint}
        await self.loop.connect_accepted_socket(lambda: client_endpoint, client_socket)
        try:
            await self.loop.create_connection(lambda: target_endpoint, "127.0.0.1", self.target)
        except OSError:
            client_endpoint.reset()

    def forward(self, endpoint: ProxyEndpoint, data: bytes) -> None:
        """Passes received bytes to the other endpoint, as the current fault permits."""
        peer = endpoint.peer
        assert peer is not None
        if self.fault is ProxyFault.PARTITIONED or (
            self.fault is ProxyFault.STALLED and endpoint.is_target_side
        ):
            endpoint.has_dropped_data = peer.has_dropped_data = True  # type: ignore[attr-defined]
        elif self.fault is ProxyFault.RESET and not endpoint.is_target_side:
            endpoint.reset()
            peer.reset()
        elif self.fault is ProxyFault.TRUNCATED and endpoint.is_target_side:
            peer.send(data[: len(data) // 2])
            peer.close_after_flush()
            endpoint.reset()
        elif self.fault is ProxyFault.FRAGMENTED:
            task = self.loop.create_task(self.send_fragmented(peer, data))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            peer.send(data)

    async def send_fragmented(self, peer: ProxyEndpoint, data: bytes) -> None:
        """Sends data in small fragments, after the data that is being sent to the same endpoint."""
        previous = getattr(peer, "fragments_sent", None)
        done = self.loop.create_future()
        peer.fragments_sent = done  # type: ignore[attr-defined]
        if previous is not None:
            await previous
        for start in range(0, len(data), FRAGMENT_BYTES):
            peer.send(data[start : start + FRAGMENT_BYTES])
            await asyncio.sleep(FRAGMENT_INTERVAL)
        done.set_result(None)

    def saturate_backlog(self, enabled: bool) -> None:
        """Fills the listener's backlog, so that a connection is established only after the kernel's retry."""
        if enabled and not self.fillers:
            self.loop.remove_reader(self.listener)
            self.listener.listen(0)
            for _ in range(FILLER_CONNECTIONS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self.port))
                self.fillers.append(filler)
        elif not enabled and self.fillers:
            for filler in self.fillers:
                filler.close()
            self.fillers = []
            self.listener.listen(BACKLOG)
            self.loop.add_reader(self.listener, self.accept_connection)

    def close(self) -> None:
        """Closes the listener and resets all connections."""
        for filler in self.fillers:
            filler.close()
        self.loop.remove_reader(self.listener)
        self.listener.close()
        for endpoint in list(self.endpoints):
            endpoint.reset()
        for task in self.tasks:
            task.cancel()
