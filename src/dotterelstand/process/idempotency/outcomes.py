"""Outcomes of requests, sent to the owner of their key until it confirms them."""

from collections import OrderedDict
from collections.abc import Callable

import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection import wire
from dotterelstand.events import Event, log
from dotterelstand.process.idempotency.entry import Answer

# Time between two attempts to send an outcome, in seconds.
RESEND_INTERVAL_S = 0.5
# Limit on the outcomes that are resent in one batch; the others follow in later batches.
RESEND_BATCH = 256


class _UnconfirmedOutcome:
    """An outcome that the owner has not confirmed."""

    __slots__ = ("confirmed", "message", "partition", "sent_at")

    def __init__(self, message: wire.Outcome, partition: int) -> None:
        self.message = message
        self.partition = partition
        self.sent_at = 0.0
        self.confirmed = trio.Event()


class OutcomeFigures:
    """Counters of outcomes: reported, resent, and dropped because the table was full."""

    __slots__ = ("added", "dropped", "resent")

    def __init__(self) -> None:
        self.added = 0
        self.dropped = 0
        self.resent = 0


class UnconfirmedOutcomes:
    """Bounded table of unconfirmed outcomes by call number.

    `send(owner, message)` may be called several times for one outcome; owners ignore repetitions.
    """

    __slots__ = ("_empty_event", "_items", "_limit", "_owners", "_send", "figures")

    def __init__(self, send: Callable[[str, wire.Outcome], None], limit: int) -> None:
        self._send = send
        self._limit = limit
        self._items: OrderedDict[int, _UnconfirmedOutcome] = OrderedDict()
        self._owners: dict[int, str] = {}
        self._empty_event = trio.Event()
        self.figures = OutcomeFigures()

    def __len__(self) -> int:
        return len(self._items)

    @property
    def full(self) -> bool:
        """Whether new requests must be refused until outcomes are confirmed."""
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
        """Send an outcome to the owner until it is confirmed."""
        self.figures.added += 1
        if len(self._items) >= 2 * self._limit:
            # Only requests allowed before the table was full get here; their outcomes stay unknown.
            self.figures.dropped += 1
            log(Event.OUTCOME_DROPPED, call=call)
            return
        kept = answer or Answer(0, [], b"")
        message = wire.Outcome(kept.body, call, int(code), epoch, kept.headers, key, kept.status)
        item = self._items[call] = _UnconfirmedOutcome(message, partition)
        self._send_to_owner(item)

    def confirm(self, call: int) -> None:
        """Remove an outcome that the owner has stored or does not need to store."""
        item = self._items.pop(call, None)
        if item is not None:
            item.confirmed.set()
        if not self._items:
            self._empty_event.set()

    async def wait_confirmed(self, call: int) -> None:
        """Wait until an outcome is confirmed."""
        if call in self._items:
            await self._items[call].confirmed.wait()

    async def wait_empty(self) -> None:
        """Wait until every outcome is confirmed."""
        while self._items:
            self._empty_event = trio.Event()
            await self._empty_event.wait()

    def set_owner(self, partition: int, owner: str | None) -> None:
        """Set the owner of a partition and send it the oldest outcomes."""
        if owner is None:
            self._owners.pop(partition, None)
            return
        self._owners[partition] = owner
        items = [item for item in self._items.values() if item.partition == partition]
        self._resend(items[:RESEND_BATCH])

    async def run(self) -> None:
        """Resend unconfirmed outcomes until cancelled."""
        while True:
            await trio.sleep(RESEND_INTERVAL_S / 2)
            sent_before = trio.current_time() - RESEND_INTERVAL_S
            self._resend([item for item in self._items.values() if item.sent_at <= sent_before])

    def _resend(self, items: list[_UnconfirmedOutcome]) -> None:
        for item in items[:RESEND_BATCH]:
            self.figures.resent += 1
            self._send_to_owner(item)

    def _send_to_owner(self, item: _UnconfirmedOutcome) -> None:
        item.sent_at = trio.current_time()
        owner = self._owners.get(item.partition)
        if owner is not None:
            self._send(owner, item.message)
