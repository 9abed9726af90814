"""Many gateways start at once, or hear discovery again after an outage: what they ask of it."""

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

GATEWAYS, SERVERS = 200, 1000
ENTRIES_PER_SECOND = 100_000.0  # that discovery sends; two whole lists a second at the target's size
STARTS_WITHIN = 2.0  # seconds
SECONDS = 30.0
OUTAGE = (0.0, 4.0)  # of discovery, in seconds, while the gateways start
CHANGES = 20  # of the list in that time


class EmulatedDiscovery(discovery.DiscoveryClient):
    """The gateway's own discovery client, with the emulated service in place of a connection."""

    def __init__(self, service: DiscoveryModel, held_version: int) -> None:
        super().__init__(("127.0.0.1", 1), held_version, self.note, lambda: None, has_list=held_version > 0)
        self.service, self.began_at = service, 0.0
        self.heard_after: float | None = None  # seconds until the first answer

    def start(self) -> None:
        """Begins to watch."""
        self.began_at = asyncio.get_running_loop().time()
        self.watch(True)

    def note(self, listing: ServerList) -> None:
        """Remembers when the first answer came."""
        if self.heard_after is None:
            self.heard_after = asyncio.get_running_loop().time() - self.began_at

    async def read_body(self, target: str) -> AsyncIterator[bytes]:
        """The service's answer."""
        yield await self.service.get(target)


async def play(deployment: Deployment, held: bool, outage: bool, generator: random.Random) -> Row:
    """One size; `held`: each gateway has a list of a version that it asks for changes to."""
    loop = asyncio.get_running_loop()
    service = DiscoveryModel(
        [deployment.discovery_entry(n) for n in range(deployment.servers)], ENTRIES_PER_SECOND
    )
    clients = [EmulatedDiscovery(service, 1 if held else 0) for _ in range(deployment.gateways)]
    for client in clients:
        loop.call_later(generator.random() * STARTS_WITHIN, client.start)
    if outage:
        loop.call_later(OUTAGE[0], setattr, service, "down", True)
        loop.call_later(OUTAGE[1], setattr, service, "down", False)
    for number in range(CHANGES):
        at = OUTAGE[1] + number * (SECONDS / 2 - OUTAGE[1]) / CHANGES
        loop.call_later(at, service.change, deployment.discovery_entry(number, state="draining"))
    await asyncio.sleep(SECONDS)
    behind = sum(client.version < service.version for client in clients)
    heard = [client.heard_after for client in clients if client.heard_after is not None]
    for client in clients:
        await client.close()
    tally = service.tally
    return {
        "gateways": deployment.gateways,
        "servers": deployment.servers,
        "list_held": held,
        "outage": outage,
        "calls": tally.calls,
        "whole_lists": tally.whole_lists,
        "refused": tally.refused,
        "entries_sent": tally.entries,
        "bytes_sent": tally.bytes,
        "last_answered_after_s": round(max(heard, default=0.0), 3),
        "never_answered": len(clients) - len(heard),
        "behind_at_the_end": behind,
    }


def measure(deployment: Deployment, held: bool, outage: bool, seed: int) -> Row:
    """One size in virtual time. The clients' pauses are drawn from the seed."""
    generator = random.Random(seed)
    with (
        mock.patch.object(discovery.log, "disabled", True),
        mock.patch.object(discovery.random, "random", generator.random),
        asyncio.Runner(loop_factory=VirtualLoop) as runner,
    ):
        return runner.run(play(deployment, held, outage, generator))


def run(options: Options) -> list[Row]:
    """Three sizes, each with and without a list that is held and an outage of discovery."""
    sizes = geometric_sizes(options.gateways or GATEWAYS, steps=3, factor=2.0)
    cases = [(held, outage, n) for held in (True, False) for outage in (False, True) for n in sizes]
    rows = []
    for done, (held, outage, gateways) in enumerate(cases):
        options.progress(f"{gateways} gateways{', discovery away first' * outage}", done / len(cases))
        deployment = Deployment(gateways, options.servers or SERVERS)
        rows.append(measure(deployment, held, outage, options.seed))
    return rows


SCENARIO = Scenario(
    "storm",
    "hollow",
    "gateways that start together, or return after an outage: what they ask of discovery",
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
