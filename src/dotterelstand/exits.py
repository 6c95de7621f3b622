"""Numbered exit codes of the programs; docs/exit-codes.md describes each."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a program."""

    OK = 0
    INTERNAL = 1
    USAGE = 2
    SETTINGS_INVALID = 3
    DOCUMENT_INVALID = 4
    CONFLICT = 5
    STORE_UNAVAILABLE = 6
    UNCERTAIN = 7
    HOST_UNREACHABLE = 8
    NOT_AUTHORIZED = 9
    HOST_REFUSED = 10
    NOT_FOUND = 11
    INVARIANT_BROKEN = 12
    FILE_UNREADABLE = 13
    PORT_UNAVAILABLE = 14


class ToolError:
    """Error of a failed command: the exit code and a message for the operator."""

    __slots__ = ("exit_code", "text")

    def __init__(self, exit_code: ExitCode, text: str) -> None:
        self.exit_code = exit_code
        self.text = text

    def __str__(self) -> str:
        return self.text
