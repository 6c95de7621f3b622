"""Announcements in fleets with hubs: each host is told, and few messages are sent."""

import pytest

from dotterelstand.process.peering.announcing import first_receivers, next_receivers
from dotterelstand.process.peering.membership import ListedHost
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.peering.overlay import HUBS_PER_REGION, choose_hubs

REGIONS = 3


def _members(count: int) -> tuple[Member, ...]:
    listed = [ListedHost(f"h{n:03}", "", 1, False, f"r{n % REGIONS}") for n in range(count)]
    hubs = choose_hubs(listed)
    return tuple(Member(item.host, item.region, "", False, item.host in hubs) for item in listed)


@pytest.mark.parametrize("count", [25, 116, 312])
@pytest.mark.parametrize("from_hub", [True, False])
@pytest.mark.parametrize("key", ["a", "b", "c"])
def test_an_announcement_reaches_each_host_with_few_messages(
    count: int, from_hub: bool, key: str
) -> None:
    """Guards against messages per host times hub for each lost answer of a target.

    Found by abc-quotes-grown trouble-1, where 116 hosts sent about 2,100 messages for each.
    """
    members = _members(count)
    regions = {member.host: member.region for member in members}
    origin = next(member.host for member in members if member.hub is from_hub)
    told, messages = {origin}, 0
    steps = [(origin, origin)]
    hubs = first_receivers(members, origin, regions[origin])
    steps += [(origin, host) for host in hubs]
    messages += len(hubs)
    while steps:
        sender, host = steps.pop(0)
        if host != origin and host in told:
            continue
        told.add(host)
        receivers = next_receivers(members, host, regions[host], key, sender)
        messages += len(receivers)
        steps += [(host, receiver) for receiver in receivers]
    assert told == set(regions)
    assert messages <= count + HUBS_PER_REGION
