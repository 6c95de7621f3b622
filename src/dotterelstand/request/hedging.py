"""Hedged requests: a second attempt runs in parallel when the first is slow."""

from collections.abc import Awaitable, Callable

import trio

from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.request.attempt import Attempt
from dotterelstand.request.policy import FAILING_STATUSES

StartHedge = Callable[[], Awaitable[Attempt | None]]


async def run_with_hedge(first: Attempt, delay_s: float, start_hedge: StartHedge) -> Attempt:
    """Run `first` and, after `delay_s` seconds, the attempt of `start_hedge`; return the winner.

    The winner is the first attempt with a usable answer or, without one, the attempt that ended
    last. The connection of the other attempt is closed. The hedged attempt starts at once if the
    target of the first is marked slow.
    """
    ended: list[Attempt] = []
    attempts = [first]
    changed = trio.lowlevel.ParkingLot()
    hedge_pending = True

    async def run(attempt: Attempt) -> None:
        await attempt.run()
        ended.append(attempt)
        changed.unpark_all()

    async def hedge() -> None:
        nonlocal hedge_pending
        second = await start_hedge()
        hedge_pending = False
        if second is not None:
            attempts.append(second)
            await run(second)
        else:
            changed.unpark_all()

    first.on_slow(changed.unpark_all)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, first)
            with trio.move_on_after(delay_s):
                while not ended and not first.target_slow:
                    await changed.park()
            if not ended:
                nursery.start_soon(hedge)
                while not any(map(has_usable_answer, ended)) and (
                    hedge_pending or len(ended) < len(attempts)
                ):
                    if ended and hedge_pending:
                        break
                    await changed.park()
            nursery.cancel_scope.cancel()
        winner = next(filter(has_usable_answer, ended), ended[-1])
    except BaseException:
        for attempt in attempts:
            attempt.end(AttemptOutcome.CANCELLED)
        raise
    for attempt in attempts:
        if attempt is not winner:
            attempt.end(attempt.outcome())
    return winner


def has_usable_answer(attempt: Attempt) -> bool:
    """Whether an answer head has arrived that can be forwarded to the caller."""
    answer = attempt.answer
    return (
        attempt.failure is None
        and answer is not None
        and not answer.is_refusal()
        and answer.status not in FAILING_STATUSES
    )
