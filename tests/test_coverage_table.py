"""The coverage table of the fault hunt names code and tests that exist, and speaks of every crossing."""

import importlib
import re
import tomllib
from pathlib import Path

import pytest

from emulator.soak.invariants import INVARIANT_CHECKS

ROOT = Path(__file__).resolve().parent.parent
TABLE = tomllib.loads((ROOT / "docs" / "incidents" / "coverage.toml").read_text())
INVARIANTS = {check.__name__ for check in INVARIANT_CHECKS}


def resolve(path):
    """The function or class that a dotted path below the package names."""
    words = path.split(".")
    for count in range(len(words), 0, -1):
        try:
            found = importlib.import_module("calicomast." + ".".join(words[:count]))
        except ModuleNotFoundError:
            continue
        for word in words[count:]:
            found = getattr(found, word)
        return found
    raise AssertionError(path)


def forces(test):
    """Whether a test or an invariant of the soak of this name exists."""
    if test.startswith("soak "):
        return test.removeprefix("soak ") in INVARIANTS
    file, _, name = test.partition("::")
    return re.search(rf"^(async )?def {name}\(", (ROOT / "tests" / file).read_text(), re.M) is not None


@pytest.mark.parametrize("rule", TABLE["rule"], ids=lambda rule: rule["name"][:40])
def test_each_crossing_of_a_rule_is_kept_by_code_that_exists(rule):
    columns = TABLE["columns"]
    assert sorted([*rule["untouched"], *rule["cells"]]) == sorted(columns)
    for keeper, test in rule["cells"].values():
        assert callable(resolve(keeper)) or isinstance(resolve(keeper), property)
        assert test == "none" or forces(test), test
