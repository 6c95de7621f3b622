"""A list of the platform is read and watched; failures decide whether it counts as unavailable."""

import random

import pytest
import trio
from returns.result import Failure, Result, Success

from dotterelstand.process.discovery.listwatcher import ListWatcher
from dotterelstand.process.discovery.registry import (
    HISTORY_LOST,
    REFUSED,
    UNANSWERED,
    Item,
    Kind,
    Listing,
    PlatformError,
)
from dotterelstand.standin.virtual import run_virtual

ANSWERED = 0


class ScriptedLists:
    """Answers calls with the outcomes of a script, then waits; `ANSWERED` stands for success."""

    def __init__(self, lists: list[int], watches: list[int]) -> None:
        self._outcomes = {"list": list(lists), "watch": list(watches)}

    async def list(self, kind: Kind) -> Result[Listing[Item], PlatformError]:
        return await self._next("list")

    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        return await self._next("watch")

    async def _next(self, call: str) -> Result[Listing[Item], PlatformError]:
        await trio.sleep(0.01)
        if not self._outcomes[call]:
            await trio.sleep_forever()
        outcome = self._outcomes[call].pop(0)
        if outcome is ANSWERED:
            return Success(Listing([], 1, b""))
        return Failure(PlatformError(outcome, "scripted"))


@pytest.mark.parametrize(
    ("lists", "watches", "lists_read", "unavailable"),
    [
        ([ANSWERED], [], 1, 0),
        ([ANSWERED, ANSWERED], [UNANSWERED], 2, 0),
        ([ANSWERED, ANSWERED], [ANSWERED, HISTORY_LOST], 2, 0),
        ([ANSWERED, ANSWERED, ANSWERED], [REFUSED, UNANSWERED], 3, 0),
        ([ANSWERED, UNANSWERED, ANSWERED], [UNANSWERED], 2, 1),
        ([REFUSED, UNANSWERED, ANSWERED], [], 1, 2),
    ],
)
def test_only_a_list_that_cannot_be_read_makes_the_platform_unavailable(
    lists: list[int], watches: list[int], lists_read: int, unavailable: int
) -> None:
    """Guards against targets in use after they left, since a watch ended early.

    Targets that disappear around an outage are kept for a while, and a platform may end any watch.
    """
    calls: list[str] = []

    async def main() -> None:
        watcher = ListWatcher(
            ScriptedLists(lists, watches),  # type: ignore[arg-type]
            Kind.TARGETS,
            10.0,
            random.Random(1),
            lambda entries: calls.append("list"),
            lambda entries: calls.append("changes"),
            lambda: calls.append("unavailable"),
        )
        with trio.move_on_after(10.0):
            await watcher.run()

    run_virtual(main, seed=1)
    assert calls.count("list") == lists_read
    assert calls.count("unavailable") == unavailable
