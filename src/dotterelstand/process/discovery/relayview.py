"""What the relays of a region have told about the platform's store, without I/O or clock."""

from collections import deque
from enum import Enum

from dotterelstand.process.discovery.registry import SHARED_KINDS, Kind

# Seconds for which a relay is trusted after it said that the store answers. A change must be in
# force 2 s after the store accepted it, also if the relay lost the store just before.
TRUST_S = 1.2
# Changes of one kind that are kept until this host has read them; a host that missed more watches
# the store itself.
MAX_CHANGES = 64


class Standing(Enum):
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

    __slots__ = ("encoded", "since", "until")

    def __init__(self, since: int, until: int, encoded: bytes) -> None:
        self.since = since
        self.until = until
        self.encoded = encoded


class _RelayState:
    """Last state that one relay told, and until when it is believed."""

    __slots__ = ("answers", "revisions", "until")

    def __init__(self, answers: bool, revisions: dict[Kind, int], until: float) -> None:
        self.answers = answers
        self.revisions = revisions
        self.until = until


class RelayView:
    """Changes and states told by relays; the time is passed in, in seconds."""

    __slots__ = ("_changes", "_states")

    def __init__(self, now: float) -> None:
        # A host that has just started waits for the relays before it watches the store itself.
        start = _RelayState(True, dict.fromkeys(SHARED_KINDS, 0), now + TRUST_S)
        self._states: dict[str, _RelayState] = {"": start}
        self._changes: dict[Kind, deque[SharedChanges]] = {
            kind: deque(maxlen=MAX_CHANGES) for kind in SHARED_KINDS
        }

    def note_changes(self, kind: Kind, changes: SharedChanges) -> None:
        """Keep changes that a relay told."""
        self._changes[kind].append(changes)

    def note_state(self, relay: str, answers: bool, revisions: dict[Kind, int], now: float) -> None:
        """Keep the state that a relay told."""
        self._states = {host: state for host, state in self._states.items() if state.until > now}
        self._states[relay] = _RelayState(answers, revisions, now + TRUST_S)

    def changes_after(self, kind: Kind, revision: int) -> list[SharedChanges]:
        """Kept changes that lead on from a revision without a gap, in order."""
        chain: list[SharedChanges] = []
        while True:
            fitting = [item for item in self._changes[kind] if item.since <= revision < item.until]
            if not fitting:
                return chain
            chain.append(max(fitting, key=lambda item: item.until))
            revision = chain[-1].until

    def is_lost(self, now: float) -> bool:
        """Whether relays speak and none of them reaches the store."""
        states = [state for state in self._states.values() if state.until > now]
        return bool(states) and not any(state.answers for state in states)

    def standing(self, kind: Kind, revision: int, now: float) -> Standing:
        """How far a host whose knowledge reflects a revision may rely on the relays."""
        if self.is_lost(now):
            return Standing.LOST
        trusted = [state for state in self._states.values() if state.answers and state.until > now]
        if not trusted:
            return Standing.SILENT
        if max(state.revisions[kind] for state in trusted) > revision:
            return Standing.BEHIND
        return Standing.CURRENT

    def believed_until(self, now: float) -> float:
        """Time at which the last trusted relay is no longer trusted."""
        return max((state.until for state in self._states.values() if state.answers), default=now)
