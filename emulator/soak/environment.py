"""The environment of one soak: gateways, servers, counter, discovery and clients."""

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
TARGET_UTILIZATION = 0.35  # share of the servers' total capacity that the clients use
SAMPLE_INTERVAL = 0.5  # seconds; gateways are sampled five times in it
DELAY_CHECK_INTERVAL = 0.01  # seconds
DELAY_THRESHOLD = 0.02  # seconds; shorter scheduling delays are not recorded


class SoakEnvironment:
    """The gateways of a soak and everything that they communicate with."""

    def __init__(
        self,
        gateways: int,
        seed: int,
        directory: Path,
        shim: Path,
        rate: float,
        sabotage: tuple[str | None, ...] = (),
    ) -> None:
        """Creates the parts of the environment without starting them.

        Args:
            directory: where configurations and logs of the gateways are written.
            shim: the library that injects faults into system calls.
            rate: requests per second for each gateway.
            sabotage: for each gateway the invariant that it violates on purpose, see sabotage.py.
        """
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
        self.rate = rate * gateways  # requests per second at all gateways together
        self.server_count = max(
            MIN_SERVERS, round(self.rate * MEAN_SERVICE_TIME / SERVER_CONCURRENCY / TARGET_UTILIZATION)
        )
        self.background_tasks: list[asyncio.Task[None]] = []

    def current_run(self, index: int) -> int:
        """Returns the number of a gateway's current process run."""
        return self.gateways[index].run_number

    async def start(self) -> None:
        """Starts the counter, servers and discovery agents, then the gateways, then the load."""
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
        """Starts a server and adds it to discovery, with or without slow start."""
        name = f"s-{len(self.servers) + len(self.removed_servers):04d}"
        started_ms = record_server_start(self.record, name) if slow_start else 0
        server = SoakServer(name, self.record, random.Random(self.generator.random()), started_ms)
        await server.start()
        self.servers.append(server)
        self.server_list.apply_change(server.entry())
        return server

    def set_server_state(self, server: SoakServer, state: str) -> None:
        """Changes a server's state in discovery."""
        server.state = state
        self.record.state_changes.append(StateChange(server.name, state, time.monotonic()))
        self.server_list.apply_change(server.entry())

    def remove_server(self, server: SoakServer) -> None:
        """Removes a server from discovery but keeps it running, so that attempts sent to it are recorded."""
        self.set_server_state(server, "removed")
        self.servers.remove(server)
        self.removed_servers.append(server)

    def remove_all_servers(self) -> None:
        """Removes all servers from discovery at once, by a whole list without servers; they keep running."""
        for server in self.servers:
            server.state = "removed"
            self.record.state_changes.append(StateChange(server.name, "removed", time.monotonic()))
        self.server_list.remove_all()

    async def monitor_scheduling_delay(self) -> None:
        """Records scheduling delays of this process, because they distort the timestamps that it takes."""
        while True:
            expected_at = time.monotonic() + DELAY_CHECK_INTERVAL
            await asyncio.sleep(DELAY_CHECK_INTERVAL)
            if (delay := time.monotonic() - expected_at) > DELAY_THRESHOLD:
                self.record.scheduling_delays.append((time.monotonic(), delay))

    async def monitor_gateways(self) -> None:
        """Updates the front end's view of ready gateways and samples the resource use of their processes."""
        while True:
            self.front_end.ready = [gateway.ready for gateway in self.gateways]
            for gateway in self.gateways:
                gateway.sample()
            await asyncio.sleep(SAMPLE_INTERVAL / 5)

    async def stop(self) -> None:
        """Waits for pending requests, then removes all system call faults and terminates the gateways.

        Raises the error of a background task that has failed, as the record is incomplete then.
        """
        await self.clients.stop()
        for task in self.background_tasks:
            if task.done():
                task.result()
        for gateway in self.gateways:
            gateway.fault_injector.clear()
        await asyncio.gather(
            *(gateway.terminate() for gateway in self.gateways if gateway.process_run.ended_at is None)
        )
        self.record.ended_at = time.monotonic()

    def close(self) -> None:
        """Kills gateways that are still running and closes everything else."""
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
