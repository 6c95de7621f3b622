"""Journal entries and their CBOR encoding."""

import sys
from enum import IntEnum

import cbor2
from returns.result import Failure, Result, Success


class State(IntEnum):
    """State of an idempotency key; `FREED` allows a new request to use the key."""

    RUNNING = 1
    DONE = 2
    UNKNOWN = 3
    FREED = 4


class Claim:
    """Identity of the request that holds a key: entry host and call number on that host."""

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


# Header that marks a recorded answer without its body, which exceeded a size limit.
BODY_HEADER = b"dotterelstand-body"
BODY_NOT_KEPT = b"not-kept"

# Other headers of an answer without body are dropped if they exceed this size in total.
MAX_HEADER_BYTES_WITHOUT_BODY = 1024


class Answer:
    """A recorded answer: status, headers as name-value pairs, body."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: list[list[bytes]], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def without_body(self) -> "Answer":
        """Copy without the body, marked with `BODY_HEADER`."""
        stripped = Answer(
            self.status, [pair for pair in self.headers if pair[0] != BODY_HEADER], b""
        )
        headers = stripped.headers if stripped.size <= MAX_HEADER_BYTES_WITHOUT_BODY else []
        return Answer(self.status, [*headers, [BODY_HEADER, BODY_NOT_KEPT]], b"")

    @property
    def size(self) -> int:
        """Size of headers and body in bytes."""
        return len(self.body) + sum(len(name) + len(value) for name, value in self.headers)


class Entry:
    """Immutable state of a key; a later entry replaces an earlier one.

    `staged_at` is the time on the journal clock in seconds. The answer is kept encoded, which
    takes less memory than its parts.
    """

    __slots__ = (
        "_answer",
        "body_digest",
        "claim",
        "encoded_size",
        "epoch",
        "key",
        "service",
        "staged_at",
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
        staged_at: float,
        answer: Answer | None = None,
    ) -> None:
        self.key = key
        self.body_digest = body_digest
        self.service = sys.intern(service)
        self.state = state
        self.epoch = epoch
        self.claim = claim
        self.staged_at = staged_at
        self._answer = b""
        if answer is not None:
            self._answer = cbor2.dumps([answer.status, answer.headers, answer.body])
        self.encoded_size = 0

    @property
    def answer(self) -> Answer | None:
        """Recorded answer, or None."""
        return Answer(*cbor2.loads(self._answer)) if self._answer else None

    @property
    def answer_size(self) -> int:
        """Size of the encoded answer in bytes."""
        return len(self._answer)

    def with_state(self, state: State, staged_at: float, answer: Answer | None = None) -> "Entry":
        """New entry of the same key and claim in another state."""
        return Entry(
            self.key,
            self.body_digest,
            self.service,
            state,
            self.epoch,
            self.claim,
            staged_at,
            answer,
        )

    def encode(self) -> bytes:
        """Encode as CBOR and set `encoded_size`."""
        data = cbor2.dumps(
            [
                self.key,
                self.body_digest,
                self.service,
                int(self.state),
                self.epoch,
                self.claim.host,
                self.claim.call,
                round(self.staged_at, 3),
                self._answer,
            ]
        )
        self.encoded_size = len(data)
        return data


def encode_entries(entries: list[bytes]) -> bytes:
    """Encode a segment from its encoded entries."""
    return cbor2.dumps(entries)


def decode_entries(data: bytes) -> Result[list[Entry], str]:
    """Decode a segment; fails with a description of the malformed part."""
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError) as error:
        return Failure(f"not CBOR: {error}")
    return parse_entries(items)


def parse_entries(items: object) -> Result[list[Entry], str]:
    """Decode a list of encoded entries; fails with a description of the malformed part."""
    if not isinstance(items, list):
        return Failure("not a list of entries")
    try:
        return Success([_decode_entry(item) for item in items])
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        return Failure(f"malformed entry: {error}")


def _decode_entry(data: bytes) -> Entry:
    key, digest, service, state, epoch, host, call, staged_at, answer = cbor2.loads(data)
    entry = Entry(key, digest, service, State(state), epoch, Claim(host, call), staged_at)
    entry._answer = answer
    entry.encoded_size = len(data)
    return entry
