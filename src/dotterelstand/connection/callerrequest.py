"""One request on a caller connection: reading its body and sending its answer."""

import math
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

import h11
import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.bodyerror import BodyError
from dotterelstand.connection.memorybudget import Stage
from dotterelstand.request.fields import RESULT_HEADER, RUN_HEADER
from dotterelstand.request.head import Headers, RequestHead, release_frames

if TYPE_CHECKING:
    from dotterelstand.connection.caller import CallerConnection
    from dotterelstand.connection.callerhead import ParsedHead

# Maximum number of bytes of an answer that are buffered until the answers to earlier pipelined
# requests have been sent; beyond it, reading from the target pauses.
MAX_UNSENT_BYTES = 131_072

# Maximum time in seconds for sending an interim answer.
INTERIM_SEND_TIMEOUT_S = 1.0

# End of a chunked body. h11 also takes bare line feeds for it, as few other parsers do, so that
# they would disagree on whether the bytes behind are another request.
_CHUNKED_END = b"\r\n\r\n"


class CallerRequest:
    """One request of a caller connection, with the h11 state of its body and its answer.

    Pipelined requests of one connection may be served concurrently; their answers are sent in
    order.
    """

    __slots__ = (
        "_ambiguous_end",
        "_before_piece",
        "_connection",
        "_follows_unread",
        "_h11",
        "_head_bytes",
        "_held_bytes",
        "_in_hand_bytes",
        "_is_chunked",
        "_method",
        "_piece",
        "_previous_ended",
        "_received_bytes",
        "_sending",
        "_unsent",
        "answer_started",
        "ended",
        "has_slot",
        "head",
        "last_limit_s",
        "limit_s",
        "on_disconnect",
        "on_memory_full",
        "on_stop",
        "refused_for_memory",
        "retry_after_s",
        "sent_bytes",
        "write_decisions",
    )

    def __init__(
        self,
        connection: "CallerConnection",
        state: h11.Connection,
        method: bytes,
        head: RequestHead | None,
        previous_ended: trio.Event | None,
        received: bytes,
        head_bytes: int = 0,
        cost_bytes: int = 0,
    ) -> None:
        self._connection = connection
        self._is_chunked = head is not None and head.has_body() and head.declared_length() is None
        # Latest piece of a chunked request given to h11, which begins with the head, and the last
        # bytes before it.
        self._piece = received if self._is_chunked else b""
        self._before_piece = b""
        self._ambiguous_end = False
        self._h11 = state
        self._method = method
        self._previous_ended = previous_ended
        # Whether the caller sent this request before it can have read the previous answer.
        self._follows_unread = previous_ended is not None and (
            not previous_ended.is_set()
            or connection.last_received_s <= connection.handover.last_sent_s
        )
        self.head = head
        self._unsent = b""
        # Bytes held for this request, of which those of the head were counted before it was parsed,
        # and those of them in the piece that is being consumed.
        self._head_bytes = head_bytes
        self._held_bytes = cost_bytes
        self._in_hand_bytes = 0
        if head is not None and head.has_body():
            self._in_hand_bytes = len(received) - head_bytes
        # Whether a slot was granted, so that the request ends soon.
        self.has_slot = False
        self.refused_for_memory = False
        # Bytes of the body received so far.
        self._received_bytes = 0
        # Whether a call that sends bytes has not ended, or failed.
        self._sending = False
        self.sent_bytes = 0
        self.answer_started = False
        # Time limit of the request, once it is known, and that of its route if it has one.
        self.limit_s = self.last_limit_s = -math.inf
        self.ended = trio.Event()
        self.on_disconnect: Callable[[], object] | None = None
        self.on_stop: Callable[[], object] | None = None
        self.on_memory_full: Callable[[], object] | None = None
        # Seconds after which the caller may retry if the request is refused; None for the default
        # of the result code.
        self.retry_after_s: float | None = None
        # Logs the decisions on the request, which is done if its answer is not delivered.
        self.write_decisions: Callable[[], object] | None = None

    @property
    def disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._connection.disconnected

    @property
    def shares_connection(self) -> bool:
        """Whether other requests of the connection are being served."""
        return self._connection.serving > 1

    @property
    def answer_limit_s(self) -> float:
        """Time at which the answer must have ended.

        An answer that has begun may last as long as the other requests of the connection may, up to
        the time limit of its route: the reset that ends it would discard their answers.
        """
        if self.answer_started:
            latest_s = min(self._connection.latest_limit_s, self.last_limit_s)
            self.limit_s = max(self.limit_s, latest_s)
        return self.limit_s

    @property
    def is_fully_read(self) -> bool:
        """Whether the request was read completely."""
        return self._h11.their_state is h11.DONE and not self._ambiguous_end

    @property
    def ends_in_input(self) -> bool:
        """Whether the rest of this request, and not the next one, is what the caller sends."""
        return self.head is None or self._h11.their_state in (h11.SEND_BODY, h11.ERROR)

    @property
    def is_fully_answered(self) -> bool:
        """Whether the answer was encoded completely."""
        return self._h11.our_state in (h11.DONE, h11.MUST_CLOSE)

    @property
    def may_be_cut(self) -> bool:
        """Whether the answer has begun and could only be ended by a reset of the connection."""
        return self.answer_started and not self.is_fully_answered

    @property
    def is_delivered(self) -> bool:
        """Whether the whole answer was handed to the operating system."""
        return self.is_fully_answered and not self._unsent and not self._sending

    @property
    def answer_state(self) -> str:
        """How far the answer got: `none`, `incomplete`, `waiting`, `sending` or `delivered`.

        A complete answer waits until those to earlier requests have been sent.
        """
        if not self.answer_started:
            return "none"
        if not self.is_fully_answered:
            return "incomplete"
        if self._sending:
            return "sending"
        return "waiting" if self._unsent else "delivered"

    def hold(self, size: int) -> None:
        """Count bytes that are held for this request, or no longer held if negative.

        The connection, or the request, may be refused if there is not enough memory.
        """
        self._held_bytes += size
        if size > 0:
            self._connection.memory.hold(size, trio.current_time())
        else:
            self._connection.memory.release(-size)

    def hold_piece(self) -> None:
        """Count the piece of the body behind the head."""
        self.hold(self._in_hand_bytes)

    def release_memory(self, keep_head: bool = False) -> None:
        """Hold and count nothing any more for this request, which has ended.

        With `keep_head`, what is left of the head stays counted, which has no headers then.
        """
        self.hold(self._head_bytes * keep_head - self._held_bytes)
        self._piece = b""
        if self.head is not None:
            self.head.headers = []

    def refuse_for_memory(self) -> None:
        """Refuse the request unless it is whole and has a slot; end it if a target may run it."""
        if self.has_slot and not self.ends_in_input:
            return
        self.refused_for_memory = True
        if self.on_memory_full is not None:
            self.on_memory_full()

    def _hold_in_hand(self, size: int) -> None:
        change, self._in_hand_bytes = size - self._in_hand_bytes, size
        self.hold(change)

    async def next_body(self) -> bytes | None:
        """Next piece of the request body, or None at its end; raises `BodyError`."""
        if self._ambiguous_end:
            raise BodyError(ResultCode.BAD_REQUEST)
        while True:
            if self.refused_for_memory:
                raise BodyError(ResultCode.HOST_MEMORY_FULL)
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                release_frames(error)
                raise BodyError(ResultCode.BAD_REQUEST) from None
            if isinstance(event, h11.Data):
                self._received_bytes += len(event.data)
                if self._received_bytes > self._connection.max_body_bytes:
                    raise BodyError(ResultCode.BODY_TOO_LARGE)
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                rest = bytes(self._h11.trailing_data[0])
                self._check_end(len(rest))
                self._hold_in_hand(0)
                self._connection.push_back(rest)
                return None
            if event is not h11.NEED_DATA:
                raise BodyError(ResultCode.BAD_REQUEST)
            if self._h11.they_are_waiting_for_100_continue:
                informational = h11.InformationalResponse(status_code=100, headers=[])
                # A reader that is cancelled here would leave the caller without the answer.
                with trio.CancelScope(shield=True) as scope:
                    scope.deadline = trio.current_time() + INTERIM_SEND_TIMEOUT_S
                    await self.send(self._h11.send(informational) or b"")
            # A caller that stops here must not keep the whole piece in memory.
            self._before_piece, self._piece = (self._before_piece + self._piece[-4:])[-4:], b""
            self._hold_in_hand(0)
            with trio.move_on_after(self._connection.body_idle_timeout_s):
                data = await self._connection.receive()
                if not data:
                    full = self.refused_for_memory
                    code = ResultCode.HOST_MEMORY_FULL if full else ResultCode.BAD_REQUEST
                    raise BodyError(code)
                self._hold_in_hand(len(data))
                if self._is_chunked:
                    self._piece = data
                self._h11.receive_data(data)
                continue
            raise BodyError(ResultCode.CALLER_TOO_SLOW)

    def _check_end(self, unread: int) -> None:
        """Raise `BodyError` if parsers may disagree on where the chunked body ended."""
        if not self._is_chunked:
            return
        end = len(self._piece) - unread
        last = (self._before_piece + self._piece[max(0, end - 4) : end])[-4:]
        self._piece = b""
        if last != _CHUNKED_END:
            self._ambiguous_end = True
            raise BodyError(ResultCode.BAD_REQUEST)

    def encode_head(self, status: int, headers: Headers, code: ResultCode) -> bytes:
        """Encode the head of an answer, adding the result code."""
        self.answer_started = True
        if not self.is_fully_read:
            # The rest of the body would have to be read before the next request.
            self._connection.closing = True
        headers = [
            *headers,
            (RESULT_HEADER, b"%d" % code),
            (RUN_HEADER, code.run.value.encode()),
        ]
        if self._connection.closes_after(self):
            headers.append((b"connection", b"close"))
        return self._h11.send(h11.Response(status_code=status, headers=headers)) or b""

    def encode_body(self, data: bytes) -> bytes:
        """Encode one piece of the answer's body."""
        return self._h11.send(h11.Data(data=data)) or b""

    def encode_end(self) -> bytes:
        """Encode the end of the answer."""
        return self._h11.send(h11.EndOfMessage()) or b""

    async def send(self, data: bytes) -> None:
        """Send encoded bytes, or buffer them until the earlier answers have been sent.

        Raises `trio.BrokenResourceError` if the caller has disconnected.
        """
        self._unsent += data
        self.hold(len(data))
        if self._previous_ended is not None and not self._previous_ended.is_set():
            # Do not wait here, or the deadline could cut off an answer that waits for earlier ones.
            if len(self._unsent) <= MAX_UNSENT_BYTES:
                return
        await self.flush()

    async def flush(self) -> None:
        """Wait until the earlier answers have been sent, then send the buffered bytes."""
        if self._previous_ended is not None:
            await self._previous_ended.wait()
            self._previous_ended = None
        data, self._unsent = self._unsent, b""
        self._sending = True
        await self._connection.send(data)
        self._sending = False
        self.hold(-len(data))
        self.sent_bytes += len(data)

    def may_answer(self) -> bool:
        """Whether no answer to this request has been started."""
        return self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    async def answer(self, status: int, headers: Headers, body: bytes, code: ResultCode) -> None:
        """Send a complete answer."""
        data = self.encode_head(status, [*headers, (b"content-length", b"%d" % len(body))], code)
        if body and self._method != b"HEAD":
            data += self.encode_body(body)
        await self.send(data + self.encode_end())

    async def refuse(self, code: ResultCode) -> None:
        """Send an error answer that dotterelstand itself generates."""
        headers: Headers = [(b"content-type", b"text/plain")]
        if code.retry_after_s is not None:
            own = self.retry_after_s
            after_s = code.retry_after_s if own is None else round(own, 3)
            headers.append((b"retry-after", f"{after_s:g}".encode()))
        if code is ResultCode.UNAUTHORIZED:
            # Required by RFC 9110 section 15.5.2.
            headers.append((b"www-authenticate", b"Token"))
        body = f"{code:d} {code.name.lower()}\n".encode()
        await self.answer(code.http_status, headers, body, code)

    async def abort(self) -> None:
        """Reset the connection, so that a truncated answer cannot look complete.

        Earlier answers that the caller may not have read yet are delivered first, since the reset
        would discard them.
        """
        # The answer to an HTTP/1.0 request may end with its connection.
        is_framed = self._previous_ended is not None or self._h11.their_http_version != b"1.0"
        if self._previous_ended is not None:
            await self._previous_ended.wait()
        if self._connection.aborted:
            return
        if self._follows_unread and is_framed:
            await self._connection.end_output(self)
        self._connection.abort(self)


def make_request(
    connection: "CallerConnection", parsed: "ParsedHead", previous: CallerRequest | None
) -> CallerRequest:
    """Make the request with a parsed head, behind the previous one of its connection."""
    if previous is not None and previous.ended.is_set():
        previous.release_memory()
    return CallerRequest(
        connection,
        parsed.state,
        parsed.method,
        parsed.head,
        None if previous is None else previous.ended,
        parsed.received,
        parsed.head_bytes,
        parsed.cost_bytes,
    )


def serving_stage(requests: Iterable[CallerRequest]) -> Stage:
    """Stage of a connection that serves at least one request."""
    if any(request.ends_in_input for request in requests):
        return Stage.ARRIVING
    # The memory of an answer that has begun is released only by its delivery, or by a reset.
    waits = any(not request.has_slot for request in requests) and not has_begun_answer(requests)
    return Stage.WAITING if waits else Stage.BUSY


def has_begun_answer(requests: Iterable[CallerRequest]) -> bool:
    """Whether the answer to one of the requests has begun."""
    return any(request.answer_started for request in requests)
