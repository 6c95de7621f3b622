"""Queue model of entry hosts and targets: places, latencies, service times, disturbances."""

import bisect
import random
from collections import deque
from collections.abc import Callable

from dotterelstand.bench.engine import Engine
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.version.document import Service, Target

MEAN_SERVICE_S = 0.005
ENTRY_HOSTS = 16
# Noisy neighbours: an instance runs at a third of its speed for about 20 ms, a tenth of the time.
SLOW_MEAN_S = 0.02
SLOW_SHARE = 0.1
SLOW_FACTOR = 3.0
FAIL_FAST_S = 0.0002
# One-way latencies within a zone (assumed), between zones and between regions (design 1.3).
SAME_ZONE_S = 0.0001
CROSS_ZONE_S = 0.0005
CROSS_REGION_S = 0.012


class Location:
    """Region and availability zone of a host."""

    __slots__ = ("region", "zone")

    def __init__(self, region: str, zone: str) -> None:
        self.region = region
        self.zone = zone

    def latency_s(self, other: "Location") -> float:
        """One-way latency to another place."""
        if self.region != other.region:
            return CROSS_REGION_S
        return SAME_ZONE_S if self.zone == other.zone else CROSS_ZONE_S


def spread_locations(count: int, regions: int) -> list[Location]:
    """Places in regions and their two zones in turn; one region is a flat network."""
    if regions == 1:
        return [Location("r0", "r0-z0") for _ in range(count)]
    return [
        Location(f"r{i % regions}", f"r{i % regions}-z{i // regions % 2}") for i in range(count)
    ]


class Scenario:
    """Size, load and disturbances of one run; `load` is relative to the effective capacity."""

    __slots__ = (
        "calls",
        "entries",
        "failing",
        "instances",
        "load",
        "noise",
        "regions",
        "seed",
        "slots",
        "straggler",
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
        entries: int = ENTRY_HOSTS,
        noise: bool = True,
        straggler: float = 1.0,
        failing: bool = False,
    ) -> None:
        self.instances = instances
        self.slots = slots
        self.regions = regions
        self.load = load
        self.calls = calls
        self.seed = seed
        self.entries = entries
        self.noise = noise
        self.straggler = straggler
        self.failing = failing

    @property
    def capacity_per_s(self) -> float:
        """Calls a second that all instances run, noise included, a straggler not."""
        share = SLOW_SHARE if self.noise else 0.0
        speed = 1 - share + share / SLOW_FACTOR
        return self.instances * self.slots * speed / MEAN_SERVICE_S


class Attempt:
    """One try of a call on an instance; `ended` is called with outcome and reported load."""

    __slots__ = ("call", "cancelled", "ended", "instance", "run", "sent_at")

    def __init__(
        self,
        call: "Call",
        instance: int,
        sent_at: float,
        ended: Callable[["Attempt", AttemptOutcome, int | None], None],
    ) -> None:
        self.call = call
        self.instance = instance
        self.sent_at = sent_at
        self.ended = ended
        self.cancelled = False
        # Counts starts, so that the end of an aborted run is recognised.
        self.run = 0


class Call:
    """One call: arrival time and own work in seconds, entry host, and how it ended."""

    __slots__ = ("arrived", "entry", "failed", "finished", "number", "work_s")

    def __init__(self, number: int, arrived: float, entry: int, work_s: float) -> None:
        self.number = number
        self.arrived = arrived
        self.entry = entry
        self.work_s = work_s
        self.finished: float | None = None
        self.failed = False


class Instance:
    """A target with slots and a queue in arrival order, whose speed varies."""

    __slots__ = (
        "_engine",
        "_noisy",
        "_random",
        "_slow",
        "busy",
        "factor",
        "failing",
        "place",
        "queue",
        "running",
        "slots",
        "speed_change_times",
    )

    def __init__(self, engine: Engine, place: Location, scenario: Scenario, number: int) -> None:
        self._engine = engine
        self._random = random.Random(f"{scenario.seed}/noise/{number}")
        self.place = place
        self.slots = scenario.slots
        self.busy = 0
        self.queue: deque[Attempt] = deque()
        self.running: set[Attempt] = set()
        self.factor = scenario.straggler if number == 0 else 1.0
        self.failing = scenario.failing and number == 0
        # Times at which the speed changes, beginning with normal speed.
        self.speed_change_times = [0.0]
        self._noisy = scenario.noise
        self._slow = True

    @property
    def in_flight(self) -> int:
        """Requests that run or wait here."""
        return self.busy + len(self.queue)

    def arrive(self, attempt: Attempt, respond: Callable[[Attempt, AttemptOutcome], None]) -> None:
        """Take a request; `respond` is called when it ends."""
        if attempt.cancelled:
            return
        if self.failing:
            self._engine.after(FAIL_FAST_S, respond, attempt, AttemptOutcome.FAILED)
        elif self.busy < self.slots:
            self._start(attempt, respond)
        else:
            self.queue.append(attempt)

    def abort(self, attempt: Attempt, respond: Callable[[Attempt, AttemptOutcome], None]) -> None:
        """The connection of a request was closed."""
        if attempt in self.running:
            attempt.run += 1
            self._free(attempt, respond)
        elif attempt in self.queue:
            self.queue.remove(attempt)

    def _start(self, attempt: Attempt, respond: Callable[[Attempt, AttemptOutcome], None]) -> None:
        self.busy += 1
        assert self.busy <= self.slots
        self.running.add(attempt)
        attempt.run += 1
        end = self.finish_time(self._engine.now, attempt.call.work_s)
        self._engine.at(end, self._finish, attempt, attempt.run, respond)

    def _finish(
        self, attempt: Attempt, run: int, respond: Callable[[Attempt, AttemptOutcome], None]
    ) -> None:
        if attempt.run == run:
            self._free(attempt, respond)
            respond(attempt, AttemptOutcome.OK)

    def _free(self, attempt: Attempt, respond: Callable[[Attempt, AttemptOutcome], None]) -> None:
        self.running.discard(attempt)
        self.busy -= 1
        while self.queue and self.busy < self.slots:
            following = self.queue.popleft()
            if not following.cancelled:
                self._start(following, respond)

    def finish_time(self, start: float, work_s: float) -> float:
        """Time at which work ends, through the changes of speed."""
        left = work_s * self.factor
        time = start
        while self.speed_change_times[-1] <= start and self._noisy:
            self._extend(len(self.speed_change_times))
        place = bisect.bisect_right(self.speed_change_times, time) - 1
        while True:
            self._extend(place + 1)
            factor = SLOW_FACTOR if place % 2 else 1.0
            end = (
                self.speed_change_times[place + 1]
                if place + 1 < len(self.speed_change_times)
                else float("inf")
            )
            if time + left * factor <= end:
                return time + left * factor
            left -= (end - time) / factor
            time = end
            place += 1

    def _extend(self, place: int) -> None:
        while place >= len(self.speed_change_times) and self._noisy:
            self._slow = not self._slow
            mean_s = SLOW_MEAN_S
            if not self._slow:
                mean_s = SLOW_MEAN_S * (1 - SLOW_SHARE) / SLOW_SHARE
            self.speed_change_times.append(
                self.speed_change_times[-1] + self._random.expovariate(1 / mean_s)
            )


class World:
    """Entry hosts, instances and the network between them."""

    __slots__ = ("engine", "entries", "instances", "scenario", "service")

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.engine = Engine()
        self.entries = spread_locations(scenario.entries, scenario.regions)
        places = spread_locations(scenario.instances, scenario.regions)
        self.instances = [
            Instance(self.engine, place, scenario, number) for number, place in enumerate(places)
        ]
        self.service = make_service(places, scenario.slots)

    def near(self, region: str) -> list[int]:
        """Instances in a region."""
        return [i for i, item in enumerate(self.instances) if item.place.region == region]

    def send(
        self,
        call: Call,
        instance: int,
        ended: Callable[[Attempt, AttemptOutcome, int | None], None],
    ) -> Attempt:
        """Send a call to an instance over the network."""
        attempt = Attempt(call, instance, self.engine.now, ended)
        latency_s = self.entries[call.entry].latency_s(self.instances[instance].place)
        self.engine.after(latency_s, self.instances[instance].arrive, attempt, self._respond)
        return attempt

    def cancel(self, attempt: Attempt) -> None:
        """Close the connection of an attempt."""
        attempt.cancelled = True
        instance = self.instances[attempt.instance]
        latency_s = self.entries[attempt.call.entry].latency_s(instance.place)
        self.engine.after(latency_s, instance.abort, attempt, self._respond)

    def _respond(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        instance = self.instances[attempt.instance]
        latency_s = self.entries[attempt.call.entry].latency_s(instance.place)
        self.engine.after(latency_s, self._deliver, attempt, outcome, instance.in_flight)

    def _deliver(self, attempt: Attempt, outcome: AttemptOutcome, load: int) -> None:
        if not attempt.cancelled:
            attempt.ended(attempt, outcome, load)


def make_service(places: list[Location], slots: int) -> Service:
    """Document service for instances at these places."""
    targets = tuple(
        Target(f"t{i}", "10.0.0.1", 9000 + i, place.region, place.zone, slots)
        for i, place in enumerate(places)
    )
    return Service("lookup", targets, 240, True, 0.1, 4, 1.0)


def make_calls(scenario: Scenario, places: list[Location]) -> list[Call]:
    """Arrivals of a scenario: Poisson, to each region in proportion to its slots."""
    rng = random.Random(f"{scenario.seed}/arrivals")
    rate = scenario.load * scenario.capacity_per_s
    targets = spread_locations(scenario.instances, scenario.regions)
    by_region: dict[str, list[int]] = {}
    for entry, place in enumerate(places):
        by_region.setdefault(place.region, []).append(entry)
    calls = []
    time = 0.0
    for number in range(scenario.calls):
        time += rng.expovariate(rate)
        region = targets[int(rng.random() * len(targets))].region
        entry = rng.choice(by_region[region])
        calls.append(Call(number, time, entry, rng.expovariate(1 / MEAN_SERVICE_S)))
    return calls
