"""Places of the gateways at a cold server: each works them out alone; together they keep the budget."""

import random

import pytest
from helpers import GatewayHarness, actions_of, make_plan, make_server, make_settings

from calicomast import interface as api
from calicomast.slow_start import SlowStartAdmission, gateway_position, slow_start_charge

BIG = make_plan(rate=1000.0, burst=4000.0)
RULES = make_settings(
    rules=dict(
        slow_start_initial_share=0.15, slow_start_duration=18.0, overload_multiple=3.0, overload_window=1.0
    )
).rules


@pytest.mark.parametrize("gateways", [1, 2, 7, 30, 200])
def test_each_gateway_has_a_place_of_its_own_and_another_one_at_each_start(gateways):
    orders = set()
    for started in (5.0, 5.001, 9.0):
        places = [gateway_position("h1", started, index, gateways) for index in range(gateways)]
        assert sorted(places) == list(range(gateways))
        orders.add(tuple(places))
    assert len(orders) > 1 or gateways < 3


def sent_by_all(gateways, seconds, warmth=0.2, capacity=20.0, restart=None):
    """How much all gateways send in a time in which each sends whatever it may."""
    cold = make_server("h1", started_at=1.0)
    admissions = [SlowStartAdmission(cold, index, gateways, RULES) for index in range(gateways)]
    times = []
    for step in range(int(seconds * 100)):
        now = 1.0 + step / 100
        if restart is not None and step == restart:
            admissions = [SlowStartAdmission(cold, index, gateways, RULES) for index in range(gateways)]
        for admission in admissions:
            while admission.remaining(now, warmth, capacity) >= 1.0:
                admission.record_send(now, 1.0, (f"r{len(times)}", 0))
                times.append(now)
    return times


@pytest.mark.parametrize("gateways", [1, 3, 11, 200])
def test_all_together_send_the_budget_in_any_window_and_no_more(gateways):
    times = sent_by_all(gateways, 3.0)
    budget = SlowStartAdmission(make_server("h1", started_at=1.0), 0, gateways, RULES).budget(0.2, 20.0)
    assert budget == pytest.approx(0.9 * 3.0 * 0.2 * 20.0)
    most = max(sum(t <= x < t + 0.9999 for x in times) for t in times)
    assert budget - 1 < most <= budget + 1


def test_a_restart_of_all_gateways_at_once_sends_the_budget_once_more_at_most():
    times = sent_by_all(200, 0.9, restart=50)
    assert len(times) <= 2 * (0.9 * 3.0 * 0.2 * 20.0 + 1)


def test_work_is_charged_and_what_is_large_seldom_counts_as_one():
    assert slow_start_charge(0.4, 0.0) == 0.4 and slow_start_charge(1.0, 0.9) == 1.0
    generator = random.Random(1)
    for work in (2.0, 6.0):
        passed = [slow_start_charge(work, generator.random()) == 1.0 for _ in range(20_000)]
        assert sum(passed) / len(passed) == pytest.approx(1 / work**2, rel=0.15)
        assert {slow_start_charge(work, luck / 100) for luck in range(100)} == {1.0, work}


def test_a_gateway_without_a_place_sends_nothing_and_one_with_a_place_sends_once():
    sent = {}
    for index in range(40):
        conf = make_settings(
            plans=[make_plan(rate=1000.0, burst=4000.0)], gateways=40, index=index, rules=vars_of(RULES)
        )
        w = GatewayHarness(conf, [make_server("h1", started_at=1000.0)], seed=index)
        sends = [s for _ in range(5) for s in actions_of(w.send_request()[1], api.Send)]
        sent[gateway_position("h1", 1000.0, index, 40)] = len(sends)
    budget = sum(sent.values())
    assert 1 <= budget <= 0.9 * 3.0 * 0.15 * 2 / 0.2 + 1
    assert all(count == (number < budget) for number, count in sent.items())


def vars_of(rules):
    return {
        name: getattr(rules, name)
        for name in (
            "slow_start_initial_share",
            "slow_start_duration",
            "overload_multiple",
            "overload_window",
        )
    }


def test_an_attempt_that_is_written_late_has_to_get_its_place_anew():
    admission = SlowStartAdmission(make_server("h1", started_at=1.0), 0, 1, RULES)
    share = round(admission.remaining(1.0, 0.2, 20.0))
    for number in range(share):
        admission.record_send(1.0, 1.0, ("early", number))
    later = 1.0 + RULES.overload_window * 0.9
    assert admission.readmit(later, 1.0, ("early", 0), 0.2, 20.0)  # in its own place
    after = 1.0 + RULES.overload_window * 1.5
    for number in range(share - 1):
        admission.record_send(after, 1.0, ("late", number))
    assert not admission.readmit(after, 1.0, ("early", 1), 0.2, 20.0)  # the window is full
    assert admission.remaining(after, 0.2, 20.0) < 1.0
