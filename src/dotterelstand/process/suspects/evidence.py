"""Decides from contacts with a target whether a lost connection shows its crash; no I/O."""

import math
from enum import Enum

# Checks of one target start at least this many seconds apart, however many connections are lost.
CHECK_INTERVAL_S = 0.02
# Targets that one host checks or is about to check at a time.
MAX_CHECKS = 64
# Seconds between two contacts if the first was accepted and closed: a process that ends may close
# its connections before its port.
SECOND_CONTACT_AFTER_S = 0.02
# Contacts of one check.
MAX_CONTACTS = 2
# Seconds for which a success of a request speaks against its crashing targets.
SUCCESS_MEMORY_S = 10.0
# Log lines per second on losses that do not count.
MAX_LINES_PER_S = 20


class Contact(Enum):
    """Result of one new connection to a target."""

    ANSWERED = 0
    OTHER = 1
    OPEN = 2
    CLOSED = 3
    REFUSED = 4
    SILENT = 5


class Evidence(Enum):
    """What is known of a target after it closed a connection that carried a request."""

    # It answers another connection, which was opened after the loss.
    ANSWERS = "answers"
    # It accepts connections but has not answered on them: it closed two, or left one open.
    ACCEPTS = "accepts"
    # It is known to be leaving, or the document in force no longer lists it.
    LEAVING = "leaving"
    REMOVED = "removed"
    # The document lists a later start of it, or another target has its address.
    RESTARTED = "restarted"
    REPLACED = "replaced"
    REFUSED = "refused"
    SILENT = "silent"
    # Too many targets were being checked, or the check failed.
    UNCHECKED = "unchecked"

    def excuses(self, succeeded: bool) -> bool:
        """Whether the loss of the connection does not count as a crash.

        `succeeded` tells that a copy of the request has succeeded lately, which one that crashes
        targets never does. Without that, a target must have answered: the port of a crashed one may
        be open, for example because a proxy stands before it.
        """
        return self in _EXCUSES or (succeeded and self in _WEAK_EXCUSES)


_EXCUSES = frozenset({Evidence.ANSWERS, Evidence.LEAVING, Evidence.REMOVED})
_WEAK_EXCUSES = frozenset({Evidence.ACCEPTS, Evidence.SILENT, Evidence.UNCHECKED})
_OF_CONTACT = {
    Contact.ANSWERED: Evidence.ANSWERS,
    Contact.OTHER: Evidence.REPLACED,
    Contact.OPEN: Evidence.ACCEPTS,
    Contact.REFUSED: Evidence.REFUSED,
    Contact.SILENT: Evidence.SILENT,
}


def judge_contacts(contacts: list[Contact]) -> Evidence | None:
    """Evidence from the contacts of one check, in order; None if another contact is needed.

    A target that resets connections when it is full may reset a health check as well. The port of a
    process that has ended is closed, so a second connection is refused.
    """
    last = contacts[-1] if contacts else Contact.CLOSED
    if last is not Contact.CLOSED:
        return _OF_CONTACT[last]
    return Evidence.ACCEPTS if len(contacts) >= MAX_CONTACTS else None


class PlannedCheck:
    """Check of one target for all connections that it closes until `starts_at` (seconds)."""

    __slots__ = ("evidence", "starts_at", "target")

    def __init__(self, target: str, starts_at: float) -> None:
        self.target = target
        self.starts_at = starts_at
        self.evidence = Evidence.UNCHECKED


class CheckPlan:
    """Plans one check per target and burst of losses.

    A check tells about losses before its start. A loss during a check is therefore left to the next
    one, which starts `CHECK_INTERVAL_S` after the start of the one before.
    """

    __slots__ = ("_last_starts", "_open", "_waiting")

    def __init__(self) -> None:
        self._waiting: dict[str, PlannedCheck] = {}
        self._last_starts: dict[str, float] = {}
        # Number of checks that have not ended.
        self._open = 0

    def waiting(self, target: str) -> PlannedCheck | None:
        """Check of a target that has not started yet."""
        return self._waiting.get(target)

    def plan(self, target: str, now: float) -> PlannedCheck | None:
        """Plan a check; `start` and `end` must be called for it. None if there are too many."""
        assert target not in self._waiting, f"{target} has a planned check"
        if self._open >= MAX_CHECKS:
            return None
        self._open += 1
        earliest = self._last_starts.get(target, -CHECK_INTERVAL_S) + CHECK_INTERVAL_S
        check = self._waiting[target] = PlannedCheck(target, max(now, earliest))
        return check

    def start(self, check: PlannedCheck, now: float) -> None:
        """Start a check; later losses are left to the next one."""
        del self._waiting[check.target]
        recent = now - CHECK_INTERVAL_S
        self._last_starts = {name: at for name, at in self._last_starts.items() if at > recent}
        self._last_starts[check.target] = now

    def end(self, check: PlannedCheck) -> None:
        """Note the end of a check, whether or not it was started."""
        if self._waiting.get(check.target) is check:
            del self._waiting[check.target]
        self._open -= 1
        assert self._open >= 0, "a check ended twice"


class RecentSuccesses:
    """Fingerprints of the requests that succeeded lately on this host; the oldest is forgotten."""

    __slots__ = ("_max_entries", "_times")

    def __init__(self, max_entries: int) -> None:
        self._max_entries = max_entries
        # Time of the last success of each fingerprint, oldest first.
        self._times: dict[bytes, float] = {}

    def note(self, fingerprint: bytes, now: float) -> None:
        """Note a success."""
        self._times.pop(fingerprint, None)
        if len(self._times) >= self._max_entries:
            del self._times[next(iter(self._times))]
        self._times[fingerprint] = now

    def knows(self, fingerprint: bytes, now: float) -> bool:
        """Whether a request succeeded in the last `SUCCESS_MEMORY_S` seconds."""
        return now - self._times.get(fingerprint, -math.inf) <= SUCCESS_MEMORY_S


class LossLines:
    """Limits the log lines on losses that do not count."""

    __slots__ = ("_left_out", "_second", "_written")

    def __init__(self) -> None:
        self._second = -1
        self._written = 0
        self._left_out = 0

    def next_line(self, now: float) -> int | None:
        """Number of losses left out since the last line; None if this one is left out too."""
        if int(now) != self._second:
            self._second, self._written = int(now), 0
        if self._written >= MAX_LINES_PER_S:
            self._left_out += 1
            return None
        self._written += 1
        left_out, self._left_out = self._left_out, 0
        return left_out
