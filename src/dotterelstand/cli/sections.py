"""Commands on the sections of the document in the store."""

import random
import re
from datetime import UTC, datetime
from pathlib import Path

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.cli.output import Row
from dotterelstand.exits import ExitCode, ToolError
from dotterelstand.process.storage.store import MISSING, StoreClient
from dotterelstand.version.accept import (
    DAMAGED,
    INVALID,
    MANIFEST_NAME,
    NO_SUCH_SECTION,
    OUTCOME_UNKNOWN,
    STORE_DOWN,
    DocumentEditor,
    Rejection,
    SectionEdit,
    section_object_name,
)
from dotterelstand.version.cache import SectionCache
from dotterelstand.version.check import check_bodies
from dotterelstand.version.diff import diff_bodies, diff_manifests
from dotterelstand.version.fields import RACE_LOST
from dotterelstand.version.manifest import EMPTY_MANIFEST, ManifestRecord, parse_manifest
from dotterelstand.version.model import section_digest

HISTORY_PREFIX = "document/history/"
MAX_HISTORY = 100
MAX_CACHED_SECTIONS = 4096
MAX_CACHED_BYTES = 64 * 1024 * 1024

# First line of a file that `section edit` writes: the digest of the original text.
_BASE_DIGEST_LINE = re.compile(r"# dotterelstand base: ([0-9a-f]{32}|new)\n")

_EXIT_CODES = {
    INVALID: ExitCode.DOCUMENT_INVALID,
    RACE_LOST: ExitCode.CONFLICT,
    STORE_DOWN: ExitCode.STORE_UNAVAILABLE,
    OUTCOME_UNKNOWN: ExitCode.UNCERTAIN,
    DAMAGED: ExitCode.DOCUMENT_INVALID,
    NO_SUCH_SECTION: ExitCode.NOT_FOUND,
}


class SectionFile:
    """Text of a section file and the digest of its base version, None if not recorded."""

    __slots__ = ("base_digest", "body")

    def __init__(self, body: str, base_digest: str | None) -> None:
        self.body = body
        self.base_digest = base_digest


class StoredDocument:
    """Document in the store, with the operations of the command-line tool."""

    __slots__ = ("_rng", "_store")

    def __init__(self, store: StoreClient, rng: random.Random) -> None:
        self._store = store
        self._rng = rng

    async def manifest(self, number: int | None = None) -> Result[ManifestRecord, ToolError]:
        """Read the current manifest or that of a version; empty if there is no version yet."""
        name = MANIFEST_NAME if number is None else f"{HISTORY_PREFIX}{number}"
        result = await self._store.read(name)
        if not is_successful(result):
            error = result.failure()
            if error.code == MISSING and number is None:
                return Success(EMPTY_MANIFEST)
            if error.code == MISSING:
                return Failure(ToolError(ExitCode.NOT_FOUND, f"there is no version {number}"))
            return Failure(ToolError(ExitCode.STORE_UNAVAILABLE, f"{name}: {error}"))
        parsed = parse_manifest(result.unwrap().body)
        if not is_successful(parsed):
            text = f"{name} is damaged: {parsed.failure()}"
            return Failure(ToolError(ExitCode.DOCUMENT_INVALID, text))
        return Success(parsed.unwrap())

    async def body(self, name: str, number: int | None = None) -> Result[str, ToolError]:
        """Read the text of a section in the current version or in a given one."""
        manifest = await self.manifest(number)
        if not is_successful(manifest):
            return Failure(manifest.failure())
        entry = manifest.unwrap().entries.get(name)
        if entry is None:
            available = ", ".join(sorted(manifest.unwrap().entries)) or "none"
            text = (
                f"no section {name} in version {manifest.unwrap().number}; there are: {available}"
            )
            return Failure(ToolError(ExitCode.NOT_FOUND, text))
        return await self._read_body(entry.digest)

    async def propose(self, name: str, edited: SectionFile) -> Result[str, ToolError]:
        """Return the difference that an edit would make; fails with every error in the document."""
        bodies = await self._all_bodies()
        if not is_successful(bodies):
            return Failure(bodies.failure())
        current = bodies.unwrap().get(name)
        if edited.base_digest is not None and edited.base_digest != _body_digest(current):
            text = f"{RACE_LOST}: section {name} was changed by another edit:\n"
            return Failure(
                ToolError(ExitCode.CONFLICT, text + self._diff_to_current(name, edited, current))
            )
        errors = check_bodies({**bodies.unwrap(), name: edited.body})
        if errors:
            text = "\n".join([f"{INVALID}: nothing changed", *map(str, errors)])
            return Failure(ToolError(ExitCode.DOCUMENT_INVALID, text))
        return Success(diff_bodies(name, current or "", edited.body))

    async def accept(
        self, name: str, edited: SectionFile | None, author: str
    ) -> Result[int, ToolError]:
        """Accept an edit, or remove the section if `edited` is None; returns the new version."""
        time = datetime.now(UTC).isoformat(timespec="seconds")
        body = None if edited is None else edited.body
        change = SectionEdit(
            name, body, author, time, None if edited is None else edited.base_digest
        )
        cache = SectionCache(MAX_CACHED_SECTIONS, MAX_CACHED_BYTES)
        result = await DocumentEditor(self._store, cache, self._rng).submit(change)
        return result.alt(_tool_error)

    async def history(self, name: str, limit: int) -> Result[list[Row], ToolError]:
        """List the versions that changed a section, newest first; an empty name selects all."""
        manifest = await self.manifest()
        if not is_successful(manifest):
            return Failure(manifest.failure())
        newer, rows = manifest.unwrap(), []
        for _ in range(min(limit, MAX_HISTORY)):
            if newer.number == 0:
                break
            older = await self._read_predecessor(newer)
            if not is_successful(older):
                return Failure(older.failure())
            for change in diff_manifests(older.unwrap(), newer):
                entry = newer.entries.get(change.name)
                if name in ("", change.name):
                    rows.append(
                        {
                            "version": newer.number,
                            "section": change.name,
                            "change": change.kind,
                            "author": change.author or None,
                            "time": entry.time if entry else None,
                            "digest": change.new_digest or None,
                        }
                    )
            newer = older.unwrap()
        return Success(rows)

    async def diff(self, name: str, old: int, new: int | None) -> Result[str, ToolError]:
        """Return the difference between two versions of a section; an empty name selects all."""
        before = await self.manifest(old) if old else Success(EMPTY_MANIFEST)
        after = await self.manifest(new)
        for result in (before, after):
            if not is_successful(result):
                return Failure(result.failure())
        texts = []
        for change in diff_manifests(before.unwrap(), after.unwrap()):
            if name not in ("", change.name):
                continue
            bodies = []
            for digest in (change.old_digest, change.new_digest):
                body = await self._read_body(digest) if digest else Success("")
                if not is_successful(body):
                    return Failure(body.failure())
                bodies.append(body.unwrap())
            texts.append(diff_bodies(change.name, *bodies))
        return Success("\n".join(texts))

    async def _read_predecessor(self, record: ManifestRecord) -> Result[ManifestRecord, ToolError]:
        if record.number == 1:
            return Success(EMPTY_MANIFEST)
        return await self.manifest(record.number - 1)

    async def _all_bodies(self) -> Result[dict[str, str], ToolError]:
        manifest = await self.manifest()
        if not is_successful(manifest):
            return Failure(manifest.failure())
        bodies = {}
        for name, entry in manifest.unwrap().entries.items():
            body = await self._read_body(entry.digest)
            if not is_successful(body):
                return Failure(body.failure())
            bodies[name] = body.unwrap()
        return Success(bodies)

    async def _read_body(self, digest: str) -> Result[str, ToolError]:
        result = await self._store.read(section_object_name(digest))
        if not is_successful(result):
            text = f"{section_object_name(digest)}: {result.failure()}"
            return Failure(ToolError(ExitCode.STORE_UNAVAILABLE, text))
        return Success(result.unwrap().body.decode(errors="replace"))

    def _diff_to_current(self, name: str, edited: SectionFile, current: str | None) -> str:
        return diff_bodies(name, edited.body, current or "")


def read_section_file(path: Path) -> Result[SectionFile, ToolError]:
    """Read a section file; the first line that `section edit` writes is optional."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure(ToolError(ExitCode.FILE_UNREADABLE, f"{path}: {error}"))
    match = _BASE_DIGEST_LINE.match(text)
    if match is None:
        return Success(SectionFile(text, None))
    base = "" if match[1] == "new" else match[1]
    return Success(SectionFile(text[match.end() :], base))


def section_file_text(body: str | None) -> str:
    """Return the text of a file for editing: a line with the base digest, then the section."""
    return f"# dotterelstand base: {_body_digest(body) or 'new'}\n{body or ''}"


def _body_digest(body: str | None) -> str:
    return "" if body is None else section_digest(body)


def _tool_error(rejection: Rejection) -> ToolError:
    return ToolError(_EXIT_CODES.get(rejection.code, ExitCode.INTERNAL), str(rejection))
