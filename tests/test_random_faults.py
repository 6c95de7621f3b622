"""Whatever fails, in any order, callers are told the truth and orders run at most once."""

import os
import random

import pytest
import trio
from support import Answer, Fleet, entry_address, run_fleet

from dotterelstand.standin.virtual import seeded_random

# More seeds than the default prove more; they are independent of each other.
SEEDS = int(os.environ.get("FAULT_SEEDS", "6"))
ENTRIES, TARGETS, CALLS = 3, 6, 250
FAULTS = [
    {"shed": 0.7},
    {"fail_status": 503},
    {"slow_factor": 30.0},
    {"slow_factor": 400.0},
    {"draining": True},
    {"crash_paths": ["/order/1", "/lookup/2"]},
    {"truncate_paths": ["/order/2", "/lookup/1"]},
    {"garbage_paths": ["/order/3", "/lookup/3"]},
    {"silent_paths": ["/order/4", "/lookup/4"]},
    {"early_paths": ["/order/5"]},
    {"load_fixed": 0},
    {"silent_accepted": True},
]
HEALTHY: dict[str, object] = {
    "shed": 0.0,
    "fail_status": 0,
    "slow_factor": 1.0,
    "draining": False,
    "load_fixed": -1,
    "silent_accepted": False,
    "crash_paths": [],
    "truncate_paths": [],
    "garbage_paths": [],
    "silent_paths": [],
    "early_paths": [],
}


class Record:
    """One caller's request and every answer to it, repeats included."""

    def __init__(self, number: int, rng: random.Random) -> None:
        kind = rng.choice(["lookup", "order", "keyed"])
        # The first digit decides which path faults the request meets.
        self.path = f"/{'lookup' if kind == 'lookup' else 'order'}/{rng.randrange(9)}-{number}"
        self.key = f"key-{number}" if kind == "keyed" else ""
        self.body = rng.randbytes(rng.choice([0, 0, 10, 3000, 100_000]))
        self.method = "POST" if self.body or kind != "lookup" else "GET"
        self.repeats = rng.randrange(1, 5) if kind != "order" else 1
        self.patience_s = rng.choice([0.05, 1.0, 15.0])
        self.answers: list[Answer | None] = []


async def call(fleet: Fleet, record: Record, rng: random.Random) -> None:
    """Send a request, and again with the same key or as a lookup until it is answered."""
    headers = {"idempotency_key": record.key} if record.key else {}
    if rng.random() < 0.3:
        headers["dotterelstand_deadline_ms"] = str(rng.choice([5, 100, 2000]))
    for _ in range(record.repeats):
        answer: Answer | None = None
        with trio.move_on_after(record.patience_s):
            try:
                entry = rng.randrange(ENTRIES)
                answer = await fleet.call(record.method, record.path, record.body, entry, **headers)
            except (OSError, trio.BrokenResourceError):
                pass
        record.answers.append(answer)
        if answer is not None and answer.code in (1000, 1001):
            return
        await trio.sleep(rng.uniform(0.0, 1.0))


async def disturb(fleet: Fleet, rng: random.Random, nursery: trio.Nursery) -> None:
    """Switch faults of targets, break connections and lose entry hosts, until cancelled."""
    while True:
        await trio.sleep(rng.expovariate(2.0))
        target = rng.choice(fleet.targets)
        chosen = rng.random()
        if chosen < 0.5:
            assert target.faults.update(rng.choice(FAULTS)) is None
        elif chosen < 0.85:
            assert target.faults.update(HEALTHY) is None
        elif chosen < 0.9:
            target.crash()
        elif chosen < 0.93:
            await fleet.replace_daemon(nursery, rng.randrange(ENTRIES), rng.uniform(0.1, 4.0))
        else:
            entry = entry_address(rng.randrange(ENTRIES))
            for stream in fleet.network.streams(entry, f"10.1.0.{rng.randrange(TARGETS)}"):
                stream.silence()


def check(fleet: Fleet, record: Record) -> None:
    """Compare what a caller was told with what the targets ran."""
    runs = fleet.runs(record.path)
    answers = [answer for answer in record.answers if answer is not None and answer.complete]
    for answer in answers:
        if answer.code == 1000 and answer.status == 200:
            assert answer.json()["path"] == record.path
            assert answer.json()["bytes"] == len(record.body)
            assert "done" in runs
        assert answer.code, "an answer without a result code"
    if record.path.startswith("/order"):
        assert len(runs) <= 1, (record.path, runs)
    told = {answer.run for answer in answers}
    if len(answers) == len(record.answers) and told == {"not-run"}:
        assert runs == [], (record.path, runs, [answer.code for answer in answers])


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_faults(seed: int) -> None:
    """Guards against combinations of faults that no scenario names."""

    async def scenario(fleet: Fleet) -> dict[int, int]:
        rng = seeded_random(seed, "callers")
        records = [Record(number, rng) for number in range(CALLS)]
        async with trio.open_nursery() as faults:
            faults.start_soon(disturb, fleet, seeded_random(seed, "faults"), fleet.nursery)
            async with trio.open_nursery() as callers:
                for number, record in enumerate(records):
                    callers.start_soon(call, fleet, record, seeded_random(seed, f"caller {number}"))
                    await trio.sleep(rng.expovariate(40.0))
            faults.cancel_scope.cancel()
        fleet.set_faults(**HEALTHY)
        await trio.sleep(20)
        await fleet.assert_settled()
        for record in records:
            check(fleet, record)
        codes: dict[int, int] = {}
        for record in records:
            for answer in record.answers:
                code = 0 if answer is None else answer.code
                codes[code] = codes.get(code, 0) + 1
        return codes

    codes = run_fleet(scenario, TARGETS, seed, entries=ENTRIES, service="hedge = true")
    # A run in which faults have no effect, or nothing works, proves nothing.
    assert codes[1000] > CALLS // 4
    assert any(2000 <= code < 3000 for code in codes)
    assert any(3000 <= code < 4000 for code in codes)
