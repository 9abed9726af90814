"""The deploy file: the build compiles the program, and the commands start it from that build."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())


@pytest.fixture
def built_program(tmp_path):
    """A copy of the program after a build, with its packages already installed."""
    ignore_compiled = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "calicomast", tmp_path / "calicomast", ignore=ignore_compiled)
    shutil.copy(ROOT / "requirements.txt", tmp_path)
    python = tmp_path / ".venv" / "bin" / "python"
    python.parent.mkdir(parents=True)
    python.symlink_to(sys.executable)
    shutil.copy(ROOT / "requirements.txt", tmp_path / ".venv" / "installed")
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=tmp_path, check=True)
    return tmp_path


def modules_compiled_at_start(root):
    """Returns a line of the interpreter's log for each module that it has to compile at a start."""
    import_log = subprocess.run(
        [sys.executable, "-B", "-v", "-c", "import calicomast.net.program"],
        cwd=root,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
    ).stderr
    assert "calicomast/net/gateway.py" in import_log
    return [
        line
        for line in import_log.splitlines()
        if "code object from" in line and "calicomast" in line and ".pyc" not in line
    ]


def test_start_compiles_nothing_after_a_build(built_program):
    assert not modules_compiled_at_start(built_program)


def test_start_compiles_nothing_if_only_modification_times_changed(built_program):
    for file in built_program.glob("calicomast/**/*.py"):
        os.utime(file, (1, 1))
    assert not modules_compiled_at_start(built_program)


def test_file_changed_since_the_build_is_compiled_at_start(built_program):
    file = built_program / "calicomast" / "net" / "framing.py"
    file.write_text(file.read_text() + "\nADDED = 1\n")
    assert [line for line in modules_compiled_at_start(built_program) if "framing" in line]


def test_commands_use_exec_in_the_built_environment():
    assert DEPLOY["run"].startswith("exec .venv/bin/python ") and DEPLOY["sim"].startswith("exec .venv/bin/")


def test_start_imports_no_heavy_modules():
    """These modules, which an HTTP client library imports, take the most CPU; hundreds of gateways may start
    at once."""
    heavy = {"aiohttp", "email", "email.parser", "http", "http.client", "urllib.request", "multiprocessing"}
    code = "import calicomast.net.program, sys; print(*sys.modules)"
    imported = subprocess.run(
        [sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.split()
    assert "calicomast.net.gateway" in imported and not heavy & set(imported)
