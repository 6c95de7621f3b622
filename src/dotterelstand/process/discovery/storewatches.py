"""Watches of the platform's store by this host, which end if the store does not answer a check."""

import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result

from dotterelstand.process.discovery.registry import (
    UNANSWERED,
    Item,
    Kind,
    Listing,
    Platform,
    PlatformError,
)
from dotterelstand.process.telemetry.metrics import Metrics


class StoreWatches:
    """The open watches by kind; there is at most one of each.

    For each kind that is followed, `pauses_s` is the delay in seconds between a watch that returned
    changes and the next one, so that changes in quick succession are read in one batch.
    """

    __slots__ = ("_metrics", "_next_at", "_open", "_pauses_s", "_platform")

    def __init__(self, platform: Platform, metrics: Metrics, pauses_s: dict[Kind, float]) -> None:
        self._platform = platform
        self._metrics = metrics
        self._pauses_s = pauses_s
        self._next_at = dict.fromkeys(pauses_s, 0.0)
        self._open: dict[Kind, trio.CancelScope] = {}

    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        """Watch the store; fails with `UNANSWERED` if the watch is ended by `cancel`."""
        await trio.sleep_until(self._next_at[kind])
        self._metrics.count("platform.watches")
        with trio.CancelScope() as scope:
            self._open[kind] = scope
            try:
                result = await self._platform.watch(kind, revision, wait_s)
            finally:
                del self._open[kind]
        if scope.cancelled_caught:
            error = PlatformError(
                UNANSWERED, "cancelled the watch because the store did not answer a check"
            )
            result = Failure(error)
        elif is_successful(result) and result.unwrap().entries:
            self._next_at[kind] = trio.current_time() + self._pauses_s[kind]
        return result

    def cancel(self) -> None:
        """End the open watches.

        A watch over a lost connection would wait until the kernel detects the loss.
        """
        for scope in self._open.values():
            scope.cancel()
