"""Tests of keyed requests under the faults that scenarios/journal.feature names."""

import random
from collections.abc import Callable

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when

from dotterelstand.bench.fleet import Fleet, FleetConfig, Reply
from dotterelstand.connection import wire
from dotterelstand.standin.freeze import Freezer
from dotterelstand.standin.virtual import run_virtual

scenarios("scenarios/journal.feature")


class ScenarioRun:
    """Parameters and results of one scenario."""

    def __init__(self) -> None:
        self.config = FleetConfig(hosts=5, regions=2)
        self.fault = ""
        self.first: Reply | None = None
        self.repeat: Reply | None = None
        self.runs = 0
        self.recovery_s = float("inf")


def _lose_owner(fleet: Fleet, owner: str) -> Callable[[str, str], bool]:
    def lose_and_drop(sender: str, receiver: str) -> bool:
        fleet.lose_host(owner)
        return False

    return lose_and_drop


def _inject_fault(fleet: Fleet, owner: str, entry: str, fault: str) -> None:
    faults, filters = fleet.store.faults, fleet.hub.filters

    def lose_owner_and_deliver(sender: str, receiver: str) -> bool:
        fleet.lose_host(owner)
        return True

    def lose_entry(sender: str, receiver: str) -> bool:
        fleet.lose_host(entry)
        return False

    def pause_owner(sender: str, receiver: str) -> bool:
        fleet.set_paused(owner, True)
        return True

    if fault == "the owner is lost between intent and go":
        filters[wire.Go] = _lose_owner(fleet, owner)
    elif fault == "the owner is lost between go and forwarding":
        filters[wire.Go] = lose_owner_and_deliver
    elif fault == "the entry host is lost before forwarding":
        filters[wire.Go] = lose_entry
    elif fault == "the owner is lost between forwarding and outcome":
        filters[wire.Outcome] = _lose_owner(fleet, owner)
    elif fault == "the owner is paused after the intent":
        filters[wire.Intent] = pause_owner
    elif fault == "the owner is paused before the outcome":
        filters[wire.Outcome] = pause_owner
    elif fault == "the answer of the write is lost":
        faults.lose_answer = 1.0
    elif fault == "the write takes effect late":
        faults.late_write, faults.late_write_s = 1.0, 1.5
    elif fault == "the owner stops as planned":
        fleet.hosts[owner].stop()
    elif fault == "the store is down for five seconds":
        faults.down = True
    elif fault == "the target refuses":
        fleet.target.refuse = 1.0
    elif fault == "the target dies":
        fleet.target.fail = 1.0
    elif fault in ("clocks differ and the owner is lost", "the owner is lost after a short pause"):
        filters[wire.Outcome] = _lose_owner(fleet, owner)
    else:
        assert fault == "nothing fails"


async def _send(fleet: Fleet, host: str, key: bytes, attempt: int) -> Reply | None:
    answered = trio.Event()
    replies: list[Reply] = []

    def record_reply(reply: Reply) -> None:
        replies.append(reply)
        answered.set()

    fleet.submit(host, key, b"body", attempt, record_reply)
    with trio.move_on_after(2.5):
        await answered.wait()
    return replies[0] if replies else None


async def _run_scenario(scenario_run: ScenarioRun) -> None:
    with Freezer() as freezer:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, freezer, scenario_run.config, random.Random(1))
            await fleet.start()
            await trio.sleep(1.0)
            owner = fleet.owner()
            assert owner is not None
            entry, other = [name for name in sorted(fleet.hosts) if name != owner][:2]
            if scenario_run.fault == "the owner is lost after a short pause":
                # Candidates preload the journal during the pause, and their copy is out of date
                # afterwards.
                fleet.set_paused(owner, True)
                await trio.sleep(1.5)
                fleet.set_paused(owner, False)
                await trio.sleep(0.5)
            _inject_fault(fleet, owner, entry, scenario_run.fault)
            started_at = trio.current_time()
            scenario_run.first = await _send(fleet, entry, b"key", 1)
            if scenario_run.fault in (
                "the store is down for five seconds",
                "the write takes effect late",
            ):
                await trio.sleep(5.0)
                started_at = trio.current_time()
            fleet.store.faults.clear()
            fleet.target.refuse = fleet.target.fail = 0.0
            for number in range(100):
                reply = await _send(fleet, other, b"new-%d" % number, 100 + number)
                if reply is not None and reply.code == 1000:
                    scenario_run.recovery_s = trio.current_time() - started_at
                    break
                await trio.sleep(0.05)
            if freezer.is_frozen(fleet.hosts[owner].incarnation_id):
                fleet.set_paused(owner, False)
            await trio.sleep(2.0)
            scenario_run.repeat = await _send(fleet, other, b"key", 2)
            scenario_run.runs = len(fleet.target.runs.get(b"key", []))
            nursery.cancel_scope.cancel()
            freezer.thaw_all()


@pytest.fixture
def scenario_run() -> ScenarioRun:
    """Parameters and results of a scenario."""
    return ScenarioRun()


@given("a fleet of five entry hosts in two regions")
def _(scenario_run: ScenarioRun) -> None:
    scenario_run.config = FleetConfig(hosts=5, regions=2)


@when(parsers.parse("{fault} during a keyed request"))
def _(scenario_run: ScenarioRun, fault: str) -> None:
    scenario_run.fault = fault
    if fault.startswith("clocks differ"):
        scenario_run.config.clock_spread = 0.05


@when("the caller repeats the key through another host after the recovery")
def _(scenario_run: ScenarioRun) -> None:
    run_virtual(_run_scenario, scenario_run, seed=1)


@then(parsers.parse("the request was executed {runs:d} times"))
def _(scenario_run: ScenarioRun, runs: int) -> None:
    assert scenario_run.runs == runs


@then(parsers.parse("the caller got result {first} and on the repeat {repeat}"))
def _(scenario_run: ScenarioRun, first: str, repeat: str) -> None:
    results = [
        str(int(reply.code)) if reply else "none"
        for reply in (scenario_run.first, scenario_run.repeat)
    ]
    assert results == [first, repeat]


@then(parsers.parse("a new key is served within {bound:d} seconds of the fault"))
def _(scenario_run: ScenarioRun, bound: int) -> None:
    assert scenario_run.recovery_s <= bound
