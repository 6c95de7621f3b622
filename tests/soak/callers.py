"""Callers that follow the platform's rules for repeating requests."""

import random
import uuid

import trio

from dotterelstand.bench.soakcallers import AttemptResult, Callers, Request
from dotterelstand.bench.soakfleet import EntryHost, SoakFleet
from dotterelstand.codes import Execution

# Statuses that guarantee that the request did not run and will not run later.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DEADLINE_MS = 4000
# Time within which a configuration must be in force on a host without a fault.
MAX_APPLY_S = 2.0


class PlatformCallers(Callers):
    """Repeats lookups after any failure, and others only if the status rules out that they ran."""

    __slots__ = ("unready",)

    def __init__(self, fleet: SoakFleet, nursery: trio.Nursery, rng: random.Random) -> None:
        super().__init__(fleet, nursery, rng)
        # Seconds by which hosts without a fault were late to be ready when no host of their region
        # was ready.
        self.unready: dict[str, float] = {}

    def may_retry(self, request: Request, result: AttemptResult) -> bool:
        """Whether a request may be sent again without the risk of a second execution."""
        return request.kind == "prices" or result.status in NOT_RUN_STATUSES

    def header_fields(self, request: Request) -> list[tuple[str, str]]:
        """Return request id and deadline headers; each attempt has its own id."""
        return [
            ("x-dotterelstand-request-id", uuid.uuid4().hex),
            ("x-dotterelstand-deadline-ms", str(DEADLINE_MS)),
        ]

    def _choose_host(self, region: int) -> EntryHost | None:
        host = super()._choose_host(region)
        if host is None:
            self._note_unready(region)
        return host

    def _note_unready(self, region: int) -> None:
        now = trio.current_time()
        for host in self._fleet.running_hosts():
            if host.region == region and host.stop_began_at is None:
                late_s = now - self._fleet.fault_free_since(host.name, now) - MAX_APPLY_S
                if late_s > self.unready.get(host.incarnation_id, 0.0):
                    self.unready[host.incarnation_id] = late_s

    async def _attempt(self, request: Request, host) -> AttemptResult:  # type: ignore[no-untyped-def]
        result = await super()._attempt(request, host)
        if result.status in NOT_RUN_STATUSES:
            # The status guarantees that the request did not run, whatever the
            # `dotterelstand-run` header says.
            result.run = Execution.NOT_RUN.value
        return result

    async def send_lookup(self, host, path: str) -> AttemptResult:  # type: ignore[no-untyped-def]
        """Send one lookup to one host, without a repeat."""
        request = Request("prices", path, "", trio.current_time())
        result = await self._attempt(request, host)
        request.attempts.append(result)
        self.requests.append(request)
        return result
