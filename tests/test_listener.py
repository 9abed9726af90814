"""Tests of the listening socket alone."""

import asyncio
import socket

from netkit import on_loop

from calicomast.net.listener import Listener


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
