"""Growth of the cost of selection with the number of targets and of entry hosts per service."""

import random
import time
from pathlib import Path

from dotterelstand.bench.plots import plot_lines
from dotterelstand.bench.report import Figure, Section
from dotterelstand.bench.runs import run_scenario
from dotterelstand.bench.slotpolicy import SlotPolicy
from dotterelstand.bench.world import Location, Scenario, make_service
from dotterelstand.process.selection.balancer import Chooser, LeastOccupied, TwoChoices
from dotterelstand.process.selection.dispatcher import Dispatcher
from dotterelstand.process.selection.measure import MeasureLimit
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.queue import WaitingCall
from dotterelstand.process.selection.tuning import SelectionTuning

TARGET_COUNTS = (12, 48, 200, 800, 3000)
ENTRY_HOST_COUNTS = (1, 2, 4, 8, 16)
DECISIONS_PER_RUN = 20000
TIMED_RUNS = 5
DECISION_TIME_RATIO_BOUND = 2.0
CALLS = 20000


def decision_time_us(chooser: Chooser, targets: int, decisions: int) -> float:
    """Processor time of one grant and release at 75% load, in microseconds; best of five runs."""
    service = make_service([Location("r0", "z0")] * targets, 2)
    dispatcher = Dispatcher(service, "r0", SelectionTuning(), chooser)
    granted_calls = int(targets * 2 * 0.75)
    for number in range(granted_calls):
        dispatcher.submit(WaitingCall(("h", number), 0, 0, 0.0, 10.0), 0.0)
    best_s = float("inf")
    for _ in range(TIMED_RUNS):
        start = time.process_time()
        for step in range(decisions):
            key = ("h", step % granted_calls)
            dispatcher.finish(key, AttemptOutcome.OK, 0.005, None, 0.001)
            dispatcher.submit(WaitingCall(key, 0, 0, 0.001, 10.0), 0.001)
        best_s = min(best_s, time.process_time() - start)
    return best_s / decisions * 1e6


def run_slopes(seed: int, out: Path, scale: float) -> Section:
    """Return the section of the report: decision time by targets, and p99 by entry hosts."""
    section = Section("Slopes of target selection")
    _measure_targets(section, seed, out, max(1000, int(DECISIONS_PER_RUN * scale)))
    _measure_entry_host_counts(section, seed, out, max(2000, int(CALLS * scale)))
    return section


def _measure_targets(section: Section, seed: int, out: Path, decisions: int) -> None:
    curves = {
        "dispatcher": [
            decision_time_us(LeastOccupied(random.Random(seed)), size, decisions)
            for size in TARGET_COUNTS
        ],
        "local two choices": [
            decision_time_us(TwoChoices(random.Random(seed)), size, decisions)
            for size in TARGET_COUNTS
        ],
    }
    section.text.append("Processor time of one grant and its release, in microseconds:\n")
    rows = [[name, *(f"{value:.2f}" for value in values)] for name, values in curves.items()]
    section.add_table(["targets", *map(str, TARGET_COUNTS)], rows)
    for name, values in curves.items():
        ratio = values[-1] / values[0]
        section.figures.append(
            Figure(f"time 3000 / 12 targets, {name}", ratio, DECISION_TIME_RATIO_BOUND)
        )
    plot_lines(
        out / "cost-by-targets.png", "Decision cost", [str(s) for s in TARGET_COUNTS], curves, "us"
    )
    section.plots.append("cost-by-targets.png")


def _measure_entry_host_counts(section: Section, seed: int, out: Path, calls: int) -> None:
    """Measure the p99 when all traffic enters through a few hosts that exchange no messages."""
    section.text.append(
        "p99 in ms at 75% load when a service's traffic is concentrated on a subset of entry "
        "hosts that decide alone (measuring budget 0), flat network:\n"
    )
    curves: dict[str, list[float]] = {}
    no_budget = MeasureLimit(0, 0)
    for instances, slots in ((17, 2), (21, 4)):
        values = []
        for entry_hosts in ENTRY_HOST_COUNTS:
            scenario = Scenario(instances, slots, 1, 0.75, calls, seed, entry_hosts=entry_hosts)
            result = run_scenario(
                scenario, lambda world: SlotPolicy(world, SelectionTuning(), no_budget, no_budget)
            )
            values.append(result.quantile_ms(99))
        curves[f"{instances}x{slots}"] = values
    rows = [[name, *(f"{value:.2f}" for value in values)] for name, values in curves.items()]
    section.add_table(["entry hosts", *map(str, ENTRY_HOST_COUNTS)], rows)
    labels = [str(entry_hosts) for entry_hosts in ENTRY_HOST_COUNTS]
    plot_lines(out / "p99-by-subset.png", "Local knowledge by subset size", labels, curves, "ms")
    section.plots.append("p99-by-subset.png")
