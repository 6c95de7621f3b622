"""When an entry host dials which peer: jittered back-off per address."""

import random

from dotterelstand.process.peering.membership import ListedHost

# Addresses whose back-off is remembered; the oldest is forgotten first.
MAX_ADDRESSES = 4_000


class _Attempt:
    """State of one address."""

    __slots__ = ("dialling", "failures", "host", "next_s")

    def __init__(self) -> None:
        self.dialling = False
        self.failures = 0
        self.next_s = 0.0
        self.host = ""


class Dialling:
    """Decides which addresses to dial now; the time is passed in."""

    __slots__ = ("_attempts", "_max_s", "_min_s", "_rng", "_seeds")

    def __init__(self, seeds: list[str], min_s: float, max_s: float, rng: random.Random) -> None:
        self._seeds = [split_address(seed) for seed in seeds]
        self._min_s = min_s
        self._max_s = max_s
        self._rng = rng
        self._attempts: dict[tuple[str, int], _Attempt] = {}

    def due(
        self, wanted: list[ListedHost], linked: frozenset[str], now: float
    ) -> list[tuple[str, int]]:
        """Addresses to dial now; each counts as being dialled until `failed` or `succeeded`."""
        addresses = [(item.address, item.port) for item in wanted if item.host not in linked]
        for seed in self._seeds:
            attempt = self._attempts.get(seed)
            if attempt is None or attempt.host not in linked:
                addresses.append(seed)
        chosen = []
        for address in dict.fromkeys(addresses):
            attempt = self._attempts.setdefault(address, _Attempt())
            if not attempt.dialling and now >= attempt.next_s:
                attempt.dialling = True
                chosen.append(address)
        self._trim()
        return chosen

    def failed(self, address: str, port: int, now: float) -> None:
        """Record an attempt that gave no link."""
        attempt = self._attempts.setdefault((address, port), _Attempt())
        attempt.dialling = False
        attempt.failures = min(attempt.failures + 1, 16)
        limit_s = min(self._max_s, self._min_s * 2**attempt.failures)
        attempt.next_s = now + self._rng.uniform(limit_s / 2, limit_s)

    def succeeded(self, address: str, port: int, host: str) -> None:
        """Record a link; the address may be dialled again when the link is lost."""
        attempt = self._attempts.setdefault((address, port), _Attempt())
        attempt.dialling = False
        attempt.failures = 0
        attempt.next_s = 0.0
        attempt.host = host

    def wait_s(self, now: float) -> float:
        """Seconds until the next address may become due."""
        waits = [
            attempt.next_s - now
            for attempt in self._attempts.values()
            if not attempt.dialling and attempt.next_s > now
        ]
        return max(min(waits, default=self._max_s), 0.001)

    def _trim(self) -> None:
        while len(self._attempts) > MAX_ADDRESSES:
            idle = next((key for key, item in self._attempts.items() if not item.dialling), None)
            if idle is None:
                return
            del self._attempts[idle]


def split_address(text: str) -> tuple[str, int]:
    """Address and port of "address:port"; raises `ValueError` if the port is missing."""
    address, _, port = text.rpartition(":")
    return address.strip("[]"), int(port)
