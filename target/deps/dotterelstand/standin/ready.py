"""Asks once whether entry hosts and targets are ready; exit code 8 if one of them is not."""

import sys

import fire
import trio

from dotterelstand.connection.network import TcpNetwork
from dotterelstand.exits import ExitCode
from dotterelstand.standin.loadclient import LoadClient, LoadRequest


async def _find_unready(places: list[tuple[str, str]]) -> list[str]:
    unready = []

    async def ask(place: str, path: str) -> None:
        address, _, port = place.rpartition(":")
        client = LoadClient(TcpNetwork(), address, int(port), 0)
        with trio.move_on_after(5):
            if (await client.send(LoadRequest("GET", path, [], 0))).status == 200:
                return
        unready.append(place)

    async with trio.open_nursery() as nursery:
        for place, path in places:
            nursery.start_soon(ask, place, path)
    return unready


def check_ready(hosts: str, targets: str = "") -> None:
    """Ask control ports for readiness and targets for health.

    Args:
        hosts: control ports "address:port", separated by commas
        targets: targets "address:port", separated by commas
    """
    places = [(place, "/ready") for place in _split(hosts)]
    places += [(place, "/health") for place in _split(targets)]
    unready = trio.run(_find_unready, places)
    if unready:
        print("not ready: " + ", ".join(unready), file=sys.stderr)
        sys.exit(ExitCode.HOST_UNREACHABLE)


def _split(text: str | tuple[str, ...] | list[str]) -> list[str]:
    items = text.split(",") if isinstance(text, str) else list(text)
    return [item.strip() for item in map(str, items) if item.strip()]


if __name__ == "__main__":
    fire.Fire(check_ready)
