"""Stand-in of a client: keeps a connection and sends one request after another."""

import asyncio
import itertools

from store import read_chunks

_ids = itertools.count(1)


def new_id():
    """Request id that no other attempt of this run has."""
    return f"{next(_ids):016x}"


class Answer:
    """Answer of the system: status, headers and body."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Broken(Exception):
    """The connection ended before the whole answer."""


class Connection:
    """One connection to an entry daemon; `answered` counts the answers on it."""

    def __init__(self, address):
        self.address = address
        self.answered = 0
        self.will_close = False
        self._reader = None
        self._writer = None

    @property
    def open(self):
        """Whether the connection can carry another request."""
        return self._writer is not None and not self.will_close

    async def connect(self):
        """Open the connection; a client waits one second for that."""
        self._reader, self._writer = await asyncio.wait_for(
            asyncio.open_connection(*self.address), 1
        )

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def request(self, method, path, request_id, deadline_ms, body=b"", pieces=()):
        """Send one request and read its answer; raises `Broken` without a whole answer.

        The body is sent with a length, or in chunks if there are `pieces`.
        """
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: shop.example",
            f"X-Dotterelstand-Request-Id: {request_id}",
            f"X-Dotterelstand-Deadline-Ms: {deadline_ms}",
        ]
        if pieces:
            lines.append("Transfer-Encoding: chunked")
        elif body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            for piece in pieces:
                self._writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
                await self._writer.drain()
            if pieces:
                self._writer.write(b"0\r\n\r\n")
        except OSError as error:
            self.close()
            raise Broken(repr(error)) from error
        return await self.receive()

    def send(self, method, path, request_id, deadline_ms):
        """Send a request without a body; `receive` returns the answers in order."""
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: shop.example",
            f"X-Dotterelstand-Request-Id: {request_id}",
            f"X-Dotterelstand-Deadline-Ms: {deadline_ms}",
        ]
        self._writer.write("\r\n".join([*lines, "", ""]).encode())

    async def receive(self):
        """Read the next answer; raises `Broken` without a whole one."""
        try:
            return await self._read_answer()
        except (OSError, asyncio.IncompleteReadError) as error:
            self.close()
            raise Broken(repr(error)) from error

    async def _read_answer(self):
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        status = int(head[0].split()[1])
        headers = {}
        for line in head[1:]:
            name, separator, value = line.partition(":")
            if separator:
                headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = await read_chunks(self._reader)
        else:
            body = await self._reader.readexactly(int(headers.get("content-length", "0")))
        self.answered += 1
        self.will_close = headers.get("connection", "").lower() == "close"
        return Answer(status, headers, body)
