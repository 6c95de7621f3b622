"""Open-loop load tool: sends at planned times and measures latency from the planned time."""

import random
from urllib.parse import urlsplit

import fire
import h11
import trio
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000


class LoadReport:
    """Counts by result code and a latency histogram in microseconds."""

    __slots__ = ("codes", "latency_us")

    def __init__(self) -> None:
        self.codes: dict[str, int] = {}
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)

    def add(self, code: str, latency_s: float) -> None:
        """Count one request."""
        self.codes[code] = self.codes.get(code, 0) + 1
        self.latency_us.record_value(min(MAX_LATENCY_US, max(1, int(latency_s * 1e6))))


class LoadClient:
    """Keeps connections to entry hosts and sends requests over them."""

    __slots__ = ("_idle", "_urls")

    def __init__(self, urls: list[str]) -> None:
        self._urls = [urlsplit(url) for url in urls]
        self._idle: dict[str, list[tuple[trio.SocketStream, h11.Connection]]] = {}

    async def send(self, index: int, method: str, path: str, headers: list, body: bytes) -> str:
        """Result code of one request, or `error` if there was no answer."""
        url = self._urls[index % len(self._urls)]
        idle = self._idle.setdefault(url.netloc, [])
        try:
            if idle:
                stream, connection = idle.pop()
            else:
                stream = await trio.open_tcp_stream(url.hostname or "", url.port or 80)
                connection = h11.Connection(h11.CLIENT)
            code = await _exchange(stream, connection, method, path, headers, body)
        except (OSError, trio.BrokenResourceError, h11.ProtocolError):
            return "error"
        if connection.our_state is h11.DONE and connection.their_state is h11.DONE:
            connection.start_next_cycle()
            idle.append((stream, connection))
        else:
            await trio.aclose_forcefully(stream)
        return code


async def _exchange(
    stream: trio.SocketStream,
    connection: h11.Connection,
    method: str,
    path: str,
    headers: list,
    body: bytes,
) -> str:
    fields = [("host", "entry"), ("content-length", str(len(body))), *headers]
    data = connection.send(h11.Request(method=method, target=path, headers=fields)) or b""
    data += connection.send(h11.Data(data=body)) or b""
    await stream.send_all(data + (connection.send(h11.EndOfMessage()) or b""))
    code = "error"
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(bytes(await stream.receive_some(65536)))
        elif isinstance(event, h11.Response):
            answered = dict(event.headers)
            code = answered.get(b"dotterelstand-result", b"%d" % event.status_code).decode()
        elif isinstance(event, h11.EndOfMessage):
            return code
        elif not isinstance(event, h11.Data):
            return "error"


async def _run(client: LoadClient, path: str, rate: float, seconds: float, seed: int) -> LoadReport:
    report = LoadReport()
    rng = random.Random(seed)

    async def send(index: int, planned: float) -> None:
        code = await client.send(index, "GET", path, [], b"")
        report.add(code, trio.current_time() - planned)

    async with trio.open_nursery() as nursery:
        planned = trio.current_time()
        end = planned + seconds
        index = 0
        while (planned := planned + rng.expovariate(rate)) < end:
            await trio.sleep_until(planned)
            nursery.start_soon(send, index, planned)
            index += 1
    return report


def run_load(
    urls: str, path: str = "/", rate: float = 100.0, seconds: float = 5.0, seed: int = 1
) -> None:
    """Send requests to comma-separated entry hosts and print latencies."""
    names = list(urls) if isinstance(urls, tuple | list) else urls.split(",")
    report = trio.run(_run, LoadClient(names), path, rate, seconds, seed)
    latency = report.latency_us
    print("codes", report.codes)
    for quantile in (50, 99, 99.9):
        print(f"p{quantile} {latency.get_value_at_percentile(quantile) / 1000:.2f} ms")


def main() -> None:
    """Run the load tool from the command line."""
    fire.Fire(run_load)
