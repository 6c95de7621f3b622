"""Counts and logs the end of each request."""

import trio

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.events import Event, log
from dotterelstand.request.ports import Counters
from dotterelstand.request.trail import Trail
from dotterelstand.version.document import Route

# Requests a second that are logged with their decisions: those without an answer of their target,
# those that were late or repeated, and the sample of the others. A line takes about 60 us.
MAX_FAILED_PER_S = 40
MAX_LATE_PER_S = 10
MAX_SAMPLED_PER_S = 5
MAX_PATH = 200


class Ending:
    """What the end of one request is counted and logged under.

    `document` is the number of the document that routed it.
    """

    __slots__ = ("_began", "_tenant", "document", "route", "trail")

    def __init__(
        self, route: Route | None, tenant: str, request_id: bytes | None, document: int
    ) -> None:
        self.route = route
        self._tenant = tenant
        self._began = trio.current_time()
        self.document = document
        self.trail = Trail(request_id)

    @property
    def duration_s(self) -> float:
        """Seconds since the request began."""
        return trio.current_time() - self._began

    @property
    def is_late(self) -> bool:
        """Whether the time in which an answer has its full worth has passed."""
        latency_s = None if self.route is None else self.route.latency_s
        return latency_s is not None and self.duration_s > latency_s

    def count(self, metrics: Counters, code: ResultCode) -> None:
        """Count the end and, if the request was answered, its duration."""
        metrics.count(f"requests.result.{code:d}")
        if self.route is not None and code.run is Execution.RAN:
            route = self.route
            metrics.record_latency(route.service, route.klass, self._tenant, self.duration_s)


class EndLog:
    """Logs the ends of requests with their decisions.

    Every failed, late or repeated request is logged, up to a rate, and one in `sample` of the
    others. What the rates leave out is counted in `suppressed`.
    """

    __slots__ = ("_answered", "_failed", "_late", "_sample", "_sampled", "_second", "suppressed")

    def __init__(self, sample: int) -> None:
        self._sample = sample
        self._answered = 0
        self._second = 0
        self._failed = self._late = self._sampled = 0
        self.suppressed = 0

    def write(self, code: ResultCode, path: str, ending: Ending) -> None:
        """Log one end."""
        self._begin_second()
        if not self._takes(code, ending):
            return
        ending.trail.write()
        route = ending.route
        log(
            Event.REQUEST_ANSWERED if code.run is Execution.RAN else Event.REQUEST_ENDED,
            id=ending.trail.request_id,
            code=int(code),
            outcome=code.name.lower(),
            path=path[:MAX_PATH],
            service="" if route is None else route.service,
            route_class="" if route is None else route.klass,
            document=ending.document,
            attempts=ending.trail.attempts,
            duration_ms=round(ending.duration_s * 1000, 1),
            late=ending.is_late,
        )

    def _takes(self, code: ResultCode, ending: Ending) -> bool:
        if code.run is not Execution.RAN:
            self._failed += 1
            taken = self._failed <= MAX_FAILED_PER_S
        elif ending.is_late or ending.trail.attempts > 1:
            self._late += 1
            taken = self._late <= MAX_LATE_PER_S
        else:
            self._answered += 1
            if self._answered % self._sample:
                return False
            self._sampled += 1
            return self._sampled <= MAX_SAMPLED_PER_S
        self.suppressed += not taken
        return taken

    def _begin_second(self) -> None:
        second = int(trio.current_time())
        if second == self._second:
            return
        if self.suppressed:
            log(Event.REQUEST_LINES_SUPPRESSED, requests=self.suppressed)
        self._second, self.suppressed = second, 0
        self._failed = self._late = self._sampled = 0
