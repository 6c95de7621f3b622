"""Idle connections to targets."""

from types import TracebackType

import trio

from dotterelstand.connection.network import Network
from dotterelstand.connection.target import TargetConnection
from dotterelstand.version.document import Target

# Seconds within which a connection that answered may carry a non-idempotent request.
PROOF_LIFE_S = 1.0


class TargetPool:
    """Reuses connections to targets, newest first, and closes them when idle."""

    __slots__ = ("_idle", "_idle_timeout_s", "_max_head_bytes", "_max_idle", "_network")

    def __init__(
        self, network: Network, max_idle: int, idle_timeout_s: float, max_head_bytes: int
    ) -> None:
        self._network = network
        self._idle: dict[str, list[TargetConnection]] = {}
        self._max_idle = max_idle
        self._idle_timeout_s = idle_timeout_s
        self._max_head_bytes = max_head_bytes

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
                connection.close()
        self._idle.clear()

    async def acquire(self, target: Target, must_be_proven: bool) -> TargetConnection:
        """Connection for one request; raises `OSError` if the target cannot be reached."""
        now = trio.current_time()
        address = f"{target.address}:{target.port}"
        connections = self._idle.get(address, [])
        limit_s = PROOF_LIFE_S if must_be_proven else self._idle_timeout_s
        while connections:
            connection = connections.pop()
            if now - connection.last_proof_s <= limit_s:
                return connection
            connection.close()
        stream = await self._network.connect(target.address, target.port)
        return TargetConnection(stream, address, trio.current_time(), self._max_head_bytes)

    def release(self, connection: TargetConnection) -> None:
        """Take back a connection after its answer was read completely."""
        connections = self._idle.setdefault(connection.address, [])
        if len(connections) < self._max_idle and connection.recycle(trio.current_time()):
            connections.append(connection)
        else:
            connection.close()
