"""Answers peers' requests for the manifest and the sections in force."""

from collections.abc import Callable

from dotterelstand.connection.wire import Changes, Fetch, FetchChanges, Manifest, Section
from dotterelstand.process.peering.peers import Peers
from dotterelstand.version.cache import SectionCache
from dotterelstand.version.manifest import ManifestRecord

# Maximum number of sections answered per request; the peer asks for the rest in further requests.
MAX_SECTIONS_PER_FETCH = 32


class SectionServer:
    """Serves the manifest and sections of the version in force on this host."""

    __slots__ = ("_cache", "_peers", "_record")

    def __init__(
        self, peers: Peers, cache: SectionCache, record: Callable[[], ManifestRecord]
    ) -> None:
        self._peers = peers
        self._cache = cache
        self._record = record
        peers.subscribe(Fetch, self._serve)
        peers.subscribe(FetchChanges, self._serve_changes)

    def _serve(self, host: str, message: Fetch) -> None:
        if not message.digests:
            self._send_manifest(host)
        for digest in message.digests[:MAX_SECTIONS_PER_FETCH]:
            body = self._cache.body(digest)
            if body is not None and not self._peers.send(host, Section(body.encode(), digest)):
                return

    def _serve_changes(self, host: str, message: FetchChanges) -> None:
        record = self._record()
        if not 0 < message.since < record.number:
            self._send_manifest(host)
            return
        changes = record.changes_since(message.since)
        self._peers.send(host, Changes(changes.body, record.digest, message.since, record.number))

    def _send_manifest(self, host: str) -> None:
        record = self._record()
        if record.number:
            self._peers.send(host, Manifest(record.body, record.number))
