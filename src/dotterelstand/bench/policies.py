"""Baseline policies of the queue model, and the single queue that bounds them."""

import random
from collections import deque
from collections.abc import Callable

from dotterelstand.bench.world import Attempt, Call, Scenario, World
from dotterelstand.process.selection.balancer import (
    Chooser,
    LeastOccupied,
    RandomChoice,
    RoundRobin,
    TwoChoices,
)
from dotterelstand.process.selection.health import HealthTable
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.slotindex import NO_TARGETS
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.request.fields import LoadReport

ChooserFactory = Callable[[random.Random], Chooser]
PROBES_PER_CALL = 3


class Policy:
    """Chooses an instance for each call; `done(call, failed)` reports its end."""

    __slots__ = ("done", "world")

    def __init__(self, world: World) -> None:
        self.world = world
        self.done: Callable[[Call, bool], None] = lambda call, failed: None

    def start(self, call: Call) -> None:
        """A call arrived at its entry host."""
        raise NotImplementedError

    def bytes_per_call(self) -> float:
        """Measuring bytes sent so far, per call."""
        return 0.0


def baseline_tuning() -> SelectionTuning:
    """Tuning without limits, ejection or stragglers, for the baselines."""
    tuning = SelectionTuning()
    tuning.lookahead_per_slot = 1e9
    tuning.failure_bound = 2.0
    tuning.slow_factor = float("inf")
    return tuning


class LocalPolicy(Policy):
    """Each entry host decides by its own requests in flight (and answered load if asked)."""

    __slots__ = ("_choosers", "_near", "_tables", "_use_load")

    def __init__(
        self, world: World, make: ChooserFactory, *, shared: bool = False, use_load: bool = False
    ) -> None:
        super().__init__(world)
        self._use_load = use_load
        self._near = [world.instances_in(location.region) for location in world.entry_locations]
        self._choosers = []
        self._tables: list[HealthTable] = []
        by_region: dict[str, HealthTable] = {}
        for entry, location in enumerate(world.entry_locations):
            self._choosers.append(make(random.Random(f"{world.scenario.seed}/entry/{entry}")))
            targets = [world.service.targets[i] for i in self._near[entry]]
            table = by_region.get(location.region)
            if table is None or not shared:
                table = by_region[location.region] = HealthTable(targets, baseline_tuning())
            self._tables.append(table)

    def start(self, call: Call) -> None:
        """See `Policy`."""
        table = self._tables[call.entry]
        position = self._choosers[call.entry].choose(table, NO_TARGETS, self.world.engine.now)
        assert position is not None
        table.start(position)

        def ended(attempt: Attempt, outcome: AttemptOutcome, load: int | None) -> None:
            now = self.world.engine.now
            # The baselines know no fast failures: the slot counts as free at once.
            table.finish(position, AttemptOutcome.CANCELLED, now - attempt.sent_at, now)
            if self._use_load and load is not None:
                table.report_load(position, LoadReport(load), now)
            self.done(call, outcome is not AttemptOutcome.OK)

        self.world.send(call, self._near[call.entry][position], ended)


class ProbePolicy(Policy):
    """Asks three random instances for their load before each call."""

    __slots__ = ("_near", "_random", "_sent", "_started", "probe_bytes")

    def __init__(self, world: World, probe_bytes: int) -> None:
        super().__init__(world)
        self._near = [world.instances_in(location.region) for location in world.entry_locations]
        self._random = random.Random(f"{world.scenario.seed}/probes")
        self.probe_bytes = probe_bytes
        self._sent = 0
        self._started = 0

    def start(self, call: Call) -> None:
        """See `Policy`."""
        near = self._near[call.entry]
        chosen = self._random.sample(near, min(PROBES_PER_CALL, len(near)))
        loads: dict[int, int] = {}
        self._started += 1
        self._sent += self.probe_bytes * len(chosen)
        engine = self.world.engine

        def read(instance: int, latency_s: float) -> None:
            load = self.world.instances[instance].in_flight
            engine.schedule_after(latency_s, collect, instance, load)

        def collect(instance: int, load: int) -> None:
            loads[instance] = load
            if len(loads) == len(chosen):
                self.world.send(call, min(chosen, key=loads.__getitem__), ended)

        def ended(attempt: Attempt, outcome: AttemptOutcome, load: int | None) -> None:
            self.done(call, outcome is not AttemptOutcome.OK)

        for instance in chosen:
            location = self.world.instances[instance].location
            latency_s = self.world.entry_locations[call.entry].latency_s(location)
            engine.schedule_after(latency_s, read, instance, latency_s)

    def bytes_per_call(self) -> float:
        """See `Policy`."""
        return self._sent / max(1, self._started)


class SingleQueuePolicy(Policy):
    """Bound: one queue per region that knows every slot at once and without delay.

    A waiting call starts at the instant at which a slot falls free, as if it had travelled already.
    """

    __slots__ = ("_free", "_near", "_random", "_waiting")

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._random = random.Random(f"{world.scenario.seed}/single")
        self._waiting: dict[str, deque[Call]] = {}
        self._free: dict[str, list[int]] = {}
        for location in world.entry_locations:
            region = location.region
            self._waiting.setdefault(region, deque())
            if region not in self._free:
                slots = world.scenario.slots
                self._free[region] = [i for i in world.instances_in(region) for _ in range(slots)]

    def start(self, call: Call) -> None:
        """See `Policy`."""
        region = self.world.entry_locations[call.entry].region
        free = self._free[region]
        if not free:
            self._waiting[region].append(call)
            return
        index = int(self._random.random() * len(free))
        free[index], free[-1] = free[-1], free[index]
        self._run(call, free.pop(), region)

    def _run(self, call: Call, instance: int, region: str) -> None:
        end = self.world.instances[instance].finish_time(self.world.engine.now, call.service_s)
        self.world.engine.schedule_at(end, self._finish, call, instance, region)

    def _finish(self, call: Call, instance: int, region: str) -> None:
        location = self.world.instances[instance].location
        latency_s = self.world.entry_locations[call.entry].latency_s(location)
        # The travel there and back, which no policy can avoid, is added at the end.
        self.world.engine.schedule_after(2 * latency_s, self.done, call, False)
        if self._waiting[region]:
            self._run(self._waiting[region].popleft(), instance, region)
        else:
            self._free[region].append(instance)


def baseline(world: World, name: str, probe_bytes: int) -> Policy:
    """Baseline policy by its name in the report."""
    makers: dict[str, Callable[[], Policy]] = {
        "random": lambda: LocalPolicy(world, RandomChoice),
        "round robin": lambda: LocalPolicy(world, RoundRobin),
        "least own in flight": lambda: LocalPolicy(world, LeastOccupied),
        "two choices": lambda: LocalPolicy(world, TwoChoices),
        "two choices, answered load": lambda: LocalPolicy(world, TwoChoices, use_load=True),
        "two choices, shared": lambda: LocalPolicy(world, TwoChoices, shared=True),
        "three probes": lambda: ProbePolicy(world, probe_bytes),
        "single queue": lambda: SingleQueuePolicy(world),
    }
    return makers[name]()


BASELINES = (
    "random",
    "round robin",
    "least own in flight",
    "two choices",
    "two choices, answered load",
    "three probes",
    "two choices, shared",
    "single queue",
)

__all__ = ["BASELINES", "LocalPolicy", "Policy", "ProbePolicy", "Scenario", "baseline"]
