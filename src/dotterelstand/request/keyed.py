"""Use of the journal for a request with an idempotency key."""

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.process.idempotency.journalcall import (
    Go,
    Recorded,
    done,
    not_run_outcome,
    unknown_outcome,
)
from dotterelstand.request.answerhead import AnswerHead
from dotterelstand.request.body import RequestBody
from dotterelstand.request.head import RequestHead, head_digest, returned_headers
from dotterelstand.request.interfaces import Journal


class KeyedRun:
    """Journal calls for one keyed request: permission to run, then report of the outcome."""

    __slots__ = (
        "_answer",
        "_answer_body",
        "_body_digest",
        "_fields",
        "_go",
        "_journal",
        "_key",
        "_service",
    )

    def __init__(
        self, journal: Journal, head: RequestHead, body: RequestBody, service: str
    ) -> None:
        assert head.key is not None
        self._journal = journal
        self._fields = head.fields
        self._key = head.key
        self._service = service
        # A chunked body has no declared length, so its digest covers only the bytes buffered for
        # retries.
        length = head.declared_length()
        declared = (-1 if length is None else length).to_bytes(8, "big", signed=True)
        self._body_digest = head_digest(head) + body.digest() + declared
        self._go: Go | None = None
        self._answer: AnswerHead | None = None
        self._answer_body: bytes | None = None

    async def begin(self, caller: CallerRequest) -> ResultCode | None:
        """Ask the journal for permission; None permits sending, a code ends the request.

        With `REPLAYED`, the recorded answer has already been sent to the caller.
        """
        reply = await self._journal.begin(self._key, self._body_digest, self._service)
        if isinstance(reply, Go):
            self._go = reply
            return None
        if isinstance(reply, Recorded):
            await caller.answer(reply.status, reply.headers, reply.body, ResultCode.REPLAYED)
            return ResultCode.REPLAYED
        return reply.code

    def set_answer(self, answer: AnswerHead, body: bytes | None) -> None:
        """Set the complete answer to record; the body is None if it is too long."""
        self._answer = answer
        self._answer_body = body

    def finish(self, code: ResultCode) -> None:
        """Report the outcome to the journal; does nothing if the request was not permitted."""
        if self._go is None:
            return
        if self._answer is not None:
            headers = returned_headers(self._answer.headers, self._fields)
            outcome = done(self._answer.status, headers, self._answer_body)
        elif code.run is Execution.NOT_RUN:
            outcome = not_run_outcome(code)
        else:
            assert code.run is Execution.UNKNOWN, "a run without a complete answer"
            outcome = unknown_outcome(code)
        self._journal.finish(self._go, outcome)
        self._go = None
