"""Non-blocking log output as JSON lines."""

import os
import select
import time
from collections import deque

import trio
from absl import flags, logging
from pythonjsonlogger.json import JsonFormatter

from dotterelstand.events import Event, log

# Interval between writes of buffered lines; writing several lines together saves system calls.
WRITE_INTERVAL_S = 0.1


class LogOutput:
    """Buffers log lines until they can be written, and drops those beyond its limits.

    Each write has at most `select.PIPE_BUF` bytes, which a pipe that is ready for writing accepts
    without blocking. A stalled reader therefore never delays a request. The class has the methods
    of a text stream that log handlers use.
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
        "_written",
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
        # Set while lines are buffered or dropped lines are not yet reported.
        self._written = trio.Event()

    @property
    def dropped(self) -> int:
        """Number of lines dropped since the last call of `take_dropped`."""
        return self._dropped

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call, and reset it."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def write(self, text: str) -> None:
        """Buffer one line, or drop it if a limit is exceeded."""
        data = text.encode(errors="replace")
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._lines_this_second = second, 0
        self._lines_this_second += 1
        self._written.set()
        too_many = self._lines_this_second > self._max_lines_per_s
        if too_many or self._pending_bytes + len(data) > self._max_bytes:
            self._dropped += 1
            return
        self._lines.append(data)
        self._pending_bytes += len(data)

    def flush(self) -> None:
        """Do nothing when a handler calls this after a line; `write_pending` writes the lines."""

    def close(self) -> None:
        """Write as many buffered lines as possible without blocking; leaves the descriptor open."""
        self.write_pending()

    def write_pending(self) -> None:
        """Write as many buffered lines as possible without blocking."""
        while self._lines and self._poll.poll(0):
            chunk = self._next_chunk()
            try:
                written = os.write(self._fd, chunk)
            except OSError:
                # The reader has closed the pipe, so nobody can read the buffered lines.
                self._dropped += len(self._lines) + 1
                self._lines.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])

    async def run(self) -> None:
        """Write lines soon after they were logged and log dropped ones, until cancelled."""
        while True:
            await self._written.wait()
            await trio.sleep(WRITE_INTERVAL_S)
            self._written = trio.Event()
            self.write_pending()
            if self._lines:
                # The reader is slow, so the rest is tried again after another interval.
                self._written.set()
            elif self._dropped:
                log(Event.LOG_LINES_DROPPED, lines=self.take_dropped())

    def _next_chunk(self) -> bytes:
        chunk = self._lines.popleft()
        while self._lines and len(chunk) + len(self._lines[0]) <= select.PIPE_BUF:
            chunk += self._lines.popleft()
        if len(chunk) > select.PIPE_BUF:
            self._lines.appendleft(chunk[select.PIPE_BUF :])
            chunk = chunk[: select.PIPE_BUF]
        return chunk


def use_json_lines(output: LogOutput, host: str) -> None:
    """Configure logging to write each line to `output` as a JSON object with the host's name."""
    # Parse an empty command line: absl prints a warning for each line logged before that.
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
