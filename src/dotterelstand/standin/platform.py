"""Stand-in for the platform: object store and host list over HTTP, with fault injection."""

import builtins
import json
import random
from urllib.parse import parse_qs, unquote, urlsplit

import fire
import trio
from returns.pipeline import is_successful

from dotterelstand.connection.network import Network, TcpNetwork
from dotterelstand.standin.httpd import HttpAnswer, HttpRequest, serve_http
from dotterelstand.standin.objectstore import MAX_VALUE_BYTES, VersionedObjects
from dotterelstand.standin.stopping import run_until_signal
from dotterelstand.standin.storefaults import CallCounts, StoreFaults


class ObjectStore:
    """HTTP handler of the object store and the host list.

    `POST /_faults` sets faults by name and `GET /_faults` returns them, `POST /_hosts` replaces the
    host list, `GET /_counts` returns the number of calls by kind.
    """

    __slots__ = ("_changed", "_hosts", "_objects", "_random", "counts", "faults")

    def __init__(self, seed: int = 1) -> None:
        self._objects = VersionedObjects()
        self._random = random.Random(f"{seed}/platform")
        self._changed = trio.Event()
        self._hosts: list[tuple[float, list[dict[str, str]]]] = []
        self.faults = StoreFaults()
        self.counts = CallCounts()

    @property
    def hosts(self) -> builtins.list[dict[str, str]]:
        """Latest host list; calls get it only after a lag of `hosts_lag_s`."""
        return self._hosts[-1][1] if self._hosts else []

    @hosts.setter
    def hosts(self, hosts: builtins.list[dict[str, str]]) -> None:
        at = _now() if self._hosts else 0.0
        self._hosts = [*self._hosts[-16:], (at, hosts)]

    async def handle(self, request: HttpRequest) -> HttpAnswer | None:
        """Return the answer of one call, or None to close the connection without an answer."""
        url = urlsplit(request.path)
        if url.path.startswith("/_"):
            return self._control(request, url.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.counts.add(_call_kind(request.method, url.path, query))
        self.counts.bytes_in += len(request.body)
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.down:
            return None
        if not self.counts.admit(_now(), self.faults.calls_per_s):
            return HttpAnswer(429)
        answer = await self._answer(request, url.path, query)
        if answer is not None:
            self.counts.bytes_out += len(answer.body)
        return answer

    async def _answer(
        self, request: HttpRequest, path: str, query: dict[str, str]
    ) -> HttpAnswer | None:
        delay_s = self.faults.delay_s(self._random)
        # The call takes effect at a random time within its delay.
        before_s = delay_s * self._random.random()
        await trio.sleep(before_s)
        if request.method in ("PUT", "DELETE"):
            answer = await self._write(unquote(path.removeprefix("/objects/")), request)
        else:
            answer = await self._read(path, query)
        await trio.sleep(delay_s - before_s)
        return answer

    async def _read(self, path: str, query: dict[str, str]) -> HttpAnswer:
        at = _now() - self.faults.read_lag_s
        if path == "/hosts":
            return HttpAnswer(200, json.dumps(self._lagging_hosts()).encode())
        if path == "/objects":
            return HttpAnswer(200, json.dumps(self.list(query.get("prefix", ""), at)).encode())
        name = unquote(path.removeprefix("/objects/"))
        if "after" in query:
            return await self.watch(name, int(query["after"]), float(query["wait"]))
        return self.get(name, at)

    async def _write(self, name: str, request: HttpRequest) -> HttpAnswer | None:
        faults, uniform = self.faults, self._random.random
        if uniform() < faults.lose_write:
            return None
        if uniform() < faults.late_write:
            await trio.sleep(faults.late_write_s)
        if request.method == "PUT":
            answer = self.put(name, request.body, request.headers)
        else:
            answer = self.delete(name, request.headers)
        return None if uniform() < faults.lose_answer else answer

    def get(self, name: str, at: float | None = None) -> HttpAnswer:
        """Return value and version of an object at a past time; the default is now."""
        value = self._objects.current(name) if at is None else self._objects.get(name, at)
        if value is None:
            return HttpAnswer(404)
        return HttpAnswer(200, value[1], [("etag", str(value[0]))])

    def put(self, name: str, body: bytes, headers: dict[str, str]) -> HttpAnswer:
        """Store a value if the `if-match` or `if-none-match` condition holds."""
        if len(body) > MAX_VALUE_BYTES:
            return HttpAnswer(413)
        if not self._meets_condition(name, headers):
            return HttpAnswer(412)
        version = self._objects.put(name, body, _now())
        self._changed.set()
        self._changed = trio.Event()
        return HttpAnswer(200, b"", [("etag", str(version))])

    def delete(self, name: str, headers: dict[str, str]) -> HttpAnswer:
        """Delete an object if the `if-match` or `if-none-match` condition holds."""
        if not self._meets_condition(name, headers):
            return HttpAnswer(412)
        if self._objects.current(name) is None:
            return HttpAnswer(404)
        self._objects.put(name, None, _now())
        return HttpAnswer(200)

    def list(self, prefix: str, at: float | None = None) -> list[dict[str, object]]:
        """Return names and versions of the objects with a prefix at a past time; default: now."""
        return self._objects.list(prefix, _now() if at is None else at)

    async def watch(self, name: str, after: int, wait_s: float) -> HttpAnswer:
        """Return the value once it is newer than a version, or 304 after `wait_s` seconds."""
        with trio.move_on_after(wait_s):
            while (self._objects.current(name) or (0, b""))[0] <= after:
                await self._changed.wait()
            await trio.sleep(self.faults.watch_lag_s)
            return self.get(name)
        return HttpAnswer(304)

    def _control(self, request: HttpRequest, path: str) -> HttpAnswer:
        if request.method == "POST":
            try:
                body = json.loads(request.body or b"{}")
            except ValueError as error:
                return HttpAnswer(400, str(error).encode())
            if path == "/_hosts" and isinstance(body, list):
                self.hosts = body
            elif path == "/_faults" and isinstance(body, dict):
                updated = self.faults.update(body)
                if not is_successful(updated):
                    return HttpAnswer(400, updated.failure().encode())
            else:
                return HttpAnswer(400)
        pages: dict[str, object] = {
            "/_faults": self.faults.as_dict(),
            "/_hosts": self.hosts,
            "/_counts": self.counts.as_dict(),
        }
        if path not in pages:
            return HttpAnswer(404)
        return HttpAnswer(200, json.dumps(pages[path]).encode())

    def _lagging_hosts(self) -> builtins.list[dict[str, str]]:
        at = _now() - self.faults.hosts_lag_s
        past_lists = [hosts for since, hosts in self._hosts if since <= at]
        return past_lists[-1] if past_lists else []

    def _meets_condition(self, name: str, headers: dict[str, str]) -> bool:
        current = self._objects.current(name)
        if "if-none-match" in headers:
            return current is None
        if "if-match" in headers:
            return current is not None and headers["if-match"] == str(current[0])
        return True


def _now() -> float:
    return trio.current_time()


def _call_kind(method: str, path: str, query: dict[str, str]) -> str:
    if path == "/hosts":
        return "hosts"
    if method in ("PUT", "DELETE"):
        return "write" if method == "PUT" else "delete"
    if path == "/objects":
        return "list"
    return "watch" if "after" in query else "read"


async def serve_platform(
    store: ObjectStore, network: Network, address: str, port: int, nursery: trio.Nursery
) -> int:
    """Start to serve the store in a nursery; returns the bound port."""
    listener = await network.listen(address, port)

    async def serve(stream: trio.abc.Stream) -> None:
        await serve_http(stream, store.handle)

    nursery.start_soon(listener.serve, serve, nursery)
    await trio.lowlevel.checkpoint()
    return listener.port


async def _serve(address: str, port: int) -> None:
    async with trio.open_nursery() as nursery:
        bound = await serve_platform(ObjectStore(), TcpNetwork(), address, port, nursery)
        print(f"platform stand-in on {address}:{bound}", flush=True)


def run_platform(address: str = "127.0.0.1", port: int = 8060) -> None:
    """Run the platform stand-in until SIGTERM or SIGINT."""
    trio.run(run_until_signal, _serve, address, port)


def main() -> None:
    """Run the platform stand-in from the command line."""
    fire.Fire(run_platform)


if __name__ == "__main__":
    main()
