"""A gateway whose machine's wall clock is stepped while it runs."""

import asyncio
import time

import pytest
from netkit import SETTINGS, GatewayHarness, StubServer, on_loop, server_entry

SLOW_START_RULES = {**SETTINGS["rules"], "cold": 18_000_000_000}  # nanoseconds
AGE = 2.0  # seconds since the server's start, as discovery sends it


@pytest.mark.parametrize("step", [3600.0, -3600.0])
@on_loop
async def test_server_that_starts_after_a_clock_step_is_in_slow_start(step, tmp_path, monkeypatch):
    wall_clock = time.time
    async with StubServer() as running, StubServer() as restarted:
        async with GatewayHarness(
            running, path=tmp_path, settings={**SETTINGS, "rules": SLOW_START_RULES}
        ) as harness:
            monkeypatch.setattr(time, "time", lambda: wall_clock() + step)  # all machines were stepped alike
            started = {"started_ms": int(1000 * (time.time() - AGE))}
            harness.discovery.changes.put_nowait([server_entry(restarted, "h2") | started])
            balancer = harness.service.policy.balancer
            while "h2" not in balancer.servers:
                await asyncio.sleep(0.01)
            weight = balancer.servers["h2"].slow_start_weight(
                harness.service.clock(), harness.service.settings.rules
            )
            assert 0.2 < weight < 0.5  # 0.2 at its start, all of its capacity after 18 s
