"""Journal of one host: asks the owner of a key for permission and reports outcomes.

It also runs the partition owners of this host and handles the messages to them.
"""

import hashlib
import random

import trio
import xxhash

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection import wire
from dotterelstand.process.idempotency.entry import Answer, Claim
from dotterelstand.process.idempotency.journalcall import (
    CallOutcome,
    CallWaiter,
    Go,
    Recorded,
    Refused,
    convert_reply,
)
from dotterelstand.process.idempotency.journalowner import (
    OwnerCallbacks,
    OwnerSettings,
    PartitionOwner,
)
from dotterelstand.process.idempotency.journaltypes import JournalLimits, Reply
from dotterelstand.process.idempotency.outcomes import OutcomeFigures, UnconfirmedOutcomes
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.storage.store import StoreClient
from dotterelstand.process.telemetry.invariant import require
from dotterelstand.settings import Settings

KEY_DIGEST_BYTES = 16
# Seconds after which an owner may repeat an unchanged announcement to its peers.
ANNOUNCE_INTERVAL_S = 0.5
# Limit on the duration of `stop`, in seconds.
STOP_TIMEOUT_S = 4.0


class JournalFigures:
    """Counters of this host's requests by result of `begin`; `late` counts ignored replies."""

    __slots__ = ("allowed", "late", "recorded", "refused")

    def __init__(self) -> None:
        self.allowed = 0
        self.recorded = 0
        self.refused: dict[ResultCode, int] = {}
        self.late = 0


class JournalService:
    """At-most-once execution of one entry host's requests with an idempotency key."""

    __slots__ = (
        "_announcements",
        "_limits",
        "_max_waiting",
        "_mesh",
        "_next_call",
        "_outcomes",
        "_owner_changed",
        "_owner_timeout_s",
        "_owners",
        "_partitions",
        "_stopped",
        "_waiters",
        "figures",
    )

    def __init__(
        self,
        store: StoreClient,
        mesh: Mesh,
        settings: OwnerSettings,
        limits: JournalLimits,
        rng: random.Random,
        owner_timeout_s: float = 1.0,
        max_waiting: int = 4096,
        max_unsettled: int = 8192,
    ) -> None:
        self._mesh = mesh
        self._limits = limits
        self._owner_timeout_s = owner_timeout_s
        self._max_waiting = max_waiting
        callbacks = OwnerCallbacks(self._allow, self._refuse, self._confirm_outcome, self._announce)
        self._partitions = [
            PartitionOwner(number, store, mesh, settings, limits, callbacks, rng)
            for number in range(limits.partitions)
        ]
        # A host that restarts under the same name must not reuse its earlier call numbers.
        self._next_call = rng.getrandbits(60)
        self._waiters: dict[int, CallWaiter] = {}
        self._outcomes = UnconfirmedOutcomes(self._send_outcome, max_unsettled)
        self._owners: dict[int, tuple[str, int]] = {}
        self._announcements: dict[int, tuple[int, float]] = {}
        self._owner_changed = trio.Event()
        self._stopped = trio.Event()
        self.figures = JournalFigures()
        mesh.subscribe(wire.Intent, self._on_intent)
        mesh.subscribe(wire.Go, self._on_go)
        mesh.subscribe(wire.Verdict, self._on_verdict)
        mesh.subscribe(wire.Outcome, self._on_outcome)
        mesh.subscribe(wire.OutcomeStored, self._on_outcome_stored)
        mesh.subscribe(wire.Ownership, self._on_ownership)

    @property
    def partitions(self) -> tuple[PartitionOwner, ...]:
        """Partition owners of this host, by partition number."""
        return tuple(self._partitions)

    @property
    def unconfirmed(self) -> int:
        """Number of outcomes that no owner has confirmed yet."""
        return len(self._outcomes)

    @property
    def outcome_figures(self) -> OutcomeFigures:
        """Counters of the outcomes that this host reported."""
        return self._outcomes.figures

    def owner_of(self, partition: int) -> tuple[str, int] | None:
        """Host name and epoch of the last announced owner, or None."""
        return self._owners.get(partition)

    async def run(self) -> None:
        """Run the partition owners; returns after `stop` when every partition is released."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._outcomes.run)
            async with trio.open_nursery() as owners:
                for partition in self._partitions:
                    owners.start_soon(partition.run)
            self._stopped.set()
            nursery.cancel_scope.cancel()

    async def stop(self) -> None:
        """Wait until the outcomes of this host are stored, then release its partitions.

        Returns within `STOP_TIMEOUT_S` seconds; a lease that is not released by then expires.
        """
        with trio.move_on_after(STOP_TIMEOUT_S / 2):
            await self._outcomes.wait_empty()
        for partition in self._partitions:
            partition.stop()
        with trio.move_on_after(STOP_TIMEOUT_S / 2):
            await self._stopped.wait()

    async def begin(self, key: bytes, body_digest: bytes, service: str) -> Go | Recorded | Refused:
        """Request permission to run the request with this key and body.

        A key is recorded for the retention time and is shared by all services. `body_digest`
        should cover method, path and body. After `Refused` or a cancellation no byte may be sent to
        a target.
        """
        digest = hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()
        body_digest = hashlib.blake2b(body_digest, digest_size=KEY_DIGEST_BYTES).digest()
        partition = xxhash.xxh64_intdigest(digest) % self._limits.partitions
        result = await self._request_permission(digest, body_digest, service, partition)
        if isinstance(result, Go):
            self.figures.allowed += 1
        elif isinstance(result, Recorded):
            self.figures.recorded += 1
        else:
            self.figures.refused[result.code] = self.figures.refused.get(result.code, 0) + 1
        return result

    def finish(self, go: Go, outcome: CallOutcome) -> None:
        """Report the outcome of an allowed request; call it exactly once for each `Go`."""
        require(not go.finished, "one outcome for each permission", call=go.call)
        go.finished = True
        answer = outcome.answer
        if answer is not None and answer.size > self._limits.max_answer_bytes:
            answer = answer.without_body()
        self._outcomes.add(go.key, go.partition, go.call, go.epoch, outcome.code, answer)

    async def _request_permission(
        self, key: bytes, body_digest: bytes, service: str, partition: int
    ) -> Go | Recorded | Refused:
        if len(self._waiters) >= self._max_waiting or self._outcomes.full:
            return Refused(ResultCode.OVERLOADED)
        deadline = trio.current_time() + self._owner_timeout_s
        while True:
            owner = await self._wait_for_owner(partition, deadline)
            if owner is None:
                return Refused(ResultCode.OWNER_UNREACHABLE)
            self._next_call += 1
            call = self._next_call
            waiter = self._waiters[call] = CallWaiter(key, partition, owner)
            result = await self._ask_owner(call, waiter, body_digest, service, deadline)
            refused = isinstance(result, Refused) and result.code is ResultCode.OWNER_UNREACHABLE
            if not refused:
                return result
            with trio.move_on_at(deadline):
                await self._wait_for_other_owner(partition, owner)
                # The next owner may hold this call's intent and would refuse the retry for it. So
                # wait until an owner confirms the outcome "not run" that `_ask_owner` reported.
                await self._outcomes.wait_confirmed(call)
            if trio.current_time() >= deadline:
                return result

    async def _ask_owner(
        self, call: int, waiter: CallWaiter, body_digest: bytes, service: str, deadline: float
    ) -> Go | Recorded | Refused:
        settled = False
        try:
            if self._send_intent(call, waiter, body_digest, service):
                with trio.move_on_at(deadline):
                    await waiter.answered.wait()
            result = waiter.result or Refused(ResultCode.OWNER_UNREACHABLE)
            # A refusal other than `OWNER_UNREACHABLE` means that the owner holds no intent of this
            # call.
            settled = isinstance(result, Go | Recorded) or (
                result.code is not ResultCode.OWNER_UNREACHABLE
            )
            return result
        finally:
            self._waiters.pop(call, None)
            if not settled:
                # A permission that arrives later is ignored, so the request is reported as not run.
                withdrawn = ResultCode.OWNER_UNREACHABLE
                self._outcomes.add(waiter.key, waiter.partition, call, 0, withdrawn, None)

    async def _wait_for_owner(self, partition: int, deadline: float) -> str | None:
        with trio.move_on_at(deadline):
            await self._wait_for_other_owner(partition, None)
        known = self._owners.get(partition)
        return None if known is None else known[0]

    async def _wait_for_other_owner(self, partition: int, owner: str | None) -> None:
        while partition not in self._owners or self._owners[partition][0] == owner:
            await self._owner_changed.wait()

    def _send_intent(self, call: int, waiter: CallWaiter, body_digest: bytes, service: str) -> bool:
        if waiter.owner != self._mesh.host:
            intent = wire.Intent(body_digest, call, waiter.key, service)
            return self._mesh.send(waiter.owner, intent)
        claim = Claim(self._mesh.host, call)
        reply = self._partitions[waiter.partition].begin(waiter.key, body_digest, service, claim)
        if reply is not None:
            self._resolve(call, self._mesh.host, convert_reply(reply))
        return True

    def _resolve(self, call: int, owner: str, result: Go | Recorded | Refused) -> None:
        waiter = self._waiters.get(call)
        if waiter is None or waiter.owner != owner or waiter.result is not None:
            # Ignore a second reply, a reply from another host, and a reply after the timeout, when
            # the request was already reported as not run, which frees the key.
            self.figures.late += 1
            return
        waiter.result = result
        waiter.answered.set()

    def _send_outcome(self, owner: str, message: wire.Outcome) -> None:
        if owner == self._mesh.host:
            self._on_outcome(owner, message)
        else:
            self._mesh.send(owner, message)

    # Handlers of messages to the owner.

    def _on_intent(self, sender: str, message: wire.Intent) -> None:
        partition = xxhash.xxh64_intdigest(message.key) % self._limits.partitions
        claim = Claim(sender, message.call)
        reply = self._partitions[partition].begin(
            message.key, message.body_digest, message.service, claim
        )
        if reply is not None:
            self._refuse(claim, reply)

    def _on_outcome(self, sender: str, message: wire.Outcome) -> None:
        partition = xxhash.xxh64_intdigest(message.key) % self._limits.partitions
        claim = Claim(sender, message.call)
        code = _parse_code(message.code)
        if code is None:
            return
        answer = None
        if code.run is Execution.RAN:
            answer = Answer(message.status, message.headers, message.body)
        if self._partitions[partition].finish(message.key, claim, code, answer):
            self._confirm_outcome(claim)

    # Callbacks of the partitions that this host owns.

    def _allow(self, claim: Claim, epoch: int) -> None:
        if claim.host == self._mesh.host:
            self._resolve_allowed(claim.call, claim.host, epoch)
        else:
            self._mesh.send(claim.host, wire.Go(claim.call, epoch))

    def _refuse(self, claim: Claim, reply: Reply) -> None:
        if claim.host == self._mesh.host:
            self._resolve(claim.call, claim.host, convert_reply(reply))
            return
        answer = reply.answer or Answer(0, [], b"")
        self._mesh.send(
            claim.host,
            wire.Verdict(answer.body, claim.call, int(reply.code), answer.headers, answer.status),
        )

    def _confirm_outcome(self, claim: Claim) -> None:
        if claim.host == self._mesh.host:
            self._outcomes.confirm(claim.call)
        else:
            self._mesh.send(claim.host, wire.OutcomeStored(claim.call))

    def _announce(self, partition: int, epoch: int) -> None:
        now = trio.current_time()
        last, at = self._announcements.get(partition, (0, 0.0))
        if epoch == last and now - at < ANNOUNCE_INTERVAL_S:
            return
        self._announcements[partition] = (epoch, now)
        self._on_ownership(self._mesh.host, wire.Ownership(epoch, partition))
        self._mesh.broadcast(wire.Ownership(epoch, partition))

    # Handlers of messages from the owner.

    def _on_go(self, sender: str, message: wire.Go) -> None:
        self._resolve_allowed(message.call, sender, message.epoch)

    def _resolve_allowed(self, call: int, owner: str, epoch: int) -> None:
        waiter = self._waiters.get(call)
        key, partition = (waiter.key, waiter.partition) if waiter else (b"", 0)
        self._resolve(call, owner, Go(key, partition, call, epoch))

    def _on_verdict(self, sender: str, message: wire.Verdict) -> None:
        code = _parse_code(message.code)
        if code is not None and code is not ResultCode.ANSWERED:
            answer = Answer(message.status, message.headers, message.body)
            self._resolve(message.call, sender, convert_reply(Reply(code, answer)))

    def _on_outcome_stored(self, sender: str, message: wire.OutcomeStored) -> None:
        self._outcomes.confirm(message.call)

    def _on_ownership(self, sender: str, message: wire.Ownership) -> None:
        partition, epoch = message.partition, message.epoch
        if not 0 <= partition < self._limits.partitions:
            return
        known = self._owners.get(partition)
        if epoch == 0:
            if known is not None and known[0] == sender:
                del self._owners[partition]
                self._outcomes.set_owner(partition, None)
                self._partitions[partition].handle_release()
            return
        if known is not None and epoch < known[1]:
            return
        self._owners[partition] = (sender, epoch)
        if known != (sender, epoch):
            self._owner_changed.set()
            self._owner_changed = trio.Event()
            self._outcomes.set_owner(partition, sender)
            for call, waiter in list(self._waiters.items()):
                if waiter.partition == partition and waiter.owner != sender:
                    self._resolve(call, waiter.owner, Refused(ResultCode.OWNER_UNREACHABLE))


def _parse_code(code: int) -> ResultCode | None:
    try:
        return ResultCode(code)
    except ValueError:
        return None


def build_journal(
    settings: Settings, store: StoreClient, mesh: Mesh, rng: random.Random
) -> JournalService:
    """Build the service with the limits and rates of the settings."""
    section = "journal"
    owner = OwnerSettings(
        settings.number(section, "lease_s"),
        settings.number(section, "writes_per_s"),
        settings.number(section, "outcome_delay_s"),
        settings.text(section, "region"),
    )
    limits = JournalLimits(
        max(1, settings.integer(section, "partitions")),
        settings.number(section, "retention_s"),
        settings.number(section, "running_limit_s"),
        settings.integer(section, "max_records"),
        settings.integer(section, "max_answer_bytes"),
        settings.integer(section, "max_kept_bytes"),
        settings.integer(section, "max_staged"),
        settings.integer(section, "max_segments"),
        settings.integer(section, "segment_bytes"),
    )
    return JournalService(
        store,
        mesh,
        owner,
        limits,
        rng,
        settings.number(section, "owner_timeout_s"),
        settings.integer(section, "max_waiting"),
        settings.integer(section, "max_unsettled"),
    )
