"""What one request needs from the rest of the process."""

from enum import Enum
from typing import Protocol

from returns.result import Result

from dotterelstand.codes import Result as ResultCode
from dotterelstand.request.head import Headers
from dotterelstand.version.document import Service, Target


class AttemptOutcome(Enum):
    """How an attempt at a target ended."""

    OK = 0
    FAILED = 1
    CONNECT_FAILED = 2
    REFUSED = 3
    TIMED_OUT = 4
    CANCELLED = 5


class Call:
    """A request that needs a slot; `deadline` is in seconds on the monotonic clock.

    `klass` is the index of the class in the document.
    """

    __slots__ = ("deadline", "excluded", "klass", "tenant")

    def __init__(self, klass: int, tenant: str, deadline: float, excluded: frozenset[str]) -> None:
        self.klass = klass
        self.tenant = tenant
        self.deadline = deadline
        self.excluded = excluded


class CallOutcome:
    """End of a granted attempt: kind, duration in seconds, load that the answer reported."""

    __slots__ = ("duration_s", "kind", "load")

    def __init__(self, kind: AttemptOutcome, duration_s: float, load: int | None) -> None:
        self.kind = kind
        self.duration_s = duration_s
        self.load = load


class SlotGrant(Protocol):
    """Permission for one attempt at one target."""

    @property
    def target(self) -> Target:
        """Target of the attempt."""


class Slots(Protocol):
    """Chooses targets and bounds the attempts that run at them."""

    async def acquire(self, service: Service, call: Call) -> Result[SlotGrant, ResultCode]:
        """Wait for a slot; fails with the result code of a refusal."""

    def release(self, grant: SlotGrant, outcome: CallOutcome) -> None:
        """Give a slot back; called exactly once for each grant."""


class Go:
    """Permission to send a keyed request to targets, given once."""

    __slots__ = ("key", "service", "token")

    def __init__(self, key: bytes, service: str, token: object) -> None:
        self.key = key
        self.service = service
        self.token = token


class Recorded:
    """The answer that an earlier request with the same key received."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: Headers, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class Refused:
    """A keyed request that may not be sent."""

    __slots__ = ("code",)

    def __init__(self, code: ResultCode) -> None:
        self.code = code


class KeyedOutcome:
    """End of a permitted request; status 0 if there is no complete answer."""

    __slots__ = ("body", "code", "headers", "status")

    def __init__(self, code: ResultCode, status: int, headers: Headers, body: bytes) -> None:
        self.code = code
        self.status = status
        self.headers = headers
        self.body = body


class Journal(Protocol):
    """Records keyed requests, so that each runs at most once."""

    async def begin(self, key: bytes, body_digest: bytes, service: str) -> Go | Recorded | Refused:
        """Ask to run a keyed request; no byte may reach a target without `Go`."""

    def finish(self, go: Go, outcome: KeyedOutcome) -> None:
        """Record how a permitted request ended; called exactly once for each `Go`."""


class Admission:
    """Decision on one run of a request; `arbiter` permitted the run of a suspect."""

    __slots__ = ("allowed", "arbiter", "fingerprint", "number")

    def __init__(
        self, fingerprint: bytes, allowed: bool, number: int = 0, arbiter: str | None = None
    ) -> None:
        self.fingerprint = fingerprint
        self.allowed = allowed
        self.number = number
        self.arbiter = arbiter


class Suspects(Protocol):
    """Keeps requests that crash targets from running again."""

    def knows(self, head_digest: bytes) -> bool:
        """Whether a fingerprint that begins with this digest has strikes."""

    async def admit(self, fingerprint: bytes) -> Admission:
        """Decide whether a request may run; each admission is given to `leave` at its end."""

    async def strike(self, fingerprint: bytes, target: str) -> None:
        """Record that a target died while it ran a request."""

    def clear(self, fingerprint: bytes) -> None:
        """Record a success, which removes the strikes."""

    def leave(self, admission: Admission) -> None:
        """End an admitted run."""


class Counters(Protocol):
    """Counts ends of requests and their durations."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def record_latency(self, service: str, klass: str, tenant: str, seconds: float) -> None:
        """Add a duration to the histogram of a service, class and tenant."""
