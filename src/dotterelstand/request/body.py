"""Body of a caller's request, read once and sent to one or more targets."""

from collections.abc import Awaitable, Callable

import trio
import xxhash

ReadPiece = Callable[[], Awaitable[bytes | None]]

# Maximum length in bytes of a held piece that is returned. A piece is copied before it is sent, and
# the copy stays in memory while the target doesn't read.
MAX_PIECE_BYTES = 65536


async def _read_nothing() -> None:
    """Source of a body that is not read any more."""


def _count_nothing(size: int) -> None:
    """Receiver of the sizes of pieces that nobody counts."""


class RequestBody:
    """Request body that is read in pieces and keeps its first `limit` bytes for retries.

    `read` returns the next piece, or None at the end. A lock serializes concurrent readers. `hold`
    counts the bytes that are held.
    """

    __slots__ = ("_held", "_hold", "_limit", "_lock", "_read", "_unread", "complete", "length")

    def __init__(
        self,
        read: ReadPiece,
        has_body: bool,
        limit: int,
        hold: Callable[[int], None] = _count_nothing,
    ) -> None:
        self._read = read
        self._hold = hold
        self._limit = limit
        self._held = bytearray()
        self._unread = b""
        self._lock: trio.Lock | None = trio.Lock() if has_body else None
        self.complete = not has_body
        self.length = 0

    @property
    def is_fully_held(self) -> bool:
        """Whether every byte read so far is still held."""
        return self.length == len(self._held)

    @property
    def held(self) -> bytes:
        """First bytes of the body, up to the limit."""
        return bytes(self._held)

    async def piece_at(self, position: int) -> bytes | None:
        """Piece that begins at a byte offset, or None at the end of the body.

        Raises the errors of `read`. To return a piece that was read before, every byte read so far
        must still be held.
        """
        if position < self.length:
            assert self.is_fully_held, "the part of the body already sent is no longer held"
            return self._held_piece(position)
        if self.complete or self._lock is None:
            return None
        async with self._lock:
            if position < self.length:
                return self._held_piece(position)
            return await self._read_next()

    async def fill(self) -> None:
        """Read until the end of the body or the limit; raises the errors of `read`."""
        while not self.complete and self.length < self._limit:
            await self.piece_at(self.length)

    def discard(self) -> None:
        """Free the held bytes of a request that has ended, to which others may still refer."""
        self._held = bytearray()
        self._unread = b""
        # Both usually belong to owners that refer to this body.
        self._read, self._hold = _read_nothing, _count_nothing

    def digest(self) -> bytes:
        """Digest of the held bytes; 16 bytes long."""
        return xxhash.xxh3_128_digest(self._held)

    def _held_piece(self, position: int) -> bytes:
        with memoryview(self._held) as view:
            return bytes(view[position : position + MAX_PIECE_BYTES])

    async def _read_next(self) -> bytes | None:
        data, self._unread = self._unread or await self._read(), b""
        if data is None:
            self.complete = True
            return None
        room = self._limit - len(self._held)
        if room > 0:
            # The bytes beyond the limit are returned by the next call.
            data, self._unread = data[:room], data[room:]
            self._held += data
            self._hold(len(data))
        self.length += len(data)
        return data
