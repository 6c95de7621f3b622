"""Result codes of requests that ended without an answer of a target."""

from collections.abc import Sequence

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.connection.network import CONNECTION_ERRORS
from dotterelstand.process.telemetry.invariant import log_fault, unexpected_errors
from dotterelstand.request.attempt import Attempt
from dotterelstand.request.interfaces import Counters


def may_have_run(attempts: Sequence[Attempt]) -> bool:
    """Whether a target may have run the request in one of its attempts."""
    return any(attempt.may_have_run for attempt in attempts)


def overall_code(code: ResultCode, attempts: Sequence[Attempt]) -> ResultCode:
    """Result code of the request; replaces a "not run" code if an attempt may have run."""
    if code.run is not Execution.NOT_RUN or not may_have_run(attempts):
        return code
    unknown = [a.failure for a in attempts if a.may_have_run and a.failure is not None]
    return unknown[-1] if unknown else ResultCode.BAD_ANSWER


def note_fault(error: Exception, metrics: Counters) -> None:
    """Count and log an unexpected error in the service of a request or of its connection.

    Raises `error` again if it consists only of errors of the caller's connection.
    """
    errors = unexpected_errors(error, CONNECTION_ERRORS)
    if not errors:
        raise error
    metrics.count("requests.faults")
    log_fault("request", errors)


def fault_code(error: Exception, attempts: Sequence[Attempt], metrics: Counters) -> ResultCode:
    """Result code of a request after an unexpected error; raises like `note_fault`."""
    note_fault(error, metrics)
    ran = may_have_run(attempts)
    return ResultCode.INTERNAL_ERROR_UNKNOWN if ran else ResultCode.INTERNAL_ERROR


def interrupted_code(
    caller: CallerRequest, attempts: Sequence[Attempt], host_stops: bool
) -> ResultCode:
    """Result code of a request that was cancelled; `host_stops` if a stop ended it early."""
    ran = may_have_run(attempts)
    if caller.disconnected:
        return ResultCode.CALLER_LEFT if ran else ResultCode.CALLER_GONE
    if caller.refused_for_memory:
        return ResultCode.BODY_INCOMPLETE if ran else ResultCode.HOST_MEMORY_FULL
    if ran:
        return ResultCode.DEADLINE_PASSED
    return ResultCode.HOST_STOPPING if host_stops else ResultCode.DEADLINE_TOO_SHORT
