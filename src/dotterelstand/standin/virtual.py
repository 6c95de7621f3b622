"""Runs trio programs in virtual time with a scheduling order determined by a seed."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
import trio.testing

T = TypeVar("T")

_DETERMINISTIC = "_ALLOW_DETERMINISTIC_SCHEDULING"


def run_virtual(main: Callable[..., Awaitable[T]], *args: object, seed: int) -> T:
    """Run `main(*args)` to its end on a virtual clock; the same seed gives the same run.

    Only in-memory streams may be used, since the clock advances as soon as all tasks are blocked.
    """
    run_module = trio._core._run  # type: ignore[attr-defined]
    state = run_module._r.getstate()
    deterministic = getattr(run_module, _DETERMINISTIC)
    run_module._r.seed(seed)
    # setattr, because trio declares the name as Final and type checkers reject an assignment.
    setattr(run_module, _DETERMINISTIC, True)
    try:
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, *args, clock=clock, strict_exception_groups=True)
    finally:
        run_module._r.setstate(state)
        setattr(run_module, _DETERMINISTIC, deterministic)


def seeded_random(seed: int, component: str) -> random.Random:
    """Return a component's random source, whose numbers do not depend on other components."""
    return random.Random(f"{seed}/{component}")
