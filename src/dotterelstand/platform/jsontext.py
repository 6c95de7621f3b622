"""Decodes JSON of the store, of which one object may be unreadable to Python."""

import json
import math
import re
from typing import Any

# Values nested deeper than this are replaced by null; no object that is used has such values.
MAX_DEPTH = 64
# Longer integers are replaced by infinity. Python refuses to convert those of over 4,300 digits.
MAX_INTEGER_DIGITS = 400

_STRING_OR_BRACKET = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def decode_json(encoded: bytes) -> Any:
    """Decode JSON; raises `ValueError` if it is malformed.

    What Python cannot decode is replaced by something that no check of an object accepts, so that
    the other objects of a list stay readable: integers that are too long, values that are nested
    too deeply, and bytes that are not UTF-8.
    """
    try:
        return json.loads(encoded)
    except (ValueError, RecursionError):
        text = _cut_depth(encoded.decode("utf-8", "replace"))
        return json.loads(text, parse_int=_parse_integer)


def _parse_integer(digits: str) -> float:
    return int(digits) if len(digits) <= MAX_INTEGER_DIGITS else math.inf


def _cut_depth(text: str) -> str:
    kept: list[str] = []
    depth = copied = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        token = match[0]
        if token in ("[", "{"):
            depth += 1
            if depth == MAX_DEPTH + 1:
                kept += [text[copied : match.start()], "null"]
        elif token in ("]", "}"):
            if depth == MAX_DEPTH + 1:
                copied = match.end()
            depth -= 1
    if depth > MAX_DEPTH:
        # The last value does not end; neither does the text that contains it.
        return "".join(kept)
    return "".join([*kept, text[copied:]])
