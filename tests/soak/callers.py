"""Callers of the platform: they repeat what may be repeated and keep connections."""

import uuid

import trio

from dotterelstand.bench.soakcallers import AttemptResult, Callers, Request
from dotterelstand.codes import Execution

# Statuses that promise that the request did not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
DEADLINE_MS = 4000


class PlatformCallers(Callers):
    """Repeats lookups freely, and other requests only after a promise that they did not run."""

    def may_retry(self, request: Request, told: AttemptResult) -> bool:
        """Whether sending the request again cannot run it twice."""
        return request.kind == "prices" or told.status in PROMISES

    def header_fields(self, request: Request) -> list[tuple[str, str]]:
        """Id and deadline; each attempt has an id of its own."""
        return [
            ("x-dotterelstand-request-id", uuid.uuid4().hex),
            ("x-dotterelstand-deadline-ms", str(DEADLINE_MS)),
        ]

    async def _attempt(self, request: Request, host) -> AttemptResult:  # type: ignore[no-untyped-def]
        told = await super()._attempt(request, host)
        if told.status in PROMISES:
            # The status alone is the promise; the program's own field may not contradict it.
            told.run = Execution.NOT_RUN.value
        return told

    async def ask(self, host, path: str) -> AttemptResult:  # type: ignore[no-untyped-def]
        """One lookup at one host, without repetition."""
        request = Request("prices", path, "", trio.current_time())
        told = await self._attempt(request, host)
        request.attempts.append(told)
        self.requests.append(request)
        return told
