"""Counts and logs the end of each request."""

import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.codes import Run
from dotterelstand.events import Event, log
from dotterelstand.request.ports import Counters
from dotterelstand.version.document import Route

# Lines a second for each result code; more would cost time when most requests fail.
MAX_LINES_PER_S = 10
MAX_PATH = 200


class Ending:
    """What the end of one request is counted under."""

    __slots__ = ("_began", "_route", "_tenant")

    def __init__(self, route: Route | None, tenant: str) -> None:
        self._route = route
        self._tenant = tenant
        self._began = trio.current_time()

    def count(self, metrics: Counters, code: ResultCode) -> None:
        """Count the end and, if the request was answered, its duration."""
        metrics.count(f"requests.result.{code:d}")
        if self._route is not None and code.run is Run.RAN:
            duration_s = trio.current_time() - self._began
            metrics.record_latency(self._route.service, self._route.klass, self._tenant, duration_s)


class EndLog:
    """Logs ends: answered requests at debug level, others up to a rate for each code."""

    __slots__ = ("_lines", "_second", "suppressed")

    def __init__(self) -> None:
        self._lines: dict[ResultCode, int] = {}
        self._second = 0
        self.suppressed = 0

    def write(self, code: ResultCode, path: str) -> None:
        """Log one end; a line beyond the rate is counted in `suppressed`."""
        if code.run is Run.RAN:
            log(Event.REQUEST_ANSWERED, code=code, path=path[:MAX_PATH])
            return
        second = int(trio.current_time())
        if second != self._second:
            if self.suppressed:
                log(Event.REQUEST_LINES_SUPPRESSED, lines=self.suppressed)
            self._second, self.suppressed = second, 0
            self._lines.clear()
        lines = self._lines.get(code, 0)
        if lines >= MAX_LINES_PER_S:
            self.suppressed += 1
            return
        self._lines[code] = lines + 1
        log(Event.REQUEST_ENDED, code=code, path=path[:MAX_PATH])
