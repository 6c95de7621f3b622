"""Bytes of one HTTP load probe, as h11 encodes its request and its answer."""

import json

import h11


def probe_bytes() -> int:
    """Bytes of `GET /load` and its answer on an open connection, without TCP and IP headers."""
    client = h11.Connection(h11.CLIENT)
    request = h11.Request(method="GET", target="/load", headers=[("host", "10.0.0.1:9000")])
    sent = client.send(request) or b""
    sent += client.send(h11.EndOfMessage()) or b""
    server = h11.Connection(h11.SERVER)
    server.receive_data(sent)
    assert isinstance(server.next_event(), h11.Request)
    body = json.dumps({"in_flight": 2}).encode()
    headers = [("content-length", str(len(body)))]
    answer = server.send(h11.Response(status_code=200, headers=headers)) or b""
    answer += server.send(h11.Data(data=body)) or b""
    return len(sent) + len(answer)
