"""Derives the set of live entry hosts from heartbeats and the platform's host list."""

from collections import OrderedDict

from dotterelstand.connection.wire import Hello
from dotterelstand.process.peering.mesh import Member


class ListedHost:
    """An entry of the host list; region and availability zone are empty if the list lacks them.

    `capacity` is the processing capacity of the host in processors. `unreachable` is set if this
    host expected heartbeats and got none for too long.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "capacity",
        "host",
        "leaving",
        "port",
        "region",
        "unreachable",
    )

    def __init__(
        self,
        host: str,
        address: str,
        port: int,
        leaving: bool,
        region: str = "",
        availability_zone: str = "",
        capacity: float = 1.0,
        unreachable: bool = False,
    ) -> None:
        self.unreachable = unreachable
        self.host = host
        self.capacity = capacity
        self.address = address
        self.port = port
        self.leaving = leaving
        self.region = region
        self.availability_zone = availability_zone


class _PeerRecord:
    """State of another entry host."""

    __slots__ = (
        "address",
        "availability_zone",
        "capacity",
        "departed",
        "host",
        "incarnation",
        "last_heartbeat_s",
        "leaving",
        "listed",
        "listed_leaving",
        "monitored_since_s",
        "port",
        "region",
        "unreachable",
    )

    def __init__(self, host: str) -> None:
        self.host = host
        self.address = ""
        self.port = 0
        self.region = ""
        self.availability_zone = ""
        self.capacity = 1.0
        self.incarnation = 0
        self.last_heartbeat_s: float | None = None
        self.monitored_since_s: float | None = None
        self.leaving = False
        self.listed = False
        self.listed_leaving = False
        self.departed = False
        # Set when a monitored host sends no heartbeat in time; cleared by its next hello.
        self.unreachable = False


class Membership:
    """Live entry hosts as seen by one of them, without I/O; methods take the time in seconds."""

    __slots__ = (
        "_hubs",
        "_incarnation",
        "_leaving",
        "_max_members",
        "_members_cache",
        "_members_cache_expiry_s",
        "_own",
        "_records",
        "_retired",
        "_suspect_after_s",
        "is_overlay",
        "overflows",
    )

    def __init__(
        self, own: Member, incarnation: int, suspect_after_s: float, max_members: int
    ) -> None:
        self._own = own
        self._incarnation = incarnation
        self._suspect_after_s = suspect_after_s
        self._max_members = max_members
        self._records: dict[str, _PeerRecord] = {}
        self._retired: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._members_cache: tuple[Member, ...] = ()
        self._members_cache_expiry_s = -1.0
        self._leaving = False
        # Hubs among the known hosts, this one included; None means that all hosts are hubs.
        self._hubs: frozenset[str] | None = None
        self.overflows = 0
        self.is_overlay = False

    @property
    def own(self) -> Member:
        """This host."""
        return self._own

    @property
    def leaving(self) -> bool:
        """Whether this host is leaving."""
        return self._leaving

    def make_hello(self, address: str, port: int, capacity: float) -> Hello:
        """Build this host's first message on a link; `capacity` is in processors."""
        own, percent = self._own, round(100 * capacity)
        return Hello(
            address, own.availability_zone, percent, own.host, self._incarnation, port, own.region
        )

    def leave(self) -> None:
        """Mark this host as leaving."""
        self._leaving = True
        self._invalidate_cache()

    def admit(self, hello: Hello, now: float) -> bool:
        """Record a host's hello; False if its incarnation was replaced or the table is full."""
        if hello.host == self._own.host or (hello.host, hello.incarnation) in self._retired:
            return False
        record = self._get_or_create(hello.host)
        if record is None:
            return False
        if record.incarnation != hello.incarnation:
            self._retire_incarnation(record)
            record.incarnation = hello.incarnation
            record.leaving = False
        record.departed = False
        record.unreachable = False
        record.last_heartbeat_s = now
        record.address, record.port = hello.address, hello.port
        record.region, record.availability_zone = hello.region, hello.availability_zone
        record.capacity = hello.capacity / 100
        self._invalidate_cache()
        return True

    def record_heartbeat(self, host: str, incarnation: int, leaving: bool, now: float) -> bool:
        """Record a heartbeat; True if it changes which hosts may be hubs.

        Heartbeats of replaced incarnations are ignored.
        """
        record = self._records.get(host)
        if record is None or record.incarnation != incarnation or record.departed:
            return False
        changed = record.leaving != leaving or record.unreachable
        if changed or not self._is_live(record, now):
            self._invalidate_cache()
        record.last_heartbeat_s = now
        record.leaving = leaving
        record.unreachable = False
        return changed

    def record_goodbye(self, host: str, incarnation: int) -> None:
        """Record a host's goodbye; the name becomes live again only with a new incarnation."""
        record = self._records.get(host)
        if record is not None and record.incarnation == incarnation:
            self._retire_incarnation(record)
            record.departed = True
            self._invalidate_cache()

    def update_host_list(self, hosts: list[ListedHost], now: float) -> None:
        """Apply a complete host list of the platform."""
        names = {item.host for item in hosts}
        for record in self._records.values():
            record.listed = record.host in names
        for item in hosts:
            record_or_none = self._get_or_create(item.host) if item.host != self._own.host else None
            if record_or_none is not None:
                self._record_listed(record_or_none, item)
        self.remove_expired(now)
        self._invalidate_cache()

    def remove_expired(self, now: float) -> None:
        """Remove hosts that are neither listed nor live, so that the table stays small."""
        for host, record in list(self._records.items()):
            if not record.listed and (record.departed or now >= self._expiry_s(record)):
                del self._records[host]

    def set_monitored_hosts(self, hosts: frozenset[str], now: float) -> None:
        """Set the hosts that should send this host heartbeats; other listed hosts count as live."""
        for record in self._records.values():
            if record.host not in hosts:
                record.monitored_since_s = None
            elif record.monitored_since_s is None:
                record.monitored_since_s = now
        self._invalidate_cache()

    @property
    def is_hub(self) -> bool:
        """Whether this host has a link to every host of its region."""
        return self._is_hub(self._own.host)

    def set_hubs(self, hubs: frozenset[str], is_overlay: bool) -> None:
        """Set the hosts that have a link to every host of their region, and whether others exist.

        `is_overlay` follows the known hosts, as the links do, also while many of them are lost.
        """
        self.is_overlay = is_overlay
        if hubs != self._hubs:
            self._hubs = hubs
            self._invalidate_cache()

    def is_unreachable(self, host: str) -> bool:
        """Whether a host was marked by `mark_unreachable`."""
        record = self._records.get(host)
        return record is not None and record.unreachable

    def mark_unreachable(self, now: float) -> None:
        """Mark the monitored hosts whose heartbeats are overdue, until their next hello."""
        for record in self._records.values():
            if record.monitored_since_s is not None and now >= self._expiry_s(record):
                record.unreachable = True

    def members(self, now: float) -> tuple[Member, ...]:
        """Live hosts, this one included, sorted by name."""
        if now < self._members_cache_expiry_s:
            return self._members_cache
        own = self._own
        is_hub = self._is_hub(own.host)
        live = [Member(own.host, own.region, own.availability_zone, self._leaving, is_hub)]
        self._members_cache_expiry_s = now + self._suspect_after_s
        for record in self._records.values():
            if not self._is_live(record, now):
                continue
            leaving = record.leaving or (record.listed and record.listed_leaving)
            is_hub = self._is_hub(record.host)
            live.append(
                Member(record.host, record.region, record.availability_zone, leaving, is_hub)
            )
            expiry = self._expiry_s(record)
            if expiry > now:
                self._members_cache_expiry_s = min(self._members_cache_expiry_s, expiry)
        self._members_cache = tuple(sorted(live, key=lambda member: member.host))
        assert len(self._members_cache) <= self._max_members + 1, "membership exceeds its bound"
        return self._members_cache

    def estimate_fleet_size(self, regions: set[str]) -> int:
        """Number of entry hosts that are not known to have left, this one included.

        A host of a large fleet knows only its own region; other regions count like that one.
        """
        counts = self._count_by_region()
        own = counts[self._own.region]
        return sum(counts.values()) + own * len(regions - set(counts))

    def estimate_region_sizes(self, regions: set[str]) -> dict[str, int]:
        """Number of entry hosts of each region that are not known to have left.

        In a large fleet only the own region is counted; others have at least as many hosts.
        """
        counts = self._count_by_region()
        if self.is_overlay:
            own = counts[self._own.region]
            counts = {region: max(own, counts.get(region, 0)) for region in {*counts, *regions}}
        return counts

    def dial_candidates(self) -> list[ListedHost]:
        """Hosts with a known address, sorted by name; the peers to dial are chosen from these."""
        return [
            ListedHost(
                record.host,
                record.address,
                record.port,
                record.leaving or (record.listed and record.listed_leaving),
                record.region,
                record.availability_zone,
                record.capacity,
                record.unreachable,
            )
            for _, record in sorted(self._records.items())
            if record.port and (record.listed or not record.departed)
        ]

    def _count_by_region(self) -> dict[str, int]:
        counts = {self._own.region: 1}
        for record in self._records.values():
            if not record.departed:
                counts[record.region] = counts.get(record.region, 0) + 1
        return counts

    def _is_hub(self, host: str) -> bool:
        return self._hubs is None or host in self._hubs

    def _is_live(self, record: _PeerRecord, now: float) -> bool:
        if record.departed or not record.region:
            return False
        if now < self._expiry_s(record):
            return True
        return record.listed and record.monitored_since_s is None and not record.unreachable

    def _expiry_s(self, record: _PeerRecord) -> float:
        """Time at which a host is no longer live unless it sends a heartbeat."""
        since = record.last_heartbeat_s if record.last_heartbeat_s is not None else float("-inf")
        if record.listed and record.monitored_since_s is not None:
            since = max(since, record.monitored_since_s)
        return since + self._suspect_after_s

    def _record_listed(self, record: _PeerRecord, item: ListedHost) -> None:
        record.listed = True
        record.listed_leaving = item.leaving
        record.address, record.port = item.address, item.port
        record.region = record.region or item.region
        record.capacity = item.capacity
        record.availability_zone = record.availability_zone or item.availability_zone

    def _get_or_create(self, host: str) -> _PeerRecord | None:
        record = self._records.get(host)
        if record is None:
            if len(self._records) >= self._max_members:
                self.overflows += 1
                return None
            record = self._records[host] = _PeerRecord(host)
        return record

    def _retire_incarnation(self, record: _PeerRecord) -> None:
        if record.last_heartbeat_s is None:
            return
        self._retired[record.host, record.incarnation] = None
        while len(self._retired) > self._max_members:
            self._retired.popitem(last=False)

    def _invalidate_cache(self) -> None:
        self._members_cache_expiry_s = -1.0
