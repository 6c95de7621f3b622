"""Fleet-wide quarantine of requests that crash targets; each lost target counts as a strike."""

import math

import trio
import xxhash

from dotterelstand.connection.wire import (
    Hello,
    LiftQuarantine,
    Message,
    Strike,
    StrikeConfirmed,
    SuspectBegin,
    SuspectEnd,
)
from dotterelstand.events import Event, log
from dotterelstand.process.peering.announcing import first_receivers, next_receivers
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.suspects.evidence import Evidence, LossLines, RecentSuccesses
from dotterelstand.process.suspects.pendinglosses import PendingLosses
from dotterelstand.process.suspects.pendingreplies import PendingReplies
from dotterelstand.process.suspects.strikes import (
    QuarantineLimits,
    StrikeEffect,
    StrikeRecord,
    StrikeTable,
    SuspectRuns,
)
from dotterelstand.process.suspects.targetchecks import TargetChecks
from dotterelstand.request.interfaces import Admission, Counters
from dotterelstand.version.model import Service, Target

MAX_FINGERPRINT_BYTES = 64
# Seconds between requests to the arbiter while another run of the suspect is in progress.
ARBITER_RETRY_S = 0.05
# Seconds for which a loss at a target that accepts connections, but does not answer, waits for a
# success of its request.
SUCCESS_WAIT_S = 0.3


class QuarantineService:
    """Shares strikes between entry hosts and allows each suspect only one run at a time.

    A suspect is a request whose fingerprint has strikes. One host, the arbiter of the fingerprint,
    allows its runs.
    """

    __slots__ = (
        "_checks",
        "_limits",
        "_lines",
        "_losses",
        "_mesh",
        "_metrics",
        "_number",
        "_pending_confirmations",
        "_pending_runs",
        "_runs",
        "_successes",
        "_table",
    )

    def __init__(
        self,
        mesh: Mesh,
        limits: QuarantineLimits,
        metrics: Counters,
        checks: TargetChecks | None = None,
    ) -> None:
        self._mesh = mesh
        # Without checks, each lost connection counts as a crash.
        self._checks = checks
        self._losses = PendingLosses()
        self._lines = LossLines()
        self._successes = RecentSuccesses(limits.max_entries)
        self._limits = limits
        self._metrics = metrics
        self._table = StrikeTable(limits)
        self._runs = SuspectRuns(limits.run_limit_s, limits.max_entries)
        self._number = 0
        self._pending_confirmations: dict[int, PendingReplies] = {}
        self._pending_runs: dict[int, PendingReplies] = {}
        mesh.subscribe(Hello, self._on_hello)
        mesh.subscribe(Strike, self._on_strike)
        mesh.subscribe(StrikeConfirmed, self._on_confirmed)
        mesh.subscribe(LiftQuarantine, self._on_lift)
        mesh.subscribe(SuspectBegin, self._on_begin)
        mesh.subscribe(SuspectEnd, self._on_end)

    def has_strikes(self, head_digest: bytes) -> bool:
        """Whether a fingerprint that begins with this digest has strikes, or may get one now."""
        if self._losses.has_digest(head_digest):
            return True
        return self._table.has_strikes(head_digest, trio.current_time())

    async def admit(self, fingerprint: bytes) -> Admission:
        """Decide whether a request may run; a suspect first waits for the end of its other run.

        If a copy of the request has lost a connection on this host, waits until it is known whether
        the target crashed.
        """
        await self._losses.wait(fingerprint)
        give_up_at = trio.current_time() + self._limits.admit_wait_s
        while True:
            now = trio.current_time()
            if self._table.is_quarantined(fingerprint, now):
                return await self._admit_to_quarantine(fingerprint)
            if not self._table.is_suspect(fingerprint, now):
                return Admission(fingerprint, True)
            admission = await self._ask_arbiter(fingerprint)
            # The run that ended during the wait may have caused a second strike.
            quarantined = self._table.is_quarantined(fingerprint, trio.current_time())
            if admission.allowed and not quarantined:
                admission.lost_targets = self._table.lost_targets(fingerprint)
                return admission
            self.end_run(admission)
            if not quarantined:
                if trio.current_time() >= give_up_at:
                    self._metrics.count("quarantine.suspect_busy")
                    return Admission(fingerprint, False)
                await trio.sleep(ARBITER_RETRY_S)

    async def judge_loss(
        self,
        fingerprint: bytes,
        service: Service,
        target: Target,
        suspect: bool,
        until: float = math.inf,
    ) -> bool:
        """Record a strike on all entry hosts if a target crashed; must not be cancelled.

        The target is checked with a new connection, which takes at most `check_s` of the checks and
        the time until a connection is accepted, and ends at `until` (seconds). Returns false if the
        loss does not count.
        """
        lost_at = trio.current_time()
        evidence = Evidence.UNCHECKED
        with self._losses.judging(fingerprint):
            with trio.move_on_at(until):
                if self._checks is not None:
                    evidence = await self._checks.find_evidence(service, target)
            if evidence is Evidence.ACCEPTS and not self._succeeded(fingerprint):
                # Copies that run now may succeed.
                with trio.move_on_at(min(until, trio.current_time() + SUCCESS_WAIT_S)):
                    await self._losses.wait_for_success(fingerprint)
        succeeded = self._succeeded(fingerprint)
        counts = self._checks is None or not evidence.excuses(succeeded)
        self._log_loss(fingerprint, target.name, evidence, counts, lost_at)
        if not counts:
            self._metrics.count(f"quarantine.set_aside.{evidence.value}")
            return False
        self._metrics.count(f"quarantine.counted.{evidence.value}")
        # The strike is recorded before this call waits, so before copies of the request go on.
        await self.record_strike(fingerprint, target.name, suspect)
        return True

    async def record_strike(self, fingerprint: bytes, target: str, suspect: bool) -> None:
        """Record the loss of a target on all entry hosts.

        Returns when all told peers have confirmed, or after `confirm_timeout_s` (default 100 ms).
        The messages are queued before the first wait, so a cancellation does not stop them.
        """
        record = StrikeRecord(fingerprint, target, suspect, trio.current_time())
        self._record(record, self._mesh.host)
        number = self._next_number()
        peers = self._announce(Strike(0, fingerprint, number, suspect, target))
        if self._mesh.is_overlay:
            self._forward(Strike(0, fingerprint, 0, suspect, target), fingerprint, self._mesh.host)
        if peers:
            pending = self._pending_confirmations[number] = PendingReplies(peers)
            try:
                with trio.move_on_after(self._limits.confirm_timeout_s) as scope:
                    await pending.done.wait()
                if scope.cancelled_caught:
                    self._metrics.count("quarantine.strike_unconfirmed")
            finally:
                del self._pending_confirmations[number]

    def note_success(self, fingerprint: bytes) -> None:
        """Note that a request succeeded, and remove its strikes on all entry hosts."""
        self._successes.note(fingerprint, trio.current_time())
        self._losses.note_success(fingerprint)
        # Copies of a crashing request never succeed, so any success ends a quarantine.
        if self._lift(fingerprint, "success"):
            self._metrics.count("quarantine.cleared")
            self._announce_lift(fingerprint)

    def _succeeded(self, fingerprint: bytes) -> bool:
        return self._successes.knows(fingerprint, trio.current_time())

    def end_run(self, admission: Admission) -> None:
        """Report the end of an admitted run to the arbiter, if one was asked."""
        if admission.arbiter is not None:
            self._mesh.send(
                admission.arbiter, SuspectEnd(False, admission.number, admission.fingerprint)
            )
            admission.arbiter = None

    def list_quarantined(self) -> list[dict[str, object]]:
        """Fingerprints in quarantine as hexadecimal text, with the remaining seconds."""
        quarantined = self._table.quarantined(trio.current_time())
        return [
            {"fingerprint": key.hex(), "remaining_s": round(remaining_s, 1)}
            for key, remaining_s in quarantined.items()
        ]

    def lift(self, fingerprint: str) -> bool:
        """End a quarantine on all entry hosts; False if this host has no strikes of the request."""
        try:
            key = bytes.fromhex(fingerprint)
        except ValueError:
            return False
        self._announce_lift(key)
        return self._lift(key, "operator")

    async def _admit_to_quarantine(self, fingerprint: bytes) -> Admission:
        """Admit a request in quarantine for a trial run if one is due, else refuse it."""
        if self._table.ask_trial(fingerprint, trio.current_time()):
            admission = await self._ask_arbiter(fingerprint, trial=True)
            if admission.allowed and self._table.is_quarantined(fingerprint, trio.current_time()):
                admission.lost_targets = self._table.lost_targets(fingerprint)
                self._metrics.count("quarantine.trials")
                log(
                    Event.QUARANTINE_TRIAL,
                    fingerprint=fingerprint.hex(),
                    targets=sorted(admission.lost_targets),
                    arbiter=admission.arbiter,
                )
                return admission
            self.end_run(admission)
        self._metrics.count("quarantine.refused")
        return Admission(fingerprint, False)

    async def _ask_arbiter(self, fingerprint: bytes, trial: bool = False) -> Admission:
        number = self._next_number()
        admission = Admission(
            fingerprint, False, -number if trial else number, self.arbiter(fingerprint)
        )
        admission.trial = trial
        pending = self._pending_runs[admission.number] = PendingReplies(1)
        try:
            if self._send_begin(admission):
                with trio.move_on_after(self._limits.confirm_timeout_s):
                    await pending.done.wait()
            admission.allowed = pending.allowed
            return admission
        finally:
            del self._pending_runs[admission.number]
            if not admission.allowed:
                # The arbiter may allow the run in a late reply, so it is told to end the run.
                self.end_run(admission)

    def _send_begin(self, admission: Admission) -> bool:
        """Send the request to the arbiter; in an overlay, to the highest-ranked linked host."""
        ranking = self._ranking(admission.fingerprint)
        for host in ranking if self._mesh.is_overlay else ranking[:1]:
            admission.arbiter = self._pending_runs[admission.number].source = host
            if self._mesh.send(host, SuspectBegin(admission.number, admission.fingerprint)):
                return True
        return False

    def arbiter(self, fingerprint: bytes) -> str:
        """Arbiter of a fingerprint: the hub with the highest rendezvous hash."""
        return self._ranking(fingerprint)[0]

    def _ranking(self, fingerprint: bytes) -> list[str]:
        # All hosts of a region are linked to its hubs, so they agree on the first that they reach.
        hosts = [member.host for member in self._mesh.members() if member.hub]
        hosts = hosts or [self._mesh.host]
        return sorted(
            hosts,
            key=lambda host: xxhash.xxh3_64_intdigest(host.encode() + fingerprint),
            reverse=True,
        )

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _record(self, strike: StrikeRecord, source: str) -> bool:
        """Record a strike; False if it is already known."""
        overflows = self._table.overflows
        effect = self._table.add_strike(strike, trio.current_time())
        self._metrics.count("quarantine.overflows", self._table.overflows - overflows)
        fingerprint = strike.fingerprint.hex()
        if effect is not StrikeEffect.KNOWN:
            self._metrics.count("quarantine.strikes")
            log(Event.STRIKE_RECORDED, fingerprint=fingerprint, target=strike.target, source=source)
        if effect is StrikeEffect.QUARANTINED:
            self._metrics.count("quarantine.began")
            targets = sorted(self._table.lost_targets(strike.fingerprint))
            log(Event.QUARANTINE_BEGAN, fingerprint=fingerprint, targets=targets)
        return effect is not StrikeEffect.KNOWN

    def _lift(self, fingerprint: bytes, source: str) -> bool:
        """Remove all strikes; `source` is the host that said so, "success" or "operator"."""
        was_quarantined = self._table.is_quarantined(fingerprint, trio.current_time())
        lifted = self._table.clear(fingerprint)
        if lifted:
            log(
                Event.QUARANTINE_LIFTED,
                fingerprint=fingerprint.hex(),
                source=source,
                quarantined=was_quarantined,
            )
        return lifted

    def _log_loss(
        self, fingerprint: bytes, target: str, evidence: Evidence, counts: bool, lost_at: float
    ) -> None:
        now = trio.current_time()
        left_out = self._lines.next_line(now)
        if left_out is None:
            return
        log(
            Event.LOSS_JUDGED,
            fingerprint=fingerprint.hex(),
            target=target,
            evidence=evidence.value,
            counted=counts,
            after_ms=round((now - lost_at) * 1000, 1),
            strikes=self._table.count(fingerprint),
            cleared=self._table.times_cleared(fingerprint),
            left_out=left_out,
        )

    def _on_hello(self, sender: str, message: Hello) -> None:
        """Send all current strikes to a host that connects, for example after a replacement."""
        for strike in self._table.strikes(trio.current_time()):
            self._mesh.send(sender, self._strike_message(strike))

    def _strike_message(self, strike: StrikeRecord) -> Strike:
        """Message that needs no confirmation."""
        age_ms = int((trio.current_time() - strike.lost_at) * 1000)
        return Strike(age_ms, strike.fingerprint, 0, strike.suspect, strike.target)

    def _announce(self, message: Message) -> int:
        """Send a message to all hosts, or to those that pass it on; returns their number."""
        if not self._mesh.is_overlay:
            return self._mesh.broadcast(message)
        hubs = first_receivers(self._mesh.members(), self._mesh.host, self._mesh.region)
        return sum(self._mesh.send(host, message) for host in hubs)

    def _announce_lift(self, fingerprint: bytes) -> None:
        message = LiftQuarantine(fingerprint)
        self._announce(message)
        if self._mesh.is_overlay:
            self._forward(message, fingerprint, self._mesh.host)

    def _forward(self, message: Message, fingerprint: bytes, sender: str) -> None:
        """Pass a message on to the next hosts of a large fleet."""
        for host in next_receivers(
            self._mesh.members(), self._mesh.host, self._mesh.region, fingerprint.hex(), sender
        ):
            self._mesh.send(host, message)

    def _on_strike(self, sender: str, message: Strike) -> None:
        if len(message.fingerprint) <= MAX_FINGERPRINT_BYTES:
            at = trio.current_time() - max(0, message.age_ms) / 1000
            strike = StrikeRecord(message.fingerprint, message.target, message.suspect, at)
            if self._record(strike, sender) and self._mesh.is_overlay:
                self._forward(self._strike_message(strike), strike.fingerprint, sender)
        if message.number:
            self._mesh.send(sender, StrikeConfirmed(message.number))

    def _on_confirmed(self, sender: str, message: StrikeConfirmed) -> None:
        pending = self._pending_confirmations.get(message.number)
        if pending is not None:
            pending.add_reply(True)

    def _on_lift(self, sender: str, message: LiftQuarantine) -> None:
        if self._lift(message.fingerprint, sender) and self._mesh.is_overlay:
            self._forward(message, message.fingerprint, sender)

    def _on_begin(self, sender: str, message: SuspectBegin) -> None:
        now = trio.current_time()
        if self._table.is_quarantined(message.fingerprint, now):
            # A negative number asks for a trial run.
            allowed = message.call < 0 and self._table.allow_trial(message.fingerprint, now)
        else:
            allowed = message.call >= 0
        allowed = allowed and self._runs.begin(message.fingerprint, sender, message.call, now)
        self._mesh.send(sender, SuspectEnd(allowed, message.call, message.fingerprint))

    def _on_end(self, sender: str, message: SuspectEnd) -> None:
        pending = self._pending_runs.get(message.call)
        if pending is not None and sender == pending.source:
            pending.add_reply(message.allowed)
        else:
            self._runs.end(message.fingerprint, sender, message.call)
