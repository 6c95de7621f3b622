"""Decisions of a dispatcher on the calls that request a slot."""

from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.selection.queue import CallKey


class Granted:
    """Grant of a slot; `target` is an index into the service's targets."""

    __slots__ = ("key", "target")

    def __init__(self, key: CallKey, target: int) -> None:
        self.key = key
        self.target = target


class Refused:
    """Refusal of a slot, with its result code.

    `retry_after_s` is the time in seconds after which the caller may retry, None for the default
    of the code.
    """

    __slots__ = ("code", "key", "retry_after_s")

    def __init__(self, key: CallKey, code: ResultCode, retry_after_s: float | None = None) -> None:
        self.key = key
        self.code = code
        self.retry_after_s = retry_after_s


Decision = Granted | Refused
