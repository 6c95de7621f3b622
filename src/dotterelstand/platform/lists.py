"""Combines lists of objects and changes to them, in the form in which the store sends them."""

import json
from collections.abc import Sequence
from typing import Any

from dotterelstand.platform.jsontext import decode_json


def merge_changes(encoded_list: bytes, changes: Sequence[bytes], revision: int) -> bytes:
    """Apply the responses of watches to the response of a list call.

    Raises `ValueError`, `KeyError` or `TypeError` if one of them is malformed.
    """
    items = _items_by_name(encoded_list)
    for encoded in changes:
        for event in decode_json(encoded)["events"]:
            name = event["object"]["metadata"]["name"]
            if event["removed"]:
                items.pop(name, None)
            else:
                items[name] = event["object"]
    return json.dumps({"items": list(items.values()), "currentRev": revision}).encode()


def diff_lists(old: bytes, new: bytes) -> bytes:
    """Build the response of a watch that leads from one list to a later one.

    Raises `ValueError`, `KeyError` or `TypeError` if one of them is malformed.
    """
    old_items, new_items = _items_by_name(old), _items_by_name(new)
    events: list[dict[str, Any]] = [
        {"object": item, "removed": True}
        for name, item in old_items.items()
        if name not in new_items
    ]
    events += [
        {"object": item, "removed": False}
        for name, item in new_items.items()
        if old_items.get(name) != item
    ]
    return json.dumps({"events": events, "currentRev": decode_json(new)["currentRev"]}).encode()


def _items_by_name(encoded_list: bytes) -> dict[str, Any]:
    return {item["metadata"]["name"]: item for item in decode_json(encoded_list)["items"]}
