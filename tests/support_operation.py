"""Shared helpers for the tests of what operators use."""

import json

import h11
import trio

TOKEN = "operator-token-1"
TOKEN_SETTINGS = f'[control]\ntokens = ["{TOKEN}"]\nport = 0\n'


async def call_control(
    stream: trio.abc.Stream, method: str, path: str, token: str = "", body: bytes = b""
) -> tuple[int, object]:
    """Status and JSON value of one call to a control port."""
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
    return status, json.loads(b"".join(parts))
