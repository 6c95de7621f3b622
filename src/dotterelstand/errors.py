"""Expected errors with a code from docs/error-codes.md."""


class CodedError:
    """Expected error with its code and a message."""

    __slots__ = ("code", "text")

    def __init__(self, code: int, text: str) -> None:
        self.code = code
        self.text = text

    def __str__(self) -> str:
        return f"{self.code}: {self.text}"
