"""Introduction of a starting host: the initial exchange of state with linked hosts.

Linked hosts send their strikes (losses of a target while it ran a request) and quarantines. The
host needs both before it serves callers.
"""

import trio

from dotterelstand.process.peering.peers import Peers

CHECK_INTERVAL_S = 0.02


async def await_introduction(peers: Peers, host_list_attempted: trio.Event, limit_s: float) -> bool:
    """Wait for links to the live hosts of the region; False after a timeout of `limit_s` seconds.

    A host without the quarantines of its peers might run a request that crashes targets.
    The timeout lets a host start while its peers cannot be reached.
    """
    with trio.move_on_after(limit_s):
        await host_list_attempted.wait()
        while True:
            if not _unlinked_peers(peers):
                return True
            await trio.sleep(CHECK_INTERVAL_S)
    return False


def _unlinked_peers(peers: Peers) -> list[str]:
    linked = set(peers.linked())
    return [
        member.host
        for member in peers.members()
        if member.region in (peers.region, "") and not member.leaving
        if member.host != peers.host and member.host not in linked
        # Hosts that are not hubs have no link to each other.
        if member.hub or peers.is_hub
    ]
