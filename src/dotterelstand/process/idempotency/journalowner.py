"""Ownership of a journal partition: takeover of the lease, commits of batches, release."""

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
    OwnerCallbacks,
    OwnerSettings,
    PartitionFigures,
    PreloadedJournal,
)
from dotterelstand.process.idempotency.segments import load_journal, segment_name
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.storage.callbudget import Priority
from dotterelstand.process.storage.store import CONFLICT, MISSING, StoreClient, StoreValue

# Number of store updates that may be made in a burst before the rate limit applies.
UPDATE_BURST = 4.0
# Limit on obsolete segments deleted after each head update; the others wait for later updates.
DELETES_PER_UPDATE = 2
# Limit on the queue of segments to delete. Segments beyond it stay in the store until the next
# owner deletes them as orphans.
MAX_OBSOLETE_SEGMENTS = 8192


class PartitionOwner:
    """Candidate for one partition; owns the partition and its journal while it holds the lease."""

    __slots__ = (
        "_callbacks",
        "_journal",
        "_lease",
        "_limits",
        "_mesh",
        "_name",
        "_obsolete_segments",
        "_outcome_staged_at",
        "_partition",
        "_preloaded",
        "_refilled_at",
        "_release_announced",
        "_settings",
        "_stop",
        "_store",
        "_update_tokens",
        "_updated_at",
        "_wake_event",
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
        callbacks: OwnerCallbacks,
        rng: random.Random,
    ) -> None:
        self._partition = partition
        self._name = f"journal/{partition}"
        self._store = store
        self._mesh = mesh
        self._settings = settings
        self._limits = limits
        self._callbacks = callbacks
        self._lease = Lease(store, f"{self._name}/head", mesh.host, rng)
        self._journal: Journal | None = None
        self._preloaded: PreloadedJournal | None = None
        self._obsolete_segments: deque[str] = deque(maxlen=MAX_OBSOLETE_SEGMENTS)
        self._update_tokens = UPDATE_BURST
        self._refilled_at = 0.0
        self._updated_at = 0.0
        self._outcome_staged_at = 0.0
        self._release_announced = False
        self._wake_event = trio.Event()
        self._stop = trio.Event()
        self.figures = PartitionFigures()
        self.record_figures = RecordFigures()

    @property
    def journal(self) -> Journal | None:
        """Journal of the partition, or None while this host does not own it."""
        return self._journal

    @property
    def epoch(self) -> int:
        """Epoch under which this host owns the partition, or 0."""
        return self._lease.epoch if self._journal is not None else 0

    def begin(self, key: bytes, body_digest: bytes, service: str, claim: Claim) -> Reply | None:
        """Stage an intent and return None (a callback follows), or reply at once."""
        if self._journal is None or self._stop.is_set():
            return Reply(ResultCode.OWNER_UNREACHABLE)
        live = {member.host for member in self._mesh.members()}
        reply = self._journal.begin(trio.current_time(), key, body_digest, service, claim, live)
        if self._journal.figures.full == 1:
            log(Event.JOURNAL_FULL, partition=self._partition)
        if reply is None and not self._store.budget.available:
            # No head update has included the intent yet, so the request cannot have run.
            self._journal.finish(
                trio.current_time(), key, claim, ResultCode.STORE_UNAVAILABLE, None
            )
            return Reply(ResultCode.STORE_UNAVAILABLE)
        self._wake_event.set()
        return reply

    def finish(self, key: bytes, claim: Claim, code: ResultCode, answer: Answer | None) -> bool:
        """Stage an outcome; true if nothing has to be stored for it.

        If false, the `confirm_outcome` callback runs once the outcome is stored, if it was staged.
        """
        if self._journal is None:
            return False
        if self._journal.staged_count == 0:
            self._outcome_staged_at = trio.current_time()
        self._wake_event.set()
        return self._journal.finish(trio.current_time(), key, claim, code, answer)

    def handle_release(self) -> None:
        """Note that another host announced the release of the partition."""
        self._release_announced = True
        self._wake_event.set()

    def stop(self) -> None:
        """Begin the release: staged entries are written, then the lease is released."""
        self._stop.set()
        self._wake_event.set()

    async def run(self) -> None:
        """Acquire and hold the partition, again after each loss of the lease, until stopped."""
        while not self._stop.is_set():
            await self._await_ownership()
            if self._journal is not None:
                await self._hold_partition()

    async def _await_ownership(self) -> None:
        async with trio.open_nursery() as nursery:
            await self._watch_lease(nursery)
            nursery.cancel_scope.cancel()
        self._preloaded = None

    async def _watch_lease(self, nursery: trio.Nursery) -> None:
        watch = LeaseWatch(self._settings.lease_s)
        while not self._stop.is_set():
            rank = self._candidate_rank()
            if rank is not None:
                observed = await self._check_lease(watch, rank)
                preloaded = self._preloaded is not None and self._preloaded.version == watch.version
                if watch.is_half_elapsed(trio.current_time()) and not preloaded:
                    # Reading a full journal takes about a second, so it starts before the lease
                    # expires.
                    self._preloaded = PreloadedJournal(watch.version)
                    nursery.start_soon(self._preload, self._preloaded)
                if is_successful(observed) and await self._take_over(observed.unwrap()):
                    return
            self._wake_event = trio.Event()
            with trio.move_on_after(self._settings.lease_s / 8):
                await self._wake_event.wait()

    def _candidate_rank(self) -> int | None:
        candidates = choose_candidates(self._mesh.members(), self._name, self._settings.region)
        host = self._mesh.host
        return candidates.index(host) if host in candidates else None

    async def _check_lease(self, watch: LeaseWatch, rank: int) -> Result[StoreValue | None, str]:
        """Stored lease to take over (None: no object yet); fails with the reason if not allowed."""
        head = f"{self._name}/head"
        first = watch.version < 0
        listed = await self._store.list(head, Priority.LEASE)
        if not is_successful(listed):
            return Failure(str(listed.failure()))
        version = dict(listed.unwrap()).get(head)
        if version is None:
            return Success(None) if rank == 0 else Failure("the first candidate creates it")
        now = trio.current_time()
        expired = watch.observe(now, version)
        # Listing is cheaper than reading, so the record is read only if the lease may be free.
        if not (expired or first or self._release_announced or self._has_leaving_member()):
            return Failure("the lease runs")
        value = await self._store.read(head)
        if not is_successful(value):
            return Failure(str(value.failure()))
        record = decode_lease(value.unwrap().body)
        if not is_successful(record):
            log(Event.JOURNAL_UNREADABLE, name=head, error=record.failure())
            return Failure(record.failure())
        self._release_announced = False
        if record.unwrap().released or record.unwrap().owner == self._mesh.host:
            return Success(value.unwrap())
        if expired and value.unwrap().version == version:
            return Success(value.unwrap())
        return Failure("the lease runs")

    def _has_leaving_member(self) -> bool:
        return any(member.leaving for member in self._mesh.members())

    async def _take_over(self, observed: StoreValue | None) -> bool:
        taken = await self._lease.acquire(observed, empty_head(self._limits.partitions))
        if not is_successful(taken):
            return False
        journal = await self._take_preloaded(taken.unwrap(), observed)
        if not is_successful(journal):
            log(Event.JOURNAL_UNREADABLE, name=self._name, error=journal.failure())
            self._lease.held = False
            return False
        self._journal = journal.unwrap()
        # The counters continue when this host owns the partition again.
        self._journal.figures = self.record_figures
        self.figures.acquired += 1
        self._updated_at = trio.current_time()
        self._callbacks.announce(self._partition, self._lease.epoch)
        return True

    async def _preload(self, preloaded: PreloadedJournal) -> None:
        try:
            value = await self._store.read(f"{self._name}/head")
            if not is_successful(value) or value.unwrap().version != preloaded.version:
                return
            record = decode_lease(value.unwrap().body)
            if is_successful(record):
                record.unwrap().epoch += 1
                journal = await load_journal(self._store, self._name, self._limits, record.unwrap())
                preloaded.epoch, preloaded.journal = record.unwrap().epoch, journal.value_or(None)
        finally:
            preloaded.finished.set()

    async def _take_preloaded(
        self, record: LeaseRecord, observed: StoreValue | None
    ) -> Result[Journal, str]:
        preloaded = self._preloaded
        if preloaded is not None and observed is not None and preloaded.version == observed.version:
            await preloaded.finished.wait()
            # A takeover keeps the payload of the lease record, so the preloaded journal is still
            # valid.
            if preloaded.journal is not None and preloaded.epoch == record.epoch:
                return Success(preloaded.journal)
        return await load_journal(self._store, self._name, self._limits, record)

    async def _hold_partition(self) -> None:
        """Commit batches until the lease is lost or released."""
        journal = self._journal
        assert journal is not None
        orphans_searched = False
        while not self._stop.is_set():
            await self._await_work(journal)
            if not await self._commit_batch(journal, False):
                return self._end_ownership(journal)
            if not orphans_searched:
                orphans_searched = True
                await self._find_orphaned_segments(journal)
        while journal.staged_count and self._store.budget.available:
            if not await self._commit_batch(journal, False):
                return self._end_ownership(journal)
        await self._commit_batch(journal, True)
        self._end_ownership(journal)

    async def _await_work(self, journal: Journal) -> None:
        """Wait until a head update is due for an intent, a delayed outcome or the lease renewal."""
        renewal_at = self._updated_at + self._settings.lease_s / 3
        while not self._stop.is_set():
            self._wake_event = trio.Event()
            next_at = renewal_at
            if journal.has_staged_intents:
                next_at = 0.0
            elif journal.staged_count:
                next_at = min(renewal_at, self._outcome_staged_at + self._settings.outcome_delay_s)
            next_at = max(next_at, self._next_update_at())
            if next_at <= trio.current_time():
                return
            with trio.move_on_at(next_at):
                await self._wake_event.wait()

    def _next_update_at(self) -> float:
        now = trio.current_time()
        rate = self._settings.writes_per_s
        self._update_tokens = min(
            UPDATE_BURST, self._update_tokens + (now - self._refilled_at) * rate
        )
        self._refilled_at = now
        return now + max(0.0, 1.0 - self._update_tokens) / rate

    async def _commit_batch(self, journal: Journal, release: bool) -> bool:
        """Write one batch; false if the lease was lost or released."""
        batch = journal.take_batch(trio.current_time(), refresh=True)
        assert batch is not None
        if batch.segment is not None and not await self._write_segment(batch):
            self._refuse(journal.rejected(batch), ResultCode.STORE_UNAVAILABLE)
            return await self._handle_failed_write(journal)
        self._update_tokens -= 1.0
        self.figures.updates += 1
        written = await self._lease.update(batch.payload, released=release)
        if is_successful(written):
            self._apply_batch(journal, batch)
            self._obsolete_segments.extend(segment_name(self._name, part) for part in batch.removed)
            await self._delete_obsolete_segments()
            return not release
        self.figures.rejected += 1
        lost = written.failure().code == LOST
        code = ResultCode.OWNER_UNREACHABLE if lost else ResultCode.STORE_UNAVAILABLE
        self._refuse(journal.rejected(batch), code)
        return self._lease.held and await self._handle_failed_write(journal)

    async def _handle_failed_write(self, journal: Journal) -> bool:
        self._refuse(journal.drop_intents(), ResultCode.STORE_UNAVAILABLE)
        # The call budget limits the retries; the pause only prevents a busy loop.
        await trio.sleep(0.05)
        return True

    async def _write_segment(self, batch: Batch) -> bool:
        assert batch.segment is not None
        self._update_tokens -= 1.0
        self.figures.segments += 1
        name = segment_name(self._name, batch.segment)
        for _ in range(3):
            written = await self._store.write(name, batch.segment_body, None)
            # The name contains the epoch and is never reused for other content, so a conflict means
            # that an earlier attempt was written.
            if is_successful(written) or written.failure().code == CONFLICT:
                return True
        return False

    def _apply_batch(self, journal: Journal, batch: Batch) -> None:
        self._updated_at = trio.current_time()
        committed = journal.committed(batch)
        for entry in committed.allowed:
            self._callbacks.allow(entry.claim, entry.epoch)
        for claim in committed.stored:
            self._callbacks.confirm_outcome(claim)
        if not journal.has_staged_intents:
            self._outcome_staged_at = self._updated_at
        self._callbacks.announce(self._partition, self._lease.epoch)

    async def _delete_obsolete_segments(self) -> None:
        """Delete segments that the head no longer lists; each costs an update token."""
        for _ in range(min(DELETES_PER_UPDATE, len(self._obsolete_segments))):
            name = self._obsolete_segments.popleft()
            self._update_tokens -= 1.0
            deleted = await self._store.delete(name)
            if is_successful(deleted) or deleted.failure().code == MISSING:
                self.figures.deleted += 1

    async def _find_orphaned_segments(self, journal: Journal) -> None:
        """Queue for deletion the segments of earlier epochs that the head does not list.

        A later head can list segments of those epochs only if this head lists them, so deleting
        the others is safe even if the lease is lost meanwhile.
        """
        prefix = f"{self._name}/segments/"
        stored_objects = await self._store.list(prefix, Priority.JOURNAL)
        listed = {segment_name(self._name, segment) for segment in journal.segments}
        for name, _ in stored_objects.value_or([]):
            epoch = name.removeprefix(prefix).split("-")[0]
            earlier = epoch.isdigit() and int(epoch) < self._lease.epoch
            if earlier and name not in listed:
                self._obsolete_segments.append(name)

    def _end_ownership(self, journal: Journal) -> None:
        self._obsolete_segments.clear()
        self._refuse(journal.drop_intents(), ResultCode.OWNER_UNREACHABLE)
        self._journal = None
        self.figures.lost += 1
        self._callbacks.announce(self._partition, 0)

    def _refuse(self, intents: list[Entry], code: ResultCode) -> None:
        for entry in intents:
            self._callbacks.refuse(entry.claim, Reply(code))
