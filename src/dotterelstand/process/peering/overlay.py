"""Chooses the peers of an entry host: a full mesh, or links to hubs in a large fleet."""

import xxhash

from dotterelstand.process.peering.membership import ListedHost, Membership

# Up to this fleet size every pair of hosts is linked. With 24 hosts, each sends 23 heartbeats a
# second.
FULL_MESH_HOSTS = 24
# Number of hosts of a region that are linked to all its other hosts. While a region has lost all of
# its hubs, each host chooses targets on its own and reads the platform's store itself.
HUBS_PER_REGION = 4


def choose_hubs(hosts: list[ListedHost]) -> frozenset[str]:
    """Hubs of each region: the hosts with the most processing capacity, or all in a full mesh.

    Hosts that are leaving or unreachable are not hubs of a fleet that is too large for a full mesh.
    """
    if len(hosts) <= FULL_MESH_HOSTS:
        return frozenset(item.host for item in hosts)
    able = [item for item in hosts if not item.leaving and not item.unreachable]
    ranked = sorted(able, key=lambda item: (-item.capacity, *_hash_key(item.host)))
    counts: dict[str, int] = {}
    hubs: set[str] = set()
    for item in ranked:
        counts[item.region] = counts.get(item.region, 0) + 1
        if counts[item.region] <= HUBS_PER_REGION:
            hubs.add(item.host)
    return frozenset(hubs)


def choose_peers(host: str, regions: dict[str, str], hubs: frozenset[str]) -> frozenset[str]:
    """Peers of `host`, given the region of every host including itself.

    The choice is symmetric: if one host chooses another, the other chooses it too, provided both
    know the same hosts. Above the size of a full mesh a host is linked to the hubs of its region,
    and a hub to its whole region and to the hubs of the other regions.
    """
    if len(regions) <= FULL_MESH_HOSTS:
        return frozenset(regions) - {host}
    chosen = {name for name in hubs if host in hubs or regions[name] == regions[host]}
    if host in hubs:
        chosen |= {name for name, region in regions.items() if region == regions[host]}
    return frozenset(chosen - {host})


def update_roles(membership: Membership, capacity: float, now: float) -> list[ListedHost]:
    """Choose the hubs and this host's peers among the known hosts; returns the peers.

    `capacity` is this host's, in processors.
    """
    membership.mark_unreachable(now)
    known = membership.dial_candidates()
    own = membership.own
    listed = ListedHost(own.host, "", 0, membership.leaving, own.region, capacity=capacity)
    hubs = choose_hubs([listed, *known])
    regions = {item.host: item.region for item in (listed, *known)}
    chosen = choose_peers(own.host, regions, hubs)
    membership.set_hubs(hubs, len(regions) > FULL_MESH_HOSTS)
    membership.set_monitored_hosts(chosen, now)
    return [item for item in known if item.host in chosen]


def _hash_key(host: str) -> tuple[int, str]:
    """Sort key that spreads hosts evenly, whatever their names."""
    return xxhash.xxh3_64_intdigest(host.encode()), host
