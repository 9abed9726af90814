"""Case 2: one bad client sends unreadable commands at full speed to a gateway with usual clients."""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import time
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
CLIENTS = 16  # usual ones, one request at a time; half of them at each gateway
BAD_CLIENTS = 1  # at the first gateway
QUIET = 2.0  # seconds before the bad client comes
BAD_SECONDS = 30.0  # for which it sends
PAUSE = 0.2  # seconds between an answer and the next request of a client
# Up to half a second after its time a final answer only earns nothing; on sockets each limit is 50 ms longer.
LATEST = 0.5 + 0.05
WAIT = 20.0  # seconds after its time for which a client still waits, to see how late an answer is
MAX_OWN_LAG = 0.5  # seconds; the case can't run where the stand-ins themselves are held up for longer


class Lag:
    """Measures by how much this process itself is late."""

    def __init__(self) -> None:
        self.worst = 0.0

    async def run(self) -> None:
        """Measures until it is cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.01)
            self.worst = max(self.worst, time.monotonic() - before - 0.01)


class Client:
    """A usual client with one connection and one request at a time."""

    def __init__(self, record: Record, number: int, port: int, rng: random.Random) -> None:
        self.record, self.number, self.port, self.rng = record, number, port, rng
        self.late: dict[
            str, float
        ] = {}  # by request id: seconds from its time to its answer; infinite: never
        self.served = 0

    async def run(self, seconds: float) -> None:
        """Asks until `seconds` of the case have passed."""
        reader, writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
        try:
            while self.record.now() < seconds:
                name = f"c{self.number}-{len(self.late) + 1}"
                ms = self.rng.randint(750, 1500)  # 50 to 100 % of the time of the class
                writer.write(request(name, 1000 + self.number, "font-fetch", "plny", ms))
                ends = time.monotonic() + ms / 1000
                self.record.write(f"client {self.number} sent {name} d={ms}")
                self.late[name] = float("inf")
                try:
                    async with asyncio.timeout(ms / 1000 + WAIT):
                        line = await reader.readuntil(b"\r\n")
                        if line[:1] == b"$":
                            await reader.readexactly(int(line[1:]) + 2)
                except TimeoutError:
                    self.record.write(f"client {self.number} got nothing for {name}")
                    break
                except (OSError, asyncio.IncompleteReadError):
                    # A request that crosses the close of its connection is sent once more.
                    self.record.write(f"client {self.number}: the connection ended under {name}")
                    del self.late[name]
                    writer.close()
                    reader, writer = await asyncio.open_connection(HOST, self.port, limit=1 << 20)
                    continue
                self.late[name] = time.monotonic() - ends
                self.served += line[:1] == b"$"
                self.record.write(
                    f"client {self.number} got {line!r} for {name}, {self.late[name]:+.3f} s from its time"
                )
                await asyncio.sleep(PAUSE)
        finally:
            writer.close()


async def case(record: Record, folder: Path, trouble: bool) -> bool:
    """Plays the case; returns whether every request of the usual clients got its answer in time."""
    rng = random.Random(SEED)
    counter, discovery = Counter(), Discovery(record)
    servers = [
        FontServer(record, f"s-{n}", lambda parts: rng.uniform(0.03, 0.08), lambda name: b"v" * 1000)
        for n in range(FONT_SERVERS)
    ]
    for standin in (counter, discovery, *servers):
        await standin.start()
    discovery.entries = {server.name: server.entry() for server in servers}
    gateways = [Gateway(folder, f"n{n}", counter, discovery, settings(n, GATEWAYS)) for n in range(GATEWAYS)]
    bad: list[subprocess.Popen[bytes]] = []
    lag = Lag()
    watch = asyncio.create_task(lag.run())
    try:
        for gateway in gateways:
            await gateway.start()
        clients = [Client(record, n, gateways[n % GATEWAYS].port, rng) for n in range(CLIENTS)]
        begin = record.now()
        asking = asyncio.gather(*(client.run(begin + QUIET + BAD_SECONDS) for client in clients))
        await asyncio.sleep(QUIET)
        if trouble:
            script = Path(__file__).resolve().parent / "bad_client.py"
            bad = [
                subprocess.Popen([sys.executable, "-B", str(script), str(gateways[0].port), str(BAD_SECONDS)])
                for _ in range(BAD_CLIENTS)
            ]
            record.write(f"{BAD_CLIENTS} bad client begins")
        await asking
        status = [gateway.process.poll() for gateway in gateways if gateway.process is not None]
    finally:
        watch.cancel()
        for process in bad:
            process.kill()
            process.wait()
        for gateway in gateways:
            gateway.stop()
        for standin in (counter, discovery, *servers):
            standin.stop()
    record.say(f"worst lag of the stand-ins {lag.worst:.3f} s, gateways' exit statuses {status}")
    if lag.worst > MAX_OWN_LAG:
        raise CannotRun("the stand-ins themselves were held up")
    lost = 0
    for number in range(GATEWAYS):
        late = [value for client in clients[number::GATEWAYS] for value in client.late.values()]
        served = sum(client.served for client in clients[number::GATEWAYS])
        lost_here = [value for value in late if value > LATEST + lag.worst]
        lost += len(lost_here)
        record.say(
            f"n{number}: {len(late)} requests, {served} served, {sum(value > 0 for value in late)} answered "
            f"after their time, {len(lost_here)} LOST (over {LATEST} s and the lag after it, or never), "
            f"the latest {max(late):+.2f} s"
        )
    return not lost


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, case))
