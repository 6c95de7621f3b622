"""Keeps the accepted document in force on this host: watch, announce, fetch, apply."""

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

# A host decides at this interval whether it has to watch the manifest.
ROLE_INTERVAL_S = 0.5
# Time in which links and heartbeats reach a starting host before it decides for the first time.
FIRST_LOOK_S = 0.3
MIN_PAUSE_S = 0.2
# A version accepted just after the store returns must be in force within 3 s.
MAX_PAUSE_S = 1.0
# Bytes a second that a watcher reads at most, but for the limit on the pause. A manifest of 30
# sections pauses the watch for 0.1 s; one of 3,000 reaches the limit, which leaves time for the
# rest of the 14 s in which a version must be in force at that size.
WATCH_BYTES_PER_S = 50_000
MAX_WATCH_PAUSE_S = 8.0
# Time for which a peer that failed to serve a version is asked last.
AVOID_S = 2.0


class DocumentSpread:
    """Calls `apply(document)` whenever a newer version is in force."""

    __slots__ = (
        "_announced",
        "_apply",
        "_applying",
        "_avoid",
        "_cache",
        "_evictions",
        "_fetcher",
        "_gate",
        "_news",
        "_offers",
        "_peer_wait_s",
        "_peers",
        "_record",
        "_rejected",
        "_rng",
        "_store",
        "_store_version",
        "_watch_wait_s",
        "_watchers",
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
        self._watchers = settings.integer("document", "watchers_per_region")
        self._watch_wait_s = settings.number("store", "watch_wait_s")
        self._peer_wait_s = settings.number("document", "peer_wait_s")
        self._cache = SectionCache(
            settings.integer("document", "max_cached_sections"),
            settings.integer("document", "max_cached_bytes"),
        )
        self._gate = ActiveVersion()
        self._applying = trio.Lock()
        self._record = EMPTY_MANIFEST
        self._store_version = 0
        self._rejected = 0
        self._offers: dict[str, int] = {}
        self._announced = (0, "")
        self._avoid: dict[str, float] = {}
        self._news = trio.Event()
        self._evictions = 0
        timeout_s = settings.number("document", "fetch_timeout_s")
        self._fetcher = PeerFetcher(peers, self._cache, timeout_s)
        SectionServer(peers, self._cache, lambda: self._record)
        peers.subscribe(Announce, self._note_announcement)
        peers.subscribe(Beat, lambda host, message: self._note(host, message.version))

    @property
    def number(self) -> int:
        """Number of the version in force, 0 before the first."""
        return self._gate.number

    @property
    def cache(self) -> SectionCache:
        """Bodies of the sections, for the acceptance of changes."""
        return self._cache

    @property
    def manifest(self) -> ManifestRecord:
        """Manifest of the version in force."""
        return self._record

    def status(self) -> dict[str, object]:
        """Version in force, the last one refused (0 if none), and the role."""
        return {
            "version": self.number,
            "digest": self._record.digest if self.number else "",
            "rejected": self._rejected,
            "watching": self.is_watcher(),
        }

    def is_watcher(self) -> bool:
        """Whether this host is one of those that watch the manifest for its region."""
        ranked = rank_hosts(MANIFEST_NAME, self._peers.members(), self._peers.region)
        return self._peers.host in ranked[: self._watchers]

    async def run(self) -> None:
        """Follow the document until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow_peers)
            nursery.start_soon(self._watch)
            nursery.start_soon(self._start)

    def _note_announcement(self, host: str, message: Announce) -> None:
        if message.version > self._announced[0]:
            self._announced = (message.version, message.digest)
        self._note(host, message.version)

    def _note(self, host: str, version: int) -> None:
        """Remember which version a peer has."""
        self._offers[host] = version
        if version > max(self.number, self._rejected):
            self._news.set()

    def _live_offers(self) -> dict[str, int]:
        live = {member.host for member in self._peers.members()}
        self._offers = {host: number for host, number in self._offers.items() if host in live}
        return self._offers

    async def _start(self) -> None:
        """Read the store if no peer gives a version within the usual time."""
        await trio.sleep(self._peer_wait_s)
        pause_s = MIN_PAUSE_S
        while self.number == 0:
            await self._read_store()
            await trio.sleep(self._rng.uniform(pause_s / 2, pause_s))
            pause_s = min(MAX_PAUSE_S, 2 * pause_s)

    async def _watch(self) -> None:
        await trio.sleep(FIRST_LOOK_S)
        pause_s = MIN_PAUSE_S
        while True:
            if not self.is_watcher():
                await trio.sleep(ROLE_INTERVAL_S)
                continue
            result = await self._store.watch(MANIFEST_NAME, self._store_version, self._watch_wait_s)
            if is_successful(result) and await self._take_stored(result.unwrap()):
                self._store_version = result.unwrap().version
                pause_s = MIN_PAUSE_S
                await trio.sleep(watch_pause_s(len(result.unwrap().body)))
            elif not is_successful(result) and result.failure().code == UNCHANGED:
                await self._notice_setback()
                pause_s = MIN_PAUSE_S
            else:
                await trio.sleep(self._rng.uniform(pause_s / 2, pause_s))
                pause_s = min(MAX_PAUSE_S, 2 * pause_s)
                # Unlike a watch, a read may probe whether the store is back.
                await self._read_store()

    async def _notice_setback(self) -> None:
        """Follow a store that was set back to a smaller version, which no watch reports.

        The list costs a few bytes, while the manifest of 3,000 sections takes 430 KB.
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
            return await self._take_stored(result.unwrap())
        if result.failure().code != MISSING and self.number == 0:
            log(Event.DOCUMENT_UNAVAILABLE, number=0, reason=str(result.failure()))
        return False

    async def _take_stored(self, value: StoreValue) -> bool:
        """Apply a manifest of the store; False if it or a section could not be read."""
        parsed = parse_manifest(value.body)
        if not is_successful(parsed):
            log(Event.DOCUMENT_DAMAGED, name=MANIFEST_NAME, source="store", reason=parsed.failure())
            return False
        record = parsed.unwrap()
        if record.number <= max(self.number, self._rejected):
            if record.number < self.number:
                log(Event.DOCUMENT_OLDER, number=record.number, in_force=self.number)
            return True
        self._peers.metrics.count("document.store_fetches")
        digests = list(record.digests().values())
        # Peers may deliver the same sections, or a newer version, at the same time.
        while record.number > self.number and (missing := self._cache.missing(digests)):
            if not await self._read_section(record, missing[0]):
                return False
        if await self._put_in_force(record):
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
            self._news = trio.Event()
            source = self._choose_source()
            if source is None:
                await self._news.wait()
                continue
            wanted = self._offers[source]
            record = await self._fetcher.fetch(source, self._record, wanted)
            if record is not None and not self._has_announced_digest(record, source):
                record = None
            if record is None:
                self._avoid[source] = trio.current_time() + AVOID_S
                await self._after_failed_fetch(wanted)
            else:
                self._peers.metrics.count("document.peer_fetches")
                if await self._put_in_force(record) and self._peers.is_overlay:
                    self._announce()

    def _has_announced_digest(self, record: ManifestRecord, source: str) -> bool:
        number, digest = self._announced
        if record.number != number or record.digest == digest:
            return True
        log(Event.DOCUMENT_DAMAGED, name=f"manifest {number}", source=source)
        return False

    async def _after_failed_fetch(self, wanted: int) -> None:
        source = self._choose_source()
        if source is not None and source not in self._avoid:
            return
        log(Event.DOCUMENT_UNAVAILABLE, number=wanted, reason="no peer could serve it")
        await self._read_store()
        await trio.sleep(self._rng.uniform(MIN_PAUSE_S, MIN_PAUSE_S * 2))

    def _choose_source(self) -> str | None:
        """Linked peer with a newer version: not failed lately, near, newest, then by chance."""
        now = trio.current_time()
        self._avoid = {host: until for host, until in self._avoid.items() if until > now}
        newest = max(self.number, self._rejected)
        linked = set(self._peers.linked())
        sources = [
            host
            for host, number in sorted(self._live_offers().items())
            if number > newest and host in linked
        ]
        self._rng.shuffle(sources)
        return min(sources, key=self._rank, default=None)

    def _rank(self, host: str) -> tuple[bool, bool, int]:
        near = self._peers.region_of(host) == self._peers.region
        return (host in self._avoid, not near, -self._offers[host])

    async def _put_in_force(self, record: ManifestRecord) -> bool:
        """Apply a version whose sections are all held; False if it may not be applied."""
        async with self._applying:
            if not self._may_apply(record) or self._cache.missing(record.digests().values()):
                return False
            steps = self._cache.build_in_steps(record)
            document = await _run_slowly(steps)
            if not is_successful(document):
                self._reject(record, document.failure())
                return False
            self._gate.advance(record.number)
            self._record = record
            self._peers.version = record.number
            self._apply(document.unwrap())
            self._cache.evict_unused(record.digests())
            self._count_applied()
            log(Event.DOCUMENT_APPLIED, number=record.number)
            return True

    def _may_apply(self, record: ManifestRecord) -> bool:
        if record.number <= max(self.number, self._rejected):
            return False
        offers = max(self._live_offers().values(), default=0)
        if self.number == 0 and record.number < offers:
            # A starting host must not run an older version than the callers have already seen.
            log(Event.DOCUMENT_OLDER, number=record.number, in_force=offers)
            return False
        return True

    def _reject(self, record: ManifestRecord, errors: list[DocumentError]) -> None:
        self._rejected = record.number
        self._peers.metrics.count("document.rejected")
        texts = [str(error) for error in errors]
        log(Event.DOCUMENT_REJECTED, number=record.number, errors=texts)

    def _count_applied(self) -> None:
        self._peers.metrics.count("document.applied")
        evictions, self._evictions = self._cache.evictions - self._evictions, self._cache.evictions
        self._peers.metrics.count("document.cache_evictions", evictions)

    def _announce(self) -> None:
        """Tell the region; the other regions have watchers of their own, and heartbeats."""
        message = Announce(self._record.digest, self._record.number)
        for host in self._peers.linked():
            if self._peers.region_of(host) == self._peers.region:
                self._peers.send(host, message)


def watch_pause_s(manifest_bytes: int) -> float:
    """Seconds between two answers of a watch, so that a large manifest is not read all the time."""
    return min(MAX_WATCH_PAUSE_S, manifest_bytes / WATCH_BYTES_PER_S)


async def _run_slowly(steps: Generator[None, None, T]) -> T:
    """Run a computation with a pause after each step."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
        await trio.lowlevel.checkpoint()
