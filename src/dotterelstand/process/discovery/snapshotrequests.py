"""Requests of an entry host to the hubs of its region for complete lists of platform objects."""

import math
from collections.abc import Sequence

import trio
from returns.pipeline import is_successful

from dotterelstand.connection.wire import Snapshot, SnapshotRequest
from dotterelstand.events import Event, log
from dotterelstand.process.discovery.registry import (
    ALL_RELAYED_KINDS,
    Kind,
    relayed_kind,
    relayed_number,
)
from dotterelstand.process.discovery.snapshots import decompress
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.peering.ranking import RELAY_KEY, rank_hosts
from dotterelstand.process.telemetry.metrics import Metrics

# Number of hubs that are asked for a list, and the time in seconds to wait for each. A hub that
# starts at the same time has to read the list first.
ATTEMPTS = 2
TIMEOUT_S = 0.6
# Shortest time in seconds between two requests for a list of the same kind. A list from a hub that
# turns out to be outdated is thus read from the store.
PAUSE_S = 1.0


class SnapshotRequests:
    """Asks hubs for lists, so that a fleet that starts does not read all of them from the store."""

    __slots__ = ("_arrived", "_mesh", "_metrics", "_next_at", "_received")

    def __init__(self, mesh: Mesh, metrics: Metrics) -> None:
        self._mesh = mesh
        self._metrics = metrics
        self._arrived = trio.Event()
        self._next_at = dict.fromkeys(ALL_RELAYED_KINDS, -math.inf)
        self._received: dict[Kind, Snapshot] = {}
        mesh.subscribe(Snapshot, self._on_snapshot)

    async def request(self, kind: Kind, reads_store: bool = True) -> bytes | None:
        """List of a kind as sent by the store; None if no hub has it or they were just asked.

        A host that does not read the store itself may get the list from any hub.
        """
        if trio.current_time() < self._next_at[kind]:
            return None
        self._next_at[kind] = trio.current_time() + PAUSE_S
        for host in self._hubs_to_ask(reads_store)[:ATTEMPTS]:
            self._received.pop(kind, None)
            if not self._mesh.send(host, SnapshotRequest(relayed_number(kind))):
                continue
            self._metrics.count("platform.snapshots_requested")
            with trio.move_on_after(TIMEOUT_S):
                while kind not in self._received:
                    await self._arrived.wait()
            snapshot = self._received.pop(kind, None)
            if snapshot is None or not snapshot.encoded:
                continue
            encoded = decompress(snapshot.encoded)
            if is_successful(encoded):
                return encoded.unwrap()
            self._metrics.count("platform.snapshots_unreadable")
            log(Event.OBJECT_UNREADABLE, kind=kind.value, name="", reason=str(encoded.failure()))
        return None

    def _hubs_to_ask(self, reads_store: bool) -> Sequence[str]:
        """Hubs of the region, in the order in which this host asks them.

        A hub asks the hubs that rank before it as a relay, so the first relay asks none. All lists
        of a region thus stem from one read of the store, and changes follow on them without a gap.
        Other hosts are spread over the hubs.
        """
        members, region, own = self._mesh.members(), self._mesh.region, self._mesh.host
        if not is_hub(self._mesh):
            return rank_hosts(own, members, region)
        ranked = rank_hosts(RELAY_KEY, members, region)
        if not reads_store:
            return [host for host in ranked if host != own]
        return ranked[: ranked.index(own)] if own in ranked else ranked

    def _on_snapshot(self, sender: str, message: Snapshot) -> None:
        if (kind := relayed_kind(message.kind)) is not None:
            self._received[kind] = message
            self._arrived.set()
            self._arrived = trio.Event()


def is_hub(mesh: Mesh) -> bool:
    """Whether this host is a hub of its region."""
    return any(member.hub for member in mesh.members() if member.host == mesh.host)
