"""Targets that say in their answers that they are leaving."""

from collections.abc import Callable

import pytest
import trio
from platform_standin import Instance, server_entry
from platform_support import PlatformFleet, run_on_platform

from dotterelstand.platform.headers import PLATFORM_FIELDS
from dotterelstand.request.fields import names_target

# Time in which a host tells the others, far below the time within which work must end.
SPREAD_S = 0.1
# Later than the start that `server_entry` gives.
FIRST_START_MS, SECOND_START_MS = 1_800_000_000_000, 1_800_000_009_000


def _announcing(instance: Instance, name: str, **changes: str) -> Callable[[dict[str, str]], bytes]:
    return lambda headers: instance.answer(headers, **{name: "1", **changes})


def _truncated(instance: Instance, name: str) -> Callable[[dict[str, str]], bytes]:
    return lambda headers: _announcing(instance, name)(headers)[:-1]


async def _calls_that_reach(fleet: PlatformFleet, instance: Instance, calls: int = 24) -> int:
    """Send lookups and orders to all hosts; returns how many of them a target received."""
    before = len(instance.requests)
    for number in range(calls):
        method, path = ("POST", "/b/1") if number % 2 else ("GET", "/a/1")
        entry = number % len(fleet.daemons)
        await fleet.call(method, path, b"x" if number % 2 else b"", entry)
    return len(instance.requests) - before


async def _leave(fleet: PlatformFleet, answer: Callable[[dict[str, str]], bytes]) -> Instance:
    """Send lookups until a target has answered one of them in the given way."""
    instance = fleet.instances[0]
    instance.answers = [answer]
    while instance.answers:
        await fleet.call()
    await trio.sleep(SPREAD_S)
    return instance


@pytest.mark.parametrize("name", ["Server-Leaving", "X-Dotterelstand-Server-Leaving"])
@pytest.mark.parametrize(
    "changes",
    [{}, {"status": "500 Error"}, {"status": "503 Full", "X-Dotterelstand-Not-Executed": "1"}],
)
def test_target_that_announces_its_leaving_gets_no_more_work(
    name: str, changes: dict[str, str]
) -> None:
    """Guards against work for a leaving target that the store's list still shows as ready."""

    async def scenario(fleet: PlatformFleet) -> None:
        instance = await _leave(fleet, _announcing(fleet.instances[0], name, **changes))
        assert await _calls_that_reach(fleet, instance) == 0

    run_on_platform(scenario, entries=3)


def test_announcement_in_a_truncated_answer_counts() -> None:
    """Guards against a leaving target whose announcing answer is lost behind the head."""

    async def scenario(fleet: PlatformFleet) -> None:
        instance = await _leave(fleet, _truncated(fleet.instances[0], "Server-Leaving"))
        assert await _calls_that_reach(fleet, instance) == 0

    run_on_platform(scenario, entries=2)


def test_announcement_in_a_health_check_counts() -> None:
    """Guards against a leaving target that answers only health checks."""

    async def scenario(fleet: PlatformFleet) -> None:
        instance = fleet.instances[0]
        usual = instance.answer
        instance.answer = lambda headers, *values, **changes: usual(  # type: ignore[method-assign]
            headers, *values, **{**changes, "Server-Leaving": "1"}
        )
        await fleet.call()
        await trio.sleep(2.0)
        assert await _calls_that_reach(fleet, instance) == 0

    run_on_platform(scenario, health_interval_s=0.1)


@pytest.mark.parametrize(
    ("started_ms", "gets_work"), [(FIRST_START_MS, False), (SECOND_START_MS, True)]
)
@pytest.mark.parametrize("lapses", [False, True])
def test_only_a_new_start_of_the_target_ends_its_leaving(
    lapses: bool, started_ms: int, gets_work: bool
) -> None:
    """Guards against work after an entry returned, and against a restarted target without work."""

    async def scenario(fleet: PlatformFleet) -> None:
        _register(fleet, FIRST_START_MS)
        await trio.sleep(2.0)
        instance = await _leave(fleet, _announcing(fleet.instances[0], "Server-Leaving"))
        if lapses:
            fleet.store.remove("servers", instance.name)
            await trio.sleep(2.0)
        _register(fleet, started_ms)
        await trio.sleep(2.0)
        assert bool(await _calls_that_reach(fleet, instance)) is gets_work

    run_on_platform(scenario, entries=2)


def test_callers_cannot_announce_the_leaving_of_a_target() -> None:
    """Guards against a caller that takes targets out of service by a header field."""

    async def scenario(fleet: PlatformFleet) -> None:
        stream = await fleet.stream()
        request = fleet.request().replace(b"\r\nHost: x", b"\r\nHost: x\r\nServer-Leaving: 1")
        await stream.send_all(request)
        await trio.sleep(SPREAD_S)
        reached = [await _calls_that_reach(fleet, instance) for instance in fleet.instances]
        assert all(reached), reached

    run_on_platform(scenario, instances=2)


def test_announcement_of_another_target_at_the_address_does_not_count() -> None:
    """Guards against a target without work because its successor or predecessor leaves."""

    async def scenario(fleet: PlatformFleet) -> None:
        instance = fleet.instances[0]
        changes = {"X-Dotterelstand-Instance-Id": "i-other", "status": "421 Other"}
        await _leave(fleet, _announcing(instance, "Server-Leaving", **changes))
        assert await _calls_that_reach(fleet, instance) > 0

    run_on_platform(scenario, entries=2)


@pytest.mark.parametrize(
    ("identity", "name", "expected"),
    [
        (None, "i-1", True),
        (b"i-1", "i-1", True),
        (b"i-2", "i-1", False),
        (b"", "i-1", False),
        # Targets get and send their name in one byte for each character.
        (b"caf\xe9", "caf\u00e9", True),
        (b"caf\xc3\xa9", "caf\u00e9", False),
    ],
)
def test_a_target_is_known_by_its_name_as_it_is_sent(
    identity: bytes | None, name: str, expected: bool
) -> None:
    """Guards against health checks that take a target for another one, unlike requests."""
    headers = {} if identity is None else {PLATFORM_FIELDS.identity: identity}
    assert names_target(headers, PLATFORM_FIELDS, name) is expected


def test_requests_are_refused_at_once_when_all_targets_are_leaving() -> None:
    """Guards against requests that wait for a target until their deadline."""

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.answers = [_announcing(instance, "Server-Leaving")]
        while any(instance.answers for instance in fleet.instances):
            await fleet.call()
        await trio.sleep(SPREAD_S)
        began = trio.current_time()
        answer = await fleet.call("POST", "/b/1", b"x")
        assert (answer.status, "retry-after" in answer.headers) == (503, True)
        assert trio.current_time() - began < SPREAD_S

    run_on_platform(scenario, instances=2)


def _register(fleet: PlatformFleet, started_ms: int) -> None:
    """Write the entry of the first target with the time of its start."""
    entry = server_entry("s", "10.1.0.0:80")
    fleet.store.put("servers", "i-0", {**entry, "born": started_ms})
