"""State of the platform's store as reported by the relays of a region, without I/O or clock."""

from collections import deque
from enum import Enum

from dotterelstand.process.discovery.registry import ALL_RELAYED_KINDS, Kind

# Seconds for which a relay's report on the store stays valid. A change must be in force 2 s after
# the store accepted it, even if the relay lost contact with the store just before.
RELAY_STATE_TTL_S = 1.2
# Maximum number of messages with changes that are kept for each kind of object; the oldest are
# dropped. A host that misses changes for this reason watches the store itself.
MAX_CHANGES = 16


class RelayStatus(Enum):
    """Whether a host can rely on the relays for one kind of object."""

    # A relay has a valid report, and this host has all changes up to its revision.
    CURRENT = "current"
    # A relay reports changes that this host has not received.
    BEHIND = "behind"
    # The relays report that the store doesn't answer them.
    LOST = "lost"
    # No relay has a valid report.
    SILENT = "silent"


class RelayedChanges:
    """Changes after `from_revision` up to `to_revision`; `encoded` is compressed."""

    __slots__ = ("encoded", "from_revision", "to_revision")

    def __init__(self, from_revision: int, to_revision: int, encoded: bytes) -> None:
        self.from_revision = from_revision
        self.to_revision = to_revision
        self.encoded = encoded


class _RelayState:
    """Last report of one relay, and its expiry time."""

    __slots__ = ("expires_at", "revisions", "store_answers")

    def __init__(self, store_answers: bool, revisions: dict[Kind, int], expires_at: float) -> None:
        self.store_answers = store_answers
        self.revisions = revisions
        self.expires_at = expires_at


class RelayView:
    """Changes and reports received from relays; methods take the current time in seconds."""

    __slots__ = ("_changes", "_states")

    def __init__(self, now: float) -> None:
        self._states: dict[str, _RelayState] = {}
        self.await_reports(now)
        self._changes: dict[Kind, deque[RelayedChanges]] = {
            kind: deque(maxlen=MAX_CHANGES) for kind in ALL_RELAYED_KINDS
        }

    def await_reports(self, now: float) -> None:
        """Let a starting host wait for the relays before it watches the store."""
        self.update_state("", True, dict.fromkeys(ALL_RELAYED_KINDS, 0), now)

    def add_changes(self, kind: Kind, changes: RelayedChanges) -> None:
        """Store changes received from a relay."""
        self._changes[kind].append(changes)

    def update_state(
        self, relay: str, store_answers: bool, revisions: dict[Kind, int], now: float
    ) -> None:
        """Store the report of a relay on some kinds; its revisions of the others stay valid."""
        self._states = {
            host: state for host, state in self._states.items() if state.expires_at > now
        }
        previous = self._states.get(relay)
        if previous is not None:
            revisions = {**previous.revisions, **revisions}
        self._states[relay] = _RelayState(store_answers, revisions, now + RELAY_STATE_TTL_S)

    def changes_after(self, kind: Kind, revision: int) -> list[RelayedChanges]:
        """Stored changes that continue from a revision without a gap, in order."""
        consecutive: list[RelayedChanges] = []
        while True:
            candidates = [
                item
                for item in self._changes[kind]
                if item.from_revision <= revision < item.to_revision
            ]
            if not candidates:
                return consecutive
            consecutive.append(max(candidates, key=lambda item: item.to_revision))
            revision = consecutive[-1].to_revision

    def reports_failure(self, relay: str, now: float) -> bool:
        """Whether a relay has a valid report that the store doesn't answer it."""
        state = self._states.get(relay)
        return state is not None and state.expires_at > now and not state.store_answers

    def is_store_unreachable(self, now: float) -> bool:
        """Whether there are valid reports and all of them say that the store doesn't answer."""
        states = [state for state in self._states.values() if state.expires_at > now]
        return bool(states) and not any(state.store_answers for state in states)

    def status(self, kind: Kind, revision: int, now: float) -> RelayStatus:
        """Whether a host that has all changes up to a revision can rely on the relays."""
        if self.is_store_unreachable(now):
            return RelayStatus.LOST
        reliable = [
            state
            for state in self._states.values()
            if state.store_answers and state.expires_at > now and kind in state.revisions
        ]
        if not reliable:
            return RelayStatus.SILENT
        if max(state.revisions[kind] for state in reliable) > revision:
            return RelayStatus.BEHIND
        return RelayStatus.CURRENT

    def reports_expire_at(self, now: float) -> float:
        """Latest expiry time of a report that the store answers; `now` if there is none."""
        return max(
            (state.expires_at for state in self._states.values() if state.store_answers),
            default=now,
        )
