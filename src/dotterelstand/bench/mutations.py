"""Deliberate faults in the journal, which the randomised proof must catch."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

MUTATIONS: dict[str, Callable[[], Any]] = {}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """Run with one mutation in force; "" for none."""
    if not name:
        yield
        return
    with MUTATIONS[name]():
        yield
