"""Randomised test of at-most-once execution: python -m dotterelstand.bench.at_most_once."""

import random
import sys
import time
from pathlib import Path

import fire
import trio

from dotterelstand.bench.faultplan import run_faults
from dotterelstand.bench.fleet import Fleet, FleetConfig, Reply
from dotterelstand.bench.mutations import MUTATIONS, mutated
from dotterelstand.bench.plots import plot_lines
from dotterelstand.bench.replychecker import ReplyChecker
from dotterelstand.bench.report import Figure, Section
from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.telemetry.invariant import InvariantError
from dotterelstand.standin.freeze import Freezer
from dotterelstand.standin.virtual import run_virtual, seeded_random

REQUESTS_PER_S = 150.0
MAX_ATTEMPTS = 6
# Number of keys that have run and are repeated after the faults; none may run again.
REPEATED_KEYS = 200
# Maximum time from the end of the faults until every host serves requests with keys again.
RECOVERY_S = 3.0
# Size of the section in the benchmark report. Run on its own, this test has 200 seeds by default.
SECTION_SEEDS = 5
SECTION_REQUESTS = 1000


class RunReport:
    """Result of one seed: violations, replies by result code, injected faults and recovery time."""

    __slots__ = ("answers", "codes", "faults", "keys_run", "recovery_s", "violations")

    def __init__(self) -> None:
        self.violations: list[str] = []
        self.codes: dict[int, int] = {}
        self.faults: list[str] = []
        self.recovery_s = 0.0
        self.answers = 0
        self.keys_run = 0


class Callers:
    """Sends requests with keys through random hosts, and repeats those without an answer."""

    __slots__ = ("_attempts_sent", "_checker", "_fleet", "_random")

    def __init__(self, fleet: Fleet, checker: ReplyChecker, rng: random.Random) -> None:
        self._fleet = fleet
        self._checker = checker
        self._random = rng
        self._attempts_sent = 0

    async def send_all(self, requests: int, rate: float) -> None:
        """Send requests at random times, `rate` a second on average."""
        async with trio.open_nursery() as nursery:
            for number in range(requests):
                await trio.sleep(self._random.expovariate(rate))
                nursery.start_soon(self._send_until_answered, b"key-%d" % number)
                if self._random.random() < 0.05:
                    nursery.start_soon(self._send_until_answered, b"key-%d" % number)

    async def send(self, host: str, key: bytes, body: bytes, timeout_s: float) -> Reply | None:
        """Send one request through one host; returns None if no answer arrived in time."""
        self._attempts_sent += 1
        attempt = self._attempts_sent
        answered = trio.Event()
        replies: list[Reply] = []

        def on_reply(reply: Reply) -> None:
            self._checker.record(key, attempt, reply)
            replies.append(reply)
            answered.set()

        self._fleet.submit(host, key, body, attempt, on_reply)
        with trio.move_on_after(timeout_s):
            await answered.wait()
        return replies[0] if replies else None

    async def repeat_keys(self, keys: list[bytes]) -> None:
        """Repeat up to `REPEATED_KEYS` keys that already ran, each through a random host."""
        async with trio.open_nursery() as nursery:
            for key in self._random.sample(keys, min(REPEATED_KEYS, len(keys))):
                host = self._random.choice(sorted(self._fleet.hosts))
                nursery.start_soon(self.send, host, key, b"body", 2.0)

    async def _send_until_answered(self, key: bytes) -> None:
        rng = self._random
        for _ in range(MAX_ATTEMPTS):
            host = rng.choice(sorted(self._fleet.hosts))
            body = b"other" if rng.random() < 0.01 else b"body"
            reply = await self.send(host, key, body, rng.choice([0.3, 1.0, 2.5]))
            reply_lost = rng.random() < 0.1
            if reply is None or reply_lost or reply.code is ResultCode.KEY_RUNNING:
                await trio.sleep(rng.uniform(0.0, 0.5))
            elif reply.code.run is Execution.NOT_RUN:
                await trio.sleep(rng.uniform(0.05, 1.0))
            elif rng.random() < 0.9:
                return


async def _check_recovery(fleet: Fleet, callers: Callers, report: RunReport) -> None:
    """Check that every host answers a new request with a key within `RECOVERY_S`."""
    started = trio.current_time()

    async def probe_host(host: str) -> None:
        number = 0
        while trio.current_time() - started <= RECOVERY_S:
            number += 1
            key = f"probe-{host}-{number}".encode()
            reply = await callers.send(host, key, b"body", 1.0)
            if reply is not None and reply.code is ResultCode.ANSWERED:
                report.recovery_s = max(report.recovery_s, trio.current_time() - started)
                return
            await trio.sleep(0.05)
        report.violations.append(f"{host} serves no keyed request {RECOVERY_S} s after the faults")
        report.recovery_s = float("inf")

    async with trio.open_nursery() as nursery:
        for host in sorted(fleet.hosts):
            nursery.start_soon(probe_host, host)


async def _run(seed: int, requests: int, partitions: int) -> RunReport:
    report, checker = RunReport(), ReplyChecker()
    config = FleetConfig(hosts=5, regions=2, partitions=partitions)
    with Freezer() as freezer:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, freezer, config, seeded_random(seed, "fleet"))
            await fleet.start()
            callers = Callers(fleet, checker, seeded_random(seed, "callers"))
            await trio.sleep(1.0)
            faults_end = trio.current_time() + requests / REQUESTS_PER_S
            async with trio.open_nursery() as load_nursery:
                load_nursery.start_soon(callers.send_all, requests, REQUESTS_PER_S)
                report.faults = await run_faults(fleet, seeded_random(seed, "faults"), faults_end)
                await _check_recovery(fleet, callers, report)
                await callers.repeat_keys(sorted(fleet.target.runs))
            # Wait for late effects of hosts that were lost while frozen. Then the run ends and is
            # checked.
            await trio.sleep(5.0)
            nursery.cancel_scope.cancel()
            freezer.thaw_all()
    report.violations += fleet.store.violations + checker.violations(fleet.target)
    report.codes = checker.codes
    report.answers = len(checker.replies)
    report.keys_run = len(fleet.target.runs)
    return report


def run_seed(seed: int, requests: int, mutation: str = "", partitions: int = 1) -> RunReport:
    """Run one seed; an `InvariantError` of a host is reported as a violation, not raised."""
    with mutated(mutation):
        try:
            return run_virtual(_run, seed, requests, partitions, seed=seed)
        except* InvariantError as group:
            report = RunReport()
            report.violations = [str(error) for error in _flatten(group)]
    return report


def _flatten(group: BaseExceptionGroup) -> list[BaseException]:
    errors: list[BaseException] = []
    for error in group.exceptions:
        errors += _flatten(error) if isinstance(error, BaseExceptionGroup) else [error]
    return errors


def run_section(seed: int, out: Path, scale: float) -> Section:
    """Return the section of the report on a few seeds, of which `seed` is the first."""
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
        [
            str(number),
            str(run.answers),
            str(run.keys_run),
            f"{run.recovery_s:.2f}",
            str(len(run.violations)),
        ]
        for number, run in zip(seeds, reports, strict=True)
    ]
    section.add_table(["seed", "answers", "keys run", "recovery, s", "violations"], rows)
    for number, run in zip(seeds, reports, strict=True):
        section.text.extend(f"Seed {number}: {violation}\n" for violation in run.violations[:3])
    broken_seeds = sum(bool(run.violations) for run in reports)
    slowest_s = max(run.recovery_s for run in reports)
    section.figures.append(Figure(f"broken seeds of {len(reports)}", broken_seeds, 0.0))
    section.figures.append(Figure("slowest recovery after the faults, s", slowest_s, RECOVERY_S))
    curves = {"recovery": [run.recovery_s for run in reports], "bound": [RECOVERY_S] * len(reports)}
    title = "Recovery after the faults, by seed"
    plot_lines(out / "at-most-once.png", title, [str(number) for number in seeds], curves, "s")
    section.plots.append("at-most-once.png")
    return section


def run_seeds(
    seeds: int = 200, requests: int = 3000, first: int = 1, mutation: str = "", partitions: int = 1
) -> None:
    """Run seeds from `first` on, print their violations and exit with 1 if there are any."""
    if mutation and mutation not in MUTATIONS:
        sys.exit(f"mutation {mutation}: not one of {', '.join(MUTATIONS)}")
    codes: dict[int, int] = {}
    broken_seeds = answers = keys_run = 0
    slowest_s, started = 0.0, time.process_time()
    for seed in range(first, first + seeds):
        report = run_seed(seed, requests, mutation, partitions)
        answers += report.answers
        keys_run += report.keys_run
        slowest_s = max(slowest_s, report.recovery_s)
        for code, count in report.codes.items():
            codes[code] = codes.get(code, 0) + count
        if report.violations:
            broken_seeds += 1
            print(
                f"seed {seed}: {len(report.violations)} violations",
                *report.violations[:3],
                sep="\n  ",
            )
        elif seed % 10 == 0:
            print(f"seed {seed}: recovery {report.recovery_s:.2f} s", flush=True)
    print(f"seeds {seeds}, requests {requests} each, answers {answers}, keys run {keys_run}")
    print("codes", dict(sorted(codes.items())))
    print(f"broken seeds {broken_seeds}, slowest recovery {slowest_s:.2f} s")
    print(f"processor time {time.process_time() - started:.0f} s")
    if broken_seeds:
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(run_seeds)
