"""Decides which keyed requests may run, for one partition under one lease."""

from collections import OrderedDict, deque
from collections.abc import Container
from itertools import takewhile

import cbor2
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.idempotency.entry import (
    Answer,
    Claim,
    Entry,
    State,
    encode_entries,
    read_entries,
)
from dotterelstand.process.idempotency.journaltypes import (
    Batch,
    Committed,
    JournalLimits,
    RecordFigures,
    Reply,
    Segment,
)
from dotterelstand.process.telemetry.invariant import require

# Size of entries after which a batch takes no more, which keeps the head below the value limit.
BATCH_BYTES = 262_144


class Journal:
    """Records of the idempotency keys of one partition.

    Times are monotonic seconds of this host. They are mapped to the journal clock, which counts
    only the time during which the partition had an owner, so that no wall clock is read.
    """

    __slots__ = (
        "_allowed",
        "_clock_base",
        "_epoch",
        "_in_flight",
        "_kept_bytes",
        "_limits",
        "_loaded_at",
        "_next_segment",
        "_recent",
        "_recent_bytes",
        "_records",
        "_segments",
        "_staged",
        "_withdrawn",
        "figures",
    )

    def __init__(self, limits: JournalLimits, epoch: int, now: float) -> None:
        self._limits = limits
        self._epoch = epoch
        self._loaded_at = now
        self._clock_base = 0.0
        self._records: dict[bytes, Entry] = {}
        self._recent: dict[bytes, tuple[Entry, bytes]] = {}
        self._recent_bytes = 0
        self._segments: deque[Segment] = deque()
        self._next_segment = 1
        self._staged: OrderedDict[bytes, Entry] = OrderedDict()
        self._in_flight: dict[bytes, Entry] = {}
        self._withdrawn: set[Claim] = set()
        self._allowed: set[Claim] = set()
        self._kept_bytes = 0
        self.figures = RecordFigures()

    @property
    def staged(self) -> int:
        """Entries that wait for the next batch."""
        return len(self._staged)

    @property
    def intents_staged(self) -> bool:
        """Whether an intent waits for the next batch."""
        return any(entry.state is State.RUNNING for entry in self._staged.values())

    @property
    def records(self) -> int:
        """Keys that are known."""
        return len(self._records)

    @property
    def segments(self) -> tuple[Segment, ...]:
        """Segments that the head lists, oldest first."""
        return tuple(self._segments)

    def begin(
        self,
        now: float,
        key: bytes,
        body_digest: bytes,
        service: str,
        claim: Claim,
        live: Container[str],
    ) -> Reply | None:
        """Stage an intent (None), or answer a key that is known or cannot be recorded.

        `live` has the names of the hosts whose requests may still be running.
        """
        pending = self._in_flight.get(key) or self._staged.get(key)
        known = pending or self._records.get(key)
        if known is not None and self._clock(now) - known.at > self._limits.retention_s:
            known = None if pending is None else pending
        if known is not None and known.state is not State.FREED:
            return self._reply(self._describe(now, known, body_digest, live, pending is not None))
        if known is not None and pending is not None:
            # The key is free once the staged entry is stored.
            return self._reply(Reply(ResultCode.KEY_RUNNING))
        if self._is_full():
            self.figures.full += 1
            return self._reply(Reply(ResultCode.OVERLOADED))
        at = self._clock(now)
        self._staged[key] = Entry(key, body_digest, service, State.RUNNING, self._epoch, claim, at)
        return None

    def finish(
        self, now: float, key: bytes, claim: Claim, code: ResultCode, answer: Answer | None
    ) -> bool:
        """Stage the outcome of a request; true if nothing has to be stored for it.

        An outcome counts only for the very request that was permitted. One of an older epoch is
        still the truth about that request, so it settles a key that a takeover left unknown.
        """
        if (pending := self._staged.get(key)) is not None and pending.claim == claim:
            if pending.state is State.RUNNING:
                # Withdrawn before it was written.
                del self._staged[key]
                return True
            return False
        if (pending := self._in_flight.get(key)) is not None and pending.claim == claim:
            if pending.state is State.RUNNING and code.run is Execution.NOT_RUN:
                self._withdrawn.add(claim)
            return False
        known = self._records.get(key)
        if known is None or known.claim != claim or known.state not in _OPEN_STATES:
            return True
        if key in self._staged or key in self._in_flight:
            return False
        if known.state is State.UNKNOWN and code.run is Execution.UNKNOWN:
            return True
        if len(self._staged) >= 2 * self._limits.max_staged:
            return False
        self._stage_outcome(now, known, code, answer)
        return False

    def take_batch(self, now: float, refresh: bool) -> Batch | None:
        """Entries for the next head update; None if there are none and `refresh` is false."""
        require(not self._in_flight, "one batch in flight")
        if not self._staged and not refresh:
            return None
        entries: list[Entry] = []
        encoded: list[bytes] = []
        size = 0
        while self._staged and size < BATCH_BYTES:
            _, entry = self._staged.popitem(last=False)
            self._in_flight[entry.key] = entry
            entries.append(entry)
            encoded.append(entry.encode())
            size += entry.encoded_size
        batch = Batch(entries, encoded)
        self._expire(now, batch)
        recent = [data for _, data in self._recent.values()]
        if recent and self._recent_bytes + size > self._limits.segment_bytes:
            batch.segment = Segment(
                self._epoch,
                self._next_segment,
                max(entry.at for entry, _ in self._recent.values()),
                len(recent),
            )
            self._next_segment += 1
            batch.segment_body = encode_entries(recent)
            recent = []
        batch.payload = self._encode_head(now, batch, recent + encoded)
        return batch

    def committed(self, batch: Batch) -> Committed:
        """Apply a batch that the store holds; says which requests may run now."""
        if batch.segment is not None:
            self._segments.append(batch.segment)
            self._recent.clear()
            self._recent_bytes = 0
        for segment in batch.removed:
            require(self._segments.popleft() is segment, "segments expire in order")
        result = Committed()
        self._in_flight.clear()
        for entry, data in zip(batch.entries, batch.encoded, strict=True):
            self._check_succession(entry)
            self._add_recent(entry, data)
            self._apply(entry)
            if entry.state is not State.RUNNING:
                result.stored.append(entry.claim)
            elif entry.claim in self._withdrawn:
                self._withdrawn.discard(entry.claim)
                self._staged[entry.key] = entry.becomes(State.FREED, entry.at)
            else:
                self._allow(entry)
                result.allowed.append(entry)
        require(not self._withdrawn, "withdrawn claims belong to the batch")
        return result

    def rejected(self, batch: Batch) -> list[Entry]:
        """Take back a batch that the store does not hold; returns its intents, outcomes stay."""
        self._in_flight.clear()
        self._withdrawn.clear()
        intents = [entry for entry in batch.entries if entry.state is State.RUNNING]
        for entry in reversed(batch.entries):
            if entry.state is not State.RUNNING:
                self._staged[entry.key] = entry
                self._staged.move_to_end(entry.key, last=False)
        return intents

    def drop_intents(self) -> list[Entry]:
        """Remove and return the staged intents, which were in no update."""
        intents = [entry for entry in self._staged.values() if entry.state is State.RUNNING]
        for entry in intents:
            del self._staged[entry.key]
        return intents

    def load_head(self, payload: bytes) -> Result[list[Segment], str]:
        """Read the head of the last owner; returns the segments to pass to `apply_segment`."""
        try:
            partitions, clock, recent, segments = cbor2.loads(payload)
            self._segments = deque(Segment(*fields) for fields in segments)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
            return Failure(f"not a journal head: {error}")
        if partitions != self._limits.partitions:
            return Failure(f"written with {partitions} partitions, not {self._limits.partitions}")
        entries = read_entries(recent)
        if not is_successful(entries):
            return Failure(entries.failure())
        self._clock_base = clock
        for entry, data in zip(entries.unwrap(), recent, strict=True):
            self._add_recent(entry, data)
        return Success(list(self._segments))

    def apply_segment(self, entries: list[Entry]) -> None:
        """Apply the entries of a segment; call it for each one, oldest first."""
        for entry in entries:
            self._apply(entry)

    def finish_load(self) -> None:
        """Apply the entries of the head, after those of all segments."""
        for entry, _ in self._recent.values():
            self._apply(entry)

    def _add_recent(self, entry: Entry, data: bytes) -> None:
        # Only the last state of a key counts, so an outcome replaces its intent in the head.
        before = self._recent.pop(entry.key, None)
        if before is not None:
            self._recent_bytes -= before[0].encoded_size
        self._recent[entry.key] = (entry, data)
        self._recent_bytes += entry.encoded_size

    def _is_full(self) -> bool:
        limits = self._limits
        return (
            len(self._staged) >= limits.max_staged
            or len(self._records) + len(self._staged) + len(self._in_flight) >= limits.max_records
            or len(self._segments) >= limits.max_segments
        )

    def _describe(
        self, now: float, known: Entry, body_digest: bytes, live: Container[str], pending: bool
    ) -> Reply:
        if known.body_digest != body_digest:
            return Reply(ResultCode.KEY_REUSED)
        if pending:
            return Reply(ResultCode.KEY_RUNNING)
        if known.state is State.DONE:
            return Reply(ResultCode.REPLAYED, known.answer)
        current = known.state is State.RUNNING and known.epoch == self._epoch
        recent = self._clock(now) - known.at <= self._limits.running_limit_s
        if current and recent and known.claim.host in live:
            return Reply(ResultCode.KEY_RUNNING)
        return Reply(ResultCode.KEY_UNKNOWN)

    def _reply(self, reply: Reply) -> Reply:
        self.figures.replies[reply.code] = self.figures.replies.get(reply.code, 0) + 1
        return reply

    def _stage_outcome(
        self, now: float, known: Entry, code: ResultCode, answer: Answer | None
    ) -> None:
        self.figures.outcomes += 1
        at = self._clock(now)
        if code.run is Execution.NOT_RUN:
            staged = known.becomes(State.FREED, at)
        elif code.run is Execution.UNKNOWN or answer is None:
            staged = known.becomes(State.UNKNOWN, at)
        else:
            staged = known.becomes(State.DONE, at, self._limit_answer(answer))
        self._staged[known.key] = staged

    def _limit_answer(self, answer: Answer) -> Answer:
        limits = self._limits
        fits = answer.size <= limits.max_answer_bytes
        if fits and self._kept_bytes + answer.size <= limits.max_kept_bytes:
            return answer
        self.figures.kept_without_body += 1
        return answer.without_body()

    def _allow(self, entry: Entry) -> None:
        require(entry.epoch == self._epoch, "permission under the own epoch", key=entry.key.hex())
        require(entry.claim not in self._allowed, "permission given once", claim=entry.claim)
        require(
            self._records.get(entry.key) is entry, "permission after the record", claim=entry.claim
        )
        self._allowed.add(entry.claim)
        self.figures.allowed += 1

    def _check_succession(self, entry: Entry) -> None:
        before = self._records.get(entry.key)
        if before is not None and before.claim != entry.claim:
            expired = entry.at - before.at > self._limits.retention_s
            require(
                before.state is State.FREED or expired,
                "a key runs for one claim at a time",
                key=entry.key.hex(),
            )

    def _apply(self, entry: Entry) -> None:
        before = self._records.pop(entry.key, None)
        if before is not None:
            self._kept_bytes -= before.answer_size
        self._kept_bytes += entry.answer_size
        # Taken out and put in again, so that the table is in the order of expiry.
        self._records[entry.key] = entry
        if entry.state is not State.RUNNING:
            self._allowed.discard(entry.claim)

    def _expire(self, now: float, batch: Batch) -> None:
        oldest = self._clock(now) - self._limits.retention_s
        for entry in list(takewhile(lambda entry: entry.at < oldest, self._records.values())):
            if entry.key not in self._in_flight:
                del self._records[entry.key]
                self._allowed.discard(entry.claim)
                self._kept_bytes -= entry.answer_size
                self.figures.expired += 1
        first = list(takewhile(lambda item: item[0].at < oldest, self._recent.values()))
        for entry, _ in first:
            del self._recent[entry.key]
            self._recent_bytes -= entry.encoded_size
        expired = takewhile(lambda segment: segment.newest < oldest, self._segments)
        batch.removed = list(expired)

    def _encode_head(self, now: float, batch: Batch, recent: list[bytes]) -> bytes:
        listed = [segment for segment in self._segments if segment not in batch.removed]
        if batch.segment is not None:
            listed.append(batch.segment)
        fields = [[part.epoch, part.number, part.newest, part.count] for part in listed]
        return cbor2.dumps([self._limits.partitions, self._clock(now), recent, fields])

    def _clock(self, now: float) -> float:
        return self._clock_base + (now - self._loaded_at)


_OPEN_STATES = frozenset({State.RUNNING, State.UNKNOWN})


def empty_head(partitions: int) -> bytes:
    """Head payload of a partition that has never been used."""
    return cbor2.dumps([partitions, 0.0, [], []])
