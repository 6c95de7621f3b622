"""Ranks the entry hosts of a region for shared work by rendezvous hashing."""

import xxhash

from dotterelstand.process.peering.mesh import Member

# Key for the choice of a region's relays, which watch the platform's store.
RELAY_KEY = "platform"
# Number of hosts that may take the place of relays which the store does not answer.
RESERVE_RELAYS = 2


def rank_hosts(key: str, members: tuple[Member, ...], region: str | None = None) -> list[str]:
    """Live hubs of a region that are not leaving, in descending order of their weight for `key`.

    Without a region, those of all regions.

    Hosts that see the same members agree on the order, and the loss of a host moves only the work
    of that host.
    """
    names = [
        member.host
        for member in members
        if region in (None, member.region) and member.hub and not member.leaving
    ]

    def weight(host: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}/{host}".encode())

    return sorted(names, key=weight, reverse=True)


def choose_relays(ranked: list[str], count: int, failing: set[str]) -> set[str]:
    """Relays of a region: the first `count` hosts, and others for those that fail.

    The first hosts stay relays while they fail, so that they notice when the store answers again.
    """
    able = [host for host in ranked[: count + RESERVE_RELAYS] if host not in failing]
    return {*ranked[:count], *able[:count]}
