"""Which entry hosts live, decided from heartbeats and the platform's host list."""

from collections import OrderedDict

from dotterelstand.connection.wire import Hello
from dotterelstand.process.peering.mesh import Member


class ListedHost:
    """An entry of the host list; region and zone are empty when the list lacks them.

    `capacity` is the processing capacity of the host in processors.
    """

    __slots__ = ("address", "availability_zone", "capacity", "host", "leaving", "port", "region")

    def __init__(
        self,
        host: str,
        address: str,
        port: int,
        leaving: bool,
        region: str = "",
        availability_zone: str = "",
        capacity: float = 1.0,
    ) -> None:
        self.host = host
        self.capacity = capacity
        self.address = address
        self.port = port
        self.leaving = leaving
        self.region = region
        self.availability_zone = availability_zone


class _Known:
    """What is known about another entry host."""

    __slots__ = (
        "address",
        "availability_zone",
        "capacity",
        "expected_since_s",
        "gone",
        "heard_s",
        "host",
        "incarnation",
        "leaving",
        "listed",
        "listed_leaving",
        "port",
        "region",
    )

    def __init__(self, host: str) -> None:
        self.host = host
        self.address = ""
        self.port = 0
        self.region = ""
        self.availability_zone = ""
        self.capacity = 1.0
        self.incarnation = 0
        self.heard_s: float | None = None
        self.expected_since_s: float | None = None
        self.leaving = False
        self.listed = False
        self.listed_leaving = False
        self.gone = False


class Membership:
    """Live entry hosts as seen by one of them; decides only, with the time passed in."""

    __slots__ = (
        "_cached",
        "_cached_until_s",
        "_hubs",
        "_incarnation",
        "_known",
        "_leaving",
        "_max_members",
        "_retired",
        "_self",
        "_suspect_after_s",
        "overflows",
    )

    def __init__(
        self, own: Member, incarnation: int, suspect_after_s: float, max_members: int
    ) -> None:
        self._self = own
        self._incarnation = incarnation
        self._suspect_after_s = suspect_after_s
        self._max_members = max_members
        self._known: dict[str, _Known] = {}
        self._retired: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._cached: tuple[Member, ...] = ()
        self._cached_until_s = -1.0
        self._leaving = False
        # Hubs among the known hosts, this one included; all hosts are hubs until they are named.
        self._hubs: frozenset[str] | None = None
        self.overflows = 0

    def leave(self) -> None:
        """Mark this host as leaving."""
        self._leaving = True
        self._changed()

    def admit(self, hello: Hello, now: float) -> bool:
        """Record the hello of a host; False if its incarnation was replaced or there is no room."""
        if hello.host == self._self.host or (hello.host, hello.incarnation) in self._retired:
            return False
        known = self._entry(hello.host)
        if known is None:
            return False
        if known.incarnation != hello.incarnation:
            self._retire(known)
            known.incarnation = hello.incarnation
            known.leaving = False
        known.gone = False
        known.heard_s = now
        known.address, known.port = hello.address, hello.port
        known.region, known.availability_zone = hello.region, hello.availability_zone
        known.capacity = hello.capacity / 100
        self._changed()
        return True

    def hear(self, host: str, incarnation: int, leaving: bool, now: float) -> None:
        """Record a heartbeat; one of a replaced incarnation is ignored."""
        known = self._known.get(host)
        if known is None or known.incarnation != incarnation or known.gone:
            return
        if known.leaving != leaving or not self._is_live(known, now):
            self._changed()
        known.heard_s = now
        known.leaving = leaving

    def part(self, host: str, incarnation: int) -> None:
        """Record the goodbye of a host; only another incarnation makes the name live again."""
        known = self._known.get(host)
        if known is not None and known.incarnation == incarnation:
            self._retire(known)
            known.gone = True
            self._changed()

    def read_list(self, hosts: list[ListedHost], now: float) -> None:
        """Replace what the platform's host list said before."""
        names = {item.host for item in hosts}
        for known in self._known.values():
            known.listed = known.host in names
        for item in hosts:
            known_or_none = self._entry(item.host) if item.host != self._self.host else None
            if known_or_none is not None:
                self._record_listed(known_or_none, item)
        self.tidy(now)
        self._changed()

    def tidy(self, now: float) -> None:
        """Forget hosts that are neither listed nor heard, so that the table stays small."""
        for host, known in list(self._known.items()):
            if not known.listed and (known.gone or now >= self._expiry_s(known)):
                del self._known[host]

    def expect(self, hosts: frozenset[str], now: float) -> None:
        """Name the hosts whose heartbeats this host should hear; others are never suspected."""
        for known in self._known.values():
            if known.host not in hosts:
                known.expected_since_s = None
            elif known.expected_since_s is None:
                known.expected_since_s = now
        self._changed()

    def appoint(self, hubs: frozenset[str]) -> None:
        """Name the hosts that have a link to every host of their region."""
        if hubs != self._hubs:
            self._hubs = hubs
            self._changed()

    def members(self, now: float) -> tuple[Member, ...]:
        """Live hosts, this one included, sorted by name."""
        if now < self._cached_until_s:
            return self._cached
        own = self._self
        is_hub = self._is_hub(own.host)
        live = [Member(own.host, own.region, own.availability_zone, self._leaving, is_hub)]
        self._cached_until_s = now + self._suspect_after_s
        for known in self._known.values():
            if not self._is_live(known, now):
                continue
            leaving = known.leaving or (known.listed and known.listed_leaving)
            is_hub = self._is_hub(known.host)
            live.append(Member(known.host, known.region, known.availability_zone, leaving, is_hub))
            expiry = self._expiry_s(known)
            if expiry > now:
                self._cached_until_s = min(self._cached_until_s, expiry)
        self._cached = tuple(sorted(live, key=lambda member: member.host))
        assert len(self._cached) <= self._max_members + 1, "membership exceeds its bound"
        return self._cached

    def reachable(self) -> list[ListedHost]:
        """Hosts with a known address, for the choice of links; sorted by name."""
        return [
            ListedHost(
                known.host,
                known.address,
                known.port,
                known.leaving,
                known.region,
                known.availability_zone,
                known.capacity,
            )
            for _, known in sorted(self._known.items())
            if known.port and (known.listed or not known.gone)
        ]

    def _is_hub(self, host: str) -> bool:
        return self._hubs is None or host in self._hubs

    def _is_live(self, known: _Known, now: float) -> bool:
        if known.gone or not known.region:
            return False
        return now < self._expiry_s(known) or (known.listed and known.expected_since_s is None)

    def _expiry_s(self, known: _Known) -> float:
        """Time at which a host that stays silent is no longer live."""
        since = known.heard_s if known.heard_s is not None else float("-inf")
        if known.listed and known.expected_since_s is not None:
            since = max(since, known.expected_since_s)
        return since + self._suspect_after_s

    def _record_listed(self, known: _Known, item: ListedHost) -> None:
        known.listed = True
        known.listed_leaving = item.leaving
        known.address, known.port = item.address, item.port
        known.region = known.region or item.region
        known.capacity = item.capacity
        known.availability_zone = known.availability_zone or item.availability_zone

    def _entry(self, host: str) -> _Known | None:
        known = self._known.get(host)
        if known is None:
            if len(self._known) >= self._max_members:
                self.overflows += 1
                return None
            known = self._known[host] = _Known(host)
        return known

    def _retire(self, known: _Known) -> None:
        if known.heard_s is None:
            return
        self._retired[known.host, known.incarnation] = None
        while len(self._retired) > self._max_members:
            self._retired.popitem(last=False)

    def _changed(self) -> None:
        self._cached_until_s = -1.0
