"""The queue serves calls in class order and fairly to workspaces, and stays bounded."""

import random

import pytest

from dotterelstand.process.selection.queue import CallQueue, WaitingCall


def _call(number: int, klass: int = 0, workspace: int = 0) -> WaitingCall:
    return WaitingCall(("h", number), klass, workspace, 0.0, 10.0)


def _pop_all(queue: CallQueue) -> list[int]:
    order = []
    while (call := queue.pop(0.0)) is not None:
        order.append(call.key[1])
    return order


@pytest.mark.parametrize(
    ("calls", "order"),
    [
        # (class, workspace) of calls 0, 1, 2, ...
        ([(0, 0), (0, 0), (0, 0)], [0, 1, 2]),
        ([(1, 0), (0, 0), (1, 0)], [1, 0, 2]),
        ([(0, 1), (0, 1), (0, 1), (0, 2)], [0, 3, 1, 2]),
        ([(0, 1), (0, 2), (0, 1), (0, 3), (0, 2)], [0, 1, 3, 2, 4]),
        ([(1, 1), (1, 1), (1, 2), (0, 1)], [3, 0, 2, 1]),
    ],
)
def test_order(calls: list[tuple[int, int]], order: list[int]) -> None:
    """Guards against calls delayed by many calls of another workspace or by a lower class."""
    queue = CallQueue(10, 2)
    for number, (klass, workspace) in enumerate(calls):
        assert queue.push(_call(number, klass, workspace)) is None
    assert _pop_all(queue) == order


@pytest.mark.parametrize(
    ("workspaces", "evicted"),
    [
        # Workspaces of the waiting calls 0, 1 and 2, then of the new call 3.
        ([1, 1, 2, 2], 3),
        ([1, 1, 2, 1], 3),
        ([1, 2, 2, 1], 3),
        ([1, 2, 3, 4], 3),
        ([2, 1, 1, 3], 2),
    ],
)
def test_full_queue_takes_newest_of_largest_workspace(workspaces: list[int], evicted: int) -> None:
    """Guards against a workspace that floods the queue and evicts the calls of others."""
    queue = CallQueue(3, 1)
    results = [
        queue.push(_call(number, 0, workspace)) for number, workspace in enumerate(workspaces)
    ]
    assert results[:3] == [None] * 3
    assert results[3] is not None and results[3].key[1] == evicted
    assert len(queue) == 3


@pytest.mark.parametrize("seed", range(3))
def test_queue_agrees_with_plain_lists(seed: int) -> None:
    """Guards against counts and evictions that do not match the waiting calls."""
    rng = random.Random(seed)
    queue = CallQueue(12, 3)
    waiting: dict[int, WaitingCall] = {}
    for number in range(2000):
        action = rng.random()
        if action < 0.6:
            call = _call(number, rng.randrange(3), rng.randrange(4))
            waiting[number] = call
            evicted = queue.push(call)
            if evicted is not None:
                sizes = [sum(c.workspace == t for c in waiting.values()) for t in range(4)]
                assert sizes[evicted.workspace] == max(sizes)
                same = [n for n, c in waiting.items() if c.workspace == evicted.workspace]
                assert evicted.key[1] == max(same)
                del waiting[evicted.key[1]]
        elif action < 0.9:
            popped = queue.pop(0.0)
            if popped is not None:
                assert popped.klass == min(call.klass for call in waiting.values())
                del waiting[popped.key[1]]
        elif waiting:
            number = rng.choice(list(waiting))
            assert queue.remove(("h", number)) is waiting.pop(number)
        assert len(queue) == len(waiting)
        klass = rng.randrange(3)
        assert queue.count_ahead(klass) == sum(c.klass <= klass for c in waiting.values())


@pytest.mark.parametrize("capacity", [0, 2, 4])
def test_a_queue_above_a_reduced_capacity_does_not_grow(capacity: int) -> None:
    """Guards against a daemon that ends when targets leave while many calls wait.

    Found by a score of inkwell-gate: a new document reduced the slots of a service below the
    number of its waiting calls.
    """
    queue = CallQueue(6, 1)
    for number in range(6):
        assert queue.push(_call(number)) is None
    queue.capacity = capacity
    for number in range(6, 12):
        assert queue.push(_call(number)) is not None
        assert len(queue) == 6
    assert len(_pop_all(queue)) == 6
