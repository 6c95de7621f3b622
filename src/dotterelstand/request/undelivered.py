"""Requests of a caller connection that ended without their whole answer, and why."""

import re
from collections.abc import Callable

import trio

from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.request.logfields import logged_id
from dotterelstand.request.stopplan import StopPlan

# Maximum number of requests of one connection that are recorded; 8 are served at the same time.
MAX_UNDELIVERED = 16


class UndeliveredAnswer:
    """One request without a whole answer.

    `state` is that of `CallerRequest.answer_state`, `not_served` for a request that was read
    behind a closing answer, or `not_read` for input behind one.
    """

    __slots__ = ("cause", "path", "request_id", "sent_bytes", "state", "write_decisions")

    def __init__(self, cause: str, request_id: str, state: str, sent_bytes: int = 0) -> None:
        self.cause = cause
        self.request_id = request_id
        self.state = state
        self.sent_bytes = sent_bytes
        self.path = ""
        self.write_decisions: Callable[[], object] | None = None


def find_undelivered(
    connection: CallerConnection, failed: bool, plan: StopPlan, id_field: bytes
) -> list[UndeliveredAnswer]:
    """Requests without a whole answer when a connection ends; `failed` after an unexpected error.

    Requests that a caller sent completely behind an answer that closes the connection are listed
    as far as their ids can be read.
    """
    cause = _cause(connection, failed, plan)
    found = [_describe(item, cause, item.answer_state) for item in connection.undelivered]
    behind = "reset" if connection.aborted else "closing_answer"
    if not connection.will_close:
        behind = "grace_period"
    if connection.unserved is not None:
        found.append(_describe(connection.unserved, behind, "not_served"))
    if connection.ends_when_idle and (data := connection.left_over):
        # Input without a readable id counts as one request.
        for request_id in _read_ids(data, id_field) or [""]:
            found.append(UndeliveredAnswer(behind, request_id, "not_read"))
    return found[:MAX_UNDELIVERED]


def _cause(connection: CallerConnection, failed: bool, plan: StopPlan) -> str:
    if failed:
        return "fault"
    if connection.aborted and not connection.caller_left:
        return "reset"
    if connection.caller_left or connection.disconnected:
        return "caller_left"
    return "stop_limit" if trio.current_time() >= plan.last_connection_s else "cancelled"


def _describe(request: CallerRequest, cause: str, state: str) -> UndeliveredAnswer:
    head = request.head
    request_id = logged_id(None if head is None else head.request_id)
    answer = UndeliveredAnswer(cause, request_id, state, request.sent_bytes)
    answer.path = "" if head is None else head.path
    answer.write_decisions = request.write_decisions
    return answer


def _read_ids(data: bytes, id_field: bytes) -> list[str]:
    pattern = rb"(?im)^" + re.escape(id_field) + rb":[ \t]*([^\r\n]+)"
    return [logged_id(value.strip()) for value in re.findall(pattern, data)]
