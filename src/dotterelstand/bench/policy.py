"""Benchmark of target selection: latencies of all policies and figures of design section 1.6."""

from collections.abc import Callable
from pathlib import Path

import numpy as np

from dotterelstand.bench.plots import plot_latencies
from dotterelstand.bench.policies import BASELINES, Policy, baseline
from dotterelstand.bench.probebytes import probe_bytes
from dotterelstand.bench.report import Figure, Section
from dotterelstand.bench.runs import RunResult, run_scenario
from dotterelstand.bench.slotpolicy import SlotPolicy
from dotterelstand.bench.world import Scenario, World
from dotterelstand.process.selection.measure import MeasureLimit
from dotterelstand.process.selection.tuning import SelectionTuning

DISPATCHER = "slot dispatcher"
HEDGED_DISPATCHER = "slot dispatcher, hedged"
POLICIES = (*BASELINES[:-1], DISPATCHER, HEDGED_DISPATCHER, BASELINES[-1])
HEDGE_SHARE = 0.1
CALLS = 20000
SEEDS = 3


class Deployment:
    """Size of the main service of one operator; `slots` are those of each instance."""

    __slots__ = ("instances", "name", "slots")

    def __init__(self, name: str, instances: int, slots: int) -> None:
        self.name = name
        self.instances = instances
        self.slots = slots


DEPLOYMENTS = (
    Deployment("Asante-Boakye 17x2", 17, 2),
    Deployment("Styrkeloft 21x4", 21, 4),
)
NETWORKS = {"flat": 1, "three regions": 3}
# Bounds of section 1.6 of the design page. The first maps a load to the largest allowed ratio of
# the dispatcher's p99 to the p99 of the single queue.
P99_TO_SINGLE_QUEUE_BOUNDS = {0.75: 1.10, 0.9: 1.25}
P99_TO_TWO_CHOICES_BOUND = 0.75
BYTES_TO_PROBES_BOUND = 0.1
STRAGGLER_P999_BOUND = 1.3
FAILURES_TO_RANDOM_BOUND = 0.02
LOADS = (0.5, 0.75, 0.9)


class PooledResult:
    """Combined results of runs that differ only by their seed; latencies in seconds."""

    __slots__ = ("bytes_per_call", "failed", "latencies", "results")

    def __init__(self, results: list[RunResult]) -> None:
        self.results = results
        self.latencies = np.concatenate([result.latencies for result in results])
        self.bytes_per_call = float(np.mean([result.bytes_per_call for result in results]))
        self.failed = sum(result.failed for result in results)

    def quantile_ms(self, percent: float) -> float:
        """Latency in milliseconds at a percentile."""
        return float(np.percentile(self.latencies, percent)) * 1000


def make_policy(name: str) -> Callable[[World], Policy]:
    """Return a factory of the policy that has this name in the report."""
    if name == DISPATCHER:
        return lambda world: SlotPolicy(world, SelectionTuning())
    if name == HEDGED_DISPATCHER:
        return lambda world: SlotPolicy(world, SelectionTuning(), hedge_share=HEDGE_SHARE)
    return lambda world: baseline(world, name, probe_bytes())


def run_pooled(name: str, seeds: range, make_scenario: Callable[[int], Scenario]) -> PooledResult:
    """Run a policy on the scenario of each seed and pool the results."""
    policy_factory = make_policy(name)
    return PooledResult([run_scenario(make_scenario(seed), policy_factory) for seed in seeds])


def _scenario_factory(
    deployment: Deployment,
    regions: int,
    load: float,
    calls: int,
    straggler_factor: float = 1.0,
    failing: bool = False,
) -> Callable[[int], Scenario]:
    def make_scenario(seed: int) -> Scenario:
        return Scenario(
            deployment.instances,
            deployment.slots,
            regions,
            load,
            calls,
            seed,
            straggler_factor=straggler_factor,
            failing=failing,
        )

    return make_scenario


def run_policy(seed: int, out: Path, scale: float) -> Section:
    """Section of the report: every policy on both deployments and both networks."""
    section = Section("Target selection")
    section.text.append(_assumptions())
    calls = max(2000, int(CALLS * scale))
    seeds = range(seed, seed + SEEDS)
    for deployment in DEPLOYMENTS:
        for network_name, regions in NETWORKS.items():
            label = f"{deployment.name}, {network_name}"
            _compare_policies(section, deployment, regions, label, seeds, calls, out)
            _measure_straggler(section, deployment, regions, label, seeds, calls)
            _measure_fail_fast(section, deployment, regions, label, seeds, calls)
    _measure_region_links(section, seed, calls)
    return section


def _compare_policies(
    section: Section,
    deployment: Deployment,
    regions: int,
    label: str,
    seeds: range,
    calls: int,
    out: Path,
) -> None:
    curves: dict[str, list[float]] = {name: [] for name in POLICIES}
    rows = []
    for load in LOADS:
        runs = {
            name: run_pooled(name, seeds, _scenario_factory(deployment, regions, load, calls))
            for name in POLICIES
        }
        single_queue = runs["single queue"].quantile_ms(99)
        for name, pooled in runs.items():
            p99 = pooled.quantile_ms(99)
            curves[name].append(p99)
            cells = [
                f"{pooled.quantile_ms(50):.2f}",
                f"{p99:.2f}",
                f"{pooled.quantile_ms(99.9):.2f}",
            ]
            cells += [
                f"{p99 / single_queue:.3f}",
                f"{pooled.bytes_per_call:.1f}",
                str(pooled.failed),
            ]
            rows.append([f"{load:.0%}", name, *cells])
        if load in P99_TO_SINGLE_QUEUE_BOUNDS:
            _add_ratios(section, runs, load, label)
    section.text.append(f"### {label}\n")
    columns = ["load", "policy", "p50 ms", "p99 ms", "p99.9 ms", "p99 / single queue"]
    section.add_table([*columns, "bytes/call", "refused"], rows)
    name = f"latency-{deployment.instances}x{deployment.slots}-{regions}.png"
    plot_latencies(out / name, label, LOADS, curves)
    section.plots.append(name)


def _add_ratios(section: Section, runs: dict[str, PooledResult], load: float, label: str) -> None:
    dispatcher = runs[DISPATCHER].quantile_ms(99)
    single_queue = runs["single queue"].quantile_ms(99)
    two_choices = runs["two choices"].quantile_ms(99)
    add_figure = section.figures.append
    add_figure(
        Figure(
            f"p99 / single queue, {load:.0%}, {label}",
            dispatcher / single_queue,
            P99_TO_SINGLE_QUEUE_BOUNDS[load],
        )
    )
    if load == 0.75:
        add_figure(
            Figure(
                f"p99 / two choices, 75%, {label}",
                dispatcher / two_choices,
                P99_TO_TWO_CHOICES_BOUND,
            )
        )
        add_figure(
            Figure(f"single queue / two choices, 75%, {label}", single_queue / two_choices, None)
        )
        share = runs[DISPATCHER].bytes_per_call / runs["three probes"].bytes_per_call
        add_figure(Figure(f"measuring bytes / three probes, {label}", share, BYTES_TO_PROBES_BOUND))


def _measure_straggler(
    section: Section, deployment: Deployment, regions: int, label: str, seeds: range, calls: int
) -> None:
    for name in (DISPATCHER, HEDGED_DISPATCHER):
        p999 = [
            run_pooled(
                name,
                seeds,
                _scenario_factory(deployment, regions, 0.75, 2 * calls, straggler_factor=factor),
            ).quantile_ms(99.9)
            for factor in (1.0, 10.0)
        ]
        ratio = p999[1] / p999[0]
        section.figures.append(
            Figure(f"p99.9 with straggler / without, {name}, {label}", ratio, STRAGGLER_P999_BOUND)
        )


def _measure_fail_fast(
    section: Section, deployment: Deployment, regions: int, label: str, seeds: range, calls: int
) -> None:
    make_scenario = _scenario_factory(deployment, regions, 0.75, calls, failing=True)
    failed = {
        name: run_pooled(name, seeds, make_scenario).failed for name in ("random", DISPATCHER)
    }
    share = failed[DISPATCHER] / max(1, failed["random"])
    section.figures.append(
        Figure(
            f"failures / random, one target fails fast, {label}", share, FAILURES_TO_RANDOM_BOUND
        )
    )
    least_in_flight = run_pooled("least own in flight", seeds, make_scenario).failed / max(
        1, failed["random"]
    )
    section.figures.append(
        Figure(f"the same, least own in flight without ejection, {label}", least_in_flight, None)
    )


def _measure_region_links(section: Section, seed: int, calls: int) -> None:
    """Report the peak of measuring bytes in one second, with the default limits.

    `MeasureBudget` itself asserts the limits in every one-second window.
    """
    host = MeasureLimit(65536, 4000)
    region = MeasureLimit(4096, 50)
    scenario = Scenario(17, 2, 3, 0.9, calls, seed)
    result = run_scenario(
        scenario, lambda world: SlotPolicy(world, SelectionTuning(), host, region)
    )
    assert isinstance(result.policy, SlotPolicy)
    budgets = [core.budget for core in result.policy.cores]
    peak_host = max(budget.peak_bytes() for budget in budgets)
    peak_region = max(budget.peak_bytes(f"r{i}") for budget in budgets for i in range(3))
    add_figure = section.figures.append
    add_figure(Figure("most measuring bytes between regions in a second", peak_region, 4096))
    add_figure(Figure("most measuring bytes of a host in a second", peak_host, 65536))


def _assumptions() -> str:
    return (
        "Queue model in virtual time, 16 entry hosts. Poisson arrivals, to each region in "
        "proportion to its slots; service times exponential, mean 5 ms; each instance runs at a "
        "third of its speed for 20 ms (mean) a tenth of the time. Load is relative to the "
        "capacity with these disturbances. One-way latency: 0.1 ms in a zone (assumed; the flat "
        "network is one zone), 0.5 ms between zones, 12 ms between regions. The single queue is "
        "one per region and sees every slot without delay. Latencies run from arrival at the entry "
        f"host, without the first tenth of {CALLS} calls for each of {SEEDS} seeds. Measuring "
        "bytes are the CBOR bytes of acquire, grant, release and refuse, each in its own websocket "
        "frame (2 bytes, and 4 for the mask from the host that opened the link); a probe is "
        f"{probe_bytes()} bytes of HTTP request and answer as h11 encodes them. TCP and IP headers "
        "are counted on neither side.\n"
    )
