"""Keeps the document current: watches the store, fetches, applies and announces versions."""

import random
from collections.abc import Callable, Generator
from typing import TypeVar

import trio
from returns.pipeline import is_successful

from dotterelstand.connection.wire import Announce, Beat
from dotterelstand.events import Event, log
from dotterelstand.process.distribution.sectionfetch import PeerFetcher
from dotterelstand.process.distribution.sectionserve import SectionServer
from dotterelstand.process.peering.peers import Peers
from dotterelstand.process.peering.ranking import rank_hosts
from dotterelstand.process.storage.store import MISSING, UNCHANGED, StoreClient, StoreValue
from dotterelstand.settings import Settings
from dotterelstand.version.accept import MANIFEST_NAME, section_object_name
from dotterelstand.version.active import ActiveVersion
from dotterelstand.version.cache import SectionCache
from dotterelstand.version.manifest import EMPTY_MANIFEST, ManifestRecord, parse_manifest
from dotterelstand.version.model import Document, DocumentError

T = TypeVar("T")

# Interval in seconds at which a host checks whether it has to watch the manifest.
ROLE_CHECK_INTERVAL_S = 0.5
# Seconds that a starting host has to open links and receive heartbeats before the first role check.
INITIAL_ROLE_DELAY_S = 0.3
# Bounds in seconds of the pause after a failed call to the store. A version accepted just after an
# outage of the store must be in force within 3 s.
MIN_PAUSE_S = 0.2
MAX_PAUSE_S = 1.0
# Maximum rate at which a watcher reads manifests, unless the pause that results from it exceeds
# `MAX_WATCH_PAUSE_S`. The pause is 0.1 s for a manifest of 30 sections, and the maximum for one of
# 3,000. A version with 3,000 sections must be in force within 14 s; the maximum pause leaves enough
# of that time for the other steps.
WATCH_BYTES_PER_S = 50_000
MAX_WATCH_PAUSE_S = 8.0
# Seconds for which other peers are preferred to a peer that failed to serve a version.
FAILED_SOURCE_PENALTY_S = 2.0


class DocumentDistributor:
    """Keeps the newest document version in force, and calls `apply(document)` for each."""

    __slots__ = (
        "_active_version",
        "_announced",
        "_apply",
        "_apply_lock",
        "_cache",
        "_evictions",
        "_failed_sources",
        "_fetcher",
        "_last_rejected",
        "_newer_version",
        "_peer_versions",
        "_peer_wait_s",
        "_peers",
        "_record",
        "_rng",
        "_store",
        "_store_version",
        "_watch_wait_s",
        "_watchers_per_region",
    )

    def __init__(
        self,
        settings: Settings,
        store: StoreClient,
        peers: Peers,
        rng: random.Random,
        apply: Callable[[Document], None],
    ) -> None:
        self._store = store
        self._peers = peers
        self._rng = rng
        self._apply = apply
        self._watchers_per_region = settings.integer("document", "watchers_per_region")
        self._watch_wait_s = settings.number("store", "watch_wait_s")
        self._peer_wait_s = settings.number("document", "peer_wait_s")
        self._cache = SectionCache(
            settings.integer("document", "max_cached_sections"),
            settings.integer("document", "max_cached_bytes"),
        )
        self._active_version = ActiveVersion()
        self._apply_lock = trio.Lock()
        self._record = EMPTY_MANIFEST
        self._store_version = 0
        self._last_rejected = 0
        self._peer_versions: dict[str, int] = {}
        self._announced = (0, "")
        self._failed_sources: dict[str, float] = {}
        self._newer_version = trio.Event()
        self._evictions = 0
        timeout_s = settings.number("document", "fetch_timeout_s")
        self._fetcher = PeerFetcher(peers, self._cache, timeout_s)
        SectionServer(peers, self._cache, lambda: self._record)
        peers.subscribe(Announce, self._record_announcement)
        peers.subscribe(Beat, lambda host, message: self._record_version(host, message.version))

    @property
    def number(self) -> int:
        """Number of the version in force, 0 before the first."""
        return self._active_version.number

    @property
    def cache(self) -> SectionCache:
        """Cache of section bodies, also used when edits are accepted on this host."""
        return self._cache

    @property
    def manifest(self) -> ManifestRecord:
        """Manifest of the version in force."""
        return self._record

    def status(self) -> dict[str, object]:
        """Version in force, last rejected version (0 if none); whether this host is a watcher."""
        return {
            "version": self.number,
            "digest": self._record.digest if self.number else "",
            "rejected": self._last_rejected,
            "watching": self.is_watcher(),
        }

    def is_watcher(self) -> bool:
        """Whether this host watches the manifest for its region."""
        ranked = rank_hosts(MANIFEST_NAME, self._peers.members(), self._peers.region)
        return self._peers.host in ranked[: self._watchers_per_region]

    async def run(self) -> None:
        """Keep the newest document version in force until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_peers)
            nursery.start_soon(self._watch)
            nursery.start_soon(self._load_initial_version)

    def _record_announcement(self, host: str, message: Announce) -> None:
        if message.version > self._announced[0]:
            self._announced = (message.version, message.digest)
        self._record_version(host, message.version)

    def _record_version(self, host: str, version: int) -> None:
        """Record the version of a peer."""
        self._peer_versions[host] = version
        if version > max(self.number, self._last_rejected):
            self._newer_version.set()

    def _live_peer_versions(self) -> dict[str, int]:
        live = {member.host for member in self._peers.members()}
        self._peer_versions = {
            host: number for host, number in self._peer_versions.items() if host in live
        }
        return self._peer_versions

    async def _load_initial_version(self) -> None:
        """Read the store if no peer provides a version within `document.peer_wait_s` seconds."""
        await trio.sleep(self._peer_wait_s)
        pause_s = MIN_PAUSE_S
        while self.number == 0:
            await self._read_store()
            await trio.sleep(self._rng.uniform(pause_s / 2, pause_s))
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)

    async def _watch(self) -> None:
        await trio.sleep(INITIAL_ROLE_DELAY_S)
        pause_s = MIN_PAUSE_S
        while True:
            if not self.is_watcher():
                await trio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            result = await self._store.watch(MANIFEST_NAME, self._store_version, self._watch_wait_s)
            if is_successful(result) and await self._apply_stored(result.unwrap()):
                self._store_version = result.unwrap().version
                pause_s = MIN_PAUSE_S
                await trio.sleep(watch_pause_s(len(result.unwrap().body)))
            elif not is_successful(result) and result.failure().code == UNCHANGED:
                await self._detect_store_rollback()
                pause_s = MIN_PAUSE_S
            else:
                await trio.sleep(self._rng.uniform(pause_s / 2, pause_s))
                pause_s = min(MAX_PAUSE_S, 2 * pause_s)
                # A read can serve as the probe that closes the circuit breaker; a watch cannot.
                await self._read_store()

    async def _detect_store_rollback(self) -> None:
        """Restart the watch if the store was reset to an older version; a watch doesn't report it.

        A list call returns a few bytes, while a manifest of 3,000 sections takes 430 KB.
        """
        listed = await self._store.list(MANIFEST_NAME)
        if is_successful(listed) and any(
            name == MANIFEST_NAME and version < self._store_version
            for name, version in listed.unwrap()
        ):
            self._store_version = 0

    async def _read_store(self) -> bool:
        result = await self._store.read(MANIFEST_NAME)
        if is_successful(result):
            return await self._apply_stored(result.unwrap())
        if result.failure().code != MISSING and self.number == 0:
            log(Event.DOCUMENT_UNAVAILABLE, number=0, reason=str(result.failure()))
        return False

    async def _apply_stored(self, value: StoreValue) -> bool:
        """Apply a manifest from the store; False if it or a section could not be read."""
        parsed = parse_manifest(value.body)
        if not is_successful(parsed):
            log(Event.DOCUMENT_DAMAGED, name=MANIFEST_NAME, source="store", reason=parsed.failure())
            return False
        record = parsed.unwrap()
        if record.number <= max(self.number, self._last_rejected):
            if record.number < self.number:
                log(Event.DOCUMENT_OLDER, number=record.number, in_force=self.number)
            return True
        self._peers.metrics.count("document.store_fetches")
        digests = list(record.digests().values())
        # Check before each read, since peers may deliver the sections or a newer version meanwhile.
        while record.number > self.number and (missing := self._cache.missing(digests)):
            if not await self._read_section(record, missing[0]):
                return False
        if await self._apply_record(record):
            self._announce()
        return True

    async def _read_section(self, record: ManifestRecord, digest: str) -> bool:
        result = await self._store.read(section_object_name(digest))
        if not is_successful(result):
            reason = str(result.failure())
            log(Event.DOCUMENT_UNAVAILABLE, number=record.number, reason=reason)
            return False
        if not self._cache.put(digest, result.unwrap().body):
            log(Event.DOCUMENT_DAMAGED, name=section_object_name(digest), source="store")
            return False
        return True

    async def _follow_peers(self) -> None:
        while True:
            self._newer_version = trio.Event()
            source = self._choose_source()
            if source is None:
                await self._newer_version.wait()
                continue
            announced_version = self._peer_versions[source]
            record = await self._fetcher.fetch(source, self._record, announced_version)
            if record is not None and not self._matches_announced_digest(record, source):
                record = None
            if record is None:
                self._failed_sources[source] = trio.current_time() + FAILED_SOURCE_PENALTY_S
                await self._handle_failed_fetch(announced_version)
            else:
                self._peers.metrics.count("document.peer_fetches")
                if await self._apply_record(record) and self._peers.is_overlay:
                    self._announce()

    def _matches_announced_digest(self, record: ManifestRecord, source: str) -> bool:
        number, digest = self._announced
        if record.number != number or record.digest == digest:
            return True
        log(Event.DOCUMENT_DAMAGED, name=f"manifest {number}", source=source)
        return False

    async def _handle_failed_fetch(self, announced_version: int) -> None:
        source = self._choose_source()
        if source is not None and source not in self._failed_sources:
            return
        log(Event.DOCUMENT_UNAVAILABLE, number=announced_version, reason="no peer could serve it")
        await self._read_store()
        await trio.sleep(self._rng.uniform(MIN_PAUSE_S, MIN_PAUSE_S * 2))

    def _choose_source(self) -> str | None:
        """Linked peer with a newer version, or None.

        Prefers peers without a recent failure, then peers of this region, then the newest version;
        ties are broken at random.
        """
        now = trio.current_time()
        self._failed_sources = {
            host: until for host, until in self._failed_sources.items() if until > now
        }
        newest = max(self.number, self._last_rejected)
        linked = set(self._peers.linked())
        sources = [
            host
            for host, number in sorted(self._live_peer_versions().items())
            if number > newest and host in linked
        ]
        self._rng.shuffle(sources)
        return min(sources, key=self._source_rank, default=None)

    def _source_rank(self, host: str) -> tuple[bool, bool, int]:
        near = self._peers.region_of(host) == self._peers.region
        return (host in self._failed_sources, not near, -self._peer_versions[host])

    async def _apply_record(self, record: ManifestRecord) -> bool:
        """Apply a version whose sections are all cached; False if it may not be applied."""
        async with self._apply_lock:
            if not self._may_apply(record) or self._cache.missing(record.digests().values()):
                return False
            steps = self._cache.build_in_steps(record)
            document = await _run_in_steps(steps)
            if not is_successful(document):
                self._reject(record, document.failure())
                return False
            self._active_version.advance(record.number)
            self._record = record
            self._peers.document_version = record.number
            self._apply(document.unwrap())
            self._cache.evict_unused(record.digests())
            self._count_applied()
            log(Event.DOCUMENT_APPLIED, number=record.number)
            return True

    def _may_apply(self, record: ManifestRecord) -> bool:
        if record.number <= max(self.number, self._last_rejected):
            return False
        newest_offered = max(self._live_peer_versions().values(), default=0)
        if self.number == 0 and record.number < newest_offered:
            # A starting host must not serve an older version than callers have already seen.
            log(Event.DOCUMENT_OLDER, number=record.number, in_force=newest_offered)
            return False
        return True

    def _reject(self, record: ManifestRecord, errors: list[DocumentError]) -> None:
        self._last_rejected = record.number
        self._peers.metrics.count("document.rejected")
        texts = [str(error) for error in errors]
        log(Event.DOCUMENT_REJECTED, number=record.number, errors=texts)

    def _count_applied(self) -> None:
        self._peers.metrics.count("document.applied")
        evictions, self._evictions = self._cache.evictions - self._evictions, self._cache.evictions
        self._peers.metrics.count("document.cache_evictions", evictions)

    def _announce(self) -> None:
        """Announce the version to linked hosts of the region; each region has its own watchers."""
        message = Announce(self._record.digest, self._record.number)
        for host in self._peers.linked():
            if self._peers.region_of(host) == self._peers.region:
                self._peers.send(host, message)


def watch_pause_s(manifest_bytes: int) -> float:
    """Seconds to pause after an answer to a watch, so that large manifests are read less often."""
    return min(MAX_WATCH_PAUSE_S, manifest_bytes / WATCH_BYTES_PER_S)


async def _run_in_steps(steps: Generator[None, None, T]) -> T:
    """Run a computation and yield to other tasks after each step."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        await trio.lowlevel.checkpoint()
