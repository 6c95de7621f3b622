"""Enforces quotas on one host: connects the decisions to the mesh, the clock and the log."""

import random
import time
from collections.abc import Callable, Mapping

import trio

from dotterelstand.connection.quotawire import QuotaLimits, QuotaReport
from dotterelstand.events import Event, log
from dotterelstand.process.peering.mesh import Mesh
from dotterelstand.process.quota.ledger import Mode
from dotterelstand.process.quota.node import QuotaNode
from dotterelstand.process.quota.uplink import STEP_S
from dotterelstand.version.model import Document
from dotterelstand.version.workspace import Workspace

_MODE_EVENTS = {
    Mode.DELEGATED: Event.QUOTA_SHARED,
    Mode.ALONE: Event.QUOTA_ALONE,
    Mode.EXPIRED: Event.QUOTA_EXPIRED,
}


def read_clock() -> float:
    """Time of the running trio clock in seconds, which also counts while the machine is suspended.

    Only the difference between two readings has a meaning.
    """
    suspended_s = time.clock_gettime(time.CLOCK_BOOTTIME) - time.clock_gettime(time.CLOCK_MONOTONIC)
    return trio.current_time() + suspended_s


class QuotaService:
    """Implements `Quota` of `request/interfaces.py`."""

    __slots__ = ("_activated", "_clock", "_mode", "_node")

    def __init__(self, node: QuotaNode, clock: Callable[[], float]) -> None:
        self._node = node
        self._clock = clock
        self._mode = Mode.ALONE
        self._activated = trio.Event()

    @property
    def node(self) -> QuotaNode:
        """State and counters, for the status pages."""
        return self._node

    def admit(self, workspace: Workspace) -> float | None:
        """Charge one request; returns None if it may run, else seconds until a retry."""
        return self._node.admit(workspace, self._clock())

    def refund(self, workspace: Workspace) -> None:
        """Undo the charge for a request that did not run."""
        self._node.refund(workspace, self._clock())

    def apply(self, document: Document) -> None:
        """Apply a new version of the document."""
        self._node.apply(document, self._clock())
        if self._node.is_active:
            self._activated.set()

    def is_able(self) -> bool:
        """Whether this host knows the limits in force, without which it should get no callers."""
        return self._node.is_able(self._clock())

    def page(self) -> dict[str, object]:
        """State for the control page."""
        node, now = self._node, self._clock()
        shares = node.ledger.shares
        return {
            "mode": node.ledger.mode(now).value if node.is_active else "off",
            "collector": node.to_collector.server or "",
            "coordinator": node.coordinator_name,
            "sharing_hosts": node.sharing,
            "hosts": node.ledger.hosts,
            "workspaces": [
                {
                    "workspace": item.name,
                    "rate_per_s": item.rate_per_s,
                    "burst": item.burst,
                    "admitted_share": round(shares.get(key, 1.0), 4),
                }
                for key, item in node.limited.items()
            ],
        }

    async def run(self) -> None:
        """Send reports and log changes until cancelled."""
        while True:
            await self._activated.wait()
            while self._node.is_active:
                now = self._clock()
                self._node.step(now)
                self._log(now)
                await trio.sleep(STEP_S)
            self._activated = trio.Event()

    def _log(self, now: float) -> None:
        node = self._node
        mode = node.ledger.mode(now)
        if mode is not self._mode:
            self._mode = mode
            fields = {"coordinator": node.coordinator_name, "sharing": node.sharing}
            log(_MODE_EVENTS[mode], hosts=node.ledger.hosts, **fields)
        state = node.coordinator
        for change in state.changes:
            event = Event.QUOTA_LIMITED if change.share is not None else Event.QUOTA_UNLIMITED
            log(
                event,
                workspace=change.workspace,
                share=1.0 if change.share is None else round(change.share, 4),
                sharing=state.sharing,
                hosts=state.hosts,
            )
        state.changes.clear()


def make_quota(
    mesh: Mesh,
    region_sizes: Callable[[], Mapping[str, int]],
    has_host_list: Callable[[], bool],
    rng: random.Random,
    clock: Callable[[], float] = read_clock,
    in_contact: Callable[[], bool] = lambda: False,
) -> QuotaService:
    """Create the service of one host; must be called within `trio.run`.

    `region_sizes` has the number of hosts of each region; it counts once `has_host_list`.
    `in_contact` tells whether this host has recently heard of the platform's store.
    """

    def counts() -> Mapping[str, int]:
        return region_sizes() if has_host_list() else {}

    node = QuotaNode(mesh.host, mesh.region, mesh.send, mesh.members, counts, rng, clock())
    node.ledger.in_contact = in_contact

    def on_report(sender: str, message: QuotaReport) -> None:
        node.on_report(sender, message, clock())

    def on_limits(sender: str, message: QuotaLimits) -> None:
        node.on_limits(sender, message, clock())

    mesh.subscribe(QuotaReport, on_report)
    mesh.subscribe(QuotaLimits, on_limits)
    return QuotaService(node, clock)
