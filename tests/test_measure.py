"""The measuring budget holds in every one-second window."""

import random

import pytest

from dotterelstand.process.measure import MeasureBudget, MeasureLimit


@pytest.mark.parametrize(
    ("bytes_per_s", "calls_per_s", "size"),
    [(1000, 1000, 10), (100000, 50, 10), (1000, 1000, 100), (8, 8, 1), (0, 100, 1), (100, 0, 1)],
)
@pytest.mark.parametrize("region", ["r1", "r2"])
def test_no_window_exceeds_the_limit(
    bytes_per_s: int, calls_per_s: int, size: int, region: str
) -> None:
    """Guards against bursts at the edge of two seconds that together exceed the limit."""
    limit = MeasureLimit(bytes_per_s, calls_per_s)
    ample = MeasureLimit(1 << 30, 1 << 30)
    budget = MeasureBudget("r1", limit if region == "r1" else ample, limit, 0.0)
    rng = random.Random(7)
    now = 0.0
    sent: list[float] = []
    for _ in range(3000):
        now += rng.expovariate(500) if rng.random() < 0.95 else rng.random()
        if budget.spend(size, region, now):
            sent.append(now)
    for end in sent:
        window = [time for time in sent if end - 1.0 < time <= end]
        assert len(window) <= calls_per_s and len(window) * size <= bytes_per_s
    assert budget.counters.sent_bytes == size * len(sent)
    assert budget.counters.refused == 3000 - len(sent)
    if bytes_per_s and calls_per_s and size <= bytes_per_s / 8:
        assert sent, "a budget that lets nothing through measures nothing"


def test_acquires_leave_room_for_releases() -> None:
    """Guards against acquires that use up the budget, so that their slots are never released."""
    budget = MeasureBudget("r1", MeasureLimit(800, 1000), MeasureLimit(0, 0), 0.0)
    while budget.spend(10, "r1", 0.0, opens_call=True):
        pass
    assert budget.spend(10, "r1", 0.0)
    assert not budget.spend(10, "r2", 0.0), "a region without budget receives nothing"
