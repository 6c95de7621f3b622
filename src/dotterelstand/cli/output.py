"""Prints tables, JSON and errors of the command-line tool."""

import json
import sys
from typing import NoReturn

from dotterelstand.exits import ExitCode, ToolError

Row = dict[str, object]


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2))


def print_table(rows: list[Row], empty: str = "nothing to show") -> None:
    """Print rows as a table with one column per key, in order of first use."""
    if not rows:
        print(empty)
        return
    columns = list(dict.fromkeys(key for row in rows for key in row))
    cells = [columns, *([_cell(row.get(column)) for column in columns] for row in rows)]
    widths = [max(len(line[index]) for line in cells) for index in range(len(columns))]
    numeric = [
        all(isinstance(row.get(column, 0), int | float) for row in rows) for column in columns
    ]
    for line in cells:
        padded = [
            text.rjust(width) if right else text.ljust(width)
            for text, width, right in zip(line, widths, numeric, strict=True)
        ]
        print("  ".join(padded).rstrip())


def exit_with_errors(errors: list[ToolError]) -> NoReturn:
    """Print errors and end the program with the exit code of the first one."""
    for error in errors:
        print(f"dotterelstand: {error}", file=sys.stderr)
    sys.exit(errors[0].exit_code if errors else ExitCode.INTERNAL)


def to_number(name: str, value: object) -> float:
    """Convert an option to a number; ends the program if it is not a number."""
    try:
        return float(str(value))
    except ValueError:
        exit_with_errors([ToolError(ExitCode.USAGE, f"{name}: found {value!r}; a number")])


def to_whole_number(name: str, value: object) -> int:
    """Convert an option to a non-negative integer; ends the program if it is not one."""
    if not str(value).isdigit():
        exit_with_errors([ToolError(ExitCode.USAGE, f"{name}: found {value!r}; a whole number")])
    return int(str(value))


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}"
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "-"
    return str(value)
