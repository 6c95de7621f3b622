"""The settings template of `deploy/` with fields that a platform may leave out."""

from pathlib import Path
from typing import Any

import pytest
from soak.template import render

from dotterelstand.settings import parse_settings

TEMPLATE = Path(__file__).parents[1] / "deploy" / "settings.toml"
FIELDS: dict[str, Any] = {
    "nodeName": "entry-1",
    "region": "r0",
    "zone": "z0",
    "ip": "127.0.0.1",
    "zones": {"z0": "r0"},
    "limits": {"cores": 1, "cpuShare": 0.86},
    "listen": {"frontend": "127.0.0.1:8080", "readiness": "127.0.0.1:8542"},
    "internalPorts": [7540, 7555],
    "provider": {"address": "127.0.0.1:8541"},
    "bootstrap": True,
}
BOUNDS = {"retryBudgetRatio": 0.2, "retrySlack": 60}


@pytest.mark.parametrize(("given", "limit_s"), [({"graceS": 6}, 6.0), ({}, 0.0)])
def test_time_limit_of_a_stop_may_be_left_out(given: dict[str, int], limit_s: float) -> None:
    """Guards against a daemon that does not start since a field of the platform is missing.

    The settings of the review's scripts have no time limit of a stop.
    """
    text = render(TEMPLATE.read_text(encoding="utf-8"), FIELDS | {"bounds": BOUNDS | given})
    settings = parse_settings(text, "deploy").unwrap()
    assert settings.number("listen", "stop_limit_s") == limit_s


@pytest.mark.parametrize(("given", "enabled"), [({"evacuateS": 5}, True), ({}, False)])
def test_evacuations_are_followed_if_the_platform_names_a_time(
    given: dict[str, int], enabled: bool
) -> None:
    """Guards against store calls for evacuations on a platform without them, and the reverse."""
    text = render(TEMPLATE.read_text(encoding="utf-8"), FIELDS | {"bounds": BOUNDS | given})
    assert parse_settings(text, "deploy").unwrap().flag("evacuation", "enabled") is enabled


@pytest.mark.parametrize(
    ("given", "strict", "limit_s"),
    [
        ({"strictRevocation": True, "revokeS": 6}, True, 6.0),
        ({"strictRevocation": False, "revokeS": 6}, False, 5.0),
        ({}, False, 5.0),
    ],
)
def test_strict_revocation_may_be_left_out(
    given: dict[str, Any], strict: bool, limit_s: float
) -> None:
    """Guards against proofs that are required, or left out, against the platform's bounds."""
    text = render(TEMPLATE.read_text(encoding="utf-8"), FIELDS | {"bounds": BOUNDS | given})
    settings = parse_settings(text, "deploy").unwrap()
    assert settings.flag("access", "strict_revocation") is strict
    assert settings.number("access", "revocation_limit_s") == limit_s


@pytest.mark.parametrize(
    ("given", "memory_mb"), [({"memoryMb": 200}, 200), ({"memoryMb": 199.5}, 199.5), ({}, 0)]
)
def test_memory_of_the_host_may_be_left_out(given: dict[str, float], memory_mb: float) -> None:
    """Guards against a host with little memory that doesn't bound what its callers send."""
    fields = FIELDS | {"bounds": BOUNDS, "limits": FIELDS["limits"] | given}
    settings = parse_settings(render(TEMPLATE.read_text(encoding="utf-8"), fields), "deploy")
    assert settings.unwrap().number("host", "memory_mb") == memory_mb


@pytest.mark.parametrize(("given", "enabled"), [({"quotaWindowS": 5}, True), ({}, False)])
def test_quotas_are_enforced_where_the_platform_has_a_window(
    given: dict[str, int], enabled: bool
) -> None:
    """Guards against quotas that are not enforced, or are in a deployment without them."""
    text = render(TEMPLATE.read_text(encoding="utf-8"), FIELDS | {"bounds": BOUNDS | given})
    assert parse_settings(text, "deploy").unwrap().flag("quota", "enabled") == enabled
