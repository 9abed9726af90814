"""Quotas over gateways: leases, counter failures, debt, ceilings and limits, admission without a lease."""

import math
import random

import pytest
from helpers import PolicyHarness, actions_of, make_plan, make_server, make_settings

from calicomast import interface as api
from calicomast.quota import poisson_tail


def count_served(harness, requests, **request):
    """Sends so many requests, answers every attempt at once, and returns the number of attempts."""
    served = 0
    for _ in range(requests):
        _, actions = harness.send_request(**request)
        for send in actions_of(actions, api.Send):
            served += 1
            harness.finish_attempt(send)
    return served


def test_tenant_with_low_demand_causes_no_counter_call():
    harness = PolicyHarness()
    assert count_served(harness, 1) == 1
    assert not [action for _, action in harness.action_log if isinstance(action, api.AddToCounter)]


def test_leases_are_counted_and_the_quota_holds():
    harness = PolicyHarness()
    served = count_served(harness, 40)
    assert 8 <= served <= 16  # the burst, and the refill in the part of the window that has passed
    assert [action for _, action in harness.action_log if isinstance(action, api.AddToCounter)]
    assert max(harness.counter_totals.values()) <= 16


def test_exhausted_window_refuses_at_once_without_a_call():
    harness = PolicyHarness()
    count_served(harness, 40)
    before = len([action for _, action in harness.action_log if isinstance(action, api.AddToCounter)])
    _, actions = harness.send_request()
    assert actions_of(actions, api.Refuse) and len(actions_of(actions, api.AddToCounter)) == 0 and before


def test_no_two_bursts_are_admitted_across_a_window_change():
    harness = PolicyHarness()
    served = 0
    start = harness.now
    while harness.now < start + 12:
        served += count_served(harness, 2)
        harness.advance(0.1)
    assert served <= 8 + 2 * (harness.now - start) + 4


def test_excess_of_a_lease_is_returned_to_the_counter():
    harness = PolicyHarness()
    harness.counter_mode = "hold"
    calls, sends = [], True
    while sends:  # the last request waits for the outstanding call
        _, actions = harness.send_request()
        calls, sends = calls + actions_of(actions, api.AddToCounter), actions_of(actions, api.Send)
    call = calls[0]
    # Other gateways have used up the quota.
    actions = harness.handle(api.CounterResult(call.counter_key, "ok", 40, 0.002))
    assert [
        each
        for each in actions_of(actions, api.AddToCounter)
        if each.amount < 0 and each.counter_key == call.counter_key
    ]
    assert not actions_of(actions, api.Send) and actions_of(actions, api.Refuse)


def test_timed_out_call_grants_no_units_and_leaves_no_request_waiting():
    harness = PolicyHarness()
    harness.counter_mode = "silent"
    start = harness.now
    served = count_served(harness, 60)
    assert served <= 8 / 2 + 2 * (harness.now - start) + 4  # the even share, never a lease
    assert all(not pending.stage == "units" for pending in harness.policy.requests.values())
    assert harness.policy.tenant_quotas["c"].lease == 0


def test_calls_back_off_while_the_counter_does_not_answer():
    harness = PolicyHarness()
    harness.counter_mode = "silent"
    for _ in range(200):
        harness.send_request()
        harness.advance(0.02)
    assert len([action for _, action in harness.action_log if isinstance(action, api.AddToCounter)]) < 20


def test_counts_lost_by_the_counter_are_added_again():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=2.0, burst=20.0)]))
    count_served(harness, 12)
    counter_key = max(harness.counter_totals, key=lambda each: harness.counter_totals[each])
    added = harness.counter_totals[counter_key]
    assert added > 3
    harness.counter_totals.clear()
    count_served(harness, 3)
    assert harness.counter_totals[counter_key] >= added


def test_charge_of_a_rejected_call_stays_due():
    harness = PolicyHarness()
    harness.counter_mode = "refuse"
    served = count_served(harness, 30)
    harness.counter_mode = "answer"
    harness.advance(1.2)
    count_served(harness, 3)
    assert max(harness.counter_totals.values()) >= served


def test_ceiling_holds_at_start_and_without_counter():
    plan_with_ceiling = make_plan(
        rate=10.0, burst=20.0, ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0
    )
    for mode in ("answer", "silent", "refuse"):
        harness = PolicyHarness(make_settings(plans=[plan_with_ceiling]))
        harness.counter_mode = mode
        start, served = harness.now, 0
        while harness.now < start + 3:
            served += count_served(harness, 4)
            harness.advance(0.05)
            # Half of the ceiling's rate, since two gateways share the tenant; the ceiling starts empty.
            assert served <= 5.0 * (harness.now - start) + 1


def count_of_tenants_after_idle_time(harness, seconds):
    """Lets other tenants come for some seconds; returns how many tenants' states are kept then."""
    end, number = harness.now + seconds, 0
    while harness.now < end:
        number += 1
        for send in actions_of(harness.send_request(tenant=f"other{number}", plan="free")[1], api.Send):
            harness.finish_attempt(send)
        harness.now += 1.0
    return len(harness.policy.tenant_quotas)


def test_idle_tenant_does_not_return_to_a_full_ceiling():
    # Guards against a ceiling that is full again for a tenant that was idle, though it refills more slowly.
    slow = make_plan("slow", rate=10.0, burst=100.0, ceiling_rate=0.5, ceiling_burst=100.0)
    free = make_plan("free", rate=10.0, burst=10.0)
    harness = PolicyHarness(make_settings(plans=[slow, free], gateways=1))
    harness.now += 400.0  # the ceiling starts empty, and is full now
    served = count_served(harness, 150, plan="slow", spread=1)
    assert 95 <= served <= 100
    assert count_of_tenants_after_idle_time(harness, 60.0) < 50
    served = count_served(harness, 150, plan="slow", spread=1)
    assert served <= 0.5 * 62
    count_of_tenants_after_idle_time(harness, 300.0)
    assert "c" not in harness.policy.tenant_quotas


def test_idle_tenant_in_debt_is_kept_until_the_debt_is_paid():
    # Guards against an overdraft that is forgotten by a tenant's idle time, as its ceiling was.
    free = make_plan("free", rate=10.0, burst=10.0)
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=0.1, burst=1.0), free], gateways=1))
    harness.send_request(spread=1)
    tenant = harness.policy.tenant_quotas["c"]
    tenant.total = 10.0  # nine units over the quota, which take more than three windows to refill
    count_of_tenants_after_idle_time(harness, 60.0)
    assert harness.policy.tenant_quotas.get("c") is tenant
    count_of_tenants_after_idle_time(harness, 120.0)
    assert "c" not in harness.policy.tenant_quotas


def test_concurrency_limit_holds_over_gateways():
    limited = make_plan(rate=50.0, burst=100.0, concurrency_limit=2)
    first = PolicyHarness(make_settings(plans=[limited]))
    second = PolicyHarness(make_settings(plans=[limited], index=1), seed=2)
    second.counter_totals = first.counter_totals
    sends = []
    for _ in range(3):
        for harness in (first, second):
            sends += [(harness, send) for send in actions_of(harness.send_request()[1], api.Send)]
    assert len(sends) == 2
    harness, send = sends[0]
    harness.finish_attempt(send)
    assert len(actions_of(harness.send_request()[1], api.Send)) == 1


@pytest.mark.parametrize("limit", [1, 64, 65, 171, 172, 10_000, 1_000_000])
@pytest.mark.parametrize("own_slots", [False, True])
def test_any_concurrency_limit_admits_requests(limit, own_slots):
    # Guards against an OverflowError for each request of a plan with a concurrency limit of 172 or more.
    plan = make_plan(rate=50.0, burst=100.0, concurrency_limit=limit)
    spread = 1 if own_slots else 2 * limit  # with more gateways than slots, none has a slot of its own
    harness = PolicyHarness(make_settings(plans=[plan], gateways=spread))
    assert len(actions_of(harness.send_request(spread=spread)[1], api.Send)) == 1


@pytest.mark.parametrize("count", [0, 1, 5, 64, 65, 171, 172, 1000])
def test_poisson_tail_is_close_to_the_exact_sum(count):
    for deviations in (-4.0, -1.0, 0.0, 1.0, 4.0):
        mean = max(0.01, count + deviations * math.sqrt(count))
        terms = (math.exp(n * math.log(mean) - mean - math.lgamma(n + 1)) for n in range(count))
        assert poisson_tail(count, mean) == pytest.approx(1 - math.fsum(terms), abs=0.001)
    assert poisson_tail(count, 0.0) == pytest.approx(float(count == 0), abs=0.001)
    assert poisson_tail(count, 1e12) == pytest.approx(1.0)


def test_over_quota_requests_are_admitted_only_if_the_plan_earns_by_it():
    harness = PolicyHarness(make_settings(plans=[make_plan(over_quota_value=0.3, over_quota_cost=0.0)]))
    assert count_served(harness, 40) == 40
    harness = PolicyHarness(make_settings(plans=[make_plan(over_quota_value=0.3, over_quota_cost=0.5)]))
    assert count_served(harness, 40) < 40


def test_even_share_is_admitted_if_there_is_no_counter():
    harness = PolicyHarness(make_settings(counter_enabled=False))
    served = count_served(harness, 40)
    assert 4 <= served <= 8 and not [
        action for _, action in harness.action_log if isinstance(action, api.AddToCounter)
    ]


def test_plan_without_a_rate_needs_only_concurrency_slots():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=0.0, burst=0.0, concurrency_limit=3)]))
    assert count_served(harness, 30) == 30


def test_actual_units_of_a_request_are_charged():
    harness = PolicyHarness(make_settings(settles_actual_units=True))
    _, actions = harness.send_request()
    send = actions_of(actions, api.Send)[0]
    harness.finish_attempt(send, actual_units=6)
    assert count_served(harness, 40) < 11


def test_idle_tenant_accumulates_at_most_one_burst():
    harness = PolicyHarness()
    window_length = 4.0
    harness.send_request()
    window_start = harness.policy.tenant_quotas["c"].window_start
    harness.now = window_start + 2 * window_length - 0.5  # late in a window without any use
    served = count_served(harness, 60)
    assert served <= 8 + 4 + 1  # the burst, and what the local allowance admits without a charge


def test_overdraft_is_carried_into_the_next_window_once():
    first, second = PolicyHarness(make_settings(plans=[make_plan(burst=40.0, rate=10.0)])), None
    second = PolicyHarness(make_settings(plans=[make_plan(burst=40.0, rate=10.0)], index=1), seed=2)
    second.counter_totals = first.counter_totals
    start = 0.0
    for window in range(6):
        for harness in (first, second):
            harness.now = max(first.now, second.now)
            count_served(harness, 60)
        start = first.policy.tenant_quotas["c"].window_start
        first.now = second.now = start + 4.0 + 0.001
        assert max(first.counter_totals.values()) <= 40 + 10 * 4 + 3, window  # no debt beyond what was used


def test_even_share_of_the_concurrency_limit_needs_no_call():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=50.0, burst=100.0, concurrency_limit=4)]))
    actions = harness.send_request()[1] + harness.send_request()[1]
    assert len(actions_of(actions, api.Send)) == 2 and not actions_of(actions, api.AddToCounter)
    assert not actions_of(harness.send_request()[1], api.Send)


def test_small_burst_over_many_gateways_admits_low_demand_and_bounds_high_demand():
    harness = PolicyHarness(make_settings(gateways=10, plans=[make_plan(rate=0.8, burst=3.0)]))
    for number in range(20):
        _, actions = harness.send_request(tenant=f"c{number}", spread=8)
        assert actions_of(actions, api.Send)
        # The second call writes off units above the burst.
        assert len(actions_of(actions, api.AddToCounter)) <= 2
        harness.finish_attempt(actions_of(actions, api.Send)[0])
    assert count_served(harness, 30, tenant="c0", spread=8) <= 6


def test_remainder_of_a_quota_is_reserved_for_the_most_valuable_class():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=0.5, burst=40.0)]))
    low = count_served(harness, 100, service_class="read")
    high = count_served(harness, 100, service_class="write")
    assert high >= 5  # without the reserve nothing would be left
    assert low >= 25


def test_leasing_resumes_within_two_seconds_after_the_counter_answers_again():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=20.0, burst=80.0)]))
    harness.counter_mode = "silent"
    for _ in range(80):
        for send in actions_of(harness.send_request()[1], api.Send):
            harness.finish_attempt(send)
        harness.advance(0.02)
    harness.counter_mode, start = "answer", harness.now
    while harness.now < start + 2:
        for send in actions_of(harness.send_request()[1], api.Send):
            harness.finish_attempt(send)
        harness.advance(0.04)
    assert harness.policy.counter.failures == 0
    assert [
        action for at, action in harness.action_log if isinstance(action, api.AddToCounter) and at > start
    ]


def test_remainder_of_the_concurrency_limit_is_shared_by_a_count():
    both = [
        make_settings(index=index, plans=[make_plan(rate=50.0, burst=100.0, concurrency_limit=3)])
        for index in (0, 1)
    ]
    first, second = PolicyHarness(both[0]), PolicyHarness(both[1], seed=2)
    second.counter_totals = first.counter_totals
    assert (
        sum(
            len(actions_of(harness.send_request()[1], api.Send))
            for _ in range(3)
            for harness in (first, second)
        )
        == 3
    )


def test_requests_waiting_for_a_timed_out_call_get_only_the_local_allowance():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=0.5, burst=8.0)]))
    harness.counter_mode = "hold"
    calls, sent = [], 0
    for _ in range(12):
        actions = harness.send_request()[1]
        calls, sent = calls + actions_of(actions, api.AddToCounter), sent + len(actions_of(actions, api.Send))
    actions = harness.handle(api.CounterResult(calls[0].counter_key, "timeout", 0, 0.05))
    assert harness.policy.tenant_quotas["c"].lease == 0 and sent + len(actions_of(actions, api.Send)) <= 5
    assert len(actions_of(actions, api.Refuse)) >= 3


def test_overdraft_after_an_idle_time_is_taken_from_the_next_window():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=2.0, burst=40.0)]))
    harness.send_request()
    harness.now = harness.policy.tenant_quotas["c"].window_start + 2 * 20.0 - 0.5
    served, start = count_served(harness, 120), harness.now
    assert served <= 80
    harness.now += 1.0
    served += count_served(harness, 120)
    assert served <= 80 + 2 * (harness.now - start) + 4


def test_gateways_without_an_answering_counter_admit_at_most_about_two_bursts():
    for gateways in (1, 3, 200):
        served = 0
        for index in range(gateways):
            harness = PolicyHarness(
                make_settings(plans=[make_plan(rate=2.0, burst=8.0)], gateways=gateways, index=index),
                seed=index,
            )
            harness.counter_mode = "silent"
            served += count_served(harness, 3 if gateways > 10 else 40, spread=gateways)
        assert served <= 2.5 * 8, gateways  # the requests may fall into two windows


def test_granted_rate_of_a_plan_is_admitted_while_the_counter_does_not_answer():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=2.0, burst=8.0)], gateways=100))
    before = 0
    for number in range(200):
        before += count_served(harness, 1, tenant=f"b{number}", spread=60)
        harness.now += 0.1
    harness.counter_mode, during = "silent", 0
    for number in range(200):
        during += count_served(harness, 1, tenant=f"d{number}", spread=60)
        harness.now += 0.1
    assert before > 150 and 40 < during <= before + 20


def test_tenants_seen_once_are_dropped_while_another_request_is_open():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=1000.0, burst=4000.0)]))
    busy = harness.send_request("busy", remaining_time=1000.0)[1]
    for number in range(2000):
        for send in actions_of(harness.send_request(f"c{number}")[1], api.Send):
            harness.finish_attempt(send)
        harness.now += 0.1
    assert len(harness.policy.tenant_quotas) < 350 and busy


def test_malformed_response_of_the_counter_does_not_stop_the_next_call():
    for result, elapsed, calls_again in (
        ("spoilt", 0.002, True),
        ("timeout", 0.002, True),
        ("timeout", 0.05, False),
    ):
        harness = PolicyHarness(make_settings(plans=[make_plan(rate=2.0, burst=8.0)]))
        harness.counter_mode = "hold"
        calls = []
        while not calls:
            calls = actions_of(harness.send_request()[1], api.AddToCounter)
        harness.handle(api.CounterResult(calls[0].counter_key, result, 0.0, elapsed))
        assert (
            bool(
                [
                    call
                    for number in range(8)
                    for call in actions_of(harness.send_request(f"c{number % 2}")[1], api.AddToCounter)
                ]
            )
            == calls_again
        )


def test_units_added_by_a_call_with_a_malformed_response_are_not_lost():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=0.001, burst=40.0)]))
    counts, calls = harness.counter_totals, 0
    harness.counter_mode = "hold"
    sent = refused = 0
    for _ in range(60):
        actions = harness.send_request()[1]
        while actions:
            sent += len(actions_of(actions, api.Send))
            refused += len(actions_of(actions, api.Refuse))
            later = [
                action for send in actions_of(actions, api.Send) for action in harness.finish_attempt(send)
            ]
            for call in actions_of(actions, api.AddToCounter):
                calls += 1
                counts[call.counter_key] = counts.get(call.counter_key, 0) + call.amount
                answer = ("spoilt", 0.0) if calls % 3 else ("ok", counts[call.counter_key])
                later += harness.handle(api.CounterResult(call.counter_key, *answer, 0.002))
            actions = later
    assert calls > 6 and 36 <= sent <= 46 and sent + refused == 60
    assert max(counts.values()) <= 48


def test_units_are_added_again_once_when_the_counter_lost_its_counts():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=0.001, burst=100.0)]))
    while len([action for _, action in harness.action_log if isinstance(action, api.AddToCounter)]) < 6:
        count_served(harness, 1)
    (counter_key,), before = harness.counter_totals, max(harness.counter_totals.values())
    harness.counter_totals.clear()
    logged = len(harness.action_log)
    count_served(harness, 12)
    amounts = [
        action.amount for _, action in harness.action_log[logged:] if isinstance(action, api.AddToCounter)
    ]
    # The units were added again once, not with each call.
    assert len(amounts) > 4 and harness.counter_totals[counter_key] <= before + 14


def next_units_call(harness):
    """Sends requests until one of them causes a call for units, and returns this call."""
    for _ in range(200):
        harness.now += 0.01
        calls = [call for call in actions_of(harness.send_request()[1], api.AddToCounter) if call.amount > 0]
        if calls:
            return calls[0]
    raise AssertionError("no call")


def test_overdraft_is_added_although_the_first_response_is_lost():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=20.0, burst=80.0)]))
    harness.counter_mode = "hold"
    call = next_units_call(harness)
    harness.policy.tenant_quotas["c"].debt = 5.0
    # The connection broke: the amount may have been added.
    harness.handle(api.CounterResult(call.counter_key, "timeout", 0.0, 0.002))
    second = next_units_call(harness)
    actions = harness.handle(api.CounterResult(call.counter_key, "ok", call.amount + second.amount, 0.002))
    assert [call.amount for call in actions_of(actions, api.AddToCounter) if call.amount >= 5]


def test_rejected_correction_is_not_taken_for_a_lost_count():
    harness = PolicyHarness(make_settings(plans=[make_plan(rate=20.0, burst=80.0)]))
    harness.counter_mode = "hold"
    call = next_units_call(harness)
    harness.policy.tenant_quotas["c"].debt = 5.0
    assert actions_of(
        harness.handle(api.CounterResult(call.counter_key, "ok", call.amount, 0.002)), api.AddToCounter
    )
    # The call that adds the overdraft.
    harness.handle(api.CounterResult(call.counter_key, "full", 0.0, 0.002))
    second = next_units_call(harness)
    actions = harness.handle(api.CounterResult(call.counter_key, "ok", call.amount + second.amount, 0.002))
    assert sum(correction.amount for correction in actions_of(actions, api.AddToCounter)) < call.amount


def harness_with_rejecting_counter(mode="refuse"):
    """One of 40 gateways; its counter rejects all calls unless `mode` says otherwise."""
    harness = PolicyHarness(
        make_settings(plans=[make_plan(rate=0.5, burst=2.0)], gateways=40),
        [make_server(f"h{n}") for n in range(60)],
    )
    harness.counter_mode = mode
    return harness


def count_admitted(harness, tenant="c"):
    """Sends a request of a tenant with 30 gateways and returns the number of attempts, which are answered."""
    sends = actions_of(harness.send_request(tenant=tenant, spread=30)[1], api.Send)
    for send in sends:
        harness.finish_attempt(send)
    return len(sends)


def test_rarely_seen_tenants_are_admitted_without_a_lease_while_the_counter_rejects_calls():
    harness = harness_with_rejecting_counter()
    assert sum(count_admitted(harness, f"c{number}") for number in range(60)) == 60


def test_tenant_far_over_its_rate_is_not_admitted_without_a_lease():
    frequent, rare = harness_with_rejecting_counter(), harness_with_rejecting_counter()
    admitted = 0
    for _ in range(40):
        admitted += count_admitted(rare)
        rare.now += 60.0  # one request per minute is the tenant's even share of its rate
        frequent.now += 1.0
        last = count_admitted(frequent)
    assert admitted > 30 and not last


def test_grants_at_a_demand_level_decide_admission_without_a_lease_there():
    harness = harness_with_rejecting_counter("hold")
    for number in range(30):  # exhausted counts of tenants that have little demand at this gateway
        for call in actions_of(harness.send_request(tenant=f"c{number}", spread=30)[1], api.AddToCounter):
            harness.handle(api.CounterResult(call.counter_key, "ok", 50.0, 0.002))
    harness.counter_mode = "refuse"
    assert not any(count_admitted(harness, f"d{number}") for number in range(10))


def test_rejected_call_is_not_repeated_for_the_same_request():
    _, actions = harness_with_rejecting_counter().send_request(spread=30)
    assert len(actions_of(actions, api.AddToCounter)) == 1


def test_tenant_just_within_its_rate_is_rarely_refused_with_many_gateways():
    rng, counts = random.Random(5), {}
    harnesses = [
        PolicyHarness(
            make_settings(gateways=20, plans=[make_plan(rate=4.0, burst=8.0)], index=index), seed=index
        )
        for index in range(20)
    ]
    served = 0
    for harness in harnesses:
        harness.counter_totals = counts
    for number in range(200):
        harness = rng.choice(harnesses)
        harness.now = 1000.0 + number / 3.6
        served += count_served(harness, 1, spread=20)
    assert served >= 196


def harness_with_low_rate_tenants(**changes):
    """One of 20 gateways; a tenant's even share of the burst is less than a unit."""
    return PolicyHarness(make_settings(gateways=20, limits={"max_retry_after": 60.0}, **changes))


@pytest.mark.parametrize("share, least, most", [(0.99, 0.95, 1.0), (0.6, 0.02, 0.5)])
def test_loss_by_admission_without_a_lease_is_bounded(share, least, most):
    """The counter rejects all calls, after it granted the part `share` of the units at every demand level."""
    harness = harness_with_low_rate_tenants(plans=[make_plan(over_quota_cost=1.0)])
    harness.counter_mode = "refuse"
    for statistics in harness.policy.grant_statistics.values():
        statistics.granted_share, statistics.observations = share, 50
    admitted = sent = 0
    for number in range(600):
        sent += 1
        for send in actions_of(harness.send_request(tenant=f"c{number}", spread=20)[1], api.Send):
            admitted += 1
            harness.finish_attempt(send)
        harness.advance(0.02)
    assert least <= admitted / sent <= most


def test_class_without_value_is_admitted():
    without_value = api.ServiceClass("read", 1.0, 3.0, "safe", "all", 5.0, 0.0, 0.0, False, 0.0)
    harness = harness_with_low_rate_tenants(classes={"read": without_value})
    assert [
        action
        for number in range(30)
        for action in harness.send_request(tenant=f"c{number}", spread=20)[1]
        if isinstance(action, api.Send)
    ]
