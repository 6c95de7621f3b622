"""The daemon's own slot decisions in the queue model, with real message bytes."""

import random
from collections import deque
from collections.abc import Callable

from dotterelstand.bench.policies import Policy
from dotterelstand.bench.world import Attempt, Call, World
from dotterelstand.connection.codec import encode_message
from dotterelstand.connection.wire import Acquire, Grant, Message, Queued, Refuse, Release
from dotterelstand.process.peering.mesh import M, Member
from dotterelstand.process.selection.measure import MeasureBudget, MeasureLimit
from dotterelstand.process.selection.measuredmesh import MeasuredMesh
from dotterelstand.process.selection.outcome import AttemptOutcome, SlotCall, SlotOutcome
from dotterelstand.process.selection.slotcore import SlotCore
from dotterelstand.process.selection.ticket import Ticket
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.request.fields import LoadReport
from dotterelstand.version.document import Document

# RFC 6455: two bytes for a payload below 126 bytes; four more for the mask of a client.
HEADER_BYTES = 2
MASK_BYTES = 4
TICK_S = 0.02
DEADLINE_S = 10.0
# Budget that never refuses, for runs that measure what the decisions need.
UNLIMITED = MeasureLimit(1 << 30, 1 << 30)


class ModelMesh:
    """Links between the entry hosts of the model; one message per frame."""

    __slots__ = ("_latency_s", "_number", "_shared", "host", "region")

    def __init__(self, shared: "ModelNetwork", number: int) -> None:
        self._shared = shared
        self._number = number
        self.host = shared.member_list[number].host
        self.region = shared.member_list[number].region

    @property
    def is_overlay(self) -> bool:
        """See `Mesh`; every host of the model is linked with every other."""
        return False

    def members(self) -> tuple[Member, ...]:
        """See `Mesh`."""
        return self._shared.member_list

    def send(self, host: str, message: Message) -> bool:
        """See `Mesh`."""
        self._shared.transmit(self._number, host, message)
        return True

    def broadcast(self, message: Message) -> int:
        """See `Mesh`; the model broadcasts nothing."""
        raise NotImplementedError

    def subscribe(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        """See `Mesh`; the model hands messages to the core itself."""
        raise NotImplementedError


class ModelNetwork:
    """Carries messages between cores and counts their bytes, framing included."""

    __slots__ = ("_index_by_host", "_world", "cores", "member_list", "messages", "sent_bytes")

    def __init__(self, world: World) -> None:
        self._world = world
        self.member_list = tuple(
            Member(f"entry-{i:02d}", location.region, location.zone, False)
            for i, location in enumerate(world.entry_locations)
        )
        self._index_by_host = {member.host: i for i, member in enumerate(self.member_list)}
        self.cores: list[SlotCore] = []
        self.sent_bytes = 0
        self.messages = 0

    def transmit(self, sender: int, host: str, message: Message) -> None:
        """Deliver one message after the latency; the lower host opened the link."""
        receiver = self._index_by_host[host]
        mask = MASK_BYTES if sender < receiver else 0
        self.sent_bytes += len(encode_message(message)) + HEADER_BYTES + mask
        self.messages += 1
        entries = self._world.entry_locations
        latency_s = entries[sender].latency_s(entries[receiver])
        self._world.engine.schedule_after(latency_s, self._deliver, sender, receiver, message)

    def _deliver(self, sender: int, receiver: int, message: Message) -> None:
        core, now = self.cores[receiver], self._world.engine.now
        host = self.member_list[sender].host
        if isinstance(message, Acquire):
            core.on_acquire(host, message, now)
        elif isinstance(message, Grant):
            core.on_grant(host, message, now)
        elif isinstance(message, Release):
            core.on_release(host, message, now)
        elif isinstance(message, Queued):
            core.on_queued(host, message, now)
        else:
            assert isinstance(message, Refuse)
            core.on_refuse(host, message, now)


class HedgeBudget:
    """Second attempts after the service's p95, within a share of the traffic."""

    __slots__ = ("_durations", "_share", "_tokens", "p95_s", "sent")

    def __init__(self, share: float) -> None:
        self._share = share
        self._tokens = 1.0
        self._durations: deque[float] = deque(maxlen=1000)
        self.p95_s = float("inf")
        self.sent = 0

    def add_call(self) -> None:
        """A call earns its share of one hedged attempt, up to ten."""
        self._tokens = min(10.0, self._tokens + self._share)

    def record_duration(self, duration_s: float) -> None:
        """Learn the usual durations in seconds."""
        self._durations.append(duration_s)
        if len(self._durations) >= 100 and len(self._durations) % 50 == 0:
            self.p95_s = sorted(self._durations)[int(0.95 * len(self._durations))]

    def allow(self) -> bool:
        """Whether one more attempt fits the budget."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self.sent += 1
        return True


class _SlotRequest:
    """One attempt of a call through the core."""

    __slots__ = ("attempt", "call", "other", "ticket")

    def __init__(self, call: Call) -> None:
        self.call = call
        self.ticket: Ticket | None = None
        self.attempt: Attempt | None = None
        self.other: _SlotRequest | None = None


class SlotPolicy(Policy):
    """Runs one `SlotCore` per entry host; `hedge_share` 0 sends no hedged attempts."""

    __slots__ = ("_calls", "_hedges", "cores", "meshes", "refused")

    def __init__(
        self,
        world: World,
        tuning: SelectionTuning,
        host_limit: MeasureLimit = UNLIMITED,
        region_limit: MeasureLimit = UNLIMITED,
        hedge_share: float = 0.0,
    ) -> None:
        super().__init__(world)
        self.meshes = ModelNetwork(world)
        self.cores = self.meshes.cores
        document = Document(1, {}, {"lookup": world.service}, (), ("default",), {})
        for number, location in enumerate(world.entry_locations):
            budget = MeasureBudget(location.region, host_limit, region_limit, 0.0)
            rng = random.Random(f"{world.scenario.seed}/entry/{number}")
            mesh = MeasuredMesh(ModelMesh(self.meshes, number), budget)
            core = SlotCore(mesh, tuning, rng)
            core.apply(document, 0.0)
            self.cores.append(core)
            world.engine.schedule_after(TICK_S, self._tick, core)
        self._hedges = (
            [HedgeBudget(hedge_share) for _ in world.entry_locations] if hedge_share else []
        )
        self._calls = 0
        self.refused = 0

    def start(self, call: Call) -> None:
        """See `Policy`."""
        self._calls += 1
        if self._hedges:
            self._hedges[call.entry].add_call()
        self._open(_SlotRequest(call), frozenset())

    def bytes_per_call(self) -> float:
        """See `Policy`."""
        return self.meshes.sent_bytes / max(1, self._calls)

    def _open(self, item: _SlotRequest, excluded: frozenset[str]) -> None:
        world = self.world
        now = world.engine.now
        call = SlotCall(0, "default", item.call.arrived + DEADLINE_S, excluded)

        def resolve(ticket: Ticket) -> None:
            # The core must not be entered again from its own decision.
            world.engine.schedule_after(0.0, self._resolved, item, ticket)

        item.ticket = self.cores[item.call.entry].open(world.service, call, now, resolve)
        self._watch(item)

    def _watch(self, item: _SlotRequest) -> None:
        assert item.ticket is not None
        if not item.ticket.decided:
            self.world.engine.schedule_at(item.ticket.due, self._due, item)

    def _due(self, item: _SlotRequest) -> None:
        ticket = item.ticket
        assert ticket is not None
        if ticket.decided or item.call.finished is not None:
            return
        now = self.world.engine.now
        # A notice that the call is queued moves its due time.
        if ticket.due <= now:
            self.cores[item.call.entry].time_out(ticket, now)
        self._watch(item)

    def _resolved(self, item: _SlotRequest, ticket: Ticket) -> None:
        if ticket.grant is None:
            if item.other is None:
                self.refused += 1
                self.on_done(item.call, True)
            return
        if item.call.finished is not None:
            self.cores[item.call.entry].withdraw(ticket, self.world.engine.now)
            return

        def ended(attempt: Attempt, outcome: AttemptOutcome, load: int | None) -> None:
            self._ended(item, attempt, outcome, load)

        item.attempt = self.world.send(item.call, ticket.grant.target_index, ended)
        if self._hedges and item.other is None:
            wait_s = self._hedges[item.call.entry].p95_s
            if wait_s < DEADLINE_S:
                self.world.engine.schedule_after(wait_s, self._hedge, item)

    def _ended(
        self, item: _SlotRequest, attempt: Attempt, outcome: AttemptOutcome, load: int | None
    ) -> None:
        now = self.world.engine.now
        core = self.cores[item.call.entry]
        assert item.ticket is not None
        duration_s = now - attempt.sent_at
        report = None if load is None else LoadReport(load)
        core.release(item.ticket, SlotOutcome(outcome, duration_s, report), now)
        if item.call.finished is not None:
            return
        if self._hedges and outcome is AttemptOutcome.OK:
            self._hedges[item.call.entry].record_duration(duration_s)
        self.on_done(item.call, outcome is not AttemptOutcome.OK)
        other = item.other
        if other is not None and other.ticket is not None:
            if other.attempt is not None:
                self.world.cancel(other.attempt)
            core.withdraw(other.ticket, now)

    def _hedge(self, item: _SlotRequest) -> None:
        if item.call.finished is not None or not self._hedges[item.call.entry].allow():
            return
        assert item.ticket is not None and item.ticket.grant is not None
        item.other = _SlotRequest(item.call)
        item.other.other = item
        self._open(item.other, frozenset({item.ticket.grant.target.name}))

    def _tick(self, core: SlotCore) -> None:
        core.advance(self.world.engine.now)
        self.world.engine.schedule_after(TICK_S, self._tick, core)
