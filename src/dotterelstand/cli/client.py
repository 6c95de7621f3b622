"""HTTP client of the control ports of entry hosts."""

import json

import h11
import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.connection.network import Network
from dotterelstand.exits import ExitCode, ToolError

# Longer responses are rejected, so that a wrong port cannot exhaust the memory.
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class ControlAddress:
    """Address of one control port."""

    __slots__ = ("address", "port")

    def __init__(self, address: str, port: int) -> None:
        self.address = address
        self.port = port

    def __str__(self) -> str:
        return f"{self.address}:{self.port}"


class HostAnswers:
    """Results of one call to several hosts: values and errors by control port."""

    __slots__ = ("errors", "values")

    def __init__(self) -> None:
        self.values: dict[str, object] = {}
        self.errors: dict[str, ToolError] = {}


class ControlClient:
    """Client that calls control ports with a token."""

    __slots__ = ("_hosts", "_network", "_timeout_s", "_token")

    def __init__(
        self, network: Network, hosts: list[ControlAddress], token: str, timeout_s: float
    ) -> None:
        self._network = network
        self._hosts = hosts
        self._token = token
        self._timeout_s = timeout_s

    @property
    def hosts(self) -> list[ControlAddress]:
        """Control ports that the client calls."""
        return self._hosts

    async def read_all(self, name: str) -> HostAnswers:
        """Read a page, for example `status`, from every host."""
        answers = HostAnswers()

        async def read(host: ControlAddress) -> None:
            result = await self.call(host, "GET", f"/v1/{name}")
            if is_successful(result):
                answers.values[str(host)] = result.unwrap()
            else:
                answers.errors[str(host)] = result.failure()

        async with trio.open_nursery() as nursery:
            for host in self._hosts:
                nursery.start_soon(read, host)
        return answers

    async def call(
        self, host: ControlAddress, method: str, path: str, arguments: object = None
    ) -> Result[object, ToolError]:
        """Call a host and return the JSON value of its response."""
        body = b"" if arguments is None else json.dumps(arguments).encode()
        try:
            with trio.fail_after(self._timeout_s):
                stream = await self._network.connect(host.address, host.port)
                async with stream:
                    status, answer = await self._exchange(stream, method, path, body)
            value = json.loads(answer)
        except (OSError, trio.TooSlowError, trio.BrokenResourceError, h11.ProtocolError) as error:
            text = f"{host}: no answer from the control port: {error!r}"
            return Failure(ToolError(ExitCode.HOST_UNREACHABLE, text))
        except ValueError as error:
            text = f"{host}: the answer is not JSON: {error}"
            return Failure(ToolError(ExitCode.HOST_UNREACHABLE, text))
        return Success(value) if status == 200 else Failure(_parse_error(host, status, value))

    async def _exchange(
        self, stream: trio.abc.Stream, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        client = h11.Connection(h11.CLIENT)
        headers = [("host", "control"), ("content-length", str(len(body)))]
        headers.append(("authorization", f"Bearer {self._token}"))
        data = client.send(h11.Request(method=method, target=path, headers=headers)) or b""
        data += client.send(h11.Data(data=body)) or b""
        await stream.send_all(data + (client.send(h11.EndOfMessage()) or b""))
        status, answer = 0, b""
        while not isinstance(event := client.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                client.receive_data(bytes(await stream.receive_some(65536)))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data) and len(answer) <= MAX_ANSWER_BYTES:
                answer += bytes(event.data)
            else:
                raise h11.RemoteProtocolError("answer truncated or too long")
        return status, answer


def _parse_error(host: ControlAddress, status: int, value: object) -> ToolError:
    text = f"{host}: status {status}"
    if isinstance(value, dict):
        text = f"{host}: {value.get('code')}: {value.get('error')}"
    codes = {401: ExitCode.NOT_AUTHORIZED, 404: ExitCode.NOT_FOUND}
    return ToolError(codes.get(status, ExitCode.HOST_REFUSED), text)


def parse_hosts(items: list[str]) -> Result[list[ControlAddress], ToolError]:
    """Parse strings `address:port`; fails on the first malformed one."""
    hosts = []
    for item in items:
        address, _, port = item.strip().rpartition(":")
        if not address or not port.isdigit() or not 0 < int(port) < 65536:
            text = f"hosts: found {item!r}; each must be address:port of a control port"
            return Failure(ToolError(ExitCode.USAGE, text))
        hosts.append(ControlAddress(address.strip("[]"), int(port)))
    return Success(hosts)
