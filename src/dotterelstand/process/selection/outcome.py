"""Slot requests, grants and outcomes of attempts."""

from collections.abc import Callable
from enum import IntEnum

from dotterelstand.request.fields import LoadReport
from dotterelstand.version.model import Target
from dotterelstand.version.workspace import ANY_REGION


class AttemptOutcome(IntEnum):
    """Outcome of an attempt on a target."""

    OK = 0
    FAILED = 1
    CONNECT_FAILED = 2
    REFUSED = 3
    TIMED_OUT = 4
    CANCELLED = 5

    @property
    def is_failure(self) -> bool:
        """Whether the outcome counts as a failure of the target."""
        return self not in (AttemptOutcome.OK, AttemptOutcome.CANCELLED)


class SlotCall:
    """A call that requests a slot; `deadline` is in seconds of the monotonic clock.

    `klass` is the index of the class in the document; class 0 is served first. A `no_wait` call
    gets a slot only if no other call is queued and a target that is not slow has a free slot;
    otherwise it is refused. An attempt that starts after `start_by` (seconds; None: no limit) is
    late even if it ends before the deadline. Only targets in `regions` may run the call, unless
    that is empty. If the call is refused, `retry_after_s` is the time in seconds after which its
    caller may retry; None for the default of the result code.
    """

    __slots__ = (
        "deadline",
        "excluded",
        "klass",
        "no_wait",
        "regions",
        "retry_after_s",
        "start_by",
        "workspace",
    )

    def __init__(
        self,
        klass: int,
        workspace: str,
        deadline: float,
        excluded: frozenset[str] = frozenset(),
        no_wait: bool = False,
        start_by: float | None = None,
        regions: frozenset[str] = ANY_REGION,
    ) -> None:
        self.regions = regions
        self.no_wait = no_wait
        self.start_by = start_by
        self.retry_after_s: float | None = None
        self.klass = klass
        self.workspace = workspace
        self.deadline = deadline
        self.excluded = excluded

    def accepts(self, target: Target) -> bool:
        """Whether a target may run the call."""
        allowed = not self.regions or target.region in self.regions
        return allowed and target.name not in self.excluded


class SlotOutcome:
    """Outcome of a granted attempt: duration in seconds and the load that the answer reported."""

    __slots__ = ("duration_s", "kind", "load")

    def __init__(
        self, kind: AttemptOutcome, duration_s: float, load: LoadReport | None = None
    ) -> None:
        self.kind = kind
        self.duration_s = duration_s
        self.load = load


class TargetSnapshot:
    """Load of a target at the time of a grant; `report_age_s` is None without a load report."""

    __slots__ = ("in_flight", "report_age_s", "slowdown")

    def __init__(self, in_flight: int, slowdown: float, report_age_s: float | None) -> None:
        self.in_flight = in_flight
        self.slowdown = slowdown
        self.report_age_s = report_age_s


class SlotGrant:
    """Permission to send one attempt to `target`; ends with `SlotBroker.release`.

    `granted_by` is the dispatcher's host, or empty after a local choice. `on_slow`, if set, is
    called when the target turns slow while the grant is open.
    """

    __slots__ = (
        "dispatcher",
        "granted_by",
        "number",
        "on_slow",
        "service",
        "target",
        "target_index",
        "target_snapshot",
    )

    def __init__(
        self,
        service: str,
        target: Target,
        target_index: int,
        dispatcher: str,
        number: int,
        granted_by: str,
        target_snapshot: TargetSnapshot,
    ) -> None:
        self.granted_by = granted_by
        self.target_snapshot = target_snapshot
        self.on_slow: Callable[[], object] | None = None
        self.service = service
        self.target = target
        self.target_index = target_index
        self.dispatcher = dispatcher
        self.number = number
