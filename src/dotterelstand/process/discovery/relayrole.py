"""Decides which hosts of a region call the platform's store for it."""

import trio

from dotterelstand.events import Event, log
from dotterelstand.process.discovery.registry import Kind
from dotterelstand.process.discovery.relayview import RelayStatus, RelayView
from dotterelstand.process.discovery.storechecks import StoreChecks
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.peering.ranking import RELAY_KEY, choose_relays, rank_hosts

# Number of relays of a region, in a full mesh and in a larger fleet. A larger fleet has two, since
# the loss of a single relay would make dozens of hosts call the store.
RELAYS_IN_MESH = 1
RELAYS_IN_OVERLAY = 2


class RelayRole:
    """The role of this host in its region."""

    __slots__ = ("_checks", "_mesh", "_relay_view", "_relying_on_relays")

    def __init__(self, mesh: Mesh, relay_view: RelayView, checks: StoreChecks) -> None:
        self._mesh = mesh
        self._relay_view = relay_view
        self._checks = checks
        self._relying_on_relays = True

    @property
    def is_relay(self) -> bool:
        """Whether this host watches the store for its region."""
        count = RELAYS_IN_OVERLAY if self._mesh.is_overlay else RELAYS_IN_MESH
        return self._mesh.host in choose_relays(self._ranked(), count, self._failing())

    @property
    def reads_store(self) -> bool:
        """Whether this host watches the store itself.

        A relay that the store refuses uses the changes from other relays, if they reach it: each
        refused call costs as much as an answered one.
        """
        now = trio.current_time()
        others_reach_store = self._relay_view.reports_expire_at(now) > now
        return self.is_relay and not (self._checks.is_failing(now) and others_reach_store)

    @property
    def proves(self) -> bool:
        """Whether this host proves to its region that the configuration is current."""
        failing = self._failing()
        able = [host for host in self._ranked() if host not in failing]
        return able[:1] == [self._mesh.host]

    def note_status(self, kind: Kind, status: RelayStatus) -> None:
        """Log when this host begins or ceases to rely on the relays."""
        relied = status not in (RelayStatus.LOST, RelayStatus.SILENT)
        # A relay that does not follow evacuations may be relied on for the other kinds.
        if relied != self._relying_on_relays and kind is not Kind.EVACUATIONS:
            self._relying_on_relays = relied
            log(
                Event.RELAYS_RELIED_ON if relied else Event.RELAYS_NOT_RELIED_ON,
                kind=kind.value,
                standing=status.value,
            )

    def _ranked(self) -> list[str]:
        return rank_hosts(RELAY_KEY, self._mesh.members(), self._mesh.region)

    def _failing(self) -> set[str]:
        now = trio.current_time()
        failing = {host for host in self._ranked() if self._relay_view.reports_failure(host, now)}
        if self._checks.is_failing(now):
            failing.add(self._mesh.host)
        return failing
