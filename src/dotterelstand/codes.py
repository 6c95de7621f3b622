"""Numbered result codes, which say how a request ended."""

from enum import Enum, IntEnum

# Seconds after which a caller may retry a request that a target rejected.
TARGET_RETRY_S = 0.02
# Seconds after which a caller may retry on a host that lacked a proof of its document: a proof
# comes from a peer within a fraction of a second.
PROOF_RETRY_S = 0.2


class Execution(Enum):
    """Whether a request ran, as reported to its caller."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Result(IntEnum):
    """Result code of a request; its thousands digit determines the `Execution` value."""

    ANSWERED = 1000
    REPLAYED = 1001

    NO_ROUTE = 2001
    OVERLOADED = 2002
    DEADLINE_TOO_SHORT = 2003
    NO_TARGET = 2004
    QUARANTINED = 2006
    STORE_UNAVAILABLE = 2007
    OWNER_UNREACHABLE = 2008
    TARGET_REFUSED = 2009
    BAD_REQUEST = 2010
    HEAD_TOO_LARGE = 2011
    KEY_REUSED = 2012
    KEY_REQUIRED = 2013
    NO_CONFIGURATION = 2014
    CONNECT_FAILED = 2015
    METHOD_NOT_ALLOWED = 2016
    CALLER_TOO_SLOW = 2017
    TOO_MANY_CONNECTIONS = 2018
    CALLER_GONE = 2019
    BODY_TOO_LARGE = 2020
    HOST_STOPPING = 2021
    UNAUTHORIZED = 2022
    QUOTA_EXCEEDED = 2023
    CONFIGURATION_UNPROVEN = 2024
    HOST_MEMORY_FULL = 2025
    INTERNAL_ERROR = 2026

    CONNECTION_LOST = 3001
    ANSWER_TRUNCATED = 3002
    DEADLINE_PASSED = 3003
    TARGET_SILENT = 3004
    KEY_RUNNING = 3005
    KEY_UNKNOWN = 3006
    CALLER_LEFT = 3007
    BAD_ANSWER = 3008
    BODY_INCOMPLETE = 3009
    INTERNAL_ERROR_UNKNOWN = 3010

    @property
    def run(self) -> Execution:
        """Whether the request ran, did not run, or may have run (unknown)."""
        return (Execution.RAN, Execution.NOT_RUN, Execution.UNKNOWN)[self // 1000 - 1]

    @property
    def http_status(self) -> int:
        """HTTP status sent to the caller if dotterelstand itself answers the request."""
        return _HTTP_STATUS.get(self, 503 if self.run is Execution.NOT_RUN else 502)

    @property
    def retry_after_s(self) -> float | None:
        """Seconds after which a caller may retry, or None if a retry would not help."""
        if self in (Result.HOST_STOPPING, Result.INTERNAL_ERROR):
            # Another host can serve the request now.
            return 0
        if self is Result.TARGET_REFUSED:
            # Another target may accept the request.
            return TARGET_RETRY_S
        if self is Result.CONFIGURATION_UNPROVEN:
            return PROOF_RETRY_S
        return 1 if self in _TEMPORARY else None


_HTTP_STATUS = {
    Result.ANSWERED: 200,
    Result.REPLAYED: 200,
    Result.NO_ROUTE: 404,
    Result.BAD_REQUEST: 400,
    Result.HEAD_TOO_LARGE: 431,
    Result.BODY_TOO_LARGE: 413,
    Result.KEY_REUSED: 422,
    Result.KEY_REQUIRED: 400,
    Result.METHOD_NOT_ALLOWED: 405,
    Result.UNAUTHORIZED: 401,
    Result.QUOTA_EXCEEDED: 429,
    Result.CALLER_TOO_SLOW: 408,
    Result.BODY_INCOMPLETE: 400,
    Result.DEADLINE_PASSED: 504,
    Result.TARGET_SILENT: 504,
    Result.KEY_RUNNING: 409,
    Result.KEY_UNKNOWN: 409,
}

_TEMPORARY = frozenset(
    {
        Result.OVERLOADED,
        Result.DEADLINE_TOO_SHORT,
        Result.NO_TARGET,
        Result.STORE_UNAVAILABLE,
        Result.OWNER_UNREACHABLE,
        Result.TARGET_REFUSED,
        Result.NO_CONFIGURATION,
        Result.CONNECT_FAILED,
        Result.KEY_RUNNING,
        Result.TOO_MANY_CONNECTIONS,
        Result.QUOTA_EXCEEDED,
        Result.HOST_MEMORY_FULL,
    }
)
