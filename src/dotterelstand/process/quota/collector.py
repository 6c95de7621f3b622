"""Sums the reports of a region's hosts."""

from dotterelstand.connection.quotawire import QuotaReport
from dotterelstand.process.quota.limits import MAX_WORKSPACES
from dotterelstand.process.quota.uplink import age_of

# Seconds after its last answer for which a host counts as delegating its share. It reports at least
# every 0.4 s, and the report after next may come late.
HOST_LIFE_S = 0.95
# Maximum number of hosts whose reports are summed.
MAX_HOSTS = 10_000
# Seconds without a report after which a host is no longer a collector or coordinator.
IDLE_AFTER_S = 2.0


class Collector:
    """Sum of the reports of hosts since it was last sent on, and the hosts that sent them."""

    __slots__ = ("_hosts", "_numbers", "_received_at", "_sums", "_unconfirmed")

    def __init__(self) -> None:
        self._sums: dict[int, list[int]] = {}
        self._unconfirmed: dict[int, int] = {}
        self._hosts: dict[str, float] = {}
        self._numbers: dict[str, int] = {}
        self._received_at = float("-inf")

    def is_active(self, now: float) -> bool:
        """Whether hosts report here."""
        return now - self._received_at < IDLE_AFTER_S

    def add(self, sender: str, report: QuotaReport, now: float) -> None:
        """Add the report of a host.

        The host's share counts as delegated until `HOST_LIFE_S` after the answer that the report
        follows was sent, however long the report was on its way.
        """
        self._received_at = now
        if sender in self._numbers or len(self._numbers) < MAX_HOSTS:
            self._numbers[sender] = report.number
        age_s = age_of(report.follows, now)
        if age_s is not None and age_s < HOST_LIFE_S and len(self._hosts) < MAX_HOSTS:
            self._hosts[sender] = now - age_s + HOST_LIFE_S
        for key, asked, admitted in zip(report.names, report.asked, report.admitted, strict=False):
            entry = self._sums.get(key)
            if entry is None:
                if len(self._sums) >= MAX_WORKSPACES:
                    continue
                entry = self._sums[key] = [0, 0]
            entry[0] += max(0, asked)
            # A host without a delegation has charged its requests to its own share.
            entry[1] += admitted if report.follows else 0

    def count_hosts(self, now: float) -> int:
        """Number of hosts whose share is delegated."""
        self._hosts = {host: until for host, until in self._hosts.items() if until > now}
        return len(self._hosts)

    def numbers(self, now: float) -> dict[str, int]:
        """Number of the last report of each host whose share is delegated."""
        self.count_hosts(now)
        self._numbers = {host: self._numbers[host] for host in self._hosts}
        return self._numbers

    def sums(self) -> tuple[list[int], list[int], list[int]]:
        """Keys of the workspaces with requests, asked and admitted since `record_sent`."""
        values = self._sums.values()
        return list(self._sums), [item[0] for item in values], [item[1] for item in values]

    def record_sent(self) -> None:
        """Begin new sums; those that were sent on are kept until they are confirmed."""
        for key, (_, admitted) in self._sums.items():
            if key in self._unconfirmed or len(self._unconfirmed) < MAX_WORKSPACES:
                self._unconfirmed[key] = self._unconfirmed.get(key, 0) + admitted
        self._sums.clear()

    def confirm(self) -> None:
        """Forget the sums that were sent on, since the coordinator answered."""
        self._unconfirmed.clear()

    def restore(self) -> None:
        """Add the admitted requests that no coordinator confirmed, for the next one."""
        for key, admitted in self._unconfirmed.items():
            self._sums.setdefault(key, [0, 0])[1] += admitted
        self._unconfirmed.clear()
