"""Log output as JSON lines that never waits for its reader."""

import os
import select
import time
from collections import deque

import trio
from absl import flags, logging
from pythonjsonlogger.json import JsonFormatter

from dotterelstand.events import Event, log

# Seconds between two writes of what was logged; each write costs system calls.
DRAIN_S = 0.1


class LogOutput:
    """Keeps lines until their reader takes them, and drops what exceeds its bounds.

    A pipe that is ready for writing takes `select.PIPE_BUF` bytes without blocking, so that a
    reader which stands still never holds up a request. It has the methods of a text stream that
    log handlers use.
    """

    __slots__ = (
        "_dropped",
        "_fd",
        "_lines",
        "_lines_this_second",
        "_max_bytes",
        "_max_lines_per_s",
        "_pending_bytes",
        "_poll",
        "_second",
    )

    def __init__(self, fd: int, max_bytes: int, max_lines_per_s: int) -> None:
        self._fd = fd
        self._max_bytes = max_bytes
        self._max_lines_per_s = max_lines_per_s
        self._lines: deque[bytes] = deque()
        self._pending_bytes = 0
        self._second = 0
        self._lines_this_second = 0
        self._dropped = 0
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    @property
    def dropped(self) -> int:
        """Lines dropped since `take_dropped`."""
        return self._dropped

    def take_dropped(self) -> int:
        """Lines dropped since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def write(self, text: str) -> None:
        """Keep one line, or drop it."""
        data = text.encode(errors="replace")
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        too_many = self._lines_this_second > self._max_lines_per_s
        if too_many or self._pending_bytes + len(data) > self._max_bytes:
            self._dropped += 1
            return
        self._lines.append(data)
        self._pending_bytes += len(data)

    def flush(self) -> None:
        """Handlers call this after each line; lines are written by `drain`."""

    def close(self) -> None:
        """Write what the reader takes at once; the file descriptor belongs to the process."""
        self.drain()

    def drain(self) -> None:
        """Write as much as the reader takes at once."""
        while self._lines and self._poll.poll(0):
            piece = self._next_piece()
            try:
                written = os.write(self._fd, piece)
            except OSError:
                # The reader is gone; its lines have no use.
                self._dropped += len(self._lines) + 1
                self._lines.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(piece):
                self._lines.appendleft(piece[written:])

    async def run(self) -> None:
        """Write what is logged, and log what was dropped, until cancelled."""
        while True:
            await trio.sleep(DRAIN_S)
            self.drain()
            if self._dropped and not self._lines:
                log(Event.LOG_LINES_DROPPED, lines=self.take_dropped())

    def _next_piece(self) -> bytes:
        piece = self._lines.popleft()
        while self._lines and len(piece) + len(self._lines[0]) <= select.PIPE_BUF:
            piece += self._lines.popleft()
        if len(piece) > select.PIPE_BUF:
            self._lines.appendleft(piece[select.PIPE_BUF :])
            piece = piece[: select.PIPE_BUF]
        return piece


def use_json_lines(output: LogOutput, host: str) -> None:
    """Send every log line to an output, as one JSON object that names the host."""
    # absl warns about each line that is logged before its own flags are parsed.
    flags.FLAGS(["dotterelstandd"])
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(
        JsonFormatter(
            ["levelname"],
            rename_fields={"levelname": "level"},
            static_fields={"host": host},
            timestamp="time",
        )
    )
    handler.python_handler.stream = output
