"""Checks that coverage.toml, the table of rules, has no gaps and names code and tests that exist."""

import importlib
import re
import tomllib
from pathlib import Path

import pytest

from emulator.soak.judges import JUDGES

ROOT = Path(__file__).resolve().parent.parent
TABLE = tomllib.loads((ROOT / "docs" / "incidents" / "coverage.toml").read_text())
SOAK_INVARIANTS = {judge.__name__ for judge in JUDGES}


def resolve(path):
    """Returns the function, class or property that a dotted path below the package names."""
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


def is_existing_test(name):
    """Whether a test, given as file::function, or an invariant of the soak, given as "soak ...", exists."""
    if name.startswith("soak "):
        return name.removeprefix("soak ") in SOAK_INVARIANTS
    file, _, function = name.partition("::")
    return re.search(rf"^(async )?def {function}\(", (ROOT / "tests" / file).read_text(), re.M) is not None


@pytest.mark.parametrize("rule", TABLE["rule"], ids=lambda rule: rule["name"][:40])
def test_every_situation_of_a_rule_names_existing_code_and_test(rule):
    columns = TABLE["columns"]
    assert sorted([*rule["untouched"], *rule["cells"]]) == sorted(columns)
    for code, test in rule["cells"].values():
        assert callable(resolve(code)) or isinstance(resolve(code), property)
        assert test == "none" or is_existing_test(test), test
