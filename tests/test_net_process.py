"""The program as the platform runs it: configuration, readiness, signals."""

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
    gateway_config,
    on_loop,
    read_reply,
    server_entry,
)

from calicomast.net.counter import CONNECTION_COUNT
from calicomast.net.program import STEPS_PER_TURN, Reloader
from calicomast.net.server_list import CHUNK_BYTES

ROOT = Path(__file__).resolve().parent.parent
PING = b"*1\r\n$4\r\nPING\r\n"
PROGRAM = [sys.executable, "-B", "-m", "calicomast.net"]


def spoilt(**kw):
    return json.dumps(gateway_config([], 1, 2) | kw)


@pytest.mark.parametrize(
    "text, word",
    [
        (None, "RELAY_CONFIG"),
        ("{", "Expecting"),
        ("[]", "list"),
        ("{}", "settings"),
        (spoilt(seed="xyz"), "xyz"),
        (spoilt(listen="nowhere"), "nowhere"),
        (spoilt(counter=""), "counter"),
        (spoilt(settings={}), "limits"),
        (spoilt(known={"version": 1}), "not a server list"),
        (spoilt(listen="127.0.0.1:99999999"), "99999999"),
    ],
)
def test_a_bad_configuration_is_one_plain_line(text, word, tmp_path):
    env = {k: v for k, v in os.environ.items() if not k.startswith("RELAY_")}
    if text is not None:
        (tmp_path / "config.json").write_text(text)
        env["RELAY_CONFIG"] = str(tmp_path / "config.json")
    ended = subprocess.run(PROGRAM, cwd=ROOT, env=env, capture_output=True, text=True, timeout=60)
    assert ended.returncode != 0
    assert ended.stderr.startswith("calicomast: ") and ended.stderr.count("\n") == 1 and word in ended.stderr


@on_loop
async def test_sigterm_ends_the_program_after_what_it_has_taken(tmp_path):
    async with StubServer(None) as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [server_entry(host)]
        config = tmp_path / "config.json"
        config.write_text(json.dumps(gateway_config([server_entry(host)], discovery.port, counter.port)))
        program = await asyncio.create_subprocess_exec(
            *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(config)}, stderr=subprocess.PIPE
        )
        port = int((await program.stderr.readline()).decode().rsplit(":", 1)[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(PING)
        assert await read_reply(reader) == b"+PONG\r\n"
        writer.write(command())
        await host.arrived.get()
        program.send_signal(signal.SIGTERM)
        ping_reader, ping_writer = await asyncio.open_connection("127.0.0.1", port)
        ping_writer.write(PING)
        while await read_reply(ping_reader) == b"+PONG\r\n":  # until it has heard of its end
            ping_writer.write(PING)
        host.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await read_reply(reader) == CLIENT_REPLY
        assert await program.wait() == 0


@on_loop
async def test_a_killed_gateway_starts_again_at_its_address(tmp_path):
    async with StubServer() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [server_entry(host)]
        config, port = tmp_path / "config.json", 0
        for life in (b"first", b"second"):
            text = gateway_config([server_entry(host)], discovery.port, counter.port) | {
                "listen": f"127.0.0.1:{port}"
            }
            config.write_text(json.dumps(text))
            program = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(config)}, stderr=subprocess.PIPE
            )
            port = int((await program.stderr.readline()).decode().rsplit(":", 1)[1])
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(command(life))
            assert await read_reply(reader) == CLIENT_REPLY
            program.kill()
            assert await program.wait() == -signal.SIGKILL


@on_loop
async def test_sighup_moves_to_the_addresses_in_the_file(tmp_path):
    async with (
        StubServer(None) as host,
        StubServer() as new,
        StubCounter() as counter,
        StubCounter() as counter2,
        StubDiscovery() as discovery,
        StubDiscovery() as discovery2,
    ):
        discovery.servers, discovery2.servers, discovery2.version = (
            [server_entry(host)],
            [server_entry(new, "h2")],
            1,
        )
        config = tmp_path / "config.json"
        config.write_text(json.dumps(gateway_config([server_entry(host)], discovery.port, counter.port)))
        env = {**os.environ, "RELAY_CONFIG": str(config), "RELAY_DISCOVERY": f"127.0.0.1:{discovery.port}"}
        program = await asyncio.create_subprocess_exec(*PROGRAM, cwd=ROOT, env=env, stderr=subprocess.PIPE)
        port = int((await program.stderr.readline()).decode().rsplit(":", 1)[1])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(command(b"before"))
        await host.arrived.get()
        config.write_text("{")  # cannot be used: the old one stays
        program.send_signal(signal.SIGHUP)
        assert b"the old configuration stays" in await program.stderr.readline()
        config.write_text(json.dumps(gateway_config([], discovery2.port, counter2.port)))
        program.send_signal(signal.SIGHUP)
        assert "index" not in await discovery2.calls.get()  # the environment names the old one still
        assert "index" in await discovery2.calls.get()
        while len(counter2.writers) < CONNECTION_COUNT:
            await asyncio.sleep(0.01)
        for n in range(4):
            reader2, writer2 = await asyncio.open_connection("127.0.0.1", port)
            writer2.write(command(b"after%d" % n))
            assert await read_reply(reader2) == CLIENT_REPLY
        assert len(new.commands) == 4 and len(host.commands) == 1
        host.writers[0].write(b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n")
        assert await read_reply(reader) == CLIENT_REPLY  # what was out at the time is served all the same
        program.send_signal(signal.SIGHUP)
        program.send_signal(signal.SIGHUP)
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGHUP)
        assert await program.wait() == 0


async def listens(port):
    try:
        _, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionRefusedError:
        await asyncio.sleep(0.01)
        return False
    writer.close()
    return True


@pytest.mark.parametrize("sockets", [100, 256])
@on_loop
async def test_idle_clients_fill_no_descriptor_that_something_else_needs(sockets, tmp_path):
    """While discovery is silent, which takes one for each call that is out, up to its limit."""
    async with (
        StubServer() as host,
        StubServer() as new,
        StubCounter() as counter,
        StubDiscovery() as discovery,
    ):
        discovery.servers, discovery.silent = [server_entry(host)], True
        config = tmp_path / "config.json"
        text = gateway_config([server_entry(host)], discovery.port, counter.port)
        text["limits"]["sockets"] = sockets
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        text["listen"] = f"127.0.0.1:{port}"
        config.write_text(json.dumps(text))
        program = await asyncio.create_subprocess_exec(
            *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(config)}, stderr=subprocess.DEVNULL
        )
        resource.prlimit(program.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        while not await listens(port):
            pass
        idle, number = [], itertools.count()
        while discovery.calls.qsize() < 6:  # calls that got no answer follow one another
            for _ in range(40):
                if len(idle) > 4 * sockets:
                    idle.pop(0).close()
                client = socket.socket()
                client.setblocking(False)
                idle.append(client)
                with contextlib.suppress(BlockingIOError):
                    client.connect(("127.0.0.1", port))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(command(b"r%d" % next(number)))
            assert await read_reply(reader) == CLIENT_REPLY
            assert len(os.listdir(f"/proc/{program.pid}/fd")) <= sockets - 4
            writer.close()
            host.writers.pop().close()  # so that the next attempt has to open a connection
        discovery.silent = False
        discovery.servers, discovery.version = [server_entry(new, "h2")], 2
        discovery.raw_response = json.dumps(
            {"version": 2, "full": True, "servers": [server_entry(new, "h2")]}
        )
        while not new.commands:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(command(b"r%d" % next(number)))
            assert await read_reply(reader) == CLIENT_REPLY
        for client in idle:
            client.close()
        program.kill()
        await program.wait()


@on_loop
async def test_a_new_configuration_during_the_start_is_taken_up(tmp_path):
    """The start waits for the file, so that SIGHUP comes before anything could be made of it."""
    async with StubServer() as host, StubCounter() as counter, StubDiscovery() as old, StubDiscovery() as new:
        new.servers = old.servers = [server_entry(host)]
        config = tmp_path / "config.json"
        os.mkfifo(config)
        env = {**os.environ, "RELAY_CONFIG": str(config), "RELAY_DISCOVERY": f"127.0.0.1:{old.port}"}
        program = await asyncio.create_subprocess_exec(*PROGRAM, cwd=ROOT, env=env, stderr=subprocess.PIPE)
        text = json.dumps(gateway_config([server_entry(host)], new.port, counter.port))
        file = await asyncio.to_thread(open, config, "w")  # once the program reads
        program.send_signal(signal.SIGHUP)
        os.unlink(config)
        config.write_text(text)  # for whoever reads it again
        file.write(text)
        file.close()
        await new.calls.get()
        port = 0
        while not port:
            line = (await program.stderr.readline()).decode()
            assert line
            port = int(line.rsplit(":", 1)[1]) if "listens on" in line else 0
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(command())
        assert await read_reply(reader) == CLIENT_REPLY
        program.send_signal(signal.SIGTERM)
        assert await program.wait() == 0


@on_loop
async def test_an_address_that_is_still_in_use_is_waited_for(tmp_path):
    async with StubServer() as host, StubCounter() as counter, StubDiscovery() as discovery:
        discovery.servers = [server_entry(host)]
        config = tmp_path / "config.json"
        with socket.create_server(("127.0.0.1", 0)) as before:
            port = before.getsockname()[1]
            listed = gateway_config([server_entry(host)], discovery.port, counter.port)
            config.write_text(json.dumps(listed | {"listen": f"127.0.0.1:{port}"}))
            program = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(config)}, stderr=subprocess.PIPE
            )
            assert b"in use" in await program.stderr.readline()
        while b"listens on" not in (line := await program.stderr.readline()):
            assert b"in use" in line
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(command())
        assert await read_reply(reader) == CLIENT_REPLY
        program.kill()
        await program.wait()


@on_loop
async def test_a_long_configuration_is_read_again_between_other_work(tmp_path, monkeypatch):
    config, taken = tmp_path / "config.json", []

    class Taker:
        def reload(self, config):
            taken.append(config)

    async with StubServer() as host:
        listed = [server_entry(host, f"h{n}") for n in range(3000)]
        config.write_text(json.dumps(gateway_config(listed, 1, 2)))
        monkeypatch.setenv("RELAY_CONFIG", str(config))
        reloader = Reloader(Taker())
        reloader.reload()
        turns = 0
        while not taken:
            turns += 1
            await asyncio.sleep(0)
        assert turns > len(config.read_bytes()) // (STEPS_PER_TURN * CHUNK_BYTES) - 1 > 3
        assert not taken[0].known_servers.entries and taken[0].name == "n0"
        reloader.reload()
        config.write_text(json.dumps(gateway_config(listed[:1], 7, 8)))
        reloader.reload()  # the first reading is given up
        assert len(taken) == 2 and taken[1].discovery == ("127.0.0.1", 7)
        await asyncio.sleep(0.05)
        assert len(taken) == 2
        config.write_text(json.dumps(gateway_config(listed, 1, 2))[:-20])
        reloader.reload()
        await asyncio.sleep(0.2)
        assert len(taken) == 2 and reloader.steps is None


@on_loop
async def test_a_configuration_that_was_half_written_is_read_again(tmp_path):
    async with StubServer() as host, StubCounter() as counter, StubDiscovery() as old, StubDiscovery() as new:
        new.servers = old.servers = [server_entry(host)]
        config = tmp_path / "config.json"
        config.write_text(json.dumps(gateway_config([server_entry(host)], old.port, counter.port)))
        env = {**os.environ, "RELAY_CONFIG": str(config)}
        program = await asyncio.create_subprocess_exec(*PROGRAM, cwd=ROOT, env=env, stderr=subprocess.PIPE)
        assert b"listens on" in await program.stderr.readline()
        text = json.dumps(gateway_config([server_entry(host)], new.port, counter.port))
        config.write_text(text[: len(text) // 2])
        program.send_signal(signal.SIGHUP)
        assert b"the old configuration stays" in await program.stderr.readline()
        config.write_text(text)  # no other SIGHUP follows
        await new.calls.get()
        program.kill()
        await program.wait()


@on_loop
async def test_an_end_before_the_address_is_free_is_an_end(tmp_path):
    async with StubServer() as host, StubCounter() as counter, StubDiscovery() as discovery:
        config = tmp_path / "config.json"
        with socket.create_server(("127.0.0.1", 0)) as before:
            listed = gateway_config([server_entry(host)], discovery.port, counter.port)
            listed["listen"] = f"127.0.0.1:{before.getsockname()[1]}"
            config.write_text(json.dumps(listed))
            program = await asyncio.create_subprocess_exec(
                *PROGRAM, cwd=ROOT, env={**os.environ, "RELAY_CONFIG": str(config)}, stderr=subprocess.PIPE
            )
            assert b"in use" in await program.stderr.readline()
            program.send_signal(signal.SIGTERM)
            program.send_signal(signal.SIGTERM)
            assert await program.wait() == 0
