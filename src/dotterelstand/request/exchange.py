"""One call, from its checked head to the end of its answer."""

import h11
import trio
from returns.pipeline import is_successful

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.caller import CallerConnection
from dotterelstand.connection.pool import TargetPool
from dotterelstand.connection.target import TargetConnection
from dotterelstand.process.slots import AttemptOutcome, SlotBroker, SlotCall, SlotOutcome
from dotterelstand.request.head import (
    LOAD_HEADER,
    Headers,
    RequestHead,
    forwarded_headers,
    returned_headers,
)
from dotterelstand.version.document import Document, Route, Target


class Exchange:
    """Forwards one request to a target and its answer to the caller."""

    __slots__ = ("_broker", "_caller", "_document", "_head", "_pool")

    def __init__(
        self,
        caller: CallerConnection,
        head: RequestHead,
        document: Document,
        pool: TargetPool,
        broker: SlotBroker,
    ) -> None:
        self._caller = caller
        self._head = head
        self._document = document
        self._pool = pool
        self._broker = broker

    async def run(self) -> ResultCode:
        """Serve the request and return the code with which it ended."""
        route = self._document.find_route(self._head.path, self._head.method)
        if route is None:
            return await self._refuse(ResultCode.NO_ROUTE)
        limit_s = min(route.deadline_s, self._head.deadline_s or route.deadline_s)
        deadline = trio.current_time() + limit_s
        with trio.move_on_at(deadline):
            return await self._forward(route, deadline)
        return await self._refuse(ResultCode.DEADLINE_PASSED)

    async def _forward(self, route: Route, deadline: float) -> ResultCode:
        classes = self._document.classes
        klass = classes.index(route.klass) if route.klass in classes else len(classes) - 1
        call = SlotCall(klass, self._head.tenant, deadline)
        slot = await self._broker.acquire(self._document.services[route.service], call)
        if not is_successful(slot):
            return await self._refuse(slot.failure())
        grant = slot.unwrap()
        started = trio.current_time()
        reported: list[int] = []
        outcome = AttemptOutcome.CANCELLED
        try:
            code = await self._attempt(route, grant.target, deadline, reported)
            outcome = _OUTCOMES.get(code, AttemptOutcome.FAILED)
            return code
        finally:
            duration_s = trio.current_time() - started
            load = reported[0] if reported else None
            self._broker.release(grant, SlotOutcome(outcome, duration_s, load))

    async def _attempt(
        self, route: Route, target: Target, deadline: float, reported: list[int]
    ) -> ResultCode:
        try:
            connection = await self._pool.acquire(target, not route.idempotent)
        except OSError:
            return await self._refuse(ResultCode.CONNECT_FAILED)
        try:
            code = await self._transfer(connection, deadline, reported)
        except (trio.BrokenResourceError, h11.RemoteProtocolError):
            connection.close()
            return await self._refuse(ResultCode.CONNECTION_LOST)
        except BaseException:
            connection.close()
            raise
        self._pool.release(connection)
        return code

    async def _transfer(
        self, connection: TargetConnection, deadline: float, reported: list[int]
    ) -> ResultCode:
        headers = forwarded_headers(self._head, deadline - trio.current_time())
        await connection.send_head(self._head.method, self._head.path, headers)
        while (data := await self._caller.next_body()) is not None:
            await connection.send_body(data)
        await connection.finish_request()
        event = await connection.receive()
        while isinstance(event, h11.InformationalResponse):
            event = await connection.receive()
        if not isinstance(event, h11.Response):
            raise h11.RemoteProtocolError("no answer head")
        answer_headers: Headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        load = dict(answer_headers).get(LOAD_HEADER)
        if load is not None and load.isdigit():
            reported.append(int(load))
        await self._caller.send_head(
            event.status_code, returned_headers(answer_headers), ResultCode.ANSWERED
        )
        while isinstance(event := await connection.receive(), h11.Data):
            await self._caller.send_body(bytes(event.data))
        if not isinstance(event, h11.EndOfMessage):
            raise h11.RemoteProtocolError("answer cut off")
        await self._caller.finish_answer()
        return ResultCode.ANSWERED

    async def _refuse(self, code: ResultCode) -> ResultCode:
        if self._caller.answer_started:
            self._caller.closing = True
        else:
            await self._caller.refuse(code)
        return code


_OUTCOMES = {
    ResultCode.ANSWERED: AttemptOutcome.OK,
    ResultCode.CONNECT_FAILED: AttemptOutcome.CONNECT_FAILED,
}
