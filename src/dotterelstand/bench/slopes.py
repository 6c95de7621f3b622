"""How the cost of selection grows: with targets, and with entry hosts per service."""

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

SIZES = (12, 48, 200, 800, 3000)
SUBSETS = (1, 2, 4, 8, 16)
DECISIONS = 20000
REPEATS = 5
DECISION_BOUND = 2.0
CALLS = 20000


def decision_us(chooser: Chooser, targets: int, decisions: int) -> float:
    """Processor time of one grant and release at 75% load, in microseconds; best of repeats."""
    service = make_service([Location("r0", "z0")] * targets, 2)
    dispatcher = Dispatcher(service, "r0", SelectionTuning(), chooser)
    held = int(targets * 2 * 0.75)
    for number in range(held):
        dispatcher.submit(WaitingCall(("h", number), 0, 0, 0.0, 10.0), 0.0)
    best = float("inf")
    for _ in range(REPEATS):
        start = time.process_time()
        for step in range(decisions):
            key = ("h", step % held)
            dispatcher.finish(key, AttemptOutcome.OK, 0.005, None, 0.001)
            dispatcher.submit(WaitingCall(key, 0, 0, 0.001, 10.0), 0.001)
        best = min(best, time.process_time() - start)
    return best / decisions * 1e6


def run_slopes(seed: int, out: Path, scale: float) -> Section:
    """Measure both slopes."""
    section = Section("Slopes of target selection")
    _measure_targets(section, seed, out, max(1000, int(DECISIONS * scale)))
    _measure_subsets(section, seed, out, max(2000, int(CALLS * scale)))
    return section


def _measure_targets(section: Section, seed: int, out: Path, decisions: int) -> None:
    curves = {
        "dispatcher": [
            decision_us(LeastOccupied(random.Random(seed)), size, decisions) for size in SIZES
        ],
        "local two choices": [
            decision_us(TwoChoices(random.Random(seed)), size, decisions) for size in SIZES
        ],
    }
    section.text.append("Processor time of one grant and its release, in microseconds:\n")
    rows = [[name, *(f"{value:.2f}" for value in values)] for name, values in curves.items()]
    section.add_table(["targets", *map(str, SIZES)], rows)
    for name, values in curves.items():
        ratio = values[-1] / values[0]
        section.figures.append(Figure(f"time 3000 / 12 targets, {name}", ratio, DECISION_BOUND))
    plot_lines(out / "cost-by-targets.png", "Decision cost", [str(s) for s in SIZES], curves, "us")
    section.plots.append("cost-by-targets.png")


def _measure_subsets(section: Section, seed: int, out: Path, calls: int) -> None:
    """Local knowledge only (no budget), with all traffic on a subset of entry hosts."""
    section.text.append(
        "p99 in ms at 75% load when a service's traffic is concentrated on a subset of entry "
        "hosts that decide alone (measuring budget 0), flat network:\n"
    )
    curves: dict[str, list[float]] = {}
    nothing = MeasureLimit(0, 0)
    for instances, slots in ((17, 2), (21, 4)):
        values = []
        for entry_hosts in SUBSETS:
            scenario = Scenario(instances, slots, 1, 0.75, calls, seed, entry_hosts=entry_hosts)
            result = run_scenario(
                scenario, lambda world: SlotPolicy(world, SelectionTuning(), nothing, nothing)
            )
            values.append(result.quantile_ms(99))
        curves[f"{instances}x{slots}"] = values
    rows = [[name, *(f"{value:.2f}" for value in values)] for name, values in curves.items()]
    section.add_table(["entry hosts", *map(str, SUBSETS)], rows)
    labels = [str(entry_hosts) for entry_hosts in SUBSETS]
    plot_lines(out / "p99-by-subset.png", "Local knowledge by subset size", labels, curves, "ms")
    section.plots.append("p99-by-subset.png")
