"""Accepts connections of callers, serves their requests and stops gracefully."""

import trio
from returns.pipeline import is_successful

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.callerlimits import CallerLimits
from dotterelstand.connection.callerrequest import CallerRequest
from dotterelstand.connection.memorybudget import MemoryBudget
from dotterelstand.connection.network import CONNECTION_ERRORS, Listener
from dotterelstand.connection.target import close_now
from dotterelstand.events import Event, log
from dotterelstand.request.access import admit_request
from dotterelstand.request.accesslog import AccessLog, RequestSummary
from dotterelstand.request.context import RequestContext
from dotterelstand.request.endcodes import note_fault
from dotterelstand.request.exchange import Exchange
from dotterelstand.request.head import RequestHead
from dotterelstand.request.undelivered import find_undelivered
from dotterelstand.request.unknownregions import log_unknown_regions
from dotterelstand.version.model import Document
from dotterelstand.version.route import Route

# Maximum number of refused connections that are sent an error answer at the same time; further ones
# are closed without an answer.
MAX_CONCURRENT_REFUSALS = 64
# Maximum number of requests of one connection that are served at the same time.
MAX_CONCURRENT_REQUESTS = 8
# Seconds for which a stopping daemon that has closed its port awaits the first requests of new
# connections: a round trip to callers in other regions, and delays of the process.
FIRST_REQUEST_S = 0.5
# Least time in seconds for sending the last answers of a planned stop.
LAST_ANSWER_SEND_S = 0.1


class CallerFrontend:
    """Serves callers according to the document in force."""

    __slots__ = (
        "_access_log",
        "_active_refusals",
        "_connections",
        "_context",
        "_document",
        "_limits",
        "_max_connections",
        "introduction_done",
        "stopping",
        "undelivered_in_stop",
    )

    def __init__(
        self,
        context: RequestContext,
        limits: CallerLimits,
        max_connections: int,
        answered_sample: int,
    ) -> None:
        self._context = context
        self._limits = limits
        self._max_connections = max_connections
        self._connections: set[CallerConnection] = set()
        self._active_refusals = 0
        self._access_log = AccessLog(answered_sample)
        self._document: Document | None = None
        # Whether linked hosts have sent their quarantines, or the wait for them has timed out.
        self.introduction_done = False
        self.stopping = False
        # Requests without a whole answer since the stop began, whether a line tells of them or not.
        self.undelivered_in_stop = 0

    @property
    def memory(self) -> MemoryBudget:
        """Budget of what the connections of callers hold."""
        return self._limits.memory

    @property
    def document(self) -> Document | None:
        """Document in force."""
        return self._document

    @document.setter
    def document(self, document: Document | None) -> None:
        number = 0 if self._document is None else self._document.number
        if document is not None and document.number != number:
            log_unknown_regions(document)
        self._document = document
        self._limits.apply_bounds(None if document is None else document.caller_bounds)

    @property
    def is_ready(self) -> bool:
        """Whether callers' requests can be served."""
        return self.introduction_done and self.document is not None

    @property
    def max_connections(self) -> int:
        """Maximum number of open caller connections."""
        return self._max_connections

    @property
    def open_connections(self) -> int:
        """Number of open caller connections."""
        return len(self._connections)

    @property
    def requests_in_flight(self) -> int:
        """Number of requests that are being served."""
        return sum(connection.serving for connection in self._connections)

    async def serve_until_stopped(
        self, listener: Listener, stop: trio.Event, grace_s: float
    ) -> None:
        """Serve callers until `stop` is set, then shut down gracefully.

        The listener and idle connections are closed `grace_s` seconds after `stop` is set, new ones
        `FIRST_REQUEST_S` later, the others after their requests, or when the stop plan ends.
        Returns when the last request in flight has ended.
        """
        async with trio.open_nursery() as timers:
            async with trio.open_nursery() as callers:
                accepting = trio.CancelScope()
                callers.start_soon(self._accept, listener, callers, accepting)
                await stop.wait()
                self.begin_stop()
                timers.start_soon(self._cut_at_limit, callers.cancel_scope)
                await trio.sleep(grace_s)
                accepting.cancel()
                self._close_idle()
                timers.start_soon(self._close_new)
            timers.cancel_scope.cancel()

    def begin_stop(self) -> None:
        """Ask every caller to use another connection for its next request."""
        self.stopping = True
        self._context.stop_plan.begin(trio.current_time())
        for connection in self._connections:
            connection.begin_stop()

    async def serve_caller(self, stream: trio.abc.Stream) -> None:
        """Serve the requests of one caller connection."""
        if not self._has_place():
            await self._refuse_connection(stream)
            return
        connection = CallerConnection(stream, self._limits, self._context.fields)
        if self.stopping:
            connection.begin_stop()
        self._connections.add(connection)
        failed = False
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(connection.read_ahead)
                try:
                    await self._serve_requests(connection, nursery)
                except Exception as error:
                    note_fault(error, self._context.metrics)
                    failed = True
                    await connection.wait_for_others(None)
                nursery.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            # The caller closed the connection while an answer was being sent.
            pass
        except* Exception as group:
            failed = True
            note_fault(group, self._context.metrics)
        finally:
            self._connections.discard(connection)
            try:
                self._note_undelivered(connection, failed)
            except Exception as error:
                note_fault(error, self._context.metrics)
            if not connection.aborted:
                connection.close()
            connection.release_memory()

    def _has_place(self) -> bool:
        """Whether one more connection may be open; makes inactive ones end if there are too many.

        Else callers that hold connections without using them would shut out all others.
        """
        budget = self.memory
        active = len(self._connections) - budget.ending
        if active >= self._max_connections:
            budget.refuse_inactive(trio.current_time())
            active = len(self._connections) - budget.ending
        most = self._max_connections + MAX_CONCURRENT_REFUSALS
        return active < self._max_connections and len(self._connections) < most

    async def _serve_requests(self, connection: CallerConnection, nursery: trio.Nursery) -> None:
        """Serve requests until the connection ends; pipelined requests may run concurrently."""
        while True:
            request = await connection.next_request()
            if request is None or connection.will_close:
                connection.unserved = request if isinstance(request, CallerRequest) else None
                break
            if isinstance(request, ResultCode):
                await self._refuse_invalid(connection, connection.make_unread_request(), request)
                return
            connection.unserved = request
            await connection.wait_for_begun_answers()
            if connection.aborted:
                break
            connection.unserved = None
            connection.begin(request)
            if self._may_run_concurrently(request) and connection.serving < MAX_CONCURRENT_REQUESTS:
                nursery.start_soon(self._serve_request, connection, request)
            else:
                await connection.wait_for_others(request)
                await self._serve_request(connection, request)
                if not connection.may_continue(request):
                    await connection.linger()
                    return
        await connection.wait_for_others(None)
        if connection.ends_when_idle:
            await connection.linger()

    def _may_run_concurrently(self, request: CallerRequest) -> bool:
        """Whether a request may run concurrently with the requests pipelined after it."""
        head = request.head
        if head is None or not request.is_fully_read or self.document is None:
            return False
        route = _find_route(self.document, head)
        return route is not None and route.idempotent

    async def _serve_request(self, connection: CallerConnection, request: CallerRequest) -> None:
        try:
            try:
                await self._answer_request(request)
            except Exception as error:
                note_fault(error, self._context.metrics)
                if not request.is_fully_answered:
                    await self._finish_answer(request, ResultCode.INTERNAL_ERROR_UNKNOWN)
            await request.flush()
        finally:
            connection.end(request)

    async def _answer_request(self, request: CallerRequest) -> None:
        head = request.head
        assert head is not None, "a request without a head must be refused earlier"
        document = self.document if self.introduction_done else None
        route = None if document is None else _find_route(document, head)
        if document is None or route is None:
            code = _routing_failure(document, head)
            number = 0 if document is None else document.number
            summary = RequestSummary(None, head.workspace, head.request_id, number)
        else:
            summary, code = await self._serve_routed(request, head, document, route)
        await self._finish_answer(request, code)
        summary.count(self._context.metrics, code)
        self._access_log.write(code, head.path, summary)

    async def _serve_routed(
        self, request: CallerRequest, head: RequestHead, document: Document, route: Route
    ) -> tuple[RequestSummary, ResultCode]:
        """Serve a request that a route matches, if its key and its workspace's quota permit it."""
        context = self._context
        admitted = admit_request(document, route, head, lambda: self._document, context.freshness)
        if not is_successful(admitted):
            refusal = admitted.failure()
            summary = RequestSummary(
                route, head.workspace, head.request_id, document.number, refusal.workspace
            )
            summary.trail.note_access(refusal.reason.value)
            return summary, refusal.code
        guard = admitted.unwrap()
        exchange = Exchange(request, head, document, route, context, guard)
        request.write_decisions = exchange.summary.trail.write
        workspace = guard.workspace
        quota = None if workspace is None else context.quota
        if quota is not None and workspace is not None:
            request.retry_after_s = quota.admit(workspace)
            if request.retry_after_s is not None:
                return exchange.summary, ResultCode.QUOTA_EXCEEDED
        code = await exchange.run()
        if quota is not None and workspace is not None and code.run is Execution.NOT_RUN:
            quota.refund(workspace)
        if guard.refusal is not None:
            exchange.summary.trail.note_access(guard.refusal.reason.value)
        return exchange.summary, code

    async def _finish_answer(self, request: CallerRequest, code: ResultCode) -> None:
        """Send an error answer if none has started, or abort an incomplete answer."""
        if request.answer_started:
            if code.run is not Execution.RAN:
                await request.abort()
        elif not request.disconnected:
            await self._send_refusal(request, code)

    async def _refuse_invalid(
        self, connection: CallerConnection, request: CallerRequest, code: ResultCode
    ) -> None:
        self._context.metrics.count(f"requests.result.{code:d}")
        self._access_log.write(code, "", RequestSummary(None, "", None, 0))
        # The connection ends with the refusal, which must not cut off the answers before it.
        await connection.wait_for_others(None)
        await self._send_refusal(request, code)
        await connection.linger()

    async def _send_refusal(self, request: CallerRequest, code: ResultCode) -> None:
        with trio.move_on_after(self._limits.body_idle_timeout_s) as scope:
            await request.refuse(code)
        if scope.cancelled_caught:
            await request.abort()

    async def _refuse_connection(self, stream: trio.abc.Stream) -> None:
        code = ResultCode.TOO_MANY_CONNECTIONS
        self._context.metrics.count(f"requests.result.{code:d}")
        try:
            if self._active_refusals < MAX_CONCURRENT_REFUSALS:
                self._active_refusals += 1
                try:
                    await self._send_connection_refusal(stream, code)
                finally:
                    self._active_refusals -= 1
        finally:
            close_now(stream)

    async def _send_connection_refusal(self, stream: trio.abc.Stream, code: ResultCode) -> None:
        log(Event.CONNECTION_REFUSED, connections=len(self._connections))
        connection = CallerConnection(stream, self._limits, self._context.fields)
        connection.closing = True
        try:
            with trio.move_on_after(self._limits.linger_s):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(connection.read_ahead)
                    await connection.make_unread_request().refuse(code)
                    await connection.linger()
                    nursery.cancel_scope.cancel()
        except* CONNECTION_ERRORS:
            pass
        finally:
            connection.release_memory()

    async def _accept(
        self, listener: Listener, callers: trio.Nursery, accepting: trio.CancelScope
    ) -> None:
        with accepting:
            await listener.serve(self.serve_caller, callers)

    def _close_idle(self) -> None:
        closed = 0
        for connection in list(self._connections):
            if not connection.is_new:
                closed += connection.close_when_idle()
        open_connections = len(self._connections) - closed
        requests = self.requests_in_flight
        log(Event.CALLERS_CLOSED, idle=closed, in_flight=open_connections, requests=requests)

    async def _close_new(self) -> None:
        """Close the connections on which no request has arrived since the port was closed."""
        await trio.sleep(FIRST_REQUEST_S)
        for connection in list(self._connections):
            connection.close_when_idle()

    async def _cut_at_limit(self, callers: trio.CancelScope) -> None:
        """Close the connections that are left when the platform is about to end the process."""
        plan = self._context.stop_plan
        await trio.sleep_until(plan.last_answer_s)
        # A process that is held up may find both times passed, and its answers not yet sent.
        await trio.sleep(max(plan.last_connection_s - trio.current_time(), LAST_ANSWER_SEND_S))
        log(
            Event.CALLERS_CUT,
            connections=len(self._connections),
            requests=self.requests_in_flight,
        )
        callers.cancel()

    def _note_undelivered(self, connection: CallerConnection, failed: bool) -> None:
        context = self._context
        fields = context.fields
        answers = find_undelivered(connection, failed, context.stop_plan, fields.request_id)
        if self.stopping:
            self.undelivered_in_stop += sum(not answer.was_handed_over for answer in answers)
        for answer in answers:
            context.metrics.count(f"requests.undelivered.{answer.cause}")
        self._access_log.write_undelivered(answers, context.stop_plan.began_s)


def _find_route(document: Document, head: RequestHead) -> Route | None:
    return document.find_route(head.path, head.method, head.host)


def _routing_failure(document: Document | None, head: RequestHead) -> ResultCode:
    if document is None:
        return ResultCode.NO_CONFIGURATION
    if document.allowed_methods(head.path, head.host):
        return ResultCode.METHOD_NOT_ALLOWED
    return ResultCode.NO_ROUTE
