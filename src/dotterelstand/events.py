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
    REQUEST_ANSWERED = 202
    REQUEST_LINES_SUPPRESSED = 203
    CONNECTION_REFUSED = 210
    CALLERS_CLOSED = 211
    STRIKE_RECORDED = 220
    QUARANTINE_BEGAN = 221
    QUARANTINE_LIFTED = 222

    DOCUMENT_APPLIED = 300
    DOCUMENT_REJECTED = 301

    STORE_UNAVAILABLE = 400
    STORE_AVAILABLE = 401


_WARNINGS = frozenset(
    {
        Event.SETTINGS_INVALID,
        Event.REQUEST_REJECTED,
        Event.QUARANTINE_BEGAN,
        Event.DOCUMENT_REJECTED,
        Event.STORE_UNAVAILABLE,
    }
)

_DEBUG = frozenset({Event.REQUEST_ANSWERED})


def log(event: Event, **fields: object) -> None:
    """Write one event as a line: number, name, and its fields as JSON."""
    level = logging.INFO
    if event is Event.INVARIANT_BROKEN:
        level = logging.ERROR
    elif event in _WARNINGS:
        level = logging.WARNING
    elif event in _DEBUG:
        level = logging.DEBUG
    if logging.get_verbosity() < level:
        return
    logging.log(level, "E%d %s %s", event, event.name.lower(), json.dumps(fields, default=str))
