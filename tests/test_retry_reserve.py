"""The retry budgets of all entry hosts together stay within the budget of the fleet."""

import random

import pytest

from dotterelstand.connection.wire import Hello
from dotterelstand.process.peering.membership import ListedHost, Membership
from dotterelstand.process.peering.mesh import Member
from dotterelstand.request.policy import BUDGET_WINDOW_S, RetryBudget
from dotterelstand.request.retryreserve import RESERVE_SHARE, RetryReserve

SHARE = 0.2


def _budgets(hosts: int, slack: float) -> list[RetryBudget]:
    return [
        RetryBudget(
            SHARE, 0.0, RetryReserve(slack, BUDGET_WINDOW_S, lambda: hosts, random.Random(host))
        )
        for host in range(hosts)
    ]


def _taken(budgets: list[RetryBudget], requests_per_window: int, windows: int) -> list[int]:
    """Retries of all hosts in each window, while every host wants one for each request and more."""
    rng = random.Random(1)
    taken = []
    for window in range(windows):
        arrivals = sorted(
            (window * BUDGET_WINDOW_S + rng.random() * BUDGET_WINDOW_S, rng.randrange(len(budgets)))
            for _ in range(requests_per_window)
        )
        count = 0
        for now, host in arrivals:
            budgets[host].count_request(now)
            count += sum(budgets[host].try_take(now) for _ in range(4))
        taken.append(count)
    return taken


@pytest.mark.parametrize(
    ("hosts", "slack", "requests_per_window"),
    [(16, 60, 290), (116, 186, 314), (312, 430, 340), (312, 430, 2360), (312, 430, 20)],
)
def test_the_sum_over_the_fleet_stays_within_its_budget(
    hosts: int, slack: float, requests_per_window: int
) -> None:
    """Guards against 2.5 retries in 10 s on each of 312 hosts, 780 where the fleet has 430."""
    for taken in _taken(_budgets(hosts, slack), requests_per_window, 20):
        assert taken <= SHARE * requests_per_window + slack


@pytest.mark.parametrize(("hosts", "slack"), [(116, 186), (312, 430)])
def test_a_share_of_less_than_one_retry_is_not_lost(hosts: int, slack: float) -> None:
    """Guards against a large fleet that never retries since each host rounds its budget down."""
    requests = hosts
    taken = _taken(_budgets(hosts, slack), requests, 50)
    # Only hosts with a request in a window can use their part of it.
    mean = sum(taken) / len(taken)
    assert mean >= 0.5 * (SHARE * requests + RESERVE_SHARE * slack)


def test_no_reserve_without_slack() -> None:
    """Guards against a random retry on hosts that have no reserve."""
    reserve = RetryReserve(0.0, BUDGET_WINDOW_S, lambda: 1, random.Random(1))
    assert reserve.spare(5.0) == 0.0


@pytest.mark.parametrize(
    ("known", "regions", "size"),
    [
        ({}, {"r0", "r1", "r2"}, 3),
        ({"r0": 9}, {"r0", "r1", "r2"}, 30),
        ({"r0": 4, "r1": 5, "r2": 6}, {"r0", "r1", "r2"}, 16),
        ({"r0": 4}, set(), 5),
    ],
)
def test_a_host_estimates_the_regions_that_it_does_not_know(
    known: dict[str, int], regions: set[str], size: int
) -> None:
    """Guards against a host that takes its region's hosts for the whole fleet."""
    membership = Membership(Member("own", "r0", "z", False), 1, 3.0, 100)
    hosts = [
        ListedHost(f"{region}-{n}", "10.0.0.1", 1, False, region)
        for region, count in known.items()
        for n in range(count)
    ]
    membership.update_host_list(hosts, 0.0)
    assert membership.estimate_fleet_size(regions) == size
    for host in hosts[:1]:
        membership.admit(Hello("", "", 100, host.host, 1, 1, host.region), 1.0)
        membership.record_goodbye(host.host, 1)
        assert membership.estimate_fleet_size(regions) <= size
