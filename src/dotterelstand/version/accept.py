"""Edits of one section: checks the whole document, then updates the manifest in the store."""

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
# Maximum rounds of read, check and update; a round is repeated if another section has changed.
MAX_ROUNDS = 5
# Maximum attempts at one store call, or at one conditional update until its outcome is known.
MAX_STORE_ATTEMPTS = 8
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0


class DocumentStore(Protocol):
    """Interface of the store that keeps the document."""

    async def read(self, name: str) -> Result[StoreValue, StoreError]:
        """Return the value and version of an object."""

    async def write(
        self, name: str, body: bytes, expected: int | None
    ) -> Result[StoreValue, StoreError]:
        """Replace an object if it has the expected version; None creates it."""


class SectionEdit:
    """Edit of one section.

    `body` is the new text, or None to remove the section. `base_digest` is the digest of the text
    that the operator edited, empty for a new section, or None if unknown. `time` is recorded
    unchanged.
    """

    __slots__ = ("author", "base_digest", "body", "section", "time")

    def __init__(
        self, section: str, body: str | None, author: str, time: str, base_digest: str | None = None
    ) -> None:
        self.section = section
        self.body = body
        self.author = author
        self.time = time
        self.base_digest = base_digest

    @property
    def digest(self) -> str:
        """Digest of the new text, empty for a removal."""
        return "" if self.body is None else section_digest(self.body)


class Rejection:
    """Failure of an edit; with `OUTCOME_UNKNOWN`, the edit may have been stored."""

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


class _StoredManifest:
    """Current manifest and its version in the store, which is None if no manifest exists yet."""

    __slots__ = ("record", "store_version")

    def __init__(self, record: ManifestRecord, store_version: int | None) -> None:
        self.record = record
        self.store_version = store_version


class _Outcome(Enum):
    ACCEPTED = 1
    LOST = 2
    UNKNOWN = 3
    UNCHANGED = 4


class DocumentEditor:
    """Editor of the document in the store; one instance may serve many operators.

    `active_number` returns the number of the version in force on this host.
    """

    __slots__ = ("_active_number", "_cache", "_rng", "_store")

    def __init__(
        self,
        store: DocumentStore,
        cache: SectionCache,
        rng: random.Random,
        active_number: Callable[[], int] = lambda: 0,
    ) -> None:
        self._store = store
        self._cache = cache
        self._rng = rng
        self._active_number = active_number

    async def submit(self, edit: SectionEdit) -> Result[int, Rejection]:
        """Store an edit and return the number of the version that contains it.

        Fails with `INVALID` and every error if the document would be invalid, `RACE_LOST` and the
        difference if another edit changed the same section, `STORE_DOWN` if the store cannot be
        reached and nothing changed, and `OUTCOME_UNKNOWN` if the edit may have been stored.
        """
        update_id = f"{self._rng.getrandbits(64):016x}"
        base_digest = edit.base_digest
        for _ in range(MAX_ROUNDS):
            manifest = await self._read_manifest()
            if not is_successful(manifest):
                return Failure(manifest.failure())
            record = manifest.unwrap().record
            entry = record.entries.get(edit.section)
            current_digest = entry.digest if entry else ""
            if current_digest == edit.digest and entry is not None:
                return Success(record.number)
            if base_digest is not None and current_digest != base_digest:
                return Failure(await self._reject_conflict(edit, base_digest, current_digest))
            base_digest = current_digest
            prepared = await self._prepare(record, edit, update_id)
            if not is_successful(prepared):
                return Failure(prepared.failure())
            outcome = await self._update(manifest.unwrap(), prepared.unwrap())
            if outcome is not _Outcome.LOST:
                return await self._finish(outcome, prepared.unwrap())
        return Failure(
            Rejection(RACE_LOST, f"gave up after {MAX_ROUNDS} concurrent edits of other sections")
        )

    async def _finish(self, outcome: _Outcome, record: ManifestRecord) -> Result[int, Rejection]:
        if outcome is _Outcome.ACCEPTED:
            await self._store.write(_history_name(record.number), record.body, None)
            return Success(record.number)
        if outcome is _Outcome.UNCHANGED:
            return Failure(Rejection(STORE_DOWN, "the store accepted no update; nothing changed"))
        text = f"it is unknown whether version {record.number} was accepted"
        return Failure(Rejection(OUTCOME_UNKNOWN, text))

    async def _read_manifest(self) -> Result[_StoredManifest, Rejection]:
        for _ in range(MAX_STORE_ATTEMPTS):
            result = await self._store.read(MANIFEST_NAME)
            if is_successful(result):
                parsed = parse_manifest(result.unwrap().body)
                if not is_successful(parsed):
                    return Failure(Rejection(DAMAGED, f"{MANIFEST_NAME}: {parsed.failure()}"))
                manifest = _StoredManifest(parsed.unwrap(), result.unwrap().version)
            elif result.failure().code == MISSING:
                manifest = _StoredManifest(EMPTY_MANIFEST, None)
            else:
                await self._wait_before_retry()
                continue
            # An edit must not be based on a stale manifest or on a store that lost versions.
            if manifest.record.number >= self._active_number():
                return Success(manifest)
            await self._wait_before_retry()
        return Failure(Rejection(STORE_DOWN, "the store returns no current manifest"))

    async def _prepare(
        self, record: ManifestRecord, edit: SectionEdit, update_id: str
    ) -> Result[ManifestRecord, Rejection]:
        """Check the whole document with the edit and return the manifest to store."""
        sections = await self._load(record)
        if not is_successful(sections):
            return Failure(sections.failure())
        current_sections = sections.unwrap()
        checked = self._check(record, current_sections, edit)
        if not is_successful(checked):
            return Failure(checked.failure())
        number = record.number + 1
        entries = dict(record.entries)
        if edit.body is None:
            del entries[edit.section]
        else:
            owner = checked.unwrap()[edit.section].owner
            entries[edit.section] = SectionEntry(
                edit.digest, number, owner, edit.author[:64], edit.time[:40]
            )
        new = ManifestRecord(number, update_id, entries)
        if len(new.body) > MAX_MANIFEST_BYTES:
            text = f"{TOO_LARGE}: the manifest would exceed {MAX_MANIFEST_BYTES} bytes"
            return Failure(Rejection(INVALID, text))
        stored = await self._store_objects(record, edit)
        return Failure(stored) if stored is not None else Success(new)

    def _check(
        self,
        record: ManifestRecord,
        current_sections: dict[str, ParsedSection],
        edit: SectionEdit,
    ) -> Result[dict[str, ParsedSection], Rejection]:
        sections = dict(current_sections)
        if edit.body is None:
            if sections.pop(edit.section, None) is None:
                return Failure(Rejection(NO_SUCH_SECTION, f"no section {edit.section}"))
        else:
            parsed = parse_section(edit.section, edit.body, strict=True)
            if not is_successful(parsed):
                return Failure(Rejection(INVALID, "nothing changed", parsed.failure()))
            sections[edit.section] = parsed.unwrap()
        joined = join_sections(record.number + 1, sections, {}, current_sections)
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
            return Failure(
                Rejection(DAMAGED, "a section of the current version is invalid", parsed.failure())
            )
        return Success(parsed.unwrap())

    async def _read_body(self, digest: str) -> Rejection | None:
        for _ in range(MAX_STORE_ATTEMPTS):
            result = await self._store.read(section_object_name(digest))
            if is_successful(result):
                if self._cache.put(digest, result.unwrap().body):
                    return None
                return Rejection(DAMAGED, f"{section_object_name(digest)} does not have its digest")
            await self._wait_before_retry()
        return Rejection(
            STORE_DOWN, f"{section_object_name(digest)} cannot be read; nothing changed"
        )

    async def _store_objects(self, record: ManifestRecord, edit: SectionEdit) -> Rejection | None:
        """Write the immutable objects that the update depends on.

        The manifest that the update replaces is written to the history first. If the response to
        an update is lost and another edit follows, only the history shows whether the update took
        effect.
        """
        objects: list[tuple[str, bytes]] = []
        if record.number:
            objects.append((_history_name(record.number), record.body))
        if edit.body is not None:
            objects.append((section_object_name(edit.digest), edit.body.encode()))
        for name, body in objects:
            if not await self._write_immutable(name, body):
                return Rejection(STORE_DOWN, f"{name} cannot be written; nothing changed")
        return None

    async def _write_immutable(self, name: str, body: bytes) -> bool:
        for _ in range(MAX_STORE_ATTEMPTS):
            result = await self._store.write(name, body, None)
            if is_successful(result) or result.failure().code == CONFLICT:
                return True
            await self._wait_before_retry()
        return False

    async def _update(self, manifest: _StoredManifest, new: ManifestRecord) -> _Outcome:
        """Update the manifest at most once, even if responses are lost.

        Every attempt is the same conditional update, so at most one of them takes effect.
        """
        uncertain = False
        for _ in range(MAX_STORE_ATTEMPTS):
            result = await self._store.write(MANIFEST_NAME, new.body, manifest.store_version)
            if is_successful(result):
                return _Outcome.ACCEPTED
            code = result.failure().code
            if code == CONFLICT and not uncertain:
                return _Outcome.LOST
            uncertain = uncertain or code == UNCERTAIN
            settled = await self._resolve_uncertain_update(new) if uncertain else None
            if settled is not None:
                return settled
            await self._wait_before_retry()
        return _Outcome.UNKNOWN if uncertain else _Outcome.UNCHANGED

    async def _resolve_uncertain_update(self, new: ManifestRecord) -> _Outcome | None:
        """Find out from the store whether an update took effect; None if it is still unknown."""
        found = await self._read_record(MANIFEST_NAME)
        if found is not None and found.number > new.number:
            found = await self._read_record(_history_name(new.number))
        if found is None or found.number < new.number:
            return None
        return _Outcome.ACCEPTED if found.update_id == new.update_id else _Outcome.LOST

    async def _read_record(self, name: str) -> ManifestRecord | None:
        result = await self._store.read(name)
        if not is_successful(result):
            return None
        parsed = parse_manifest(result.unwrap().body)
        return parsed.unwrap() if is_successful(parsed) else None

    async def _reject_conflict(
        self, edit: SectionEdit, base_digest: str, current_digest: str
    ) -> Rejection:
        """Build a rejection with the difference between the base and the current text."""
        texts = []
        for digest in (base_digest, current_digest):
            if digest and self._cache.body(digest) is None:
                await self._read_body(digest)
            texts.append((self._cache.body(digest) or "") if digest else "")
        difference = diff_bodies(edit.section, *texts)
        text = f"section {edit.section} was changed by another edit; nothing changed"
        return Rejection(RACE_LOST, text, difference=difference)

    async def _wait_before_retry(self) -> None:
        await trio.sleep(self._rng.uniform(MIN_RETRY_DELAY_S, MAX_RETRY_DELAY_S))


def section_object_name(digest: str) -> str:
    """Return the store name of a section body."""
    return f"document/sections/{digest}"


def _history_name(number: int) -> str:
    return f"document/history/{number}"
