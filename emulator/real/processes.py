"""Processes of the emulator: real gateways and the stand-ins.

The context managers that start a process also terminate it.
"""

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

READY_TIMEOUT = 30.0  # seconds that a gateway may take to become ready
EXIT_TIMEOUT = 5.0  # seconds that a process may take to exit after a signal
READY_POLL_INTERVAL = 0.005  # seconds between two checks whether a gateway is ready
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"
MAX_LINE_BYTES = 1024 * 1024  # longest line that the stand-ins may print
CLOCK_TICK = os.sysconf("SC_CLK_TCK")  # ticks per second in /proc/PID/stat


class ProcessError(Exception):
    """A process did not start or has ended. The message gives the reason in one line."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of a process.

    Attributes:
        cpu_seconds: CPU time since its start.
        resident_kb: resident memory in KB.
        peak_kb: largest resident memory so far, in KB.
    """

    cpu_seconds: float
    resident_kb: int
    peak_kb: int


def process_usage(pid: int) -> ProcessUsage:
    """Reads the resource usage of a process from /proc.

    Raises ProcessError if the process has ended, also if it was not reaped yet and so still has an entry.
    """
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError as err:
        raise ProcessError(f"process {pid} has ended") from err
    sizes = {line.split(":")[0]: line.split() for line in status.splitlines() if line.startswith("Vm")}
    if not sizes:  # the memory of an ended process is freed before its entry is removed
        raise ProcessError(f"process {pid} has ended and was not reaped")
    cpu_seconds = (int(fields[11]) + int(fields[12])) / CLOCK_TICK
    return ProcessUsage(cpu_seconds, int(sizes["VmRSS"][1]), int(sizes["VmHWM"][1]))


async def terminate(process: asyncio.subprocess.Process) -> None:
    """Terminates a child process with SIGTERM, and with SIGKILL if it does not exit within EXIT_TIMEOUT."""
    for signal_number in (signal.SIGTERM, signal.SIGKILL):
        if process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signal_number)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(EXIT_TIMEOUT):
                await process.wait()


class StandInProcess:
    """The process of the stand-ins.

    Attributes:
        ports: ports on 127.0.0.1 by "server", "counter" and "discovery".
    """

    def __init__(self, process: asyncio.subprocess.Process, ports: dict[str, int]) -> None:
        self.process, self.ports = process, ports

    async def command(self, name: str, **fields: Any) -> dict[str, Any]:
        """Executes a command in the stand-ins and returns its result.

        Raises ProcessError if the process has ended.
        """
        assert self.process.stdin is not None and self.process.stdout is not None
        self.process.stdin.write(json.dumps({"do": name, **fields}).encode() + b"\n")
        line = await self.process.stdout.readline()
        if not line:
            raise ProcessError("the process of the stand-ins has ended")
        return json.loads(line)


@contextlib.asynccontextmanager
async def running_stand_ins() -> AsyncIterator[StandInProcess]:
    """Starts the stand-ins and terminates them at the end of the block; raises ProcessError."""
    pipe = asyncio.subprocess.PIPE
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "emulator.real.standins",
        cwd=ROOT,
        stdin=pipe,
        stdout=pipe,
        limit=MAX_LINE_BYTES,
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
    """The process of a real gateway.

    Attributes:
        port: port on 127.0.0.1 at which it listens.
        config: path of its configuration file.
        ready_after: seconds from its start until it answered PING with PONG.
    """

    def __init__(self, process: asyncio.subprocess.Process, port: int, config: Path) -> None:
        self.process, self.port, self.config = process, port, config
        self.ready_after = 0.0

    def usage(self) -> ProcessUsage:
        """Returns its resource usage so far; raises ProcessError if it has ended."""
        return process_usage(self.process.pid)

    def send_sighup(self) -> None:
        """Sends SIGHUP, after which the gateway reads its configuration again."""
        self.process.send_signal(signal.SIGHUP)

    async def wait_until_ready(self, started_at: float) -> None:
        """Waits until the gateway answers PING.

        Raises ProcessError if it ends or is not ready READY_TIMEOUT seconds after `started_at` (a monotonic
        time).
        """
        while time.monotonic() - started_at < READY_TIMEOUT:
            if self.process.returncode is not None:
                raise ProcessError(f"the gateway ended with {self.process.returncode}")
            if await answers_ping(self.port, READY_TIMEOUT):
                self.ready_after = time.monotonic() - started_at
                return
            await asyncio.sleep(READY_POLL_INTERVAL)
        raise ProcessError(f"the gateway was not ready within {READY_TIMEOUT:g} s")


async def answers_ping(port: int, timeout: float) -> bool:
    """Returns whether a gateway at this port answers PING with PONG within `timeout` seconds."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return False
    try:
        writer.write(PING)
        # Not asyncio.wait_for: in Python 3.11 it ignores a cancellation, such as SIGINT causes, that comes
        # together with the response.
        async with asyncio.timeout(timeout):
            return await reader.readline() == PONG
    except (OSError, TimeoutError):
        return False
    finally:
        writer.close()


def configuration(
    deployment: Deployment, port: int, ports: dict[str, int], known_servers: int
) -> dict[str, Any]:
    """Returns the configuration of a gateway that already has `known_servers` servers in its list."""
    address = f"127.0.0.1:{ports['server']}"
    entries = [deployment.discovery_entry(number, address) for number in range(known_servers)]
    return {
        "name": "gateway-0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{ports['discovery']}",
        "counter": f"127.0.0.1:{ports['counter']}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        "known": {"version": 1 if known_servers else 0, "full": True, "servers": entries},
        "settings": deployment.settings_tree(0),
    }


def free_port() -> int:
    """Returns a port of 127.0.0.1 at which no socket listens now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def gateway_command() -> list[str]:
    """Returns the command of deploy/balancer.toml, with the interpreter that runs the emulator."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    arguments = run.removeprefix("exec ").split()
    return [sys.executable, *arguments[1:]]


@contextlib.asynccontextmanager
async def running_gateway(
    deployment: Deployment, ports: dict[str, int], known_servers: int = 0
) -> AsyncIterator[GatewayProcess]:
    """Starts a real gateway, waits until it is ready, and terminates it at the end of the block.

    Raises ProcessError if it does not become ready.
    """
    with tempfile.TemporaryDirectory(prefix="emulator-") as directory:
        config, port = Path(directory) / "config.json", free_port()
        config.write_text(json.dumps(configuration(deployment, port, ports, known_servers)))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        log = (Path(directory) / "log").open("wb")
        started_at = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            *gateway_command(),
            cwd=ROOT,
            env={**environment, "RELAY_CONFIG": str(config)},
            stdout=log,
            stderr=log,
        )
        gateway = GatewayProcess(process, port, config)
        try:
            await gateway.wait_until_ready(started_at)
            yield gateway
        finally:
            await terminate(process)
            log.close()
