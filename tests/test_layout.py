import re
import tomllib
from pathlib import Path

import pytest

from calicomast import interface as api

ROOT = Path(__file__).resolve().parent.parent
MOST_LINES = 500  # of a file of the module that are not blank


def test_module_stays_within_its_limits():
    parts = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert parts[0] == "calicomast/policy.py"
    counts = []
    for part in parts:
        lines = (ROOT / part).read_text().splitlines()
        counts.append(sum(1 for ln in lines if ln.strip()))
        assert counts[-1] <= MOST_LINES
        assert all(len(ln) <= 110 for ln in lines)
    assert "interface.py" in "".join((ROOT / parts[0]).read_text().splitlines()[:3])


def test_all_that_the_module_imports_is_named_as_part_of_it():
    named = set(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"])
    for part in sorted(named):
        for name in re.findall(r"^from calicomast\.(\w+) import", (ROOT / part).read_text(), re.M):
            assert f"calicomast/{name}.py" in named


def test_the_program_writes_no_file():
    """So no full or failing disk can lose anything that was taken on."""
    for file in (ROOT / "calicomast").rglob("*.py"):
        text = file.read_text()
        opened = re.findall(r"(?<![\w.])open\(([^)]*)\)", text)
        assert all(told in ("self", 'path, "rb"') or told.startswith("self, ") for told in opened), file
        assert not re.search(r"write_text|write_bytes|os\.open|mkdir|\.rename\(|unlink\(", text), file


def test_readme_example_runs():
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    scope: dict = {}
    exec(compile(code, "README.md", "exec"), scope)
    assert scope["actions"]


@pytest.mark.parametrize(
    "make",
    [
        lambda: api.Plan("p", -1.0, 8.0, 0, 1.0, 0.0, 0.0, 0.0, 0.0, 0.0),
        lambda: api.Plan("p", 1.0, 0.0, 0, 1.0, 0.0, 0.0, 0.0, 0.0, 0.0),
        lambda: api.ServiceClass("c", 1.0, 2.0, "sometimes", "all", 0.0, 1.0, 0.0, False, 0.0),
        lambda: api.Request("r", 1.0, "c", "p", "c", -1.0, 0, 1),
        lambda: api.Request("r", 1.0, "c", "p", "c", 1.0, 0, 0),
        lambda: api.Server("h", "z", 0, 1.0, "k", "maybe", 0.0),
        lambda: api.Outcome("r", 0, "h", "fine", 0.1, True),
    ],
)
def test_types_reject_what_makes_no_sense(make):
    with pytest.raises(ValueError):
        make()
