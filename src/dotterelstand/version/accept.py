"""Accepts a change of one section: checks the whole document and updates the manifest."""

import random
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.process.storage.store import CONFLICT, MISSING, UNCERTAIN, StoreError, StoreValue
from dotterelstand.version.cache import SectionCache
from dotterelstand.version.check import join_sections
from dotterelstand.version.diff import diff_bodies
from dotterelstand.version.fields import RACE_LOST, TOO_LARGE
from dotterelstand.version.manifest import (
    EMPTY_MANIFEST,
    ManifestRecord,
    SectionEntry,
    parse_manifest,
)
from dotterelstand.version.model import DocumentError, section_digest
from dotterelstand.version.section import ParsedSection, parse_section

INVALID = 4100
STORE_DOWN = 4111
OUTCOME_UNKNOWN = 4112
DAMAGED = 4113
NO_SUCH_SECTION = 4114

MANIFEST_NAME = "document/head"
MAX_MANIFEST_BYTES = 1_000_000
# Starts over after another section was accepted in between; each start checks everything again.
MAX_STARTS = 5
# Tries of one store call, or of one conditional update until its outcome is settled.
MAX_TRIES = 8
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0


class DocumentStore(Protocol):
    """What acceptance needs of the platform's store."""

    async def read(self, name: str) -> Result[StoreValue, StoreError]:
        """Value and version of an object."""

    async def write(
        self, name: str, body: bytes, expected: int | None
    ) -> Result[StoreValue, StoreError]:
        """Conditional update."""


class SectionEdit:
    """An edit of one section.

    `body` is the new text, or None to remove the section. `base` is the digest of the text that
    the operator edited, empty for a new section, or None if it is not known. `time` is recorded
    as it is given.
    """

    __slots__ = ("author", "base", "body", "section", "time")

    def __init__(
        self, section: str, body: str | None, author: str, time: str, base: str | None = None
    ) -> None:
        self.section = section
        self.body = body
        self.author = author
        self.time = time
        self.base = base

    @property
    def digest(self) -> str:
        """Digest of the new text, empty for a removal."""
        return "" if self.body is None else section_digest(self.body)


class Rejection:
    """Why a change was not accepted; `code` 4112 means that it may have been."""

    __slots__ = ("code", "difference", "errors", "text")

    def __init__(
        self,
        code: int,
        text: str,
        errors: list[DocumentError] | None = None,
        difference: str = "",
    ) -> None:
        self.code = code
        self.text = text
        self.errors = errors or []
        self.difference = difference

    def __str__(self) -> str:
        lines = [f"{self.code}: {self.text}", *map(str, self.errors)]
        return "\n".join([*lines, self.difference] if self.difference else lines)


class _Head:
    """The manifest that was read and its version in the store, None if there is none yet."""

    __slots__ = ("record", "store_version")

    def __init__(self, record: ManifestRecord, store_version: int | None) -> None:
        self.record = record
        self.store_version = store_version


class _Outcome(Enum):
    ACCEPTED = 1
    LOST = 2
    UNKNOWN = 3
    UNCHANGED = 4


class Acceptor:
    """Accepts changes against the store; one instance may serve many operators."""

    __slots__ = ("_cache", "_in_force", "_rng", "_store")

    def __init__(
        self,
        store: DocumentStore,
        cache: SectionCache,
        rng: random.Random,
        in_force: Callable[[], int] = lambda: 0,
    ) -> None:
        self._store = store
        self._cache = cache
        self._rng = rng
        self._in_force = in_force

    async def submit(self, change: SectionEdit) -> Result[int, Rejection]:
        """Accept a change and return the number of the version that has it.

        Fails with 4100 and every error if the document would not be valid, 4105 and the
        difference if the same section was changed by another edit, 4111 if the store cannot be
        reached and nothing changed, and 4112 if the outcome could not be learned.
        """
        write = f"{self._rng.getrandbits(64):016x}"
        base = change.base
        for _ in range(MAX_STARTS):
            head = await self._read_head()
            if not is_successful(head):
                return Failure(head.failure())
            record = head.unwrap().record
            entry = record.entries.get(change.section)
            current = entry.digest if entry else ""
            if current == change.digest and entry is not None:
                return Success(record.number)
            if base is not None and current != base:
                return Failure(await self._race_lost(change, base, current))
            base = current
            prepared = await self._prepare(record, change, write)
            if not is_successful(prepared):
                return Failure(prepared.failure())
            outcome = await self._update(head.unwrap(), prepared.unwrap())
            if outcome is not _Outcome.LOST:
                return await self._finish(outcome, prepared.unwrap())
        return Failure(Rejection(RACE_LOST, f"lost {MAX_STARTS} races against other sections"))

    async def _finish(self, outcome: _Outcome, record: ManifestRecord) -> Result[int, Rejection]:
        if outcome is _Outcome.ACCEPTED:
            await self._store.write(_history(record.number), record.body, None)
            return Success(record.number)
        if outcome is _Outcome.UNCHANGED:
            return Failure(Rejection(STORE_DOWN, "the store took no update; nothing changed"))
        text = f"the store cannot tell whether version {record.number} was accepted"
        return Failure(Rejection(OUTCOME_UNKNOWN, text))

    async def _read_head(self) -> Result[_Head, Rejection]:
        for _ in range(MAX_TRIES):
            result = await self._store.read(MANIFEST_NAME)
            if is_successful(result):
                parsed = parse_manifest(result.unwrap().body)
                if not is_successful(parsed):
                    return Failure(Rejection(DAMAGED, f"{MANIFEST_NAME}: {parsed.failure()}"))
                head = _Head(parsed.unwrap(), result.unwrap().version)
            elif result.failure().code == MISSING:
                head = _Head(EMPTY_MANIFEST, None)
            else:
                await self._pause()
                continue
            # A lagging read, or a store that lost versions, must not become the base of a change.
            if head.record.number >= self._in_force():
                return Success(head)
            await self._pause()
        return Failure(Rejection(STORE_DOWN, "the store gives no current manifest"))

    async def _prepare(
        self, record: ManifestRecord, change: SectionEdit, write: str
    ) -> Result[ManifestRecord, Rejection]:
        """Check the whole document with the change; returns the manifest to be stored."""
        sections = await self._load(record)
        if not is_successful(sections):
            return Failure(sections.failure())
        former = sections.unwrap()
        checked = self._check(record, former, change)
        if not is_successful(checked):
            return Failure(checked.failure())
        number = record.number + 1
        entries = dict(record.entries)
        if change.body is None:
            del entries[change.section]
        else:
            owner = checked.unwrap()[change.section].owner
            entries[change.section] = SectionEntry(
                change.digest, number, owner, change.author[:64], change.time[:40]
            )
        new = ManifestRecord(number, write, entries)
        if len(new.body) > MAX_MANIFEST_BYTES:
            text = f"{TOO_LARGE}: the manifest would exceed {MAX_MANIFEST_BYTES} bytes"
            return Failure(Rejection(INVALID, text))
        stored = await self._store_objects(record, change)
        return Failure(stored) if stored is not None else Success(new)

    def _check(
        self, record: ManifestRecord, former: dict[str, ParsedSection], change: SectionEdit
    ) -> Result[dict[str, ParsedSection], Rejection]:
        sections = dict(former)
        if change.body is None:
            if sections.pop(change.section, None) is None:
                return Failure(Rejection(NO_SUCH_SECTION, f"no section {change.section}"))
        else:
            parsed = parse_section(change.section, change.body, strict=True)
            if not is_successful(parsed):
                return Failure(Rejection(INVALID, "nothing changed", parsed.failure()))
            sections[change.section] = parsed.unwrap()
        joined = join_sections(record.number + 1, sections, {}, former)
        if not is_successful(joined):
            return Failure(Rejection(INVALID, "nothing changed", joined.failure()))
        return Success(sections)

    async def _load(self, record: ManifestRecord) -> Result[dict[str, ParsedSection], Rejection]:
        self._cache.evict_unused(record.digests())
        while missing := self._cache.missing(record.digests().values()):
            result = await self._read_body(missing[0])
            if result is not None:
                return Failure(result)
        parsed = self._cache.parse_sections(record)
        if not is_successful(parsed):
            return Failure(Rejection(DAMAGED, "a section in force is invalid", parsed.failure()))
        return Success(parsed.unwrap())

    async def _read_body(self, digest: str) -> Rejection | None:
        for _ in range(MAX_TRIES):
            result = await self._store.read(section_object_name(digest))
            if is_successful(result):
                if self._cache.put(digest, result.unwrap().body):
                    return None
                return Rejection(DAMAGED, f"{section_object_name(digest)} does not have its digest")
            await self._pause()
        return Rejection(
            STORE_DOWN, f"{section_object_name(digest)} cannot be read; nothing changed"
        )

    async def _store_objects(self, record: ManifestRecord, change: SectionEdit) -> Rejection | None:
        """Write the immutable objects that the update depends on.

        The manifest that is replaced must be in the history first: a lost response is settled by
        the history once another change has followed.
        """
        objects: list[tuple[str, bytes]] = []
        if record.number:
            objects.append((_history(record.number), record.body))
        if change.body is not None:
            objects.append((section_object_name(change.digest), change.body.encode()))
        for name, body in objects:
            if not await self._write_immutable(name, body):
                return Rejection(STORE_DOWN, f"{name} cannot be written; nothing changed")
        return None

    async def _write_immutable(self, name: str, body: bytes) -> bool:
        for _ in range(MAX_TRIES):
            result = await self._store.write(name, body, None)
            if is_successful(result) or result.failure().code == CONFLICT:
                return True
            await self._pause()
        return False

    async def _update(self, head: _Head, new: ManifestRecord) -> _Outcome:
        """Update the manifest once, however many responses are lost.

        Every try is the same conditional update, so at most one of them takes effect.
        """
        uncertain = False
        for _ in range(MAX_TRIES):
            result = await self._store.write(MANIFEST_NAME, new.body, head.store_version)
            if is_successful(result):
                return _Outcome.ACCEPTED
            code = result.failure().code
            if code == CONFLICT and not uncertain:
                return _Outcome.LOST
            uncertain = uncertain or code == UNCERTAIN
            settled = await self._settle(new) if uncertain else None
            if settled is not None:
                return settled
            await self._pause()
        return _Outcome.UNKNOWN if uncertain else _Outcome.UNCHANGED

    async def _settle(self, new: ManifestRecord) -> _Outcome | None:
        """Learn from the store whether an update took effect; None if it does not tell yet."""
        found = await self._read_record(MANIFEST_NAME)
        if found is not None and found.number > new.number:
            found = await self._read_record(_history(new.number))
        if found is None or found.number < new.number:
            return None
        return _Outcome.ACCEPTED if found.write == new.write else _Outcome.LOST

    async def _read_record(self, name: str) -> ManifestRecord | None:
        result = await self._store.read(name)
        if not is_successful(result):
            return None
        parsed = parse_manifest(result.unwrap().body)
        return parsed.unwrap() if is_successful(parsed) else None

    async def _race_lost(self, change: SectionEdit, base: str, current: str) -> Rejection:
        """Refusal with what the other edit changed, or what it has instead of this one."""
        texts = []
        for digest in (base, current):
            if digest and self._cache.body(digest) is None:
                await self._read_body(digest)
            texts.append((self._cache.body(digest) or "") if digest else "")
        difference = diff_bodies(change.section, *texts)
        text = f"section {change.section} was changed by another edit; nothing changed"
        return Rejection(RACE_LOST, text, difference=difference)

    async def _pause(self) -> None:
        await trio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))


def section_object_name(digest: str) -> str:
    """Store name of a section body."""
    return f"document/sections/{digest}"


def _history(number: int) -> str:
    return f"document/history/{number}"
