"""Tests of the rules of the journal, the lease watch and the call budget, without I/O."""

import random

import pytest
from returns.pipeline import is_successful

from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.idempotency.entry import Answer, Claim, decode_entries
from dotterelstand.process.idempotency.journal import Journal, empty_head
from dotterelstand.process.idempotency.journaltypes import JournalLimits
from dotterelstand.process.idempotency.lease import LeaseWatch, choose_candidates
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.storage.callbudget import (
    Breaker,
    CallBudget,
    CallLimits,
    Deny,
    Kind,
    Priority,
    Run,
    Wait,
)
from dotterelstand.process.telemetry.invariant import InvariantError

KEY, BODY = b"k" * 16, b"b" * 16
LIVE = ("e1", "e2")


def _commit(journal: Journal, now: float) -> list[Claim]:
    batch = journal.take_batch(now, refresh=True)
    assert batch is not None
    return [entry.claim for entry in journal.committed(batch).allowed]


def _reload(journal: Journal, limits: JournalLimits, epoch: int, now: float) -> Journal:
    batch = journal.take_batch(now, refresh=True)
    assert batch is not None
    journal.committed(batch)
    successor = Journal(limits, epoch, 0.0)
    assert is_successful(successor.load_head(batch.payload))
    if batch.segment:
        successor.apply_segment(decode_entries(batch.segment_body).unwrap())
    successor.finish_load()
    return successor


def _code(journal: Journal, now: float, claim: Claim) -> ResultCode | None:
    reply = journal.begin(now, KEY, BODY, "s", claim, LIVE)
    return None if reply is None else reply.code


@pytest.mark.parametrize(
    ("outcome", "after", "after_takeover"),
    [
        (None, ResultCode.KEY_RUNNING, ResultCode.KEY_UNKNOWN),
        (ResultCode.ANSWERED, ResultCode.REPLAYED, ResultCode.REPLAYED),
        (ResultCode.CONNECTION_LOST, ResultCode.KEY_UNKNOWN, ResultCode.KEY_UNKNOWN),
        (ResultCode.CONNECT_FAILED, None, None),
    ],
)
def test_state_of_a_key(
    outcome: ResultCode | None, after: ResultCode | None, after_takeover: ResultCode | None
) -> None:
    """Guards against a takeover that loses or changes the state of a key."""
    limits = JournalLimits(segment_bytes=1)
    journal = Journal(limits, 1, 0.0)
    first, second = Claim("e1", 1), Claim("e2", 2)
    assert _code(journal, 0.0, first) is None
    assert _commit(journal, 0.0) == [first]
    if outcome is not None:
        assert not journal.finish(0.1, KEY, first, outcome, Answer(200, [], b"x"))
    successor = _reload(journal, limits, 2, 0.2)
    assert _code(journal, 0.3, second) == after
    assert _code(successor, 0.1, second) == after_takeover


def test_a_late_outcome_does_not_free_a_newer_run() -> None:
    """Guards against a late "not run" outcome of an earlier claim that frees a running key."""
    journal = Journal(JournalLimits(), 1, 0.0)
    old, new = Claim("e1", 1), Claim("e2", 2)
    for claim in (old, new):
        assert _code(journal, 0.0, claim) is None
        _commit(journal, 0.0)
        if claim is old:
            journal.finish(0.0, KEY, old, ResultCode.CONNECT_FAILED, None)
            _commit(journal, 0.0)
    assert journal.finish(1.0, KEY, old, ResultCode.CONNECT_FAILED, None)
    assert _code(journal, 1.0, old) is ResultCode.KEY_RUNNING


def test_a_rejected_or_withdrawn_intent_gets_no_permission() -> None:
    """Guards against permission to run a request whose intent was not stored or was withdrawn."""
    journal = Journal(JournalLimits(), 1, 0.0)
    claim = Claim("e1", 1)
    assert _code(journal, 0.0, claim) is None
    batch = journal.take_batch(0.0, refresh=True)
    assert batch is not None and [e.claim for e in journal.rejected(batch)] == [claim]
    assert _code(journal, 0.0, claim) is None
    batch = journal.take_batch(0.0, refresh=True)
    assert batch is not None
    assert not journal.finish(0.0, KEY, claim, ResultCode.OWNER_UNREACHABLE, None)
    assert journal.committed(batch).allowed == []
    assert _code(journal, 0.0, Claim("e2", 2)) is ResultCode.KEY_RUNNING
    assert _commit(journal, 0.0) == []
    assert _code(journal, 0.0, Claim("e2", 2)) is None


def test_records_expire_after_retention_and_bound_the_memory() -> None:
    """Guards against unbounded growth of the journal, and expiry before the retention time."""
    limits = JournalLimits(retention_s=10.0, max_records=3, segment_bytes=1)
    journal = Journal(limits, 1, 0.0)
    for number in range(3):
        key = b"%16d" % number
        assert journal.begin(0.0, key, BODY, "s", Claim("e1", number), LIVE) is None
        _commit(journal, 0.0)
    assert _code(journal, 9.0, Claim("e1", 9)) is ResultCode.OVERLOADED
    _commit(journal, 10.1)
    assert journal.record_count == 0 and journal.segments == ()
    assert _code(journal, 10.1, Claim("e1", 9)) is None


def test_a_head_of_another_partition_count_is_not_read() -> None:
    """Guards against a changed partition count, which moves keys so that they run again."""
    assert not is_successful(Journal(JournalLimits(), 1, 0.0).load_head(empty_head(2)))


def test_two_batches_at_once_break_an_invariant() -> None:
    """Guards against two concurrent head updates in one partition."""
    journal = Journal(JournalLimits(), 1, 0.0)
    assert _code(journal, 0.0, Claim("e1", 1)) is None
    journal.take_batch(0.0, refresh=True)
    with pytest.raises(InvariantError):
        journal.take_batch(0.0, refresh=True)


@pytest.mark.parametrize(
    ("observations", "expired"),
    [
        ([(0, 1), (1, 1), (2, 1)], True),
        ([(0, 1), (1, 1), (1.9, 1)], False),
        ([(0, 1), (1, 2), (2, 2)], False),
        ([(0, 1), (5, 1)], False),
    ],
)
def test_a_lease_runs_out_after_an_unbroken_watch(
    observations: list[tuple[float, int]], expired: bool
) -> None:
    """Guards against a takeover right after a store outage, before the owner can renew."""
    watch = LeaseWatch(2.0)
    assert [watch.observe(now, version) for now, version in observations][-1] is expired


def test_candidates_are_staying_hosts_of_the_preferred_region() -> None:
    """Guards against a leaving host that takes over a partition."""
    members = [Member(f"e{n}", f"r{n % 2}", "z", n == 2) for n in range(6)]
    assert set(choose_candidates(members, "journal/0", "r0")) == {"e0", "e4"}


def test_call_budget_serves_the_journal_first_and_paces_the_return() -> None:
    """Guards against store call bursts after outages, and host list reads that starve journals."""
    budget = CallBudget(CallLimits(reads_per_s=10, breaker_failures=2), 0.0, random.Random(1))
    while isinstance(budget.request(0.0, Kind.READ, Priority.HOSTS), Run):
        pass
    assert isinstance(budget.request(0.0, Kind.READ, Priority.JOURNAL), Run)
    budget.failed(0.0, probe=False)
    assert budget.failed(0.0, probe=False) and budget.figures.breaker is Breaker.OPEN
    assert isinstance(budget.request(0.0, Kind.READ, Priority.JOURNAL), Deny)
    probe = budget.request(1.0, Kind.READ, Priority.JOURNAL)
    assert isinstance(probe, Run) and probe.probe
    assert isinstance(budget.request(1.0, Kind.READ, Priority.JOURNAL), Deny)
    assert budget.succeeded(1.0)
    assert isinstance(budget.request(1.0, Kind.READ, Priority.JOURNAL), Run)
    assert isinstance(budget.request(1.0, Kind.READ, Priority.JOURNAL), Wait)


def test_a_wait_always_moves_the_clock() -> None:
    """Guards against a busy loop: a shortage of 1e-15 tokens gave a wait of zero seconds."""
    budget = CallBudget(CallLimits(writes_per_s=8.0), 0.0, random.Random(1))
    now = 1e6
    for _ in range(2000):
        decision = budget.request(now, Kind.WRITE, Priority.LEASE)
        if isinstance(decision, Wait):
            assert now + decision.seconds > now
            now += decision.seconds / 1.25
