"""Case 7: a few bad clients whose commands cannot be read keep usual requests from their final answer."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import harness  # noqa: E402

FOLDER = Path(__file__).resolve().parent
BAD_CLIENTS = 3
COMMANDS_AT_ONCE = 200  # the page: "hundreds of commands at once"
FIELD_BYTES = 64_000  # the page: "a value holds at most 64 KiB"
QUIET, TROUBLED = 2.0, 12.0  # seconds
RATE = 20.0  # usual requests a second
USUAL_CLIENTS = 60


async def bad_client(port: int, payload: bytes) -> None:
    """Sends the commands at once, reads what it gets, and sends the same again once all are answered."""
    loop = asyncio.get_running_loop()
    while True:
        with socket.socket() as sock:
            sock.setblocking(False)
            try:
                await loop.sock_connect(sock, ("127.0.0.1", port))
                while True:
                    sending = loop.create_task(loop.sock_sendall(sock, payload))
                    answers = 0
                    while answers < COMMANDS_AT_ONCE:
                        data = await loop.sock_recv(sock, 65536)
                        if not data:
                            raise ConnectionError
                        answers += data.count(b"\r\n")
                    await sending
            except OSError:
                await asyncio.sleep(0.01)


async def bad_clients(port: int) -> None:
    """Runs the bad clients."""
    fields = b"," * FIELD_BYTES
    command = harness.encode([b"API.READ", b"%016x" % 99, b"bad", fields])
    await asyncio.gather(*(bad_client(port, command * COMMANDS_AT_ONCE) for _ in range(BAD_CLIENTS)))


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

    clients = [harness.Client(gateway.port, record) for _ in range(USUAL_CLIENTS)]
    free, outcomes = list(clients), list[harness.Outcome]()

    async def ask(number: int) -> None:
        """Sends one usual request on a kept connection that is free."""
        client = free.pop() if free else harness.Client(gateway.port, record)
        deadline_ms = 750 + number * 250 % 1000
        request_id = f"r{number:04d}"
        command = harness.read_command(request_id, deadline_ms, tenant=1000 + number % 40)
        outcomes.append(await client.ask(request_id, deadline_ms / 1000, command))
        free.append(client)

    helpers, tasks, number, started_at = harness.Helpers(), list[asyncio.Task[None]](), 0, time.monotonic()
    try:
        while (elapsed := time.monotonic() - started_at) < QUIET + TROUBLED:
            if harness.TROUBLE and elapsed > QUIET and not helpers.processes:
                record.say(f"{BAD_CLIENTS} bad clients send {COMMANDS_AT_ONCE} commands at once each")
                await helpers.start(__file__, gateway.port)
            tasks.append(asyncio.create_task(ask(number)))
            number += 1
            await asyncio.sleep(started_at + number / RATE - time.monotonic())
        await asyncio.gather(*tasks)
    finally:
        await helpers.end()
    lost = [outcome for outcome in outcomes if outcome.lost]
    never = sum(outcome.answer is None for outcome in lost)
    served = sum(outcome.served for outcome in outcomes)
    record.say(
        f"result: {len(outcomes)} usual requests, {served} served, {len(lost)} lost, "
        f"{never} of them never answered"
    )
    for outcome in lost[:10]:
        record.say(f"lost: {outcome}")
    if not harness.TROUBLE and served < 0.9 * len(outcomes):
        raise harness.CaseError("the stand-ins did not serve")
    return harness.BROKEN if lost else harness.HELD


if len(sys.argv) > 1:
    asyncio.run(bad_clients(int(sys.argv[1])))
else:
    harness.run_case(case, FOLDER, 100.0)
