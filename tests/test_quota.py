"""Quotas of workspaces hold over all hosts, and callers within them are served."""

import random
from collections.abc import Callable

import platform_support
import pytest
import trio
from platform_support import PlatformFleet, run_on_platform
from quota_model import Load, QuotaFleet, make_document

from dotterelstand.connection.quotawire import QuotaLimits, QuotaReport
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.quota.collector import Collector
from dotterelstand.process.quota.coordinator import UNLISTED_S, Coordinator
from dotterelstand.process.quota.ledger import ALONE_LIMIT_S, HostLedger, Mode
from dotterelstand.process.quota.limits import hash_name
from dotterelstand.process.quota.node import QuotaNode
from dotterelstand.process.quota.uplink import Uplink, make_stamp
from dotterelstand.version.workspace import Workspace

SURGE_AT, SURGE_END, ZONE = 6.0, 16.0, 1
KEY = hash_name("w")


def _workspace(name: str, usual_per_s: float, burst_s: float = 0.5) -> Workspace:
    rate = 1.6 * usual_per_s
    return Workspace(name, frozenset(), rate_per_s=rate, burst=burst_s * rate)


def _other_half(fleet: QuotaFleet) -> set[str]:
    return {member.host for index, member in enumerate(fleet.all) if index // 3 % 2}


def _lower(fleet: QuotaFleet) -> None:
    first, *others = (load.workspace for load in fleet.loads)
    first = Workspace(first.name, frozenset(), rate_per_s=first.rate_per_s / 2, burst=first.burst)
    fleet.apply(make_document(first, *others))


def _restart(fleet: QuotaFleet) -> None:
    member = fleet.all[8]
    fleet.kill(member.host)
    fleet.at(1.0, lambda: fleet.start(member))


FAULTS: dict[str, Callable[[QuotaFleet], None]] = {
    "none": lambda fleet: None,
    "coordinator lost": lambda fleet: fleet.kill(fleet.coordinator()),
    "half cut off": lambda fleet: fleet.cut(_other_half(fleet)),
    "region cut off": lambda fleet: fleet.cut({m.host for m in fleet.all if m.region == "r1"}),
    "host restarts": _restart,
    "limit lowered": _lower,
}


@pytest.mark.parametrize(
    ("hosts", "at", "fault", "retries"),
    [
        *((hosts, 5.9, fault, "immediate") for hosts in (16, 137) for fault in FAULTS),
        *((16, 8.0, fault, "obedient") for fault in FAULTS),
        (137, 5.9, "none", "obedient"),
        (137, 5.9, "coordinator lost", "obedient"),
        (312, 5.9, "coordinator lost", "immediate"),
        (312, 5.9, "half cut off", "immediate"),
    ],
)
def test_the_bound_holds_for_all_hosts(hosts: int, at: float, fault: str, retries: str) -> None:
    """Guards against more requests than the quota in some window, whatever fails meanwhile."""

    def factor(now: float) -> float:
        return 7.5 if SURGE_AT <= now < SURGE_END else 1.0

    loads = [
        Load(
            _workspace("large", 80.0),
            lambda now: 80.0 * factor(now),
            lambda now: ZONE if factor(now) > 1 else None,
            retries,
        ),
        Load(_workspace("small", 3.0), lambda now: 3.0 * factor(now), retries=retries),
    ]
    fleet = QuotaFleet(hosts, loads)
    fleet.at(at, lambda: FAULTS[fault](fleet))
    fleet.run(17.0)
    assert loads[0].rejected and loads[1].rejected
    assert max(load.largest_excess() for load in loads) <= 0
    assert sum(fleet.sent.values()) <= 17 * 12 * hosts
    if fault == "none":
        # The quota is used while there is more demand: a rate of 128 a second for 8 s.
        assert sum(1008 <= at < 1016 for at in loads[0].admitted) > 0.75 * 128 * 8


@pytest.mark.parametrize("hosts", [16, 137, 312])
def test_calm_workspaces_are_never_rejected(hosts: int) -> None:
    """Guards against 429 within the quota, and against messages that grow with the load."""
    loads = [
        Load(_workspace(f"w{rate}", rate), lambda now, rate=rate: rate)
        for rate in (2.0, 20.0, 90.0)
    ]
    fleet = QuotaFleet(hosts, loads)
    fleet.run(2.0)
    sent = sum(fleet.sent.values())
    fleet.run(10.0)
    # Hosts that all start together know no limits for half a second, and are not ready then.
    assert [at for load in loads for at in load.rejected if at > 1001.0] == []
    # Two reports and answers a second for each host, up to twice as many while its load grows.
    assert sum(fleet.sent.values()) - sent <= 10 * 6 * hosts


@pytest.mark.parametrize(
    ("sent_at", "received_at", "is_delegated"),
    [(10.0, 10.1, True), (10.0, 10.99, True), (10.0, 11.0, False), (11.5, 11.0, False)],
)
def test_an_answer_counts_from_its_report(
    sent_at: float, received_at: float, is_delegated: bool
) -> None:
    """Guards against a share used by two pools, after a link delivers late or a clock restarts."""
    uplink = Uplink()
    uplink.choose(["c"], 10.0)
    uplink.record_sent(10.0)
    collector = Collector()
    report = QuotaReport([], [], make_stamp(sent_at), 1, 0, [], 1, False)
    collector.add("h", report, received_at)
    uplink.record_answer("c", make_stamp(sent_at), 5, received_at)
    assert uplink.is_delegated(received_at) == is_delegated
    assert not uplink.is_delegated(11.01)
    # The pool must not count a host that has begun to use its own share.
    assert collector.count_hosts(received_at) == (0 <= received_at - sent_at < 0.95)
    assert collector.count_hosts(max(received_at, sent_at + 0.96)) == 0


@pytest.mark.parametrize(
    ("silence_s", "mode", "most"),
    [(0.5, "delegated", 300), (3.0, "alone", 4), (ALONE_LIMIT_S + 1, "expired", 0)],
)
def test_a_host_without_answers_uses_its_own_share_only(
    silence_s: float, mode: str, most: int
) -> None:
    """Guards against a host, cut off or suspended, that goes on with limits of the past."""
    ledger = HostLedger(100, random.Random(1), 0.0, lambda now: False)
    ledger.update({}, 100, 20.0, 21.0, False)
    now = 20.0 + silence_s
    workspace = Workspace("w", frozenset(), rate_per_s=100.0, burst=100.0)
    admitted = [ledger.admit(workspace, now) for _ in range(300)].count(None)
    assert ledger.mode(now) is Mode(mode)
    assert admitted <= most


@pytest.mark.parametrize("hosts", [16, 137])
@pytest.mark.parametrize("host", ["h1", "h14"])
def test_a_host_that_is_cut_off_stops(hosts: int, host: str) -> None:
    """Guards against a host that goes on without limit while others use its share, or forever."""
    fleet = QuotaFleet(hosts, [Load(_workspace("w", 20.0), lambda now: 20.0)])
    fleet.run(3.0)
    fleet.cut({host})
    fleet.run(ALONE_LIMIT_S + 8.0)
    node = fleet.nodes[host]
    assert node.ledger.mode(fleet.now) is Mode.EXPIRED and not node.is_able(fleet.now)
    fleet.cut(set())
    fleet.run(4.0)
    assert node.ledger.mode(fleet.now) is Mode.DELEGATED and node.is_able(fleet.now)
    assert fleet.loads[0].largest_excess() <= 0


def _sums(follows: int, hosts: int, listed: int, admitted: int = 0) -> QuotaReport:
    return QuotaReport([admitted], [admitted], follows, hosts, listed, [KEY], 1, True)


def test_shares_of_unlisted_hosts_are_used_later() -> None:
    """Guards against a share that is given away while a host that was delisted still uses it."""
    state = Coordinator()
    limited = {KEY: Workspace("w", frozenset(), rate_per_s=10.0)}
    found = []
    for tenth in range(10 * int(UNLISTED_S + 3)):
        now = 100.0 + tenth / 10
        listed = 8 if now < 101.0 else 4
        state.add("r", _sums(make_stamp(now - 0.1), 4, listed), limited, {}, None, now)
        found.append((state.sharing, state.hosts))
    assert found[0] == found[-40] == (4, 8)
    assert found[-1] == (4, 4)


@pytest.mark.parametrize("rows", [([1, 2], [1]), ([], [3, 4]), ([-5], [-9])])
def test_reports_of_other_versions_are_harmless(rows: tuple[list[int], list[int]]) -> None:
    """Guards against a fault caused by a malformed message or an unknown workspace."""
    member = Member("h", "r", "z", False)
    node = QuotaNode(
        "h",
        "r",
        lambda host, message: True,
        lambda: (member,),
        lambda: {"r": 1},
        random.Random(1),
        0.0,
    )
    node.apply(make_document(_workspace("w", 1.0)), 0.0)
    node.step(1.0)
    for summed in (False, True):
        report = QuotaReport(*rows, 2**60, -4, -1, [7, 7, 7], 1, summed)
        node.on_report("h", report, 1.0)
        node.on_report("unknown", report, 1.0)
        limits = QuotaLimits("h", make_stamp(1.0), -1, rows[0], 1, rows[1], 0, False, summed)
        node.on_limits("h", limits, 1.0)
    assert node.coordinator.hosts >= 1
    assert node.ledger.hosts >= 0


def test_daemons_share_a_quota() -> None:
    """Guards against a service that is not wired, so that each host admits the whole quota."""

    async def scenario(fleet: PlatformFleet) -> tuple[list[int], list[object], object]:
        workspace = Workspace("w", frozenset(), rate_per_s=20.0, burst=5.0)
        document = make_document(workspace)
        quotas = [daemon.quota for daemon in fleet.daemons]
        for quota in quotas:
            assert quota is not None and quota.is_able()
            quota.apply(document)
            assert not quota.is_able()
        await trio.sleep(1.5)
        ready = [quota.is_able() for quota in quotas if quota]
        admitted = [0] * 3
        for _ in range(500):
            for index, quota in enumerate(quotas):
                admitted[index] += quota is not None and quota.admit(workspace) is None
            await trio.sleep(0.01)
        assert quotas[0] is not None
        return admitted, ready, quotas[0].page()

    admitted, ready, page = run_on_platform(scenario, entries=3, quota=True)
    assert ready == [True] * 3
    assert 0.8 * 100 <= sum(admitted) <= (20 * 5 + 5) * 1.1 + 20
    assert page["sharing_hosts"] == 3 and page["workspaces"][0]["admitted_share"] < 1


def test_hosts_that_start_together_do_not_take_themselves_for_the_fleet(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a whole quota on each host until it has read the list of hosts.

    Seen in a review: hosts that are ready before their first list admitted 323 requests in 2.5 s.
    """
    slow = "introduction_s = 0.3\nbootstrap_wait_s = 1.5"
    changed = platform_support.SETTINGS.replace("introduction_s = 0.2", slow)
    monkeypatch.setattr(platform_support, "SETTINGS", changed)

    async def scenario(fleet: PlatformFleet) -> int:
        workspace = Workspace("w", frozenset(), rate_per_s=20.0, burst=5.0)
        started = [fleet.start_daemon(index) for index in range(1, 7)]
        quotas = [daemon.quota for daemon in started if daemon.quota is not None]
        for quota in quotas:
            quota.apply(make_document(workspace))
        admitted = 0
        for _ in range(125):
            await trio.sleep(0.02)
            for quota in quotas:
                if quota.is_able():
                    admitted += sum(quota.admit(workspace) is None for _ in range(3))
        return admitted

    assert run_on_platform(scenario, quota=True) <= (20 * 5 + 5) * 1.1 + 20


@pytest.mark.parametrize("per_s", [3.0, 9.0, 60.0])
def test_a_host_admits_its_share_of_few_requests(per_s: float) -> None:
    """Guards against rejections within the quota on hosts that get a few requests each.

    Seen on 137 hosts: a workspace at 6 times its usual load got 0.6 of its quota.
    """
    rng = random.Random(1)
    ledger = HostLedger(137, rng, 0.0, lambda now: False)
    workspace = Workspace("w", frozenset(), rate_per_s=200.0, burst=200.0)
    now, next_report, admitted = 0.0, 0.0, 0
    while now < 200.0:
        now += rng.expovariate(per_s)
        while next_report <= now:
            ledger.record_report(next_report, True)
            ledger.update({KEY: 0.2}, 137, next_report, next_report + 1.0, False)
            next_report += 0.2
        admitted += ledger.admit(workspace, now) is None
    assert 0.8 <= admitted / (0.2 * per_s * 200.0) <= 1.2
