import pytest
from helpers import GatewayHarness, actions_of, make_plan, make_server, make_settings

from calicomast import interface as api

BIG = make_plan(rate=1000.0, burst=4000.0)


def world(hosts=None, **kw):
    return GatewayHarness(make_settings(plans=[BIG], **kw), hosts)


def test_every_request_gets_one_answer_even_without_servers():
    w = GatewayHarness(servers=[])
    name, acts = w.send_request()
    acts = acts + w.advance(3.0)
    assert len([a for a in acts if isinstance(a, (api.Refuse, api.Fail)) and a.id == name]) == 1


@pytest.mark.parametrize("result", ["error", "timeout", "reset", "cancelled"])
def test_unsafe_is_not_sent_again_nor_refused_when_it_may_have_run(result):
    w = world()
    s = actions_of(w.send_request(service_class="note")[1], api.Send)[0]
    acts = w.finish_attempt(s, result)
    assert (
        not actions_of(acts, api.Send)
        and not actions_of(acts, api.Refuse)
        and len(actions_of(acts, api.Fail)) == 1
    )


@pytest.mark.parametrize("result", ["full", "connect_failed"])
def test_unsafe_is_sent_again_when_it_never_ran(result):
    w = world()
    s = actions_of(w.send_request(service_class="note")[1], api.Send)[0]
    acts = w.finish_attempt(s, result)
    assert [a.server for a in actions_of(acts, api.Send)] == [{"h1": "h2", "h2": "h1"}[s.server]]


@pytest.mark.parametrize("cls", ["write", "cellwrite"])
def test_keyed_stays_in_its_group_and_time(cls):
    hosts = [
        make_server("a1", "z1", 1),
        make_server("a2", "z1", 1),
        make_server("b1", "z2", 2),
        make_server("b2", "z2", 2),
    ]
    w = world(hosts)
    s = actions_of(w.send_request(service_class=cls)[1], api.Send)[0]
    again = actions_of(w.finish_attempt(s, "error"), api.Send)
    assert [a.server[0] for a in again] == [s.server[0]]
    w = world(hosts)
    s = actions_of(w.send_request(service_class="write")[1], api.Send)[0]
    w.now += 1.0  # its memory is over
    acts = w.finish_attempt(s, "error")
    assert not actions_of(acts, api.Send) and not actions_of(acts, api.Refuse) and actions_of(acts, api.Fail)


def test_draining_and_gone_hosts_get_nothing_new():
    w = world()
    w.handle(api.ServerListUpdate("delta", 2, (make_server("h1", state="leaving"),)))
    w.handle(api.ServerListUpdate("full", 3, (make_server("h2"),)))
    for _ in range(5):
        assert {s.server for s in actions_of(w.send_request()[1], api.Send)} <= {"h2"}


@pytest.mark.parametrize("gateways", [1, 3, 200])
def test_cold_host_gets_no_more_than_it_bears_from_all_gateways_together(gateways):
    hosts = [make_server(f"h{k}") for k in range(10)]
    ws = [
        GatewayHarness(make_settings(plans=[BIG], gateways=gateways, index=k), hosts, seed=k)
        for k in range(gateways)
    ]
    cold, total, now, out = [], 0, 1000.0, []
    for step in range(1600):  # 200 a second over all; the tenth host restarts after 2 s
        w, now = ws[step % gateways], 1000.0 + step * 0.005
        if step == 400:
            for x in ws:
                x.now = now
                x.handle(api.ServerListUpdate("delta", 2, (make_server("h9", started_at=now),)))
        w.now = now
        for s in actions_of(w.send_request()[1], api.Send):
            cold += [now] if s.server == "h9" and step >= 400 else []
            total += 1
            out.append((w, s))
        if len(out) > 25:
            x, s = out.pop(0)
            x.now = now
            for s2 in actions_of(x.finish_attempt(s), api.Send):
                cold += [now] if s2.server == "h9" and step >= 400 else []
                out.append((x, s2))
    fair = total / 8 / 10  # a warm host's sends a second
    assert cold, "the ramp sends something"
    for t in cold:  # bears at least twice its fifth of capacity for 2 s, by the rules of these settings
        warm = 0.2 + 0.8 * (t - 1002.0) / 10
        assert sum(t <= x < t + 2.0 for x in cold) <= 2 * 2.0 * max(warm, 0.2) * fair * 2 + 3


def test_silent_host_is_left_and_its_safe_work_copied():
    w = world()
    first = actions_of(w.send_request()[1], api.Send)[0]
    sent = []
    for _ in range(60):
        for s in actions_of(w.send_request()[1], api.Send):
            if s.server != first.server:
                w.finish_attempt(s)
            sent.append(s.server)
        w.advance(0.1)
    assert first.server not in sent[-20:-1] or sent[-20:].count(first.server) <= 2
    assert [
        a
        for _, a in w.action_log
        if isinstance(a, api.Send) and a.id == first.id and a.server != first.server
    ]


def test_no_second_copy_where_not_allowed():
    w = world(limits=dict(hedging=False))
    out, most = {}, 0
    for _ in range(40):
        acts = w.send_request()[1] + w.advance(0.05)
        todo = list(acts)
        while todo:
            a = todo.pop(0)
            if isinstance(a, api.Send):
                out[a.id] = out.get(a.id, 0) + 1
                most = max(most, out[a.id])
                if a.server == "h2":
                    out[a.id] -= 1
                    todo += w.finish_attempt(a)
            elif isinstance(a, api.Cancel) and out.get(a.id):
                out[a.id] -= 1
                todo += w.handle(api.Outcome(a.id, a.attempt, "h1", "cancelled", 0.3, False))
    assert most == 1


def test_restart_is_deterministic():
    logs = []
    for _ in range(2):
        w = world([make_server(f"h{k}") for k in range(6)])
        for _ in range(30):
            w.send_request()
            w.advance(0.02)
        logs.append(w.action_log)
    assert logs[0] == logs[1]


def test_late_and_odd_events_are_taken_quietly():
    w = world()
    name, acts = w.send_request()
    s = actions_of(acts, api.Send)[0]
    w.handle(api.ClientDisconnected(name))
    acts = w.finish_attempt(s, "ok", final=True)
    assert not [a for a in acts if isinstance(a, (api.Refuse, api.Fail, api.Send))]
    w.handle(api.ClientDisconnected("never"))
    w.handle(api.TimerExpired(77))
    w.handle(api.CounterResult(5, "ok", 3, 0.1))
    w.handle(api.ProbeResult("h1", "ok", 0.1))
    w.handle(api.PeerMessage(1, b"x"))


def test_discovery_on_request_is_watched_and_asked_again():
    conf = make_settings(discovery="ask")
    w = GatewayHarness(conf)
    assert [a for _, a in w.action_log if a == api.WatchServerList(True)]
    w.handle(api.ServerListUpdate("failed", 0, ()))
    assert api.WatchServerList(True) in w.advance(1.2)


def test_stream_is_left_to_the_client():
    w = world()
    s = actions_of(w.send_request()[1], api.Send)[0]
    w.handle(api.AttemptStarted(s.id, 0, s.server, 0.1))
    acts = w.advance(4.0)
    assert not [a for a in acts if getattr(a, "id", None) == s.id]


@pytest.mark.parametrize("cls", ["write", "cellwrite"])
def test_keyed_fails_where_its_group_has_no_other_host(cls):
    w = world([make_server("a1", "z1", 1), make_server("b1", "z2", 2), make_server("b2", "z2", 2)])
    s = actions_of(w.send_request(service_class=cls)[1], api.Send)[0]
    assert s.server == "a1"
    acts = w.finish_attempt(s, "error")
    assert not actions_of(acts, api.Send) and len(actions_of(acts, api.Fail)) == 1


def test_repeat_with_no_time_left_is_answered_at_once():
    w = world()
    assert actions_of(w.send_request(remaining_time=0.01)[1], api.Refuse)


@pytest.mark.parametrize("result", ["full", "error", "timeout"])
def test_host_that_fails_one_plan_or_class_keeps_the_others(result):
    bad, good = {"plan": "p", "service_class": "note"}, {"plan": "q", "service_class": "read"}
    w = GatewayHarness(
        make_settings(plans=[BIG, make_plan("q", rate=1000.0, burst=4000.0)], gateways=1), [make_server("h1")]
    )
    for _ in range(12):
        s = actions_of(w.send_request(**bad)[1], api.Send)[0]
        w.advance(1.0)  # long enough to be taken for silent
        w.finish_attempt(s, result, final=result != "full")
        for s in actions_of(w.send_request(**good)[1], api.Send):
            w.finish_attempt(s)
        w.now += 0.5  # for what it failed it rests so long at most
    w.handle(api.ServerListUpdate("delta", 2, (make_server("h2"),)))
    hosts = []
    for _ in range(8):
        s = actions_of(w.send_request(**bad)[1], api.Send)[0]
        hosts.append(s.server)
        w.finish_attempt(s)
    assert hosts.count("h1") == 0
    assert "h1" in [s.server for _ in range(4) for s in actions_of(w.send_request(**good)[1], api.Send)]


def test_retries_at_the_start_are_no_storm_whatever_the_number_of_gateways():
    for gateways in (1, 200):
        again = 0
        for k in range(gateways):
            w = GatewayHarness(make_settings(plans=[BIG], gateways=gateways, index=k), seed=k)
            s = actions_of(w.send_request()[1], api.Send)[0]
            again += len(actions_of(w.finish_attempt(s, "error"), api.Send))
        assert again <= 15


def test_no_timer_when_nothing_is_due():
    w = world()
    s = actions_of(w.send_request()[1], api.Send)[0]
    w.finish_attempt(s)
    assert not actions_of(w.advance(1.0), api.SetTimer)


def test_idle_accounts_are_dropped():
    w = world()
    for k in range(300):
        for s in actions_of(w.send_request(tenant=f"c{k}")[1], api.Send):
            w.finish_attempt(s)
        w.now += 1.0
    assert len(w.gateway.tenant_quotas) < 70


def test_overload_of_servers_sheds_what_is_worth_least_with_many_gateways():
    w = GatewayHarness(make_settings(plans=[BIG], gateways=50), [make_server(f"h{k}") for k in range(10)])
    served = {"read": 0, "write": 0}
    for k in range(400):
        cls = ("read", "write")[k % 2]
        for s in actions_of(w.send_request(service_class=cls)[1], api.Send):
            served[cls] += 1
            w.finish_attempt(s, report={"queue": 30.0, "util": 1.0}, elapsed=0.9)
        w.now += 0.05
    assert served["read"] < 0.5 * served["write"] and served["write"] < 150


def test_a_request_waits_no_longer_than_it_can_still_be_sent_with_use():
    w = GatewayHarness(make_settings(gateways=1), [make_server("h1")])
    name, acts = w.send_request()
    (send,), arrived = actions_of(acts, api.Send), w.now
    w.gateway.balancer.mean_latency["read"] = (
        0.6  # of the aim of 1.0: an attempt begun later is answered too late
    )
    assert w.gateway.hold(w.gateway.requests[name]) <= 0.4
    w.now += 0.3
    w.handle(api.ServerListUpdate("delta", 2, (make_server("h2", started_at=w.now),)))
    w.gateway.balancer.servers["h2"].slow_start.record_send(
        w.now, 99.0, ("other", 0)
    )  # cold: it may be sent nothing for 2 s
    acts = w.finish_attempt(send, "reset")
    assert not actions_of(acts, api.Refuse | api.Fail)
    acts = w.advance(0.6)
    end = [at for at, a in w.action_log if isinstance(a, api.Refuse | api.Fail) and a.id == name]
    assert actions_of(acts, api.Refuse | api.Fail) and end[0] <= arrived + 0.4 + 0.05


@pytest.mark.parametrize("result", ["full", "reset", "timeout", "error", "connect_failed"])
def test_no_request_has_more_attempts_than_the_settings_allow(result):
    hosts = [make_server(f"h{n}") for n in range(1, 9)]
    w = GatewayHarness(make_settings(gateways=1, limits={"max_attempts": 3, "hedging": True}), hosts)
    name, acts = w.send_request()
    sends = actions_of(acts, api.Send)
    for number in range(8):
        if number < len(sends):
            w.handle(
                api.ServerListUpdate("delta", 2 + number, (make_server(f"new{number}"),))
            )  # another that it could go to
            sends += actions_of(w.finish_attempt(sends[number], result, attempt=number), api.Send)
            sends += actions_of(w.advance(0.3), api.Send)  # a second copy, where one is late
    assert len([s for s in sends if s.id == name]) <= 3


@pytest.mark.parametrize("result", api.NOT_STARTED_RESULTS)
def test_an_attempt_that_never_began_spends_none_and_blames_no_server(result):
    w = GatewayHarness(
        make_settings(gateways=1, limits={"max_attempts": 1}), [make_server("h1"), make_server("h2")]
    )
    name, acts = w.send_request()
    sends = actions_of(acts, api.Send)
    for number in range(3):
        acts = w.finish_attempt(sends[-1], result, attempt=number) + w.advance(0.12)
        sends += actions_of(acts, api.Send)
        assert len(sends) == number + 2 and not actions_of(acts, api.Refuse)
    detector = w.gateway.balancer.detector
    assert not detector.estimates
    assert actions_of(w.finish_attempt(sends[-1], "full", attempt=3), api.Refuse)  # that one counts
