"""Requests with allowed regions are sent only to targets there, and wait for them."""

import random

import pytest
import trio
from selection_helpers import FakeMeshes, make_service

from dotterelstand.connection.wire import Refuse
from dotterelstand.process.selection.balancer import LeastOccupied
from dotterelstand.process.selection.decisions import Decision, Granted
from dotterelstand.process.selection.dispatcher import Dispatcher
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.queue import WaitingCall
from dotterelstand.process.selection.rendezvous import choose_dispatcher
from dotterelstand.process.selection.slotcodec import pack_regions, unpack_regions
from dotterelstand.process.selection.slots import SlotBroker, SlotCall, SlotOutcome, make_broker
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.settings import default_settings
from dotterelstand.standin.virtual import run_virtual
from dotterelstand.version.model import Document

REGIONS = ("r1", "r2", "r3")
OK = AttemptOutcome.OK


class _Calls:
    """Dispatcher of region r1 for six targets of two slots; remote ones get one call at a time."""

    def __init__(self, regions: tuple[str, ...] = REGIONS) -> None:
        tuning = SelectionTuning()
        tuning.lookahead_per_slot = 0.0
        chooser = LeastOccupied(random.Random(1))
        self.dispatcher = Dispatcher(make_service(6, 2, regions), "r1", tuning, chooser)

    def submit(self, number: int, allowed: str, klass: int = 0) -> list[str]:
        call = WaitingCall(("h", number), klass, 0, 0.0, 10.0)
        call.regions = frozenset(allowed.split())
        return self.read(self.dispatcher.submit(call, 0.0))

    def finish(self, *numbers: int) -> list[str]:
        decisions: list[Decision] = []
        for number in numbers:
            decisions += self.dispatcher.finish(("h", number), OK, 0.005, None, 0.01)
        return self.read(decisions)

    def read(self, decisions: list[Decision]) -> list[str]:
        """Call number, and region of the target or name of the refusal's code."""
        targets = self.dispatcher.service.targets
        granted = [isinstance(one, Granted) and targets[one.target].region for one in decisions]
        return [
            f"{one.key[1]} {region or one.code.name}"  # type: ignore[union-attr]
            for one, region in zip(decisions, granted, strict=True)
        ]


@pytest.mark.parametrize(
    ("allowed", "served"),
    [
        ("r2", "r2"),
        ("r3 r2", "r2 r3"),
        ("r1", "r1"),
        ("r1 r3", "r1 r3"),
        ("", "r1 r2 r3"),
        ("r", ""),
    ],
)
@pytest.mark.parametrize("own", ["full", "leaving", "none"])
def test_calls_reach_only_allowed_regions(allowed: str, served: str, own: str) -> None:
    """Guards against spillover, queues and lost regions that lead to a region that is excluded."""
    calls = _Calls(("r2", "r3") if own == "none" else REGIONS)
    for name in ("t0", "t3") if own == "leaving" else ():
        calls.dispatcher.mark_leaving(name)
    decisions = [line for number in range(40) for line in calls.submit(number, allowed)]
    found = {line.split()[1] for line in decisions + calls.finish(*range(40))}
    expected = set(served.split()) - (set() if own == "full" else {"r1"})
    assert found & set(REGIONS) == expected
    assert expected or found == {"NO_TARGET"}


def test_calls_wait_for_full_regions_without_delay_for_others() -> None:
    """Guards against calls for full regions that block this region's, are refused or overtaken."""
    calls = _Calls()
    assert [calls.submit(number, "r2") for number in (0, 1)] == [["0 r2"], ["1 r2"]]
    assert [calls.submit(2, "r2", klass=1), calls.submit(3, "r2")] == [[], []]
    assert calls.submit(4, "r1") + calls.submit(5, "") == ["4 r1", "5 r1"]
    assert calls.submit(6, "r3 r2") == ["6 r3"]
    assert calls.finish(0) == ["3 r2"]
    calls.dispatcher.replace_service(make_service(6, 2, ("r1", "r3")), 0.01)
    assert calls.read(calls.dispatcher.advance(0.01)) + calls.finish(1, 3, 6) == ["2 NO_TARGET"]


@pytest.mark.parametrize(
    ("allowed", "mask", "read"),
    [("", 0, ""), ("r1 r3", 5, "r1 r3"), ("r1 r9", 1, "r1"), ("r9", None, ""), (None, 8, None)],
)
def test_a_mask_never_permits_more(allowed: str | None, mask: int | None, read: str | None) -> None:
    """Guards against an empty mask that stands for any region, and ignored bits."""
    assert allowed is None or pack_regions(frozenset(allowed.split()), REGIONS) == mask
    found = None if mask is None else unpack_regions(mask, REGIONS)
    assert found == (None if mask is None or read is None else frozenset(read.split()))


@pytest.mark.parametrize("known", [("r0", "r1", "r2", "r3"), ("r1",), REGIONS])
def test_a_dispatcher_with_other_regions_costs_only_its_grant(known: tuple[str, ...]) -> None:
    """Guards against a misread mask that sends a request to an excluded region, or refuses it."""
    services = {"lookup": make_service(6, 2, REGIONS)}

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            meshes = FakeMeshes(2, nursery)
            brokers: dict[str, SlotBroker] = {}
            first = choose_dispatcher("lookup", meshes.members, "r1")
            for host, mesh in meshes.meshes.items():
                brokers[host] = make_broker(mesh, default_settings(), random.Random(host))
                regions = known if host == first else REGIONS
                brokers[host].apply(Document(1, {}, services, (), ("a",), {}, regions=regions))
            (asking,) = (broker for host, broker in brokers.items() if host != first)
            for allowed in ("r2", "r3", "r1", "r2 r3"):
                call = SlotCall(0, "default", trio.current_time() + 1.0)
                call.regions = frozenset(allowed.split())
                grant = (await asking.acquire(services["lookup"], call)).unwrap()
                assert grant.target.region in call.regions
                assert known != REGIONS or grant.granted_by == first
                asking.release(grant, SlotOutcome(OK, 0.005))
            await trio.sleep(0.1)
            states = [broker.core.services.find("lookup") for broker in brokers.values()]
            assert not any(state.regional.open_grants for state in states if state)
            refused = any(isinstance(message, Refuse) for message in meshes.sent)
            assert refused == (known != REGIONS)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=1)
