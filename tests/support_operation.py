"""Shared helpers for the tests of the control port and the command-line tool."""

import json
import queue
import threading
from collections.abc import Iterator
from contextlib import contextmanager

import h11
import pytest
import trio

from dotterelstand.cli.main import run_tool
from dotterelstand.connection.network import TcpNetwork
from dotterelstand.process.operation.control import ControlPort, ControlRegistry
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import parse_settings

TOKEN = "operator-token-1"
TOKEN_SETTINGS = f'[control]\ntokens = ["{TOKEN}"]\nport = 0\n'


async def call_control(
    stream: trio.abc.Stream, method: str, path: str, token: str = "", body: bytes = b""
) -> tuple[int, object]:
    """Call a control port once; returns the status and the JSON value."""
    client = h11.Connection(h11.CLIENT)
    headers = [("host", "control"), ("content-length", str(len(body)))]
    if token:
        headers.append(("authorization", f"Bearer {token}"))
    data = client.send(h11.Request(method=method, target=path, headers=headers)) or b""
    data += client.send(h11.Data(data=body)) or b""
    await stream.send_all(data + (client.send(h11.EndOfMessage()) or b""))
    status, parts = 0, []
    while not isinstance(event := client.next_event(), h11.EndOfMessage):
        if event is h11.NEED_DATA:
            client.receive_data(bytes(await stream.receive_some(65536)))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
    body = b"".join(parts)
    return status, json.loads(body) if body else None


@contextmanager
def control_port_thread(registry: ControlRegistry) -> Iterator[int]:
    """Serve a control port on a free TCP port from a thread; yields the port."""
    ports: queue.Queue[tuple[int, trio.lowlevel.TrioToken, trio.CancelScope]] = queue.Queue()

    async def main() -> None:
        control = ControlPort(parse_settings(TOKEN_SETTINGS, "t").unwrap(), registry, Metrics(8))
        listener = await control.listen(TcpNetwork())
        with trio.CancelScope() as scope:
            ports.put((control.port, trio.lowlevel.current_trio_token(), scope))
            await control.serve(listener)

    thread = threading.Thread(target=trio.run, args=(main,))
    thread.start()
    port, token, scope = ports.get()
    try:
        yield port
    finally:
        trio.from_thread.run_sync(scope.cancel, trio_token=token)
        thread.join()


def run_command(capsys: pytest.CaptureFixture[str], *command: str) -> tuple[int, str, str]:
    """Run a command line; returns the exit code, standard output and standard error."""
    try:
        run_tool(list(command))
        code = 0
    except SystemExit as end:
        code = int(end.code or 0)
    out, err = capsys.readouterr()
    return code, out, err
