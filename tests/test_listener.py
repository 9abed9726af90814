"""Tests of the listening socket alone."""

import asyncio
import socket
import time

import pytest
from netkit import on_loop

from calicomast.net import listener as listener_module
from calicomast.net.listener import BACKLOG, Listener
from calicomast.net.socket_state import accept_queue_length


class CountingProtocol(asyncio.Protocol):
    """Counts the connections that were handed to a protocol."""

    count = 0

    def connection_made(self, transport):
        CountingProtocol.count += 1
        self.transport = transport


@on_loop
async def test_connections_accepted_during_close_are_attached_before_it_returns():
    CountingProtocol.count = 0
    listener, releases = Listener(lambda waited: CountingProtocol()), []
    attach_protocol = listener._attach_protocol

    async def attach_when_released(accepted, waited):
        releases.append(asyncio.Event())
        await releases[-1].wait()
        await attach_protocol(accepted, waited)

    listener._attach_protocol = attach_when_released
    port = listener.open("127.0.0.1", 0)
    clients = [socket.create_connection(("127.0.0.1", port))]
    closing = asyncio.create_task(listener.close())
    while not releases:
        await asyncio.sleep(0)
    clients.append(socket.create_connection(("127.0.0.1", port)))
    while len(releases) < 2:
        await asyncio.sleep(0)
    releases[0].set()
    while CountingProtocol.count < 1:
        await asyncio.sleep(0)
    await asyncio.sleep(0.02)
    assert not closing.done()
    releases[1].set()
    await closing
    assert CountingProtocol.count == 2 and not listener.is_serving()
    for client in clients:
        client.close()


@on_loop
async def test_accept_queue_length_is_the_number_of_waiting_connections():
    with socket.create_server(("127.0.0.1", 0)) as listening:
        assert accept_queue_length(listening) == 0
        clients = [socket.create_connection(listening.getsockname()) for _ in range(3)]
        assert accept_queue_length(listening) == 3
        listening.accept()[0].close()
        assert accept_queue_length(listening) == 2
        assert accept_queue_length(clients[0]) is None
        for client in clients:
            client.close()
    assert accept_queue_length(listening) is None


@pytest.mark.parametrize("system_tells_length", [True, False])
@pytest.mark.parametrize("accept_fails", [False, True])
@on_loop
async def test_connection_that_comes_to_an_empty_queue_has_not_waited(
    accept_fails, system_tells_length, monkeypatch
):
    # Guards against requests refused at once, as the time since the last connection counted as a wait.
    if not system_tells_length:
        monkeypatch.setattr(listener_module, "accept_queue_length", lambda listening: None)
    waits = []

    def make_protocol(waited):
        waits.append(waited)
        return asyncio.Protocol()

    listener = Listener(make_protocol)
    port = listener.open("127.0.0.1", 0)
    accept_one = listener._accept_one

    def fail_after_accepting():
        """Fails as for a connection that was reset while it waited, which is no longer in the queue."""
        listener._accept_one = accept_one
        accept_one()
        raise ConnectionAbortedError

    clients = []
    for _ in range(3):
        if accept_fails:
            listener._accept_one = fail_after_accepting
        clients.append(socket.create_connection(("127.0.0.1", port)))
        while len(waits) < len(clients):
            await asyncio.sleep(0)
        await asyncio.sleep(0.2)
    assert listener.failures == (3 if accept_fails else 0) and max(waits) < 0.1
    await listener.close()
    for client in clients:
        client.close()


@pytest.mark.parametrize("system_tells_length", [True, False])
@on_loop
async def test_time_in_the_accept_queue_is_passed_to_the_protocol(system_tells_length, monkeypatch):
    # Guards against requests forwarded with time that had passed before their connection was accepted.
    monkeypatch.setattr(listener_module, "MAX_ACCEPTS_PER_TURN", 1)
    if not system_tells_length:
        monkeypatch.setattr(listener_module, "accept_queue_length", lambda listening: None)
    waits = []

    def make_protocol(waited):
        waits.append((time.monotonic(), waited))
        return asyncio.Protocol()

    listener = Listener(make_protocol)
    port = listener.open("127.0.0.1", 0)
    clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(20)]
    while len(waits) < len(clients):
        time.sleep(0.005)  # each turn of the event loop takes this long
        await asyncio.sleep(0)
    first_at = waits[0][0]
    for made_at, waited in waits:
        assert made_at - first_at - 0.02 <= waited <= made_at - first_at + 0.02
    await listener.close()
    assert len(clients) < BACKLOG
    for client in clients:
        client.close()
