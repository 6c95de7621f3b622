"""Runs several target stand-ins in one process, each on its own port."""

import json
from pathlib import Path

import fire
import trio

from dotterelstand.connection.network import TcpNetwork
from dotterelstand.standin.stopping import run_until_signal
from dotterelstand.standin.target import TargetServer


async def _serve(
    instances: list[dict[str, object]], address: str, mean_s: float, seed: int
) -> None:
    async with trio.open_nursery() as nursery:
        for instance in instances:
            server = TargetServer(str(instance["name"]), int(str(instance["slots"])), mean_s, seed)
            port = int(str(instance["port"]))
            nursery.start_soon(server.serve, TcpNetwork(), address, port)


def run_targets(
    file: str, group: str, mean_ms: float = 5.0, seed: int = 1, address: str = "127.0.0.1"
) -> None:
    """Run the targets of one group until SIGTERM or SIGINT.

    Args:
        file: targets.json written by the loopback command
        group: service and availability zone, for example "orders@tema-1"
        mean_ms: mean service time in milliseconds
        seed: seed of the service times
        address: listening address of all targets
    """
    groups = json.loads(Path(file).read_text(encoding="utf-8"))
    trio.run(run_until_signal, _serve, groups[group], address, mean_ms / 1000, seed)


if __name__ == "__main__":
    fire.Fire(run_targets)
