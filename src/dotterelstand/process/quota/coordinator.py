"""Token buckets of all workspaces, from which the share of requests to admit follows."""

import math
from collections.abc import Mapping

from dotterelstand.connection.quotawire import QuotaReport
from dotterelstand.process.quota.collector import IDLE_AFTER_S
from dotterelstand.process.quota.ledger import BUSY_REPORT_S
from dotterelstand.process.quota.limits import TokenBucket
from dotterelstand.process.quota.uplink import age_of
from dotterelstand.version.workspace import Workspace

# Seconds after its last answer for which a collector's hosts count as delegated. Collectors report
# five times a second.
COLLECTOR_LIFE_S = 0.6
# Seconds for which the share of a host that is no longer listed stays unused; such a host may
# use its share alone for 10 s.
UNLISTED_S = 15.0
# Part of a workspace's rate per second and number of requests that its bucket holds beyond the
# burst. Below half of it the share of requests to admit is limited, so that a workspace within its
# quota never is. A third of the tolerance of 10% of five seconds and 20 requests.
MARGIN_S = 0.15
MARGIN_REQUESTS = 7.0
# Seconds in which the level of a bucket returns to half of its margin. Shorter than the
# 0.6 s until limits take effect, it would swing.
CORRECTION_S = 1.0
# Time constant in seconds of the average rate of requests.
RATE_PERIOD_S = 0.25
# Shortest time in seconds between two decisions.
MIN_STEP_S = 0.1
# Seconds for which a new coordinator continues with the limits that it has seen.
TAKEOVER_S = 0.8
# Seconds until all collectors have reported to a new coordinator.
GATHER_S = 0.25
MIN_SHARE = 1e-6
# Number of hosts up to which one host alone is a usual part of the fleet.
SMALL_FLEET = 2
# Seconds after which a coordinator to which no other host reports counts as cut off. Others that
# start report within a second.
LONE_LIMIT_S = 2.0
# Seconds of a workspace's rate that its bucket may lack. After a fault, requests that were admitted
# long ago may be reported together.
MAX_DEBT_S = 2.0
# Seconds until a limit takes effect, for which the level of a bucket is predicted.
DELAY_S = 0.25


class Change:
    """Beginning or end of a limit; `share` is None at the end."""

    __slots__ = ("share", "workspace")

    def __init__(self, workspace: str, share: float | None) -> None:
        self.workspace = workspace
        self.share = share


class _Rates:
    """Average rates of requests of one workspace in one region, per second."""

    __slots__ = ("admitted", "asked")

    def __init__(self) -> None:
        self.asked = 0.0
        self.admitted = 0.0

    def update(self, asked: int, admitted: int, elapsed_s: float) -> None:
        """Add the requests of the last `elapsed_s` seconds."""
        weight = 1 - math.exp(-elapsed_s / RATE_PERIOD_S)
        self.asked += weight * (asked / elapsed_s - self.asked)
        self.admitted += weight * (admitted / elapsed_s - self.admitted)


class _Bucket:
    """Tokens of one workspace, in requests of the whole fleet.

    `rates` has the average rates of requests asked and admitted for each region. They are kept by
    region, since the reports of the regions come at different times.
    """

    __slots__ = ("rates", "tokens")

    def __init__(self, level: float, now: float) -> None:
        self.tokens = TokenBucket(level, now)
        self.rates: dict[str, _Rates] = {}

    @property
    def asked_rate(self) -> float:
        """Requests asked per second."""
        return sum(item.asked for item in self.rates.values())

    @property
    def admitted_rate(self) -> float:
        """Requests admitted per second."""
        return sum(item.admitted for item in self.rates.values())


class _Region:
    """Collector of a region, and number of listed hosts of the region."""

    __slots__ = ("delegated_until", "hosts", "listed", "listed_at", "reported_at")

    def __init__(self, listed: int, now: float) -> None:
        self.delegated_until = -math.inf
        self.reported_at = now
        self.hosts = 0
        self.listed = listed
        self.listed_at = now


class Coordinator:
    """Decides the share of requests of each workspace that the hosts admit.

    The buckets hold the quota of the whole fleet. While only a part of the hosts delegates its
    share, their requests are charged in proportion, and that part of the rate is admitted.
    """

    __slots__ = (
        "_buckets",
        "_is_first",
        "_lone_since",
        "_received_at",
        "_regions",
        "_started_at",
        "_stepped_at",
        "changes",
        "hosts",
        "shares",
        "sharing",
    )

    def __init__(self) -> None:
        self._buckets: dict[int, _Bucket] = {}
        self._regions: dict[str, _Region] = {}
        self._received_at = -math.inf
        self._started_at = -math.inf
        self._stepped_at = -math.inf
        # Whether the hosts had no coordinator before.
        self._is_first = True
        # Time since which no other host has delegated its share, None if others do.
        self._lone_since: float | None = None
        self.changes: list[Change] = []
        self.shares: dict[int, float] = {}
        self.hosts = 1
        self.sharing = 0

    def is_active(self, now: float) -> bool:
        """Whether collectors report here."""
        return now - self._received_at < IDLE_AFTER_S

    def is_lone(self, now: float) -> bool:
        """Whether this host is cut off from the others and must not answer itself.

        Otherwise a hub that is cut off would use its part of the quotas without a time limit.
        """
        return self._lone_since is not None and now - self._lone_since >= LONE_LIMIT_S

    def add(
        self,
        region: str,
        report: QuotaReport,
        limited: Mapping[int, Workspace],
        counts: Mapping[str, int],
        in_force: Mapping[int, float] | None,
        now: float,
    ) -> None:
        """Add the sums of a region.

        `counts` has the number of hosts of each known region, `in_force` the limits that this host
        applies, with which a new coordinator continues; None if it has never received any.
        """
        if not self.is_active(now):
            self._buckets = {}
            self._regions = {}
            self._started_at = self._stepped_at = now
            self._is_first = in_force is None
            self.shares = dict(in_force or {})
        self._received_at = now
        elapsed_s = self._add_region(region, report, now)
        self._count_hosts(counts, now)
        part = self._part(now)
        requests = {
            key: (asked, admitted)
            for key, asked, admitted in zip(
                report.names, report.asked, report.admitted, strict=False
            )
        }
        for key in requests.keys() & limited.keys():
            bucket = self._bucket(key, limited[key], now)
            level = bucket.tokens.level - requests[key][1] / part
            bucket.tokens.level = max(level, -MAX_DEBT_S * limited[key].rate_per_s)
            if region not in bucket.rates:
                bucket.rates[region] = _Rates()
        for key, bucket in self._buckets.items():
            if region in bucket.rates:
                bucket.rates[region].update(*requests.get(key, (0, 0)), elapsed_s)
        if now - self._stepped_at >= MIN_STEP_S:
            self._step(limited, now)

    def _add_region(self, name: str, report: QuotaReport, now: float) -> float:
        """Update a region; returns the seconds since its last report."""
        region = self._regions.get(name)
        if region is None:
            region = self._regions[name] = _Region(report.listed, now)
        elapsed_s = now - region.reported_at or BUSY_REPORT_S
        region.reported_at = now
        region.hosts = max(0, report.hosts)
        age_s = age_of(report.follows, now)
        if age_s is not None and age_s < COLLECTOR_LIFE_S:
            region.delegated_until = now - age_s + COLLECTOR_LIFE_S
        if report.listed >= region.listed:
            region.listed, region.listed_at = report.listed, now
        elif now - region.listed_at >= UNLISTED_S:
            region.listed = report.listed
        return elapsed_s

    def _count_hosts(self, counts: Mapping[str, int], now: float) -> None:
        """Count the hosts that own a share, and those of them that delegate it.

        A region that sends no reports keeps its share, since it may be cut off and use it.
        """
        listed = {**counts, **{name: item.listed for name, item in self._regions.items()}}
        self.hosts = max(1, sum(listed.values()))
        delegating = [item for item in self._regions.values() if item.delegated_until > now]
        self.sharing = min(self.hosts, sum(item.hosts for item in delegating))
        if self.sharing > 1 or self.hosts <= SMALL_FLEET:
            self._lone_since = None
        elif self._lone_since is None:
            self._lone_since = now

    def _part(self, now: float) -> float:
        """Part of the quotas that this coordinator distributes.

        While the hosts begin to report here, all of them count, later those of the regions that
        have reported.
        """
        age_s = now - self._started_at
        if age_s < (TAKEOVER_S if self._is_first else GATHER_S):
            return 1.0
        sharing = self.sharing
        if age_s < TAKEOVER_S:
            sharing = max(sharing, sum(item.hosts for item in self._regions.values()))
        return min(1.0, max(1, sharing) / self.hosts)

    def _bucket(self, key: int, workspace: Workspace, now: float) -> _Bucket:
        bucket = self._buckets.get(key)
        if bucket is None:
            level = 0.0 if key in self.shares else _capacity(workspace)
            bucket = self._buckets[key] = _Bucket(level, now)
        return bucket

    def _step(self, limited: Mapping[int, Workspace], now: float) -> None:
        self._stepped_at = now
        silent = {
            name for name, item in self._regions.items() if now - item.reported_at >= IDLE_AFTER_S
        }
        is_new = now - self._started_at < TAKEOVER_S
        part = self._part(now)
        shares: dict[int, float] = {}
        for key, bucket in list(self._buckets.items()):
            workspace = limited.get(key)
            if workspace is None:
                del self._buckets[key]
                continue
            bucket.tokens.refill(workspace.rate_per_s, _capacity(workspace), now)
            for name in silent & bucket.rates.keys():
                del bucket.rates[name]
            share = _share(workspace, bucket, part, key in self.shares)
            if is_new and key in self.shares:
                share = min(self.shares[key], 1.0 if share is None else share)
            if share is not None:
                shares[key] = share
        if is_new:
            shares = {**self.shares, **shares}
        for key in shares.keys() ^ self.shares.keys():
            if key in limited:
                self.changes.append(Change(limited[key].name, shares.get(key)))
        self.shares = shares


def _margin(workspace: Workspace) -> float:
    return MARGIN_S * workspace.rate_per_s + MARGIN_REQUESTS


def _capacity(workspace: Workspace) -> float:
    return workspace.burst + _margin(workspace)


def _share(workspace: Workspace, bucket: _Bucket, part: float, is_in_force: bool) -> float | None:
    """Share of requests to admit, None for all of them.

    A limit in force ends when all requests may be admitted. It would swing if it ended as soon as
    the bucket had filled up a little.
    """
    margin = _margin(workspace)
    level = bucket.tokens.level
    excess = max(0.0, bucket.admitted_rate / part - workspace.rate_per_s) if part else 0.0
    if not is_in_force and level >= margin / 2 and level - DELAY_S * excess >= 0:
        return None
    correction = (level - DELAY_S * excess - margin / 2) / CORRECTION_S
    rate = max(0.0, part * (workspace.rate_per_s + correction))
    asked_rate = bucket.asked_rate
    if rate >= asked_rate:
        return None
    return max(MIN_SHARE, rate / asked_rate)
