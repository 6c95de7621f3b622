"""Differences between two versions of the document."""

import difflib

from dotterelstand.version.manifest import ManifestRecord

MAX_DIFF_LINES = 400


class SectionChange:
    """Section that differs between two versions; its digest is empty where it is absent."""

    __slots__ = ("author", "name", "new_digest", "old_digest")

    def __init__(self, name: str, old_digest: str, new_digest: str, author: str) -> None:
        self.name = name
        self.old_digest = old_digest
        self.new_digest = new_digest
        self.author = author

    @property
    def kind(self) -> str:
        """Kind of the difference: "added", "removed" or "changed"."""
        if not self.old_digest:
            return "added"
        return "changed" if self.new_digest else "removed"


def diff_manifests(old: ManifestRecord, new: ManifestRecord) -> list[SectionChange]:
    """Return the sections that differ between two versions, sorted by name."""
    changes = []
    for name in sorted(old.entries.keys() | new.entries.keys()):
        old_entry, new_entry = old.entries.get(name), new.entries.get(name)
        old_digest, new_digest = old_entry.digest if old_entry else "", (
            new_entry.digest if new_entry else ""
        )
        if old_digest != new_digest:
            changes.append(
                SectionChange(name, old_digest, new_digest, new_entry.author if new_entry else "")
            )
    return changes


def diff_bodies(name: str, old: str, new: str) -> str:
    """Return the unified diff of a section's text, at most 400 lines; empty if the texts agree."""
    lines = list(
        difflib.unified_diff(
            old.splitlines(), new.splitlines(), f"{name} (before)", f"{name} (after)", lineterm=""
        )
    )
    if len(lines) > MAX_DIFF_LINES:
        cut = len(lines) - MAX_DIFF_LINES
        lines = [*lines[:MAX_DIFF_LINES], f"... {cut} more lines"]
    return "\n".join(lines)
