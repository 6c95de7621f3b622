"""Grants slots to other entry hosts, for the services that this host dispatches."""

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.wire import Acquire, Grant, Paces, Queued, Refuse, Release
from dotterelstand.process.selection.budgetedmesh import BudgetedMesh
from dotterelstand.process.selection.decisions import Decision, Granted, Refused
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.process.selection.queue import WaitingCall
from dotterelstand.process.selection.servicestate import ServiceState
from dotterelstand.process.selection.slotcodec import (
    unpack_regions,
    unpack_requirements,
    unpack_result,
)
from dotterelstand.process.selection.slotcounters import GrantServerCounters
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.version.model import Service


class GrantServer:
    """Handles slot requests from other hosts and tracks the calls that wait for or hold a slot."""

    __slots__ = ("_calls", "_mesh", "_numbers", "_services", "_tuning", "counters", "regions")

    def __init__(self, mesh: BudgetedMesh, tuning: SelectionTuning) -> None:
        self._mesh = mesh
        self._tuning = tuning
        self._services: list[Service] = []
        # Regions of the document, which number the bits of masks in messages.
        self.regions: tuple[str, ...] = ()
        # Numbers of the services in messages, by name.
        self._numbers: dict[str, int] = {}
        # Service state by host and call number; a host uses numbers below `max_calls`.
        self._calls: dict[str, dict[int, ServiceState]] = {}
        self.counters = GrantServerCounters()

    def apply(self, services: list[Service], regions: tuple[str, ...]) -> None:
        """Apply a new version of the document; `services` are sorted by name."""
        self.regions = regions
        self._services = services
        self._numbers = {service.name: number for number, service in enumerate(services)}

    def service(self, index: int) -> Service | None:
        """Service with this number, or None if there is none."""
        if 0 <= index < len(self._services):
            return self._services[index]
        self.counters.malformed += 1
        return None

    def find_state(self, host: str, number: int) -> ServiceState | None:
        """State of the service whose slot a call waits for or holds; None for an unknown call."""
        return self._calls.get(host, {}).get(number)

    def hosts(self) -> set[str]:
        """Hosts that have requested a slot and were not dropped since."""
        return set(self._calls)

    def drop_host(self, host: str) -> None:
        """Drop the calls of a lost host."""
        self._calls.pop(host, None)

    def acquire(
        self, state: ServiceState, host: str, message: Acquire, now: float
    ) -> list[Decision]:
        """Handle a request for a slot."""
        requirements = unpack_requirements(message.need)
        if requirements is None or message.call < 0:
            self.counters.malformed += 1
            return []
        if message.call >= self._tuning.max_calls:
            # Hosts reuse the lowest free number, so a number this high means too many open calls.
            self.counters.table_full += 1
            return []
        key = (host, message.call)
        self._calls.setdefault(host, {})[message.call] = state
        regions = unpack_regions(message.within_regions, self.regions)
        if regions is None:
            # The host chooses a target itself; an older call with this number has ended.
            ended = state.regional.finish(key, AttemptOutcome.CANCELLED, 0.0, None, now)
            return [*ended, Refused(key, ResultCode.NO_TARGET)]
        remaining_s = (
            requirements.remaining_s
            if requirements.remaining_s is not None
            else self._tuning.grant_life_s
        )
        zone = self._mesh.zone(host)
        call = WaitingCall(
            key,
            requirements.klass,
            requirements.workspace,
            now,
            now + remaining_s,
            zone=zone,
            no_wait=requirements.no_wait,
        )
        if message.within_ms:
            call.start_by = now + message.within_ms / 1000
        call.regions = regions
        decisions = state.regional.submit(call, now)
        if state.regional.is_queued(key):
            self._mesh.send(host, Queued([message.call]), now)
        return decisions

    def end_call(self, host: str, number: int, now: float) -> list[Decision]:
        """End a call without an outcome; returns decisions on other waiting calls."""
        state = self._calls[host].pop(number)
        key = (host, number)
        return state.regional.finish(key, AttemptOutcome.CANCELLED, 0.0, None, now)

    def notify_holders(self, state: ServiceState, target: int, slowdown: float, now: float) -> None:
        """Tell the hosts with a call at a target that it is slow, each call's host once."""
        holders = state.regional.take_holders_to_notify(target) - {self._mesh.host}
        number = self._numbers[state.service.name]
        index = state.service.targets[target].index
        message = Paces([round(100 * slowdown)], number, [index])
        for host in sorted(holders):
            self._mesh.send(host, message, now)

    def send_queued_notices(self, states: list[ServiceState], now: float) -> None:
        """Send each host a notice of its calls that are still queued."""
        waiting: dict[str, list[int]] = {}
        for state in states:
            for host, number in state.regional.queued_keys():
                if host != self._mesh.host:
                    waiting.setdefault(host, []).append(number)
        for host, numbers in waiting.items():
            self._mesh.send(host, Queued(numbers), now)

    def release(
        self, state: ServiceState, host: str, message: Release, now: float
    ) -> list[Decision]:
        """Handle the release of a slot."""
        result = unpack_result(message.result)
        if result is None:
            self.counters.malformed += 1
            return []
        del self._calls[host][message.call]
        key = (host, message.call)
        return state.regional.finish(key, result.kind, result.duration_s, None, now)

    def send_decision(self, state: ServiceState, decision: Decision, now: float) -> list[Decision]:
        """Send a decision; if a grant cannot be sent, free its slot and return new decisions."""
        host, number = decision.key
        if isinstance(decision, Granted):
            target = state.service.targets[decision.target]
            slowdown = round(100 * state.regional.slowdown(decision.target))
            if self._mesh.send(host, Grant(number, target.index, slowdown), now):
                self.counters.grants_sent += 1
                return []
            self.counters.answers_unsent += 1
            self._calls.get(host, {}).pop(number, None)
            return state.regional.finish(decision.key, AttemptOutcome.CANCELLED, 0.0, None, now)
        self._calls.get(host, {}).pop(number, None)
        retry_ms = round(1000 * (decision.retry_after_s or 0.0))
        if self._mesh.send(host, Refuse(number, int(decision.code), retry_ms), now):
            self.counters.refusals_sent += 1
        else:
            self.counters.answers_unsent += 1
        return []
