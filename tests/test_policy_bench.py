"""Runs the policy benchmark at a small size; the bounds are those of design section 1.6."""

from pathlib import Path

import pytest

from dotterelstand.bench.policies import baseline
from dotterelstand.bench.probebytes import probe_bytes
from dotterelstand.bench.report import Figure, Section, write_report
from dotterelstand.bench.runs import RunResult, run_scenario
from dotterelstand.bench.slotpolicy import SlotPolicy
from dotterelstand.bench.world import Scenario, World
from dotterelstand.process.selection.measure import MeasureLimit
from dotterelstand.process.selection.tuning import SelectionTuning

CALLS = 8000


def _run_dispatcher(scenario: Scenario, hedge_share: float = 0.0) -> RunResult:
    return run_scenario(
        scenario, lambda world: SlotPolicy(world, SelectionTuning(), hedge_share=hedge_share)
    )


def _run_baseline(scenario: Scenario, name: str) -> RunResult:
    return run_scenario(scenario, lambda world: baseline(world, name, probe_bytes()))


@pytest.mark.parametrize(("instances", "slots"), [(17, 2), (21, 4)])
@pytest.mark.parametrize(("load", "bound"), [(0.75, 1.10), (0.9, 1.25)])
def test_p99_close_to_single_queue(instances: int, slots: int, load: float, bound: float) -> None:
    """Guards against grants that leave slots idle or queue calls at busy targets."""
    scenario = Scenario(instances, slots, 1, load, CALLS, 1)
    dispatcher = _run_dispatcher(scenario)
    assert dispatcher.failed == 0
    assert dispatcher.quantile_ms(99) <= bound * _run_baseline(
        scenario, "single queue"
    ).quantile_ms(99)


@pytest.mark.parametrize("regions", [1, 3])
def test_p99_and_bytes_against_baselines(regions: int) -> None:
    """Guards against load messages as costly as probes, or a p99 close to that of two choices."""
    scenario = Scenario(17, 2, regions, 0.75, 20000, 1)
    dispatcher = _run_dispatcher(scenario)
    assert dispatcher.quantile_ms(99) <= 0.75 * _run_baseline(scenario, "two choices").quantile_ms(
        99
    )
    assert dispatcher.bytes_per_call <= 0.1 * _run_baseline(scenario, "three probes").bytes_per_call


def test_failing_target_costs_few_failures() -> None:
    """Guards against a target that fails fast, looks idle and therefore attracts calls."""
    scenario = Scenario(17, 2, 1, 0.75, CALLS, 1, failing=True)
    assert _run_dispatcher(scenario).failed <= 0.02 * _run_baseline(scenario, "random").failed


def test_budgets_hold_under_load() -> None:
    """Guards against load messages that exceed their byte budget.

    The budget itself asserts its limit in every one-second window, so it is enough that the run
    reaches the limit.
    """
    limit = MeasureLimit(2000, 100)
    scenario = Scenario(17, 2, 3, 0.9, 3000, 1)

    def make(world: World) -> SlotPolicy:
        return SlotPolicy(world, SelectionTuning(), limit, MeasureLimit(0, 0))

    policy = run_scenario(scenario, make).policy
    assert isinstance(policy, SlotPolicy)
    assert any(core.budget.counters.refused for core in policy.cores)
    assert all(0 < core.budget.peak_bytes() <= 2000 for core in policy.cores)


def test_one_seed_gives_one_result() -> None:
    """Guards against results that differ between runs with the same seed."""
    scenario = Scenario(17, 2, 3, 0.75, 1500, 3)
    runs = [_run_dispatcher(scenario, hedge_share=0.1) for _ in range(2)]
    assert list(runs[0].latencies) == list(runs[1].latencies)


def test_report_names_missed_bounds(tmp_path: Path) -> None:
    """Guards against a report that hides a missed bound."""
    section = Section("s")
    section.figures += [Figure("a", 1.0, 1.1), Figure("b", 2.0, 1.1), Figure("c", 2.0, None)]
    write_report(tmp_path / "report.md", 1, 1.0, [section])
    text = (tmp_path / "report.md").read_text()
    assert "| a | 1 | <= 1.1 | met |" in text and "| b | 2 | <= 1.1 | MISSED |" in text
