"""Limits, batches and counters of a journal partition."""

from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.idempotency.entry import Answer, Claim, Entry


class JournalLimits:
    """Limits of one partition; times in seconds, sizes in bytes."""

    __slots__ = (
        "max_answer_bytes",
        "max_kept_bytes",
        "max_records",
        "max_segments",
        "max_staged",
        "partitions",
        "retention_s",
        "running_limit_s",
        "segment_bytes",
    )

    def __init__(
        self,
        partitions: int = 1,
        retention_s: float = 600.0,
        running_limit_s: float = 60.0,
        max_records: int = 250_000,
        max_answer_bytes: int = 4096,
        max_kept_bytes: int = 67_108_864,
        max_staged: int = 4096,
        max_segments: int = 4096,
        segment_bytes: int = 262_144,
    ) -> None:
        self.partitions = partitions
        self.retention_s = retention_s
        self.running_limit_s = running_limit_s
        self.max_records = max_records
        self.max_answer_bytes = max_answer_bytes
        self.max_kept_bytes = max_kept_bytes
        self.max_staged = max_staged
        self.max_segments = max_segments
        self.segment_bytes = segment_bytes


class Reply:
    """Reply to an intent that gets no permission: result code, with `REPLAYED` also the answer."""

    __slots__ = ("answer", "code")

    def __init__(self, code: ResultCode, answer: Answer | None = None) -> None:
        self.code = code
        self.answer = answer


class Segment:
    """Immutable store object with older entries.

    `newest` is the time of its newest entry on the journal clock, in seconds.
    """

    __slots__ = ("count", "epoch", "newest", "number")

    def __init__(self, epoch: int, number: int, newest: float, count: int) -> None:
        self.epoch = epoch
        self.number = number
        self.newest = newest
        self.count = count

    @property
    def id(self) -> str:
        """Last component of the object name."""
        return f"{self.epoch}-{self.number}"


class Batch:
    """Entries of one head update.

    The head is the store object with the lease and the newest entries. `segment`, if any, is
    written before the head; `removed` lists expired segments.
    """

    __slots__ = ("encoded", "entries", "payload", "removed", "segment", "segment_body")

    def __init__(self, entries: list[Entry], encoded: list[bytes]) -> None:
        self.entries = entries
        self.encoded = encoded
        self.payload = b""
        self.segment: Segment | None = None
        self.segment_body = b""
        self.removed: list[Segment] = []


class CommitResult:
    """Intents that a stored batch allows to run, and claims whose outcome it stored."""

    __slots__ = ("allowed", "stored")

    def __init__(self) -> None:
        self.allowed: list[Entry] = []
        self.stored: list[Claim] = []


class RecordFigures:
    """Counters of decisions about keys on this host."""

    __slots__ = ("allowed", "expired", "full", "kept_without_body", "outcomes", "replies")

    def __init__(self) -> None:
        self.allowed = 0
        self.outcomes = 0
        self.expired = 0
        self.full = 0
        self.kept_without_body = 0
        self.replies: dict[ResultCode, int] = {}
