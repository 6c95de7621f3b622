"""Connection pool for targets, with a bound per target and reuse of idle connections."""

from types import TracebackType

import trio

from dotterelstand.connection.network import Network
from dotterelstand.connection.target import TargetConnection
from dotterelstand.version.model import Target

# Maximum idle time in seconds of a pooled connection that may carry a non-idempotent request.
MAX_NON_IDEMPOTENT_IDLE_S = 1.0
# Maximum idle time that no pooled connection satisfies, so that a new connection is opened.
NEW_CONNECTION_ONLY_S = -1.0
SWEEP_INTERVAL_S = 1.0
# Share of a target's Keep-Alive timeout after which a connection is no longer reused.
KEEP_ALIVE_SHARE = 0.8


class PoolLimits:
    """Bounds on the connections to targets; times in seconds.

    `sharing_hosts` is the number of entry hosts among which a target's connections are divided.
    """

    __slots__ = (
        "connect_timeout_s",
        "idle_timeout_s",
        "max_head_bytes",
        "max_idle_connections",
        "sharing_hosts",
    )

    def __init__(
        self,
        max_idle_connections: int,
        idle_timeout_s: float,
        max_head_bytes: int,
        connect_timeout_s: float,
        sharing_hosts: int,
    ) -> None:
        self.max_idle_connections = max_idle_connections
        self.idle_timeout_s = idle_timeout_s
        self.max_head_bytes = max_head_bytes
        self.connect_timeout_s = connect_timeout_s
        self.sharing_hosts = sharing_hosts


class ConnectionLimitError(Exception):
    """All connections that this host may open to a target are in use."""


class TargetPool:
    """Pool that reuses the most recently used connection first and closes idle ones."""

    __slots__ = ("_idle", "_limits", "_network", "_open", "_waiters")

    def __init__(self, network: Network, limits: PoolLimits) -> None:
        self._network = network
        self._limits = limits
        self._idle: dict[str, list[TargetConnection]] = {}
        self._open: dict[str, int] = {}
        self._waiters: dict[str, trio.lowlevel.ParkingLot] = {}

    def __enter__(self) -> "TargetPool":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for connections in self._idle.values():
            for connection in connections:
                self._close(connection)
        self._idle.clear()

    async def acquire(
        self, target: Target, connections: int, max_idle_s: float
    ) -> TargetConnection:
        """Take a connection for one request; return it with `release` or `discard`.

        The connection is new or has been idle for at most `max_idle_s` seconds.

        Raises `OSError` if the target cannot be reached within the connect timeout. Raises
        `ConnectionLimitError` if this host's share of the target's `connections` stays in use for
        that time, or if the number of waiting requests already equals that share.
        """
        address = f"{target.address}:{target.port}"
        share = max(1, connections // self._limits.sharing_hosts)
        connection = self._take_idle(address, max_idle_s)
        if connection is None and not self._has_room(address, share):
            connection = await self._wait_for_room(address, share, max_idle_s)
        return connection if connection is not None else await self._connect(target, address)

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool after its answer was read completely."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) < self._limits.max_idle_connections and connection.recycle(
            trio.current_time()
        ):
            idle.append(connection)
            self._wake_waiter(connection.address)
        else:
            self._close(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection whose answer was not read completely."""
        self._close(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a target after one of its connections went silent."""
        for connection in self._idle.pop(address, []):
            self._close(connection)

    async def sweep_forever(self) -> None:
        """Close idle connections that expired, were closed or have unexpected input."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            self.sweep(trio.current_time())

    def sweep(self, now: float) -> None:
        """Close idle connections that can no longer be reused."""
        for address, connections in list(self._idle.items()):
            kept = []
            for connection in connections:
                expired = now - connection.idle_since_s > self._reuse_limit_s(connection)
                if expired or not connection.is_reusable():
                    self._close(connection)
                else:
                    kept.append(connection)
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def in_use(self) -> int:
        """Number of connections that carry a request or are being opened."""
        return self.open_connections() - sum(map(len, self._idle.values()))

    def open_connections(self) -> int:
        """Number of open connections, idle ones included."""
        return sum(self._open.values())

    def _take_idle(self, address: str, max_idle_s: float) -> TargetConnection | None:
        idle = self._idle.get(address)
        now = trio.current_time()
        while idle:
            connection = idle.pop()
            idle_s = now - connection.idle_since_s
            if idle_s > self._reuse_limit_s(connection) or not connection.is_reusable():
                self._close(connection)
            elif idle_s > max_idle_s:
                # The others have been idle for longer; keep all for requests with a higher limit.
                idle.append(connection)
                return None
            else:
                return connection
        return None

    def _reuse_limit_s(self, connection: TargetConnection) -> float:
        """Idle time in seconds up to which a connection is safe to reuse."""
        limit_s = connection.keep_alive_timeout_s * KEEP_ALIVE_SHARE
        return min(limit_s, self._limits.idle_timeout_s)

    def _has_room(self, address: str, share: int) -> bool:
        """Whether a new connection is within the limit; closes an idle one to make room."""
        idle = self._idle.get(address)
        if idle and self._open.get(address, 0) >= share:
            self._close(idle.pop(0))
        return self._open.get(address, 0) < share

    async def _wait_for_room(
        self, address: str, share: int, max_idle_s: float
    ) -> TargetConnection | None:
        """Wait for an idle connection; returns None if there is room for a new one."""
        waiters = self._waiters.setdefault(address, trio.lowlevel.ParkingLot())
        if len(waiters) >= share:
            raise ConnectionLimitError(address)
        try:
            with trio.move_on_after(self._limits.connect_timeout_s):
                while True:
                    await waiters.park()
                    connection = self._take_idle(address, max_idle_s)
                    if connection is not None or self._has_room(address, share):
                        return connection
            raise ConnectionLimitError(address)
        finally:
            if not waiters and self._waiters.get(address) is waiters:
                del self._waiters[address]

    def _wake_waiter(self, address: str) -> None:
        waiters = self._waiters.get(address)
        if waiters is not None:
            waiters.unpark()

    async def _connect(self, target: Target, address: str) -> TargetConnection:
        self._open[address] = self._open.get(address, 0) + 1
        connected = False
        try:
            with trio.move_on_after(self._limits.connect_timeout_s):
                stream = await self._network.connect(target.address, target.port)
                connected = True
                now = trio.current_time()
                return TargetConnection(stream, address, now, self._limits.max_head_bytes)
            raise OSError(f"{address} did not accept the connection in time")
        finally:
            if not connected:
                self._count_closed(address)

    def _close(self, connection: TargetConnection) -> None:
        connection.close()
        self._count_closed(connection.address)

    def _count_closed(self, address: str) -> None:
        self._open[address] -= 1
        assert self._open[address] >= 0, f"{address} was closed twice"
        if not self._open[address]:
            del self._open[address]
        self._wake_waiter(address)
