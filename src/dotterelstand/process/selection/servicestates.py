"""State of the services in use on one entry host, and the leaving targets."""

import random

from dotterelstand.process.selection.balancer import LeastOccupied, TwoChoices
from dotterelstand.process.selection.dispatcher import Dispatcher
from dotterelstand.process.selection.servicestate import ServiceState
from dotterelstand.process.selection.slotcodec import MAX_CLASSES
from dotterelstand.process.selection.tuning import SelectionTuning
from dotterelstand.version.model import Document, Service, Target

MAX_LEAVING_TARGETS = 8192
# With at most this many services, the state of each is created at the start. With more, it is
# created at the first request to the service, because creating all would delay the start.
MAX_EAGER_SERVICES = 64


class ServiceStates:
    """State of each service in use; times are in seconds."""

    __slots__ = (
        "_active",
        "_leaving",
        "_paces_cold",
        "_random",
        "_region",
        "_region_only_classes",
        "_states",
        "_tuning",
    )

    def __init__(self, region: str, tuning: SelectionTuning, rng: random.Random) -> None:
        self._region = region
        self._tuning = tuning
        self._random = rng
        self._states: dict[str, ServiceState] = {}
        self._active: dict[str, ServiceState] = {}
        # Incarnation of each leaving target, 0 until this host knows one.
        self._leaving: dict[str, int] = {}
        self._region_only_classes: frozenset[int] = frozenset()
        self._paces_cold = False

    def all(self) -> list[ServiceState]:
        """States of all services in use."""
        return list(self._states.values())

    def find(self, service: str) -> ServiceState | None:
        """State of a service, or None if it is not in use."""
        return self._states.get(service)

    def calls(self, service: str) -> int | None:
        """Number of calls dispatched for the region so far, or None if a service is not in use."""
        state = self._states.get(service)
        return None if state is None else state.regional.calls

    def activate(self, service: Service) -> ServiceState:
        """State of a service, created if needed and active until the next `pop_active`."""
        state = self._states.get(service.name)
        if state is None:
            state = self._states[service.name] = self._create(service)
        self._active[service.name] = state
        return state

    def pop_active(self) -> list[ServiceState]:
        """Remove and return the states that became active since the last call."""
        active = list(self._active.values())
        self._active.clear()
        return active

    def apply(self, document: Document, services: list[Service], now: float) -> list[ServiceState]:
        """Apply a new version of the document; `services` are sorted by name.

        Returns the states of the services that are not in the document any more.
        """
        removed = [state for name, state in self._states.items() if name not in document.services]
        for state in removed:
            del self._states[state.service.name]
            self._active.pop(state.service.name, None)
        for name, state in self._states.items():
            if state.update_service(document.services[name], now):
                # A target that comes back under its former incarnation is still leaving.
                self._mark_leaving_targets(state)
        if len(services) <= MAX_EAGER_SERVICES:
            for service in services:
                self.activate(service)
        bulk_numbers = (document.classes.index(klass) for klass in document.bulk_classes)
        self._region_only_classes = frozenset(
            min(number, MAX_CLASSES - 1) for number in bulk_numbers
        )
        for state in self._states.values():
            state.restrict_to_region(self._region_only_classes)
            state.set_paces_cold(self._paces_cold, now)
            for dispatcher in (state.regional, state.local):
                # Warm-up times of new targets begin now.
                dispatcher.advance_health(now)
        return removed

    def find_target(self, service: str, index: int) -> tuple[ServiceState | None, int | None]:
        """State of a service and position of a target in it; each None if unknown."""
        state = self._states.get(service)
        return state, None if state is None else state.service.position_of(index)

    def record_unreachable(self, service: str, target: Target, now: float) -> None:
        """Count an unanswered health probe of a target as a failure."""
        state, position = self.find_target(service, target.index)
        if state is not None and position is not None:
            state.regional.record_unreachable(position, now)

    def record_warmup(self, service: str, target: Target, remaining_s: float, now: float) -> bool:
        """Record a target's remaining warm-up time; True if its report turned cold or warm."""
        state = self._states.get(service)
        return state is not None and state.record_warmup(target, remaining_s, now)

    def set_paces_cold(self, paces: bool, now: float) -> None:
        """Set whether this host, as a dispatcher, sends requests to cold targets."""
        self._paces_cold = paces
        for state in self._states.values():
            state.set_paces_cold(paces, now)

    def is_leaving(self, target: Target) -> bool:
        """Whether a target takes no new work."""
        return self._leaving.get(target.name) in (0, target.incarnation)

    def mark_leaving(self, target: str, incarnation: int = 0) -> bool:
        """Give a target no new work; True if it was not leaving before.

        The incarnation is the time of the target's start, and the latest counts. 0 stands for the
        one that this host knows, since other hosts tell only the name.
        """
        if not incarnation:
            incarnation = max((s.incarnation_of(target) for s in self._states.values()), default=0)
        known = self._leaving.get(target)
        if known is not None and (known == 0 or 0 < incarnation <= known):
            return False
        while known is None and len(self._leaving) >= MAX_LEAVING_TARGETS:
            del self._leaving[next(iter(self._leaving))]
        self._leaving[target] = incarnation
        for state in self._states.values():
            state.mark_leaving(target, incarnation)
        return True

    def mark_returned(self, target: str) -> bool:
        """Let a target that is live again take new work; True if it was leaving."""
        if target not in self._leaving:
            return False
        del self._leaving[target]
        for state in self._states.values():
            state.mark_returned(target)
        return True

    def _create(self, service: Service) -> ServiceState:
        state = ServiceState(
            service,
            Dispatcher(service, self._region, self._tuning, TwoChoices(self._random)),
            Dispatcher(service, self._region, self._tuning, LeastOccupied(self._random)),
            self._tuning.answer_grace_s,
        )
        self._mark_leaving_targets(state)
        # The time does not matter, since no target has a bucket yet.
        state.set_paces_cold(self._paces_cold, 0.0)
        state.restrict_to_region(self._region_only_classes)
        return state

    def _mark_leaving_targets(self, state: ServiceState) -> None:
        for target in state.service.targets if self._leaving else ():
            if self.is_leaving(target):
                self._leaving[target.name] = target.incarnation
                state.mark_leaving(target.name, target.incarnation)
