"""Whole fleets under random faults keep their promises, and the judge sees when they do not."""

import os
import subprocess
import sys
from collections.abc import Callable

import h11
import pytest
import trio
from soak.mutated import SetAttribute, call_lost_not_run, cut_at_stop, retry_what_may_have_run

from dotterelstand.bench import soak, soakfaults
from dotterelstand.bench.soakfaults import Fault, FaultContext
from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.pool import TargetPool
from dotterelstand.connection.target import TargetConnection
from dotterelstand.process.daemon import Daemon
from dotterelstand.process.distribution.spread import DocumentSpread
from dotterelstand.process.idempotency.journalcall import Go, Recorded, Refused
from dotterelstand.process.idempotency.journalservice import JournalService
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.suspects import strikes
from dotterelstand.process.suspects.quarantine import QuarantineService
from dotterelstand.process.suspects.strikes import KnownStrike
from dotterelstand.request.attempt import Attempt
from dotterelstand.version.document import Document

SECONDS = 25.0
SHORT_S = 12.0
# Virtual time in which a fleet recovers from the few faults of a mutation's run.
SHORT_RECOVERY_S = 3.0
# Longest time in which a fault waits for a request that it can hit.
BUSY_WAIT_S = 5.0

Mutation = Callable[[pytest.MonkeyPatch], None]

_PRINT_RECORDS = f"""
from dotterelstand.bench import soak
soak.RECOVERY_S = {SHORT_RECOVERY_S}
print(*soak.run_soak(7, {SHORT_S}).records, sep="\\n")
"""


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_fleet_keeps_its_promises(seed: int) -> None:
    """Guards every invariant of docs/soak.md while hosts, targets, links and store fail."""
    report = soak.run_soak(seed, SECONDS)
    assert [str(violation) for violation in report.violations] == []
    assert report.answered > (report.requests - report.refused_for_store) * 0.9


def test_one_seed_gives_one_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """A run that depends on hashing or on an earlier run could not be repeated from its seed."""
    monkeypatch.setattr(soak, "RECOVERY_S", SHORT_RECOVERY_S)
    first = soak.run_soak(7, SHORT_S).records
    assert len(first) > 300
    assert soak.run_soak(7, SHORT_S).records == first
    other = subprocess.run(
        [sys.executable, "-c", _PRINT_RECORDS],
        env={**os.environ, "PYTHONHASHSEED": "1"},
        stdout=subprocess.PIPE,
        text=True,
        timeout=600,
        check=True,
    )
    assert other.stdout.splitlines() == first


def _with(mutation: Callable[[SetAttribute], None]) -> Mutation:
    """A mutation that also runs in a daemon's process, undone after the test."""
    return lambda patch: mutation(patch.setattr)


def _go_twice(patch: pytest.MonkeyPatch) -> None:
    begin = JournalService.begin

    async def begin_again(
        self: JournalService, key: bytes, body_digest: bytes, service: str
    ) -> Go | Recorded | Refused:
        reply = await begin(self, key, body_digest, service)
        known = (ResultCode.KEY_RUNNING, ResultCode.KEY_UNKNOWN)
        if isinstance(reply, Refused) and reply.code in known:
            return Go(key, 0, 0, 0)
        return reply

    patch.setattr(JournalService, "begin", begin_again)


def _keep_connection_with_answer_outstanding(patch: pytest.MonkeyPatch) -> None:
    def discard(self: TargetPool, connection: TargetConnection) -> None:
        connection._h11 = h11.Connection(h11.CLIENT)
        connection.handed = False
        connection.last_proof_s = trio.current_time()
        self._idle.setdefault(connection.address, []).append(connection)

    patch.setattr(TargetPool, "discard", discard)


def _never_quarantine(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(strikes._Entry, "is_enough", lambda self: False)


def _keep_strikes(patch: pytest.MonkeyPatch) -> None:
    async def strike(
        self: QuarantineService, fingerprint: bytes, target: str, suspect: bool
    ) -> None:
        own = KnownStrike(fingerprint, target, suspect, trio.current_time())
        self._record(own, self._mesh.host)

    patch.setattr(QuarantineService, "strike", strike)


def _ignore_newer_versions(patch: pytest.MonkeyPatch) -> None:
    may_apply = DocumentSpread._may_apply
    patch.setattr(
        DocumentSpread,
        "_may_apply",
        lambda self, record: self.number == 0 and may_apply(self, record),
    )


def _return_to_older_version(patch: pytest.MonkeyPatch) -> None:
    apply = Daemon._apply

    def apply_and_return(self: Daemon, document: Document) -> None:
        before = self.document
        apply(self, document)
        if before is not None and document.number % 3 == 0:
            apply(self, before)
            self.front.document = first.setdefault(id(self), before)
        first.setdefault(id(self), document)

    first: dict[int, Document] = {}
    patch.setattr(Daemon, "_apply", apply_and_return)


def _fail_in_request(patch: pytest.MonkeyPatch) -> None:
    outcome = Attempt.outcome

    def fail(self: Attempt) -> AttemptOutcome:
        assert self.failure is not ResultCode.CONNECTION_LOST
        return outcome(self)

    patch.setattr(Attempt, "outcome", fail)


async def _crash_busy_target(context: FaultContext, service: str) -> None:
    with trio.move_on_after(BUSY_WAIT_S):
        while True:
            for target in context.fleet.targets_of(service):
                if any(run.state == "began" for run in target.runs):
                    target.crash()
                    return
            await trio.sleep(0.001)


async def orders_target_crashes(context: FaultContext) -> None:
    """A target crashes while it runs a request with a key."""
    await _crash_busy_target(context, "orders")


async def artwork_target_crashes(context: FaultContext) -> None:
    """A target crashes while it receives an upload or works on it."""
    await _crash_busy_target(context, "artwork")


async def busy_host_stops(context: FaultContext) -> None:
    """An entry host is stopped gracefully while it serves requests."""
    end = trio.current_time() + BUSY_WAIT_S
    while trio.current_time() < end:
        for host in context.fleet.live_hosts():
            if host.daemon is not None and host.stopped is None:
                if any(not caller.is_idle() for caller in host.daemon.front._connections):
                    host.stop()
                    await host.ended.wait()
                    context.fleet.replace_host(host)
                    return
        await trio.sleep(0.001)


CRASHES = (orders_target_crashes, artwork_target_crashes)
CRASHING = (soakfaults.crashing_request,)
STOPS = (busy_host_stops,)
SLOW = (soakfaults.target_slow, soakfaults.connections_silent)
VERSIONS = (soakfaults.document_accepted,)


@pytest.mark.parametrize(
    ("mutation", "faults", "promise", "seed"),
    [
        (_with(retry_what_may_have_run), CRASHES, "at most once", 1),
        (_with(call_lost_not_run), CRASHES, "not run", 1),
        (_go_twice, CRASHES, "at most once", 1),
        (_keep_connection_with_answer_outstanding, SLOW, "own answer", 1),
        (_with(cut_at_stop), STOPS, "planned stop", 1),
        (_never_quarantine, CRASHING, "targets lost to one request", 1),
        (_keep_strikes, CRASHING, "targets lost to one request", 1),
        (_ignore_newer_versions, VERSIONS, "in force everywhere", 1),
        (_return_to_older_version, VERSIONS, "version goes forward", 1),
        (_fail_in_request, CRASHES, "requests.faults", 1),
    ],
)
def test_judge_catches_mutation(
    monkeypatch: pytest.MonkeyPatch,
    mutation: Mutation,
    faults: tuple[Fault, ...],
    promise: str,
    seed: int,
) -> None:
    """A judge that misses a broken promise would make every run without violations worthless."""
    monkeypatch.setattr(soakfaults, "FAULTS", faults)
    monkeypatch.setattr(soak, "RECOVERY_S", SHORT_RECOVERY_S)
    mutation(monkeypatch)
    report = soak.run_soak(seed, SHORT_S, 60.0)
    assert promise in {violation.promise for violation in report.violations}
