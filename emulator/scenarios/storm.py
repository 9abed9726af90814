"""Scenario: load on discovery when many gateways start at once or reconnect after an outage."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator
from unittest import mock

from calicomast.net import discovery
from calicomast.net.server_list import ServerList
from emulator.deployment import Deployment
from emulator.discovery_model import DiscoveryModel
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes
from emulator.virtual_loop import VirtualLoop

GATEWAYS = 200
SERVERS = 1000
ENTRIES_PER_SECOND = 100_000.0  # capacity of discovery; at the target size, two full lists per second
START_SPREAD = 2.0  # seconds over which the starts of the gateways are distributed
SECONDS = 30.0  # duration of a run
OUTAGE = (0.0, 4.0)  # start and end of discovery's outage in seconds; the gateways start during it
CHANGES = 20  # changes of the list, between the end of the outage and the middle of the run


class EmulatedDiscovery(discovery.DiscoveryClient):
    """The gateway's discovery client, connected to the emulated service instead of a network."""

    def __init__(self, service: DiscoveryModel, held_version: int) -> None:
        super().__init__(
            ("127.0.0.1", 1), held_version, self.record_response, lambda: None, has_list=held_version > 0
        )
        self.service, self.started_at = service, 0.0
        self.first_response_after: float | None = None  # seconds from the start until the first response

    def start(self) -> None:
        """Starts watching the server list."""
        self.started_at = asyncio.get_running_loop().time()
        self.watch(True)

    def record_response(self, server_list: ServerList) -> None:
        """Records the time of the first response."""
        if self.first_response_after is None:
            self.first_response_after = asyncio.get_running_loop().time() - self.started_at

    async def read_body(self, target: str) -> AsyncIterator[bytes]:
        """Yields the body of the response of the emulated service."""
        yield await self.service.get(target)


async def simulate(deployment: Deployment, list_held: bool, outage: bool, generator: random.Random) -> Row:
    """Simulates one fleet size.

    With `list_held`, each gateway already has version 1 of the list and requests only the changes after it.
    With `outage`, discovery is down while the gateways start.
    """
    loop = asyncio.get_running_loop()
    service = DiscoveryModel(
        [deployment.discovery_entry(n) for n in range(deployment.servers)], ENTRIES_PER_SECOND
    )
    clients = [EmulatedDiscovery(service, 1 if list_held else 0) for _ in range(deployment.gateways)]
    for client in clients:
        loop.call_later(generator.random() * START_SPREAD, client.start)
    if outage:
        loop.call_later(OUTAGE[0], setattr, service, "down", True)
        loop.call_later(OUTAGE[1], setattr, service, "down", False)
    for number in range(CHANGES):
        at = OUTAGE[1] + number * (SECONDS / 2 - OUTAGE[1]) / CHANGES
        loop.call_later(at, service.apply_change, deployment.discovery_entry(number, state="draining"))
    await asyncio.sleep(SECONDS)
    outdated = sum(client.version < service.version for client in clients)
    response_times = [
        client.first_response_after for client in clients if client.first_response_after is not None
    ]
    for client in clients:
        client.close()
    tally = service.tally
    return {
        "gateways": deployment.gateways,
        "servers": deployment.servers,
        "list_held": list_held,
        "outage": outage,
        "calls": tally.calls,
        "whole_lists": tally.whole_lists,
        "refused": tally.refused,
        "entries_sent": tally.entries,
        "bytes_sent": tally.bytes,
        "last_answered_after_s": round(max(response_times, default=0.0), 3),
        "never_answered": len(clients) - len(response_times),
        "behind_at_the_end": outdated,
    }


def measure(deployment: Deployment, list_held: bool, outage: bool, seed: int) -> Row:
    """Simulates one fleet size in virtual time. The retry delays of the clients are drawn from the seed."""
    generator = random.Random(seed)
    with (
        mock.patch.object(discovery.log, "disabled", True),
        mock.patch.object(discovery.random, "random", generator.random),
        asyncio.Runner(loop_factory=VirtualLoop) as runner,
    ):
        return runner.run(simulate(deployment, list_held, outage, generator))


def run(options: Options) -> list[Row]:
    """Measures three fleet sizes.

    Each is measured with and without a list that the gateways already have, and with and without an outage.
    """
    sizes = geometric_sizes(options.gateways or GATEWAYS, steps=3, factor=2.0)
    cases = [
        (list_held, outage, gateways)
        for list_held in (True, False)
        for outage in (False, True)
        for gateways in sizes
    ]
    rows = []
    for step, (list_held, outage, gateways) in enumerate(cases):
        options.progress(f"{gateways} gateways{', discovery down at the start' * outage}", step / len(cases))
        deployment = Deployment(gateways, options.servers or SERVERS)
        rows.append(measure(deployment, list_held, outage, options.seed))
    return rows


SCENARIO = Scenario(
    "storm",
    "hollow",
    "load on discovery when many gateways start at once or reconnect after an outage",
    run,
    (
        "gateways",
        "servers",
        "list_held",
        "outage",
        "calls",
        "whole_lists",
        "refused",
        "entries_sent",
        "bytes_sent",
        "last_answered_after_s",
        "never_answered",
        "behind_at_the_end",
    ),
)
