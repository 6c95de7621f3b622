"""Client of the platform's metadata store."""

import json
from collections.abc import Sequence
from typing import Any
from urllib.parse import quote

import h11
import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.connection.network import Network
from dotterelstand.events import Event, log
from dotterelstand.platform.decode import encode_host, parse_configuration, parse_host, parse_target
from dotterelstand.platform.era import ERA_HEADER, StoreEra, remove_era
from dotterelstand.platform.jsontext import decode_json
from dotterelstand.platform.lists import diff_lists, merge_changes
from dotterelstand.platform.redact import hide_keys
from dotterelstand.process.discovery.registry import (
    EXISTS,
    HISTORY_LOST,
    MISSING,
    REFUSED,
    UNANSWERED,
    UNREADABLE,
    Entry,
    Evacuation,
    Item,
    Kind,
    Listing,
    PlatformError,
    era_of,
)
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.storage.storeconnection import (
    StoreAnswer,
    StoreConnection,
    StoreConnections,
)

OBJECTS_PATH = "/dotterelstand/objects"
CONFIGURATION_NAME = "main"
# Name of an object that never exists. Reading it returns the smallest possible response.
ABSENT_NAME = "check"
# Names of the object kinds in the store that the platform defines.
KIND_NAMES = {
    Kind.CONFIGURATION: "config",
    Kind.TARGETS: "servers",
    Kind.EVACUATIONS: "evacuations",
}
# Beginning of the names of dotterelstand's own kinds: one for the entry hosts of each region, since
# most hosts need only those of their region.
HOSTS_KIND_PREFIX = "dotterelstand-hosts-"
# The store ends a watch without changes after at most this time.
MAX_WATCH_MS = 30_000
# Maximum number of pages of a listing; the store returns about 500 objects per page.
MAX_PAGES = 200
# Errors of JSON that is malformed, too deep, or has other fields or numbers than expected.
DECODE_ERRORS = (KeyError, IndexError, TypeError, ValueError, OverflowError, RecursionError)


class PlatformClient:
    """Implements `Platform` over HTTP; each watch uses a separate connection."""

    __slots__ = ("_connections", "_era", "_open_watches", "_timeout_s", "calls")

    def __init__(self, address: str, port: int, network: Network, timeout_s: float) -> None:
        self._connections = StoreConnections(address, port, network, len(Kind) + 1)
        self._timeout_s = timeout_s
        self._era = StoreEra()
        self._open_watches: set[trio.CancelScope] = set()
        self.calls = 0

    async def list(self, kind: Kind) -> Result[Listing[Item], PlatformError]:
        """List all objects of a kind, with the revision of the first page."""
        return await self._list(kind, KIND_NAMES[kind])

    async def list_hosts(
        self, region: str, stale_ok: bool = False
    ) -> Result[Listing[Item], PlatformError]:
        """List the entry hosts of a region; a list that may be stale costs a tenth."""
        return await self._list(Kind.HOSTS, _hosts_kind(region), stale_ok)

    async def _list(
        self, kind: Kind, collection: str, stale_ok: bool = False
    ) -> Result[Listing[Item], PlatformError]:
        items: list[Any] = []
        last_name, revision, era = "", 0, -1
        for _ in range(MAX_PAGES):
            options = ["staleOk=1"] if stale_ok else []
            if last_name:
                options.append(f"after={last_name}")
            query = "?" + "&".join(options) if options else ""
            path = f"{OBJECTS_PATH}/{collection}{query}"
            answer = await self._call("GET", path, None, self._timeout_s)
            page = answer.bind(lambda response: _parse_body(response.body))
            if not is_successful(page):
                return Failure(page.failure())
            try:
                body = page.unwrap()
                items += list(body["items"])
                # The listing may miss changes that are made while its pages are read. A watch
                # from the revision of the first page reports them.
                if era not in (-1, self._era.current):
                    return Failure(_lost_history("the store was restored between two pages"))
                era = self._era.current
                revision = revision or self._era.add_to(int(body["currentRev"]))
                if not body["hasMore"]:
                    hidden = kind is Kind.CONFIGURATION and _hide_keys(items)
                    if not era and not hidden and len(items) == len(body["items"]):
                        return _build_listing(kind, items, revision, answer.unwrap().body)
                    whole = json.dumps({"items": items, "currentRev": revision})
                    return _build_listing(kind, items, revision, whole.encode())
                last_name = quote(str(items[-1]["metadata"]["name"]), safe="")
            except DECODE_ERRORS as error:
                return Failure(PlatformError(UNREADABLE, repr(error)))
        return Failure(PlatformError(UNREADABLE, f"more than {MAX_PAGES} pages"))

    def parse_list(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        """Parse a complete list that another entry host received from `list`."""
        read = _parse_body(encoded)
        if not is_successful(read):
            return Failure(read.failure())
        try:
            body = read.unwrap()
            revision = int(body["currentRev"])
            if era_of(revision) < self._era.current:
                return Failure(_lost_history("a list of an earlier era of the store"))
            self._adopt_era(revision)
            return _build_listing(kind, list(body["items"]), revision, encoded)
        except DECODE_ERRORS as error:
            return Failure(PlatformError(UNREADABLE, repr(error)))

    def merge_changes(
        self, encoded_list: bytes, changes: Sequence[bytes], revision: int
    ) -> Result[bytes, PlatformError]:
        """Apply the responses of watches to the response of a list call."""
        try:
            return Success(merge_changes(encoded_list, changes, revision))
        except DECODE_ERRORS as error:
            return Failure(PlatformError(UNREADABLE, repr(error)))

    def diff_lists(self, old: bytes, new: bytes) -> Result[bytes, PlatformError]:
        """Build the response of a watch that leads from one list to a later one."""
        try:
            return Success(diff_lists(old, new))
        except DECODE_ERRORS as error:
            return Failure(PlatformError(UNREADABLE, repr(error)))

    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        """Wait for changes after a revision; fails with `HISTORY_LOST` if they were dropped.

        A watch from a revision of an earlier era fails without a call, and an open one when the
        era increases, since the store has assigned its revisions again.
        """
        self._adopt_era(revision)
        if era_of(revision) != self._era.current:
            return Failure(_lost_history("a revision of an earlier era of the store"))
        wait_ms = min(MAX_WATCH_MS, int(wait_s * 1000))
        path = f"{OBJECTS_PATH}/{KIND_NAMES[kind]}?watch={remove_era(revision)}&waitMs={wait_ms}"
        with trio.CancelScope() as scope:
            self._open_watches.add(scope)
            try:
                answer = await self._call("GET", path, None, wait_ms / 1000 + self._timeout_s)
            finally:
                self._open_watches.discard(scope)
        if scope.cancelled_caught or era_of(revision) != self._era.current:
            return Failure(_lost_history("the store was restored from a copy"))
        if kind is Kind.CONFIGURATION:
            answer = answer.map(_without_keys)
        changes = answer.bind(lambda response: self.parse_changes(kind, response.body))
        return changes.bind(self._with_era)

    def _with_era(self, changes: Listing[Item]) -> Result[Listing[Item], PlatformError]:
        try:
            revision = self._era.add_to(changes.revision)
        except ValueError as error:
            return Failure(PlatformError(UNREADABLE, repr(error)))
        return Success(Listing(changes.entries, revision, changes.encoded))

    def parse_changes(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        """Parse the changes in the response body of a watch; their revision has no era."""
        read = _parse_body(encoded)
        if not is_successful(read):
            return Failure(read.failure())
        try:
            body = read.unwrap()
            events = [
                _parse_entry(kind, event["object"], bool(event["removed"]))
                for event in body["events"]
            ]
            return Success(Listing(events, int(body["currentRev"]), encoded))
        except DECODE_ERRORS as error:
            return Failure(PlatformError(UNREADABLE, repr(error)))

    async def check(self) -> Result[None, PlatformError]:
        """Check that the store answers.

        The read may return stale data, so it costs a tenth of another call.
        """
        path = f"{OBJECTS_PATH}/{KIND_NAMES[Kind.CONFIGURATION]}/{ABSENT_NAME}?staleOk=1"
        answer = await self._call("GET", path, None, self._timeout_s)
        if not is_successful(answer) and answer.failure().code == MISSING:
            return Success(None)
        return answer.map(lambda _: None)

    async def register_host(self, host: ListedHost) -> Result[None, PlatformError]:
        """Create or replace this host's object."""
        collection = f"{OBJECTS_PATH}/{_hosts_kind(host.region)}"
        body = {"metadata": {"name": host.host}, "spec": encode_host(host)}
        created = await self._call("POST", collection, body, self._timeout_s)
        if is_successful(created) or created.failure().code != EXISTS:
            return created.map(lambda _: None)
        path = f"{collection}/{quote(host.host, safe='')}"
        replaced = await self._call("PUT", path, body, self._timeout_s)
        return replaced.map(lambda _: None)

    async def _call(
        self, method: str, path: str, body: object, timeout_s: float
    ) -> Result[StoreAnswer, PlatformError]:
        data = b"" if body is None else json.dumps(body).encode()
        self.calls += 1
        era = self._era.current
        connection: StoreConnection | None = None
        try:
            with trio.fail_after(timeout_s):
                connection = await self._connections.acquire(reuse=method == "GET")
                headers = [(b"content-type", b"application/json")]
                answer = await connection.exchange(method, path, headers, data)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError, h11.ProtocolError) as error:
            return Failure(PlatformError(UNANSWERED, repr(error)))
        finally:
            if connection is not None:
                self._connections.release(connection)
        before = self._era.current
        usable = self._era.observe(answer.headers.get(ERA_HEADER), era)
        self._end_watches(before)
        if not usable:
            return Failure(_lost_history("a response of an earlier era of the store"))
        return _parse_status(answer)

    def _adopt_era(self, revision: int) -> None:
        """Learn the era from a revision that another entry host received."""
        before = self._era.current
        self._era.adopt(era_of(revision))
        self._end_watches(before)

    def _end_watches(self, era: int) -> None:
        """End the open watches if they began in `era` and it is over."""
        if self._era.current != era:
            for scope in self._open_watches:
                scope.cancel()


def _lost_history(reason: str) -> PlatformError:
    return PlatformError(HISTORY_LOST, reason)


def _hosts_kind(region: str) -> str:
    """Name of the object kind of a region's entry hosts."""
    return quote(f"{HOSTS_KIND_PREFIX}{region}", safe="")


def _build_listing(
    kind: Kind, items: list[Any], revision: int, encoded: bytes
) -> Result[Listing[Item], PlatformError]:
    """Parse the objects of a list; raises `TypeError` or `KeyError` if one has no name."""
    entries = [_parse_entry(kind, item, False) for item in items]
    return Success(Listing(entries, revision, encoded))


def _hide_keys(items: list[Any]) -> bool:
    """Replace the keys in configurations by their digests, in place; True if there were any."""
    return any([hide_keys(item.get("spec")) for item in items if isinstance(item, dict)])


def _without_keys(answer: StoreAnswer) -> StoreAnswer:
    """Replace the keys in the changes of a configuration, which hosts pass on to each other."""
    read = _parse_body(answer.body)
    events = read.unwrap().get("events") if is_successful(read) else None
    objects = [event.get("object") for event in events or () if isinstance(event, dict)]
    if not _hide_keys(objects):
        return answer
    body = json.dumps(read.unwrap()).encode()
    return StoreAnswer(answer.status, answer.version, answer.headers, body)


def _parse_status(answer: StoreAnswer) -> Result[StoreAnswer, PlatformError]:
    if 200 <= answer.status < 300:
        return Success(answer)
    codes = {404: MISSING, 409: EXISTS, 410: HISTORY_LOST}
    return Failure(PlatformError(codes.get(answer.status, REFUSED), f"status {answer.status}"))


def _parse_body(encoded: bytes) -> Result[dict[str, Any], PlatformError]:
    try:
        body = decode_json(encoded)
    except DECODE_ERRORS as error:
        return Failure(PlatformError(UNREADABLE, str(error)))
    if not isinstance(body, dict):
        return Failure(PlatformError(UNREADABLE, "not an object"))
    return Success(body)


def _parse_entry(kind: Kind, item: object, removed: bool) -> Entry[Item]:
    """Parse the entry of an object; a malformed object is logged and its entry has no item."""
    if not isinstance(item, dict) or not isinstance(item.get("metadata"), dict):
        raise TypeError("an object without metadata")
    name = str(item["metadata"]["name"])
    if removed:
        return Entry(name, None, removed=True)
    if kind is Kind.EVACUATIONS:
        # The object has an effect by its existence, whatever it contains.
        return Entry(name, Evacuation(name))
    if kind is Kind.CONFIGURATION and name != CONFIGURATION_NAME:
        return Entry(name, None)
    result = _parse_spec(kind, name, item.get("spec"))
    if not is_successful(result):
        log(Event.OBJECT_UNREADABLE, kind=kind.value, name=name, reason=result.failure())
        return Entry(name, None, unreadable=True)
    return Entry(name, result.unwrap())


def _parse_spec(kind: Kind, name: str, spec: object) -> Result[Any, str]:
    try:
        if kind is Kind.TARGETS:
            return parse_target(name, spec)
        if kind is Kind.HOSTS:
            return parse_host(name, spec)
        return parse_configuration(spec)
    except Exception as error:
        # An object that no check expects must not hide the others. The error may contain a key.
        reason = f"unexpected {type(error).__name__}"
        log(Event.INVARIANT_BROKEN, name="object", detail=reason, kind=kind.value)
        return Failure(reason)
