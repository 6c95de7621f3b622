"""Messages between entry hosts that prove that a document is current."""

from dotterelstand.connection.wire import Message


class ProofRequest(Message):
    """Request for the receiver's latest proof that a document is current."""

    __slots__ = ("call",)
    TYPE = 32
    call: int


class Proof(Message):
    """Answer to `ProofRequest`: document `number` was the newest one `age_ms` milliseconds ago.

    `number` is 0 if the sender has no proof.
    """

    __slots__ = ("age_ms", "call", "number")
    TYPE = 33
    age_ms: int
    call: int
    number: int
