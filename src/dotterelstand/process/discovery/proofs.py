"""Keeps the proof of this host recent: from the hubs, or else from the platform's store."""

import math
import random
import time
from collections import OrderedDict
from collections.abc import Awaitable, Callable

import trio

from dotterelstand.connection.proofwire import Proof, ProofRequest
from dotterelstand.connection.wire import Beat
from dotterelstand.events import Event, log
from dotterelstand.process.discovery.freshness import Proof as LedgerProof
from dotterelstand.process.discovery.freshness import ProofLedger, StartTrust
from dotterelstand.process.discovery.snapshotrequests import is_hub
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.peering.ranking import RELAY_KEY, rank_hosts
from dotterelstand.process.telemetry.metrics import Metrics

# Seconds to wait for the answer of a host.
ANSWER_TIMEOUT_S = 0.4
# A host asks this number of seconds after its proof has reached the interval, at random. The relay
# that proves the configuration needs part of that time for its next call.
ASK_DELAY_S = (0.2, 0.6)
# Hosts of a region that are asked in one round if they are silent, and if they have no later proof.
MAX_SILENT = 4
MAX_WITHOUT_PROOF = 2
# Hubs of other regions that a hub asks in one round.
MAX_OTHER_REGIONS = 2
# Shortest pause in seconds after a round without a later proof, and the longest ones while the last
# proof still counts and afterwards.
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 0.8
MAX_PAUSE_UNPROVEN_S = 1.6
# A host calls the store itself once its proof is older than this number of intervals, after a
# random time of at most `MAX_STORE_DELAY_S`. The pause after a call without a proof is at least
# `MIN_STORE_PAUSE_S` and doubles up to `MAX_STORE_PAUSE_S`, since refused calls are billed and the
# relays notice first when the store answers again.
STORE_INTERVALS = 2.0
MAX_STORE_DELAY_S = 0.8
MIN_STORE_PAUSE_S = 2.0
MAX_STORE_PAUSE_S = 8.0
# Maximum number of requests whose answers may still arrive.
MAX_OPEN_REQUESTS = 8


def elapsed_s() -> float:
    """Seconds since the machine started, including those during which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class HostProofs:
    """Implements `Freshness`; `prove` calls the store, and `era` tells the store's era.

    `clock` returns seconds as for `ProofSource`.
    """

    __slots__ = (
        "_answered",
        "_changed",
        "_clock",
        "_era",
        "_interval_s",
        "_keyed",
        "_ledger",
        "_mesh",
        "_metrics",
        "_next_call",
        "_open_requests",
        "_pause_s",
        "_prove",
        "_rng",
        "_store_call_at",
        "_store_pause_s",
        "_trust",
        "_was_proven",
    )

    def __init__(
        self,
        mesh: Mesh,
        metrics: Metrics,
        ledger: ProofLedger,
        prove: Callable[[], Awaitable[None]],
        era: Callable[[], int],
        interval_s: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._mesh = mesh
        self._metrics = metrics
        self._ledger = ledger
        self._prove = prove
        self._era = era
        self._interval_s = interval_s
        self._clock = clock
        self._rng = rng
        self._trust = StartTrust(clock())
        self._keyed = False
        self._was_proven = False
        self._changed = trio.Event()
        self._next_call = 0
        # Host and time of each request whose answer may still arrive, by call number.
        self._open_requests: OrderedDict[int, tuple[str, float]] = OrderedDict()
        self._answered = trio.Event()
        self._pause_s = MIN_PAUSE_S
        self._store_call_at: float | None = None
        self._store_pause_s = MIN_STORE_PAUSE_S
        mesh.subscribe(ProofRequest, self._on_request)
        mesh.subscribe(Proof, self._on_proof)
        mesh.subscribe(Beat, self._on_beat)

    @property
    def is_ready(self) -> bool:
        """Whether this host can serve keyed requests, if the document in force has keys."""
        return not self._keyed or self.is_proven()

    def is_proven(self) -> bool:
        """Whether this host may run a request on a key of the document in force now."""
        now = self._clock()
        return self._ledger.is_proven(now) and self._trust.allows(
            self._ledger.number, self._era(), now
        )

    def apply(self, number: int, keyed: bool) -> None:
        """Record the document in force and whether it has keys."""
        self._ledger.apply(number)
        self._keyed = keyed
        self._changed.set()

    async def run(self) -> None:
        """Renew the proof whenever it is due, until cancelled."""
        while True:
            self._changed = trio.Event()
            if not self._keyed:
                await self._changed.wait()
                continue
            due_age_s = self._interval_s + self._rng.uniform(*ASK_DELAY_S)
            wait_s = due_age_s - self._ledger.age_s(self._clock())
            if wait_s > 0:
                self._report()
                await trio.sleep(wait_s)
            elif await self._renew():
                self._pause_s, self._store_pause_s = MIN_PAUSE_S, MIN_STORE_PAUSE_S
                self._store_call_at = None
            else:
                self._report()
                with trio.move_on_after(self._pause_s * self._rng.uniform(0.5, 1.0)):
                    await self._changed.wait()
                longest_s = MAX_PAUSE_S if self.is_proven() else MAX_PAUSE_UNPROVEN_S
                self._pause_s = min(longest_s, 2 * self._pause_s)

    async def _renew(self) -> bool:
        """Ask the hubs, then call the store if the proof is old; whether there is a recent one."""
        before = self._ledger.age_s(self._clock())
        without_proof = silent = 0
        for host in self._hubs_of_region():
            answered = await self._ask(host)
            if self._is_recent():
                return True
            without_proof += answered is True
            silent += answered is False
            if without_proof >= MAX_WITHOUT_PROOF or silent >= MAX_SILENT:
                break
            if silent:
                # Each silent hub takes 0.4 s; the proof must not end before the store is called.
                await self._call_store_if_due()
                if self._is_recent():
                    return True
        if before == math.inf or before > STORE_INTERVALS * self._interval_s or silent:
            for host in self._hubs_of_other_regions():
                await self._ask(host)
                if self._is_recent():
                    return True
        await self._call_store_if_due()
        return self._is_recent()

    async def _call_store_if_due(self) -> None:
        now = self._clock()
        if self._ledger.age_s(now) <= STORE_INTERVALS * self._interval_s:
            return
        if self._store_call_at is None:
            self._store_call_at = now + self._rng.uniform(0.0, MAX_STORE_DELAY_S)
        if now >= self._store_call_at:
            self._store_call_at = now + self._store_pause_s * self._rng.uniform(1.0, 1.5)
            self._store_pause_s = min(MAX_STORE_PAUSE_S, 2 * self._store_pause_s)
            await self._prove()

    def _is_recent(self) -> bool:
        return self._ledger.age_s(self._clock()) < self._interval_s

    async def _ask(self, host: str) -> bool | None:
        """Ask a host for its proof; whether it answered in time, or None without a link to it."""
        self._next_call += 1
        call = self._next_call
        self._open_requests[call] = (host, self._clock())
        if len(self._open_requests) > MAX_OPEN_REQUESTS:
            self._open_requests.popitem(last=False)
        if not self._mesh.send(host, ProofRequest(call)):
            del self._open_requests[call]
            return None
        self._metrics.count("platform.proof_requests")
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            while call in self._open_requests:
                await self._answered.wait()
        return call not in self._open_requests

    def _hubs_of_region(self) -> list[str]:
        """Hubs to ask, the one that proves the configuration first."""
        ranked = rank_hosts(RELAY_KEY, self._mesh.members(), self._mesh.region)
        others = [host for host in ranked if host != self._mesh.host]
        # Rounds without a later proof ask another hub each time.
        rest = others[1:]
        self._rng.shuffle(rest)
        return others[:1] + rest

    def _hubs_of_other_regions(self) -> list[str]:
        if not is_hub(self._mesh):
            return []
        hubs = [
            member.host
            for member in self._mesh.members()
            if member.hub and not member.leaving and member.region != self._mesh.region
        ]
        return self._rng.sample(hubs, min(MAX_OTHER_REGIONS, len(hubs)))

    def _on_request(self, sender: str, message: ProofRequest) -> None:
        latest = self._ledger.latest
        number, age_ms = 0, 0
        if latest is not None and self._trust.allows(
            self._ledger.number, self._era(), self._clock()
        ):
            number = latest.number
            age_ms = math.ceil(1000 * (self._clock() - latest.proven_s))
        self._mesh.send(sender, Proof(age_ms, message.call, number))

    def _on_proof(self, sender: str, message: Proof) -> None:
        host, sent_s = self._open_requests.get(message.call, ("", 0.0))
        if host != sender or message.age_ms < 0 or message.number < 0:
            self._metrics.count("platform.proofs_refused")
            return
        del self._open_requests[message.call]
        # Dated from the request and not from the receipt, so that a delay of the answer makes the
        # proof older and not younger.
        proof = LedgerProof(message.number, sent_s - message.age_ms / 1000)
        if not message.number:
            self._metrics.count("platform.proofs_refused")
        elif self._ledger.record(proof, self._clock()):
            self._metrics.count("platform.proofs_from_hosts")
        self._answered.set()
        self._answered = trio.Event()

    def _on_beat(self, sender: str, message: Beat) -> None:
        self._trust.note_peer(message.version)

    def _report(self) -> None:
        """Log that this host lost its proof or regained it."""
        proven = self.is_proven()
        if proven != self._was_proven:
            self._was_proven = proven
            log(
                Event.PROOF_HELD if proven else Event.PROOF_LOST,
                number=self._ledger.number,
                age_s=round(self._ledger.age_s(self._clock()), 3),
            )
