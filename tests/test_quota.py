"""Quotas over gateways: leases, counter failures, debt, ceilings, open limits, admission without a lease."""

import random

import pytest
from helpers import World, host, of, plan, settings

from calicomast import interface as api


def count_served(world, requests, **request):
    """Asks so many times, answers every attempt at once, and returns the number of attempts."""
    served = 0
    for _ in range(requests):
        _, actions = world.ask(**request)
        for send in of(actions, api.Send):
            served += 1
            world.end(send)
    return served


def test_tenant_with_low_demand_causes_no_counter_call():
    world = World()
    assert count_served(world, 1) == 1
    assert not [action for _, action in world.log if isinstance(action, api.Count)]


def test_leases_are_counted_and_the_quota_holds():
    world = World()
    served = count_served(world, 40)
    assert 8 <= served <= 16  # the burst, and the refill in the part of the window that has passed
    assert [action for _, action in world.log if isinstance(action, api.Count)]
    assert max(world.counts.values()) <= 16


def test_exhausted_window_refuses_at_once_without_a_call():
    world = World()
    count_served(world, 40)
    before = len([action for _, action in world.log if isinstance(action, api.Count)])
    _, actions = world.ask()
    assert of(actions, api.Refuse) and len(of(actions, api.Count)) == 0 and before


def test_no_two_bursts_are_admitted_across_a_window_change():
    world = World()
    served = 0
    start = world.now
    while world.now < start + 12:
        served += count_served(world, 2)
        world.wait(0.1)
    assert served <= 8 + 2 * (world.now - start) + 4


def test_excess_of_a_lease_is_returned_to_the_counter():
    world = World()
    world.mode = "hold"
    calls, sends = [], True
    while sends:  # the last request waits for the outstanding call
        _, actions = world.ask()
        calls, sends = calls + of(actions, api.Count), of(actions, api.Send)
    call = calls[0]
    actions = world.do(api.Counted(call.name, "ok", 40, 0.002))  # other gateways used up the quota
    assert [each for each in of(actions, api.Count) if each.amount < 0 and each.name == call.name]
    assert not of(actions, api.Send) and of(actions, api.Refuse)


def test_timed_out_call_grants_no_units_and_leaves_no_request_waiting():
    world = World()
    world.mode = "silent"
    start = world.now
    served = count_served(world, 60)
    assert served <= 8 / 2 + 2 * (world.now - start) + 4  # the even share, never a lease
    assert all(not pending.stage == "units" for pending in world.gw.requests.values())
    assert world.gw.tenant_quotas["c"].lease == 0


def test_calls_back_off_while_the_counter_does_not_answer():
    world = World()
    world.mode = "silent"
    for _ in range(200):
        world.ask()
        world.wait(0.02)
    assert len([action for _, action in world.log if isinstance(action, api.Count)]) < 20


def test_counts_lost_by_the_counter_are_added_again():
    world = World(settings(plans=[plan(rate=2.0, burst=20.0)]))
    count_served(world, 12)
    name = max(world.counts, key=lambda each: world.counts[each])
    added = world.counts[name]
    assert added > 3
    world.counts.clear()
    count_served(world, 3)
    assert world.counts[name] >= added


def test_charge_of_a_rejected_call_stays_due():
    world = World()
    world.mode = "refuse"
    served = count_served(world, 30)
    world.mode = "answer"
    world.wait(1.2)
    count_served(world, 3)
    assert max(world.counts.values()) >= served


def test_ceiling_holds_at_start_and_without_counter():
    plan_with_ceiling = plan(rate=10.0, burst=20.0, ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0)
    for mode in ("answer", "silent", "refuse"):
        world = World(settings(plans=[plan_with_ceiling]))
        world.mode = mode
        start, served = world.now, 0
        while world.now < start + 3:
            served += count_served(world, 4)
            world.wait(0.05)
            # Half of the ceiling's rate, since two gateways share the tenant; the ceiling starts empty.
            assert served <= 5.0 * (world.now - start) + 1


def test_open_limit_holds_over_gateways():
    limited = plan(rate=50.0, burst=100.0, open_limit=2)
    first = World(settings(plans=[limited]))
    second = World(settings(plans=[limited], index=1), seed=2)
    second.counts = first.counts
    sends = []
    for _ in range(3):
        for world in (first, second):
            sends += [(world, send) for send in of(world.ask()[1], api.Send)]
    assert len(sends) == 2
    world, send = sends[0]
    world.end(send)
    assert len(of(world.ask()[1], api.Send)) == 1


def test_over_quota_requests_are_admitted_only_if_the_plan_earns_by_it():
    world = World(settings(plans=[plan(over_worth=0.3, over_cost=0.0)]))
    assert count_served(world, 40) == 40
    world = World(settings(plans=[plan(over_worth=0.3, over_cost=0.5)]))
    assert count_served(world, 40) < 40


def test_even_share_is_admitted_if_there_is_no_counter():
    world = World(settings(counter=False))
    served = count_served(world, 40)
    assert 4 <= served <= 8 and not [action for _, action in world.log if isinstance(action, api.Count)]


def test_plan_without_a_rate_needs_only_open_slots():
    world = World(settings(plans=[plan(rate=0.0, burst=0.0, open_limit=3)]))
    assert count_served(world, 30) == 30


def test_actual_units_of_a_request_are_charged():
    world = World(settings(settles=True))
    _, actions = world.ask()
    send = of(actions, api.Send)[0]
    world.end(send, actual=6)
    assert count_served(world, 40) < 11


def test_idle_tenant_saves_up_at_most_one_burst():
    world = World()
    window_length = 4.0
    world.ask()
    window_start = world.gw.tenant_quotas["c"].window_start
    world.now = window_start + 2 * window_length - 0.5  # late in a window without any use
    served = count_served(world, 60)
    assert served <= 8 + 4 + 1  # the burst, and what the local allowance admits without a charge


def test_overdraft_is_carried_into_the_next_window_once():
    first, second = World(settings(plans=[plan(burst=40.0, rate=10.0)])), None
    second = World(settings(plans=[plan(burst=40.0, rate=10.0)], index=1), seed=2)
    second.counts = first.counts
    start = 0.0
    for window in range(6):
        for world in (first, second):
            world.now = max(first.now, second.now)
            count_served(world, 60)
        start = first.gw.tenant_quotas["c"].window_start
        first.now = second.now = start + 4.0 + 0.001
        assert max(first.counts.values()) <= 40 + 10 * 4 + 3, window  # no debt beyond what was used


def test_even_share_of_the_open_limit_needs_no_call():
    world = World(settings(plans=[plan(rate=50.0, burst=100.0, open_limit=4)]))
    actions = world.ask()[1] + world.ask()[1]
    assert len(of(actions, api.Send)) == 2 and not of(actions, api.Count)
    assert not of(world.ask()[1], api.Send)


def test_small_burst_over_many_gateways_admits_low_demand_and_bounds_high_demand():
    world = World(settings(gateways=10, plans=[plan(rate=0.8, burst=3.0)]))
    for number in range(20):
        _, actions = world.ask(customer=f"c{number}", spread=8)
        assert of(actions, api.Send)
        assert len(of(actions, api.Count)) <= 2  # the second one writes off units above the burst
        world.end(of(actions, api.Send)[0])
    assert count_served(world, 30, customer="c0", spread=8) <= 6


def test_end_of_a_quota_is_reserved_for_the_most_valuable_class():
    world = World(settings(plans=[plan(rate=0.5, burst=40.0)]))
    low = count_served(world, 100, cls="read")
    high = count_served(world, 100, cls="write")
    assert high >= 5  # without the reserve nothing would be left
    assert low >= 25


def test_leasing_resumes_within_two_seconds_after_the_counter_answers_again():
    world = World(settings(plans=[plan(rate=20.0, burst=80.0)]))
    world.mode = "silent"
    for _ in range(80):
        for send in of(world.ask()[1], api.Send):
            world.end(send)
        world.wait(0.02)
    world.mode, start = "answer", world.now
    while world.now < start + 2:
        for send in of(world.ask()[1], api.Send):
            world.end(send)
        world.wait(0.04)
    assert world.gw.counter.failures == 0
    assert [action for at, action in world.log if isinstance(action, api.Count) and at > start]


def test_remainder_of_the_open_limit_is_shared_by_a_count():
    both = [settings(index=index, plans=[plan(rate=50.0, burst=100.0, open_limit=3)]) for index in (0, 1)]
    first, second = World(both[0]), World(both[1], seed=2)
    second.counts = first.counts
    assert sum(len(of(world.ask()[1], api.Send)) for _ in range(3) for world in (first, second)) == 3


def test_requests_waiting_for_a_timed_out_call_get_only_the_local_allowance():
    world = World(settings(plans=[plan(rate=0.5, burst=8.0)]))
    world.mode = "hold"
    calls, sent = [], 0
    for _ in range(12):
        actions = world.ask()[1]
        calls, sent = calls + of(actions, api.Count), sent + len(of(actions, api.Send))
    actions = world.do(api.Counted(calls[0].name, "timeout", 0, 0.05))
    assert world.gw.tenant_quotas["c"].lease == 0 and sent + len(of(actions, api.Send)) <= 5
    assert len(of(actions, api.Refuse)) >= 3


def test_overdraft_after_an_idle_time_is_taken_from_the_next_window():
    world = World(settings(plans=[plan(rate=2.0, burst=40.0)]))
    world.ask()
    world.now = world.gw.tenant_quotas["c"].window_start + 2 * 20.0 - 0.5
    served, start = count_served(world, 120), world.now
    assert served <= 80
    world.now += 1.0
    served += count_served(world, 120)
    assert served <= 80 + 2 * (world.now - start) + 4


def test_gateways_without_an_answering_counter_admit_at_most_about_two_bursts():
    for gateways in (1, 3, 200):
        served = 0
        for index in range(gateways):
            world = World(
                settings(plans=[plan(rate=2.0, burst=8.0)], gateways=gateways, index=index), seed=index
            )
            world.mode = "silent"
            served += count_served(world, 3 if gateways > 10 else 40, spread=gateways)
        assert served <= 2.5 * 8, gateways  # the requests may fall into two windows


def test_granted_rate_of_a_plan_is_admitted_while_the_counter_does_not_answer():
    world = World(settings(plans=[plan(rate=2.0, burst=8.0)], gateways=100))
    before = 0
    for number in range(200):
        before += count_served(world, 1, customer=f"b{number}", spread=60)
        world.now += 0.1
    world.mode, during = "silent", 0
    for number in range(200):
        during += count_served(world, 1, customer=f"d{number}", spread=60)
        world.now += 0.1
    assert before > 150 and 40 < during <= before + 20


def test_tenants_seen_once_are_dropped_while_another_request_is_open():
    world = World(settings(plans=[plan(rate=1000.0, burst=4000.0)]))
    busy = world.ask("busy", left=1000.0)[1]
    for number in range(2000):
        for send in of(world.ask(f"c{number}")[1], api.Send):
            world.end(send)
        world.now += 0.1
    assert len(world.gw.tenant_quotas) < 350 and busy


def test_malformed_response_of_the_counter_does_not_stop_the_next_call():
    for result, elapsed, calls_again in (
        ("spoilt", 0.002, True),
        ("timeout", 0.002, True),
        ("timeout", 0.05, False),
    ):
        world = World(settings(plans=[plan(rate=2.0, burst=8.0)]))
        world.mode = "hold"
        calls = []
        while not calls:
            calls = of(world.ask()[1], api.Count)
        world.do(api.Counted(calls[0].name, result, 0.0, elapsed))
        assert (
            bool([call for number in range(8) for call in of(world.ask(f"c{number % 2}")[1], api.Count)])
            == calls_again
        )


def test_units_added_by_a_call_with_a_malformed_response_are_not_lost():
    world = World(settings(plans=[plan(rate=0.001, burst=40.0)]))
    counts, calls = world.counts, 0
    world.mode = "hold"
    sent = refused = 0
    for _ in range(60):
        actions = world.ask()[1]
        while actions:
            sent += len(of(actions, api.Send))
            refused += len(of(actions, api.Refuse))
            later = [action for send in of(actions, api.Send) for action in world.end(send)]
            for call in of(actions, api.Count):
                calls += 1
                counts[call.name] = counts.get(call.name, 0) + call.amount
                answer = ("spoilt", 0.0) if calls % 3 else ("ok", counts[call.name])
                later += world.do(api.Counted(call.name, *answer, 0.002))
            actions = later
    assert calls > 6 and 36 <= sent <= 46 and sent + refused == 60
    assert max(counts.values()) <= 48


def test_units_are_added_again_once_when_the_counter_lost_its_counts():
    world = World(settings(plans=[plan(rate=0.001, burst=100.0)]))
    while len([action for _, action in world.log if isinstance(action, api.Count)]) < 6:
        count_served(world, 1)
    (name,), before = world.counts, max(world.counts.values())
    world.counts.clear()
    logged = len(world.log)
    count_served(world, 12)
    amounts = [action.amount for _, action in world.log[logged:] if isinstance(action, api.Count)]
    assert len(amounts) > 4 and world.counts[name] <= before + 14  # added again once, not with each call


def next_units_call(world):
    """Sends requests until one of them causes a call for units, and returns this call."""
    for _ in range(200):
        world.now += 0.01
        calls = [call for call in of(world.ask()[1], api.Count) if call.amount > 0]
        if calls:
            return calls[0]
    raise AssertionError("no call")


def test_overdraft_is_added_although_the_first_response_is_lost():
    world = World(settings(plans=[plan(rate=20.0, burst=80.0)]))
    world.mode = "hold"
    call = next_units_call(world)
    world.gw.tenant_quotas["c"].debt = 5.0
    world.do(api.Counted(call.name, "timeout", 0.0, 0.002))  # the connection broke: it may have been added
    second = next_units_call(world)
    actions = world.do(api.Counted(call.name, "ok", call.amount + second.amount, 0.002))
    assert [call.amount for call in of(actions, api.Count) if call.amount >= 5]


def test_rejected_correction_is_not_taken_for_a_lost_count():
    world = World(settings(plans=[plan(rate=20.0, burst=80.0)]))
    world.mode = "hold"
    call = next_units_call(world)
    world.gw.tenant_quotas["c"].debt = 5.0
    assert of(world.do(api.Counted(call.name, "ok", call.amount, 0.002)), api.Count)
    world.do(api.Counted(call.name, "full", 0.0, 0.002))  # the call that adds the overdraft
    second = next_units_call(world)
    actions = world.do(api.Counted(call.name, "ok", call.amount + second.amount, 0.002))
    assert sum(correction.amount for correction in of(actions, api.Count)) < call.amount


def world_with_rejecting_counter(mode="refuse"):
    """One of 40 gateways; its counter rejects all calls unless `mode` says otherwise."""
    world = World(
        settings(plans=[plan(rate=0.5, burst=2.0)], gateways=40), [host(f"h{n}") for n in range(60)]
    )
    world.mode = mode
    return world


def count_admitted(world, customer="c"):
    """Sends a request of a tenant with 30 gateways and returns the number of attempts, which are answered."""
    sends = of(world.ask(customer=customer, spread=30)[1], api.Send)
    for send in sends:
        world.end(send)
    return len(sends)


def test_rarely_seen_tenants_are_admitted_without_a_lease_while_the_counter_rejects_calls():
    world = world_with_rejecting_counter()
    assert sum(count_admitted(world, f"c{number}") for number in range(60)) == 60


def test_tenant_far_over_its_rate_is_not_admitted_without_a_lease():
    frequent, rare = world_with_rejecting_counter(), world_with_rejecting_counter()
    admitted = 0
    for _ in range(40):
        admitted += count_admitted(rare)
        rare.now += 60.0  # one request per minute is the tenant's even share of its rate
        frequent.now += 1.0
        last = count_admitted(frequent)
    assert admitted > 30 and not last


def test_grants_at_a_demand_level_decide_admission_without_a_lease_there():
    world = world_with_rejecting_counter("hold")
    for number in range(30):  # exhausted counts of tenants that have little demand at this gateway
        for call in of(world.ask(customer=f"c{number}", spread=30)[1], api.Count):
            world.do(api.Counted(call.name, "ok", 50.0, 0.002))
    world.mode = "refuse"
    assert not any(count_admitted(world, f"d{number}") for number in range(10))


def test_rejected_call_is_not_repeated_for_the_same_request():
    _, actions = world_with_rejecting_counter().ask(spread=30)
    assert len(of(actions, api.Count)) == 1


def test_tenant_just_within_its_rate_is_rarely_refused_with_many_gateways():
    rng, counts = random.Random(5), {}
    worlds = [
        World(settings(gateways=20, plans=[plan(rate=4.0, burst=8.0)], index=index), seed=index)
        for index in range(20)
    ]
    served = 0
    for world in worlds:
        world.counts = counts
    for number in range(200):
        world = rng.choice(worlds)
        world.now = 1000.0 + number / 3.6
        served += count_served(world, 1, spread=20)
    assert served >= 196


def world_with_low_rate_tenants(**changes):
    """One of 20 gateways; a tenant's even share of the burst is less than a unit."""
    return World(settings(gateways=20, limits={"max_retry_after": 60.0}, **changes))


@pytest.mark.parametrize("share, least, most", [(0.99, 0.95, 1.0), (0.6, 0.02, 0.5)])
def test_loss_by_admission_without_a_lease_is_bounded(share, least, most):
    """The counter rejects all calls, after it granted the part `share` of the units at every demand level."""
    world = world_with_low_rate_tenants(plans=[plan(over_cost=1.0)])
    world.mode = "refuse"
    for statistics in world.gw.grant_statistics.values():
        statistics.granted_share, statistics.observations = share, 50
    admitted = asked = 0
    for number in range(600):
        asked += 1
        for send in of(world.ask(customer=f"c{number}", spread=20)[1], api.Send):
            admitted += 1
            world.end(send)
        world.wait(0.02)
    assert least <= admitted / asked <= most


def test_class_without_value_is_admitted():
    worthless = api.ServiceClass("read", 1.0, 3.0, "safe", "all", 5.0, 0.0, 0.0, False, 0.0)
    world = world_with_low_rate_tenants(classes={"read": worthless})
    assert [
        action
        for number in range(30)
        for action in world.ask(customer=f"c{number}", spread=20)[1]
        if isinstance(action, api.Send)
    ]
