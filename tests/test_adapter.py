"""The adapter to the simulator: the events it reads, the actions it writes and the errors it reports."""

import io
import re

from calicomast.adapter import Adapter

OPTIONS = (
    "group_size=1 index=0 limits.cancel=true limits.second_copies=true limits.max_attempts=3 locality=a "
    "plans.count=1 plans.0.name=p plans.0.rate=5 plans.0.most_at_once=10 prices.cross_zone=0.1 "
    "registry_mode=pushed reporting.names=active rules.answer_slack=8000000 rules.cold=1000000000 "
    "rules.drain_grace=1000000000 rules.fall_multiple=2 rules.start_capacity=0.2 rules.tip_after=1000000000 "
    "services.count=1 services.0.name=c services.0.slo=100000000 services.0.deadline=500000000 "
    "services.0.effect=pure services.0.gain=1 specifics.shared_counter=true "
    "specifics.counter_timeout=30000000 unheard.of=1"
)
START = [
    "ROUND at_time=1000000000",
    f"PROVISION i=3 nonce64=7 {OPTIONS}",
    "TARGETS i=3 mode=cached index=1 rows_in=1",
    "HOST host=h1 flavor=k unit_group=0 heft=1 zone=a availability=U odd=1",
    "GO",
]
REQUEST = [
    "ROUND at_time=1002000000",
    "WORK_ITEM i=3 txn=t/1 patience_left=500000000 n_entries=1 cost_units=1 customer=c/1 "
    "type=c tier=p first=0",
    "GO",
]


def run_adapter(lines):
    """Returns the exit code of an adapter that reads these lines, and what it writes."""
    output = io.StringIO()
    exit_code = Adapter(io.StringIO("\n".join(lines) + "\n"), output).run()
    return exit_code, output.getvalue()


def test_request_is_assigned_to_a_server_and_each_batch_is_acknowledged():
    exit_code, text = run_adapter(
        ["ROUND at_time=5", "GO", ""]
        + START
        + REQUEST
        + [
            "ROUND at_time=1010000000",
            "REPORT_BACK i=3 txn=t/1 attempt=0 host=h1 reason=GOOD time_taken=8000000 terminal=1 "
            "server_stats=active:2,odd:1",
            "DETACH i=3",
            "GO",
        ]
    )
    assert exit_code == 0 and text.count("ACK\n") == 4
    assert "ASSIGN i=3 txn=t/1 timeout=0 host=h1\n" in text
    assert re.search(r"AFTER i=3 sleep_for=\d+ label=0\n", text)


def test_protocol_error_names_the_line_and_the_cause(capsys):
    for bad_line, cause in (
        ("NONSENSE i=3", "unknown event"),
        ("DUE i=3", "label"),
        ("DUE i=9 label=1", "not been set up"),
        ("DUE i=3 label", "not name=value"),
        ("DUE i=3 label=x", "invalid"),
    ):
        exit_code, text = run_adapter(START + ["ROUND at_time=1002000000", bad_line, "GO"])
        assert exit_code == 1
        err = capsys.readouterr().err
        assert "line 7" in err and cause in err and bad_line in err
        if "i=3" in bad_line and "=value" not in cause:
            assert "INTERNAL_ERROR i=3 words=line 7" in text


def test_missing_setting_is_named_in_the_error(capsys):
    lines = [line.replace(" limits.max_attempts=3", "") for line in START]
    exit_code, _ = run_adapter(lines)
    assert exit_code == 1 and "max_attempts" in capsys.readouterr().err


def test_exception_in_the_policy_is_reported_as_an_action():
    request = [line.replace("type=c", "type=unheard") for line in REQUEST]
    exit_code, text = run_adapter(START + request)
    assert "INTERNAL_ERROR i=3 words=KeyError: 'unheard'" in text and exit_code == 0
