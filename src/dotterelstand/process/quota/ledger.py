"""Decides on one host whether requests of workspaces may run, and counts them."""

import math
import random
from collections.abc import Callable, Mapping
from enum import Enum

from dotterelstand.process.quota.limits import MAX_WORKSPACES, TokenBucket, hash_name
from dotterelstand.version.workspace import Workspace

# Seconds between reports while a limit is in force or the load of a workspace has grown, and
# otherwise.
BUSY_REPORT_S = 0.2
# Shortest time in seconds between reports, which a host sends when it suddenly admits more.
URGENT_REPORT_S = 0.1
IDLE_REPORT_S = 0.4
# Seconds for which a host may use its own share alone. Hosts that are no longer listed lose their
# share after a longer time.
ALONE_LIMIT_S = 10.0
# Seconds without an answer after which the rate of each workspace may no longer grow.
STALE_S = 0.8
# Seconds until the limits account for a host whose share was not delegated before.
SETTLE_S = 1.0
# Multiple of the rate of requests in the last reports that may be admitted before the next one.
GROWTH = 1.2
# Time constants in seconds of the average rates of requests, of which the second is used while
# answers are missing: a load that has just begun to grow must not count as usual then.
RATE_PERIOD_S = 1.0
USUAL_PERIOD_S = 3.0
# Requests that a host may admit beyond a quota which it sees alone.
LOCAL_SLACK = 3.0
# Limits in seconds of the time after which a rejected caller may retry.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 5.0


class Mode(Enum):
    """How a host gets its part of the quotas."""

    DELEGATED = "delegated"
    ALONE = "alone"
    EXPIRED = "expired"


class _Account:
    """Requests of one workspace on this host.

    `asked` and `admitted` count since the last report; `rate` and `usual` are average rates of
    requests over one and three seconds.
    """

    __slots__ = (
        "admitted",
        "asked",
        "growth",
        "own",
        "phase",
        "quota",
        "rate",
        "retry_at",
        "usual",
    )

    def __init__(self, phase: float, level: float, own_level: float, now: float) -> None:
        self.asked = 0
        self.admitted = 0
        self.rate = 0.0
        self.usual = 0.0
        self.phase = phase
        self.retry_at = now
        self.quota = TokenBucket(level, now)
        # Tokens of this host's own share.
        self.own = TokenBucket(own_level, now)
        self.growth = TokenBucket(1.0, now)


class HostLedger:
    """Admits requests of limited workspaces on one host; times are in seconds.

    While the host's share is delegated, requests of a workspace with a limit in force are admitted
    at the share that the coordinator sent, and others freely. Otherwise the host admits its part of
    each quota, 1 of `hosts`; none while that number is 0, which means unknown. `is_late(now)` tells
    whether the answer to a report is missing.
    """

    __slots__ = (
        "_accounts",
        "_alone_since",
        "_changed",
        "_is_late",
        "_reported_at",
        "_rng",
        "_settled_at",
        "delegated_until",
        "fresh_until",
        "hosts",
        "in_contact",
        "is_urgent",
        "shares",
    )

    def __init__(
        self, hosts: int, rng: random.Random, now: float, is_late: Callable[[float], bool]
    ) -> None:
        self._is_late = is_late
        self._rng = rng
        # Whether this host has recently heard of the platform's store.
        self.in_contact: Callable[[], bool] = lambda: False
        # Until then, the limits may not account for this host.
        self._settled_at = -math.inf
        self._accounts: dict[int, _Account] = {}
        self._changed: dict[int, _Account] = {}
        self._alone_since = now
        self._reported_at = now
        self.is_urgent = False
        self.hosts = hosts
        self.shares: Mapping[int, float] = {}
        self.delegated_until = -math.inf
        self.fresh_until = -math.inf

    def mode(self, now: float) -> Mode:
        """How this host gets its part of the quotas now."""
        if now < self.delegated_until:
            return Mode.DELEGATED
        # A host that knows the store's state is still listed, so that no pool uses its share.
        may_stay = self.alone_s(now) < ALONE_LIMIT_S or self.in_contact()
        return Mode.ALONE if may_stay else Mode.EXPIRED

    def alone_s(self, now: float) -> float:
        """Seconds since the delegation of this host's share ended."""
        return now - max(self._alone_since, self.delegated_until)

    def retain(self, keys: Mapping[int, Workspace]) -> None:
        """Forget the workspaces that are not among `keys`."""
        self._accounts = {key: item for key, item in self._accounts.items() if key in keys}
        self._changed = {key: item for key, item in self._changed.items() if key in keys}

    def restart(self, now: float) -> None:
        """Begin again after a time in which no workspace had a limit."""
        self._alone_since = now
        self._reported_at = now

    def update(
        self, shares: Mapping[int, float], hosts: int, sent_at: float, until: float, stale: bool
    ) -> None:
        """Apply the answer to a report that was sent at `sent_at`.

        The share is delegated `until` a time. `stale` answers contain limits from before the
        coordinator stopped to answer.
        """
        if sent_at >= self.delegated_until > -math.inf:
            self._settled_at = sent_at + SETTLE_S
        self.shares = shares
        self.hosts = max(1, hosts)
        self.fresh_until = -math.inf if stale else sent_at + STALE_S
        self.delegated_until = until

    def admit(self, workspace: Workspace, now: float) -> float | None:
        """Charge one request; returns None if it may run, else seconds until a retry."""
        key = hash_name(workspace.name)
        account = self._account(key, workspace, now)
        if account is None:
            return MAX_RETRY_S
        account.asked += 1
        account.quota.refill(workspace.rate_per_s, workspace.burst + LOCAL_SLACK, now)
        if account.quota.level >= 1 and self._is_within_share(key, workspace, account, now):
            account.quota.level -= 1
            account.admitted += 1
            if account.admitted > 2 + 0.5 * account.rate:
                self.is_urgent = True
            return None
        return self._retry_after(key, workspace, account, now)

    def refund(self, workspace: Workspace, now: float) -> None:
        """Undo the charge for a request that did not run."""
        account = self._account(hash_name(workspace.name), workspace, now)
        if account is not None:
            account.admitted -= 1
            account.quota.level += 1
            if self.mode(now) is not Mode.DELEGATED:
                account.own.level += 1

    def is_report_due(self, now: float) -> bool:
        """Whether a report should be sent now."""
        period_s = IDLE_REPORT_S
        if self.is_urgent:
            period_s = URGENT_REPORT_S
        elif self.shares or not self._is_fresh(now):
            period_s = BUSY_REPORT_S
        return now - self._reported_at >= period_s - 0.01

    def changes(self) -> tuple[list[int], list[int], list[int]]:
        """Keys of the workspaces with requests since the last report, asked and admitted."""
        items = list(self._changed.items())
        return (
            [key for key, _ in items],
            [item.asked for _, item in items],
            [item.admitted for _, item in items],
        )

    def record_report(self, now: float, sent: bool) -> None:
        """Begin the next period; counts that could not be sent are kept for it."""
        elapsed_s = max(0.01, now - self._reported_at)
        weight = 1 - math.exp(-elapsed_s / RATE_PERIOD_S)
        usual_weight = 1 - math.exp(-elapsed_s / USUAL_PERIOD_S)
        self._reported_at = now
        self.is_urgent = False
        if not sent:
            return
        # While answers are missing, the load may not grow, and the rate is that of the last answer.
        if not self._is_fresh(now) and self.delegated_until > -math.inf:
            usual_weight = 0.0
        for account in self._accounts.values():
            account.rate += weight * (account.asked / elapsed_s - account.rate)
            account.usual += usual_weight * (account.asked / elapsed_s - account.usual)
            account.asked = account.admitted = 0
        self._changed.clear()

    def _is_fresh(self, now: float) -> bool:
        return self._settled_at <= now < self.fresh_until and not self._is_late(now)

    def _account(self, key: int, workspace: Workspace, now: float) -> _Account | None:
        account = self._accounts.get(key)
        if account is None:
            if len(self._accounts) >= MAX_WORKSPACES:
                return None
            level = workspace.burst + LOCAL_SLACK
            own_level = workspace.burst / max(1, self.hosts)
            account = _Account(self._rng.random(), level, own_level, now)
            self._accounts[key] = account
        self._changed[key] = account
        return account

    def _is_within_share(
        self, key: int, workspace: Workspace, account: _Account, now: float
    ) -> bool:
        if now >= self.delegated_until:
            is_alone = self.hosts > 0 and self.mode(now) is Mode.ALONE
            return is_alone and self._is_within_own(workspace, account, now)
        share = self.shares.get(key)
        if share is None and self._is_fresh(now):
            return True
        part, before = (1.0, account.usual) if share is None else (share, account.rate)
        # Requests that move here from other hosts or are repeated at once come before the share is
        # adapted to them.
        rate = max(GROWTH * part * before, workspace.rate_per_s / self.hosts)
        account.growth.refill(rate, 1 + 0.1 * rate, now)
        # Requests count towards the share also while the rate is limited. If they did not, a host
        # with few requests would admit half of its share.
        account.phase = min(account.phase + part, 1 + part)
        if account.phase < 1 or account.growth.level < 1:
            return False
        account.phase -= 1
        account.growth.level -= 1
        return True

    def _is_within_own(self, workspace: Workspace, account: _Account, now: float) -> bool:
        """Admit this host's part of a quota, of which the burst may be a fraction of a request.

        A fraction is used up by admitting one request with its probability: a bucket that holds a
        whole token on each host would exceed a small quota many times over.
        """
        rate = workspace.rate_per_s / self.hosts
        if account.own.refilled_at < self.delegated_until:
            # What this host used of its share while it was delegated is not known.
            account.own.level = 0.0
            account.own.refilled_at = self.delegated_until
        account.own.refill(rate, workspace.burst / self.hosts + 0.2 * rate, now)
        if account.own.level >= 1:
            account.own.level -= 1
            return True
        probability = max(0.0, account.own.level)
        account.own.level = min(0.0, account.own.level)
        return self._rng.random() < probability

    def _retry_after(self, key: int, workspace: Workspace, account: _Account, now: float) -> float:
        """Time until the requests rejected before may be admitted, at the rate of this host."""
        if not self.hosts:
            return MIN_RETRY_S
        rate = max(self.shares.get(key, 0.0) * account.rate, workspace.rate_per_s / self.hosts)
        at = max(account.retry_at, now + MIN_RETRY_S) + 1 / rate
        account.retry_at = min(at, now + MAX_RETRY_S)
        return account.retry_at - now
