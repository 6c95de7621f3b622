"""Keys of workspaces: authorization, changes while a request waits, quotas and headers."""

import json
from collections.abc import Callable
from typing import Any

import h11
import pytest
import trio
from platform_standin import configuration, route, tenant
from platform_support import PlatformFleet, run_on_platform
from returns.pipeline import is_successful
from support import Answer, read_answer
from support_logs import EventCollector

from dotterelstand.codes import Result
from dotterelstand.events import Event
from dotterelstand.platform.headers import PLATFORM_FIELDS
from dotterelstand.request.access import AccessGuard, admit_request, request_class
from dotterelstand.request.head import RequestHead, read_head
from dotterelstand.version.model import Document, Route
from dotterelstand.version.workspace import Workspace, WorkspaceIndex, digest_key

ONE, TWO = b"k" * 256, b"~!"
PUBLIC = Route("/public/", frozenset(), "s", True, "none", "001-safe", 1.0, public=True)
KEYED = Route("/a/", frozenset(), "s", True, "none", "001-safe", 1.0)


class _Freshness:
    def __init__(self, proven: bool = True) -> None:
        self.proven = proven

    def is_proven(self) -> bool:
        return self.proven


class _Quota:
    """Rejects while `retry_s` is set, and counts what is charged."""

    def __init__(self) -> None:
        self.retry_s: float | None = None
        self.charged: list[str] = []
        self.refunded: list[str] = []

    def admit(self, workspace: Workspace) -> float | None:
        if self.retry_s is None:
            self.charged.append(workspace.name)
        return self.retry_s

    def refund(self, workspace: Workspace) -> None:
        self.refunded.append(workspace.name)


def _workspaces(**keys: tuple[bytes, ...]) -> WorkspaceIndex:
    return WorkspaceIndex(
        Workspace(name, frozenset(map(digest_key, held)), 0) for name, held in keys.items()
    )


def _document(
    access: WorkspaceIndex | None, routes: tuple[Route, ...] = (KEYED, PUBLIC)
) -> Document:
    return Document(1, {}, {}, routes, ("000-safe", "001-safe"), {}, access=access)


def _head(*authorization: bytes, path: bytes = b"/a/1") -> RequestHead:
    headers = [(b"authorization", value) for value in authorization]
    headers += [(b"host", b"x"), (b"x-dotterelstand-tenant", b"forged")]
    request = h11.Request(method="GET", target=path, headers=headers)
    return read_head(request, PLATFORM_FIELDS).unwrap()


@pytest.mark.parametrize(
    ("authorization", "proven", "expected"),
    [
        ((b"Token " + ONE,), True, "one"),
        ((b"tOKEN  " + ONE,), True, "one"),
        ((b"Token " + ONE,), False, Result.CONFIGURATION_UNPROVEN),
        ((), True, Result.UNAUTHORIZED),
        ((), False, Result.UNAUTHORIZED),
        ((b"Token " + ONE, b"Token " + ONE), True, Result.UNAUTHORIZED),
        ((b"Token",), True, Result.UNAUTHORIZED),
        ((b"Bearer " + ONE,), True, Result.UNAUTHORIZED),
        ((ONE,), True, Result.UNAUTHORIZED),
        ((b"Token " + ONE + b"k",), True, Result.UNAUTHORIZED),
        ((b"Token " + b"k" * 65536,), False, Result.UNAUTHORIZED),
        ((b"Token \xe9",), True, Result.UNAUTHORIZED),
        ((b"Token a, b",), True, Result.UNAUTHORIZED),
        ((b"Token unknown",), True, Result.UNAUTHORIZED),
        ((b"Token unknown",), False, Result.CONFIGURATION_UNPROVEN),
    ],
)
def test_only_one_well_formed_known_key_is_accepted(
    authorization: tuple[bytes, ...], proven: bool, expected: str | Result
) -> None:
    """Guards against a request without a key that runs, and a known key that is refused."""
    document, head = _document(_workspaces(one=(ONE,), two=(TWO,))), _head(*authorization)
    admitted = admit_request(document, KEYED, head, lambda: document, _Freshness(proven))
    if isinstance(expected, Result):
        assert admitted.failure().code is expected
    else:
        assert admitted.unwrap().workspace.name == head.workspace == expected  # type: ignore
        assert request_class(KEYED, admitted.unwrap().workspace) == "000-safe"
    assert [name for name, _ in head.headers] == [b"host"]


_KEYED_THEN: list[tuple[str, WorkspaceIndex | None, Route, Result | None]] = [
    ("kept", _workspaces(one=(TWO, ONE)), KEYED, None),
    ("removed", _workspaces(one=(TWO,)), KEYED, Result.UNAUTHORIZED),
    ("moved", _workspaces(one=(TWO,), two=(ONE,)), KEYED, Result.CONFIGURATION_UNPROVEN),
    ("public", _workspaces(one=(ONE,)), PUBLIC, None),
    ("public and removed", _workspaces(one=(TWO,)), PUBLIC, Result.CONFIGURATION_UNPROVEN),
    ("no workspaces", None, KEYED, Result.CONFIGURATION_UNPROVEN),
]


@pytest.mark.parametrize(
    ("arrival", "access", "then", "expected"),
    [
        *(((_workspaces(one=(ONE,)), KEYED), *case[1:]) for case in _KEYED_THEN),
        ((_workspaces(one=(ONE,)), PUBLIC), _workspaces(one=(TWO,)), PUBLIC, None),
        ((None, KEYED), None, KEYED, None),
        ((None, KEYED), _workspaces(one=(ONE,)), KEYED, Result.CONFIGURATION_UNPROVEN),
        ((None, KEYED), _workspaces(one=(ONE,)), PUBLIC, Result.CONFIGURATION_UNPROVEN),
        (
            (_workspaces(one=(ONE,)), PUBLIC),
            _workspaces(one=(ONE,)),
            KEYED,
            Result.CONFIGURATION_UNPROVEN,
        ),
    ],
)
def test_a_waiting_request_is_judged_by_the_document_in_force(
    arrival: tuple[WorkspaceIndex | None, Route],
    access: WorkspaceIndex | None,
    then: Route,
    expected: Result | None,
) -> None:
    """Guards against a request that runs on a removed key or in the name of another workspace."""

    def at_path(one: Route) -> Route:
        return Route("/a/", frozenset(), "s", True, "none", "001-safe", 1.0, public=one.public)

    before = _document(arrival[0], (at_path(arrival[1]),))
    current = [before]
    guard = _admit(before, before.routes[0], lambda: current[0])
    assert guard.check() is None
    current[0] = _document(access, (at_path(then),))
    assert guard.check() is expected
    assert (guard.refusal is None) == (expected is None)


def _admit(document: Document, route: Route, current: Callable[[], Document]) -> AccessGuard:
    admitted = admit_request(document, route, _head(b"Token " + ONE), current, None)
    assert is_successful(admitted)
    return admitted.unwrap()


async def _apply(fleet: PlatformFleet, version: int, *workspaces: dict[str, Any]) -> None:
    routes = (route("s"), route("s", "/p/", public=True), route("s", "/b/", "unsafe"))
    fleet.store.put("config", "main", configuration(version, *routes, *workspaces))
    await trio.sleep(1.0)


async def _call(fleet: PlatformFleet, key: str = "secret-1", path: str = "/a/1") -> Answer:
    stream = await fleet.stream()
    extra = f"Authorization: Token {key}\r\nX-Dotterelstand-Tenant: forged\r\n\r\n".encode()
    await stream.send_all(
        fleet.request("GET", path, deadline_ms=2000).removesuffix(b"\r\n") + extra
    )
    answer = await read_answer(stream)
    stream.close()
    return answer


@pytest.mark.parametrize(
    ("path", "key", "code", "name"),
    [
        ("/a/1", "secret-1", 1000, "räume"),
        ("/a/1", "other", 2022, None),
        ("/p/1", "secret-1", 1000, None),
        ("/none/1", "secret-1", 2001, None),
    ],
)
def test_targets_get_the_workspace_and_never_the_key(
    path: str, key: str, code: int, name: str | None
) -> None:
    """Guards against keys in requests to targets, metrics or log lines, and forged workspaces."""

    async def scenario(fleet: PlatformFleet) -> None:
        await _apply(fleet, 8, tenant("räume", "secret-1"))
        answer = await _call(fleet, key, path)
        assert answer.code == code
        assert ("www-authenticate" in answer.headers) == (answer.status == 401)
        for headers in fleet.instances[0].requests:
            assert headers.get("x-dotterelstand-tenant") == name
            assert "authorization" not in headers
        (labels,) = {series.workspace for series in fleet.daemon.metrics.series()} or {""}
        assert labels == ("" if code != 1000 else name or "default")
        assert key not in json.dumps(fleet.daemon.metrics.counters())

    with EventCollector() as collector:
        run_on_platform(scenario, instances=1)
    assert key not in str(collector.events)
    ended = [line for line in collector.events if line["event"] == Event.REQUEST_ENDED]
    assert [line["workspace"] for line in ended] == [None] * (code != 1000)
    refused = [line for line in collector.events if line["event"] == Event.ACCESS_REFUSED]
    assert [line["reason"] for line in refused] == ["unknown_key"] * (code == 2022)


def test_a_quota_is_charged_once_and_refunded_once() -> None:
    """Guards against charges for requests that did not run, and 429 without the quota's time."""

    async def scenario(fleet: PlatformFleet) -> None:
        quota = fleet.daemon.frontend._context.quota = _Quota()
        await _apply(fleet, 8, tenant("t", "secret-1"))
        assert (await _call(fleet)).code == 1000
        assert (await _call(fleet, path="/p/1")).code == 1000
        assert (await _call(fleet, "other")).code == 2022
        assert (quota.charged, quota.refunded) == (["t"], [])
        fleet.store.remove("servers", "i-0")
        await trio.sleep(1.0)
        assert (await _call(fleet)).code == 2004
        assert (quota.charged, quota.refunded) == (["t"] * 2, ["t"])
        quota.retry_s = 0.417
        answer = await _call(fleet)
        assert (answer.status, answer.headers["retry-after"]) == (429, "0.417")
        assert len(quota.refunded) == 1

    run_on_platform(scenario, instances=1)


@pytest.mark.parametrize(
    ("loss", "waits", "code"),
    [("key", True, 2022), ("proof", True, 2024), ("key", False, 3001), ("proof", False, 3001)],
)
def test_nothing_is_sent_after_the_key_or_its_proof_is_lost(
    loss: str, waits: bool, code: int
) -> None:
    """Guards against queued requests and retries that run on a removed key or a stale document."""

    async def scenario(fleet: PlatformFleet) -> None:
        frontend = fleet.daemon.frontend
        freshness = frontend._context.freshness = _Freshness()
        await _apply(fleet, 8, tenant("t", "secret-1"))
        (target,) = fleet.instances
        target.service_time_s = 0.1
        if not waits:
            # The connection is reset, so that the request may have run.
            target.answers = [lambda headers: b""] * 4
        answers: list[Answer] = []

        async def call() -> None:
            answers.append(await _call(fleet))

        async with trio.open_nursery() as nursery:
            for _ in range(6 if waits else 1):
                nursery.start_soon(call)
            await trio.sleep(0.05)
            sent = len(target.requests)
            if loss == "proof":
                freshness.proven = False
            else:
                access = _workspaces(t=(TWO,))
                old = frontend.document
                assert old is not None
                frontend.document = Document(
                    9, {}, old.services, old.routes, old.classes, {"t": 1.0}, access=access
                )
        assert len(target.requests) == sent
        expected = [1000] * sent + [code] * (6 - sent) if waits else [code]
        assert sorted(answer.code for answer in answers) == expected
        await trio.sleep(0.1)
        state = fleet.daemon.broker.core.services.find("s")
        assert state is not None and (state.regional.open_grants, state.queued_calls) == (0, 0)

    run_on_platform(scenario, instances=1)


@pytest.mark.parametrize(("proven", "runs", "code"), [(True, 2, 1000), (False, 1, 3003)])
def test_no_hedged_attempt_is_sent_without_a_proof(proven: bool, runs: int, code: int) -> None:
    """Guards against a hedged attempt on a key that may have been removed since the first."""

    async def scenario(fleet: PlatformFleet) -> None:
        freshness = fleet.daemon.frontend._context.freshness = _Freshness()
        await _apply(fleet, 8, tenant("t", "secret-1"))
        for instance in fleet.instances:
            instance.service_time_s = 0.05
        for _ in range(30):
            await _call(fleet)
        for instance in fleet.instances:
            instance.runs.clear()
            instance.service_time_s = 5.0

        async def slow_down() -> None:
            await trio.sleep(0.02)
            freshness.proven = proven
            for instance in fleet.instances:
                instance.service_time_s = 0.05
                if instance.runs:
                    instance.service_time_percent = 400

        fleet.nursery.start_soon(slow_down)
        answer = await fleet.call(key="secret-1", deadline_ms=1000)
        assert (answer.code, len(fleet.runs())) == (code, runs)

    run_on_platform(scenario, health_interval_s=0.05)
