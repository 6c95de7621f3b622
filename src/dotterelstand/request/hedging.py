"""Hedged requests: a second attempt runs in parallel when the first is slow."""

from collections.abc import Awaitable, Callable, Sequence

import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.request.attempt import Attempt
from dotterelstand.request.policy import FAILING_STATUSES

StartHedge = Callable[[], Awaitable[Attempt | None]]
# Forwards the answer of an attempt and returns the result code of the transfer; calls the function
# as soon as the answer is certain to be passed on.
Forward = Callable[[Attempt, Callable[[], None]], Awaitable[ResultCode]]


async def run_with_hedge(
    first: Attempt, delay_s: float, start_hedge: StartHedge, forward: Forward
) -> tuple[Attempt, ResultCode | None]:
    """Run `first` and, after `delay_s` seconds, the attempt of `start_hedge`; return the winner.

    The winner is the first attempt with a usable answer or, without one, the attempt that ended
    last. The hedged attempt starts at once if the target of the first is marked slow. While both
    are at work, the answer of the winner is forwarded, and the connection of the other attempt is
    closed once that answer is passed on; if it breaks off before, the other attempt goes on.
    Returns the result code of the transfer, too, or None if the answer is not yet forwarded.
    """
    ended: list[Attempt] = []
    scopes = {first: trio.CancelScope()}
    changed = trio.lowlevel.ParkingLot()
    hedge_pending = True
    passed_on = False
    winner: Attempt | None = None
    code: ResultCode | None = None

    async def run(attempt: Attempt) -> None:
        with scopes[attempt] as scope:
            await attempt.run()
            ended.append(attempt)
            changed.unpark_all()
        if scope.cancelled_caught:
            attempt.end(attempt.outcome())

    async def hedge() -> None:
        nonlocal hedge_pending
        second = await start_hedge()
        hedge_pending = False
        if second is not None:
            scopes[second] = trio.CancelScope()
            await run(second)
        else:
            changed.unpark_all()

    def stop_others() -> None:
        nonlocal passed_on
        passed_on = True
        for attempt, scope in scopes.items():
            if attempt not in ended:
                scope.cancel()

    first.on_slow(changed.unpark_all)
    try:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, first)
            with trio.move_on_after(delay_s):
                while not ended and not first.target_slow:
                    await changed.park()
            if not ended:
                nursery.start_soon(hedge)
                while not passed_on and (hedge_pending or len(ended) < len(scopes)):
                    if ended and hedge_pending:
                        break
                    usable = next(filter(has_usable_answer, ended), None)
                    if usable is None:
                        await changed.park()
                        continue
                    code = await forward(usable, stop_others)
                    winner = usable
            nursery.cancel_scope.cancel()
    except BaseException:
        for attempt in scopes:
            attempt.end(AttemptOutcome.CANCELLED)
        raise
    if winner is None or not passed_on:
        winner, code = next(filter(has_usable_answer, ended), ended[-1]), None
    for attempt in scopes:
        if attempt is not winner:
            attempt.end(attempt.outcome())
    return winner, code


def has_usable_answer(attempt: Attempt) -> bool:
    """Whether an answer head has arrived that can be forwarded to the caller."""
    answer = attempt.answer
    return (
        attempt.failure is None
        and answer is not None
        and not answer.is_refusal()
        and answer.status not in FAILING_STATUSES
    )


def count_attempts(attempts: Sequence[Attempt], max_attempts: int) -> int:
    """Number of sent attempts, plus the number of unsent ones in excess of the maximum."""
    sent = sum(attempt.send_started for attempt in attempts)
    return sent + max(0, len(attempts) - sent - max_attempts)
