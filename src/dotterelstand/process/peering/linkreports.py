"""Counters and log events of single links between entry hosts."""

from dotterelstand.connection.peer import PeerLink
from dotterelstand.events import Event, log
from dotterelstand.process.telemetry.invariant import log_fault
from dotterelstand.process.telemetry.metrics import Metrics


def region_of(link: PeerLink) -> str:
    """Region of the host at the other end; available after its `Hello`."""
    assert link.hello is not None
    return link.hello.region


def count_bytes(metrics: Metrics, link: PeerLink, own_region: str) -> None:
    """Add the byte counts of a link to the metrics, and reset them."""
    scope = "local" if region_of(link) == own_region else "other"
    metrics.count(f"peers.sent_bytes.{scope}", link.sent_bytes)
    metrics.count(f"peers.received_bytes.{scope}", link.received_bytes)
    link.sent_bytes = link.received_bytes = 0


def note_fault(metrics: Metrics, link: PeerLink, errors: list[BaseException]) -> None:
    """Close a link after unexpected errors, and log these.

    The daemon goes on: to its parts, a link that ends is an ordinary loss of messages.
    """
    link.close("unexpected error")
    metrics.count("peers.faults")
    peer = link.hello.host if link.hello is not None else ""
    log_fault("peer link", errors, peer=peer)


def log_end(link: PeerLink) -> None:
    """Log that a host has no link any more, with the reason."""
    malformed = "malformed" in link.close_reason
    event = Event.PEER_MALFORMED if malformed else Event.PEER_LOST
    log(event, peer=link.peer, reason=link.close_reason)
