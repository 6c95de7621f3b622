"""Keeps requests that crash targets from running again anywhere in the fleet."""

from enum import Enum

import trio
import xxhash
from returns.result import Failure, Result, Success

from dotterelstand.connection.wire import (
    Hello,
    LiftQuarantine,
    Strike,
    StrikeConfirmed,
    SuspectBegin,
    SuspectEnd,
)
from dotterelstand.events import Event, log
from dotterelstand.process.control import Arguments, ControlRegistry
from dotterelstand.process.mesh import Mesh
from dotterelstand.request.ports import Admission, Counters

# Bytes of a fingerprint that name method, path and query; the rest is the digest of the body.
HEAD_DIGEST_BYTES = 8
MAX_FINGERPRINT_BYTES = 64
# Targets whose loss starts a quarantine although no run of the request was a suspect's.
LOST_TOGETHER = 3
# Longest time between the losses of targets that fail for a common reason, such as a rack.
TOGETHER_S = 1.0
# Two reports of one loss differ by the latency between hosts and by rounding.
REPEAT_S = 0.5
# Seconds between two requests to the arbiter of a suspect that is running elsewhere.
RETRY_S = 0.05


class QuarantineLimits:
    """Bounds on strikes and quarantines; times in seconds."""

    __slots__ = (
        "admit_wait_s",
        "confirm_timeout_s",
        "max_entries",
        "quarantine_s",
        "run_limit_s",
        "window_s",
    )

    def __init__(
        self,
        window_s: float = 60.0,
        quarantine_s: float = 60.0,
        max_entries: int = 1024,
        confirm_timeout_s: float = 0.1,
        admit_wait_s: float = 1.0,
        run_limit_s: float = 10.0,
    ) -> None:
        self.window_s = window_s
        self.quarantine_s = quarantine_s
        self.max_entries = max_entries
        self.confirm_timeout_s = confirm_timeout_s
        self.admit_wait_s = admit_wait_s
        self.run_limit_s = run_limit_s


class KnownStrike:
    """A target that was lost to a request, with the time in seconds.

    `suspect` tells that the request already had a strike when the run began.
    """

    __slots__ = ("at", "fingerprint", "suspect", "target")

    def __init__(self, fingerprint: bytes, target: str, suspect: bool, at: float) -> None:
        self.fingerprint = fingerprint
        self.target = target
        self.suspect = suspect
        self.at = at

    def repeats(self, other: "KnownStrike") -> bool:
        """Whether both report the same loss."""
        return self.target == other.target and abs(self.at - other.at) < REPEAT_S


class _Entry:
    """Strikes of one fingerprint, oldest first."""

    __slots__ = ("strikes", "until")

    def __init__(self) -> None:
        self.strikes: list[KnownStrike] = []
        self.until = 0.0

    def is_enough(self) -> bool:
        """Whether the strikes show that the request itself loses targets.

        A suspect runs alone, so its second loss is enough, even of the same target. Copies that
        ran before the first strike may die together when a rack fails, so two of them are not
        enough unless they were lost at different times.
        """
        targets = {strike.target for strike in self.strikes}
        times = [strike.at for strike in self.strikes]
        apart = len(targets) >= 2 and max(times) - min(times) > TOGETHER_S
        suspect = len(times) >= 2 and any(strike.suspect for strike in self.strikes)
        return apart or suspect or len(targets) >= LOST_TOGETHER


class StrikeEffect(Enum):
    """What a strike changed."""

    KNOWN = 0
    RECORDED = 1
    QUARANTINED = 2


class Quarantine:
    """Strikes and quarantines as one entry host knows them; decisions only."""

    __slots__ = ("_entries", "_heads", "_limits", "overflows")

    def __init__(self, limits: QuarantineLimits) -> None:
        self._limits = limits
        self._entries: dict[bytes, _Entry] = {}
        self._heads: dict[bytes, int] = {}
        self.overflows = 0

    def strike(self, strike: KnownStrike, now: float) -> StrikeEffect:
        """Record that a target was lost.

        A strike that another host repeats keeps its time, so that repeats extend nothing.
        """
        self._expire(now)
        if strike.at <= now - self._limits.window_s:
            return StrikeEffect.KNOWN
        entry = self._entries.get(strike.fingerprint)
        if entry is None:
            entry = self._add(strike.fingerprint)
        known = any(strike.repeats(other) for other in entry.strikes)
        if not known:
            entry.strikes.append(strike)
        if entry.is_enough() and entry.until <= now:
            entry.until = max(other.at for other in entry.strikes) + self._limits.quarantine_s
            return StrikeEffect.QUARANTINED
        return StrikeEffect.KNOWN if known else StrikeEffect.RECORDED

    def clear(self, fingerprint: bytes) -> bool:
        """Forget the strikes of a fingerprint; False if there were none."""
        if self._entries.pop(fingerprint, None) is None:
            return False
        head = fingerprint[:HEAD_DIGEST_BYTES]
        self._heads[head] -= 1
        if not self._heads[head]:
            del self._heads[head]
        return True

    def knows(self, head: bytes, now: float) -> bool:
        """Whether any fingerprint that begins with `head` has strikes."""
        if head not in self._heads:
            return False
        self._expire(now)
        return head in self._heads

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Whether a fingerprint has strikes and may run only once at a time."""
        self._expire(now)
        return fingerprint in self._entries

    def is_quarantined(self, fingerprint: bytes, now: float) -> bool:
        """Whether a fingerprint may not run."""
        entry = self._entries.get(fingerprint)
        return entry is not None and entry.until > now

    def quarantined(self, now: float) -> dict[bytes, float]:
        """Fingerprints in quarantine, with the seconds that remain."""
        return {
            fingerprint: entry.until - now
            for fingerprint, entry in self._entries.items()
            if entry.until > now
        }

    def strikes(self, now: float) -> list[KnownStrike]:
        """Every strike that still counts."""
        self._expire(now)
        return [strike for entry in self._entries.values() for strike in entry.strikes]

    def lost_targets(self, fingerprint: bytes) -> frozenset[str]:
        """Targets that were lost to a fingerprint."""
        entry = self._entries.get(fingerprint)
        strikes = [] if entry is None else entry.strikes
        return frozenset(strike.target for strike in strikes)

    def __len__(self) -> int:
        return len(self._entries)

    def _add(self, fingerprint: bytes) -> _Entry:
        if len(self._entries) >= self._limits.max_entries:
            self.overflows += 1
            self.clear(self._least_important())
        entry = self._entries[fingerprint] = _Entry()
        head = fingerprint[:HEAD_DIGEST_BYTES]
        self._heads[head] = self._heads.get(head, 0) + 1
        return entry

    def _least_important(self) -> bytes:
        """Oldest entry that is not quarantined, or the oldest of all."""
        suspects = (key for key, entry in self._entries.items() if not entry.until)
        return next(suspects, next(iter(self._entries)))

    def _expire(self, now: float) -> None:
        limit = now - self._limits.window_s
        for fingerprint, entry in list(self._entries.items()):
            if entry.until and entry.until <= now:
                self.clear(fingerprint)
            elif not entry.until:
                entry.strikes = [strike for strike in entry.strikes if strike.at > limit]
                if not entry.strikes:
                    self.clear(fingerprint)


class SuspectRuns:
    """Which suspects run, as the arbiter of their fingerprints knows it."""

    __slots__ = ("_limit_s", "_max", "_runs")

    def __init__(self, limit_s: float, max_entries: int) -> None:
        self._limit_s = limit_s
        self._max = max_entries
        self._runs: dict[bytes, tuple[str, int, float]] = {}

    def begin(self, fingerprint: bytes, host: str, call: int, now: float) -> bool:
        """Permit a run unless another one is going on; a run is forgotten after its limit."""
        held = self._runs.get(fingerprint)
        if held is not None and held[2] > now and held[:2] != (host, call):
            return False
        if held is None and len(self._runs) >= self._max:
            self._runs = {key: run for key, run in self._runs.items() if run[2] > now}
            if len(self._runs) >= self._max:
                return False
        self._runs[fingerprint] = (host, call, now + self._limit_s)
        return True

    def end(self, fingerprint: bytes, host: str, call: int) -> None:
        """End a run that was permitted to `host` as `call`."""
        held = self._runs.get(fingerprint)
        if held is not None and held[:2] == (host, call):
            del self._runs[fingerprint]


class QuarantineService:
    """Shares strikes with the other entry hosts and lets suspects run one at a time."""

    __slots__ = (
        "_answers",
        "_confirmations",
        "_limits",
        "_mesh",
        "_metrics",
        "_number",
        "_runs",
        "_table",
    )

    def __init__(self, mesh: Mesh, limits: QuarantineLimits, metrics: Counters) -> None:
        self._mesh = mesh
        self._limits = limits
        self._metrics = metrics
        self._table = Quarantine(limits)
        self._runs = SuspectRuns(limits.run_limit_s, limits.max_entries)
        self._number = 0
        self._confirmations: dict[int, _Waiting] = {}
        self._answers: dict[int, _Waiting] = {}
        mesh.subscribe(Hello, self._on_hello)
        mesh.subscribe(Strike, self._on_strike)
        mesh.subscribe(StrikeConfirmed, self._on_confirmed)
        mesh.subscribe(LiftQuarantine, self._on_lift)
        mesh.subscribe(SuspectBegin, self._on_begin)
        mesh.subscribe(SuspectEnd, self._on_end)

    def knows(self, head: bytes) -> bool:
        """Whether a fingerprint that begins with this digest has strikes."""
        return self._table.knows(head, trio.current_time())

    async def admit(self, fingerprint: bytes) -> Admission:
        """Decide whether a request may run; a suspect waits until no other run of it goes on."""
        waited_until = trio.current_time() + self._limits.admit_wait_s
        while True:
            now = trio.current_time()
            if self._table.is_quarantined(fingerprint, now):
                self._metrics.count("quarantine.refused")
                return Admission(fingerprint, False)
            if not self._table.is_suspect(fingerprint, now):
                return Admission(fingerprint, True)
            admission = await self._ask_arbiter(fingerprint)
            # The run before this one may have been the second strike.
            quarantined = self._table.is_quarantined(fingerprint, trio.current_time())
            if admission.allowed and not quarantined:
                admission.lost = self._table.lost_targets(fingerprint)
                return admission
            self.leave(admission)
            if not quarantined:
                if trio.current_time() >= waited_until:
                    self._metrics.count("quarantine.suspect_busy")
                    return Admission(fingerprint, False)
                await trio.sleep(RETRY_S)

    async def strike(self, fingerprint: bytes, target: str, suspect: bool) -> None:
        """Record a lost target everywhere; returns when peers confirmed or after 100 ms.

        The strike is on its way before the first wait, so a cancelled call loses nothing.
        """
        own = KnownStrike(fingerprint, target, suspect, trio.current_time())
        self._record(own, self._mesh.host)
        number = self._next_number()
        peers = self._mesh.broadcast(Strike(0, fingerprint, number, suspect, target))
        if peers:
            waiting = self._confirmations[number] = _Waiting(peers)
            try:
                with trio.move_on_after(self._limits.confirm_timeout_s) as scope:
                    await waiting.done.wait()
                if scope.cancelled_caught:
                    self._metrics.count("quarantine.strike_unconfirmed")
            finally:
                del self._confirmations[number]

    def clear(self, fingerprint: bytes) -> None:
        """Record a success: the strikes are forgotten everywhere."""
        now = trio.current_time()
        if self._table.is_quarantined(fingerprint, now):
            # A success of a run that began before the quarantine does not end it.
            return
        if self._table.clear(fingerprint):
            self._metrics.count("quarantine.cleared")
            self._mesh.broadcast(LiftQuarantine(fingerprint))

    def leave(self, admission: Admission) -> None:
        """End an admitted run."""
        if admission.arbiter is not None:
            self._mesh.send(
                admission.arbiter, SuspectEnd(False, admission.number, admission.fingerprint)
            )
            admission.arbiter = None

    def list_quarantined(self) -> list[dict[str, object]]:
        """Fingerprints in quarantine as hexadecimal text, with the seconds that remain."""
        quarantined = self._table.quarantined(trio.current_time())
        return [
            {"fingerprint": key.hex(), "remaining_s": round(remaining_s, 1)}
            for key, remaining_s in quarantined.items()
        ]

    def lift(self, fingerprint: str) -> bool:
        """End a quarantine everywhere; False if the fingerprint has no strikes here."""
        try:
            key = bytes.fromhex(fingerprint)
        except ValueError:
            return False
        self._mesh.broadcast(LiftQuarantine(key))
        return self._lift(key)

    async def _ask_arbiter(self, fingerprint: bytes) -> Admission:
        admission = Admission(fingerprint, False, self._next_number(), self.arbiter(fingerprint))
        waiting = self._answers[admission.number] = _Waiting(1)
        try:
            if self._mesh.send(
                admission.arbiter or "", SuspectBegin(admission.number, fingerprint)
            ):
                with trio.move_on_after(self._limits.confirm_timeout_s):
                    await waiting.done.wait()
            admission.allowed = waiting.allowed
            return admission
        finally:
            del self._answers[admission.number]
            if not admission.allowed:
                # A permission may be on its way although nobody waits for it.
                self.leave(admission)

    def arbiter(self, fingerprint: bytes) -> str:
        """Member with the highest rendezvous hash for a fingerprint."""
        hosts = [member.host for member in self._mesh.members()] or [self._mesh.host]
        return max(hosts, key=lambda host: xxhash.xxh3_64_intdigest(host.encode() + fingerprint))

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _record(self, strike: KnownStrike, source: str) -> None:
        overflows = self._table.overflows
        effect = self._table.strike(strike, trio.current_time())
        self._metrics.count("quarantine.overflows", self._table.overflows - overflows)
        fingerprint = strike.fingerprint.hex()
        if effect is not StrikeEffect.KNOWN:
            self._metrics.count("quarantine.strikes")
            log(Event.STRIKE_RECORDED, fingerprint=fingerprint, target=strike.target, source=source)
        if effect is StrikeEffect.QUARANTINED:
            self._metrics.count("quarantine.began")
            log(Event.QUARANTINE_BEGAN, fingerprint=fingerprint)

    def _lift(self, fingerprint: bytes) -> bool:
        lifted = self._table.clear(fingerprint)
        if lifted:
            log(Event.QUARANTINE_LIFTED, fingerprint=fingerprint.hex())
        return lifted

    def _on_hello(self, sender: str, message: Hello) -> None:
        """Tell a host that was replaced or parted which strikes it missed."""
        now = trio.current_time()
        for strike in self._table.strikes(now):
            age_ms = int((now - strike.at) * 1000)
            number = self._next_number()
            self._mesh.send(
                sender,
                Strike(age_ms, strike.fingerprint, number, strike.suspect, strike.target),
            )

    def _on_strike(self, sender: str, message: Strike) -> None:
        if len(message.fingerprint) <= MAX_FINGERPRINT_BYTES:
            at = trio.current_time() - max(0, message.age_ms) / 1000
            strike = KnownStrike(message.fingerprint, message.target, message.suspect, at)
            self._record(strike, sender)
        self._mesh.send(sender, StrikeConfirmed(message.number))

    def _on_confirmed(self, sender: str, message: StrikeConfirmed) -> None:
        waiting = self._confirmations.get(message.number)
        if waiting is not None:
            waiting.arrive(True)

    def _on_lift(self, sender: str, message: LiftQuarantine) -> None:
        self._lift(message.fingerprint)

    def _on_begin(self, sender: str, message: SuspectBegin) -> None:
        now = trio.current_time()
        allowed = not self._table.is_quarantined(message.fingerprint, now) and self._runs.begin(
            message.fingerprint, sender, message.call, now
        )
        self._mesh.send(sender, SuspectEnd(allowed, message.call, message.fingerprint))

    def _on_end(self, sender: str, message: SuspectEnd) -> None:
        waiting = self._answers.get(message.call)
        if waiting is not None and sender == self.arbiter(message.fingerprint):
            waiting.arrive(message.allowed)
        else:
            self._runs.end(message.fingerprint, sender, message.call)


def register_quarantine(registry: ControlRegistry, service: QuarantineService) -> None:
    """Let the command-line tool list quarantines and lift them."""

    async def lift(arguments: Arguments) -> Result[object, str]:
        fingerprint = str(arguments.get("fingerprint", ""))
        if service.lift(fingerprint):
            return Success({"lifted": fingerprint})
        return Failure(f"{fingerprint}: no such fingerprint has strikes on this host")

    registry.provide("quarantine", service.list_quarantined)
    registry.act("quarantine/lift", lift)


class _Waiting:
    """Peers that still have to answer."""

    __slots__ = ("allowed", "done", "missing")

    def __init__(self, missing: int) -> None:
        self.missing = missing
        self.allowed = False
        self.done = trio.Event()

    def arrive(self, allowed: bool) -> None:
        self.allowed = allowed
        self.missing -= 1
        if self.missing <= 0:
            self.done.set()
