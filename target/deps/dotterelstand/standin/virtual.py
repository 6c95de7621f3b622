"""Runs trio programs in virtual time with a scheduling order that a seed fixes."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
import trio.testing

T = TypeVar("T")

_DETERMINISTIC = "_ALLOW_DETERMINISTIC_SCHEDULING"


def run_virtual(main: Callable[..., Awaitable[T]], *args: object, seed: int) -> T:
    """Run `main(*args)` to its end on a virtual clock; one seed gives one run.

    Only in-memory streams may be used, since the clock jumps whenever every task waits.
    """
    run_module = trio._core._run  # type: ignore[attr-defined]
    state = run_module._r.getstate()
    deterministic = getattr(run_module, _DETERMINISTIC)
    run_module._r.seed(seed)
    # setattr, because trio declares the name final for other users than test harnesses.
    setattr(run_module, _DETERMINISTIC, True)
    try:
        clock = trio.testing.MockClock(autojump_threshold=0)
        return trio.run(main, *args, clock=clock, strict_exception_groups=True)
    finally:
        run_module._r.setstate(state)
        setattr(run_module, _DETERMINISTIC, deterministic)


def seeded_random(seed: int, component: str) -> random.Random:
    """Random source of one component, independent of how much the others draw."""
    return random.Random(f"{seed}/{component}")
