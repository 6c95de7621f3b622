"""Health tables of one service's targets, by region, as seen from one region."""

from dotterelstand.process.selection.health import HealthTable
from dotterelstand.process.selection.slotindex import NO_TARGETS
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.process.selection.warmup import limit_of
from dotterelstand.version.model import Service


class TargetTables:
    """Tables of the targets of this region and of the other regions.

    `local` holds all targets if this region has none. Lives as long as one version of the service.
    """

    __slots__ = ("_by_index", "_by_name", "_indexes", "local", "remote")

    def __init__(self, service: Service, region: str, tuning: SelectionTuning) -> None:
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

    def excluded_positions(self, names: frozenset[str], table: HealthTable) -> frozenset[int]:
        """Positions in a table of the targets with these names, as far as the service has them."""
        if not names:
            return NO_TARGETS
        found = (self._by_name[name] for name in names if name in self._by_name)
        return frozenset(position for other, position in found if other is table)
