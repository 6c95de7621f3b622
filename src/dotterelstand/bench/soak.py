"""Long randomised runs of whole fleets in virtual time, with each fault of the requirements."""

import sys

import fire
import trio
from absl import logging

from dotterelstand.bench.soakcallers import Callers, Request
from dotterelstand.bench.soakfaults import FaultContext, run_faults
from dotterelstand.bench.soakfleet import SoakFleet
from dotterelstand.bench.soakjudge import Violation, find_violations
from dotterelstand.bench.soakwatch import InvariantLogHandler, find_daemon_errors, monitor_versions
from dotterelstand.codes import Result
from dotterelstand.standin.freeze import Freezer
from dotterelstand.standin.virtual import run_virtual, seeded_random

HOSTS_PER_REGION = 2
RATE_PER_S = 20.0
STARTUP_S = 5.0
# Time from the last fault until the fleet must have recovered.
RECOVERY_S = 30.0
# Maximum time from the acceptance of a document until every host applies it.
DOCUMENT_IN_FORCE_BOUND_S = 3.0
CHECK_LOAD_S = 10.0
# Maximum time until a journal partition has an owner again after the store recovered.
TAKEOVER_BOUND_S = 3.0
# Result codes of requests with a key that are refused because the journal cannot record them.
STORE_REFUSAL_CODES = frozenset({Result.STORE_UNAVAILABLE, Result.OWNER_UNREACHABLE})


class SoakReport:
    """Result of one run; `codes` counts attempts by result code.

    `records` lists the results of each caller's attempts and the executions of each target, in
    order. `refused_in_outage` counts requests with a key of which every attempt was refused during
    a fault of the store. They need not be answered, since they may not run without the store.
    """

    __slots__ = ("answered", "codes", "records", "refused_in_outage", "requests", "violations")

    def __init__(
        self, fleet: SoakFleet, requests: list[Request], violations: list[Violation]
    ) -> None:
        self.requests = len(requests)
        self.answered = sum(request.answered for request in requests)
        self.violations = violations
        self.refused_in_outage = sum(
            _is_refused_in_outage(request, fleet.store_outages) for request in requests
        )
        self.codes: dict[int, int] = {}
        for request in requests:
            for result in request.attempts:
                self.codes[result.code] = self.codes.get(result.code, 0) + 1
        self.records = [
            f"{request.path} "
            f"{[(result.host, result.code, result.started_at) for result in request.attempts]}"
            for request in requests
        ]
        for name, target in sorted(fleet.targets.items()):
            self.records.extend(f"{name} {run.path} {run.state}" for run in target.runs)


def _is_refused_in_outage(request: Request, outages: list[tuple[float, float]]) -> bool:
    codes = {result.code for result in request.attempts}
    if not request.key or not codes or not codes <= STORE_REFUSAL_CODES:
        return False
    return all(
        any(start <= result.started_at <= end + TAKEOVER_BOUND_S for start, end in outages)
        for result in request.attempts
    )


def run_soak(seed: int, seconds: float, rate_per_s: float = RATE_PER_S) -> SoakReport:
    """Run one fleet under faults for `seconds` of virtual time; equal seeds give equal runs."""
    return run_virtual(_run, seed, seconds, rate_per_s, seed=seed)


async def _run(seed: int, seconds: float, rate_per_s: float) -> SoakReport:
    rng = seeded_random(seed, "soak")
    violations: list[Violation] = []
    with Freezer() as freezer, InvariantLogHandler() as invariant_handler:
        async with trio.open_nursery() as nursery:
            fleet = SoakFleet(seed, nursery, freezer)
            await fleet.start(HOSTS_PER_REGION)
            nursery.start_soon(monitor_versions, fleet, violations)
            await trio.sleep(STARTUP_S)
            async with trio.open_nursery() as caller_nursery:
                callers = Callers(fleet, caller_nursery, seeded_random(seed, "callers"))
                caller_nursery.start_soon(callers.run, rate_per_s, seconds)
                async with trio.open_nursery() as fault_nursery:
                    context = FaultContext(fleet, callers, rng)
                    fault_nursery.start_soon(run_faults, context, fault_nursery, seconds)
            fleet.store.faults.clear()
            await trio.sleep(RECOVERY_S)
            violations.extend(await _check_recovery(fleet, seed))
            violations.extend(find_violations(fleet, callers.requests))
            violations.extend(find_daemon_errors(fleet, invariant_handler))
            nursery.cancel_scope.cancel()
    return SoakReport(fleet, callers.requests, violations)


async def _check_recovery(fleet: SoakFleet, seed: int) -> list[Violation]:
    violations = []
    number = fleet.accept_document()
    await trio.sleep(DOCUMENT_IN_FORCE_BOUND_S)
    for host in fleet.live_hosts():
        document = host.daemon.document if host.daemon is not None else None
        if document is None or document.number != number:
            applied_number = None if document is None else document.number
            violations.append(
                Violation("in force everywhere", f"{host.name} has {applied_number}, not {number}")
            )
    async with trio.open_nursery() as nursery:
        callers = Callers(fleet, nursery, seeded_random(seed, "calm"))
        for index in range(100):
            await trio.sleep(CHECK_LOAD_S / 100)
            callers.send(
                ("prices", "orders", "artwork")[index % 3], f"/{_REQUEST_KINDS[index % 3]}/c{index}"
            )
    for request in callers.requests:
        if not request.answered or len(request.attempts) > 2:
            codes = [result.code for result in request.attempts]
            violations.append(Violation("recovery", f"{request.path} got codes {codes}"))
    violations.extend(find_violations(fleet, callers.requests))
    return violations


_REQUEST_KINDS = ("prices", "orders", "artwork")


def run_many(seed: int = 1, hours: float = 0.1, seeds: int = 1, rate: float = RATE_PER_S) -> None:
    """Run `seeds` fleets from `seed` on for `hours` of virtual time; exit with 1 on a violation."""
    logging.set_verbosity(logging.ERROR)
    failed = False
    for number in range(seed, seed + seeds):
        report = run_soak(number, hours * 3600, rate)
        print(f"seed {number}: {report.requests} requests, {report.answered} answered", end="")
        print(f", {len(report.violations)} violations, codes {dict(sorted(report.codes.items()))}")
        for violation in report.violations[:20]:
            failed = True
            print(f"  {violation}")
        if report.violations:
            print(f"  repeat with: make soak SEED={number} HOURS={hours}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(run_many)
