"""Schedules the dials of an entry host to its peers, with jittered back-off per address."""

import random

from dotterelstand.process.peering.membership import ListedHost

# Maximum number of addresses whose back-off state is kept; the oldest is evicted first.
MAX_ADDRESSES = 4_000


class _DialState:
    """Back-off state of one address."""

    __slots__ = ("dialling", "failures", "host", "retry_at")

    def __init__(self) -> None:
        self.dialling = False
        self.failures = 0
        self.retry_at = 0.0
        self.host = ""


class DialScheduler:
    """Decides which addresses to dial; methods take the current time in seconds."""

    __slots__ = ("_dial_states", "_max_s", "_min_s", "_rng", "_seeds")

    def __init__(self, seeds: list[str], min_s: float, max_s: float, rng: random.Random) -> None:
        self._seeds = [split_address(seed) for seed in seeds]
        self._min_s = min_s
        self._max_s = max_s
        self._rng = rng
        self._dial_states: dict[tuple[str, int], _DialState] = {}

    def select_addresses(
        self, wanted: list[ListedHost], linked: frozenset[str], now: float
    ) -> list[tuple[str, int]]:
        """Choose the addresses to dial now, and mark them as dialling until their outcome."""
        addresses = [(item.address, item.port) for item in wanted if item.host not in linked]
        for seed in self._seeds:
            dial_state = self._dial_states.get(seed)
            if dial_state is None or dial_state.host not in linked:
                addresses.append(seed)
        chosen = []
        for address in dict.fromkeys(addresses):
            dial_state = self._dial_states.setdefault(address, _DialState())
            if not dial_state.dialling and now >= dial_state.retry_at:
                dial_state.dialling = True
                chosen.append(address)
        self._trim()
        return chosen

    def record_failure(self, address: str, port: int, now: float) -> None:
        """Record a failed attempt and schedule the next one."""
        dial_state = self._dial_states.setdefault((address, port), _DialState())
        dial_state.dialling = False
        dial_state.failures = min(dial_state.failures + 1, 16)
        limit_s = min(self._max_s, self._min_s * 2**dial_state.failures)
        dial_state.retry_at = now + self._rng.uniform(limit_s / 2, limit_s)

    def record_success(self, address: str, port: int, host: str) -> None:
        """Record an opened link; the address may be dialled again when the link is lost."""
        dial_state = self._dial_states.setdefault((address, port), _DialState())
        dial_state.dialling = False
        dial_state.failures = 0
        dial_state.retry_at = 0.0
        dial_state.host = host

    def is_seed(self, host: str) -> bool:
        """Whether a host was reached at the address of a seed."""
        return any(
            seed in self._dial_states and self._dial_states[seed].host == host
            for seed in self._seeds
        )

    def next_dial_delay_s(self, now: float) -> float:
        """Seconds until the next address may be dialled."""
        waits = [
            dial_state.retry_at - now
            for dial_state in self._dial_states.values()
            if not dial_state.dialling and dial_state.retry_at > now
        ]
        return max(min(waits, default=self._max_s), 0.001)

    def _trim(self) -> None:
        while len(self._dial_states) > MAX_ADDRESSES:
            idle = next((key for key, item in self._dial_states.items() if not item.dialling), None)
            if idle is None:
                return
            del self._dial_states[idle]


def split_address(text: str) -> tuple[str, int]:
    """Address and port of "address:port"; raises `ValueError` if the port is missing."""
    address, _, port = text.rpartition(":")
    return address.strip("[]"), int(port)
