"""Callers that follow the platform's rules for repeating requests."""

import uuid

import trio

from dotterelstand.bench.soakcallers import AttemptResult, Callers, Request
from dotterelstand.codes import Execution

# Statuses that guarantee that the request did not run and will not run later.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DEADLINE_MS = 4000


class PlatformCallers(Callers):
    """Repeats lookups after any failure, and others only if the status rules out that they ran."""

    def may_retry(self, request: Request, result: AttemptResult) -> bool:
        """Whether a request may be sent again without the risk of a second execution."""
        return request.kind == "prices" or result.status in NOT_RUN_STATUSES

    def header_fields(self, request: Request) -> list[tuple[str, str]]:
        """Return request id and deadline headers; each attempt has its own id."""
        return [
            ("x-dotterelstand-request-id", uuid.uuid4().hex),
            ("x-dotterelstand-deadline-ms", str(DEADLINE_MS)),
        ]

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
