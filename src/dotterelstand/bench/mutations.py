"""Deliberate faults in the journal, which the randomised test must detect."""

from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager, nullcontext
from typing import Any
from unittest import mock

import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.idempotency.entry import Answer, Claim, Entry, State
from dotterelstand.process.idempotency.journal import Journal
from dotterelstand.process.idempotency.journalowner import PartitionOwner
from dotterelstand.process.idempotency.journaltypes import Batch, Reply
from dotterelstand.process.idempotency.lease import (
    LOST,
    NOT_WRITTEN,
    Lease,
    LeaseError,
    LeaseRecord,
)
from dotterelstand.process.storage.store import CONFLICT, UNCERTAIN
from dotterelstand.standin.platform import ObjectStore

Mutation = AbstractContextManager[Any]


def _go_before_write() -> Mutation:
    """Permit the request when its intent is staged, before the intent is written."""
    begin = PartitionOwner.begin

    def mutant(
        self: PartitionOwner, key: bytes, digest: bytes, service: str, claim: Claim
    ) -> Reply | None:
        reply = begin(self, key, digest, service, claim)
        if reply is None:
            self._callbacks.allow(claim, self.epoch)
        return reply

    return mock.patch.object(PartitionOwner, "begin", mutant)


def _go_after_failed_write() -> Mutation:
    """Permit requests although the head update that contains their intents failed."""

    def mutant(self: PartitionOwner, intents: list[Entry], code: ResultCode) -> None:
        for entry in intents:
            self._callbacks.allow(entry.claim, entry.epoch)

    return mock.patch.object(PartitionOwner, "_refuse", mutant)


def _unconditional_update() -> Mutation:
    """Let the store ignore the preconditions of writes, such as updates of the head."""
    return mock.patch.object(ObjectStore, "_meets_condition", lambda self, name, headers: True)


def _lost_answer_is_success() -> Mutation:
    """Treat a head update as written if the store did not answer it."""

    async def mutant(self: Lease, record: LeaseRecord) -> Result[None, LeaseError]:
        result = await self._store.write(self._name, record.encode(), self._version)
        if is_successful(result):
            self._version = result.unwrap().version
        elif result.failure().code != UNCERTAIN:
            lost = result.failure().code == CONFLICT
            return Failure(LeaseError(LOST if lost else NOT_WRITTEN, str(result.failure())))
        return Success(None)

    return mock.patch.object(Lease, "_write_until_settled", mutant)


def _lost_answer_is_failure() -> Mutation:
    """Treat a head update without an answer as not written, even if a later read returns it."""

    async def mutant(self: Lease, record: LeaseRecord) -> Result[None, LeaseError]:
        result = await self._store.write(self._name, record.encode(), self._version)
        if is_successful(result):
            self._version = result.unwrap().version
            return Success(None)
        await trio.sleep(0.05)
        current = await self._store.read(self._name)
        if is_successful(current):
            self._version = current.unwrap().version
        return Failure(LeaseError(NOT_WRITTEN, str(result.failure())))

    return mock.patch.object(Lease, "_write_until_settled", mutant)


def _epoch_ignored() -> Mutation:
    """Drop the intents of earlier owners at a takeover, so that their keys may run again."""
    load = Journal.finish_load

    def mutant(self: Journal) -> None:
        load(self)
        for key, entry in list(self._records.items()):
            if entry.state is State.RUNNING:
                del self._records[key]

    return mock.patch.object(Journal, "finish_load", mutant)


def _claim_ignored() -> Mutation:
    """Apply an outcome to the current request with its key, even if it is for an earlier claim."""
    finish = Journal.finish

    def mutant(
        self: Journal, now: float, key: bytes, claim: Claim, code: ResultCode, answer: Answer | None
    ) -> bool:
        known = self._records.get(key)
        return finish(self, now, key, known.claim if known else claim, code, answer)

    return mock.patch.object(Journal, "finish", mutant)


def _unknown_frees_key() -> Mutation:
    """Treat a request with an unknown outcome as not run, so that its key may run again."""
    finish = Journal.finish

    def mutant(
        self: Journal, now: float, key: bytes, claim: Claim, code: ResultCode, answer: Answer | None
    ) -> bool:
        effective_code = ResultCode.CONNECT_FAILED if code.run is Execution.UNKNOWN else code
        return finish(self, now, key, claim, effective_code, answer)

    return mock.patch.object(Journal, "finish", mutant)


def _segments_skipped() -> Mutation:
    """Skip the segments at a takeover and read only the head."""
    return mock.patch.object(Journal, "apply_segment", lambda self, entries: None)


def _segment_after_head() -> Mutation:
    """Skip the write of each segment, although the head then lists the segment."""

    async def mutant(self: PartitionOwner, batch: Batch) -> bool:
        return True

    return mock.patch.object(PartitionOwner, "_write_segment", mutant)


MUTATIONS: dict[str, Callable[[], Mutation]] = {
    "go_before_write": _go_before_write,
    "go_after_failed_write": _go_after_failed_write,
    "unconditional_update": _unconditional_update,
    "lost_answer_is_success": _lost_answer_is_success,
    "lost_answer_is_failure": _lost_answer_is_failure,
    "epoch_ignored": _epoch_ignored,
    "claim_ignored": _claim_ignored,
    "unknown_frees_key": _unknown_frees_key,
    "segments_skipped": _segments_skipped,
    "segment_after_head": _segment_after_head,
}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """Apply one mutation within the context; "" for none."""
    with MUTATIONS[name]() if name else nullcontext():
        yield
