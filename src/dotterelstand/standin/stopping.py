"""Stops a stand-in with exit code 0 on SIGTERM or SIGINT."""

import signal
from collections.abc import Awaitable, Callable

import trio


async def run_until_signal(main: Callable[..., Awaitable[object]], *args: object) -> None:
    """Run `main(*args)` until it returns, or cancel it on SIGTERM or SIGINT."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:

            async def stop_on_signal() -> None:
                async for _ in signals:
                    nursery.cancel_scope.cancel()

            nursery.start_soon(stop_on_signal)
            await main(*args)
            nursery.cancel_scope.cancel()
