"""Case 10: new configurations in a row keep a gateway from a drain that a slow discovery has to tell."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import harness  # noqa: E402

FOLDER = Path(__file__).resolve().parent
SLOW = 1.7  # seconds for which discovery holds back each answer
CONFIGURATIONS = 8
INTERVAL = 1.5  # seconds between new configurations
OLD_ADDRESS_OPEN = 1.5  # the page: the old address closes the open connections after 1.5 s
DRAIN_AFTER = 0.2  # seconds from the first new configuration to the drain
TOLD_AT_LATEST = 6.0  # the page: "at the latest 6 s after discovery had it and could be reached"
GRACE = 1.0  # rules.drain_grace
PAUSE = 0.15  # the page: a gateway may be held up for so long
BOUND = TOLD_AT_LATEST + GRACE + PAUSE + harness.SOCKET_SLACK
RATE = 60.0  # requests a second
QUIET, PLAYED = 3.0, 16.0  # seconds


async def case(record: harness.Record, folder: Path, gateways: list[harness.Gateway]) -> int:
    """Plays the case; returns whether the rule held."""
    servers = [await harness.FontServer(f"s-{number}", record).start() for number in range(3)]
    counter = await harness.Counter().start()
    listed = harness.ServerList(servers)
    addresses = [await harness.Agent(f"a{k}", listed, record).start() for k in range(CONFIGURATIONS + 1)]
    gateway = harness.Gateway("n0", folder, record, harness.settings(1, 0))
    gateways.append(gateway)
    known = listed.since(None)
    gateway.write_config(addresses[0].port, counter.port, known)
    await gateway.start()

    free, outcomes = list[harness.Client](), list[harness.Outcome]()

    async def ask(number: int) -> None:
        """Sends one usual request on a kept connection."""
        client = free.pop() if free else harness.Client(gateway.port, record)
        request_id = f"r{number:04d}"
        command = harness.read_command(request_id, 1500, tenant=1000 + number % 40)
        outcomes.append(await client.ask(request_id, 1.5, command))
        free.append(client)

    tasks, number, started_at = list[asyncio.Task[None]](), 0, time.monotonic()
    drained_at, configured = float("inf"), 0
    while (elapsed := time.monotonic() - started_at) < QUIET + PLAYED:
        if harness.TROUBLE and elapsed >= QUIET + configured * INTERVAL and configured < CONFIGURATIONS:
            for agent in addresses:
                agent.delay = lambda: SLOW
            configured += 1
            gateway.write_config(addresses[configured].port, counter.port, known)
            gateway.signal(signal.SIGHUP)
            addresses[configured - 1].retire(OLD_ADDRESS_OPEN)
        if elapsed >= QUIET + DRAIN_AFTER and drained_at == float("inf"):
            servers[0].state = "draining"
            listed.change(servers[0].entry())
            drained_at = time.monotonic()
            record.say("server s-0 drains, and discovery has it")
        tasks.append(asyncio.create_task(ask(number)))
        number += 1
        await asyncio.sleep(started_at + number / RATE - time.monotonic())
    await asyncio.gather(*tasks)
    after = [arrival.at - drained_at for arrival in servers[0].arrivals if arrival.at > drained_at]
    late = [seconds for seconds in after if seconds > BOUND]
    served = sum(outcome.served for outcome in outcomes)
    record.say(
        f"result: {len(outcomes)} requests, {served} served; {len(after)} attempts came to s-0 after its "
        f"drain, {len(late)} of them more than {BOUND:.2f} s after, the last {max(after, default=0.0):.2f} s"
    )
    if served < 0.5 * len(outcomes):
        raise harness.CaseError("the stand-ins did not serve")
    return harness.BROKEN if late else harness.HELD


harness.run_case(case, FOLDER, 100.0)
