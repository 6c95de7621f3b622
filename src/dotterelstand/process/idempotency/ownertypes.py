"""Settings, callbacks and counters of the owner of a journal partition."""

from collections.abc import Callable

import trio

from dotterelstand.process.idempotency.entry import Claim
from dotterelstand.process.idempotency.journal import Journal
from dotterelstand.process.idempotency.journaltypes import Reply


class OwnerSettings:
    """Settings of a partition owner; times in seconds, rate in store updates per second."""

    __slots__ = ("lease_s", "outcome_delay_s", "region", "writes_per_s")

    def __init__(
        self,
        lease_s: float = 2.0,
        writes_per_s: float = 8.0,
        outcome_delay_s: float = 0.25,
        region: str = "",
    ) -> None:
        self.lease_s = lease_s
        self.writes_per_s = writes_per_s
        self.outcome_delay_s = outcome_delay_s
        self.region = region


class OwnerCallbacks:
    """Callbacks of an owner to the journal service of its host."""

    __slots__ = ("allow", "announce", "confirm_outcome", "refuse")

    def __init__(
        self,
        allow: Callable[[Claim, int], None],
        refuse: Callable[[Claim, Reply], None],
        confirm_outcome: Callable[[Claim], None],
        announce: Callable[[int, int], None],
    ) -> None:
        self.allow = allow
        self.refuse = refuse
        self.confirm_outcome = confirm_outcome
        self.announce = announce


class PartitionFigures:
    """Counters of store updates and takeovers of a partition on this host."""

    __slots__ = ("acquired", "deleted", "lost", "rejected", "segments", "updates")

    def __init__(self) -> None:
        self.updates = 0
        self.segments = 0
        self.rejected = 0
        self.acquired = 0
        self.lost = 0
        self.deleted = 0


class PreloadedJournal:
    """A journal that a candidate loads before a takeover; valid for one version of the head."""

    __slots__ = ("epoch", "finished", "journal", "version")

    def __init__(self, version: int) -> None:
        self.version = version
        self.epoch = 0
        self.journal: Journal | None = None
        self.finished = trio.Event()
