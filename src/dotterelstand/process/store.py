"""HTTP client of the platform's object store."""

import json

import h11
import trio
from returns.result import Failure, Result, Success

from dotterelstand.connection.network import Network

MAX_VALUE_BYTES = 1_000_000


class StoreValue:
    """A stored value and the version under which the store holds it."""

    __slots__ = ("body", "version")

    def __init__(self, body: bytes, version: int) -> None:
        self.body = body
        self.version = version


class StoreError:
    """Why a store call gave no value."""

    __slots__ = ("code", "text")

    def __init__(self, code: int, text: str) -> None:
        self.code = code
        self.text = text

    def __str__(self) -> str:
        return f"{self.code}: {self.text}"


MISSING = 5001
CONFLICT = 5002
UNCHANGED = 5003
UNCERTAIN = 5004
UNAVAILABLE = 5005


class StoreClient:
    """Calls the object store; each call opens the connection that it uses."""

    __slots__ = ("_address", "_network", "_port", "_timeout_s")

    def __init__(self, address: str, port: int, network: Network, timeout_s: float) -> None:
        self._address = address
        self._port = port
        self._network = network
        self._timeout_s = timeout_s

    async def read(self, name: str) -> Result[StoreValue, StoreError]:
        """Value and version of an object."""
        return await self._call("GET", f"/objects/{name}", [], b"", self._timeout_s)

    async def watch(self, name: str, after: int, wait_s: float) -> Result[StoreValue, StoreError]:
        """Value newer than version `after`; fails with `UNCHANGED` after `wait_s` seconds."""
        path = f"/objects/{name}?after={after}&wait={wait_s}"
        return await self._call("GET", path, [], b"", wait_s + self._timeout_s)

    async def write(
        self, name: str, body: bytes, expected: int | None
    ) -> Result[StoreValue, StoreError]:
        """Conditional update; `expected` is the version to replace, None to create.

        Fails with `UNCERTAIN` if the update may have taken effect.
        """
        condition = (
            (b"if-none-match", b"*") if expected is None else (b"if-match", b"%d" % expected)
        )
        return await self._call("PUT", f"/objects/{name}", [condition], body, self._timeout_s)

    async def delete(self, name: str) -> Result[StoreValue, StoreError]:
        """Remove an object."""
        return await self._call("DELETE", f"/objects/{name}", [], b"", self._timeout_s)

    async def hosts(self) -> Result[list[dict[str, str]], StoreError]:
        """The platform's list of live and leaving hosts; it lags."""
        result = await self._call("GET", "/hosts", [], b"", self._timeout_s)
        return result.map(lambda value: json.loads(value.body))

    async def _call(
        self,
        method: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
        timeout_s: float,
    ) -> Result[StoreValue, StoreError]:
        sent = False
        try:
            with trio.fail_after(timeout_s):
                stream = await self._network.connect(self._address, self._port)
                async with stream:
                    sent = True
                    return await _exchange(stream, method, path, headers, body)
        except (OSError, trio.BrokenResourceError, trio.TooSlowError, h11.ProtocolError) as error:
            code = UNCERTAIN if sent and method != "GET" else UNAVAILABLE
            return Failure(StoreError(code, repr(error)))


async def _exchange(
    stream: trio.abc.Stream,
    method: str,
    path: str,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
) -> Result[StoreValue, StoreError]:
    connection = h11.Connection(h11.CLIENT)
    fields = [(b"host", b"store"), (b"content-length", b"%d" % len(body)), *headers]
    head = connection.send(h11.Request(method=method, target=path, headers=fields)) or b""
    data = connection.send(h11.Data(data=body)) or b""
    await stream.send_all(head + data + (connection.send(h11.EndOfMessage()) or b""))
    status, version, parts = 0, 0, []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(bytes(await stream.receive_some(65536)))
        elif isinstance(event, h11.Response):
            status = event.status_code
            version = int(dict(event.headers).get(b"etag", b"0"))
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return _read_status(status, version, b"".join(parts))
        else:
            raise h11.RemoteProtocolError("answer cut off")


def _read_status(status: int, version: int, body: bytes) -> Result[StoreValue, StoreError]:
    if status == 200:
        return Success(StoreValue(body, version))
    codes = {404: MISSING, 412: CONFLICT, 304: UNCHANGED}
    code = codes.get(status, UNAVAILABLE)
    return Failure(StoreError(code, f"store answered {status}"))
