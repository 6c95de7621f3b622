"""Evacuation of an availability zone, and its return with cold targets."""

from typing import Any

import pytest
import trio
from platform_standin import configuration, route, server_entry
from platform_support import PlatformFleet, run_on_platform
from support import PLATFORM, entry_address
from support_logs import EventCollector

from dotterelstand.events import Event
from dotterelstand.platform.decode import parse_configuration, parse_target
from dotterelstand.process.discovery.catalogue import Catalogue, ServiceDefaults
from dotterelstand.process.discovery.evacuations import RESTORED_GRACE_S, Evacuations, ZoneChange
from dotterelstand.process.discovery.registry import (
    RELAYED_KINDS,
    Entry,
    Kind,
    revisions_by_kind,
    split_revisions,
)
from dotterelstand.process.discovery.relayview import RelayStatus, RelayView

EVACUATE_S, WARMUP_S, WARMUP_PER_S = 5.0, 3.0, 5.1
ENABLED = "[evacuation]\nenabled = true"
ZONES = ("local-1", "local-2")


def _configuration(number: int = 7) -> dict[str, Any]:
    body = configuration(number, route("s"))
    for resource in body["resources"]:
        if resource["resourceType"] == "services":
            resource["spec"] = {
                **resource["spec"],
                "warmupS": WARMUP_S,
                "warmupPerS": WARMUP_PER_S,
            }
    return body


def _entry(index: int, zone: str) -> dict[str, Any]:
    entry = server_entry("s", f"10.1.0.{index}:80")
    entry["info"]["zone"] = zone
    return entry


class _Host:
    """A catalogue with one target in each zone."""

    def __init__(self) -> None:
        self.evacuations = Evacuations()
        defaults = ServiceDefaults(True, 0.2, 4, 10.0)
        self.catalogue = Catalogue(dict.fromkeys(ZONES, "local"), defaults, self.evacuations)
        self.catalogue.update_configuration(parse_configuration(_configuration()).unwrap())
        targets = [parse_target(zone, _entry(0, zone)).unwrap() for zone in ZONES]
        self.catalogue.replace_targets([Entry(item.name, item) for item in targets], 0.0)

    def replace(self, now: float, *zones: str) -> None:
        self.evacuations.replace(zones, self.catalogue.zones, now)

    def targets(self) -> dict[str, float]:
        """Warm-up times of the targets in use by name."""
        document = self.catalogue.document()
        assert document is not None
        return {target.name: target.warmup_s for target in document.services["s"].targets}


def test_targets_of_an_evacuated_zone_are_left_out_and_return_cold() -> None:
    """Guards against requests to an evacuated zone, and a rush when it returns."""
    host = _Host()
    assert host.catalogue.document() is None, "served before the evacuations were read"
    host.replace(1.0, "local-2")
    document = host.catalogue.document()
    assert document is not None and document.evacuated_zones == {"local-2"}
    assert host.targets() == {"local-1": 0.0}
    host.replace(5.0)
    assert host.targets() == {"local-1": 0.0, "local-2": WARMUP_S}
    assert host.evacuations.next_expiry() == 5.0 + WARMUP_S
    assert host.evacuations.expire(5.0 + WARMUP_S)
    assert host.targets() == {"local-1": 0.0, "local-2": 0.0}


def test_an_unknown_zone_has_no_effect_and_is_reported_once() -> None:
    """Guards against a typing error that takes targets out of use or fills the log."""
    host = _Host()
    for now in range(1, 9):
        host.replace(now, *["lokal-2"] * (now % 2))
        assert len(host.targets()) == len(ZONES)
    assert list(host.evacuations.changes) == [(ZoneChange.UNKNOWN, "lokal-2")]
    host.replace(9.0, *(f"zone-{index}" for index in range(5000)), "local-1")
    assert host.targets().keys() == {"local-2"}
    assert len(host.evacuations.zones) < 300, "unbounded"


@pytest.mark.parametrize(
    ("missing_at", "repeated_at", "evacuated"),
    [(0.5, None, [True, False]), (0.5, 2.0, [True, True]), (4.0, None, [False, False])],
)
def test_an_evacuation_that_a_restored_store_lacks_is_kept_for_a_while(
    missing_at: float, repeated_at: float | None, evacuated: list[bool]
) -> None:
    """Guards against requests to an evacuated zone until the operator repeats the lost write."""
    host = _Host()
    host.replace(0.0, "local-2")
    restored_at = 10.0
    host.catalogue.mark_store_restored(restored_at)
    host.replace(restored_at + missing_at)
    host.evacuations.end("local-2", restored_at + missing_at)
    seen = ["local-2" not in host.targets()]
    if repeated_at is not None:
        host.evacuations.begin(["local-2"], host.catalogue.zones)
    host.evacuations.expire(restored_at + RESTORED_GRACE_S)
    seen.append("local-2" not in host.targets())
    assert seen == evacuated


def test_hosts_of_the_older_version_understand_the_state_of_the_store() -> None:
    """Guards against older hosts that ignore their relay, since its message has a third revision.

    They ignore a message that does not have two revisions.
    """
    known = {Kind.CONFIGURATION: 7, Kind.TARGETS: 8}
    assert split_revisions(known) == [[7, 8]]
    messages = split_revisions({**known, Kind.EVACUATIONS: 9})
    assert [len(revisions) for revisions in messages] == [len(RELAYED_KINDS), 1]
    view = RelayView(-10.0)
    for revisions in messages:
        assert view.status(Kind.EVACUATIONS, 9, 0.0) is RelayStatus.SILENT
        view.update_state("relay", True, revisions_by_kind(revisions), 0.0)
    assert view.status(Kind.EVACUATIONS, 9, 0.1) is RelayStatus.CURRENT
    assert view.status(Kind.EVACUATIONS, 8, 0.1) is RelayStatus.BEHIND
    assert view.status(Kind.TARGETS, 8, 0.1) is RelayStatus.CURRENT
    assert revisions_by_kind([1, 2, 3]) == {}


def _relay(fleet: PlatformFleet) -> int:
    (index,) = [
        index
        for index, daemon in enumerate(fleet.daemons)
        if daemon.platform_adapter.is_relay  # type: ignore[attr-defined]
    ]
    return index


async def _call_all(fleet: PlatformFleet, entries: list[int], seconds: float) -> list[int]:
    """Send 60 requests a second over the entries in turn; returns the status codes."""
    statuses: list[int] = []

    async def call(entry: int) -> None:
        statuses.append((await fleet.call(entry=entry)).status)

    async with trio.open_nursery() as nursery:
        for number in range(int(60 * seconds)):
            nursery.start_soon(call, entries[number % len(entries)])
            await trio.sleep(1 / 60)
    return statuses


@pytest.mark.parametrize("fault", ["none", "cut", "crash"])
def test_a_zone_is_evacuated_in_time_and_returns_without_a_rush(fault: str) -> None:
    """Guards against hosts that use an evacuated zone after the loss of their relay, and against
    targets that crash since the whole load returns while they are cold."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("config", "main", _configuration(8))
        fleet.store.put("servers", "i-2", _entry(2, "local-2"))
        await trio.sleep(2.0)
        for instance in fleet.instances:
            # The load takes three of the four slots of the other targets.
            instance.service_time_s = 0.05
        entries = list(range(len(fleet.daemons)))
        assert set(await _call_all(fleet, entries, 1.0)) == {200}
        returning = fleet.instances[2]
        assert returning.runs
        relay = _relay(fleet)
        if fault == "cut":
            fleet.network.partition(entry_address(relay), PLATFORM)
        elif fault == "crash":
            fleet.network.crash(entry_address(relay))
        if fault != "none":
            entries.remove(relay)
        lost = fleet.daemons[relay]
        fleet.store.put("evacuations", "local-2", {})
        await trio.sleep(EVACUATE_S)
        if fault == "crash":
            fleet.daemons.remove(lost)
        returning.runs.clear()
        assert set(await _call_all(fleet, entries, 2.0)) == {200}
        assert not returning.runs
        # The targets were stopped in the meantime and report that they are cold.
        whole = returning.answer
        warm_at = trio.current_time() + 8.0

        def answer(headers: dict[str, str], *arguments: Any, **changes: str) -> bytes:
            left_ms = max(0, int((warm_at - trio.current_time()) * 1000))
            changes["X_Dotterelstand_Warmup_Ms"] = str(left_ms)
            return whole(headers, *arguments, **changes)

        returning.answer = answer  # type: ignore[method-assign]
        fleet.store.remove("evacuations", "local-2")
        for _ in range(4):
            returning.runs.clear()
            assert set(await _call_all(fleet, entries, 1.0)) == {200}
            assert len(returning.runs) <= WARMUP_PER_S * 1.5 + 8
        assert returning.runs, "the cold target gets no requests"
        await trio.sleep_until(warm_at + 1.0)
        returning.runs.clear()
        assert set(await _call_all(fleet, entries, 2.0)) == {200}
        assert len(returning.runs) > WARMUP_PER_S * 1.5 + 8

    with EventCollector() as lines:
        run_on_platform(scenario, entries=5, health_interval_s=0.1, settings=ENABLED)
    for event in (Event.ZONE_EVACUATED, Event.ZONE_RETURNED, Event.TARGET_WARM):
        assert lines.lines_of(event)


@pytest.mark.parametrize(("extra", "most_calls"), [("", 0), (ENABLED, 4)])
def test_one_host_asks_the_store_for_evacuations(extra: str, most_calls: int) -> None:
    """Guards against store calls of each host, or of a deployment without evacuations."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("evacuations", "local-1", {})
        await trio.sleep(10.0)
        evacuated = 503 if extra else 200
        assert {(await fleet.call(entry=entry)).status for entry in range(6)} == {evacuated}
        calls = [call for call in fleet.store.calls if "evacuations" in call]
        assert len(calls) <= most_calls, calls

    run_on_platform(scenario, entries=6, settings=extra)


@pytest.mark.parametrize("entries", [1, 3])
def test_evacuation_lasts_while_the_operator_repeats_it(entries: int) -> None:
    """Guards against requests to a zone whose evacuation a restored store has lost."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.era = "1"
        await trio.sleep(1.0)
        copy = fleet.store.copy()
        fleet.store.put("evacuations", "local-2", {})
        await trio.sleep(6.0)
        fleet.store.restore(copy, "2")
        for _ in range(25):
            await trio.sleep(0.1)
            for daemon in fleet.daemons:
                document = daemon.document
                assert document is not None and document.evacuated_zones == {"local-2"}

    run_on_platform(scenario, entries=entries, settings=ENABLED)
