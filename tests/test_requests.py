"""A request until its answer: retries, hedged attempts, waiting, refusals, load shedding, server choice."""

import pytest
from helpers import PolicyHarness, actions_of, make_plan, make_server, make_settings

from calicomast import interface as api

UNLIMITED = make_plan(rate=1000.0, burst=4000.0)


def make_harness(servers=None, **changes):
    """Makes a gateway whose only plan refuses no request."""
    return PolicyHarness(make_settings(plans=[UNLIMITED], **changes), servers)


def test_every_request_gets_one_answer_even_without_servers():
    harness = PolicyHarness(servers=[])
    request_id, actions = harness.send_request()
    actions = actions + harness.advance(3.0)
    assert (
        len([each for each in actions if isinstance(each, (api.Refuse, api.Fail)) and each.id == request_id])
        == 1
    )


@pytest.mark.parametrize("result", ["error", "timeout", "reset", "cancelled"])
def test_unsafe_request_that_may_have_run_fails_without_a_retry(result):
    harness = make_harness()
    send = actions_of(harness.send_request(service_class="note")[1], api.Send)[0]
    actions = harness.finish_attempt(send, result)
    assert (
        not actions_of(actions, api.Send)
        and not actions_of(actions, api.Refuse)
        and len(actions_of(actions, api.Fail)) == 1
    )


@pytest.mark.parametrize("result", ["full", "connect_failed"])
def test_unsafe_request_that_never_ran_is_retried(result):
    harness = make_harness()
    send = actions_of(harness.send_request(service_class="note")[1], api.Send)[0]
    actions = harness.finish_attempt(send, result)
    assert [retry.server for retry in actions_of(actions, api.Send)] == [
        {"h1": "h2", "h2": "h1"}[send.server]
    ]


@pytest.mark.parametrize("service_class", ["write", "cellwrite"])
def test_keyed_request_is_retried_only_in_its_scope_and_time(service_class):
    servers = [
        make_server("a1", "z1", 1),
        make_server("a2", "z1", 1),
        make_server("b1", "z2", 2),
        make_server("b2", "z2", 2),
    ]
    harness = make_harness(servers)
    send = actions_of(harness.send_request(service_class=service_class)[1], api.Send)[0]
    retries = actions_of(harness.finish_attempt(send, "error"), api.Send)
    assert [retry.server[0] for retry in retries] == [send.server[0]]
    harness = make_harness(servers)
    send = actions_of(harness.send_request(service_class="write")[1], api.Send)[0]
    harness.now += 1.0  # servers no longer discard duplicates of it
    actions = harness.finish_attempt(send, "error")
    assert (
        not actions_of(actions, api.Send)
        and not actions_of(actions, api.Refuse)
        and actions_of(actions, api.Fail)
    )


def test_draining_and_removed_servers_get_no_new_attempt():
    harness = make_harness()
    harness.handle(api.ServerListUpdate("delta", 2, (make_server("h1", state="leaving"),)))
    harness.handle(api.ServerListUpdate("full", 3, (make_server("h2"),)))
    for _ in range(5):
        assert {send.server for send in actions_of(harness.send_request()[1], api.Send)} <= {"h2"}


@pytest.mark.parametrize("gateways", [1, 3, 200])
def test_server_in_slow_start_gets_a_bounded_load_from_all_gateways_together(gateways):
    servers = [make_server(f"h{number}") for number in range(10)]
    harnesses = [
        PolicyHarness(make_settings(plans=[UNLIMITED], gateways=gateways, index=index), servers, seed=index)
        for index in range(gateways)
    ]
    sent_in_slow_start, total, now, in_flight = [], 0, 1000.0, []
    for step in range(1600):  # 200 requests per second over all gateways; the tenth server restarts after 2 s
        harness, now = harnesses[step % gateways], 1000.0 + step * 0.005
        if step == 400:
            for each in harnesses:
                each.now = now
                each.handle(api.ServerListUpdate("delta", 2, (make_server("h9", started_at=now),)))
        harness.now = now
        for send in actions_of(harness.send_request()[1], api.Send):
            sent_in_slow_start += [now] if send.server == "h9" and step >= 400 else []
            total += 1
            in_flight.append((harness, send))
        if len(in_flight) > 25:
            sender, send = in_flight.pop(0)
            sender.now = now
            for retry in actions_of(sender.finish_attempt(send), api.Send):
                sent_in_slow_start += [now] if retry.server == "h9" and step >= 400 else []
                in_flight.append((sender, retry))
    fair_rate = total / 8 / 10  # attempts per second at one of the other servers
    assert sent_in_slow_start, "the server in slow start gets some attempts"
    for window_start in sent_in_slow_start:  # the rules allow it at least twice its share for 2 s
        capacity = 0.2 + 0.8 * (window_start - 1002.0) / 10
        assert (
            sum(window_start <= at < window_start + 2.0 for at in sent_in_slow_start)
            <= 2 * 2.0 * max(capacity, 0.2) * fair_rate * 2 + 3
        )


def test_unresponsive_server_is_avoided_and_its_safe_requests_are_hedged():
    harness = make_harness()
    first = actions_of(harness.send_request()[1], api.Send)[0]
    sent = []
    for _ in range(60):
        for send in actions_of(harness.send_request()[1], api.Send):
            if send.server != first.server:
                harness.finish_attempt(send)
            sent.append(send.server)
        harness.advance(0.1)
    assert first.server not in sent[-20:-1] or sent[-20:].count(first.server) <= 2
    assert [
        action
        for _, action in harness.action_log
        if isinstance(action, api.Send) and action.id == first.id and action.server != first.server
    ]


def test_no_hedged_attempt_where_the_settings_forbid_it():
    harness = make_harness(limits=dict(hedging=False))
    in_flight, max_in_flight = {}, 0  # attempts without an outcome, by request
    for _ in range(40):
        actions = harness.send_request()[1] + harness.advance(0.05)
        remaining = list(actions)
        while remaining:
            action = remaining.pop(0)
            if isinstance(action, api.Send):
                in_flight[action.id] = in_flight.get(action.id, 0) + 1
                max_in_flight = max(max_in_flight, in_flight[action.id])
                if action.server == "h2":
                    in_flight[action.id] -= 1
                    remaining += harness.finish_attempt(action)
            elif isinstance(action, api.Cancel) and in_flight.get(action.id):
                in_flight[action.id] -= 1
                remaining += harness.handle(
                    api.Outcome(action.id, action.attempt, "h1", "cancelled", 0.3, False)
                )
    assert max_in_flight == 1


def test_equal_seeds_give_equal_actions():
    logs = []
    for _ in range(2):
        harness = make_harness([make_server(f"h{number}") for number in range(6)])
        for _ in range(30):
            harness.send_request()
            harness.advance(0.02)
        logs.append(harness.action_log)
    assert logs[0] == logs[1]


def test_late_and_unknown_events_cause_no_answer_and_no_error():
    harness = make_harness()
    request_id, actions = harness.send_request()
    send = actions_of(actions, api.Send)[0]
    harness.handle(api.ClientDisconnected(request_id))
    actions = harness.finish_attempt(send, "ok", final=True)
    assert not [each for each in actions if isinstance(each, (api.Refuse, api.Fail, api.Send))]
    harness.handle(api.ClientDisconnected("never"))
    harness.handle(api.TimerExpired(77))
    harness.handle(api.CounterResult(5, "ok", 3, 0.1))
    harness.handle(api.ProbeResult("h1", "ok", 0.1))
    harness.handle(api.PeerMessage(1, b"x"))


def test_watch_on_discovery_starts_again_after_a_failure():
    on_request = make_settings(discovery="ask")
    harness = PolicyHarness(on_request)
    assert [action for _, action in harness.action_log if action == api.WatchServerList(True)]
    harness.handle(api.ServerListUpdate("failed", 0, ()))
    assert api.WatchServerList(True) in harness.advance(1.2)


def test_request_whose_response_is_streaming_gets_no_action():
    harness = make_harness()
    send = actions_of(harness.send_request()[1], api.Send)[0]
    harness.handle(api.AttemptStarted(send.id, 0, send.server, 0.1))
    actions = harness.advance(4.0)
    assert not [action for action in actions if getattr(action, "id", None) == send.id]


@pytest.mark.parametrize("service_class", ["write", "cellwrite"])
def test_keyed_request_fails_if_its_scope_has_no_other_server(service_class):
    harness = make_harness(
        [make_server("a1", "z1", 1), make_server("b1", "z2", 2), make_server("b2", "z2", 2)]
    )
    send = actions_of(harness.send_request(service_class=service_class)[1], api.Send)[0]
    assert send.server == "a1"
    actions = harness.finish_attempt(send, "error")
    assert not actions_of(actions, api.Send) and len(actions_of(actions, api.Fail)) == 1


def test_request_with_too_little_time_left_is_refused_at_once():
    harness = make_harness()
    assert actions_of(harness.send_request(remaining_time=0.01)[1], api.Refuse)


@pytest.mark.parametrize("result", ["full", "error", "timeout"])
def test_server_that_fails_one_plan_or_class_still_serves_the_others(result):
    bad, good = {"plan": "p", "service_class": "note"}, {"plan": "q", "service_class": "read"}
    harness = PolicyHarness(
        make_settings(plans=[UNLIMITED, make_plan("q", rate=1000.0, burst=4000.0)], gateways=1),
        [make_server("h1")],
    )
    for _ in range(12):
        send = actions_of(harness.send_request(**bad)[1], api.Send)[0]
        harness.advance(1.0)  # long enough for the attempt to be late
        harness.finish_attempt(send, result, final=result != "full")
        for send in actions_of(harness.send_request(**good)[1], api.Send):
            harness.finish_attempt(send)
        harness.now += 0.5  # the longest cool-down after failures
    harness.handle(api.ServerListUpdate("delta", 2, (make_server("h2"),)))
    servers = []
    for _ in range(8):
        send = actions_of(harness.send_request(**bad)[1], api.Send)[0]
        servers.append(send.server)
        harness.finish_attempt(send)
    assert servers.count("h1") == 0
    assert "h1" in [
        send.server for _ in range(4) for send in actions_of(harness.send_request(**good)[1], api.Send)
    ]


def test_initial_retries_are_bounded_over_any_number_of_gateways():
    for gateways in (1, 200):
        retries = 0
        for index in range(gateways):
            harness = PolicyHarness(
                make_settings(plans=[UNLIMITED], gateways=gateways, index=index), seed=index
            )
            send = actions_of(harness.send_request()[1], api.Send)[0]
            retries += len(actions_of(harness.finish_attempt(send, "error"), api.Send))
        assert retries <= 15


def test_no_timer_is_set_when_nothing_is_scheduled():
    harness = make_harness()
    send = actions_of(harness.send_request()[1], api.Send)[0]
    harness.finish_attempt(send)
    assert not actions_of(harness.advance(1.0), api.SetTimer)


def test_quota_state_of_idle_tenants_is_dropped():
    harness = make_harness()
    for number in range(300):
        for send in actions_of(harness.send_request(tenant=f"c{number}")[1], api.Send):
            harness.finish_attempt(send)
        harness.now += 1.0
    assert len(harness.policy.tenant_quotas) < 70


def test_server_overload_sheds_the_least_valuable_class_with_many_gateways():
    harness = PolicyHarness(
        make_settings(plans=[UNLIMITED], gateways=50), [make_server(f"h{number}") for number in range(10)]
    )
    served = {"read": 0, "write": 0}
    for number in range(400):
        service_class = ("read", "write")[number % 2]
        for send in actions_of(harness.send_request(service_class=service_class)[1], api.Send):
            served[service_class] += 1
            harness.finish_attempt(send, report={"queue": 30.0, "util": 1.0}, elapsed=0.9)
        harness.now += 0.05
    assert served["read"] < 0.5 * served["write"] and served["write"] < 150


def test_queued_request_is_given_up_once_an_attempt_would_miss_the_latency_target():
    harness = PolicyHarness(make_settings(gateways=1), [make_server("h1")])
    request_id, actions = harness.send_request()
    (send,), arrived = actions_of(actions, api.Send), harness.now
    # With a mean of 0.6 s and a latency target of 1 s, an attempt must begin within 0.4 s.
    harness.policy.balancer.mean_latency["read"] = 0.6
    assert harness.policy.max_queue_time(harness.policy.requests[request_id]) <= 0.4
    harness.now += 0.3
    harness.handle(api.ServerListUpdate("delta", 2, (make_server("h2", started_at=harness.now),)))
    # The server is in slow start, and its budget is spent for 2 s.
    harness.policy.balancer.servers["h2"].slow_start.record_send(harness.now, 99.0, ("other", 0))
    actions = harness.finish_attempt(send, "reset")
    assert not actions_of(actions, api.Refuse | api.Fail)
    actions = harness.advance(0.6)
    ends = [
        at
        for at, each in harness.action_log
        if isinstance(each, api.Refuse | api.Fail) and each.id == request_id
    ]
    assert actions_of(actions, api.Refuse | api.Fail) and ends[0] <= arrived + 0.4 + 0.05


def test_queued_request_is_given_up_in_time_though_its_limit_grows_meanwhile():
    # Guards against leaving a request without any decision until its deadline.
    harness = PolicyHarness(make_settings(gateways=1), [make_server("h1")])
    request_id, actions = harness.send_request()
    (send,), arrived = actions_of(actions, api.Send), harness.now
    harness.policy.balancer.mean_latency["read"] = 0.6  # a limit of 0.4 s
    harness.handle(api.ServerListUpdate("delta", 2, (make_server("h2", started_at=harness.now),)))
    harness.policy.balancer.servers["h2"].slow_start.record_send(harness.now, 99.0, ("other", 0))
    assert not actions_of(harness.finish_attempt(send, "reset"), api.Refuse | api.Fail)
    assert not actions_of(harness.advance(0.3), api.Refuse | api.Fail)
    harness.policy.balancer.mean_latency["read"] = 0.3  # a limit of 0.7 s
    assert not actions_of(harness.advance(0.35), api.Refuse | api.Fail)
    (ended,) = actions_of(harness.advance(0.1), api.Refuse | api.Fail)
    assert ended.id == request_id and harness.now <= arrived + 0.7 + 0.05 + 1e-6


@pytest.mark.parametrize("result", ["full", "reset", "timeout", "error", "connect_failed"])
def test_no_request_has_more_attempts_than_the_settings_allow(result):
    servers = [make_server(f"h{number}") for number in range(1, 9)]
    harness = PolicyHarness(make_settings(gateways=1, limits={"max_attempts": 3, "hedging": True}), servers)
    request_id, actions = harness.send_request()
    sends = actions_of(actions, api.Send)
    for number in range(8):
        if number < len(sends):
            # One more server that the request could go to.
            harness.handle(api.ServerListUpdate("delta", 2 + number, (make_server(f"new{number}"),)))
            sends += actions_of(harness.finish_attempt(sends[number], result, attempt=number), api.Send)
            sends += actions_of(harness.advance(0.3), api.Send)  # a hedged attempt, where one is late
    assert len([send for send in sends if send.id == request_id]) <= 3


@pytest.mark.parametrize("result", api.NOT_STARTED_RESULTS)
def test_attempt_that_never_began_counts_neither_as_attempt_nor_as_failure(result):
    harness = PolicyHarness(
        make_settings(gateways=1, limits={"max_attempts": 1}), [make_server("h1"), make_server("h2")]
    )
    request_id, actions = harness.send_request()
    sends = actions_of(actions, api.Send)
    for number in range(3):
        actions = harness.finish_attempt(sends[-1], result, attempt=number) + harness.advance(0.12)
        sends += actions_of(actions, api.Send)
        assert len(sends) == number + 2 and not actions_of(actions, api.Refuse)
    detector = harness.policy.balancer.detector
    assert not detector.estimates
    assert actions_of(harness.finish_attempt(sends[-1], "full", attempt=3), api.Refuse)  # this attempt counts
