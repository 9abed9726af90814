"""The gateways of a soak: real processes with the fault shim preloaded, and records of their runs."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

from emulator.real.faults import FaultInjector
from emulator.real.processes import READY_TIMEOUT, ProcessError, answers_ping, gateway_command, process_usage
from emulator.results import ROOT
from emulator.soak.configuration import MAX_DEADLINE, MAX_DESCRIPTORS, settings_tree
from emulator.soak.record import ProcessRun, SoakRecord
from emulator.soak.standins import DiscoveryAgent, SoakCounter, SoakServerList

READY_POLL_INTERVAL = 0.02  # seconds between checks whether a gateway is ready
PING_TIMEOUT = 1.0  # seconds
FAILURE_DETECTION_DELAY = 0.5  # seconds until the front end detects that a killed gateway has ended
KILL_AFTER = min(MAX_DEADLINE, 3.0) + 0.7  # earliest SIGKILL, in seconds after SIGTERM
LOG_TAIL_BYTES = 20_000
# Ports below the ephemeral range; the process id separates soaks that run at the same time.
CANDIDATE_PORTS = itertools.cycle(range(12_000 + os.getpid() % 1000 * 16, 30_000))
SABOTAGE_MODULE = "emulator.soak.sabotage"


def reserve_port() -> socket.socket:
    """Binds a socket to a free port outside the ephemeral range, which keeps other soaks from using the port.

    A gateway can still listen on the port, because both sockets set SO_REUSEADDR.
    """
    while True:
        port = next(CANDIDATE_PORTS)
        with contextlib.suppress(OSError):
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))  # fails if any other socket is bound to the port
            reserved_socket = socket.socket()
            reserved_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved_socket.bind(("127.0.0.1", port))
            return reserved_socket


class SoakGateway:
    """One gateway through all its process runs."""

    def __init__(
        self,
        index: int,
        gateway_count: int,
        directory: Path,
        shim: Path,
        agent: DiscoveryAgent,
        record: SoakRecord,
        sabotage: str | None = None,
    ) -> None:
        """Reserves a port and creates the gateway's directory.

        Args:
            sabotage: the invariant that the gateway violates on purpose, see sabotage.py.
        """
        self.index, self.gateway_count, self.agent, self.record = index, gateway_count, agent, record
        self.directory = directory / f"gateway-{index}"
        self.directory.mkdir()
        self.fault_injector = FaultInjector(shim, self.directory / "faults")
        self.reserved_socket = reserve_port()
        self.port = self.reserved_socket.getsockname()[1]
        self.command = (
            gateway_command() if sabotage is None else [sys.executable, "-m", SABOTAGE_MODULE, sabotage]
        )
        self.run_number = 0
        self.address_index = 0  # which of the two addresses of discovery and the counter is configured
        self.process: asyncio.subprocess.Process | None = None
        self.process_run: ProcessRun
        self.ready = False
        self.restarting = False  # a fault is stopping and starting it

    def build_configuration(self, counter: SoakCounter, server_list: SoakServerList) -> dict[str, Any]:
        """Returns the content of the configuration file."""
        servers = list(server_list.entries.values())
        return {
            "name": f"gateway-{self.index}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.proxies[self.address_index].port}",
            "counter": f"127.0.0.1:{counter.proxies[self.address_index].port}",
            "seed": f"{self.index * 1000 + self.run_number:x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": MAX_DESCRIPTORS},
            "known": {"version": server_list.version, "full": True, "servers": servers},
            "settings": settings_tree(self.gateway_count, self.index),
        }

    def write_configuration(self, counter: SoakCounter, server_list: SoakServerList) -> None:
        """Replaces the configuration file atomically."""
        (self.directory / "next.json").write_text(json.dumps(self.build_configuration(counter, server_list)))
        (self.directory / "next.json").rename(self.directory / "config.json")

    async def start(self, counter: SoakCounter, server_list: SoakServerList) -> None:
        """Starts a process and waits until it is ready or has ended, at most READY_TIMEOUT seconds.

        A process that did not become ready keeps `ready_at` None in its record.
        """
        self.run_number += 1
        self.process = None
        self.write_configuration(counter, server_list)
        environment = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environment |= {
            "RELAY_CONFIG": str(self.directory / "config.json"),
            **self.fault_injector.environment,
        }
        self.process_run = ProcessRun(self.index, self.run_number, time.monotonic())
        self.record.process_runs.append(self.process_run)
        with (self.directory / f"log-{self.run_number}").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        process, process_run = self.process, self.process_run
        while time.monotonic() - process_run.started_at < READY_TIMEOUT and process.returncode is None:
            if await answers_ping(self.port, PING_TIMEOUT):
                process_run.ready_at = time.monotonic()
                self.ready = True
                return
            await asyncio.sleep(READY_POLL_INTERVAL)

    def signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal_number)

    async def terminate(self) -> None:
        """Stops the process with SIGTERM, and with SIGKILL after KILL_AFTER seconds.

        The front end stops using the gateway 0.3 s after SIGTERM.
        """
        process_run, process = self.process_run, self.process
        assert process is not None
        process_run.sigterm_at = time.monotonic()
        self.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(0.3, self.mark_not_ready, process_run)
        try:
            async with asyncio.timeout(KILL_AFTER):
                await process.wait()
        except TimeoutError:
            process_run.sigkill_at = time.monotonic()
            self.signal(signal.SIGKILL)
            await process.wait()
        self.record_exit(process_run, process)

    async def kill(self) -> None:
        """Kills the process without a warning; the front end detects it after FAILURE_DETECTION_DELAY."""
        process_run, process = self.process_run, self.process
        assert process is not None
        process_run.sigkill_at = time.monotonic()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        asyncio.get_running_loop().call_later(FAILURE_DETECTION_DELAY, self.mark_not_ready, process_run)
        await process.wait()
        self.record_exit(process_run, process)

    def mark_not_ready(self, process_run: ProcessRun) -> None:
        """Marks the gateway as not ready for the front end, unless a newer process run has begun."""
        if self.process_run is process_run:
            self.ready = False

    def record_exit(self, process_run: ProcessRun, process: asyncio.subprocess.Process) -> None:
        """Records the exit time, exit code and log of a process that has ended."""
        self.mark_not_ready(process_run)
        process_run.ended_at, process_run.exit_code = time.monotonic(), process.returncode
        log = self.directory / f"log-{process_run.number}"
        process_run.log_tail = log.read_bytes()[-LOG_TAIL_BYTES:].decode("utf-8", "replace")

    def sample(self) -> None:
        """Samples the memory and descriptors of the process, and records an unexpected exit."""
        process, process_run = self.process, self.process_run
        if process is None or process_run.ended_at is not None:
            return
        if process.returncode is not None:
            if process_run.sigterm_at is None and process_run.sigkill_at is None:
                self.record_exit(process_run, process)
            return
        with contextlib.suppress(ProcessError, OSError):
            process_run.resident_kb.append((time.monotonic(), process_usage(process.pid).resident_kb))
            process_run.descriptor_counts.append(len(os.listdir(f"/proc/{process.pid}/fd")))
