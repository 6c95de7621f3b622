"""Measuring budget (limits messages that track target load), and packing of slot messages."""

import random

import pytest
from websockets.frames import Frame, Opcode

from dotterelstand.bench.slotpolicy import HEADER_BYTES, MASK_BYTES
from dotterelstand.connection.codec import encode_message
from dotterelstand.connection.wire import Acquire
from dotterelstand.process.selection.measure import MeasureBudget, MeasureLimit
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.slotcodec import (
    pack_requirements,
    pack_result,
    unpack_requirements,
    unpack_result,
)


@pytest.mark.parametrize(
    ("bytes_per_s", "calls_per_s", "size"),
    [(1000, 1000, 10), (100000, 50, 10), (1000, 1000, 100), (8, 8, 1), (0, 100, 1), (100, 0, 1)],
)
@pytest.mark.parametrize("region", ["r1", "r2"])
def test_no_window_exceeds_the_limit(
    bytes_per_s: int, calls_per_s: int, size: int, region: str
) -> None:
    """Guards against exceeding the limit in a one-second window that spans two clock seconds."""
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
        assert sent, "the budget lets no message through"


def test_acquires_leave_room_for_releases() -> None:
    """Guards against acquires that exhaust the budget, so that releases cannot be sent."""
    budget = MeasureBudget("r1", MeasureLimit(800, 1000), MeasureLimit(0, 0), 0.0)
    while budget.spend(10, "r1", 0.0, opens_call=True):
        pass
    assert budget.spend(10, "r1", 0.0)
    assert not budget.spend(10, "r2", 0.0), "a region without budget receives nothing"


@pytest.mark.parametrize("mask", [False, True])
def test_model_counts_frames_as_websockets_does(mask: bool) -> None:
    """Guards against byte counts that omit the WebSocket framing."""
    payload = encode_message(Acquire(3, pack_requirements(0, 0, None), 2, 0, 0))
    size = len(Frame(Opcode.BINARY, payload).serialize(mask=mask))
    assert size == len(payload) + HEADER_BYTES + (MASK_BYTES if mask else 0)


@pytest.mark.parametrize("klass", [0, 1, 7])
@pytest.mark.parametrize("workspace", [0, 31, 1023])
@pytest.mark.parametrize("remaining_s", [None, 0.001, 0.05, 60.0])
def test_need_survives_packing(klass: int, workspace: int, remaining_s: float | None) -> None:
    """Guards against a call that is queued with a wrong class, workspace or deadline."""
    need = unpack_requirements(pack_requirements(klass, workspace, remaining_s))
    assert need is not None
    assert (need.klass, need.workspace, need.remaining_s) == (klass, workspace, remaining_s)


@pytest.mark.parametrize("kind", list(AttemptOutcome))
@pytest.mark.parametrize("duration_s", [0.0005, 0.005, 0.4])
def test_result_survives_packing(kind: AttemptOutcome, duration_s: float) -> None:
    """Guards against a failure counted as a success, and against wrong durations."""
    result = unpack_result(pack_result(kind, duration_s))
    assert result is not None and result.kind is kind
    assert duration_s / 1.2 <= result.duration_s <= duration_s * 1.2


@pytest.mark.parametrize("number", [-1, 1 << 40])
def test_numbers_out_of_range_are_rejected(number: int) -> None:
    """Guards against a malformed message that stops the daemon."""
    assert unpack_requirements(number) is None and unpack_result(number) is None
