"""Interface between an entry host and the platform that it runs on."""

from typing import Protocol

import trio

from dotterelstand.process.operation.control import ControlRegistry
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.request.interfaces import Freshness, Journal
from dotterelstand.settings import Settings


class PlatformAdapter(Protocol):
    """Supplies the document and the list of entry hosts, and stores durable state."""

    @property
    def number(self) -> int:
        """Number of the document in force, 0 before the first."""

    @property
    def journal(self) -> Journal | None:
        """Journal of keyed requests, None if no route uses idempotency keys."""

    @property
    def freshness(self) -> Freshness | None:
        """Proof that the document in force is current, None if no key needs one."""

    @property
    def has_host_list(self) -> bool:
        """Whether the list of entry hosts has been read."""

    @property
    def host_list_attempted(self) -> trio.Event:
        """Set after the first attempt to read the list of entry hosts."""

    def register(self, registry: ControlRegistry, metrics: Metrics) -> None:
        """Register the control pages and counters of the platform."""

    def reload(self, settings: Settings, changed: list[str]) -> list[str]:
        """Apply new settings; returns the changed keys that took effect without a restart."""

    async def run(self) -> None:
        """Keep the document and the host list up to date until cancelled."""

    async def stop(self) -> None:
        """Store pending request outcomes and release leases, if there are any.

        Other hosts then need not wait for the leases to expire.
        """
