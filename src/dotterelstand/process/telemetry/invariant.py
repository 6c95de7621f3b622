"""Invariant checks that are always enabled, unlike `assert`, and reports of unexpected errors."""

from collections.abc import Sequence

from dotterelstand.events import Event, log


class InvariantError(AssertionError):
    """An operation was stopped because it would have violated an invariant."""


def require(condition: bool, name: str, **detail: object) -> None:
    """Log the event and raise `InvariantError` unless the condition holds."""
    if not condition:
        log(Event.INVARIANT_BROKEN, name=name, detail=detail)
        raise InvariantError(f"{name}: {detail}")


def log_fault(name: str, errors: Sequence[BaseException], **detail: object) -> None:
    """Log the unexpected errors that ended what `name` says, with further fields in `detail`."""
    log(Event.INVARIANT_BROKEN, name=name, detail=list(map(repr, errors)), **detail)


def unexpected_errors(error: Exception, expected: tuple[type[Exception], ...]) -> list[Exception]:
    """Errors of other types than the expected ones in an error or a group of errors."""
    errors = leaf_errors(error) if isinstance(error, BaseExceptionGroup) else [error]
    return [
        item for item in errors if isinstance(item, Exception) and not isinstance(item, expected)
    ]


def leaf_errors(group: BaseExceptionGroup) -> list[BaseException]:
    """Errors in nested exception groups, in order."""
    errors: list[BaseException] = []
    for error in group.exceptions:
        errors.extend(leaf_errors(error) if isinstance(error, BaseExceptionGroup) else [error])
    return errors
