"""Case 9: a keyed request runs twice: its first attempt connects late and is written past the window."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import harness  # noqa: E402

FOLDER = Path(__file__).resolve().parent
WINDOW = 0.5  # seconds for which all font servers drop a repeat, from the first attempt on
CONNECT_TIMEOUT = 1.5  # limits.connect_timeout
DEADLINE = 2.5
SERVERS = 6
# The disruption comes in episodes. At their begin, new connections to a third of the servers come up late, by
# the second after which the system sends the first packet again. Shortly after, requests that have begun at
# any server are run, and their connections are reset.
EPISODE, LATE_SERVERS, LATE_FOR = 3.0, 2, 0.2
RESET_FROM, RESET_TO = 0.1, 0.45  # seconds from the begin of an episode
FILLERS = 4
REST = 0.05  # seconds of rest after which a server closes a connection
RATE, PLAYED = 50.0, 40.0
LINGER_RESET = struct.pack("ii", 1, 0)


class Memory:
    """The keys that the servers have seen, which all of them share, and what ran."""

    def __init__(self) -> None:
        self.first_seen: dict[str, float] = {}
        self.runs: dict[str, list[harness.Arrival]] = {}

    def runs_now(self, arrival: harness.Arrival) -> bool:
        """Returns whether a command is run; a repeat within the window is dropped."""
        key = arrival.key or arrival.id
        seen = self.first_seen.get(key)
        if seen is not None and arrival.at <= seen + WINDOW:
            return False
        self.first_seen[key] = arrival.at
        self.runs.setdefault(arrival.id, []).append(arrival)
        return True


class Server:
    """A font server whose connections can be made to come up late, or to be reset under requests."""

    def __init__(self, name: str, record: harness.Record, memory: Memory) -> None:
        self.name, self.record, self.memory = name, record, memory
        self.tasks: set[asyncio.Task[None]] = set()
        self.resetting, self.resets = False, 0

    def start(self) -> Server:
        """Listens, and begins to accept."""
        self.listener = socket.socket()
        self.listener.setblocking(False)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.port = self.listener.getsockname()[1]
        self.loop = asyncio.get_running_loop()
        self.loop.add_reader(self.listener, self.accept)
        return self

    def accept(self) -> None:
        """Accepts the connections that wait."""
        with contextlib.suppress(BlockingIOError):
            while True:
                connection, _ = self.listener.accept()
                connection.setblocking(False)
                self.keep(self.serve(connection))

    async def be_late(self) -> None:
        """Fills the listener's queue for a time, so that first packets of new connections are dropped."""
        self.accept()
        self.loop.remove_reader(self.listener)
        self.listener.listen(0)
        fillers = []
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            fillers.append(filler)
        await asyncio.sleep(LATE_FOR)
        for filler in fillers:
            filler.close()
        self.listener.listen(128)
        self.loop.add_reader(self.listener, self.accept)

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

    async def serve(self, connection: socket.socket) -> None:
        """Serves one connection and closes it once it has rested."""
        reader, writer = await asyncio.open_connection(sock=connection)
        try:
            while True:
                parts = await asyncio.wait_for(harness.read_array(reader), REST)
                arrival = harness.Arrival(self.name, parts)
                runs = self.memory.runs_now(arrival)
                done = "runs" if runs else "drops"
                self.record(f"server {self.name} got {arrival.id} d={arrival.told_ms} and {done} it")
                await asyncio.sleep(0.05)
                if self.resetting:
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
    memory = Memory()
    servers = [Server(f"s-{number}", record, memory).start() for number in range(SERVERS)]
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

    async def disrupt() -> None:
        """Plays the episodes."""
        episode = 0
        while True:
            await asyncio.sleep(EPISODE - RESET_TO)
            late = [servers[(episode * LATE_SERVERS + k) % SERVERS] for k in range(LATE_SERVERS)]
            episode += 1
            record(f"new connections come up late at {' '.join(server.name for server in late)}")
            for server in late:
                server.keep(server.be_late())
            await asyncio.sleep(RESET_FROM)
            for server in servers:
                server.resetting = True
            await asyncio.sleep(RESET_TO - RESET_FROM)
            for server in servers:
                server.resetting = False

    disruption = asyncio.create_task(disrupt()) if harness.TROUBLE else None
    tasks, number, started_at = list[asyncio.Task[None]](), 0, time.monotonic()
    while time.monotonic() - started_at < PLAYED:
        tasks.append(asyncio.create_task(ask(number)))
        number += 1
        await asyncio.sleep(started_at + number / RATE - time.monotonic())
    await asyncio.gather(*tasks)
    if disruption is not None:
        disruption.cancel()
    by_id = {outcome.id: outcome for outcome in outcomes}
    twice, written_in_time = list[str](), 0
    for request_id, runs in memory.runs.items():
        outcome = by_id[request_id]
        if len(runs) == 1 or outcome.resent:
            continue
        window_over = runs[0].at + WINDOW + harness.SOCKET_SLACK
        # What an attempt tells is at most what was left when it was written. One that tells more than was
        # left when the window was over had been written before, and came late by no fault of the gateway.
        left_then = outcome.sent_at + DEADLINE - window_over
        if runs[1].at <= window_over:
            continue
        if runs[1].told_ms / 1000 > left_then:
            written_in_time += 1
            continue
        twice.append(
            f"{request_id}: at {runs[0].server} with d={runs[0].told_ms}, and "
            f"{runs[1].at - runs[0].at:.3f} s later at {runs[1].server} with d={runs[1].told_ms}"
        )
    served = sum(outcome.served for outcome in outcomes)
    record.say(
        f"result: {len(outcomes)} keyed requests, {served} served, {sum(s.resets for s in servers)} resets; "
        f"{len(twice)} ran twice, as an attempt was written later than {WINDOW + harness.SOCKET_SLACK:.2f} s "
        f"after the first; {written_in_time} more came as late but were written in time"
    )
    for text in twice[:20]:
        record.say(f"ran twice: {text}")
    if served < 0.5 * len(outcomes):
        raise harness.CaseError("the stand-ins did not serve")
    return harness.BROKEN if twice else harness.HELD


harness.run_case(case, FOLDER, 100.0)
