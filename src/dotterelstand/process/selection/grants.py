"""Open grants of one dispatcher, by call and by target."""

from collections import deque

from dotterelstand.process.selection.health import HealthTable
from dotterelstand.process.selection.queue import CallKey


class OpenGrant:
    """A grant that is not yet released; `told_slow` if its holder knows that the target is slow."""

    __slots__ = ("granted_at", "key", "position", "table", "told_slow")

    def __init__(self, key: CallKey, table: HealthTable, position: int, granted_at: float) -> None:
        self.key = key
        self.table = table
        self.position = position
        self.granted_at = granted_at
        self.told_slow = False

    @property
    def target(self) -> str:
        """Name of the target."""
        return self.table.targets[self.position].name


class GrantTable:
    """Open grants; each operation takes constant time, apart from those on a whole host."""

    __slots__ = ("_by_target", "_expiry", "_grants")

    def __init__(self) -> None:
        self._grants: dict[CallKey, OpenGrant] = {}
        self._by_target: dict[str, dict[CallKey, OpenGrant]] = {}
        # Grants in the order in which they were added; released ones are skipped later.
        self._expiry: deque[OpenGrant] = deque()

    def __len__(self) -> int:
        return len(self._grants)

    def all(self) -> list[OpenGrant]:
        """All open grants."""
        return list(self._grants.values())

    def add(self, grant: OpenGrant) -> None:
        """Add a grant."""
        self._grants[grant.key] = grant
        self._by_target.setdefault(grant.target, {})[grant.key] = grant
        self._expiry.append(grant)

    def remove(self, key: CallKey) -> OpenGrant | None:
        """Remove and return a call's grant; None if it has none."""
        grant = self._grants.pop(key, None)
        if grant is not None:
            grants = self._by_target[grant.target]
            del grants[key]
            if not grants:
                del self._by_target[grant.target]
        return grant

    def of_host(self, host: str) -> list[CallKey]:
        """Calls of a host that hold a grant."""
        return [key for key in self._grants if key[0] == host]

    def take_holders_to_notify(self, target: str) -> set[str]:
        """Hosts with grants on a target that turned slow, each grant only once."""
        unaware = [item for item in self._by_target.get(target, {}).values() if not item.told_slow]
        for grant in unaware:
            grant.told_slow = True
        return {grant.key[0] for grant in unaware}

    def pop_expired(self, granted_before: float) -> OpenGrant | None:
        """Remove and return the oldest grant if it was granted by this time in seconds."""
        while self._expiry:
            grant = self._expiry[0]
            is_open = self._grants.get(grant.key) is grant
            if is_open and grant.granted_at > granted_before:
                return None
            self._expiry.popleft()
            if is_open:
                return self.remove(grant.key)
        return None
