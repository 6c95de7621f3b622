"""How often the targets of a service are probed under different loads."""

import pytest

from dotterelstand.process.selection.probeschedule import (
    MAX_BUSY_INTERVAL_S,
    MAX_IDLE_INTERVAL_S,
    PROBES_PER_CALL,
    STEP_S,
    ProbeSchedule,
)
from dotterelstand.version.model import Target

MIN_INTERVAL_S = 0.1


def _targets(count: int) -> list[Target]:
    return [Target(f"t{n}", "10.0.0.1", 9000 + n, "r1", "z1", 2) for n in range(count)]


def _probed(targets: int, calls_per_s: float, seconds: float) -> list[Target]:
    """Probes of a service under a steady load, after the load has lasted for 5 s."""
    schedule = ProbeSchedule(MIN_INTERVAL_S, 0, 0.0)
    known, now = _targets(targets), 0.0
    probed: list[Target] = []
    while now < 5.0 + seconds:
        due = schedule.step(known, int(calls_per_s * now), now)
        probed += due if now >= 5.0 else []
        now = schedule.next_step_at(targets, now)
    return probed


@pytest.mark.parametrize(
    ("targets", "calls_per_s", "interval_s"),
    [
        (6, 0.0, MAX_IDLE_INTERVAL_S),
        (6, 100.0, MIN_INTERVAL_S),
        (62, 79.0, 62 / (PROBES_PER_CALL * 79.0)),
        (62, 2.0, MAX_BUSY_INTERVAL_S),
        (1, 1000.0, MIN_INTERVAL_S),
    ],
)
def test_probes_follow_the_calls(targets: int, calls_per_s: float, interval_s: float) -> None:
    """Guards against an idle fleet that probes as often as a busy one, and against stale loads."""
    probed = _probed(targets, calls_per_s, 10.0)
    assert len(probed) == pytest.approx(targets * 10.0 / interval_s, rel=0.1)


@pytest.mark.parametrize(("targets", "calls_per_s"), [(1, 5.0), (7, 0.0), (62, 79.0)])
def test_all_targets_are_probed_in_turn(targets: int, calls_per_s: float) -> None:
    """Guards against a target that is left out for longer than the others."""
    probed = [target.name for target in _probed(targets, calls_per_s, 10.0)]
    for start in range(0, len(probed) - targets, targets):
        assert len(set(probed[start : start + targets])) == targets


@pytest.mark.parametrize("targets", [1, 30, 300, 3000])
def test_steps_do_not_grow_with_the_targets(targets: int) -> None:
    """Guards against one wake-up of the host per probe in a large fleet."""
    schedule = ProbeSchedule(MIN_INTERVAL_S, 0, 0.0)
    now, steps = 0.0, 0
    while now < 10.0:
        schedule.step(_targets(targets), int(1000 * now), now)
        now = schedule.next_step_at(targets, now)
        steps += 1
    assert steps <= 10.0 / STEP_S + 1


def test_a_call_after_an_idle_spell_brings_probes_at_once() -> None:
    """Guards against choices on a load report of a second ago when traffic begins."""
    schedule = ProbeSchedule(MIN_INTERVAL_S, 0, 0.0)
    targets = _targets(4)
    for step in range(20):
        schedule.step(targets, 0, step / 4)
    schedule.step(targets, 40, 5.0)
    assert schedule.interval_s(4) == MIN_INTERVAL_S


@pytest.mark.parametrize("count", [0, 3])
def test_targets_that_appear_or_vanish_are_followed(count: int) -> None:
    """Guards against probes of targets that are gone, and against an index beyond the list."""
    schedule = ProbeSchedule(MIN_INTERVAL_S, 0, 0.0)
    schedule.step(_targets(50), 100, 1.0)
    assert len(schedule.step(_targets(count), 200, 2.0)) <= count


def test_a_new_dispatcher_probes_all_targets_at_once() -> None:
    """Guards against a dispatcher that uses targets which turned cold before it took over."""
    schedule = ProbeSchedule(MIN_INTERVAL_S, 0, 0.0)
    schedule.make_due()
    assert schedule.next_step_at(6, 0.0) == STEP_S
    assert len(schedule.step(_targets(6), 0, STEP_S)) == 6
    assert not schedule.step(_targets(6), 0, 2 * STEP_S)
