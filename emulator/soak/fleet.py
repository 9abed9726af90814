"""The gateways of a soak: real processes with the shim in them, and what they were told and did."""

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

from emulator.real.faults import Faults
from emulator.real.processes import READY_TIMEOUT, ProcessError, answers_ping, gateway_command, process_usage
from emulator.results import ROOT
from emulator.soak.record import Life, Record
from emulator.soak.shape import LONGEST, SOCKETS, settings_tree
from emulator.soak.standins import Agent, SoakCounter, SoakList

READY_LOOK = 0.02  # seconds between looks whether a gateway is ready
PING_WITHIN = 1.0
FRONT_NOTICES = 0.5  # seconds after which the front knows that a gateway has died
KILL_AFTER = min(LONGEST, 3.0) + 0.7  # seconds from SIGTERM to SIGKILL at the earliest
LOG_TAIL = 20_000  # bytes
PORTS = itertools.cycle(range(12_000 + os.getpid() % 1000 * 16, 30_000))  # below those that the system picks
SABOTAGE = "emulator.soak.sabotage"


def reserve_port() -> socket.socket:
    """A socket bound to a port that nobody else is bound to, nor the system hands out. A gateway may listen
    on it meanwhile, as both ask for SO_REUSEADDR; other soaks pass it over."""
    while True:
        port = next(PORTS)
        with contextlib.suppress(OSError):
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", port))  # fails where another one is bound, reserved or not
            reserved = socket.socket()
            reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            reserved.bind(("127.0.0.1", port))
            return reserved


class SoakGateway:
    """One gateway through all its lives. `broken`: how it is broken on purpose, see sabotage.py."""

    def __init__(
        self,
        index: int,
        gateways: int,
        folder: Path,
        shim: Path,
        agent: Agent,
        record: Record,
        broken: str | None = None,
    ) -> None:
        self.index, self.gateways, self.agent, self.record = index, gateways, agent, record
        self.folder = folder / f"gateway-{index}"
        self.folder.mkdir()
        self.faults = Faults(shim, self.folder / "faults")
        self.reserved = reserve_port()
        self.port = self.reserved.getsockname()[1]
        self.command = gateway_command() if broken is None else [sys.executable, "-m", SABOTAGE, broken]
        self.lives = 0
        self.address = 0  # which of the two addresses of discovery and counter it is told
        self.process: asyncio.subprocess.Process | None = None
        self.life: Life
        self.ready = False
        self.changing = False  # one trouble is just ending it and starting it again

    def configuration(self, counter: SoakCounter, listed: SoakList) -> dict[str, Any]:
        """What it is told at its start."""
        servers = list(listed.entries.values())
        return {
            "name": f"gateway-{self.index}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{self.agent.links[self.address].port}",
            "counter": f"127.0.0.1:{counter.links[self.address].port}",
            "seed": f"{self.index * 1000 + self.lives:x}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": SOCKETS},
            "known": {"version": listed.version, "full": True, "servers": servers},
            "settings": settings_tree(self.gateways, self.index),
        }

    def write_configuration(self, counter: SoakCounter, listed: SoakList) -> None:
        """Replaces the file."""
        (self.folder / "next.json").write_text(json.dumps(self.configuration(counter, listed)))
        (self.folder / "next.json").rename(self.folder / "config.json")

    async def start(self, counter: SoakCounter, listed: SoakList) -> None:
        """Starts a process and waits until it is ready; notes it where it is not."""
        self.lives += 1
        self.process = None
        self.write_configuration(counter, listed)
        environment = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
        environment |= {"RELAY_CONFIG": str(self.folder / "config.json"), **self.faults.environment}
        self.life = Life(self.index, self.lives, time.monotonic())
        self.record.lives.append(self.life)
        with (self.folder / f"log-{self.lives}").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        process, life = self.process, self.life
        while time.monotonic() - life.started_at < READY_TIMEOUT and process.returncode is None:
            if await answers_ping(self.port, PING_WITHIN):
                life.ready_at = time.monotonic()
                self.ready = True
                return
            await asyncio.sleep(READY_LOOK)

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process that is running."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def terminate(self) -> None:
        """A planned end: SIGTERM, and SIGKILL once that is due. The front hears of it a moment later."""
        life, process = self.life, self.process
        assert process is not None
        life.told_at = time.monotonic()
        self.signal(signal.SIGTERM)
        asyncio.get_running_loop().call_later(0.3, self.not_ready, life)
        try:
            async with asyncio.timeout(KILL_AFTER):
                await process.wait()
        except TimeoutError:
            life.killed_at = time.monotonic()
            self.signal(signal.SIGKILL)
            await process.wait()
        self.note_end(life, process)

    async def kill(self) -> None:
        """An end without a word."""
        life, process = self.life, self.process
        assert process is not None
        life.killed_at = time.monotonic()
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        asyncio.get_running_loop().call_later(FRONT_NOTICES, self.not_ready, life)
        await process.wait()
        self.note_end(life, process)

    def not_ready(self, life: Life) -> None:
        """The front knows that this process takes nothing any more."""
        if self.life is life:
            self.ready = False

    def note_end(self, life: Life, process: asyncio.subprocess.Process) -> None:
        """Notes how a process ended."""
        self.not_ready(life)
        life.ended_at, life.code = time.monotonic(), process.returncode
        log = self.folder / f"log-{life.number}"
        life.log = log.read_bytes()[-LOG_TAIL:].decode("utf-8", "replace")

    def sample(self) -> None:
        """Notes its memory and descriptors; and an end that nobody asked for."""
        process, life = self.process, self.life
        if process is None or life.ended_at is not None:
            return
        if process.returncode is not None:
            if life.told_at is None and life.killed_at is None:
                self.note_end(life, process)
            return
        with contextlib.suppress(ProcessError, OSError):
            life.resident_kb.append((time.monotonic(), process_usage(process.pid).resident_kb))
            life.descriptors.append(len(os.listdir(f"/proc/{process.pid}/fd")))
