"""Quarantine rules for requests that crash targets; no I/O."""

from enum import Enum

# Leading bytes of a fingerprint: digest of method, path and query. The digest of the body follows.
HEAD_DIGEST_BYTES = 8
# Number of lost targets that starts a quarantine even if they were lost at the same time.
CORRELATED_LOSS_TARGETS = 3
# Losses within this time may have a common cause other than the request, such as a failed rack.
CORRELATED_LOSS_S = 1.0
# Times reported for the same loss differ by at most this, due to network latency and rounding.
DUPLICATE_REPORT_S = 0.5

# Seconds after the start of a quarantine at which one run is allowed as a trial. The pauses grow.
TRIALS_AFTER_S = (10.0, 30.0)
# Length of a quarantine after another loss during it, as a multiple of the usual length.
CONFIRMED_QUARANTINE_FACTOR = 2


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
    """Loss of one target while it ran a request; `lost_at` in seconds.

    `suspect` is true if the request already had a strike when this run began.
    """

    __slots__ = ("fingerprint", "lost_at", "suspect", "target")

    def __init__(self, fingerprint: bytes, target: str, suspect: bool, lost_at: float) -> None:
        self.fingerprint = fingerprint
        self.target = target
        self.suspect = suspect
        self.lost_at = lost_at

    def is_same_loss(self, other: "StrikeRecord") -> bool:
        """Whether both records report the same loss."""
        return (
            self.target == other.target and abs(self.lost_at - other.lost_at) < DUPLICATE_REPORT_S
        )


class _StrikeHistory:
    """Strikes of one fingerprint, oldest first, and its quarantine.

    `asked_trials` and `allowed_trials` count the due times of trials that this host used up.
    """

    __slots__ = (
        "allowed_trials",
        "asked_trials",
        "began_at",
        "confirmed",
        "quarantined_until",
        "strikes",
    )

    def __init__(self) -> None:
        self.strikes: list[StrikeRecord] = []
        self.quarantined_until = 0.0
        self.began_at = 0.0
        # Whether the request crashed a target during its quarantine.
        self.confirmed = False
        self.asked_trials = 0
        self.allowed_trials = 0

    def due_trials(self, now: float) -> int:
        """Number of trials whose time has come in this quarantine; 0 without one."""
        if self.confirmed or self.quarantined_until <= now:
            return 0
        return sum(now >= self.began_at + after_s for after_s in TRIALS_AFTER_S)

    def justifies_quarantine(self) -> bool:
        """Whether the strikes show that the request itself crashes targets.

        A suspect has only one run at a time, so a second loss is sufficient, even of the same
        target. Runs that began before the first strike can fail together because of a rack
        failure, so two of them count only if the targets were lost at different times.
        """
        targets = {strike.target for strike in self.strikes}
        times = [strike.lost_at for strike in self.strikes]
        separate = len(targets) >= 2 and max(times) - min(times) > CORRELATED_LOSS_S
        repeated = len(times) >= 2 and any(strike.suspect for strike in self.strikes)
        return separate or repeated or len(targets) >= CORRELATED_LOSS_TARGETS


class StrikeEffect(Enum):
    """Effect of a reported strike."""

    KNOWN = 0
    RECORDED = 1
    QUARANTINED = 2


class StrikeTable:
    """Strikes and quarantines known to one entry host."""

    __slots__ = ("_entries", "_head_counts", "_limits", "_times_cleared", "overflows")

    def __init__(self, limits: QuarantineLimits) -> None:
        self._limits = limits
        self._entries: dict[bytes, _StrikeHistory] = {}
        self._head_counts: dict[bytes, int] = {}
        # How often strikes were removed before they expired; the oldest fingerprint is forgotten.
        self._times_cleared: dict[bytes, int] = {}
        self.overflows = 0

    def add_strike(self, strike: StrikeRecord, now: float) -> StrikeEffect:
        """Record the loss of a target.

        A repeated report of a known loss does not change the time of the loss, so it extends no
        quarantine.
        """
        self._expire(now)
        if strike.lost_at <= now - self._limits.window_s:
            return StrikeEffect.KNOWN
        entry = self._entries.get(strike.fingerprint)
        if entry is None:
            entry = self._add_history(strike.fingerprint)
        known = any(strike.is_same_loss(other) for other in entry.strikes)
        if not known:
            entry.strikes.append(strike)
        if entry.justifies_quarantine() and entry.quarantined_until <= now:
            entry.began_at = max(other.lost_at for other in entry.strikes)
            entry.quarantined_until = entry.began_at + self._limits.quarantine_s
            return StrikeEffect.QUARANTINED
        if not known and entry.quarantined_until > now:
            if strike.lost_at > entry.began_at + CORRELATED_LOSS_S:
                entry.confirmed = True
                length_s = CONFIRMED_QUARANTINE_FACTOR * self._limits.quarantine_s
                entry.quarantined_until = strike.lost_at + length_s
        return StrikeEffect.KNOWN if known else StrikeEffect.RECORDED

    def clear(self, fingerprint: bytes) -> bool:
        """Remove the strikes of a fingerprint; False if there were none."""
        if not self._remove(fingerprint):
            return False
        times = self._times_cleared.pop(fingerprint, 0) + 1
        if len(self._times_cleared) >= self._limits.max_entries:
            del self._times_cleared[next(iter(self._times_cleared))]
        self._times_cleared[fingerprint] = times
        return True

    def times_cleared(self, fingerprint: bytes) -> int:
        """How often strikes of a fingerprint were removed after a success or by an operator."""
        return self._times_cleared.get(fingerprint, 0)

    def _remove(self, fingerprint: bytes) -> bool:
        if self._entries.pop(fingerprint, None) is None:
            return False
        head = fingerprint[:HEAD_DIGEST_BYTES]
        self._head_counts[head] -= 1
        if not self._head_counts[head]:
            del self._head_counts[head]
        return True

    def has_strikes(self, head_digest: bytes, now: float) -> bool:
        """Whether any fingerprint that begins with `head_digest` has strikes."""
        if head_digest not in self._head_counts:
            return False
        self._expire(now)
        return head_digest in self._head_counts

    def is_suspect(self, fingerprint: bytes, now: float) -> bool:
        """Whether a fingerprint has strikes, so that only one run at a time is allowed."""
        self._expire(now)
        return fingerprint in self._entries

    def is_quarantined(self, fingerprint: bytes, now: float) -> bool:
        """Whether requests with a fingerprint are refused."""
        entry = self._entries.get(fingerprint)
        return entry is not None and entry.quarantined_until > now

    def ask_trial(self, fingerprint: bytes, now: float) -> bool:
        """Whether to ask the arbiter for a trial run; true once for each due time."""
        entry = self._entries.get(fingerprint)
        due = 0 if entry is None else entry.due_trials(now)
        if entry is None or due <= entry.asked_trials:
            return False
        entry.asked_trials = due
        return True

    def allow_trial(self, fingerprint: bytes, now: float) -> bool:
        """Whether the arbiter allows a trial run; true once for each due time."""
        entry = self._entries.get(fingerprint)
        due = 0 if entry is None else entry.due_trials(now)
        if entry is None or due <= entry.allowed_trials:
            return False
        entry.allowed_trials = due
        return True

    def count(self, fingerprint: bytes) -> int:
        """Number of strikes of a fingerprint."""
        entry = self._entries.get(fingerprint)
        return 0 if entry is None else len(entry.strikes)

    def quarantined(self, now: float) -> dict[bytes, float]:
        """Fingerprints in quarantine, with the remaining seconds."""
        return {
            fingerprint: entry.quarantined_until - now
            for fingerprint, entry in self._entries.items()
            if entry.quarantined_until > now
        }

    def strikes(self, now: float) -> list[StrikeRecord]:
        """All strikes that have not expired."""
        self._expire(now)
        return [strike for entry in self._entries.values() for strike in entry.strikes]

    def lost_targets(self, fingerprint: bytes) -> frozenset[str]:
        """Targets that were lost while they ran a request with this fingerprint."""
        entry = self._entries.get(fingerprint)
        strikes = [] if entry is None else entry.strikes
        return frozenset(strike.target for strike in strikes)

    def __len__(self) -> int:
        return len(self._entries)

    def _add_history(self, fingerprint: bytes) -> _StrikeHistory:
        if len(self._entries) >= self._limits.max_entries:
            self.overflows += 1
            self._remove(self._choose_eviction())
        entry = self._entries[fingerprint] = _StrikeHistory()
        head = fingerprint[:HEAD_DIGEST_BYTES]
        self._head_counts[head] = self._head_counts.get(head, 0) + 1
        return entry

    def _choose_eviction(self) -> bytes:
        """Fingerprint to evict: the oldest that is not quarantined, else the oldest."""
        suspects = (key for key, entry in self._entries.items() if not entry.quarantined_until)
        return next(suspects, next(iter(self._entries)))

    def _expire(self, now: float) -> None:
        oldest = now - self._limits.window_s
        for fingerprint, entry in list(self._entries.items()):
            if entry.quarantined_until and entry.quarantined_until <= now:
                self._remove(fingerprint)
            elif not entry.quarantined_until:
                entry.strikes = [strike for strike in entry.strikes if strike.lost_at > oldest]
                if not entry.strikes:
                    self._remove(fingerprint)


class SuspectRuns:
    """Current runs of suspects, kept by the arbiter of their fingerprints."""

    __slots__ = ("_max_entries", "_run_limit_s", "_runs")

    def __init__(self, run_limit_s: float, max_entries: int) -> None:
        self._run_limit_s = run_limit_s
        self._max_entries = max_entries
        self._runs: dict[bytes, tuple[str, int, float]] = {}

    def begin(self, fingerprint: bytes, host: str, call: int, now: float) -> bool:
        """Allow a run unless another one is in progress; a run expires after `run_limit_s`."""
        current = self._runs.get(fingerprint)
        if current is not None and current[2] > now and current[:2] != (host, call):
            return False
        if current is None and len(self._runs) >= self._max_entries:
            self._runs = {key: run for key, run in self._runs.items() if run[2] > now}
            if len(self._runs) >= self._max_entries:
                return False
        self._runs[fingerprint] = (host, call, now + self._run_limit_s)
        return True

    def end(self, fingerprint: bytes, host: str, call: int) -> None:
        """End the run with call number `call` that `host` was permitted to start."""
        current = self._runs.get(fingerprint)
        if current is not None and current[:2] == (host, call):
            del self._runs[fingerprint]
