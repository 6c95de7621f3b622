"""Whether one request may run again although targets crashed while they ran it."""

from collections.abc import Sequence

import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.callerrequest import BodyError
from dotterelstand.request.attempt import Attempt
from dotterelstand.request.body import RequestBody
from dotterelstand.request.context import RequestContext
from dotterelstand.request.head import RequestHead, head_digest
from dotterelstand.request.interfaces import Admission

# Seconds allowed for reading the rest of the body, which the fingerprint of a strike covers.
STRIKE_BODY_WAIT_S = 1.0


class RequestSuspicion:
    """Admissions of one request and the strikes that its attempts give it."""

    __slots__ = ("_admission", "_body", "_context", "_digest", "_lost_targets")

    def __init__(self, head: RequestHead, body: RequestBody, context: RequestContext) -> None:
        self._digest = head_digest(head)
        self._body = body
        self._context = context
        self._admission: Admission | None = None
        self._lost_targets: set[str] = set()

    @property
    def was_admitted(self) -> bool:
        """Whether the request had strikes before its current attempt and was allowed to run."""
        return self._admission is not None

    @property
    def targets_to_avoid(self) -> frozenset[str]:
        """Names of the targets that crashed while they ran the request, as of its admission."""
        return frozenset() if self._admission is None else self._admission.lost_targets

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

    async def record_strikes(self, attempts: Sequence[Attempt]) -> None:
        """Record a strike for each target whose connection was lost while it ran the request."""
        lost = (ResultCode.CONNECTION_LOST, ResultCode.ANSWER_TRUNCATED)
        for item in list(attempts):
            if item.failure in lost and item.send_started and item.target not in self._lost_targets:
                self._lost_targets.add(item.target)
                self._context.metrics.count("requests.strikes")
                await self._record_strike(item.target)

    def clear_strikes(self) -> None:
        """Remove the strikes of the request after it succeeded."""
        if self._context.suspects.has_strikes(self._digest):
            self._context.suspects.clear_strikes(self._fingerprint())

    async def _record_strike(self, target: str) -> None:
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
        suspect = len(self._lost_targets) > 1
        suspect |= self._admission is not None and self._admission.is_suspect
        with trio.CancelScope(shield=True):
            await self._context.suspects.record_strike(self._fingerprint(), target, suspect)

    def _fingerprint(self) -> bytes:
        return self._digest + self._body.digest()
