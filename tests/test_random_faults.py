"""Random faults of targets, connections and entry hosts, with requests from many callers.

The checks compare each answer with the executions at the targets; orders run at most once.
"""

import os
import random

import pytest
import trio
from support import Answer, Fleet, entry_address, run_fleet

from dotterelstand.standin.virtual import seeded_random

# Number of seeds, each of which is a separate run.
SEEDS = int(os.environ.get("FAULT_SEEDS", "6"))
ENTRY_HOSTS, TARGETS, REQUESTS = 3, 6, 250
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


class CallerRequest:
    """One caller's request and the answers to all its attempts."""

    def __init__(self, number: int, rng: random.Random) -> None:
        kind = rng.choice(["lookup", "order", "keyed"])
        # `FAULTS` selects requests by the start of the path, such as /order/1: kind and one digit.
        self.path = f"/{'lookup' if kind == 'lookup' else 'order'}/{rng.randrange(9)}-{number}"
        self.key = f"key-{number}" if kind == "keyed" else ""
        self.body = rng.randbytes(rng.choice([0, 0, 10, 3000, 100_000]))
        self.method = "POST" if self.body or kind != "lookup" else "GET"
        self.max_attempts = rng.randrange(1, 5) if kind != "order" else 1
        self.timeout_s = rng.choice([0.05, 1.0, 15.0])
        self.answers: list[Answer | None] = []


async def send_until_answered(fleet: Fleet, request: CallerRequest, rng: random.Random) -> None:
    """Send a request; retry it until answered if it has an idempotency key or is a lookup."""
    headers = {"idempotency_key": request.key} if request.key else {}
    if rng.random() < 0.3:
        headers["dotterelstand_deadline_ms"] = str(rng.choice([5, 100, 2000]))
    for _ in range(request.max_attempts):
        answer: Answer | None = None
        with trio.move_on_after(request.timeout_s):
            try:
                entry = rng.randrange(ENTRY_HOSTS)
                answer = await fleet.call(
                    request.method, request.path, request.body, entry, **headers
                )
            except (OSError, trio.BrokenResourceError):
                pass
        request.answers.append(answer)
        if answer is not None and answer.code in (1000, 1001):
            return
        await trio.sleep(rng.uniform(0.0, 1.0))


async def inject_faults(fleet: Fleet, rng: random.Random, nursery: trio.Nursery) -> None:
    """Inject and end faults of targets, connections and entry hosts until cancelled."""
    while True:
        await trio.sleep(rng.expovariate(2.0))
        target = rng.choice(fleet.targets)
        fault_draw = rng.random()
        if fault_draw < 0.5:
            assert target.faults.update(rng.choice(FAULTS)) is None
        elif fault_draw < 0.85:
            assert target.faults.update(HEALTHY) is None
        elif fault_draw < 0.9:
            target.crash()
        elif fault_draw < 0.93:
            await fleet.replace_daemon(nursery, rng.randrange(ENTRY_HOSTS), rng.uniform(0.1, 4.0))
        else:
            entry = entry_address(rng.randrange(ENTRY_HOSTS))
            for stream in fleet.network.streams(entry, f"10.1.0.{rng.randrange(TARGETS)}"):
                stream.silence()


def check_request(fleet: Fleet, request: CallerRequest) -> None:
    """Check the answers to a caller against the executions at the targets."""
    runs = fleet.runs(request.path)
    answers = [answer for answer in request.answers if answer is not None and answer.complete]
    for answer in answers:
        if answer.code == 1000 and answer.status == 200:
            assert answer.json()["path"] == request.path
            assert answer.json()["bytes"] == len(request.body)
            assert "done" in runs
        assert answer.code, "an answer without a result code"
    if request.path.startswith("/order"):
        assert len(runs) <= 1, (request.path, runs)
    run_states = {answer.run for answer in answers}
    if len(answers) == len(request.answers) and run_states == {"not-run"}:
        assert runs == [], (request.path, runs, [answer.code for answer in answers])


@pytest.mark.parametrize("seed", range(SEEDS))
def test_random_faults(seed: int) -> None:
    """Guards against lost, repeated or misreported requests under combinations of faults.

    No other test covers these combinations.
    """

    async def scenario(fleet: Fleet) -> dict[int, int]:
        rng = seeded_random(seed, "callers")
        requests = [CallerRequest(number, rng) for number in range(REQUESTS)]
        async with trio.open_nursery() as faults:
            faults.start_soon(inject_faults, fleet, seeded_random(seed, "faults"), fleet.nursery)
            async with trio.open_nursery() as callers:
                for number, request in enumerate(requests):
                    callers.start_soon(
                        send_until_answered, fleet, request, seeded_random(seed, f"caller {number}")
                    )
                    await trio.sleep(rng.expovariate(40.0))
            faults.cancel_scope.cancel()
        fleet.set_faults(**HEALTHY)
        await trio.sleep(20)
        await fleet.assert_settled()
        for request in requests:
            check_request(fleet, request)
        codes: dict[int, int] = {}
        for request in requests:
            for answer in request.answers:
                code = 0 if answer is None else answer.code
                codes[code] = codes.get(code, 0) + 1
        return codes

    codes = run_fleet(scenario, TARGETS, seed, entries=ENTRY_HOSTS, service="hedge = true")
    # A run proves something only with successes, 2xxx errors and 3xxx errors.
    assert codes[1000] > REQUESTS // 4
    assert any(2000 <= code < 3000 for code in codes)
    assert any(3000 <= code < 4000 for code in codes)
