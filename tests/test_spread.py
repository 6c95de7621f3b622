"""An accepted document version comes into force on every host and is never reverted."""

import pytest
import trio
from returns.pipeline import is_successful

from dotterelstand.process.distribution.distributor import watch_pause_s
from dotterelstand.standin.entryfleet import Fleet, section_change
from dotterelstand.standin.platform import ObjectStore
from dotterelstand.standin.virtual import run_virtual
from dotterelstand.version.accept import STORE_DOWN
from dotterelstand.version.fields import RACE_LOST
from dotterelstand.version.manifest import parse_manifest

# Seconds within which a version must be in force, as required for today's deployments.
IN_FORCE_S = 3.0


async def _three_changes(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 16, seed, documents=True)
        await fleet.start_all()
        await trio.sleep(5)
        editor = fleet.document_editor("entry-00")
        for number in (1, 2, 3):
            assert (await editor.submit(section_change("quotes", 9000 + number))).unwrap() == number
            await trio.sleep(IN_FORCE_S)
            assert set(fleet.applied_versions().values()) == {number}
        watching = [name for name, item in fleet.distributors.items() if item.is_watcher()]
        assert len(watching) == 6
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(3))
def test_accepted_version_is_in_force_on_every_host(seed: int) -> None:
    """Guards against a host that misses the announcement of a new version."""
    run_virtual(_three_changes, seed, seed=seed)


async def _outage_and_replacements(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 16, seed, documents=True)
        await fleet.start_all()
        await trio.sleep(3)
        editor = fleet.document_editor("entry-00")
        for number in (1, 2):
            (await editor.submit(section_change("quotes", 9000 + number))).unwrap()
        await trio.sleep(IN_FORCE_S)
        fleet.stop_store()
        for name in list(fleet.hosts):
            fleet.crash(name)
            await trio.sleep(1)
            await fleet.start(name)
            await trio.sleep(IN_FORCE_S)
            assert fleet.applied_versions()[name] == 2
        fleet.start_store()
        await trio.sleep(1)
        assert (await editor.submit(section_change("quotes", 9003))).unwrap() == 3
        await trio.sleep(IN_FORCE_S)
        assert set(fleet.applied_versions().values()) == {3}
        nursery.cancel_scope.cancel()


def test_hosts_replaced_during_an_outage_take_the_version_of_their_peers() -> None:
    """Guards against a host that starts without a document, or with an older one."""
    run_virtual(_outage_and_replacements, 1, seed=1)


async def _partition_region(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 4, seed, documents=True)
        await fleet.start_all()
        await trio.sleep(3)
        editor = fleet.document_editor("entry-00")
        (await editor.submit(section_change("quotes"))).unwrap()
        await trio.sleep(IN_FORCE_S)
        partitioned = [name for name in fleet.hosts if fleet.hosts[name].startswith("kumasi")]
        fleet.partition_region("kumasi")
        for number in (2, 3):
            (await editor.submit(section_change("quotes", 9000 + number))).unwrap()
            await trio.sleep(1800)
        numbers = fleet.applied_versions()
        assert [numbers[name] for name in partitioned] == [1]
        assert {numbers[name] for name in numbers.keys() - set(partitioned)} == {3}
        fleet.heal_region("kumasi")
        await trio.sleep(10)
        assert set(fleet.applied_versions().values()) == {3}
        nursery.cancel_scope.cancel()


def test_region_partitioned_for_an_hour_converges() -> None:
    """Guards against a region that, after a partition, reverts others or keeps an old version."""
    run_virtual(_partition_region, 1, seed=1)


async def _start_single_host(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 1, seed, documents=True)
        await fleet.start_all()
        await trio.sleep(5)
        assert fleet.applied_versions() == {"entry-00": 0}
        (await fleet.document_editor("entry-00").submit(section_change("quotes"))).unwrap()
        await trio.sleep(IN_FORCE_S)
        assert fleet.applied_versions() == {"entry-00": 1}
        nursery.cancel_scope.cancel()


def test_first_document_reaches_a_single_host() -> None:
    """Guards against a host without peers that waits for them for ever."""
    run_virtual(_start_single_host, 1, seed=1)


async def _large_fleet(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 36, seed, documents=True)
        await fleet.start_all()
        await trio.sleep(5)
        assert max(len(peers.linked()) for peers in fleet.peers.values()) < 24
        for number in (1, 2):
            (
                await fleet.document_editor("entry-00").submit(
                    section_change("quotes", 9000 + number)
                )
            ).unwrap()
            await trio.sleep(IN_FORCE_S)
            assert set(fleet.applied_versions().values()) == {number}
        nursery.cancel_scope.cancel()


def test_overlay_forwards_versions() -> None:
    """Guards against outdated hosts that have no link to a host that watches the store."""
    run_virtual(_large_fleet, 1, seed=1)


async def _race(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 4, seed, documents=True)
        await fleet.start_all()
        await trio.sleep(3)
        base = section_change("quotes").digest
        (await fleet.document_editor("entry-00").submit(section_change("quotes"))).unwrap()
        results: list[object] = []

        async def edit(name: str, section: str, port: int) -> None:
            edited = section_change(section, port, base if section == "quotes" else "")
            results.append(await fleet.document_editor(name).submit(edited))

        async with trio.open_nursery() as editors:
            for index, name in enumerate(fleet.hosts):
                editors.start_soon(edit, name, "quotes" if index < 2 else f"s{index}", 9100 + index)
        accepted = sorted(result.unwrap() for result in results if is_successful(result))
        (refused,) = [result.failure() for result in results if not is_successful(result)]
        assert accepted == [2, 3, 4]
        assert refused.code == RACE_LOST and "-port = 9000" in refused.difference
        await trio.sleep(IN_FORCE_S)
        assert set(fleet.applied_versions().values()) == {4}
        for number in (1, 2, 3, 4):
            stored = parse_manifest(fleet.store.get(f"document/history/{number}").body)
            assert stored.unwrap().number == number
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("seed", range(5))
def test_racing_edits_of_one_section_are_refused_with_the_difference(seed: int) -> None:
    """Guards against lost edits, and against rejecting an edit because another section changed."""
    run_virtual(_race, seed, seed=seed)


async def _roll_back_store(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 4, seed, documents=True)
        await fleet.start_all()
        await trio.sleep(3)
        editor = fleet.document_editor("entry-00")
        for number in (1, 2, 3):
            (await editor.submit(section_change("quotes", 9000 + number))).unwrap()
        await trio.sleep(IN_FORCE_S)
        fleet.stop_store()
        newer, fleet.store = fleet.store, ObjectStore(seed)
        fleet.store.hosts = newer.hosts
        old = newer.get("document/history/1").body
        fleet.store.put("document/head", old, {})
        fleet.start_store()
        await trio.sleep(60)
        assert set(fleet.applied_versions().values()) == {3}
        refused = (await editor.submit(section_change("quotes", 9009))).failure()
        assert refused.code == STORE_DOWN
        fleet.store.put("document/head", newer.get("document/head").body, {})
        assert (await editor.submit(section_change("quotes", 9009))).unwrap() == 4
        await trio.sleep(60)
        assert set(fleet.applied_versions().values()) == {4}
        nursery.cancel_scope.cancel()


def test_store_restored_with_older_versions_changes_nothing() -> None:
    """Guards against hosts that revert to the older versions, and edits that build on them."""
    run_virtual(_roll_back_store, 1, seed=1)


@pytest.mark.parametrize(
    ("sections", "bound_s"),
    # The pause must be shorter than the time within which a version must be in force: 3 s in
    # today's deployments, 14 s in those expected in two years. A manifest entry takes about 142
    # bytes.
    [(30, 0.2), (100, 0.5), (3000, 10.0), (7000, 10.0)],
)
def test_watch_pauses_only_as_long_as_the_bound_allows(sections: int, bound_s: float) -> None:
    """Guards against a pause between watches that delays a version beyond its time limit."""
    assert watch_pause_s(142 * sections) <= bound_s
