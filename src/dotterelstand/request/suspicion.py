"""Whether one request may run again although targets crashed while they ran it."""

from collections.abc import Sequence

import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.bodyerror import BodyError
from dotterelstand.request.attempt import Attempt
from dotterelstand.request.body import RequestBody
from dotterelstand.request.context import RequestContext
from dotterelstand.request.head import RequestHead, head_digest
from dotterelstand.request.interfaces import Admission
from dotterelstand.version.model import Service

# Seconds allowed for reading the rest of the body, which the fingerprint of a strike covers.
STRIKE_BODY_WAIT_S = 1.0


class RequestSuspicion:
    """Admissions of one request and the strikes that its attempts give it."""

    __slots__ = ("_admission", "_body", "_context", "_digest", "_judged_targets", "_lost_targets")

    def __init__(self, head: RequestHead, body: RequestBody, context: RequestContext) -> None:
        self._digest = head_digest(head)
        self._body = body
        self._context = context
        self._admission: Admission | None = None
        # Targets whose lost connection was judged, and those of them that crashed.
        self._judged_targets: set[str] = set()
        self._lost_targets: set[str] = set()

    @property
    def was_admitted(self) -> bool:
        """Whether the request had strikes before its current attempt and was allowed to run."""
        return self._admission is not None and self._admission.is_suspect

    @property
    def is_trial(self) -> bool:
        """Whether the request is in quarantine and may run only on a target that it crashed."""
        return self._admission is not None and self._admission.trial

    @property
    def may_repeat_crashed(self) -> bool:
        """Whether a suspect request may run on a target that it crashed if there is no other."""
        return not self.is_trial and bool(self._admission and self._admission.lost_targets)

    def targets_to_avoid(self, service: Service) -> frozenset[str]:
        """Names of targets that the next attempt avoids, as of its admission.

        These are the targets that the request crashed or, in a trial run, all others.
        """
        lost = frozenset() if self._admission is None else self._admission.lost_targets
        if self.is_trial:
            return frozenset(target.name for target in service.targets) - lost
        return lost

    async def admit(self) -> bool:
        """Decide before an attempt whether the request may run. Raises `BodyError`."""
        self.end_run()
        if not self._context.suspects.has_strikes(self._digest):
            return True
        await self._body.fill()
        self._admission = await self._context.suspects.admit(self._fingerprint())
        return self._admission.allowed

    def end_run(self) -> None:
        """Report the end of an admitted run, if there is one."""
        if self._admission is not None:
            self._context.suspects.end_run(self._admission)
            self._admission = None

    async def record_strikes(self, attempts: Sequence[Attempt], until: float) -> None:
        """Record a strike for each target that crashed while it ran the request.

        Each lost connection is judged first, which takes a few round trips to its target, and ends
        at `until` (seconds).
        """
        lost = (ResultCode.CONNECTION_LOST, ResultCode.ANSWER_TRUNCATED)
        for item in list(attempts):
            name = item.target
            if item.failure in lost and item.send_started and name not in self._judged_targets:
                self._judged_targets.add(name)
                await self._judge_loss(item, until)

    def note_success(self) -> None:
        """Note that the request succeeded, which removes its strikes."""
        self._context.suspects.note_success(self._fingerprint())

    async def _judge_loss(self, attempt: Attempt, until: float) -> None:
        # The deadline or a disconnecting caller must not cancel the strike.
        with trio.CancelScope(shield=True) as scope:
            limit = trio.current_time() + STRIKE_BODY_WAIT_S
            scope.deadline = min(limit, self._context.stop_plan.last_answer_s)
            try:
                await self._body.fill()
            except BodyError:
                # The fingerprint then covers the part of the body that was received.
                pass
        # A hedged request that crashed both targets is as suspect as a retried request.
        suspect = bool(self._lost_targets)
        suspect |= self._admission is not None and self._admission.is_suspect
        service, target = attempt.destination
        with trio.CancelScope(shield=True):
            crashed = await self._context.suspects.judge_loss(
                self._fingerprint(), service, target, suspect, until
            )
        if crashed:
            self._lost_targets.add(target.name)
            self._context.metrics.count("requests.strikes")

    def _fingerprint(self) -> bytes:
        return self._digest + self._body.digest()
