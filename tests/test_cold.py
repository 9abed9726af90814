"""A cold server bears only so much from all gateways together, whatever each of them has saved up."""

import pytest
from helpers import make_plan

from emulator.scenarios.cold_start import (
    FAILURE_AT,
    STARTED_AT,
    SlowStartExperiment,
    all_others_removed,
    gateways_restarted,
    most_others_removed,
    no_failure,
)


def burst_after_a_lull(now):
    if now <= STARTED_AT + 1.0:
        return 1.0
    return 8.0 if now >= FAILURE_AT else 0.0


@pytest.mark.parametrize("load", [lambda now: 1.0, burst_after_a_lull], ids=["steady", "burst after a lull"])
@pytest.mark.parametrize("gateways", [3, 20, 30, 230])
def test_all_gateways_together_keep_to_what_a_cold_server_bears(gateways, load):
    world = SlowStartExperiment(gateways, seed=gateways, load=load)
    world.run(no_failure)
    assert world.excess() <= 0
    assert world.slow_start_attempts()  # it is used


def test_gateways_that_are_left_with_a_cold_server_keep_to_what_it_bears():
    excess = {}
    for gateways in (20, 30, 230):
        for failure in (all_others_removed, most_others_removed):
            world = SlowStartExperiment(gateways, seed=gateways)
            world.run(failure)
            excess[gateways, failure.__name__] = round(world.excess(), 1)
    assert max(excess.values()) <= 0, excess


def test_gateways_that_start_anew_keep_to_what_a_cold_server_bears():
    excess = {}
    for gateways in (20, 30, 230):
        world = SlowStartExperiment(gateways, seed=gateways)
        world.run(gateways_restarted)
        excess[gateways] = round(world.excess(), 1)
    assert max(excess.values()) <= 0, excess


def test_what_a_cold_server_bears_is_counted_in_work():
    excess = {}
    for gateways in (20, 230):
        world = SlowStartExperiment(
            gateways,
            seed=1,
            plan=make_plan(rate=1e6, burst=4e6),
            max_request_units=8.0,
            draw_units=lambda generator: 8.0 if generator.random() < 0.1 else 0.5,
        )
        world.run(all_others_removed)
        excess[gateways] = round(world.excess(), 1)
    assert max(excess.values()) <= 0, excess
