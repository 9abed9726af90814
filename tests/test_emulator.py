"""The emulator: its models, its command line, and that the same seed gives the same counts."""

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


def test_callbacks_run_in_the_order_of_their_times_and_of_their_scheduling():
    simulation, seen = Simulation(), []
    simulation.after(2.0, seen.append, "late")
    simulation.after(1.0, seen.append, "first")
    simulation.after(1.0, seen.append, "second")
    simulation.run(1.5)
    assert seen == ["first", "second"] and simulation.now == 1.5
    simulation.run()
    assert seen[-1] == "late"


def counter_answers(simulation, counter, calls, name=7):
    answers = []
    for _ in range(calls):
        counter.add(name, 1.0, lambda *answer: answers.append(answer))
    simulation.run()
    return answers


def test_a_counter_serves_in_turn_turns_away_and_forgets():
    simulation = Simulation()
    counter = CounterModel(simulation, calls_per_second=100.0, shards=1, timeout=0.05, max_queue_time=0.1)
    results_of = [result for result, _, _ in counter_answers(simulation, counter, 30)]
    assert results_of.count("ok") == counter.tally.answered < 5  # 10 ms each, 50 ms at most
    assert results_of.count("full") == counter.tally.rejected > 10
    counter.reset_totals()
    simulation.after(10.0, lambda: None)
    simulation.run()
    assert counter_answers(simulation, counter, 1)[0][:2] == ("ok", 1.0)
    counter.unreachable = True
    assert counter_answers(simulation, counter, 1)[0][0] == "timeout"


def test_a_server_works_at_its_rate_and_turns_away_past_its_backlog():
    server = ServerModel(rate=10.0, latency=0.1, max_backlog=0.55)
    answers = [server.receive(0.0) for _ in range(8)]
    assert answers[:6] == pytest.approx([0.1, 0.2, 0.3, 0.4, 0.5, 0.6])
    assert answers[6:] == [None, None] and server.rejected == 2


def test_skewed_tenants_ask_in_proportion():
    population = TenantPopulation(100, gateways=10, spread=3, skew=1.0, seed=1)
    asked = [tenant.name for tenant, _ in population.draw(20_000)]
    first, tenth = asked.count(population.tenants[0].name), asked.count(population.tenants[9].name)
    assert 7 < first / tenth < 14
    assert all((index - tenant.first_gateway) % 10 < 3 for tenant, index in population.draw(200))


def whole_and_changes(held, made):
    """What discovery sends to one that holds a version, after so many changes."""

    async def ask():
        model = DiscoveryModel([Deployment(1, 5).discovery_entry(n) for n in range(5)], 1e6, max_history=3)
        for number in range(made):
            model.change(Deployment(1, 5).discovery_entry(number, state="draining"))
        return json.loads(await model.get(f"/v1/endpoints?index={held}&wait=1"))

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(ask())


def test_discovery_tells_changes_to_who_is_near_and_whole_lists_to_the_rest():
    assert [e["state"] for e in whole_and_changes(1, 2)["servers"]] == ["draining"] * 2
    assert whole_and_changes(2, 2)["servers"][0]["id"] == Deployment(1, 5).discovery_entry(1)["id"]
    assert whole_and_changes(1, 5)["full"] and whole_and_changes(0, 0)["full"]
    assert whole_and_changes(1, 0)["servers"] == []  # the watch's time was up


def test_a_hollow_gateway_serves_refuses_and_loses_what_a_restart_had_in_work():
    deployment = Deployment(gateways=2, servers=2)
    simulation, ends = Simulation(1000.0), {}
    servers = {deployment.server_id(n): ServerModel() for n in range(2)}
    counter = CounterModel(simulation, 1e4)
    fleet = HollowFleet(
        simulation,
        deployment.settings,
        2,
        servers,
        counter,
        1,
        on_end=lambda name, how: ends.update({name: how}),
    )
    fleet.deliver_to_all(api.ServerListUpdate("cached", 1, deployment.all_servers()))

    def ask(name):
        fleet.request(0, api.Request(name, 1.5, "c", "standard", "fetch", 1.0, 0, 2))

    ask("served")
    simulation.run(1002.0)
    ask("lost")
    fleet.restart(0)
    simulation.run(1004.0)
    ask("without servers")
    simulation.run(1010.0)
    assert ends == {"served": "served", "without servers": "refused"}
    assert fleet.tally.requests == 3 and fleet.tally.served == 1


def test_the_quota_books_count_what_a_store_does_not_hold():
    audit = partition.QuotaAudit(partition.PLAN)
    for _ in range(10):
        audit.record("c", 0.0, 1.0)
    audit.record("c", 0.25, 1.0)
    assert (audit.within_quota, audit.over_quota) == (9.0, 2.0)


SMALL = {
    "steady": Options(gateways=8, servers=16, tenants=40),
    "subsets": Options(gateways=24, servers=240),
    "storm": Options(gateways=12, servers=20),
    "quota": Options(gateways=8),
    "cold-start": Options(gateways=9),
}


@pytest.mark.parametrize("name", sorted(SMALL))
def test_the_same_seed_gives_the_same_counts(name):
    first, second = (run_scenario(SCENARIOS[name], SMALL[name], "test") for _ in range(2))
    assert first.counts() == second.counts()
    assert all(row for row in first.counts())


def test_another_seed_gives_other_counts():
    rows = [steady.run(Options(8, 16, 40, seed)) for seed in (1, 2)]
    assert rows[0][-1]["counter_calls"] != rows[1][-1]["counter_calls"]


def test_counter_calls_grow_with_the_requests_and_not_with_the_fleet():
    rows = steady.run(Options(gateways=16, servers=32, tenants=160))
    shares = [row["counter_calls"] / row["requests"] for row in rows]
    assert max(shares) < 1.5 * min(shares) < 1.5


def test_a_tenant_seen_through_more_gateways_costs_more_calls():
    few, many = (quota.measure(16.0, spread, 32, 1)["calls_per_request"] for spread in (2, 32))
    assert few < many


def test_gateways_that_hold_a_list_ask_for_no_whole_one():
    rows = [row for row in storm.run(Options(gateways=8, servers=20)) if row["list_held"]]
    assert rows and not any(row["whole_lists"] or row["behind_at_the_end"] for row in rows)


def test_each_gateway_keeps_to_its_part_and_changes_little_of_it():
    for row in subsets.run(Options(gateways=96, servers=960)):
        assert row["subset_least"] == row["subset_most"] < row["servers"]
        assert row["needlessly_dropped_part"] < 0.05


def test_the_silence_of_the_counter_lets_no_more_pass_than_its_length_explains():
    short, long = (partition.measure(seconds, 4, 4, 1) for seconds in (10.0, 40.0))
    assert 0 < short["overdraft_units"] < long["overdraft_units"] < 8 * short["overdraft_units"]


def test_a_cold_server_is_used_in_every_trouble():
    rows = cold_start.run(Options(gateways=6))
    assert len(rows) == len(geometric_sizes(6, 3, 3.0, 2)) * len(cold_start.FAILURES)
    assert all(row["sent_to_cold"] for row in rows)


def test_executed_lines_count_each_turn_of_a_loop():
    def loop(turns):
        return [n for n in range(turns)]

    assert executed_lines(lambda: loop(300)) - executed_lines(lambda: loop(100)) == 200


def test_a_fit_gives_slope_and_base_and_wants_three_sizes():
    rows = [{"n": n, "y": 3.0 + 2.0 * n} for n in (1, 2, 5)]
    fit = results.fit_line(rows, "n", "y")
    assert (fit.slope, fit.base, fit.r_squared) == pytest.approx((2.0, 3.0, 1.0))
    with pytest.raises(ValueError, match="three sizes"):
        results.fit_line(rows[:2], "n", "y")


def test_a_result_is_written_read_and_drawn(tmp_path):
    result = run_scenario(SCENARIOS["quota"], Options(gateways=8), "the command")
    result.write(tmp_path / "r.json")
    again = results.read_result(tmp_path / "r.json")
    assert again.counts() == result.counts() and again.command == "the command" and again.seed == 1
    rows = [{"spread": n, "calls_per_request": n / 2} for n in (2, 8, 32)]
    fit = results.fit_line(rows, "spread", "calls_per_request")
    assert report.plot_fit(again, fit, tmp_path / "plots").read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize(
    "arguments, word",
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
def test_bad_arguments_get_one_line_and_exit_code_2(arguments, word, capsys):
    with pytest.raises(SystemExit) as ended:
        main(arguments)
    told = capsys.readouterr()
    assert ended.value.code == 2 and not told.out
    assert told.err.startswith("emulator: ") and told.err.count("\n") == 1 and word in told.err


def test_the_command_line_lists_runs_and_reports(tmp_path, capsys):
    file = tmp_path / "quota.json"
    for arguments in (
        ["list"],
        ["run", "quota", "--gateways", "8", "--out", str(file)],
        ["report", str(file)],
    ):
        with pytest.raises(SystemExit) as ended:
            main(arguments)
        assert ended.value.code == 0
    told = capsys.readouterr().out
    assert all(name in told for name in SCENARIOS) and told.count("calls_per_request*") == 2


def test_the_gateway_imports_nothing_of_the_emulator():
    code = "import calicomast.net.program, calicomast.adapter, sys; print(*sys.modules)"
    ended = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    assert not {name for name in ended.stdout.split() if name.split(".")[0] == "emulator"}
