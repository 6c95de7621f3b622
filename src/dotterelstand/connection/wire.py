"""Messages between entry hosts."""

from typing import ClassVar


class Message:
    """A message; on the wire a CBOR array of its type number and its fields in order.

    The last `OPTIONAL` fields are integers; trailing ones that are 0 are left out on the wire.
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
        """Items of the CBOR array."""
        items = self.as_list()
        shortest = len(items) - self.OPTIONAL
        while len(items) > shortest and items[-1] == 0:
            items.pop()
        return items


class Hello(Message):
    """First message on a link: who the sender is; `capacity` is in hundredths of a processor."""

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
    """Heartbeat: document version in force, and whether the sender is leaving."""

    __slots__ = ("leaving", "version")
    TYPE = 2
    version: int
    leaving: bool


class Announce(Message):
    """A document version that the sender holds."""

    __slots__ = ("digest", "version")
    TYPE = 3
    version: int
    digest: str


class Fetch(Message):
    """Request for the manifest (empty digests) or for sections by digest."""

    __slots__ = ("digests", "version")
    TYPE = 4
    version: int
    digests: list[str]


class Manifest(Message):
    """A manifest in its stored form."""

    __slots__ = ("body", "version")
    TYPE = 5
    version: int
    body: bytes


class Section(Message):
    """A section body."""

    __slots__ = ("body", "digest")
    TYPE = 6
    digest: str
    body: bytes


class Acquire(Message):
    """Request to the dispatcher of a service for one slot.

    `service` is the index in the sorted service names of the document; `need` packs class, tenant
    and deadline (`process/selection/slotcodec.py`). The answer has its full worth if the target
    begins within `within_ms`, 0 if that does not matter.
    """

    __slots__ = ("call", "need", "service", "within_ms")
    TYPE = 7
    OPTIONAL = 2
    call: int
    need: int
    service: int
    within_ms: int


class Grant(Message):
    """A slot on a target (index in the service's targets), given to one call."""

    __slots__ = ("call", "target")
    TYPE = 8
    call: int
    target: int


class Release(Message):
    """The end of a granted or waiting call; `result` packs outcome and duration."""

    __slots__ = ("call", "result")
    TYPE = 9
    call: int
    result: int


class Refuse(Message):
    """The dispatcher's refusal of a call, by result code."""

    __slots__ = ("call", "code")
    TYPE = 10
    call: int
    code: int


class Queued(Message):
    """The dispatcher keeps these calls in its queue; their answers may take long."""

    __slots__ = ("calls",)
    TYPE = 27
    calls: list[int]


class Paces(Message):
    """Targets of a service (by index) and how long work takes there, in percent of the usual."""

    __slots__ = ("percent", "service", "targets")
    TYPE = 26
    percent: list[int]
    service: int
    targets: list[int]


class StoreChanges(Message):
    """Changes of one kind of the platform's objects after `since`, as the store sent them.

    `kind` is a place in `SHARED_KINDS` of `process/discovery/registry.py`, `encoded` is compressed.
    """

    __slots__ = ("encoded", "kind", "since", "until")
    TYPE = 28
    kind: int
    since: int
    until: int
    encoded: bytes


class StoreState(Message):
    """Whether the platform's store answers the sender, and its last change of each shared kind."""

    __slots__ = ("answers", "revisions")
    TYPE = 29
    answers: bool
    revisions: list[int]


class Intent(Message):
    """A non-idempotent request with a key that asks to run."""

    __slots__ = ("body_digest", "call", "key", "service")
    TYPE = 11
    call: int
    key: bytes
    body_digest: bytes
    service: str


class Go(Message):
    """Permission to send the request of an intent to a target, given once."""

    __slots__ = ("call", "epoch")
    TYPE = 12
    call: int
    epoch: int


class Verdict(Message):
    """Answer to an intent that may not run: result code, and the recorded answer if any."""

    __slots__ = ("body", "call", "code", "headers", "status")
    TYPE = 13
    call: int
    code: int
    status: int
    headers: list[list[bytes]]
    body: bytes


class Outcome(Message):
    """How the request of an intent ended; a result code of the range not run frees the key."""

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
    """A target died, `age_ms` milliseconds ago, while it ran a request with this fingerprint.

    `suspect` tells that the request already had a strike when the run began.
    """

    __slots__ = ("age_ms", "fingerprint", "number", "suspect", "target")
    TYPE = 15
    age_ms: int
    fingerprint: bytes
    number: int
    suspect: bool
    target: str


class StrikeConfirmed(Message):
    """The receiver recorded a strike."""

    __slots__ = ("number",)
    TYPE = 16
    number: int


class TargetLeaving(Message):
    """A target takes no new work from now on."""

    __slots__ = ("target",)
    TYPE = 17
    target: str


class LiftQuarantine(Message):
    """An operator lifted a quarantine, or a success cleared its strikes."""

    __slots__ = ("fingerprint",)
    TYPE = 18
    fingerprint: bytes


class Goodbye(Message):
    """The sender stops now."""

    __slots__ = ()
    TYPE = 19


class SuspectBegin(Message):
    """Request to the arbiter of a fingerprint to run it once."""

    __slots__ = ("call", "fingerprint")
    TYPE = 20
    fingerprint: bytes
    call: int


class SuspectEnd(Message):
    """Answer to `SuspectBegin` (allowed or not), or the end of a permitted run."""

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
    """Manifest entries that changed after `since`, and the digest of the whole manifest."""

    __slots__ = ("body", "digest", "since", "version")
    TYPE = 25
    since: int
    version: int
    digest: str
    body: bytes


class Ownership(Message):
    """The sender owns a journal partition under this epoch; epoch 0 when it released it."""

    __slots__ = ("epoch", "partition")
    TYPE = 22
    partition: int
    epoch: int


class OutcomeStored(Message):
    """The owner needs the outcome of this call no longer: it is recorded, or without effect."""

    __slots__ = ("call",)
    TYPE = 23
    call: int
