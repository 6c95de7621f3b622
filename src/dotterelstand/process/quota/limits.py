"""Limits of workspaces, and the token bucket that enforces them."""

import xxhash

from dotterelstand.version.model import Document
from dotterelstand.version.workspace import Workspace

# Maximum number of workspaces for which a host keeps state.
MAX_WORKSPACES = 4096


def hash_name(name: str) -> int:
    """Hash of 32 bits that identifies a workspace in messages, whatever the document's version."""
    return xxhash.xxh32_intdigest(name.encode())


def limited_workspaces(document: Document | None) -> dict[int, Workspace]:
    """Workspaces of a document that have a limit, by the hash of their name."""
    if document is None or document.access is None:
        return {}
    limited = [item for item in document.access.all() if item.is_limited]
    return {hash_name(item.name): item for item in limited[:MAX_WORKSPACES]}


class TokenBucket:
    """Tokens that accrue at a rate up to a capacity; both may change between calls."""

    __slots__ = ("level", "refilled_at")

    def __init__(self, level: float, now: float) -> None:
        self.level = level
        self.refilled_at = now

    def refill(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Add the tokens that accrued until `now` (seconds)."""
        elapsed_s = max(0.0, now - self.refilled_at)
        self.level = min(capacity, self.level + rate_per_s * elapsed_s)
        self.refilled_at = now
