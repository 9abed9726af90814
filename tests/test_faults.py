"""A real gateway whose system calls fail for a moment, as Linux documents."""

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
    return build_shim(tmp_path_factory.mktemp("shim"))


class FaultyGateway:
    """A real gateway with the shim in it, before one stub of each kind."""

    def __init__(self, shim, path, settings=None):
        self.faults, self.path, self.settings = Faults(shim, path / "faults"), path, settings
        self.host, self.counter, self.discovery = StubServer(), StubCounter(), StubDiscovery()

    async def __aenter__(self):
        await self.start()
        while b"listens on" not in (line := await self.program.stderr.readline()):
            assert line
        self.port = int(line.decode().rsplit(":", 1)[1])
        return self

    async def start(self):
        self.stack = contextlib.AsyncExitStack()
        for stub in (self.host, self.counter, self.discovery):
            await self.stack.enter_async_context(stub)
        self.discovery.servers = [server_entry(self.host)]
        config = self.path / "config.json"
        text = gateway_config(self.discovery.servers, self.discovery.port, self.counter.port, self.settings)
        config.write_text(json.dumps(text))
        self.program = await asyncio.create_subprocess_exec(
            *PROGRAM,
            cwd=ROOT,
            env={**os.environ, "RELAY_CONFIG": str(config), **self.faults.environment},
            stderr=subprocess.PIPE,
        )

    async def __aexit__(self, *_):
        with contextlib.suppress(ProcessLookupError):
            self.program.kill()
        await self.program.wait()
        await self.stack.aclose()

    async def ask(self, id, **fields):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(command(id, **fields))
        answer = await read_reply(reader)
        writer.close()
        return answer

    async def until(self, field, count):
        """Waits until so many calls have failed."""
        while self.faults[field] < count:
            await asyncio.sleep(0.005)


ACCEPT_ERRORS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ECONNABORTED, errno.EPROTO)
MOST_FAILED = 100  # calls of accept in a time in which a loop without a pause makes tens of thousands


@on_loop
async def test_a_failing_accept_takes_no_cpu_and_costs_no_connection_that_waits(shim, tmp_path):
    async with FaultyGateway(shim, tmp_path) as gateway:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(command(b"first"))
        assert await read_reply(reader) == CLIENT_REPLY  # so that this connection does not wait for accept
        for number in ACCEPT_ERRORS:
            failed = gateway.faults[Field.ACCEPT_FAILED]
            gateway.faults.fail_accept(number)
            waiting = [asyncio.create_task(gateway.ask(b"w%d-%d" % (n, number))) for n in range(8)]
            await gateway.until(Field.ACCEPT_FAILED, failed + 1)
            for n in range(20):
                writer.write(command(b"r%d-%d" % (n, number)))
                assert await read_reply(reader) == CLIENT_REPLY  # while accept still fails
            assert gateway.faults[Field.ACCEPT_FAILED] - failed < MOST_FAILED
            gateway.faults.fail_accept(number, every=2)  # a call that follows a failed one may go well
            assert await asyncio.gather(*waiting) == [CLIENT_REPLY] * 8
            gateway.faults.fail_accept(0)
        writer.close()


@on_loop
async def test_a_request_that_waited_for_accept_has_only_the_rest_of_its_time(shim, tmp_path):
    async with FaultyGateway(shim, tmp_path) as gateway:
        gateway.faults.fail_accept(errno.ENOBUFS)
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(command())
        asked = time.monotonic()
        await gateway.until(Field.ACCEPT_FAILED, 3)
        await asyncio.sleep(0.5)
        waited = time.monotonic() - asked  # it cannot have been read before
        gateway.faults.fail_accept(0)
        assert await read_reply(reader) == CLIENT_REPLY
        assert propagated_deadline_ms(gateway.host) <= 3000 - 1000 * waited + 150
        writer.close()


CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ECONNABORTED,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ENFILE,
)


@on_loop
async def test_requests_wait_while_this_machine_cannot_connect(shim, tmp_path):
    async with FaultyGateway(shim, tmp_path) as gateway:
        for number in CONNECT_ERRORS:
            failed = gateway.faults[Field.CONNECT_FAILED]
            gateway.faults.fail_connect(number)
            asked = [asyncio.create_task(gateway.ask(b"r%d-%d" % (n, number))) for n in range(5)]
            await gateway.until(Field.CONNECT_FAILED, failed + 3)
            gateway.faults.fail_connect(0)
            assert await asyncio.gather(*asked) == [CLIENT_REPLY] * 5
            for writer in gateway.host.writers:  # so that the next attempts have to connect again
                writer.close()


@on_loop
async def test_a_start_goes_on_once_sockets_can_be_made(shim, tmp_path):
    gateway = FaultyGateway(shim, tmp_path)
    gateway.faults.fail_socket(errno.ENFILE)
    starting = asyncio.create_task(gateway.__aenter__())
    await gateway.until(Field.SOCKET_FAILED, 3)
    gateway.faults.fail_socket(0)
    await starting
    try:
        assert await gateway.ask(b"r1") == CLIENT_REPLY
    finally:
        await gateway.__aexit__()


@on_loop
async def test_requests_wait_while_the_process_is_out_of_descriptors(shim, tmp_path):
    """The real thing: the system's limit, not the shim."""
    async with FaultyGateway(shim, tmp_path) as gateway:
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        writer.write(command(b"first"))
        assert await read_reply(reader) == CLIENT_REPLY
        pid, (soft, hard) = gateway.program.pid, resource.prlimit(gateway.program.pid, resource.RLIMIT_NOFILE)
        gateway.host.writers.pop().close()  # the next attempt has to connect
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (3, hard))
        waiting = [asyncio.create_task(gateway.ask(b"w%d" % n)) for n in range(5)]  # at the listener
        writer.write(command(b"second"))  # has no connection to its server
        await asyncio.sleep(0.3)
        assert not any(task.done() for task in waiting)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (soft, hard))
        assert await asyncio.gather(*waiting) == [CLIENT_REPLY] * 5
        assert await read_reply(reader) == CLIENT_REPLY
        writer.close()
