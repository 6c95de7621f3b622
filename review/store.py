"""Stand-in of the platform's metadata store over HTTP/1.1, as PROTOCOL.md describes it."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

OBJECTS_PATH = "/dotterelstand/objects/"
PAGE_OBJECTS = 500
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Objects by kind and name, with one revision counter, a history and watches."""

    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self, address, port=0):
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._serve, address, port)
        return self._server.sockets[0].getsockname()[1]

    def put(self, kind, name, spec):
        """Create an object or replace its spec; a put that changes nothing makes no event."""
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return old
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "createRev": old["metadata"]["createRev"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = item
        self._record(kind, item, False)
        return item

    def remove(self, kind, name):
        """Remove an object."""
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            item = {**item, "metadata": {**item["metadata"], "revision": self.revision}}
            self._record(kind, item, True)

    def _record(self, kind, item, removed):
        self.history.append((self.revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                method, target, _, body = request
                status, value = await self._answer(method, target, body)
                data = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, body):
        url = urlsplit(target)
        kind, _, name = url.path.removeprefix(OBJECTS_PATH).partition("/")
        kind, name = unquote(kind), unquote(name)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
        if method == "GET":
            return self._read(kind, name, query)
        fields = json.loads(body or b"{}")
        name = name or fields["metadata"]["name"]
        exists = (kind, name) in self.objects
        if method == "POST":
            if exists:
                return 409, self.objects[kind, name]
            return 201, self.put(kind, name, fields["spec"])
        if not exists:
            return 404, {}
        return 200, self.put(kind, name, fields["spec"])

    def _read(self, kind, name, query):
        if name:
            item = self.objects.get((kind, name))
            return (200, item) if item else (404, {})
        names = sorted(key[1] for key in self.objects if key[0] == kind)
        names = [item for item in names if item > query.get("after", "")]
        items = [self.objects[kind, item] for item in names[:PAGE_OBJECTS]]
        more = len(names) > PAGE_OBJECTS
        return 200, {"items": items, "hasMore": more, "currentRev": self.revision}

    async def _watch(self, kind, revision, wait_s):
        until = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [
                {"object": item, "removed": removed}
                for changed, of_kind, item, removed in self.history
                if changed > revision and of_kind == kind
            ]
            left_s = until - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass


async def read_request(reader, on_head=None):
    """Read one request: method, target, headers and body; None at the end of the stream.

    `on_head` is called with the headers before the body is read.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    if on_head is not None:
        on_head(headers)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return method, target, headers, await read_chunks(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


async def read_chunks(reader):
    """Read a chunked body without trailers."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body


def route(service, prefix, kind, **changes):
    """Resource of a route."""
    spec = {
        "host": "shop.example",
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutS": 1.2,
        "targetLatencyS": 0.6,
        "priority": 1,
        "service": service,
        "attempts": 3,
        **changes,
    }
    return {"resourceType": "routes", "metadata": {"name": f"r{prefix}"}, "spec": spec}


def configuration(version, routes, services):
    """A whole configuration, as the operator writes it to `config/main`."""
    described = [
        {
            "resourceType": "services",
            "metadata": {"name": name},
            "spec": {"healthPath": "/health", "maxConns": 260, "protocol": "h1", "tls": False},
        }
        for name in services
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 8388608,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    }
    bounds = {"resourceType": "limits", "metadata": {"name": "limits"}, "spec": limits}
    return {"version": f"{version:08x}", "resources": [*routes, *described, bounds]}
