"""Graceful shutdown of one entry host."""

import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.cli.client import ControlAddress, ControlClient
from dotterelstand.exits import ExitCode, ToolError

POLL_INTERVAL_S = 0.2


async def drain_host(
    client: ControlClient, host: ControlAddress, wait_s: float
) -> Result[str, ToolError]:
    """Ask a host to stop; fails if its control port is still open after `wait_s` seconds."""
    response = await client.call(host, "POST", "/v1/drain", {})
    if not is_successful(response):
        return Failure(response.failure())
    if wait_s <= 0:
        return Success("asked to stop")
    with trio.move_on_after(wait_s):
        while True:
            answer = await client.call(host, "GET", "/health")
            if not is_successful(answer):
                return Success("stopped")
            await trio.sleep(POLL_INTERVAL_S)
    text = f"{host}: still stopping after {wait_s:g} s; requests are in flight"
    return Failure(ToolError(ExitCode.HOST_REFUSED, text))
