"""Size of one HTTP load probe: its request and response as h11 encodes them."""

import json

import h11


def probe_bytes() -> int:
    """Bytes of `GET /load` and its response on an open connection, without TCP and IP headers."""
    client = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target="/load", headers=[("host", "10.0.0.1:9000")])
    request_bytes = client.send(request) or b""
    request_bytes += client.send(h11.EndOfMessage()) or b""
    server = h11.Connection(h11.SERVER)
    server.receive_data(request_bytes)
    assert isinstance(server.next_event(), h11.Request)
    body = json.dumps({"in_flight": 2}).encode()
    headers = [("content-length", str(len(body)))]
    response_bytes = server.send(h11.Response(status_code=200, headers=headers)) or b""
    response_bytes += server.send(h11.Data(data=body)) or b""
    return len(request_bytes) + len(response_bytes)
