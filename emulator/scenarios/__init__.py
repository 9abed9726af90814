"""The scenarios by name."""

from __future__ import annotations

from emulator.scenarios import (
    accounts,
    cold_start,
    membership,
    partition,
    quota,
    real,
    steady,
    storm,
    subsets,
)
from emulator.scenarios.base import Scenario

DEFAULT_SCENARIO = "steady"
SCENARIOS: dict[str, Scenario] = {
    scenario.name: scenario
    for scenario in (
        steady.SCENARIO,
        membership.SCENARIO,
        subsets.SCENARIO,
        storm.SCENARIO,
        quota.SCENARIO,
        partition.SCENARIO,
        accounts.SCENARIO,
        cold_start.SCENARIO,
        *real.SCENARIOS,
    )
}
