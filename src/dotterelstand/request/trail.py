"""Decisions on one request, buffered until it is known whether the request is logged."""

import math

import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.events import Event, log
from dotterelstand.process.selection.outcome import SlotGrant
from dotterelstand.request.attempt import Attempt
from dotterelstand.request.logfields import logged_id
from dotterelstand.request.policy import RetryDecision, RetryInputs

# Maximum number of decisions kept for one request. The limit on attempts keeps requests below it.
MAX_DECISIONS = 24


class _LoggedDecision:
    """One decision with its inputs, made `after_s` seconds after the request began."""

    __slots__ = ("after_s", "event", "fields")

    def __init__(self, event: Event, after_s: float, fields: dict[str, object]) -> None:
        self.event = event
        self.after_s = after_s
        self.fields = fields


class DecisionTrail:
    """Buffered log lines about the decisions on one request."""

    __slots__ = ("_attempts", "_began_s", "_decisions", "_ended", "request_id", "skipped_answers")

    def __init__(self, request_id: bytes | None) -> None:
        self.request_id = logged_id(request_id)
        self._began_s = trio.current_time()
        self._decisions: list[_LoggedDecision] = []
        self._attempts: list[Attempt] = []
        # Attempts whose end was recorded.
        self._ended: set[Attempt] = set()
        # Number of answers to other requests that were read instead of answers to this one.
        self.skipped_answers = 0

    @property
    def attempts(self) -> int:
        """Number of attempts for which a slot was granted."""
        return len(self._attempts)

    def note(self, event: Event, **fields: object) -> None:
        """Record one decision."""
        if len(self._decisions) < MAX_DECISIONS:
            after_s = trio.current_time() - self._began_s
            self._decisions.append(_LoggedDecision(event, after_s, fields))

    def note_grant(self, attempt: Attempt, grant: SlotGrant, remaining_s: float) -> None:
        """Record the granted target and its state as seen by this host."""
        self._attempts.append(attempt)
        inputs = grant.target_snapshot
        self.note(
            Event.SLOT_GRANTED,
            attempt=self.attempts,
            target=grant.target.name,
            zone=grant.target.availability_zone,
            by=grant.granted_by,
            in_flight=inputs.in_flight,
            pace=inputs.slowdown,
            report_age_ms=None if inputs.report_age_s is None else _ms(inputs.report_age_s),
            remaining_ms=_ms(remaining_s),
        )

    def note_slot_refusal(
        self, code: ResultCode, excluded: frozenset[str], remaining_s: float
    ) -> None:
        """Record the reason why no target was chosen."""
        self.note(
            Event.SLOT_REFUSED,
            code=int(code),
            excluded=sorted(excluded),
            remaining_ms=_ms(remaining_s),
        )

    def note_access(self, reason: str) -> None:
        """Record why the request was not permitted."""
        self.note(Event.ACCESS_REFUSED, reason=reason)

    def note_quarantined(self, fingerprint: bytes) -> None:
        """Record that the request was not admitted, since it may crash targets."""
        self.note(
            Event.SLOT_REFUSED, code=int(ResultCode.QUARANTINED), fingerprint=fingerprint.hex()
        )

    def note_end(self, attempt: Attempt) -> None:
        """Record the result of an attempt; repeated calls have no effect."""
        if attempt in self._ended:
            return
        self._ended.add(attempt)
        for answered_id in attempt.skipped:
            self.skipped_answers += 1
            self.note(
                Event.ANSWER_SKIPPED,
                attempt=self._attempts.index(attempt) + 1,
                target=attempt.target,
                answered_id=answered_id,
            )
        answer = attempt.answer
        self.note(
            Event.ATTEMPT_ENDED,
            attempt=self._attempts.index(attempt) + 1,
            target=attempt.target,
            failure=None if attempt.failure is None else int(attempt.failure),
            status=None if answer is None else answer.status,
            refused=answer is not None and answer.is_refusal(),
            sent=attempt.send_started,
            whole=attempt.whole_sent,
            named=attempt.answer_names_request,
        )

    def note_retry(self, decision: RetryDecision, inputs: RetryInputs) -> None:
        """Record whether a failed attempt is retried."""
        self.note(
            Event.RETRY_DECIDED,
            decision=decision.value,
            attempts=inputs.attempts,
            may_have_run=inputs.may_have_run,
            remaining_ms=_ms(inputs.remaining_s),
        )

    def note_hedge(self, decision: str, median_s: float, remaining_s: float) -> None:
        """Record whether a hedged attempt was started."""
        self.note(
            Event.HEDGE_DECIDED,
            decision=decision,
            target_slow=self._attempts[0].target_slow,
            usual_ms=_ms(median_s),
            remaining_ms=_ms(remaining_s),
        )

    def write(self) -> None:
        """Write the buffered decisions as log lines with the request id."""
        for decision in self._decisions:
            after_ms = round(decision.after_s * 1000, 1)
            log(decision.event, id=self.request_id, after_ms=after_ms, **decision.fields)
        self._decisions.clear()


def _ms(seconds: float) -> float | None:
    """Milliseconds for a log line; None for an infinite value."""
    return None if math.isinf(seconds) else round(seconds * 1000, 1)
