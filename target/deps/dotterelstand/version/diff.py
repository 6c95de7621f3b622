"""Differences between two versions of the document."""

import difflib

from dotterelstand.version.manifest import ManifestRecord

MAX_DIFF_LINES = 400


class SectionChange:
    """A section that differs; an empty digest stands for its absence."""

    __slots__ = ("author", "name", "new", "old")

    def __init__(self, name: str, old: str, new: str, author: str) -> None:
        self.name = name
        self.old = old
        self.new = new
        self.author = author

    @property
    def kind(self) -> str:
        """ "added", "removed" or "changed"."""
        if not self.old:
            return "added"
        return "changed" if self.new else "removed"


def diff_manifests(old: ManifestRecord, new: ManifestRecord) -> list[SectionChange]:
    """Sections that differ between two versions, sorted by name."""
    changes = []
    for name in sorted(old.entries.keys() | new.entries.keys()):
        before, after = old.entries.get(name), new.entries.get(name)
        one, other = before.digest if before else "", after.digest if after else ""
        if one != other:
            changes.append(SectionChange(name, one, other, after.author if after else ""))
    return changes


def diff_bodies(name: str, old: str, new: str) -> str:
    """Unified difference of a section's text, cut after 400 lines; empty if the texts agree."""
    lines = list(
        difflib.unified_diff(
            old.splitlines(), new.splitlines(), f"{name} (before)", f"{name} (after)", lineterm=""
        )
    )
    if len(lines) > MAX_DIFF_LINES:
        cut = len(lines) - MAX_DIFF_LINES
        lines = [*lines[:MAX_DIFF_LINES], f"... {cut} more lines"]
    return "\n".join(lines)
