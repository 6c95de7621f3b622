"""Settings, events and figures of the owner of a journal partition."""

from collections.abc import Callable

import trio

from dotterelstand.process.idempotency.entry import Claim
from dotterelstand.process.idempotency.journal import Journal
from dotterelstand.process.idempotency.journaltypes import Reply


class OwnerSettings:
    """Rates and times of a partition's owner, in seconds and updates a second."""

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


class OwnerEvents:
    """What an owner tells its service: permissions, refusals, stored outcomes, ownership."""

    __slots__ = ("allow", "owned", "refuse", "stored")

    def __init__(
        self,
        allow: Callable[[Claim, int], None],
        refuse: Callable[[Claim, Reply], None],
        stored: Callable[[Claim], None],
        owned: Callable[[int, int], None],
    ) -> None:
        self.allow = allow
        self.refuse = refuse
        self.stored = stored
        self.owned = owned


class PartitionFigures:
    """Store updates and takeovers of a partition on this host."""

    __slots__ = ("acquired", "deleted", "lost", "rejected", "segments", "updates")

    def __init__(self) -> None:
        self.updates = 0
        self.segments = 0
        self.rejected = 0
        self.acquired = 0
        self.lost = 0
        self.deleted = 0


class Prepared:
    """A journal that a candidate reads ahead, valid if it replaces this version of the head."""

    __slots__ = ("done", "epoch", "journal", "version")

    def __init__(self, version: int) -> None:
        self.version = version
        self.epoch = 0
        self.journal: Journal | None = None
        self.done = trio.Event()
