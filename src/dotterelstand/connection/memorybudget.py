"""Budget of the bytes that callers' connections and requests hold, and who is refused beyond it."""

import math
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from enum import IntEnum
from types import TracebackType
from typing import Protocol

# Bytes of memory that an open connection takes besides what it has received: tasks, h11 state and
# buffers of the process, measured at 22 to 27 KB.
CONNECTION_BYTES = 32_768
# Bytes of memory that TLS takes for a connection besides: its state, buffers and records.
TLS_BYTES = 32_768
# Bytes of memory that a request takes besides its head and body.
REQUEST_BYTES = 8192
# Bytes of memory that each line of a head takes besides its text: objects for name and value.
HEADER_BYTES = 300
# Share of the budget to which held bytes are reduced when it is used up, so that the choice among
# all connections is made once for many pieces of input.
REDUCED_SHARE = 0.9
# Maximum number of bytes that a connection reads at once, and its least value if there is a budget.
READ_BYTES = 65536
SMALL_READ_BYTES = 16384
# Least time in seconds without a request after which an idle connection is closed. A busy caller's
# next request would often cross the close.
MIN_IDLE_S = 5.0
# Time in seconds from which the rate of an upload tells whether it is slow.
MIN_RATED_S = 0.5
# An upload that holds no more bytes than this, besides those of its connection, is small: refusing
# it frees little, and ordinary uploads are small.
SMALL_BYTES = 32_768
# Maximum number of connections that are refused for memory and at the same time given time to read
# the refusal; further ones are closed at once.
MAX_CONCURRENT_LINGERS = 64
# Share of the connections that are refused together when there are too many.
INACTIVE_SHARE = 0.05
# Time in seconds between two searches for inactive connections if there was none.
INACTIVE_SEARCH_S = 0.1
# Ranks in the order of refusals of connections without a request for long, and of slow uploads.
_INACTIVE_RANKS = (0, 1, 3)


class Stage(IntEnum):
    """What a connection is doing.

    Nothing; receiving a request; waiting for a target; sending to a target or answering; ending.
    """

    IDLE = 0
    ARRIVING = 1
    WAITING = 2
    BUSY = 3
    ENDING = 4


class Holder(Protocol):
    """Connection whose bytes are counted.

    `since_s` is the time in seconds at which the connection became idle or its latest request began
    to arrive, and `received_bytes` the number of bytes received since.
    """

    @property
    def stage(self) -> Stage:
        """What the connection is doing."""

    @property
    def since_s(self) -> float:
        """Time in seconds at which the connection became idle or its latest request began."""

    @property
    def received_bytes(self) -> int:
        """Number of bytes received since then."""

    def refuse_for_memory(self) -> None:
        """Drop unread input, refuse the requests that can be refused and end the connection."""


# Called for each refusal with the stage of the connection and its number of held bytes.
Report = Callable[[Stage, int], None]


def head_cost(head: bytes | bytearray, length: int) -> int:
    """Bytes of memory that a parsed head with its request takes; `length` is that of the head."""
    return REQUEST_BYTES + length + head.count(b"\n", 0, length) * HEADER_BYTES


class Holding:
    """Number of bytes that one connection holds; context manager that releases them all."""

    __slots__ = ("_budget", "_closed", "_opened_bytes", "held_bytes", "holder", "refused")

    def __init__(self, budget: "MemoryBudget", holder: Holder, opened_bytes: int) -> None:
        self._budget = budget
        self._closed = False
        # None once the holding is closed, as the holder refers to it.
        self.holder: Holder | None = holder
        # Bytes that the connection takes by itself.
        self._opened_bytes = self.held_bytes = opened_bytes
        # Whether the connection was refused for lack of memory.
        self.refused = False

    @property
    def budget(self) -> "MemoryBudget":
        """Budget of all connections."""
        return self._budget

    @property
    def is_large(self) -> bool:
        """Whether refusing the connection frees much besides the connection itself."""
        return self.held_bytes - self._opened_bytes > SMALL_BYTES

    def hold(self, size: int, now: float) -> None:
        """Add a number of bytes; this may refuse connections, this one included."""
        if not self._closed:
            self.held_bytes += size
            self._budget.add(self, size, now)

    def release(self, size: int) -> None:
        """Subtract a number of bytes."""
        if not self._closed:
            self.held_bytes -= size
            self._budget.subtract(self, size)

    @contextmanager
    def lingering(self) -> Iterator[bool]:
        """Whether there is time for the caller to read its last answer before the close."""
        budget, counted = self._budget, int(self.refused)
        budget.lingers += counted
        try:
            yield not counted or budget.lingers <= MAX_CONCURRENT_LINGERS
        finally:
            budget.lingers -= counted

    def __enter__(self) -> "Holding":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Release all bytes; later calls have no effect."""
        if not self._closed:
            self._budget.remove(self)
            self._closed = True
            self.holder = None


class MemoryBudget:
    """Bytes held by all connections of a process, and their limit (infinite if there is none)."""

    __slots__ = (
        "_holdings",
        "_next_search_s",
        "_on_room",
        "_releasing_bytes",
        "_report",
        "ending",
        "limit_bytes",
        "lingers",
        "used_bytes",
    )

    def __init__(
        self, limit_bytes: float = math.inf, report: Report = lambda stage, size: None
    ) -> None:
        self.limit_bytes = limit_bytes
        self._report = report
        # In the order in which the connections were opened.
        self._holdings: dict[Holding, None] = {}
        self.used_bytes = 0
        # Earliest time of the next search for inactive connections.
        self._next_search_s = -math.inf
        # Called, and forgotten, when there is room again.
        self._on_room: dict[Callable[[], object], None] = {}
        # Part of `used_bytes` that connections hold which were refused and have not yet ended.
        self._releasing_bytes = 0
        # Number of refused connections that are given time to read their refusal.
        self.lingers = 0
        # Number of connections that were refused and have not yet ended.
        self.ending = 0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.limit_bytes < math.inf

    @property
    def has_room(self) -> bool:
        """Whether more input may be read."""
        return self.used_bytes <= self.limit_bytes

    def on_room(self, wake: Callable[[], object]) -> None:
        """Call `wake` once when there is room again; it must not add or subtract bytes."""
        self._on_room[wake] = None

    def read_bytes(self, awaits_request: bool) -> int:
        """Maximum number of bytes to read at once.

        All connections may read in the same moment, before the first of them is counted.
        """
        if not self.is_limited:
            return READ_BYTES
        if awaits_request:
            return SMALL_READ_BYTES
        room = (self.limit_bytes - self.used_bytes) // (len(self._holdings) + 1)
        return int(min(max(room, SMALL_READ_BYTES), READ_BYTES))

    def open(self, holder: Holder, has_tls: bool = False) -> Holding:
        """Count a new connection, which must be closed; refuses none."""
        holding = Holding(self, holder, CONNECTION_BYTES + TLS_BYTES * has_tls)
        self._holdings[holding] = None
        self.used_bytes += holding.held_bytes
        return holding

    def add(self, holding: Holding, size: int, now: float) -> None:
        """Add bytes to a connection; called by its holding."""
        self.used_bytes += size
        if holding.refused:
            self._releasing_bytes += size
        elif self.used_bytes > self.limit_bytes:
            self.make_room(now)

    def subtract(self, holding: Holding, size: int) -> None:
        """Subtract bytes from a connection; called by its holding."""
        self.used_bytes -= size
        if holding.refused:
            self._releasing_bytes -= size
        if self._on_room and self.has_room:
            waiting, self._on_room = self._on_room, {}
            for wake in waiting:
                wake()

    def remove(self, holding: Holding) -> None:
        """Forget a connection that has ended; called by its holding."""
        self.subtract(holding, holding.held_bytes)
        del self._holdings[holding]
        self.ending -= holding.refused

    def refuse_inactive(self, now: float) -> None:
        """Refuse some connections that are idle, or receive a request slowly, if there are any."""
        if now < self._next_search_s:
            return
        ranked = _rank_all(self._holdings, now)
        inactive = [pair for pair in ranked if pair[1][0] in _INACTIVE_RANKS]
        inactive.sort(key=lambda pair: pair[1])
        if not inactive:
            self._next_search_s = now + INACTIVE_SEARCH_S
        most = max(1, int(INACTIVE_SHARE * len(self._holdings)))
        for holding, _ in inactive[:most]:
            self._refuse(holding)

    def make_room(self, now: float) -> None:
        """Refuse connections if those not refused yet hold more than the limit."""
        excess = self.used_bytes - self._releasing_bytes - self.limit_bytes
        if excess <= 0:
            return
        excess += (1 - REDUCED_SHARE) * self.limit_bytes
        for holding in choose_refused(self._holdings, now, excess):
            self._refuse(holding)

    def _refuse(self, holding: Holding) -> None:
        holder = holding.holder
        assert holder is not None, "a closed holding is still counted"
        stage, size = holder.stage, holding.held_bytes
        holding.refused = True
        self.ending += 1
        self._releasing_bytes += size
        holder.refuse_for_memory()
        self._report(stage, size)


def choose_refused(holdings: Iterable[Holding], now: float, excess: float) -> list[Holding]:
    """Choose the connections to refuse, so that they hold at least `excess` bytes if possible.

    First those that have been idle for long, then the slowest large uploads, the newest large ones,
    the slowest small ones, requests that wait to be sent to a target, new small uploads and new
    connections, and callers that do not read their answers.
    """
    chosen: list[Holding] = []
    for holding, _ in sorted(_rank_all(holdings, now), key=lambda pair: pair[1]):
        if excess <= 0:
            break
        chosen.append(holding)
        excess -= holding.held_bytes
    return chosen


def _rank_all(holdings: Iterable[Holding], now: float) -> list[tuple[Holding, tuple[int, float]]]:
    """Connections that can be refused, with their place in the order of refusals."""
    return [(item, rank) for item in holdings if (rank := _rank(item, now)) is not None]


def _rank(holding: Holding, now: float) -> tuple[int, float] | None:
    """Order of refusal of a connection, the first being the lowest; None if it is ending."""
    holder = holding.holder
    assert holder is not None, "a closed holding is still counted"
    stage = holder.stage
    if holding.refused or stage is Stage.ENDING:
        return None
    age_s = now - holder.since_s
    if stage is Stage.IDLE:
        return (0, -age_s) if age_s >= MIN_IDLE_S else (5, age_s)
    if stage is Stage.ARRIVING:
        is_large, is_rated = holding.is_large, age_s >= MIN_RATED_S
        if is_rated:
            return 1 if is_large else 3, holder.received_bytes / age_s
        return 2 if is_large else 5, age_s
    # A request that waits for a slot is refused earlier than one that is about to be answered.
    return 4 if stage is Stage.WAITING else 6, -holding.held_bytes
