"""A server in slow start is not overloaded by all gateways together.

Gateways cannot see what the others send, so limits that each keeps by itself can add up to more than the
server can take, above all after an idle period, the loss of other servers or a restart of gateways.
"""

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


def burst_after_idle_period(now):
    """Returns the load, relative to the usual one, at a virtual time in seconds."""
    if now <= STARTED_AT + 1.0:
        return 1.0
    return 8.0 if now >= FAILURE_AT else 0.0


@pytest.mark.parametrize(
    "load", [lambda now: 1.0, burst_after_idle_period], ids=["steady", "burst after idle"]
)
@pytest.mark.parametrize("gateways", [3, 20, 30, 230])
def test_all_gateways_together_do_not_overload_a_server_in_slow_start(gateways, load):
    experiment = SlowStartExperiment(gateways, seed=gateways, load=load)
    experiment.run(no_failure)
    assert experiment.excess() <= 0
    assert experiment.slow_start_attempts()  # the server gets requests at all


def test_losing_the_other_servers_does_not_overload_a_server_in_slow_start():
    excess = {}
    for gateways in (20, 30, 230):
        for failure in (all_others_removed, most_others_removed):
            experiment = SlowStartExperiment(gateways, seed=gateways)
            experiment.run(failure)
            excess[gateways, failure.__name__] = round(experiment.excess(), 1)
    assert max(excess.values()) <= 0, excess


def test_restarted_gateways_do_not_overload_a_server_in_slow_start():
    excess = {}
    for gateways in (20, 30, 230):
        experiment = SlowStartExperiment(gateways, seed=gateways)
        experiment.run(gateways_restarted)
        excess[gateways] = round(experiment.excess(), 1)
    assert max(excess.values()) <= 0, excess


def test_slow_start_limit_is_measured_in_work():
    excess = {}
    for gateways in (20, 230):
        experiment = SlowStartExperiment(
            gateways,
            seed=1,
            plan=make_plan(rate=1e6, burst=4e6),
            max_request_units=8.0,
            draw_units=lambda generator: 8.0 if generator.random() < 0.1 else 0.5,
        )
        experiment.run(all_others_removed)
        excess[gateways] = round(experiment.excess(), 1)
    assert max(excess.values()) <= 0, excess
