"""Runs a daemon that breaks one guarantee, to test that the soak detects the violation."""

import math
import sys
from collections.abc import Callable
from typing import Any

import h11
import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.bodyerror import BodyError
from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.connection.target import TargetConnection
from dotterelstand.process.discovery.catalogue import Catalogue
from dotterelstand.process.discovery.registry import Configuration, Entry, Kind, RegisteredTarget
from dotterelstand.process.discovery.relayview import RelayStatus, RelayView
from dotterelstand.process.frontend import CallerFrontend
from dotterelstand.process.peering import ranking
from dotterelstand.process.run import run_daemon
from dotterelstand.process.suspects.quarantine import QuarantineService
from dotterelstand.request import attempt, exchange
from dotterelstand.request.exchange import Exchange
from dotterelstand.request.head import Headers, RequestHead
from dotterelstand.request.policy import RetryDecision, RetryInputs, ServicePolicy, decide_retry
from dotterelstand.request.stopplan import StopPlan
from dotterelstand.version.model import Service, Target

# Sets an attribute of a class or module, like `setattr` or pytest's `monkeypatch.setattr`.
SetAttribute = Callable[[Any, str, object], None]


def retry_what_may_have_run(set_attribute: SetAttribute) -> None:
    """Retry orders, which are not idempotent, as if they were lookups."""

    def decide(
        failed: RetryInputs, service: ServicePolicy, max_attempts: int, now: float
    ) -> RetryDecision:
        failed.idempotent = True
        return decide_retry(failed, service, max_attempts, now)

    set_attribute(exchange, "decide_retry", decide)


def call_lost_not_run(set_attribute: SetAttribute) -> None:
    """Report a request whose connection was lost after it was sent as not run."""
    run = Exchange.run

    async def run_and_report_not_run(self: Exchange) -> ResultCode:
        code = await run(self)
        return ResultCode.CONNECT_FAILED if code is ResultCode.CONNECTION_LOST else code

    set_attribute(Exchange, "run", run_and_report_not_run)


def cut_at_stop(set_attribute: SetAttribute) -> None:
    """Abort the requests in flight when a graceful stop begins."""
    begin_stop = CallerFrontend.begin_stop

    def abort_connections(self: CallerFrontend) -> None:
        begin_stop(self)
        for connection in self._connections:
            for request in list(connection._serving)[:1]:
                connection.abort(request)

    set_attribute(CallerFrontend, "begin_stop", abort_connections)


def announce_close_out_of_order(set_attribute: SetAttribute) -> None:
    """Announce the close with each answer after the one that announced it first."""
    closes_after = CallerConnection.closes_after

    def closes(self: CallerConnection, request: CallerRequest) -> bool:
        return closes_after(self, request) or self.will_close

    set_attribute(CallerConnection, "closes_after", closes)


def outlast_the_stop(set_attribute: SetAttribute) -> None:
    """Let requests take their whole time limit although the platform ends the process before."""
    set_attribute(StopPlan, "accepts", lambda self, now, deadline: True)
    set_attribute(StopPlan, "_time_at", lambda self, share: math.inf)


def reuse_before_the_end_is_sent(set_attribute: SetAttribute) -> None:
    """Use a connection again although its target has not been sent the end of an upload."""
    recycle = TargetConnection.recycle

    def recycle_early(self: TargetConnection, now: float) -> bool:
        if self._h11.their_state is h11.DONE and self._h11.our_state is h11.SEND_BODY:
            self._h11 = h11.Connection(h11.CLIENT)
            return True
        return recycle(self, now)

    set_attribute(TargetConnection, "recycle", recycle_early)


def complete_broken_uploads(set_attribute: SetAttribute) -> None:
    """Send a valid end of an upload whose caller broke it off."""
    next_body = CallerRequest.next_body

    async def end_at_error(self: CallerRequest) -> bytes | None:
        try:
            return await next_body(self)
        except BodyError:
            return None

    set_attribute(CallerRequest, "next_body", end_at_error)
    # The request would be cancelled when its caller leaves.
    ignored = property(lambda self: None, lambda self, value: None)
    set_attribute(CallerRequest, "on_disconnect", ignored)


def omit_target_names(set_attribute: SetAttribute) -> None:
    """Send requests without the name of their target."""
    forwarded_headers = attempt.forwarded_headers

    def forward(head: RequestHead, remaining_s: float, target: str) -> Headers:
        headers = forwarded_headers(head, remaining_s, target)
        return [field for field in headers if field[0] != head.fields.target]

    set_attribute(attempt, "forwarded_headers", forward)


def give_up_at_stop(set_attribute: SetAttribute) -> None:
    """Answer the requests in flight as unknown when a graceful stop begins."""

    def end_now(self: Exchange) -> None:
        self._scope.deadline = trio.current_time()

    set_attribute(Exchange, "_apply_stop", end_now)


def change_paths(set_attribute: SetAttribute) -> None:
    """Send some requests on with a path that the caller did not send."""
    encode = TargetConnection.encode_request

    def encode_request(
        self: TargetConnection,
        method: str,
        path: str,
        headers: Headers,
        body: bytes,
        complete: bool,
    ) -> bytes:
        changed = f"{path}0" if path.endswith("0") else path
        return encode(self, method, changed, headers, body, complete)

    set_attribute(TargetConnection, "encode_request", encode_request)


def ignore_newer_versions(set_attribute: SetAttribute) -> None:
    """Keep the first configuration and ignore all later versions."""
    update = Catalogue.update_configuration

    def keep(self: Catalogue, configuration: Configuration) -> bool:
        return self.number == 0 and update(self, configuration)

    set_attribute(Catalogue, "update_configuration", keep)


def ignore_leaving_targets(set_attribute: SetAttribute) -> None:
    """Ignore the draining state of targets, and keep targets that were removed."""
    upsert = Catalogue._upsert

    def keep(self: Catalogue, entry: Entry[RegisteredTarget], now: float) -> None:
        if entry.item is not None:
            entry.item.draining = False
            upsert(self, entry, now)

    set_attribute(Catalogue, "_upsert", keep)


def rely_on_lost_relays(set_attribute: SetAttribute) -> None:
    """Treat relays that lost the store or stopped answering as current, without a reserve."""
    set_attribute(ranking, "RESERVE_RELAYS", 0)
    status = RelayView.status

    def rely(self: RelayView, kind: Kind, revision: int, now: float) -> RelayStatus:
        found = status(self, kind, revision, now)
        return RelayStatus.BEHIND if found is RelayStatus.BEHIND else RelayStatus.CURRENT

    set_attribute(RelayView, "status", rely)


def overlook_missed_changes(set_attribute: SetAttribute) -> None:
    """Take a relay's later revision for the own one, although a link lost the changes between."""
    status = RelayView.status

    def overlook(self: RelayView, kind: Kind, revision: int, now: float) -> RelayStatus:
        found = status(self, kind, revision, now)
        return RelayStatus.CURRENT if found is RelayStatus.BEHIND else found

    set_attribute(RelayView, "status", overlook)


def count_resets_as_crashes(set_attribute: SetAttribute) -> None:
    """Count each connection that is lost while it carries a request as a crash of its target."""

    async def count(
        self: QuarantineService,
        fingerprint: bytes,
        service: Service,
        target: Target,
        suspect: bool,
        until: float,
    ) -> bool:
        await self.record_strike(fingerprint, target.name, suspect)
        return True

    set_attribute(QuarantineService, "judge_loss", count)


MUTATIONS: dict[str, Callable[[SetAttribute], None]] = {
    mutation.__name__: mutation
    for mutation in (
        retry_what_may_have_run,
        call_lost_not_run,
        cut_at_stop,
        announce_close_out_of_order,
        outlast_the_stop,
        reuse_before_the_end_is_sent,
        complete_broken_uploads,
        omit_target_names,
        give_up_at_stop,
        change_paths,
        ignore_newer_versions,
        ignore_leaving_targets,
        rely_on_lost_relays,
        overlook_missed_changes,
        count_resets_as_crashes,
    )
}

if __name__ == "__main__":
    MUTATIONS[sys.argv[1]](setattr)
    run_daemon(sys.argv[2])
