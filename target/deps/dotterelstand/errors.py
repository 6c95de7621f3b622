"""Expected errors with a number from docs/error-codes.md."""


class CodedError:
    """An expected error: its number, and a text that says what happened."""

    __slots__ = ("code", "text")

    def __init__(self, code: int, text: str) -> None:
        self.code = code
        self.text = text

    def __str__(self) -> str:
        return f"{self.code}: {self.text}"
