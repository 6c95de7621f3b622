"""Share of one entry host in the retries of a fleet beyond those that follow from its requests."""

import random
from collections.abc import Callable

# Part of the fleet's reserve that its hosts share. The rest covers hosts that restart, which begin
# with a full share, and requests that are counted a moment later than their retries.
RESERVE_SHARE = 0.5


class RetryReserve:
    """Number of retries per window that a host may add to the share of its requests.

    The fleet may make `fleet_retries` in a window of `window_s` seconds. A host of a large fleet
    has less than one of them. `spare` therefore includes a random fraction for each window, so that
    a host which rounds its budget down makes as many retries on average as it has.
    """

    __slots__ = (
        "_fleet_retries",
        "_fraction",
        "_hosts",
        "_rng",
        "_second",
        "_share",
        "_window",
        "_window_s",
    )

    def __init__(
        self, fleet_retries: float, window_s: float, hosts: Callable[[], int], rng: random.Random
    ) -> None:
        self._fleet_retries = fleet_retries
        self._window_s = window_s
        self._hosts = hosts
        self._rng = rng
        self._second = -1
        self._share = 0.0
        self._window = -1
        self._fraction = 0.0

    def spare(self, now: float) -> float:
        """Retries in the window at `now` (seconds), to be rounded down after addition."""
        if not self._fleet_retries:
            return 0.0
        if int(now) != self._second:
            # Counting the hosts takes a walk over all of them.
            self._second = int(now)
            self._share = RESERVE_SHARE * self._fleet_retries / max(1, self._hosts())
        window = int(now / self._window_s)
        if window != self._window:
            self._window = window
            self._fraction = self._rng.random()
        return self._share + self._fraction
