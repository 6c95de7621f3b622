"""One request, from its validated head to the end of its answer."""

import math
from collections.abc import Callable

import trio
from returns.pipeline import is_successful
from returns.result import Result

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.bodyerror import BodyError
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.process.selection.outcome import AttemptOutcome, SlotCall, SlotGrant
from dotterelstand.request.access import AccessGuard, class_number
from dotterelstand.request.accesslog import RequestSummary
from dotterelstand.request.answerforwarder import AnswerForwarder
from dotterelstand.request.attempt import MAX_SINGLE_SEND_BYTES, Attempt, AttemptSetup
from dotterelstand.request.body import RequestBody
from dotterelstand.request.context import RequestContext
from dotterelstand.request.endcodes import fault_code, interrupted_code, may_have_run, overall_code
from dotterelstand.request.head import RequestHead, head_digest
from dotterelstand.request.hedging import count_attempts, has_usable_answer, run_with_hedge
from dotterelstand.request.keyed import KeyedRun
from dotterelstand.request.policy import (
    RetryDecision,
    RetryInputs,
    ServicePolicy,
    can_finish,
    decide_retry,
    hedge_delay_s,
    latest_start_s,
    slot_pause_s,
)
from dotterelstand.request.slotwait import acquire_while_reading
from dotterelstand.request.suspicion import RequestSuspicion
from dotterelstand.version.model import Document, Service
from dotterelstand.version.route import Route

# Smallest change of the deadline that is applied, as a share of the route's deadline.
MIN_DEADLINE_STEP = 0.02


class Exchange:
    """One request with its attempts at targets and the transfer of the answer."""

    __slots__ = (
        "_attempts",
        "_began_s",
        "_body",
        "_caller",
        "_context",
        "_document",
        "_guard",
        "_head",
        "_keyed",
        "_latest_deadline",
        "_policy",
        "_route",
        "_scope",
        "_service",
        "_setup",
        "_suspicion",
        "_trail",
        "summary",
    )

    def __init__(
        self,
        caller: CallerRequest,
        head: RequestHead,
        document: Document,
        route: Route,
        context: RequestContext,
        guard: AccessGuard,
    ) -> None:
        self._guard = guard
        self._caller = caller
        self._head = head
        self._document = document
        self._route = route
        self._context = context
        self._service: Service = document.services[context.choose_service(route)]
        self._policy: ServicePolicy = context.policy(self._service)
        self._body = RequestBody(
            self._read_body, head.has_body(), context.limits.held_body_bytes, caller.hold
        )
        self._attempts: list[Attempt] = []
        self._suspicion = RequestSuspicion(head, self._body, context)
        self._keyed: KeyedRun | None = None
        self._scope = trio.CancelScope()
        self._began_s = trio.current_time() if head.arrived_s is None else head.arrived_s
        limit_s = math.inf if head.deadline_s is None else head.deadline_s
        if route.timeout_s is not None:
            limit_s = min(limit_s, route.timeout_s)
            caller.last_limit_s = self._began_s + route.timeout_s
        self._latest_deadline = caller.limit_s = self._began_s + limit_s
        self._setup = AttemptSetup(
            head,
            self._body,
            self._service,
            context.pool,
            context.slots,
            context.leaving_targets,
            route.idempotent,
            guard,
        )
        self.summary = RequestSummary(
            route, head.workspace, head.request_id, document.number, guard.workspace
        )
        self._trail = self.summary.trail

    async def run(self) -> ResultCode:
        """Serve the request and return its result code."""
        self._context.count_request(self._service)
        self._extend_deadline()
        self._caller.on_disconnect = self._scope.cancel
        self._caller.on_stop = self._apply_stop
        self._caller.on_memory_full = self._scope.cancel
        code = None
        try:
            with self._scope:
                if self._caller.disconnected:
                    self._scope.cancel()
                code = await self._serve()
            code = self._interrupted_code() if code is None else code
        except BodyError as error:
            code = self._body_error_code(error.code)
        except Exception as error:
            code = fault_code(error, self._attempts, self._context.metrics)
        finally:
            self._caller.on_disconnect = None
            self._caller.on_stop = None
            self._caller.on_memory_full = None
            for attempt in self._attempts:
                self._trail.note_end(attempt)
                attempt.end(AttemptOutcome.CANCELLED)
                if attempt.answered_early:
                    self._context.metrics.count("requests.early_answers")
            self._suspicion.end_run()
            final = code if code is not None else self._interrupted_code()
            if self._keyed is not None:
                self._keyed.finish(final)
            self._body.discard()
        assert not (
            final.run is Execution.NOT_RUN and self._may_have_run()
        ), f"{final.name} means not run, but a byte may have been sent to a target"
        return final

    async def _serve(self) -> ResultCode:
        if not self._context.stop_plan.accepts(trio.current_time(), self._latest_deadline):
            return ResultCode.HOST_STOPPING
        length = self._head.declared_length()
        if length is None or length <= self._context.limits.held_body_bytes:
            # Read a short body first, so that a slow caller does not occupy a slot. A body in
            # chunks counts as short until more of it has arrived.
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
        pauses = 0
        while True:
            if not await self._suspicion.admit():
                self._trail.note_quarantined(head_digest(self._head) + self._body.digest())
                return self._overall_code(last or ResultCode.QUARANTINED)
            attempt = await self._next_attempt()
            if isinstance(attempt, ResultCode):
                if self._guard.refusal is not None:
                    return self._overall_code(self._guard.refusal.code)
                pause_s = self._slot_pause_s(attempt, pauses)
                if pause_s is None:
                    return self._overall_code(last or attempt)
                pauses += 1
                self._context.metrics.count("requests.slot_pauses")
                await trio.sleep(pause_s)
                continue
            code, retry = await self._run_attempt(attempt)
            if not retry:
                return code
            last = code
            self._context.metrics.count("requests.retries")

    async def _next_attempt(self, no_wait: bool = False) -> Attempt | ResultCode:
        if not can_finish(self._remaining_s(), self._policy.latency):
            return ResultCode.DEADLINE_TOO_SHORT
        refusal = self._guard.check()
        if refusal is not None:
            self._caller.retry_after_s = None
            return refusal
        excluded = frozenset(attempt.target for attempt in self._attempts)
        lost = self._suspicion.targets_to_avoid(self._service)
        grant = await self._acquire_slot(excluded | lost, no_wait)
        may_repeat = self._suspicion.may_repeat_crashed
        if may_repeat and not is_successful(grant) and grant.failure() is ResultCode.NO_TARGET:
            grant = await self._acquire_slot(excluded, no_wait)
        if not is_successful(grant):
            self._trail.note_slot_refusal(grant.failure(), excluded | lost, self._remaining_s())
            return grant.failure()
        silent = any(other.failure is ResultCode.TARGET_SILENT for other in self._attempts)
        attempt = Attempt(self._setup, grant.unwrap(), self._scope.deadline, silent)
        self._attempts.append(attempt)
        self._caller.has_slot = True
        self._trail.note_grant(attempt, grant.unwrap(), self._remaining_s())
        return attempt

    async def _acquire_slot(
        self, excluded: frozenset[str], no_wait: bool
    ) -> Result[SlotGrant, ResultCode]:
        klass = class_number(self._document, self._guard.klass)
        objective_s, workspace = self._route.latency_objective_s, self._head.workspace
        start_by = latest_start_s(self._began_s, objective_s, self._policy.latency)
        call = SlotCall(klass, workspace, self._scope.deadline, excluded, no_wait, start_by)
        call.regions = self._guard.regions
        slots = self._context.slots
        grant = await acquire_while_reading(slots, self._service, call, self._body)
        self._caller.retry_after_s = call.retry_after_s
        return grant

    def _slot_pause_s(self, refusal: ResultCode, pauses: int) -> float | None:
        """Seconds until a retry asks for a slot again, or None."""
        names = self._guard.allowed_targets(self._service)
        if not self._may_have_run() or names <= {attempt.target for attempt in self._attempts}:
            return None
        return slot_pause_s(refusal, pauses, self._remaining_s(), self._policy.latency)

    async def _run_attempt(self, attempt: Attempt) -> tuple[ResultCode, bool]:
        """Run an attempt; returns its result code and whether to retry."""
        fully_held = self._body.complete and self._body.is_fully_held
        if fully_held and self._body.length <= MAX_SINGLE_SEND_BYTES:
            return await self._conclude_attempt(*await self._run_hedged(attempt))
        outcome: tuple[ResultCode, bool] | None = None
        async with trio.open_nursery() as nursery:
            attempt.on_body_error = nursery.cancel_scope.cancel
            nursery.start_soon(attempt.send_remaining_body)
            await attempt.run()
            outcome = await self._conclude_attempt(attempt)
            nursery.cancel_scope.cancel()
        if attempt.body_error is not None and not (outcome and outcome[0].run is Execution.RAN):
            return self._body_error_code(attempt.body_error), False
        assert outcome is not None
        return outcome

    async def _run_hedged(self, attempt: Attempt) -> tuple[Attempt, ResultCode | None]:
        latency, left_s = self._policy.latency, self._latency_left_s()
        delay_s = hedge_delay_s(
            self._route.idempotent, self._service.hedge, self._remaining_s(), latency, left_s
        )
        if delay_s is None:
            await attempt.run()
            return attempt, None
        return await run_with_hedge(attempt, delay_s, self._start_hedge, self._forward_answer)

    def _max_attempts(self) -> int:
        return self._route.attempts or self._context.limits.max_attempts

    async def _start_hedge(self) -> Attempt | None:
        most = self._max_attempts()
        if count_attempts(self._attempts, most) >= most or self._suspicion.was_admitted:
            return None
        budget, usual_s = self._policy.budget, self._policy.latency.median_s
        if not budget.try_take_hedge(trio.current_time()):
            self._trail.note_hedge("budget_spent", usual_s, self._remaining_s())
            return None
        attempt = await self._next_attempt(no_wait=True)
        if isinstance(attempt, ResultCode):
            budget.refund()
            return None
        self._context.metrics.count("requests.hedges")
        self._trail.note_hedge("started", usual_s, self._remaining_s())
        return attempt

    async def _conclude_attempt(
        self, attempt: Attempt, forwarded: ResultCode | None = None
    ) -> tuple[ResultCode, bool]:
        if forwarded is not None:
            code = forwarded
        elif has_usable_answer(attempt):
            code = await self._forward_answer(attempt)
        else:
            code = await self._failure_code(attempt)
        for other in self._attempts:
            if other is attempt or other.failure is not None:
                self._trail.note_end(other)
        is_final = code.run is Execution.RAN or code is ResultCode.CALLER_LEFT
        if is_final or self._caller.answer_started:
            return code, False
        refusal = self._guard.refusal
        if refusal is None and self._decide_retry() is RetryDecision.RETRY:
            attempt.end(attempt.outcome())
            return code, True
        if attempt.failure is None and attempt.answer and not attempt.answer.is_refusal():
            # The error answer of the target tells the caller more than a generated one.
            return await self._forward_answer(attempt), False
        attempt.end(attempt.outcome())
        return self._overall_code(refusal.code if refusal else code), False

    async def _failure_code(self, attempt: Attempt) -> ResultCode:
        await self._suspicion.record_strikes(self._attempts, self._scope.deadline)
        if attempt.failure is not None:
            return attempt.failure
        assert attempt.answer is not None
        attempt_code = ResultCode.BAD_ANSWER
        if attempt.answer.is_refusal():
            attempt.discard_answer()
            attempt_code = ResultCode.TARGET_REFUSED
        return attempt_code

    async def _forward_answer(
        self, attempt: Attempt, on_progress: Callable[[], None] = lambda: None
    ) -> ResultCode:
        assert attempt.answer is not None
        limit = self._context.limits.max_recorded_bytes if self._keyed is not None else 0

        def progress() -> None:
            on_progress()
            self._extend_deadline()

        fields, plan = self._head.fields, self._context.stop_plan
        forwarder = AnswerForwarder(self._caller, attempt.connection, limit, progress, fields, plan)
        try:
            code = await forwarder.run(attempt.answer)
        finally:
            if forwarder.complete and self._keyed is not None:
                self._keyed.set_answer(attempt.answer, forwarder.recorded_body)
        if not forwarder.complete:
            attempt.failure = code
            await self._suspicion.record_strikes(self._attempts, self._scope.deadline)
        else:
            self._policy.latency.record(attempt.time_to_head_s)
            if attempt.answer.status < 500:
                self._suspicion.note_success()
        attempt.end(attempt.outcome())
        return code

    def _decide_retry(self) -> RetryDecision:
        inputs = RetryInputs(
            self._route.idempotent,
            self._may_have_run(),
            self._body.is_fully_held,
            count_attempts(self._attempts, self._max_attempts()),
            self._remaining_s(),
            self._attempts[-1].failure is not ResultCode.CONNECT_FAILED,
        )
        decision = decide_retry(inputs, self._policy, self._max_attempts(), trio.current_time())
        self._trail.note_retry(decision, inputs)
        if decision is not RetryDecision.RETRY:
            self._context.metrics.count(f"requests.no_retry.{decision.value}")
        return decision

    async def _read_body(self) -> bytes | None:
        data = await self._caller.next_body()
        self._extend_deadline()
        return data

    def _extend_deadline(self) -> None:
        """Extend the deadline on progress; `deadline_s` limits the time without progress."""
        limit_s = self._route.deadline_s
        latest = min(self._caller.answer_limit_s, self._stop_end_s())
        deadline = min(latest, trio.current_time() + limit_s)
        # Setting a deadline costs more than forwarding a piece of a body, so skip small changes.
        if abs(deadline - self._scope.deadline) > limit_s * MIN_DEADLINE_STEP:
            self._scope.deadline = deadline

    def _apply_stop(self) -> None:
        """End the request before the process does, so that its caller gets an answer."""
        self._scope.deadline = min(self._scope.deadline, self._stop_end_s())

    def _stop_end_s(self) -> float:
        return self._context.stop_plan.request_end_s(self._caller.answer_started)

    def _remaining_s(self) -> float:
        return self._scope.deadline - trio.current_time()

    def _latency_left_s(self) -> float | None:
        if self._route.latency_objective_s is None:
            return None
        return self._began_s + self._route.latency_objective_s - trio.current_time()

    def _may_have_run(self) -> bool:
        return may_have_run(self._attempts)

    def _overall_code(self, code: ResultCode) -> ResultCode:
        return overall_code(code, self._attempts)

    def _body_error_code(self, code: ResultCode) -> ResultCode:
        if self._caller.disconnected:
            return self._interrupted_code()
        return ResultCode.BODY_INCOMPLETE if self._may_have_run() else code

    def _interrupted_code(self) -> ResultCode:
        host_stops = self._context.stop_plan.last_answer_s < self._latest_deadline
        return interrupted_code(self._caller, self._attempts, host_stops)
