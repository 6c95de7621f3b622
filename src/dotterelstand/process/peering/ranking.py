"""Ranks the entry hosts of a region for shared work by rendezvous hashing."""

import xxhash

from dotterelstand.process.peering.mesh import Member


def rank_hosts(key: str, members: tuple[Member, ...], region: str) -> list[str]:
    """Live hubs of a region that are not leaving, by falling weight for `key`.

    Hosts with the same members agree on the order, and a lost host moves only its own work.
    """
    names = [
        member.host
        for member in members
        if member.region == region and member.hub and not member.leaving
    ]

    def weight(host: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}/{host}".encode())

    return sorted(names, key=weight, reverse=True)
