"""Checks of settings keys against each other."""

import operator
from collections.abc import Callable
from typing import Any

from dotterelstand.settings_rules import Values


class Conflict:
    """Settings key whose value contradicts that of another key."""

    __slots__ = ("allowed", "key")

    def __init__(self, key: str, allowed: str) -> None:
        self.key = key
        self.allowed = allowed


def find_conflicts(values: Values) -> list[Conflict]:
    """Return every key that contradicts another; each value must already satisfy its own rule."""
    conflicts = [
        Conflict(key, f"{relation} {other_key}")
        for key, relation, other_key, is_satisfied in _COMPARISONS
        if not is_satisfied(_get(values, key), _get(values, other_key))
    ]
    conflicts.extend(_find_port_conflicts(values))
    for group in (("caller_certificate", "caller_key"), _PEER_TLS):
        missing = [key for key in group if not values["tls"][key]]
        if 0 < len(missing) < len(group):
            names = ", ".join(f"tls.{key}" for key in group)
            conflicts.append(
                Conflict(f"tls.{missing[0]}", f"{names} are set together or not at all")
            )
    return conflicts


def _find_port_conflicts(values: Values) -> list[Conflict]:
    used: dict[tuple[str, int], str] = {}
    conflicts = []
    sections = ["listen", "peers", "control"]
    if values["readiness"]["enabled"]:
        sections.append("readiness")
    if values["metrics"]["served"]:
        sections.append("metrics")
    for section in sections:
        address = (values[section]["address"], values[section]["port"])
        if address in used:
            allowed = f"a port that differs from {used[address]}.port"
            conflicts.append(Conflict(f"{section}.port", allowed))
        elif address[1] != 0:
            used[address] = section
    return conflicts


def _get(values: Values, key: str) -> Any:
    section, _, name = key.partition(".")
    return values[section][name]


_PEER_TLS = ("peer_certificate", "peer_key", "peer_authority")

# Key, relation in words, other key, and the condition that must hold.
_COMPARISONS: list[tuple[str, str, str, Callable[[Any, Any], bool]]] = [
    # A single lost heartbeat must not make a live host appear dead.
    ("peers.suspect_after_s", "at least twice", "peers.heartbeat_s", lambda a, b: a >= 2 * b),
    # The lease must outlast a slow but successful update of the journal head; otherwise the owner
    # of the partition would seem to be lost.
    ("journal.lease_s", "more than", "store.timeout_s", lambda a, b: a > b),
    ("journal.writes_per_s", "at most", "store.writes_per_s", operator.le),
    ("measure.cross_region_bytes_per_s", "at most", "measure.bytes_per_s", operator.le),
    ("measure.cross_region_calls_per_s", "at most", "measure.calls_per_s", operator.le),
    ("listen.stop_limit_s", "0 or more than", "listen.close_grace_s", lambda a, b: not a or a > b),
]
