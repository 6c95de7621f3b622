"""Input of a caller connection that has been received and is not yet consumed."""

import fcntl
import struct
import termios
from collections import deque
from collections.abc import Callable

import trio

from dotterelstand.connection.callerlimits import MAX_LEFT_OVER_BYTES
from dotterelstand.connection.memorybudget import Holding
from dotterelstand.connection.target import has_hung_up

# Maximum number of bytes that input takes which is not yet consumed; beyond it, reading pauses.
READ_AHEAD_BYTES = 65536
# Bytes of memory that each received piece takes besides its bytes: objects for piece and time.
PIECE_BYTES = 160
# Maximum number of bytes that are read and dropped before a connection is closed.
MAX_LINGER_BYTES = 1_048_576
# Seconds between two checks whether the caller has disconnected, while reading pauses.
HANG_UP_CHECK_S = 0.1


class CallerInput:
    """Received pieces with their time of arrival.

    `holding` counts them with their objects, and the bytes that the system holds while reading
    pauses. `left_over` is the beginning of what was dropped before the connection is closed, and
    `readers` are the tasks that wait for input.
    """

    __slots__ = (
        "_holding",
        "_pieces",
        "_space",
        "_stream",
        "_system_bytes",
        "left_over",
        "readers",
        "received_bytes",
    )

    def __init__(self, stream: trio.abc.Stream, holding: Holding) -> None:
        self._stream = stream
        self._holding = holding
        self._pieces: deque[tuple[float, bytes]] = deque()
        self.received_bytes = 0
        self._system_bytes = 0
        self._space = trio.lowlevel.ParkingLot()
        self.readers = trio.lowlevel.ParkingLot()
        self.left_over = b""

    def __bool__(self) -> bool:
        return bool(self._pieces)

    @property
    def data(self) -> bytes:
        """All bytes."""
        return b"".join(data for _, data in self._pieces)

    @property
    def _is_full(self) -> bool:
        return self.received_bytes + len(self._pieces) * PIECE_BYTES >= READ_AHEAD_BYTES

    def append(self, data: bytes, now: float) -> None:
        """Add received bytes; they are dropped if the connection is refused for lack of memory."""
        self._pieces.append((now, data))
        self.received_bytes += len(data)
        self._holding.hold(len(data) + PIECE_BYTES, now)
        self.readers.unpark_all()

    def take(self) -> tuple[float, bytes]:
        """Remove the first piece; returns its time of arrival in seconds, too."""
        arrived_s, data = self._pieces.popleft()
        self.received_bytes -= len(data)
        self._holding.release(len(data) + PIECE_BYTES)
        self._space.unpark_all()
        return arrived_s, data

    def clear(self) -> None:
        """Drop all bytes."""
        while self._pieces:
            self.take()

    async def drop_until(self, is_ended: Callable[[], bool]) -> None:
        """Drop what is received until the caller disconnects or has sent too much."""
        dropped = 0
        while dropped < MAX_LINGER_BYTES:
            while not self._pieces:
                if is_ended():
                    return
                await self.readers.park()
            _, data = self.take()
            dropped += len(data)
            if len(self.left_over) < MAX_LEFT_OVER_BYTES:
                self.left_over += data

    async def wait_for_space(self) -> bool:
        """Wait until more input may be read; False if the caller has disconnected meanwhile."""
        budget = self._holding.budget
        while self._is_full or not budget.has_room:
            # The end of the stream is behind input that is not read now.
            if has_hung_up(self._stream):
                return False
            if budget.is_limited:
                self._count_system_bytes(_unread_bytes(self._stream))
                budget.make_room(trio.current_time())
            with trio.move_on_after(HANG_UP_CHECK_S):
                await self._space.park()
        if self._system_bytes:
            self._count_system_bytes(0)
        return True

    async def wait_for_memory(self, is_ended: Callable[[], bool]) -> bool:
        """Wait until all that is counted fits in the memory; False if the connection ends before.

        Connections that were refused don't wait, since others wait for what they hold.
        """
        budget = self._holding.budget
        while not (budget.has_room or self._holding.refused or is_ended()):
            budget.on_room(self.readers.unpark_all)
            await self.readers.park()
        return budget.has_room

    def _count_system_bytes(self, size: int) -> None:
        """Count what the system has received and this process has not read."""
        self._holding.release(self._system_bytes)
        self._system_bytes = size
        self._holding.hold(size, trio.current_time())


def _unread_bytes(stream: trio.abc.AsyncResource) -> int:
    """Number of received bytes that the system holds."""
    if isinstance(stream, trio.SSLStream):
        return _unread_bytes(stream.transport_stream)
    if not isinstance(stream, trio.SocketStream) or stream.socket.fileno() < 0:
        return 0
    found: bytes = fcntl.ioctl(stream.socket.fileno(), termios.FIONREAD, bytes(4))
    return int(struct.unpack("i", found)[0])
