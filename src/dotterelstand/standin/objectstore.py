"""In-memory store of versioned objects, with a history for stale reads."""

from collections import deque

# Age in seconds up to which past values are kept for stale reads.
HISTORY_S = 30.0
MAX_VALUE_BYTES = 1_000_000


class _Revision:
    """Value of an object from the time `at` on; a `body` of None means that it was deleted."""

    __slots__ = ("at", "body", "version")

    def __init__(self, at: float, version: int, body: bytes | None) -> None:
        self.at = at
        self.version = version
        self.body = body


class VersionedObjects:
    """Objects by name with one version counter; times are monotonic seconds."""

    __slots__ = ("_history", "_version")

    def __init__(self) -> None:
        self._history: dict[str, deque[_Revision]] = {}
        self._version = 0

    def get(self, name: str, at: float) -> tuple[int, bytes] | None:
        """Return version and body of an object at a past time, or None if it did not exist."""
        result: _Revision | None = None
        for revision in self._history.get(name, ()):
            if revision.at > at:
                break
            result = revision
        if result is None or result.body is None:
            return None
        return result.version, result.body

    def current(self, name: str) -> tuple[int, bytes] | None:
        """Return the current version and body of an object, or None."""
        history = self._history.get(name)
        if not history or history[-1].body is None:
            return None
        return history[-1].version, history[-1].body

    def put(self, name: str, body: bytes | None, now: float) -> int:
        """Store a value, or delete the object if `body` is None; returns the new version."""
        self._version += 1
        history = self._history.setdefault(name, deque())
        history.append(_Revision(now, self._version, body))
        while len(history) > 1 and history[1].at < now - HISTORY_S:
            history.popleft()
        if body is None and len(history) == 1:
            del self._history[name]
        return self._version

    def list(self, prefix: str, at: float) -> list[dict[str, object]]:
        """Return names and versions of the objects with a prefix at a past time."""
        result = []
        for name in sorted(self._history):
            value = self.get(name, at) if name.startswith(prefix) else None
            if value is not None:
                result.append({"name": name, "version": value[0]})
        return result
