"""Choice of the targets and configuration in force, and decoding of the platform's objects."""

import copy
from typing import Any

import pytest
from platform_standin import configuration, route, server_entry
from returns.pipeline import is_successful

from dotterelstand.platform.decode import parse_configuration, parse_host, parse_target
from dotterelstand.process.discovery.catalogue import LAPSED_GRACE_S, Catalogue, ServiceDefaults
from dotterelstand.process.discovery.registry import Entry
from dotterelstand.request.fields import parse_load_report
from dotterelstand.request.split import TrafficSplits

SERVICE_DEFAULTS = ServiceDefaults(True, 0.2, 4, 10.0)


def _entry(name: str, **changes: Any) -> Entry:  # type: ignore[type-arg]
    return Entry(name, parse_target(name, server_entry("s", "10.1.0.1:80", **changes)).unwrap())


def _catalogue() -> Catalogue:
    catalogue = Catalogue({"local-1": "local"}, SERVICE_DEFAULTS)
    assert catalogue.update_configuration(
        parse_configuration(configuration(7, route("s"))).unwrap()
    )
    return catalogue


def _names(catalogue: Catalogue) -> list[str]:
    document = catalogue.document()
    assert document is not None
    return [target.name for target in document.services["s"].targets]


DAMAGED_TARGETS: list[dict[str, Any]] = [
    {"address": "10.1.0.1"},
    {"address": 7},
    {"info": None},
    {"info": {"service": "s", "zone": "local-1"}},
    {"status": {"state": "lost", "sequence": 1, "warmupLeftS": 0}},
    {"status": {"state": "ready", "sequence": 1, "warmupLeftS": "no"}},
    {"status": {"state": "ready", "sequence": True, "warmupLeftS": 0}},
    {"born": 1.5},
]


@pytest.mark.parametrize("damage", [*DAMAGED_TARGETS, "text", None, [1]])
def test_malformed_target_registration_is_rejected(damage: Any) -> None:
    """Guards against use of an entry with missing or invalid fields, and against an exception."""
    spec: Any = damage
    if isinstance(damage, dict):
        spec = {**server_entry("s", "10.1.0.1:80"), **damage}
    assert not is_successful(parse_target("i-0", spec))


CONFIGURATION_DAMAGE: list[Any] = [
    lambda body: body.pop("version"),
    lambda body: body.update(version="7"),
    lambda body: body.update(resources={}),
    lambda body: body["resources"][0]["spec"].update(service="unknown"),
    lambda body: body["resources"][0]["spec"].update(pathPrefix="/a"),
    lambda body: body["resources"][0]["spec"].pop("timeoutS"),
    lambda body: body["resources"][0]["spec"].update(attempts=0),
    lambda body: body["resources"][0].update(spec=[]),
    lambda body: body["resources"].append("text"),
]


@pytest.mark.parametrize("damage", range(len(CONFIGURATION_DAMAGE)))
def test_damaged_configuration_is_rejected_as_a_whole(damage: int) -> None:
    """Guards against a configuration that is only partly in force."""
    body = copy.deepcopy(configuration(9, route("s")))
    CONFIGURATION_DAMAGE[damage](body)
    assert not is_successful(parse_configuration(body))


def test_configuration_is_not_replaced_by_an_older_one() -> None:
    """Guards against a return to an older version that arrives in a late answer."""
    catalogue = _catalogue()
    assert not catalogue.update_configuration(
        parse_configuration(configuration(6, route("s"))).unwrap()
    )
    assert not catalogue.update_configuration(
        parse_configuration(configuration(7, route("s"))).unwrap()
    )
    assert catalogue.update_configuration(
        parse_configuration(configuration(8, route("s"))).unwrap()
    )


@pytest.mark.parametrize(
    ("kind", "idempotent", "bulk"),
    [("safe", True, False), ("unsafe", False, False), ("upload", False, True), ("new", False, 0)],
)
def test_route_type_decides_whether_requests_are_repeatable(
    kind: str, idempotent: bool, bulk: bool
) -> None:
    """Guards against retries of requests whose route type isn't known to be idempotent."""
    decoded = parse_configuration(configuration(7, route("s", kind=kind))).unwrap()
    assert decoded.routes[0].idempotent is idempotent
    assert (decoded.routes[0].klass in decoded.bulk_classes) == bool(bulk)


def test_targets_missing_after_a_platform_outage_get_a_grace_period() -> None:
    """Guards against removal of live targets whose registrations expired during an outage."""
    catalogue = _catalogue()
    catalogue.replace_targets([_entry("i-0"), _entry("i-1"), _entry("i-2", state="draining")], 0.0)
    assert _names(catalogue) == ["i-0", "i-1"]
    catalogue.mark_platform_unavailable()
    catalogue.mark_platform_available(10.0)
    catalogue.replace_targets([_entry("i-1")], 10.0)
    assert _names(catalogue) == ["i-0", "i-1"]
    assert catalogue.next_expiry() == 10.0 + LAPSED_GRACE_S
    assert catalogue.expire(10.0 + LAPSED_GRACE_S)
    assert _names(catalogue) == ["i-1"]


@pytest.mark.parametrize(("missing", "kept"), [(1, False), (2, False), (3, True), (6, True)])
def test_few_targets_missing_after_a_platform_outage_are_removed_at_once(
    missing: int, kept: bool
) -> None:
    """Guards against requests to targets that left while only this host had no platform access."""
    catalogue = _catalogue()
    entries = [_entry(f"i-{number}") for number in range(9)]
    catalogue.replace_targets(entries, 0.0)
    catalogue.mark_platform_unavailable()
    catalogue.mark_platform_available(10.0)
    catalogue.replace_targets(entries[missing:], 10.0)
    assert len(_names(catalogue)) == (9 if kept else 9 - missing)


def test_target_removed_without_a_platform_outage_is_dropped_at_once() -> None:
    """Guards against requests to a target whose registration was removed."""
    catalogue = _catalogue()
    catalogue.replace_targets([_entry("i-0"), _entry("i-1")], 0.0)
    catalogue.change_targets([Entry("i-0", None, removed=True)], 1.0)
    assert _names(catalogue) == ["i-1"]
    catalogue.change_targets([_entry("i-0")], 2.0)
    assert _names(catalogue) == ["i-0", "i-1"]


def test_a_damaged_host_entry_is_ignored() -> None:
    """Guards against links to addresses from malformed entries."""
    assert not is_successful(parse_host("e", {"address": "10.0.0.1", "port": "7"}))


@pytest.mark.parametrize(
    ("value", "requests", "pace"),
    [(b"3", 3, 1.0), (b"3,2,8", 5, 1.0), (b"1,0,2,400", 1, 4.0)],
)
def test_load_reports_are_read(value: bytes, requests: int, pace: float) -> None:
    """Guards against load reports read without queued requests, or with fields mixed up."""
    report = parse_load_report(value)
    assert report is not None and (report.requests, report.slowdown) == (requests, pace)


@pytest.mark.parametrize("value", [b"", b"x", b"-1", b"1,,2", b"1,2,3,4e2", b"9999999"])
def test_malformed_load_reports_are_ignored(value: bytes) -> None:
    """Guards against a request that fails because of a malformed load report."""
    assert parse_load_report(value) is None


def test_a_split_follows_its_weights_from_the_first_requests() -> None:
    """Guards against traffic shares that are right only over thousands of requests."""
    parts = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    body = configuration(7, route("s", trafficSplit=parts), services=("s", "t"))
    decoded = parse_configuration(body).unwrap()
    counts = TrafficSplits()
    chosen = [counts.choose(decoded.routes[0]) for _ in range(40)]
    assert chosen.count("t") == 4
    assert [chosen[start : start + 10].count("t") for start in (0, 10, 20, 30)] == [1, 1, 1, 1]
