"""Everything of one soak: gateways, servers, counter, discovery and clients."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from pathlib import Path

from emulator.soak.clients import ClientSimulator, FrontEnd
from emulator.soak.configuration import MEAN_SERVICE_TIME, SERVER_CONCURRENCY
from emulator.soak.gateways import SoakGateway
from emulator.soak.record import SoakRecord, StateChange
from emulator.soak.standins import (
    DiscoveryAgent,
    SoakCounter,
    SoakServer,
    SoakServerList,
    record_server_start,
)

MIN_SERVERS = 6
TARGET_UTILIZATION = 0.35  # part of what all servers can do that is asked
SAMPLE_INTERVAL = 0.5  # seconds
DELAY_CHECK_INTERVAL, DELAY_THRESHOLD = 0.01, 0.02  # seconds


class SoakEnvironment:
    """A fleet and all that it speaks to."""

    def __init__(
        self,
        gateways: int,
        seed: int,
        directory: Path,
        shim: Path,
        rate: float,
        sabotage: tuple[str | None, ...] = (),
    ) -> None:
        """`rate`: requests a second for each gateway."""
        self.generator = random.Random(seed)
        self.record = SoakRecord(time.monotonic())
        self.server_list, self.counter = SoakServerList(), SoakCounter()
        self.servers: list[SoakServer] = []
        self.removed_servers: list[SoakServer] = []
        self.gateways: list[SoakGateway] = []
        for index in range(gateways):
            agent = DiscoveryAgent(
                index, self.server_list, self.record, lambda index=index: self.current_run(index), [], []
            )
            gateway_sabotage = sabotage[index] if index < len(sabotage) else None
            self.gateways.append(
                SoakGateway(index, gateways, directory, shim, agent, self.record, gateway_sabotage)
            )
        self.front_end = FrontEnd([gateway.port for gateway in self.gateways], self.current_run)
        self.clients = ClientSimulator(self.front_end, self.record, self.generator)
        self.rate = rate * gateways  # requests a second in all
        self.server_count = max(
            MIN_SERVERS, round(self.rate * MEAN_SERVICE_TIME / SERVER_CONCURRENCY / TARGET_UTILIZATION)
        )
        self.background_tasks: list[asyncio.Task[None]] = []

    def current_run(self, index: int) -> int:
        """The number of the process of a gateway that runs now."""
        return self.gateways[index].run_number

    async def start(self) -> None:
        """Starts all parties, then the gateways."""
        await self.counter.start(self.generator)
        for _ in range(self.server_count):
            await self.add_server(slow_start=False)
        for gateway in self.gateways:
            await gateway.agent.start(self.generator)
        await asyncio.gather(*(gateway.start(self.counter, self.server_list) for gateway in self.gateways))
        self.background_tasks = [
            asyncio.get_running_loop().create_task(background)
            for background in (
                self.monitor_scheduling_delay(),
                self.monitor_gateways(),
                self.clients.generate_load(self.rate),
            )
        ]

    async def add_server(self, slow_start: bool) -> SoakServer:
        """A new server, warm or just started."""
        name = f"s-{len(self.servers) + len(self.removed_servers):04d}"
        started = record_server_start(self.record, name) if slow_start else 0
        server = SoakServer(name, self.record, random.Random(self.generator.random()), started)
        await server.start()
        self.servers.append(server)
        self.server_list.apply_change(server.entry())
        return server

    def set_server_state(self, server: SoakServer, state: str) -> None:
        """Discovery hears of it."""
        server.state = state
        self.record.state_changes.append(StateChange(server.name, state, time.monotonic()))
        self.server_list.apply_change(server.entry())

    def remove_server(self, server: SoakServer) -> None:
        """It is gone from the list; its process stays up, so that what is sent to it is seen."""
        self.set_server_state(server, "removed")
        self.servers.remove(server)
        self.removed_servers.append(server)

    async def monitor_scheduling_delay(self) -> None:
        """Notes when this process, whose clock everything is judged by, was late itself."""
        while True:
            expected_at = time.monotonic() + DELAY_CHECK_INTERVAL
            await asyncio.sleep(DELAY_CHECK_INTERVAL)
            if (delay := time.monotonic() - expected_at) > DELAY_THRESHOLD:
                self.record.scheduling_delays.append((time.monotonic(), delay))

    async def monitor_gateways(self) -> None:
        """Keeps the front's knowledge and samples of the processes."""
        while True:
            self.front_end.ready = [gateway.ready for gateway in self.gateways]
            for gateway in self.gateways:
                gateway.sample()
            await asyncio.sleep(SAMPLE_INTERVAL / 5)

    async def stop(self) -> None:
        """Lets requests end, then ends the gateways and everything else."""
        await self.clients.stop()
        for gateway in self.gateways:
            gateway.fault_injector.clear()
        await asyncio.gather(
            *(gateway.terminate() for gateway in self.gateways if gateway.process_run.ended_at is None)
        )
        self.record.ended_at = time.monotonic()

    def close(self) -> None:
        """Ends whatever is left."""
        for task in self.background_tasks:
            task.cancel()
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    gateway.process.kill()
            gateway.agent.close()
            gateway.reserved_socket.close()
        for server in [*self.servers, *self.removed_servers]:
            server.close()
        self.clients.close()
        self.counter.close()
