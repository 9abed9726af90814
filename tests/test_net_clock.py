"""A gateway whose machine's wall clock is stepped while it runs."""

import asyncio
import time

import pytest
from netkit import SETTINGS, GatewayHarness, StubServer, on_loop, server_entry

COLD = {**SETTINGS["rules"], "cold": 18_000_000_000}
AGE = 2.0  # s since the server's start, as it is told


@pytest.mark.parametrize("step", [3600.0, -3600.0])
@on_loop
async def test_a_server_that_starts_after_a_step_is_cold(step, tmp_path, monkeypatch):
    real = time.time
    async with StubServer() as warm, StubServer() as cold:
        async with GatewayHarness(warm, path=tmp_path, settings={**SETTINGS, "rules": COLD}) as node:
            monkeypatch.setattr(time, "time", lambda: real() + step)  # every machine reads the same clock
            started = {"started_ms": int(1000 * (time.time() - AGE))}
            node.discovery.changes.put_nowait([server_entry(cold, "h2") | started])
            balancer = node.service.policy.balancer
            while "h2" not in balancer.servers:
                await asyncio.sleep(0.01)
            warmth = balancer.servers["h2"].slow_start_weight(
                node.service.clock(), node.service.settings.rules
            )
            assert 0.2 < warmth < 0.5  # a fifth at its start, all of its capacity after 18 s
