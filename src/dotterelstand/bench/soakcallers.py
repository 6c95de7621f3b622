"""Callers of a soak run: they send requests, repeat them safely and record every result."""

import json
import random

import h11
import trio

from dotterelstand.bench.soakfleet import CALLER_PORT, REGIONS, EntryHost, SoakFleet
from dotterelstand.codes import Execution

# Maximum wait of a caller for an answer; longer than the longest deadline of a route.
ANSWER_TIMEOUT_S = 25.0
MAX_ATTEMPTS = 6
UPLOAD_BYTES = 120_000
UPLOAD_CHUNK_BYTES = 20_000
# Body size in bytes by kind of request.
BODY_BYTES = {"prices": 0, "orders": 64, "artwork": UPLOAD_BYTES}


class AttemptResult:
    """Result of one attempt of a caller; a `code` of 0 means that no complete answer arrived."""

    __slots__ = ("body", "code", "host", "incarnation", "run", "started_at", "status")

    def __init__(
        self, host: str, code: int = 0, run: str = "", status: int = 0, body: bytes = b""
    ) -> None:
        self.host = host
        self.code = code
        self.run = run
        self.status = status
        self.body = body
        self.started_at = 0.0
        # `EntryHost.incarnation_id` of the host that received the attempt.
        self.incarnation = ""


class Request:
    """One request of a caller, with the results of all its attempts."""

    __slots__ = ("attempts", "key", "kind", "path", "started_at")

    def __init__(self, kind: str, path: str, key: str, started_at: float) -> None:
        self.kind = kind
        self.path = path
        self.key = key
        self.started_at = started_at
        self.attempts: list[AttemptResult] = []

    @property
    def answered(self) -> bool:
        """Whether a complete answer of a target arrived."""
        return bool(self.attempts) and self.attempts[-1].run == Execution.RAN.value


class Callers:
    """Sends a mix of requests to the entry hosts of each region in an open loop."""

    __slots__ = ("_fleet", "_nursery", "_random", "requests")

    def __init__(self, fleet: SoakFleet, nursery: trio.Nursery, rng: random.Random) -> None:
        self._fleet = fleet
        self._nursery = nursery
        self._random = rng
        self.requests: list[Request] = []

    async def run(self, rate_per_s: float, seconds: float) -> None:
        """Send requests to all regions for a number of seconds, at a total rate."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self._random.expovariate(rate_per_s))
            kind_draw = self._random.random()
            kind = "prices" if kind_draw < 0.6 else "orders" if kind_draw < 0.9 else "artwork"
            self.send(kind, f"/{kind}/{len(self.requests)}")

    def send(self, kind: str, path: str) -> Request:
        """Start one request; its attempts run in the background."""
        key = f"key-{path}" if kind == "orders" else ""
        request = Request(kind, path, key, trio.current_time())
        self.requests.append(request)
        region = self._random.randrange(len(REGIONS))
        self._nursery.start_soon(self._attempt_until_answered, request, region)
        return request

    async def _attempt_until_answered(self, request: Request, region: int) -> None:
        max_attempts = MAX_ATTEMPTS if request.kind != "artwork" else 1
        for attempt in range(max_attempts):
            host = self._choose_host(region)
            if host is None:
                await trio.sleep(0.5)
                continue
            result = await self._attempt(request, host)
            request.attempts.append(result)
            if result.run == Execution.RAN.value or result.code in (2001, 2006, 2010, 2012):
                return
            if not self.may_retry(request, result):
                return
            await trio.sleep(self._random.uniform(0.2, 0.6) * (attempt + 1))

    def may_retry(self, request: Request, result: AttemptResult) -> bool:
        """Whether a request may be sent again.

        Always true here, since the journal prevents a key from running twice.
        """
        return True

    def header_fields(self, request: Request) -> list[tuple[str, str]]:
        """Header fields of one attempt."""
        return [("idempotency-key", request.key)] if request.key else []

    def _choose_host(self, region: int) -> EntryHost | None:
        # Lost hosts are excluded immediately, whereas the platform's load balancer would need about
        # a second.
        hosts = [host for host in self._fleet.live_hosts() if host.region == region]
        return self._random.choice(hosts) if hosts else None

    async def _attempt(self, request: Request, host: EntryHost) -> AttemptResult:
        result = AttemptResult(host.name)
        started_at = trio.current_time()
        network = self._fleet.network.at(f"10.{host.region}.8.1")
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            try:
                stream = await network.connect(host.address, CALLER_PORT)
                async with stream:
                    result = await send_request(
                        stream, host.name, request, self.header_fields(request)
                    )
            except (OSError, trio.BrokenResourceError, h11.ProtocolError):
                pass
        result.started_at, result.incarnation = started_at, host.incarnation_id
        return result


async def send_request(
    stream: trio.abc.Stream, host: str, request: Request, header_fields: list[tuple[str, str]]
) -> AttemptResult:
    """Send one attempt and read its answer; raises the errors of the stream and of h11."""
    connection = h11.Connection(h11.CLIENT)
    size = BODY_BYTES[request.kind]
    headers = [("host", "entry"), ("content-length", str(size)), *header_fields]
    method = "GET" if request.kind == "prices" else "POST"
    head = h11.Request(method=method, target=request.path, headers=headers)
    await stream.send_all(connection.send(head) or b"")
    for sent in range(0, size, UPLOAD_CHUNK_BYTES):
        chunk = h11.Data(data=b"x" * min(UPLOAD_CHUNK_BYTES, size - sent))
        await stream.send_all(connection.send(chunk) or b"")
    await stream.send_all(connection.send(h11.EndOfMessage()) or b"")
    received: dict[bytes, bytes] = {}
    body, status = b"", 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(bytes(await stream.receive_some(65536)))
        elif isinstance(event, h11.Response):
            received = dict(event.headers)
            status = event.status_code
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            code = int(received.get(b"dotterelstand-result", b"0"))
            run = received.get(b"dotterelstand-run", b"").decode()
            return AttemptResult(host, code, run, status, body)
        elif isinstance(event, h11.ConnectionClosed):
            return AttemptResult(host)


def parse_received(result: AttemptResult) -> tuple[str, int]:
    """Path and number of body bytes that the target received, according to its answer.

    The path is empty if the answer is not that of a target that ran a request.
    """
    try:
        values = json.loads(result.body)
        return str(values["path"]), int(values["bytes"])
    except (ValueError, KeyError, TypeError):
        return "", 0
