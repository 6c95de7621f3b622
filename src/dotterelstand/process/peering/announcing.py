"""Ways of an announcement through a fleet with hubs, such that each host gets it about once.

Does no I/O. The origin tells the hubs of its region. Of these, the one that ranks first for the
announcement tells the other hosts of the region and the hubs of the other regions, where again one
hub tells the other hosts.
"""

from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.peering.ranking import rank_hosts


def first_receivers(members: tuple[Member, ...], host: str, region: str) -> list[str]:
    """Hosts that the origin of an announcement tells: the other hubs of its region."""
    return [
        member.host
        for member in members
        if member.hub and member.region == region and member.host != host
    ]


def next_receivers(
    members: tuple[Member, ...], host: str, region: str, key: str, sender: str
) -> list[str]:
    """Hosts that `host` tells of an announcement that it got from `sender` or originated itself."""
    if rank_hosts(key, members, region)[:1] != [host]:
        return []
    is_from_region = any(item.host == sender and item.region == region for item in members)
    return [
        member.host
        for member in members
        if member.host not in (host, sender)
        if (not member.hub if member.region == region else member.hub and is_from_region)
    ]
