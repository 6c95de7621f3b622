"""Outcomes that are handed to the owner of their key until it confirms them."""

from collections import OrderedDict
from collections.abc import Callable

import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection import wire
from dotterelstand.events import Event, log
from dotterelstand.process.idempotency.entry import Answer

# Time between two attempts to hand over an outcome, in seconds.
RESEND_S = 0.5
# Outcomes that are handed over again at a time.
RESEND_BATCH = 256


class _Unsettled:
    """An outcome that the owner has not confirmed."""

    __slots__ = ("confirmed", "message", "partition", "sent_at")

    def __init__(self, message: wire.Outcome, partition: int) -> None:
        self.message = message
        self.partition = partition
        self.sent_at = 0.0
        self.confirmed = trio.Event()


class OutcomeFigures:
    """Counts of outcomes: reported, handed over again, dropped at the bound."""

    __slots__ = ("added", "dropped", "resent")

    def __init__(self) -> None:
        self.added = 0
        self.dropped = 0
        self.resent = 0


class UnsettledOutcomes:
    """Bounded table of outcomes by call number.

    `send(owner, message)` may be called again for one outcome; the owner ignores repetitions.
    """

    __slots__ = ("_emptied", "_items", "_limit", "_owners", "_send", "figures")

    def __init__(self, send: Callable[[str, wire.Outcome], None], limit: int) -> None:
        self._send = send
        self._limit = limit
        self._items: OrderedDict[int, _Unsettled] = OrderedDict()
        self._owners: dict[int, str] = {}
        self._emptied = trio.Event()
        self.figures = OutcomeFigures()

    def __len__(self) -> int:
        return len(self._items)

    @property
    def full(self) -> bool:
        """Whether no new request should be begun until outcomes are confirmed."""
        return len(self._items) >= self._limit

    def add(
        self,
        key: bytes,
        partition: int,
        call: int,
        epoch: int,
        code: ResultCode,
        answer: Answer | None,
    ) -> None:
        """Hand an outcome to the owner until it confirms it."""
        self.figures.added += 1
        if len(self._items) >= 2 * self._limit:
            # Requests that were permitted before the table was full; their keys stay unknown.
            self.figures.dropped += 1
            log(Event.OUTCOME_DROPPED, call=call)
            return
        kept = answer or Answer(0, [], b"")
        message = wire.Outcome(kept.body, call, int(code), epoch, kept.headers, key, kept.status)
        item = self._items[call] = _Unsettled(message, partition)
        self._hand_over(item)

    def confirm(self, call: int) -> None:
        """Forget an outcome that needs no record or has one."""
        item = self._items.pop(call, None)
        if item is not None:
            item.confirmed.set()
        if not self._items:
            self._emptied.set()

    async def wait_confirmed(self, call: int) -> None:
        """Wait until an outcome is confirmed."""
        if call in self._items:
            await self._items[call].confirmed.wait()

    async def wait_empty(self) -> None:
        """Wait until every outcome is confirmed."""
        while self._items:
            self._emptied = trio.Event()
            await self._emptied.wait()

    def set_owner(self, partition: int, owner: str | None) -> None:
        """Note the owner of a partition and hand it the oldest outcomes."""
        if owner is None:
            self._owners.pop(partition, None)
            return
        self._owners[partition] = owner
        items = [item for item in self._items.values() if item.partition == partition]
        self._resend(items[:RESEND_BATCH])

    async def run(self) -> None:
        """Repeat unconfirmed outcomes until cancelled."""
        while True:
            await trio.sleep(RESEND_S / 2)
            oldest = trio.current_time() - RESEND_S
            self._resend([item for item in self._items.values() if item.sent_at <= oldest])

    def _resend(self, items: list[_Unsettled]) -> None:
        for item in items[:RESEND_BATCH]:
            self.figures.resent += 1
            self._hand_over(item)

    def _hand_over(self, item: _Unsettled) -> None:
        item.sent_at = trio.current_time()
        owner = self._owners.get(item.partition)
        if owner is not None:
            self._send(owner, item.message)
