"""Requests of a caller connection that ended without their whole answer, and why."""

import re
from collections.abc import Callable

import trio

from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.connection.handover import InputEnd
from dotterelstand.request.head import RequestHead
from dotterelstand.request.logfields import logged_id
from dotterelstand.request.stopplan import StopPlan

# Maximum number of requests of one connection that are recorded; 8 are served at the same time.
MAX_UNDELIVERED = 16
# Causes of which another request of the connection may be the reason.
_CAUSES_WITH_REQUEST = ("reset", "closing_answer")


class UndeliveredAnswer:
    """One request without a whole answer.

    `state` is that of `CallerRequest.answer_state`, `not_served` for a request that was read
    behind an answer that ended the connection, `not_read` for input behind one, or `handed_over`
    for a whole answer that was handed to the operating system `handed_over_ms` before the
    connection was reset. `ended_by` is the id of the request whose answer ended the connection, or
    None. `input_end` is that of `Handover`, or `open` if the caller has not disconnected.
    """

    __slots__ = (
        "cause",
        "ended_by",
        "handed_over_ms",
        "input_end",
        "path",
        "request_id",
        "sent_bytes",
        "state",
        "write_decisions",
    )

    def __init__(self, cause: str, request_id: str, state: str, sent_bytes: int = 0) -> None:
        self.cause = cause
        self.request_id = request_id
        self.state = state
        self.sent_bytes = sent_bytes
        self.ended_by: str | None = None
        self.path = ""
        self.handed_over_ms: float | None = None
        self.input_end = "open"
        self.write_decisions: Callable[[], object] | None = None

    @property
    def was_handed_over(self) -> bool:
        """Whether the whole answer was handed to the operating system."""
        return self.handed_over_ms is not None


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
        # Without a closing answer, it waited for the end of an answer that had begun.
        unserved_cause = behind if connection.will_close else cause
        found.append(_describe(connection.unserved, unserved_cause, "not_served"))
    if connection.ends_when_idle and (data := connection.left_over):
        # Input without a readable id counts as one request.
        for request_id in _read_ids(data, id_field) or [""]:
            found.append(UndeliveredAnswer(behind, request_id, "not_read"))
    found += _find_discarded(connection)
    if connection.disconnected:
        for answer in found:
            answer.input_end = connection.handover.input_end.value
    if connection.ended_by is not None:
        for answer in found:
            if answer.cause in _CAUSES_WITH_REQUEST:
                answer.ended_by = _id_of(connection.ended_by.head)
    return found[:MAX_UNDELIVERED]


def _find_discarded(connection: CallerConnection) -> list[UndeliveredAnswer]:
    """Answers that a reset by the caller or by this host may have discarded."""
    handover = connection.handover
    by_host = connection.aborted and not connection.caller_left
    by_caller = connection.disconnected and handover.input_end is InputEnd.RESET
    if not by_host and not by_caller:
        return []
    cause = "reset" if by_host else "caller_reset"
    found = []
    for answer in handover.answers_within_window():
        item = UndeliveredAnswer(cause, answer.request_id, "handed_over", answer.sent_bytes)
        item.path = answer.path
        item.handed_over_ms = round((trio.current_time() - answer.time_s) * 1000, 1)
        found.append(item)
    return found


def _cause(connection: CallerConnection, failed: bool, plan: StopPlan) -> str:
    if failed:
        return "fault"
    if connection.aborted and not connection.caller_left:
        return "reset"
    if connection.disconnected and connection.handover.input_end is InputEnd.CLOSED_HERE:
        return "closed_here"
    if connection.caller_left or connection.disconnected:
        return "caller_left"
    return "stop_limit" if trio.current_time() >= plan.last_connection_s else "cancelled"


def _describe(request: CallerRequest, cause: str, state: str) -> UndeliveredAnswer:
    answer = UndeliveredAnswer(cause, _id_of(request.head), state, request.sent_bytes)
    answer.path = "" if request.head is None else request.head.path
    answer.write_decisions = request.write_decisions
    return answer


def _id_of(head: RequestHead | None) -> str:
    return logged_id(None if head is None else head.request_id)


def _read_ids(data: bytes, id_field: bytes) -> list[str]:
    pattern = rb"(?im)^" + re.escape(id_field) + rb":[ \t]*([^\r\n]+)"
    return [logged_id(value.strip()) for value in re.findall(pattern, data)]
