"""A host without requests rarely wakes up, since each wake-up costs processor time."""

import os
import random

import pytest
import trio
from selection_helpers import FakeMeshes, make_document, make_service

from dotterelstand.logoutput import WRITE_INTERVAL_S, LogOutput
from dotterelstand.process.selection.outcome import AttemptOutcome, SlotCall, SlotOutcome
from dotterelstand.process.selection.slots import make_broker
from dotterelstand.settings import default_settings
from dotterelstand.standin.virtual import run_virtual

IDLE_S = 20.0


class TaskSteps(trio.abc.Instrument):
    """Counts the steps of all tasks."""

    def __init__(self) -> None:
        self.count = 0

    def before_task_step(self, task: trio.lowlevel.Task) -> None:
        """Count one step."""
        self.count += 1


async def _count_steps(seconds: float) -> int:
    steps = TaskSteps()
    trio.lowlevel.add_instrument(steps)
    await trio.sleep(seconds)
    trio.lowlevel.remove_instrument(steps)
    return steps.count


@pytest.mark.parametrize("hosts", [1, 4])
def test_a_broker_without_queued_calls_steps_once_a_second(hosts: int) -> None:
    """Guards against timer steps every few milliseconds on hosts that serve no call."""
    service = make_service(4)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            meshes = FakeMeshes(hosts, nursery)
            for host, mesh in meshes.meshes.items():
                broker = make_broker(mesh, default_settings(), random.Random(host))
                broker.apply(make_document(service))
                nursery.start_soon(broker.run)
            # Two task steps are one wake-up that is cancelled by its time-out.
            assert await _count_steps(IDLE_S) <= 2 * hosts * (IDLE_S + 1)
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=1)


@pytest.mark.parametrize("idle_s", [0.0, 5.0])
def test_a_queued_call_is_refused_in_time_after_an_idle_spell(idle_s: float) -> None:
    """Guards against a broker that sleeps on while a call waits for a slot."""
    service = make_service(1, slots=1)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            meshes = FakeMeshes(1, nursery)
            broker = make_broker(meshes.meshes["h0"], default_settings(), random.Random(1))
            broker.apply(make_document(service))
            nursery.start_soon(broker.run)
            await trio.sleep(idle_s)
            grants = []
            while broker.core.services.find(service.name).local.table.index.open_targets:
                call = SlotCall(0, "default", trio.current_time() + 9.0)
                grants.append((await broker.acquire(service, call)).unwrap())
            started = trio.current_time()
            with trio.fail_after(1.0):
                refused = await broker.acquire(service, SlotCall(0, "default", started + 0.5))
            assert refused.failure().retry_after_s
            assert trio.current_time() - started < 0.52
            for grant in grants:
                broker.release(grant, SlotOutcome(AttemptOutcome.OK, 0.01))
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=1)


def test_log_output_without_lines_sleeps_and_then_writes_soon() -> None:
    """Guards against a writer that polls for lines, and against lines that wait for others."""
    reader, writer = os.pipe()
    output = LogOutput(writer, 1000, 1000)

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(output.run)
            await trio.sleep(1.0)
            assert await _count_steps(IDLE_S) <= 2
            output.write("line\n")
            await trio.sleep(WRITE_INTERVAL_S + 0.01)
            assert os.read(reader, 100) == b"line\n"
            nursery.cancel_scope.cancel()

    run_virtual(main, seed=1)
    os.close(reader)
    os.close(writer)
