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

    TARGET_EJECTED = 500
    TARGET_RESTORED = 501
    TARGET_LEAVING = 502
    TARGET_RETURNED = 503
    DISPATCHER_SILENT = 504
    DISPATCHER_ANSWERS = 505
    MEASURE_BUDGET_SPENT = 506


_WARNINGS = frozenset(
    {
        Event.SETTINGS_INVALID,
        Event.REQUEST_REJECTED,
        Event.DOCUMENT_REJECTED,
        Event.STORE_UNAVAILABLE,
        Event.TARGET_EJECTED,
        Event.DISPATCHER_SILENT,
        Event.MEASURE_BUDGET_SPENT,
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
