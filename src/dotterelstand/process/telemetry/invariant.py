"""Invariants that are always asserted."""

from dotterelstand.events import Event, log


class InvariantError(AssertionError):
    """An operation that would have broken a promise was stopped."""


def require(condition: bool, name: str, **detail: object) -> None:
    """Log the event and raise `InvariantError` unless the condition holds."""
    if not condition:
        log(Event.INVARIANT_BROKEN, name=name, detail=detail)
        raise InvariantError(f"{name}: {detail}")
