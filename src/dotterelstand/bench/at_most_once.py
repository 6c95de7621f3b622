"""Randomised proof of at-most-once execution: python -m dotterelstand.bench.at_most_once."""

import random
import sys
import time
from pathlib import Path

import fire
import trio

from dotterelstand.bench.faultplan import run_faults
from dotterelstand.bench.fleet import Fleet, FleetShape, Reply
from dotterelstand.bench.judge import Judge
from dotterelstand.bench.mutations import MUTATIONS, mutated
from dotterelstand.bench.plots import plot_lines
from dotterelstand.bench.report import Figure, Section
from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.telemetry.invariant import InvariantError
from dotterelstand.standin.freeze import Freezer
from dotterelstand.standin.virtual import run_virtual, seeded_random

REQUESTS_PER_S = 150.0
MAX_ATTEMPTS = 6
# Keys that are sent once more after the faults.
REPEATS = 200
# Time after the end of the faults within which every host must serve keyed requests again.
RECOVERY_S = 3.0
# Size of the section in the benchmark report; the proof itself takes 200 seeds.
SECTION_SEEDS = 5
SECTION_REQUESTS = 1000


class RunReport:
    """Result of one seed: violations, codes told, faults that struck, and recovery in seconds."""

    __slots__ = ("codes", "faults", "recovery_s", "requests", "runs", "violations")

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.codes: dict[int, int] = {}
        self.faults: list[str] = []
        self.recovery_s = 0.0
        self.requests = 0
        self.runs = 0


class Callers:
    """Callers that repeat their keys through other hosts after lost answers."""

    __slots__ = ("_attempt", "_fleet", "_judge", "_random")

    def __init__(self, fleet: Fleet, judge: Judge, rng: random.Random) -> None:
        self._fleet = fleet
        self._judge = judge
        self._random = rng
        self._attempt = 0

    async def send_all(self, requests: int, rate: float) -> None:
        """Send requests at random times, `rate` a second on average."""
        async with trio.open_nursery() as nursery:
            for number in range(requests):
                await trio.sleep(self._random.expovariate(rate))
                nursery.start_soon(self._call, b"key-%d" % number)
                if self._random.random() < 0.05:
                    nursery.start_soon(self._call, b"key-%d" % number)

    async def attempt(self, host: str, key: bytes, body: bytes, timeout_s: float) -> Reply | None:
        """One request through one host; None if no answer arrived in time."""
        self._attempt += 1
        attempt = self._attempt
        answered = trio.Event()
        replies: list[Reply] = []

        def told(reply: Reply) -> None:
            self._judge.note(key, attempt, reply)
            replies.append(reply)
            answered.set()

        self._fleet.submit(host, key, body, attempt, told)
        with trio.move_on_after(timeout_s):
            await answered.wait()
        return replies[0] if replies else None

    async def repeat_some(self, keys: list[bytes]) -> None:
        """Send again keys that ran earlier, each through some host."""
        async with trio.open_nursery() as nursery:
            for key in self._random.sample(keys, min(REPEATS, len(keys))):
                host = self._random.choice(sorted(self._fleet.hosts))
                nursery.start_soon(self.attempt, host, key, b"body", 2.0)

    async def _call(self, key: bytes) -> None:
        rng = self._random
        for _ in range(MAX_ATTEMPTS):
            host = rng.choice(sorted(self._fleet.hosts))
            body = b"other" if rng.random() < 0.01 else b"body"
            reply = await self.attempt(host, key, body, rng.choice([0.3, 1.0, 2.5]))
            lost = rng.random() < 0.1
            if reply is None or lost or reply.code is ResultCode.KEY_RUNNING:
                await trio.sleep(rng.uniform(0.0, 0.5))
            elif reply.code.run is Execution.NOT_RUN:
                await trio.sleep(rng.uniform(0.05, 1.0))
            elif rng.random() < 0.9:
                return


async def _recover(fleet: Fleet, callers: Callers, report: RunReport) -> None:
    """Every host serves a new keyed request within the bound after the end of the faults."""
    began = trio.current_time()

    async def probe(host: str) -> None:
        number = 0
        while trio.current_time() - began <= RECOVERY_S:
            number += 1
            key = f"probe-{host}-{number}".encode()
            reply = await callers.attempt(host, key, b"body", 1.0)
            if reply is not None and reply.code is ResultCode.ANSWERED:
                report.recovery_s = max(report.recovery_s, trio.current_time() - began)
                return
            await trio.sleep(0.05)
        report.violations.append(f"{host} serves no keyed request {RECOVERY_S} s after the faults")
        report.recovery_s = float("inf")

    async with trio.open_nursery() as nursery:
        for host in sorted(fleet.hosts):
            nursery.start_soon(probe, host)


async def _run(seed: int, requests: int, partitions: int) -> RunReport:
    report, judge = RunReport(), Judge()
    shape = FleetShape(hosts=5, regions=2, partitions=partitions)
    with Freezer() as freezer:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, freezer, shape, seeded_random(seed, "fleet"))
            await fleet.start()
            callers = Callers(fleet, judge, seeded_random(seed, "callers"))
            await trio.sleep(1.0)
            until = trio.current_time() + requests / REQUESTS_PER_S
            async with trio.open_nursery() as load:
                load.start_soon(callers.send_all, requests, REQUESTS_PER_S)
                report.faults = await run_faults(fleet, seeded_random(seed, "faults"), until)
                await _recover(fleet, callers, report)
                await callers.repeat_some(sorted(fleet.target.runs))
            # Hosts that were lost while frozen get no further chance to act than this.
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()
            freezer.thaw_all()
    report.violations += fleet.store.violations + judge.violations(fleet.target)
    report.codes = judge.codes
    report.requests = len(judge.told)
    report.runs = len(fleet.target.runs)
    return report


def run_seed(seed: int, requests: int, mutation: str = "", partitions: int = 1) -> RunReport:
    """Run one seed; an invariant that a host asserts counts as a violation."""
    with mutated(mutation):
        try:
            return run_virtual(_run, seed, requests, partitions, seed=seed)
        except* InvariantError as group:
            report = RunReport()
            report.violations = [str(error) for error in _leaves(group)]
    return report


def _leaves(group: BaseExceptionGroup) -> list[BaseException]:
    found: list[BaseException] = []
    for error in group.exceptions:
        found += _leaves(error) if isinstance(error, BaseExceptionGroup) else [error]
    return found


def run_section(seed: int, out: Path, scale: float) -> Section:
    """Section of the report: a few seeds from `seed` on."""
    section = Section("At-most-once execution")
    requests = max(200, round(SECTION_REQUESTS * scale))
    seeds = range(seed, seed + max(2, round(SECTION_SEEDS * scale)))
    reports = [run_seed(number, requests) for number in seeds]
    section.text.append(
        f"Seeds {seeds[0]} to {seeds[-1]}, {requests} requests each, five hosts in two regions, "
        "with faults. A seed is broken if a key ran twice, a request reported as not run had run, "
        "an epoch went backwards, an invariant failed or a host did not recover.\n"
    )
    rows = [
        [str(number), str(r.requests), str(r.runs), f"{r.recovery_s:.2f}", str(len(r.violations))]
        for number, r in zip(seeds, reports, strict=True)
    ]
    section.add_table(["seed", "answers", "keys run", "recovery, s", "violations"], rows)
    for number, r in zip(seeds, reports, strict=True):
        section.text.extend(f"Seed {number}: {found}\n" for found in r.violations[:3])
    broken = sum(bool(r.violations) for r in reports)
    slowest_s = max(r.recovery_s for r in reports)
    section.figures.append(Figure(f"broken seeds of {len(reports)}", broken, 0.0))
    section.figures.append(Figure("slowest recovery after the faults, s", slowest_s, RECOVERY_S))
    curves = {"recovery": [r.recovery_s for r in reports], "bound": [RECOVERY_S] * len(reports)}
    title = "Recovery after the faults, by seed"
    plot_lines(out / "at-most-once.png", title, [str(number) for number in seeds], curves, "s")
    section.plots.append("at-most-once.png")
    return section


def run_proof(
    seeds: int = 200, requests: int = 3000, first: int = 1, mutation: str = "", partitions: int = 1
) -> None:
    """Run seeds from `first` on and print each violation; exits with 1 if there was any."""
    if mutation and mutation not in MUTATIONS:
        sys.exit(f"mutation {mutation}: not one of {', '.join(MUTATIONS)}")
    codes: dict[int, int] = {}
    broken = answers = runs = 0
    slowest_s, began = 0.0, time.process_time()
    for seed in range(first, first + seeds):
        report = run_seed(seed, requests, mutation, partitions)
        answers += report.requests
        runs += report.runs
        slowest_s = max(slowest_s, report.recovery_s)
        for code, count in report.codes.items():
            codes[code] = codes.get(code, 0) + count
        if report.violations:
            broken += 1
            print(
                f"seed {seed}: {len(report.violations)} violations",
                *report.violations[:3],
                sep="\n  ",
            )
        elif seed % 10 == 0:
            print(f"seed {seed}: recovery {report.recovery_s:.2f} s", flush=True)
    print(f"seeds {seeds}, requests {requests} each, answers {answers}, keys run {runs}")
    print("codes", dict(sorted(codes.items())))
    print(f"broken seeds {broken}, slowest recovery {slowest_s:.2f} s")
    print(f"processor time {time.process_time() - began:.0f} s")
    if broken:
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(run_proof)
