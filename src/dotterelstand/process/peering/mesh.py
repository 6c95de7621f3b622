"""Interface between the parts of a process and the links to other entry hosts."""

from collections.abc import Callable
from typing import Protocol, TypeVar

from dotterelstand.connection.wire import Message

M = TypeVar("M", bound=Message)


class Member:
    """A live entry host.

    A `hub` has a link to every host of its region and may do shared work, such as granting slots.
    """

    __slots__ = ("availability_zone", "host", "hub", "leaving", "region")

    def __init__(
        self, host: str, region: str, availability_zone: str, leaving: bool, hub: bool = True
    ) -> None:
        self.host = host
        self.region = region
        self.availability_zone = availability_zone
        self.leaving = leaving
        self.hub = hub


class Mesh(Protocol):
    """Sends messages to other entry hosts and knows which of them are live."""

    @property
    def host(self) -> str:
        """Name of this host."""

    @property
    def region(self) -> str:
        """Region of this host."""

    @property
    def is_overlay(self) -> bool:
        """Whether some live hosts have no direct link, so that announcements need forwarding."""

    def members(self) -> tuple[Member, ...]:
        """Live entry hosts, this one included, sorted by name."""

    def send(self, host: str, message: Message) -> bool:
        """Queue a message for a host; False if there is no link or its queue is full.

        A message to this host itself goes directly to its subscribers.
        """

    def broadcast(self, message: Message) -> int:
        """Queue a message for every other linked host; returns their number."""

    def subscribe(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        """Call `handler(sender, message)` for each message of a type."""


class SingleHost:
    """Mesh of a host without peers."""

    __slots__ = ("_handlers", "_member")

    def __init__(self, member: Member) -> None:
        self._member = member
        self._handlers: dict[type[Message], list[Callable[[str, Message], None]]] = {}

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._member.host

    @property
    def region(self) -> str:
        """Region of this host."""
        return self._member.region

    @property
    def is_overlay(self) -> bool:
        """Always False, since there is no other host."""
        return False

    def members(self) -> tuple[Member, ...]:
        """This host only."""
        return (self._member,)

    def send(self, host: str, message: Message) -> bool:
        """Deliver a message for this host to its subscribers; False for any other host."""
        if host != self.host:
            return False
        for handler in self._handlers.get(type(message), []):
            handler(self.host, message)
        return True

    def broadcast(self, message: Message) -> int:
        """Send nothing, since there is no other host; returns 0."""
        return 0

    def subscribe(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        """Call `handler(sender, message)` for each message of a type."""
        self._handlers.setdefault(kind, []).append(handler)  # type: ignore[arg-type]
