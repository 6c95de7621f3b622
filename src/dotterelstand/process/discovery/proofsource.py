"""Calls to the platform's store that prove that this host's configuration is current."""

import math
from collections.abc import Callable

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.process.discovery.freshness import RESTORED_WAIT_S, Proof, ProofLedger
from dotterelstand.process.discovery.registry import (
    HISTORY_LOST,
    Configuration,
    Item,
    Kind,
    Listing,
    Platform,
    PlatformError,
    era_of,
)
from dotterelstand.process.discovery.storechecks import CHECK_INTERVAL_S, CheckCall
from dotterelstand.process.telemetry.metrics import Metrics

# Shortest wait in seconds of a watch. Such a watch is a read without a body that, unlike a check,
# the store does not answer from stale data.
SHORTEST_WAIT_S = 0.001


class ProofSource:
    """Makes proofs from lists and from watches with the shortest wait.

    `clock` returns seconds and counts the time during which the machine was suspended. While the
    configuration has no keys, no proof is due.
    """

    __slots__ = (
        "_clock",
        "_distrusted_until_s",
        "_era",
        "_interval_s",
        "_ledger",
        "_metrics",
        "_number",
        "_platform",
        "_revision",
        "_started_s",
        "_unapplied_from",
        "_unreadable",
        "keyed",
    )

    def __init__(
        self,
        platform: Platform,
        ledger: ProofLedger,
        metrics: Metrics,
        interval_s: float,
        clock: Callable[[], float],
    ) -> None:
        self._platform = platform
        self._ledger = ledger
        self._metrics = metrics
        self._interval_s = interval_s
        self._clock = clock
        # Highest number among the configurations that this host has received.
        self._number = 0
        # Latest revision up to which the configuration is known not to have changed. That of the
        # last change may be older than the store's history.
        self._revision = 0
        self._era = 0
        self._distrusted_until_s = -math.inf
        # Whether the latest configuration cannot be read.
        self._unreadable = False
        self._started_s = -math.inf
        # Revision from which the last call returned changes.
        self._unapplied_from = -1
        self.keyed = False

    def note(self, listing: Listing[Item]) -> None:
        """Record a list of configurations, or changes to it, that this host received."""
        if (era := era_of(listing.revision)) > self._era:
            if self._era:
                # The store may lack a document that it has acknowledged and no host has received.
                self._distrusted_until_s = self._clock() + RESTORED_WAIT_S
            self._era = era
        self._number = max([self._number, *_numbers(listing)])
        for entry in listing.entries:
            if entry.unreadable or isinstance(entry.item, Configuration):
                self._unreadable = entry.unreadable

    async def list(self) -> Result[Listing[Item], PlatformError]:
        """List the configurations in the store, which proves the one that it has."""
        started_s = self._clock()
        listing = await self._platform.list(Kind.CONFIGURATION)
        if is_successful(listing):
            number = self._number
            self.note(listing.unwrap())
            if self._number == number:
                self._revision = max(self._revision, listing.unwrap().revision)
            self._record(self._number, started_s)
        return listing

    def due_call(self, revision: int) -> CheckCall | None:
        """`prove` after the known revision in place of a check, if a proof is due."""
        waited_s = self._clock() - self._started_s
        if not self.keyed or not revision or waited_s < self._interval_s - CHECK_INTERVAL_S / 4:
            return None
        return lambda: self.prove(revision)

    async def prove(self, revision: int) -> Result[bool, PlatformError]:
        """Ask the store for changes after the known revision of the configuration.

        Succeeds with False if a watch misses changes that the store has had for two calls.
        """
        number = self._number
        revision = max(revision, self._revision)
        started_s = self._started_s = self._clock()
        self._metrics.count("platform.proof_calls")
        result = await self._platform.watch(Kind.CONFIGURATION, revision, SHORTEST_WAIT_S)
        if not is_successful(result):
            if result.failure().code == HISTORY_LOST:
                # The store keeps only its last seconds of history, which a quiet revision outlives.
                listing = await self.list()
                return listing.map(lambda _: self._number == number)
            return Failure(result.failure())
        if not result.unwrap().entries:
            self._unapplied_from = -1
            self._revision = max(revision, result.unwrap().revision)
            self._record(number, started_s)
            return Success(True)
        # The watch of the configuration gets the same changes. Until they are in force, a proof
        # for their number does not count.
        found = _numbers(result.unwrap())
        if found and not any(entry.unreadable for entry in result.unwrap().entries):
            self._record(max(number, *found), started_s)
        missed = self._unapplied_from == revision
        self._unapplied_from = revision
        return Success(not missed)

    def _record(self, number: int, started_s: float) -> None:
        if started_s < self._distrusted_until_s:
            return
        # An unreadable configuration may have removed a key that the document in force still has.
        if (
            number
            and not self._unreadable
            and self._ledger.record(Proof(number, started_s), self._clock())
        ):
            self._metrics.count("platform.proofs_from_store")


def _numbers(listing: Listing[Item]) -> list[int]:
    items = (entry.item for entry in listing.entries)
    return [item.number for item in items if isinstance(item, Configuration)]
