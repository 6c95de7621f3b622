"""Numbered, structured log events."""

import time
from enum import IntEnum

from absl import logging


class Event(IntEnum):
    """Number of a log event; docs/log-events.md describes each."""

    DAEMON_STARTED = 100
    DAEMON_READY = 101
    DAEMON_STOPPING = 102
    DAEMON_STOPPED = 103
    DAEMON_STOPPED_EARLY = 104
    SETTINGS_INVALID = 110
    SETTINGS_RELOADED = 111
    LOG_LINES_DROPPED = 112
    SETTINGS_READ_AGAIN = 113
    CONTROL_ACTION = 120
    CONTROL_FAILED = 121
    INVARIANT_BROKEN = 190

    REQUEST_ENDED = 200
    REQUEST_ANSWERED = 202
    REQUEST_LINES_SUPPRESSED = 203
    SLOT_GRANTED = 204
    SLOT_REFUSED = 205
    ATTEMPT_ENDED = 206
    RETRY_DECIDED = 207
    HEDGE_DECIDED = 208
    ANSWER_UNDELIVERED = 209
    CONNECTION_REFUSED = 210
    CALLERS_CLOSED = 211
    CALLERS_CUT = 212
    ACCEPT_FAILED = 214
    STRIKE_RECORDED = 220
    QUARANTINE_BEGAN = 221
    QUARANTINE_LIFTED = 222
    LOSS_JUDGED = 223
    QUARANTINE_TRIAL = 224
    ANSWER_SKIPPED = 230
    REGIONS_UNKNOWN = 240
    ACCESS_REFUSED = 241
    MEMORY_FULL = 250

    DOCUMENT_APPLIED = 300
    DOCUMENT_REJECTED = 301
    DOCUMENT_UNAVAILABLE = 302
    DOCUMENT_DAMAGED = 303
    DOCUMENT_OLDER = 304

    PEER_LINKED = 310
    PEER_LOST = 311
    PEER_MALFORMED = 312
    PEER_REFUSED = 313
    PEER_QUEUE_FULL = 314

    HOST_LIST_UNAVAILABLE = 320
    HOST_LIST_AVAILABLE = 321
    HOST_LIST_MALFORMED = 322

    OBJECT_UNREADABLE = 323
    HISTORY_LOST = 324
    PLATFORM_UNAVAILABLE = 325
    PLATFORM_AVAILABLE = 326
    RELAYS_NOT_RELIED_ON = 327
    RELAYS_RELIED_ON = 328
    WATCH_FAILED = 329

    CERTIFICATES_RELOADED = 330
    CERTIFICATES_INVALID = 331

    PROOF_LOST = 340
    PROOF_HELD = 341
    STORE_ERA_CHANGED = 342
    STORE_ERA_UNREADABLE = 343
    STORE_ERA_LOWER = 344

    QUOTA_LIMITED = 350
    QUOTA_UNLIMITED = 351
    QUOTA_SHARED = 352
    QUOTA_ALONE = 353
    QUOTA_EXPIRED = 354

    STORE_UNAVAILABLE = 400
    STORE_AVAILABLE = 401
    LEASE_ACQUIRED = 410
    LEASE_LOST = 411
    LEASE_RELEASED = 412
    LEASE_WRITE_SETTLED = 413
    JOURNAL_UNREADABLE = 420
    JOURNAL_FULL = 421
    OUTCOME_DROPPED = 422

    TARGET_EJECTED = 500
    TARGET_RESTORED = 501
    TARGET_LEAVING = 502
    TARGET_RETURNED = 503
    DISPATCHER_SILENT = 504
    DISPATCHER_ANSWERS = 505
    MEASURE_BUDGET_SPENT = 506
    TARGET_CHANGED = 507
    TARGET_COLD = 510
    TARGET_WARM = 511
    ZONE_EVACUATED = 512
    ZONE_RETURNED = 513
    ZONE_UNKNOWN = 514


_WARNINGS = frozenset(
    {
        Event.SETTINGS_INVALID,
        Event.LOG_LINES_DROPPED,
        Event.SETTINGS_READ_AGAIN,
        Event.CONTROL_FAILED,
        Event.QUARANTINE_BEGAN,
        Event.REGIONS_UNKNOWN,
        Event.MEMORY_FULL,
        Event.DOCUMENT_REJECTED,
        Event.DOCUMENT_UNAVAILABLE,
        Event.DOCUMENT_DAMAGED,
        Event.PEER_MALFORMED,
        Event.PEER_REFUSED,
        Event.PEER_QUEUE_FULL,
        Event.HOST_LIST_UNAVAILABLE,
        Event.HOST_LIST_MALFORMED,
        Event.OBJECT_UNREADABLE,
        Event.PLATFORM_UNAVAILABLE,
        Event.WATCH_FAILED,
        Event.CERTIFICATES_INVALID,
        Event.PROOF_LOST,
        Event.STORE_ERA_CHANGED,
        Event.STORE_ERA_UNREADABLE,
        Event.STORE_ERA_LOWER,
        Event.QUOTA_ALONE,
        Event.QUOTA_EXPIRED,
        Event.STORE_UNAVAILABLE,
        Event.LEASE_LOST,
        Event.JOURNAL_UNREADABLE,
        Event.JOURNAL_FULL,
        Event.OUTCOME_DROPPED,
        Event.TARGET_EJECTED,
        Event.DISPATCHER_SILENT,
        Event.MEASURE_BUDGET_SPENT,
        Event.ZONE_UNKNOWN,
    }
)


def log(event: Event, **fields: object) -> None:
    """Log one event: its number, name, fields and the monotonic clock in seconds.

    The wall clock may jump, so the monotonic clock gives the order of a process's lines.
    """
    level = logging.INFO
    if event is Event.INVARIANT_BROKEN:
        level = logging.ERROR
    elif event in _WARNINGS:
        level = logging.WARNING
    if logging.get_verbosity() < level:
        return
    line = {
        "event": int(event),
        "message": event.name.lower(),
        "clock_s": round(time.monotonic(), 4),
        **fields,
    }
    logging.log(level, line)
