"""Discovery services that are replaced one after another, and whose lists are still applied."""

import asyncio
import contextlib
import json

import pytest
from netkit import in_virtual_time

from calicomast.net import discovery
from calicomast.net.discovery import CHANGE_DEADLINE, MAX_OPEN_CALLS, DiscoveryClient
from calicomast.net.discovery_sources import MAX_RETIRED_CALLS, DiscoverySources

CLOSED_AFTER = 1.5  # seconds after which a replaced service closes its connections
CHANGE_AT = 10.2  # seconds
VERSION = 7  # of the list before that time


class ReplacedServices:
    """Services in virtual time, each of which holds every response back for `delay` seconds."""

    def __init__(self, delay, monkeypatch):
        monkeypatch.setattr(discovery.random, "random", lambda: 1.0)  # the longest backoff
        self.delay, self.loop, self.clients, self.received = delay, asyncio.get_running_loop(), [], []
        self.closes_at = {}  # when connections to a service end, by the number of its client
        self.sources = DiscoverySources(self.create_client, self.apply_list, ("127.0.0.1", 1), VERSION, True)
        self.sources.current.watch(True)

    def create_client(self, address, version, has_list, apply_list):
        """Creates a client whose connections end CLOSED_AFTER its service was replaced."""
        client = DiscoveryClient(address, version, apply_list, lambda: None, has_list)
        number = len(self.clients)
        self.clients.append(client)

        async def read_body(target):
            version = VERSION + (self.loop.time() >= CHANGE_AT)
            until = self.loop.time() + self.delay
            while self.loop.time() < until:
                await asyncio.sleep(0.01)
                if self.loop.time() >= self.closes_at.get(number, 1e9):
                    raise ConnectionResetError
            yield json.dumps({"version": version, "full": True, "servers": []}).encode()

        client.read_body = read_body
        return client

    def apply_list(self, server_list, source):
        """Records when a list was received, unless a newer source has sent one."""
        if self.sources.is_superseded(source):
            raise ValueError("superseded")
        self.sources.list_accepted(source)
        self.received.append((self.loop.time(), source, server_list.version))
        yield

    async def replace(self, count, interval):
        """Replaces the service `count` times, from shortly before CHANGE_AT on."""
        await asyncio.sleep(10.0 - self.loop.time())
        for _ in range(count):
            self.closes_at[len(self.clients) - 1] = self.loop.time() + CLOSED_AFTER
            self.sources.replace(("127.0.0.1", 2))
            await asyncio.sleep(interval)

    def open_calls(self):
        """Returns the number of calls in progress to all services."""
        return sum(len(client.calls) for client in self.clients)


@pytest.mark.parametrize("interval", [0.3, 0.9, 1.5, 3.0])
@pytest.mark.parametrize("delay", [0.1, 1.0, 1.7])
@in_virtual_time
async def test_change_is_received_in_time_while_services_are_replaced_in_a_row(delay, interval, monkeypatch):
    # Guards against drains that no call tells, as each new configuration cancelled the calls of the last one.
    services = ReplacedServices(delay, monkeypatch)
    await services.replace(20, interval)
    await asyncio.sleep(2 * CHANGE_DEADLINE)
    services.sources.close()
    changed = [at for at, _, version in services.received if version > VERSION]
    assert changed and changed[0] <= CHANGE_AT + CHANGE_DEADLINE
    sources = [source for _, source, _ in services.received]
    assert sources == sorted(sources) and sources[-1] == 21


@in_virtual_time
async def test_calls_to_replaced_services_are_limited_and_end(monkeypatch):
    services = ReplacedServices(1e9, monkeypatch)
    await services.replace(0, 0.0)
    for _ in range(100):
        services.sources.replace(("127.0.0.1", 2))
        await asyncio.sleep(0.05)
        assert services.open_calls() <= MAX_RETIRED_CALLS + MAX_OPEN_CALLS
    newest = services.clients[-1]
    await asyncio.sleep(2 * CHANGE_DEADLINE)
    assert services.open_calls() == len(newest.calls)
    services.sources.close()
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.wait(list(newest.calls))
    assert not services.open_calls()


@in_virtual_time
async def test_clients_of_older_services_are_closed_once_a_newer_one_has_sent_a_list(monkeypatch):
    services = ReplacedServices(1.0, monkeypatch)
    await services.replace(2, 0.1)
    older = services.clients[:-1]
    while not services.received or services.received[-1][1] < 3:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0)
    assert services.sources.applied_source == 3 and not any(client.calls for client in older)
    services.sources.close()
