"""Failure to read the body of a request."""

from dotterelstand.codes import Result as ResultCode


class BodyError(Exception):
    """Truncated, stalled, malformed or too long request body.

    `code` is the result code of the request unless a target may have run it.
    """

    __slots__ = ("code",)

    def __init__(self, code: ResultCode) -> None:
        super().__init__(code.name)
        self.code = code
