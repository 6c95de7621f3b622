"""Follows the platform's lists of targets, configurations and entry hosts."""

import random
from collections.abc import Awaitable, Callable

import trio
from returns.pipeline import is_successful

from dotterelstand.events import Event, log
from dotterelstand.process.discovery.catalogue import Catalogue
from dotterelstand.process.discovery.registry import (
    HISTORY_LOST,
    Configuration,
    Entry,
    Item,
    Kind,
    ObjectLists,
    PlatformError,
    RegisteredTarget,
    era_of,
)
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.overlay import FULL_MESH_HOSTS, choose_hubs
from dotterelstand.version.model import Document

# Delay in seconds before the next call to a platform that doesn't answer; it doubles up to the
# maximum. A host must be up to date 3 s after an outage of the platform, and the grace period of
# lapsed targets takes 2.2 s of that.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.4
# Longest delay in seconds of a host that reads its host list since the store was restored, so that
# not all hosts call at once.
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


class _Backoff:
    """Exponential back-off with jitter between failed calls."""

    __slots__ = ("_pause_s", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause_s = RETRY_MIN_S

    def reset(self) -> None:
        """Restart the back-off after a successful call."""
        self._pause_s = RETRY_MIN_S

    async def sleep(self) -> None:
        """Wait before the next call."""
        await trio.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(RETRY_MAX_S, 2 * self._pause_s)


class ListWatcher:
    """Keeps one list up to date: reads it, watches it, and reads it again after a failed watch.

    `on_list` gets a complete list, `on_changes` gets later changes, and `on_unavailable` is called
    when a list cannot be read. A failed watch alone does not mean that the platform is unavailable:
    the platform may end a watch, and a relay may have lost the platform while this host reaches it.
    """

    __slots__ = (
        "_available",
        "_backoff",
        "_kind",
        "_note_revision",
        "_on_changes",
        "_on_list",
        "_on_unavailable",
        "_platform",
        "_watch_s",
    )

    def __init__(
        self,
        platform: ObjectLists,
        kind: Kind,
        watch_s: float,
        rng: random.Random,
        on_list: Callable[[list[Entry[Item]]], None],
        on_changes: Callable[[list[Entry[Item]]], None],
        on_unavailable: Callable[[], None],
        note_revision: Callable[[int], None] = lambda revision: None,
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._watch_s = watch_s
        self._backoff = _Backoff(rng)
        self._on_list = on_list
        self._on_changes = on_changes
        self._on_unavailable = on_unavailable
        # Gets the revision of a list or of changes before they are applied.
        self._note_revision = note_revision
        self._available = True

    async def run(self) -> None:
        """Keep the list up to date until cancelled."""
        while True:
            listing = await self._platform.list(self._kind)
            if not is_successful(listing):
                self._mark_unavailable(listing.failure())
                await self._backoff.sleep()
                continue
            self._mark_available()
            self._note_revision(listing.unwrap().revision)
            self._on_list(listing.unwrap().entries)
            await self._watch(listing.unwrap().revision)

    async def _watch(self, revision: int) -> None:
        """Watch from a revision until a watch fails; `run` then reads the whole list again."""
        while True:
            changes = await self._platform.watch(self._kind, revision, self._watch_s)
            if not is_successful(changes):
                break
            self._mark_available()
            revision = changes.unwrap().revision
            self._note_revision(revision)
            self._on_changes(changes.unwrap().entries)
        if changes.failure().code == HISTORY_LOST:
            log(Event.HISTORY_LOST, kind=self._kind.value, revision=revision)
        else:
            log(Event.WATCH_FAILED, kind=self._kind.value, error=str(changes.failure()))
            await self._backoff.sleep()

    def _mark_available(self) -> None:
        self._backoff.reset()
        if not self._available:
            self._available = True
            log(Event.PLATFORM_AVAILABLE, kind=self._kind.value)

    def _mark_unavailable(self, error: PlatformError) -> None:
        self._on_unavailable()
        if self._available:
            self._available = False
            log(Event.PLATFORM_UNAVAILABLE, kind=self._kind.value, error=str(error))


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
        "_restored",
        "_rng",
        "_update_hosts",
        "_wait_became_hub",
        "_watch_settings",
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
        self._backoff = _Backoff(rng)
        self._changed = trio.Event()
        # Era of the last revision, -1 before the first.
        self._era = -1
        self._restored = trio.Event()
        self.host_list_attempted = trio.Event()

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
            self._note_revision,
        )
        configuration = ListWatcher(
            self._platform,
            Kind.CONFIGURATION,
            watch_settings.watch_s,
            self._rng,
            self._update_configuration,
            self._update_configuration,
            lambda: None,
            self._note_revision,
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
                listed = await self._list_region(self._own_host().region)
                registered = listed is not None and _is_listed(self._own_host(), listed)
                listed = listed if registered else None
            if not registered:
                registered = is_successful(await self._platform.register_host(self._own_host()))
                if registered:
                    await trio.sleep(self._watch_settings.bootstrap_wait_s)
            hosts = await self._read_hosts(listed) if registered else None
            if hosts is None:
                self.host_list_attempted.set()
                await self._backoff.sleep()
                continue
            self._backoff.reset()
            self._update_hosts(hosts)
            self.host_list_attempted.set()
            interval_s = self._watch_settings.hosts_interval_s * self._rng.uniform(0.8, 1.2)
            # A host that becomes a hub needs the hosts of all regions.
            with trio.move_on_after(interval_s * max(1.0, len(hosts) / FULL_MESH_HOSTS)):
                await self._wait_became_hub()

    def _note_revision(self, revision: int) -> None:
        """Notice by a revision that the store was restored from a copy."""
        if era_of(revision) > self._era:
            if self._era >= 0:
                self._catalogue.mark_restored(trio.current_time())
                self._restored.set()
            self._era = era_of(revision)

    async def _register_again(self) -> None:
        """Register this host when the store was restored from a copy without its registration."""
        backoff = _Backoff(self._rng)
        while True:
            await self._restored.wait()
            self._restored = trio.Event()
            await trio.sleep(RESTORED_DELAY_S * self._rng.random())
            while True:
                listed = await self._list_region(self._own_host().region)
                if listed is not None and _is_listed(self._own_host(), listed):
                    break
                if listed is not None:
                    if is_successful(await self._platform.register_host(self._own_host())):
                        break
                await backoff.sleep()
            backoff.reset()

    async def _read_hosts(self, listed: list[ListedHost] | None) -> list[ListedHost] | None:
        """Entry hosts that this host may need a link to; None if the store did not answer.

        `listed` are the hosts of its region if they have just been read.

        Of a fleet with hubs, only the hubs need the hosts of other regions.
        """
        own = self._own_host()
        hosts = await self._list_region(own.region) if listed is None else listed
        if hosts is None:
            return None
        hubs = choose_hubs([own, *(host for host in hosts if host.host != own.host)])
        if len(hosts) > FULL_MESH_HOSTS and own.host not in hubs:
            return hosts
        for region in self._watch_settings.regions:
            others = await self._list_region(region) if region != own.region else []
            if others is None:
                return None
            hosts += others
        return hosts

    async def _list_region(self, region: str) -> list[ListedHost] | None:
        listing = await self._platform.list_hosts(region)
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
        """Apply the document that results from the last change, and log the changes of targets."""
        self._changed.set()
        self._log_changes()
        document = self._catalogue.document()
        if document is not None:
            self._apply(document)

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
