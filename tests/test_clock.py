"""Steps of the wall clock: the gateway's clock ignores them, and start times of servers stay correct."""

import time

import pytest

from calicomast.net import clock
from calicomast.net.clock import Clock
from calicomast.net.server_list import parse_server_list
from calicomast.net.server_table import ServerTable

NOW = 1_700_000_000.0  # seconds, Unix time
AGE = 3.0  # seconds since the server's start


class FakeTime:
    """Stands in for the module `time`: both clocks of a machine, set by the test."""

    def __init__(self):
        self.step, self.elapsed = 0.0, 100.0  # seconds

    def time(self):
        return NOW + self.step + self.elapsed

    def monotonic(self):
        return self.elapsed


@pytest.fixture
def fake_time(monkeypatch):
    """Replaces both clocks of the module calicomast.net.clock."""
    fake = FakeTime()
    monkeypatch.setattr(clock, "time", fake)
    return fake


def test_clock_ignores_a_step_of_the_wall_clock(fake_time):
    gateway_clock = Clock()
    before = gateway_clock()
    fake_time.step, fake_time.elapsed = 3600.0, fake_time.elapsed + 2.0
    assert gateway_clock() == pytest.approx(before + 2.0)


@pytest.mark.parametrize("everywhere", [True, False])
@pytest.mark.parametrize("step", [0.0, 3600.0, -3600.0, 5.0, -5.0])
def test_age_of_a_recently_started_server_does_not_grow_by_a_step(step, everywhere, fake_time):
    """`everywhere`: the clock that the start time was read from was stepped too."""
    gateway_clock = Clock()
    fake_time.step = step
    reported = NOW + fake_time.elapsed + (step if everywhere else 0.0) - AGE
    age = gateway_clock() - gateway_clock.local_start_time(reported)
    assert 0.0 <= age <= AGE + 1e-6


def test_start_time_zero_is_not_converted(fake_time):
    assert Clock().local_start_time(0.0) == 0.0


def test_start_time_is_converted_once(fake_time):
    """A change of a server's state after a step must not look like another start of the server."""
    gateway_clock, events = Clock(), []
    table = ServerTable(events.append, lambda server: None, gateway_clock.local_start_time)
    started = int(1000 * (NOW + fake_time.elapsed - AGE))
    text = (
        '{"version":%d,"full":false,"servers":[{"id":"h1","addr":"127.0.0.1:%d","zone":"a","kind":"k",'
        '"cell":0,"state":"up","weight":1.0,"started_ms":%d}]}'
    )
    for version, port in ((2, 7001), (3, 7002)):
        for _ in table.apply(parse_server_list((text % (version, port, started)).encode())):
            pass
        fake_time.step += 3600.0
    first, second = (event.servers[0].started_at for event in events)
    assert first == second == pytest.approx(gateway_clock() - AGE)


def test_clock_agrees_with_the_wall_clock_without_a_step():
    gateway_clock = Clock()
    assert abs(gateway_clock() - time.time()) < 1.0
