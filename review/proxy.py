"""TCP proxy on a loopback address that can stop forwarding without closing a connection."""

import asyncio

READ_BYTES = 65536


class Proxy:
    """Forwards connections to one address; `watched_at` is the time of the last watch of targets."""

    def __init__(self, target_ip, target_port):
        self.cut = False
        self.watched_at = 0.0
        self._target = (target_ip, target_port)
        self._healed = asyncio.Event()
        self._healed.set()
        self._server = None

    async def start(self, ip):
        """Listen and return the port."""
        self._server = await asyncio.start_server(self._serve, ip, 0)
        return self._server.sockets[0].getsockname()[1]

    def set_cut(self, cut):
        """Cut or heal: what is sent meanwhile is held back."""
        self.cut = cut
        if cut:
            self._healed.clear()
        else:
            self._healed.set()

    async def _serve(self, reader, writer):
        try:
            await self._healed.wait()
            up_reader, up_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._forward(reader, up_writer, True), self._forward(up_reader, writer, False)
        )

    async def _forward(self, reader, writer, upstream):
        try:
            while data := await reader.read(READ_BYTES):
                await self._healed.wait()
                if upstream and b"/servers?watch=" in data:
                    self.watched_at = asyncio.get_running_loop().time()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()
