"""Slow start: gateways compute their positions independently and together stay within the budget."""

import random

import pytest
from helpers import GatewayHarness, actions_of, make_plan, make_server, make_settings

from calicomast import interface as api
from calicomast.slow_start import SlowStartAdmission, gateway_position, slow_start_charge

LARGE_QUOTA = make_plan(rate=1000.0, burst=4000.0)
RULES = make_settings(
    rules=dict(
        slow_start_initial_share=0.15, slow_start_duration=18.0, overload_multiple=3.0, overload_window=1.0
    )
).rules


@pytest.mark.parametrize("gateways", [1, 2, 7, 30, 200])
def test_gateway_positions_are_unique_and_differ_for_each_start(gateways):
    orders = set()
    for started in (5.0, 5.001, 9.0):
        positions = [gateway_position("h1", started, index, gateways) for index in range(gateways)]
        assert sorted(positions) == list(range(gateways))
        orders.add(tuple(positions))
    assert len(orders) > 1 or gateways < 3


def send_times_of_all(gateways, seconds, weight=0.2, capacity=20.0, restart=None):
    """Returns the send times of all gateways over `seconds` when each sends as much as it may."""
    starting = make_server("h1", started_at=1.0)
    admissions = [SlowStartAdmission(starting, index, gateways, RULES) for index in range(gateways)]
    times = []
    for step in range(int(seconds * 100)):
        now = 1.0 + step / 100
        if restart is not None and step == restart:
            admissions = [SlowStartAdmission(starting, index, gateways, RULES) for index in range(gateways)]
        for admission in admissions:
            while admission.remaining(now, weight, capacity) >= 1.0:
                admission.record_send(now, 1.0, (f"r{len(times)}", 0))
                times.append(now)
    return times


@pytest.mark.parametrize("gateways", [1, 3, 11, 200])
def test_all_gateways_together_send_the_budget_in_any_window(gateways):
    times = send_times_of_all(gateways, 3.0)
    budget = SlowStartAdmission(make_server("h1", started_at=1.0), 0, gateways, RULES).budget(0.2, 20.0)
    assert budget == pytest.approx(0.9 * 3.0 * 0.2 * 20.0)
    max_sent = max(sum(start <= time < start + 0.9999 for time in times) for start in times)
    assert budget - 1 < max_sent <= budget + 1


def test_restart_of_all_gateways_sends_the_budget_at_most_twice():
    times = send_times_of_all(200, 0.9, restart=50)
    assert len(times) <= 2 * (0.9 * 3.0 * 0.2 * 20.0 + 1)


def test_charge_is_the_work_and_sometimes_one_for_large_requests():
    assert slow_start_charge(0.4, 0.0) == 0.4 and slow_start_charge(1.0, 0.9) == 1.0
    generator = random.Random(1)
    for work in (2.0, 6.0):
        charged_as_one = [slow_start_charge(work, generator.random()) == 1.0 for _ in range(20_000)]
        assert sum(charged_as_one) / len(charged_as_one) == pytest.approx(1 / work**2, rel=0.15)
        assert {slow_start_charge(work, draw / 100) for draw in range(100)} == {1.0, work}


def test_only_gateways_within_the_budget_send_and_each_sends_once():
    sends_by_position = {}
    for index in range(40):
        configuration = make_settings(
            plans=[make_plan(rate=1000.0, burst=4000.0)],
            gateways=40,
            index=index,
            rules=slow_start_rules(RULES),
        )
        harness = GatewayHarness(configuration, [make_server("h1", started_at=1000.0)], seed=index)
        sends = [send for _ in range(5) for send in actions_of(harness.send_request()[1], api.Send)]
        sends_by_position[gateway_position("h1", 1000.0, index, 40)] = len(sends)
    budget = sum(sends_by_position.values())
    assert 1 <= budget <= 0.9 * 3.0 * 0.15 * 2 / 0.2 + 1
    assert all(count == (position < budget) for position, count in sends_by_position.items())


def slow_start_rules(rules):
    """Returns the rules of slow start as keyword arguments."""
    return {
        name: getattr(rules, name)
        for name in (
            "slow_start_initial_share",
            "slow_start_duration",
            "overload_multiple",
            "overload_window",
        )
    }


def test_delayed_attempt_is_admitted_only_if_the_current_window_has_budget():
    admission = SlowStartAdmission(make_server("h1", started_at=1.0), 0, 1, RULES)
    share = round(admission.remaining(1.0, 0.2, 20.0))
    for number in range(share):
        admission.record_send(1.0, 1.0, ("early", number))
    later = 1.0 + RULES.overload_window * 0.9
    assert admission.readmit(later, 1.0, ("early", 0), 0.2, 20.0)  # replaces its own entry
    after = 1.0 + RULES.overload_window * 1.5
    for number in range(share - 1):
        admission.record_send(after, 1.0, ("late", number))
    assert not admission.readmit(after, 1.0, ("early", 1), 0.2, 20.0)  # the window is full
    assert admission.remaining(after, 0.2, 20.0) < 1.0
