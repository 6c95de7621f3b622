"""Chooses the dispatcher of each service by rendezvous hashing."""

from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.peering.ranking import rank_hosts


class DispatcherMap:
    """Cache of the dispatcher of each service in a region; cleared when the members change."""

    __slots__ = ("_hosts", "_members")

    def __init__(self) -> None:
        self._members: tuple[Member, ...] = ()
        self._hosts: dict[str, str | None] = {}

    def host(self, service: str, members: tuple[Member, ...], region: str) -> str | None:
        """Host name of a service's dispatcher, or None if `choose_dispatcher` finds none."""
        if members is not self._members:
            self._members = members
            self._hosts.clear()
        if service not in self._hosts:
            self._hosts[service] = choose_dispatcher(service, members, region)
        return self._hosts[service]


def choose_dispatcher(service: str, members: tuple[Member, ...], region: str) -> str | None:
    """Highest-ranked hub (see `Member`) of the region for a service, or None if all are leaving."""
    ranked = rank_hosts(service, members, region)
    return ranked[0] if ranked else None
