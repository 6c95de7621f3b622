"""Stand-in for a target: slots, service times, load and health endpoints."""

import json
import random

import fire
import trio

from dotterelstand.standin.httpd import HttpAnswer, HttpRequest, serve_http


class TargetServer:
    """Runs requests in a bounded number of slots and records what ran."""

    __slots__ = ("_in_flight", "_mean_s", "_name", "_random", "_slots", "draining", "runs")

    def __init__(self, name: str, slots: int, mean_s: float, seed: int) -> None:
        self._name = name
        self._slots = trio.CapacityLimiter(slots)
        self._mean_s = mean_s
        self._random = random.Random(f"{seed}/{name}")
        self._in_flight = 0
        self.draining = False
        self.runs: list[str] = []

    async def handle(self, request: HttpRequest) -> HttpAnswer | None:
        """Answer one request after its service time."""
        if request.path == "/health":
            return HttpAnswer(503 if self.draining else 200)
        if request.path == "/load":
            return HttpAnswer(200, json.dumps({"in_flight": self._in_flight}).encode())
        self._in_flight += 1
        try:
            async with self._slots:
                await trio.sleep(self._random.expovariate(1 / self._mean_s))
        finally:
            self._in_flight -= 1
        self.runs.append(request.headers.get("idempotency-key", ""))
        body = json.dumps({"path": request.path, "target": self._name, "bytes": len(request.body)})
        headers = [("dotterelstand-load", str(self._in_flight))]
        if self.draining:
            headers.append(("dotterelstand-draining", "1"))
        return HttpAnswer(200, body.encode(), headers)


async def _serve(server: TargetServer, address: str, port: int) -> None:
    async def serve(stream: trio.SocketStream) -> None:
        await serve_http(stream, server.handle)

    await trio.serve_tcp(serve, port, host=address)


def run_target(
    name: str,
    port: int,
    address: str = "127.0.0.1",
    slots: int = 2,
    mean_ms: float = 5.0,
    seed: int = 1,
) -> None:
    """Run one target stand-in until it is interrupted."""
    trio.run(_serve, TargetServer(name, slots, mean_ms / 1000, seed), address, port)


def main() -> None:
    """Run a target stand-in from the command line."""
    fire.Fire(run_target)
