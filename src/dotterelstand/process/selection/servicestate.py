"""State of target selection for one service on one entry host."""

from dotterelstand.process.selection.dispatcher import Dispatcher
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.queue import CallKey
from dotterelstand.version.model import Service, Target

# Smoothing of the dispatcher's answer time, as in RFC 6298 for round-trip times.
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_MULTIPLE = 4.0
INITIAL_ANSWER_TIME_S = 0.005
# Consecutive timeouts, and seconds without any answer, after which the dispatcher counts as silent.
# A dispatcher that only has a long queue still answers other calls in this time.
SILENT_AFTER_TIMEOUTS = 3
SILENT_AFTER_S = 0.05
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0


class AnswerTimeEstimator:
    """Estimates a dispatcher's answer time in seconds and detects a silent dispatcher."""

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
        """Time in seconds after which an answer counts as missing."""
        return self._mean_s + DEVIATION_MULTIPLE * self._deviation_s + self._grace_s

    @property
    def silent(self) -> bool:
        """Whether the dispatcher counts as silent, which lasts until its next answer."""
        return self._silences > 0

    def is_paused(self, now: float) -> bool:
        """Whether requests to the silent dispatcher are paused at `now`."""
        return now < self._paused_until

    def update(self, answer_time_s: float) -> None:
        """Update the estimate with the answer time of a request."""
        self._unanswered = 0
        self._silences = 0
        self._deviation_s += DEVIATION_WEIGHT * (
            abs(answer_time_s - self._mean_s) - self._deviation_s
        )
        self._mean_s += MEAN_WEIGHT * (answer_time_s - self._mean_s)

    def record_timeout(self, now: float) -> None:
        """Count a missing answer; pause requests to a silent dispatcher.

        The pause doubles with each further timeout, up to `MAX_PAUSE_S`.
        """
        if not self._unanswered:
            self._unanswered_since = now - self.timeout_s
        self._unanswered += 1
        # The true answer time is longer than the timeout, so the timeout grows until an answer
        # arrives.
        self._deviation_s = min(2 * self._deviation_s, INITIAL_ANSWER_TIME_S)
        unanswered_s = now - self._unanswered_since
        if self._unanswered >= SILENT_AFTER_TIMEOUTS and unanswered_s >= SILENT_AFTER_S:
            self._paused_until = now + min(MAX_PAUSE_S, FIRST_PAUSE_S * 2**self._silences)
            self._silences = min(10, self._silences + 1)


class ServiceState:
    """State of one service.

    `local` chooses targets without a dispatcher, `regional` is used if this host dispatches the
    service for the region, and `answer_time` is that of a dispatcher on another host.
    """

    __slots__ = ("answer_time", "local", "logged_silent", "regional", "service")

    def __init__(self, service: Service, local: Dispatcher, regional: Dispatcher, grace_s: float):
        self.service = service
        self.local = local
        self.regional = regional
        self.answer_time = AnswerTimeEstimator(grace_s)
        self.logged_silent = False

    @property
    def queued_calls(self) -> int:
        """Number of calls in the queues of both dispatchers."""
        return self.regional.queued_calls + self.local.queued_calls

    def update_service(self, service: Service, now: float) -> bool:
        """Apply a new version of the service; False if it is the same."""
        if service is self.service:
            return False
        self.service = service
        self.local.replace_service(service, now)
        self.regional.replace_service(service, now)
        return True

    def incarnation_of(self, target: str) -> int:
        """Incarnation of a target of the service, 0 if it is unknown."""
        return self.local.incarnation_of(target)

    def cancel_wait(self, key: CallKey, now: float) -> None:
        """Remove a waiting call from the queues."""
        for dispatcher in (self.regional, self.local):
            decisions = dispatcher.finish(key, AttemptOutcome.CANCELLED, 0.0, None, now)
            assert not decisions, "a waiting call held a slot"

    def restrict_to_region(self, classes: frozenset[int]) -> None:
        """Never send calls of these classes to other regions."""
        self.local.region_only_classes = self.regional.region_only_classes = classes

    def set_paces_cold(self, paces: bool, now: float) -> None:
        """Set whether this host sends requests to cold targets while it is the dispatcher."""
        self.regional.table.warmup.set_paces(paces, now)

    def record_warmup(self, target: Target, remaining_s: float, now: float) -> bool:
        """Record the remaining warm-up time of a target of this region.

        Returns True if the target's report turned cold or warm.
        """
        self.local.table.warmup.report(target, remaining_s, now)
        return self.regional.table.warmup.report(target, remaining_s, now)

    def mark_leaving(self, target: str, incarnation: int) -> None:
        """Give a target no new work."""
        self.local.mark_leaving(target, incarnation)
        self.regional.mark_leaving(target, incarnation)

    def mark_returned(self, target: str) -> None:
        """Let a leaving target take new work again."""
        self.local.mark_returned(target)
        self.regional.mark_returned(target)
