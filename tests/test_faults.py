"""A gateway process whose system calls fail temporarily, with the errors that Linux documents."""

import asyncio
import contextlib
import errno
import json
import os
import resource
import subprocess
import time
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
    propagated_deadline_ms,
    read_reply,
    server_entry,
)
from test_net_process import PROGRAM

from emulator.real.faults import Faults, Field, build_shim

ROOT = Path(__file__).resolve().parent.parent


@pytest.fixture(scope="session")
def shim(tmp_path_factory):
    """Builds the fault-injection shim once for all tests; returns its path."""
    return build_shim(tmp_path_factory.mktemp("shim"))


class FaultyGateway:
    """A gateway process with the fault-injection shim preloaded, connected to one stub of each kind."""

    def __init__(self, shim, path, settings=None):
        self.faults, self.path, self.settings = Faults(shim, path / "faults"), path, settings
        self.server, self.counter, self.discovery = StubServer(), StubCounter(), StubDiscovery()

    async def __aenter__(self):
        await self.start()
        while b"listens on" not in (line := await self.process.stderr.readline()):
            assert line
        self.port = int(line.decode().rsplit(":", 1)[1])
        return self

    async def start(self):
        """Starts the stubs, then the gateway; does not wait for its listener."""
        self.stack = contextlib.AsyncExitStack()
        for stub in (self.server, self.counter, self.discovery):
            await self.stack.enter_async_context(stub)
        self.discovery.servers = [server_entry(self.server)]
        config_file = self.path / "config.json"
        configuration = gateway_config(
            self.discovery.servers, self.discovery.port, self.counter.port, self.settings
        )
        config_file.write_text(json.dumps(configuration))
        self.process = await asyncio.create_subprocess_exec(
            *PROGRAM,
            cwd=ROOT,
            env={**os.environ, "RELAY_CONFIG": str(config_file), **self.faults.environment},
            stderr=subprocess.PIPE,
        )

    async def __aexit__(self, *_):
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()
        await self.stack.aclose()

    async def ask(self, id, **fields):
        """Sends a request on a new connection and returns the response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(command(id, **fields))
        answer = await read_reply(reader)
        writer.close()
        return answer

    async def wait_for_failures(self, field, count):
        """Waits until `count` calls have failed, counted from the start."""
        while self.faults[field] < count:
            await asyncio.sleep(0.005)


ACCEPT_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EPROTO)
MAX_FAILED_ACCEPTS = 100  # a loop without a pause makes tens of thousands in the same time


@on_loop
async def test_failing_accept_neither_spins_nor_drops_waiting_connections(shim, tmp_path):
    async with FaultyGateway(shim, tmp_path) as gateway:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(command(b"first"))
        assert await read_reply(reader) == CLIENT_REPLY  # the gateway has accepted this connection
        for error in ACCEPT_ERRORS:
            failed = gateway.faults[Field.ACCEPT_FAILED]
            gateway.faults.fail_accept(error)
            waiting = [asyncio.create_task(gateway.ask(b"w%d-%d" % (n, error))) for n in range(8)]
            await gateway.wait_for_failures(Field.ACCEPT_FAILED, failed + 1)
            for n in range(20):
                writer.write(command(b"r%d-%d" % (n, error)))
                assert await read_reply(reader) == CLIENT_REPLY  # while accept still fails
            assert gateway.faults[Field.ACCEPT_FAILED] - failed < MAX_FAILED_ACCEPTS
            gateway.faults.fail_accept(error, every=2)  # the call after a failed one may succeed
            assert await asyncio.gather(*waiting) == [CLIENT_REPLY] * 8
            gateway.faults.fail_accept(0)
        writer.close()


@on_loop
async def test_time_spent_waiting_for_accept_counts_toward_the_deadline(shim, tmp_path):
    async with FaultyGateway(shim, tmp_path) as gateway:
        gateway.faults.fail_accept(errno.ENOBUFS)
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(command())
        sent_at = time.monotonic()
        await gateway.wait_for_failures(Field.ACCEPT_FAILED, 3)
        await asyncio.sleep(0.5)
        waited = time.monotonic() - sent_at  # the request cannot have been read earlier
        gateway.faults.fail_accept(0)
        assert await read_reply(reader) == CLIENT_REPLY
        assert propagated_deadline_ms(gateway.server) <= 3000 - 1000 * waited + 150
        writer.close()


CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ECONNABORTED,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ENFILE,
)


@on_loop
async def test_requests_wait_while_connects_fail_with_a_local_error(shim, tmp_path):
    async with FaultyGateway(shim, tmp_path) as gateway:
        for error in CONNECT_ERRORS:
            failed = gateway.faults[Field.CONNECT_FAILED]
            gateway.faults.fail_connect(error)
            tasks = [asyncio.create_task(gateway.ask(b"r%d-%d" % (n, error))) for n in range(5)]
            await gateway.wait_for_failures(Field.CONNECT_FAILED, failed + 3)
            gateway.faults.fail_connect(0)
            assert await asyncio.gather(*tasks) == [CLIENT_REPLY] * 5
            for writer in gateway.server.writers:  # so that the next attempts have to connect again
                writer.close()


@on_loop
async def test_startup_continues_once_sockets_can_be_created(shim, tmp_path):
    gateway = FaultyGateway(shim, tmp_path)
    gateway.faults.fail_socket(errno.ENFILE)
    startup = asyncio.create_task(gateway.__aenter__())
    await gateway.wait_for_failures(Field.SOCKET_FAILED, 3)
    gateway.faults.fail_socket(0)
    await startup
    try:
        assert await gateway.ask(b"r1") == CLIENT_REPLY
    finally:
        await gateway.__aexit__()


@on_loop
async def test_requests_wait_while_the_process_has_no_free_descriptors(shim, tmp_path):
    """The limit of the system causes the errors here, not the shim."""
    async with FaultyGateway(shim, tmp_path) as gateway:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(command(b"first"))
        assert await read_reply(reader) == CLIENT_REPLY
        pid, (soft, hard) = gateway.process.pid, resource.prlimit(gateway.process.pid, resource.RLIMIT_NOFILE)
        gateway.server.writers.pop().close()  # the next attempt has to open a connection
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, hard))
        waiting = [asyncio.create_task(gateway.ask(b"w%d" % n)) for n in range(5)]  # not accepted yet
        writer.write(command(b"second"))  # accepted, but without a connection to a server
        await asyncio.sleep(0.3)
        assert not any(task.done() for task in waiting)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (soft, hard))
        assert await asyncio.gather(*waiting) == [CLIENT_REPLY] * 5
        assert await read_reply(reader) == CLIENT_REPLY
        writer.close()
