"""Soak of whole fleets under random faults, and mutations that its checks must detect."""

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
from dotterelstand.process.distribution.distributor import DocumentDistributor
from dotterelstand.process.idempotency.journalcall import Go, Recorded, Refused
from dotterelstand.process.idempotency.journalservice import JournalService
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.suspects import strikes
from dotterelstand.process.suspects.quarantine import QuarantineService
from dotterelstand.process.suspects.strikes import StrikeRecord
from dotterelstand.request.attempt import Attempt
from dotterelstand.version.model import Document

RUN_S = 25.0
SHORT_RUN_S = 12.0
# Virtual time for a fleet to recover from the few faults of a run with a mutation.
SHORT_RECOVERY_S = 3.0
# Maximum time for which a fault waits for a request that it can affect.
MAX_FAULT_WAIT_S = 5.0

Mutation = Callable[[pytest.MonkeyPatch], None]

_PRINT_RECORDS = f"""
from dotterelstand.bench import soak
soak.RECOVERY_S = {SHORT_RECOVERY_S}
print(*soak.run_soak(7, {SHORT_RUN_S}).records, sep="\\n")
"""


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_fleet_keeps_its_promises(seed: int) -> None:
    """Checks every invariant of docs/soak.md while hosts, targets, links and the store fail."""
    report = soak.run_soak(seed, RUN_S)
    assert [str(violation) for violation in report.violations] == []
    assert report.answered > (report.requests - report.refused_in_outage) * 0.9


def test_one_seed_gives_one_run(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against runs that depend on hash order or on an earlier run in the process.

    Such a run could not be repeated from its seed.
    """
    monkeypatch.setattr(soak, "RECOVERY_S", SHORT_RECOVERY_S)
    first = soak.run_soak(7, SHORT_RUN_S).records
    assert len(first) > 300
    assert soak.run_soak(7, SHORT_RUN_S).records == first
    other_process = subprocess.run(
        [sys.executable, "-c", _PRINT_RECORDS],
        env={**os.environ, "PYTHONHASHSEED": "1"},
        stdout=subprocess.PIPE,
        text=True,
        timeout=600,
        check=True,
    )
    assert other_process.stdout.splitlines() == first


def _from_shared_mutation(mutation: Callable[[SetAttribute], None]) -> Mutation:
    """Wrap a mutation that is shared with the soak of processes; it is undone after the test."""
    return lambda patch: mutation(patch.setattr)


def _permit_twice(patch: pytest.MonkeyPatch) -> None:
    begin = JournalService.begin

    async def begin_again(
        self: JournalService, key: bytes, body_digest: bytes, service: str
    ) -> Go | Recorded | Refused:
        reply = await begin(self, key, body_digest, service)
        known_key_codes = (ResultCode.KEY_RUNNING, ResultCode.KEY_UNKNOWN)
        if isinstance(reply, Refused) and reply.code in known_key_codes:
            return Go(key, 0, 0, 0)
        return reply

    patch.setattr(JournalService, "begin", begin_again)


def _keep_connection_with_answer_outstanding(patch: pytest.MonkeyPatch) -> None:
    def discard(self: TargetPool, connection: TargetConnection) -> None:
        connection._h11 = h11.Connection(h11.CLIENT)
        connection.idle_since_s = trio.current_time()
        self._idle.setdefault(connection.address, []).append(connection)

    patch.setattr(TargetPool, "discard", discard)


def _never_quarantine(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(strikes._StrikeHistory, "justifies_quarantine", lambda self: False)


def _keep_strikes(patch: pytest.MonkeyPatch) -> None:
    async def record_strike(
        self: QuarantineService, fingerprint: bytes, target: str, suspect: bool
    ) -> None:
        own_strike = StrikeRecord(fingerprint, target, suspect, trio.current_time())
        self._record(own_strike, self._mesh.host)

    patch.setattr(QuarantineService, "record_strike", record_strike)


def _ignore_newer_versions(patch: pytest.MonkeyPatch) -> None:
    may_apply = DocumentDistributor._may_apply
    patch.setattr(
        DocumentDistributor,
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
            self.frontend.document = first.setdefault(id(self), before)
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
    with trio.move_on_after(MAX_FAULT_WAIT_S):
        while True:
            for target in context.fleet.targets_of(service):
                if any(run.state == "began" for run in target.runs):
                    target.crash()
                    return
            await trio.sleep(0.001)


async def orders_target_crashes(context: FaultContext) -> None:
    """Crash a target while it runs a request with an idempotency key."""
    await _crash_busy_target(context, "orders")


async def artwork_target_crashes(context: FaultContext) -> None:
    """Crash a target while it receives or processes an upload."""
    await _crash_busy_target(context, "artwork")


async def busy_host_stops(context: FaultContext) -> None:
    """Stop an entry host gracefully while it serves requests, and replace it."""
    end = trio.current_time() + MAX_FAULT_WAIT_S
    while trio.current_time() < end:
        for host in context.fleet.live_hosts():
            if host.daemon is not None and host.stop_began_at is None:
                if any(
                    not connection.is_idle() for connection in host.daemon.frontend._connections
                ):
                    host.stop()
                    await host.ended.wait()
                    context.fleet.replace_host(host)
                    return
        await trio.sleep(0.001)


TARGET_CRASHES = (orders_target_crashes, artwork_target_crashes)
CRASHING_REQUESTS = (soakfaults.crashing_request,)
HOST_STOPS = (busy_host_stops,)
SLOW_TARGETS = (soakfaults.target_slow, soakfaults.connections_silent)
NEW_VERSIONS = (soakfaults.document_accepted,)


@pytest.mark.parametrize(
    ("mutation", "faults", "guarantee", "seed"),
    [
        (_from_shared_mutation(retry_what_may_have_run), TARGET_CRASHES, "at most once", 1),
        (_from_shared_mutation(call_lost_not_run), TARGET_CRASHES, "not run", 1),
        (_permit_twice, TARGET_CRASHES, "at most once", 1),
        (_keep_connection_with_answer_outstanding, SLOW_TARGETS, "own answer", 3),
        (_from_shared_mutation(cut_at_stop), HOST_STOPS, "planned stop", 1),
        (_never_quarantine, CRASHING_REQUESTS, "targets lost to one request", 1),
        (_keep_strikes, CRASHING_REQUESTS, "targets lost to one request", 1),
        (_ignore_newer_versions, NEW_VERSIONS, "in force everywhere", 1),
        (_return_to_older_version, NEW_VERSIONS, "version goes forward", 1),
        (_fail_in_request, TARGET_CRASHES, "requests.faults", 1),
    ],
)
def test_checks_detect_mutation(
    monkeypatch: pytest.MonkeyPatch,
    mutation: Mutation,
    faults: tuple[Fault, ...],
    guarantee: str,
    seed: int,
) -> None:
    """Guards against checks that miss violations, whose clean runs would prove nothing."""
    monkeypatch.setattr(soakfaults, "FAULTS", faults)
    monkeypatch.setattr(soak, "RECOVERY_S", SHORT_RECOVERY_S)
    mutation(monkeypatch)
    report = soak.run_soak(seed, SHORT_RUN_S, 60.0)
    assert guarantee in {violation.guarantee for violation in report.violations}
