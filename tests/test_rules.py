"""Rules that decide whether an action may start."""

import dataclasses
import math

import pytest
from helpers import READ, UNSAFE_WRITE, WRITE

from calicomast import rules
from calicomast.rules import AttemptFacts, PartialWriteFacts, Verdict, may_finish_write, may_write_attempt

ALLOWED_ATTEMPT = AttemptFacts(
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
FACTS_BY_VERDICT = {
    Verdict.REQUEST_FINISHED: {"finished": True},
    Verdict.CLIENT_GONE: {"client_gone": True},
    Verdict.DEADLINE_PASSED: {"remaining_time": 0.0},
    Verdict.ATTEMPT_LIMIT: {"attempts_written": 3},
    Verdict.HEDGING_NOT_ALLOWED: {"other_attempts": 1},
    Verdict.RETRY_WINDOW_CLOSED: {"retry_window_left": -0.001},
    Verdict.SERVER_UNAVAILABLE: {"server_listed": False},
    Verdict.SLOW_START_BUDGET_SPENT: {"within_slow_start_budget": False},
}


def test_attempt_is_allowed_when_no_rule_forbids_it():
    assert may_write_attempt(ALLOWED_ATTEMPT) is Verdict.ALLOWED
    assert (
        may_write_attempt(dataclasses.replace(ALLOWED_ATTEMPT, other_attempts=1, hedging_allowed=True))
        is Verdict.ALLOWED
    )


@pytest.mark.parametrize("verdict", FACTS_BY_VERDICT, ids=lambda verdict: verdict.name)
def test_each_violated_rule_returns_its_verdict(verdict):
    assert may_write_attempt(dataclasses.replace(ALLOWED_ATTEMPT, **FACTS_BY_VERDICT[verdict])) is verdict


def test_finished_request_takes_precedence_over_other_verdicts():
    facts = dataclasses.replace(ALLOWED_ATTEMPT, finished=True, client_gone=True, remaining_time=-1.0)
    assert may_write_attempt(facts) is Verdict.REQUEST_FINISHED


def test_requests_are_accepted_until_shutdown_or_a_limit():
    def accept(shutting_down=False, active_requests=0, command_bytes=0):
        return rules.may_accept_request(
            shutting_down=shutting_down,
            active_requests=active_requests,
            max_active_requests=2,
            command_bytes=command_bytes,
            max_command_bytes=100,
        )

    assert accept() is accept(active_requests=1, command_bytes=100) is Verdict.ALLOWED
    assert accept(shutting_down=True) is Verdict.SHUTTING_DOWN
    assert accept(active_requests=2) is accept(command_bytes=101) is Verdict.CAPACITY_EXCEEDED


def test_connection_may_close_without_pending_response_or_unread_input():
    def close(response_pending=False, partial=False, unread=False, framing_lost=False):
        return rules.may_close_connection(
            response_pending=response_pending,
            partial_command=partial,
            unread_input=unread,
            framing_lost=framing_lost,
        )

    assert close() is close(partial=True, unread=True, framing_lost=True) is Verdict.ALLOWED
    assert close(response_pending=True, framing_lost=True) is Verdict.RESPONSE_PENDING
    assert close(partial=True) is close(unread=True) is Verdict.UNREAD_INPUT


def test_server_list_is_applied_if_source_is_current_and_servers_remain():
    def apply(superseded=False, complete=False, empty=False, newer=False, has_servers=True):
        return rules.may_apply_server_list(
            source_superseded=superseded,
            is_complete=complete,
            is_empty=empty,
            is_newer=newer,
            has_servers=has_servers,
        )

    assert (
        apply()
        is apply(empty=True)
        is apply(complete=True)
        is apply(complete=True, empty=True, has_servers=False)
        is apply(complete=True, empty=True, newer=True)
    )
    assert apply() is Verdict.ALLOWED
    assert apply(complete=True, empty=True) is Verdict.EMPTY_SERVER_LIST
    assert apply(superseded=True) is apply(superseded=True, newer=True) is Verdict.SOURCE_REPLACED


def test_retry_window_ends_early_and_remaining_time_is_in_whole_milliseconds():
    keyed = dataclasses.replace(WRITE, dedup_window=2.0)
    assert rules.retry_deadline(keyed, [100.0]) == pytest.approx(102.0 - rules.MAX_PROCESS_PAUSE)
    assert rules.retry_deadline(keyed, [101.0, 100.0]) == rules.retry_deadline(keyed, [100.0])
    assert rules.remaining_time_ms(1.2349) == 1234 and rules.remaining_time_ms(0.0) == 1


def test_what_may_have_been_executed_limits_other_attempts_by_the_class_of_the_request():
    assert rules.retry_deadline(READ, [100.0]) == math.inf
    assert rules.retry_deadline(WRITE, []) == rules.retry_deadline(UNSAFE_WRITE, []) == math.inf
    assert rules.retry_deadline(UNSAFE_WRITE, [100.0]) == -math.inf


ALLOWED_REST = PartialWriteFacts(
    finished=False,
    client_gone=False,
    remaining_time=1.0,
    retry_window_left=math.inf,
    server_listed=True,
    begun=False,
    write_time=0.0,
)


def test_rest_of_a_partly_written_command_is_allowed_until_a_fact_changes():
    def verdict(**facts):
        return may_finish_write(dataclasses.replace(ALLOWED_REST, **facts))

    assert verdict() is verdict(begun=True, server_listed=False) is Verdict.ALLOWED
    assert verdict(finished=True) is Verdict.REQUEST_FINISHED
    assert verdict(client_gone=True) is Verdict.CLIENT_GONE
    assert verdict(server_listed=False) is Verdict.SERVER_UNAVAILABLE
    # Each time has to last until the next check.
    assert verdict(remaining_time=rules.WRITE_CHECK_INTERVAL) is Verdict.DEADLINE_PASSED
    assert verdict(retry_window_left=rules.WRITE_CHECK_INTERVAL) is Verdict.RETRY_WINDOW_CLOSED
    assert verdict(write_time=rules.MAX_WRITE_TIME) is Verdict.REMAINING_TIME_OUTDATED
