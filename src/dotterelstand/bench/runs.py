"""Runs of the queue model and their latencies."""

from collections.abc import Callable

import numpy as np

from dotterelstand.bench.policies import Policy
from dotterelstand.bench.world import Call, Scenario, World, make_calls

WARM_UP_SHARE = 0.1


class RunResult:
    """Result of one run; `latencies` are in seconds, of calls that succeeded after the warm-up."""

    __slots__ = ("bytes_per_call", "failed", "latencies", "measured", "policy")

    def __init__(self, policy: Policy, calls: list[Call]) -> None:
        measured_calls = calls[int(len(calls) * WARM_UP_SHARE) :]
        assert all(call.finished is not None for call in measured_calls), "a call did not end"
        self.policy = policy
        self.measured = len(measured_calls)
        self.failed = sum(call.failed for call in calls)
        self.latencies = np.array(
            [
                call.finished - call.arrived
                for call in measured_calls
                if call.finished and not call.failed
            ]
        )
        self.bytes_per_call = policy.bytes_per_call()

    def quantile_ms(self, percent: float) -> float:
        """Latency in milliseconds at a percentile."""
        return float(np.percentile(self.latencies, percent)) * 1000


def run_scenario(scenario: Scenario, make_policy: Callable[[World], Policy]) -> RunResult:
    """Run all calls of a scenario under one policy."""
    world = World(scenario)
    calls = make_calls(scenario, world.entry_locations)
    policy = make_policy(world)
    open_calls = len(calls)

    def on_done(call: Call, failed: bool) -> None:
        nonlocal open_calls
        assert call.finished is None, "a call ended twice"
        call.finished = world.engine.now
        call.failed = failed
        open_calls -= 1

    policy.on_done = on_done
    for call in calls:
        world.engine.schedule_at(call.arrived, policy.start, call)
    world.engine.run(lambda: open_calls == 0)
    return RunResult(policy, calls)
