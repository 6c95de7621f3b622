"""One attempt to run a request at one target, up to the head of the answer."""

import math
from collections.abc import Callable

import h11
import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.bodyerror import BodyError
from dotterelstand.connection.network import CONNECTION_ERRORS
from dotterelstand.connection.pool import (
    MAX_NON_IDEMPOTENT_IDLE_S,
    NEW_CONNECTION_ONLY_S,
    ConnectionLimitError,
    TargetPool,
)
from dotterelstand.connection.target import AnswerEvent, TargetConnection
from dotterelstand.process.selection.outcome import AttemptOutcome, SlotGrant, SlotOutcome
from dotterelstand.request.access import AccessGuard
from dotterelstand.request.answerhead import AnswerHead
from dotterelstand.request.body import RequestBody
from dotterelstand.request.fields import parse_load_report
from dotterelstand.request.head import Headers, RequestHead, forwarded_headers
from dotterelstand.request.interfaces import LeavingTargets, Slots
from dotterelstand.request.logfields import logged_id
from dotterelstand.request.policy import FAILING_STATUSES
from dotterelstand.version.model import Service, Target

_OUTCOMES = {
    ResultCode.CONNECT_FAILED: AttemptOutcome.CONNECT_FAILED,
    ResultCode.OVERLOADED: AttemptOutcome.CANCELLED,
    ResultCode.TARGET_SILENT: AttemptOutcome.TIMED_OUT,
    # Refusals by the guard, of which the target knows nothing.
    ResultCode.UNAUTHORIZED: AttemptOutcome.CANCELLED,
    ResultCode.CONFIGURATION_UNPROVEN: AttemptOutcome.CANCELLED,
    ResultCode.NO_TARGET: AttemptOutcome.CANCELLED,
}
# A body up to this length is sent in one call before the answer is read. A longer body is sent
# while the answer is awaited, since a target that answers early may stop reading the body.
MAX_SINGLE_SEND_BYTES = 16384
# An attempt fails after it has skipped this many late answers to earlier requests.
MAX_SKIPPED_ANSWERS = 4
# Maximum number of interim (1xx) answers before the final one.
MAX_INTERIM_ANSWERS = 16


class AttemptSetup:
    """Request data and dependencies that all attempts of one request share.

    `used_addresses` holds host and port of the targets of its attempts so far.
    """

    __slots__ = (
        "body",
        "guard",
        "head",
        "idempotent",
        "leaving_targets",
        "pool",
        "service",
        "slots",
        "used_addresses",
    )

    def __init__(
        self,
        head: RequestHead,
        body: RequestBody,
        service: Service,
        pool: TargetPool,
        slots: Slots,
        leaving_targets: LeavingTargets,
        idempotent: bool,
        guard: AccessGuard,
    ) -> None:
        self.guard = guard
        self.head = head
        self.body = body
        self.service = service
        self.pool = pool
        self.slots = slots
        self.leaving_targets = leaving_targets
        self.idempotent = idempotent
        self.used_addresses: set[tuple[str, int]] = set()


class Attempt:
    """Attempt to run a request on one connection; holds a slot until `end` is called."""

    __slots__ = (
        "_began_s",
        "_connection",
        "_deadline",
        "_ended",
        "_grant",
        "_head_sent",
        "_max_idle_s",
        "_sent_bytes",
        "_setup",
        "_silence_scope",
        "_whole_sent",
        "answer",
        "body_error",
        "failure",
        "on_body_error",
        "send_started",
        "skipped",
        "target_slow",
        "time_to_head_s",
    )

    def __init__(
        self, setup: AttemptSetup, grant: SlotGrant, deadline: float, after_silence: bool
    ) -> None:
        self._setup = setup
        self._max_idle_s = math.inf if setup.idempotent else MAX_NON_IDEMPOTENT_IDLE_S
        address = (grant.target.address, grant.target.port)
        if after_silence or address in setup.used_addresses:
            # An earlier attempt got no answer; the cause may affect all pooled connections. Or it
            # used this address under the name of another target, and its answer, which has the
            # same request id, may come again on the connection that it used.
            self._max_idle_s = NEW_CONNECTION_ONLY_S
        setup.used_addresses.add(address)
        self._grant = grant
        self._deadline = deadline
        self._began_s = trio.current_time()
        self._connection: TargetConnection | None = None
        self._silence_scope = trio.CancelScope()
        self._head_sent = trio.Event()
        self._sent_bytes = 0
        self._ended = False
        # Whether any byte of the request may have been sent to the target.
        self.send_started = False
        self.answer: AnswerHead | None = None
        self._whole_sent = False
        # Request ids of the answers that were not those to this request.
        self.skipped: list[str] = []
        self.body_error: ResultCode | None = None
        self.failure: ResultCode | None = None
        self.time_to_head_s = 0.0
        self.target_slow = False
        self.on_body_error: Callable[[], object] | None = None

    @property
    def target(self) -> str:
        """Name of the target."""
        return self._grant.target.name

    @property
    def destination(self) -> tuple[Service, Target]:
        """Service and target of the attempt."""
        return self._setup.service, self._grant.target

    def on_slow(self, wake: Callable[[], object]) -> None:
        """When the target is marked slow, set `target_slow` and call `wake`."""

        def note() -> None:
            self.target_slow = True
            wake()

        self._grant.on_slow = note

    @property
    def connection(self) -> TargetConnection:
        """Connection of the attempt; available once it has been acquired."""
        assert self._connection is not None
        return self._connection

    @property
    def whole_sent(self) -> bool:
        """Whether the end of the request was sent to the target."""
        if self._ended or self._connection is None:
            return self._whole_sent
        return self._connection.is_request_sent

    @property
    def answered_early(self) -> bool:
        """Whether the target answered before the end of the request was sent."""
        return self.answer is not None and not self.whole_sent

    @property
    def answer_names_request(self) -> bool:
        """Whether the answer bears the id of the request."""
        head = self._setup.head
        answered = self.answer
        return answered is not None and answered.value(head.fields.request_id) == head.request_id

    @property
    def may_have_run(self) -> bool:
        """Whether the target may have run the request: it was sent and not refused.

        A refusal that was altered on its way proves nothing.
        """
        answer = self.answer
        refused = answer is not None and answer.is_refusal() and answer.is_unaltered()
        return self.send_started and not (refused and answer and not answer.is_malformed())

    async def run(self) -> None:
        """Send the request and wait for the answer head; sets `answer` or `failure`."""
        if not await self._connect():
            return
        # No other task runs between this check and the call that sends the first byte.
        self.failure = self._setup.guard.check(self._grant.target.region)
        if self.failure is not None:
            return
        body = self._setup.body
        single_send = body.complete and body.is_fully_held and body.length <= MAX_SINGLE_SEND_BYTES
        try:
            with self._silence_scope:
                self._restart_silence_timer()
                await self._send_head(body.held if single_send else b"", single_send)
                await self._receive_head()
            if self._silence_scope.cancelled_caught:
                self._fail_silent()
        except CONNECTION_ERRORS:
            self.failure = ResultCode.CONNECTION_LOST
        except h11.RemoteProtocolError:
            lost = self.connection.closed_by_target()
            self.failure = ResultCode.CONNECTION_LOST if lost else ResultCode.BAD_ANSWER

    async def send_remaining_body(self) -> None:
        """Stream the rest of the body; returns without an error if the target stops reading."""
        body = self._setup.body
        await self._head_sent.wait()
        try:
            while (data := await self._next_piece(body)) is not None:
                self._restart_silence_timer()
                await self.connection.send_body(data)
                self._sent_bytes += len(data)
            await self.connection.finish_request()
            self._restart_silence_timer()
        except BodyError as error:
            self.body_error = error.code
            if self.on_body_error is not None:
                self.on_body_error()
        except (*CONNECTION_ERRORS, h11.LocalProtocolError):
            # The target may have answered early; `run` handles its answer or the lost connection.
            return

    def outcome(self) -> AttemptOutcome:
        """Outcome of the attempt so far; `CANCELLED` if it has no answer and no failure."""
        if self.failure is not None:
            return _OUTCOMES.get(self.failure, AttemptOutcome.FAILED)
        if self.answer is None or self.body_error is not None:
            return AttemptOutcome.CANCELLED
        if self.answer.is_refusal():
            return AttemptOutcome.REFUSED
        failing = self.answer.status in FAILING_STATUSES
        return AttemptOutcome.FAILED if failing else AttemptOutcome.OK

    def end(self, kind: AttemptOutcome) -> None:
        """Release the slot and the connection, which is closed if it cannot be reused."""
        if self._ended:
            return
        self._ended = True
        # Both refer to this attempt again.
        self._grant.on_slow = self.on_body_error = None
        fields = self._setup.head.fields
        load = (
            parse_load_report(self.answer.value(fields.load)) if self.answer is not None else None
        )
        duration_s = trio.current_time() - self._began_s
        self._setup.slots.release(self._grant, SlotOutcome(kind, duration_s, load))
        if self._connection is None:
            return
        # A connection that is reused no longer knows it.
        self._whole_sent = self._connection.is_request_sent
        if self.failure is None and kind is not AttemptOutcome.CANCELLED:
            self._setup.pool.release(self._connection)
        else:
            self._setup.pool.discard(self._connection)

    def discard_answer(self) -> None:
        """Discard the rest of an answer that is not forwarded, as far as it has been received."""
        try:
            while isinstance(self.connection.poll(), h11.Data):
                pass
        except h11.RemoteProtocolError:
            self.failure = ResultCode.CONNECTION_LOST

    async def _connect(self) -> bool:
        setup = self._setup
        try:
            self._connection = await setup.pool.acquire(
                self._grant.target, setup.service.connections, self._max_idle_s
            )
        except OSError:
            self.failure = ResultCode.CONNECT_FAILED
        except ConnectionLimitError:
            self.failure = ResultCode.OVERLOADED
        return self.failure is None

    async def _send_head(self, data: bytes, complete: bool) -> None:
        remaining_s = self._deadline - trio.current_time()
        head = self._setup.head
        headers = forwarded_headers(head, remaining_s, self.target)
        encoded = self.connection.encode_request(head.method, head.path, headers, data, complete)
        # Set before the call, since a failed call may have sent some of the bytes.
        self.send_started = True
        await self.connection.send(encoded)
        self._sent_bytes = len(data)
        self._head_sent.set()
        if not complete:
            self._restart_silence_timer()

    async def _receive_head(self) -> None:
        self.answer = await self._receive_matching_head()
        self.time_to_head_s = trio.current_time() - self._began_s
        self._silence_scope.deadline = math.inf
        self._note_leaving(self.answer)
        if not self.answer.is_unaltered() or self.answer.is_malformed():
            self.failure = ResultCode.BAD_ANSWER
        elif self.answer.claims_not_run() and not self._setup.idempotent:
            self.failure = ResultCode.BAD_ANSWER

    async def _receive_matching_head(self) -> AnswerHead:
        """Receive the answer head of this request, skipping late answers to earlier ones."""
        head = self._setup.head
        for _ in range(MAX_SKIPPED_ANSWERS):
            event = await self._receive_final_head()
            if not isinstance(event, h11.Response):
                break
            headers: Headers = [(bytes(name), bytes(value)) for name, value in event.headers]
            answer = AnswerHead(event.status_code, headers, head.fields)
            if answer.matches_request(head.request_id):
                return answer
            self._note_leaving(answer)
            self.skipped.append(logged_id(answer.value(head.fields.request_id)))
            await self.connection.skip_answer()
        raise h11.RemoteProtocolError("no answer to this request")

    def _note_leaving(self, answer: AnswerHead) -> None:
        target = self._grant.target
        if answer.announces_draining(target.name):
            self._setup.leaving_targets.target_leaving(target.name, target.incarnation)

    async def _receive_final_head(self) -> AnswerEvent:
        """Receive the next answer head, skipping a bounded number of interim answers."""
        event = await self.connection.receive()
        for _ in range(MAX_INTERIM_ANSWERS):
            if not isinstance(event, h11.InformationalResponse):
                return event
            self._restart_silence_timer()
            event = await self.connection.receive()
        raise h11.RemoteProtocolError("too many interim answers")

    async def _next_piece(self, body: RequestBody) -> bytes | None:
        if self._sent_bytes >= body.length and not body.complete:
            # Waiting for a slow caller does not count as silence of the target.
            self._silence_scope.deadline = math.inf
        return await body.piece_at(self._sent_bytes)

    def _restart_silence_timer(self) -> None:
        if self.answer is None:
            self._silence_scope.deadline = (
                trio.current_time() + self._setup.service.silence_timeout_s
            )

    def _fail_silent(self) -> None:
        self.failure = ResultCode.TARGET_SILENT
        self._setup.pool.close_idle(self.connection.address)
