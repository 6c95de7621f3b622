"""Addresses in the platform's objects that cannot be connected to."""

import random

import pytest
import trio

from dotterelstand.connection.network import TcpNetwork
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.peers import Peers
from dotterelstand.standin.entryfleet import host_settings

UNUSABLE = [
    ("entry..internal", 7540),
    ("e" * 70 + ".internal", 7540),
    ("\ud800", 7540),
    ("127.0.0.1", 2**64),
]


@pytest.mark.parametrize(("address", "port"), UNUSABLE)
def test_unusable_address_of_a_host_leaves_the_daemon_running(address: str, port: int) -> None:
    """Guards against a daemon that ends since the platform lists a host with such an address.

    The system's resolver is not asked: encoding the address or the port raises a `ValueError` or
    an `OverflowError`.
    """

    async def main() -> None:
        settings = host_settings("entry-00", "127.0.0.1", peers={"port": 0})
        peers = Peers(settings, TcpNetwork(), random.Random(1))
        async with trio.open_nursery() as nursery:
            await nursery.start(peers.run)
            peers.update_host_list([ListedHost("entry-01", address, port, False, peers.region)])
            await trio.sleep(0.2)
            assert peers.linked() == ()
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(("address", "port"), UNUSABLE)
def test_unusable_address_counts_as_unreachable(address: str, port: int) -> None:
    """Guards against an error that ends a request instead of its attempt."""

    async def main() -> None:
        with pytest.raises(OSError):
            await TcpNetwork().connect(address, port)

    trio.run(main)
