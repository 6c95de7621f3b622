"""Discrete-event queue model of entry hosts and targets, with latencies and disturbances."""

import bisect
import random
from collections import deque
from collections.abc import Callable

from dotterelstand.bench.engine import Engine
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.version.model import Service, Target

MEAN_SERVICE_S = 0.005
ENTRY_HOSTS = 16
# Noisy neighbours: an instance spends a tenth of its time at a third of its speed, in periods of
# 20 ms on average.
SLOW_MEAN_S = 0.02
SLOW_SHARE = 0.1
SLOW_FACTOR = 3.0
FAIL_FAST_S = 0.0002
# One-way latencies in seconds. The first is assumed, the others are from section 1.3 of the design
# page.
SAME_ZONE_S = 0.0001
CROSS_ZONE_S = 0.0005
CROSS_REGION_S = 0.012


class Location:
    """Region and availability zone of a host."""

    __slots__ = ("region", "zone")

    def __init__(self, region: str, zone: str) -> None:
        self.region = region
        self.zone = zone

    def latency_s(self, destination: "Location") -> float:
        """One-way latency to another location, in seconds."""
        if self.region != destination.region:
            return CROSS_REGION_S
        return SAME_ZONE_S if self.zone == destination.zone else CROSS_ZONE_S


def spread_locations(count: int, regions: int) -> list[Location]:
    """Assign locations round-robin over regions of two zones each; a single region has one zone."""
    if regions == 1:
        return [Location("r0", "r0-z0") for _ in range(count)]
    return [
        Location(f"r{i % regions}", f"r{i % regions}-z{i // regions % 2}") for i in range(count)
    ]


class Scenario:
    """Size, load and disturbances of one run; `load` is a fraction of `capacity_per_s`.

    `straggler_factor` slows down the first instance; `failing` makes it fail every call at once.
    """

    __slots__ = (
        "calls",
        "entry_hosts",
        "failing",
        "instances",
        "load",
        "noise",
        "regions",
        "seed",
        "slots",
        "straggler_factor",
    )

    def __init__(
        self,
        instances: int,
        slots: int,
        regions: int,
        load: float,
        calls: int,
        seed: int,
        *,
        entry_hosts: int = ENTRY_HOSTS,
        noise: bool = True,
        straggler_factor: float = 1.0,
        failing: bool = False,
    ) -> None:
        self.instances = instances
        self.slots = slots
        self.regions = regions
        self.load = load
        self.calls = calls
        self.seed = seed
        self.entry_hosts = entry_hosts
        self.noise = noise
        self.straggler_factor = straggler_factor
        self.failing = failing

    @property
    def capacity_per_s(self) -> float:
        """Calls a second that all instances complete, with noise but without a straggler."""
        share = SLOW_SHARE if self.noise else 0.0
        speed = 1 - share + share / SLOW_FACTOR
        return self.instances * self.slots * speed / MEAN_SERVICE_S


class Attempt:
    """One attempt of a call on an instance; `on_end` gets its outcome and the reported load."""

    __slots__ = ("call", "cancelled", "instance", "on_end", "sent_at", "start_count")

    def __init__(
        self,
        call: "Call",
        instance: int,
        sent_at: float,
        on_end: Callable[["Attempt", AttemptOutcome, int | None], None],
    ) -> None:
        self.call = call
        self.instance = instance
        self.sent_at = sent_at
        self.on_end = on_end
        self.cancelled = False
        # Incremented at each start and abort, so that the end event of an aborted run is ignored.
        self.start_count = 0


class Call:
    """One call: arrival time, service time (both in seconds), entry host and result."""

    __slots__ = ("arrived", "entry_host", "failed", "finished", "number", "service_s")

    def __init__(self, number: int, arrived: float, entry_host: int, service_s: float) -> None:
        self.number = number
        self.arrived = arrived
        self.entry_host = entry_host
        self.service_s = service_s
        self.finished: float | None = None
        self.failed = False


class Instance:
    """A target with slots, a FIFO queue and a speed that varies over time."""

    __slots__ = (
        "_engine",
        "_noisy",
        "_random",
        "_slow",
        "busy_slots",
        "failing",
        "location",
        "queue",
        "running",
        "slots",
        "speed_change_times",
        "straggler_factor",
    )

    def __init__(self, engine: Engine, location: Location, scenario: Scenario, number: int) -> None:
        self._engine = engine
        self._random = random.Random(f"{scenario.seed}/noise/{number}")
        self.location = location
        self.slots = scenario.slots
        self.busy_slots = 0
        self.queue: deque[Attempt] = deque()
        self.running: set[Attempt] = set()
        self.straggler_factor = scenario.straggler_factor if number == 0 else 1.0
        self.failing = scenario.failing and number == 0
        # Times at which the speed changes between normal and slow; the first period is normal.
        self.speed_change_times = [0.0]
        self._noisy = scenario.noise
        self._slow = True

    @property
    def in_flight(self) -> int:
        """Number of requests that run or wait on this instance."""
        return self.busy_slots + len(self.queue)

    def receive(
        self, attempt: Attempt, on_response: Callable[[Attempt, AttemptOutcome], None]
    ) -> None:
        """Run or queue a request; `on_response` is called when it ends."""
        if attempt.cancelled:
            return
        if self.failing:
            self._engine.schedule_after(FAIL_FAST_S, on_response, attempt, AttemptOutcome.FAILED)
        elif self.busy_slots < self.slots:
            self._start(attempt, on_response)
        else:
            self.queue.append(attempt)

    def abort(
        self, attempt: Attempt, on_response: Callable[[Attempt, AttemptOutcome], None]
    ) -> None:
        """Stop or dequeue a request whose connection was closed."""
        if attempt in self.running:
            attempt.start_count += 1
            self._release_slot(attempt, on_response)
        elif attempt in self.queue:
            self.queue.remove(attempt)

    def _start(
        self, attempt: Attempt, on_response: Callable[[Attempt, AttemptOutcome], None]
    ) -> None:
        self.busy_slots += 1
        assert self.busy_slots <= self.slots
        self.running.add(attempt)
        attempt.start_count += 1
        end = self.finish_time(self._engine.now, attempt.call.service_s)
        self._engine.schedule_at(end, self._finish, attempt, attempt.start_count, on_response)

    def _finish(
        self,
        attempt: Attempt,
        start_count: int,
        on_response: Callable[[Attempt, AttemptOutcome], None],
    ) -> None:
        if attempt.start_count == start_count:
            self._release_slot(attempt, on_response)
            on_response(attempt, AttemptOutcome.OK)

    def _release_slot(
        self, attempt: Attempt, on_response: Callable[[Attempt, AttemptOutcome], None]
    ) -> None:
        self.running.discard(attempt)
        self.busy_slots -= 1
        while self.queue and self.busy_slots < self.slots:
            next_attempt = self.queue.popleft()
            if not next_attempt.cancelled:
                self._start(next_attempt, on_response)

    def finish_time(self, start: float, service_s: float) -> float:
        """Time at which a request that starts at `start` ends, given the changes of speed."""
        remaining_s = service_s * self.straggler_factor
        time = start
        while self.speed_change_times[-1] <= start and self._noisy:
            self._extend_speed_changes(len(self.speed_change_times))
        interval = bisect.bisect_right(self.speed_change_times, time) - 1
        while True:
            self._extend_speed_changes(interval + 1)
            slow_factor = SLOW_FACTOR if interval % 2 else 1.0
            end = (
                self.speed_change_times[interval + 1]
                if interval + 1 < len(self.speed_change_times)
                else float("inf")
            )
            if time + remaining_s * slow_factor <= end:
                return time + remaining_s * slow_factor
            remaining_s -= (end - time) / slow_factor
            time = end
            interval += 1

    def _extend_speed_changes(self, interval: int) -> None:
        while interval >= len(self.speed_change_times) and self._noisy:
            self._slow = not self._slow
            mean_s = SLOW_MEAN_S
            if not self._slow:
                mean_s = SLOW_MEAN_S * (1 - SLOW_SHARE) / SLOW_SHARE
            self.speed_change_times.append(
                self.speed_change_times[-1] + self._random.expovariate(1 / mean_s)
            )


class World:
    """Entry hosts, instances and the network between them."""

    __slots__ = ("engine", "entry_locations", "instances", "scenario", "service")

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.engine = Engine()
        self.entry_locations = spread_locations(scenario.entry_hosts, scenario.regions)
        locations = spread_locations(scenario.instances, scenario.regions)
        self.instances = [
            Instance(self.engine, location, scenario, number)
            for number, location in enumerate(locations)
        ]
        self.service = make_service(locations, scenario.slots)

    def instances_in(self, region: str) -> list[int]:
        """Indices of the instances in a region."""
        return [i for i, item in enumerate(self.instances) if item.location.region == region]

    def send(
        self,
        call: Call,
        instance: int,
        on_end: Callable[[Attempt, AttemptOutcome, int | None], None],
    ) -> Attempt:
        """Send a call to an instance after the network latency."""
        attempt = Attempt(call, instance, self.engine.now, on_end)
        latency_s = self.entry_locations[call.entry_host].latency_s(
            self.instances[instance].location
        )
        self.engine.schedule_after(
            latency_s, self.instances[instance].receive, attempt, self._respond
        )
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Close the connection of an attempt; its instance aborts it after the network latency."""
        attempt.cancelled = True
        instance = self.instances[attempt.instance]
        latency_s = self.entry_locations[attempt.call.entry_host].latency_s(instance.location)
        self.engine.schedule_after(latency_s, instance.abort, attempt, self._respond)

    def _respond(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        instance = self.instances[attempt.instance]
        latency_s = self.entry_locations[attempt.call.entry_host].latency_s(instance.location)
        self.engine.schedule_after(latency_s, self._deliver, attempt, outcome, instance.in_flight)

    def _deliver(self, attempt: Attempt, outcome: AttemptOutcome, load: int) -> None:
        if not attempt.cancelled:
            attempt.on_end(attempt, outcome, load)


def make_service(locations: list[Location], slots: int) -> Service:
    """Service of the document with one target per location."""
    targets = tuple(
        Target(f"t{i}", "10.0.0.1", 9000 + i, location.region, location.zone, slots)
        for i, location in enumerate(locations)
    )
    return Service("lookup", targets, 240, True, 0.1, 4, 1.0)


def make_calls(scenario: Scenario, locations: list[Location]) -> list[Call]:
    """Generate Poisson arrivals, distributed over the regions in proportion to their slots."""
    rng = random.Random(f"{scenario.seed}/arrivals")
    rate = scenario.load * scenario.capacity_per_s
    targets = spread_locations(scenario.instances, scenario.regions)
    by_region: dict[str, list[int]] = {}
    for entry, location in enumerate(locations):
        by_region.setdefault(location.region, []).append(entry)
    calls = []
    time = 0.0
    for number in range(scenario.calls):
        time += rng.expovariate(rate)
        region = targets[int(rng.random() * len(targets))].region
        entry = rng.choice(by_region[region])
        calls.append(Call(number, time, entry, rng.expovariate(1 / MEAN_SERVICE_S)))
    return calls
