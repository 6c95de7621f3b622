"""Follows the platform's list of evacuated availability zones."""

import random
from collections.abc import Callable

import trio

from dotterelstand.events import Event, log
from dotterelstand.process.discovery.catalogue import Catalogue
from dotterelstand.process.discovery.evacuations import Evacuations, ZoneChange
from dotterelstand.process.discovery.listwatcher import ListWatcher
from dotterelstand.process.discovery.registry import Entry, Item, Kind, ObjectLists
from dotterelstand.process.telemetry.metrics import Metrics

# Characters of a zone's name in a log line.
MAX_LOGGED_NAME = 64
EVENTS = {
    ZoneChange.EVACUATED: Event.ZONE_EVACUATED,
    ZoneChange.RETURNED: Event.ZONE_RETURNED,
    ZoneChange.UNKNOWN: Event.ZONE_UNKNOWN,
}


class EvacuationFeed:
    """Keeps the evacuations of a catalogue up to date, and calls `publish` after each change."""

    __slots__ = ("_catalogue", "_changed", "_evacuations", "_metrics", "_publish", "_watcher")

    def __init__(
        self,
        platform: ObjectLists,
        catalogue: Catalogue,
        evacuations: Evacuations,
        watch_s: float,
        rng: random.Random,
        publish: Callable[[], None],
        metrics: Metrics,
        note_revision: Callable[[int], None],
    ) -> None:
        self._catalogue = catalogue
        self._evacuations = evacuations
        self._publish = publish
        self._metrics = metrics
        self._changed = trio.Event()
        self._watcher = ListWatcher(
            platform,
            Kind.EVACUATIONS,
            watch_s,
            rng,
            self._replace,
            self._change,
            self._on_unavailable,
            note_revision,
        )

    async def run(self) -> None:
        """Follow the list until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watcher.run)
            nursery.start_soon(self._expire)

    def _replace(self, entries: list[Entry[Item]]) -> None:
        zones = {entry.name for entry in entries}
        self._evacuations.replace(zones, self._catalogue.zones, trio.current_time())
        self._update()

    def _change(self, entries: list[Entry[Item]]) -> None:
        for entry in entries:
            if entry.removed:
                self._evacuations.end(entry.name, trio.current_time())
            else:
                self._evacuations.begin([entry.name], self._catalogue.zones)
        if entries:
            self._update()

    def _on_unavailable(self) -> None:
        """Serve without the list if it cannot be read at the start."""
        if not self._evacuations.read:
            self._evacuations.read = True
            self._publish()

    def _update(self) -> None:
        while self._evacuations.changes:
            change, zone = self._evacuations.changes.popleft()
            log(EVENTS[change], zone=zone[:MAX_LOGGED_NAME])
            if change is ZoneChange.UNKNOWN:
                self._metrics.count("evacuation.unknown_zones")
            else:
                begun = change is ZoneChange.EVACUATED
                self._metrics.count("evacuation.begun" if begun else "evacuation.ended")
        self._changed.set()
        self._publish()

    async def _expire(self) -> None:
        while True:
            self._changed = trio.Event()
            expires_at = self._evacuations.next_expiry()
            with trio.move_on_at(float("inf") if expires_at is None else expires_at):
                await self._changed.wait()
            if self._evacuations.expire(trio.current_time()):
                self._update()
