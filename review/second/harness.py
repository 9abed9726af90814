"""Stand-ins and a process runner for the cases 6 to 10 of the review. Standard library only.

A case starts gateways with the command `run` of deploy/balancer.toml. Font servers, the counter, discovery
and clients are small stand-ins that follow the users' pages PROTOCOL, DEPLOY and WIRE.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
MS = 1_000_000  # nanoseconds
SECOND = 1000 * MS
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)
READY_TIMEOUT = 30.0
LATE_ANSWER = 0.5  # seconds after its time in which an answer only earns nothing
SOCKET_SLACK = 0.05  # "every time limit is 50 ms longer"
WAIT_PAST_DEADLINE = 8.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def end_with_parent() -> None:
    """Lets the system kill this new process once the case has ended, whatever ended it."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CaseError(Exception):
    """The case could not run."""


class Record:
    """Writes record.txt: one line for each event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8", buffering=1)
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started_at:9.4f} {text}\n")

    def say(self, text: str) -> None:
        """Writes a line to the record and to standard output."""
        self(text)
        with contextlib.suppress(OSError):
            print(text, flush=True)


def settings(gateways: int, index: int) -> dict[str, Any]:
    """Returns settings like those of a small deployment; times are in nanoseconds."""
    return {
        "clients": {"marks_retry": False},
        "family": "gate",
        "group_size": gateways,
        "index": index,
        "limits": {
            "cancel": True,
            "connect_timeout": 250 * MS,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500000,
            "idle_close": 15 * SECOND,
            "max_attempts": 6,
            "max_open": 20000,
            "max_retry_after": SECOND,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "second_copies": True,
            "streams_per_conn": 100,
        },
        "locality": "praha-1",
        "machine_types": ["small-2c"],
        "plans": [
            {
                "beyond_earns": 0.0,
                "cap_depth": 0.0,
                "cap_rate": 0.0,
                "hard_slack": 0.0,
                "most_at_once": 60.0,
                "name": "plny",
                "over_cost": 1.0,
                "parallel": 0,
                "rate": 30.0,
                "value_factor": 1.4,
            }
        ],
        "prices": {"late_fail": 0.08, "probe": 0.022, "waste": 0.16},
        "registry_mode": "pushed",
        "reporting": {"names": ["avg_ms"], "via": "probe"},
        "rules": {
            "answer_slack": 16 * MS,
            "cold": 18 * SECOND,
            "drain_grace": SECOND,
            "fall_multiple": 3.0,
            "must_ask_in": 10 * SECOND,
            "start_capacity": 0.15,
            "tip_after": SECOND,
        },
        "scoring_mix": {"whole": 0.5, "worst_class": 0.1, "worst_tenant": 0.15, "worst_window": 0.25},
        "services": [
            {
                "deadline": 1500 * MS,
                "dedup_scope": "all",
                "effect": "pure",
                "gain": 3.0,
                "late_value": 0.0,
                "memory_span": 5 * SECOND,
                "name": "font-fetch",
                "slo": 600 * MS,
                "streaming": False,
            },
            {
                "deadline": 2500 * MS,
                "dedup_scope": "all",
                "effect": "token",
                "gain": 2.0,
                "late_value": 0.2,
                "memory_span": 5 * SECOND,
                "name": "usage-report",
                "slo": 600 * MS,
                "streaming": False,
            },
        ],
        "specifics": {
            "counter_price": 0.02,
            "counter_timeout": 50 * MS,
            "meter_period": 0,
            "peer_intake": 0.0,
            "settles": False,
            "shared_counter": True,
            "units_top": 1,
        },
        "stage": 0,
        "tick": 4 * MS,
        "tiers": ["font-servers"],
        "weights": "none",
        "zones": ["praha-1"],
    }


def bulk(data: bytes) -> bytes:
    """Encodes a RESP bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


def encode(parts: list[bytes]) -> bytes:
    """Encodes a RESP command."""
    return b"*%d\r\n%s" % (len(parts), b"".join(bulk(part) for part in parts))


def read_command(
    request_id: str,
    deadline_ms: int,
    tenant: int = 0x1234567,
    service_class: str = "font-fetch",
    plan: str = "plny",
    spread: int = 1,
    first: int = 0,
) -> bytes:
    """Encodes an API.READ command of a client."""
    fields = f"c={service_class},t={plan},d={deadline_ms},units=1,spread={spread},first={first}"
    return encode([b"API.READ", b"%016x" % tenant, request_id.encode(), fields.encode()])


def value_of(request_id: str) -> bytes:
    """Returns the value that font servers make for a request."""
    return b"value-of-" + request_id.encode()


async def read_array(reader: asyncio.StreamReader) -> list[bytes]:
    """Reads an array of bulk strings."""
    head = await reader.readuntil(b"\r\n")
    parts = []
    for _ in range(int(head[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        parts.append((await reader.readexactly(length + 2))[:-2])
    return parts


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Reads the gateway's answer to one command: a line, or a bulk string with its length line."""
    line = await reader.readuntil(b"\r\n")
    if line[:1] == b"$" and line != b"$-1\r\n":
        line += await reader.readexactly(int(line[1:]) + 2)
    return line


class Arrival:
    """A command that came whole to a font server."""

    def __init__(self, server: str, parts: list[bytes]) -> None:
        self.server, self.at = server, time.monotonic()
        self.id = parts[2].decode()
        fields = dict(field.split("=", 1) for field in parts[3].decode().split(","))
        self.told_ms = int(fields["d"])
        self.key = fields.get("k")


class FontServer:
    """A font server with two cores. It serves the commands of a connection in order."""

    def __init__(self, name: str, record: Record, work: float = 0.05, started_ms: int = 0) -> None:
        self.name, self.record, self.work, self.started_ms = name, record, work, started_ms
        self.state = "up"
        self.arrivals: list[Arrival] = []
        self.cores = asyncio.Semaphore(2)
        self.writers: set[asyncio.StreamWriter] = set()
        self.before_answer: Callable[[Arrival], Awaitable[None]] | None = None

    async def start(self) -> FontServer:
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def entry(self, state: str | None = None) -> dict[str, Any]:
        """Returns the server's entry in discovery's form."""
        return {
            "id": self.name,
            "addr": f"127.0.0.1:{self.port}",
            "zone": "praha-1",
            "kind": "small-2c",
            "cell": 0,
            "state": state or self.state,
            "weight": 1.0,
            "started_ms": self.started_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                parts = await read_array(reader)
                if parts[0] not in (b"API.READ", b"API.WRITE"):
                    writer.write(b"+PONG\r\n" if parts[0].upper() == b"PING" else b"-ERR unknown\r\n")
                    continue
                arrival = Arrival(self.name, parts)
                self.arrivals.append(arrival)
                self.record(f"server {self.name} got {arrival.id} d={arrival.told_ms}")
                async with self.cores:
                    await asyncio.sleep(self.work)
                if self.before_answer is not None:
                    await self.before_answer(arrival)
                writer.write(b"*3\r\n%s$-1\r\n$-1\r\n" % bulk(value_of(arrival.id)))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Counter:
    """The shared counter: adds to named numbers at once."""

    def __init__(self) -> None:
        self.totals: dict[bytes, tuple[float, float]] = {}

    async def start(self) -> Counter:
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                words = line.split()
                if words[:1] == [b"ping"]:
                    writer.write(b"pong\r\n")
                    continue
                if len(words) != 4 or words[0] != b"incr":
                    writer.write(b"error\r\n")
                    continue
                now = time.monotonic()
                total, ends_at = self.totals.get(words[1], (0.0, 0.0))
                if now >= ends_at:
                    total, ends_at = 0.0, now + min(60.0, int(words[3]) / 1000)
                total += float(words[2])
                self.totals[words[1]] = total, ends_at
                writer.write(b"ok %.7g\r\n" % total)
        except ConnectionError:
            pass
        finally:
            writer.close()


class ServerList:
    """Discovery's list of font servers, with the entries that changed at each version."""

    def __init__(self, servers: list[FontServer], version: int = 41) -> None:
        self.first = self.version = version
        self.entries = {server.name: server.entry() for server in servers}
        self.changes: list[dict[str, Any]] = []
        self.changed = asyncio.Event()

    def change(self, entry: dict[str, Any]) -> None:
        """Applies one changed entry and wakes the watches."""
        if entry["state"] == "removed":
            self.entries.pop(entry["id"], None)
        else:
            self.entries[entry["id"]] = entry
        self.changes.append(entry)
        self.version += 1
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def since(self, version: int | None) -> dict[str, Any]:
        """Returns the whole list, or what changed after a version that is known."""
        if version is None or not self.first <= version <= self.version:
            return {"version": self.version, "full": True, "servers": list(self.entries.values())}
        latest = {entry["id"]: entry for entry in self.changes[version - self.first :]}
        return {"version": self.version, "full": False, "servers": list(latest.values())}


class Agent:
    """Discovery's agent beside one gateway: it speaks HTTP/1.1.

    `delay` returns the seconds for which an answer is held back, see the cases.
    """

    def __init__(self, name: str, servers: ServerList, record: Record) -> None:
        self.name, self.servers, self.record = name, servers, record
        self.delay: Callable[[], float] = lambda: 0.0
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> Agent:
        self.listener = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]
        return self

    def retire(self, seconds: float) -> None:
        """Takes no new connection from now on, and closes the open ones after some seconds."""
        self.listener.close()

        def close_all() -> None:
            for writer in list(self.writers):
                writer.close()

        asyncio.get_running_loop().call_later(seconds, close_all)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                await self.answer(head.split()[1], reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        query = dict(parse_qsl(urlsplit(target).query))
        self.record(f"discovery {self.name} asked {target}")
        index = int(query["index"]) if "index" in query else None
        if index == self.servers.version and "wait" in query:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.servers.changed.wait(), int(query["wait"]) / 1000)
        if (held := self.delay()) > 0:
            await asyncio.sleep(held)
        answer = self.servers.since(index)
        body = json.dumps(answer).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
            % (len(body), body)
        )
        states = {entry["id"]: entry["state"] for entry in answer["servers"]}
        self.record(f"discovery {self.name} answered version {answer['version']} {states}")
        if reader.at_eof():
            raise ConnectionError


def free_port() -> int:
    """Returns a port that is free now."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Gateway:
    """One gateway process, started with the command of the deploy file."""

    def __init__(self, name: str, folder: Path, record: Record, tree: dict[str, Any]) -> None:
        self.name, self.folder, self.record, self.tree = name, folder, record, tree
        self.port = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0

    def write_config(self, discovery: int, counter: int, known: dict[str, Any], memory_mb: int = 192) -> None:
        """Replaces the configuration file."""
        content = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}",
            "seed": f"{0x8C1F30D27A5BE964 + self.starts:x}",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "counter": f"127.0.0.1:{counter}",
            "known": known,
            "settings": self.tree,
        }
        new = self.folder / f"{self.name}.new"
        new.write_text(json.dumps(content))
        new.rename(self.folder / f"{self.name}.json")
        self.discovery = discovery

    async def start(self) -> None:
        """Starts the process and waits until it answers PING with +PONG."""
        self.starts += 1
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        private = self.folder / f"{self.name}-tmp-{self.starts}"
        private.mkdir()
        environment = {name: text for name, text in os.environ.items() if not name.startswith("RELAY_")}
        environment |= {
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": f"127.0.0.1:{self.discovery}",
            "RELAY_CONFIG": str(self.folder / f"{self.name}.json"),
            "TMPDIR": str(private),
        }
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
            )
        self.record(f"gateway {self.name} started")
        ends_at = time.monotonic() + READY_TIMEOUT
        while time.monotonic() < ends_at and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(b"*1\r\n$4\r\nPING\r\n")
                    if await asyncio.wait_for(read_answer(reader), 1.0) == b"+PONG\r\n":
                        self.record(f"gateway {self.name} is ready")
                        return
                finally:
                    writer.close()
            await asyncio.sleep(0.02)
        raise CaseError(f"gateway {self.name} did not become ready")

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record(f"gateway {self.name} got {number.name}")

    async def end(self) -> None:
        """Kills the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Outcome:
    """What a client saw for one request.

    Attributes:
        sent_at: when the last byte of the request was written.
        deadline: seconds for which the client waits.
        answer: the whole answer; None if there was none.
        end: how the connection ended without an answer.
        first: whether it was the first request on its connection.
        resent: whether it was sent once more.
    """

    def __init__(self, request_id: str, deadline: float) -> None:
        self.id, self.sent_at, self.deadline = request_id, time.monotonic(), deadline
        self.answer: bytes | None = None
        self.answered_at = 0.0
        self.end = ""
        self.first = self.resent = False

    @property
    def elapsed(self) -> float:
        """Seconds from the last byte of the request to the last byte of its answer."""
        return self.answered_at - self.sent_at if self.answer is not None else float("inf")

    @property
    def lost(self) -> bool:
        """Whether the answer came later than half a second after the request's time, or never."""
        return self.elapsed > self.deadline + LATE_ANSWER + SOCKET_SLACK

    @property
    def served(self) -> bool:
        """Whether the answer is a value."""
        return self.answer is not None and self.answer[:1] == b"$"

    def __str__(self) -> str:
        shown = (self.answer or b"").strip().decode(errors="replace").replace("\r\n", " ") or "none"
        took = f"{self.elapsed:.3f} s" if self.answer is not None else self.end
        return f"request {self.id} time {self.deadline:.3f} s answer {shown} after {took}"


class Client:
    """A usual client with one connection, which it keeps until `close`."""

    def __init__(self, port: int, record: Record) -> None:
        self.port, self.record = port, record
        self.writer: asyncio.StreamWriter | None = None

    async def ask(self, request_id: str, deadline: float, command: bytes) -> Outcome:
        """Sends one command and waits for its answer, far past its time.

        Where the gateway closes a resting connection without an answer, the client sends the command once
        more on a new connection; its time then counts from there.
        """
        outcome = Outcome(request_id, deadline)
        for attempt in (1, 2):
            rested = self.writer is not None
            outcome.first = not rested
            try:
                if self.writer is None:
                    self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.writer.write(command)
                outcome.sent_at = time.monotonic()
                outcome.answer = await asyncio.wait_for(
                    read_answer(self.reader), deadline + WAIT_PAST_DEADLINE
                )
                outcome.answered_at = time.monotonic()
                break
            except TimeoutError:
                outcome.end = "never, the connection is open"
                self.close()
                break
            except (OSError, asyncio.IncompleteReadError) as error:
                outcome.end = f"never, {type(error).__name__}"
                self.close()
                if attempt == 2 or not rested:
                    break
                outcome.resent = True
                self.record(f"request {request_id} crossed the end of its connection, sent once more")
        self.record(str(outcome))
        return outcome

    def close(self) -> None:
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
            self.writer = None


class Helpers:
    """Further processes of a case, which all end with it."""

    def __init__(self) -> None:
        self.processes: list[asyncio.subprocess.Process] = []

    async def start(self, script: str, *arguments: object) -> None:
        """Starts a script with this interpreter."""
        words = [sys.executable, "-B", script, *map(str, arguments)]
        self.processes.append(await asyncio.create_subprocess_exec(*words, preexec_fn=end_with_parent))

    async def end(self) -> None:
        """Ends the processes."""
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()


Case = Callable[[Record, Path, list[Gateway]], Awaitable[int]]


def start_guard(folder: str) -> subprocess.Popen[bytes]:
    """Starts the earlier review's guard, which removes the temporary folder if the case is killed."""
    guard = subprocess.Popen(
        [sys.executable, "-B", str(ROOT / "review" / "guard.py")],
        stdin=subprocess.PIPE,
        start_new_session=True,
    )
    assert guard.stdin is not None
    guard.stdin.write(f"folder {folder}\n".encode())
    guard.stdin.flush()
    return guard


async def play(case: Case, folder: Path, limit: float) -> int:
    """Plays a case with a time limit, ends its gateways and returns its result."""
    record, gateways = Record(folder), list[Gateway]()
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    loop.set_exception_handler(lambda *_: None)
    with tempfile.TemporaryDirectory() as temporary:
        guard = start_guard(temporary)
        try:
            return await asyncio.wait_for(case(record, Path(temporary), gateways), limit)
        except (Exception, asyncio.CancelledError) as error:
            record.say(f"the case could not run: {type(error).__name__} {error}")
            return COULD_NOT_RUN
        finally:
            for gateway in gateways:
                await gateway.end()
                log = Path(temporary) / f"{gateway.name}.log"
                if log.exists():
                    for line in log.read_text(errors="replace").splitlines()[-40:]:
                        record(f"log {gateway.name}: {line}")
            guard.communicate(b"done\n")


def run_case(case: Case, folder: Path, limit: float) -> None:
    """Runs a case and exits with its result. An error of the case itself is no result: 2."""
    result = COULD_NOT_RUN
    try:
        result = asyncio.run(play(case, folder, limit))
    except BaseException as error:
        print(f"the case could not run: {type(error).__name__} {error}", file=sys.stderr)
    finally:
        with contextlib.suppress(OSError):
            sys.stdout.flush()
        os._exit(result)
