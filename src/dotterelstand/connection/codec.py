"""CBOR encoding of the messages between entry hosts."""

from typing import Any, get_args, get_origin

import cbor2
from returns.result import Failure, Result, Success

from dotterelstand.connection import proofwire, quotawire, wire
from dotterelstand.connection.wire import Message

# Modules that define messages.
_MODULES = (wire, proofwire, quotawire)


def _message_types() -> dict[int, type[Message]]:
    found = [item for module in _MODULES for item in vars(module).values()]
    kinds = [kind for kind in found if isinstance(kind, type) and issubclass(kind, Message)]
    return {kind.TYPE: kind for kind in kinds if kind.TYPE}


_TYPES = _message_types()

# Integers that don't fit into 64 bits are refused, since CBOR allows bignums of any length.
_INTEGER_LIMIT = 2**63


def encode_message(message: Message) -> bytes:
    """Encode one message as CBOR; the result is also a valid frame."""
    return cbor2.dumps(message.wire_items())


def join_messages(parts: list[bytes]) -> bytes:
    """Join encoded messages into one frame.

    Several messages form a CBOR array of indefinite length; a single one is a frame by itself.
    """
    return parts[0] if len(parts) == 1 else b"\x9f" + b"".join(parts) + b"\xff"


def decode_messages(data: bytes) -> Result[list[Message], str]:
    """Decode the messages of one frame; fails with a description of the malformed part."""
    try:
        items = cbor2.loads(data)
    except (cbor2.CBORError, ValueError, TypeError, RecursionError, OverflowError) as error:
        return Failure(f"not CBOR: {error}")
    if not isinstance(items, list):
        return Failure("not an array of messages")
    if items and isinstance(items[0], int):
        items = [items]
    messages: list[Message] = []
    for item in items:
        message = _decode_message(item)
        if message is None:
            return Failure(f"malformed message {str(item)[:80]}")
        messages.append(message)
    return Success(messages)


def _decode_message(item: object) -> Message | None:
    if not isinstance(item, list) or not item or not isinstance(item[0], int):
        return None
    kind = _TYPES.get(item[0])
    if kind is None:
        return None
    missing = len(kind.__slots__) + 1 - len(item)
    if not 0 <= missing <= kind.OPTIONAL:
        return None
    values = [*item[1:], *[0] * missing]
    for name, value in zip(kind.__slots__, values, strict=True):
        if not _has_type(value, kind.__annotations__[name]):
            return None
    return kind(*values)


def _has_type(value: object, expected: Any) -> bool:
    if get_origin(expected) is list:
        (element,) = get_args(expected)
        return isinstance(value, list) and all(_has_type(item, element) for item in value)
    if expected is int:
        return type(value) is int and abs(value) < _INTEGER_LIMIT
    return isinstance(value, expected)
