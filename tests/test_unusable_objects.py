"""Objects of the platform with values that no part of a daemon can use."""

from typing import Any

import pytest
import trio
from platform_standin import PAGE_OBJECTS, configuration, route, server_entry, tenant
from platform_support import PlatformFleet, run_on_platform
from support_logs import EventCollector

from dotterelstand.events import Event

# JSON limits neither the digits of a number nor its exponent; the latter gives an infinite one.
LONG_NUMBER = 10**400
INFINITE = float("inf")
# JSON may escape half of a surrogate pair alone; the text that results cannot be encoded.
SURROGATE = "\ud800"
TARGET = "10.1.0.9:80"
HOST = {"address": "10.0.9.9", "port": 7540, "region": "local", "availability_zone": "local-1"}

UNUSABLE = {
    "target's number": ("servers", "i-9", server_entry("s", TARGET, warmupLeftS=LONG_NUMBER)),
    "route's number": ("config", "main", configuration(8, route("s", timeoutS=LONG_NUMBER))),
    "route's infinite number": ("config", "main", configuration(8, route("s", timeoutS=INFINITE))),
    "target's name": ("servers", f"i{SURROGATE}", server_entry("s", TARGET)),
    "service's name": ("config", "main", configuration(8, services=("s", f"t{SURROGATE}"))),
    "host's name": ("dotterelstand-hosts-local", f"h{SURROGATE}", HOST | {"capacity": 1.0}),
    "target's port": ("servers", "i-9", server_entry("s", "10.1.0.9:\u00b2")),
    "target's long port": ("servers", "i-9", server_entry("s", "10.1.0.9:" + "9" * 5000)),
}

SECRET = "secret-key"
# Resources of workspaces that make a configuration unusable.
WORKSPACES: dict[str, tuple[dict[str, Any], ...]] = {
    "key of two": (tenant("a", SECRET), tenant("b", "other", SECRET)),
    "name of two": (tenant("a", SECRET), tenant("a", "other")),
    "no name": (tenant("", SECRET),),
    "name with a line break": (tenant("a\r\nx: y", SECRET),),
    "name that ends with a space": (tenant("a ", SECRET),),
    "negative rate": (tenant("a", SECRET, ratePerS=-1),),
    "negative burst": (tenant("a", SECRET, burst=-0.5),),
    "negative priority": (tenant("a", SECRET, priority=-1),),
    "key that is not ASCII": (tenant("a", SECRET + "\u00e9"),),
    "keys that are no list": (tenant("a", apiKeys=SECRET),),
    "regions that are no names": (tenant("a", SECRET, allowedRegions=[1]),),
    "spec that is no table": ({**tenant("a"), "spec": [SECRET]},),
    "resource that is no table": ([SECRET],),  # type: ignore[dict-item]
}
UNUSABLE |= {
    case: ("config", "main", configuration(8, route("s"), *resources))
    for case, resources in WORKSPACES.items()
}


@pytest.mark.parametrize("case", UNUSABLE)
def test_object_with_an_unusable_value_is_left_out(case: str) -> None:
    """Guards against daemons that all end, or follow no other object, since one cannot be used."""
    kind, name, spec = UNUSABLE[case]

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put(kind, name, spec)
        await trio.sleep(5.0)
        for _ in range(10):
            assert (await fleet.call()).status == 200
        fleet.register(0, state="draining")
        await trio.sleep(5.0)
        runs = len(fleet.instances[0].runs)
        for _ in range(10):
            assert (await fleet.call()).status == 200
        assert len(fleet.instances[0].runs) == runs

    with EventCollector() as lines:
        run_on_platform(scenario, health_interval_s=0.1)
    assert lines.lines_of(Event.OBJECT_UNREADABLE)
    assert SECRET not in str(lines.events), "a key was logged"


def test_page_that_ends_with_an_unusable_name_leaves_the_daemon_running() -> None:
    """Guards against a daemon that ends since it cannot ask for the page behind such a name."""

    async def scenario(fleet: PlatformFleet) -> None:
        for index in range(PAGE_OBJECTS - len(fleet.instances) - 1):
            fleet.store.put("servers", f"j-{index}", {})
        for name in (f"k{SURROGATE}", f"l{SURROGATE}"):
            fleet.store.put("servers", name, {})
        fleet.start_daemon(1)
        await trio.sleep(5.0)
        assert (await fleet.call()).status == 200

    run_on_platform(scenario)
