"""Platform-independent types for the objects in a platform's store, and interface to the store."""

from collections.abc import Sequence
from enum import Enum
from typing import Generic, Protocol, TypeVar

from returns.result import Result

from dotterelstand.errors import CodedError
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.version.model import CallerBounds
from dotterelstand.version.route import Route, RouteIndex
from dotterelstand.version.workspace import WorkspaceIndex

T = TypeVar("T")

# Error codes of calls to the platform.
UNANSWERED = 5201
REFUSED = 5202
HISTORY_LOST = 5203
UNREADABLE = 5204
EXISTS = 5205
MISSING = 5206


class PlatformError(CodedError):
    """Failure of a call to the platform."""

    __slots__ = ()


class Kind(Enum):
    """Kind of object that can be listed and watched."""

    CONFIGURATION = "configuration"
    TARGETS = "targets"
    HOSTS = "hosts"
    EVACUATIONS = "evacuations"


# Kinds whose changes a relay always forwards to the other entry hosts of its region.
RELAYED_KINDS = (Kind.CONFIGURATION, Kind.TARGETS)
# The former, and those that are followed only if the settings say so.
ALL_RELAYED_KINDS = (*RELAYED_KINDS, Kind.EVACUATIONS)
# Kinds whose revisions a `StoreState` contains, by their number. A host of an older version ignores
# a `StoreState` that does not have two revisions, so that evacuations have a message of their own.
_STATE_KINDS = {len(RELAYED_KINDS): RELAYED_KINDS, 1: (Kind.EVACUATIONS,)}


# Revisions contain the era of the store in their high bits. The era increases when the store is
# restored from a copy and assigns revisions again, so that later revisions remain larger. A store
# that does not tell its era has era 0.
ERA_SHIFT = 40
FIRST_ERA = 1


def era_of(revision: int) -> int:
    """Era of the store in which it assigned a revision."""
    return revision >> ERA_SHIFT


def relayed_kind(number: int) -> Kind | None:
    """Kind with this number in messages, or None if there is none."""
    return ALL_RELAYED_KINDS[number] if 0 <= number < len(ALL_RELAYED_KINDS) else None


def split_revisions(known: dict[Kind, int]) -> list[list[int]]:
    """Revisions of the followed kinds, in the order and number in which messages contain them."""
    groups = [kinds for kinds in _STATE_KINDS.values() if known.keys() >= set(kinds)]
    return [[known[kind] for kind in kinds] for kinds in groups]


def revisions_by_kind(revisions: list[int]) -> dict[Kind, int]:
    """Revisions in a message by their kinds; empty if their number is unknown."""
    return dict(zip(_STATE_KINDS.get(len(revisions), ()), revisions, strict=False))


def relayed_number(kind: Kind) -> int:
    """Number of a relayed kind in messages."""
    return ALL_RELAYED_KINDS.index(kind)


class RegisteredTarget:
    """Registration of a target.

    `started_ms` is the Unix time of its start, which distinguishes two runs under one name, and
    `warmup_s` is the time in seconds for which the target is slow after its start.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "draining",
        "name",
        "port",
        "service",
        "slots",
        "started_ms",
        "warmup_s",
    )

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        port: int,
        availability_zone: str,
        slots: int,
        draining: bool,
        warmup_s: float,
        started_ms: int,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.port = port
        self.availability_zone = availability_zone
        self.slots = slots
        self.draining = draining
        self.warmup_s = warmup_s
        self.started_ms = started_ms


class ServiceSpec:
    """Configuration of a service; `connections` is the connection limit of each target.

    `warmup_s` and `warmup_per_s` are as in `Service`.
    """

    __slots__ = ("connections", "health_path", "name", "warmup_per_s", "warmup_s")

    def __init__(
        self,
        name: str,
        health_path: str,
        connections: int,
        warmup_s: float = 0.0,
        warmup_per_s: float = 0.0,
    ) -> None:
        self.warmup_s = warmup_s
        self.warmup_per_s = warmup_per_s
        self.name = name
        self.health_path = health_path
        self.connections = connections


class Configuration:
    """One complete accepted configuration; `bulk_classes` names the classes of large requests.

    `caller_bounds` is None if the limits on callers come from the settings, and `access` if
    requests need no key.
    """

    __slots__ = (
        "access",
        "bulk_classes",
        "caller_bounds",
        "classes",
        "index",
        "number",
        "routes",
        "services",
    )

    def __init__(
        self,
        number: int,
        routes: tuple[Route, ...],
        services: dict[str, ServiceSpec],
        classes: tuple[str, ...],
        bulk_classes: frozenset[str],
        caller_bounds: CallerBounds | None = None,
        access: WorkspaceIndex | None = None,
    ) -> None:
        self.access = access
        self.caller_bounds = caller_bounds
        self.number = number
        self.routes = routes
        # The platform compares prefixes and paths as they are.
        self.index = RouteIndex(routes, decodes_paths=False)
        self.services = services
        self.classes = classes
        self.bulk_classes = bulk_classes


class Evacuation:
    """Order to send no requests to the targets of an availability zone."""

    __slots__ = ("zone",)

    def __init__(self, zone: str) -> None:
        self.zone = zone


Item = RegisteredTarget | Configuration | ListedHost | Evacuation


class Entry(Generic[T]):
    """A named object; `item` is None if the object is `unreadable`, unused or was removed."""

    __slots__ = ("item", "name", "removed", "unreadable")

    def __init__(
        self, name: str, item: T | None, removed: bool = False, unreadable: bool = False
    ) -> None:
        self.unreadable = unreadable
        self.name = name
        self.item = item
        self.removed = removed


class Listing(Generic[T]):
    """Entries and the revision of the store that they reflect.

    `encoded` is the store's response, which other hosts pass to `Platform.parse_changes` after a
    watch and to `Platform.parse_list` after a list call.
    """

    __slots__ = ("encoded", "entries", "revision")

    def __init__(self, entries: list[Entry[T]], revision: int, encoded: bytes = b"") -> None:
        self.entries = entries
        self.revision = revision
        self.encoded = encoded


class ListCodec(Protocol):
    """Combines lists and changes in the form in which the store sends them."""

    def merge_changes(
        self, encoded_list: bytes, changes: Sequence[bytes], revision: int
    ) -> Result[bytes, PlatformError]:
        """Apply the responses of watches to the response of a list call."""

    def diff_lists(self, old: bytes, new: bytes) -> Result[bytes, PlatformError]:
        """Build the response of a watch that leads from one list to a later one."""


class ObjectLists(Protocol):
    """Lists of platform objects and changes to them, wherever they come from."""

    async def list(self, kind: Kind) -> Result[Listing[Item], PlatformError]:
        """List all objects of a kind."""

    async def list_hosts(
        self, region: str, stale_ok: bool = False
    ) -> Result[Listing[Item], PlatformError]:
        """List the entry hosts of a region; a list that may be stale costs less."""

    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        """Wait for changes after a revision; returns none after `wait_s` seconds without any.

        Fails with `HISTORY_LOST` if the store no longer has the changes.
        """

    async def register_host(self, host: ListedHost) -> Result[None, PlatformError]:
        """Register this host in the platform's list of entry hosts."""


class Platform(ObjectLists, ListCodec, Protocol):
    """Calls from an entry host to the platform's store."""

    def parse_changes(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        """Parse changes that another entry host received from `watch`."""

    def parse_list(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        """Parse a complete list that another entry host received from `list`."""

    async def check(self) -> Result[None, PlatformError]:
        """Check whether the store answers this host, with the cheapest call of its protocol."""
