"""Steps of the wall clock: what the gateway makes of starts that it is told before and after one."""

import time

import pytest

from calicomast.net import clock
from calicomast.net.clock import Clock
from calicomast.net.server_list import parse_server_list
from calicomast.net.server_table import ServerTable

NOW, AGE = 1_700_000_000.0, 3.0


class Times:
    """Both clocks of a machine, as a test sets them."""

    def __init__(self):
        self.step, self.passed = 0.0, 100.0

    def time(self):
        return NOW + self.step + self.passed

    def monotonic(self):
        return self.passed


@pytest.fixture
def times(monkeypatch):
    made = Times()
    monkeypatch.setattr(clock, "time", made)
    return made


def test_time_goes_on_by_itself_through_a_step(times):
    ticking = Clock()
    before = ticking()
    times.step, times.passed = 3600.0, times.passed + 2.0
    assert ticking() == pytest.approx(before + 2.0)


@pytest.mark.parametrize("everywhere", [True, False])
@pytest.mark.parametrize("step", [0.0, 3600.0, -3600.0, 5.0, -5.0])
def test_a_server_that_has_just_started_is_young_whatever_clock_it_is_told_on(step, everywhere, times):
    """`everywhere`: the clock of the one that tells the start was stepped too."""
    ticking = Clock()
    times.step = step
    told = NOW + times.passed + (step if everywhere else 0.0) - AGE
    age = ticking() - ticking.local_start_time(told)
    assert 0.0 <= age <= AGE + 1e-6


def test_a_server_of_long_ago_stays_one(times):
    assert Clock().local_start_time(0.0) == 0.0


def test_a_start_is_put_on_our_clock_once(times):
    """A change of its state after a step must not look like another start."""
    ticking, seen = Clock(), []
    table = ServerTable(seen.append, lambda server: None, ticking.local_start_time)
    started = int(1000 * (NOW + times.passed - AGE))
    text = (
        '{"version":%d,"full":false,"servers":[{"id":"h1","addr":"127.0.0.1:%d","zone":"a","kind":"k",'
        '"cell":0,"state":"up","weight":1.0,"started_ms":%d}]}'
    )
    for version, port in ((2, 7001), (3, 7002)):
        for _ in table.apply(parse_server_list((text % (version, port, started)).encode())):
            pass
        times.step += 3600.0
    first, second = (event.servers[0].started_at for event in seen)
    assert first == second == pytest.approx(ticking() - AGE)


def test_the_real_clocks_agree_without_a_step():
    ticking = Clock()
    assert abs(ticking() - time.time()) < 1.0
