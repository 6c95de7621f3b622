"""Replies of the journal to an entry host, and the outcomes that the host reports."""

import trio

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.idempotency.entry import Answer
from dotterelstand.process.idempotency.journaltypes import Reply
from dotterelstand.process.telemetry.invariant import require


class Go:
    """Permission to send the request once; must be ended with `JournalService.finish`."""

    __slots__ = ("call", "epoch", "finished", "key", "partition")

    def __init__(self, key: bytes, partition: int, call: int, epoch: int) -> None:
        self.key = key
        self.partition = partition
        self.call = call
        self.epoch = epoch
        self.finished = False


class Recorded:
    """Recorded answer of an earlier request with this key.

    The header `dotterelstand-body: not-kept` marks an answer whose body was not recorded.
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: list[tuple[bytes, bytes]], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Refused:
    """Refusal to send the request; `code` is the result for the caller."""

    __slots__ = ("code",)

    def __init__(self, code: ResultCode) -> None:
        self.code = code


class CallOutcome:
    """Outcome of a request that had permission to run."""

    __slots__ = ("answer", "code")

    def __init__(self, code: ResultCode, answer: Answer | None) -> None:
        self.code = code
        self.answer = answer


# Headers of a single connection or transfer are not recorded; a replayed answer gets new ones.
_FRAMING_HEADERS = frozenset(
    {b"content-length", b"transfer-encoding", b"connection", b"keep-alive"}
)


def done(status: int, headers: list[tuple[bytes, bytes]], body: bytes | None) -> CallOutcome:
    """Outcome of a complete answer; `body` is None if it was too large to hold in memory."""
    kept = [
        [name.lower(), value] for name, value in headers if name.lower() not in _FRAMING_HEADERS
    ]
    answer = Answer(status, kept, body or b"")
    return CallOutcome(ResultCode.ANSWERED, answer if body is not None else answer.without_body())


def not_run_outcome(code: ResultCode) -> CallOutcome:
    """Outcome of a request of which no byte was sent or that its target refused; frees the key."""
    require(code.run is Execution.NOT_RUN, "outcome code", code=code)
    return CallOutcome(code, None)


def unknown_outcome(code: ResultCode) -> CallOutcome:
    """Outcome of a request that may have run but got no complete answer."""
    require(code.run is Execution.UNKNOWN, "outcome code", code=code)
    return CallOutcome(code, None)


def convert_reply(reply: Reply) -> Recorded | Refused:
    """Convert an owner's reply to the result of the request."""
    if reply.code is not ResultCode.REPLAYED or reply.answer is None:
        return Refused(reply.code)
    answer = reply.answer
    headers = [(bytes(name), bytes(value)) for name, value in answer.headers]
    headers.append((b"content-length", b"%d" % len(answer.body)))
    return Recorded(answer.status, headers, answer.body)


class CallWaiter:
    """A request that waits for the owner's reply."""

    __slots__ = ("answered", "key", "owner", "partition", "result")

    def __init__(self, key: bytes, partition: int, owner: str) -> None:
        self.key = key
        self.partition = partition
        self.owner = owner
        self.answered = trio.Event()
        self.result: Go | Recorded | Refused | None = None
