"""Follows the platform's lists of targets, configurations and entry hosts."""

import random
from collections.abc import Awaitable, Callable

import trio
from returns.pipeline import is_successful

from dotterelstand.events import Event, log
from dotterelstand.process.discovery.catalogue import Catalogue
from dotterelstand.process.discovery.listwatcher import Backoff, ListWatcher
from dotterelstand.process.discovery.registry import (
    Configuration,
    Entry,
    Item,
    Kind,
    ObjectLists,
    RegisteredTarget,
    era_of,
)
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.overlay import FULL_MESH_HOSTS, choose_hubs
from dotterelstand.process.telemetry.invariant import log_fault
from dotterelstand.version.model import Document

# A store may be restored from a copy that is seconds old, so a host that registered longer ago is
# in the copy and need not call the store.
RECENTLY_S = 60.0
# Longest delay in seconds before a recently registered host reads its host list again, so that not
# all hosts call at once.
RESTORED_DELAY_S = 1.0


class WatchSettings:
    """The maximum wait of a watch, and the interval of reads of the host lists of `regions`.

    The first read of the host lists comes `bootstrap_wait_s` after the registration. Durations are
    in seconds.
    """

    __slots__ = ("bootstrap_wait_s", "hosts_interval_s", "regions", "watch_s")

    def __init__(
        self, watch_s: float, hosts_interval_s: float, bootstrap_wait_s: float, regions: list[str]
    ) -> None:
        self.bootstrap_wait_s = bootstrap_wait_s
        self.watch_s = watch_s
        self.hosts_interval_s = hosts_interval_s
        self.regions = regions


class PlatformFeed:
    """Calls `apply` with each new document, and `update_hosts` with each list of entry hosts."""

    __slots__ = (
        "_apply",
        "_backoff",
        "_catalogue",
        "_changed",
        "_era",
        "_own_host",
        "_platform",
        "_registered_s",
        "_restored",
        "_rng",
        "_update_hosts",
        "_wait_became_hub",
        "_watch_settings",
        "has_host_list",
        "host_list_attempted",
    )

    def __init__(
        self,
        platform: ObjectLists,
        catalogue: Catalogue,
        own_host: Callable[[], ListedHost],
        watch_settings: WatchSettings,
        rng: random.Random,
        apply: Callable[[Document], None],
        update_hosts: Callable[[list[ListedHost]], None],
        wait_became_hub: Callable[[], Awaitable[None]],
    ) -> None:
        self._platform = platform
        self._catalogue = catalogue
        self._own_host = own_host
        self._watch_settings = watch_settings
        self._rng = rng
        self._apply = apply
        self._update_hosts = update_hosts
        # Waits until this host becomes a hub.
        self._wait_became_hub = wait_became_hub
        self._backoff = Backoff(rng)
        self._changed = trio.Event()
        # Era of the last revision, -1 before the first.
        self._era = -1
        self._restored = trio.Event()
        # Time at which this host registered or found itself listed.
        self._registered_s = 0.0
        self.host_list_attempted = trio.Event()
        # Whether the list of entry hosts has been read.
        self.has_host_list = False

    async def run(self) -> None:
        """Keep the document and the host list up to date until cancelled."""
        watch_settings = self._watch_settings
        targets = ListWatcher(
            self._platform,
            Kind.TARGETS,
            watch_settings.watch_s,
            self._rng,
            self._replace_targets,
            self._change_targets,
            self._catalogue.mark_platform_unavailable,
            self.note_revision,
        )
        configuration = ListWatcher(
            self._platform,
            Kind.CONFIGURATION,
            watch_settings.watch_s,
            self._rng,
            self._update_configuration,
            self._update_configuration,
            lambda: None,
            self.note_revision,
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(targets.run)
            nursery.start_soon(configuration.run)
            nursery.start_soon(self._follow_hosts)
            nursery.start_soon(self._expire)
            nursery.start_soon(self._register_again)

    async def _follow_hosts(self) -> None:
        """Register this host, then read the host list periodically.

        Of two hosts that start together, at least one finds the other in its first list, since
        each registers before it reads. Hosts that start later open links by themselves, so a large
        fleet reads its list rarely. A host that starts again is still listed and does not register.
        """
        registered = False
        while True:
            listed = None
            if not registered and not self._watch_settings.bootstrap_wait_s:
                listed = await self._list_region(self._own_host().region, stale_ok=True)
                registered = listed is not None and _is_listed(self._own_host(), listed)
                listed = listed if registered else None
            if not registered:
                registered = is_successful(await self._platform.register_host(self._own_host()))
                if registered:
                    await trio.sleep(self._watch_settings.bootstrap_wait_s)
                self._registered_s = trio.current_time()
            # Hosts that start together have to see each other; later, a stale list is enough,
            # since hosts that start open the links themselves.
            stale_ok = self.has_host_list or listed is not None
            hosts = await self._read_hosts(listed, stale_ok) if registered else None
            if hosts is None:
                self.host_list_attempted.set()
                await self._backoff.sleep()
                continue
            self.has_host_list = True
            self._backoff.reset()
            self._update_hosts(hosts)
            self.host_list_attempted.set()
            # The store may have been restored from a copy without this host.
            registered = any(item.host == self._own_host().host for item in hosts)
            interval_s = self._watch_settings.hosts_interval_s * self._rng.uniform(0.8, 1.2)
            # A host that becomes a hub needs the hosts of all regions.
            with trio.move_on_after(interval_s * max(1.0, len(hosts) / FULL_MESH_HOSTS)):
                await self._wait_became_hub()

    def note_revision(self, revision: int) -> None:
        """Notice by a revision that the store was restored from a copy."""
        if era_of(revision) > self._era:
            if self._era >= 0:
                self._catalogue.mark_store_restored(trio.current_time())
                self._restored.set()
            self._era = era_of(revision)

    async def _register_again(self) -> None:
        """Register this host when the store was restored from a copy without its registration."""
        backoff = Backoff(self._rng)
        while True:
            await self._restored.wait()
            self._restored = trio.Event()
            if trio.current_time() - self._registered_s > RECENTLY_S:
                continue
            await trio.sleep(RESTORED_DELAY_S * self._rng.random())
            while True:
                listed = await self._list_region(self._own_host().region, stale_ok=False)
                if listed is not None and _is_listed(self._own_host(), listed):
                    break
                if listed is not None:
                    if is_successful(await self._platform.register_host(self._own_host())):
                        break
                await backoff.sleep()
            backoff.reset()

    async def _read_hosts(
        self, listed: list[ListedHost] | None, stale_ok: bool
    ) -> list[ListedHost] | None:
        """Entry hosts that this host may need a link to; None if the store did not answer.

        `listed` are the hosts of its region if they have just been read.

        Of a fleet with hubs, only the hubs need the hosts of other regions.
        """
        own = self._own_host()
        hosts = await self._list_region(own.region, stale_ok) if listed is None else listed
        if hosts is None:
            return None
        hubs = choose_hubs([own, *(host for host in hosts if host.host != own.host)])
        if len(hosts) > FULL_MESH_HOSTS and own.host not in hubs:
            return hosts
        for region in self._watch_settings.regions:
            others = await self._list_region(region, stale_ok) if region != own.region else []
            if others is None:
                return None
            hosts += others
        return hosts

    async def _list_region(self, region: str, stale_ok: bool) -> list[ListedHost] | None:
        listing = await self._platform.list_hosts(region, stale_ok)
        if not is_successful(listing):
            return None
        entries = listing.unwrap().entries
        return [entry.item for entry in entries if isinstance(entry.item, ListedHost)]

    def _replace_targets(self, entries: list[Entry[Item]]) -> None:
        now = trio.current_time()
        self._catalogue.mark_platform_available(now)
        self._catalogue.replace_targets(_target_entries(entries), now)
        self.publish()

    def _change_targets(self, entries: list[Entry[Item]]) -> None:
        now = trio.current_time()
        self._catalogue.mark_platform_available(now)
        if entries:
            self._catalogue.change_targets(_target_entries(entries), now)
            self.publish()

    def _update_configuration(self, entries: list[Entry[Item]]) -> None:
        for entry in entries:
            if isinstance(entry.item, Configuration):
                if self._catalogue.update_configuration(entry.item):
                    log(Event.DOCUMENT_APPLIED, number=entry.item.number)
                    self.publish()
                elif entry.item.number < self._catalogue.number:
                    log(Event.DOCUMENT_OLDER, number=entry.item.number)

    def publish(self) -> None:
        """Apply the document that results from the last change, and log the changes of targets.

        An unexpected error is logged, and leaves the daemon with what was applied until the next
        change: restarts would meet the same objects again.
        """
        self._changed.set()
        self._log_changes()
        try:
            document = self._catalogue.document()
            if document is not None:
                self._apply(document)
        except Exception as error:
            log_fault("document", [error], number=self._catalogue.number)

    def _log_changes(self) -> None:
        while self._catalogue.changes:
            change = self._catalogue.changes.popleft()
            log(
                Event.TARGET_CHANGED,
                target=change.target.name,
                service=change.target.service,
                address=f"{change.target.address}:{change.target.port}",
                zone=change.target.availability_zone,
                started_ms=change.target.started_ms,
                change=change.kind.value,
            )

    async def _expire(self) -> None:
        while True:
            self._changed = trio.Event()
            expires_at = self._catalogue.next_expiry()
            with trio.move_on_at(float("inf") if expires_at is None else expires_at):
                await self._changed.wait()
            if self._catalogue.expire(trio.current_time()):
                self.publish()


def _is_listed(own: ListedHost, hosts: list[ListedHost]) -> bool:
    """Whether the list has this host as it would register itself."""
    return any(
        (item.address, item.port, item.availability_zone, item.capacity)
        == (own.address, own.port, own.availability_zone, own.capacity)
        for item in hosts
        if item.host == own.host
    )


def _target_entries(entries: list[Entry[Item]]) -> list[Entry[RegisteredTarget]]:
    return [
        Entry(
            entry.name,
            entry.item if isinstance(entry.item, RegisteredTarget) else None,
            entry.removed,
        )
        for entry in entries
    ]
