"""Journal entries and their stored form."""

import sys
from enum import IntEnum

import cbor2
from returns.result import Failure, Result, Success


class State(IntEnum):
    """State of an idempotency key."""

    RUNNING = 1
    DONE = 2
    UNKNOWN = 3
    FREED = 4


class Claim:
    """The request of one host that an entry belongs to; `call` is unique within the host."""

    __slots__ = ("call", "host")

    def __init__(self, host: str, call: int) -> None:
        self.host = sys.intern(host)
        self.call = call

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Claim) and (self.host, self.call) == (other.host, other.call)

    def __hash__(self) -> int:
        return hash((self.host, self.call))

    def __repr__(self) -> str:
        return f"{self.host}/{self.call}"


# Header of a recorded answer whose body was larger than the limit and is not kept.
BODY_HEADER = b"dotterelstand-body"
BODY_NOT_KEPT = b"not-kept"

# Headers of an answer without body are kept up to this size in bytes.
MAX_BARE_HEADER_BYTES = 1024


class Answer:
    """A recorded answer: status, headers as pairs, body."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: list[list[bytes]], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def without_body(self) -> "Answer":
        """The same answer with a header that says that the body is not kept."""
        bare = Answer(self.status, [pair for pair in self.headers if pair[0] != BODY_HEADER], b"")
        headers = bare.headers if bare.size <= MAX_BARE_HEADER_BYTES else []
        return Answer(self.status, [*headers, [BODY_HEADER, BODY_NOT_KEPT]], b"")

    @property
    def size(self) -> int:
        """Bytes of headers and body."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class Entry:
    """One state of a key; entries do not change, a later one replaces an earlier one.

    `at` is the journal clock in seconds at which the entry was staged. The answer is kept in its
    stored form, which takes less memory than its parts.
    """

    __slots__ = (
        "_answer",
        "at",
        "body_digest",
        "claim",
        "encoded_size",
        "epoch",
        "key",
        "service",
        "state",
    )

    def __init__(
        self,
        key: bytes,
        body_digest: bytes,
        service: str,
        state: State,
        epoch: int,
        claim: Claim,
        at: float,
        answer: Answer | None = None,
    ) -> None:
        self.key = key
        self.body_digest = body_digest
        self.service = sys.intern(service)
        self.state = state
        self.epoch = epoch
        self.claim = claim
        self.at = at
        self._answer = b""
        if answer is not None:
            self._answer = cbor2.dumps([answer.status, answer.headers, answer.body])
        self.encoded_size = 0

    @property
    def answer(self) -> Answer | None:
        """Recorded answer, if there is one."""
        return Answer(*cbor2.loads(self._answer)) if self._answer else None

    @property
    def answer_size(self) -> int:
        """Bytes that the recorded answer takes."""
        return len(self._answer)

    def becomes(self, state: State, at: float, answer: Answer | None = None) -> "Entry":
        """Entry of the same key and claim in another state."""
        return Entry(
            self.key, self.body_digest, self.service, state, self.epoch, self.claim, at, answer
        )

    def encode(self) -> bytes:
        """Stored form."""
        data = cbor2.dumps(
            [
                self.key,
                self.body_digest,
                self.service,
                int(self.state),
                self.epoch,
                self.claim.host,
                self.claim.call,
                round(self.at, 3),
                self._answer,
            ]
        )
        self.encoded_size = len(data)
        return data


def encode_entries(entries: list[bytes]) -> bytes:
    """Stored form of a segment."""
    return cbor2.dumps(entries)


def decode_entries(data: bytes) -> Result[list[Entry], str]:
    """Entries of a segment; fails with a description of what is malformed."""
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError) as error:
        return Failure(f"not CBOR: {error}")
    return read_entries(items)


def read_entries(items: object) -> Result[list[Entry], str]:
    """Entries from a decoded list of their stored forms."""
    if not isinstance(items, list):
        return Failure("not a list of entries")
    try:
        return Success([_read_entry(item) for item in items])
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        return Failure(f"malformed entry: {error}")


def _read_entry(data: bytes) -> Entry:
    key, digest, service, state, epoch, host, call, at, answer = cbor2.loads(data)
    entry = Entry(key, digest, service, State(state), epoch, Claim(host, call), at)
    entry._answer = answer
    entry.encoded_size = len(data)
    return entry
