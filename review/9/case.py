"""Case 9: a keyed request runs twice: its first attempt connects late and is written past the window."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import struct
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import harness  # noqa: E402

FOLDER = Path(__file__).resolve().parent
SEED = 6
WINDOW = 0.5  # seconds for which all font servers drop a repeat, from the first attempt on
CONNECT_TIMEOUT = 1.5  # limits.connect_timeout
DEADLINE = 2.5
RESET_SHARE = 0.2  # of the requests that a server has run: the connection is reset under them
SERVERS = 6
# Seconds of a server's cycle: first packets are dropped, then answered. About one connection in eight comes
# up late, by the second after which the system sends the first packet again. The page has a third, and 1.5 s.
BLOCKED, OPEN = 0.2, 1.3
FILLERS = 4
REST = 0.05  # seconds of rest after which a server closes a connection
RATE, PLAYED = 50.0, 40.0
LINGER_RESET = struct.pack("ii", 1, 0)


class Memory:
    """The keys that the servers have seen, which all of them share, and what ran."""

    def __init__(self) -> None:
        self.first_seen: dict[str, float] = {}
        self.runs: dict[str, list[tuple[float, str]]] = {}

    def runs_now(self, arrival: harness.Arrival) -> bool:
        """Returns whether a command is run; a repeat within the window is dropped."""
        key = arrival.key or arrival.id
        seen = self.first_seen.get(key)
        if seen is not None and arrival.at <= seen + WINDOW:
            return False
        self.first_seen[key] = arrival.at
        self.runs.setdefault(arrival.id, []).append((arrival.at, arrival.server))
        return True


class Server:
    """A font server, to which some connections come up late, as its listener's queue is full."""

    def __init__(
        self, name: str, record: harness.Record, memory: Memory, generator: random.Random, phase: float
    ) -> None:
        self.name, self.record, self.memory, self.generator = name, record, memory, generator
        self.phase = phase
        self.tasks: set[asyncio.Task[None]] = set()
        self.resets = 0

    def start(self) -> Server:
        """Listens, and begins to accept."""
        self.listener = socket.socket()
        self.listener.setblocking(False)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.port = self.listener.getsockname()[1]
        self.keep(self.accept())
        return self

    def keep(self, coroutine: Any) -> None:
        """Runs a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def entry(self) -> dict[str, Any]:
        """Returns the server's entry in discovery's form."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "praha-1",
            "kind": "small-2c",
            "cell": 0,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
        }

    async def accept(self) -> None:
        """Accepts connections, with the disruption only in a part of each cycle."""
        loop = asyncio.get_running_loop()
        while not harness.TROUBLE:
            connection, _ = await loop.sock_accept(self.listener)
            self.keep(self.serve(connection))
        await asyncio.sleep(self.phase)
        while True:
            self.listener.listen(0)
            fillers = []
            for _ in range(FILLERS):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(("127.0.0.1", self.port))
                fillers.append(filler)
            await asyncio.sleep(BLOCKED)
            for filler in fillers:
                filler.close()
            self.listener.listen(128)
            ends_at = loop.time() + OPEN
            while loop.time() < ends_at:
                with contextlib.suppress(TimeoutError):
                    connection, _ = await asyncio.wait_for(
                        loop.sock_accept(self.listener), ends_at - loop.time()
                    )
                    self.keep(self.serve(connection))

    async def serve(self, connection: socket.socket) -> None:
        """Serves one connection and closes it once it has rested."""
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            while True:
                parts = await asyncio.wait_for(harness.read_array(reader), REST)
                arrival = harness.Arrival(self.name, parts)
                runs = self.memory.runs_now(arrival)
                self.record(f"server {self.name} got {arrival.id} and {'runs' if runs else 'drops'} it")
                await asyncio.sleep(0.05)
                if harness.TROUBLE and self.generator.random() < RESET_SHARE:
                    self.record(f"server {self.name} resets the connection of {arrival.id}")
                    self.resets += 1
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                    writer.transport.abort()
                    return
                value = harness.bulk(harness.value_of(arrival.id))
                writer.write(b"*3\r\n%s$-1\r\n$-1\r\n" % value)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def settings() -> dict[str, Any]:
    """Returns the settings: a shorter window for repeats, and a longer time for connecting."""
    tree = harness.settings(1, 0)
    tree["limits"]["connect_timeout"] = int(CONNECT_TIMEOUT * harness.SECOND)
    for service in tree["services"]:
        service["memory_span"] = int(WINDOW * harness.SECOND)
    return tree


def write_command(request_id: str, number: int) -> bytes:
    """Encodes an API.WRITE command of the keyed class."""
    fields = f"c=usage-report,t=plny,d={DEADLINE * 1000:.0f},k=key-{request_id},units=1,spread=1,first=0"
    tenant = b"%016x" % (1000 + number % 40)
    return harness.encode([b"API.WRITE", tenant, request_id.encode(), fields.encode(), b"BODY"])


async def case(record: harness.Record, folder: Path, gateways: list[harness.Gateway]) -> int:
    """Plays the case; returns whether the rule held."""
    memory, generator = Memory(), random.Random(SEED)
    servers = [
        Server(f"s-{number}", record, memory, generator, number * (BLOCKED + OPEN) / SERVERS).start()
        for number in range(SERVERS)
    ]
    counter = await harness.Counter().start()
    listed = harness.ServerList(servers)
    agent = await harness.Agent("a", listed, record).start()
    gateway = harness.Gateway("n0", folder, record, settings())
    gateways.append(gateway)
    gateway.write_config(agent.port, counter.port, listed.since(None))
    await gateway.start()

    free, outcomes = list[harness.Client](), list[harness.Outcome]()

    async def ask(number: int) -> None:
        """Sends one usual request on a kept connection."""
        client = free.pop() if free else harness.Client(gateway.port, record)
        request_id = f"r{number:04d}"
        outcomes.append(await client.ask(request_id, DEADLINE, write_command(request_id, number)))
        free.append(client)

    tasks, number, started_at = list[asyncio.Task[None]](), 0, time.monotonic()
    while time.monotonic() - started_at < PLAYED:
        tasks.append(asyncio.create_task(ask(number)))
        number += 1
        await asyncio.sleep(started_at + number / RATE - time.monotonic())
    await asyncio.gather(*tasks)
    resent = {outcome.id for outcome in outcomes if outcome.resent}
    twice = {
        request_id: runs[1][0] - runs[0][0]
        for request_id, runs in memory.runs.items()
        if len(runs) > 1
        and request_id not in resent
        and runs[1][0] > runs[0][0] + WINDOW + harness.SOCKET_SLACK
    }
    served = sum(outcome.served for outcome in outcomes)
    record.say(
        f"result: {len(outcomes)} keyed requests, {served} served, {sum(s.resets for s in servers)} resets; "
        f"{len(twice)} ran twice, as an attempt came later than {WINDOW + harness.SOCKET_SLACK:.2f} s"
    )
    for request_id, gap in list(twice.items())[:10]:
        record.say(f"ran twice: {request_id}, {gap:.3f} s apart, {memory.runs[request_id]}")
    if served < 0.5 * len(outcomes):
        raise harness.CaseError("the stand-ins did not serve")
    return harness.BROKEN if twice else harness.HELD


harness.run_case(case, FOLDER, 100.0)
