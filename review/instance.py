"""Stand-in of an instance of a service: slots, a short queue, health check and load header."""

import asyncio
import random
import time

from store import read_request

HEALTH_WORK_S = 0.001
CRLF = b"\r\n"


class Instance:
    """An instance that follows PROTOCOL.md.

    `runs` lists the requests that it began to run, as (id, method, path, length of the body), and
    `arrivals` the times at which the heads of requests came, with their ids. With
    `tells_load` it answers health checks at once and adds its load to each answer; without, a
    health check waits for a slot or is rejected, as any other request. `crash` ends it as a killed
    process would end.

    With `extra_share` it sends that share of its answers twice; the second comes late, at the point
    where the next answer is expected on the connection.
    """

    def __init__(self, name, service, zone, slots, queue, work_s, record, tells_load=True):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.tells_load = tells_load
        self.extra_share = 0.0
        self.runs = []
        self.arrivals = []
        self.address = None
        self.alive = False
        self.leaving = False
        self._record = record
        self._born = int(time.time() * 1000)
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Condition()
        self._server = None
        self._writers = set()
        self._random = random.Random(name)

    async def start(self, ip):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        self.alive = True

    def entry(self, state="ready"):
        """Registration in the store."""
        info = {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots}
        status = {"state": state, "sequence": 1, "warmupLeftS": 0}
        return {"address": self.address, "info": info, "status": status, "born": self._born}

    def crash(self):
        """End at once: the port closes and all connections are reset."""
        self.alive = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def leave(self):
        """Exit after draining: the port closes, and connections close after their answer."""
        self._server.close()
        self.leaving = True

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        extra = b""
        try:
            while (request := await read_request(reader, self._note_arrival)) and self.alive:
                if extra:
                    self._record(
                        f"{self.name} sends a late extra answer {extra.split(CRLF)[0].decode()!r}"
                        f" before its answer to {request[0]} {request[1]}"
                    )
                    writer.write(extra)
                answer = await self._answer(*request)
                if not self.alive:
                    break
                writer.write(answer)
                await writer.drain()
                if self.leaving:
                    break
                extra = answer if self._random.random() < self.extra_share else b""
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _note_arrival(self, headers):
        request_id = headers.get("x-dotterelstand-request-id")
        if request_id is not None:
            self.arrivals.append((time.monotonic(), request_id))

    async def _answer(self, method, target, headers, body):
        is_health = target == "/health"
        if is_health and self.tells_load:
            return self._encode("200 OK", headers)
        expected = headers.get("x-dotterelstand-target-instance", self.name)
        if not is_health and expected != self.name:
            return self._encode("421 Misdirected Request", headers)
        if self._running >= self.slots and self._waiting >= self.queue:
            return self._encode("503 Service Unavailable", headers, not_run=True)
        self._waiting += 1
        async with self._free:
            await self._free.wait_for(lambda: self._running < self.slots)
            self._running += 1
        self._waiting -= 1
        try:
            if is_health:
                await asyncio.sleep(HEALTH_WORK_S)
                return self._encode("200 OK", headers)
            request_id = headers["x-dotterelstand-request-id"]
            self.runs.append((request_id, method, target, len(body)))
            self._record(f"{self.name} runs {request_id} {method} {target}")
            await asyncio.sleep(self.work_s * self._random.uniform(0.7, 1.3))
            return self._encode("200 OK", headers, f"{self.name} {request_id}".encode())
        finally:
            async with self._free:
                self._running -= 1
                self._free.notify_all()

    def _encode(self, status, headers, body=b"", not_run=False):
        lines = [
            f"HTTP/1.1 {status}",
            f"Content-Length: {len(body)}",
            f"X-Dotterelstand-Instance-Id: {self.name}",
        ]
        if "x-dotterelstand-request-id" in headers:
            lines.append(f"X-Dotterelstand-Request-Id: {headers['x-dotterelstand-request-id']}")
            lines.append("X-Dotterelstand-Server-Signature: 3e1b.07.5a2")
        if self.tells_load:
            load = f"{self._running},{self._waiting},{self.slots},100"
            lines.append(f"X-Dotterelstand-Server-Load: {load}")
        if not_run:
            lines.append("X-Dotterelstand-Not-Executed: 1")
        return "\r\n".join([*lines, "", ""]).encode() + body
