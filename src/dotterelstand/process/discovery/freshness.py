"""Record of the proofs that the document in force is current, without I/O or clock.

All times are in seconds of one clock that also counts the time during which the machine was
suspended. A proof is the number of a document and a time at which that document was the newest one
in the store, namely the start of the call that showed it.
"""

import math

from dotterelstand.process.discovery.registry import FIRST_ERA

# Share of the revocation limit after which a proof no longer counts. The rest is for the time
# between the check of a request's proof and its first byte at a target.
USABLE_SHARE = 0.95
# Seconds for which a host that starts without peers distrusts a store that was restored from a
# copy. The operator repeats the writes that the store lost within this time.
RESTORED_WAIT_S = 3.0


class Proof:
    """A document's number, and the latest known time in seconds at which it was the newest one."""

    __slots__ = ("number", "proven_s")

    def __init__(self, number: int, proven_s: float) -> None:
        self.number = number
        self.proven_s = proven_s


class ProofLedger:
    """The latest proof for the document in force, and the latest proof for a later document.

    A proof for a later document counts as soon as that document is in force.
    """

    __slots__ = ("_counted", "_max_age_s", "_number", "_pending")

    def __init__(self, revocation_limit_s: float) -> None:
        self._max_age_s = USABLE_SHARE * revocation_limit_s
        self._number = 0
        self._counted: Proof | None = None
        self._pending: Proof | None = None

    @property
    def number(self) -> int:
        """Number of the document in force, 0 before the first."""
        return self._number

    @property
    def latest(self) -> Proof | None:
        """The latest proof, for the document in force or a later one."""
        return self._pending or self._counted

    def apply(self, number: int) -> None:
        """Record that a document is in force."""
        self._number = max(self._number, number)
        if self._pending is not None and self._pending.number <= self._number:
            self._counted, self._pending = self._pending, None

    def record(self, proof: Proof, now: float) -> bool:
        """Record a proof; False if it is not later than the latest one or lies in the future."""
        if proof.proven_s > now or (self.latest and proof.proven_s <= self.latest.proven_s):
            return False
        if self._pending is not None and proof.number < self._pending.number:
            # The store was restored from a copy that lacks a document which it has acknowledged.
            return False
        if proof.number <= self._number:
            self._counted, self._pending = proof, None
        else:
            self._pending = proof
        return True

    def age_s(self, now: float) -> float:
        """Age of the proof for the document in force; infinite without one."""
        return math.inf if self._counted is None else now - self._counted.proven_s

    def is_proven(self, now: float) -> bool:
        """Whether the proof for the document in force still counts."""
        return bool(self._number) and self.age_s(now) < self._max_age_s


class StartTrust:
    """Decides when a host trusts a store that was restored from a copy before the host started.

    Such a host can't know what was written in the seconds that the store lost. It trusts proofs
    once its document is as new as those of its peers, or after a wait if it hears of no peer's.
    A later era ends the trust until then.
    """

    __slots__ = ("_era", "_highest_peer_number", "_started_s", "_trusts")

    def __init__(self, started_s: float) -> None:
        self._started_s = started_s
        self._highest_peer_number = 0
        self._trusts = False
        self._era = 0

    def note_peer(self, number: int) -> None:
        """Record the number of the document that another host has in force."""
        self._highest_peer_number = max(self._highest_peer_number, number)

    def allows(self, number: int, era: int, now: float) -> bool:
        """Whether proofs count while document `number` is in force; true until the next era."""
        if era > self._era:
            # The store may now lack a document that a peer received and this host did not.
            self._trusts, self._era = False, era
        if not self._trusts and number:
            restored = era > FIRST_ERA
            waited = now - self._started_s >= RESTORED_WAIT_S
            has_newest = 0 < self._highest_peer_number <= number
            self._trusts = not restored or has_newest or (not self._highest_peer_number and waited)
        return self._trusts
