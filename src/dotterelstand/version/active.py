"""Keeps the version in force from going backwards."""


class ActiveVersion:
    """Number of the version in force; it only ever grows."""

    __slots__ = ("_number",)

    def __init__(self) -> None:
        self._number = 0

    @property
    def number(self) -> int:
        """Number of the version in force, 0 before the first."""
        return self._number

    def is_newer(self, number: int) -> bool:
        """Whether a version is newer than the one in force."""
        return number > self._number

    def advance(self, number: int) -> None:
        """Put a version in force; it must be newer."""
        assert number > self._number, f"version {number} would replace {self._number}"
        self._number = number
