"""Interfaces through which requests use the rest of the process."""

from typing import Protocol

from returns.result import Result

from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.idempotency.journalcall import CallOutcome, Go, Recorded, Refused
from dotterelstand.process.selection.outcome import SlotCall, SlotGrant, SlotOutcome
from dotterelstand.version.model import Service, Target
from dotterelstand.version.workspace import Workspace


class Slots(Protocol):
    """Target selection with a bound on concurrent attempts at each target."""

    async def acquire(self, service: Service, call: SlotCall) -> Result[SlotGrant, ResultCode]:
        """Wait for a slot at a target; fails with the result code of the refusal."""

    def release(self, grant: SlotGrant, outcome: SlotOutcome) -> None:
        """Release a slot; called exactly once for each grant."""


class LeavingTargets(Protocol):
    """Receiver of reports that a target is draining."""

    def target_leaving(self, target: str, incarnation: int = 0) -> None:
        """Record that a target announced in an answer that it is draining."""


class Journal(Protocol):
    """Journal of requests with an idempotency key, each of which runs at most once."""

    async def begin(self, key: bytes, body_digest: bytes, service: str) -> Go | Recorded | Refused:
        """Ask for permission to run a keyed request; without `Go` no byte may reach a target."""

    def finish(self, go: Go, outcome: CallOutcome) -> None:
        """Record the outcome of a permitted request; called exactly once for each `Go`."""


class Admission:
    """Decision whether a request may run.

    `arbiter` is the host that was asked about a suspect request, or None if none was asked.
    `lost_targets` names the targets that crashed while they ran the request. The next attempt
    avoids them if another target is available; a `trial` run may only use them.
    """

    __slots__ = ("allowed", "arbiter", "fingerprint", "lost_targets", "number", "trial")

    def __init__(
        self, fingerprint: bytes, allowed: bool, number: int = 0, arbiter: str | None = None
    ) -> None:
        self.fingerprint = fingerprint
        self.allowed = allowed
        self.number = number
        self.arbiter = arbiter
        self.lost_targets: frozenset[str] = frozenset()
        self.trial = False

    @property
    def is_suspect(self) -> bool:
        """Whether the request already had a strike on admission."""
        return self.arbiter is not None


class Suspects(Protocol):
    """Quarantine for requests that crash targets."""

    def has_strikes(self, head_digest: bytes) -> bool:
        """Whether a fingerprint with this prefix has strikes."""

    async def admit(self, fingerprint: bytes) -> Admission:
        """Decide whether a request may run; `end_run` must be called for each admission."""

    async def judge_loss(
        self, fingerprint: bytes, service: Service, target: Target, suspect: bool, until: float
    ) -> bool:
        """Find out whether a target crashed when it closed a connection that carried a request.

        If so, record a strike and return true. `suspect` says whether the request already had a
        strike or has crashed several targets. The target is checked up to `until` (seconds). Must
        not be cancelled.
        """

    def note_success(self, fingerprint: bytes) -> None:
        """Note that a request succeeded, which removes its strikes."""

    def end_run(self, admission: Admission) -> None:
        """Report the end of an admitted run."""


class Freshness(Protocol):
    """Proof that the document in force is current, without which no key of it may be trusted."""

    def is_proven(self) -> bool:
        """Whether this host may run a request on a key of the document in force now."""


class Quota(Protocol):
    """Limits on the requests of each workspace on all entry hosts together."""

    def admit(self, workspace: Workspace) -> float | None:
        """Charge one request to a workspace.

        Returns None if it may run, otherwise the seconds after which its caller may retry.
        """

    def refund(self, workspace: Workspace) -> None:
        """Undo the charge for a request that did not run."""


class Counters(Protocol):
    """Counters and latency histograms."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""

    def record_latency(self, service: str, klass: str, workspace: str, seconds: float) -> None:
        """Add a duration to the histogram of a service, class and workspace."""
