"""A server in slow start is not overloaded by all gateways together.

Gateways cannot see what the others send, so limits that each keeps by itself can add up to more than the
server can take, above all after an idle period, the loss of other servers or a restart of gateways.
"""

import pytest
from helpers import make_plan

from emulator.scenarios.cold_start import (
    STARTED_AT,
    TROUBLE_AT,
    ColdStart,
    few_left,
    nothing,
    others_gone,
    restarts,
)


def burst_after_idle_period(now):
    """Returns the load, relative to the usual one, at a virtual time in seconds."""
    if now <= STARTED_AT + 1.0:
        return 1.0
    return 8.0 if now >= TROUBLE_AT else 0.0


@pytest.mark.parametrize(
    "load", [lambda now: 1.0, burst_after_idle_period], ids=["steady", "burst after idle"]
)
@pytest.mark.parametrize("gateways", [3, 20, 30, 230])
def test_all_gateways_together_do_not_overload_a_server_in_slow_start(gateways, load):
    world = ColdStart(gateways, seed=gateways, load=load)
    world.play(nothing)
    assert world.excess() <= 0
    assert world.cold_attempts()  # the server gets requests at all


def test_losing_the_other_servers_does_not_overload_a_server_in_slow_start():
    excess = {}
    for gateways in (20, 30, 230):
        for trouble in (others_gone, few_left):
            world = ColdStart(gateways, seed=gateways)
            world.play(trouble)
            excess[gateways, trouble.__name__] = round(world.excess(), 1)
    assert max(excess.values()) <= 0, excess


def test_restarted_gateways_do_not_overload_a_server_in_slow_start():
    excess = {}
    for gateways in (20, 30, 230):
        world = ColdStart(gateways, seed=gateways)
        world.play(restarts)
        excess[gateways] = round(world.excess(), 1)
    assert max(excess.values()) <= 0, excess


def test_slow_start_limit_is_measured_in_work():
    excess = {}
    for gateways in (20, 230):
        world = ColdStart(
            gateways,
            seed=1,
            plan=make_plan(rate=1e6, burst=4e6),
            most_units=8.0,
            units=lambda generator: 8.0 if generator.random() < 0.1 else 0.5,
        )
        world.play(others_gone)
        excess[gateways] = round(world.excess(), 1)
    assert max(excess.values()) <= 0, excess
