"""Stand-in for the users' platform: its metadata store, instances and configurations."""

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
import trio

from dotterelstand.standin.httpd import HttpAnswer, HttpRequest

OBJECTS_PATH = "/dotterelstand/objects/"
PAGE_OBJECTS = 50


class MetadataStore:
    """Objects by kind and name with revisions, watches, finalizers and faults.

    A nonzero `status` is the answer to every call. With `silent` calls get no answer, and with
    `lose_write_answers` writes take effect but get no answer. `era` is sent with every answer,
    and `restore` goes back to an earlier `copy`.
    """

    def __init__(self) -> None:
        self.revision = 100
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, dict[str, Any], bool]] = []
        self.oldest_revision = 100
        self.status = 0
        self.silent = False
        self.era: str | None = None
        # Holds the answers that are ready, which are then sent with the era of their call.
        self.hold: trio.Event | None = None
        self.lose_write_answers = False
        self.calls: list[str] = []
        self._changed = trio.Event()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Create an object or replace its spec."""
        old = self.objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "createRev": old["metadata"]["createRev"] if old else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        self._store(kind, {"metadata": metadata, "spec": spec, "status": None}, False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, or mark it as being deleted if it has finalizers."""
        item = self.objects[kind, name]
        self.revision += 1
        metadata = {**item["metadata"], "revision": self.revision}
        if metadata["finalizers"]:
            metadata["deleting"] = True
            self._store(kind, {**item, "metadata": metadata}, False)
            return
        self._store(kind, {**item, "metadata": metadata}, True)

    def forget_history(self) -> None:
        """Drop the history of changes; watches from earlier revisions get status 410."""
        self.oldest_revision = self.revision
        self.history.clear()
        self._wake()

    def copy(self) -> tuple[int, dict[tuple[str, str], dict[str, Any]]]:
        """Return a copy of the revision and the objects."""
        return self.revision, dict(self.objects)

    def restore(self, copy: tuple[int, dict[tuple[str, str], dict[str, Any]]], era: str) -> None:
        """Go back to a copy, with another era and without history."""
        self.revision, objects = copy
        self.objects = dict(objects)
        self.era = era
        self.forget_history()

    async def handle(self, request: HttpRequest) -> HttpAnswer | None:
        """Answer one call; None closes the connection."""
        era = self.era
        answer = await self._handle(request)
        if self.hold is not None:
            await self.hold.wait()
        else:
            era = self.era
        if answer is not None and era is not None:
            answer.headers.append(("Store-Era", era))
        return answer

    async def _handle(self, request: HttpRequest) -> HttpAnswer | None:
        self.calls.append(f"{request.method} {request.path}")
        if self.silent:
            await trio.sleep_forever()
        if self.status:
            return HttpAnswer(self.status)
        url = urlsplit(request.path)
        kind, _, name = url.path.removeprefix(OBJECTS_PATH).partition("/")
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if request.method == "GET":
            return await self._read(kind, name, query)
        answer = self._write(request.method, kind, name, query, request.body)
        return None if self.lose_write_answers else answer

    async def _read(self, kind: str, name: str, query: dict[str, str]) -> HttpAnswer:
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]) / 1000)
        if name:
            item = self.objects.get((kind, name))
            return _answer(item) if item else HttpAnswer(404)
        names = sorted(key[1] for key in self.objects if key[0] == kind)
        names = [item for item in names if item > query.get("after", "")]
        items = [self.objects[kind, item] for item in names[:PAGE_OBJECTS]]
        more = len(names) > PAGE_OBJECTS
        return _answer({"items": items, "hasMore": more, "currentRev": self.revision})

    async def _watch(self, kind: str, revision: int, wait_s: float) -> HttpAnswer:
        events: list[dict[str, Any]] = []
        with trio.move_on_after(wait_s):
            while True:
                if revision < self.oldest_revision or revision > self.revision:
                    return HttpAnswer(410)
                events = [
                    {"object": {key: item[key] for key in item if key != "kind"}, "removed": gone}
                    for revision_of_change, item, gone in self.history
                    if revision_of_change > revision and item["kind"] == kind
                ]
                if events:
                    break
                await self._changed.wait()
        return _answer({"events": events, "currentRev": self.revision})

    def _write(
        self, method: str, kind: str, name: str, query: dict[str, str], body: bytes
    ) -> HttpAnswer:
        fields = json.loads(body or b"{}")
        name = name.removesuffix("/status") or fields["metadata"]["name"]
        item = self.objects.get((kind, name))
        if method == "POST":
            if item is not None:
                return _answer(item, 409)
            self.put(kind, name, fields["spec"])
            return _answer(self.objects[kind, name], 201)
        if item is None:
            return HttpAnswer(404)
        expected = query.get("revision", fields.get("metadata", {}).get("revision"))
        if expected is not None and int(expected) != item["metadata"]["revision"]:
            return _answer(item, 409)
        if method == "DELETE":
            self.remove(kind, name)
            return HttpAnswer(200)
        self.put(kind, name, fields["spec"])
        return _answer(self.objects[kind, name])

    def _store(self, kind: str, item: dict[str, Any], removed: bool) -> None:
        name = item["metadata"]["name"]
        if removed:
            del self.objects[kind, name]
        else:
            self.objects[kind, name] = item
        self.history.append((self.revision, {**item, "kind": kind}, removed))
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def server_entry(service: str, address: str, **changes: Any) -> dict[str, Any]:
    """Return the registration of an instance; `changes` replace fields of its status."""
    status = {"state": "ready", "sequence": 4, "warmupLeftS": 0, **changes}
    info = {"service": service, "version": "v1", "zone": "local-1", "slots": 2}
    return {"address": address, "info": info, "status": status, "born": 1_700_000_000_000}


def route(service: str, prefix: str = "/a/", kind: str = "safe", **changes: Any) -> dict[str, Any]:
    """Return the resource of a route; `changes` replace fields of its spec."""
    spec = {
        "host": "x",
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutS": 2,
        "targetLatencyS": 0.3,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **changes,
    }
    return {"resourceType": "routes", "metadata": {"name": f"r{prefix}"}, "spec": spec}


def tenant(name: str, *keys: str, **changes: Any) -> dict[str, Any]:
    """Return the resource of a workspace; `changes` replace or add fields of its spec."""
    spec = {"apiKeys": list(keys), "priority": 0, **changes}
    return {"resourceType": "tenants", "metadata": {"name": name}, "spec": spec}


def configuration(version: int, *resources: dict[str, Any], services: tuple[str, ...] = ("s",)):  # type: ignore[no-untyped-def]
    """Return a configuration with the resources, the services and limits."""
    spec = {"healthPath": "/health", "maxConns": 240, "protocol": "h1", "tls": False}
    described = [
        {"resourceType": "services", "metadata": {"name": name}, "spec": spec} for name in services
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    }
    bounds = {"resourceType": "limits", "metadata": {}, "spec": limits}
    return {"version": f"{version:08x}", "resources": [*resources, *described, bounds]}


class EndlessAnswer:
    """Bytes that are sent without end: first `beginning`, then `piece` every `pause_s` seconds.

    `sent_bytes` counts the bytes that the connection took, and `closed_at` is the time at which the
    peer closed it.
    """

    def __init__(self, beginning: bytes, piece: bytes, pause_s: float) -> None:
        self.beginning = beginning
        self.piece = piece
        self.pause_s = pause_s
        self.sent_bytes = 0
        self.closed_at: float | None = None

    async def send(self, stream: Any) -> None:
        """Send until the peer closes the connection, which raises an error of the stream."""
        try:
            await stream.send_all(self.beginning)
            while True:
                await stream.send_all(self.piece)
                self.sent_bytes += len(self.piece)
                await trio.sleep(self.pause_s)
        finally:
            self.closed_at = trio.current_time()


class Instance:
    """Instance of a service with scripted answers.

    Each request takes the next function in `answers`, or `answer` if none is left. A function maps
    the request's headers to the bytes to send; if they are empty, the connection is reset. `runs`
    holds the ids of the requests that the instance ran. `service_time_percent` changes only the
    reported load. With `repeats_answers`, each answer to a request comes again ahead of the next
    one on its connection.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: list[str] = []
        self.requests: list[dict[str, str]] = []
        self.answers: list[Any] = []
        self.repeats_answers = False
        # Whether requests are answered before their body, which is not read.
        self.answers_early = False
        # Answers that come again, by connection.
        self._late: dict[Any, bytes] = {}
        self.service_time_s = 0.005
        self.service_time_percent = 100

    async def serve(self, stream: Any) -> None:
        """Serve one connection."""
        connection = h11.Connection(h11.SERVER)
        try:
            while await self._serve_next(stream, connection):
                connection = h11.Connection(h11.SERVER)
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError):
            pass
        finally:
            stream.close()

    async def _serve_next(self, stream: Any, connection: h11.Connection) -> bool:
        headers: dict[str, str] = {}
        path = ""
        while not isinstance(event := connection.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                connection.receive_data(bytes(await stream.receive_some(65536)))
            elif isinstance(event, h11.Request):
                headers = {name.decode(): value.decode() for name, value in event.headers}
                path = event.target.decode()
                if self.answers_early:
                    early: Any = self.answer(headers)
                    if isinstance(early, EndlessAnswer):
                        await early.send(stream)
                    await stream.send_all(early)
                    await trio.sleep_forever()
            elif isinstance(event, h11.ConnectionClosed):
                return False
        if path == "/health":
            await stream.send_all(self.answer(headers))
            return True
        self.requests.append(headers)
        answer = self.answers.pop(0) if self.answers else self.answer
        if getattr(answer, "runs", True):
            self.runs.append(headers.get("x-dotterelstand-request-id", ""))
        await trio.sleep(self.service_time_s)
        data = answer(headers)
        if isinstance(data, EndlessAnswer):
            await data.send(stream)
        if not data:
            stream.reset()
            return False
        await stream.send_all(self._late.pop(stream, b"") + data)
        if self.repeats_answers:
            self._late[stream] = data
        return True

    def answer(self, headers: dict[str, str], body: bytes = b"whole body", **changes: str) -> bytes:
        """Return a valid answer; `changes` replace or add headers, and empty values remove them."""
        fields = {
            "Content-Length": str(len(body)),
            "X-Dotterelstand-Request-Id": headers.get("x-dotterelstand-request-id", ""),
            "X-Dotterelstand-Server-Signature": "3e1b.07",
            "X-Dotterelstand-Instance-Id": self.name,
            "X-Dotterelstand-Server-Load": f"0,0,2,{self.service_time_percent}",
        }
        fields.update({name.replace("_", "-"): value for name, value in changes.items()})
        status = fields.pop("status", "200 OK")
        lines = [f"{name}: {value}" for name, value in fields.items() if value]
        return "\r\n".join([f"HTTP/1.1 {status}", *lines, "", ""]).encode() + body


def _answer(value: Any, status: int = 200) -> HttpAnswer:
    return HttpAnswer(status, json.dumps(value).encode())
