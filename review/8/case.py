"""Case 8: requests on new connections wait for seconds to be accepted while bad clients send and connect."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import harness  # noqa: E402

FOLDER = Path(__file__).resolve().parent
SENDERS = 40  # bad clients that send
COMMANDS_AT_ONCE = 400  # the page: "hundreds of commands at once"
SILENT = 400  # the page: "others connect by hundreds and say nothing"
QUIET, TROUBLED = 2.0, 12.0  # seconds
RATE = 10.0  # usual requests a second on kept connections, and as many on new ones
TOLD_SLACK = 0.15 + harness.SOCKET_SLACK


async def sender(port: int, payload: bytes) -> None:
    """Sends the commands at once, reads what it gets, and sends the same again once all are answered."""
    while True:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                while True:
                    writer.write(payload)
                    for _ in range(COMMANDS_AT_ONCE):
                        await reader.readuntil(b"\r\n")
            finally:
                writer.close()


async def silent(port: int) -> None:
    """Connects and says nothing; connects again once it was closed."""
    while True:
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            with contextlib.suppress(OSError):
                while await reader.read(1000):
                    pass
            writer.close()
        await asyncio.sleep(0.01)


async def bad_clients(kind: str, port: int, count: int) -> None:
    """Runs bad clients of one kind."""
    command = harness.read_command("bad", 1000, service_class="no-such-class")
    payload = command * COMMANDS_AT_ONCE
    await asyncio.gather(*(sender(port, payload) if kind == "send" else silent(port) for _ in range(count)))


async def case(record: harness.Record, folder: Path, gateways: list[harness.Gateway]) -> int:
    """Plays the case; returns whether the rule held."""
    servers = [await harness.FontServer(f"s-{number}", record).start() for number in range(8)]
    counter = await harness.Counter().start()
    listed = harness.ServerList(servers)
    agent = await harness.Agent("a", listed, record).start()
    gateway = harness.Gateway("n0", folder, record, harness.settings(1, 0))
    gateways.append(gateway)
    gateway.write_config(agent.port, counter.port, listed.since(None))
    await gateway.start()

    free = [harness.Client(gateway.port, record) for _ in range(60)]
    outcomes = list[harness.Outcome]()

    async def ask(number: int, on_kept: bool) -> None:
        """Sends one usual request, on a kept connection that is free or on a new one."""
        client = free.pop() if on_kept and free else harness.Client(gateway.port, record)
        request_id = f"{'k' if on_kept else 'n'}{number:04d}"
        command = harness.read_command(request_id, 1500, tenant=1000 + number % 40)
        outcomes.append(await client.ask(request_id, 1.5, command))
        free.append(client) if on_kept else client.close()

    helpers, tasks, number, started_at = harness.Helpers(), list[asyncio.Task[None]](), 0, time.monotonic()
    try:
        while (elapsed := time.monotonic() - started_at) < QUIET + TROUBLED:
            if harness.TROUBLE and elapsed > QUIET and not helpers.processes:
                record.say(f"{SENDERS} clients send {COMMANDS_AT_ONCE} commands at once, {SILENT} connect")
                for _ in range(4):
                    await helpers.start(__file__, "send", gateway.port, SENDERS // 4)
                await helpers.start(__file__, "connect", gateway.port, SILENT)
            tasks += [asyncio.create_task(ask(number, True)), asyncio.create_task(ask(number, False))]
            number += 1
            await asyncio.sleep(started_at + number / RATE - time.monotonic())
        await asyncio.gather(*tasks)
    finally:
        await helpers.end()
    new = [outcome for outcome in outcomes if outcome.first]
    lost = [outcome for outcome in new if outcome.lost]
    lost_later = [outcome for outcome in outcomes if outcome.lost and not outcome.first]
    by_id = {outcome.id: outcome for outcome in outcomes}
    told = 0
    for arrival in [arrival for server in servers for arrival in server.arrivals]:
        left = by_id[arrival.id].deadline - (arrival.at - by_id[arrival.id].sent_at)
        if arrival.told_ms / 1000 > max(left, 0.0) + TOLD_SLACK:
            told += 1
            record(f"server was told {arrival.told_ms} ms for {arrival.id}, left were {left * 1000:.0f} ms")
    served = sum(outcome.served for outcome in outcomes)
    record.say(
        f"result: {len(new)} usual requests were the first on their connection, {len(lost)} lost; "
        f"{len(outcomes) - len(new)} were not, {len(lost_later)} lost; {served} served; "
        f"{told} attempts told more time than was left"
    )
    for outcome in lost[:10] + lost_later[:10]:
        record.say(f"lost: {outcome}")
    if not harness.TROUBLE and served < 0.9 * len(outcomes):
        raise harness.CaseError("the stand-ins did not serve")
    return harness.BROKEN if lost or lost_later else harness.HELD


if len(sys.argv) > 1:
    asyncio.run(bad_clients(sys.argv[1], int(sys.argv[2]), int(sys.argv[3])))
else:
    harness.run_case(case, FOLDER, 100.0)
