"""Ranks the entry hosts of a region for shared work by rendezvous hashing."""

import xxhash

from dotterelstand.process.peering.mesh import Member


def rank_hosts(key: str, members: tuple[Member, ...], region: str) -> list[str]:
    """Live hubs of a region that are not leaving, in descending order of their weight for `key`.

    Hosts that see the same members agree on the order, and the loss of a host moves only the work
    of that host.
    """
    names = [
        member.host
        for member in members
        if member.region == region and member.hub and not member.leaving
    ]

    def weight(host: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}/{host}".encode())

    return sorted(names, key=weight, reverse=True)
