"""Checks once that all entry hosts and targets are ready; exits with code 8 if one is not."""

import sys

import fire
import trio

from dotterelstand.connection.network import TcpNetwork
from dotterelstand.exits import ExitCode
from dotterelstand.standin.loadclient import LoadClient, LoadRequest


async def _find_unready(endpoints: list[tuple[str, str]]) -> list[str]:
    unready = []

    async def check(endpoint: str, path: str) -> None:
        address, _, port = endpoint.rpartition(":")
        client = LoadClient(TcpNetwork(), address, int(port), 0)
        with trio.move_on_after(5):
            if (await client.send(LoadRequest("GET", path, [], 0))).status == 200:
                return
        unready.append(endpoint)

    async with trio.open_nursery() as nursery:
        for endpoint, path in endpoints:
            nursery.start_soon(check, endpoint, path)
    return unready


def check_ready(hosts: str, targets: str = "") -> None:
    """Check readiness at control ports and health at targets.

    Args:
        hosts: "address:port" of the control ports, separated by commas
        targets: "address:port" of the targets, separated by commas
    """
    endpoints = [(endpoint, "/ready") for endpoint in _split_list(hosts)]
    endpoints += [(endpoint, "/health") for endpoint in _split_list(targets)]
    unready = trio.run(_find_unready, endpoints)
    if unready:
        print("not ready: " + ", ".join(unready), file=sys.stderr)
        sys.exit(ExitCode.HOST_UNREACHABLE)


def _split_list(text: str | tuple[str, ...] | list[str]) -> list[str]:
    items = text.split(",") if isinstance(text, str) else list(text)
    return [item.strip() for item in map(str, items) if item.strip()]


if __name__ == "__main__":
    fire.Fire(check_ready)
