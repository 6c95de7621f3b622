"""What the relays of a region have told about the platform's store, without I/O or clock."""

from collections import deque
from enum import Enum

from dotterelstand.process.discovery.registry import SHARED_KINDS, Kind

# Seconds for which a relay is trusted after it said that the store answers. A change must be in
# force 2 s after the store accepted it, also if the relay lost the store just before.
RELAY_STATE_TTL_S = 1.2
# Changes of one kind that are kept until this host has read them; a host that missed more watches
# the store itself.
MAX_CHANGES = 64


class RelayStatus(Enum):
    """How far a host may rely on the relays for one kind."""

    # No change is missing as long as a relay is trusted.
    CURRENT = "current"
    # A relay knows changes that this host has not been told.
    BEHIND = "behind"
    # The relays say that the store does not answer them.
    LOST = "lost"
    # No relay has said anything lately.
    SILENT = "silent"


class SharedChanges:
    """Changes after one revision up to another, as the store sent them."""

    __slots__ = ("encoded", "from_revision", "to_revision")

    def __init__(self, from_revision: int, to_revision: int, encoded: bytes) -> None:
        self.from_revision = from_revision
        self.to_revision = to_revision
        self.encoded = encoded


class _RelayState:
    """Last state that one relay told, and until when it is believed."""

    __slots__ = ("expires_at", "revisions", "store_answers")

    def __init__(self, store_answers: bool, revisions: dict[Kind, int], expires_at: float) -> None:
        self.store_answers = store_answers
        self.revisions = revisions
        self.expires_at = expires_at


class RelayView:
    """Changes and states told by relays; the time is passed in, in seconds."""

    __slots__ = ("_changes", "_states")

    def __init__(self, now: float) -> None:
        # A host that has just started waits for the relays before it watches the store itself.
        start = _RelayState(True, dict.fromkeys(SHARED_KINDS, 0), now + RELAY_STATE_TTL_S)
        self._states: dict[str, _RelayState] = {"": start}
        self._changes: dict[Kind, deque[SharedChanges]] = {
            kind: deque(maxlen=MAX_CHANGES) for kind in SHARED_KINDS
        }

    def add_changes(self, kind: Kind, changes: SharedChanges) -> None:
        """Keep changes that a relay told."""
        self._changes[kind].append(changes)

    def update_state(
        self, relay: str, store_answers: bool, revisions: dict[Kind, int], now: float
    ) -> None:
        """Keep the state that a relay told."""
        self._states = {
            host: state for host, state in self._states.items() if state.expires_at > now
        }
        self._states[relay] = _RelayState(store_answers, revisions, now + RELAY_STATE_TTL_S)

    def changes_after(self, kind: Kind, revision: int) -> list[SharedChanges]:
        """Kept changes that lead on from a revision without a gap, in order."""
        chain: list[SharedChanges] = []
        while True:
            candidates = [
                item
                for item in self._changes[kind]
                if item.from_revision <= revision < item.to_revision
            ]
            if not candidates:
                return chain
            chain.append(max(candidates, key=lambda item: item.to_revision))
            revision = chain[-1].to_revision

    def is_store_lost(self, now: float) -> bool:
        """Whether relays speak and none of them reaches the store."""
        states = [state for state in self._states.values() if state.expires_at > now]
        return bool(states) and not any(state.store_answers for state in states)

    def status(self, kind: Kind, revision: int, now: float) -> RelayStatus:
        """How far a host whose knowledge reflects a revision may rely on the relays."""
        if self.is_store_lost(now):
            return RelayStatus.LOST
        trusted = [
            state
            for state in self._states.values()
            if state.store_answers and state.expires_at > now
        ]
        if not trusted:
            return RelayStatus.SILENT
        if max(state.revisions[kind] for state in trusted) > revision:
            return RelayStatus.BEHIND
        return RelayStatus.CURRENT

    def trust_expires_at(self, now: float) -> float:
        """Time at which the last trusted relay is no longer trusted."""
        return max(
            (state.expires_at for state in self._states.values() if state.store_answers),
            default=now,
        )
