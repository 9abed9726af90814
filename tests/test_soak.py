"""A short soak with a fixed seed, and soaks in which each invariant check detects a sabotaged gateway."""

import subprocess
import sys
from pathlib import Path

import pytest

from emulator.soak.gateways import SoakGateway
from emulator.soak.invariants import (
    INVARIANT_CHECKS,
    UnavailablePeriod,
    seconds_too_late,
    unavailable_periods,
)
from emulator.soak.record import SoakRecord
from emulator.soak.runner import SoakOptions, run_soak
from emulator.soak.sabotage import SABOTAGES

ROOT = Path(__file__).resolve().parent.parent
# Invariants whose violation needs the sabotage of all gateways, or does not name a gateway, with a fault to
# inject.
BROKEN_AT_ALL_GATEWAYS = {
    "cold_servers_stand": "drain",
    "quotas_hold": "slow-clients",
    "commands_are_sound": "slow-clients",
}


def test_short_soak_has_no_violations():
    faults = ("server-resets", "drain", "reload", "leave", "accept", "watch-stalls", "restart")
    result = run_soak(SoakOptions(seed=3, gateways=3, seconds=6.0, faults=faults))
    assert result.violations == []
    counts = result.counts()
    assert counts["requests"] > 200 and counts["served"] > counts["requests"] / 2
    assert counts["troubles"] >= 2 and counts["lives"] >= 3


def test_failure_of_a_background_task_fails_the_soak(monkeypatch):
    # Guards against a soak that goes on, and finds nothing, once its sampling has ended.
    def fail(gateway):
        raise KeyError("VmRSS")

    monkeypatch.setattr(SoakGateway, "sample", fail)
    with pytest.raises(KeyError, match="VmRSS"):
        run_soak(SoakOptions(gateways=1, seconds=0.0))


def test_server_that_returns_is_unavailable_until_then():
    # Guards against checks of drains that overlook each server that has come back by the end of the soak.
    changes = [("s", "draining", 1.0, 7.0), ("s", "removed", 2.0, 2.0), ("s", "up", 9.0, 15.0)]
    assert unavailable_periods(changes)["s"] == [UnavailablePeriod(7.0, 9.0)]
    changes += [("s", "removed", 20.0, 20.0), ("t", "up", 3.0, 3.0)]
    assert unavailable_periods(changes)["s"][1:] == [UnavailablePeriod(20.0)]
    assert unavailable_periods(changes)["t"] == []
    record = SoakRecord(started_at=0.0)
    for received_at, late in ((7.5, None), (8.5, 1.5), (9.5, None), (20.5, None), (22.0, 2.0)):
        assert seconds_too_late(record, received_at, unavailable_periods(changes)["s"]) == late


def test_each_invariant_check_has_a_sabotage():
    assert set(SABOTAGES) == {check.__name__ for check in INVARIANT_CHECKS}


def test_each_invariant_check_detects_the_gateway_sabotaged_for_it():
    names = [name for name in SABOTAGES if name not in BROKEN_AT_ALL_GATEWAYS]
    faults = ("server-errs", "server-hangs", "drain", "leave", "bad-clients")
    options = SoakOptions(
        seed=1, gateways=len(names), seconds=10.0, faults=faults, overlap=5, sabotage=tuple(names)
    )
    violations = run_soak(options).violations
    for index, name in enumerate(names):
        gateway_violations = [
            violation for violation in violations if f"gateway {index}." in violation.detail
        ]
        assert name in {violation.invariant for violation in gateway_violations}, name


@pytest.mark.parametrize("name", sorted(BROKEN_AT_ALL_GATEWAYS))
def test_invariant_check_detects_sabotage_of_all_gateways(name):
    faults = (BROKEN_AT_ALL_GATEWAYS[name],)
    options = SoakOptions(seed=1, gateways=12, seconds=5.0, faults=faults, overlap=1, sabotage=(name,) * 12)
    assert name in {violation.invariant for violation in run_soak(options).violations}


@pytest.mark.parametrize(
    "arguments, expected_word", [(["--troubles", "nonsense"], "nonsense"), (["--gateways", "0"], "gateways")]
)
def test_invalid_soak_argument_is_reported_in_one_line(arguments, expected_word):
    command = [sys.executable, "-m", "emulator", "soak", *arguments]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert process.returncode == 2 and expected_word in process.stderr and process.stderr.count("\n") == 1
