"""Collects the log events of a test."""

import logging as standard_logging
from typing import Any

from absl import logging

from dotterelstand.events import Event


class EventCollector(standard_logging.Handler):
    """Context manager that collects log events."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[dict[str, Any]] = []

    def emit(self, record: standard_logging.LogRecord) -> None:
        if isinstance(record.msg, dict):
            self.events.append(record.msg)

    def __enter__(self) -> "EventCollector":
        self._verbosity = logging.get_verbosity()
        logging.set_verbosity(logging.INFO)
        logging.get_absl_logger().addHandler(self)
        return self

    def __exit__(self, *_: object) -> None:
        logging.get_absl_logger().removeHandler(self)
        logging.set_verbosity(self._verbosity)

    def events_of(self, request_id: str) -> list[int]:
        """Numbers of the events of a request."""
        return [line["event"] for line in self.events if line.get("id") == request_id]

    def lines_of(self, event: Event) -> list[dict[str, Any]]:
        """Lines of one event."""
        return [line for line in self.events if line["event"] == event]
