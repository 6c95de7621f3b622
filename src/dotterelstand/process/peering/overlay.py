"""Chooses the peers of an entry host: a full mesh, or a sparse overlay in a large fleet."""

import xxhash

from dotterelstand.process.peering.membership import ListedHost

# Up to this fleet size every pair of hosts is linked. With 24 hosts, each sends 23 heartbeats a
# second.
FULL_MESH_HOSTS = 24
# A host is linked to the two hosts (one on each side) at each of this many distances on the hash
# ring of its region. The distances form a geometric series up to the size of the ring.
_DISTANCES_PER_REGION = 4
LINKS_PER_OTHER_REGION = 2
# Number of hosts of a region that are linked to all its other hosts. If a region loses all of its
# hubs, each host chooses targets on its own and reads the platform's store itself.
HUBS_PER_REGION = 4


def choose_hubs(hosts: list[ListedHost]) -> frozenset[str]:
    """Hubs of each region: the hosts with the most processing capacity, or all in a full mesh."""
    if len(hosts) <= FULL_MESH_HOSTS:
        return frozenset(item.host for item in hosts)
    ranked = sorted(hosts, key=lambda item: (-item.capacity, *_ring_key(item.host)))
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
    know the same hosts. Above the size of a full mesh a host has 8 links in its region, 2 to each
    other region, and links to the hubs of its region; a hub is linked to its whole region.
    """
    others = frozenset(regions) - {host}
    if len(regions) <= FULL_MESH_HOSTS:
        return others
    rings: dict[str, list[str]] = {}
    for name in sorted(regions, key=_ring_key):
        rings.setdefault(regions[name], []).append(name)
    own = regions[host]
    chosen = _ring_neighbours(rings[own], rings[own].index(host))
    chosen |= {name for name in rings[own] if name in hubs or host in hubs}
    for region, ring in rings.items():
        if region != own:
            chosen |= _cross_region_peers(rings[own], own, ring, region, host)
    return frozenset(chosen - {host})


def _ring_key(host: str) -> tuple[int, str]:
    """Sort key that spreads hosts evenly, whatever their names."""
    return xxhash.xxh3_64_intdigest(host.encode()), host


def _ring_neighbours(ring: list[str], position: int) -> set[str]:
    """Hosts at exponentially growing distances, so that any two hosts are few hops apart."""
    size = len(ring)
    distances: list[int] = []
    for power in range(_DISTANCES_PER_REGION):
        distance = max(
            round(size ** (power / _DISTANCES_PER_REGION)), distances[-1] + 1 if distances else 1
        )
        distances.append(distance)
    return {ring[(position + sign * distance) % size] for distance in distances for sign in (1, -1)}


def _cross_region_peers(
    own: list[str], own_region: str, ring: list[str], region: str, host: str
) -> set[str]:
    """Peers in another region; each host of the larger region has exactly two of them."""
    if (len(own), own_region) > (len(ring), region):
        return _counterparts(own, ring, own.index(host))
    return {
        name for position, name in enumerate(ring) if host in _counterparts(ring, own, position)
    }


def _counterparts(larger: list[str], smaller: list[str], position: int) -> set[str]:
    start = position * len(smaller) // len(larger)
    return {
        smaller[(start + offset) % len(smaller)]
        for offset in range(min(LINKS_PER_OTHER_REGION, len(smaller)))
    }
