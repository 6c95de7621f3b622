"""Policy of the queue model that runs the daemon's own slot selection with encoded messages."""

import random
from collections import deque
from collections.abc import Callable

from dotterelstand.bench.policies import Policy
from dotterelstand.bench.world import Attempt, Call, World
from dotterelstand.connection.codec import encode_message
from dotterelstand.connection.wire import Acquire, Grant, Message, Queued, Refuse, Release
from dotterelstand.process.peering.mesh import M, Member
from dotterelstand.process.selection.budgetedmesh import BudgetedMesh
from dotterelstand.process.selection.measure import MeasureBudget, MeasureLimit
from dotterelstand.process.selection.outcome import AttemptOutcome, SlotCall, SlotOutcome
from dotterelstand.process.selection.slotcore import SlotCore
from dotterelstand.process.selection.ticket import Ticket
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.request.fields import LoadReport
from dotterelstand.version.model import Document

# Websocket frames (RFC 6455) have a header of two bytes for payloads below 126 bytes, and a mask of
# four bytes if the sender is the client.
HEADER_BYTES = 2
MASK_BYTES = 4
TICK_S = 0.02
DEADLINE_S = 10.0
# For runs that measure how many bytes selection sends without a limit.
UNLIMITED = MeasureLimit(1 << 30, 1 << 30)


class ModelMesh:
    """Implements `Mesh` for one entry host of the model; each message has a frame of its own."""

    __slots__ = ("_index", "_latency_s", "_network", "host", "region")

    def __init__(self, network: "ModelNetwork", index: int) -> None:
        self._network = network
        self._index = index
        self.host = network.member_list[index].host
        self.region = network.member_list[index].region

    @property
    def is_overlay(self) -> bool:
        """See `Mesh`; the model is a full mesh."""
        return False

    def members(self) -> tuple[Member, ...]:
        """See `Mesh`."""
        return self._network.member_list

    def send(self, host: str, message: Message) -> bool:
        """See `Mesh`."""
        self._network.transmit(self._index, host, message)
        return True

    def broadcast(self, message: Message) -> int:
        """See `Mesh`; not used by the model."""
        raise NotImplementedError

    def subscribe(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        """See `Mesh`; not used, since `ModelNetwork` calls the methods of `SlotCore` directly."""
        raise NotImplementedError


class ModelNetwork:
    """Delivers messages between the entry hosts and counts their bytes, including framing."""

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
        """Deliver one message after the network latency.

        The host with the lower index is the websocket client, whose frames have a mask.
        """
        receiver = self._index_by_host[host]
        mask = MASK_BYTES if sender < receiver else 0
        self.sent_bytes += len(encode_message(message)) + HEADER_BYTES + mask
        self.messages += 1
        entry_locations = self._world.entry_locations
        latency_s = entry_locations[sender].latency_s(entry_locations[receiver])
        self._world.engine.schedule_after(
            latency_s, self._deliver_message, sender, receiver, message
        )

    def _deliver_message(self, sender: int, receiver: int, message: Message) -> None:
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
    """Token bucket that limits hedged attempts to a share of the calls.

    A call is hedged if it takes longer than the p95 of recent durations.
    """

    __slots__ = ("_durations", "_share_per_call", "_tokens", "p95_s", "sent")

    def __init__(self, share_per_call: float) -> None:
        self._share_per_call = share_per_call
        self._tokens = 1.0
        self._durations: deque[float] = deque(maxlen=1000)
        self.p95_s = float("inf")
        self.sent = 0

    def add_tokens(self) -> None:
        """Add the share of a token for one call; the bucket holds at most ten tokens."""
        self._tokens = min(10.0, self._tokens + self._share_per_call)

    def record_duration(self, duration_s: float) -> None:
        """Record a duration in seconds and update the p95 at intervals."""
        self._durations.append(duration_s)
        if len(self._durations) >= 100 and len(self._durations) % 50 == 0:
            self.p95_s = sorted(self._durations)[int(0.95 * len(self._durations))]

    def take_token(self) -> bool:
        """Take a token for one hedged attempt; False if there is none."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self.sent += 1
        return True


class _SlotRequest:
    """Slot request of a call; a hedged call has two, and each is the `counterpart` of the other."""

    __slots__ = ("attempt", "call", "counterpart", "ticket")

    def __init__(self, call: Call) -> None:
        self.call = call
        self.ticket: Ticket | None = None
        self.attempt: Attempt | None = None
        self.counterpart: _SlotRequest | None = None


class SlotPolicy(Policy):
    """Runs one `SlotCore` per entry host; a `hedge_share` of 0 disables hedged attempts."""

    __slots__ = ("_calls", "_hedge_budgets", "cores", "network", "refused")

    def __init__(
        self,
        world: World,
        tuning: SelectionTuning,
        host_limit: MeasureLimit = UNLIMITED,
        region_limit: MeasureLimit = UNLIMITED,
        hedge_share: float = 0.0,
    ) -> None:
        super().__init__(world)
        self.network = ModelNetwork(world)
        self.cores = self.network.cores
        document = Document(1, {}, {"lookup": world.service}, (), ("default",), {})
        for index, location in enumerate(world.entry_locations):
            budget = MeasureBudget(location.region, host_limit, region_limit, 0.0)
            rng = random.Random(f"{world.scenario.seed}/entry/{index}")
            mesh = BudgetedMesh(ModelMesh(self.network, index), budget)
            core = SlotCore(mesh, tuning, rng)
            core.apply(document, 0.0)
            self.cores.append(core)
            world.engine.schedule_after(TICK_S, self._tick, core)
        self._hedge_budgets = (
            [HedgeBudget(hedge_share) for _ in world.entry_locations] if hedge_share else []
        )
        self._calls = 0
        self.refused = 0

    def start(self, call: Call) -> None:
        """See `Policy`."""
        self._calls += 1
        if self._hedge_budgets:
            self._hedge_budgets[call.entry_host].add_tokens()
        self._request_slot(_SlotRequest(call), frozenset())

    def bytes_per_call(self) -> float:
        """See `Policy`."""
        return self.network.sent_bytes / max(1, self._calls)

    def _request_slot(self, request: _SlotRequest, excluded: frozenset[str]) -> None:
        world = self.world
        now = world.engine.now
        call = SlotCall(0, "default", request.call.arrived + DEADLINE_S, excluded)

        def on_decision(ticket: Ticket) -> None:
            # Deferred, because the core must not be called from its own callback.
            world.engine.schedule_after(0.0, self._on_ticket_decided, request, ticket)

        request.ticket = self.cores[request.call.entry_host].open_ticket(
            world.service, call, now, on_decision
        )
        self._schedule_wait_end(request)

    def _schedule_wait_end(self, request: _SlotRequest) -> None:
        assert request.ticket is not None
        if not request.ticket.decided:
            self.world.engine.schedule_at(request.ticket.timeout_at, self._on_wait_end, request)

    def _on_wait_end(self, request: _SlotRequest) -> None:
        ticket = request.ticket
        assert ticket is not None
        if ticket.decided or request.call.finished is not None:
            return
        now = self.world.engine.now
        # A `Queued` message may have moved the timeout since this event was scheduled.
        if ticket.timeout_at <= now:
            self.cores[request.call.entry_host].on_timeout(ticket, now)
        self._schedule_wait_end(request)

    def _on_ticket_decided(self, request: _SlotRequest, ticket: Ticket) -> None:
        if ticket.grant is None:
            if request.counterpart is None:
                self.refused += 1
                self.on_done(request.call, True)
            return
        if request.call.finished is not None:
            self.cores[request.call.entry_host].cancel(ticket, self.world.engine.now)
            return

        def on_end(attempt: Attempt, outcome: AttemptOutcome, load: int | None) -> None:
            self._on_end(request, attempt, outcome, load)

        request.attempt = self.world.send(request.call, ticket.grant.target_index, on_end)
        if self._hedge_budgets and request.counterpart is None:
            wait_s = self._hedge_budgets[request.call.entry_host].p95_s
            if wait_s < DEADLINE_S:
                self.world.engine.schedule_after(wait_s, self._send_hedge, request)

    def _on_end(
        self, request: _SlotRequest, attempt: Attempt, outcome: AttemptOutcome, load: int | None
    ) -> None:
        now = self.world.engine.now
        core = self.cores[request.call.entry_host]
        assert request.ticket is not None
        duration_s = now - attempt.sent_at
        load_report = None if load is None else LoadReport(load)
        core.release(request.ticket, SlotOutcome(outcome, duration_s, load_report), now)
        if request.call.finished is not None:
            return
        if self._hedge_budgets and outcome is AttemptOutcome.OK:
            self._hedge_budgets[request.call.entry_host].record_duration(duration_s)
        self.on_done(request.call, outcome is not AttemptOutcome.OK)
        counterpart = request.counterpart
        if counterpart is not None and counterpart.ticket is not None:
            if counterpart.attempt is not None:
                self.world.cancel(counterpart.attempt)
            core.cancel(counterpart.ticket, now)

    def _send_hedge(self, request: _SlotRequest) -> None:
        if (
            request.call.finished is not None
            or not self._hedge_budgets[request.call.entry_host].take_token()
        ):
            return
        assert request.ticket is not None and request.ticket.grant is not None
        request.counterpart = _SlotRequest(request.call)
        request.counterpart.counterpart = request
        self._request_slot(request.counterpart, frozenset({request.ticket.grant.target.name}))

    def _tick(self, core: SlotCore) -> None:
        core.advance(self.world.engine.now)
        self.world.engine.schedule_after(TICK_S, self._tick, core)
