"""Accepted versions under random faults, and single faults of the store in scripted scenarios."""

import random

import pytest
import trio
from pytest_bdd import given, parsers, scenarios, then, when
from returns.pipeline import is_successful

from dotterelstand.bench.documentfaults import run_seed
from dotterelstand.process.storage.callbudget import CallBudget, CallLimits, Kind, Priority, Wait
from dotterelstand.standin.entryfleet import Fleet, section_change
from dotterelstand.standin.virtual import run_virtual
from dotterelstand.version.accept import Change

scenarios("document_features")

IN_FORCE_S = 3.0


@pytest.mark.parametrize("seed", range(50))
def test_accepted_edits_survive_several_faults(seed: int) -> None:
    """Guards against edits that are lost, applied twice, or refused and applied."""
    assert run_seed(seed).edits


def test_shortest_wait_can_be_slept() -> None:
    """Guards against a wait that rounds to nothing, which stops a run in virtual time."""
    budget = CallBudget(CallLimits(), 0.0, random.Random(1))
    now = 0.0
    for _ in range(2000):
        decision = budget.request(now, Kind.READ, Priority.DOCUMENT)
        if isinstance(decision, Wait):
            assert now + decision.seconds > now
            now += decision.seconds


class Story:
    """Steps of one scenario, run together at its end."""

    def __init__(self) -> None:
        self.hosts = 16
        self.steps: list[tuple[str, object]] = []

    async def play(self, checks: list[tuple[str, object]]) -> None:
        """Run the steps and then the checks on a fleet."""
        async with trio.open_nursery() as nursery:
            fleet = Fleet(nursery, self.hosts, 1, documents=True)
            await fleet.start_all()
            await trio.sleep(3)
            result = None
            for name, value in [*self.steps, *checks]:
                if name == "edit":
                    edited = value if isinstance(value, Change) else section_change(*value)
                    result = await fleet.acceptor("entry-00", len(str(edited.body))).submit(edited)
                elif name == "fault":
                    setattr(fleet.store.faults, *value)
                elif name == "wait":
                    await trio.sleep(value)
                elif name == "replace":
                    for host in list(fleet.hosts):
                        fleet.crash(host)
                        await fleet.start(host)
                        await trio.sleep(IN_FORCE_S)
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
def story() -> Story:
    """Story of the scenario."""
    return Story()


@given(parsers.parse("{hosts:d} entry hosts in three regions"))
def _hosts(story: Story, hosts: int) -> None:
    story.hosts = hosts


@given(parsers.parse("version {number:d} is in force"))
def _in_force_before(story: Story, number: int) -> None:
    for port in range(number):
        story.steps.append(("edit", ("quotes", 9000 + port)))
    story.steps.append(("wait", IN_FORCE_S))


@when(parsers.parse("the store has the fault {name} of {value}"))
def _fault(story: Story, name: str, value: str) -> None:
    story.steps.append(("fault", (name, {"yes": True, "no": False}.get(value) or float(value))))


@when(parsers.parse("the store is {state}"))
def _state(story: Story, state: str) -> None:
    story.steps.append(("fault", ("down", state == "down")))
    story.steps.append(("wait", 1.0))


@when("a team edits its section")
def _edit(story: Story) -> None:
    story.steps.append(("edit", ("quotes", 9999)))


@when(parsers.parse("a team submits the section {body}"))
def _submit(story: Story, body: str) -> None:
    text = body.replace("\\n", "\n")
    story.steps.append(("edit", Change("quotes", text, "ama", "2026-12-04")))


@when("every host is replaced")
def _replace(story: Story) -> None:
    story.steps.append(("replace", None))


@when(parsers.parse("{seconds:d} seconds pass"))
def _wait(story: Story, seconds: int) -> None:
    story.steps.append(("wait", float(seconds)))


@then(parsers.parse("the edit is refused with {code:d}"))
def _refused(story: Story, code: int) -> None:
    story.steps.append(("refused", code))


@then(parsers.parse("version {number:d} is in force everywhere and no other was accepted"))
def _check(story: Story, number: int) -> None:
    run_virtual(story.play, [("in force", number), ("stored", number)], seed=1)
