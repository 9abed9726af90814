"""The layout of the source: size and imports of the policy, file access, the README example, type checks."""

import re
import tomllib
from pathlib import Path

import pytest

from calicomast import interface as api

ROOT = Path(__file__).resolve().parent.parent
MAX_LINES = 500  # non-blank lines in a file of the policy


def test_policy_files_stay_within_the_line_limits():
    files = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    assert files[0] == "calicomast/policy.py"
    counts = []
    for file in files:
        lines = (ROOT / file).read_text().splitlines()
        counts.append(sum(1 for line in lines if line.strip()))
        assert counts[-1] <= MAX_LINES
        assert all(len(line) <= 110 for line in lines)
    assert "interface.py" in "".join((ROOT / files[0]).read_text().splitlines()[:3])


def test_deploy_file_names_every_module_that_the_policy_imports():
    policy_files = set(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"])
    for file in sorted(policy_files):
        for name in re.findall(r"^from calicomast\.(\w+) import", (ROOT / file).read_text(), re.M):
            assert f"calicomast/{name}.py" in policy_files


def test_program_writes_no_file():
    """A full or failing disk therefore cannot lose any request that was accepted."""
    for file in (ROOT / "calicomast").rglob("*.py"):
        text = file.read_text()
        open_arguments = re.findall(r"(?<![\w.])open\(([^)]*)\)", text)
        assert all(
            arguments in ("self", 'path, "rb"') or arguments.startswith("self, ")
            for arguments in open_arguments
        ), file
        assert not re.search(r"write_text|write_bytes|os\.open|mkdir|\.rename\(|unlink\(", text), file


def test_readme_example_runs():
    text = (ROOT / "README.md").read_text()
    code = text.split("```python\n")[1].split("```")[0]
    namespace: dict = {}
    exec(compile(code, "README.md", "exec"), namespace)
    assert namespace["actions"]


@pytest.mark.parametrize(
    "create",
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
def test_types_reject_invalid_values(create):
    with pytest.raises(ValueError):
        create()
