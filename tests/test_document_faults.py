"""Edits of the document under random faults, and scripted scenarios with one store fault."""

import random

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when
from returns.pipeline import is_successful

from dotterelstand.bench.documentfaults import run_seed
from dotterelstand.process.storage.callbudget import CallBudget, CallLimits, Kind, Priority, Wait
from dotterelstand.standin.entryfleet import Fleet, section_change
from dotterelstand.standin.virtual import run_virtual
from dotterelstand.version.accept import SectionEdit

scenarios("document_features")

PROPAGATION_S = 3.0


@pytest.mark.parametrize("seed", range(50))
def test_accepted_edits_survive_several_faults(seed: int) -> None:
    """Guards against edits that are lost, applied twice, or rejected but applied."""
    assert run_seed(seed).edits


def test_waits_advance_the_clock() -> None:
    """Guards against a wait too short to advance the clock, which stops a virtual-time run."""
    budget = CallBudget(CallLimits(), 0.0, random.Random(1))
    now = 0.0
    for _ in range(2000):
        decision = budget.request(now, Kind.READ, Priority.DOCUMENT)
        if isinstance(decision, Wait):
            assert now + decision.seconds > now
            now += decision.seconds


class Scenario:
    """Steps of a scenario, collected and then run in its last step."""

    def __init__(self) -> None:
        self.hosts = 16
        self.steps: list[tuple[str, object]] = []

    async def run(self, checks: list[tuple[str, object]]) -> None:
        """Start a fleet, and run the steps and then the checks on it."""
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, self.hosts, 1, documents=True)
            await fleet.start_all()
            await trio.sleep(3)
            result = None
            for name, value in [*self.steps, *checks]:
                if name == "edit":
                    edited = value if isinstance(value, SectionEdit) else section_change(*value)
                    result = await fleet.document_editor("entry-00", len(str(edited.body))).submit(
                        edited
                    )
                elif name == "fault":
                    setattr(fleet.store.faults, *value)
                elif name == "wait":
                    await trio.sleep(value)
                elif name == "replace":
                    for host in list(fleet.hosts):
                        fleet.crash(host)
                        await fleet.start(host)
                        await trio.sleep(PROPAGATION_S)
                elif name == "in force":
                    assert set(fleet.applied_versions().values()) == {
                        value
                    }, fleet.applied_versions()
                    applied = [row for row in fleet.applied if row[2] > value]
                    assert not applied
                elif name == "refused":
                    assert result is not None and not is_successful(result)
                    errors = [error.code for error in result.failure().errors]
                    assert (errors or [result.failure().code]) == [value], str(result.failure())
                elif name == "stored":
                    assert fleet.store.get(f"document/history/{value}").status == 200
                    assert fleet.store.get(f"document/history/{value + 1}").status == 404
            nursery.cancel_scope.cancel()


@pytest.fixture
def scenario() -> Scenario:
    """Steps of the current scenario."""
    return Scenario()


@given(parsers.parse("{hosts:d} entry hosts in three regions"))
def _hosts(scenario: Scenario, hosts: int) -> None:
    scenario.hosts = hosts


@given(parsers.parse("version {number:d} is in force"))
def _accept_versions(scenario: Scenario, number: int) -> None:
    for port in range(number):
        scenario.steps.append(("edit", ("quotes", 9000 + port)))
    scenario.steps.append(("wait", PROPAGATION_S))


@when(parsers.parse("the store has the fault {name} of {value}"))
def _fault(scenario: Scenario, name: str, value: str) -> None:
    scenario.steps.append(("fault", (name, {"yes": True, "no": False}.get(value) or float(value))))


@when(parsers.parse("the store is {state}"))
def _state(scenario: Scenario, state: str) -> None:
    scenario.steps.append(("fault", ("down", state == "down")))
    scenario.steps.append(("wait", 1.0))


@when("a team edits its section")
def _edit(scenario: Scenario) -> None:
    scenario.steps.append(("edit", ("quotes", 9999)))


@when(parsers.parse("a team submits the section {body}"))
def _submit(scenario: Scenario, body: str) -> None:
    text = body.replace("\\n", "\n")
    scenario.steps.append(("edit", SectionEdit("quotes", text, "ama", "2026-12-04")))


@when("every host is replaced")
def _replace(scenario: Scenario) -> None:
    scenario.steps.append(("replace", None))


@when(parsers.parse("{seconds:d} seconds pass"))
def _wait(scenario: Scenario, seconds: int) -> None:
    scenario.steps.append(("wait", float(seconds)))


@then(parsers.parse("the edit is refused with {code:d}"))
def _refused(scenario: Scenario, code: int) -> None:
    scenario.steps.append(("refused", code))


@then(parsers.parse("version {number:d} is in force everywhere and no other was accepted"))
def _check(scenario: Scenario, number: int) -> None:
    run_virtual(scenario.run, [("in force", number), ("stored", number)], seed=1)
