"""Limits of connections, requests and quarantines, read from the settings."""

import random
import resource

import trio

from dotterelstand.connection.callerlimits import CallerLimits
from dotterelstand.connection.memorybudget import CONNECTION_BYTES, MemoryBudget
from dotterelstand.connection.pool import PoolLimits
from dotterelstand.process.discovery.objectadapter import parse_regions
from dotterelstand.process.discovery.platformadapter import PlatformAdapter
from dotterelstand.process.machinememory import find_memory_bytes
from dotterelstand.process.peering.peers import Peers
from dotterelstand.process.quota.service import QuotaService, make_quota
from dotterelstand.process.suspects.strikes import QuarantineLimits
from dotterelstand.process.suspects.targetchecks import CheckLimits
from dotterelstand.process.telemetry.memoryreport import RefusalReport
from dotterelstand.request.context import RequestLimits
from dotterelstand.request.interfaces import Counters
from dotterelstand.request.policy import BUDGET_WINDOW_S
from dotterelstand.request.retryreserve import RetryReserve
from dotterelstand.settings import Settings
from dotterelstand.version.model import CallerBounds

# Bytes of memory that a daemon takes without callers.
OWN_BYTES = 35_000_000
# Share of the other memory that callers' connections and requests may hold. The rest is for what a
# daemon takes in a large fleet, for gaps between held pieces and for the system's buffers.
MEMORY_SHARE = 0.3
# Least number of bytes that callers may hold, enough for a few requests.
MIN_CALLER_BYTES = 300_000
# Share of the host's memory that the system may use for what connections of callers receive before
# the daemon reads it, and the bounds of each connection's part in bytes.
RECEIVE_BUFFER_SHARE = 0.2
MIN_RECEIVE_BUFFER_BYTES = 8192
MAX_RECEIVE_BUFFER_BYTES = 65536
# Share of the process's file descriptors that callers may use. The rest is for targets, other
# hosts, the store and the other ports.
DESCRIPTOR_SHARE = 0.5


def quarantine_limits(settings: Settings) -> QuarantineLimits:
    """Limits on strikes and quarantines."""
    return QuarantineLimits(
        settings.number("quarantine", "window_s"),
        settings.number("quarantine", "quarantine_s"),
        settings.integer("quarantine", "max_entries"),
        settings.number("quarantine", "confirm_timeout_s"),
        settings.number("quarantine", "admit_wait_s"),
        settings.number("quarantine", "run_limit_s"),
    )


def check_limits(settings: Settings) -> CheckLimits:
    """Limits on the checks of targets that closed a connection."""
    return CheckLimits(
        settings.number("quarantine", "check_s"),
        settings.number("targets", "connect_timeout_s"),
    )


def pool_limits(settings: Settings) -> PoolLimits:
    """Limits on connections to targets."""
    return PoolLimits(
        settings.integer("targets", "max_idle_connections"),
        settings.number("targets", "idle_timeout_s"),
        settings.integer("targets", "max_answer_head_bytes"),
        settings.number("targets", "connect_timeout_s"),
        max(1, settings.integer("targets", "sharing_hosts")),
    )


def request_limits(settings: Settings) -> RequestLimits:
    """Limits on attempts, held request bodies and recorded answers; minimum rate of retries."""
    return RequestLimits(
        settings.integer("requests", "max_attempts"),
        settings.number("requests", "retry_min_per_s"),
        settings.integer("requests", "held_body_bytes"),
        settings.integer("journal", "max_answer_bytes"),
    )


def retry_reserve(settings: Settings, peers: Peers, rng: random.Random) -> RetryReserve:
    """This host's part of the retries that the whole fleet may make beyond a share of requests."""
    regions = set(parse_regions(settings).values())
    return RetryReserve(
        settings.number("requests", "retry_slack"),
        BUDGET_WINDOW_S,
        lambda: peers.membership.estimate_fleet_size(regions),
        rng,
    )


def make_quota_service(
    settings: Settings, peers: Peers, adapter: PlatformAdapter, rng: random.Random
) -> QuotaService | None:
    """Enforcement of the quotas of workspaces, None if it is turned off."""
    if not settings.flag("quota", "enabled"):
        return None
    regions = set(parse_regions(settings).values())
    membership, freshness = peers.membership, adapter.freshness
    return make_quota(
        peers,
        lambda: membership.estimate_region_sizes(regions),
        # Before it has read the list, a host would take itself for the whole fleet.
        lambda: adapter.has_host_list,
        rng,
        in_contact=(lambda: False) if freshness is None else freshness.is_proven,
    )


def memory_budget(settings: Settings, counters: Counters) -> MemoryBudget:
    """Budget of what the connections and requests of callers hold."""
    limit_bytes = (_memory_bytes(settings) - OWN_BYTES) * MEMORY_SHARE
    report = RefusalReport(counters, trio.current_time)
    return MemoryBudget(max(limit_bytes, MIN_CALLER_BYTES), report)


def receive_buffer_bytes(settings: Settings, connections: int) -> int | None:
    """Size of the system's receive buffer for each caller connection; None to leave it as it is."""
    size = _memory_bytes(settings) * RECEIVE_BUFFER_SHARE / connections
    if size >= MAX_RECEIVE_BUFFER_BYTES:
        return None
    return int(max(size, MIN_RECEIVE_BUFFER_BYTES))


def _memory_bytes(settings: Settings) -> float:
    return settings.number("host", "memory_mb") * 1_000_000 or find_memory_bytes()


def max_connections(settings: Settings, limit_bytes: float) -> int:
    """Maximum number of caller connections.

    Callers get at most half of the file descriptors, and as many connections as fit in the memory
    that they may hold.
    """
    most = min(settings.integer("listen", "max_connections"), limit_bytes / CONNECTION_BYTES)
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors != resource.RLIM_INFINITY:
        most = min(most, descriptors * DESCRIPTOR_SHARE)
    return max(1, int(most))


def caller_limits(settings: Settings, counters: Counters) -> CallerLimits:
    """Limits on caller connections."""
    own = CallerBounds(
        settings.integer("listen", "max_head_bytes"),
        settings.integer("listen", "max_body_bytes"),
        settings.number("listen", "head_timeout_s"),
        settings.number("listen", "idle_timeout_s"),
    )
    return CallerLimits(
        own,
        settings.number("listen", "body_idle_timeout_s"),
        settings.number("listen", "linger_s"),
        memory_budget(settings, counters),
    )
