"""Typed fields with allowed ranges, used to read the tables of the document."""

import math
import re
from collections.abc import Callable, Mapping
from typing import Any

from dotterelstand.version.model import DocumentError

SYNTAX = 4101
UNKNOWN_KEY = 4102
WRONG_TYPE = 4103
OUT_OF_RANGE = 4104
RACE_LOST = 4105
DUPLICATE = 4106
NO_SUCH_NAME = 4107
MISSING_KEY = 4108
TOO_LARGE = 4109

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
NAME_RULE = "a name of 1 to 64 letters, digits, dots, dashes or underscores"
# Maximum number of errors reported by one check; more would not help the operator.
MAX_ERRORS = 100


class SectionErrors:
    """Bounded list of the errors found in one section."""

    __slots__ = ("found", "section")

    def __init__(self, section: str) -> None:
        self.section = section
        self.found: list[DocumentError] = []

    def add(
        self, code: int, key: str, found: object, allowed: str, other_section: str = ""
    ) -> None:
        """Record an error, up to `MAX_ERRORS`."""
        if len(self.found) < MAX_ERRORS:
            self.found.append(DocumentError(code, self.section, key, found, allowed, other_section))


class Field:
    """One key of a table: its type, its default, whether it is required, and a check of its value.

    `check` returns None or a description of what is allowed.
    """

    __slots__ = ("check", "default", "name", "required", "value_type")

    def __init__(
        self,
        name: str,
        value_type: type,
        default: object = None,
        required: bool = False,
        check: Callable[[Any], str | None] = lambda value: None,
    ) -> None:
        self.name = name
        self.value_type = value_type
        self.default = default
        self.required = required
        self.check = check


_TYPE_NAMES = {int: "an integer", float: "a number", bool: "true or false", str: "a string"}


def read_table(
    values: object, fields: tuple[Field, ...], table_key: str, errors: SectionErrors
) -> Mapping[str, Any] | None:
    """Return the checked values of a table with defaults; None if any value is invalid."""
    if not isinstance(values, dict):
        errors.add(WRONG_TYPE, table_key, values, "a table")
        return None
    errors_before = len(errors.found)
    names = {field.name for field in fields}
    for key in values.keys() - names:
        allowed = "one of the keys " + ", ".join(sorted(names))
        errors.add(UNKNOWN_KEY, _join_key(table_key, key), values[key], allowed)
    result = {field.name: _read_field(values, field, table_key, errors) for field in fields}
    return result if len(errors.found) == errors_before else None


def _read_field(
    values: dict[str, Any], field: Field, table_key: str, errors: SectionErrors
) -> object:
    key = _join_key(table_key, field.name)
    if field.name not in values:
        if field.required:
            errors.add(MISSING_KEY, key, None, f"{_type_name(field.value_type)} is required")
        return field.default
    value = values[field.name]
    if field.value_type is float and type(value) is int:
        value = float(value)
    if type(value) is not field.value_type:
        errors.add(WRONG_TYPE, key, value, f"must be {_type_name(field.value_type)}")
        return field.default
    allowed = field.check(value)
    if allowed is not None:
        errors.add(OUT_OF_RANGE, key, value, f"must be {allowed}")
    return value


def in_range(low: float, high: float) -> Callable[[Any], str | None]:
    """Return a check that a number lies in a closed range."""

    def check(value: float) -> str | None:
        inside = math.isfinite(value) and low <= value <= high
        return None if inside else f"between {low:g} and {high:g}"

    return check


def one_of(*choices: str) -> Callable[[Any], str | None]:
    """Return a check that a string is one of the choices."""
    return lambda value: None if value in choices else "one of " + ", ".join(choices)


def check_name(value: str) -> str | None:
    """Return None if a string is a valid name, else a description of valid names."""
    return None if NAME_PATTERN.fullmatch(value) else NAME_RULE


def _type_name(value_type: type) -> str:
    return _TYPE_NAMES.get(value_type, "a list")


def _join_key(table_key: str, key: str) -> str:
    return f"{table_key}.{key}" if table_key else key
