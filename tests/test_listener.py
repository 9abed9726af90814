"""The listening socket by itself."""

import asyncio
import socket

from netkit import on_loop

from calicomast.net.listener import Listener


class Joined(asyncio.Protocol):
    """Notes its connection."""

    made = 0

    def connection_made(self, transport):
        Joined.made += 1
        self.transport = transport


@on_loop
async def test_what_comes_while_it_closes_is_handed_over_before_it_is_closed():
    Joined.made = 0
    listener, gates = Listener(lambda waited: Joined()), []
    hand_over = listener._hand_over

    async def slowly(accepted, waited):
        gates.append(asyncio.Event())
        await gates[-1].wait()
        await hand_over(accepted, waited)

    listener._hand_over = slowly
    port = listener.open("127.0.0.1", 0)
    clients = [socket.create_connection(("127.0.0.1", port))]
    closing = asyncio.create_task(listener.close())
    while not gates:
        await asyncio.sleep(0)
    clients.append(socket.create_connection(("127.0.0.1", port)))
    while len(gates) < 2:
        await asyncio.sleep(0)
    gates[0].set()
    while Joined.made < 1:
        await asyncio.sleep(0)
    await asyncio.sleep(0.02)
    assert not closing.done()
    gates[1].set()
    await closing
    assert Joined.made == 2 and not listener.is_serving()
    for client in clients:
        client.close()
