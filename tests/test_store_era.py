"""The platform's store is restored from a copy and assigns its revisions again."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio
from platform_standin import MetadataStore, configuration, route, server_entry
from platform_support import LATENCY_S, PlatformFleet, run_on_platform
from returns.pipeline import is_successful
from support import PLATFORM

from dotterelstand.events import Event
from dotterelstand.platform import era as era_module
from dotterelstand.platform.client import PlatformClient
from dotterelstand.platform.decode import parse_target
from dotterelstand.platform.era import StoreEra
from dotterelstand.process.discovery.catalogue import Catalogue, ServiceDefaults
from dotterelstand.process.discovery.registry import ERA_SHIFT, HISTORY_LOST, Entry, Kind, era_of
from dotterelstand.standin.httpd import serve_http
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.virtual import run_virtual

CHANGED, UNREADABLE, LOWER = (
    Event.STORE_ERA_CHANGED,
    Event.STORE_ERA_UNREADABLE,
    Event.STORE_ERA_LOWER,
)


@pytest.mark.parametrize(
    ("responses", "usable", "current", "events"),
    [
        ([(None, 0), (None, 0)], [True, True], 0, []),
        ([(b"1", 0), (b"2", 1), (b"2", 1)], [True, True, True], 2, [CHANGED]),
        ([(b"2", 0), (b"1", 0)], [True, False], 2, []),
        ([(b"2", 0), (b"1", 2), (b"1", 2)], [True, True, True], 2, [LOWER]),
        ([(b"2", 0), (None, 2), (None, 2)], [True, True, True], 2, [UNREADABLE]),
        ([(b"2", 0), (None, 0)], [True, False], 2, [UNREADABLE]),
        ([(b"x", 0), (b"1", 0), (b"-2", 1)], [True, True, True], 1, [UNREADABLE] * 2),
        ([(b"2", 0), (b"9" * 30, 2), (b"", 2)], [True, True, True], 2, [UNREADABLE]),
    ],
)
def test_era_of_responses(
    responses: list[tuple[bytes | None, int]],
    usable: list[bool],
    current: int,
    events: list[Event],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a malformed era that hides the store, and use of a late response."""
    logged: list[Event] = []
    monkeypatch.setattr(era_module, "log", lambda event, **fields: logged.append(event))
    era = StoreEra()
    assert [era.observe(value, started) for value, started in responses] == usable
    assert (era.current, logged) == (current, events)


def run_client(scenario: Callable[[PlatformClient, MetadataStore], Awaitable[None]]) -> None:
    """Run a scenario with a client of a store in era 1 that has a configuration."""

    async def main() -> None:
        store = MetadataStore()
        store.era = "1"
        store.put("config", "main", configuration(7, route("s")))
        network = FakeNetwork(lambda one, other: LATENCY_S)
        client = PlatformClient(PLATFORM, 80, network.at("10.0.0.1"), 2.0)
        async with trio.open_nursery() as nursery:
            listener = await network.at(PLATFORM).listen(PLATFORM, 80)

            async def serve(stream: trio.abc.Stream) -> None:
                await serve_http(stream, store.handle)

            nursery.start_soon(listener.serve, serve, nursery)
            with trio.fail_after(60):
                await scenario(client, store)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=1)


def test_watch_from_a_revision_of_an_earlier_era_makes_no_call() -> None:
    """Guards against changes that are missed since the store assigned their revisions again."""

    async def scenario(client: PlatformClient, store: MetadataStore) -> None:
        copy = store.copy()
        store.put("config", "main", configuration(8, route("s")))
        first = (await client.list(Kind.CONFIGURATION)).unwrap()
        store.restore(copy, "2")
        store.put("config", "other", {})
        store.put("config", "main", configuration(9, route("s")))
        assert is_successful(await client.check())
        calls = client.calls
        failed = await client.watch(Kind.CONFIGURATION, first.revision, 5.0)
        assert failed.failure().code == HISTORY_LOST
        assert client.calls == calls
        second = (await client.list(Kind.CONFIGURATION)).unwrap()
        assert second.revision > first.revision
        assert era_of(second.revision) == 2
        assert client.parse_list(Kind.CONFIGURATION, second.encoded).unwrap().revision == (
            second.revision
        )
        assert not is_successful(client.parse_list(Kind.CONFIGURATION, first.encoded))
        store.put("config", "main", configuration(10, route("s")))
        changes = (await client.watch(Kind.CONFIGURATION, second.revision, 5.0)).unwrap()
        assert changes.revision > second.revision
        assert len(changes.entries) == 1

    run_client(scenario)


@pytest.mark.parametrize(
    ("call", "told_by"), [("list", "store"), ("watch", "store"), ("watch", "host")]
)
def test_late_answer_of_an_earlier_era_is_not_used(call: str, told_by: str) -> None:
    """Guards against a document of the earlier era that looks newer than the restored one."""

    async def scenario(client: PlatformClient, store: MetadataStore) -> None:
        revision = (await client.list(Kind.CONFIGURATION)).unwrap().revision
        copy = store.copy()
        results: list[Any] = []

        async def late() -> None:
            if call == "list":
                results.append(await client.list(Kind.CONFIGURATION))
            else:
                results.append(await client.watch(Kind.CONFIGURATION, revision, 5.0))

        async with trio.open_nursery() as nursery:
            hold = store.hold = trio.Event()
            store.put("config", "main", configuration(8, route("s")))
            nursery.start_soon(late)
            await trio.sleep(0.1)
            store.hold = None
            store.restore(copy, "2")
            if told_by == "store":
                assert is_successful(await client.check())
            else:
                listed = b'{"items": [], "currentRev": %d}' % (2 << ERA_SHIFT)
                assert is_successful(client.parse_list(Kind.CONFIGURATION, listed))
            await trio.sleep(0.01)
            # An open watch would otherwise wait for changes that the store has already made.
            assert bool(results) is (call == "watch")
            hold.set()
        assert results[0].failure().code == HISTORY_LOST

    run_client(scenario)


def test_hosts_after_the_store_was_restored() -> None:
    """Guards against older documents, departed targets and lost registrations from the copy."""

    async def scenario(fleet: PlatformFleet) -> None:
        store = fleet.store
        store.era = "1"
        store.put("config", "main", configuration(8, route("s")))
        await trio.sleep(2.0)
        copy = store.copy()
        fleet.start_daemon(3)
        await trio.sleep(2.0)
        store.put("config", "main", configuration(9, route("s")))
        store.remove("servers", "i-0")
        await trio.sleep(4.0)

        def targets() -> list[list[str]]:
            documents = [daemon.document for daemon in fleet.daemons]
            return [
                [target.name for target in document.services["s"].targets]
                for document in documents
                if document is not None
            ]

        store.restore(copy, "2")
        for _ in range(30):
            await trio.sleep(0.1)
            assert [daemon.platform_adapter.number for daemon in fleet.daemons] == [9] * 4
            assert targets() == [["i-1", "i-2"]] * 4
        assert any(name == "entry-3" for _, name in store.objects)
        # The operator's next change gets a revision that the store has already assigned.
        store.put("config", "main", configuration(10, route("s")))
        fleet.register(0, state="ready", sequence=9)
        await trio.sleep(3.0)
        assert [daemon.platform_adapter.number for daemon in fleet.daemons] == [10] * 4
        assert targets() == [["i-1", "i-2"]] * 4
        later = server_entry("s", "10.1.0.0:80") | {"born": 1_700_000_009_000}
        store.put("servers", "i-0", later)
        await trio.sleep(3.0)
        assert targets() == [["i-0", "i-1", "i-2"]] * 4

    run_on_platform(scenario, entries=3)


@pytest.mark.parametrize(
    ("before", "listed", "expected"),
    [
        ("gone", ["a", "b"], ["b"]),
        ("draining", ["a", "b"], ["b"]),
        ("present", ["b"], ["a", "b"]),
        ("gone", ["b"], ["b"]),
    ],
)
def test_targets_of_a_restored_store(before: str, listed: list[str], expected: list[str]) -> None:
    """Guards against use of a target that left, and loss of one that the copy lacks."""

    def entry(name: str, **changes: Any) -> Entry[Any]:
        status = server_entry("s", "10.1.0.1:80", **changes)
        return Entry(name, parse_target(name, status).unwrap())

    catalogue = Catalogue({"local-1": "local"}, ServiceDefaults(True, 0.2, 4, 10.0))
    catalogue.replace_targets([entry("a"), entry("b")], 0.0)
    if before == "gone":
        catalogue.change_targets([Entry("a", None, removed=True)], 1.0)
    elif before == "draining":
        catalogue.change_targets([entry("a", state="draining")], 1.0)
    catalogue.mark_store_restored(2.0)
    catalogue.replace_targets([entry(name) for name in listed], 2.0)
    in_use = [target.name for target in catalogue._targets.values() if not target.draining]
    assert sorted(in_use) == expected
