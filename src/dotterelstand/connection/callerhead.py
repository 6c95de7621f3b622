"""Heads of a caller's requests, read from the input that is not yet parsed."""

from collections.abc import Awaitable, Callable

import h11
import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.callerlimits import CallerLimits
from dotterelstand.connection.headcheck import check_raw_head, find_head_end
from dotterelstand.connection.memorybudget import Holding, head_cost
from dotterelstand.request.fields import HeaderFields
from dotterelstand.request.head import RequestHead, parse_head


class ParsedHead:
    """A valid head, the h11 state behind it, and the input that begins with it.

    `head_bytes` is the length of the head in this input, and `cost_bytes` the memory that was
    counted for the request.
    """

    __slots__ = ("cost_bytes", "head", "head_bytes", "method", "received", "state")

    def __init__(
        self,
        state: h11.Connection,
        method: bytes,
        head: RequestHead | None = None,
        received: bytes = b"",
        head_bytes: int = 0,
        cost_bytes: int = 0,
    ) -> None:
        self.state = state
        self.method = method
        self.head = head
        self.received = received
        self.head_bytes = head_bytes
        self.cost_bytes = cost_bytes


class HeadReader:
    """Input that is not yet parsed, counted by `holding`, and the heads read from it."""

    __slots__ = ("_fields", "_held_bytes", "_holding", "_limits", "_unparsed")

    def __init__(self, limits: CallerLimits, fields: HeaderFields, holding: Holding) -> None:
        self._limits = limits
        self._fields = fields
        self._holding = holding
        self._held_bytes = 0
        self._unparsed = bytearray()

    def __len__(self) -> int:
        return len(self._unparsed)

    @property
    def unparsed(self) -> bytes:
        """Input that is not yet parsed."""
        return bytes(self._unparsed)

    @property
    def has_whole_head(self) -> bool:
        """Whether the input contains the end of a head."""
        return find_head_end(self._unparsed, 0) >= 0

    def append(self, data: bytes) -> None:
        """Add received input."""
        self._unparsed += data
        self._count()

    def push_back(self, data: bytes) -> None:
        """Replace the input by the bytes that follow a request's body."""
        self._unparsed = bytearray(data)
        self._count()

    def unread(self) -> ParsedHead:
        """Stand-in for the head of a request that could not be read."""
        return ParsedHead(self._new_h11(), b"")

    async def read(
        self,
        receive: Callable[[], Awaitable[bytes]],
        wait_for_memory: Callable[[], Awaitable[bool]],
    ) -> ParsedHead | ResultCode | None:
        """Read the next head; returns the code of its refusal, or None if the input ends before.

        The memory of the request is counted before the head is parsed, as a head may become 40
        times as large. None is also returned if `wait_for_memory` returns False.
        """
        searched = 0
        while (end := find_head_end(self._unparsed, searched)) < 0:
            searched = len(self._unparsed)
            if searched > self._limits.bounds.max_head_bytes:
                return ResultCode.HEAD_TOO_LARGE
            data = await receive()
            if not data:
                return None
            self.append(data)
        if end > self._limits.bounds.max_head_bytes:
            return ResultCode.HEAD_TOO_LARGE
        if not check_raw_head(bytes(self._unparsed[:end])):
            return ResultCode.BAD_REQUEST
        cost = head_cost(self._unparsed, end)
        self._holding.hold(cost, trio.current_time())
        if not await wait_for_memory():
            self._holding.release(cost)
            return None
        parsed = self._parse(end, cost)
        if isinstance(parsed, ResultCode):
            self._holding.release(cost)
        return parsed

    def _parse(self, end: int, cost: int) -> ParsedHead | ResultCode:
        received = bytes(self._unparsed)
        self.push_back(b"")
        max_body_bytes = self._limits.bounds.max_body_bytes
        parsed = parse_head(self._new_h11(), received, self._fields, max_body_bytes)
        if isinstance(parsed, ResultCode):
            return parsed
        state, method, head = parsed
        if not head.has_body() and state.their_state is h11.SEND_BODY:
            state.next_event()
            self.push_back(bytes(state.trailing_data[0]))
        return ParsedHead(state, method, head, received, end, cost)

    def _new_h11(self) -> h11.Connection:
        max_bytes = self._limits.bounds.max_head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=max_bytes)

    def _count(self) -> None:
        held, self._held_bytes = self._held_bytes, len(self._unparsed)
        self._holding.release(held)
        self._holding.hold(self._held_bytes, trio.current_time())
