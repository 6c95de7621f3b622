"""Complete lists of platform objects that hosts get from hubs instead of the store."""

import json
import zlib

import pytest
import trio
from platform_standin import configuration, route
from platform_support import PlatformFleet, run_on_platform
from returns.pipeline import is_successful

from dotterelstand.connection.wire import Message, Snapshot
from dotterelstand.platform.client import PlatformClient
from dotterelstand.process.discovery.registry import Kind
from dotterelstand.process.discovery.relayview import RelayedChanges, RelayView
from dotterelstand.process.discovery.snapshots import SnapshotServer
from dotterelstand.standin.network import FakeNetwork

LIST_CALLS = ("GET /dotterelstand/objects/servers", "GET /dotterelstand/objects/config")
# Seconds in which a host must be ready after its start.
READY_S = 2.0


CODEC = PlatformClient("10.0.0.1", 80, FakeNetwork(lambda one, other: 0.0).at("a"), 1.0)


def _items(*names: str, spec: str = "old") -> list[dict[str, object]]:
    return [{"metadata": {"name": name}, "spec": spec} for name in names]


def _list(revision: int, *items: dict[str, object]) -> bytes:
    return json.dumps({"items": list(items), "currentRev": revision}).encode()


def _changes(revision: int, changed: list, removed: list) -> bytes:
    events = [{"object": item, "removed": False} for item in changed]
    events += [{"object": item, "removed": True} for item in removed]
    return json.dumps({"events": events, "currentRev": revision}).encode()


class _Server:
    """A snapshot server with the messages that it sent."""

    def __init__(self) -> None:
        self.view = RelayView(0.0)
        self.sent: list[tuple[str, Message]] = []
        self.server = SnapshotServer(
            CODEC, self.view, lambda host, item: self.sent.append((host, item))
        )

    def add_changes(self, since: int, until: int, changed: list, removed: list) -> None:
        encoded = zlib.compress(_changes(until, changed, removed))
        self.view.add_changes(Kind.TARGETS, RelayedChanges(since, until, encoded))

    def sent_lists(self) -> list[tuple[str, int, object]]:
        """Receiver, revision and decoded objects of each list; None for a list that is missing."""
        return [
            (
                (host, item.revision, json.loads(zlib.decompress(item.encoded))["items"])
                if item.encoded
                else (host, 0, None)
            )
            for host, item in self.sent
            if isinstance(item, Snapshot)
        ]


@pytest.mark.parametrize(
    ("changes", "known_revision", "expected"),
    [
        ([], 5, (5, _items("a", "b"))),
        ([(5, 7, [], _items("a")), (7, 9, _items("c"), [])], 9, (9, _items("b", "c"))),
        ([(6, 9, [], [])], 9, (0, None)),
        ([], 6, (0, None)),
    ],
)
def test_a_list_has_the_changes_since_it_was_read(
    changes: list, known_revision: int, expected: tuple[int, object]
) -> None:
    """Guards against a host that starts with an old list and misses the changes after it."""
    hub = _Server()
    hub.server.store(Kind.TARGETS, 5, _list(5, *_items("a", "b")))
    for since, until, changed, removed in changes:
        hub.add_changes(since, until, changed, removed)
    hub.server.request("h", Kind.TARGETS, known_revision)
    assert hub.sent_lists() == [("h", *expected)]


def test_many_changes_do_not_outlive_the_list() -> None:
    """Guards against a hub whose list cannot be brought up to date after dozens of changes."""
    hub = _Server()
    hub.server.store(Kind.TARGETS, 5, _list(5, *_items("a")))
    for revision in range(5, 105):
        hub.add_changes(revision, revision + 1, _items("b", spec=str(revision)), [])
        hub.server.merge_if_due(Kind.TARGETS)
    hub.server.request("h", Kind.TARGETS, 105)
    assert hub.sent_lists() == [("h", 105, _items("a") + _items("b", spec="104"))]


@pytest.mark.parametrize("dropped", [True, False])
def test_a_list_that_is_read_again_yields_the_changes_between(dropped: bool) -> None:
    """Guards against a region that reads all lists anew whenever its relay does.

    Found by abc-quotes-grown trouble-1: 140 MB of lists in 23 s.
    """
    hub = _Server()
    hub.server.store(Kind.TARGETS, 5, _list(5, *_items("a", "b", "c")))
    hub.add_changes(5, 6, [], _items("c"))
    if dropped:
        hub.server.drop(Kind.TARGETS)
    items = _items("b") + _items("d") + _items("a", spec="new")
    changes = hub.server.store(Kind.TARGETS, 9, _list(9, *items))
    assert changes is not None and (changes.since, changes.until) == (6, 9)
    events = json.loads(zlib.decompress(changes.encoded))["events"]
    assert {(item["object"]["metadata"]["name"], item["removed"]) for item in events} == {
        ("a", False),
        ("d", False),
    }


@pytest.mark.parametrize("succeeds", [True, False])
def test_a_request_during_a_read_waits_for_it(succeeds: bool) -> None:
    """Guards against a fleet that starts and reads its lists once for each host."""
    hub = _Server()
    hub.server.begin_read(Kind.TARGETS)
    hub.server.request("h", Kind.TARGETS, 0)
    assert hub.sent == []
    if succeeds:
        hub.server.store(Kind.TARGETS, 5, _list(5, *_items("a")))
    else:
        hub.server.drop(Kind.TARGETS)
    assert hub.sent_lists() == [("h", 5, _items("a")) if succeeds else ("h", 0, None)]


def test_a_list_from_before_an_outage_is_not_handed_out() -> None:
    """Guards against targets that left while the store was away and come back with an old list."""
    hub = _Server()
    hub.server.store(Kind.TARGETS, 5, _list(5, *_items("a")))
    hub.server.drop(Kind.TARGETS)
    hub.server.request("h", Kind.TARGETS, 5)
    assert hub.sent_lists() == [("h", 0, None)]


def _lists(fleet: PlatformFleet) -> int:
    return sum(call in LIST_CALLS for call in fleet.store.calls)


@pytest.mark.parametrize("entries", [6, 30])
def test_a_fleet_that_starts_reads_each_list_a_few_times(entries: int) -> None:
    """Guards against 41 MB of lists from the store when 312 hosts start with 330 targets."""

    async def scenario(fleet: PlatformFleet) -> None:
        assert all(daemon.frontend.is_ready for daemon in fleet.daemons)
        # The hosts that register first know few others and may read the lists by themselves.
        assert _lists(fleet) <= 2 * 3
        calls = _lists(fleet)
        fleet.start_daemon(entries)
        await trio.sleep(READY_S)
        assert fleet.daemons[-1].frontend.is_ready
        assert _lists(fleet) == calls

    run_on_platform(scenario, entries=entries)


def test_a_host_that_starts_after_changes_has_them() -> None:
    """Guards against a hub that hands out its first list without the later changes."""

    async def scenario(fleet: PlatformFleet) -> None:
        for version in range(8, 12):
            fleet.store.put("config", "main", configuration(version, route("s", f"/v{version}/")))
            fleet.register(0, state="draining", sequence=version)
            await trio.sleep(1.5)
        calls = _lists(fleet)
        daemon = fleet.start_daemon(6)
        await trio.sleep(READY_S)
        assert daemon.platform_adapter.number == 11
        assert (await fleet.call(path="/v11/1", entry=6)).status == 200
        assert not fleet.instances[0].runs
        assert _lists(fleet) == calls

    run_on_platform(scenario, entries=6)


def test_a_host_without_a_hub_reads_the_store() -> None:
    """Guards against a host that never starts because its hubs do not answer it."""

    async def scenario(fleet: PlatformFleet) -> None:
        for daemon in fleet.daemons:
            daemon.peers._handlers.clear()
        calls = _lists(fleet)
        daemon = fleet.start_daemon(6)
        await trio.sleep(READY_S + 1.0)
        assert daemon.frontend.is_ready
        assert _lists(fleet) == calls + 2

    run_on_platform(scenario, entries=6)


@pytest.mark.parametrize("damaged", ["list", "changes"])
def test_damaged_data_of_another_host_is_logged(
    damaged: str, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a hub that hands out an outdated list and says nowhere why."""
    hub = _Server()
    hub.server.store(Kind.TARGETS, 5, b"[" if damaged == "list" else _list(5, *_items("a")))
    changes = zlib.compress(_changes(7, _items("b"), []))
    if damaged == "changes":
        changes = b"not compressed"
    hub.view.add_changes(Kind.TARGETS, RelayedChanges(5, 7, changes))
    hub.server.request("h", Kind.TARGETS, 7)
    assert hub.sent_lists() == [("h", 0, None)]
    assert "object_unreadable" in caplog.text


@pytest.mark.parametrize(
    ("encoded", "merges"),
    [
        # A merged list has the revision of the last change.
        (b'{"items": [], "events": [], "currentRev": 1e999}', True),
        (b'{"items": 1, "events": 1, "currentRev": 1}', False),
        (b"[" * 100_000, False),
    ],
)
def test_unusable_answer_of_the_store_is_a_failure(encoded: bytes, merges: bool) -> None:
    """Guards against a daemon that ends since the store or a relay answers with such a body."""
    assert not is_successful(CODEC.parse_list(Kind.TARGETS, encoded))
    assert not is_successful(CODEC.parse_changes(Kind.TARGETS, encoded))
    assert is_successful(CODEC.merge_changes(encoded, [encoded], 1)) is merges
