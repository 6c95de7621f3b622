"""Decides which requests a stopping daemon still serves, and until when; the time is passed in."""

import math

# Share of the time limit of a stop after which the last answers are sent, so that callers can read
# them before the process ends, also on a machine that runs this process late.
LAST_ANSWER_SHARE = 0.85
# Share after which the remaining connections are closed, so that the daemon ends by itself.
LAST_CONNECTION_SHARE = 0.91
# Share of the time limit during which new requests are served whatever their own time limit is,
# since the balancer may not have noticed the stop.
OPEN_SHARE = 0.5


class StopPlan:
    """End of the requests of a daemon that must have ended `limit_s` seconds after its stop began.

    Without a limit (0) requests end at their own pace. Times are monotonic, in seconds.
    """

    __slots__ = ("_began_s", "_limit_s")

    def __init__(self, limit_s: float = 0.0) -> None:
        self._limit_s = limit_s
        self._began_s: float | None = None

    @property
    def began_s(self) -> float | None:
        """Time at which the stop began, or None."""
        return self._began_s

    @property
    def last_answer_s(self) -> float:
        """Time at which every request must have been answered; infinite without a limited stop."""
        return self._time_at(LAST_ANSWER_SHARE)

    @property
    def last_connection_s(self) -> float:
        """Time at which the last connections are closed; infinite without a limited stop."""
        return self._time_at(LAST_CONNECTION_SHARE)

    def request_end_s(self, answer_started: bool) -> float:
        """Time at which a request must have ended; later if its answer only has to be sent."""
        return self.last_connection_s if answer_started else self.last_answer_s

    def begin(self, now: float) -> None:
        """Begin the stop."""
        self._began_s = now

    def accepts(self, now: float, deadline: float) -> bool:
        """Whether to serve a new request that may last until `deadline`.

        A target could still be at work on a later one when the process ends, and its caller can
        use another host instead.
        """
        return deadline <= self.last_answer_s or now < self._time_at(OPEN_SHARE)

    def _time_at(self, share: float) -> float:
        if self._began_s is None or not self._limit_s:
            return math.inf
        return self._began_s + self._limit_s * share
