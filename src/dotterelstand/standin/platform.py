"""Stand-in for the platform: object store and host list over HTTP."""

import json
from urllib.parse import parse_qs, urlsplit

import fire
import trio

from dotterelstand.standin.httpd import HttpAnswer, HttpRequest, serve_http
from dotterelstand.standin.stopping import run_until_signal


class ObjectStore:
    """Versioned objects with conditional updates and watches, in memory."""

    __slots__ = ("_changed", "_objects", "_version", "hosts")

    def __init__(self) -> None:
        self._objects: dict[str, tuple[int, bytes]] = {}
        self._version = 0
        self._changed = trio.Event()
        self.hosts: list[dict[str, str]] = []

    async def handle(self, request: HttpRequest) -> HttpAnswer | None:
        """Answer one call."""
        url = urlsplit(request.path)
        if url.path == "/hosts":
            return HttpAnswer(200, json.dumps(self.hosts).encode())
        if url.path == "/objects":
            prefix = parse_qs(url.query).get("prefix", [""])[0]
            return HttpAnswer(200, json.dumps(self.list(prefix)).encode())
        name = url.path.removeprefix("/objects/")
        if request.method == "PUT":
            return self.put(name, request.body, request.headers)
        if request.method == "DELETE":
            return self.delete(name, request.headers)
        query = parse_qs(url.query)
        if "after" in query:
            return await self.watch(name, int(query["after"][0]), float(query["wait"][0]))
        return self.get(name)

    def get(self, name: str) -> HttpAnswer:
        """Value and version of an object."""
        if name not in self._objects:
            return HttpAnswer(404)
        version, body = self._objects[name]
        return HttpAnswer(200, body, [("etag", str(version))])

    def put(self, name: str, body: bytes, headers: dict[str, str]) -> HttpAnswer:
        """Conditional update."""
        if not self._matches(name, headers):
            return HttpAnswer(412)
        self._version += 1
        self._objects[name] = (self._version, body)
        self._changed.set()
        self._changed = trio.Event()
        return HttpAnswer(200, b"", [("etag", str(self._version))])

    def delete(self, name: str, headers: dict[str, str]) -> HttpAnswer:
        """Conditional removal."""
        if not self._matches(name, headers):
            return HttpAnswer(412)
        if self._objects.pop(name, None) is None:
            return HttpAnswer(404)
        return HttpAnswer(200)

    def list(self, prefix: str) -> list[dict[str, object]]:
        """Names and versions of the objects with a prefix."""
        names = sorted(name for name in self._objects if name.startswith(prefix))
        return [{"name": name, "version": self._objects[name][0]} for name in names]

    async def watch(self, name: str, after: int, wait_s: float) -> HttpAnswer:
        """Value newer than a version, or 304 after `wait_s` seconds."""
        with trio.move_on_after(wait_s):
            while self._objects.get(name, (0, b""))[0] <= after:
                await self._changed.wait()
            return self.get(name)
        return HttpAnswer(304)

    def _matches(self, name: str, headers: dict[str, str]) -> bool:
        current = self._objects.get(name)
        if "if-none-match" in headers:
            return current is None
        if "if-match" in headers:
            return current is not None and headers["if-match"] == str(current[0])
        return True


async def _serve(address: str, port: int) -> None:
    store = ObjectStore()

    async def serve(stream: trio.SocketStream) -> None:
        await serve_http(stream, store.handle)

    await trio.serve_tcp(serve, port, host=address)


def run_platform(address: str = "127.0.0.1", port: int = 8060) -> None:
    """Run the platform stand-in until SIGTERM or SIGINT."""
    trio.run(run_until_signal, _serve, address, port)


def main() -> None:
    """Run the platform stand-in from the command line."""
    fire.Fire(run_platform)
