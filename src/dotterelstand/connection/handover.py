"""Answers that a caller connection has handed to the operating system, and the end of its input."""

from collections import deque
from enum import StrEnum

import trio

from dotterelstand.request.head import RequestHead
from dotterelstand.request.logfields import logged_id, logged_path

# Maximum number of answers of one connection that are kept; as many requests are served at once.
MAX_ANSWERS = 8
# Seconds after an answer was handed over during which a reset may have discarded it.
RESET_WINDOW_S = 1.0


class InputEnd(StrEnum):
    """How the input of a connection ended: by the caller's close or reset, or by a close here."""

    CLOSED = "closed"
    RESET = "reset"
    CLOSED_HERE = "closed_here"


class HandedOverAnswer:
    """One answer, handed to the operating system at `time_s` in monotonic seconds.

    `request_id` and `path` are those of its request as they are logged, which take less memory than
    its head; empty if that could not be read.
    """

    __slots__ = ("path", "request_id", "sent_bytes", "time_s")

    def __init__(self, head: RequestHead | None, sent_bytes: int, time_s: float) -> None:
        self.request_id = logged_id(None if head is None else head.request_id)
        self.path = "" if head is None else logged_path(head.path)
        self.sent_bytes = sent_bytes
        self.time_s = time_s


class Handover:
    """The latest answers that one connection has handed over.

    A reset discards what the other end has not read, so an answer that was handed over shortly
    before may not have reached the caller. `last_sent_s` is monotonic, in seconds; `input_end` is
    valid once the caller has disconnected.
    """

    __slots__ = ("_answers", "input_end", "last_sent_s")

    def __init__(self) -> None:
        self._answers: deque[HandedOverAnswer] = deque(maxlen=MAX_ANSWERS)
        self.input_end = InputEnd.CLOSED
        self.last_sent_s = trio.current_time()

    def note_answer(self, head: RequestHead | None, sent_bytes: int) -> None:
        """Keep an answer that was handed over now, and forget those that a reset can't discard."""
        now = trio.current_time()
        while self._answers and now - self._answers[0].time_s > RESET_WINDOW_S:
            self._answers.popleft()
        self._answers.append(HandedOverAnswer(head, sent_bytes, now))

    def note_error(self, error: Exception) -> None:
        """Note the error of trio's that ended the input."""
        closed = isinstance(error, trio.ClosedResourceError)
        self.input_end = InputEnd.CLOSED_HERE if closed else InputEnd.RESET

    def answers_within_window(self) -> list[HandedOverAnswer]:
        """Answers that were handed over at most `RESET_WINDOW_S` ago."""
        now = trio.current_time()
        return [item for item in self._answers if now - item.time_s <= RESET_WINDOW_S]
