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


@pytest.mark.parametrize(("given", "enabled"), [({"quotaWindowS": 5}, True), ({}, False)])
def test_quotas_are_enforced_where_the_platform_has_a_window(
    given: dict[str, int], enabled: bool
) -> None:
    """Guards against quotas that are not enforced, or are in a deployment without them."""
    text = render(TEMPLATE.read_text(encoding="utf-8"), FIELDS | {"bounds": BOUNDS | given})
    assert parse_settings(text, "deploy").unwrap().flag("quota", "enabled") == enabled
