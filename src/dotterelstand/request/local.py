"""Implementations of the request ports that know only this entry host."""

import random
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Result, Success

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.wire import Message
from dotterelstand.process.balancer import LocalBalancer
from dotterelstand.process.mesh import M, Member
from dotterelstand.request.ports import (
    Call,
    CallOutcome,
    Go,
    KeyedOutcome,
    Recorded,
    Refused,
    SlotGrant,
)
from dotterelstand.version.document import Service, Target


class LocalGrant:
    """A target chosen with local knowledge."""

    __slots__ = ("_target",)

    def __init__(self, target: Target) -> None:
        self._target = target

    @property
    def target(self) -> Target:
        """Target of the attempt."""
        return self._target


class LocalSlots:
    """Grants without waiting, by two random choices."""

    __slots__ = ("_balancer",)

    def __init__(self, rng: random.Random) -> None:
        self._balancer = LocalBalancer(rng)

    async def acquire(self, service: Service, call: Call) -> Result[SlotGrant, ResultCode]:
        """Choose a target; fails with `NO_TARGET` if all are excluded."""
        target = self._balancer.choose(service, call.excluded)
        if target is None:
            return Failure(ResultCode.NO_TARGET)
        self._balancer.start(target)
        return Success(LocalGrant(target))

    def release(self, grant: SlotGrant, outcome: CallOutcome) -> None:
        """Count the end of an attempt."""
        self._balancer.finish(grant.target, outcome.load)


class NoJournal:
    """Refuses keyed requests, since nothing could record them."""

    __slots__ = ()

    async def begin(self, key: bytes, body_digest: bytes, service: str) -> Go | Recorded | Refused:
        """Refuse with `STORE_UNAVAILABLE`."""
        return Refused(ResultCode.STORE_UNAVAILABLE)

    def finish(self, go: Go, outcome: KeyedOutcome) -> None:
        """Never called, since `begin` gives no permission."""
        raise AssertionError("no permission was given")


class SoloMesh:
    """The links of an entry host that has no peers: messages to itself only."""

    __slots__ = ("_handlers", "_member")

    def __init__(self, member: Member) -> None:
        self._member = member
        self._handlers: dict[type[Message], list[Callable[[str, Any], None]]] = {}

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._member.host

    @property
    def region(self) -> str:
        """Region of this host."""
        return self._member.region

    def members(self) -> tuple[Member, ...]:
        """This host."""
        return (self._member,)

    def send(self, host: str, message: Message) -> bool:
        """Hand a message to this host's own subscribers; False for other hosts."""
        if host != self._member.host:
            return False
        for handler in self._handlers.get(type(message), []):
            handler(host, message)
        return True

    def broadcast(self, message: Message) -> int:
        """There is no other host."""
        return 0

    def subscribe(self, kind: type[M], handler: Callable[[str, M], None]) -> None:
        """Call `handler(sender, message)` for each message of a type."""
        self._handlers.setdefault(kind, []).append(handler)


class CounterTable:
    """Counters in memory, bounded in number of names."""

    __slots__ = ("_max_names", "values")

    def __init__(self, max_names: int = 4096) -> None:
        self.values: dict[str, int] = {}
        self._max_names = max_names

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter; names beyond the bound share one."""
        if name not in self.values and len(self.values) >= self._max_names:
            name = "counters.other"
        self.values[name] = self.values.get(name, 0) + amount

    def record_latency(self, service: str, klass: str, tenant: str, seconds: float) -> None:
        """Durations are not kept here."""
