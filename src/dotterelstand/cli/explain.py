"""Traces one request through the log lines of the entry hosts."""

import json
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from dotterelstand.cli.context import Context
from dotterelstand.cli.output import Row, print_json, print_table
from dotterelstand.codes import Result as ResultCode
from dotterelstand.events import Event
from dotterelstand.exits import ExitCode, ToolError
from dotterelstand.request.logfields import MAX_ID_CHARACTERS

# A state change of a request's host is shown if it happened at most this number of seconds before
# the request ended.
STATE_WINDOW_S = 5.0
# Lines on the end of a process are shown up to this number of seconds after the end of a request
# that got no whole answer.
END_WINDOW_S = 10.0
# Events on the end of a process, or on one that began after it.
END_EVENTS = frozenset(
    {
        Event.DAEMON_STARTED,
        Event.DAEMON_STOPPED,
        Event.CALLERS_CLOSED,
        Event.CALLERS_CUT,
        Event.INVARIANT_BROKEN,
    }
)
# Strikes and quarantines of a request that was not admitted are shown if they happened at most this
# number of seconds before it ended; a quarantine lasts for 60 s by default, or twice as long.
SUSPICION_WINDOW_S = 150.0
# Events that change a host's view of its targets, document, dispatchers or dependencies.
STATE_EVENTS = frozenset(
    {
        Event.DAEMON_STARTED,
        Event.DAEMON_STOPPING,
        Event.CALLERS_CLOSED,
        Event.CALLERS_CUT,
        Event.INVARIANT_BROKEN,
        Event.SETTINGS_RELOADED,
        Event.DOCUMENT_APPLIED,
        Event.HISTORY_LOST,
        Event.WATCH_FAILED,
        Event.PLATFORM_UNAVAILABLE,
        Event.PLATFORM_AVAILABLE,
        Event.TARGET_EJECTED,
        Event.TARGET_RESTORED,
        Event.TARGET_LEAVING,
        Event.TARGET_RETURNED,
        Event.TARGET_CHANGED,
        Event.DISPATCHER_SILENT,
        Event.DISPATCHER_ANSWERS,
        Event.LOG_LINES_DROPPED,
        Event.REQUEST_LINES_SUPPRESSED,
    }
)

Line = dict[str, Any]


class LogLines:
    """Log lines of several hosts; `unreadable` counts lines that are not events."""

    __slots__ = ("lines", "unreadable")

    def __init__(self) -> None:
        self.lines: list[Line] = []
        self.unreadable = 0


class RequestTrace:
    """Log lines of one request in order, and what its hosts logged before and after its end.

    `state_changes` are those before the end and, if the request was not admitted, the losses that
    made it suspect. `ends` are lines on the ends of hosts whose caller got no whole answer, after
    its end.
    """

    __slots__ = ("ends", "lines", "state_changes")

    def __init__(self, lines: list[Line], state_changes: list[Line], ends: list[Line]) -> None:
        self.lines = lines
        self.state_changes = state_changes
        self.ends = ends


def read_log_lines(paths: list[Path]) -> Result[LogLines, ToolError]:
    """Read log files; each JSON object may have a prefix that a log collector added."""
    logs = LogLines()
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                for text in file:
                    _parse_line(text, logs)
        except OSError as error:
            return Failure(ToolError(ExitCode.FILE_UNREADABLE, f"{path}: {error.strerror}"))
    return Success(logs)


def find_trace(logs: LogLines, request_id: str) -> RequestTrace | None:
    """Return the trace of a request, or None if no line has its id."""
    written_id = request_id[:MAX_ID_CHARACTERS]
    lines = [line for line in logs.lines if line.get("id") == written_id]
    if not lines:
        return None
    lines.sort(key=lambda line: (_host(line), line["clock_s"], line.get("after_ms", float("inf"))))
    targets = {line["target"] for line in lines if "target" in line}
    ends = {_host(line): line["clock_s"] for line in lines}
    fingerprints = {line["fingerprint"] for line in lines if "fingerprint" in line}
    state_changes = [
        line
        for line in logs.lines
        if _is_about(line, fingerprints, ends)
        or (
            line["event"] in STATE_EVENTS
            and 0 <= ends.get(_host(line), -1.0) - line["clock_s"] <= STATE_WINDOW_S
            and line.get("target", "") in {"", *targets}
        )
    ]
    unanswered = {_host(line) for line in lines if line["event"] == Event.ANSWER_UNDELIVERED}
    after = [
        line
        for line in logs.lines
        if line["event"] in END_EVENTS
        and _host(line) in unanswered
        and 0 < line["clock_s"] - ends[_host(line)] <= END_WINDOW_S
    ]
    for found in (state_changes, after):
        found.sort(key=lambda line: (_host(line), line["clock_s"]))
    return RequestTrace(lines, state_changes, after)


def describe(line: Line) -> str:
    """Describe one line in words."""
    template = _TEMPLATES.get(line["event"])
    if line["event"] == Event.SLOT_REFUSED and "fingerprint" in line:
        template = "not admitted: {code}; fingerprint {fingerprint}"
    if template is None:
        fields = {key: value for key, value in line.items() if key not in _COMMON_FIELDS}
        return f"{line['message']} {json.dumps(fields)}"
    words = {key: "-" if value in (None, "") else value for key, value in line.items()}
    for key in ("code", "failure"):
        if isinstance(line.get(key), int):
            words[key] = f"{line[key]} {_code_name(line[key])}"
    return template.format_map(_DashForMissing(words))


def print_trace(context: Context, trace: RequestTrace) -> None:
    """Print a trace as JSON or as two tables."""
    if context.json:
        print_json({"request": trace.lines, "beliefs": trace.state_changes, "ends": trace.ends})
        return
    print_table(_rows(trace.lines))
    if trace.state_changes:
        print(
            "\nstate changes of the hosts in the 5 s before, and losses behind a refusal with 2006:"
        )
        print_table(_rows(trace.state_changes))
    if trace.ends:
        print("\nlines on the ends of the hosts in the 10 s after:")
        print_table(_rows(trace.ends))


def _is_about(line: Line, fingerprints: set[str], ends: dict[str, float]) -> bool:
    """Whether a line tells of the suspicion against the request.

    Each host logs all strikes, so those of its own host suffice, in `SUSPICION_WINDOW_S`. What only
    one host logs is shown whatever its time, since clocks of different hosts cannot be compared.
    """
    if line.get("fingerprint") not in fingerprints or "id" in line:
        return False
    if _host(line) not in ends:
        return line["event"] in (Event.LOSS_JUDGED, Event.QUARANTINE_TRIAL)
    return 0 <= ends[_host(line)] - line["clock_s"] <= SUSPICION_WINDOW_S


def _rows(lines: list[Line]) -> list[Row]:
    return [
        {
            "host": _host(line),
            "time": str(line.get("time", "-")),
            "after_ms": _after_ms(line),
            "what": describe(line),
        }
        for line in lines
    ]


def _after_ms(line: Line) -> str:
    """Milliseconds since the request began; a dash for lines that are not about one request."""
    return str(line.get("after_ms", line.get("duration_ms", "-"))) if "id" in line else "-"


class _DashForMissing(dict[str, Any]):
    """Fields of a line; a missing field is shown as a dash."""

    def __missing__(self, key: str) -> str:
        return "-"


_COMMON_FIELDS = frozenset({"clock_s", "event", "host", "level", "message", "time"})

_TEMPLATES: dict[int, str] = {
    Event.SLOT_GRANTED: (
        "attempt {attempt}: target {target} in {zone}, granted by {by}; {in_flight} requests of"
        " this host there, pace {pace}, last load report {report_age_ms} ms old;"
        " {remaining_ms} ms left"
    ),
    Event.SLOT_REFUSED: "no target: {code}; excluded: {excluded}; {remaining_ms} ms left",
    Event.ACCESS_REFUSED: "not permitted: {reason}",
    Event.ATTEMPT_ENDED: (
        "attempt {attempt} at {target} ended: status {status}, failure {failure}, refused by the"
        " target: {refused}, sent: {sent}"
    ),
    Event.RETRY_DECIDED: (
        "another attempt: {decision}; {attempts} made, may have run: {may_have_run},"
        " {remaining_ms} ms left"
    ),
    Event.HEDGE_DECIDED: (
        "hedged attempt: {decision}; target slow: {target_slow}, usual duration"
        " {usual_ms} ms, {remaining_ms} ms left"
    ),
    Event.REQUEST_ENDED: (
        "ended with {code} after {duration_ms} ms and {attempts} attempts; {service},"
        " {route_class}, document {document}, workspace {workspace}"
    ),
    Event.REQUEST_ANSWERED: (
        "answered ({code}) after {duration_ms} ms and {attempts} attempts; late: {late}; {service},"
        " {route_class}, document {document}"
    ),
    Event.ANSWER_SKIPPED: (
        "attempt {attempt}: {target} sent an answer to request {answered_id}, which was skipped"
    ),
    Event.ANSWER_UNDELIVERED: (
        "no whole answer, {cause}: {state} after {sent_bytes} bytes, one of {of_connection} of its"
        " connection, {stop_ms} ms after the stop began; handed over {handed_over_ms} ms before,"
        " input: {input_end}; ended by the answer to {ended_by}"
    ),
    Event.DAEMON_STOPPING: (
        "a planned stop began; caller connections: {connections}, requests in flight: {requests}"
    ),
    Event.CALLERS_CLOSED: (
        "idle caller connections closed: {idle}; in use: {in_flight}, with {requests} requests"
    ),
    Event.CALLERS_CUT: (
        "caller connections closed at the stop limit: {connections}, with {requests} requests"
    ),
    Event.DAEMON_STOPPED: (
        "the process exits; requests without a whole answer in its stop: {undelivered}"
    ),
    Event.STRIKE_RECORDED: "strike: {target} was lost with {fingerprint}, seen by {source}",
    Event.QUARANTINE_BEGAN: "quarantine of {fingerprint} began; lost with it: {targets}",
    Event.QUARANTINE_LIFTED: (
        "strikes of {fingerprint} removed by {source}; that ended a quarantine: {quarantined}"
    ),
    Event.LOSS_JUDGED: (
        "connection to {target} lost with {fingerprint}: {evidence}, counted: {counted}, known"
        " after {after_ms} ms; strikes {strikes}, removed {cleared} times before"
    ),
    Event.QUARANTINE_TRIAL: "trial run of {fingerprint}, allowed by {arbiter}, at {targets}",
    Event.TARGET_CHANGED: "the platform lists target {target} of {service} as {change}",
    Event.TARGET_EJECTED: "target {target} of {service} ejected for {seconds} s",
    Event.PLATFORM_UNAVAILABLE: "the platform's list of {kind} cannot be read: {error}",
}


def _parse_line(text: str, logs: LogLines) -> None:
    start = text.find("{")
    try:
        line = json.loads(text[start:]) if start >= 0 else None
    except ValueError:
        line = None
    if isinstance(line, dict) and isinstance(line.get("event"), int) and "clock_s" in line:
        logs.lines.append(line)
    else:
        logs.unreadable += 1


def _host(line: Line) -> str:
    return str(line.get("host", ""))


def _code_name(number: int) -> str:
    try:
        return ResultCode(number).name.lower()
    except ValueError:
        return "unknown"
