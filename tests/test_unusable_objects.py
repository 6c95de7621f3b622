"""Objects of the platform with values that no part of a daemon can use."""

from collections.abc import Callable
from typing import Any

import pytest
import trio
from platform_standin import PAGE_OBJECTS, configuration, route, server_entry, tenant
from platform_support import PlatformFleet, run_on_platform
from support_logs import EventCollector

from dotterelstand.events import Event
from dotterelstand.platform import client
from dotterelstand.process.selection.slots import SlotBroker
from dotterelstand.standin.httpd import HttpAnswer, HttpRequest

# JSON limits neither the digits of a number nor its exponent; the latter gives an infinite one.
LONG_NUMBER = 10**400
INFINITE = float("inf")
# JSON may escape half of a surrogate pair alone; the text that results cannot be encoded.
SURROGATE = "\ud800"
TARGET = "10.1.0.9:80"
HOST = {"address": "10.0.9.9", "port": 7540, "region": "local", "availability_zone": "local-1"}

SECRET = "secret-key"
SPLIT = [{"service": "s", "weight": 1}]
WARMUP = {"warmupS": 2, "warmupPerS": 5}


def _configuration(version: int, kind: str = "", field: str = "", value: Any = 0) -> dict[str, Any]:
    """Return a configuration with one field replaced in each resource of a kind."""
    resources = route("s", trafficSplit=SPLIT), tenant("a", SECRET, ratePerS=1000, burst=1000)
    spec = configuration(version, *resources)
    for resource in spec["resources"]:
        if resource["resourceType"] == "services":
            resource["spec"] = {**resource["spec"], **WARMUP}
        if resource["resourceType"] == kind:
            resource["spec"] = {**resource["spec"], field: value}
    return spec


UNUSABLE = {
    "target's number": ("servers", "i-9", server_entry("s", TARGET, warmupLeftS=LONG_NUMBER)),
    "route's number": ("config", "main", configuration(8, route("s", timeoutS=LONG_NUMBER))),
    "route's infinite number": ("config", "main", configuration(8, route("s", timeoutS=INFINITE))),
    "target's name": ("servers", f"i{SURROGATE}", server_entry("s", TARGET)),
    "service's name": ("config", "main", configuration(8, services=("s", f"t{SURROGATE}"))),
    "health path with a space": (
        "config",
        "main",
        _configuration(8, "services", "healthPath", "/a b"),
    ),
    "health path with a line feed": (
        "config",
        "main",
        _configuration(8, "services", "healthPath", "/a\nb: c"),
    ),
    "health path that is not ASCII": (
        "config",
        "main",
        _configuration(8, "services", "healthPath", "/\u00e9"),
    ),
    "health path without a slash": (
        "config",
        "main",
        _configuration(8, "services", "healthPath", "health"),
    ),
    "long health path": ("config", "main", _configuration(8, "services", "healthPath", "/" * 3000)),
    "host's name": ("dotterelstand-hosts-local", f"h{SURROGATE}", HOST | {"capacity": 1.0}),
    "target's port": ("servers", "i-9", server_entry("s", "10.1.0.9:\u00b2")),
    "target's long port": ("servers", "i-9", server_entry("s", "10.1.0.9:" + "9" * 5000)),
}

# Resources of workspaces that make a configuration unusable.
WORKSPACES: dict[str, tuple[dict[str, Any], ...]] = {
    "key of two": (tenant("a", SECRET), tenant("b", "other", SECRET)),
    "name of two": (tenant("a", SECRET), tenant("a", "other")),
    "no name": (tenant("", SECRET),),
    "name with a line break": (tenant("a\r\nx: y", SECRET),),
    "name that ends with a space": (tenant("a ", SECRET),),
    "negative rate": (tenant("a", SECRET, ratePerS=-1),),
    "negative burst": (tenant("a", SECRET, burst=-0.5),),
    "negative priority": (tenant("a", SECRET, priority=-1),),
    "key that is not ASCII": (tenant("a", SECRET + "\u00e9"),),
    "keys that are no list": (tenant("a", apiKeys=SECRET),),
    "regions that are no names": (tenant("a", SECRET, allowedRegions=[1]),),
    "spec that is no table": ({**tenant("a"), "spec": [SECRET]},),
    "resource that is no table": ([SECRET],),  # type: ignore[dict-item]
}
UNUSABLE |= {
    case: ("config", "main", configuration(8, route("s"), *resources))
    for case, resources in WORKSPACES.items()
}


# Numbers at which a calculation with them overflows, in either direction.
EXTREME = {
    "10**400": LONG_NUMBER,
    "2**63": 2**63,
    "1e308": 1e308,
    "5e-324": 5e-324,
}


def _entry(part: str, field: str, value: Any) -> dict[str, Any]:
    """Return the entry of an instance with one field replaced in one of its parts."""
    entry = server_entry("s", TARGET)
    table = entry[part] if part else entry
    table[field] = value
    return entry


def _weighted(value: Any) -> list[dict[str, Any]]:
    return [{"service": "s", "weight": value}, {"service": "s", "weight": value}]


FIELDS = [
    ("routes", "timeoutS"),
    ("routes", "targetLatencyS"),
    ("routes", "priority"),
    ("routes", "attempts"),
    ("routes", "trafficSplit"),
    ("services", "maxConns"),
    ("services", "warmupS"),
    ("services", "warmupPerS"),
    ("tenants", "priority"),
    ("tenants", "ratePerS"),
    ("tenants", "burst"),
    ("limits", "maxHeaderBytes"),
    ("limits", "maxBodyBytes"),
    ("limits", "headerTimeoutS"),
    ("limits", "idleTimeoutS"),
    ("info", "slots"),
    ("status", "warmupLeftS"),
    ("status", "sequence"),
    ("", "born"),
    ("", "address"),
]


@pytest.mark.parametrize("number", EXTREME)
@pytest.mark.parametrize(("part", "field"), FIELDS)
def test_extreme_number_stops_nothing(part: str, field: str, number: str) -> None:
    """Guards against daemons that all end at a number in an object of the store (review/7)."""
    value: Any = EXTREME[number]
    if field == "address":
        value = f"10.1.0.9:{value}"
    if field == "trafficSplit":
        value = _weighted(value)

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("config", "main", _configuration(8))
        await trio.sleep(5.0)
        assert fleet.daemon.document and fleet.daemon.document.number == 8
        if part in ("info", "status", ""):
            fleet.store.put("servers", "i-9", _entry(part, field, value))
        else:
            fleet.store.put("config", "main", _configuration(9, part, field, value))
        for number in range(21):
            await trio.sleep(0.1)
            assert (await fleet.call(entry=number % 3, key=SECRET)).status == 200
        fleet.register(0, state="draining")
        await trio.sleep(2.0)
        runs = len(fleet.instances[0].runs)
        for _ in range(10):
            assert (await fleet.call(key=SECRET)).status == 200
        assert len(fleet.instances[0].runs) == runs

    run_on_platform(scenario, entries=3, health_interval_s=0.1, quota=True)


@pytest.mark.parametrize("case", UNUSABLE)
def test_object_with_an_unusable_value_is_left_out(case: str) -> None:
    """Guards against daemons that all end, or follow no other object, since one cannot be used."""
    kind, name, spec = UNUSABLE[case]

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put(kind, name, spec)
        await trio.sleep(5.0)
        for _ in range(10):
            assert (await fleet.call()).status == 200
        fleet.register(0, state="draining")
        await trio.sleep(5.0)
        runs = len(fleet.instances[0].runs)
        for _ in range(10):
            assert (await fleet.call()).status == 200
        assert len(fleet.instances[0].runs) == runs

    with EventCollector() as lines:
        run_on_platform(scenario, health_interval_s=0.1)
    assert lines.lines_of(Event.OBJECT_UNREADABLE)
    assert SECRET not in str(lines.events), "a key was logged"


@pytest.mark.parametrize("broken", ["apply", "parse"])
def test_unexpected_error_ends_nothing_else(broken: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against an error in one object that ends the daemon or hides the other objects."""
    failures = []

    def fail(original: Callable[..., Any], bad: Callable[..., bool]) -> Callable[..., Any]:
        def call(*arguments: Any) -> Any:
            if bad(*arguments):
                failures.append(broken)
                raise ZeroDivisionError
            return original(*arguments)

        return call

    if broken == "apply":
        bad = lambda broker, document: document.number == 8  # noqa: E731
        monkeypatch.setattr(SlotBroker, "apply", fail(SlotBroker.apply, bad))
    else:
        parse = fail(client.parse_target, lambda name, spec: name == "i-9")
        monkeypatch.setattr(client, "parse_target", parse)

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("servers", "i-9", server_entry("s", TARGET))
        fleet.store.put("config", "main", configuration(8, route("s")))
        await trio.sleep(1.0)
        assert (await fleet.call()).status == 200
        fleet.store.put("config", "main", configuration(9, route("s"), route("s", "/c/")))
        await trio.sleep(1.0)
        for _ in range(5):
            assert (await fleet.call(path="/c/1")).status == 200

    with EventCollector() as lines:
        run_on_platform(scenario)
    assert failures
    assert lines.lines_of(Event.INVARIANT_BROKEN)


NESTED = 5_000


class RawJson:
    """JSON that Python itself cannot decode or encode, in place of marks in other JSON."""

    VALUES = {
        "long number": b"9" * 5_000,
        "nested lists": b"[" * NESTED + b"]" * NESTED,
        "nested tables": b'{"a":' * NESTED + b"1" + b"}" * NESTED,
        "brackets in a text": b'["' + b"[{" * NESTED + b'\\"[", ' + b"9" * 5_000 + b"]",
        "not UTF-8": b'"\xff\xfe"',
    }

    def __init__(self, case: str) -> None:
        self._value = self.VALUES[case]

    def insert(self, encoded: bytes) -> bytes:
        """Replace the marks."""
        return encoded.replace(b'"UNREADABLE"', self._value)


@pytest.mark.parametrize("entries", [1, 6])
@pytest.mark.parametrize("field", ["info", "slots", "other"])
@pytest.mark.parametrize("case", RawJson.VALUES)
def test_value_that_cannot_be_decoded_hides_no_other_object(
    case: str, field: str, entries: int
) -> None:
    """Guards against a list that nobody can read, and so follows, because of one of its objects.

    With several hosts, some get the list from each other.
    """
    raw = RawJson(case)

    async def scenario(fleet: PlatformFleet) -> None:
        answer = fleet.store._handle

        async def handle(request: HttpRequest) -> HttpAnswer | None:
            found = await answer(request)
            return found and HttpAnswer(found.status, raw.insert(found.body), found.headers)

        fleet.store._handle = handle  # type: ignore[method-assign]
        # Ends the watches that are open.
        fleet.store.put("servers", "j-0", {})
        await trio.sleep(1.0)
        entry = server_entry("s", TARGET)
        if field == "info":
            entry["info"] = "UNREADABLE"
        elif field == "slots":
            entry["info"]["slots"] = "UNREADABLE"
        else:
            # A field that nobody reads does not make the entry unusable.
            entry = server_entry("s", f"10.1.0.{len(fleet.instances) - 1}:80")
            entry["note"] = "UNREADABLE"
        fleet.store.put("servers", "i-9" if field != "other" else "i-2", entry)
        await trio.sleep(1.0)
        fleet.register(0, state="draining")
        await trio.sleep(3.0)
        # A host that starts, and one that lost the history, read the whole list.
        fleet.start_daemon(entries)
        fleet.store.forget_history()
        await trio.sleep(6.0)
        runs = len(fleet.instances[0].runs)
        for number in range(3 * (entries + 1)):
            assert (await fleet.call(entry=number % (entries + 1))).status == 200
        assert len(fleet.instances[0].runs) == runs
        names = {target.name for target in fleet.daemon.document.services["s"].targets}  # type: ignore[union-attr]
        assert names == {"i-1", "i-2"}

    run_on_platform(scenario, entries=entries)


def test_page_that_ends_with_an_unusable_name_leaves_the_daemon_running() -> None:
    """Guards against a daemon that ends since it cannot ask for the page behind such a name."""

    async def scenario(fleet: PlatformFleet) -> None:
        for index in range(PAGE_OBJECTS - len(fleet.instances) - 1):
            fleet.store.put("servers", f"j-{index}", {})
        for name in (f"k{SURROGATE}", f"l{SURROGATE}"):
            fleet.store.put("servers", name, {})
        fleet.start_daemon(1)
        await trio.sleep(5.0)
        assert (await fleet.call()).status == 200

    run_on_platform(scenario)
