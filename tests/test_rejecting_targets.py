"""Load on targets that reject a share of their requests while their health checks pass."""

import heapq
import random

import pytest
from selection_helpers import make_service

from dotterelstand.process.selection.balancer import LeastOccupied
from dotterelstand.process.selection.decisions import Granted, Refused
from dotterelstand.process.selection.dispatcher import Dispatcher
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.queue import WaitingCall
from dotterelstand.process.selection.returnschedule import MAX_RETURN_S, ReturnSchedule
from dotterelstand.process.selection.tuning import SelectionTuning

WORK_S = 0.2
REJECT_S = 0.005
OBJECTIVE_S = 0.6
DEADLINE_S = 1.5
# Length of the load; the targets that reject requests do so from second 2 to second 10.
SECONDS = 18
# Retries that the fleet may make, as a share of its requests.
RETRY_SHARE = 0.2


class _Load:
    """Poisson arrivals at one dispatcher; targets reject from second 2 to second 10.

    Counts by second: arrivals, attempts that were rejected, and grants by target.
    """

    def __init__(self, per_s: float, rejecting: frozenset[int], regions: tuple[str, ...]) -> None:
        tuning = SelectionTuning()
        tuning.lookahead_per_slot = 0.0
        self._rng = random.Random(7)
        service = make_service(12, 6, regions)
        self._dispatcher = Dispatcher(service, "r1", tuning, LeastOccupied(self._rng))
        self._rejecting = rejecting
        self._per_s = per_s
        self.arrivals = [0] * SECONDS
        self.rejected = [0] * SECONDS
        self.refused = [0] * SECONDS
        self.granted: list[set[int]] = [set() for _ in range(SECONDS)]

    def run(self) -> None:
        events: list[tuple[float, int, int, bool]] = []
        now, number = 0.0, 0
        while (now := now + self._rng.expovariate(self._per_s)) < SECONDS:
            heapq.heappush(events, (now, number, 0, False))
            number += 1
        for step in range(50 * SECONDS):
            heapq.heappush(events, (step * 0.02, -1, 1, False))
        while events:
            now, number, kind, is_rejection = heapq.heappop(events)
            if kind == 0:
                self.arrivals[int(now)] += 1
                call = WaitingCall(("h", number), 0, 0, now, now + DEADLINE_S)
                call.start_by = now + OBJECTIVE_S - WORK_S
                decisions = self._dispatcher.submit(call, now)
            elif kind == 1:
                decisions = self._dispatcher.advance(now)
            else:
                outcome = AttemptOutcome.REFUSED if is_rejection else AttemptOutcome.OK
                spent_s = REJECT_S if is_rejection else WORK_S
                key = ("h", number)
                decisions = self._dispatcher.finish(key, outcome, spent_s, None, now)
            for decision in decisions:
                self._apply(decision, now, events)

    def _apply(
        self, decision: Granted | Refused, now: float, events: list[tuple[float, int, int, bool]]
    ) -> None:
        second = min(SECONDS - 1, int(now))
        if isinstance(decision, Refused):
            self.refused[second] += 1
            return
        self.granted[second].add(decision.target)
        unwilling = decision.target in self._rejecting and 2 <= now < 10
        is_rejection = unwilling and self._rng.random() < 0.55
        self.rejected[second] += is_rejection
        spent_s = REJECT_S if is_rejection else WORK_S
        heapq.heappush(events, (now + spent_s, decision.key[1], 2, is_rejection))


@pytest.mark.parametrize(
    ("per_s", "rejecting", "regions"),
    [
        pytest.param(45.0, frozenset(range(8)), ("r1",), id="8 of 12 targets reject"),
        pytest.param(45.0, frozenset({0, 2, 4}), ("r1",), id="a quarter of the targets rejects"),
        pytest.param(20.0, frozenset(range(0, 12, 2)), ("r1", "r2"), id="a whole region rejects"),
    ],
)
def test_requests_avoid_targets_that_reject_more_than_half(
    per_s: float, rejecting: frozenset[int], regions: tuple[str, ...]
) -> None:
    """Guards against retries beyond the budget while other targets have room for the load.

    Seen on a day with 8 of 11 such targets, of which 30% were ejected and the others limited to
    one slot, so that most requests were rejected although three targets could serve them all.
    """
    load = _Load(per_s, rejecting, regions)
    load.run()
    during = slice(3, 10)
    assert sum(load.rejected[during]) <= RETRY_SHARE * sum(load.arrivals[during])
    assert sum(load.refused) == 0
    # The targets get requests again soon after they have recovered.
    assert rejecting <= set().union(*load.granted[14:])


def test_all_targets_that_reject_stay_in_use() -> None:
    """Guards against refusals of all requests when no target accepts more than half of them."""
    load = _Load(45.0, frozenset(range(12)), ("r1",))
    load.run()
    assert sum(load.refused) == 0
    assert sum(load.rejected[3:10]) <= 0.7 * sum(load.arrivals[3:10])


@pytest.mark.parametrize(
    ("refusals", "wait_s", "interval_s", "last_s"),
    [(1, 0.2, 0.01, 0.2), (50, 0.2, 0.01, 0.69), (5000, 0.2, 0.01, MAX_RETURN_S)],
)
def test_refused_callers_return_one_by_one(
    refusals: int, wait_s: float, interval_s: float, last_s: float
) -> None:
    """Guards against a crowd of refused callers that all return at the same moment."""
    schedule = ReturnSchedule()
    times = [schedule.reserve(10.0, wait_s, interval_s) for _ in range(refusals)]
    assert times == sorted(times) and times[0] == pytest.approx(wait_s)
    assert times[-1] == pytest.approx(last_s)
    assert schedule.reserve(10.0 + MAX_RETURN_S + 1, 0.0, interval_s) == 0.0
