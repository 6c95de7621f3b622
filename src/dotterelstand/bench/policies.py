"""Baseline policies of the queue model, and the single queue as the lower bound of latency."""

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
    """Chooses an instance for each call and calls `on_done(call, failed)` when the call ends."""

    __slots__ = ("on_done", "world")

    def __init__(self, world: World) -> None:
        self.world = world
        self.on_done: Callable[[Call, bool], None] = lambda call, failed: None

    def start(self, call: Call) -> None:
        """Handle a call that arrived at its entry host."""
        raise NotImplementedError

    def bytes_per_call(self) -> float:
        """Bytes sent so far to measure load, per call."""
        return 0.0


def baseline_tuning() -> SelectionTuning:
    """Tuning of the baselines: no limit in flight, no ejection, no detection of slow targets."""
    tuning = SelectionTuning()
    tuning.lookahead_per_slot = 1e9
    tuning.failure_bound = 2.0
    tuning.slow_factor = float("inf")
    return tuning


class LocalPolicy(Policy):
    """Lets each entry host choose by its own requests in flight, without messages to other hosts.

    `use_load` adds the load that targets report in their answers; `shared` lets the hosts of a
    region share one table of requests in flight.
    """

    __slots__ = ("_choosers", "_local_instances", "_tables", "_use_load")

    def __init__(
        self,
        world: World,
        make_chooser: ChooserFactory,
        *,
        shared: bool = False,
        use_load: bool = False,
    ) -> None:
        super().__init__(world)
        self._use_load = use_load
        self._local_instances = [
            world.instances_in(location.region) for location in world.entry_locations
        ]
        self._choosers = []
        self._tables: list[HealthTable] = []
        by_region: dict[str, HealthTable] = {}
        for entry, location in enumerate(world.entry_locations):
            self._choosers.append(
                make_chooser(random.Random(f"{world.scenario.seed}/entry/{entry}"))
            )
            targets = [world.service.targets[i] for i in self._local_instances[entry]]
            table = by_region.get(location.region)
            if table is None or not shared:
                table = by_region[location.region] = HealthTable(targets, baseline_tuning())
            self._tables.append(table)

    def start(self, call: Call) -> None:
        """See `Policy`."""
        table = self._tables[call.entry_host]
        position = self._choosers[call.entry_host].choose(table, NO_TARGETS, self.world.engine.now)
        assert position is not None
        table.start(position)

        def on_end(attempt: Attempt, outcome: AttemptOutcome, load: int | None) -> None:
            now = self.world.engine.now
            # Every outcome is recorded as cancelled, which frees the slot at once: the baselines do
            # not penalise fast failures.
            table.finish(position, AttemptOutcome.CANCELLED, now - attempt.sent_at, now)
            if self._use_load and load is not None:
                table.record_load(position, LoadReport(load), now)
            self.on_done(call, outcome is not AttemptOutcome.OK)

        self.world.send(call, self._local_instances[call.entry_host][position], on_end)


class ProbePolicy(Policy):
    """Asks three random instances for their load before each call and chooses the least loaded."""

    __slots__ = (
        "_calls_started",
        "_local_instances",
        "_probe_bytes_sent",
        "_random",
        "probe_bytes",
    )

    def __init__(self, world: World, probe_bytes: int) -> None:
        super().__init__(world)
        self._local_instances = [
            world.instances_in(location.region) for location in world.entry_locations
        ]
        self._random = random.Random(f"{world.scenario.seed}/probes")
        self.probe_bytes = probe_bytes
        self._probe_bytes_sent = 0
        self._calls_started = 0

    def start(self, call: Call) -> None:
        """See `Policy`."""
        local_instances = self._local_instances[call.entry_host]
        probed = self._random.sample(local_instances, min(PROBES_PER_CALL, len(local_instances)))
        loads: dict[int, int] = {}
        self._calls_started += 1
        self._probe_bytes_sent += self.probe_bytes * len(probed)
        engine = self.world.engine

        def read_load(instance: int, latency_s: float) -> None:
            load = self.world.instances[instance].in_flight
            engine.schedule_after(latency_s, collect_load, instance, load)

        def collect_load(instance: int, load: int) -> None:
            loads[instance] = load
            if len(loads) == len(probed):
                self.world.send(call, min(probed, key=loads.__getitem__), on_end)

        def on_end(attempt: Attempt, outcome: AttemptOutcome, load: int | None) -> None:
            self.on_done(call, outcome is not AttemptOutcome.OK)

        for instance in probed:
            location = self.world.instances[instance].location
            latency_s = self.world.entry_locations[call.entry_host].latency_s(location)
            engine.schedule_after(latency_s, read_load, instance, latency_s)

    def bytes_per_call(self) -> float:
        """See `Policy`."""
        return self._probe_bytes_sent / max(1, self._calls_started)


class SingleQueuePolicy(Policy):
    """Lower bound of latency: one queue per region that knows without delay which slots are free.

    A waiting call starts as soon as a slot becomes free, without network latency.
    """

    __slots__ = ("_free_slots", "_local_instances", "_random", "_waiting_calls")

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._random = random.Random(f"{world.scenario.seed}/single")
        self._waiting_calls: dict[str, deque[Call]] = {}
        self._free_slots: dict[str, list[int]] = {}
        for location in world.entry_locations:
            region = location.region
            self._waiting_calls.setdefault(region, deque())
            if region not in self._free_slots:
                slots = world.scenario.slots
                self._free_slots[region] = [
                    i for i in world.instances_in(region) for _ in range(slots)
                ]

    def start(self, call: Call) -> None:
        """See `Policy`."""
        region = self.world.entry_locations[call.entry_host].region
        free_slots = self._free_slots[region]
        if not free_slots:
            self._waiting_calls[region].append(call)
            return
        index = int(self._random.random() * len(free_slots))
        free_slots[index], free_slots[-1] = free_slots[-1], free_slots[index]
        self._run(call, free_slots.pop(), region)

    def _run(self, call: Call, instance: int, region: str) -> None:
        end = self.world.instances[instance].finish_time(self.world.engine.now, call.service_s)
        self.world.engine.schedule_at(end, self._finish, call, instance, region)

    def _finish(self, call: Call, instance: int, region: str) -> None:
        location = self.world.instances[instance].location
        latency_s = self.world.entry_locations[call.entry_host].latency_s(location)
        # The call started without latency, so add the round trip, which no policy can avoid.
        self.world.engine.schedule_after(2 * latency_s, self.on_done, call, False)
        if self._waiting_calls[region]:
            self._run(self._waiting_calls[region].popleft(), instance, region)
        else:
            self._free_slots[region].append(instance)


def baseline(world: World, name: str, probe_bytes: int) -> Policy:
    """Create a baseline policy by its name in the report."""
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
