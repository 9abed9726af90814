"""Tests of the gateway process: configuration, readiness and signals."""

import asyncio
import contextlib
import itertools
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from netkit import (
    CLIENT_REPLY,
    StubCounter,
    StubDiscovery,
    StubServer,
    command,
    command_fields,
    gateway_config,
    on_loop,
    read_reply,
    server_entry,
    write_command,
)

from calicomast.net.counter import CONNECTION_COUNT
from calicomast.net.program import STEPS_PER_TURN, Reloader
from calicomast.net.server_list import CHUNK_BYTES
from emulator.real.processes import process_usage

ROOT = Path(__file__).resolve().parent.parent
PING = b"*1\r\n$4\r\nPING\r\n"
FLOOD_COMMANDS = 10_000
FLOOD_BODY_BYTES = 4096
MAX_FLOOD_MEMORY_KB = 8 * 1024
ERROR_LINE_CLIENTS = 64
ERROR_LINE_COMMANDS = 500  # of one client
ERROR_LINE_MEMORY_MB = 96  # the limit of the gateway
LONG_COMMAND_CLIENTS = 250
COSTLY_CLIENTS = 3
COSTLY_COMMANDS = 200  # of one client at once
USUAL_REQUESTS = 20  # beside them
USUAL_DEADLINE_MS = 750
LATE_ANSWER = 0.55  # seconds after its deadline in which an answer of a request only earns nothing
PROGRAM = [sys.executable, "-B", "-m", "calicomast.net"]


def invalid_config(**overrides):
    """Returns the text of a configuration file with some keys replaced."""
    return json.dumps(gateway_config([], 1, 2) | overrides)


@pytest.mark.parametrize(
    "text, expected",
    [
        (None, "RELAY_CONFIG"),
        ("{", "Expecting"),
        ("[]", "list"),
        ("{}", "settings"),
        (invalid_config(seed="xyz"), "xyz"),
        (invalid_config(listen="nowhere"), "nowhere"),
        (invalid_config(counter=""), "counter"),
        (invalid_config(settings={}), "limits"),
        (invalid_config(known={"version": 1}), "not a server list"),
        (invalid_config(listen="127.0.0.1:99999999"), "99999999"),
    ],
)
def test_invalid_configuration_is_reported_in_one_line(text, expected, tmp_path):
    env = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
    if text is not None:
        (tmp_path / "config.json").write_text(text)
        env["RELAY_CONFIG"] = str(tmp_path / "config.json")
    process = subprocess.run(PROGRAM, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert process.returncode != 0
    assert (
        process.stderr.startswith("calicomast: ")
        and process.stderr.count("\n") == 1
        and expected in process.stderr
    )


@contextlib.asynccontextmanager
async def run_gateway(config, path):
    """Runs a gateway with a configuration; yields its process and its port."""
    (path / "config.json").write_text(json.dumps(config))
    process = await asyncio.create_subprocess_exec(
        *PROGRAM,
        cwd=ROOT,
        env={**os.environ, "RELAY_CONFIG": str(path / "config.json")},
        stderr=subprocess.PIPE,
    )
    try:
        yield process, int((await process.stderr.readline()).decode().rsplit(":", 1)[1])
    finally:
        process.kill()
        await process.wait()


@on_loop
async def test_commands_that_grow_when_parsed_leave_the_gateway_within_its_memory(tmp_path):
    # Guards against a gateway killed for its memory, as commands that wait for their turn were kept parsed.
    async def send_error_lines(port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write((b"*64\r\n" + b"-a\r\n" * 64) * ERROR_LINE_COMMANDS)
        for _ in range(ERROR_LINE_COMMANDS):
            assert (await read_reply(reader)).startswith((b"-ERR", b"-BUSY"))
        writer.close()

    async with StubServer() as server, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [server_entry(server)]
        config = gateway_config(discovery.servers, discovery.port, counter.port)
        config["limits"]["memory_mb"] = ERROR_LINE_MEMORY_MB
        async with run_gateway(config, tmp_path) as (process, port):
            await asyncio.gather(*(send_error_lines(port) for _ in range(ERROR_LINE_CLIENTS)))
            assert process_usage(process.pid).peak_kb < ERROR_LINE_MEMORY_MB * 1024


@on_loop
async def test_connections_keep_no_memory_of_commands_that_were_answered(tmp_path):
    # Guards against a gateway over its memory limit, as each connection's parser kept its last buffer.
    async with StubServer() as server, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [server_entry(server)]
        config = gateway_config(discovery.servers, discovery.port, counter.port)
        async with run_gateway(config, tmp_path) as (process, port):
            clients = [await asyncio.open_connection("127.0.0.1", port) for _ in range(LONG_COMMAND_CLIENTS)]
            for reader, writer in clients[:10]:
                writer.write(PING)
                await read_reply(reader)
            before = process_usage(process.pid).resident_kb
            for reader, writer in clients:
                writer.write(command(fields=b"," * 64_000))
                assert (await read_reply(reader)).startswith(b"-ERR")
            assert process_usage(process.pid).resident_kb < before + MAX_FLOOD_MEMORY_KB


@on_loop
async def test_costly_commands_do_not_keep_other_clients_from_their_answers(tmp_path):
    # Guards against requests that are never answered, as commands were limited by count and not by time.
    async def send_costly_commands(port):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while True:
            writer.write(command(fields=b"," * 64_000) * COSTLY_COMMANDS)
            for _ in range(COSTLY_COMMANDS):
                assert (await read_reply(reader)).startswith((b"-ERR", b"-BUSY"))

    async def send_request(reader, writer, number):
        writer.write(command(b"r%d" % number, command_fields(d=USUAL_DEADLINE_MS)))
        async with asyncio.timeout(USUAL_DEADLINE_MS / 1000 + LATE_ANSWER):
            assert await read_reply(reader) == CLIENT_REPLY

    async with StubServer() as server, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [server_entry(server)]
        config = gateway_config(discovery.servers, discovery.port, counter.port)
        async with run_gateway(config, tmp_path) as (_, port), asyncio.TaskGroup() as tasks:
            usual = [await asyncio.open_connection("127.0.0.1", port) for _ in range(USUAL_REQUESTS)]
            costly = [tasks.create_task(send_costly_commands(port)) for _ in range(COSTLY_CLIENTS)]
            requests = []
            for number, (reader, writer) in enumerate(usual):
                await asyncio.sleep(0.05)
                requests.append(tasks.create_task(send_request(reader, writer, number)))
            await asyncio.wait(requests)
            for task in costly:
                task.cancel()


@on_loop
async def test_memory_stays_bounded_under_many_commands_sent_at_once(tmp_path):
    # Guards against commands over a connection's limit that are kept until those before are answered.
    async with StubServer(None) as server, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [server_entry(server)]
        config = gateway_config(discovery.servers, discovery.port, counter.port)
        async with run_gateway(config, tmp_path) as (process, port):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(write_command(b"first", b"note"))
            await server.arrived.get()
            before = process_usage(process.pid).resident_kb
            body = bytes(FLOOD_BODY_BYTES)
            for n in range(FLOOD_COMMANDS):
                writer.write(command(b"f%d" % n, command_fields(c="note"), b"API.WRITE", body=body))
                if n % 64 == 0:
                    await writer.drain()
            for n in range(FLOOD_COMMANDS + 1):
                assert await read_reply(reader), n
            assert process_usage(process.pid).peak_kb < before + MAX_FLOOD_MEMORY_KB


@on_loop
async def test_sigterm_ends_the_process_after_accepted_requests(tmp_path):
    async with StubServer(None) as server, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [server_entry(server)]
        path = tmp_path / "config.json"
        path.write_text(json.dumps(gateway_config([server_entry(server)], discovery.port, counter.port)))
        process = await asyncio.create_subprocess_exec(
            *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(path)}, stderr=subprocess.PIPE
        )
        port = int((await process.stderr.readline()).decode().rsplit(":", 1)[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(PING)
        assert await read_reply(reader) == b"+PONG\r\n"
        writer.write(command())
        await server.arrived.get()
        process.send_signal(signal.SIGTERM)
        ping_reader, ping_writer = await asyncio.open_connection("127.0.0.1", port)
        ping_writer.write(PING)
        while await read_reply(ping_reader) == b"+PONG\r\n":  # SIGTERM is not handled yet
            ping_writer.write(PING)
        server.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await read_reply(reader) == CLIENT_REPLY
        assert await process.wait() == 0


@on_loop
async def test_killed_gateway_restarts_at_the_same_address(tmp_path):
    async with StubServer() as server, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [server_entry(server)]
        path, port = tmp_path / "config.json", 0
        for request_id in (b"first", b"second"):
            config = gateway_config([server_entry(server)], discovery.port, counter.port) | {
                "listen": f"127.0.0.1:{port}"
            }
            path.write_text(json.dumps(config))
            process = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(path)}, stderr=subprocess.PIPE
            )
            port = int((await process.stderr.readline()).decode().rsplit(":", 1)[1])
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(command(request_id))
            assert await read_reply(reader) == CLIENT_REPLY
            process.kill()
            assert await process.wait() == -signal.SIGKILL


@on_loop
async def test_sighup_applies_the_addresses_in_the_file(tmp_path):
    async with (
        StubServer(None) as server,
        StubServer() as new_server,
        StubCounter() as counter,
        StubCounter() as new_counter,
        StubDiscovery() as discovery,
        StubDiscovery() as new_discovery,
    ):
        discovery.servers = [server_entry(server)]
        new_discovery.servers = [server_entry(new_server, "h2")]
        new_discovery.version = 1
        path = tmp_path / "config.json"
        path.write_text(json.dumps(gateway_config([server_entry(server)], discovery.port, counter.port)))
        env = {**os.environ, "RELAY_CONFIG": str(path), "RELAY_DISCOVERY": f"127.0.0.1:{discovery.port}"}
        process = await asyncio.create_subprocess_exec(*PROGRAM, cwd=ROOT, env=env, stderr=subprocess.PIPE)
        port = int((await process.stderr.readline()).decode().rsplit(":", 1)[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(command(b"before"))
        await server.arrived.get()
        path.write_text("{")  # invalid: the current configuration stays in force
        process.send_signal(signal.SIGHUP)
        assert b"the current configuration stays in force" in await process.stderr.readline()
        path.write_text(json.dumps(gateway_config([], new_discovery.port, new_counter.port)))
        process.send_signal(signal.SIGHUP)
        assert "index" not in await new_discovery.calls.get()  # the environment still names the old address
        assert "index" in await new_discovery.calls.get()
        while len(new_counter.writers) < CONNECTION_COUNT:
            await asyncio.sleep(0.01)
        for n in range(4):
            new_reader, new_writer = await asyncio.open_connection("127.0.0.1", port)
            new_writer.write(command(b"after%d" % n))
            assert await read_reply(new_reader) == CLIENT_REPLY
        assert len(new_server.commands) == 4 and len(server.commands) == 1
        server.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await read_reply(reader) == CLIENT_REPLY  # an attempt from before the reload is still answered
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        assert await process.wait() == 0


async def is_listening(port):
    """Returns whether a connection to the port succeeds; waits 10 ms if it does not."""
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionRefusedError:
        await asyncio.sleep(0.01)
        return False
    writer.close()
    return True


@pytest.mark.parametrize("sockets", [100, 256])
@on_loop
async def test_idle_clients_leave_descriptors_for_servers_and_discovery(sockets, tmp_path):
    """Idle clients must not use up the file descriptors that attempts and discovery calls need.

    Discovery does not answer, so that each pending call holds one descriptor, up to its limit of calls.
    """
    async with (
        StubServer() as server,
        StubServer() as new_server,
        StubCounter() as counter,
        StubDiscovery() as discovery,
    ):
        discovery.servers, discovery.silent = [server_entry(server)], True
        path = tmp_path / "config.json"
        config = gateway_config([server_entry(server)], discovery.port, counter.port)
        config["limits"]["sockets"] = sockets
        with socket.create_server(("127.0.0.1", 0)) as free_port:
            port = free_port.getsockname()[1]
        config["listen"] = f"127.0.0.1:{port}"
        path.write_text(json.dumps(config))
        process = await asyncio.create_subprocess_exec(
            *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(path)}, stderr=subprocess.DEVNULL
        )
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        while not await is_listening(port):
            pass
        idle_clients, request_number = [], itertools.count()
        while discovery.calls.qsize() < 6:  # a call without an answer is followed by another
            for _ in range(40):
                if len(idle_clients) > 4 * sockets:
                    idle_clients.pop(0).close()
                client = socket.socket()
                client.setblocking(False)
                idle_clients.append(client)
                with contextlib.suppress(BlockingIOError):
                    client.connect(("127.0.0.1", port))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(command(b"r%d" % next(request_number)))
            assert await read_reply(reader) == CLIENT_REPLY
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= sockets - 4
            writer.close()
            server.writers.pop().close()  # so that the next attempt has to open a connection
        discovery.silent = False
        discovery.servers, discovery.version = [server_entry(new_server, "h2")], 2
        discovery.raw_response = json.dumps(
            {"version": 2, "full": True, "servers": [server_entry(new_server, "h2")]}
        )
        while not new_server.commands:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(command(b"r%d" % next(request_number)))
            assert await read_reply(reader) == CLIENT_REPLY
        for client in idle_clients:
            client.close()
        process.kill()
        await process.wait()


@on_loop
async def test_sighup_during_startup_applies_the_new_configuration(tmp_path):
    """SIGHUP arrives while the process still waits for its configuration, which is a FIFO here."""
    async with (
        StubServer() as server,
        StubCounter() as counter,
        StubDiscovery() as old_discovery,
        StubDiscovery() as new_discovery,
    ):
        new_discovery.servers = old_discovery.servers = [server_entry(server)]
        path = tmp_path / "config.json"
        os.mkfifo(path)
        env = {**os.environ, "RELAY_CONFIG": str(path), "RELAY_DISCOVERY": f"127.0.0.1:{old_discovery.port}"}
        process = await asyncio.create_subprocess_exec(*PROGRAM, cwd=ROOT, env=env, stderr=subprocess.PIPE)
        config_text = json.dumps(gateway_config([server_entry(server)], new_discovery.port, counter.port))
        fifo = await asyncio.to_thread(open, path, "w")  # opens once the process reads
        process.send_signal(signal.SIGHUP)
        os.unlink(path)
        path.write_text(config_text)  # read by the reload
        fifo.write(config_text)
        fifo.close()
        await new_discovery.calls.get()
        port = 0
        while not port:
            line = (await process.stderr.readline()).decode()
            assert line
            port = int(line.rsplit(":", 1)[1]) if "listens on" in line else 0
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(command())
        assert await read_reply(reader) == CLIENT_REPLY
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


@on_loop
async def test_listening_is_retried_while_the_address_is_in_use(tmp_path):
    async with StubServer() as server, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [server_entry(server)]
        path = tmp_path / "config.json"
        with socket.create_server(("127.0.0.1", 0)) as previous:
            port = previous.getsockname()[1]
            config = gateway_config([server_entry(server)], discovery.port, counter.port)
            path.write_text(json.dumps(config | {"listen": f"127.0.0.1:{port}"}))
            process = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(path)}, stderr=subprocess.PIPE
            )
            assert b"in use" in await process.stderr.readline()
        while b"listens on" not in (line := await process.stderr.readline()):
            assert b"in use" in line
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(command())
        assert await read_reply(reader) == CLIENT_REPLY
        process.kill()
        await process.wait()


@on_loop
async def test_long_configuration_is_reloaded_in_steps(tmp_path, monkeypatch):
    path, applied = tmp_path / "config.json", []

    class Recorder:
        def reload(self, config):
            applied.append(config)

    async with StubServer() as server:
        servers = [server_entry(server, f"h{n}") for n in range(3000)]
        path.write_text(json.dumps(gateway_config(servers, 1, 2)))
        monkeypatch.setenv("RELAY_CONFIG", str(path))
        reloader = Reloader(Recorder())
        reloader.reload()
        loop_turns = 0
        while not applied:
            loop_turns += 1
            await asyncio.sleep(0)
        assert loop_turns > len(path.read_bytes()) // (STEPS_PER_TURN * CHUNK_BYTES) - 1 > 3
        assert not applied[0].known_servers.entries and applied[0].name == "n0"
        reloader.reload()
        path.write_text(json.dumps(gateway_config(servers[:1], 7, 8)))
        reloader.reload()  # the first reading fails, as its file ends early
        while len(applied) < 2:
            await asyncio.sleep(0)
        assert applied[1].discovery == ("127.0.0.1", 7)
        await asyncio.sleep(0.05)
        assert len(applied) == 2
        path.write_text(json.dumps(gateway_config(servers, 1, 2))[:-20])
        reloader.reload()
        await asyncio.sleep(0.2)
        assert len(applied) == 2 and reloader.steps is None


@on_loop
async def test_configurations_are_applied_though_signals_come_faster_than_they_are_read(
    tmp_path, monkeypatch
):
    # Guards against a gateway that applies no new configuration, as each signal began the reading again.
    path, applied = tmp_path / "config.json", []

    class Recorder:
        def reload(self, config):
            applied.append(config.discovery)

    monkeypatch.setenv("RELAY_CONFIG", str(path))
    async with StubServer() as server:
        servers = [server_entry(server, f"h{n}") for n in range(3000)]
        reloader, signals = Reloader(Recorder()), 0
        while len(applied) < 3 and signals < 1000:
            signals += 1
            (tmp_path / "next.json").write_text(json.dumps(gateway_config(servers, signals, 2)))
            (tmp_path / "next.json").replace(path)
            reloader.reload()
            await asyncio.sleep(0)
        assert len(applied) == 3 and signals > len(applied)
        while reloader.steps is not None:
            await asyncio.sleep(0)
        assert applied[-1] == ("127.0.0.1", signals) and applied == sorted(applied)


@on_loop
async def test_half_written_configuration_is_read_again(tmp_path):
    async with (
        StubServer() as server,
        StubCounter() as counter,
        StubDiscovery() as old_discovery,
        StubDiscovery() as new_discovery,
    ):
        new_discovery.servers = old_discovery.servers = [server_entry(server)]
        path = tmp_path / "config.json"
        path.write_text(json.dumps(gateway_config([server_entry(server)], old_discovery.port, counter.port)))
        env = {**os.environ, "RELAY_CONFIG": str(path)}
        process = await asyncio.create_subprocess_exec(*PROGRAM, cwd=ROOT, env=env, stderr=subprocess.PIPE)
        assert b"listens on" in await process.stderr.readline()
        config_text = json.dumps(gateway_config([server_entry(server)], new_discovery.port, counter.port))
        path.write_text(config_text[: len(config_text) // 2])
        process.send_signal(signal.SIGHUP)
        assert b"the current configuration stays in force" in await process.stderr.readline()
        path.write_text(config_text)  # no other SIGHUP follows
        await new_discovery.calls.get()
        process.kill()
        await process.wait()


@on_loop
async def test_sigterm_while_the_address_is_in_use_ends_the_process(tmp_path):
    async with StubServer() as server, StubCounter() as counter, StubDiscovery() as discovery:
        path = tmp_path / "config.json"
        with socket.create_server(("127.0.0.1", 0)) as previous:
            config = gateway_config([server_entry(server)], discovery.port, counter.port)
            config["listen"] = f"127.0.0.1:{previous.getsockname()[1]}"
            path.write_text(json.dumps(config))
            process = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(path)}, stderr=subprocess.PIPE
            )
            assert b"in use" in await process.stderr.readline()
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
