"""Target health: ejection, slow start, load reports and draining."""

import random

import pytest
from selection_helpers import make_service

from dotterelstand.process.selection.balancer import LeastOccupied, TwoChoices
from dotterelstand.process.selection.health import HealthTable
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.slotindex import NO_TARGETS
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.request.fields import LoadReport
from dotterelstand.version.model import Target

OK = AttemptOutcome.OK
FAILED = AttemptOutcome.FAILED
USUAL_S = 0.005


def _table(targets: int, slots: int = 2) -> HealthTable:
    table = HealthTable(list(make_service(targets, slots).targets), SelectionTuning())
    for _ in range(100):
        for position in range(targets):
            _run(table, position, OK, USUAL_S, 0.0)
    return table


def _run(
    table: HealthTable, position: int, kind: AttemptOutcome, duration_s: float, now: float
) -> None:
    table.start(position)
    table.finish(position, kind, duration_s, now)


@pytest.mark.parametrize("kind", [k for k in AttemptOutcome if k.is_failure])
@pytest.mark.parametrize("targets", [1, 2, 3, 4, 10, 12, 17])
def test_ejected_share_is_bounded(targets: int, kind: AttemptOutcome) -> None:
    """Guards against a fault common to all targets that ejects the whole service."""
    table = _table(targets)
    for _ in range(20):
        for position in range(targets):
            _run(table, position, kind, 0.0001, 1.0)
    usable = sum(target.usable for target in table.targets)
    assert usable == table.usable_count >= 1
    assert targets - usable <= 0.3 * targets


def test_ejection_grows_and_ends_with_one_slot() -> None:
    """Guards against ejections that do not get longer, and a return with all slots at once."""
    table = _table(12)
    now = 1.0
    periods = []
    for _ in range(9):
        for _ in range(3):
            _run(table, 0, FAILED, 0.001, now)
        end = table.targets[0].ejected_until
        assert end is not None
        periods.append(end - now)
        now = end
        table.advance(now)
        assert table.targets[0].usable and table.targets[0].allowance == 1
    assert periods == [0.5, 1, 2, 4, 8, 16, 30, 30, 30]


def test_cold_target_gains_slots_with_successes() -> None:
    """Guards against a target with cold caches that receives full load at once."""
    table = _table(4, slots=3)
    table.mark_cold(0)
    allowed = []
    for _ in range(9):
        allowed.append(table.targets[0].allowance)
        _run(table, 0, OK, USUAL_S, 1.0)
    assert allowed == [1, 1, 1, 1, 2, 2, 2, 2, 3]


@pytest.mark.parametrize("seed", range(5))
def test_first_short_answers_eject_nobody(seed: int) -> None:
    """Guards against ejections by a typical duration that a few short answers set too low."""
    rng = random.Random(seed)
    table = HealthTable(list(make_service(12).targets), SelectionTuning())
    _run(table, 0, OK, USUAL_S / 50, 0.0)
    for step in range(300):
        _run(table, step % 12, OK, rng.expovariate(1 / USUAL_S), 1.0)
        assert table.usable_count == 12


@pytest.mark.parametrize("chooser", [LeastOccupied, TwoChoices])
def test_fast_failures_do_not_attract_load(chooser: type) -> None:
    """Guards against a target that looks idle because it rejects all requests."""
    table = _table(3)  # Too few targets to eject one.
    rng = random.Random(1)
    choose = chooser(rng).choose
    failed = 0
    held: list[tuple[float, int]] = []
    for number in range(3000):
        now = 1.0 + number * USUAL_S / 3
        table.advance(now)
        while held and held[0][0] <= now:
            table.finish(held.pop(0)[1], OK, USUAL_S, now)
        position = choose(table, NO_TARGETS, now)
        table.start(position)
        if position == 0:
            failed += 1
            table.finish(0, FAILED, 0.0001, now)
        else:
            held.append((now + USUAL_S, position))
    assert failed <= 3000 / 3, "more than an even share of the requests"


def test_straggler_is_ejected_and_a_noisy_neighbour_is_not() -> None:
    """Guards against a slow target that stays in use, and against ejecting healthy targets."""
    rng = random.Random(5)
    table = _table(12)
    for _ in range(200):
        for position in range(1, 12):
            factor = 3.0 if rng.random() < 0.1 else 1.0
            _run(table, position, OK, rng.expovariate(1 / USUAL_S) * factor, 1.0)
    assert table.usable_count == 12
    for _ in range(20):
        for position in range(12):
            slow = 10 if position == 0 else 1
            _run(table, position, OK, rng.expovariate(1 / USUAL_S) * slow, 1.0)
    assert [target.usable for target in table.targets] == [False] + [True] * 11


def test_load_reports_only_lower_trust() -> None:
    """Guards against a target that reports no load and therefore receives all requests."""
    table = _table(2)
    table.start(0)
    for load, low, high in [(0, 0.5, 0.5), (1, 0.5, 0.5), (5, 2.4, 2.5)]:
        table.record_load(0, LoadReport(load), 1.0)
        assert low <= table.load(0, 1.0) <= high
    assert 0.5 < table.load(0, 1.1) < 0.6, "an old report keeps its weight"


def test_usual_load_of_others_counts_against_nobody() -> None:
    """Guards against avoiding a target because it recently reported a load usual for all."""
    table = _table(4)
    for step in range(400):
        table.record_load(step % 3, LoadReport(2), 1.0)
    for position in range(3):
        assert abs(table.load(position, 1.0) - table.load(3, 1.0)) < 0.01
    table.record_load(0, LoadReport(0), 1.0)
    assert table.load(0, 1.0) == table.load(3, 1.0), "a low report attracts load"


def test_leaving_target_returns_cold() -> None:
    """Guards against work for a leaving target, and against full load after its return."""
    table = _table(3)
    table.mark_leaving(1)
    table.mark_leaving(1)
    choose = LeastOccupied(random.Random(1)).choose
    assert {choose(table, NO_TARGETS, 1.0) for _ in range(50)} == {0, 2}
    _run(table, 1, FAILED, 0.001, 1.0)
    table.mark_returned(1)
    assert table.targets[1].usable and table.targets[1].allowance == 1


@pytest.mark.parametrize("seed", range(4))
def test_totals_agree_with_the_targets(seed: int) -> None:
    """Guards against totals or an index of open targets that differ from the targets' states."""
    rng = random.Random(seed)
    table = _table(10, slots=4)
    now = 1.0
    running: list[int] = []
    for _ in range(4000):
        now += rng.expovariate(1000)
        table.advance(now)
        action = rng.random()
        position = rng.randrange(10)
        if action < 0.5:
            chosen = LeastOccupied(rng).choose(table, frozenset({position}), now)
            if chosen is not None:
                assert chosen != position and table.targets[chosen].usable
                table.start(chosen)
                running.append(chosen)
        elif action < 0.97 and running:
            kind = rng.choice([OK] * 6 + list(AttemptOutcome))
            table.finish(running.pop(rng.randrange(len(running))), kind, rng.random() / 50, now)
        else:
            rng.choice([table.mark_leaving, table.mark_returned, table.mark_cold])(position)
        usable = [target for target in table.targets if target.usable]
        assert table.usable_count == len(usable)
        assert table.total_allowance == sum(target.allowance for target in usable)
        for index, target in enumerate(table.targets):
            full = target.in_flight >= target.allowance + 2 * (target.allowance == target.slots)
            assert (index in table.index.open_targets) == (target.usable and not full)


def test_equal_targets_in_the_own_zone_are_preferred() -> None:
    """Guards against needless traffic between zones, and against overloading one zone."""
    service = make_service(8)
    for position, target in enumerate(service.targets):
        target.availability_zone = f"z{position % 2}"
    table = HealthTable(list(service.targets), SelectionTuning())
    choose = LeastOccupied(random.Random(1)).choose
    own = sum(choose(table, NO_TARGETS, 0.0, "z1") % 2 for _ in range(200))
    assert own > 150
    for position in range(1, 8, 2):
        table.start(position)
    assert {choose(table, NO_TARGETS, 0.0, "z1") for _ in range(50)} == {0, 2, 4, 6}


@pytest.mark.parametrize(("cold", "allowance"), [(True, 1), (False, 2)])
def test_a_target_that_a_version_adds_starts_as_the_settings_say(
    cold: bool, allowance: int
) -> None:
    """Guards against ignoring `new_targets_cold` for targets that a new version adds.

    With slow start, a host used a quarter of the slots because targets registered late.
    """
    tuning = SelectionTuning()
    tuning.new_targets_cold = cold
    old = HealthTable([Target("a", "10.0.0.1", 1, "r", "z", 2)], tuning)
    targets = [Target(name, "10.0.0.1", 1, "r", "z", 2) for name in ("a", "b")]
    new = HealthTable(targets, tuning)
    new.copy_state(old)
    assert [target.allowance for target in new.targets] == [2, allowance]


def test_requests_of_others_occupy_a_target_while_they_are_reported() -> None:
    """Guards against sending work to a target that unreachable entry hosts already keep full."""
    table = HealthTable([Target("a", "10.0.0.1", 1, "r", "z", 2)], SelectionTuning())
    table.record_load(0, LoadReport(9), 1.0)
    assert not len(table.index.open_targets)
    table.advance(1.2)
    assert not len(table.index.open_targets)
    table.advance(1.4)
    assert len(table.index.open_targets) == 1


def test_a_slow_target_ranks_behind_full_ones_until_its_report_is_old() -> None:
    """Guards against sending work to a slow target, and against avoiding it forever."""
    targets = [Target(name, "10.0.0.1", 1, "r", "z", 2) for name in ("a", "b")]
    table = HealthTable(targets, SelectionTuning())
    table.start(1)
    table.start(1)
    assert table.record_slowdown(0, 4.0, 1.0) and table.targets[0].slow
    assert table.index.least_occupied(random.Random(1), frozenset()) == 1
    table.advance(2.0)
    assert table.index.least_occupied(random.Random(1), frozenset()) == 0
