"""The soak: a short form on a fixed seed; and each invariant fires where a gateway is broken on purpose."""

import subprocess
import sys
from pathlib import Path

import pytest

from emulator.soak.invariants import INVARIANT_CHECKS
from emulator.soak.runner import SoakOptions, run_soak
from emulator.soak.sabotage import SABOTAGES

ROOT = Path(__file__).resolve().parent.parent
# What these break shows only where all gateways do it, or is seen at no gateway, see below.
BROKEN_AT_ALL_GATEWAYS = {
    "cold_servers_stand": "drain",
    "quotas_hold": "slow-clients",
    "commands_are_sound": "slow-clients",
}


def test_a_short_soak_finds_nothing():
    faults = ("server-resets", "drain", "reload", "leave", "accept", "watch-stalls", "restart")
    result = run_soak(SoakOptions(seed=3, gateways=3, seconds=6.0, faults=faults))
    assert result.violations == []
    counts = result.counts()
    assert counts["requests"] > 200 and counts["served"] > counts["requests"] / 2
    assert counts["troubles"] >= 2 and counts["lives"] >= 3


def test_every_invariant_has_a_gateway_that_breaks_it():
    assert set(SABOTAGES) == {check.__name__ for check in INVARIANT_CHECKS}


def test_each_invariant_fires_at_the_gateway_that_breaks_it():
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
def test_what_all_gateways_break_together_is_seen(name):
    faults = (BROKEN_AT_ALL_GATEWAYS[name],)
    options = SoakOptions(seed=1, gateways=12, seconds=5.0, faults=faults, overlap=1, sabotage=(name,) * 12)
    assert name in {violation.invariant for violation in run_soak(options).violations}


@pytest.mark.parametrize(
    "arguments, word", [(["--troubles", "nonsense"], "nonsense"), (["--gateways", "0"], "gateways")]
)
def test_bad_arguments_of_the_soak_are_one_line(arguments, word):
    command = [sys.executable, "-m", "emulator", "soak", *arguments]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert ended.returncode == 2 and word in ended.stderr and ended.stderr.count("\n") == 1
