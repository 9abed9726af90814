import random

import pytest
from helpers import GatewayHarness, actions_of, make_plan, make_server, make_settings

from calicomast import interface as api


def served(w, tries, **kw):
    n = 0
    for _ in range(tries):
        _, acts = w.send_request(**kw)
        for s in actions_of(acts, api.Send):
            n += 1
            w.finish_attempt(s)
    return n


def test_light_customer_makes_no_call():
    w = GatewayHarness()
    assert served(w, 1) == 1
    assert not [a for _, a in w.action_log if isinstance(a, api.AddToCounter)]


def test_lease_is_added_and_quota_is_held():
    w = GatewayHarness()
    n = served(w, 40)
    assert 8 <= n <= 16  # the burst, and what the part of the window that has passed has refilled
    assert [a for _, a in w.action_log if isinstance(a, api.AddToCounter)]
    assert max(w.counter_totals.values()) <= 16


def test_full_window_refuses_at_once_without_calls():
    w = GatewayHarness()
    served(w, 40)
    before = len([a for _, a in w.action_log if isinstance(a, api.AddToCounter)])
    name, acts = w.send_request()
    assert actions_of(acts, api.Refuse) and len(actions_of(acts, api.AddToCounter)) == 0 and before


def test_two_bursts_do_not_pass_back_to_back_at_a_turn():
    w = GatewayHarness()
    total = 0
    start = w.now
    while w.now < start + 12:
        total += served(w, 2)
        w.advance(0.1)
    assert total <= 8 + 2 * (w.now - start) + 4


def test_excess_is_taken_back():
    w = GatewayHarness()
    w.counter_mode = "hold"
    calls, sends = [], True
    while sends:  # the last request waits for the call that is out
        _, acts = w.send_request()
        calls, sends = calls + actions_of(acts, api.AddToCounter), actions_of(acts, api.Send)
    call = calls[0]
    acts = w.handle(api.CounterResult(call.name, "ok", 40, 0.002))  # others have filled the window meanwhile
    assert [c for c in actions_of(acts, api.AddToCounter) if c.amount < 0 and c.name == call.name]
    assert not actions_of(acts, api.Send) and actions_of(acts, api.Refuse)


def test_timed_out_add_gives_no_units_and_request_is_settled_soon():
    w = GatewayHarness()
    w.counter_mode = "silent"
    start = w.now
    n = served(w, 60)
    assert n <= 8 / 2 + 2 * (w.now - start) + 4  # the even share, never a lease
    assert all(not j.stage == "units" for j in w.gateway.requests.values())
    assert w.gateway.tenant_quotas["c"].lease == 0


def test_silent_counter_calls_back_off():
    w = GatewayHarness()
    w.counter_mode = "silent"
    for _ in range(200):
        w.send_request()
        w.advance(0.02)
    assert len([a for _, a in w.action_log if isinstance(a, api.AddToCounter)]) < 20


def test_lost_counts_are_added_again():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=2.0, burst=20.0)]))
    served(w, 12)
    name = max(w.counter_totals, key=lambda k: w.counter_totals[k])
    ours = w.counter_totals[name]
    assert ours > 3
    w.counter_totals.clear()
    served(w, 3)
    assert w.counter_totals[name] >= ours


def test_refused_call_keeps_the_charge_owed():
    w = GatewayHarness()
    w.counter_mode = "refuse"
    n = served(w, 30)
    w.counter_mode = "answer"
    w.advance(1.2)
    served(w, 3)
    assert max(w.counter_totals.values()) >= n


def test_ceiling_holds_at_start_and_without_counter():
    p = make_plan(rate=10.0, burst=20.0, ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0)
    for mode in ("answer", "silent", "refuse"):
        w = GatewayHarness(make_settings(plans=[p]))
        w.counter_mode = mode
        start, n = w.now, 0
        while w.now < start + 3:
            n += served(w, 4)
            w.advance(0.05)
            # half of the ceiling's rate: two gateways share the customer, and nothing is there at the start
            assert n <= 5.0 * (w.now - start) + 1


def test_open_limit_is_held_over_gateways_by_the_counter():
    p = make_plan(rate=50.0, burst=100.0, concurrency_limit=2)
    a = GatewayHarness(make_settings(plans=[p]))
    b = GatewayHarness(make_settings(plans=[p], index=1), seed=2)
    b.counter_totals = a.counter_totals
    sends = []
    for _ in range(3):
        for w in (a, b):
            sends += [(w, s) for s in actions_of(w.send_request()[1], api.Send)]
    assert len(sends) == 2
    w, s = sends[0]
    w.finish_attempt(s)
    assert len(actions_of(w.send_request()[1], api.Send)) == 1


def test_beyond_quota_only_where_it_earns():
    w = GatewayHarness(make_settings(plans=[make_plan(over_quota_value=0.3, over_quota_cost=0.0)]))
    assert served(w, 40) == 40
    w = GatewayHarness(make_settings(plans=[make_plan(over_quota_value=0.3, over_quota_cost=0.5)]))
    assert served(w, 40) < 40


def test_without_counter_the_even_share_is_granted():
    w = GatewayHarness(make_settings(counter=False))
    n = served(w, 40)
    assert 4 <= n <= 8 and not [a for _, a in w.action_log if isinstance(a, api.AddToCounter)]


def test_plan_without_a_rate_needs_only_open_slots():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=0.0, burst=0.0, concurrency_limit=3)]))
    assert served(w, 30) == 30


def test_settled_units_are_charged():
    w = GatewayHarness(make_settings(settles_actual_units=True))
    _, acts = w.send_request()
    s = actions_of(acts, api.Send)[0]
    w.finish_attempt(s, actual_units=6)
    assert served(w, 40) < 11


def test_a_quiet_time_does_not_save_up_more_than_the_burst():
    w = GatewayHarness()
    acct_len = 4.0
    w.send_request()
    phase = w.gateway.tenant_quotas["c"].window_start
    w.now = phase + 2 * acct_len - 0.5  # late in a window that nothing was drawn in
    n = served(w, 60)
    assert n <= 8 + 4 + 1  # the burst, and what its even part passed uncharged


def test_debt_is_brought_along_once():
    a, b = GatewayHarness(make_settings(plans=[make_plan(burst=40.0, rate=10.0)])), None
    b = GatewayHarness(make_settings(plans=[make_plan(burst=40.0, rate=10.0)], index=1), seed=2)
    b.counter_totals = a.counter_totals
    start = 0.0
    for turn in range(6):
        for w in (a, b):
            w.now = max(a.now, b.now)
            served(w, 60)
        start = a.gateway.tenant_quotas["c"].window_start
        a.now = b.now = start + 4.0 + 0.001
        assert max(a.counter_totals.values()) <= 40 + 10 * 4 + 3, turn  # never more owed than was drawn


def test_even_part_of_the_open_limit_needs_no_call():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=50.0, burst=100.0, concurrency_limit=4)]))
    acts = w.send_request()[1] + w.send_request()[1]
    assert len(actions_of(acts, api.Send)) == 2 and not actions_of(acts, api.AddToCounter)
    assert not actions_of(w.send_request()[1], api.Send)


def test_small_burst_over_many_gateways_passes_light_customers_and_holds_busy_ones():
    w = GatewayHarness(make_settings(gateways=10, plans=[make_plan(rate=0.8, burst=3.0)]))
    for k in range(20):
        _, acts = w.send_request(tenant=f"c{k}", spread=8)
        assert actions_of(acts, api.Send)
        assert (
            len(actions_of(acts, api.AddToCounter)) <= 2
        )  # the second writes off what the store has let run over
        w.finish_attempt(actions_of(acts, api.Send)[0])
    assert served(w, 30, tenant="c0", spread=8) <= 6


def test_the_end_of_a_quota_is_kept_for_what_is_worth_most():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=0.5, burst=40.0)]))
    low = served(w, 100, service_class="read")
    high = served(w, 100, service_class="write")
    assert high >= 5  # nothing would be left without what was kept
    assert low >= 25


def test_ordinary_path_is_back_within_two_seconds_after_the_counter_was_silent():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=20.0, burst=80.0)]))
    w.counter_mode = "silent"
    for _ in range(80):
        for s in actions_of(w.send_request()[1], api.Send):
            w.finish_attempt(s)
        w.advance(0.02)
    w.counter_mode, start = "answer", w.now
    while w.now < start + 2:
        for s in actions_of(w.send_request()[1], api.Send):
            w.finish_attempt(s)
        w.advance(0.04)
    assert w.gateway.counter.fails == 0
    assert [a for t, a in w.action_log if isinstance(a, api.AddToCounter) and t > start]


def test_rest_of_the_open_limit_is_shared_by_a_count():
    conf = [
        make_settings(index=k, plans=[make_plan(rate=50.0, burst=100.0, concurrency_limit=3)]) for k in (0, 1)
    ]
    a, b = GatewayHarness(conf[0]), GatewayHarness(conf[1], seed=2)
    b.counter_totals = a.counter_totals
    assert sum(len(actions_of(w.send_request()[1], api.Send)) for _ in range(3) for w in (a, b)) == 3


def test_an_add_without_answer_leaves_the_requests_on_it_to_the_local_share():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=0.5, burst=8.0)]))
    w.counter_mode = "hold"
    calls, n = [], 0
    for _ in range(12):
        acts = w.send_request()[1]
        calls, n = calls + actions_of(acts, api.AddToCounter), n + len(actions_of(acts, api.Send))
    acts = w.handle(api.CounterResult(calls[0].name, "timeout", 0, 0.05))
    assert w.gateway.tenant_quotas["c"].lease == 0 and n + len(actions_of(acts, api.Send)) <= 5
    assert len(actions_of(acts, api.Refuse)) >= 3


def test_what_a_quiet_half_lets_pass_too_much_is_taken_from_the_next_window():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=2.0, burst=40.0)]))
    w.send_request()
    w.now = w.gateway.tenant_quotas["c"].window_start + 2 * 20.0 - 0.5
    n, start = served(w, 120), w.now
    assert n <= 80
    w.now += 1.0
    n += served(w, 120)
    assert n <= 80 + 2 * (w.now - start) + 4


def test_without_the_counter_many_gateways_pass_no_more_than_the_burst_of_a_customer():
    for n in (1, 3, 200):
        passed = 0
        for k in range(n):
            w = GatewayHarness(
                make_settings(plans=[make_plan(rate=2.0, burst=8.0)], gateways=n, index=k), seed=k
            )
            w.counter_mode = "silent"
            passed += served(w, 3 if n > 10 else 40, spread=n)
        assert passed <= 2.5 * 8, n  # two windows may be met


def test_plan_share_passes_what_was_granted_before_while_the_counter_is_away():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=2.0, burst=8.0)], gateways=100))
    before = 0
    for k in range(200):
        before += served(w, 1, tenant=f"b{k}", spread=60)
        w.now += 0.1
    w.counter_mode, during = "silent", 0
    for k in range(200):
        during += served(w, 1, tenant=f"d{k}", spread=60)
        w.now += 0.1
    assert before > 150 and 40 < during <= before + 20


def test_customers_that_come_once_do_not_pile_up():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=1000.0, burst=4000.0)]))
    busy = w.send_request("busy", remaining_time=1000.0)[1]
    for n in range(2000):
        for send in actions_of(w.send_request(f"c{n}")[1], api.Send):
            w.finish_attempt(send)
        w.now += 0.1
    assert len(w.gateway.tenant_quotas) < 350 and busy


def test_a_spoilt_answer_of_the_counter_does_not_stop_the_next_call():
    for result, elapsed, again in (
        ("spoilt", 0.002, True),
        ("timeout", 0.002, True),
        ("timeout", 0.05, False),
    ):
        w = GatewayHarness(make_settings(plans=[make_plan(rate=2.0, burst=8.0)]))
        w.counter_mode = "hold"
        calls = []
        while not calls:
            calls = actions_of(w.send_request()[1], api.AddToCounter)
        w.handle(api.CounterResult(calls[0].name, result, 0.0, elapsed))
        assert (
            bool([a for n in range(8) for a in actions_of(w.send_request(f"c{n % 2}")[1], api.AddToCounter)])
            == again
        )


def test_units_added_by_a_call_with_a_spoilt_answer_are_not_lost():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=0.001, burst=40.0)]))
    real, calls = w.counter_totals, 0
    w.counter_mode = "hold"
    sent = refused = 0
    for _ in range(60):
        acts = w.send_request()[1]
        while acts:
            sent += len(actions_of(acts, api.Send))
            refused += len(actions_of(acts, api.Refuse))
            after = [a for s in actions_of(acts, api.Send) for a in w.finish_attempt(s)]
            for call in actions_of(acts, api.AddToCounter):
                calls += 1
                real[call.name] = real.get(call.name, 0) + call.amount
                told = ("spoilt", 0.0) if calls % 3 else ("ok", real[call.name])
                after += w.handle(api.CounterResult(call.name, *told, 0.002))
            acts = after
    assert calls > 6 and 36 <= sent <= 46 and sent + refused == 60
    assert max(real.values()) <= 48


def test_units_are_added_again_once_when_the_counter_lost_its_counts():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=0.001, burst=100.0)]))
    while len([a for _, a in w.action_log if isinstance(a, api.AddToCounter)]) < 6:
        served(w, 1)
    (name,), before = w.counter_totals, max(w.counter_totals.values())
    w.counter_totals.clear()
    calls = len(w.action_log)
    served(w, 12)
    again = [a.amount for _, a in w.action_log[calls:] if isinstance(a, api.AddToCounter)]
    assert len(again) > 4 and w.counter_totals[name] <= before + 14  # not twice, not ever more


def next_call(w):
    """The next call that asks for units, however many requests pass before."""
    for _ in range(200):
        w.now += 0.01
        calls = [c for c in actions_of(w.send_request()[1], api.AddToCounter) if c.amount > 0]
        if calls:
            return calls[0]
    raise AssertionError("no call")


def test_the_overdraft_is_brought_along_though_the_first_answer_is_lost():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=20.0, burst=80.0)]))
    w.counter_mode = "hold"
    call = next_call(w)
    w.gateway.tenant_quotas["c"].debt = 5.0
    w.handle(api.CounterResult(call.name, "timeout", 0.0, 0.002))  # its line broke: it may have been added
    second = next_call(w)
    acts = w.handle(api.CounterResult(call.name, "ok", call.amount + second.amount, 0.002))
    assert [c.amount for c in actions_of(acts, api.AddToCounter) if c.amount >= 5]


def test_what_could_not_be_added_is_not_taken_for_lost_from_the_count():
    w = GatewayHarness(make_settings(plans=[make_plan(rate=20.0, burst=80.0)]))
    w.counter_mode = "hold"
    call = next_call(w)
    w.gateway.tenant_quotas["c"].debt = 5.0
    assert actions_of(w.handle(api.CounterResult(call.name, "ok", call.amount, 0.002)), api.AddToCounter)
    w.handle(api.CounterResult(call.name, "full", 0.0, 0.002))  # the overdraft
    second = next_call(w)
    acts = w.handle(api.CounterResult(call.name, "ok", call.amount + second.amount, 0.002))
    assert sum(c.amount for c in actions_of(acts, api.AddToCounter)) < call.amount


def crowded(mode="refuse"):
    """One gateway of many, by itself with its customers; the counter turns all calls away."""
    w = GatewayHarness(
        make_settings(plans=[make_plan(rate=0.5, burst=2.0)], gateways=40),
        [make_server(f"h{n}") for n in range(60)],
    )
    w.counter_mode = mode
    return w


def passes(w, customer="c"):
    sends = actions_of(w.send_request(tenant=customer, spread=30)[1], api.Send)
    for send in sends:
        w.finish_attempt(send)
    return len(sends)


def test_a_customer_seen_seldom_passes_unasked_while_the_counter_turns_calls_away():
    w = crowded()
    assert sum(passes(w, f"c{k}") for k in range(60)) == 60


def test_a_customer_that_asks_far_beyond_its_rate_does_not_pass_unasked():
    often, seldom = crowded(), crowded()
    passed = 0
    for _ in range(40):
        passed += passes(seldom)
        seldom.now += 60.0  # its even part of the rate
        often.now += 1.0
        last = passes(often)
    assert passed > 30 and not last


def test_what_the_counter_grants_at_a_level_decides_what_passes_there_unasked():
    w = crowded("hold")
    for k in range(30):  # counts at their end, of customers that look quiet here
        for c in actions_of(w.send_request(tenant=f"c{k}", spread=30)[1], api.AddToCounter):
            w.handle(api.CounterResult(c.name, "ok", 50.0, 0.002))
    w.counter_mode = "refuse"
    assert not any(passes(w, f"d{k}") for k in range(10))


def test_a_call_turned_away_is_not_made_again_for_the_same_request():
    _, acts = crowded().send_request(spread=30)
    assert len(actions_of(acts, api.AddToCounter)) == 1


def test_a_customer_of_many_gateways_that_keeps_just_within_its_rate_is_hardly_refused():
    rng, counts = random.Random(5), {}
    worlds = [
        GatewayHarness(make_settings(gateways=20, plans=[make_plan(rate=4.0, burst=8.0)], index=k), seed=k)
        for k in range(20)
    ]
    passed = 0
    for w in worlds:
        w.counter_totals = counts
    for k in range(200):
        w = rng.choice(worlds)
        w.now = 1000.0 + k / 3.6
        passed += served(w, 1, spread=20)
    assert passed >= 196


def thin(**kw):
    """A gateway of many, and a customer whose even part of the burst is less than a unit."""
    return GatewayHarness(make_settings(gateways=20, limits={"max_retry_after": 60.0}, **kw))


@pytest.mark.parametrize("share, least, most", [(0.99, 0.95, 1.0), (0.6, 0.02, 0.5)])
def test_what_passes_unasked_loses_a_bounded_part_of_what_passes(share, least, most):
    """The counter turns all away in the end, and as many were granted at every level as `share` says."""
    w = thin(plans=[make_plan(over_quota_cost=1.0)])
    w.counter_mode = "refuse"
    for use in w.gateway.uses.values():
        use.share, use.seen = share, 50
    passed = asked = 0
    for n in range(600):
        asked += 1
        for send in actions_of(w.send_request(tenant=f"c{n}", spread=20)[1], api.Send):
            passed += 1
            w.finish_attempt(send)
        w.advance(0.02)
    assert least <= passed / asked <= most


def test_a_class_of_no_worth_is_answered():
    none = api.ServiceClass("read", 1.0, 3.0, "safe", "all", 5.0, 0.0, 0.0, False, 0.0)
    w = thin(classes={"read": none})
    assert [
        a for n in range(30) for a in w.send_request(tenant=f"c{n}", spread=20)[1] if isinstance(a, api.Send)
    ]
