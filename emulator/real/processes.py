"""Processes of the emulator: real gateways and the stand-ins. Each ends with the block that started it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from emulator.deployment import Deployment
from emulator.results import ROOT

READY_TIMEOUT = 30.0  # seconds that a gateway may take to be ready
EXIT_TIMEOUT = 5.0  # seconds that a process may take to end once it was told to
LOOK_EVERY = 0.005  # seconds between looks whether a gateway is ready
PING, PONG = b"*1\r\n$4\r\nPING\r\n", b"+PONG\r\n"
LONGEST_ANSWER = 1024 * 1024  # bytes of a line that the stand-ins print
CLOCK_TICK = os.sysconf("SC_CLK_TCK")


class ProcessError(Exception):
    """A process did not do what it was started for; the text says what in one line."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What the system counts of a process: CPU in seconds, resident memory now and at its peak in KB."""

    cpu: float
    resident: int
    peak: int


def process_usage(pid: int) -> ProcessUsage:
    """Reads /proc; raises ProcessError once the process is gone."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError as err:
        raise ProcessError(f"process {pid} is gone") from err
    sizes = {line.split(":")[0]: line.split() for line in status.splitlines() if line.startswith("Vm")}
    cpu = (int(fields[11]) + int(fields[12])) / CLOCK_TICK
    return ProcessUsage(cpu, int(sizes["VmRSS"][1]), int(sizes["VmHWM"][1]))


async def terminate(process: asyncio.subprocess.Process) -> None:
    """Ends a process that was started here: with SIGTERM, and SIGKILL where that is not heard in time."""
    for number in (signal.SIGTERM, signal.SIGKILL):
        if process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(number)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(process.wait(), EXIT_TIMEOUT)


class StandInProcess:
    """The stand-ins in their own process; `ports` by "server", "counter" and "discovery"."""

    def __init__(self, process: asyncio.subprocess.Process, ports: dict[str, int]) -> None:
        self.process, self.ports = process, ports

    async def command(self, do: str, **fields: Any) -> dict[str, Any]:
        """Has one command carried out; raises ProcessError if the process has ended."""
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(json.dumps({"do": do, **fields}).encode() + b"\n")
        line = await self.process.stdout.readline()
        if not line:
            raise ProcessError("the stand-ins have ended")
        return json.loads(line)


@contextlib.asynccontextmanager
async def running_stand_ins() -> AsyncIterator[StandInProcess]:
    """Starts the stand-ins."""
    pipe = asyncio.subprocess.PIPE
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "emulator.real.standins",
        cwd=ROOT,
        stdin=pipe,
        stdout=pipe,
        limit=LONGEST_ANSWER,
    )
    try:
        assert process.stdout is not None
        line = await process.stdout.readline()
        if not line:
            raise ProcessError("the stand-ins did not start")
        yield StandInProcess(process, json.loads(line))
    finally:
        await terminate(process)


class GatewayProcess:
    """One real gateway.

    Attributes:
        ready_after: seconds from its start until it answered PING with PONG.
    """

    def __init__(self, process: asyncio.subprocess.Process, port: int, config: Path) -> None:
        self.process, self.port, self.config = process, port, config
        self.ready_after = 0.0

    def usage(self) -> ProcessUsage:
        """What it has taken so far."""
        return process_usage(self.process.pid)

    def hang_up(self) -> None:
        """Sends SIGHUP: the configuration is read again."""
        self.process.send_signal(signal.SIGHUP)

    async def wait_until_ready(self, began: float) -> None:
        """Raises ProcessError if it ends or takes too long."""
        while time.monotonic() - began < READY_TIMEOUT:
            if self.process.returncode is not None:
                raise ProcessError(f"the gateway ended with {self.process.returncode}")
            if await answers_ping(self.port, READY_TIMEOUT):
                self.ready_after = time.monotonic() - began
                return
            await asyncio.sleep(LOOK_EVERY)
        raise ProcessError(f"the gateway was not ready within {READY_TIMEOUT:g} s")


async def answers_ping(port: int, within: float) -> bool:
    """Whether a gateway at this port answers PING with PONG within so many seconds."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(PING)
        return await asyncio.wait_for(reader.readline(), within) == PONG
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


def configuration(deployment: Deployment, port: int, ports: dict[str, int], known: int) -> dict[str, Any]:
    """What a gateway is told at its start, with so many servers known."""
    address = f"127.0.0.1:{ports['server']}"
    entries = [deployment.discovery_entry(number, address) for number in range(known)]
    return {
        "name": "gateway-0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{ports['discovery']}",
        "counter": f"127.0.0.1:{ports['counter']}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        "known": {"version": 1 if known else 0, "full": True, "servers": entries},
        "settings": deployment.settings_tree(0),
    }


def free_port() -> int:
    """A port of 127.0.0.1 that nobody listens on now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def gateway_command() -> list[str]:
    """How deploy/balancer.toml runs a gateway, with the interpreter that runs the emulator."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    words = run.removeprefix("exec ").split()
    return [sys.executable, *words[1:]]


@contextlib.asynccontextmanager
async def running_gateway(
    deployment: Deployment, ports: dict[str, int], known: int = 0
) -> AsyncIterator[GatewayProcess]:
    """Starts a real gateway and waits until it is ready; raises ProcessError if it is not."""
    with tempfile.TemporaryDirectory(prefix="emulator-") as folder:
        config, port = Path(folder) / "config.json", free_port()
        config.write_text(json.dumps(configuration(deployment, port, ports, known)))
        env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        log = (Path(folder) / "log").open("wb")
        began = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            *gateway_command(), cwd=ROOT, env={**env, "RELAY_CONFIG": str(config)}, stdout=log, stderr=log
        )
        started = GatewayProcess(process, port, config)
        try:
            await started.wait_until_ready(began)
            yield started
        finally:
            await terminate(process)
            log.close()
