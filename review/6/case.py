"""Case 6: bad clients with hundreds of commands at once fill the memory of a gateway, which is killed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "second"))

import harness  # noqa: E402

FOLDER = Path(__file__).resolve().parent
BAD_CLIENTS = 64
COMMANDS_AT_ONCE = 500  # the page: "hundreds of commands at once"
LINES = 64  # lines in a command
MEMORY_MB = 96  # the page: "32 to 192 MB by language and day"
SAMPLE_INTERVAL = 0.02  # seconds between two looks at the memory
QUIET, TROUBLED = 2.0, 12.0  # seconds
RATE = 20.0  # usual requests a second


async def bad_client(port: int, payload: bytes) -> None:
    """Sends the commands at once and reads what it gets; once they are answered it rests."""
    loop = asyncio.get_running_loop()
    with socket.socket() as sock, contextlib.suppress(OSError):
        sock.setblocking(False)
        await loop.sock_connect(sock, ("127.0.0.1", port))
        sending = loop.create_task(loop.sock_sendall(sock, payload))
        while await loop.sock_recv(sock, 65536):
            pass
        await sending


async def bad_clients(port: int) -> None:
    """Runs the bad clients."""
    command = b"*%d\r\n" % LINES + b"-a\r\n" * LINES
    await asyncio.gather(*(bad_client(port, command * COMMANDS_AT_ONCE) for _ in range(BAD_CLIENTS)))


def private_kb(pid: int) -> int:
    """Returns the private memory of a process, without files and shared libraries."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1])
    return 0


async def case(record: harness.Record, folder: Path, gateways: list[harness.Gateway]) -> int:
    """Plays the case; returns whether the rule held."""
    servers = [await harness.FontServer(f"s-{number}", record).start() for number in range(8)]
    counter = await harness.Counter().start()
    listed = harness.ServerList(servers)
    agent = await harness.Agent("a", listed, record).start()
    gateway = harness.Gateway("n0", folder, record, harness.settings(1, 0))
    gateways.append(gateway)
    gateway.write_config(agent.port, counter.port, listed.since(None), memory_mb=MEMORY_MB)
    await gateway.start()
    assert gateway.process is not None
    pid, most_kb, killed = gateway.process.pid, 0, False

    async def platform() -> None:
        """Kills the gateway once its memory is over the limit, as the platform does."""
        nonlocal most_kb, killed
        while gateway.process is not None and gateway.process.returncode is None:
            with contextlib.suppress(OSError):
                most_kb = max(most_kb, private_kb(pid))
            if most_kb > MEMORY_MB * 1024:
                record.say(f"the platform kills the gateway: {most_kb} KB of {MEMORY_MB * 1024} KB")
                killed = True
                gateway.process.kill()
                await gateway.process.wait()
                return
            await asyncio.sleep(SAMPLE_INTERVAL)

    free, outcomes = list[harness.Client](), list[harness.Outcome]()

    async def ask(number: int) -> None:
        """Sends one usual request on a kept connection that is free."""
        client = free.pop() if free else harness.Client(gateway.port, record)
        request_id = f"r{number:04d}"
        command = harness.read_command(request_id, 1500, tenant=1000 + number % 40)
        outcomes.append(await client.ask(request_id, 1.5, command))
        free.append(client)

    watcher, helpers, tasks = asyncio.create_task(platform()), harness.Helpers(), list[asyncio.Task[None]]()
    number, started_at = 0, time.monotonic()
    try:
        while (elapsed := time.monotonic() - started_at) < QUIET + TROUBLED and not killed:
            if harness.TROUBLE and elapsed > QUIET and not helpers.processes:
                record.say(f"{BAD_CLIENTS} bad clients send {COMMANDS_AT_ONCE} commands at once each")
                await helpers.start(__file__, gateway.port)
            tasks.append(asyncio.create_task(ask(number)))
            number += 1
            await asyncio.sleep(started_at + number / RATE - time.monotonic())
        await asyncio.gather(*tasks)
    finally:
        await helpers.end()
        watcher.cancel()
    served = sum(outcome.served for outcome in outcomes)
    unanswered = sum(outcome.answer is None for outcome in outcomes)
    record.say(
        f"result: gateway {'killed for its memory' if killed else 'alive'}, at most {most_kb / 1024:.0f} MB "
        f"of {MEMORY_MB} MB; {len(outcomes)} usual requests, {served} served, {unanswered} never answered"
    )
    if not harness.TROUBLE and served < 0.9 * len(outcomes):
        raise harness.CaseError("the stand-ins did not serve")
    return harness.BROKEN if killed else harness.HELD


if len(sys.argv) > 1:
    asyncio.run(bad_clients(int(sys.argv[1])))
else:
    harness.run_case(case, FOLDER, 100.0)
