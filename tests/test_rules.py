"""The place that decides what may begin."""

import dataclasses
import math

import pytest

from calicomast import rules
from calicomast.rules import AttemptFacts, Verdict, may_write_attempt

SOUND = AttemptFacts(
    finished=False,
    client_gone=False,
    remaining_time=1.0,
    retry_window_left=math.inf,
    attempts_written=0,
    max_attempts=3,
    other_attempts=0,
    hedging_allowed=False,
    server_listed=True,
    within_slow_start_budget=True,
)
REFUSALS = {
    Verdict.REQUEST_FINISHED: {"finished": True},
    Verdict.CLIENT_GONE: {"client_gone": True},
    Verdict.DEADLINE_PASSED: {"remaining_time": 0.0},
    Verdict.ATTEMPT_LIMIT: {"attempts_written": 3},
    Verdict.HEDGING_NOT_ALLOWED: {"other_attempts": 1},
    Verdict.RETRY_WINDOW_CLOSED: {"retry_window_left": -0.001},
    Verdict.SERVER_UNAVAILABLE: {"server_listed": False},
    Verdict.SLOW_START_BUDGET_SPENT: {"within_slow_start_budget": False},
}


def test_a_sound_attempt_may_be_written():
    assert may_write_attempt(SOUND) is Verdict.ALLOWED
    assert (
        may_write_attempt(dataclasses.replace(SOUND, other_attempts=1, hedging_allowed=True))
        is Verdict.ALLOWED
    )


@pytest.mark.parametrize("verdict", REFUSALS, ids=lambda verdict: verdict.name)
def test_each_refusal_has_its_reason(verdict):
    assert may_write_attempt(dataclasses.replace(SOUND, **REFUSALS[verdict])) is verdict


def test_a_finished_request_is_no_matter_of_its_client():
    facts = dataclasses.replace(SOUND, finished=True, client_gone=True, remaining_time=-1.0)
    assert may_write_attempt(facts) is Verdict.REQUEST_FINISHED


def test_requests_are_taken_until_the_end_and_the_bounds():
    def take(ending=False, in_work=0, held=0):
        return rules.may_accept_request(
            shutting_down=ending,
            active_requests=in_work,
            max_active_requests=2,
            body_bytes=held,
            max_body_bytes=100,
        )

    assert take() is take(in_work=1, held=100) is Verdict.ALLOWED
    assert take(ending=True) is Verdict.SHUTTING_DOWN
    assert take(in_work=2) is take(held=101) is Verdict.CAPACITY_EXCEEDED


def test_a_connection_closes_once_nothing_on_it_is_owed():
    def close(owed=False, half=False, unread=False, broken=False):
        return rules.may_close_connection(
            response_pending=owed, partial_command=half, unread_input=unread, framing_lost=broken
        )

    assert close() is close(half=True, unread=True, broken=True) is Verdict.ALLOWED
    assert close(owed=True, broken=True) is Verdict.RESPONSE_PENDING
    assert close(half=True) is close(unread=True) is Verdict.UNREAD_INPUT


def test_a_list_is_put_in_force_if_its_source_counts_and_it_leaves_something():
    def apply(current=True, whole=False, empty=False, held=True):
        return rules.may_apply_server_list(
            source_current=current, is_complete=whole, is_empty=empty, has_servers=held
        )

    assert apply() is apply(empty=True) is apply(whole=True) is apply(whole=True, empty=True, held=False)
    assert apply() is Verdict.ALLOWED
    assert apply(whole=True, empty=True) is Verdict.EMPTY_SERVER_LIST
    assert apply(current=False) is Verdict.SOURCE_REPLACED


def test_a_window_ends_a_hold_up_early_and_time_is_told_in_whole_milliseconds():
    assert rules.retry_deadline(100.0, 2.0) == pytest.approx(102.0 - rules.MAX_PROCESS_PAUSE)
    assert rules.remaining_time_ms(1.2349) == 1234 and rules.remaining_time_ms(0.0) == 1
