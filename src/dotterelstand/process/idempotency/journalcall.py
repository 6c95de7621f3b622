"""Answers of the journal to an entry host, and the outcomes that it reports."""

import trio

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.idempotency.entry import Answer
from dotterelstand.process.idempotency.journaltypes import Reply
from dotterelstand.process.telemetry.invariant import require


class Go:
    """Permission to send the request once; must be ended by `JournalService.finish`."""

    __slots__ = ("call", "epoch", "finished", "key", "partition")

    def __init__(self, key: bytes, partition: int, call: int, epoch: int) -> None:
        self.key = key
        self.partition = partition
        self.call = call
        self.epoch = epoch
        self.finished = False


class Recorded:
    """The answer of the earlier request with this key.

    With the header `dotterelstand-body: not-kept`, the body was too large to be recorded.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Refused:
    """The request must not be sent; `code` is the result for the caller."""

    __slots__ = ("code",)

    def __init__(self, code: ResultCode) -> None:
        self.code = code


class CallOutcome:
    """How a permitted request ended."""

    __slots__ = ("answer", "code")

    def __init__(self, code: ResultCode, answer: Answer | None) -> None:
        self.code = code
        self.answer = answer


# Framing headers describe one transfer and are set anew when the answer is repeated.
_FRAMING = frozenset({b"content-length", b"transfer-encoding", b"connection", b"keep-alive"})


def done(status: int, headers: list[tuple[bytes, bytes]], body: bytes | None) -> CallOutcome:
    """The target answered completely; `body` is None if it was too large to hold."""
    kept = [[name.lower(), value] for name, value in headers if name.lower() not in _FRAMING]
    answer = Answer(status, kept, body or b"")
    return CallOutcome(ResultCode.ANSWERED, answer if body is not None else answer.without_body())


def not_run(code: ResultCode) -> CallOutcome:
    """No byte was sent, or the target refused; the key may be used again."""
    require(code.run is Execution.NOT_RUN, "outcome code", code=code)
    return CallOutcome(code, None)


def unknown(code: ResultCode) -> CallOutcome:
    """The request may have run and no complete answer arrived."""
    require(code.run is Execution.UNKNOWN, "outcome code", code=code)
    return CallOutcome(code, None)


def read_reply(reply: Reply) -> Recorded | Refused:
    """What an owner's immediate answer means for the request."""
    if reply.code is not ResultCode.REPLAYED or reply.answer is None:
        return Refused(reply.code)
    answer = reply.answer
    headers = [(bytes(name), bytes(value)) for name, value in answer.headers]
    headers.append((b"content-length", b"%d" % len(answer.body)))
    return Recorded(answer.status, headers, answer.body)


class CallWaiter:
    """A request that waits for the owner's answer."""

    __slots__ = ("answered", "key", "owner", "partition", "result")

    def __init__(self, key: bytes, partition: int, owner: str) -> None:
        self.key = key
        self.partition = partition
        self.owner = owner
        self.answered = trio.Event()
        self.result: Go | Recorded | Refused | None = None
