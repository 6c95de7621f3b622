"""Platform-independent types for the objects in a platform's store, and interface to the store."""

from enum import Enum
from typing import Generic, Protocol, TypeVar

from returns.result import Result

from dotterelstand.errors import CodedError
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.version.model import CallerBounds, Route

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


# Kinds whose changes a relay forwards to the other entry hosts of its region.
RELAYED_KINDS = (Kind.CONFIGURATION, Kind.TARGETS)


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
    """Configuration of a service; `connections` is the connection limit of each target."""

    __slots__ = ("connections", "health_path", "name")

    def __init__(self, name: str, health_path: str, connections: int) -> None:
        self.name = name
        self.health_path = health_path
        self.connections = connections


class Configuration:
    """One complete accepted configuration; `bulk_classes` names the classes of large requests.

    `caller_bounds` is None if the limits on callers come from the settings.
    """

    __slots__ = ("bulk_classes", "caller_bounds", "classes", "number", "routes", "services")

    def __init__(
        self,
        number: int,
        routes: tuple[Route, ...],
        services: dict[str, ServiceSpec],
        classes: tuple[str, ...],
        bulk_classes: frozenset[str],
        caller_bounds: CallerBounds | None = None,
    ) -> None:
        self.caller_bounds = caller_bounds
        self.number = number
        self.routes = routes
        self.services = services
        self.classes = classes
        self.bulk_classes = bulk_classes


Item = RegisteredTarget | Configuration | ListedHost


class Entry(Generic[T]):
    """A named object; `item` is None if the object cannot be decoded or was removed."""

    __slots__ = ("item", "name", "removed")

    def __init__(self, name: str, item: T | None, removed: bool = False) -> None:
        self.name = name
        self.item = item
        self.removed = removed


class Listing(Generic[T]):
    """Entries and the revision of the store that they reflect.

    `encoded` is the store's response to a watch, which other hosts pass to
    `Platform.parse_changes`; it is empty for the result of a list call.
    """

    __slots__ = ("encoded", "entries", "revision")

    def __init__(self, entries: list[Entry[T]], revision: int, encoded: bytes = b"") -> None:
        self.entries = entries
        self.revision = revision
        self.encoded = encoded


class Platform(Protocol):
    """Calls from an entry host to the platform's store."""

    async def list(self, kind: Kind) -> Result[Listing[Item], PlatformError]:
        """List all objects of a kind."""

    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        """Wait for changes after a revision; returns none after `wait_s` seconds without any.

        Fails with `HISTORY_LOST` if the store no longer has the changes.
        """

    def parse_changes(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        """Parse changes that another entry host received from `watch`."""

    async def check(self) -> Result[None, PlatformError]:
        """Check whether the store answers this host, with the cheapest call of its protocol."""

    async def register_host(self, host: ListedHost) -> Result[None, PlatformError]:
        """Register this host in the platform's list of entry hosts."""
