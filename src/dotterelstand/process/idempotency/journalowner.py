"""Keeps one journal partition: takes its lease over, commits batches, releases it."""

import random
from collections import deque

import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.codes import Result as ResultCode
from dotterelstand.events import Event, log
from dotterelstand.process.idempotency.entry import Answer, Claim, Entry
from dotterelstand.process.idempotency.journal import Journal, empty_head
from dotterelstand.process.idempotency.journaltypes import (
    Batch,
    JournalLimits,
    RecordFigures,
    Reply,
)
from dotterelstand.process.idempotency.lease import (
    LOST,
    Lease,
    LeaseRecord,
    LeaseWatch,
    choose_candidates,
    decode_lease,
)
from dotterelstand.process.idempotency.ownertypes import (
    OwnerEvents,
    OwnerSettings,
    PartitionFigures,
    Prepared,
)
from dotterelstand.process.idempotency.segments import load_journal, segment_name
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.storage.callbudget import Priority
from dotterelstand.process.storage.store import CONFLICT, MISSING, StoreClient, StoreValue

# Updates that may follow each other without a pause before the rate applies.
UPDATE_BURST = 4.0
# Segments that are deleted after a head update.
DELETES_PER_UPDATE = 2
# Segments that wait for their deletion; the next owner finds those beyond.
MAX_GARBAGE = 8192


class PartitionOwner:
    """The claim of this host on one partition, and the partition's journal while it is held."""

    __slots__ = (
        "_events",
        "_filled_at",
        "_garbage",
        "_journal",
        "_lease",
        "_limits",
        "_mesh",
        "_name",
        "_partition",
        "_prepared",
        "_released",
        "_settings",
        "_staged_at",
        "_stop",
        "_store",
        "_tokens",
        "_updated_at",
        "_wake",
        "figures",
        "record_figures",
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
        self._prepared: Prepared | None = None
        self._garbage: deque[str] = deque(maxlen=MAX_GARBAGE)
        self._tokens = UPDATE_BURST
        self._filled_at = 0.0
        self._updated_at = 0.0
        self._staged_at = 0.0
        self._released = False
        self._wake = trio.Event()
        self._stop = trio.Event()
        self.figures = PartitionFigures()
        self.record_figures = RecordFigures()

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
        if self._journal.figures.full == 1:
            log(Event.JOURNAL_FULL, partition=self._partition)
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
        async with trio.open_nursery() as nursery:
            await self._follow_lease(nursery)
            nursery.cancel_scope.cancel()
        self._prepared = None

    async def _follow_lease(self, nursery: trio.Nursery) -> None:
        watch = LeaseWatch(self._settings.lease_s)
        while not self._stop.is_set():
            rank = self._rank()
            if rank is not None:
                seen = await self._look(watch, rank)
                prepared = self._prepared is not None and self._prepared.version == watch.version
                if watch.is_half_over(trio.current_time()) and not prepared:
                    # Reading a full journal takes about a second, which the wait for the end of
                    # the lease covers.
                    self._prepared = Prepared(watch.version)
                    nursery.start_soon(self._prepare, self._prepared)
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
        journal = await self._use_prepared(taken.unwrap(), seen)
        if not is_successful(journal):
            log(Event.JOURNAL_UNREADABLE, name=self._name, error=journal.failure())
            self._lease.held = False
            return False
        self._journal = journal.unwrap()
        # The counts go on when a partition returns to this host.
        self._journal.figures = self.record_figures
        self.figures.acquired += 1
        self._updated_at = trio.current_time()
        self._events.owned(self._partition, self._lease.epoch)
        return True

    async def _prepare(self, prepared: Prepared) -> None:
        try:
            value = await self._store.read(f"{self._name}/head")
            if not is_successful(value) or value.unwrap().version != prepared.version:
                return
            record = decode_lease(value.unwrap().body)
            if is_successful(record):
                record.unwrap().epoch += 1
                journal = await load_journal(self._store, self._name, self._limits, record.unwrap())
                prepared.epoch, prepared.journal = record.unwrap().epoch, journal.value_or(None)
        finally:
            prepared.done.set()

    async def _use_prepared(
        self, record: LeaseRecord, seen: StoreValue | None
    ) -> Result[Journal, str]:
        prepared = self._prepared
        if prepared is not None and seen is not None and prepared.version == seen.version:
            await prepared.done.wait()
            # The new record has the payload of the version that it replaced.
            if prepared.journal is not None and prepared.epoch == record.epoch:
                return Success(prepared.journal)
        return await load_journal(self._store, self._name, self._limits, record)

    async def _keep(self) -> None:
        """Commit batches until the lease is lost or released."""
        journal = self._journal
        assert journal is not None
        searched = False
        while not self._stop.is_set():
            await self._await_work(journal)
            if not await self._commit(journal, False):
                return self._drop(journal)
            if not searched:
                searched = True
                await self._find_orphans(journal)
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
            self._garbage.extend(segment_name(self._name, part) for part in batch.removed)
            await self._delete_some()
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
        name = segment_name(self._name, batch.segment)
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

    async def _delete_some(self) -> None:
        """Delete segments that the head no longer lists, within the rate of updates."""
        for _ in range(min(DELETES_PER_UPDATE, len(self._garbage))):
            name = self._garbage.popleft()
            self._tokens -= 1.0
            deleted = await self._store.delete(name)
            if is_successful(deleted) or deleted.failure().code == MISSING:
                self.figures.deleted += 1

    async def _find_orphans(self, journal: Journal) -> None:
        """Note for deletion the segments of earlier epochs that no head lists.

        Later owners list only segments of earlier epochs that this head lists, so deleting the
        others is safe even if the lease is lost meanwhile.
        """
        prefix = f"{self._name}/segments/"
        found = await self._store.list(prefix, Priority.JOURNAL)
        listed = {segment_name(self._name, segment) for segment in journal.segments}
        for name, _ in found.value_or([]):
            epoch = name.removeprefix(prefix).split("-")[0]
            earlier = epoch.isdigit() and int(epoch) < self._lease.epoch
            if earlier and name not in listed:
                self._garbage.append(name)

    def _drop(self, journal: Journal) -> None:
        self._garbage.clear()
        self._refuse(journal.drop_intents(), ResultCode.OWNER_UNREACHABLE)
        self._journal = None
        self.figures.lost += 1
        self._events.owned(self._partition, 0)

    def _refuse(self, intents: list[Entry], code: ResultCode) -> None:
        for entry in intents:
            self._events.refuse(entry.claim, Reply(code))
