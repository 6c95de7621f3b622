"""Complete lists of platform objects that hubs pass on, so that few hosts read them from the store.

Does no I/O.
"""

import zlib
from collections.abc import Callable, Sequence

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.connection.wire import Message, Snapshot, StoreChanges
from dotterelstand.events import Event, log
from dotterelstand.process.discovery.registry import (
    ALL_RELAYED_KINDS,
    UNANSWERED,
    Entry,
    Item,
    Kind,
    ListCodec,
    Listing,
    Platform,
    PlatformError,
    relayed_number,
)
from dotterelstand.process.discovery.relayview import MAX_CHANGES, RelayedChanges, RelayView

# Limit on the decompressed size of the objects or changes in one message.
MAX_DECOMPRESSED_BYTES = 16 * 1024 * 1024
# Number of changes after which they are merged into the list, before the first of them is dropped.
MERGE_AFTER_CHANGES = MAX_CHANGES // 2

SendMessage = Callable[[str, Message], object]


class _StoredList:
    """A complete list as of a revision; `encoded` is compressed."""

    __slots__ = ("encoded", "revision")

    def __init__(self, revision: int, encoded: bytes) -> None:
        self.revision = revision
        self.encoded = encoded


class SnapshotServer:
    """Keeps the lists of a hub up to date and sends them to other hosts on request.

    A request that arrives while the list is being read is answered afterwards. A list that is
    dropped, because the store failed, is not sent any more; the next list is compared with it.
    """

    __slots__ = ("_codec", "_lists", "_reading", "_send", "_valid", "_view", "_waiting")

    def __init__(self, codec: ListCodec, view: RelayView, send: SendMessage) -> None:
        self._codec = codec
        self._view = view
        self._send = send
        self._lists: dict[Kind, _StoredList] = {}
        self._valid: set[Kind] = set()
        self._reading: set[Kind] = set()
        self._waiting: dict[Kind, set[str]] = {kind: set() for kind in ALL_RELAYED_KINDS}

    def begin_read(self, kind: Kind) -> None:
        """Let requests wait until `store` or `drop`."""
        self._reading.add(kind)

    def store(self, kind: Kind, revision: int, encoded: bytes) -> StoreChanges | None:
        """Keep a list, and answer the waiting requests.

        Returns the changes since the list that was kept before, or None if there was none.
        """
        self._advance(kind)
        old = self._lists.get(kind)
        self._reading.discard(kind)
        self._lists[kind] = _StoredList(revision, zlib.compress(encoded))
        self._valid.add(kind)
        changes = None
        if old is not None and old.revision < revision:
            events = decompress(old.encoded).bind(
                lambda old_encoded: self._codec.diff_lists(old_encoded, encoded)
            )
            if is_successful(events):
                number, compressed = relayed_number(kind), zlib.compress(events.unwrap())
                changes = StoreChanges(compressed, number, old.revision, revision)
            else:
                _log_unreadable(kind, events.failure())
        self._answer_waiting(kind)
        return changes

    def drop(self, kind: Kind) -> None:
        """Stop sending a list, and tell the waiting hosts that there is none."""
        self._reading.discard(kind)
        self._valid.discard(kind)
        self._answer_waiting(kind)

    def forget(self, kind: Kind) -> None:
        """Remove a list, for example because this host is no longer a hub."""
        self._lists.pop(kind, None)
        self.drop(kind)

    def merge_if_due(self, kind: Kind) -> None:
        """Merge the changes into the list if there are many."""
        stored = self._lists.get(kind)
        if stored is not None:
            if len(self._view.changes_after(kind, stored.revision)) >= MERGE_AFTER_CHANGES:
                self._advance(kind)

    def request(self, host: str, kind: Kind, known_revision: int) -> None:
        """Answer the request of a host; `known_revision` is the last change that this host has."""
        if kind not in self._valid and kind in self._reading:
            self._waiting[kind].add(host)
            return
        number = relayed_number(kind)
        if kind in self._valid:
            self._advance(kind)
            stored = self._lists[kind]
            if stored.revision >= known_revision:
                self._send(host, Snapshot(stored.encoded, number, stored.revision))
                return
            # The changes after the list are no longer kept.
            self._valid.discard(kind)
        self._send(host, Snapshot(b"", number, 0))

    def _advance(self, kind: Kind) -> None:
        """Merge the changes since the list was read into it."""
        stored = self._lists.get(kind)
        changes = [] if stored is None else self._view.changes_after(kind, stored.revision)
        if stored is None or not changes:
            return
        revision = changes[-1].to_revision
        bodies: list[bytes] = []
        for item in changes:
            body = decompress(item.encoded)
            if not is_successful(body):
                _log_unreadable(kind, body.failure())
                return
            bodies.append(body.unwrap())
        merged = decompress(stored.encoded).bind(
            lambda encoded: self._codec.merge_changes(encoded, bodies, revision)
        )
        if is_successful(merged):
            self._lists[kind] = _StoredList(revision, zlib.compress(merged.unwrap()))
        else:
            _log_unreadable(kind, merged.failure())

    def _answer_waiting(self, kind: Kind) -> None:
        waiting, self._waiting[kind] = self._waiting[kind], set()
        for host in sorted(waiting):
            self.request(host, kind, 0)


def _log_unreadable(kind: Kind, error: PlatformError) -> None:
    log(Event.OBJECT_UNREADABLE, kind=kind.value, name="", reason=str(error))


def relayed_changes(message: StoreChanges) -> RelayedChanges:
    """Changes in a message of a relay."""
    return RelayedChanges(message.since, message.until, message.encoded)


def decompress(data: bytes) -> Result[bytes, PlatformError]:
    """Decompress objects or changes from another host."""
    try:
        return Success(zlib.decompressobj().decompress(data, MAX_DECOMPRESSED_BYTES))
    except zlib.error as error:
        return Failure(PlatformError(UNANSWERED, f"cannot decompress data of a relay: {error}"))


def merge_relayed(
    platform: Platform, kind: Kind, consecutive: Sequence[RelayedChanges]
) -> Result[Listing[Item], PlatformError]:
    """Merge consecutive changes, keeping the last state of each object.

    The first changes may overlap changes that the host already has, so only the last state of each
    object is certain to be current.
    """
    entries: dict[str, Entry[Item]] = {}
    for changes in consecutive:
        listing = decompress(changes.encoded).bind(
            lambda encoded: platform.parse_changes(kind, encoded)
        )
        if not is_successful(listing):
            return listing
        entries.update({entry.name: entry for entry in listing.unwrap().entries})
    return Success(Listing(list(entries.values()), consecutive[-1].to_revision))
