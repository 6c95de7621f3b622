"""Limited rate of requests to cold targets, with dispatchers of two hosts and no network."""

import heapq
import random
from collections.abc import Callable

import pytest

from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.selection.balancer import LeastOccupied
from dotterelstand.process.selection.decisions import Granted
from dotterelstand.process.selection.dispatcher import Dispatcher
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.queue import WaitingCall
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.process.selection.warmup import paces_cold_targets
from dotterelstand.request.fields import parse_warmup
from dotterelstand.version.model import Service, Target

PER_S, WARMUP_S = 5.1, 3.0
TARGETS, ZONES, SLOTS = 18, 3, 6
STEP_S, PROBE_S, LIST_DELAY_S = 0.005, 0.1, 0.9
CALLS_PER_S, WARM_DURATION_S, COLD_DURATION_S = 1500, 0.05, 0.3


def _service(incarnations: dict[int, int], warmup_s: dict[int, float], per_s: float = PER_S):  # type: ignore[no-untyped-def]
    targets = tuple(
        Target(f"t{i}", "10.0.0.1", 1, "r1", f"z{i % ZONES}", SLOTS, number, warmup_s.get(i, 0.0))
        for i, number in sorted(incarnations.items())
    )
    return Service("s", targets, 240, False, 0.1, 2, 1.0, warmup_s=WARMUP_S, warmup_per_s=per_s)


def _dispatcher(service: Service, region: str = "r1", paces: bool = True) -> Dispatcher:
    tuning = SelectionTuning()
    tuning.new_targets_cold = False
    dispatcher = Dispatcher(service, region, tuning, LeastOccupied(random.Random(1)))
    dispatcher.table.warmup.set_paces(paces, 0.0)
    return dispatcher


class _World:
    """Targets that turn cold at given times, and the dispatchers that share the calls."""

    def __init__(self) -> None:
        self.rng = random.Random(3)
        self.now = 0.0
        self.incarnations = dict.fromkeys(range(TARGETS), 1)
        self.cold_until = dict.fromkeys(range(TARGETS), 0.0)
        self.dispatchers = [_dispatcher(self.service())]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sent: dict[str, list[tuple[float, bool]]] = {f"t{i}": [] for i in range(TARGETS)}
        self.refused = 0
        self.steps = 0
        self._number = 0

    def service(self, **warmup_s: float) -> Service:
        return _service(self.incarnations, {int(name[1:]): s for name, s in warmup_s.items()})

    def at(self, delay_s: float, event: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self.events, (self.now + delay_s, self._number, event))

    def publish(self, **warmup_s: float) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.replace_service(self.service(**warmup_s), self.now)
            dispatcher.advance_health(self.now)

    def restart(self, *numbers: int) -> None:
        """Restart targets: they leave the list, and return cold 1 s later."""
        before = {number: self.incarnations.pop(number) for number in numbers}
        self.publish()

        def start() -> None:
            for number in numbers:
                self.cold_until[number] = self.now + WARMUP_S
            self.incarnations.update({number: before[number] + 1 for number in numbers})
            self.at(LIST_DELAY_S, lambda: self.publish(**{f"t{n}": WARMUP_S for n in numbers}))

        self.at(1.0, start)

    def turn_cold(self, *numbers: int) -> None:
        for number in numbers:
            self.cold_until[number] = self.now + WARMUP_S

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.steps += 1
            self.now += STEP_S
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            if self.steps % int(PROBE_S / STEP_S) == 0:
                self._probe()
            for dispatcher in self.dispatchers:
                self._take(dispatcher, dispatcher.advance(self.now))
            for _ in range(int(CALLS_PER_S * STEP_S + self.rng.random())):
                dispatcher = self.rng.choice(self.dispatchers)
                self._number += 1
                call = WaitingCall(("h", self._number), 0, 0, self.now, self.now + 1.0)
                self._take(dispatcher, dispatcher.submit(call, self.now))

    def largest_cold_second(self) -> int:
        """Largest number of requests to one target, while it was cold, in any sliding second."""
        counts = [0]
        for requests in self.sent.values():
            times = [at for at, cold in requests if cold]
            counts += [sum(start <= at < start + 1.0 for at in times) for start in times]
        return max(counts)

    def _probe(self) -> None:
        for dispatcher in self.dispatchers:
            for target in dispatcher.service.targets:
                left_s = max(0.0, self.cold_until[int(target.name[1:])] - self.now)
                dispatcher.table.warmup.report(target, left_s, self.now)

    def _take(self, dispatcher: Dispatcher, decisions: list) -> None:  # type: ignore[type-arg]
        for decision in decisions:
            if not isinstance(decision, Granted):
                self.refused += 1
                continue
            name = dispatcher.service.targets[decision.target].name
            cold = self.cold_until[int(name[1:])] > self.now
            self.sent[name].append((self.now, cold))
            duration_s = COLD_DURATION_S if cold else WARM_DURATION_S

            def end(key: tuple[str, int] = decision.key, duration_s: float = duration_s) -> None:
                ended = dispatcher.finish(key, AttemptOutcome.OK, duration_s, None, self.now)
                self._take(dispatcher, ended)

            self.at(duration_s, end)


def _restart_one(world: _World) -> None:
    world.restart(0)


def _restart_zone(world: _World) -> None:
    world.restart(*range(0, TARGETS, ZONES))


def _second_dispatcher(world: _World) -> None:
    world.restart(*range(0, TARGETS, ZONES))
    world.at(2.5, lambda: world.dispatchers.append(_dispatcher(world.service(t0=WARMUP_S))))


def _cold_again(world: _World) -> None:
    world.turn_cold(1, 2, 3)
    world.at(1.7, lambda: world.turn_cold(2))


@pytest.mark.parametrize("change", [_restart_one, _restart_zone, _second_dispatcher, _cold_again])
@pytest.mark.parametrize("phase_s", [0.0, 0.07])
def test_cold_targets_get_at_most_the_tolerated_rate(
    change: Callable[[_World], None], phase_s: float
) -> None:
    """Guards against a crash of targets that return cold while there is much traffic."""
    world = _World()
    world.run(2.0 + phase_s)
    assert not world.refused, "warm targets are paced"
    change(world)
    world.run(9.0)
    assert 2 < world.largest_cold_second() <= PER_S * 1.5 + 8
    for requests in world.sent.values():
        # The load has come back, and not in a rush: the first requests after the cold time.
        assert sum(at > world.now - 1.0 for at, _ in requests) > 20
        ended = [at for at, cold in requests if cold]
        first = [at for at, _ in requests if ended and ended[-1] < at < ended[-1] + STEP_S]
        assert len(first) <= 2


def test_a_waiting_call_gets_the_next_token_by_a_timer() -> None:
    """Guards against calls that never start, or a queue that spins, while no token is left."""
    dispatcher = _dispatcher(_service({0: 2}, {0: WARMUP_S}))
    granted: list[float] = []
    for number in range(4):
        dispatcher.submit(WaitingCall(("h", number), 0, 0, 0.0, 9.0), 0.0)
    while len(granted) < 4:
        at = dispatcher.table.warmup.next_timer()
        assert at is not None and (not granted or at > granted[-1])
        granted += [at for item in dispatcher.advance(at) if isinstance(item, Granted)]
    interval_s = 1 / (0.75 * PER_S)
    assert granted == pytest.approx([interval_s * (n + 1) for n in range(4)])


@pytest.mark.parametrize(
    ("region", "paces", "per_s", "used"),
    [
        ("r1", True, PER_S, True),
        ("r1", False, PER_S, False),
        ("r2", True, PER_S, False),
        ("r1", False, 0.0, True),
        ("r2", False, 0.0, True),
    ],
)
def test_only_the_dispatcher_of_the_region_uses_cold_targets(
    region: str, paces: bool, per_s: float, used: bool
) -> None:
    """Guards against hosts that choose locally or elsewhere and each add their own rate.

    A service without `warmup_per_s` has no cold targets.
    """
    remote = Target("other", "10.0.0.1", 1, "r2", "z", SLOTS, 0)
    service = _service({0: 2}, {0: WARMUP_S}, per_s)
    if region == "r2":
        service = Service(
            "s", (*service.targets, remote), 240, False, 0.1, 2, 1.0, warmup_per_s=per_s
        )
    dispatcher = _dispatcher(service, region, paces)
    got: list[float] = []
    for number in range(40):
        at = number / 10
        for item in dispatcher.submit(WaitingCall(("h", number), 0, 0, at, at + 9), at):
            if isinstance(item, Granted) and service.targets[item.target].name == "t0":
                got.append(at)
                dispatcher.finish(item.key, AttemptOutcome.OK, 0.05, None, at)
    assert bool([at for at in got if at < WARMUP_S]) is used
    assert [at for at in got if at >= WARMUP_S]


@pytest.mark.parametrize(
    ("hubs", "paces"), [((True,), False), ((True, False), True), ((False, True), False)]
)
def test_isolated_hosts_do_not_pace(hubs: tuple[bool, ...], paces: bool) -> None:
    """Guards against many hosts without links that all consider themselves the dispatcher."""
    members = tuple(Member(f"h{i}", "r1", "z", False, hub) for i, hub in enumerate(hubs))
    assert paces_cold_targets(members, "h0") is paces


@pytest.mark.parametrize(
    ("value", "seconds"),
    [(b"1500", 1.5), (b"0", 0.0), (b"", None), (None, None), (b"-1", None), (b"9" * 30, None)],
)
def test_malformed_warmup_time_is_ignored(value: bytes | None, seconds: float | None) -> None:
    """Guards against a health answer whose header stops the probes or a target."""
    assert parse_warmup(value) == seconds
