"""Requests of a caller connection that ended without their whole answer, and why."""

import re

import trio

from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.request.stopplan import StopPlan

# Maximum number of requests of one connection that are recorded; 8 are served at the same time.
MAX_UNDELIVERED = 16


class UndeliveredAnswer:
    """One request without a whole answer.

    `state` is that of `CallerRequest.answer_state`, `not_served` for a request that was read
    behind a closing answer, or `not_read` for input behind one.
    """

    __slots__ = ("cause", "request_id", "sent_bytes", "state")

    def __init__(self, cause: str, request_id: str, state: str, sent_bytes: int) -> None:
        self.cause = cause
        self.request_id = request_id
        self.state = state
        self.sent_bytes = sent_bytes


def find_undelivered(
    connection: CallerConnection, failed: bool, plan: StopPlan, id_field: bytes
) -> list[UndeliveredAnswer]:
    """Requests without a whole answer when a connection ends; `failed` after an unexpected error.

    Requests that a caller sent completely behind an answer that closes the connection are listed
    as far as their ids can be read.
    """
    cause = _cause(connection, failed, plan)
    found = [
        UndeliveredAnswer(cause, _id_of(item), item.answer_state, item.sent_bytes)
        for item in connection.undelivered
    ]
    behind = "reset" if connection.aborted else "closing_answer"
    if not connection.will_close:
        behind = "grace_period"
    if connection.unserved is not None:
        found.append(UndeliveredAnswer(behind, _id_of(connection.unserved), "not_served", 0))
    if connection.ends_when_idle and (data := connection.left_over):
        # Input without a readable id counts as one request.
        for request_id in _read_ids(data, id_field) or [""]:
            found.append(UndeliveredAnswer(behind, request_id, "not_read", 0))
    return found[:MAX_UNDELIVERED]


def _cause(connection: CallerConnection, failed: bool, plan: StopPlan) -> str:
    if failed:
        return "fault"
    if connection.aborted and not connection.caller_left:
        return "reset"
    if connection.caller_left or connection.disconnected:
        return "caller_left"
    return "stop_limit" if trio.current_time() >= plan.last_connection_s else "cancelled"


def _id_of(request: CallerRequest) -> str:
    request_id = None if request.head is None else request.head.request_id
    return "" if request_id is None else request_id.decode("latin-1")


def _read_ids(data: bytes, id_field: bytes) -> list[str]:
    pattern = rb"(?im)^" + re.escape(id_field) + rb":[ \t]*([^\r\n]+)"
    return [value.strip().decode("latin-1") for value in re.findall(pattern, data)]
