"""Randomised test of edits to the document under faults, in virtual time.

Run `python -m dotterelstand.bench.documentfaults --seeds 1000` for more seeds than the tests use.
"""

import random
import sys
from collections import Counter

import fire
import trio
from returns.pipeline import is_successful

from dotterelstand.standin.entryfleet import REGIONS, Fleet, section_change
from dotterelstand.standin.virtual import run_virtual, seeded_random
from dotterelstand.version.accept import OUTCOME_UNKNOWN
from dotterelstand.version.manifest import ManifestRecord, parse_manifest

HOSTS = 6
SECTIONS = ("quotes", "orders", "artwork", "booking")
FAULT_PHASE_S = 25.0
# Time without faults after which every host must have the last version. It covers the longest delay
# of a late write, the bound of 3 s until a version is in force, and the pauses before links and
# watches are opened again after an outage.
RECOVERY_S = 15.0


class Edit:
    """Submitted change of one section and its result.

    `number` is the version that contains the change, 0 if it failed; `code` is the code of the
    failure, 0 if the change was accepted.
    """

    __slots__ = ("code", "digest", "number", "section")

    def __init__(self, section: str, digest: str, number: int, code: int) -> None:
        self.section = section
        self.digest = digest
        self.number = number
        self.code = code


class DocumentRun:
    """One run of a small fleet with submitted edits and overlapping faults."""

    __slots__ = ("_ports", "edits", "faults", "fleet", "rng")

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.edits: list[Edit] = []
        self.faults: Counter[str] = Counter()
        self._ports = iter(range(1024, 65536))

    async def run(self) -> None:
        """Submit edits under faults, end the faults, and check the store and all hosts."""
        await self.fleet.start_all()
        await trio.sleep(2)
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(FAULT_PHASE_S):
                async with trio.open_nursery() as fault_nursery:
                    for _ in range(3):
                        fault_nursery.start_soon(self._inject_faults)
                    for _ in range(2):
                        fault_nursery.start_soon(self._submit_edits, nursery)
            await self._end_faults()
            # The end of this block waits for the edits that were submitted under faults.
        await trio.sleep(RECOVERY_S)
        self.check()

    def check(self) -> None:
        """Assert that every host applies the last version and that the history matches the edits.

        The history must contain each accepted edit once and each refused edit never.
        """
        head = self._stored("document/head")
        last_number = head.number if head is not None else 0
        assert set(self.fleet.applied_versions().values()) == {last_number}, (
            last_number,
            self.fleet.applied_versions(),
        )
        records = [self._stored(f"document/history/{number}") for number in range(1, last_number)]
        records.append(head)
        changes: Counter[str] = Counter()
        previous: dict[str, str] = {}
        for number, record in enumerate(records, start=1):
            if record is None:
                assert last_number == 0, f"history lacks version {number}"
                continue
            assert record.number == number, (record.number, number)
            digests = record.digests()
            changed_sections = [
                name for name, digest in digests.items() if previous.get(name) != digest
            ]
            assert len(changed_sections) == 1, f"version {number} changes {changed_sections}"
            changes[digests[changed_sections[0]]] += 1
            previous = digests
        for edit in self.edits:
            count = changes[edit.digest]
            if edit.code == 0:
                assert count == 1, f"accepted edit {edit.number} is {count} times in the history"
            elif edit.code != OUTCOME_UNKNOWN:
                assert count == 0, f"edit refused with {edit.code} is in the history"

    def _stored(self, name: str) -> ManifestRecord | None:
        answer = self.fleet.store.get(name)
        return parse_manifest(answer.body).unwrap() if answer.status == 200 else None

    async def _submit_edits(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self.rng.expovariate(1.0))
            running = sorted(self.fleet.distributors)
            if running:
                nursery.start_soon(self._submit_edit, self.rng.choice(running))

    async def _submit_edit(self, host: str) -> None:
        port = next(self._ports)
        edited = section_change(self.rng.choice(SECTIONS), port)
        # The port is unique to this edit and selects the random source of its write identifier.
        editor = self.fleet.document_editor(host, port)
        result = await editor.submit(edited)
        accepted = is_successful(result)
        number = result.unwrap() if accepted else 0
        code = 0 if accepted else result.failure().code
        self.edits.append(Edit(edited.section, edited.digest, number, code))

    async def _inject_faults(self) -> None:
        fault_kinds = (self._inject_store_fault, self._crash_host, self._partition_region)
        while True:
            await trio.sleep(self.rng.uniform(0.5, 4.0))
            await self.rng.choice(fault_kinds)()

    async def _inject_store_fault(self) -> None:
        faults, rng = self.fleet.store.faults, self.rng
        name, value = rng.choice(
            (
                ("down", True),
                ("silent", True),
                ("slow_s", 0.4),
                ("read_lag_s", 2.0),
                ("watch_lag_s", 1.0),
                ("hosts_lag_s", 5.0),
                ("lose_answer", 0.5),
                ("lose_write", 0.3),
                ("late_write", 0.3),
            )
        )
        self.faults[name] += 1
        faults.late_write_s = 2.5
        faults.slow_spread = 0.8
        setattr(faults, name, value)
        await trio.sleep(rng.uniform(1.0, 6.0))
        setattr(faults, name, False if value is True else 0.0)

    async def _crash_host(self) -> None:
        running = sorted(self.fleet.peers)
        if len(running) < 3:
            return
        name = self.rng.choice(running)
        self.faults["crash"] += 1
        self.fleet.crash(name)
        with trio.CancelScope(shield=True):
            await trio.sleep(self.rng.uniform(0.2, 5.0))
            await self.fleet.start(name)

    async def _partition_region(self) -> None:
        region = self.rng.choice(REGIONS)
        self.faults["parting"] += 1
        self.fleet.partition_region(region)
        await trio.sleep(self.rng.uniform(1.0, 8.0))
        self.fleet.heal_region(region)

    async def _end_faults(self) -> None:
        self.fleet.store.faults.clear()
        for region in REGIONS:
            self.fleet.heal_region(region)


async def _run(seed: int) -> DocumentRun:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, HOSTS, seed, documents=True)
        run = DocumentRun(fleet, seeded_random(seed, "faults"))
        await run.run()
        nursery.cancel_scope.cancel()
    return run


def run_seed(seed: int) -> DocumentRun:
    """Run one seed; raises `AssertionError`, in exception groups, if a check fails."""
    return run_virtual(_run, seed, seed=seed)


def run_seeds(seeds: int = 50, first: int = 1) -> None:
    """Run several seeds and print the failed ones, results of edits and injected faults."""
    codes: Counter[int] = Counter()
    faults: Counter[str] = Counter()
    failed = []
    for seed in range(first, first + seeds):
        try:
            run = run_seed(seed)
        except BaseExceptionGroup as group:
            failed.append(seed)
            print(f"seed {seed}: {group.exceptions}", file=sys.stderr)
            continue
        codes.update(edit.code for edit in run.edits)
        faults.update(run.faults)
    print(f"{seeds} seeds, {len(failed)} failed {failed}")
    print("edits by code, 0 is accepted:", dict(sorted(codes.items())))
    print("faults:", dict(sorted(faults.items())))


if __name__ == "__main__":
    fire.Fire(run_seeds)
