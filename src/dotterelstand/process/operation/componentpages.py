"""Control pages and counters of the daemon's components."""

from collections.abc import Iterable

import trio

from dotterelstand.process.operation.control import ControlRegistry
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.peering.peers import Peers
from dotterelstand.process.selection.dispatcher import Dispatcher
from dotterelstand.process.selection.measure import MeasureBudget
from dotterelstand.process.selection.slots import SlotBroker
from dotterelstand.process.selection.targethealth import TargetHealth
from dotterelstand.process.telemetry.counters import read_counters, sum_counters
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import Settings


def register_component_pages(
    registry: ControlRegistry,
    metrics: Metrics,
    settings: Settings,
    peers: Peers,
    slots: SlotBroker,
) -> None:
    """Register the control pages and counters of membership and target selection."""
    registry.provide("members", lambda: [_member_row(member) for member in peers.members()])
    registry.provide(
        "budgets.measure", lambda: _measure_budget(slots.budget, settings, peers.members())
    )
    metrics.add_source(lambda: read_counters(slots.budget.counters))
    metrics.add_source(lambda: read_counters(slots.core.counters))
    metrics.add_source(lambda: read_counters(slots.core.grant_server_counters))
    metrics.add_source(lambda: _dispatcher_counters(slots))


def target_states(slots: SlotBroker, service: str) -> dict[str, dict[str, object]]:
    """State of each target of a service by target name; empty if the service was never used."""
    state = slots.core.services.find(service)
    if state is None:
        return {}
    # A regional dispatcher sees the requests of all entry hosts, a local one only those of its own
    # host. The regional state is shown if this host has granted slots for its region.
    is_dispatcher = state.regional.counters.granted > 0
    chosen: Dispatcher = state.regional if is_dispatcher else state.local
    now = trio.current_time()
    return {
        health.name: _health_row(health, now, is_dispatcher) for health in _target_health(chosen)
    }


def _target_health(dispatcher: Dispatcher) -> Iterable[TargetHealth]:
    for table in dispatcher.tables:
        yield from table.targets


def _health_row(health: TargetHealth, now: float, is_dispatcher: bool) -> dict[str, object]:
    state = "usable"
    if health.leaving:
        state = "leaving"
    elif health.ejected_until is not None:
        state = f"ejected for {max(0.0, health.ejected_until - now):.1f} s"
    elif health.allowance < health.slots:
        state = "cold"
    return {
        "state": state,
        "in_flight": health.in_flight,
        "allowance": health.allowance,
        "failure_share": round(health.failure_rate, 3),
        "duration_ms": round(health.duration_s * 1000, 2),
        "view": "dispatcher" if is_dispatcher else "local",
    }


def _member_row(member: Member) -> dict[str, object]:
    return {
        "host": member.host,
        "region": member.region,
        "availability_zone": member.availability_zone,
        "leaving": member.leaving,
        "hub": member.hub,
    }


def _measure_budget(
    budget: MeasureBudget, settings: Settings, members: tuple[Member, ...]
) -> dict[str, object]:
    own = settings.text("host", "region")
    regions = sorted({member.region for member in members} - {own})
    host_limit = settings.integer("measure", "bytes_per_s")
    other_limit = settings.integer("measure", "cross_region_bytes_per_s")
    links = [_link_budget("all", budget.peak_bytes(), host_limit)]
    links += [_link_budget(f"to {name}", budget.peak_bytes(name), other_limit) for name in regions]
    return {"links": links, **read_counters(budget.counters)}


def _link_budget(name: str, peak_bytes: int, limit: int) -> dict[str, object]:
    return {"link": name, "peak_bytes_per_s": peak_bytes, "budget_bytes_per_s": limit}


def _dispatcher_counters(slots: SlotBroker) -> dict[str, int]:
    states = slots.core.services.all()
    return sum_counters(
        [part.counters for state in states for part in (state.local, state.regional)]
    )
