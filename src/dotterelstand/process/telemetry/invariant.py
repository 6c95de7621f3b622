"""Invariant checks that are always enabled, unlike `assert`, and errors that none foresaw."""

from dotterelstand.events import Event, log


class InvariantError(AssertionError):
    """An operation was stopped because it would have violated an invariant."""


def require(condition: bool, name: str, **detail: object) -> None:
    """Log the event and raise `InvariantError` unless the condition holds."""
    if not condition:
        log(Event.INVARIANT_BROKEN, name=name, detail=detail)
        raise InvariantError(f"{name}: {detail}")


def leaf_errors(group: BaseExceptionGroup) -> list[BaseException]:
    """Errors in nested exception groups, in order."""
    errors: list[BaseException] = []
    for error in group.exceptions:
        errors.extend(leaf_errors(error) if isinstance(error, BaseExceptionGroup) else [error])
    return errors
