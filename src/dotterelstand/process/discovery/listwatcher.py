"""Keeps one list of the platform up to date."""

import random
from collections.abc import Callable

import trio
from returns.pipeline import is_successful

from dotterelstand.events import Event, log
from dotterelstand.process.discovery.registry import (
    HISTORY_LOST,
    Entry,
    Item,
    Kind,
    ObjectLists,
    PlatformError,
)

# Delay in seconds before the next call to a platform that doesn't answer; it doubles up to the
# maximum. A host must be up to date 3 s after an outage of the platform, and the grace period of
# lapsed targets takes 2.2 s of that. Hosts that follow relays hear of the end of an outage from
# them, and relays from their checks, so only a host without links waits this long.
RETRY_MIN_S = 0.1
RETRY_MAX_S = 1.0


class Backoff:
    """Exponential back-off with jitter between failed calls."""

    __slots__ = ("_pause_s", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause_s = RETRY_MIN_S

    def reset(self) -> None:
        """Restart the back-off after a successful call."""
        self._pause_s = RETRY_MIN_S

    async def sleep(self) -> None:
        """Wait before the next call."""
        await trio.sleep(self._pause_s * self._rng.uniform(0.5, 1.0))
        self._pause_s = min(RETRY_MAX_S, 2 * self._pause_s)


class ListWatcher:
    """Keeps one list up to date: reads it, watches it, and reads it again after a failed watch.

    `on_list` gets a complete list, `on_changes` gets later changes, and `on_unavailable` is called
    when a list cannot be read. A failed watch alone does not mean that the platform is unavailable:
    the platform may end a watch, and a relay may have lost the platform while this host reaches it.
    """

    __slots__ = (
        "_available",
        "_backoff",
        "_kind",
        "_note_revision",
        "_on_changes",
        "_on_list",
        "_on_unavailable",
        "_platform",
        "_watch_s",
    )

    def __init__(
        self,
        platform: ObjectLists,
        kind: Kind,
        watch_s: float,
        rng: random.Random,
        on_list: Callable[[list[Entry[Item]]], None],
        on_changes: Callable[[list[Entry[Item]]], None],
        on_unavailable: Callable[[], None],
        note_revision: Callable[[int], None] = lambda revision: None,
    ) -> None:
        self._platform = platform
        self._kind = kind
        self._watch_s = watch_s
        self._backoff = Backoff(rng)
        self._on_list = on_list
        self._on_changes = on_changes
        self._on_unavailable = on_unavailable
        # Gets the revision of a list or of changes before they are applied.
        self._note_revision = note_revision
        self._available = True

    async def run(self) -> None:
        """Keep the list up to date until cancelled."""
        while True:
            listing = await self._platform.list(self._kind)
            if not is_successful(listing):
                self._mark_unavailable(listing.failure())
                await self._backoff.sleep()
                continue
            self._mark_available()
            self._note_revision(listing.unwrap().revision)
            self._on_list(listing.unwrap().entries)
            await self._watch(listing.unwrap().revision)

    async def _watch(self, revision: int) -> None:
        """Watch from a revision until a watch fails; `run` then reads the whole list again."""
        while True:
            changes = await self._platform.watch(self._kind, revision, self._watch_s)
            if not is_successful(changes):
                break
            self._mark_available()
            revision = changes.unwrap().revision
            self._note_revision(revision)
            self._on_changes(changes.unwrap().entries)
        if changes.failure().code == HISTORY_LOST:
            log(Event.HISTORY_LOST, kind=self._kind.value, revision=revision)
        else:
            log(Event.WATCH_FAILED, kind=self._kind.value, error=str(changes.failure()))
            await self._backoff.sleep()

    def _mark_available(self) -> None:
        self._backoff.reset()
        if not self._available:
            self._available = True
            log(Event.PLATFORM_AVAILABLE, kind=self._kind.value)

    def _mark_unavailable(self, error: PlatformError) -> None:
        self._on_unavailable()
        if self._available:
            self._available = False
            log(Event.PLATFORM_UNAVAILABLE, kind=self._kind.value, error=str(error))
