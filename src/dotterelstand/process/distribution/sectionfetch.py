"""Fetches a document version from a peer: changed manifest entries, then missing sections."""

import trio
from returns.pipeline import is_successful

from dotterelstand.connection.wire import Changes, Fetch, FetchChanges, Manifest, Section
from dotterelstand.events import Event, log
from dotterelstand.process.distribution.sectionserve import MAX_SECTIONS_PER_FETCH
from dotterelstand.process.peering.peers import Peers
from dotterelstand.version.cache import SectionCache
from dotterelstand.version.manifest import ManifestRecord, parse_manifest


class PeerFetcher:
    """Fetches versions from peers, one at a time; ignores late answers to earlier fetches."""

    __slots__ = (
        "_answer",
        "_cache",
        "_damaged",
        "_peers",
        "_pending_digests",
        "_received",
        "_source",
        "_timeout_s",
    )

    def __init__(self, peers: Peers, cache: SectionCache, timeout_s: float) -> None:
        self._peers = peers
        self._cache = cache
        self._timeout_s = timeout_s
        self._source = ""
        self._pending_digests: set[str] = set()
        self._answer: Manifest | Changes | None = None
        self._received = trio.Event()
        self._damaged = False
        peers.subscribe(Manifest, self._receive_answer)
        peers.subscribe(Changes, self._receive_answer)
        peers.subscribe(Section, self._receive_section)

    async def fetch(
        self, source: str, current: ManifestRecord, announced_version: int
    ) -> ManifestRecord | None:
        """Fetch a manifest newer than `current` and its sections; None if the fetch failed.

        `announced_version` is the version that the source announced. All sections of the returned
        manifest are in the cache.
        """
        assert not self._source, "another fetch is running"
        self._source = source
        self._damaged = False
        try:
            record = await self._fetch_manifest(source, current, announced_version)
            if record is None or record.number <= current.number:
                return None
            return record if await self._fetch_sections(source, record) else None
        finally:
            self._source = ""
            self._pending_digests.clear()
            self._answer = None

    async def _fetch_manifest(
        self, source: str, current: ManifestRecord, announced_version: int
    ) -> ManifestRecord | None:
        if current.number and current.number < announced_version:
            answer = await self._request(source, FetchChanges(current.number, announced_version))
            if isinstance(answer, Changes):
                record = self._apply_changes(current, answer)
                if record is not None:
                    return record
            elif answer is not None:
                return self._parse_manifest(answer)
        answer = await self._request(source, Fetch([], announced_version))
        return self._parse_manifest(answer) if isinstance(answer, Manifest) else None

    async def _request(
        self, source: str, message: Fetch | FetchChanges
    ) -> Manifest | Changes | None:
        self._answer = None
        if not self._peers.send(source, message):
            return None
        with trio.move_on_after(self._timeout_s):
            while self._answer is None:
                await self._received.wait()
        return self._answer

    def _apply_changes(self, current: ManifestRecord, answer: Changes) -> ManifestRecord | None:
        """Apply changes to the manifest; None if the result does not have the peer's digest.

        The digests differ, for example, after the removal of a section.
        """
        changes = parse_manifest(answer.body)
        if not is_successful(changes) or answer.since != current.number:
            return None
        record = current.with_changes(changes.unwrap())
        return record if record.digest == answer.digest else None

    def _parse_manifest(self, answer: Manifest) -> ManifestRecord | None:
        record = parse_manifest(answer.body)
        if not is_successful(record) or record.unwrap().number != answer.version:
            log(Event.DOCUMENT_DAMAGED, name="manifest", source=self._source)
            return None
        return record.unwrap()

    async def _fetch_sections(self, source: str, record: ManifestRecord) -> bool:
        digests = list(record.digests().values())
        while missing := self._cache.missing(digests)[:MAX_SECTIONS_PER_FETCH]:
            self._pending_digests = set(missing)
            if not self._peers.send(source, Fetch(missing, record.number)):
                return False
            if not await self._await_sections():
                return False
        return True

    async def _await_sections(self) -> bool:
        """Wait while sections keep arriving; False if none arrived in time or one was damaged."""
        initial = len(self._pending_digests)
        while self._pending_digests and not self._damaged:
            previous = len(self._pending_digests)
            with trio.move_on_after(self._timeout_s):
                await self._received.wait()
            if len(self._pending_digests) == previous:
                break
        return not self._damaged and len(self._pending_digests) < initial

    def _receive_answer(self, host: str, message: Manifest | Changes) -> None:
        if host == self._source:
            self._answer = message
            self._notify()

    def _receive_section(self, host: str, message: Section) -> None:
        if host != self._source or message.digest not in self._pending_digests:
            return
        if self._cache.put(message.digest, message.body):
            self._pending_digests.discard(message.digest)
        else:
            self._damaged = True
            log(Event.DOCUMENT_DAMAGED, name=message.digest, source=host)
        self._notify()

    def _notify(self) -> None:
        self._received.set()
        self._received = trio.Event()
