"""Runs a daemon that breaks one promise on purpose, to show that the judge sees it."""

import sys
from collections.abc import Callable
from typing import Any

from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.discovery.catalogue import Catalogue
from dotterelstand.process.discovery.registry import Configuration, Entry, Kind, RegisteredTarget
from dotterelstand.process.discovery.relayview import RelayStatus, RelayView
from dotterelstand.process.frontend import CallerFrontend
from dotterelstand.process.run import run_daemon
from dotterelstand.request import exchange
from dotterelstand.request.exchange import Exchange
from dotterelstand.request.policy import RetryDecision, RetryInputs, ServicePolicy, decide_retry

# Sets an attribute of a class or module, as `setattr` or a fixture of pytest does.
Change = Callable[[Any, str, object], None]


def retry_what_may_have_run(change: Change) -> None:
    """Repeat orders like lookups."""

    def decide(
        failed: RetryInputs, service: ServicePolicy, max_attempts: int, now: float
    ) -> RetryDecision:
        failed.idempotent = True
        return decide_retry(failed, service, max_attempts, now)

    change(exchange, "decide_retry", decide)


def call_lost_not_run(change: Change) -> None:
    """Promise that a request did not run whose connection was lost."""
    run = Exchange.run

    async def run_and_deny(self: Exchange) -> ResultCode:
        code = await run(self)
        return ResultCode.CONNECT_FAILED if code is ResultCode.CONNECTION_LOST else code

    change(Exchange, "run", run_and_deny)


def cut_at_stop(change: Change) -> None:
    """Cut the requests in flight when a graceful stop begins."""
    begin_stop = CallerFrontend.begin_stop

    def cut(self: CallerFrontend) -> None:
        begin_stop(self)
        for connection in self._connections:
            connection.abort()

    change(CallerFrontend, "begin_stop", cut)


def ignore_newer_versions(change: Change) -> None:
    """Keep the first configuration."""
    update = Catalogue.update_configuration

    def keep(self: Catalogue, configuration: Configuration) -> bool:
        return self.number == 0 and update(self, configuration)

    change(Catalogue, "update_configuration", keep)


def ignore_leaving_targets(change: Change) -> None:
    """Take a target that drains for one that does not, and keep those that vanish."""
    upsert = Catalogue._upsert

    def keep(self: Catalogue, entry: Entry[RegisteredTarget], now: float) -> None:
        if entry.item is not None:
            entry.item.draining = False
            upsert(self, entry, now)

    change(Catalogue, "_upsert", keep)


def rely_on_lost_relays(change: Change) -> None:
    """Wait for relays that lost the store or have fallen silent."""
    status = RelayView.status

    def rely(self: RelayView, kind: Kind, revision: int, now: float) -> RelayStatus:
        found = status(self, kind, revision, now)
        return RelayStatus.BEHIND if found is RelayStatus.BEHIND else RelayStatus.CURRENT

    change(RelayView, "status", rely)


MUTATIONS: dict[str, Callable[[Change], None]] = {
    mutation.__name__: mutation
    for mutation in (
        retry_what_may_have_run,
        call_lost_not_run,
        cut_at_stop,
        ignore_newer_versions,
        ignore_leaving_targets,
        rely_on_lost_relays,
    )
}

if __name__ == "__main__":
    MUTATIONS[sys.argv[1]](setattr)
    run_daemon(sys.argv[2])
