"""Tests of the emulator: its models, scenarios and command line, and that a seed determines the counts."""

import asyncio
import json
import subprocess
import sys
from pathlib import Path

import pytest

from calicomast import interface as api
from emulator import report, results
from emulator.cli import main
from emulator.counter_model import CounterModel
from emulator.deployment import Deployment
from emulator.discovery_model import DiscoveryModel
from emulator.hollow import HollowFleet
from emulator.measure import executed_lines
from emulator.runner import run_scenario
from emulator.scenarios import SCENARIOS, cold_start, partition, quota, steady, storm, subsets
from emulator.scenarios.base import Options, geometric_sizes
from emulator.server_model import ServerModel
from emulator.tenants import TenantPopulation
from emulator.virtual_loop import VirtualLoop
from emulator.virtual_time import Simulation

ROOT = Path(__file__).resolve().parent.parent


def test_callbacks_run_in_order_of_time_then_of_scheduling():
    simulation, calls = Simulation(), []
    simulation.after(2.0, calls.append, "late")
    simulation.after(1.0, calls.append, "first")
    simulation.after(1.0, calls.append, "second")
    simulation.run(1.5)
    assert calls == ["first", "second"] and simulation.now == 1.5
    simulation.run()
    assert calls[-1] == "late"


def call_counter(simulation, counter, calls, name=7):
    """Calls the counter `calls` times at once and returns the arguments of the callbacks."""
    responses = []
    for _ in range(calls):
        counter.add(name, 1.0, lambda *response: responses.append(response))
    simulation.run()
    return responses


def test_counter_serves_in_order_rejects_under_overload_and_loses_totals_on_reset():
    simulation = Simulation()
    counter = CounterModel(simulation, calls_per_second=100.0, shards=1, timeout=0.05, max_queue_time=0.1)
    call_results = [result for result, _, _ in call_counter(simulation, counter, 30)]
    assert call_results.count("ok") == counter.tally.answered < 5  # 10 ms each, 50 ms at most
    assert call_results.count("full") == counter.tally.rejected > 10
    counter.reset_totals()
    simulation.after(10.0, lambda: None)
    simulation.run()
    assert call_counter(simulation, counter, 1)[0][:2] == ("ok", 1.0)
    counter.unreachable = True
    assert call_counter(simulation, counter, 1)[0][0] == "timeout"


def test_server_serves_at_its_rate_and_rejects_above_its_max_backlog():
    server = ServerModel(rate=10.0, latency=0.1, max_backlog=0.55)
    responses = [server.receive(0.0) for _ in range(8)]
    assert responses[:6] == pytest.approx([0.1, 0.2, 0.3, 0.4, 0.5, 0.6])
    assert responses[6:] == [None, None] and server.rejected == 2


def test_tenants_send_requests_in_proportion_to_their_weights():
    population = TenantPopulation(100, gateways=10, spread=3, skew=1.0, seed=1)
    tenant_names = [tenant.name for tenant, _ in population.draw(20_000)]
    most_frequent, tenth_frequent = (
        tenant_names.count(population.tenants[0].name),
        tenant_names.count(population.tenants[9].name),
    )
    assert 7 < most_frequent / tenth_frequent < 14
    assert all((index - tenant.first_gateway) % 10 < 3 for tenant, index in population.draw(200))


def discovery_response(client_version, changes):
    """Returns the response to a client with `client_version` after `changes` changes of the list."""

    async def send_request():
        model = DiscoveryModel(
            [Deployment(1, 5).discovery_entry(number) for number in range(5)], 1e6, max_history=3
        )
        for number in range(changes):
            model.apply_change(Deployment(1, 5).discovery_entry(number, state="draining"))
        return json.loads(await model.get(f"/v1/endpoints?index={client_version}&wait=1"))

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(send_request())


def test_discovery_sends_changes_to_recent_versions_and_full_lists_to_others():
    assert [entry["state"] for entry in discovery_response(1, 2)["servers"]] == ["draining"] * 2
    assert discovery_response(2, 2)["servers"][0]["id"] == Deployment(1, 5).discovery_entry(1)["id"]
    assert discovery_response(1, 5)["full"] and discovery_response(0, 0)["full"]
    assert discovery_response(1, 0)["servers"] == []  # the watch timed out


def test_hollow_gateway_serves_refuses_and_loses_active_requests_on_restart():
    deployment = Deployment(gateways=2, servers=2)
    simulation, outcomes = Simulation(1000.0), {}
    servers = {deployment.server_id(number): ServerModel() for number in range(2)}
    counter = CounterModel(simulation, 1e4)
    fleet = HollowFleet(
        simulation,
        deployment.settings,
        2,
        servers,
        counter,
        1,
        on_end=lambda name, outcome: outcomes.update({name: outcome}),
    )
    fleet.deliver_to_all(api.ServerListUpdate("cached", 1, deployment.all_servers()))

    def send_request(name):
        fleet.request(0, api.Request(name, 1.5, "c", "standard", "fetch", 1.0, 0, 2))

    send_request("served")
    simulation.run(1002.0)
    send_request("lost")
    fleet.restart(0)
    simulation.run(1004.0)
    send_request("without servers")
    simulation.run(1010.0)
    assert outcomes == {"served": "served", "without servers": "refused"}
    assert fleet.tally.requests == 3 and fleet.tally.served == 1


def test_quota_audit_counts_units_that_the_bucket_does_not_hold():
    audit = partition.QuotaAudit(partition.PLAN)
    for _ in range(10):
        audit.record("c", 0.0, 1.0)
    audit.record("c", 0.25, 1.0)
    assert (audit.within_quota, audit.over_quota) == (9.0, 2.0)


SMALL_OPTIONS = {
    "steady": Options(gateways=8, servers=16, tenants=40),
    "subsets": Options(gateways=24, servers=240),
    "storm": Options(gateways=12, servers=20),
    "quota": Options(gateways=8),
    "cold-start": Options(gateways=9),
}


@pytest.mark.parametrize("name", sorted(SMALL_OPTIONS))
def test_same_seed_gives_same_counts(name):
    first, second = (run_scenario(SCENARIOS[name], SMALL_OPTIONS[name], "test") for _ in range(2))
    assert first.counts() == second.counts()
    assert all(row for row in first.counts())


def test_different_seeds_give_different_counts():
    rows = [steady.run(Options(8, 16, 40, seed)) for seed in (1, 2)]
    assert rows[0][-1]["counter_calls"] != rows[1][-1]["counter_calls"]


def test_counter_calls_grow_with_requests_and_not_with_fleet_size():
    rows = steady.run(Options(gateways=16, servers=32, tenants=160))
    calls_per_request = [row["counter_calls"] / row["requests"] for row in rows]
    assert max(calls_per_request) < 1.5 * min(calls_per_request) < 1.5


def test_larger_spread_costs_more_counter_calls_per_request():
    few_calls, many_calls = (quota.measure(16.0, spread, 32, 1)["calls_per_request"] for spread in (2, 32))
    assert few_calls < many_calls


def test_gateways_that_have_a_list_request_no_full_list():
    rows = [row for row in storm.run(Options(gateways=8, servers=20)) if row["list_held"]]
    assert rows and not any(row["whole_lists"] or row["behind_at_the_end"] for row in rows)


def test_subsets_have_equal_sizes_and_change_little():
    for row in subsets.run(Options(gateways=96, servers=960)):
        assert row["subset_least"] == row["subset_most"] < row["servers"]
        assert row["needlessly_dropped_part"] < 0.05


def test_over_quota_units_are_bounded_by_the_duration_of_the_counter_outage():
    short_outage, long_outage = (partition.measure(seconds, 4, 4, 1) for seconds in (10.0, 40.0))
    assert (
        0
        < short_outage["overdraft_units"]
        < long_outage["overdraft_units"]
        < 8 * short_outage["overdraft_units"]
    )


def test_server_in_slow_start_receives_requests_in_every_failure_case():
    rows = cold_start.run(Options(gateways=6))
    assert len(rows) == len(geometric_sizes(6, 3, 3.0, 2)) * len(cold_start.FAILURES)
    assert all(row["sent_to_cold"] for row in rows)


def test_executed_lines_counts_each_iteration_of_a_loop():
    def repeat(count):
        return [number for number in range(count)]

    assert executed_lines(lambda: repeat(300)) - executed_lines(lambda: repeat(100)) == 200


def test_fit_line_returns_slope_and_base_and_requires_three_sizes():
    rows = [{"n": number, "y": 3.0 + 2.0 * number} for number in (1, 2, 5)]
    line = results.fit_line(rows, "n", "y")
    assert (line.slope, line.base, line.r_squared) == pytest.approx((2.0, 3.0, 1.0))
    with pytest.raises(ValueError, match="three sizes"):
        results.fit_line(rows[:2], "n", "y")


def test_result_is_written_read_and_plotted(tmp_path):
    result = run_scenario(SCENARIOS["quota"], Options(gateways=8), "the command")
    result.write(tmp_path / "r.json")
    restored = results.read_result(tmp_path / "r.json")
    assert restored.counts() == result.counts() and restored.command == "the command" and restored.seed == 1
    rows = [{"spread": number, "calls_per_request": number / 2} for number in (2, 8, 32)]
    line = results.fit_line(rows, "spread", "calls_per_request")
    assert report.plot_fit(restored, line, tmp_path / "plots").read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize(
    "arguments, expected_text",
    [
        (["run", "nothing"], "no scenario"),
        (["run", "quota", "--gateways", "0"], "--gateways"),
        (["run", "quota", "--seed", "x"], "--seed"),
        (["run", "--unknown"], "--unknown"),
        (["walk"], "walk"),
        (["report", "/nowhere.json"], "no result"),
        (["report"], "FILE"),
    ],
)
def test_wrong_arguments_print_one_line_and_exit_with_status_2(arguments, expected_text, capsys):
    with pytest.raises(SystemExit) as exit_info:
        main(arguments)
    output = capsys.readouterr()
    assert exit_info.value.code == 2 and not output.out
    assert output.err.startswith("emulator: ") and output.err.count("\n") == 1 and expected_text in output.err


def test_command_line_lists_runs_and_reports(tmp_path, capsys):
    file = tmp_path / "quota.json"
    for arguments in (
        ["list"],
        ["run", "quota", "--gateways", "8", "--out", str(file)],
        ["report", str(file)],
    ):
        with pytest.raises(SystemExit) as exit_info:
            main(arguments)
        assert exit_info.value.code == 0
    output = capsys.readouterr().out
    assert all(name in output for name in SCENARIOS) and output.count("calls_per_request*") == 2


def test_gateway_does_not_import_the_emulator():
    code = "import calicomast.net.program, calicomast.adapter, sys; print(*sys.modules)"
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    assert not {name for name in completed.stdout.split() if name.split(".")[0] == "emulator"}
