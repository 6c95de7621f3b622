"""What one request needs from the rest of the process."""

from typing import Protocol

from returns.result import Result

from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.idempotency.journalcall import CallOutcome, Go, Recorded, Refused
from dotterelstand.process.selection.outcome import SlotCall, SlotGrant, SlotOutcome
from dotterelstand.version.document import Service


class Slots(Protocol):
    """Chooses targets and bounds the attempts that run at them."""

    async def acquire(self, service: Service, call: SlotCall) -> Result[SlotGrant, ResultCode]:
        """Wait for a slot; fails with the result code of a refusal."""

    def release(self, grant: SlotGrant, outcome: SlotOutcome) -> None:
        """Give a slot back; called exactly once for each grant."""


class LeavingTargets(Protocol):
    """Learns which targets are leaving."""

    def target_leaving(self, target: str) -> None:
        """A target said in an answer that it is leaving."""


class Journal(Protocol):
    """Records keyed requests, so that each runs at most once."""

    async def begin(self, key: bytes, body_digest: bytes, service: str) -> Go | Recorded | Refused:
        """Ask to run a keyed request; no byte may reach a target without `Go`."""

    def finish(self, go: Go, outcome: CallOutcome) -> None:
        """Record how a permitted request ended; called exactly once for each `Go`."""


class Admission:
    """Decision on one run of a request; `arbiter` permitted the run of a suspect.

    `lost` names the targets that the request has cost; it must not run there again.
    """

    __slots__ = ("allowed", "arbiter", "fingerprint", "lost_targets", "number")

    def __init__(
        self, fingerprint: bytes, allowed: bool, number: int = 0, arbiter: str | None = None
    ) -> None:
        self.fingerprint = fingerprint
        self.allowed = allowed
        self.number = number
        self.arbiter = arbiter
        self.lost_targets: frozenset[str] = frozenset()

    @property
    def is_suspect(self) -> bool:
        """Whether the request had a strike when it was admitted."""
        return self.arbiter is not None


class Suspects(Protocol):
    """Keeps requests that crash targets from running again."""

    def knows(self, head_digest: bytes) -> bool:
        """Whether a fingerprint that begins with this digest has strikes."""

    async def admit(self, fingerprint: bytes) -> Admission:
        """Decide whether a request may run; each admission is given to `leave` at its end."""

    async def strike(self, fingerprint: bytes, target: str, suspect: bool) -> None:
        """Record that a target died while it ran a request, admitted as a suspect or not."""

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
