"""Callers of a soak run: they send, repeat safely and remember what they were told."""

import json
import random

import h11
import trio

from dotterelstand.bench.soakfleet import CALLER_PORT, REGIONS, EntryHost, SoakFleet
from dotterelstand.codes import Run

# Longest wait of a caller for an answer, above the longest deadline of a route.
ANSWER_TIMEOUT_S = 25.0
MAX_ATTEMPTS = 6
UPLOAD_BYTES = 120_000
UPLOAD_PIECE_BYTES = 20_000
# Body bytes of a request by its kind.
SIZES = {"prices": 0, "orders": 64, "artwork": UPLOAD_BYTES}


class AttemptResult:
    """What one attempt of a caller was told; code 0 means no complete answer."""

    __slots__ = ("began", "body", "code", "host", "incarnation", "run", "status")

    def __init__(
        self, host: str, code: int = 0, run: str = "", status: int = 0, body: bytes = b""
    ) -> None:
        self.host = host
        self.code = code
        self.run = run
        self.status = status
        self.body = body
        self.began = 0.0
        # Context of the entry host that was asked.
        self.incarnation = ""


class Request:
    """One request of a caller with every attempt that it made."""

    __slots__ = ("attempts", "began", "key", "kind", "path")

    def __init__(self, kind: str, path: str, key: str, began: float) -> None:
        self.kind = kind
        self.path = path
        self.key = key
        self.began = began
        self.attempts: list[AttemptResult] = []

    @property
    def answered(self) -> bool:
        """Whether a complete answer of a target arrived."""
        return bool(self.attempts) and self.attempts[-1].run == Run.RAN.value


class Callers:
    """Sends an open-loop mix of requests to the entry hosts of each region."""

    __slots__ = ("_fleet", "_nursery", "_random", "requests")

    def __init__(self, fleet: SoakFleet, nursery: trio.Nursery, rng: random.Random) -> None:
        self._fleet = fleet
        self._nursery = nursery
        self._random = rng
        self.requests: list[Request] = []

    async def run(self, rate_per_s: float, seconds: float) -> None:
        """Send requests for a time at a rate over all regions."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(self._random.expovariate(rate_per_s))
            draw = self._random.random()
            kind = "prices" if draw < 0.6 else "orders" if draw < 0.9 else "artwork"
            self.send(kind, f"/{kind}/{len(self.requests)}")

    def send(self, kind: str, path: str) -> Request:
        """Begin one request; its attempts go on in the background."""
        key = f"key-{path}" if kind == "orders" else ""
        request = Request(kind, path, key, trio.current_time())
        self.requests.append(request)
        region = self._random.randrange(len(REGIONS))
        self._nursery.start_soon(self._attempt_until_answered, request, region)
        return request

    async def _attempt_until_answered(self, request: Request, region: int) -> None:
        repeats = MAX_ATTEMPTS if request.kind != "artwork" else 1
        for attempt in range(repeats):
            host = self._choose_host(region)
            if host is None:
                await trio.sleep(0.5)
                continue
            told = await self._attempt(request, host)
            request.attempts.append(told)
            if told.run == Run.RAN.value or told.code in (2001, 2006, 2010, 2012):
                return
            if not self.may_retry(request, told):
                return
            await trio.sleep(self._random.uniform(0.2, 0.6) * (attempt + 1))

    def may_retry(self, request: Request, told: AttemptResult) -> bool:
        """Whether a request may be sent again; its key keeps an order from running twice."""
        return True

    def header_fields(self, request: Request) -> list[tuple[str, str]]:
        """Header fields of one attempt."""
        return [("idempotency-key", request.key)] if request.key else []

    def _choose_host(self, region: int) -> EntryHost | None:
        # The platform's balancer notices a lost host after about a second.
        hosts = [host for host in self._fleet.live_hosts() if host.region == region]
        return self._random.choice(hosts) if hosts else None

    async def _attempt(self, request: Request, host: EntryHost) -> AttemptResult:
        told = AttemptResult(host.name)
        began = trio.current_time()
        network = self._fleet.network.at(f"10.{host.region}.8.1")
        with trio.move_on_after(ANSWER_TIMEOUT_S):
            try:
                stream = await network.connect(host.address, CALLER_PORT)
                async with stream:
                    told = await exchange(stream, host.name, request, self.header_fields(request))
            except (OSError, trio.BrokenResourceError, h11.ProtocolError):
                pass
        told.began, told.incarnation = began, host.context
        return told


async def exchange(
    stream: trio.abc.Stream, host: str, request: Request, header_fields: list[tuple[str, str]]
) -> AttemptResult:
    """Send one attempt and read its answer; raises what the stream raises."""
    connection = h11.Connection(h11.CLIENT)
    size = SIZES[request.kind]
    headers = [("host", "entry"), ("content-length", str(size)), *header_fields]
    method = "GET" if request.kind == "prices" else "POST"
    head = h11.Request(method=method, target=request.path, headers=headers)
    await stream.send_all(connection.send(head) or b"")
    for sent in range(0, size, UPLOAD_PIECE_BYTES):
        piece = h11.Data(data=b"x" * min(UPLOAD_PIECE_BYTES, size - sent))
        await stream.send_all(connection.send(piece) or b"")
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


def answered_path(told: AttemptResult) -> tuple[str, int]:
    """Path and body bytes that the target says it received."""
    values = json.loads(told.body)
    return str(values["path"]), int(values["bytes"])
