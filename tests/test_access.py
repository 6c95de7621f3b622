"""Keys of workspaces: authorization, changes while a request waits, quotas and headers."""

import h11
import pytest
import trio
from platform_standin import configuration, route, tenant
from platform_support import PlatformFleet, run_on_platform
from support import Answer, read_answer
from support_logs import EventCollector

from dotterelstand.codes import Result
from dotterelstand.events import Event
from dotterelstand.platform.headers import PLATFORM_FIELDS
from dotterelstand.request.access import admit_request
from dotterelstand.request.head import RequestHead, read_head
from dotterelstand.version.model import Document
from dotterelstand.version.route import Route
from dotterelstand.version.workspace import Workspace, WorkspaceIndex, digest_key

ONE = "k" * 256
UNKNOWN, UNPROVEN = Result.UNAUTHORIZED, Result.CONFIGURATION_UNPROVEN


class _Freshness:
    def __init__(self, proven: bool = True) -> None:
        self.proven = proven

    def is_proven(self) -> bool:
        return self.proven


class _Quota:
    """Rejects while `retry_s` is set; lists what is charged and refunded."""

    def __init__(self) -> None:
        self.retry_s: float | None = None
        self.calls: list[str] = []

    def admit(self, workspace: Workspace) -> float | None:
        self.calls += [] if self.retry_s else ["+" + workspace.name]
        return self.retry_s

    def refund(self, workspace: Workspace) -> None:
        self.calls.append("-" + workspace.name)


def _document(keys: str | None, public: bool = False) -> Document:
    """Document with one route; `keys` has workspaces and keys, None if there are no workspaces."""
    pairs = [part.split("=") for part in (keys or "").split()]
    access = WorkspaceIndex(Workspace(n, frozenset([digest_key(k.encode())])) for n, k in pairs)
    one = Route("/a/", frozenset(), "s", True, "none", "001-safe", 1.0, public=public)
    return Document(1, {}, {}, (one,), (), {}, access=None if keys is None else access)


def _head(*authorization: str) -> RequestHead:
    headers = [("authorization", value) for value in authorization] + [("host", "x")]
    headers.append(("x-dotterelstand-tenant", "forged"))
    request = h11.Request(method="GET", target="/a/1", headers=headers)
    return read_head(request, PLATFORM_FIELDS).unwrap()


@pytest.mark.parametrize(
    ("authorization", "proven", "expected"),
    [
        (["Token " + ONE], True, "one"),
        (["tOKEN  " + ONE], True, "one"),
        (["Token " + ONE], False, UNPROVEN),
        ([], False, UNKNOWN),
        (["Token " + ONE] * 2, True, UNKNOWN),
        (["Bearer " + ONE], True, UNKNOWN),
        (["Token " + ONE + "k"], True, UNKNOWN),
        (["Token " + "k" * 65536], True, UNKNOWN),
        (["Token a, b"], True, UNKNOWN),
        (["Token x"], True, UNKNOWN),
        (["Token x"], False, UNPROVEN),
    ],
)
def test_only_one_known_key_is_accepted(
    authorization: list[str], proven: bool, expected: str | Result
) -> None:
    """Guards against a request that runs without a key, or keeps it or a forged workspace."""
    document, head = _document(f"one={ONE} two=2"), _head(*authorization)
    found = admit_request(
        document, document.routes[0], head, lambda: document, _Freshness(proven)
    ).map(
        lambda guard: guard.workspace.name
    )  # type: ignore[union-attr]
    assert found.value_or(None) == (expected if isinstance(expected, str) else None)
    assert isinstance(expected, str) or found.failure().code is expected
    assert [name for name, _ in head.headers] == [b"host"]


@pytest.mark.parametrize(
    ("before", "was_public", "after", "is_public", "expected"),
    [
        ("a=k", False, "a=k b=2", False, None),
        ("a=k", False, "a=2", False, UNKNOWN),
        ("a=k", False, "a=2 b=k", False, UNPROVEN),
        ("a=k", False, "a=k", True, None),
        ("a=k", False, "a=2", True, UNPROVEN),
        ("a=k", False, None, False, UNPROVEN),
        ("a=k", True, "a=2", True, None),
        ("a=k", True, "a=k", False, UNPROVEN),
        (None, False, None, False, None),
        (None, False, "a=k", True, UNPROVEN),
    ],
)
def test_a_waiting_request_is_judged_by_the_document_in_force(
    before: str | None, was_public: bool, after: str | None, is_public: bool, expected: Result
) -> None:
    """Guards against a request that runs on a removed key or in the name of another workspace."""
    documents = [_document(before, was_public)]
    guard = admit_request(
        documents[0], documents[0].routes[0], _head("Token k"), lambda: documents[-1], None
    ).unwrap()
    assert guard.check() is None
    documents.append(_document(after, is_public))
    assert guard.check() is expected


@pytest.mark.parametrize(
    ("path", "key", "code", "name", "reason"),
    [
        ("/a/1", "k-1", 1000, "räume", None),
        ("/p/1", "k-1", 1000, None, None),
        ("/a/1", "k-9", 2022, None, "unknown_key"),
        ("/none/1", "k-1", 2001, None, None),
        ("/a/1", "k-2", 2004, "there", "region"),
        ("/r/1", "k-1", 2004, "räume", None),
    ],
)
def test_targets_get_the_workspace_and_never_the_key(
    path: str, key: str, code: int, name: str | None, reason: str | None
) -> None:
    """Guards against keys that leave the host, forged workspaces and regions that don't count."""

    async def scenario(fleet: PlatformFleet) -> None:
        routes = (
            route("s", allowedRegions=["local"]),
            route("s", "/p/", public=True),
            route("s", "/r/", allowedRegions=["nowhere"]),
        )
        there = tenant("there", "k-2", allowedRegions=["nowhere"])
        fleet.store.put("config", "main", configuration(8, *routes, tenant("räume", "k-1"), there))
        await trio.sleep(1.0)
        stream = await fleet.stream()
        forged = b"X-Dotterelstand-Tenant: forged\r\n\r\n"
        await stream.send_all(fleet.request(path=path, key=key).removesuffix(b"\r\n") + forged)
        answer = await read_answer(stream)
        assert answer.code == code
        assert ("www-authenticate" in answer.headers) == (code == 2022)
        for headers in fleet.instances[0].requests:
            assert headers.get("x-dotterelstand-tenant") == name
            assert "authorization" not in headers
        labels = [series.workspace for series in fleet.daemon.metrics.series()]
        assert labels == ([name or "default"] if code == 1000 else [])

    with EventCollector() as lines:
        run_on_platform(scenario, instances=1)
    assert key not in str(lines.events)
    assert [line["workspace"] for line in lines.lines_of(Event.REQUEST_ENDED)] == [name] * (
        code != 1000
    )
    assert [line["reason"] for line in lines.lines_of(Event.ACCESS_REFUSED)] == [reason] * bool(
        reason
    )
    (line,) = lines.lines_of(Event.REGIONS_UNKNOWN)
    assert (line["regions"], line["routes"]) == (["nowhere"], ["x/r/"])


def test_a_quota_is_charged_once_and_refunded_once() -> None:
    """Guards against charges for requests that did not run, and 429 without the quota's time."""

    async def scenario(fleet: PlatformFleet) -> None:
        quota = fleet.daemon.frontend._context.quota = _Quota()
        fleet.store.put("config", "main", configuration(8, route("s"), tenant("t", "k")))
        await trio.sleep(1.0)
        assert [(await fleet.call(key=key)).code for key in "kx"] == [1000, 2022]
        fleet.store.remove("servers", "i-0")
        await trio.sleep(1.0)
        assert (await fleet.call(key="k")).code == 2004
        quota.retry_s = 0.417
        answer = await fleet.call(key="k")
        assert (answer.status, answer.headers["retry-after"]) == (429, "0.417")
        assert quota.calls == ["+t", "+t", "-t"]

    run_on_platform(scenario, instances=1)


@pytest.mark.parametrize("loss", ["key", "proof"])
@pytest.mark.parametrize("kind", ["queued", "retry", "hedge"])
def test_nothing_is_sent_after_the_key_or_its_proof_is_lost(kind: str, loss: str) -> None:
    """Guards against attempts on a removed key or a document that may be stale."""

    async def scenario(fleet: PlatformFleet) -> None:
        frontend = fleet.daemon.frontend
        freshness = frontend._context.freshness = _Freshness()
        fleet.store.put("config", "main", configuration(8, route("s"), tenant("t", "k")))
        await trio.sleep(1.0)
        for number in range(30 if kind == "hedge" else 0):
            await fleet.call(path=f"/a/{number}", key="k")
        for target in fleet.instances:
            target.service_time_s = 5.0 if kind == "hedge" else 0.1
            # The connection is reset, so that the request may have run.
            target.answers = [lambda headers: b""] * 4 if kind == "retry" else []
        answers: list[Answer] = []

        async def call() -> None:
            answers.append(await fleet.call(deadline_ms=1900, key="k"))

        ran = len(fleet.runs())
        async with trio.open_nursery() as nursery:
            for _ in range(20 if kind == "queued" else 1):
                nursery.start_soon(call)
            await trio.sleep(0.05)
            sent = len(fleet.runs()) - ran
            freshness.proven = loss != "proof"
            if loss == "key":
                old, access = frontend.document, _document("t=2").access
                assert old is not None
                frontend.document = Document(
                    9, {}, old.services, old.routes, old.classes, {}, access=access
                )
            if kind == "hedge":
                for target in fleet.instances:
                    target.service_time_percent = 400
        assert len(fleet.runs()) - ran == sent < 20
        refused = [2022 if loss == "key" else 2024] * (20 - sent)
        expected = {"queued": [1000] * sent + refused, "retry": [3001], "hedge": [3003]}
        assert sorted(answer.code for answer in answers) == expected[kind]
        state = fleet.daemon.broker.core.services.find("s")
        assert state is not None and (state.regional.open_grants, state.queued_calls) == (0, 0)

    run_on_platform(scenario, health_interval_s=0.05)
