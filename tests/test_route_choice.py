"""Which route a request has, and so which retry rules and which service."""

import pytest
from platform_standin import configuration, route
from platform_support import PlatformFleet, run_on_platform

from dotterelstand.platform.decode import parse_configuration

# Prefix and kind of each route; those of "b" lead to that service, all others to "a".
DESK = [("/desk/", "unsafe", "a"), ("/desk/quotes/", "safe", "b")]
SAFE_DESK = [("/desk/", "safe", "a"), ("/desk/orders/", "unsafe", "b")]
LOST_ANSWER = b""


@pytest.mark.parametrize(
    ("routes", "path", "service", "idempotent"),
    [
        # The path of a collection without its last slash is not below the prefix.
        (DESK, "/desk/quotes", "a", False),
        (DESK, "/desk/quotes?x=/", "a", False),
        (DESK, "/desk/quotes/", "b", True),
        (DESK, "/desk/quotes/?x", "b", True),
        (DESK, "/desk/quotes/1", "b", True),
        (DESK, "/desk/quotesx/1", "a", False),
        (DESK, "/desk/quotes%2F1", "a", False),
        (DESK, "/desk//quotes/1", "a", False),
        (DESK, "/desk", None, False),
        (DESK, "/", None, False),
        # Some targets decode these paths, others do not.
        (DESK, "/desk/%71uotes/1", "a", False),
        (SAFE_DESK, "/desk/%6frders/1", "a", False),
        (SAFE_DESK, "/desk/%6frders", "a", True),
        (SAFE_DESK, "/desk/%6frder/1", "a", True),
        (SAFE_DESK, "/desk/a?x=/%6f", "a", True),
        ([("/%71/", "safe", "a")], "/%71/1", "a", True),
        ([("/%71/", "safe", "a")], "/q/1", None, False),
        ([("/", "safe", "a")], "/", "a", True),
        ([("/", "safe", "a")], "/x//y", "a", True),
        ([("/", "safe", "a"), ("/x//", "unsafe", "b")], "/x//y", "b", False),
    ],
)
def test_longest_prefix_that_begins_the_path(
    routes: list[tuple[str, str, str]], path: str, service: str | None, idempotent: bool
) -> None:
    """Guards against the retry rules or the service of a route whose prefix is not in the path."""
    resources = [route(name, prefix, kind) for prefix, kind, name in routes]
    spec = configuration(1, *resources, services=("a", "b"))
    found = parse_configuration(spec).unwrap().index.find(path, "POST", "x")
    assert (found.service if found else None, bool(found and found.idempotent)) == (
        service,
        idempotent,
    )


@pytest.mark.parametrize(
    ("path", "status"),
    [("/desk/quotes", 502), ("/desk/%71uotes/1", 502), ("/desk/quotes/1", 200), ("/de", 404)],
)
def test_unsafe_request_beside_a_safe_route_runs_once(path: str, status: int) -> None:
    """Guards against a second run of an unsafe request for a safe route's prefix (review/6)."""

    async def scenario(fleet: PlatformFleet) -> None:
        routes = route("s", "/desk/", "unsafe"), route("s", "/desk/quotes/")
        fleet.store.put("config", "main", configuration(8, *routes))
        await fleet.call()
        lost = iter([True])
        for instance in fleet.instances:
            instance.answer = (  # type: ignore[method-assign]
                lambda headers, answer=instance.answer: (
                    LOST_ANSWER if next(lost, False) else answer(headers)
                )
            )
        answer = await fleet.call("POST", path, b"quote")
        assert answer.status == status
        assert len(fleet.runs()) == {502: 1, 200: 2, 404: 0}[status]

    run_on_platform(scenario)
