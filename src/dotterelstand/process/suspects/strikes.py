"""Decides which requests crash targets and may not run; no input or output."""

from enum import Enum

# Bytes of a fingerprint that name method, path and query; the rest is the digest of the body.
HEAD_DIGEST_BYTES = 8
# Targets whose loss starts a quarantine although no run of the request was a suspect's.
LOST_TOGETHER = 3
# Longest time between the losses of targets that fail for a common reason, such as a rack.
TOGETHER_S = 1.0
# Two reports of one loss differ by the latency between hosts and by rounding.
REPEAT_S = 0.5


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


class StrikeRecord:
    """A target that was lost to a request, with the time in seconds.

    `suspect` tells that the request already had a strike when the run began.
    """

    __slots__ = ("at", "fingerprint", "suspect", "target")

    def __init__(self, fingerprint: bytes, target: str, suspect: bool, at: float) -> None:
        self.fingerprint = fingerprint
        self.target = target
        self.suspect = suspect
        self.at = at

    def repeats(self, other: "StrikeRecord") -> bool:
        """Whether both report the same loss."""
        return self.target == other.target and abs(self.at - other.at) < REPEAT_S


class _StrikeHistory:
    """Strikes of one fingerprint, oldest first."""

    __slots__ = ("strikes", "until")

    def __init__(self) -> None:
        self.strikes: list[StrikeRecord] = []
        self.until = 0.0

    def justifies_quarantine(self) -> bool:
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
        self._entries: dict[bytes, _StrikeHistory] = {}
        self._heads: dict[bytes, int] = {}
        self.overflows = 0

    def strike(self, strike: StrikeRecord, now: float) -> StrikeEffect:
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
        if entry.justifies_quarantine() and entry.until <= now:
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

    def strikes(self, now: float) -> list[StrikeRecord]:
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

    def _add(self, fingerprint: bytes) -> _StrikeHistory:
        if len(self._entries) >= self._limits.max_entries:
            self.overflows += 1
            self.clear(self._least_important())
        entry = self._entries[fingerprint] = _StrikeHistory()
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
