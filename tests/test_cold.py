"""A cold server bears only so much from all gateways together, whatever each of them has saved up."""

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


def burst_after_a_lull(now):
    if now <= STARTED_AT + 1.0:
        return 1.0
    return 8.0 if now >= TROUBLE_AT else 0.0


@pytest.mark.parametrize("load", [lambda now: 1.0, burst_after_a_lull], ids=["steady", "burst after a lull"])
@pytest.mark.parametrize("gateways", [3, 20, 30, 230])
def test_all_gateways_together_keep_to_what_a_cold_server_bears(gateways, load):
    world = ColdStart(gateways, seed=gateways, load=load)
    world.play(nothing)
    assert world.excess() <= 0
    assert world.cold_attempts()  # it is used


def test_gateways_that_are_left_with_a_cold_server_keep_to_what_it_bears():
    excess = {}
    for gateways in (20, 30, 230):
        for trouble in (others_gone, few_left):
            world = ColdStart(gateways, seed=gateways)
            world.play(trouble)
            excess[gateways, trouble.__name__] = round(world.excess(), 1)
    assert max(excess.values()) <= 0, excess


def test_gateways_that_start_anew_keep_to_what_a_cold_server_bears():
    excess = {}
    for gateways in (20, 30, 230):
        world = ColdStart(gateways, seed=gateways)
        world.play(restarts)
        excess[gateways] = round(world.excess(), 1)
    assert max(excess.values()) <= 0, excess


def test_what_a_cold_server_bears_is_counted_in_work():
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
