"""Health tables of one service's targets, by region, as seen from one region."""

from dotterelstand.process.selection.health import HealthTable
from dotterelstand.process.selection.slotindex import NO_TARGETS
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.process.selection.warmup import limit_of
from dotterelstand.version.model import Service

# Maximum number of sets of regions whose positions are kept; a document uses few of them.
MAX_REGION_SETS = 64


class TargetTables:
    """Tables of the targets of this region and of the other regions.

    `local` holds all targets if this region has none. Lives as long as one version of the service.
    Sets of regions are as in `SlotCall`.
    """

    __slots__ = (
        "_by_index",
        "_by_name",
        "_indexes",
        "_outside",
        "_region",
        "_regions",
        "local",
        "remote",
    )

    def __init__(self, service: Service, region: str, tuning: SelectionTuning) -> None:
        self._region = region
        # Region of each target by its name.
        self._regions = {target.name: target.region for target in service.targets}
        # Positions outside of a set of regions in the local and the remote table.
        self._outside: dict[tuple[frozenset[str], bool], frozenset[int]] = {}
        local = [target for target in service.targets if target.region == region]
        remote = [target for target in service.targets if target.region != region]
        local_limit = limit_of(service, False if local else None)
        remote_limit = limit_of(service, None)
        if not local:
            local, remote = remote, []
        self.local = HealthTable(local, tuning, limit=local_limit)
        self.remote = HealthTable(remote, tuning, remote=True, limit=remote_limit)
        self._by_name = {
            target.name: (table, position)
            for table, targets in ((self.local, local), (self.remote, remote))
            for position, target in enumerate(targets)
        }
        self._by_index = [self._by_name[target.name] for target in service.targets]
        indexes = {target.name: index for index, target in enumerate(service.targets)}
        self._indexes = {
            id(self.local): [indexes[target.name] for target in local],
            id(self.remote): [indexes[target.name] for target in remote],
        }

    def copy_state(self, old: "TargetTables") -> None:
        """Copy the state of the targets that an older version of the service has, too."""
        self.local.copy_state(old.local)
        self.remote.copy_state(old.remote)

    def at(self, index: int) -> tuple[HealthTable, int]:
        """Table and position of the target with an index in the service."""
        return self._by_index[index]

    def find(self, name: str) -> tuple[HealthTable, int] | None:
        """Table and position of the target with a name, or None."""
        return self._by_name.get(name)

    def index_of(self, table: HealthTable, position: int) -> int:
        """Index in the service of the target at a position of a table."""
        return self._indexes[id(table)][position]

    def home(self, regions: frozenset[str]) -> HealthTable:
        """Table whose targets a call waits for: of this region, unless the regions exclude it."""
        if not regions or self._region in regions or not self.remote.targets:
            return self.local
        return self.remote

    def share(self, regions: frozenset[str], table: HealthTable) -> float:
        """Share of a table's targets that are in the regions."""
        outside = len(self._positions_outside(regions, table))
        return 1 - outside / len(table.targets) if outside else 1.0

    def excluded_positions(
        self, names: frozenset[str], table: HealthTable, regions: frozenset[str]
    ) -> frozenset[int]:
        """Positions in a table of the targets with these names, or outside of the regions."""
        outside = self._positions_outside(regions, table)
        if not names:
            return outside
        found = (self._by_name[name] for name in names if name in self._by_name)
        return outside.union(position for other, position in found if other is table)

    def _positions_outside(self, regions: frozenset[str], table: HealthTable) -> frozenset[int]:
        if not regions:
            return NO_TARGETS
        key = (regions, table is self.local)
        found = self._outside.get(key)
        if found is None:
            if len(self._outside) >= MAX_REGION_SETS:
                self._outside.clear()
            found = self._outside[key] = frozenset(
                position
                for position, target in enumerate(table.targets)
                if self._regions[target.name] not in regions
            )
        return found
