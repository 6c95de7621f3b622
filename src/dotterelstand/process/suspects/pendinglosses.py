"""Requests that lost a connection to a target, until it is known whether the target crashed."""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

import trio

from dotterelstand.process.suspects.strikes import HEAD_DIGEST_BYTES


class PendingLosses:
    """Losses of this host that are being judged; copies of their requests wait for them.

    Each belongs to a request in flight, which bounds their number.
    """

    __slots__ = ("_digest_counts", "_ends", "_successes")

    def __init__(self) -> None:
        self._ends: dict[bytes, list[trio.Event]] = {}
        self._digest_counts: Counter[bytes] = Counter()
        # Losses that wait for a success of their request.
        self._successes: dict[bytes, trio.lowlevel.ParkingLot] = {}

    @contextmanager
    def judging(self, fingerprint: bytes) -> Iterator[None]:
        """Let copies of a request wait while the block runs."""
        digest, end = fingerprint[:HEAD_DIGEST_BYTES], trio.Event()
        self._ends.setdefault(fingerprint, []).append(end)
        self._digest_counts[digest] += 1
        try:
            yield
        finally:
            self._ends[fingerprint].remove(end)
            if not self._ends[fingerprint]:
                del self._ends[fingerprint]
            self._digest_counts[digest] -= 1
            if not self._digest_counts[digest]:
                del self._digest_counts[digest]
            end.set()

    def has_digest(self, head_digest: bytes) -> bool:
        """Whether a loss of a fingerprint that begins with this digest is being judged."""
        return head_digest in self._digest_counts

    async def wait(self, fingerprint: bytes) -> None:
        """Wait for the judgement of the losses that are known now, not of later ones."""
        for end in tuple(self._ends.get(fingerprint, ())):
            await end.wait()

    async def wait_for_success(self, fingerprint: bytes) -> None:
        """Wait until a copy of a request succeeds on this host."""
        lot = self._successes.setdefault(fingerprint, trio.lowlevel.ParkingLot())
        try:
            await lot.park()
        finally:
            if not lot and self._successes.get(fingerprint) is lot:
                del self._successes[fingerprint]

    def note_success(self, fingerprint: bytes) -> None:
        """Note that a copy of a request succeeded."""
        lot = self._successes.pop(fingerprint, None)
        if lot is not None:
            lot.unpark_all()
