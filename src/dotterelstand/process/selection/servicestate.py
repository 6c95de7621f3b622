"""What one entry host knows of one service's selection."""

from dotterelstand.process.selection.dispatcher import Dispatcher
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.queue import CallKey
from dotterelstand.version.document import Service

# Smoothing of the dispatcher's answer time, as in RFC 6298.
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_MULTIPLE = 4.0
INITIAL_ANSWER_TIME_S = 0.005
# Unanswered requests in a row, and seconds without any answer, after which the dispatcher counts as
# silent; a long queue alone keeps answering other calls.
SILENT_AFTER_TIMEOUTS = 3
SILENT_AFTER_S = 0.05
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0


class AnswerTime:
    """Usual wait for a dispatcher's answer, in seconds, and whether it is silent."""

    __slots__ = (
        "_deviation_s",
        "_grace_s",
        "_mean_s",
        "_paused_until",
        "_silences",
        "_unanswered",
        "_unanswered_since",
    )

    def __init__(self, grace_s: float) -> None:
        self._grace_s = grace_s
        self._mean_s = INITIAL_ANSWER_TIME_S
        self._deviation_s = INITIAL_ANSWER_TIME_S / 2
        self._unanswered = 0
        self._unanswered_since = 0.0
        self._silences = 0
        self._paused_until = 0.0

    @property
    def timeout_s(self) -> float:
        """Longest time to wait for an answer."""
        return self._mean_s + DEVIATION_MULTIPLE * self._deviation_s + self._grace_s

    @property
    def silent(self) -> bool:
        """Whether the dispatcher counts as silent until it answers."""
        return self._silences > 0

    def is_paused(self, now: float) -> bool:
        """Whether requests are not worth sending at present."""
        return now < self._paused_until

    def update(self, wait_s: float) -> None:
        """Learn from an answer."""
        self._unanswered = 0
        self._silences = 0
        self._deviation_s += DEVIATION_WEIGHT * (abs(wait_s - self._mean_s) - self._deviation_s)
        self._mean_s += MEAN_WEIGHT * (wait_s - self._mean_s)

    def record_timeout(self, now: float) -> None:
        """Learn from a missing answer; a silence doubles up to one second."""
        if not self._unanswered:
            self._unanswered_since = now - self.timeout_s
        self._unanswered += 1
        # The true wait is unknown but longer, so the limit grows until answers arrive again.
        self._deviation_s = min(2 * self._deviation_s, INITIAL_ANSWER_TIME_S)
        unanswered_s = now - self._unanswered_since
        if self._unanswered >= SILENT_AFTER_TIMEOUTS and unanswered_s >= SILENT_AFTER_S:
            self._paused_until = now + min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self._silences)
            self._silences = min(10, self._silences + 1)


class ServiceState:
    """One service: local decisions, those for its region, and the dispatcher's answer time."""

    __slots__ = ("answer_time", "local", "logged_silent", "regional", "service")

    def __init__(self, service: Service, local: Dispatcher, regional: Dispatcher, grace_s: float):
        self.service = service
        self.local = local
        self.regional = regional
        self.answer_time = AnswerTime(grace_s)
        self.logged_silent = False

    def update_service(self, service: Service, now: float) -> None:
        """Follow a new version of the service."""
        if service is not self.service:
            self.service = service
            self.local.replace_service(service, now)
            self.regional.replace_service(service, now)

    def cancel_wait(self, key: CallKey, now: float) -> None:
        """A call that waits gives up."""
        for dispatcher in (self.regional, self.local):
            decisions = dispatcher.finish(key, AttemptOutcome.CANCELLED, 0.0, None, now)
            assert not decisions, "a waiting call held a slot"

    def restrict_to_region(self, classes: frozenset[int]) -> None:
        """Calls of these classes are not sent to other regions."""
        self.local.region_only_classes = self.regional.region_only_classes = classes

    def mark_leaving(self, target: str) -> None:
        """Give a target no new work."""
        self.local.mark_leaving(target)
        self.regional.mark_leaving(target)

    def mark_returned(self, target: str) -> None:
        """A leaving target is live again."""
        self.local.mark_returned(target)
        self.regional.mark_returned(target)
