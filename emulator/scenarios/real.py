"""Scenarios that start real gateways on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import uvloop

from emulator.deployment import GATEWAYS_AT_TARGET, SERVERS_AT_TARGET, Deployment, PlanQuota
from emulator.real.load import PERCENTILES, Latencies, ask_steadily
from emulator.real.processes import (
    GatewayProcess,
    ProcessError,
    StandInProcess,
    running_gateway,
    running_stand_ins,
)
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes

PLAN = PlanQuota("standard", rate=1000.0, burst=4000.0)  # no request is refused for its quota
RATE, SECONDS, CONNECTIONS = 200.0, 10.0, 16  # requests a second; of each measurement; clients' connections
CHANGES, CHANGE_EVERY = 200, 0.02  # changes told and the seconds between them
IDLE_SECONDS = 5.0
SETTLE = 0.3  # seconds after which what was told has been taken up
KILOBYTES = 1024


def deployment(options: Options, servers: int) -> Deployment:
    """The target's gateways before so many servers."""
    return Deployment(options.gateways or GATEWAYS_AT_TARGET, servers, plans=(PLAN,))


Measure = Callable[[GatewayProcess, StandInProcess], Awaitable[Row]]


async def with_gateway(shape: Deployment, known: int, measure: Measure) -> Row:
    """Starts stand-ins and one gateway, and gives what is measured while they run."""
    async with running_stand_ins() as others:
        await others.command("list", gateways=shape.gateways, servers=shape.servers)
        async with running_gateway(shape, others.ports, known) as started:
            return await measure(started, others)


async def rows_by_servers(options: Options, sizes: list[int], measure: Measure, known: bool) -> list[Row]:
    """Measures before lists of several sizes, which the gateway has known from its start or not. One that
    never is ready has a row that says so."""
    rows: list[Row] = []
    for done, servers in enumerate(sizes):
        options.progress(f"{servers} servers", done / len(sizes))
        try:
            row = await with_gateway(deployment(options, servers), servers if known else 0, measure)
        except ProcessError:
            row = {"never_ready": True}
        rows.append({"servers": servers, "never_ready": False} | row)
    return rows


async def list_cost(started: GatewayProcess, others: StandInProcess) -> Row:
    """A start from discovery's list, then quiet seconds, then one change after another."""
    await asyncio.sleep(SETTLE)
    at_start, asked = started.usage(), await others.command("tally")
    await asyncio.sleep(IDLE_SECONDS)
    quiet, asked_quiet = started.usage(), await others.command("tally")
    await others.command("changes", count=CHANGES, first=0, every=CHANGE_EVERY)
    await asyncio.sleep(SETTLE)
    changed = started.usage()
    changing = changed.cpu - quiet.cpu - (quiet.cpu - at_start.cpu) / IDLE_SECONDS * CHANGES * CHANGE_EVERY
    return {
        "ready_after_s": started.ready_after,
        "start_cpu_s": at_start.cpu,
        "peak_mb": changed.peak / KILOBYTES,
        "resident_mb": at_start.resident / KILOBYTES,
        "whole_lists_at_start": asked["whole_lists"],
        "idle_cpu_part": (quiet.cpu - at_start.cpu) / IDLE_SECONDS,
        "idle_bytes_per_s": (asked_quiet["discovery_bytes"] - asked["discovery_bytes"]) / IDLE_SECONDS,
        "change_cpu_ms": 1000 * changing / CHANGES,
    }


async def membership_rows(options: Options) -> list[Row]:
    """A gateway that knows no servers, before lists of several sizes."""
    sizes = geometric_sizes(options.servers or SERVERS_AT_TARGET, steps=4, factor=4.7)
    return await rows_by_servers(options, sizes, list_cost, known=False)


def added(through: Latencies, direct: Latencies) -> Row:
    """What the gateway adds to a request, at several percentiles."""
    row: Row = {}
    for name, percentile in PERCENTILES.items():
        row[f"direct_{name}_ms"] = direct.at(percentile) / 1000
        row[f"through_{name}_ms"] = through.at(percentile) / 1000
        row[f"added_{name}_ms"] = row[f"through_{name}_ms"] - row[f"direct_{name}_ms"]
    return row


async def latency_rows(options: Options) -> list[Row]:
    """Requests through a gateway against the same asked directly, first quiet, then with a change of the list
    each second fifty."""
    sizes = [200, options.servers or SERVERS_AT_TARGET]

    async def measure(started: GatewayProcess, others: StandInProcess) -> Row:
        direct = await ask_steadily(others.ports["server"], RATE, SECONDS, CONNECTIONS, PLAN.name)
        before = started.usage()
        through = await ask_steadily(started.port, RATE, SECONDS, CONNECTIONS, PLAN.name)
        cpu = started.usage().cpu - before.cpu
        changing = asyncio.ensure_future(
            others.command("changes", count=int(SECONDS), first=0, every=1.0),
        )
        under_change = await ask_steadily(started.port, RATE, SECONDS, CONNECTIONS, PLAN.name)
        await changing
        return {
            **added(through, direct),
            "changing_p99_ms": under_change.at(99.0) / 1000,
            "changing_p99_9_ms": under_change.at(99.9) / 1000,
            "cpu_us_per_request": 1e6 * cpu / (RATE * SECONDS),
            "not_served": direct.not_served + through.not_served + under_change.not_served,
        }

    return await rows_by_servers(options, sizes, measure, known=True)


async def connection_rows(options: Options) -> list[Row]:
    """Memory of idle clients' connections."""
    rows: list[Row] = []
    sizes = geometric_sizes(1000, steps=4, factor=3.0)

    async def measure(started: GatewayProcess, others: StandInProcess) -> Row:
        before, writers = started.usage(), []
        for _ in range(connections):
            _, writer = await asyncio.open_connection("127.0.0.1", started.port)
            writers.append(writer)
        await asyncio.sleep(SETTLE)
        grown = started.usage().resident - before.resident
        for writer in writers:
            writer.close()
        return {"connections": connections, "resident_kb": grown}

    for done, connections in enumerate(sizes):
        options.progress(f"{connections} connections", done / len(sizes))
        rows.append(await with_gateway(deployment(options, options.servers or 64), 64, measure))
    return rows


async def reload_rows(options: Options) -> list[Row]:
    """SIGHUP with a configuration that holds lists of several sizes: CPU, and lists asked of discovery."""
    sizes = geometric_sizes(options.servers or SERVERS_AT_TARGET, steps=4, factor=4.7)
    hangups = 5

    async def measure(started: GatewayProcess, others: StandInProcess) -> Row:
        await asyncio.sleep(SETTLE)
        before, asked = started.usage(), await others.command("tally")
        for _ in range(hangups):
            started.hang_up()
            await asyncio.sleep(1.0)
        after, asked_after = started.usage(), await others.command("tally")
        return {
            "config_bytes": started.config.stat().st_size,
            "reload_cpu_ms": 1000 * (after.cpu - before.cpu) / hangups,
            "whole_lists_per_reload": (asked_after["whole_lists"] - asked["whole_lists"]) / hangups,
        }

    return await rows_by_servers(options, sizes, measure, known=True)


def on_loop(rows: Callable[[Options], Awaitable[list[Row]]]) -> Callable[[Options], list[Row]]:
    """A scenario's coroutine as its `run`."""

    async def whole(options: Options) -> list[Row]:
        return await rows(options)

    return lambda options: uvloop.run(whole(options))


SCENARIOS = (
    Scenario(
        "real-membership",
        "real",
        "a real gateway before lists of several sizes: readiness, memory, CPU of a start and of one change",
        on_loop(membership_rows),
        ("servers", "never_ready"),
        (("start_cpu_s", "servers"), ("peak_mb", "servers"), ("change_cpu_ms", "servers")),
    ),
    Scenario(
        "real-latency",
        "real",
        "what a real gateway adds to a request with few and with many servers listed, and its CPU",
        on_loop(latency_rows),
        ("servers", "never_ready", "not_served"),
    ),
    Scenario(
        "real-connections",
        "real",
        "memory of a real gateway for each client connection",
        on_loop(connection_rows),
        ("connections",),
        (("resident_kb", "connections"),),
    ),
    Scenario(
        "real-reload",
        "real",
        "what a real gateway spends on SIGHUP with configurations of several sizes",
        on_loop(reload_rows),
        ("servers", "never_ready", "config_bytes"),
        (("reload_cpu_ms", "servers"),),
    ),
)
