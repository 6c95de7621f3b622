"""Derives the targets and the configuration in force from the platform's lists."""

from collections import Counter, OrderedDict, deque
from enum import Enum

from dotterelstand.process.discovery.evacuations import Evacuations
from dotterelstand.process.discovery.registry import Configuration, Entry, RegisteredTarget
from dotterelstand.version.model import Document, Service, Target

# Seconds for which a target stays in use after an outage of the platform if its registration
# expired during the outage. The platform documents that a live target registers again within about
# 2 s.
LAPSED_GRACE_S = 2.2
# Targets that are missing after an outage get the grace period if they are at least this share of a
# service's targets. A smaller share is removed at once, since the other targets can carry the load
# and a live target is listed again within 2 s.
MIN_LOST_SHARE = 1 / 3
# A registration that disappears within this number of seconds after an outage is treated as if it
# had expired during the outage.
RECOVERY_WINDOW_S = 1.0


# Maximum number of target changes kept until they are logged; the oldest are dropped. The initial
# list of targets may exceed it, since its entries need not be logged.
MAX_CHANGES = 64
# Seconds for which the departure of a target is remembered, in case that the store is restored from
# a copy in which it is still listed, and the maximum number of departures.
DEPARTURE_KEPT_S = 30.0
MAX_DEPARTURES = 512


class ChangeKind(Enum):
    """Kind of change of a target."""

    LISTED = "listed"
    RESTARTED = "restarted"
    DRAINING = "draining"
    # The registration disappeared during an outage of the platform or just after it; the target
    # stays in use for a grace period.
    LAPSED = "lapsed"
    GONE = "gone"


class TargetChange:
    """A change of one target in use."""

    __slots__ = ("kind", "target")

    def __init__(self, kind: ChangeKind, target: RegisteredTarget) -> None:
        self.kind = kind
        self.target = target


class ServiceDefaults:
    """Service parameters that the platform's document doesn't contain; times in seconds."""

    __slots__ = ("hedge", "max_queue_per_slot", "retry_share", "silence_timeout_s")

    def __init__(
        self, hedge: bool, retry_share: float, max_queue_per_slot: int, silence_timeout_s: float
    ) -> None:
        self.hedge = hedge
        self.retry_share = retry_share
        self.max_queue_per_slot = max_queue_per_slot
        self.silence_timeout_s = silence_timeout_s


class Catalogue:
    """Targets and configuration of one entry host; methods take the current time in seconds.

    A configuration is replaced only by one with a higher number. Targets whose registration
    disappears during an outage of the platform are kept for a grace period, so that they can
    register again. With `evacuations`, there is no document before these have been read.
    """

    __slots__ = (
        "_available_since",
        "_configuration",
        "_departures",
        "_evacuations",
        "_excluded",
        "_lapsed",
        "_platform_unavailable",
        "_regions",
        "_service_defaults",
        "_targets",
        "changes",
    )

    def __init__(
        self,
        regions: dict[str, str],
        service_defaults: ServiceDefaults,
        evacuations: Evacuations | None = None,
    ) -> None:
        self._evacuations = evacuations
        self._regions = regions
        self._service_defaults = service_defaults
        self._configuration: Configuration | None = None
        self._targets: dict[str, RegisteredTarget] = {}
        # Expiry time of each target that is still in use after its registration disappeared.
        self._lapsed: dict[str, float] = {}
        # Start in Unix milliseconds, and time of departure, of targets that left.
        self._departures: OrderedDict[str, tuple[int, float]] = OrderedDict()
        # Start of targets that left before the store was restored from a copy.
        self._excluded: dict[str, int] = {}
        self._platform_unavailable = False
        self._available_since = float("-inf")
        self.changes: deque[TargetChange] = deque(maxlen=MAX_CHANGES)

    @property
    def number(self) -> int:
        """Number of the configuration in force, 0 before the first."""
        return self._configuration.number if self._configuration else 0

    @property
    def configuration(self) -> Configuration | None:
        """Configuration in force."""
        return self._configuration

    @property
    def zones(self) -> frozenset[str]:
        """Availability zones that the settings name."""
        return frozenset(self._regions)

    def update_defaults(self, regions: dict[str, str], service_defaults: ServiceDefaults) -> None:
        """Replace the regions and service defaults from which the next document is built."""
        self._regions = regions
        self._service_defaults = service_defaults

    def mark_platform_unavailable(self) -> None:
        """Record that the list of targets cannot be read or watched."""
        self._platform_unavailable = True

    def mark_platform_available(self, now: float) -> None:
        """Record that the list of targets can be read again."""
        if self._platform_unavailable:
            self._platform_unavailable = False
            self._available_since = now

    def mark_store_restored(self, now: float) -> None:
        """Record that the store was restored from a copy that may be seconds old.

        Targets that are missing in it are kept for the grace period. Targets that are known to
        have left, or to be draining, stay out of use until a later start of theirs is listed.
        Evacuations that are missing are kept for a while.
        """
        if self._evacuations is not None:
            self._evacuations.mark_store_restored(now)
        self._available_since = now
        for name, (started_ms, departed_at) in self._departures.items():
            if now - departed_at <= DEPARTURE_KEPT_S:
                self._excluded[name] = started_ms
        for target in self._targets.values():
            if target.draining:
                self._excluded[target.name] = target.started_ms
        self._departures.clear()
        while len(self._excluded) > 2 * MAX_DEPARTURES:
            del self._excluded[next(iter(self._excluded))]

    def update_configuration(self, configuration: Configuration) -> bool:
        """Put a configuration in force; False if it isn't newer than the current one."""
        if configuration.number <= self.number:
            return False
        self._configuration = configuration
        if self._evacuations is not None:
            services = configuration.services.values()
            self._evacuations.warmup_s = max((spec.warmup_s for spec in services), default=0.0)
        return True

    def replace_targets(self, entries: list[Entry[RegisteredTarget]], now: float) -> None:
        """Apply a complete list of targets."""
        listed = {entry.name for entry in entries if entry.item is not None}
        missing = [target for name, target in self._targets.items() if name not in listed]
        known = Counter(target.service for target in self._targets.values())
        lost = Counter(target.service for target in missing)
        for target in missing:
            if lost[target.service] < MIN_LOST_SHARE * known[target.service]:
                self._remove(target, now)
            else:
                self._handle_removal(target.name, now)
        for entry in entries:
            self._upsert(entry, now)

    def change_targets(self, entries: list[Entry[RegisteredTarget]], now: float) -> None:
        """Apply changes of the list of targets, in order."""
        for entry in entries:
            if entry.removed or entry.item is None:
                self._handle_removal(entry.name, now)
            else:
                self._upsert(entry, now)

    def expire(self, now: float) -> bool:
        """Remove lapsed targets whose grace period is over; True if there were any."""
        gone = [name for name, expires_at in self._lapsed.items() if expires_at <= now]
        for name in gone:
            del self._lapsed[name]
            self._record_change(ChangeKind.GONE, self._targets.pop(name))
        return bool(gone)

    def next_expiry(self) -> float | None:
        """Time at which the next lapsed target expires, or None."""
        return min(self._lapsed.values(), default=None)

    def document(self) -> Document | None:
        """Build the document in force; None before the first configuration."""
        configuration, evacuations = self._configuration, self._evacuations
        if configuration is None or (evacuations is not None and not evacuations.read):
            return None
        evacuated = evacuations.zones & self.zones if evacuations else frozenset()
        returned = evacuations.returned if evacuations else frozenset()
        members: dict[str, list[Target]] = {name: [] for name in configuration.services}
        for target in self._targets.values():
            region = self._regions.get(target.availability_zone)
            if target.service not in members or region is None or target.draining:
                continue
            zone, warmup_s = target.availability_zone, target.warmup_s
            if zone in returned:
                # The targets were not in use, and may have become cold.
                warmup_s = max(warmup_s, configuration.services[target.service].warmup_s)
            if zone not in evacuated:
                members[target.service].append(_make_target(target, region, warmup_s))
        services = {
            name: Service(
                name,
                tuple(sorted(members[name], key=lambda target: target.name)),
                spec.connections,
                self._service_defaults.hedge,
                self._service_defaults.retry_share,
                self._service_defaults.max_queue_per_slot,
                self._service_defaults.silence_timeout_s,
                health_path=spec.health_path,
                warmup_s=spec.warmup_s,
                warmup_per_s=spec.warmup_per_s,
            )
            for name, spec in configuration.services.items()
        }
        access = configuration.access
        return Document(
            configuration.number,
            {},
            services,
            configuration.routes,
            configuration.classes,
            dict.fromkeys(access.names(), 1.0) if access is not None else {},
            index=configuration.index,
            bulk_classes=configuration.bulk_classes,
            caller_bounds=configuration.caller_bounds,
            access=access,
            evacuated_zones=evacuated,
            regions=tuple(sorted(set(self._regions.values()))),
        )

    def _upsert(self, entry: Entry[RegisteredTarget], now: float) -> None:
        if entry.item is None:
            self._handle_removal(entry.name, now)
            return
        if entry.item.started_ms <= self._excluded.get(entry.name, -1):
            return
        self._excluded.pop(entry.name, None)
        self._departures.pop(entry.name, None)
        self._lapsed.pop(entry.name, None)
        before = self._targets.get(entry.name)
        self._targets[entry.name] = entry.item
        if before is None:
            self._record_change(ChangeKind.LISTED, entry.item)
        elif before.started_ms != entry.item.started_ms:
            self._record_change(ChangeKind.RESTARTED, entry.item)
        elif entry.item.draining and not before.draining:
            self._record_change(ChangeKind.DRAINING, entry.item)

    def _handle_removal(self, name: str, now: float) -> None:
        target = self._targets.get(name)
        if target is None or name in self._lapsed:
            return
        recovering = now - self._available_since <= RECOVERY_WINDOW_S
        if (self._platform_unavailable or recovering) and not target.draining:
            self._lapsed[name] = max(now, self._available_since) + LAPSED_GRACE_S
            self._record_change(ChangeKind.LAPSED, target)
        else:
            self._remove(target, now)

    def _remove(self, target: RegisteredTarget, now: float) -> None:
        self._departures[target.name] = (target.started_ms, now)
        if len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)
        self._lapsed.pop(target.name, None)
        del self._targets[target.name]
        self._record_change(ChangeKind.GONE, target)

    def _record_change(self, kind: ChangeKind, target: RegisteredTarget) -> None:
        self.changes.append(TargetChange(kind, target))


def _make_target(target: RegisteredTarget, region: str, warmup_s: float) -> Target:
    return Target(
        target.name,
        target.address,
        target.port,
        region,
        target.availability_zone,
        target.slots,
        target.started_ms,
        warmup_s,
    )
