"""Chooses the peers that an entry host links to: a full mesh, or a sparse overlay at scale."""

import xxhash

# Up to this many hosts every pair is linked; 24 hosts send 23 heartbeats a second each.
FULL_MESH_HOSTS = 24
# Steps around the ring of a region, as powers of its size; each step gives two neighbours.
_STEPS_PER_REGION = 4
LINKS_PER_OTHER_REGION = 2


def choose_peers(host: str, regions: dict[str, str]) -> frozenset[str]:
    """Peers of `host`, given the region of every host including itself.

    The relation is symmetric: if one host chooses another, the other chooses it too, provided
    both know the same hosts. Larger fleets have 8 links in the region and 2 to each other region.
    """
    others = frozenset(regions) - {host}
    if len(regions) <= FULL_MESH_HOSTS:
        return others
    rings: dict[str, list[str]] = {}
    for name in sorted(regions, key=lambda item: (xxhash.xxh3_64_intdigest(item.encode()), item)):
        rings.setdefault(regions[name], []).append(name)
    own = regions[host]
    chosen = _neighbours(rings[own], rings[own].index(host))
    for region, ring in rings.items():
        if region != own:
            chosen |= _across(rings[own], own, ring, region, host)
    return frozenset(chosen - {host})


def _neighbours(ring: list[str], position: int) -> set[str]:
    """Hosts at steps of geometric size, so that the distance between any two stays short."""
    size = len(ring)
    steps: list[int] = []
    for power in range(_STEPS_PER_REGION):
        step = max(round(size ** (power / _STEPS_PER_REGION)), steps[-1] + 1 if steps else 1)
        steps.append(step)
    return {ring[(position + sign * step) % size] for step in steps for sign in (1, -1)}


def _across(own: list[str], own_region: str, ring: list[str], region: str, host: str) -> set[str]:
    """Hosts of another region; each host of the larger region has exactly two links."""
    if (len(own), own_region) > (len(ring), region):
        return _opposite(own, ring, own.index(host))
    return {name for place, name in enumerate(ring) if host in _opposite(ring, own, place)}


def _opposite(larger: list[str], smaller: list[str], position: int) -> set[str]:
    start = position * len(smaller) // len(larger)
    return {
        smaller[(start + offset) % len(smaller)]
        for offset in range(min(LINKS_PER_OTHER_REGION, len(smaller)))
    }
