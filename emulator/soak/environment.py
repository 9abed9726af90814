"""Everything of one soak: gateways, servers, counter, discovery and clients."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from pathlib import Path

from emulator.soak.clients import Crowd, Front
from emulator.soak.configuration import SLOTS, WORK
from emulator.soak.gateways import SoakGateway
from emulator.soak.record import Changed, Record
from emulator.soak.standins import Agent, FontServer, SoakCounter, SoakList, started_now

SERVERS_LEAST = 6
LOAD = 0.35  # part of what all servers can do that is asked
SAMPLE_EVERY = 0.5  # seconds
LAG_LOOK, LAG_NOTED = 0.01, 0.02  # seconds


class World:
    """A fleet and all that it speaks to."""

    def __init__(
        self,
        gateways: int,
        seed: int,
        folder: Path,
        shim: Path,
        rate: float,
        broken: tuple[str | None, ...] = (),
    ) -> None:
        """`rate`: requests a second for each gateway."""
        self.generator = random.Random(seed)
        self.record = Record(time.monotonic())
        self.listed, self.counter = SoakList(), SoakCounter()
        self.servers: list[FontServer] = []
        self.ended_servers: list[FontServer] = []
        self.gateways: list[SoakGateway] = []
        for index in range(gateways):
            agent = Agent(index, self.listed, self.record, lambda index=index: self.life(index), [], [])
            how = broken[index] if index < len(broken) else None
            self.gateways.append(SoakGateway(index, gateways, folder, shim, agent, self.record, how))
        self.front = Front([gateway.port for gateway in self.gateways], self.life)
        self.crowd = Crowd(self.front, self.record, self.generator)
        self.rate = rate * gateways  # requests a second in all
        self.server_count = max(SERVERS_LEAST, round(self.rate * WORK / SLOTS / LOAD))
        self.watchers: list[asyncio.Task[None]] = []

    def life(self, index: int) -> int:
        """The number of the process of a gateway that runs now."""
        return self.gateways[index].lives

    async def start(self) -> None:
        """Starts all parties, then the gateways."""
        await self.counter.start(self.generator)
        for _ in range(self.server_count):
            await self.add_server(cold=False)
        for gateway in self.gateways:
            await gateway.agent.start(self.generator)
        await asyncio.gather(*(gateway.start(self.counter, self.listed) for gateway in self.gateways))
        self.watchers = [
            asyncio.get_running_loop().create_task(work)
            for work in (self.watch_lag(), self.watch_fleet(), self.crowd.ask_steadily(self.rate))
        ]

    async def add_server(self, cold: bool) -> FontServer:
        """A new server, warm or just started."""
        name = f"s-{len(self.servers) + len(self.ended_servers):04d}"
        started = started_now(self.record, name) if cold else 0
        server = FontServer(name, self.record, random.Random(self.generator.random()), started)
        await server.start()
        self.servers.append(server)
        self.listed.change(server.entry())
        return server

    def change_state(self, server: FontServer, state: str) -> None:
        """Discovery hears of it."""
        server.state = state
        self.record.changed.append(Changed(server.name, state, time.monotonic()))
        self.listed.change(server.entry())

    def remove(self, server: FontServer) -> None:
        """It is gone from the list; its process stays up, so that what is sent to it is seen."""
        self.change_state(server, "removed")
        self.servers.remove(server)
        self.ended_servers.append(server)

    async def watch_lag(self) -> None:
        """Notes when this process, whose clock everything is judged by, was late itself."""
        while True:
            due = time.monotonic() + LAG_LOOK
            await asyncio.sleep(LAG_LOOK)
            if (lag := time.monotonic() - due) > LAG_NOTED:
                self.record.lags.append((time.monotonic(), lag))

    async def watch_fleet(self) -> None:
        """Keeps the front's knowledge and samples of the processes."""
        while True:
            self.front.ready = [gateway.ready for gateway in self.gateways]
            for gateway in self.gateways:
                gateway.sample()
            await asyncio.sleep(SAMPLE_EVERY / 5)

    async def finish(self) -> None:
        """Lets requests end, then ends the gateways and everything else."""
        await self.crowd.finish()
        for gateway in self.gateways:
            gateway.faults.clear()
        await asyncio.gather(
            *(gateway.terminate() for gateway in self.gateways if gateway.life.ended_at is None)
        )
        self.record.ended = time.monotonic()

    def close(self) -> None:
        """Ends whatever is left."""
        for task in self.watchers:
            task.cancel()
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    gateway.process.kill()
            gateway.agent.close()
            gateway.reserved.close()
        for server in [*self.servers, *self.ended_servers]:
            server.close()
        self.crowd.close()
        self.counter.close()
