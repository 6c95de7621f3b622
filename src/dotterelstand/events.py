"""Numbered, structured log events."""

import json
from enum import IntEnum

from absl import logging


class Event(IntEnum):
    """Number of a log event; docs/events.md describes each."""

    DAEMON_STARTED = 100
    DAEMON_READY = 101
    DAEMON_STOPPING = 102
    DAEMON_STOPPED = 103
    SETTINGS_INVALID = 110
    INVARIANT_BROKEN = 190

    REQUEST_ENDED = 200
    REQUEST_REJECTED = 201

    DOCUMENT_APPLIED = 300
    DOCUMENT_REJECTED = 301

    STORE_UNAVAILABLE = 400
    STORE_AVAILABLE = 401
    LEASE_ACQUIRED = 410
    LEASE_LOST = 411
    LEASE_RELEASED = 412
    LEASE_WRITE_SETTLED = 413
    JOURNAL_UNREADABLE = 420
    JOURNAL_FULL = 421
    OUTCOME_DROPPED = 422


_WARNINGS = frozenset(
    {
        Event.SETTINGS_INVALID,
        Event.REQUEST_REJECTED,
        Event.DOCUMENT_REJECTED,
        Event.STORE_UNAVAILABLE,
        Event.LEASE_LOST,
        Event.JOURNAL_UNREADABLE,
        Event.JOURNAL_FULL,
        Event.OUTCOME_DROPPED,
    }
)


def log(event: Event, **fields: object) -> None:
    """Write one event as a line: number, name, and its fields as JSON."""
    level = logging.INFO
    if event is Event.INVARIANT_BROKEN:
        level = logging.ERROR
    elif event in _WARNINGS:
        level = logging.WARNING
    if logging.get_verbosity() < level:
        return
    logging.log(level, "E%d %s %s", event, event.name.lower(), json.dumps(fields, default=str))
