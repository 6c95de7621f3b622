"""Reads the platform's list of entry hosts at a jittered interval."""

import random
from collections.abc import Callable

import trio
from returns.pipeline import is_successful

from dotterelstand.events import Event, log
from dotterelstand.process.peering.dialling import split_address
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.overlay import FULL_MESH_HOSTS
from dotterelstand.process.peering.peers import Peers
from dotterelstand.process.storage.store import StoreClient

ENTRY_ROLE = "entry"
LEAVING_STATE = "leaving"


class HostListReader:
    """Passes the host list to `Peers`; the last list stays in use during an outage of the store."""

    __slots__ = (
        "_available",
        "_default_port",
        "_host_count",
        "_interval_s",
        "_on_list",
        "_peers",
        "_rng",
        "_store",
        "first_attempt",
    )

    def __init__(
        self,
        store: StoreClient,
        peers: Peers,
        interval_s: float,
        default_port: int,
        rng: random.Random,
        on_list: Callable[[object], None] | None = None,
    ) -> None:
        self._store = store
        self._peers = peers
        self._interval_s = interval_s
        self._default_port = default_port
        self._rng = rng
        self._available = True
        self._host_count = 0
        self._on_list = on_list
        self.first_attempt = trio.Event()

    async def run(self) -> None:
        """Read the list until cancelled."""
        while True:
            await self.read_once()
            self.first_attempt.set()
            # The jitter spreads the calls of hosts that started together.
            await trio.sleep(self.interval_s() * self._rng.uniform(0.5, 1.0))

    def interval_s(self) -> float:
        """Maximum time between two reads in seconds.

        The interval is proportional to the fleet size once the fleet is too large for a full mesh.
        The list takes about 110 bytes per host, so with a fixed interval its share of the control
        traffic (3 KB/s) would grow with the fleet. Heartbeats don't depend on this interval.
        """
        return self._interval_s * max(1.0, self._host_count / FULL_MESH_HOSTS)

    async def read_once(self) -> bool:
        """Read the list once; False if the store did not return a valid one."""
        try:
            result = await self._store.hosts()
        except ValueError as error:
            return self._report_failure(str(error))
        if not is_successful(result):
            return self._report_failure(str(result.failure()))
        hosts = parse_host_list(result.unwrap(), self._default_port)
        if not self._available:
            log(Event.HOST_LIST_AVAILABLE, hosts=len(hosts))
        self._available = True
        self._host_count = len(hosts)
        self._peers.update_host_list(hosts)
        if self._on_list is not None:
            self._on_list(result.unwrap())
        return True

    def _report_failure(self, reason: str) -> bool:
        if self._available:
            log(Event.HOST_LIST_UNAVAILABLE, reason=reason)
        self._available = False
        return False


def parse_host_list(entries: object, default_port: int) -> list[ListedHost]:
    """Return the entry hosts of a host list; malformed entries are logged and skipped.

    An address without a port gets `default_port`.
    """
    hosts: list[ListedHost] = []
    for entry in entries if isinstance(entries, list) else [entries]:
        host = _parse_entry(entry, default_port)
        if host is None:
            log(Event.HOST_LIST_MALFORMED, entry=str(entry)[:200])
        elif host.host:
            hosts.append(host)
    return hosts


def _parse_entry(entry: object, default_port: int) -> ListedHost | None:
    """Parse an entry; None if malformed, a host with an empty name if its role isn't entry."""
    if not isinstance(entry, dict):
        return None
    fields = [entry.get(key, "") for key in ("host", "address", "role", "state")]
    location = [entry.get(key, "") for key in ("region", "availability_zone")]
    if not all(isinstance(value, str) for value in (*fields, *location)):
        return None
    name, address, role, state = fields
    if role != ENTRY_ROLE:
        return ListedHost("", "", 0, False)
    port = default_port
    if ":" in address:
        try:
            address, port = split_address(address)
        except ValueError:
            return None
    if not name or not address or not 0 < port < 65536:
        return None
    return ListedHost(name, address, port, state == LEAVING_STATE, location[0], location[1])
