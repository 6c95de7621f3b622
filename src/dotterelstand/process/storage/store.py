"""HTTP client of the platform's object store, limited by the call budget."""

import builtins
import json
import random
from urllib.parse import quote, urlsplit

import h11
import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.connection.network import Network
from dotterelstand.errors import CodedError
from dotterelstand.events import Event, log
from dotterelstand.process.storage.callbudget import (
    CallBudget,
    CallLimits,
    Deny,
    Kind,
    Priority,
    Run,
    Wait,
)
from dotterelstand.process.storage.storeconnection import StoreConnection, StoreConnections
from dotterelstand.settings import Settings

MAX_VALUE_BYTES = 1_000_000


class StoreValue:
    """A stored value and its version."""

    __slots__ = ("body", "version")

    def __init__(self, body: bytes, version: int) -> None:
        self.body = body
        self.version = version


class StoreError(CodedError):
    """Reason for a failed store call."""

    __slots__ = ()


MISSING = 5001
CONFLICT = 5002
UNCHANGED = 5003
UNCERTAIN = 5004
UNAVAILABLE = 5005
TOO_LARGE = 5006
REFUSED = 5007

_STATUS_CODES = {404: MISSING, 412: CONFLICT, 304: UNCHANGED, 413: TOO_LARGE, 429: REFUSED}
# Errors that count as an outage: the store did not answer or could not serve the call.
_OUTAGE_CODES = frozenset({UNCERTAIN, UNAVAILABLE})


class _SharedRead:
    """Read whose result is shared by identical concurrent reads."""

    __slots__ = ("done", "result")

    def __init__(self) -> None:
        self.done = trio.Event()
        self.result: Result[StoreValue, StoreError] | None = None


class _Call:
    """One HTTP call to the store."""

    __slots__ = ("body", "headers", "kind", "method", "path", "priority", "timeout_s", "watch")

    def __init__(self, method: str, path: str, priority: Priority, timeout_s: float) -> None:
        self.method = method
        self.path = path
        self.priority = priority
        self.timeout_s = timeout_s
        self.kind = Kind.READ if method == "GET" else Kind.WRITE
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.watch = False


class StoreClient:
    """Client of the object store with a call budget and connection reuse.

    Each watch has its own connection. The priority of a call follows from the name of the object
    unless it is given.
    """

    __slots__ = ("_connections", "_shared_reads", "_timeout_s", "budget")

    def __init__(
        self,
        address: str,
        port: int,
        network: Network,
        timeout_s: float,
        limits: CallLimits | None = None,
        rng: random.Random | None = None,
        max_idle: int = 4,
    ) -> None:
        self._connections = StoreConnections(address, port, network, max_idle)
        self._timeout_s = timeout_s
        self._shared_reads: dict[str, _SharedRead] = {}
        self.budget = CallBudget(limits or CallLimits(), 0.0, rng or random.Random())

    async def read(
        self, name: str, priority: Priority | None = None
    ) -> Result[StoreValue, StoreError]:
        """Value and version of an object."""
        call = self._new_call("GET", _object_path(name), name, priority)
        # Reads of the journal and its leases may check the result of a write. Such a read must
        # begin after the write, so these reads are not shared.
        if call.priority <= Priority.LEASE:
            return await self._run(call)
        return await self._run_shared(call)

    async def watch(self, name: str, after: int, wait_s: float) -> Result[StoreValue, StoreError]:
        """Wait for a value newer than `after`; fails with `UNCHANGED` after `wait_s` seconds."""
        path = f"{_object_path(name)}?after={after}&wait={wait_s}"
        call = self._new_call("GET", path, name, None)
        call.watch = True
        call.timeout_s = wait_s + self._timeout_s
        return await self._run(call)

    async def list(
        self, prefix: str, priority: Priority | None = None
    ) -> Result[builtins.list[tuple[str, int]], StoreError]:
        """Names and versions of the objects whose name begins with `prefix`, sorted by name."""
        path = f"/objects?prefix={quote(prefix)}"
        result = await self._run_shared(self._new_call("GET", path, prefix, priority))
        return result.bind(_parse_list)

    async def write(
        self, name: str, body: bytes, expected: int | None, priority: Priority | None = None
    ) -> Result[StoreValue, StoreError]:
        """Write conditionally; `expected` is the version to replace, or None to create.

        Fails with `UNCERTAIN` if the update may have taken effect, and with `TOO_LARGE`,
        `REFUSED`, `UNAVAILABLE` or `CONFLICT` if it has not.
        """
        if len(body) > MAX_VALUE_BYTES:
            return Failure(StoreError(TOO_LARGE, f"{name}: {len(body)} bytes"))
        call = self._new_call("PUT", _object_path(name), name, priority)
        call.body = body
        if expected is None:
            call.headers.append((b"if-none-match", b"*"))
        else:
            call.headers.append((b"if-match", b"%d" % expected))
        result = await self._run(call)
        # A shared read that began before the write must not serve reads that begin after it.
        self._shared_reads.pop(call.path, None)
        return result

    async def delete(
        self, name: str, priority: Priority | None = None
    ) -> Result[StoreValue, StoreError]:
        """Remove an object."""
        return await self._run(self._new_call("DELETE", _object_path(name), name, priority))

    async def hosts(self) -> Result[builtins.list[dict[str, str]], StoreError]:
        """List of live and leaving hosts; the platform updates it with a delay."""
        result = await self._run_shared(_Call("GET", "/hosts", Priority.HOSTS, self._timeout_s))
        return result.bind(_parse_json)

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()

    def _new_call(self, method: str, path: str, name: str, priority: Priority | None) -> _Call:
        return _Call(
            method, path, priority_of(name) if priority is None else priority, self._timeout_s
        )

    async def _run_shared(self, call: _Call) -> Result[StoreValue, StoreError]:
        shared = self._shared_reads.get(call.path)
        while shared is not None:
            await shared.done.wait()
            if shared.result is not None:
                self.budget.count_coalesced()
                return shared.result
            shared = self._shared_reads.get(call.path)
        shared = self._shared_reads[call.path] = _SharedRead()
        try:
            shared.result = await self._run(call)
            return shared.result
        finally:
            if self._shared_reads.get(call.path) is shared:
                del self._shared_reads[call.path]
            shared.done.set()

    async def _run(self, call: _Call) -> Result[StoreValue, StoreError]:
        deadline = trio.current_time() + call.timeout_s
        admitted = await self._admit(call, deadline)
        if isinstance(admitted, Deny):
            return Failure(StoreError(REFUSED, admitted.reason))
        result = await self._exchange(call, deadline)
        now = trio.current_time()
        if is_successful(result) or result.failure().code not in _OUTAGE_CODES:
            if self.budget.succeeded(now):
                log(Event.STORE_AVAILABLE)
        elif self.budget.failed(now, admitted.probe):
            log(Event.STORE_UNAVAILABLE, error=str(result.failure()))
        return result

    async def _admit(self, call: _Call, deadline: float) -> Run | Deny:
        decision = self._request_decision(call)
        if isinstance(decision, Run | Deny):
            return decision
        denied = self.budget.add_waiting(call.priority)
        if denied is not None:
            return denied
        try:
            while not isinstance(decision, Run | Deny):
                until = trio.current_time() + decision.seconds
                if until > deadline:
                    return self.budget.abandon_wait(
                        call.priority, "no call is allowed before the deadline"
                    )
                await trio.sleep_until(until)
                decision = self._request_decision(call)
            return decision
        finally:
            self.budget.remove_waiting()

    def _request_decision(self, call: _Call) -> Run | Wait | Deny:
        # The answer to a watch takes up to `wait_s`, so a watch is unsuitable as a probe.
        return self.budget.request(
            trio.current_time(), call.kind, call.priority, may_probe=not call.watch
        )

    async def _exchange(self, call: _Call, deadline: float) -> Result[StoreValue, StoreError]:
        connection: StoreConnection | None = None
        try:
            with trio.fail_after(max(0.0, deadline - trio.current_time())):
                while True:
                    connection = await self._connections.acquire(reuse=not call.watch)
                    try:
                        answer = await connection.exchange(
                            call.method, call.path, call.headers, call.body
                        )
                        break
                    except (trio.BrokenResourceError, h11.ProtocolError):
                        # The store may have closed an idle connection; reads are safe to repeat.
                        if call.method != "GET" or not connection.reused:
                            raise
                        connection.close()
        except (OSError, trio.BrokenResourceError, trio.TooSlowError, h11.ProtocolError) as error:
            sent = connection is not None and connection.sent
            code = UNCERTAIN if sent and call.method != "GET" else UNAVAILABLE
            return Failure(StoreError(code, repr(error)))
        finally:
            if connection is not None:
                self._connections.release(connection)
        return _parse_status(call.method, answer.status, answer.version, answer.body)


def build_store(settings: Settings, network: Network, rng: random.Random) -> StoreClient:
    """Build the client with the address and limits of the settings."""
    url = urlsplit(settings.text("store", "url"))
    limits = CallLimits(
        settings.number("store", "reads_per_s"),
        settings.number("store", "writes_per_s"),
        settings.integer("store", "breaker_failures"),
        settings.number("store", "breaker_pause_s"),
        settings.integer("store", "max_waiting_calls"),
        settings.integer("store", "read_burst"),
    )
    return StoreClient(
        url.hostname or "",
        url.port or 80,
        network,
        settings.number("store", "timeout_s"),
        limits,
        rng,
        settings.integer("store", "max_idle_connections"),
    )


def priority_of(name: str) -> Priority:
    """Priority of calls for an object, by its name."""
    if name.startswith("document/"):
        return Priority.DOCUMENT
    if name.startswith("journal/"):
        return Priority.LEASE if name.endswith("/head") else Priority.JOURNAL
    return Priority.DOCUMENT


def _object_path(name: str) -> str:
    return f"/objects/{quote(name)}"


def _parse_status(
    method: str, status: int, version: int, body: bytes
) -> Result[StoreValue, StoreError]:
    if status == 200:
        return Success(StoreValue(body, version))
    code = _STATUS_CODES.get(status)
    if code is None:
        # A server error does not say whether an update took effect.
        code = UNAVAILABLE if method == "GET" else UNCERTAIN
    return Failure(StoreError(code, f"store answered {status}"))


def _parse_json(value: StoreValue) -> Result[list[dict[str, str]], StoreError]:
    try:
        parsed = json.loads(value.body)
    except ValueError as error:
        return Failure(StoreError(UNAVAILABLE, f"not JSON: {error}"))
    if not isinstance(parsed, list) or not all(isinstance(item, dict) for item in parsed):
        return Failure(StoreError(UNAVAILABLE, "not a list of objects"))
    return Success(parsed)


def _parse_list(value: StoreValue) -> Result[list[tuple[str, int]], StoreError]:
    def name_and_version(items: list[dict[str, str]]) -> list[tuple[str, int]]:
        return [(str(item.get("name")), int(item.get("version", 0))) for item in items]

    return _parse_json(value).map(name_and_version)
