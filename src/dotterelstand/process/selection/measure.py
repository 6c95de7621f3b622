"""Measuring budget: limits messages that serve only to track target load (slots, probes)."""

from collections import deque

WINDOW_S = 1.0
# Share of a limit that may be spent in one burst; the rest is refilled evenly over the second.
BURST_SHARE = 0.125
# Share of the burst reserved for `Grant` and `Release` messages; each `Acquire` causes both.
ACQUIRE_RESERVE = 0.25
# Maximum number of other regions, each with its own limiter; messages to further ones are refused.
MAX_REGIONS = 64


class MeasureLimit:
    """Limits in bytes and calls (messages) per second."""

    __slots__ = ("bytes_per_s", "calls_per_s")

    def __init__(self, bytes_per_s: float, calls_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.calls_per_s = calls_per_s


class _Bucket:
    """Token bucket whose burst plus one second's refill equals the limit."""

    __slots__ = ("_burst", "_filled_at", "_limit", "_rate", "_tokens")

    def __init__(self, limit: float, now: float) -> None:
        self._limit = limit
        self._burst = limit * BURST_SHARE
        self._rate = limit * (1 - BURST_SHARE) / WINDOW_S
        self._tokens = self._burst
        self._filled_at = now

    def fits(self, amount: float, reserve: float, now: float) -> bool:
        self._fill(now)
        return self._tokens - amount >= reserve * self._burst

    def consume(self, amount: float) -> None:
        self._tokens -= amount
        assert self._tokens >= -1e-6, "measuring budget overdrawn"

    def _fill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._filled_at) * self._rate)
        self._filled_at = now


class _Window:
    """Exact totals of the last second, to assert the limit independently of the buckets."""

    __slots__ = ("_limit", "_sent", "bytes", "peak_bytes", "peak_calls")

    def __init__(self, limit: MeasureLimit) -> None:
        self._limit = limit
        self._sent: deque[tuple[float, int]] = deque()
        self.bytes = 0
        self.peak_bytes = 0
        self.peak_calls = 0

    def add(self, size: int, now: float) -> None:
        while self._sent and self._sent[0][0] <= now - WINDOW_S:
            self.bytes -= self._sent.popleft()[1]
        self._sent.append((now, size))
        self.bytes += size
        assert self.bytes <= self._limit.bytes_per_s, "measuring bytes exceed the limit"
        assert len(self._sent) <= self._limit.calls_per_s, "measuring calls exceed the limit"
        self.peak_bytes = max(self.peak_bytes, self.bytes)
        self.peak_calls = max(self.peak_calls, len(self._sent))


class _RateLimiter:
    """Token buckets of one limit, with a `_Window` that checks them."""

    __slots__ = ("_bytes", "_calls", "window")

    def __init__(self, limit: MeasureLimit, now: float) -> None:
        self._bytes = _Bucket(limit.bytes_per_s, now)
        self._calls = _Bucket(limit.calls_per_s, now)
        self.window = _Window(limit)

    def fits(self, size: int, reserve: float, now: float) -> bool:
        return self._bytes.fits(size, reserve, now) and self._calls.fits(1, reserve, now)

    def consume(self, size: int, now: float) -> None:
        self._bytes.consume(size)
        self._calls.consume(1)
        self.window.add(size, now)


class MeasureCounters:
    """Totals of measuring messages since the start."""

    __slots__ = ("refused", "sent_bytes", "sent_calls")

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.sent_calls = 0
        self.refused = 0


class MeasureBudget:
    """Limits the measuring messages of this host in total and to each other region."""

    __slots__ = ("_host", "_last_now", "_region", "_region_limit", "_regions", "counters")

    def __init__(
        self, region: str, host: MeasureLimit, other_region: MeasureLimit, now: float
    ) -> None:
        self._region = region
        self._region_limit = other_region
        self._host = _RateLimiter(host, now)
        self._regions: dict[str, _RateLimiter] = {}
        self._last_now = now
        self.counters = MeasureCounters()

    def spend(self, size: int, region: str, now: float, *, opens_call: bool = False) -> bool:
        """Charge one message of `size` bytes; False if it exceeds the budget and must not be sent.

        `opens_call` marks a message that causes further messages. It must not use the share that is
        reserved for those.
        """
        assert now >= self._last_now, "time went backwards"
        self._last_now = now
        reserve = ACQUIRE_RESERVE if opens_call else 0.0
        limiters = [self._host]
        if region != self._region:
            if region not in self._regions:
                if len(self._regions) >= MAX_REGIONS:
                    self.counters.refused += 1
                    return False
                self._regions[region] = _RateLimiter(self._region_limit, now)
            limiters.append(self._regions[region])
        if not all(limiter.fits(size, reserve, now) for limiter in limiters):
            self.counters.refused += 1
            return False
        for limiter in limiters:
            limiter.consume(size, now)
        self.counters.sent_bytes += size
        self.counters.sent_calls += 1
        return True

    def peak_bytes(self, region: str | None = None) -> int:
        """Maximum of bytes sent in any one-second window, by the host or to one region."""
        if region is None:
            return self._host.window.peak_bytes
        limiter = self._regions.get(region)
        return limiter.window.peak_bytes if limiter else 0
