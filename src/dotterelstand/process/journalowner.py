"""Keeps one journal partition: takes its lease over, commits batches, releases it."""

import random
from collections.abc import Callable

import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.codes import Result as ResultCode
from dotterelstand.events import Event, log
from dotterelstand.process.callbudget import Priority
from dotterelstand.process.entry import Answer, Claim, Entry, decode_entries
from dotterelstand.process.journal import Journal, empty_head
from dotterelstand.process.journaltypes import Batch, JournalLimits, Reply, Segment
from dotterelstand.process.lease import (
    LOST,
    Lease,
    LeaseRecord,
    LeaseWatch,
    choose_candidates,
    decode_lease,
)
from dotterelstand.process.mesh import Mesh
from dotterelstand.process.store import CONFLICT, MISSING, StoreClient, StoreValue

# Updates that may follow each other without a pause before the rate applies.
UPDATE_BURST = 4.0
# Segments that are read at the same time in a takeover, and deleted per head update.
PARALLEL_READS = 16


class OwnerSettings:
    """Rates and times of a partition's owner, in seconds and updates a second."""

    __slots__ = ("lease_s", "outcome_delay_s", "region", "writes_per_s")

    def __init__(
        self,
        lease_s: float = 2.0,
        writes_per_s: float = 8.0,
        outcome_delay_s: float = 0.25,
        region: str = "",
    ) -> None:
        self.lease_s = lease_s
        self.writes_per_s = writes_per_s
        self.outcome_delay_s = outcome_delay_s
        self.region = region


class OwnerEvents:
    """What an owner tells its service: permissions, refusals, stored outcomes, ownership."""

    __slots__ = ("allow", "owned", "refuse", "stored")

    def __init__(
        self,
        allow: Callable[[Claim, int], None],
        refuse: Callable[[Claim, Reply], None],
        stored: Callable[[Claim], None],
        owned: Callable[[int, int], None],
    ) -> None:
        self.allow = allow
        self.refuse = refuse
        self.stored = stored
        self.owned = owned


class PartitionFigures:
    """Store updates and takeovers of a partition on this host."""

    __slots__ = ("acquired", "deleted", "lost", "rejected", "segments", "updates")

    def __init__(self) -> None:
        self.updates = 0
        self.segments = 0
        self.rejected = 0
        self.acquired = 0
        self.lost = 0
        self.deleted = 0


class PartitionOwner:
    """The claim of this host on one partition, and the partition's journal while it is held."""

    __slots__ = (
        "_events",
        "_filled_at",
        "_journal",
        "_lease",
        "_limits",
        "_mesh",
        "_name",
        "_partition",
        "_released",
        "_settings",
        "_staged_at",
        "_stop",
        "_store",
        "_tokens",
        "_updated_at",
        "_wake",
        "figures",
    )

    def __init__(
        self,
        partition: int,
        store: StoreClient,
        mesh: Mesh,
        settings: OwnerSettings,
        limits: JournalLimits,
        events: OwnerEvents,
        rng: random.Random,
    ) -> None:
        self._partition = partition
        self._name = f"journal/{partition}"
        self._store = store
        self._mesh = mesh
        self._settings = settings
        self._limits = limits
        self._events = events
        self._lease = Lease(store, f"{self._name}/head", mesh.host, rng)
        self._journal: Journal | None = None
        self._tokens = UPDATE_BURST
        self._filled_at = 0.0
        self._updated_at = 0.0
        self._staged_at = 0.0
        self._released = False
        self._wake = trio.Event()
        self._stop = trio.Event()
        self.figures = PartitionFigures()

    @property
    def journal(self) -> Journal | None:
        """Records of the partition, or None while another host owns it."""
        return self._journal

    @property
    def epoch(self) -> int:
        """Epoch under which the partition is owned, or 0."""
        return self._lease.epoch if self._journal is not None else 0

    def begin(self, key: bytes, body_digest: bytes, service: str, claim: Claim) -> Reply | None:
        """Stage an intent (None: answered later through the events), or answer it at once."""
        if self._journal is None or self._stop.is_set():
            return Reply(ResultCode.OWNER_UNREACHABLE)
        live = {member.host for member in self._mesh.members()}
        reply = self._journal.begin(trio.current_time(), key, body_digest, service, claim, live)
        if reply is None and not self._store.budget.available:
            # Nothing was in an update yet, so the intent did not run and never will.
            self._journal.finish(
                trio.current_time(), key, claim, ResultCode.STORE_UNAVAILABLE, None
            )
            return Reply(ResultCode.STORE_UNAVAILABLE)
        self._wake.set()
        return reply

    def finish(self, key: bytes, claim: Claim, code: ResultCode, answer: Answer | None) -> bool:
        """Stage an outcome; true if it needs no record, false if `stored` may follow."""
        if self._journal is None:
            return False
        if self._journal.staged == 0:
            self._staged_at = trio.current_time()
        self._wake.set()
        return self._journal.finish(trio.current_time(), key, claim, code, answer)

    def note_release(self) -> None:
        """Another host announced that it released the partition."""
        self._released = True
        self._wake.set()

    def stop(self) -> None:
        """Begin the release: the pending batch is written, then the lease ends."""
        self._stop.set()
        self._wake.set()

    async def run(self) -> None:
        """Follow the partition until it is released after `stop`."""
        while not self._stop.is_set():
            await self._await_ownership()
            if self._journal is not None:
                await self._keep()

    async def _await_ownership(self) -> None:
        watch = LeaseWatch(self._settings.lease_s)
        while not self._stop.is_set():
            rank = self._rank()
            if rank is not None:
                seen = await self._look(watch, rank)
                if is_successful(seen) and await self._take_over(seen.unwrap()):
                    return
            self._wake = trio.Event()
            with trio.move_on_after(self._settings.lease_s / 8):
                await self._wake.wait()

    def _rank(self) -> int | None:
        candidates = choose_candidates(self._mesh.members(), self._name, self._settings.region)
        host = self._mesh.host
        return candidates.index(host) if host in candidates else None

    async def _look(self, watch: LeaseWatch, rank: int) -> Result[StoreValue | None, str]:
        """Value to take over (None: no object yet), or why there is none to take."""
        head = f"{self._name}/head"
        first = watch.version < 0
        listed = await self._store.list(head, Priority.LEASE)
        if not is_successful(listed):
            return Failure(str(listed.failure()))
        version = dict(listed.unwrap()).get(head)
        if version is None:
            return Success(None) if rank == 0 else Failure("left to the first candidate")
        now = trio.current_time()
        expired = watch.observe(now, version)
        # Listing costs less than reading; the record is read only when it may be free.
        if not (expired or first or self._released or self._owner_leaves()):
            return Failure("the lease runs")
        value = await self._store.read(head)
        if not is_successful(value):
            return Failure(str(value.failure()))
        record = decode_lease(value.unwrap().body)
        if not is_successful(record):
            log(Event.JOURNAL_UNREADABLE, name=head, error=record.failure())
            return Failure(record.failure())
        self._released = False
        if record.unwrap().released or record.unwrap().owner == self._mesh.host:
            return Success(value.unwrap())
        if expired and value.unwrap().version == version:
            return Success(value.unwrap())
        return Failure("the lease runs")

    def _owner_leaves(self) -> bool:
        return any(member.leaving for member in self._mesh.members())

    async def _take_over(self, seen: StoreValue | None) -> bool:
        taken = await self._lease.acquire(seen, empty_head(self._limits.partitions))
        if not is_successful(taken):
            return False
        journal = await self._load(taken.unwrap())
        if not is_successful(journal):
            log(Event.JOURNAL_UNREADABLE, name=self._name, error=journal.failure())
            self._lease.held = False
            return False
        self._journal = journal.unwrap()
        self.figures.acquired += 1
        self._updated_at = trio.current_time()
        self._events.owned(self._partition, self._lease.epoch)
        return True

    async def _load(self, record: LeaseRecord) -> Result[Journal, str]:
        journal = Journal(self._limits, record.epoch, trio.current_time())
        segments = journal.load_head(record.payload)
        if not is_successful(segments):
            return Failure(segments.failure())
        bodies = await self._read_segments(segments.unwrap())
        entries: list[Entry] = []
        for segment in segments.unwrap():
            body = bodies.get(segment.id)
            if body is None:
                return Failure(f"segment {segment.id} cannot be read")
            decoded = decode_entries(body)
            if not is_successful(decoded):
                return Failure(decoded.failure())
            entries.extend(decoded.unwrap())
        journal.load_entries(entries)
        return Success(journal)

    async def _read_segments(self, segments: list[Segment]) -> dict[str, bytes]:
        bodies: dict[str, bytes] = {}
        limiter = trio.CapacityLimiter(PARALLEL_READS)

        async def read(segment: Segment) -> None:
            async with limiter:
                value = await self._store.read(self._segment_name(segment))
            if is_successful(value):
                bodies[segment.id] = value.unwrap().body

        async with trio.open_nursery() as nursery:
            for segment in segments:
                nursery.start_soon(read, segment)
        return bodies

    async def _keep(self) -> None:
        """Commit batches until the lease is lost or released."""
        journal = self._journal
        assert journal is not None
        while not self._stop.is_set():
            await self._await_work(journal)
            if not await self._commit(journal, False):
                return self._drop(journal)
        while journal.staged and self._store.budget.available:
            if not await self._commit(journal, False):
                return self._drop(journal)
        await self._commit(journal, True)
        self._drop(journal)

    async def _await_work(self, journal: Journal) -> None:
        """Return when an update is due: an intent, a delayed outcome, or the renewal."""
        renewal = self._updated_at + self._settings.lease_s / 3
        while not self._stop.is_set():
            self._wake = trio.Event()
            due = renewal
            if journal.intents_staged:
                due = 0.0
            elif journal.staged:
                due = min(renewal, self._staged_at + self._settings.outcome_delay_s)
            due = max(due, self._next_update())
            if due <= trio.current_time():
                return
            with trio.move_on_at(due):
                await self._wake.wait()

    def _next_update(self) -> float:
        now = trio.current_time()
        rate = self._settings.writes_per_s
        self._tokens = min(UPDATE_BURST, self._tokens + (now - self._filled_at) * rate)
        self._filled_at = now
        return now + max(0.0, 1.0 - self._tokens) / rate

    async def _commit(self, journal: Journal, release: bool) -> bool:
        """Write one batch; false if the lease is lost or released."""
        batch = journal.take_batch(trio.current_time(), refresh=True)
        assert batch is not None
        if batch.segment is not None and not await self._write_segment(batch):
            self._refuse(journal.rejected(batch), ResultCode.STORE_UNAVAILABLE)
            return await self._after_failure(journal)
        self._tokens -= 1.0
        self.figures.updates += 1
        written = await self._lease.update(batch.payload, released=release)
        if is_successful(written):
            self._apply(journal, batch)
            await self._delete(batch.removed)
            return not release
        self.figures.rejected += 1
        lost = written.failure().code == LOST
        code = ResultCode.OWNER_UNREACHABLE if lost else ResultCode.STORE_UNAVAILABLE
        self._refuse(journal.rejected(batch), code)
        return self._lease.held and await self._after_failure(journal)

    async def _after_failure(self, journal: Journal) -> bool:
        self._refuse(journal.drop_intents(), ResultCode.STORE_UNAVAILABLE)
        # The call budget paces the retries; this only keeps the loop from spinning.
        await trio.sleep(0.05)
        return True

    async def _write_segment(self, batch: Batch) -> bool:
        assert batch.segment is not None
        self._tokens -= 1.0
        self.figures.segments += 1
        name = self._segment_name(batch.segment)
        for _ in range(3):
            written = await self._store.write(name, batch.segment_body, None)
            # The name holds the epoch and is used for one content, so a conflict is our own write.
            if is_successful(written) or written.failure().code == CONFLICT:
                return True
        return False

    def _apply(self, journal: Journal, batch: Batch) -> None:
        self._updated_at = trio.current_time()
        committed = journal.committed(batch)
        for entry in committed.allowed:
            self._events.allow(entry.claim, entry.epoch)
        for claim in committed.stored:
            self._events.stored(claim)
        if not journal.intents_staged:
            self._staged_at = self._updated_at
        self._events.owned(self._partition, self._lease.epoch)

    async def _delete(self, removed: list[Segment]) -> None:
        for segment in removed[:PARALLEL_READS]:
            deleted = await self._store.delete(self._segment_name(segment))
            if is_successful(deleted) or deleted.failure().code == MISSING:
                self.figures.deleted += 1

    def _drop(self, journal: Journal) -> None:
        self._refuse(journal.drop_intents(), ResultCode.OWNER_UNREACHABLE)
        self._journal = None
        self.figures.lost += 1
        self._events.owned(self._partition, 0)

    def _refuse(self, intents: list[Entry], code: ResultCode) -> None:
        for entry in intents:
            self._events.refuse(entry.claim, Reply(code))

    def _segment_name(self, segment: Segment) -> str:
        return f"{self._name}/segments/{segment.id}"
