"""All decisions of one host about quotas, without I/O."""

import random
from collections.abc import Callable, Mapping

from dotterelstand.connection.quotawire import QuotaLimits, QuotaReport
from dotterelstand.connection.wire import Message
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.peering.ranking import rank_hosts
from dotterelstand.process.quota.collector import Collector
from dotterelstand.process.quota.coordinator import Coordinator
from dotterelstand.process.quota.ledger import BUSY_REPORT_S, URGENT_REPORT_S, HostLedger, Mode
from dotterelstand.process.quota.limits import limited_workspaces
from dotterelstand.process.quota.uplink import Uplink, make_stamp
from dotterelstand.version.model import Document
from dotterelstand.version.workspace import Workspace

# Key for the choice of collectors and of the coordinator.
QUOTA_KEY = "quota"
# Shares are sent in millionths.
SHARE_UNIT = 1_000_000
# Requests of one workspace in a report of which a collector sends its sums on at once.
URGENT_REQUESTS = 2
# Seconds for which a host that starts is not ready while no coordinator answers.
START_WAIT_S = 2.0


class QuotaCounters:
    """Counters of one host; see docs/counters.md."""

    __slots__ = ("admitted", "limits", "refunded", "rejected", "rejected_alone", "reports", "sums")

    def __init__(self) -> None:
        self.admitted = 0
        self.rejected = 0
        self.rejected_alone = 0
        self.refunded = 0
        self.reports = 0
        self.sums = 0
        self.limits = 0


class QuotaNode:
    """Ledger, collector and coordinator of one host; the latter two are idle on most hosts.

    `send(host, message)` returns whether the message was queued; `members` are the live hosts, and
    `counts` the number of hosts of each region, listed or live, empty while it is not known.
    Times are in seconds of one clock.
    """

    __slots__ = (
        "_collected_at",
        "_collectors",
        "_coordinators",
        "_counts",
        "_host",
        "_limits",
        "_members",
        "_ranked_members",
        "_region",
        "_send",
        "collector",
        "coordinator",
        "coordinator_name",
        "counters",
        "ledger",
        "limited",
        "sharing",
        "to_collector",
        "to_coordinator",
    )

    def __init__(
        self,
        host: str,
        region: str,
        send: Callable[[str, Message], bool],
        members: Callable[[], tuple[Member, ...]],
        counts: Callable[[], Mapping[str, int]],
        rng: random.Random,
        now: float,
    ) -> None:
        self._host = host
        self._region = region
        self._send = send
        self._members = members
        self._counts = counts
        self._collected_at = now
        self._ranked_members: tuple[Member, ...] = ()
        self._collectors: list[str] = []
        self._coordinators: list[str] = []
        self.to_collector = Uplink()
        self.to_coordinator = Uplink()
        self.limited: dict[int, Workspace] = {}
        self.ledger = HostLedger(0, rng, now, self.to_collector.is_late)
        self.collector = Collector()
        self.coordinator = Coordinator()
        # Last answer of the coordinator, which this host passes on as a collector.
        self._limits: QuotaLimits | None = None
        # Host that decided the limits received last, and number of hosts that it counted as sharing
        # their quotas.
        self.coordinator_name = ""
        self.sharing = 0
        self.counters = QuotaCounters()

    @property
    def is_active(self) -> bool:
        """Whether the document has workspaces with a limit."""
        return bool(self.limited)

    def is_able(self, now: float) -> bool:
        """Whether this host may get new callers.

        A host that starts waits briefly for its first limits, since its own share of a small quota
        is a fraction of a request.
        """
        mode = self.ledger.mode(now)
        if not self.is_active or mode is Mode.DELEGATED:
            return True
        has_started = bool(self.coordinator_name) or self.ledger.alone_s(now) >= START_WAIT_S
        return mode is Mode.ALONE and has_started

    def apply(self, document: Document | None, now: float) -> None:
        """Apply a new version of the document."""
        was_active = self.is_active
        self.limited = limited_workspaces(document)
        self.ledger.retain(self.limited)
        if self.is_active and not was_active:
            self.ledger.restart(now)

    def admit(self, workspace: Workspace, now: float) -> float | None:
        """Charge one request; returns None if it may run, else seconds until a retry."""
        if not workspace.is_limited:
            return None
        if not self.ledger.hosts:
            self.ledger.hosts = sum(self._counts().values())
        retry_s = self.ledger.admit(workspace, now)
        if self.ledger.is_urgent:
            self.step(now)
        if retry_s is None:
            self.counters.admitted += 1
        else:
            self.counters.rejected += 1
            self.counters.rejected_alone += self.ledger.mode(now) is not Mode.DELEGATED
        return retry_s

    def refund(self, workspace: Workspace, now: float) -> None:
        """Undo the charge for a request that did not run."""
        if workspace.is_limited:
            self.counters.refunded += 1
            self.ledger.refund(workspace, now)

    def step(self, now: float) -> None:
        """Send the reports that are due; call it every `STEP_S`."""
        if not self.is_active:
            return
        if self.ledger.is_report_due(now):
            sizes = self._counts()
            if not sizes:
                # A host that doesn't know the others would take itself for the whole fleet.
                return
            if not self.coordinator_name:
                self.ledger.hosts = sum(sizes.values())
            self._rank()
            server = self.to_collector.choose(self._collectors, now)
            sent = server is not None and self._send_report(server, now)
            self.ledger.record_report(now, sent)
        is_late = self.to_coordinator.is_late(now)
        self._send_collected(URGENT_REPORT_S if is_late else BUSY_REPORT_S, now)

    def _send_collected(self, period_s: float, now: float) -> None:
        if self.collector.is_active(now) and now - self._collected_at >= period_s - 0.01:
            self._collected_at = now
            self._rank()
            previous = self.to_coordinator.server
            server = self.to_coordinator.choose(self._coordinators, now)
            if server != previous:
                self.collector.restore()
            if server is not None and self._send_sums(server, now):
                self.collector.record_sent()

    def on_report(self, sender: str, report: QuotaReport, now: float) -> None:
        """Handle the report of a host, or the sums of a collector."""
        if not self.is_active:
            return
        if not report.summed:
            self.collector.add(sender, report, now)
            if any(admitted > URGENT_REQUESTS for admitted in report.admitted):
                self._send_collected(URGENT_REPORT_S, now)
            # Without an answer of the coordinator this host has no limits to pass on, and the
            # others choose the next collector.
            if self._limits is not None and self.to_coordinator.is_delegated(now):
                self._answer(sender, report.number, self._limits, False, now)
            return
        region = next((item.region for item in self._members() if item.host == sender), None)
        if region is None:
            return
        state = self.coordinator
        in_force = self.ledger.shares if self.coordinator_name else None
        state.add(region, report, self.limited, self._counts(), in_force, now)
        if state.is_lone(now):
            return
        shares = [round(share * SHARE_UNIT) for share in state.shares.values()]
        limits = QuotaLimits(
            self._host, 0, state.hosts, list(state.shares), 0, shares, state.sharing, False, True
        )
        self._answer(sender, report.number, limits, True, now)

    def on_limits(self, sender: str, message: QuotaLimits, now: float) -> None:
        """Handle the answer to a report or to sums."""
        uplink = self.to_coordinator if message.summed else self.to_collector
        if not uplink.record_answer(sender, message.follows, message.number, now):
            return
        if message.summed:
            known = () if self._limits is None else self._limits.names
            self._limits = message
            self.collector.confirm()
            if any(name not in known for name in message.names):
                for host, number in self.collector.numbers(now).items():
                    self._answer(host, number, message, False, now)
            return
        self.counters.limits += 1
        self.coordinator_name = message.coordinator
        self.sharing = message.sharing
        shares = {
            key: share / SHARE_UNIT
            for key, share in zip(message.names, message.shares, strict=False)
        }
        sent_at = now - uplink.answer_age_s(now)
        self.ledger.update(shares, message.hosts, sent_at, uplink.delegated_until, message.stale)

    def _rank(self) -> None:
        """Rank the hubs as collectors and coordinators; members change rarely."""
        members = self._members()
        if members is self._ranked_members:
            return
        self._ranked_members = members
        self._collectors = rank_hosts(QUOTA_KEY, members, self._region)
        ranked = rank_hosts(QUOTA_KEY, members)
        # If the first two don't answer, this region is probably cut off from the others.
        self._coordinators = list(dict.fromkeys([*ranked[:2], *self._collectors, *ranked]))

    def _send_report(self, server: str, now: float) -> bool:
        names, asked, admitted = self.ledger.changes()
        uplink = self.to_collector
        follows = uplink.follows if uplink.is_delegated(now) else 0
        report = QuotaReport(admitted, asked, follows, 1, 0, names, make_stamp(now), False)
        uplink.record_sent(now)
        self.counters.reports += 1
        return self._send(server, report)

    def _send_sums(self, server: str, now: float) -> bool:
        names, asked, admitted = self.collector.sums()
        uplink = self.to_coordinator
        follows = uplink.follows if uplink.is_delegated(now) else 0
        hosts = self.collector.count_hosts(now)
        listed = self._counts().get(self._region, 1)
        report = QuotaReport(admitted, asked, follows, hosts, listed, names, make_stamp(now), True)
        uplink.record_sent(now)
        self.counters.sums += 1
        return self._send(server, report)

    def _answer(
        self, host: str, number: int, limits: QuotaLimits, summed: bool, now: float
    ) -> None:
        answer = QuotaLimits(
            limits.coordinator,
            number,
            limits.hosts,
            limits.names,
            make_stamp(now),
            limits.shares,
            limits.sharing,
            not summed and self.to_coordinator.is_late(now),
            summed,
        )
        self._send(host, answer)
