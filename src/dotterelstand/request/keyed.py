"""The part of a call that the journal takes part in."""

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.process.idempotency.journalcall import Go, Recorded, done, not_run, unknown
from dotterelstand.request.attempt import AnswerHead
from dotterelstand.request.body import RequestBody
from dotterelstand.request.head import RequestHead, head_digest, returned_headers
from dotterelstand.request.ports import Journal


class KeyedRun:
    """A keyed request from the journal's permission to the report of its outcome."""

    __slots__ = (
        "_answer",
        "_body",
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
        # A chunked body has no declared length; its held part counts alone.
        length = head.declared_length()
        declared = (-1 if length is None else length).to_bytes(8, "big", signed=True)
        self._body_digest = head_digest(head) + body.digest() + declared
        self._go: Go | None = None
        self._answer: AnswerHead | None = None
        self._body: bytes | None = None

    async def begin(self, caller: CallerRequest) -> ResultCode | None:
        """Ask the journal; None permits sending, a code is how the request ended.

        An answer that was recorded earlier has been sent when `REPLAYED` is returned.
        """
        verdict = await self._journal.begin(self._key, self._body_digest, self._service)
        if isinstance(verdict, Go):
            self._go = verdict
            return None
        if isinstance(verdict, Recorded):
            await caller.answer(verdict.status, verdict.headers, verdict.body, ResultCode.REPLAYED)
            return ResultCode.REPLAYED
        return verdict.code

    def keep(self, answer: AnswerHead, body: bytes | None) -> None:
        """Note the complete answer; the body is None if it is too long to record."""
        self._answer = answer
        self._body = body

    def finish(self, code: ResultCode) -> None:
        """Report how the request ended; without permission there is nothing to report."""
        if self._go is None:
            return
        if self._answer is not None:
            headers = returned_headers(self._answer.headers, self._fields)
            outcome = done(self._answer.status, headers, self._body)
        elif code.run is Execution.NOT_RUN:
            outcome = not_run(code)
        else:
            assert code.run is Execution.UNKNOWN, "a run without a complete answer"
            outcome = unknown(code)
        self._journal.finish(self._go, outcome)
        self._go = None
