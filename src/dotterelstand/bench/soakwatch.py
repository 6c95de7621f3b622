"""Monitors the daemons of a soak run: failed invariants, errors and applied versions."""

import logging as standard_logging
from types import TracebackType

import trio
from absl import logging

from dotterelstand.bench.soakfleet import SoakFleet
from dotterelstand.bench.soakjudge import Violation
from dotterelstand.events import Event

SAMPLE_INTERVAL_S = 1.0


class InvariantLogHandler(standard_logging.Handler):
    """Log handler that collects events of failed invariants; also a context manager."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: standard_logging.LogRecord) -> None:
        """Keep the line if it reports a failed invariant."""
        if isinstance(record.msg, dict) and record.msg.get("event") == Event.INVARIANT_BROKEN:
            self.lines.append(record.getMessage())

    def __enter__(self) -> "InvariantLogHandler":
        logging.get_absl_logger().addHandler(self)
        return self

    def __exit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        logging.get_absl_logger().removeHandler(self)


def find_daemon_errors(fleet: SoakFleet, invariant_handler: InvariantLogHandler) -> list[Violation]:
    """Find daemons that ended with an error, counted a fault or logged a failed invariant."""
    found = [Violation("invariant in a daemon", line) for line in invariant_handler.lines]
    found.extend(Violation("daemon ended", detail) for detail in fleet.daemon_errors)
    for context, host in fleet.incarnations.items():
        faults = 0 if host.daemon is None else host.daemon.metrics.value("requests.faults")
        if faults:
            found.append(Violation("requests.faults", f"{context} counted {faults}"))
    return found


async def monitor_versions(fleet: SoakFleet, violations: list[Violation]) -> None:
    """Sample the version in force on each live host until cancelled.

    A decrease is added to `violations`.
    """
    last_seen: dict[str, int] = {}
    while True:
        await trio.sleep(SAMPLE_INTERVAL_S)
        for host in fleet.live_hosts():
            document = host.daemon.document if host.daemon is not None else None
            number = 0 if document is None else document.number
            previous = last_seen.get(host.incarnation_id, 0)
            if number < previous:
                detail = f"{host.incarnation_id} went from {previous} to {number}"
                violations.append(Violation("version goes forward", detail))
            last_seen[host.incarnation_id] = number
