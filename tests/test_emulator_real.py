"""Tests of the emulator with real gateways at small sizes, and that every process is terminated."""

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
# Each tenant requests 10 units: all are admitted, some by a lease
AMPLE_PLAN = PlanQuota("standard", rate=20.0, burst=20.0)


def child_pids(pid):
    """Returns the ids of the child processes that are still running."""
    output = Path(f"/proc/{pid}/task/{pid}/children").read_text()
    return [int(child) for child in output.split()]


@on_loop
async def test_requests_pass_a_real_gateway_and_are_counted_by_the_stand_ins():
    deployment = Deployment(gateways=4, servers=20, plans=(AMPLE_PLAN,))
    async with running_stand_ins() as stand_ins:
        assert (await stand_ins.command("list", gateways=4, servers=20))["bytes"] > 1000
        async with running_gateway(deployment, stand_ins.ports) as gateway:
            latencies = await send_at_constant_rate(gateway.port, 100.0, 0.5, 4, "standard", tenants=5)
            tally = await stand_ins.command("tally")
            pid = gateway.process.pid
            assert process_usage(pid).peak_kb >= process_usage(pid).resident_kb > 0
        with pytest.raises(ProcessError):
            process_usage(pid)
        stand_ins_pid = stand_ins.process.pid
    with pytest.raises(ProcessError):
        process_usage(stand_ins_pid)
    assert latencies.not_served == 0 and latencies.histogram.get_total_count() == 50
    assert tally["commands"] >= 50 and tally["counter_calls"] > 0
    assert tally["whole_lists"] == 1 and tally["discovery_bytes"] > 1000


@on_loop
async def test_change_of_the_server_list_is_sent_without_the_full_list():
    deployment = Deployment(gateways=4, servers=20)
    async with running_stand_ins() as stand_ins:
        await stand_ins.command("list", gateways=4, servers=20)
        async with running_gateway(deployment, stand_ins.ports):
            before = await stand_ins.command("tally")
            assert (await stand_ins.command("changes", count=3, first=0, every=0.05))["version"] == 4
            await asyncio.sleep(0.2)
            after = await stand_ins.command("tally")
    assert after["whole_lists"] == before["whole_lists"]
    assert after["discovery_calls"] > before["discovery_calls"]


@on_loop
async def test_gateway_that_does_not_start_raises_an_error(monkeypatch):
    monkeypatch.setattr(processes, "gateway_command", lambda: [sys.executable, "-c", "raise SystemExit(3)"])
    async with running_stand_ins() as stand_ins:
        with pytest.raises(ProcessError, match="ended with 3"):
            async with running_gateway(Deployment(4, 20), stand_ins.ports):
                pass


@on_loop
async def test_interrupt_that_comes_together_with_a_response_is_not_ignored(monkeypatch):
    # Guards against a scenario that runs on after SIGINT.
    response = asyncio.get_running_loop().create_future()

    class Connection:
        async def readline(self):
            return await response

        def write(self, data):
            pass

        def close(self):
            pass

    async def open_connection(host, port):
        return Connection(), Connection()

    monkeypatch.setattr(asyncio, "open_connection", open_connection)
    task = asyncio.create_task(processes.answers_ping(1, timeout=10.0))
    await asyncio.sleep(0.01)
    response.set_result(processes.PONG)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


def test_interrupt_leaves_no_process_behind():
    command = [sys.executable, "-m", "emulator", "run", "real-reload", "--servers", "50"]
    process = subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE)
    try:
        deadline = time.monotonic() + 20
        while len(pids := child_pids(process.pid)) < 2 and time.monotonic() < deadline:
            time.sleep(0.01)
        assert len(pids) == 2
        process.send_signal(signal.SIGINT)
        process.communicate(timeout=20)
        assert process.returncode == 130
        assert not [pid for pid in pids if os.path.exists(f"/proc/{pid}")]
    finally:
        process.kill()
        process.communicate()


def test_usage_of_an_ended_process_that_was_not_reaped_is_a_process_error():
    """The kernel lists no memory sizes for a zombie; a task that samples processes must survive that."""
    process = subprocess.Popen([sys.executable, "-c", ""])
    try:
        os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)
        with pytest.raises(ProcessError):
            process_usage(process.pid)
    finally:
        process.wait()
