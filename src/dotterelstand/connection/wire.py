"""Messages between entry hosts."""

from typing import ClassVar


class Message:
    """Message, encoded as a CBOR array of its type number and its fields in order.

    The last `OPTIONAL` fields are integers, and trailing zeros among them are omitted.
    """

    __slots__: ClassVar[tuple[str, ...]] = ()
    TYPE: ClassVar[int] = 0
    OPTIONAL: ClassVar[int] = 0

    def __init__(self, *values: object) -> None:
        assert len(values) == len(self.__slots__), (type(self).__name__, values)
        for name, value in zip(self.__slots__, values, strict=True):
            setattr(self, name, value)

    def __eq__(self, other: object) -> bool:
        return type(self) is type(other) and self.as_list() == other.as_list()  # type: ignore

    def __repr__(self) -> str:
        return f"{type(self).__name__}({', '.join(map(repr, self.as_list()[1:]))})"

    def as_list(self) -> list[object]:
        """Type number followed by the fields."""
        return [self.TYPE, *(getattr(self, name) for name in self.__slots__)]

    def wire_items(self) -> list[object]:
        """Items of the CBOR array, without trailing optional zeros."""
        items = self.as_list()
        shortest = len(items) - self.OPTIONAL
        while len(items) > shortest and items[-1] == 0:
            items.pop()
        return items


class Hello(Message):
    """First message on a link, identifying the sender; `capacity` is in 1/100 of a processor."""

    __slots__ = (
        "address",
        "availability_zone",
        "capacity",
        "host",
        "incarnation",
        "port",
        "region",
    )
    TYPE = 1
    host: str
    region: str
    availability_zone: str
    address: str
    port: int
    incarnation: int
    capacity: int


class Beat(Message):
    """Heartbeat with the active document version and whether the sender is shutting down."""

    __slots__ = ("leaving", "version")
    TYPE = 2
    version: int
    leaving: bool


class Announce(Message):
    """Announcement of a document version that the sender has."""

    __slots__ = ("digest", "version")
    TYPE = 3
    version: int
    digest: str


class Fetch(Message):
    """Request for the manifest (with empty digests) or for sections by digest."""

    __slots__ = ("digests", "version")
    TYPE = 4
    version: int
    digests: list[str]


class Manifest(Message):
    """Manifest in its stored form."""

    __slots__ = ("body", "version")
    TYPE = 5
    version: int
    body: bytes


class Section(Message):
    """Body of a document section."""

    __slots__ = ("body", "digest")
    TYPE = 6
    digest: str
    body: bytes


class Acquire(Message):
    """Request to the dispatcher of a service for one slot.

    `service` is the index in the sorted service names of the document; `need` packs class,
    workspace and deadline (`process/selection/slotcodec.py`). To meet the route's latency
    objective, the attempt must start within `within_ms` milliseconds; 0 if the route has no
    objective.
    """

    __slots__ = ("call", "need", "service", "within_ms")
    TYPE = 7
    OPTIONAL = 2
    call: int
    need: int
    service: int
    within_ms: int


class Grant(Message):
    """Grant of a slot to a call; `target` is the `index` of the target in the document.

    `target_slowdown` is the target's service time in percent of the usual one if the target is
    slow, otherwise 0.
    """

    __slots__ = ("call", "target", "target_slowdown")
    TYPE = 8
    OPTIONAL = 1
    call: int
    target: int
    target_slowdown: int


class Release(Message):
    """End of a granted or queued call; `result` packs outcome and duration."""

    __slots__ = ("call", "result")
    TYPE = 9
    call: int
    result: int


class Refuse(Message):
    """Refusal of a call by the dispatcher, with a result code.

    The caller may retry after `retry_ms` milliseconds; 0 stands for the default of the code.
    """

    __slots__ = ("call", "code", "retry_ms")
    TYPE = 10
    OPTIONAL = 1
    call: int
    code: int
    retry_ms: int


class Queued(Message):
    """Notice that the dispatcher has queued these calls, so its answers may take long."""

    __slots__ = ("calls",)
    TYPE = 27
    calls: list[int]


class Paces(Message):
    """Service times of targets of one service, in percent of their usual service times.

    `targets` has the `index` of each target, in the order of `percent`.
    """

    __slots__ = ("percent", "service", "targets")
    TYPE = 26
    percent: list[int]
    service: int
    targets: list[int]


class StoreChanges(Message):
    """Changes to one kind of platform objects after revision `since`, as sent by the store.

    `kind` is an index in `RELAYED_KINDS` of `process/discovery/registry.py`; `encoded` is
    compressed.
    """

    __slots__ = ("encoded", "kind", "since", "until")
    TYPE = 28
    kind: int
    since: int
    until: int
    encoded: bytes


class SnapshotRequest(Message):
    """Request for a complete list of one kind of platform objects; `kind` as in `StoreChanges`."""

    __slots__ = ("kind",)
    TYPE = 30
    kind: int


class Snapshot(Message):
    """Complete list of one kind of platform objects; `encoded` is compressed, empty without one."""

    __slots__ = ("encoded", "kind", "revision")
    TYPE = 31
    kind: int
    revision: int
    encoded: bytes


class StoreState(Message):
    """Whether the store answers the sender, and the sender's revision of each relayed kind."""

    __slots__ = ("answers", "revisions")
    TYPE = 29
    answers: bool
    revisions: list[int]


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


class Intent(Message):
    """Request for permission to run a non-idempotent request with an idempotency key."""

    __slots__ = ("body_digest", "call", "key", "service")
    TYPE = 11
    call: int
    key: bytes
    body_digest: bytes
    service: str


class Go(Message):
    """Permission to send the request of an `Intent` to a target once."""

    __slots__ = ("call", "epoch")
    TYPE = 12
    call: int
    epoch: int


class Verdict(Message):
    """Refusal of an `Intent`: result code, and the recorded answer if there is one."""

    __slots__ = ("body", "call", "code", "headers", "status")
    TYPE = 13
    call: int
    code: int
    status: int
    headers: list[list[bytes]]
    body: bytes


class Outcome(Message):
    """Outcome of the request of an `Intent`; a "not run" result code frees the key."""

    __slots__ = ("body", "call", "code", "epoch", "headers", "key", "status")
    TYPE = 14
    key: bytes
    call: int
    epoch: int
    code: int
    status: int
    headers: list[list[bytes]]
    body: bytes


class Strike(Message):
    """Report of a strike: a target crashed `age_ms` milliseconds ago while it ran a request.

    `suspect` is true if the request already had a strike when the run began.
    """

    __slots__ = ("age_ms", "fingerprint", "number", "suspect", "target")
    TYPE = 15
    age_ms: int
    fingerprint: bytes
    number: int
    suspect: bool
    target: str


class StrikeConfirmed(Message):
    """Confirmation that a strike was recorded."""

    __slots__ = ("number",)
    TYPE = 16
    number: int


class TargetLeaving(Message):
    """Notice that a target is draining and must get no new requests."""

    __slots__ = ("target",)
    TYPE = 17
    target: str


class LiftQuarantine(Message):
    """Notice that an operator lifted a quarantine, or that a success cleared the strikes."""

    __slots__ = ("fingerprint",)
    TYPE = 18
    fingerprint: bytes


class Goodbye(Message):
    """Notice that the sender is stopping now."""

    __slots__ = ()
    TYPE = 19


class SuspectBegin(Message):
    """Request to the arbiter of a fingerprint for permission to run the request once.

    A negative `call` asks for a trial run of a request in quarantine. A host of an older version
    refuses it, as it refuses every run of such a request.
    """

    __slots__ = ("call", "fingerprint")
    TYPE = 20
    fingerprint: bytes
    call: int


class SuspectEnd(Message):
    """Answer to `SuspectBegin` (allowed or not), or notice that a permitted run has ended."""

    __slots__ = ("allowed", "call", "fingerprint")
    TYPE = 21
    fingerprint: bytes
    call: int
    allowed: bool


class FetchChanges(Message):
    """Request for the manifest entries that changed after version `since`."""

    __slots__ = ("since", "version")
    TYPE = 24
    since: int
    version: int


class Changes(Message):
    """Manifest entries that changed after version `since`, and the digest of the manifest."""

    __slots__ = ("body", "digest", "since", "version")
    TYPE = 25
    since: int
    version: int
    digest: str
    body: bytes


class Ownership(Message):
    """Notice that the sender owns a journal partition in `epoch`; 0 if it no longer owns it."""

    __slots__ = ("epoch", "partition")
    TYPE = 22
    partition: int
    epoch: int


class OutcomeStored(Message):
    """Confirmation that the outcome of a call was recorded or no longer has an effect."""

    __slots__ = ("call",)
    TYPE = 23
    call: int
