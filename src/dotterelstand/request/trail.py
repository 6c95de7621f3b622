"""The decisions on one request, kept until its end tells whether they are written."""

import trio

from dotterelstand.events import Event, log

# Decisions that are kept of one request; its attempts are bounded, so it has fewer.
MAX_DECISIONS = 24


class _Decision:
    """One decision, `after_s` seconds after the request began, with the inputs that decided it."""

    __slots__ = ("after_s", "event", "fields")

    def __init__(self, event: Event, after_s: float, fields: dict[str, object]) -> None:
        self.event = event
        self.after_s = after_s
        self.fields = fields


class Trail:
    """Log lines of one request."""

    __slots__ = ("_began", "_decisions", "request_id")

    def __init__(self, request_id: bytes | None) -> None:
        self.request_id = "" if request_id is None else request_id.decode("latin-1")
        self._began = trio.current_time()
        self._decisions: list[_Decision] = []

    def note(self, event: Event, **fields: object) -> None:
        """Keep one decision."""
        if len(self._decisions) < MAX_DECISIONS:
            after_s = trio.current_time() - self._began
            self._decisions.append(_Decision(event, after_s, fields))

    def write(self) -> None:
        """Write the decisions as log lines with the request's id."""
        for decision in self._decisions:
            after_ms = round(decision.after_s * 1000, 1)
            log(decision.event, id=self.request_id, after_ms=after_ms, **decision.fields)
        self._decisions.clear()
