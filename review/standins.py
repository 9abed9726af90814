"""Stand-ins for the review's cases: font servers, the counter and discovery, as the users' pages have them.

They run in the process of the case. The gateways run as processes of their own, started with the `run`
command of deploy/balancer.toml.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent
SECOND = 1_000_000_000  # nanoseconds, the unit of the settings
HOST = "127.0.0.1"


class CannotRun(Exception):
    """The case could not run: nothing is said about the rule."""


def settings(index: int = 0, gateways: int = 2) -> dict[str, Any]:
    """Returns the settings of a small deployment: the figures of the example on the page of the wire."""

    def plan(name: str, rate: float, burst: float, factor: float) -> dict[str, Any]:
        return {
            "name": name,
            "rate": rate,
            "most_at_once": burst,
            "parallel": 0,
            "value_factor": factor,
            "beyond_earns": 0.0,
            "over_cost": 1.0,
            "cap_rate": 0.0,
            "cap_depth": 0.0,
            "hard_slack": 0.0,
        }

    def service(name: str, effect: str, deadline: float, gain: float) -> dict[str, Any]:
        return {
            "name": name,
            "effect": effect,
            "deadline": int(deadline * SECOND),
            "slo": int(0.6 * SECOND),
            "gain": gain,
            "dedup_scope": "all",
            "memory_span": 5 * SECOND,
            "late_value": 0.0,
            "streaming": False,
        }

    return {
        "family": "gate",
        "group_size": gateways,
        "index": index,
        "stage": 0,
        "tick": 4_000_000,
        "tiers": ["font-servers"],
        "zones": ["praha-1"],
        "locality": "praha-1",
        "machine_types": ["small-2c"],
        "registry_mode": "pushed",
        "weights": "none",
        "clients": {"marks_retry": False},
        "limits": {
            "cancel": True,
            "connect_timeout": int(0.25 * SECOND),
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500_000,
            "idle_close": 15 * SECOND,
            "max_attempts": 6,
            "max_open": 20_000,
            "max_retry_after": SECOND,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 100,
        },
        "plans": [
            plan("zakladni", 1.0, 4.0, 0.88),
            plan("rozsireny", 6.6, 18.0, 1.3),
            plan("plny", 25.0, 32.0, 1.4),
        ],
        "prices": {"late_fail": 0.08, "probe": 0.022, "waste": 0.16},
        "reporting": {"names": ["avg_ms"], "via": "probe"},
        "rules": {
            "answer_slack": 16_000_000,
            "cold": 18 * SECOND,
            "drain_grace": SECOND,
            "fall_multiple": 3.0,
            "must_ask_in": 10 * SECOND,
            "start_capacity": 0.15,
            "tip_after": SECOND,
        },
        "services": [service("font-fetch", "pure", 1.5, 3.0), service("usage-report", "token", 2.5, 2.0)],
        "specifics": {
            "counter_price": 0.02,
            "counter_timeout": 50_000_000,
            "meter_period": 0,
            "peer_intake": 0.0,
            "settles": False,
            "shared_counter": True,
            "units_top": 1,
        },
    }


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.file: TextIO = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started

    def write(self, what: str) -> None:
        """Writes one line."""
        self.file.write(f"{self.now():9.4f} {what}\n")

    def say(self, what: str) -> None:
        """Writes one line to the record and to standard output."""
        self.write(what)
        print(what, flush=True)


def bulk(data: bytes) -> bytes:
    """Encodes a bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


def command(*parts: bytes) -> bytes:
    """Encodes a command."""
    return b"*%d\r\n" % len(parts) + b"".join(map(bulk, parts))


def request(
    request_id: str, customer: int, service: str, plan: str, ms: int, spread: int = 2, body: bytes = b""
) -> bytes:
    """Encodes a request of a class of `settings`."""
    keyed = service == "usage-report"
    fields = f"c={service},t={plan},d={ms}," + (f"k={request_id}," if keyed else "")
    fields += f"units=1,spread={spread},first=0"
    parts = [
        b"API.WRITE" if keyed else b"API.READ",
        b"%016x" % customer,
        request_id.encode(),
        fields.encode(),
    ]
    return command(*parts, *([body] if keyed else []))


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads one command; raises asyncio.IncompleteReadError at the end of the connection."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    parts = []
    for _ in range(count):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(length + 2))[:-2])
    return parts


class Listener:
    """A stand-in that listens on a free port."""

    def __init__(self) -> None:
        self.port = 0
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts listening."""
        self.server = await asyncio.start_server(self._handle, HOST, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection."""
        raise NotImplementedError

    def stop(self) -> None:
        """Stops listening and ends all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Counter(Listener):
    """The counter: it adds at once and keeps every name for its life."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: dict[str, tuple[float, float]] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection in order."""
        while line := await reader.readline():
            words = line.decode().split()
            if words and words[0] == "ping":
                writer.write(b"pong\r\n")
                continue
            _, name, amount, life = words
            now = time.monotonic()
            total, ends = self.counts.get(name, (0.0, 0.0))
            if now >= ends:
                total, ends = 0.0, now + min(int(life), 60_000) / 1000
            self.counts[name] = total + float(amount), ends
            writer.write(b"ok %.7g\r\n" % self.counts[name][0])


class Discovery(Listener):
    """The agent of discovery: it tells the whole list, or holds a watch until there is a newer version."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.version = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_in: dict[str, tuple[int, dict[str, Any]]] = {}
        self.news = asyncio.Event()

    def known(self) -> dict[str, Any]:
        """Returns the whole list."""
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def change(self, *entries: dict[str, Any]) -> None:
        """Applies changed entries as one new version."""
        self.version += 1
        for entry in entries:
            self.changed_in[entry["id"]] = self.version, entry
            if entry["state"] == "removed":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = entry
        self.record.write(f"discovery version {self.version}: {[(e['id'], e['state']) for e in entries]}")
        self.news.set()
        self.news = asyncio.Event()

    async def answer(self, query: dict[str, str]) -> dict[str, Any]:
        """Returns the answer to one call, once it is due."""
        if "index" not in query:
            return self.known()
        index = int(query["index"])
        if self.version <= index:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(int(query.get("wait", 0)), 60_000) / 1000):
                    await self.news.wait()
        changed = [entry for version, entry in self.changed_in.values() if version > index]
        return {"version": self.version, "full": False, "servers": changed}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection in order."""
        while line := await reader.readline():
            while (await reader.readline()).strip():
                pass
            target = line.split()[1].decode()
            query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if pair)
            answer = await self.answer(query)
            text = json.dumps(answer).encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(text)
                + text
            )
            await writer.drain()
            self.record.write(
                f"discovery told {target}: version {answer['version']} full={answer['full']} "
                f"servers={[(e['id'], e['state']) for e in answer['servers']]}"
            )


class FontServer(Listener):
    """A font server: it begins each command as its last byte comes and answers in order.

    Args:
        record: where each command and its end is written.
        name: its id.
        work: seconds of work of a command.
        value: the value of an answer for a request id.
    """

    def __init__(
        self,
        record: Record,
        name: str,
        work: Callable[[list[bytes]], float | Awaitable[float]],
        value: Callable[[str], bytes],
    ) -> None:
        super().__init__()
        self.record, self.name, self.work, self.value = record, name, work, value
        self.runs: dict[str, list[float]] = {}  # by request id: when each attempt's last byte came

    def entry(self, state: str = "up") -> dict[str, Any]:
        """Returns its entry in discovery's list."""
        return {
            "id": self.name,
            "addr": f"{HOST}:{self.port}",
            "zone": "praha-1",
            "kind": "small-2c",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection of a gateway."""
        while True:
            parts = await read_command(reader)
            if parts[0] in (b"PING", b"INFO"):
                writer.write(b"+PONG\r\n" if parts[0] == b"PING" else bulk(b"avg_ms=20"))
                continue
            name = parts[2].decode()
            self.runs.setdefault(name, []).append(time.monotonic())
            self.record.write(f"server {self.name} got {name} {parts[3].decode()}")
            seconds = self.work(parts)
            if not isinstance(seconds, int | float):
                seconds = await seconds
            if seconds < 0:  # it hangs: no answer, and nothing more is read
                await asyncio.Event().wait()
            await asyncio.sleep(seconds)
            if not await self.answer(writer, name):
                await asyncio.Event().wait()  # the connection stays open and is of no further use

    async def answer(self, writer: asyncio.StreamWriter, name: str) -> bool:
        """Writes the answer for a request id; returns whether the connection is of further use."""
        writer.write(b"*3\r\n" + bulk(self.value(name)) + b"$-1\r\n$-1\r\n")
        await writer.drain()
        return True


def free_port() -> int:
    """Returns a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Gateway:
    """One gateway process."""

    def __init__(
        self, folder: Path, name: str, counter: Counter, discovery: Discovery, tree: dict[str, Any]
    ) -> None:
        self.name, self.port = name, free_port()
        self.folder = folder / name
        self.folder.mkdir()
        self.config = self.folder / "config.json"
        content = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery.port}",
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "counter": f"{HOST}:{counter.port}",
            "known": discovery.known(),
            "settings": tree,
        }
        self.config.write_text(json.dumps(content), encoding="utf-8")
        self.process: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Starts the process and waits until it is ready; raises CannotRun if it is not after 30 s."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        env = {key: text for key, text in os.environ.items() if not key.startswith("RELAY_")}
        content = json.loads(self.config.read_text(encoding="utf-8"))
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        env |= {
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": content["listen"],
            "RELAY_DISCOVERY": content["discovery"],
            "RELAY_CONFIG": str(self.config),
            "TMPDIR": str(temporary),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        GUARD.tell(str(self.process.pid))
        for _ in range(300):
            if self.process.poll() is not None:
                break
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(command(b"PING"))
                line = await reader.readline()
                writer.close()
                if line == b"+PONG\r\n":
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"gateway {self.name} is not ready: {self.log()[-500:]}")

    def log(self) -> str:
        """Returns what it has logged."""
        return (self.folder / "log").read_text(encoding="utf-8", errors="replace")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def wait(self, seconds: float) -> int | None:
        """Waits for the end of the process; returns its exit status, or None if it still runs."""
        assert self.process is not None
        until = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def stop(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Guard:
    """A process that ends the others and removes the temporary folder if the case is killed."""

    def __init__(self) -> None:
        self.process: subprocess.Popen[str] | None = None

    def start(self) -> None:
        """Starts the process, in a session of its own."""
        script = str(Path(__file__).resolve().parent / "guard.py")
        self.process = subprocess.Popen(
            [sys.executable, "-B", script], stdin=subprocess.PIPE, text=True, start_new_session=True
        )

    def tell(self, line: str) -> None:
        """Tells the process of something that has to be ended or removed."""
        assert self.process is not None and self.process.stdin is not None
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def stop(self) -> None:
        """Ends the process, as nothing is left."""
        assert self.process is not None and self.process.stdin is not None
        self.tell("done")
        self.process.stdin.close()
        self.process.wait()


GUARD = Guard()


async def bounded(coroutine: Awaitable[bool]) -> bool:
    """Runs a case for 90 s at most; SIGINT, SIGTERM and SIGHUP cancel it, so that it still cleans up."""
    task = asyncio.ensure_future(coroutine)
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    async with asyncio.timeout(90):
        return await task


def run_case(folder: Path, case: Callable[[Record, Path, bool], Awaitable[bool]]) -> int:
    """Runs a case, which returns whether the rule held; returns the exit status of its script."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    GUARD.start()
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    GUARD.tell(f"folder {temporary}")
    record.say(f"case {folder.name}, {'with' if trouble else 'without'} the disruption")
    try:
        held = asyncio.run(bounded(case(record, temporary, trouble)))
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as err:
        record.say(f"the case could not run: {type(err).__name__} {err}")
        return 2
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
        GUARD.stop()
    record.say("the rule held" if held else "the rule was broken")
    record.file.close()
    return 0 if held else 1
