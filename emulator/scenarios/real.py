"""Scenarios that start real gateways on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import uvloop

from emulator.deployment import GATEWAYS_AT_TARGET, SERVERS_AT_TARGET, Deployment, PlanQuota
from emulator.real.load import PERCENTILES, Latencies, send_at_constant_rate
from emulator.real.processes import (
    GatewayProcess,
    ProcessError,
    StandInProcess,
    running_gateway,
    running_stand_ins,
)
from emulator.scenarios.base import Options, Row, Scenario, geometric_sizes

PLAN = PlanQuota("standard", rate=1000.0, burst=4000.0)  # large enough that no request is over quota
REQUEST_RATE = 200.0  # requests per second
MEASURE_SECONDS = 10.0  # duration of each measurement of latency
CONNECTIONS = 16  # client connections of each measurement of latency
CHANGES = 200  # changes of the server list in a measurement
CHANGE_INTERVAL = 0.02  # seconds between two changes
IDLE_SECONDS = 5.0  # duration of the measurement without requests and changes
SETTLE_SECONDS = 0.3  # time in which a gateway processes what it has received
KILOBYTES_PER_MEGABYTE = 1024


def make_deployment(options: Options, servers: int) -> Deployment:
    """Returns a deployment with this number of servers.

    It has the target number of gateways unless the options set another one.
    """
    return Deployment(options.gateways or GATEWAYS_AT_TARGET, servers, plans=(PLAN,))


# Measures a running gateway and its stand-ins, and returns the columns of the result.
Measure = Callable[[GatewayProcess, StandInProcess], Awaitable[Row]]


async def measure_gateway(deployment: Deployment, known_servers: int, measure: Measure) -> Row:
    """Starts the stand-ins and one gateway, and returns the result of `measure`, which runs meanwhile."""
    async with running_stand_ins() as stand_ins:
        await stand_ins.command("list", gateways=deployment.gateways, servers=deployment.servers)
        async with running_gateway(deployment, stand_ins.ports, known_servers) as gateway:
            return await measure(gateway, stand_ins)


async def measure_by_server_count(
    options: Options, sizes: list[int], measure: Measure, servers_known: bool
) -> list[Row]:
    """Measures a gateway with server lists of several lengths.

    With `servers_known`, its configuration already holds the list. A gateway that does not become ready gets
    a row with only the columns `servers` and `never_ready`.
    """
    rows: list[Row] = []
    for step, servers in enumerate(sizes):
        options.progress(f"{servers} servers", step / len(sizes))
        try:
            row = await measure_gateway(
                make_deployment(options, servers), servers if servers_known else 0, measure
            )
        except ProcessError:
            row = {"never_ready": True}
        rows.append({"servers": servers, "never_ready": False} | row)
    return rows


async def measure_list_cost(gateway: GatewayProcess, stand_ins: StandInProcess) -> Row:
    """Measures a start with the list from discovery, then idle seconds, then a series of changes."""
    await asyncio.sleep(SETTLE_SECONDS)
    at_start, tally_at_start = gateway.usage(), await stand_ins.command("tally")
    await asyncio.sleep(IDLE_SECONDS)
    after_idle, tally_after_idle = gateway.usage(), await stand_ins.command("tally")
    await stand_ins.command("changes", count=CHANGES, first=0, every=CHANGE_INTERVAL)
    await asyncio.sleep(SETTLE_SECONDS)
    after_changes = gateway.usage()
    change_cpu = (
        after_changes.cpu_seconds
        - after_idle.cpu_seconds
        - (after_idle.cpu_seconds - at_start.cpu_seconds) / IDLE_SECONDS * CHANGES * CHANGE_INTERVAL
    )
    return {
        "ready_after_s": gateway.ready_after,
        "start_cpu_s": at_start.cpu_seconds,
        "peak_mb": after_changes.peak_kb / KILOBYTES_PER_MEGABYTE,
        "resident_mb": at_start.resident_kb / KILOBYTES_PER_MEGABYTE,
        "whole_lists_at_start": tally_at_start["whole_lists"],
        "idle_cpu_part": (after_idle.cpu_seconds - at_start.cpu_seconds) / IDLE_SECONDS,
        "idle_bytes_per_s": (tally_after_idle["discovery_bytes"] - tally_at_start["discovery_bytes"])
        / IDLE_SECONDS,
        "change_cpu_ms": 1000 * change_cpu / CHANGES,
    }


async def membership_rows(options: Options) -> list[Row]:
    """Measures gateways that have no server list at their start, with lists of several lengths."""
    sizes = geometric_sizes(options.servers or SERVERS_AT_TARGET, steps=4, factor=4.7)
    return await measure_by_server_count(options, sizes, measure_list_cost, servers_known=False)


def added_latency(through: Latencies, direct: Latencies) -> Row:
    """Returns the latency that the gateway adds to a request, at several percentiles."""
    row: Row = {}
    for name, percentile in PERCENTILES.items():
        row[f"direct_{name}_ms"] = direct.at_percentile(percentile) / 1000
        row[f"through_{name}_ms"] = through.at_percentile(percentile) / 1000
        row[f"added_{name}_ms"] = row[f"through_{name}_ms"] - row[f"direct_{name}_ms"]
    return row


async def latency_rows(options: Options) -> list[Row]:
    """Compares requests through a gateway with the same requests sent directly to a server.

    The requests through the gateway are measured without changes of the server list, and with one change per
    second.
    """
    sizes = [200, options.servers or SERVERS_AT_TARGET]

    async def measure(gateway: GatewayProcess, stand_ins: StandInProcess) -> Row:
        direct = await send_at_constant_rate(
            stand_ins.ports["server"], REQUEST_RATE, MEASURE_SECONDS, CONNECTIONS, PLAN.name
        )
        before = gateway.usage()
        through = await send_at_constant_rate(
            gateway.port, REQUEST_RATE, MEASURE_SECONDS, CONNECTIONS, PLAN.name
        )
        cpu_seconds = gateway.usage().cpu_seconds - before.cpu_seconds
        changes = asyncio.ensure_future(
            stand_ins.command("changes", count=int(MEASURE_SECONDS), first=0, every=1.0),
        )
        under_change = await send_at_constant_rate(
            gateway.port, REQUEST_RATE, MEASURE_SECONDS, CONNECTIONS, PLAN.name
        )
        await changes
        return {
            **added_latency(through, direct),
            "changing_p99_ms": under_change.at_percentile(99.0) / 1000,
            "changing_p99_9_ms": under_change.at_percentile(99.9) / 1000,
            "cpu_us_per_request": 1e6 * cpu_seconds / (REQUEST_RATE * MEASURE_SECONDS),
            "not_served": direct.not_served + through.not_served + under_change.not_served,
        }

    return await measure_by_server_count(options, sizes, measure, servers_known=True)


async def connection_rows(options: Options) -> list[Row]:
    """Measures the memory of idle client connections."""
    rows: list[Row] = []
    sizes = geometric_sizes(1000, steps=4, factor=3.0)

    async def measure(gateway: GatewayProcess, stand_ins: StandInProcess) -> Row:
        before, writers = gateway.usage(), []
        for _ in range(connections):
            _, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            writers.append(writer)
        await asyncio.sleep(SETTLE_SECONDS)
        growth = gateway.usage().resident_kb - before.resident_kb
        for writer in writers:
            writer.close()
        return {"connections": connections, "resident_kb": growth}

    for step, connections in enumerate(sizes):
        options.progress(f"{connections} connections", step / len(sizes))
        rows.append(await measure_gateway(make_deployment(options, options.servers or 64), 64, measure))
    return rows


async def reload_rows(options: Options) -> list[Row]:
    """Measures SIGHUP with configurations that hold server lists of several lengths.

    The rows hold the CPU time, and the full lists requested from discovery, of one reload.
    """
    sizes = geometric_sizes(options.servers or SERVERS_AT_TARGET, steps=4, factor=4.7)
    reloads = 5

    async def measure(gateway: GatewayProcess, stand_ins: StandInProcess) -> Row:
        await asyncio.sleep(SETTLE_SECONDS)
        before, tally_before = gateway.usage(), await stand_ins.command("tally")
        for _ in range(reloads):
            gateway.send_sighup()
            await asyncio.sleep(1.0)
        after, tally_after = gateway.usage(), await stand_ins.command("tally")
        return {
            "config_bytes": gateway.config.stat().st_size,
            "reload_cpu_ms": 1000 * (after.cpu_seconds - before.cpu_seconds) / reloads,
            "whole_lists_per_reload": (tally_after["whole_lists"] - tally_before["whole_lists"]) / reloads,
        }

    return await measure_by_server_count(options, sizes, measure, servers_known=True)


def run_on_uvloop(rows: Callable[[Options], Awaitable[list[Row]]]) -> Callable[[Options], list[Row]]:
    """Wraps a coroutine function of a scenario for its attribute `run`."""

    async def run_rows(options: Options) -> list[Row]:
        return await rows(options)

    return lambda options: uvloop.run(run_rows(options))


SCENARIOS = (
    Scenario(
        "real-membership",
        "real",
        "a real gateway with server lists of several lengths: readiness, memory, CPU of a start and a change",
        run_on_uvloop(membership_rows),
        ("servers", "never_ready"),
        (("start_cpu_s", "servers"), ("peak_mb", "servers"), ("change_cpu_ms", "servers")),
    ),
    Scenario(
        "real-latency",
        "real",
        "latency that a real gateway adds to a request, and its CPU, with few and with many servers",
        run_on_uvloop(latency_rows),
        ("servers", "never_ready", "not_served"),
    ),
    Scenario(
        "real-connections",
        "real",
        "memory of a real gateway for each client connection",
        run_on_uvloop(connection_rows),
        ("connections",),
        (("resident_kb", "connections"),),
    ),
    Scenario(
        "real-reload",
        "real",
        "CPU of a real gateway for SIGHUP, with configurations of several sizes",
        run_on_uvloop(reload_rows),
        ("servers", "never_ready", "config_bytes"),
        (("reload_cpu_ms", "servers"),),
    ),
)
