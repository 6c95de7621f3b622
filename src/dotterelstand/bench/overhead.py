"""Measures the latency that the daemon adds to a call, against direct calls in the same run."""

import http.client
import json
import random
from urllib.parse import urlsplit

import fire
import trio
from hdrh.histogram import HdrHistogram

from dotterelstand.version.model import section_digest

MAX_LATENCY_US = 60_000_000
READ_BYTES = 65536


class Client:
    """Pool of keep-alive connections to one address, with one request at a time on each."""

    __slots__ = ("_idle", "_request", "_url", "failures", "latency_us")

    def __init__(self, url: str, path: str) -> None:
        self._url = urlsplit(url)
        self._idle: list[trio.SocketStream] = []
        self._request = f"GET {path} HTTP/1.1\r\nhost: bench\r\n\r\n".encode()
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.failures = 0

    async def call(self) -> None:
        """Send one request and record its latency, without the time to open a connection."""
        stream = self._idle.pop() if self._idle else await self._open()
        began = trio.current_time()
        await stream.send_all(self._request)
        ok = await _read_answer(stream)
        latency_us = int((trio.current_time() - began) * 1e6)
        if ok:
            self.latency_us.record_value(max(1, latency_us))
            self._idle.append(stream)
        else:
            self.failures += 1
            await trio.aclose_forcefully(stream)

    def quantile_ms(self, quantile: float) -> float:
        """Latency in milliseconds at a percentile, given in per cent."""
        return self.latency_us.get_value_at_percentile(quantile) / 1000

    async def _open(self) -> trio.SocketStream:
        return await trio.open_tcp_stream(self._url.hostname or "", self._url.port or 80)


async def _read_answer(stream: trio.SocketStream) -> bool:
    """Read one response with a content length; False if its status is not 200."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = await stream.receive_some(READ_BYTES)
        if not chunk:
            return False
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line[15:])
    while len(body) < length:
        chunk = await stream.receive_some(READ_BYTES)
        if not chunk:
            return False
        body += chunk
    return head.startswith(b"HTTP/1.1 200")


async def _measure_added_latency(
    direct: Client, entry: Client, rate: float, seconds: float, seed: int
) -> None:
    rng = random.Random(seed)
    async with trio.open_nursery() as nursery:
        arrival = trio.current_time()
        end = arrival + seconds
        while (arrival := arrival + rng.expovariate(2 * rate)) < end:
            await trio.sleep_until(arrival)
            nursery.start_soon(rng.choice((direct, entry)).call)


async def _measure_capacity(client: Client, callers: int, seconds: float) -> float:
    async def repeat() -> None:
        while True:
            await client.call()

    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for _ in range(callers):
                nursery.start_soon(repeat)
    return client.latency_us.get_total_count() / seconds


class Overhead:
    """Commands that set up and measure a daemon; it and its targets must already run."""

    def prepare(self, store: str, targets: str, slots: int = 64) -> None:
        """Write a document with one service to the platform's stand-in.

        Args:
            store: URL of the platform stand-in
            targets: comma-separated "address:port" of the targets
            slots: slots of each target
        """
        names = list(targets) if isinstance(targets, tuple | list) else targets.split(",")
        lines = [f"[services.main]\nslots = {slots}\nconnections = 16000\n"]
        for number, name in enumerate(names):
            address, _, port = name.rpartition(":")
            lines.append(
                f'[[services.main.targets]]\nname = "t{number}"\naddress = "{address}"\n'
                f'port = {port}\nregion = "local"\navailability_zone = "local-1"\n'
            )
        lines.append('[[routes]]\nprefix = "/"\nservice = "main"\nidempotent = true\n')
        body = "".join(lines)
        digest = section_digest(body)
        entry = {"digest": digest, "author": "bench", "at": 0}
        manifest = {"number": 1, "write": "bench", "sections": {"main": entry}}
        url = urlsplit(store)
        for path, value in (
            (f"/objects/document/sections/{digest}", body),
            ("/objects/document/head", json.dumps(manifest)),
        ):
            connection = http.client.HTTPConnection(url.hostname or "", url.port)
            connection.request("PUT", path, value.encode())
            print(path, connection.getresponse().status)
            connection.close()

    def added(
        self, direct: str, entry: str, rate: float = 150.0, seconds: float = 10.0, seed: int = 1
    ) -> None:
        """Print p50 and p99 of direct calls, of calls through the daemon, and their difference.

        Args:
            direct: URL of a target
            entry: URL of the daemon
            rate: calls a second to each of the two URLs
            seconds: duration
            seed: seed of the arrival times
        """
        clients = Client(direct, "/bench"), Client(entry, "/bench")
        # Results of the first 2 s are discarded: connections are opened, and the daemon detects
        # that the targets are warm.
        trio.run(
            _measure_added_latency, Client(direct, "/warm"), Client(entry, "/warm"), rate, 2.0, seed
        )
        trio.run(_measure_added_latency, *clients, rate, seconds, seed)
        for name, client in zip(("direct", "entry"), clients, strict=True):
            print(
                f"{name}: calls {client.latency_us.get_total_count()} failures {client.failures}"
                f" p50 {client.quantile_ms(50):.3f} ms p99 {client.quantile_ms(99):.3f} ms"
            )
        for quantile in (50, 99):
            added_ms = clients[1].quantile_ms(quantile) - clients[0].quantile_ms(quantile)
            print(f"added p{quantile} {added_ms:.3f} ms")

    def capacity(self, entry: str, callers: int = 32, seconds: float = 5.0) -> None:
        """Print the calls a second that the daemon answers to callers in a closed loop."""
        client = Client(entry, "/bench")
        rate = trio.run(_measure_capacity, client, callers, seconds)
        print(f"capacity {rate:.0f} calls/s failures {client.failures}")


if __name__ == "__main__":
    fire.Fire(Overhead)
