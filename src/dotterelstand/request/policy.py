"""Decisions on retries, hedged requests and deadlines, without I/O and with the time passed in."""

import math
from collections import deque
from enum import Enum

from dotterelstand.codes import Result as ResultCode
from dotterelstand.request.retryreserve import RetryReserve

# Number of recent durations of a service from which its quantiles are computed.
MAX_SAMPLES = 128
# Number of new samples after which the quantiles are recomputed, which sorts all samples.
REFRESH_SAMPLES = 16
# Minimum number of samples for quantiles; with fewer, a single slow request determines the p95.
MIN_SAMPLES = 20
BUDGET_WINDOW_S = 10
# Share of the allowance up to which hedged requests are charged. They only save time, and must not
# leave a lookup whose connection was lost without its retry.
HEDGE_SHARE = 0.8
# Seconds between requests for a slot of a retry that got none.
SLOT_PAUSES_S = (0.05, 0.1, 0.2)
# Multiple of the median duration after which an answer counts as slower than usual; about the 75th
# percentile if durations vary by 30%.
SLOW_ANSWER_MULTIPLE = 1.2

# Statuses of a failing target; an idempotent request with such an answer is retried.
FAILING_STATUSES = frozenset({500, 502, 503, 504})


class RetryBudget:
    """Budget for retries and hedged requests of one service, as a share of its traffic.

    Within any window of 10 s it allows `share` times the number of requests, but at least
    `minimum_per_s` a second, and besides this host's part of the fleet's reserve. Hedged requests
    leave a part of that to retries, which may use all of it.
    """

    __slots__ = ("_charged", "_minimum_per_s", "_requests", "_reserve", "_second", "share")

    def __init__(
        self, share: float, minimum_per_s: float, reserve: RetryReserve | None = None
    ) -> None:
        self.share = share
        self._reserve = reserve
        self._minimum_per_s = minimum_per_s
        self._requests: deque[int] = deque([0] * BUDGET_WINDOW_S, maxlen=BUDGET_WINDOW_S)
        # One counter per clock second; a window of `BUDGET_WINDOW_S` can overlap one more clock
        # second than its length.
        self._charged: deque[int] = deque([0] * (BUDGET_WINDOW_S + 1), maxlen=BUDGET_WINDOW_S + 1)
        self._second = 0

    def count_request(self, now: float) -> None:
        """Count one request of a caller; `now` is the monotonic time in seconds."""
        self._advance(now)
        self._requests[-1] += 1

    def try_take(self, now: float) -> bool:
        """Charge one retry to the budget; False if it is spent."""
        return self._take(self.allowance(now))

    def try_take_hedge(self, now: float) -> bool:
        """Charge one hedged request; False if its part of the budget is spent."""
        return self._take(HEDGE_SHARE * self.allowance(now))

    def refund(self) -> None:
        """Undo the charge for an attempt that was not made."""
        if self._charged[-1]:
            self._charged[-1] -= 1

    def allowance(self, now: float) -> float:
        """Number of retries and hedged requests allowed in the window that ends at `now`."""
        self._advance(now)
        spare = self._reserve.spare(now) if self._reserve is not None else 0.0
        own = max(self.share * sum(self._requests), self._minimum_per_s * BUDGET_WINDOW_S)
        return own + spare

    def _take(self, limit: float) -> bool:
        if sum(self._charged) + 1 > limit:
            return False
        self._charged[-1] += 1
        return True

    def _advance(self, now: float) -> None:
        second = int(now)
        for _ in range(min(BUDGET_WINDOW_S + 1, max(0, second - self._second))):
            self._requests.append(0)
            self._charged.append(0)
        self._second = max(self._second, second)


class LatencyQuantiles:
    """Quantiles of a service's recent times to the answer head, in seconds."""

    __slots__ = ("_new_samples", "_p50_s", "_p95_s", "_samples")

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._new_samples = 0
        self._p50_s = 0.0
        self._p95_s: float | None = None

    def record(self, duration_s: float) -> None:
        """Add the seconds from sending a request to the head of its answer."""
        self._samples.append(duration_s)
        self._new_samples += 1
        if self._new_samples >= REFRESH_SAMPLES or len(self._samples) == MIN_SAMPLES:
            self._refresh()

    @property
    def median_s(self) -> float:
        """Median duration in seconds; 0 with fewer than `MIN_SAMPLES` answers."""
        return self._p50_s

    @property
    def p95_s(self) -> float | None:
        """95th percentile in seconds; None with fewer than `MIN_SAMPLES` answers."""
        return self._p95_s

    def _refresh(self) -> None:
        self._new_samples = 0
        if len(self._samples) < MIN_SAMPLES:
            return
        ordered = sorted(self._samples)
        self._p50_s = ordered[len(ordered) // 2]
        self._p95_s = ordered[len(ordered) * 95 // 100]


class ServicePolicy:
    """Retry budget and latency of one service, as seen by one entry host."""

    __slots__ = ("budget", "latency")

    def __init__(
        self, share: float, minimum_per_s: float, reserve: RetryReserve | None = None
    ) -> None:
        self.budget = RetryBudget(share, minimum_per_s, reserve)
        self.latency = LatencyQuantiles()


class RetryDecision(Enum):
    """Decision to retry a failed attempt, or the reason against it."""

    RETRY = "retry"
    MAY_HAVE_RUN = "may_have_run"
    NOT_HELD = "not_held"
    ATTEMPTS_SPENT = "attempts_spent"
    NO_TIME = "no_time"
    BUDGET_SPENT = "budget_spent"


class RetryInputs:
    """Inputs of the retry decision on a request whose last attempt failed.

    `connected` is False if the target of that attempt could not be reached.
    """

    __slots__ = (
        "attempts",
        "body_held",
        "connected",
        "idempotent",
        "may_have_run",
        "remaining_s",
    )

    def __init__(
        self,
        idempotent: bool,
        may_have_run: bool,
        body_held: bool,
        attempts: int,
        remaining_s: float,
        connected: bool = True,
    ) -> None:
        self.idempotent = idempotent
        self.may_have_run = may_have_run
        self.body_held = body_held
        self.attempts = attempts
        self.remaining_s = remaining_s
        self.connected = connected


def decide_retry(
    inputs: RetryInputs, service: ServicePolicy, max_attempts: int, now: float
) -> RetryDecision:
    """Decide whether to retry; a retry is charged to the budget.

    An attempt that failed to connect caused no work at a target, so its retry is not charged.
    """
    if inputs.may_have_run and not inputs.idempotent:
        return RetryDecision.MAY_HAVE_RUN
    if not inputs.body_held:
        return RetryDecision.NOT_HELD
    if inputs.attempts >= max_attempts:
        return RetryDecision.ATTEMPTS_SPENT
    if not can_finish(inputs.remaining_s, service.latency):
        return RetryDecision.NO_TIME
    if inputs.connected and not service.budget.try_take(now):
        return RetryDecision.BUDGET_SPENT
    return RetryDecision.RETRY


def slot_pause_s(
    refusal: ResultCode, pauses: int, remaining_s: float, latency: LatencyQuantiles
) -> float | None:
    """Seconds after which a retry that got no slot asks again, or None if it must not.

    The targets that are full now get a slot free within about one duration. `pauses` counts the
    earlier ones. It is for requests that may have run: others are told at once that they did not.
    """
    if refusal not in (ResultCode.OVERLOADED, ResultCode.NO_TARGET):
        return None
    pause_s = SLOT_PAUSES_S[pauses] if pauses < len(SLOT_PAUSES_S) else math.inf
    return pause_s if can_finish(remaining_s - pause_s, latency) else None


def latest_start_s(
    began_s: float, objective_s: float | None, latency: LatencyQuantiles
) -> float | None:
    """Time after which an attempt that turns out slow misses the latency objective, if any."""
    if objective_s is None:
        return None
    return began_s + objective_s - SLOW_ANSWER_MULTIPLE * latency.median_s


def can_finish(remaining_s: float, latency: LatencyQuantiles) -> bool:
    """Whether an attempt of median duration fits into the remaining time."""
    return remaining_s > max(latency.median_s, 0.001)


def hedge_delay_s(
    idempotent: bool,
    enabled: bool,
    remaining_s: float,
    latency: LatencyQuantiles,
    latency_left_s: float | None = None,
) -> float | None:
    """Seconds after which a hedged attempt starts, or None for no hedging.

    `latency_left_s` is the time left until the route's latency objective, if it has one. The hedged
    attempt then starts just early enough to meet the objective, but not before the first attempt is
    slower than usual.
    """
    delay_s = latency.p95_s
    if latency_left_s is not None:
        median_s = latency.median_s or max(0.0, latency_left_s) / 2
        delay_s = max(
            SLOW_ANSWER_MULTIPLE * median_s, latency_left_s - SLOW_ANSWER_MULTIPLE * median_s
        )
    if not idempotent or not enabled or delay_s is None:
        return None
    return delay_s if remaining_s - delay_s > max(latency.median_s, 0.001) else None
