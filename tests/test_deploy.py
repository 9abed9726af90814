"""The deploy file: what a start finds ready."""

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
def built(tmp_path):
    """A copy that was built where the packages were installed before."""
    bare = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / "calicomast", tmp_path / "calicomast", ignore=bare)
    shutil.copy(ROOT / "requirements.txt", tmp_path)
    python = tmp_path / ".venv" / "bin" / "python"
    python.parent.mkdir(parents=True)
    python.symlink_to(sys.executable)
    shutil.copy(ROOT / "requirements.txt", tmp_path / ".venv" / "installed")
    subprocess.run(["/bin/sh", "-c", DEPLOY["build"]], cwd=tmp_path, check=True)
    return tmp_path


def compiled_at_start(root):
    """The parts of the program that a start finds no compiled form of."""
    told = subprocess.run(
        [sys.executable, "-B", "-v", "-c", "import calicomast.net.program"],
        cwd=root,
        capture_output=True,
        text=True,
        check=True,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
    ).stderr
    assert "calicomast/net/gateway.py" in told
    return [
        line
        for line in told.splitlines()
        if "code object from" in line and "calicomast" in line and ".pyc" not in line
    ]


def test_a_start_finds_the_program_compiled(built):
    assert not compiled_at_start(built)


def test_files_that_were_copied_since_the_build_are_still_found_compiled(built):
    for file in built.glob("calicomast/**/*.py"):
        os.utime(file, (1, 1))
    assert not compiled_at_start(built)


def test_a_file_that_was_changed_since_the_build_is_not_taken_from_there(built):
    file = built / "calicomast" / "net" / "framing.py"
    file.write_text(file.read_text() + "\nADDED = 1\n")
    assert [line for line in compiled_at_start(built) if "framing" in line]


def test_run_ends_by_exec_in_the_built_environment():
    assert DEPLOY["run"].startswith("exec .venv/bin/python ") and DEPLOY["sim"].startswith("exec .venv/bin/")


def test_a_start_imports_no_more_than_it_uses():
    """What takes most CPU of all that a client library for HTTP brings along; hundreds may start at once."""
    heavy = {"aiohttp", "email", "email.parser", "http", "http.client", "urllib.request", "multiprocessing"}
    code = "import calicomast.net.program, sys; print(*sys.modules)"
    told = subprocess.run(
        [sys.executable, "-B", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    ).stdout.split()
    assert "calicomast.net.gateway" in told and not heavy & set(told)
