"""Decides whether requests with an idempotency key may run, for one partition during one lease."""

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
    parse_entries,
)
from dotterelstand.process.idempotency.journaltypes import (
    Batch,
    CommitResult,
    JournalLimits,
    RecordFigures,
    Reply,
    Segment,
)
from dotterelstand.process.telemetry.invariant import require

# A batch that reaches this size takes no more entries, so that the head (see `Batch`) stays below
# the store's limit for the size of a value.
MAX_BATCH_BYTES = 262_144


class Journal:
    """Records of the idempotency keys of one partition.

    New entries are staged, written with the next batch, and applied once the batch is stored.
    Times are monotonic seconds of this host. They are converted to the journal clock, which
    advances only while the partition has an owner, so no wall clock is needed.
    """

    __slots__ = (
        "_allowed_claims",
        "_answer_bytes",
        "_clock_base",
        "_epoch",
        "_head_entries",
        "_head_entry_bytes",
        "_in_flight",
        "_limits",
        "_loaded_at",
        "_next_segment",
        "_records",
        "_segments",
        "_staged",
        "_withdrawn_claims",
        "figures",
    )

    def __init__(self, limits: JournalLimits, epoch: int, now: float) -> None:
        self._limits = limits
        self._epoch = epoch
        self._loaded_at = now
        self._clock_base = 0.0
        self._records: dict[bytes, Entry] = {}
        self._head_entries: dict[bytes, tuple[Entry, bytes]] = {}
        self._head_entry_bytes = 0
        self._segments: deque[Segment] = deque()
        self._next_segment = 1
        self._staged: OrderedDict[bytes, Entry] = OrderedDict()
        self._in_flight: dict[bytes, Entry] = {}
        self._withdrawn_claims: set[Claim] = set()
        self._allowed_claims: set[Claim] = set()
        self._answer_bytes = 0
        self.figures = RecordFigures()

    @property
    def staged_count(self) -> int:
        """Number of entries that wait for the next batch."""
        return len(self._staged)

    @property
    def has_staged_intents(self) -> bool:
        """Whether an intent waits for the next batch."""
        return any(entry.state is State.RUNNING for entry in self._staged.values())

    @property
    def record_count(self) -> int:
        """Number of recorded keys."""
        return len(self._records)

    @property
    def segments(self) -> tuple[Segment, ...]:
        """Segments listed in the head, oldest first."""
        return tuple(self._segments)

    def begin(
        self,
        now: float,
        key: bytes,
        body_digest: bytes,
        service: str,
        claim: Claim,
        live_hosts: Container[str],
    ) -> Reply | None:
        """Stage an intent to run a request and return None, or reply at once.

        The reply is immediate if the key is known or cannot be recorded. `live_hosts` names the
        hosts whose requests may still be running.
        """
        pending = self._in_flight.get(key) or self._staged.get(key)
        known = pending or self._records.get(key)
        if (
            known is not None
            and self._journal_time(now) - known.staged_at > self._limits.retention_s
        ):
            known = None if pending is None else pending
        if known is not None and known.state is not State.FREED:
            return self._count_reply(
                self._reply_for_known_key(now, known, body_digest, live_hosts, pending is not None)
            )
        if known is not None and pending is not None:
            # The release of the key is not stored yet, so the key still counts as running.
            return self._count_reply(Reply(ResultCode.KEY_RUNNING))
        if self._is_full():
            self.figures.full += 1
            return self._count_reply(Reply(ResultCode.OVERLOADED))
        at = self._journal_time(now)
        self._staged[key] = Entry(key, body_digest, service, State.RUNNING, self._epoch, claim, at)
        return None

    def finish(
        self, now: float, key: bytes, claim: Claim, code: ResultCode, answer: Answer | None
    ) -> bool:
        """Stage the outcome of a request; true if nothing has to be stored for it.

        An outcome applies only to the claim that was allowed. An outcome from an earlier epoch
        is still valid for its claim, so it settles a key that a takeover left unknown.
        """
        if (pending := self._staged.get(key)) is not None and pending.claim == claim:
            if pending.state is State.RUNNING:
                # The intent is not written yet, so it is simply withdrawn.
                del self._staged[key]
                return True
            return False
        if (pending := self._in_flight.get(key)) is not None and pending.claim == claim:
            if pending.state is State.RUNNING and code.run is Execution.NOT_RUN:
                self._withdrawn_claims.add(claim)
            return False
        known = self._records.get(key)
        if known is None or known.claim != claim or known.state not in _UNSETTLED_STATES:
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
        """Batch for the next head update; None if nothing is staged and `refresh` is false."""
        require(not self._in_flight, "one batch in flight")
        if not self._staged and not refresh:
            return None
        entries: list[Entry] = []
        encoded: list[bytes] = []
        size = 0
        while self._staged and size < MAX_BATCH_BYTES:
            _, entry = self._staged.popitem(last=False)
            self._in_flight[entry.key] = entry
            entries.append(entry)
            encoded.append(entry.encode())
            size += entry.encoded_size
        batch = Batch(entries, encoded)
        self._expire(now, batch)
        head_data = [data for _, data in self._head_entries.values()]
        if head_data and self._head_entry_bytes + size > self._limits.segment_bytes:
            batch.segment = Segment(
                self._epoch,
                self._next_segment,
                max(entry.staged_at for entry, _ in self._head_entries.values()),
                len(head_data),
            )
            self._next_segment += 1
            batch.segment_body = encode_entries(head_data)
            head_data = []
        batch.payload = self._encode_head(now, batch, head_data + encoded)
        return batch

    def committed(self, batch: Batch) -> CommitResult:
        """Apply a stored batch; returns the allowed intents and the stored outcomes."""
        if batch.segment is not None:
            self._segments.append(batch.segment)
            self._head_entries.clear()
            self._head_entry_bytes = 0
        for segment in batch.removed:
            require(self._segments.popleft() is segment, "segments expire in order")
        result = CommitResult()
        self._in_flight.clear()
        for entry, data in zip(batch.entries, batch.encoded, strict=True):
            self._check_previous_entry(entry)
            self._add_head_entry(entry, data)
            self._apply(entry)
            if entry.state is not State.RUNNING:
                result.stored.append(entry.claim)
            elif entry.claim in self._withdrawn_claims:
                self._withdrawn_claims.discard(entry.claim)
                self._staged[entry.key] = entry.with_state(State.FREED, entry.staged_at)
            else:
                self._allow(entry)
                result.allowed.append(entry)
        require(not self._withdrawn_claims, "withdrawn claims were in the batch")
        return result

    def rejected(self, batch: Batch) -> list[Entry]:
        """Restage the outcomes of a batch that was not stored; returns its intents."""
        self._in_flight.clear()
        self._withdrawn_claims.clear()
        intents = [entry for entry in batch.entries if entry.state is State.RUNNING]
        for entry in reversed(batch.entries):
            if entry.state is not State.RUNNING:
                self._staged[entry.key] = entry
                self._staged.move_to_end(entry.key, last=False)
        return intents

    def drop_intents(self) -> list[Entry]:
        """Remove and return the staged intents; no head update has included them."""
        intents = [entry for entry in self._staged.values() if entry.state is State.RUNNING]
        for entry in intents:
            del self._staged[entry.key]
        return intents

    def load_head(self, payload: bytes) -> Result[list[Segment], str]:
        """Load the head of the previous owner; returns the segments for `apply_segment`."""
        try:
            partitions, clock, head_data, segments = cbor2.loads(payload)
            self._segments = deque(Segment(*fields) for fields in segments)
        except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
            return Failure(f"not a journal head: {error}")
        if partitions != self._limits.partitions:
            return Failure(f"written with {partitions} partitions, not {self._limits.partitions}")
        entries = parse_entries(head_data)
        if not is_successful(entries):
            return Failure(entries.failure())
        self._clock_base = clock
        for entry, data in zip(entries.unwrap(), head_data, strict=True):
            self._add_head_entry(entry, data)
        return Success(list(self._segments))

    def apply_segment(self, entries: list[Entry]) -> None:
        """Apply the entries of one segment; segments must be applied oldest first."""
        for entry in entries:
            self._apply(entry)

    def finish_load(self) -> None:
        """Apply the entries of the head, after those of the segments."""
        for entry, _ in self._head_entries.values():
            self._apply(entry)

    def _add_head_entry(self, entry: Entry, data: bytes) -> None:
        # Only the last state of a key matters, so an outcome replaces its intent in the head.
        previous = self._head_entries.pop(entry.key, None)
        if previous is not None:
            self._head_entry_bytes -= previous[0].encoded_size
        self._head_entries[entry.key] = (entry, data)
        self._head_entry_bytes += entry.encoded_size

    def _is_full(self) -> bool:
        limits = self._limits
        return (
            len(self._staged) >= limits.max_staged
            or len(self._records) + len(self._staged) + len(self._in_flight) >= limits.max_records
            or len(self._segments) >= limits.max_segments
        )

    def _reply_for_known_key(
        self,
        now: float,
        known: Entry,
        body_digest: bytes,
        live_hosts: Container[str],
        pending: bool,
    ) -> Reply:
        if known.body_digest != body_digest:
            return Reply(ResultCode.KEY_REUSED)
        if pending:
            return Reply(ResultCode.KEY_RUNNING)
        if known.state is State.DONE:
            return Reply(ResultCode.REPLAYED, known.answer)
        current = known.state is State.RUNNING and known.epoch == self._epoch
        recent = self._journal_time(now) - known.staged_at <= self._limits.running_limit_s
        if current and recent and known.claim.host in live_hosts:
            return Reply(ResultCode.KEY_RUNNING)
        return Reply(ResultCode.KEY_UNKNOWN)

    def _count_reply(self, reply: Reply) -> Reply:
        self.figures.replies[reply.code] = self.figures.replies.get(reply.code, 0) + 1
        return reply

    def _stage_outcome(
        self, now: float, known: Entry, code: ResultCode, answer: Answer | None
    ) -> None:
        self.figures.outcomes += 1
        at = self._journal_time(now)
        if code.run is Execution.NOT_RUN:
            staged = known.with_state(State.FREED, at)
        elif code.run is Execution.UNKNOWN or answer is None:
            staged = known.with_state(State.UNKNOWN, at)
        else:
            staged = known.with_state(State.DONE, at, self._limit_answer(answer))
        self._staged[known.key] = staged

    def _limit_answer(self, answer: Answer) -> Answer:
        limits = self._limits
        fits = answer.size <= limits.max_answer_bytes
        if fits and self._answer_bytes + answer.size <= limits.max_kept_bytes:
            return answer
        self.figures.kept_without_body += 1
        return answer.without_body()

    def _allow(self, entry: Entry) -> None:
        require(
            entry.epoch == self._epoch, "permission under the current epoch", key=entry.key.hex()
        )
        require(
            entry.claim not in self._allowed_claims,
            "one permission for each claim",
            claim=entry.claim,
        )
        require(
            self._records.get(entry.key) is entry,
            "permission after the intent is recorded",
            claim=entry.claim,
        )
        self._allowed_claims.add(entry.claim)
        self.figures.allowed += 1

    def _check_previous_entry(self, entry: Entry) -> None:
        previous = self._records.get(entry.key)
        if previous is not None and previous.claim != entry.claim:
            expired = entry.staged_at - previous.staged_at > self._limits.retention_s
            require(
                previous.state is State.FREED or expired,
                "one claim at a time for each key",
                key=entry.key.hex(),
            )

    def _apply(self, entry: Entry) -> None:
        previous = self._records.pop(entry.key, None)
        if previous is not None:
            self._answer_bytes -= previous.answer_size
        self._answer_bytes += entry.answer_size
        # The entry moves to the end, so that the table stays in order of expiry.
        self._records[entry.key] = entry
        if entry.state is not State.RUNNING:
            self._allowed_claims.discard(entry.claim)

    def _expire(self, now: float, batch: Batch) -> None:
        cutoff = self._journal_time(now) - self._limits.retention_s
        for entry in list(
            takewhile(lambda entry: entry.staged_at < cutoff, self._records.values())
        ):
            if entry.key not in self._in_flight:
                del self._records[entry.key]
                self._allowed_claims.discard(entry.claim)
                self._answer_bytes -= entry.answer_size
                self.figures.expired += 1
        expired_entries = list(
            takewhile(lambda item: item[0].staged_at < cutoff, self._head_entries.values())
        )
        for entry, _ in expired_entries:
            del self._head_entries[entry.key]
            self._head_entry_bytes -= entry.encoded_size
        expired_segments = takewhile(lambda segment: segment.newest < cutoff, self._segments)
        batch.removed = list(expired_segments)

    def _encode_head(self, now: float, batch: Batch, head_data: list[bytes]) -> bytes:
        listed = [segment for segment in self._segments if segment not in batch.removed]
        if batch.segment is not None:
            listed.append(batch.segment)
        fields = [
            [segment.epoch, segment.number, segment.newest, segment.count] for segment in listed
        ]
        return cbor2.dumps([self._limits.partitions, self._journal_time(now), head_data, fields])

    def _journal_time(self, now: float) -> float:
        return self._clock_base + (now - self._loaded_at)


_UNSETTLED_STATES = frozenset({State.RUNNING, State.UNKNOWN})


def empty_head(partitions: int) -> bytes:
    """Head payload of a new partition."""
    return cbor2.dumps([partitions, 0.0, [], []])
