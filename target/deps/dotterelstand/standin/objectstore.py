"""Versioned objects with conditional updates, in memory, with a history for lagging reads."""

from collections import deque

# Longest lag of reads that the history covers, in seconds.
HISTORY_S = 30.0
MAX_VALUE_BYTES = 1_000_000


class _Change:
    """A value of an object from a time on; `body` None means that it is missing."""

    __slots__ = ("at", "body", "version")

    def __init__(self, at: float, version: int, body: bytes | None) -> None:
        self.at = at
        self.version = version
        self.body = body


class Objects:
    """Objects by name; `now` is monotonic seconds."""

    __slots__ = ("_history", "_version")

    def __init__(self) -> None:
        self._history: dict[str, deque[_Change]] = {}
        self._version = 0

    def get(self, name: str, at: float) -> tuple[int, bytes] | None:
        """Version and body of an object as they were at a time, or None."""
        found: _Change | None = None
        for change in self._history.get(name, ()):
            if change.at > at:
                break
            found = change
        if found is None or found.body is None:
            return None
        return found.version, found.body

    def current(self, name: str) -> tuple[int, bytes] | None:
        """Version and body of an object, or None."""
        history = self._history.get(name)
        if not history or history[-1].body is None:
            return None
        return history[-1].version, history[-1].body

    def put(self, name: str, body: bytes | None, now: float) -> int:
        """Store a value, or None to remove it; returns the new version."""
        self._version += 1
        history = self._history.setdefault(name, deque())
        history.append(_Change(now, self._version, body))
        while len(history) > 1 and history[1].at < now - HISTORY_S:
            history.popleft()
        if body is None and len(history) == 1:
            del self._history[name]
        return self._version

    def list(self, prefix: str, at: float) -> list[dict[str, object]]:
        """Names and versions of the objects with a prefix, as they were at a time."""
        found = []
        for name in sorted(self._history):
            value = self.get(name, at) if name.startswith(prefix) else None
            if value is not None:
                found.append({"name": name, "version": value[0]})
        return found
