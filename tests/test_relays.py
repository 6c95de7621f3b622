"""Only relays watch the platform's store; the other hosts of a region stay up to date too."""

from collections.abc import Sequence

import pytest
import trio
from platform_standin import configuration, route
from platform_support import PlatformFleet, run_on_platform
from proof_support import ProofFleet
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success
from support import PLATFORM, entry_address

from dotterelstand.connection.wire import StoreState
from dotterelstand.process.discovery.registry import (
    RELAYED_KINDS,
    UNANSWERED,
    Item,
    Kind,
    Listing,
    PlatformError,
)
from dotterelstand.process.discovery.relayedplatform import (
    INITIAL_ROLE_DELAY_S,
    RelayedPlatform,
)
from dotterelstand.process.discovery.relayview import (
    RELAY_STATE_TTL_S,
    RelayedChanges,
    RelayStatus,
    RelayView,
)
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.peering.ranking import RELAY_KEY, choose_relays, rank_hosts
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.standin.mesh import FakeMeshNetwork
from dotterelstand.standin.virtual import run_virtual, seeded_random

# Seconds within which an accepted configuration must be in force.
IN_FORCE_S = 2.0


def _revisions(revision: int) -> dict[Kind, int]:
    return dict.fromkeys(RELAYED_KINDS, revision)


@pytest.mark.parametrize(
    ("states", "after_s", "expected"),
    [
        ([], 0.0, RelayStatus.CURRENT),
        ([], RELAY_STATE_TTL_S, RelayStatus.SILENT),
        ([("a", True, 7)], 0.1, RelayStatus.CURRENT),
        ([("a", True, 8)], 0.1, RelayStatus.BEHIND),
        ([("a", True, 7), ("b", True, 8)], 0.1, RelayStatus.BEHIND),
        ([("a", True, 7), ("b", False, 9)], 0.1, RelayStatus.CURRENT),
        ([("a", False, 7)], 0.1, RelayStatus.LOST),
        ([("a", True, 7), ("a", False, 7)], 0.1, RelayStatus.LOST),
        ([("a", False, 7), ("a", True, 7)], 0.1, RelayStatus.CURRENT),
        ([("a", True, 7)], RELAY_STATE_TTL_S, RelayStatus.SILENT),
    ],
)
def test_a_host_relies_on_relays_that_reach_the_store(
    states: list[tuple[str, bool, int]], after_s: float, expected: RelayStatus
) -> None:
    """Guards against reliance on a relay that lost the store or has not reported recently."""
    view = RelayView(-RELAY_STATE_TTL_S if states else 0.0)
    for relay, store_answers, revision in states:
        view.update_state(relay, store_answers, _revisions(revision), 0.0)
    assert view.status(Kind.TARGETS, 7, after_s) is expected


@pytest.mark.parametrize(
    ("received", "revision", "expected"),
    [
        ([(5, 7), (7, 9)], 5, [7, 9]),
        ([(5, 7), (7, 9)], 6, [7, 9]),
        ([(5, 7), (8, 9)], 5, [7]),
        ([(6, 7)], 5, []),
        ([(5, 7), (5, 9)], 5, [9]),
        ([(7, 9), (5, 7)], 5, [7, 9]),
        ([(5, 7)], 7, []),
    ],
)
def test_changes_are_read_without_a_gap(
    received: list[tuple[int, int]], revision: int, expected: list[int]
) -> None:
    """Guards against a host that applies changes although it has not received earlier ones."""
    view = RelayView(0.0)
    for from_revision, to_revision in received:
        view.add_changes(Kind.TARGETS, RelayedChanges(from_revision, to_revision, b""))
    assert [item.to_revision for item in view.changes_after(Kind.TARGETS, revision)] == expected


def _watches(fleet: PlatformFleet) -> int:
    return sum("watch=" in call for call in fleet.store.calls)


def _relay(fleet: PlatformFleet) -> int:
    (index,) = [
        index
        for index, daemon in enumerate(fleet.daemons)
        if daemon.platform_adapter.is_relay  # type: ignore[attr-defined]
    ]
    return index


async def _change_configuration(fleet: PlatformFleet, version: int) -> None:
    fleet.store.put("config", "main", configuration(version, route("s", f"/v{version}/")))
    await trio.sleep(IN_FORCE_S)
    numbers = [daemon.platform_adapter.number for daemon in fleet.daemons]
    assert numbers == [version] * len(fleet.daemons)


def test_one_host_watches_for_its_region() -> None:
    """Guards against store calls that grow with the number of entry hosts."""

    async def scenario(fleet: PlatformFleet) -> None:
        _relay(fleet)
        watches = _watches(fleet)
        for version in range(8, 18):
            await _change_configuration(fleet, version)
        # One watch for each of the ten changes, and three for watches that time out after 30 s.
        assert _watches(fleet) - watches <= 13

    run_on_platform(scenario, entries=6)


@pytest.mark.parametrize("fault", ["cut", "crash", "stop"])
def test_changes_are_in_force_after_the_loss_of_the_relay(fault: str) -> None:
    """Guards against hosts that wait for a relay which no longer receives changes itself."""

    async def scenario(fleet: PlatformFleet) -> None:
        await _change_configuration(fleet, 8)
        relay = _relay(fleet)
        if fault == "cut":
            fleet.network.partition(entry_address(relay), PLATFORM)
        elif fault == "crash":
            fleet.network.crash(entry_address(relay))
        else:
            fleet.daemons[relay].stop()
        lost = fleet.daemons.pop(relay)
        for version in range(9, 13):
            await _change_configuration(fleet, version)
        if fault == "cut":
            fleet.network.heal(entry_address(relay), PLATFORM)
            fleet.daemons.append(lost)
            await trio.sleep(2.0)
            await _change_configuration(fleet, 13)

    run_on_platform(scenario, entries=5)


@pytest.mark.parametrize("fault", ["down", "silent", "history"])
def test_changes_are_in_force_after_a_store_outage(fault: str) -> None:
    """Guards against outdated hosts after the store failed for all hosts or lost its history."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.status = 503 if fault == "down" else 0
        fleet.store.silent = fault == "silent"
        calls = len(fleet.store.calls)
        if fault != "history":
            await trio.sleep(10.0)
            # The highest rate of calls for two kinds during 10 s (for each kind, the relay calls
            # every 0.2 to 0.4 s, each of the five other hosts every 1 to 2 s), and 40 more calls.
            assert len(fleet.store.calls) - calls < 10 * (2 / 0.2 + 5 * 2) + 40
        fleet.store.forget_history()
        fleet.store.status, fleet.store.silent = 0, False
        for version in range(8, 11):
            await _change_configuration(fleet, version)
        fleet.register(0, state="draining")
        await trio.sleep(IN_FORCE_S)
        for entry in range(len(fleet.daemons)):
            for _ in range(5):
                assert (await fleet.call(path="/v10/1", entry=entry)).status == 200
        assert not fleet.instances[0].runs

    run_on_platform(scenario, entries=6)


@pytest.mark.parametrize("after_s", [0.0, 1.0, 1.8, 2.5])
def test_target_removed_while_the_relay_is_cut_off_is_given_up(after_s: float) -> None:
    """Guards against requests to a target that left, from hosts that reach the store.

    When the relay of their region lost the store, they took the target for one whose registration
    had expired in an outage of the store, and used it for another 2.2 s.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        relay = _relay(fleet)
        fleet.network.partition(entry_address(relay), PLATFORM)
        fleet.daemons.pop(relay)
        await trio.sleep(after_s)
        fleet.store.remove("servers", "i-0")
        await trio.sleep(IN_FORCE_S)
        for daemon in fleet.daemons:
            assert daemon.document is not None
            targets = [target.name for target in daemon.document.services["s"].targets]
            assert targets == ["i-1", "i-2"]

    run_on_platform(scenario, entries=4)


@pytest.mark.parametrize("fault", ["down", "silent"])
def test_target_that_lapsed_in_an_outage_of_the_store_stays_in_use(fault: str) -> None:
    """Guards against giving up live targets whose registrations expired during an outage."""

    async def scenario(fleet: PlatformFleet) -> None:
        def count_targets() -> set[int]:
            return {len(daemon.document.services["s"].targets) for daemon in fleet.daemons}  # type: ignore[union-attr]

        fleet.store.status = 503 if fault == "down" else 0
        fleet.store.silent = fault == "silent"
        await trio.sleep(8.0)
        fleet.store.remove("servers", "i-0")
        fleet.store.status, fleet.store.silent = 0, False
        await trio.sleep(1.5)
        assert count_targets() == {3}
        await trio.sleep(3.0)
        assert count_targets() == {2}

    run_on_platform(scenario, entries=4)


class _PlatformWithoutWatchAnswers:
    """Platform that answers all calls except watches, as if it had not received those."""

    async def list(self, kind: Kind) -> Result[Listing[Item], PlatformError]:
        return Success(Listing([], 5))

    def merge_changes(
        self, encoded_list: bytes, changes: Sequence[bytes], revision: int
    ) -> Result[bytes, PlatformError]:
        return Success(encoded_list)

    def diff_lists(self, old: bytes, new: bytes) -> Result[bytes, PlatformError]:
        return Success(new)

    async def list_hosts(
        self, region: str, stale_ok: bool = False
    ) -> Result[Listing[Item], PlatformError]:
        return Success(Listing([], 5))

    def parse_list(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        return Success(Listing([], 5))

    async def watch(
        self, kind: Kind, revision: int, wait_s: float
    ) -> Result[Listing[Item], PlatformError]:
        await trio.sleep(wait_s)
        return Failure(PlatformError(UNANSWERED, "no answer"))

    def parse_changes(self, kind: Kind, encoded: bytes) -> Result[Listing[Item], PlatformError]:
        return Success(Listing([], 5))

    async def check(self) -> Result[None, PlatformError]:
        return Success(None)

    async def register_host(self, host: ListedHost) -> Result[None, PlatformError]:
        return Success(None)


async def _unanswered_watch(seed: int) -> None:
    async with trio.open_nursery() as nursery:
        hub = FakeMeshNetwork(lambda one, other: 0.0005)
        nursery.start_soon(hub.run)
        members = [Member(name, "r0", "r0-1", False) for name in ("a", "b")]
        meshes = {member.host: hub.join(member) for member in members}
        relay, host = rank_hosts(RELAY_KEY, tuple(members), "r0")
        relayed = RelayedPlatform(
            _PlatformWithoutWatchAnswers(),
            meshes[host],
            Metrics(64),
            dict.fromkeys(RELAYED_KINDS, 0.0),
            seeded_random(seed, "shared"),
        )

        async def tell_state() -> None:
            while True:
                meshes[relay].send(host, StoreState(True, [9, 9]))
                await trio.sleep(0.5)

        nursery.start_soon(tell_state)
        nursery.start_soon(relayed.run)
        await relayed.list_hosts("r0")
        await trio.sleep(INITIAL_ROLE_DELAY_S)
        began = trio.current_time()
        result = await relayed.watch(Kind.CONFIGURATION, 5, 30.0)
        assert not is_successful(result)
        assert trio.current_time() - began < IN_FORCE_S
        nursery.cancel_scope.cancel()


def test_host_behind_its_relay_abandons_an_unanswered_watch() -> None:
    """Guards against a host with older data than its relay until an unanswered watch times out.

    Found by the soak of processes with seed 50: the store never answered a watch that it received
    while it was silent.
    """
    run_virtual(_unanswered_watch, 1, seed=1)


@pytest.mark.parametrize(
    ("failing", "expected"),
    [
        (set(), {"a", "b"}),
        ({"a"}, {"a", "b", "c"}),
        ({"a", "b"}, {"a", "b", "c", "d"}),
        ({"a", "b", "c"}, {"a", "b", "d"}),
        ({"a", "b", "c", "d"}, {"a", "b"}),
    ],
)
def test_other_hubs_take_the_place_of_relays_that_fail(
    failing: set[str], expected: set[str]
) -> None:
    """Guards against a region that reads the store host by host since it refuses its relays."""
    assert choose_relays(list("abcdef"), 2, failing) == expected


async def _refused_relay() -> None:
    async with trio.open_nursery() as nursery:
        fleet = ProofFleet(12, 1)
        await fleet.start(nursery)
        relay = fleet.prover("r0")
        fleet.store.refused.add(relay)
        # The other hubs know of the refusal after a check.
        await trio.sleep(2.0)
        lists = fleet.store.lists[relay]
        for _ in range(5):
            fleet.store.change()
            await trio.sleep(IN_FORCE_S)
            assert {host.number for host in fleet.hosts.values()} == {fleet.store.number}
        assert fleet.hosts[relay].relayed.is_relay
        assert fleet.store.lists[relay] == lists
        nursery.cancel_scope.cancel()


def test_refused_relay_uses_the_changes_of_another_relay() -> None:
    """Guards against refused list calls, which are billed, and against a relay left behind."""
    run_virtual(_refused_relay, seed=1)


@pytest.mark.parametrize(("still_listed", "writes"), [(True, 0), (False, 1)])
def test_restarted_host_registers_only_if_it_is_not_listed(still_listed: bool, writes: int) -> None:
    """Guards against billed writes that change nothing when all hosts restart."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.daemons.pop(1).stop()
        await trio.sleep(3.0)
        if not still_listed:
            fleet.store.remove("dotterelstand-hosts-local", "entry-1")
        calls = len(fleet.store.calls)
        fleet.start_daemon(1)
        await trio.sleep(3.0)
        made = [call for call in fleet.store.calls[calls:] if call.startswith(("POST", "PUT"))]
        assert len(made) == writes
        assert ("dotterelstand-hosts-local", "entry-1") in fleet.store.objects

    run_on_platform(scenario, entries=3)
