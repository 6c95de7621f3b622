"""One call, from its checked head to the end of its answer."""

import math

import trio
from returns.pipeline import is_successful
from returns.result import Result

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.callerrequest import BodyError, CallerRequest
from dotterelstand.process.selection.outcome import AttemptOutcome, SlotCall, SlotGrant
from dotterelstand.request.attempt import AT_ONCE_BYTES, Attempt, AttemptSetup
from dotterelstand.request.body import RequestBody
from dotterelstand.request.context import RequestContext
from dotterelstand.request.ending import Ending
from dotterelstand.request.head import RequestHead, head_digest
from dotterelstand.request.keyed import KeyedRun
from dotterelstand.request.policy import (
    LATE_MULTIPLE,
    Failed,
    RetryDecision,
    ServicePolicy,
    can_finish,
    decide_retry,
    hedge_delay_s,
)
from dotterelstand.request.ports import Admission
from dotterelstand.request.race import is_good, run_race
from dotterelstand.request.relay import Relay
from dotterelstand.version.document import Document, Route, Service

# Seconds that a strike waits for the rest of the held body, which is part of the fingerprint.
STRIKE_BODY_WAIT_S = 1.0
# Share of the route's deadline by which progress must move it before it is moved.
DEADLINE_STEP = 0.02


class Exchange:
    """Forwards one request to a target and its answer to the caller."""

    __slots__ = (
        "_admitted",
        "_attempts",
        "_began",
        "_body",
        "_caller",
        "_context",
        "_document",
        "_head",
        "_keyed",
        "_latest_end",
        "_policy",
        "_route",
        "_scope",
        "_service",
        "_setup",
        "_struck",
        "_trail",
        "ending",
    )

    def __init__(
        self,
        caller: CallerRequest,
        head: RequestHead,
        document: Document,
        route: Route,
        context: RequestContext,
    ) -> None:
        self._caller = caller
        self._head = head
        self._document = document
        self._route = route
        self._context = context
        self._service: Service = document.services[context.choose_service(route)]
        self._policy: ServicePolicy = context.policy(self._service)
        self._body = RequestBody(self._read_body, head.has_body(), context.limits.held_body_bytes)
        self._attempts: list[Attempt] = []
        self._admitted: Admission | None = None
        self._struck: set[str] = set()
        self._keyed: KeyedRun | None = None
        self._scope = trio.CancelScope()
        self._began = trio.current_time() if head.arrived_s is None else head.arrived_s
        limit_s = math.inf if head.deadline_s is None else head.deadline_s
        if route.timeout_s is not None:
            limit_s = min(limit_s, route.timeout_s)
        self._latest_end = self._began + limit_s
        self._setup = AttemptSetup(
            head,
            self._body,
            self._service,
            context.pool,
            context.slots,
            context.leaving,
            route.idempotent,
        )
        self.ending = Ending(route, head.tenant, head.request_id, document.number)
        self._trail = self.ending.trail

    async def run(self) -> ResultCode:
        """Serve the request and return the code with which it ended."""
        self._context.count_request(self._service)
        self._progress()
        self._caller.on_departure = self._scope.cancel
        code = None
        try:
            with self._scope:
                if self._caller.departed:
                    self._scope.cancel()
                code = await self._serve()
            code = self._interrupted_code() if code is None else code
        except BodyError as error:
            code = self._body_code(error.code)
        finally:
            self._caller.on_departure = None
            for attempt in self._attempts:
                self._trail.note_end(attempt)
                attempt.end(AttemptOutcome.CANCELLED)
            if self._admitted is not None:
                self._context.suspects.leave(self._admitted)
            final = code if code is not None else self._interrupted_code()
            if self._keyed is not None:
                self._keyed.finish(final)
        assert not (
            final.run is Execution.NOT_RUN and self._may_have_run()
        ), f"{final.name} says not run, but a byte was handed to a target"
        return final

    async def _serve(self) -> ResultCode:
        length = self._head.declared_length()
        if length is not None and length <= self._context.limits.held_body_bytes:
            # A slow caller must not occupy a slot while a short body arrives.
            await self._body.fill()
        journal = self._context.journal
        if journal is not None and self._head.key is not None and not self._route.idempotent:
            await self._body.fill()
            self._keyed = KeyedRun(journal, self._head, self._body, self._service.name)
            code = await self._keyed.begin(self._caller)
            if code is not None:
                return code
        elif self._head.key is None and self._route.key == "required":
            return ResultCode.KEY_REQUIRED
        last: ResultCode | None = None
        while True:
            if not await self._admit():
                return self._uncertain(last or ResultCode.QUARANTINED)
            attempt = await self._next_attempt()
            if isinstance(attempt, ResultCode):
                return self._uncertain(last or attempt)
            code, again = await self._try(attempt)
            if not again:
                return code
            last = code
            self._context.metrics.count("requests.retries")

    async def _next_attempt(self, spare: bool = False) -> Attempt | ResultCode:
        if not can_finish(self._remaining_s(), self._policy.times):
            return ResultCode.DEADLINE_TOO_SHORT
        excluded = frozenset(attempt.target for attempt in self._attempts)
        lost = frozenset[str]() if self._admitted is None else self._admitted.lost
        grant = await self._acquire(excluded | lost, spare)
        if lost and not is_successful(grant) and grant.failure() is ResultCode.NO_TARGET:
            # Without another target, a suspect proves itself where it was struck before.
            grant = await self._acquire(excluded, spare)
        if not is_successful(grant):
            self._trail.note_no_slot(grant.failure(), excluded | lost, self._remaining_s())
            return grant.failure()
        silent = any(other.failure is ResultCode.TARGET_SILENT for other in self._attempts)
        attempt = Attempt(self._setup, grant.unwrap(), self._scope.deadline, silent)
        self._attempts.append(attempt)
        self._trail.note_grant(attempt, grant.unwrap(), self._remaining_s())
        return attempt

    async def _acquire(
        self, excluded: frozenset[str], spare: bool
    ) -> Result[SlotGrant, ResultCode]:
        classes = self._document.classes
        last = len(classes) - 1
        klass = classes.index(self._route.klass) if self._route.klass in classes else last
        prompt_until: float | None = None
        if self._route.latency_s is not None:
            # A late call does not become prompt again by waiting longer.
            usual_s = self._policy.times.usual_s
            prompt_until = self._began + self._route.latency_s - LATE_MULTIPLE * usual_s
        call = SlotCall(
            klass, self._head.tenant, self._scope.deadline, excluded, spare, prompt_until
        )
        return await self._context.slots.acquire(self._service, call)

    async def _try(self, attempt: Attempt) -> tuple[ResultCode, bool]:
        """Run an attempt; the code of its end, and whether another attempt follows."""
        whole = self._body.complete and self._body.held_whole
        if whole and self._body.length <= AT_ONCE_BYTES:
            return await self._settle(await self._run_hedged(attempt))
        outcome: tuple[ResultCode, bool] | None = None
        async with trio.open_nursery() as nursery:
            attempt.on_body_error = nursery.cancel_scope.cancel
            nursery.start_soon(attempt.send_rest)
            await attempt.run()
            outcome = await self._settle(attempt)
            nursery.cancel_scope.cancel()
        if attempt.body_error is not None and not (outcome and outcome[0].run is Execution.RAN):
            return self._body_code(attempt.body_error), False
        assert outcome is not None
        return outcome

    async def _run_hedged(self, attempt: Attempt) -> Attempt:
        delay_s = hedge_delay_s(
            self._route.idempotent,
            self._service.hedge,
            self._remaining_s(),
            self._policy.times,
            self._latency_left_s(),
        )
        if delay_s is None:
            await attempt.run()
            return attempt
        return await run_race(attempt, delay_s, self._start_hedge)

    def _max_attempts(self) -> int:
        return self._route.attempts or self._context.limits.max_attempts

    def _counted_attempts(self) -> int:
        """Attempts that reached a target, and all beyond twice the number allowed."""
        reached = sum(attempt.handed for attempt in self._attempts)
        unreached = len(self._attempts) - reached
        return reached + max(0, unreached - self._max_attempts())

    async def _start_hedge(self) -> Attempt | None:
        if self._counted_attempts() >= self._max_attempts() or self._admitted is not None:
            return None
        budget = self._policy.budget
        if not budget.try_take(trio.current_time()):
            self._trail.note_hedge("budget_spent", self._policy.times.usual_s, self._remaining_s())
            return None
        attempt = await self._next_attempt(spare=True)
        if isinstance(attempt, ResultCode):
            budget.give_back()
            return None
        self._context.metrics.count("requests.hedges")
        self._trail.note_hedge("started", self._policy.times.usual_s, self._remaining_s())
        return attempt

    async def _settle(self, attempt: Attempt) -> tuple[ResultCode, bool]:
        if is_good(attempt):
            code = await self._relay(attempt)
        else:
            code = await self._failure_code(attempt)
        for other in self._attempts:
            if other is attempt or other.failure is not None:
                self._trail.note_end(other)
        if (
            self._caller.answer_started
            or code.run is Execution.RAN
            or code is ResultCode.CALLER_LEFT
        ):
            return code, False
        if self._decide_retry() is RetryDecision.RETRY:
            attempt.end(attempt.outcome())
            return code, True
        if attempt.failure is None and attempt.answer and not attempt.answer.is_refusal():
            # The target's own failure answer says more than any of ours.
            return await self._relay(attempt), False
        attempt.end(attempt.outcome())
        return self._uncertain(code), False

    async def _failure_code(self, attempt: Attempt) -> ResultCode:
        await self._strike_lost()
        if attempt.failure is not None:
            return attempt.failure
        assert attempt.answer is not None
        attempt_code = ResultCode.BAD_ANSWER
        if attempt.answer.is_refusal():
            attempt.drop_answer()
            attempt_code = ResultCode.TARGET_REFUSED
        return attempt_code

    async def _relay(self, attempt: Attempt) -> ResultCode:
        assert attempt.answer is not None
        max_kept = self._context.limits.max_recorded_bytes if self._keyed is not None else 0
        relay = Relay(self._caller, attempt.connection, max_kept, self._progress, self._head.fields)
        try:
            code = await relay.run(attempt.answer)
        finally:
            if relay.complete and self._keyed is not None:
                self._keyed.keep(attempt.answer, relay.kept)
        if not relay.complete:
            attempt.failure = code
            await self._strike_lost()
        else:
            self._policy.times.record(attempt.head_after_s)
            if attempt.answer.status < 500:
                self._clear_strikes()
        attempt.end(attempt.outcome())
        return code

    async def _admit(self) -> bool:
        suspects = self._context.suspects
        if self._admitted is not None:
            suspects.leave(self._admitted)
            self._admitted = None
        if not suspects.knows(head_digest(self._head)):
            return True
        await self._body.fill()
        self._admitted = await suspects.admit(self._fingerprint())
        return self._admitted.allowed

    async def _strike_lost(self) -> None:
        """Give a strike to each target whose connection died while it ran the request."""
        lost = (ResultCode.CONNECTION_LOST, ResultCode.ANSWER_TRUNCATED)
        for attempt in list(self._attempts):
            if attempt.failure in lost and attempt.handed and attempt.target not in self._struck:
                self._struck.add(attempt.target)
                self._context.metrics.count("requests.strikes")
                await self._strike(attempt.target)

    async def _strike(self, target: str) -> None:
        # A deadline that passes or a caller that leaves now must not lose the strike.
        with trio.CancelScope(shield=True) as scope:
            scope.deadline = trio.current_time() + STRIKE_BODY_WAIT_S
            try:
                await self._body.fill()
            except BodyError:
                # The fingerprint is then that of the part that the target received.
                pass
        # A hedged request that cost both of its targets is as suspect as a repeated one.
        suspect = len(self._struck) > 1
        suspect |= self._admitted is not None and self._admitted.is_suspect
        with trio.CancelScope(shield=True):
            await self._context.suspects.strike(self._fingerprint(), target, suspect)

    def _clear_strikes(self) -> None:
        if self._context.suspects.knows(head_digest(self._head)):
            self._context.suspects.clear(self._fingerprint())

    def _fingerprint(self) -> bytes:
        return head_digest(self._head) + self._body.digest()

    def _decide_retry(self) -> RetryDecision:
        failed = Failed(
            self._route.idempotent,
            self._may_have_run(),
            self._body.held_whole,
            self._counted_attempts(),
            self._remaining_s(),
            self._attempts[-1].failure is not ResultCode.CONNECT_FAILED,
        )
        decision = decide_retry(failed, self._policy, self._max_attempts(), trio.current_time())
        self._trail.note_retry(decision, failed)
        if decision is not RetryDecision.RETRY:
            self._context.metrics.count(f"requests.no_retry.{decision.value}")
        return decision

    async def _read_body(self) -> bytes | None:
        data = await self._caller.next_body()
        self._progress()
        return data

    def _progress(self) -> None:
        """Move the route's deadline: it bounds the time without progress of a long transfer."""
        limit_s = self._route.deadline_s
        deadline = min(self._latest_end, trio.current_time() + limit_s)
        # Setting a deadline costs more than the rest of a piece's way; small steps are left out.
        if abs(deadline - self._scope.deadline) > limit_s * DEADLINE_STEP:
            self._scope.deadline = deadline

    def _remaining_s(self) -> float:
        return self._scope.deadline - trio.current_time()

    def _latency_left_s(self) -> float | None:
        if self._route.latency_s is None:
            return None
        return self._began + self._route.latency_s - trio.current_time()

    def _may_have_run(self) -> bool:
        return any(attempt.may_have_run for attempt in self._attempts)

    def _uncertain(self, code: ResultCode) -> ResultCode:
        """The code that is true for the whole request, earlier attempts included."""
        if code.run is not Execution.NOT_RUN or not self._may_have_run():
            return code
        unknown = [a.failure for a in self._attempts if a.may_have_run and a.failure is not None]
        return unknown[-1] if unknown else ResultCode.BAD_ANSWER

    def _body_code(self, code: ResultCode) -> ResultCode:
        if self._caller.departed:
            return self._interrupted_code()
        return ResultCode.BODY_INCOMPLETE if self._may_have_run() else code

    def _interrupted_code(self) -> ResultCode:
        ran = self._may_have_run()
        if self._caller.departed:
            return ResultCode.CALLER_LEFT if ran else ResultCode.CALLER_GONE
        return ResultCode.DEADLINE_PASSED if ran else ResultCode.DEADLINE_TOO_SHORT
