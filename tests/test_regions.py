"""Requests with allowed regions are sent only to targets there, and wait for them."""

import random

import pytest
import trio
from platform_standin import configuration, route, tenant
from platform_support import PlatformFleet, run_on_platform
from returns.pipeline import is_successful
from selection_helpers import FakeMeshes, make_service
from support_logs import EventCollector

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.wire import Acquire, Refuse
from dotterelstand.events import Event
from dotterelstand.process.selection.balancer import LeastOccupied
from dotterelstand.process.selection.decisions import Decision, Granted, Refused
from dotterelstand.process.selection.dispatcher import Dispatcher
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.queue import WaitingCall
from dotterelstand.process.selection.rendezvous import choose_dispatcher
from dotterelstand.process.selection.slotcodec import pack_regions, unpack_regions
from dotterelstand.process.selection.slots import SlotBroker, SlotCall, SlotOutcome, make_broker
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.settings import parse_settings
from dotterelstand.standin.virtual import run_virtual
from dotterelstand.version.model import Document

REGIONS = ("r1", "r2", "r3")
OK = AttemptOutcome.OK


def _dispatcher(regions: tuple[str, ...] = REGIONS, targets: int = 6) -> Dispatcher:
    """Dispatcher of region r1 for targets of two slots; a remote target gets one call at a time."""
    tuning = SelectionTuning()
    tuning.lookahead_per_slot = 0.0
    service = make_service(targets, 2, regions)
    return Dispatcher(service, "r1", tuning, LeastOccupied(random.Random(1)))


def _submit(dispatcher: Dispatcher, number: int, allowed: str, klass: int = 0) -> list[Decision]:
    call = WaitingCall(("h", number), klass, 0, 0.0, 10.0)
    call.regions = frozenset(allowed.split())
    return dispatcher.submit(call, 0.0)


@pytest.mark.parametrize(
    ("allowed", "served"),
    [
        ("r2", {"r2"}),
        ("r3 r2", {"r2", "r3"}),
        ("r1", {"r1"}),
        ("r1 r3", {"r1", "r3"}),
        ("", {"r1", "r2", "r3"}),
        ("r9", set()),
    ],
)
@pytest.mark.parametrize("own", ["full", "leaving", "none"])
def test_calls_reach_only_allowed_regions(allowed: str, served: set[str], own: str) -> None:
    """Guards against spillover, queues and lost regions that lead to a region that is excluded."""
    dispatcher = _dispatcher(REGIONS if own != "none" else ("r2", "r3"))
    if own == "leaving":
        for name in ("t0", "t3"):
            dispatcher.mark_leaving(name)
    granted: set[str] = set()
    number = 0
    decisions: list[Decision] = []
    for number in range(40):
        decisions += _submit(dispatcher, number, allowed)
    for number in range(40):
        decisions += dispatcher.finish(("h", number), OK, 0.005, None, 0.01)
    for decision in decisions:
        if isinstance(decision, Granted):
            granted.add(dispatcher.service.targets[decision.target].region)
    lost = set() if own == "full" else {"r1"}
    assert granted == served - lost
    if not granted:
        assert {decision.code for decision in decisions} == {ResultCode.NO_TARGET}  # type: ignore


def test_calls_wait_for_full_regions_without_delay_for_others() -> None:
    """Guards against calls for full regions that block this region's, are refused or overtaken."""
    dispatcher = _dispatcher()
    held = [_submit(dispatcher, number, "r2")[0] for number in range(2)]
    assert all(isinstance(decision, Granted) for decision in held)
    assert _submit(dispatcher, 2, "r2", klass=1) == _submit(dispatcher, 3, "r2") == []
    assert isinstance(_submit(dispatcher, 4, "r1")[0], Granted)
    assert isinstance(_submit(dispatcher, 5, "")[0], Granted)
    (other,) = _submit(dispatcher, 6, "r3 r2")
    assert isinstance(other, Granted) and dispatcher.service.targets[other.target].region == "r3"
    (first,) = dispatcher.finish(("h", 0), OK, 0.005, None, 0.005)
    assert isinstance(first, Granted) and first.key == ("h", 3)
    dispatcher.replace_service(make_service(6, 2, ("r1", "r3")), 0.01)
    decisions = dispatcher.advance(0.02)
    for number in (1, 3, 4, 5, 6):
        decisions += dispatcher.finish(("h", number), OK, 0.005, None, 0.02)
    (refused,) = decisions
    assert isinstance(refused, Refused) and refused.code is ResultCode.NO_TARGET


@pytest.mark.parametrize(
    ("allowed", "known", "mask", "read"),
    [
        ("", REGIONS, 0, ""),
        ("r1 r3", REGIONS, 5, "r1 r3"),
        ("r1 r9", REGIONS, 1, "r1"),
        ("r9", REGIONS, None, ""),
        ("r1", (), None, ""),
    ],
)
def test_a_mask_never_permits_more(
    allowed: str, known: tuple[str, ...], mask: int | None, read: str
) -> None:
    """Guards against an empty mask that stands for any region."""
    assert pack_regions(frozenset(allowed.split()), known) == mask
    if mask is not None:
        assert unpack_regions(mask, known) == frozenset(read.split())


@pytest.mark.parametrize("mask", [8, 1 << 40, -1])
def test_an_unknown_bit_is_not_ignored(mask: int) -> None:
    """Guards against a dispatcher that permits other regions than the host that asks."""
    assert unpack_regions(mask, REGIONS) is None


@pytest.mark.parametrize("known", [("r0", "r1", "r2", "r3"), ("r1",), REGIONS])
def test_a_dispatcher_with_other_regions_costs_only_its_grant(known: tuple[str, ...]) -> None:
    """Guards against a misread mask that sends a request to an excluded region, or refuses it."""
    service = make_service(6, 2, REGIONS)
    settings = parse_settings("", "test").unwrap()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            meshes = FakeMeshes(2, nursery)
            brokers: dict[str, SlotBroker] = {}
            dispatcher = choose_dispatcher(service.name, meshes.members, "r1")
            for host, mesh in meshes.meshes.items():
                broker = brokers[host] = make_broker(mesh, settings, random.Random(host))
                regions = known if host == dispatcher else REGIONS
                broker.apply(
                    Document(1, {}, {"lookup": service}, (), ("high",), {}, regions=regions)
                )
                nursery.start_soon(broker.run)
            (asking,) = set(brokers) - {dispatcher}
            for allowed in ("r2", "r3", "r1", "r2 r3"):
                call = SlotCall(0, "default", trio.current_time() + 1.0)
                call.regions = frozenset(allowed.split())
                result = await brokers[asking].acquire(service, call)
                assert is_successful(result)
                assert result.unwrap().target.region in call.regions
                if known == REGIONS:
                    assert result.unwrap().granted_by == dispatcher
                brokers[asking].release(result.unwrap(), SlotOutcome(OK, 0.005))
            await trio.sleep(0.1)
            for broker in brokers.values():
                state = broker.core.services.find("lookup")
                assert state is None or state.regional.open_grants == 0
            sent = [message for message in meshes.sent if isinstance(message, Acquire)]
            assert [message.within_regions for message in sent] == [2, 4, 1, 6]
            refused = any(isinstance(message, Refuse) for message in meshes.sent)
            assert refused == (known != REGIONS)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=1)


def test_regions_of_route_and_workspace_both_apply() -> None:
    """Guards against a rule that is dropped, and unknown regions without a line or with many."""

    async def scenario(fleet: PlatformFleet) -> None:
        routes = (
            route("s", "/a/", allowedRegions=["local"]),
            route("s", "/b/", "unsafe", allowedRegions=["nowhere"]),
            route("s", "/c/"),
        )
        workspaces = (tenant("here", "k1"), tenant("there", "k2", allowedRegions=["nowhere"]))
        fleet.store.put("config", "main", configuration(8, *routes, *workspaces))
        await trio.sleep(1.0)
        codes = {}
        for key in ("k1", "k2"):
            for path in ("/a/1", "/b/1", "/c/1"):
                codes[key, path] = (await fleet.call(path=path, key=key)).code
        served = [call for call, code in codes.items() if code == 1000]
        assert served == [("k1", "/a/1"), ("k1", "/c/1")]
        assert {code for code in codes.values() if code != 1000} == {2004}
        fleet.register(1)
        await trio.sleep(1.0)

    with EventCollector() as collector:
        run_on_platform(scenario, instances=2)
    (line,) = [item for item in collector.events if item["event"] == Event.REGIONS_UNKNOWN]
    assert (line["regions"], line["workspaces"], line["routes"]) == (
        ["nowhere"],
        ["there"],
        ["x/b/"],
    )
