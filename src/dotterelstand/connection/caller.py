"""One HTTP/1.1 connection from a caller."""

import trio

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.callerhead import HeadReader, ParsedHead
from dotterelstand.connection.callerinput import CallerInput
from dotterelstand.connection.callerlimits import MAX_LEFT_OVER_BYTES, CallerLimits
from dotterelstand.connection.callerrequest import (
    CallerRequest,
    has_begun_answer,
    make_request,
    serving_stage,
)
from dotterelstand.connection.handover import Handover
from dotterelstand.connection.memorybudget import Stage
from dotterelstand.connection.network import enlarge_send_buffer
from dotterelstand.connection.target import abort_now, close_now, has_input
from dotterelstand.request.fields import DEFAULT_FIELDS, HeaderFields


class CallerConnection:
    """One caller connection: its requests in order, and a task that reads ahead."""

    __slots__ = (
        "_awaits_request",
        "_closes_when_idle",
        "_drops_input",
        "_heads",
        "_inbox",
        "_last_answered",
        "_latest_request",
        "_limits",
        "_lingers",
        "_output_ended",
        "_quiet",
        "_reading",
        "_serving",
        "_stream",
        "aborted",
        "caller_left",
        "closing",
        "disconnected",
        "ended_by",
        "handover",
        "last_received_s",
        "memory",
        "received_bytes",
        "since_s",
        "undelivered",
        "unserved",
    )

    def __init__(
        self, stream: trio.abc.Stream, limits: CallerLimits, fields: HeaderFields = DEFAULT_FIELDS
    ) -> None:
        self._stream = stream
        self._limits = limits
        self.memory = limits.memory.open(self, isinstance(stream, trio.SSLStream))
        self._inbox = CallerInput(stream, self.memory)
        self.last_received_s: float = trio.current_time()
        self.since_s = self.last_received_s
        self.received_bytes = 0
        self._latest_request: CallerRequest | None = None
        self._serving: set[CallerRequest] = set()
        # Request whose answer was encoded with `connection: close`; no later one is answered.
        self._last_answered: CallerRequest | None = None
        self._output_ended = self._closes_when_idle = self._lingers = False
        self._quiet = False  # Whether no input was left when the connection was to end.
        self._reading = trio.CancelScope()
        self._heads = HeadReader(limits, fields, self.memory)
        # Whether input was dropped for lack of memory, so that no more of it can be used.
        self._drops_input = self._awaits_request = False
        self.aborted = self.closing = self.disconnected = False
        # Whether the caller had left before the connection was reset, or while bytes were sent.
        self.caller_left = False
        # Request whose answer ended the connection: it was truncated or announced the close.
        self.ended_by: CallerRequest | None = None
        self.handover: Handover = Handover()
        # Requests that ended before their answer was delivered.
        self.undelivered: list[CallerRequest] = []
        # Request that was read behind an answer that closes the connection.
        self.unserved: CallerRequest | None = None

    @property
    def body_idle_timeout_s(self) -> float:
        """Maximum time in seconds between two pieces of a request's body."""
        return self._limits.body_idle_timeout_s

    @property
    def max_body_bytes(self) -> int:
        """Maximum length of a request body in bytes."""
        return self._limits.bounds.max_body_bytes

    @property
    def will_close(self) -> bool:
        """Whether an answer with `connection: close` was encoded."""
        return self._last_answered is not None

    @property
    def ends_when_idle(self) -> bool:
        """Whether the connection ends as soon as no request is being served."""
        return self._closes_when_idle or self.will_close

    @property
    def left_over(self) -> bytes:
        """Input at the end of the connection that belongs to requests that were not read."""
        if self._last_answered is not None and self._last_answered.ends_in_input:
            return b""
        received = self._heads.unparsed + self._inbox.left_over + self._inbox.data
        return received[:MAX_LEFT_OVER_BYTES]

    @property
    def is_new(self) -> bool:
        """Whether no request has been read yet."""
        return self._latest_request is None

    @property
    def serving(self) -> int:
        """Number of requests that are being served."""
        return len(self._serving)

    @property
    def stage(self) -> Stage:
        """What the connection is doing, for the choice of whom to refuse for lack of memory."""
        if self.disconnected or self._lingers:
            return Stage.ENDING
        if self._serving:
            return serving_stage(self._serving)
        if self._awaits_request and not self._inbox:
            return Stage.IDLE
        return Stage.ENDING if self.will_close else Stage.ARRIVING

    @property
    def latest_limit_s(self) -> float:
        """Latest time limit of the requests that are being served."""
        return max(request.limit_s for request in self._serving)

    async def read_ahead(self) -> None:
        """Read until the caller disconnects; pauses at `READ_AHEAD_BYTES` of unconsumed input."""
        while True:
            with self._reading:
                await self._read_until_disconnect()
                break
            # A read that was cancelled holds no input, unlike one that is about to return.
            self._reading = trio.CancelScope()
            self._quiet = not self._inbox and not has_input(self._stream)
            # Else input without room would keep an ending connection open.
            self._drops_input |= not (self._quiet or self.memory.budget.has_room)
            self._inbox.readers.unpark_all()
        # A half-closed connection counts as closed, as HTTP has no other sign of a disconnect.
        self.disconnected = True
        self._inbox.readers.unpark_all()
        for request in list(self._serving):
            if request.on_disconnect is not None:
                request.on_disconnect()

    async def _read_until_disconnect(self) -> None:
        while await self._inbox.wait_for_space():
            try:
                # A cautious size while idle bounds what many connections read in the same moment.
                size = self.memory.budget.read_bytes(self._awaits_request)
                data = bytes(await self._stream.receive_some(size))
            except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
                self.handover.note_error(error)
                return
            if not data:
                return
            now = trio.current_time()
            if self._awaits_request and not self._inbox:
                self.since_s, self.received_bytes = now, 0
            self.received_bytes += len(data)
            self._inbox.append(data, now)

    async def next_request(self) -> CallerRequest | ResultCode | None:
        """Next request, the code of its refusal, or None if the connection ends.

        The previous request must have been read completely. Requests after an answer that closes
        the connection are ignored.
        """
        if self.will_close and not self._serving:
            return None
        self.since_s = trio.current_time()
        self.received_bytes = len(self._heads) + self._inbox.received_bytes
        if not self._heads and not await self._wait_for_data():
            return self._refusal_code()
        # Most heads arrive in one piece, and this search costs less than a cancel scope.
        if self._heads.has_whole_head:
            return await self._read_head()
        with trio.move_on_after(self._limits.bounds.head_timeout_s):
            return await self._read_head()
        return ResultCode.CALLER_TOO_SLOW

    def begin(self, request: CallerRequest) -> None:
        """Start to serve a request; `end` must follow."""
        self._serving.add(request)
        request.hold_piece()

    def end(self, request: CallerRequest) -> None:
        """Stop serving a request, whether it was answered or not."""
        self._serving.discard(request)
        # An idle connection refers to the head of its last request.
        request.release_memory(keep_head=request is self._latest_request)
        if request.is_delivered:
            # An idle connection must not keep the body and the attempts of its last request.
            request.write_decisions = None
            self.handover.note_answer(request.head, request.sent_bytes)
        else:
            self.undelivered.append(request)
        request.ended.set()
        self._inbox.readers.unpark_all()

    async def wait_for_others(self, request: CallerRequest | None) -> None:
        """Wait until all requests other than `request` have ended."""
        for other in [item for item in self._serving if item is not request]:
            await other.ended.wait()

    async def wait_for_begun_answers(self) -> None:
        """Wait until no answer that has begun can still be truncated."""
        while begun := [item for item in self._serving if item.may_be_cut]:
            await begun[0].ended.wait()

    def make_unread_request(self) -> CallerRequest:
        """Make a placeholder for a request that could not be read, to send its refusal."""
        return self._make_request(self._heads.unread())

    def closes_after(self, request: CallerRequest) -> bool:
        """Whether the answer to a request must announce that the connection closes.

        Only the latest request's answer does: a caller takes all requests that it sent behind
        such an answer for unread and sends them again.
        """
        if self.closing and request is self._latest_request and not self.will_close:
            self._last_answered = self.ended_by = request
        return request is self._last_answered

    def may_continue(self, request: CallerRequest) -> bool:
        """Whether the connection can carry another request after `request`."""
        return request.is_fully_read and request.is_fully_answered and not self.will_close

    def push_back(self, data: bytes) -> None:
        """Keep the bytes that follow a request's body as input for the next head."""
        self._heads.push_back(data)

    async def send(self, data: bytes) -> None:
        """Send encoded bytes.

        Raises `trio.BrokenResourceError` if the caller has disconnected or the output has ended.
        """
        if self._output_ended:
            raise trio.BrokenResourceError
        if data:
            try:
                await self._stream.send_all(data)
            except trio.BrokenResourceError:
                self.caller_left = self.caller_left or not self.aborted
                raise
            self.handover.last_sent_s = trio.current_time()

    def begin_stop(self) -> None:
        """Announce the close with the next answer, and limit the time of requests in flight.

        Answers that are read slowly go to the send buffer, which outlasts the process.
        """
        self.closing = True
        enlarge_send_buffer(self._stream)
        for request in self._serving:
            if request.on_stop is not None:
                request.on_stop()

    def is_idle(self) -> bool:
        """Whether no request is being served and none has begun to arrive."""
        quiet = self._awaits_request and not self._serving and not self._inbox
        return quiet and not has_input(self._stream)

    def close_when_idle(self) -> bool:
        """End the connection, after the requests that have arrived; returns whether it is idle.

        A request may still be on its way from the socket to the inbox, so the task that waits for
        requests ends the connection when it has asked the one that reads.
        """
        self._closes_when_idle = True
        self._inbox.readers.unpark_all()
        return self.is_idle()

    async def end_output(self, request: CallerRequest) -> None:
        """Let the caller receive what was sent, as in `linger`; `request` gets no answer."""
        self.caller_left = self.caller_left or self.disconnected
        self._last_answered = self.ended_by = request
        self._output_ended = True
        await self.linger()

    async def linger(self) -> None:
        """Read and drop input until the caller closes, so that it gets the last answer.

        Closing a socket with unread input resets the connection, which can discard the answer.
        The caller may still send a body or pipelined requests.
        """
        self._lingers = True
        if self.aborted or self.disconnected:
            return
        if isinstance(self._stream, trio.SocketStream):
            try:
                await self._stream.send_eof()
            except trio.BrokenResourceError:
                # The caller has reset the connection and reads nothing more.
                return
        with self.memory.lingering() as allowed, trio.CancelScope() as scope:
            scope.deadline = self.handover.last_sent_s + self._limits.linger_s
            if allowed:
                await self._inbox.drop_until(lambda: self.disconnected)

    def abort(self, request: CallerRequest) -> None:
        """Reset the connection, so that the truncated answer to `request` cannot look complete."""
        self.caller_left = self.caller_left or (self.disconnected and not self._output_ended)
        self.ended_by = request
        # Set at once, so that no request which waited for this one begins.
        self.aborted = self.closing = self.disconnected = True
        abort_now(self._stream)

    def refuse_for_memory(self) -> None:
        """Drop unread input, refuse requests without an answer and end the connection."""
        stage, self.closing = self.stage, True
        if stage is Stage.IDLE:
            self.close_when_idle()
            return
        self._drops_input = True
        self._inbox.clear()
        if self._latest_request and (stage is Stage.BUSY or has_begun_answer(self._serving)):
            self.abort(self._latest_request)
        for request in list(self._serving):
            request.refuse_for_memory()
        self._inbox.readers.unpark_all()

    def release_memory(self) -> None:
        """Drop what is held when the connection has ended, and all cycles, so that it is freed."""
        self._inbox.clear()
        self._heads.push_back(b"")
        self._latest_request = self._last_answered = self.ended_by = self.unserved = None
        self.undelivered.clear()
        self.memory.close()

    def close(self) -> None:
        """Close the connection at once."""
        close_now(self._stream)

    def _refusal_code(self) -> ResultCode | None:
        """Code with which to refuse a request that has not arrived completely."""
        return ResultCode.HOST_MEMORY_FULL if self._drops_input and not self._serving else None

    async def _wait_for_data(self) -> bool:
        if self._inbox:
            self._heads.append(await self.receive())
            return True
        self._awaits_request = True
        self.since_s = trio.current_time()
        while True:
            with trio.move_on_after(self._limits.bounds.idle_timeout_s):
                data = await self.receive()
                self._awaits_request = False
                self._heads.append(data)
                return bool(data)
            if not self._serving:
                self.closing = self._closes_when_idle = True

    async def _read_head(self) -> CallerRequest | ResultCode | None:
        parsed = await self._heads.read(self.receive, self._wait_for_memory)
        if parsed is None or isinstance(parsed, ResultCode):
            return parsed or self._refusal_code()
        # Time limits count from the arrival of the head; a pipelined head may be parsed much later.
        assert parsed.head is not None
        parsed.head.arrived_s = self.last_received_s
        return self._make_request(parsed)

    async def _wait_for_memory(self) -> bool:
        """Wait until what is counted fits in the memory; False if the connection was refused."""
        has_room = await self._inbox.wait_for_memory(lambda: self._drops_input or self.disconnected)
        # An idle connection that was refused may still get a request.
        self._drops_input |= self.memory.refused and not has_room
        return has_room and not self._drops_input

    def _make_request(self, parsed: ParsedHead) -> CallerRequest:
        self._latest_request = make_request(self, parsed, self._latest_request)
        return self._latest_request

    async def receive(self) -> bytes:
        """Next received bytes; empty after a disconnect or if no further request is served."""
        while self._drops_input or not self._inbox:
            if self._drops_input:
                return b""
            if self.disconnected or (self.will_close and not self._serving):
                return b""
            if self._closes_when_idle and self._awaits_request and not self._serving:
                if self._quiet:
                    return b""
                self._reading.cancel()
            await self._inbox.readers.park()
        self.last_received_s, data = self._inbox.take()
        return data
