"""Periodic checks by a relay whether the platform's store answers it."""

import math
from collections.abc import Awaitable, Callable

import trio
from returns.pipeline import is_successful
from returns.result import Result

from dotterelstand.process.discovery.registry import Platform, PlatformError
from dotterelstand.process.discovery.relayview import RELAY_STATE_TTL_S
from dotterelstand.process.telemetry.metrics import Metrics

# Seconds between two store checks of a relay, and the timeout of a check. Their sum is less than
# `RELAY_STATE_TTL_S`, so that a relay's report does not expire before its next one.
CHECK_INTERVAL_S = 0.5
CHECK_TIMEOUT_S = 0.6
# Longest wait in seconds for a successful check, since a host that is a relay no longer makes none.
MAX_WAIT_S = 2.0


CheckCall = Callable[[], Awaitable[Result[bool, PlatformError]]]


class StoreChecks:
    """Makes the checks of one host and keeps their results."""

    __slots__ = ("_answered", "_failed_until", "_metrics", "_platform", "last_failed")

    def __init__(self, platform: Platform, metrics: Metrics) -> None:
        self._platform = platform
        self._metrics = metrics
        self._failed_until = -math.inf
        self._answered = trio.Event()
        # Whether the last check failed, however long ago.
        self.last_failed = False

    def is_failing(self, now: float) -> bool:
        """Whether a check failed recently, so that other hosts take this relay's place."""
        return now < self._failed_until

    async def check(self, call: CheckCall | None = None) -> bool:
        """Check whether the store answers, with the cheapest call of its protocol or with `call`.

        The result of `call` is whether the open watches are sound.
        """
        answers = False
        with trio.move_on_after(CHECK_TIMEOUT_S):
            if call is None:
                answers = is_successful(await self._platform.check())
            else:
                answers = (await call()).value_or(False)
        self._metrics.count("platform.checks")
        self.last_failed = not answers
        if answers:
            self._answered.set()
            self._answered = trio.Event()
        else:
            self._metrics.count("platform.checks_failed")
            self._failed_until = trio.current_time() + RELAY_STATE_TTL_S
        return answers

    async def wait_until_answered(self) -> None:
        """Wait for the next successful check, at most `MAX_WAIT_S` seconds."""
        with trio.move_on_after(MAX_WAIT_S):
            await self._answered.wait()
