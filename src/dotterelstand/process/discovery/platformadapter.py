"""What an entry host needs from the platform that it runs on."""

from typing import Protocol

import trio

from dotterelstand.process.operation.control import ControlRegistry
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.request.ports import Journal
from dotterelstand.settings import Settings


class PlatformAdapter(Protocol):
    """Feeds the document and the other entry hosts, and keeps what must last."""

    @property
    def number(self) -> int:
        """Number of the document in force, 0 before the first."""

    @property
    def journal(self) -> Journal | None:
        """Record of keyed requests, None where no route has keys."""

    @property
    def host_list_attempted(self) -> trio.Event:
        """Set when the list of entry hosts was asked for once."""

    def register(self, registry: ControlRegistry, metrics: Metrics) -> None:
        """Register the pages and counters."""

    def reload(self, settings: Settings, changed: list[str]) -> list[str]:
        """Take new settings; returns the changed keys that are in force now."""

    async def run(self) -> None:
        """Work until cancelled."""

    async def stop(self) -> None:
        """Hand over what others wait for, before the host stops."""
