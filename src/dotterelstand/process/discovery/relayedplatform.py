"""Forwards the platform's changes within a region, so that few entry hosts watch the store."""

import random
import zlib
from collections.abc import Sequence

import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result

from dotterelstand.connection.wire import (
    Hello,
    Message,
    SnapshotRequest,
    StoreChanges,
    StoreState,
)
from dotterelstand.events import Event, log
from dotterelstand.process.discovery.proofsource import ProofSource
from dotterelstand.process.discovery.registry import (
    HISTORY_LOST,
    UNANSWERED,
    Item,
    Kind,
    Listing,
    Platform,
    PlatformError,
    era_of,
    relayed_kind,
    relayed_number,
    revisions_by_kind,
    split_revisions,
)
from dotterelstand.process.discovery.relayrole import RelayRole
from dotterelstand.process.discovery.relayview import RelayedChanges, RelayStatus, RelayView
from dotterelstand.process.discovery.snapshotrequests import SnapshotRequests, is_hub
from dotterelstand.process.discovery.snapshots import (
    SnapshotServer,
    merge_relayed,
    relayed_changes,
)
from dotterelstand.process.discovery.storechecks import (
    CHECK_INTERVAL_S,
    CHECK_TIMEOUT_S,
    StoreChecks,
)
from dotterelstand.process.discovery.storewatches import StoreWatches
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.peering.ranking import RELAY_KEY, rank_hosts
from dotterelstand.process.telemetry.metrics import Metrics

# A host that is not a relay waits at most this number of seconds before it calls the store again,
# while neither it nor the relays reach the store. The wait ends early when a relay reaches the
# store, or when no relay's report is valid any more.
STORE_RETRY_S = 2.0
# Seconds that a starting host has to open a link to a hub after it read the host list, before it
# decides whether it is a relay.
INITIAL_ROLE_DELAY_S = 0.4


class RelayedPlatform:
    """Implements `ObjectLists` so that only the relays of a region watch the store.

    The other hosts get the changes from the relays. They call the store themselves for changes
    that they missed, and while no relay reports that it reaches the store.
    """

    __slots__ = (
        "_checks",
        "_failed_kinds",
        "_hosts_read",
        "_hub_linked",
        "_known_revisions",
        "_listed",
        "_mesh",
        "_metrics",
        "_outage_reported",
        "_platform",
        "_proofs",
        "_relay_update",
        "_relay_view",
        "_rng",
        "_role",
        "_role_known",
        "_snapshot_requests",
        "_snapshots",
        "_was_relay",
        "_watches",
    )

    def __init__(
        self,
        platform: Platform,
        mesh: Mesh,
        metrics: Metrics,
        watch_pauses_s: dict[Kind, float],
        rng: random.Random,
        proofs: ProofSource | None = None,
    ) -> None:
        self._platform = platform
        self._checks = StoreChecks(platform, metrics)
        self._mesh = mesh
        self._metrics = metrics
        self._watches = StoreWatches(platform, metrics, watch_pauses_s)
        self._rng = rng
        self._relay_view = RelayView(trio.current_time())
        self._role = RelayRole(mesh, self._relay_view, self._checks)
        self._proofs = proofs
        self._relay_update = trio.Event()
        # Revision of the last change that this host has received.
        self._known_revisions = dict.fromkeys(watch_pauses_s, 0)
        self._hosts_read = trio.Event()
        self._hub_linked = False
        self._role_known = trio.Event()
        # Kinds whose last call to the store failed.
        self._failed_kinds: set[Kind] = set()
        self._listed = trio.Event()
        # Kinds for which `watch` has already failed in this outage of the store. It fails once for
        # each outage, and after that watches the store itself.
        self._outage_reported: set[Kind] = set()
        self._was_relay = False
        self._snapshots = SnapshotServer(platform, self._relay_view, mesh.send)
        self._snapshot_requests = SnapshotRequests(mesh, metrics)
        mesh.subscribe(Hello, self._on_hello)
        mesh.subscribe(SnapshotRequest, self._on_snapshot_request)
        mesh.subscribe(StoreChanges, self._on_changes)
        mesh.subscribe(StoreState, self._on_state)

    @property
    def is_relay(self) -> bool:
        """Whether this host watches the store for its region."""
        return self._role.is_relay

    @property
    def era(self) -> int:
        """Era of the store, as far as the revisions of the configuration tell."""
        return era_of(self._known_revisions[Kind.CONFIGURATION])

    async def list(self, kind: Kind) -> Result[Listing[Item], PlatformError]:
        """List all objects of a relayed kind, from a hub or from the store."""
        self._snapshots.begin_read(kind)
        listing = await self._list(kind)
        if not is_successful(listing):
            self._snapshots.drop(kind)
            self._failed_kinds.add(kind)
            return listing
        self._failed_kinds.discard(kind)
        self._listed.set()
        self._listed = trio.Event()
        self._note(kind, listing.unwrap())
        if is_hub(self._mesh):
            changes = self._snapshots.store(
                kind, listing.unwrap().revision, listing.unwrap().encoded
            )
            if changes is not None:
                self._share_changes(kind, changes)
        else:
            self._snapshots.forget(kind)
        self._send_state(True)
        return listing

    async def list_hosts(
        self, region: str, stale_ok: bool = False
    ) -> Result[Listing[Item], PlatformError]:
        """List the entry hosts of a region, from the store."""
        if Kind.HOSTS in self._failed_kinds and not self.is_relay:
            await self._await_retry()
        self._failed_kinds.discard(Kind.HOSTS)
        listing = await self._platform.list_hosts(region, stale_ok)
        if not is_successful(listing):
            self._failed_kinds.add(Kind.HOSTS)
        self._hosts_read.set()
        return listing

    async def _list(self, kind: Kind) -> Result[Listing[Item], PlatformError]:
        await self._role_known.wait()
        if kind in self._failed_kinds:
            if kind is not Kind.CONFIGURATION and Kind.CONFIGURATION in self._failed_kinds:
                # One list shows whether the store answers again.
                await self._await_configuration()
            elif not self.is_relay:
                await self._await_retry()
            elif self._role.reads_store and self._checks.is_failing(trio.current_time()):
                # A refused list costs ten times as much as a check.
                await self._checks.wait_until_answered()
        encoded = None
        if not self._relay_view.is_store_unreachable(trio.current_time()):
            # While relays don't reach the store, only a call of this host shows whether it does.
            encoded = await self._snapshot_requests.request(kind, self._role.reads_store)
        if encoded is not None:
            listing = self._platform.parse_list(kind, encoded)
            if is_successful(listing):
                return listing
            log(Event.OBJECT_UNREADABLE, kind=kind.value, name="", reason=str(listing.failure()))
        if kind is Kind.CONFIGURATION and self._proofs is not None:
            return await self._proofs.list()
        return await self._platform.list(kind)

    async def _find_role(self) -> None:
        """At the start, wait for the host list and, briefly, for a link to a hub."""
        await self._hosts_read.wait()
        with trio.move_on_after(INITIAL_ROLE_DELAY_S):
            while not self._hub_linked:
                await self._relay_update.wait()
        self._relay_view.await_reports(trio.current_time())
        self._role_known.set()

    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        """Wait for changes after a revision, from a relay or from the store."""
        await self._role_known.wait()
        while True:
            consecutive = self._relay_view.changes_after(kind, revision)
            status = self._relay_view.status(kind, revision, trio.current_time())
            if not self._role.reads_store:
                self._update_reliance(kind, status)
                if consecutive:
                    return self._use_relayed(kind, consecutive)
                if status is RelayStatus.CURRENT:
                    await self._wait_for_relay_update()
                    continue
                if status is RelayStatus.BEHIND:
                    reason = "a relay has changes that this host did not get"
                    return Failure(PlatformError(HISTORY_LOST, reason))
                if status is RelayStatus.LOST and kind not in self._outage_reported:
                    self._outage_reported.add(kind)
                    self._snapshots.drop(kind)
                    return Failure(
                        PlatformError(UNANSWERED, "the store does not answer the region's relays")
                    )
            result = await self._watch_store_until_relayed(kind, revision, wait_s)
            if result is not None:
                return result

    async def register_host(self, host: ListedHost) -> Result[None, PlatformError]:
        """Register this host in the platform's list of entry hosts."""
        registered = await self._platform.register_host(host)
        if not is_successful(registered):
            self._hosts_read.set()
        return registered

    async def run(self) -> None:
        """Check the store for the region while this host is a relay, until cancelled."""
        await self._find_role()
        while True:
            await trio.sleep(CHECK_INTERVAL_S * self._rng.uniform(0.9, 1.0))
            if self.is_relay != self._was_relay:
                self._was_relay = self.is_relay
                self._notify()
            if self._was_relay:
                await self._check_store()

    async def prove(self) -> None:
        """Ask the store for a proof of the configuration, if this host has one."""
        revision = self._known_revisions[Kind.CONFIGURATION]
        if self._proofs is not None and revision:
            with trio.move_on_after(CHECK_TIMEOUT_S):
                await self._proofs.prove(revision)

    async def _check_store(self) -> None:
        call = None
        # After a failure, a check at a tenth of the price shows first whether the store answers.
        if self._proofs is not None and self._role.proves and not self._checks.last_failed:
            call = self._proofs.due_call(self._known_revisions[Kind.CONFIGURATION])
        answers = await self._checks.check(call)
        if not answers:
            self._watches.cancel()
        self._send_state(answers)

    async def _watch_store(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        result = await self._watches.watch(kind, revision, wait_s)
        if not is_successful(result):
            self._failed_kinds.add(kind)
            self._snapshots.drop(kind)
        elif result.unwrap().entries:
            self._forward_changes(kind, result.unwrap())
        return result

    async def _watch_store_until_relayed(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError] | None:
        """Watch the store; returns None as soon as the relays report again."""
        results: list[Result[Listing[Item], PlatformError]] = []

        async def watch(scope: trio.CancelScope) -> None:
            results.append(await self._watch_store(kind, revision, wait_s))
            scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            while not self._is_relayed(kind, revision):
                await self._wait_for_relay_update()
            nursery.cancel_scope.cancel()
        return results[0] if results else None

    def _is_relayed(self, kind: Kind, revision: int) -> bool:
        status = self._relay_view.status(kind, revision, trio.current_time())
        return status in (RelayStatus.CURRENT, RelayStatus.BEHIND) and not self._role.reads_store

    async def _wait_for_relay_update(self) -> None:
        """Wait for a relay's message, a change of this host's role, or expiry of all reports."""
        now = trio.current_time()
        until = self._relay_view.reports_expire_at(now)
        with trio.move_on_at(until if until > now else now + CHECK_INTERVAL_S):
            await self._relay_update.wait()

    async def _await_retry(self) -> None:
        """Delay the next call to the store, so that the relays are the first to reach it again."""
        pause_s = STORE_RETRY_S * self._rng.uniform(0.5, 1.0)
        with trio.move_on_after(pause_s):
            while self._relay_view.is_store_unreachable(trio.current_time()):
                await self._wait_for_relay_update()

    async def _await_configuration(self) -> None:
        """Wait until the configuration is listed again, at most `STORE_RETRY_S` seconds."""
        with trio.move_on_after(STORE_RETRY_S):
            while Kind.CONFIGURATION in self._failed_kinds:
                await self._listed.wait()

    def _use_relayed(
        self, kind: Kind, consecutive: Sequence[RelayedChanges]
    ) -> Result[Listing[Item], PlatformError]:
        """Merge consecutive changes from relays, and keep their last revision."""
        merged = merge_relayed(self._platform, kind, consecutive)
        if is_successful(merged):
            self._metrics.count("platform.shared_changes_used", len(consecutive))
            self._note(kind, merged.unwrap())
        return merged

    def _note(self, kind: Kind, listing: Listing[Item]) -> None:
        """Keep the revision of a list or of changes that this host received."""
        self._known_revisions[kind] = listing.revision
        if kind is Kind.CONFIGURATION and self._proofs is not None:
            self._proofs.note(listing)

    def _forward_changes(self, kind: Kind, listing: Listing[Item]) -> None:
        """Send changes from the store to the hosts of the region, if this host is a relay."""
        since = self._known_revisions[kind]
        self._note(kind, listing)
        if is_hub(self._mesh):
            changes = StoreChanges(
                zlib.compress(listing.encoded), relayed_number(kind), since, listing.revision
            )
            self._share_changes(kind, changes)
            self._send_state(True)

    def _share_changes(self, kind: Kind, changes: StoreChanges) -> None:
        """Keep changes for the lists of this hub, and forward them if it is a relay."""
        self._relay_view.add_changes(kind, relayed_changes(changes))
        self._snapshots.merge_if_due(kind)
        if self.is_relay:
            self._send_to_region(changes)
            self._metrics.count("platform.shared_changes_sent")

    def _send_state(self, answers: bool) -> None:
        """If this host is a relay, tell its region whether the store answers, and the revisions."""
        if self.is_relay and all(self._known_revisions.values()):
            answers = answers and self._failed_kinds.isdisjoint(self._known_revisions)
            for revisions in split_revisions(self._known_revisions):
                self._send_to_region(StoreState(answers, revisions))

    def _send_to_region(self, message: Message) -> None:
        for member in self._mesh.members():
            if member.region == self._mesh.region and member.host != self._mesh.host:
                self._mesh.send(member.host, message)

    def _on_hello(self, sender: str, message: Hello) -> None:
        if sender in rank_hosts(RELAY_KEY, self._mesh.members(), self._mesh.region):
            self._hub_linked = True
        self._notify()

    def _on_snapshot_request(self, sender: str, message: SnapshotRequest) -> None:
        if (kind := relayed_kind(message.kind)) is not None:
            self._snapshots.request(sender, kind, self._known_revisions.get(kind, 0))

    def _on_changes(self, sender: str, message: StoreChanges) -> None:
        kind = relayed_kind(message.kind)
        if kind is not None and message.since < message.until:
            self._relay_view.add_changes(kind, relayed_changes(message))
            self._snapshots.merge_if_due(kind)
            self._notify()

    def _on_state(self, sender: str, message: StoreState) -> None:
        if revisions := revisions_by_kind(message.revisions):
            self._relay_view.update_state(sender, message.answers, revisions, trio.current_time())
            self._notify()

    def _update_reliance(self, kind: Kind, status: RelayStatus) -> None:
        if status in (RelayStatus.CURRENT, RelayStatus.BEHIND):
            self._outage_reported.discard(kind)
        self._role.note_status(kind, status)

    def _notify(self) -> None:
        self._relay_update.set()
        self._relay_update = trio.Event()
