"""The place that decides what may begin."""

import dataclasses
import math

import pytest

from calicomast import rules
from calicomast.rules import AttemptFacts, Verdict, may_write_attempt

SOUND = AttemptFacts(
    finished=False,
    client_gone=False,
    left=1.0,
    repeat_left=math.inf,
    begun=0,
    most_attempts=3,
    others_out=0,
    second_copies=False,
    server_listed=True,
    start_budget=True,
)
REFUSALS = {
    Verdict.REQUEST_FINISHED: {"finished": True},
    Verdict.CLIENT_GONE: {"client_gone": True},
    Verdict.DEADLINE_PASSED: {"left": 0.0},
    Verdict.ATTEMPT_LIMIT: {"begun": 3},
    Verdict.SECOND_ATTEMPT_OUT: {"others_out": 1},
    Verdict.REPEAT_WINDOW_CLOSED: {"repeat_left": -0.001},
    Verdict.SERVER_GONE: {"server_listed": False},
    Verdict.START_BUDGET_SPENT: {"start_budget": False},
}


def test_a_sound_attempt_may_be_written():
    assert may_write_attempt(SOUND) is Verdict.ALLOWED
    assert may_write_attempt(dataclasses.replace(SOUND, others_out=1, second_copies=True)) is Verdict.ALLOWED


@pytest.mark.parametrize("verdict", REFUSALS, ids=lambda verdict: verdict.name)
def test_each_refusal_has_its_reason(verdict):
    assert may_write_attempt(dataclasses.replace(SOUND, **REFUSALS[verdict])) is verdict


def test_a_finished_request_is_no_matter_of_its_client():
    facts = dataclasses.replace(SOUND, finished=True, client_gone=True, left=-1.0)
    assert may_write_attempt(facts) is Verdict.REQUEST_FINISHED


def test_requests_are_taken_until_the_end_and_the_bounds():
    def take(ending=False, in_work=0, held=0):
        return rules.may_take_request(
            ending=ending, in_work=in_work, most_in_work=2, held=held, most_held=100
        )

    assert take() is take(in_work=1, held=100) is Verdict.ALLOWED
    assert take(ending=True) is Verdict.SHUTTING_DOWN
    assert take(in_work=2) is take(held=101) is Verdict.TOO_MUCH_IN_WORK


def test_a_connection_closes_once_nothing_on_it_is_owed():
    def close(owed=False, half=False, unread=False, broken=False):
        return rules.may_close_connection(owed=owed, half_command=half, unread=unread, broken=broken)

    assert close() is close(half=True, unread=True, broken=True) is Verdict.ALLOWED
    assert close(owed=True, broken=True) is Verdict.ANSWER_OWED
    assert close(half=True) is close(unread=True) is Verdict.BYTES_UNREAD


def test_a_list_is_put_in_force_if_its_source_counts_and_it_leaves_something():
    def apply(current=True, whole=False, empty=False, held=True):
        return rules.may_apply_list(source_current=current, whole=whole, empty=empty, some_held=held)

    assert apply() is apply(empty=True) is apply(whole=True) is apply(whole=True, empty=True, held=False)
    assert apply() is Verdict.ALLOWED
    assert apply(whole=True, empty=True) is Verdict.EMPTY_LIST
    assert apply(current=False) is Verdict.SOURCE_REPLACED


def test_a_window_ends_a_hold_up_early_and_time_is_told_in_whole_milliseconds():
    assert rules.repeat_until(100.0, 2.0) == pytest.approx(102.0 - rules.HOLD_UP)
    assert rules.time_told(1.2349) == 1234 and rules.time_told(0.0) == 1
