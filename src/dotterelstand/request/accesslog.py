"""Counters and log lines for completed requests."""

import trio

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.events import Event, log
from dotterelstand.request.access import request_class
from dotterelstand.request.interfaces import Counters
from dotterelstand.request.logfields import logged_path
from dotterelstand.request.trail import DecisionTrail
from dotterelstand.request.undelivered import UndeliveredAnswer
from dotterelstand.version.route import Route
from dotterelstand.version.workspace import Workspace

# Maximum number of requests per second whose decisions are logged, since writing a line takes about
# 60 us. The limits are, in this order, for requests without an answer, for late or retried
# requests or those with skipped answers, and for a sample of the others.
MAX_FAILED_LINES_PER_S = 40
MAX_LATE_LINES_PER_S = 10
MAX_SAMPLED_LINES_PER_S = 5
# Maximum number of answers per second that are logged as not delivered.
MAX_UNDELIVERED_LINES_PER_S = 20
# The same for answers that were handed over before a reset. Some callers end each connection so.
MAX_HANDED_OVER_LINES_PER_S = 5


class RequestSummary:
    """Attributes of one request for its counters and its log lines.

    `klass` is its class, and `document` the number of the document version that routed it.
    `workspace` is the workspace whose key it has, None without one.
    """

    __slots__ = ("_began", "_label", "document", "klass", "route", "trail", "workspace")

    def __init__(
        self,
        route: Route | None,
        label: str,
        request_id: bytes | None,
        document: int,
        workspace: Workspace | None = None,
    ) -> None:
        self.route = route
        self.workspace = None if workspace is None else workspace.name
        self.klass = "" if route is None else request_class(route, workspace)
        # Workspace in the metrics.
        self._label = label
        self._began = trio.current_time()
        self.document = document
        self.trail = DecisionTrail(request_id)

    @property
    def duration_s(self) -> float:
        """Seconds since the request began."""
        return trio.current_time() - self._began

    @property
    def is_late(self) -> bool:
        """Whether the request has taken longer than the latency objective of its route."""
        latency_objective_s = None if self.route is None else self.route.latency_objective_s
        return latency_objective_s is not None and self.duration_s > latency_objective_s

    def count(self, metrics: Counters, code: ResultCode) -> None:
        """Count the result and, if the request was answered, record its duration."""
        metrics.count(f"requests.result.{code:d}")
        if self.trail.skipped_answers:
            metrics.count("requests.skipped_answers", self.trail.skipped_answers)
        if self.route is not None and code.run is Execution.RAN:
            route = self.route
            metrics.record_latency(route.service, self.klass, self._label, self.duration_s)


class AccessLog:
    """Rate-limited log of completed requests and the decisions on them.

    Failed, late and retried requests are logged up to a maximum rate. One in `sample` of the others
    is logged, also up to a maximum rate. `suppressed` is the number of failed, late and retried
    requests in the current second that were not logged because of the rates.
    """

    __slots__ = (
        "_answered",
        "_failed",
        "_handed_over",
        "_late",
        "_sample",
        "_sampled",
        "_second",
        "_undelivered",
        "suppressed",
    )

    def __init__(self, sample: int) -> None:
        self._sample = sample
        self._answered = 0
        self._second = 0
        self._failed = self._late = self._sampled = 0
        self._undelivered = self._handed_over = 0
        self.suppressed = 0

    def write(self, code: ResultCode, path: str, summary: RequestSummary) -> None:
        """Log a completed request if the rates allow it."""
        self._reset_each_second()
        if not self._should_write(code, summary):
            return
        summary.trail.write()
        route = summary.route
        log(
            Event.REQUEST_ANSWERED if code.run is Execution.RAN else Event.REQUEST_ENDED,
            id=summary.trail.request_id,
            code=int(code),
            outcome=code.name.lower(),
            path=logged_path(path),
            service="" if route is None else route.service,
            route_class=summary.klass,
            workspace=summary.workspace,
            document=summary.document,
            attempts=summary.trail.attempts,
            duration_ms=round(summary.duration_s * 1000, 1),
            late=summary.is_late,
        )

    def write_undelivered(
        self, answers: list[UndeliveredAnswer], stop_began_s: float | None
    ) -> None:
        """Log the answers that one connection did not deliver if the rate allows it."""
        self._reset_each_second()
        stop_ms = None
        if stop_began_s is not None:
            stop_ms = round((trio.current_time() - stop_began_s) * 1000, 1)
        for answer in answers:
            if not self._may_write_undelivered(answer):
                self.suppressed += 1
                continue
            if answer.write_decisions is not None:
                answer.write_decisions()
            log(
                Event.ANSWER_UNDELIVERED,
                id=answer.request_id,
                path=logged_path(answer.path),
                cause=answer.cause,
                state=answer.state,
                ended_by=answer.ended_by,
                sent_bytes=answer.sent_bytes,
                handed_over_ms=answer.handed_over_ms,
                input_end=answer.input_end,
                of_connection=len(answers),
                stop_ms=stop_ms,
            )

    def _may_write_undelivered(self, answer: UndeliveredAnswer) -> bool:
        if answer.was_handed_over:
            self._handed_over += 1
            return self._handed_over <= MAX_HANDED_OVER_LINES_PER_S
        self._undelivered += 1
        return self._undelivered <= MAX_UNDELIVERED_LINES_PER_S

    def _should_write(self, code: ResultCode, summary: RequestSummary) -> bool:
        if code.run is not Execution.RAN:
            self._failed += 1
            written = self._failed <= MAX_FAILED_LINES_PER_S
        elif summary.is_late or summary.trail.attempts > 1 or summary.trail.skipped_answers:
            self._late += 1
            written = self._late <= MAX_LATE_LINES_PER_S
        else:
            self._answered += 1
            if self._answered % self._sample:
                return False
            self._sampled += 1
            return self._sampled <= MAX_SAMPLED_LINES_PER_S
        self.suppressed += not written
        return written

    def _reset_each_second(self) -> None:
        second = int(trio.current_time())
        if second == self._second:
            return
        if self.suppressed:
            log(Event.REQUEST_LINES_SUPPRESSED, requests=self.suppressed)
        self._second, self.suppressed = second, 0
        self._failed = self._late = self._sampled = 0
        self._undelivered = self._handed_over = 0
