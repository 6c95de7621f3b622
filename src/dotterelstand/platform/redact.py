"""Replaces the keys of workspaces by their digests before hosts pass a configuration on."""

from typing import Any

from dotterelstand.version.workspace import digest_key

KEYS = "apiKeys"
# Takes the place of `KEYS` in messages between hosts.
KEY_DIGESTS = "keyDigests"


def hide_keys(configuration: Any) -> bool:
    """Replace the keys in the `spec` of a configuration, in place; True if there were any.

    Everything under `KEYS` is removed, readable or not, as it may be a key.
    """
    resources = configuration.get("resources") if isinstance(configuration, dict) else None
    found = False
    for resource in resources if isinstance(resources, list) else ():
        fields = resource.get("spec") if isinstance(resource, dict) else None
        if isinstance(fields, dict) and KEYS in fields:
            fields[KEY_DIGESTS] = _digests(fields.pop(KEYS))
            found = True
    return found


def _digests(keys: Any) -> list[str] | None:
    """Digests of keys in hexadecimal digits; None, which is malformed, if one is unreadable."""
    if keys is None:
        return []
    if not isinstance(keys, list) or not all(
        isinstance(key, str) and key and key.isascii() for key in keys
    ):
        return None
    return [digest_key(key.encode()).hex() for key in keys]
