"""Case 1: font servers spoil some answers by a length that does not fit; all answers come in two pieces."""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    HOST,
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
SECONDS = 15.0  # for which clients ask
CLIENTS = 20  # connections, one request at a time on each
PAUSE = 0.2  # seconds between an answer and the next request of a client
SPOILT_SHARE = 0.15  # of the answers
WRONG_BY = (-2, -1, 1, 2)  # bytes by which the length of a spoilt answer does not fit
PIECE_GAP = 0.01  # seconds between the two pieces of an answer


def value_of(name: str) -> bytes:
    """Returns the value that font servers make for a request id: 400 bytes that no other request has."""
    return hashlib.shake_256(name.encode()).hexdigest(200).encode()


class PiecewiseServer(FontServer):
    """A font server whose answers come in two pieces, cut inside of the value.

    With `spoils`, the length of some values does not fit; such a connection stays open and is of no further
    use.
    """

    def __init__(self, record: Record, name: str, rng: random.Random, spoils: bool) -> None:
        super().__init__(record, name, lambda parts: rng.uniform(0.03, 0.08), value_of)
        self.rng, self.spoils = rng, spoils
        self.spoilt: dict[str, int] = {}  # by request id: by how many bytes the length was wrong

    async def answer(self, writer: asyncio.StreamWriter, name: str) -> bool:
        """Writes one answer in two pieces."""
        value, wrong_by = self.value(name), 0
        if self.spoils and self.rng.random() < SPOILT_SHARE:
            wrong_by = self.spoilt[name] = self.rng.choice(WRONG_BY)
        text = b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value) + wrong_by, value)
        cut = self.rng.randrange(20, 300)
        writer.write(text[:cut])
        await writer.drain()
        await asyncio.sleep(PIECE_GAP)
        writer.write(text[cut:])
        await writer.drain()
        self.record.write(f"server {self.name} answered {name}, length wrong by {wrong_by}, cut at {cut}")
        return not wrong_by


class Client:
    """A client with one connection and one request at a time; it connects again where that ends."""

    def __init__(self, record: Record, number: int, port: int) -> None:
        self.record, self.number, self.port = record, number, port
        self.served: dict[str, bytes] = {}
        self.others = 0  # answers that were refusals or failures

    async def run(self) -> None:
        """Asks until SECONDS have passed."""
        count, writer = 0, None
        try:
            while self.record.now() < SECONDS:
                if writer is None:
                    reader, writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
                count += 1
                name = f"c{self.number}-{count}"
                writer.write(request(name, 1000 + self.number, "font-fetch", "plny", 1500))
                self.record.write(f"client {self.number} sent {name}")
                try:
                    line = await reader.readuntil(b"\r\n")
                    value = (await reader.readexactly(int(line[1:]) + 2))[:-2] if line[:1] == b"$" else None
                except (OSError, asyncio.IncompleteReadError):
                    self.record.write(f"client {self.number}: the connection ended under {name}")
                    writer.close()
                    writer = None
                    continue
                if value is None:
                    self.others += 1
                    self.record.write(f"client {self.number} got {line!r} for {name}")
                else:
                    self.served[name] = value
                    right = "the value made for it" if value == value_of(name) else f"WRONG VALUE {value!r}"
                    self.record.write(f"client {self.number} got {len(value)} bytes for {name}: {right}")
                await asyncio.sleep(PAUSE)
        finally:
            if writer is not None:
                writer.close()


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Plays the case; returns whether every served value was the one made for its request."""
    rng = random.Random(SEED)
    counter, discovery = Counter(), Discovery(record)
    servers = [PiecewiseServer(record, f"s-{n}", rng, trouble) for n in range(FONT_SERVERS)]
    for standin in (counter, discovery, *servers):
        await standin.start()
    discovery.entries = {server.name: server.entry() for server in servers}
    gateways = [Gateway(folder, f"n{n}", counter, discovery, settings(n, GATEWAYS)) for n in range(GATEWAYS)]
    try:
        for gateway in gateways:
            await gateway.start()
        clients = [Client(record, n, gateways[n % GATEWAYS].port) for n in range(CLIENTS)]
        await asyncio.gather(*(client.run() for client in clients))
    finally:
        for gateway in gateways:
            gateway.stop()
        for standin in (counter, discovery, *servers):
            standin.stop()
    served = {name: value for client in clients for name, value in client.served.items()}
    wrong = [name for name, value in served.items() if value != value_of(name)]
    spoilt = [wrong_by for server in servers for wrong_by in server.spoilt.values()]
    record.say(
        f"{len(served)} requests served, {sum(client.others for client in clients)} refused or failed; "
        f"{len(spoilt)} answers spoilt, {spoilt.count(1)} of them by a length too large by 1"
    )
    for name in wrong:
        spoilt_by = [f"{s.name} by {s.spoilt[name]}" for s in servers if name in s.spoilt]
        record.say(
            f"served with what no font server made: {name}, {served[name][-4:]!r} at its end, {spoilt_by}"
        )
    return not wrong


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
