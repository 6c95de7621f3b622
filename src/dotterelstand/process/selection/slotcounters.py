"""Counters of slot requests, of requests from other hosts, and of dispatchers."""


class SlotCounters:
    """Totals of this host's slot requests since the start."""

    __slots__ = (
        "ask_failed",
        "asked",
        "fallback_timeout",
        "local",
        "regional",
        "table_full",
        "unusable",
    )

    def __init__(self) -> None:
        self.asked = 0
        self.regional = 0
        self.local = 0
        self.fallback_timeout = 0
        self.ask_failed = 0
        self.unusable = 0
        self.table_full = 0


class GrantServerCounters:
    """Totals of the slot requests from other hosts since the start."""

    __slots__ = ("answers_unsent", "grants_sent", "malformed", "refusals_sent", "table_full")

    def __init__(self) -> None:
        self.grants_sent = 0
        self.refusals_sent = 0
        self.answers_unsent = 0
        self.malformed = 0
        self.table_full = 0


class DispatcherCounters:
    """Totals of one dispatcher's grants and refusals since the start."""

    __slots__ = ("deadline_refused", "expired", "granted", "queue_refused", "spilled", "waited")

    def __init__(self) -> None:
        self.granted = 0
        self.waited = 0
        self.queue_refused = 0
        self.deadline_refused = 0
        self.expired = 0
        self.spilled = 0
