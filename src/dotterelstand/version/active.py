"""Number of the version in force, which never decreases."""


class ActiveVersion:
    """Number of the version in force on this host."""

    __slots__ = ("_number",)

    def __init__(self) -> None:
        self._number = 0

    @property
    def number(self) -> int:
        """Number of the version in force, 0 before the first."""
        return self._number

    def is_newer(self, number: int) -> bool:
        """Return whether a version is newer than the one in force."""
        return number > self._number

    def advance(self, number: int) -> None:
        """Set the version in force, which must be newer than the previous one."""
        assert number > self._number, f"version {number} would replace {self._number}"
        self._number = number
