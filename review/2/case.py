"""Case 2: a gateway is told to end while clients have several commands open on each connection."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import sys
import threading
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    HOST,
    CannotRun,
    Counter,
    Discovery,
    FontServer,
    Gateway,
    Record,
    request,
    run_case,
    settings,
)

SEED = 20
GATEWAYS = 2
FONT_SERVERS = 8
CLIENTS = 16  # connections, half of them to each gateway
OPEN_COMMANDS = 4  # that a client keeps open on its connection
VALUE = bytes(64 * 1024)  # the longest that the protocol allows
RECEIVE_BUFFER = 32 * 1024  # bytes, of a client's socket; the system doubles it
SECONDS = 3.0  # until the first gateway is told to end
KILL_AFTER = 2.5 + 0.7  # seconds from SIGTERM to SIGKILL: the longest deadline and 0.7 s


class Client(threading.Thread):
    """A client that keeps several commands open on one connection and reads until the connection ends.

    It sends the next command once it has a whole answer. After an error of a send it reads on, so that no
    answer that has come is missed.
    """

    def __init__(self, record: Record, number: int, port: int) -> None:
        super().__init__(daemon=True)
        self.record, self.number, self.port = record, number, port
        self.sent: list[str] = []
        self.answers: dict[str, str] = {}
        self.buffer = bytearray()
        self.stopping = False  # whether it sends no further command
        self.end = ""  # how its connection ended
        self.sock = socket.socket()

    def send(self) -> None:
        """Sends the next command."""
        if self.stopping:
            return
        number = len(self.sent) + 1
        name, customer = f"c{self.number}-{number}", 1000 + 100 * self.number + number % 50
        try:
            self.sock.sendall(request(name, customer, "font-fetch", "plny", 1500))
        except OSError as err:
            self.record.write(f"client {self.number}: sending failed: {err}")
            self.stopping = True
            return
        self.sent.append(name)
        self.record.write(f"client {self.number} sent {name}")

    def receive(self) -> None:
        """Reads more bytes; raises EOFError or OSError at the end of the connection."""
        data = self.sock.recv(65536)
        if not data:
            raise EOFError("the gateway closed")
        self.buffer += data

    def read_answer(self) -> str:
        """Reads one whole answer."""
        while (end := self.buffer.find(b"\r\n")) < 0:
            self.receive()
        line = bytes(self.buffer[:end])
        size = end + 2 + (int(line[1:]) + 2 if line[:1] == b"$" else 0)
        while len(self.buffer) < size:
            self.receive()
        del self.buffer[:size]
        return "served" if line[:1] == b"$" else line.decode()

    def run(self) -> None:
        """Asks until it is told to stop or the connection ends."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        try:
            self.sock.connect((HOST, self.port))
            self.sock.settimeout(20)
            for _ in range(OPEN_COMMANDS):
                self.send()
            while len(self.answers) < len(self.sent):
                name = self.sent[len(self.answers)]
                self.answers[name] = self.read_answer()
                self.record.write(f"client {self.number} got {name}: {self.answers[name]}")
                self.send()
            self.end = "closed by the client"
        except (OSError, EOFError) as err:
            self.end = f"{type(err).__name__} {err}"
        self.record.write(f"client {self.number}: {self.end}, {len(self.buffer)} bytes of an answer left")
        self.sock.close()


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Plays the case; returns whether each request that a gateway had forwarded got a whole answer."""
    rng = random.Random(SEED)
    counter, discovery = Counter(), Discovery(record)
    servers = [
        FontServer(record, f"s-{n}", lambda parts: rng.uniform(0.02, 0.12), lambda name: VALUE)
        for n in range(FONT_SERVERS)
    ]
    for standin in (counter, discovery, *servers):
        await standin.start()
    discovery.entries = {server.name: server.entry() for server in servers}
    gateways = [Gateway(folder, f"n{n}", counter, discovery, settings(n, GATEWAYS)) for n in range(GATEWAYS)]
    try:
        for gateway in gateways:
            await gateway.start()
        clients = [Client(record, n, gateways[n % GATEWAYS].port) for n in range(CLIENTS)]
        for client in clients:
            client.start()
        await asyncio.sleep(SECONDS)
        if trouble:
            record.write("SIGTERM to n0")
            gateways[0].signal(signal.SIGTERM)
            status = await gateways[0].wait(KILL_AFTER)
            record.say(f"n0 ended with status {status} before SIGKILL was due")
            if status is None:
                gateways[0].stop()
        for client in clients:
            client.stopping = True
        for _ in range(250):
            if not any(client.is_alive() for client in clients):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("a client has not ended")
    finally:
        for gateway in gateways:
            gateway.stop()
        for standin in (counter, discovery, *servers):
            standin.stop()
    ran = {name for server in servers for name in server.runs}
    lost = cut = 0
    for client in clients:
        missing = [name for name in client.sent if name not in client.answers]
        # Of the first one without a whole answer, a part may have come. The client can tell that it is not
        # whole; it is not counted, so that the check doesn't rest on whose fault that is.
        first_cut = bool(client.buffer)
        never = [name for name in missing[first_cut:] if name in ran]
        lost += len(never)
        cut += first_cut
        record.say(
            f"client {client.number} at n{client.number % GATEWAYS}: {len(client.sent)} sent, "
            f"{list(client.answers.values()).count('served')} served, {client.end}; "
            f"answers cut off: {missing[:1] if first_cut else []} after {len(client.buffer)} bytes; "
            f"LOST (run by a font server, no byte of an answer): {never}"
        )
    record.say(f"{lost} requests lost without a byte of an answer, {cut} more answers cut off")
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
