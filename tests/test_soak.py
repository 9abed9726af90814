"""The soak: a short form on a fixed seed; and each invariant fires where a gateway is broken on purpose."""

import subprocess
import sys
from pathlib import Path

import pytest

from emulator.soak.invariants import JUDGES
from emulator.soak.runner import SoakOptions, play
from emulator.soak.sabotage import BREAKS

ROOT = Path(__file__).resolve().parent.parent
# What these break shows only where all gateways do it, or is seen at no gateway, see below.
TOGETHER = {
    "cold_servers_stand": "drain",
    "quotas_hold": "slow-clients",
    "commands_are_sound": "slow-clients",
}


def test_a_short_soak_finds_nothing():
    troubles = ("server-resets", "drain", "reload", "leave", "accept", "watch-stalls", "restart")
    result = play(SoakOptions(seed=3, gateways=3, seconds=6.0, troubles=troubles))
    assert result.violations == []
    counts = result.counts()
    assert counts["requests"] > 200 and counts["served"] > counts["requests"] / 2
    assert counts["troubles"] >= 2 and counts["lives"] >= 3


def test_every_invariant_has_a_gateway_that_breaks_it():
    assert set(BREAKS) == {judge.__name__ for judge in JUDGES}


def test_each_invariant_fires_at_the_gateway_that_breaks_it():
    names = [name for name in BREAKS if name not in TOGETHER]
    troubles = ("server-errs", "server-hangs", "drain", "leave", "bad-clients")
    options = SoakOptions(
        seed=1, gateways=len(names), seconds=10.0, troubles=troubles, overlap=5, broken=tuple(names)
    )
    violations = play(options).violations
    for index, name in enumerate(names):
        there = [each for each in violations if f"gateway {index}." in each.detail]
        assert name in {each.invariant for each in there}, name


@pytest.mark.parametrize("name", sorted(TOGETHER))
def test_what_all_gateways_break_together_is_seen(name):
    trouble = (TOGETHER[name],)
    options = SoakOptions(seed=1, gateways=12, seconds=5.0, troubles=trouble, overlap=1, broken=(name,) * 12)
    assert name in {each.invariant for each in play(options).violations}


@pytest.mark.parametrize(
    "arguments, word", [(["--troubles", "nonsense"], "nonsense"), (["--gateways", "0"], "gateways")]
)
def test_bad_arguments_of_the_soak_are_one_line(arguments, word):
    command = [sys.executable, "-m", "emulator", "soak", *arguments]
    ended = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert ended.returncode == 2 and word in ended.stderr and ended.stderr.count("\n") == 1
