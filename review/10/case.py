"""Case 10: a restarted gateway sends to a server that its agent has as draining; discovery is slow."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import harness  # noqa: E402

FOLDER = Path(__file__).resolve().parent
SLOW = 3.0  # seconds for which discovery holds back each answer to the new process
GRACE = 1.0  # rules.drain_grace
PAUSE = 0.15  # the page: a gateway may be held up for so long
BOUND = GRACE + PAUSE + harness.SOCKET_SLACK
RATE = 60.0  # requests a second
QUIET, AFTER_DRAIN, PLAYED = 2.0, 3.0, 6.0  # seconds


async def case(record: harness.Record, folder: Path, gateways: list[harness.Gateway]) -> int:
    """Plays the case; returns whether the rule held."""
    servers = [await harness.FontServer(f"s-{number}", record).start() for number in range(3)]
    counter = await harness.Counter().start()
    listed = harness.ServerList(servers)
    agent = await harness.Agent("a", listed, record).start()
    gateway = harness.Gateway("n0", folder, record, harness.settings(1, 0))
    gateways.append(gateway)
    # The page on `known`: "the list of font servers, as this api gateway last had it. It may be old."
    gateway.write_config(agent.port, counter.port, listed.since(None))
    await gateway.start()

    free, outcomes, number = list[harness.Client](), list[harness.Outcome](), 0

    async def ask() -> None:
        """Sends one usual request on a kept connection."""
        nonlocal number
        number += 1
        client = free.pop() if free else harness.Client(gateway.port, record)
        request_id = f"r{number:04d}"
        command = harness.read_command(request_id, 1500, tenant=1000 + number % 40)
        outcomes.append(await client.ask(request_id, 1.5, command))
        free.append(client)

    async def send(seconds: float) -> None:
        """Sends usual requests for some seconds and waits for their answers."""
        tasks, started_at, count = list[asyncio.Task[None]](), time.monotonic(), 0
        while time.monotonic() < started_at + seconds:
            tasks.append(asyncio.create_task(ask()))
            count += 1
            await asyncio.sleep(started_at + count / RATE - time.monotonic())
        await asyncio.gather(*tasks)

    await send(QUIET)
    servers[0].state = "draining"
    listed.change(servers[0].entry())
    record.say("server s-0 drains, and the agent has it")
    await send(AFTER_DRAIN)
    gateway.signal(signal.SIGTERM)
    assert gateway.process is not None
    await asyncio.wait_for(gateway.process.wait(), 4.0)
    for client in free:
        client.close()
    free.clear()
    if harness.TROUBLE:
        agent.delay = lambda: SLOW
    restarted_at = time.monotonic()
    await gateway.start()
    await send(PLAYED)
    after = [arrival.at - restarted_at for arrival in servers[0].arrivals if arrival.at > restarted_at]
    late = [seconds for seconds in after if seconds > BOUND]
    served = sum(outcome.served for outcome in outcomes)
    record.say(
        f"result: {len(outcomes)} requests, {served} served; the new process sent {len(after)} attempts "
        f"to s-0, {len(late)} of them more than {BOUND:.2f} s after its start, "
        f"the last {max(after, default=0.0):.2f} s"
    )
    if served < 0.5 * len(outcomes):
        raise harness.CaseError("the stand-ins did not serve")
    return harness.BROKEN if late else harness.HELD


harness.run_case(case, FOLDER, 100.0)
