"""The emulator's real gateways: small forms, and that nothing is left behind."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from netkit import on_loop

from emulator.deployment import Deployment, PlanQuota
from emulator.real import processes
from emulator.real.load import send_at_constant_rate
from emulator.real.processes import ProcessError, process_usage, running_gateway, running_stand_ins

ROOT = Path(__file__).resolve().parent.parent
AMPLE = PlanQuota("standard", rate=20.0, burst=20.0)  # a tenant asks 10 units here: all pass, some by a lease


def children(pid):
    """Ids of the processes that a process started and that still are there."""
    told = Path(f"/proc/{pid}/task/{pid}/children").read_text()
    return [int(word) for word in told.split()]


@on_loop
async def test_requests_go_through_a_real_gateway_and_are_counted_at_the_stand_ins():
    shape = Deployment(gateways=4, servers=20, plans=(AMPLE,))
    async with running_stand_ins() as others:
        assert (await others.command("list", gateways=4, servers=20))["bytes"] > 1000
        async with running_gateway(shape, others.ports) as started:
            latencies = await send_at_constant_rate(started.port, 100.0, 0.5, 4, "standard", tenants=5)
            tally = await others.command("tally")
            pid = started.process.pid
            assert process_usage(pid).peak_kb >= process_usage(pid).resident_kb > 0
        with pytest.raises(ProcessError):
            process_usage(pid)
        other = others.process.pid
    with pytest.raises(ProcessError):
        process_usage(other)
    assert latencies.not_served == 0 and latencies.histogram.get_total_count() == 50
    assert tally["commands"] >= 50 and tally["counter_calls"] > 0
    assert tally["whole_lists"] == 1 and tally["discovery_bytes"] > 1000


@on_loop
async def test_a_change_reaches_the_gateway_as_a_change():
    shape = Deployment(gateways=4, servers=20)
    async with running_stand_ins() as others:
        await others.command("list", gateways=4, servers=20)
        async with running_gateway(shape, others.ports):
            before = await others.command("tally")
            assert (await others.command("changes", count=3, first=0, every=0.05))["version"] == 4
            await asyncio.sleep(0.2)
            after = await others.command("tally")
    assert after["whole_lists"] == before["whole_lists"]
    assert after["discovery_calls"] > before["discovery_calls"]


@on_loop
async def test_a_gateway_that_does_not_start_is_an_error(monkeypatch):
    monkeypatch.setattr(processes, "gateway_command", lambda: [sys.executable, "-c", "raise SystemExit(3)"])
    async with running_stand_ins() as others:
        with pytest.raises(ProcessError, match="ended with 3"):
            async with running_gateway(Deployment(4, 20), others.ports):
                pass


def test_an_interrupt_leaves_no_process_behind():
    command = [sys.executable, "-m", "emulator", "run", "real-reload", "--servers", "50"]
    running = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    try:
        until = time.monotonic() + 20
        while len(started := children(running.pid)) < 2 and time.monotonic() < until:
            time.sleep(0.01)
        assert len(started) == 2
        running.send_signal(signal.SIGINT)
        running.communicate(timeout=20)
        assert running.returncode == 130
        assert not [pid for pid in started if os.path.exists(f"/proc/{pid}")]
    finally:
        running.kill()
        running.communicate()
