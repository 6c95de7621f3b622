"""TLS for caller connections and, with mutual authentication, between entry hosts."""

import ssl
from pathlib import Path

import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.connection.memorybudget import MemoryBudget, Stage
from dotterelstand.connection.network import (
    Listener,
    Network,
    StreamHandler,
    limit_receive_buffers,
)
from dotterelstand.connection.target import close_now
from dotterelstand.events import Event, log
from dotterelstand.request.interfaces import Counters
from dotterelstand.settings import Settings, SettingsError

CERTIFICATE_FILES = 4007

HANDSHAKE_TIMEOUT_S = 5.0
# Maximum number of concurrent handshakes of one listener; beyond it, the oldest one is ended.
MAX_HANDSHAKES = 256
RELOAD_INTERVAL_S = 5.0


class CertificateFiles:
    """Paths of a certificate, its key and, for peers, the certificate authority."""

    __slots__ = ("authority", "certificate", "key", "prefix")

    def __init__(self, settings: Settings, prefix: str) -> None:
        self.prefix = prefix
        self.certificate = settings.text("tls", f"{prefix}_certificate")
        self.key = settings.text("tls", f"{prefix}_key")
        self.authority = settings.text("tls", "peer_authority") if prefix == "peer" else ""

    @property
    def configured(self) -> bool:
        """Whether the settings name a certificate."""
        return bool(self.certificate)

    def file_states(self) -> list[tuple[int, int]]:
        """Modification time in ns and size in bytes of each file; zeros for an unreadable one."""
        file_states = []
        for name in (self.certificate, self.key, self.authority):
            try:
                status = Path(name).stat()
            except OSError:
                file_states.append((0, 0))
            else:
                file_states.append((status.st_mtime_ns, status.st_size))
        return file_states


class CertificateContexts:
    """TLS contexts of one set of files; new connections use the last valid version."""

    __slots__ = ("_client", "_file_states", "_files", "_server")

    def __init__(self, files: CertificateFiles) -> None:
        self._files = files
        self._file_states = files.file_states()
        self._server: ssl.SSLContext | None = None
        self._client: ssl.SSLContext | None = None

    @property
    def server(self) -> ssl.SSLContext:
        """Context for accepted connections."""
        assert self._server is not None
        return self._server

    @property
    def client(self) -> ssl.SSLContext:
        """Context for opened connections."""
        assert self._client is not None
        return self._client

    def load(self) -> SettingsError | None:
        """Read the files; on an error, returns it and keeps the previous contexts."""
        server = self._build(ssl.PROTOCOL_TLS_SERVER)
        client = self._build(ssl.PROTOCOL_TLS_CLIENT)
        if not is_successful(server) or not is_successful(client):
            return server.failure() if not is_successful(server) else client.failure()
        self._server, self._client = server.unwrap(), client.unwrap()
        return None

    def reload_if_changed(self) -> None:
        """Reload the files if one of them changed since the last check."""
        file_states = self._files.file_states()
        if file_states == self._file_states:
            return
        self._file_states = file_states
        error = self.load()
        if error is None:
            log(Event.CERTIFICATES_RELOADED)
        else:
            log(Event.CERTIFICATES_INVALID, key=error.key, reason=error.found)

    def _build(self, protocol: int) -> Result[ssl.SSLContext, SettingsError]:
        files = self._files
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        try:
            # With an empty password an encrypted key is an error; otherwise OpenSSL would prompt.
            context.load_cert_chain(files.certificate, files.key, password="")
        except (OSError, ValueError) as error:
            return Failure(self._error("certificate", "key", error))
        # No check of the host name: peers are addressed by IP, and any certificate that the
        # authority signed identifies a peer.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_NONE
        if files.authority:
            context.verify_mode = ssl.CERT_REQUIRED
            try:
                context.load_verify_locations(files.authority)
            except (OSError, ValueError) as error:
                return Failure(self._error("authority", "", error))
        return Success(context)

    def _error(self, name: str, key_name: str, error: Exception) -> SettingsError:
        key = f"tls.{self._files.prefix}_{name}"
        allowed = "a PEM file that can be read"
        if key_name:
            allowed = f"a PEM file that matches the key without password in tls.peer_{key_name}"
            allowed = allowed.replace("peer", self._files.prefix)
        return SettingsError(CERTIFICATE_FILES, "certificates", key, str(error), allowed)


class _Handshake:
    """Handshake that holds memory, and ends if it is refused."""

    __slots__ = ("scope", "since_s")

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.scope.deadline = self.since_s = trio.current_time()
        self.scope.deadline += HANDSHAKE_TIMEOUT_S

    @property
    def stage(self) -> Stage:
        """A handshake counts as a request that is being received."""
        return Stage.ARRIVING

    @property
    def received_bytes(self) -> int:
        """No part of a request has arrived."""
        return 0

    def refuse_for_memory(self) -> None:
        """End the handshake, which closes its connection."""
        self.scope.cancel()


class TlsListener:
    """Listener for TLS streams; a failed handshake closes the connection."""

    __slots__ = ("_contexts", "_counters", "_handler", "_handshakes", "_inner", "_memory")

    def __init__(
        self,
        inner: Listener,
        contexts: CertificateContexts,
        counters: Counters,
        memory: MemoryBudget,
    ) -> None:
        self._inner = inner
        self._contexts = contexts
        self._counters = counters
        self._memory = memory
        # In the order in which they began.
        self._handshakes: dict[_Handshake, None] = {}
        self._handler: StreamHandler | None = None

    @property
    def inner(self) -> Listener:
        """Listener whose streams are wrapped."""
        return self._inner

    @property
    def port(self) -> int:
        """Port number that was bound."""
        return self._inner.port

    async def serve(self, handler: StreamHandler, nursery: trio.Nursery) -> None:
        """Run `handler` in `nursery` for each new stream until cancelled, then close the port."""
        self._handler = handler
        await self._inner.serve(self._accept, nursery)

    async def _accept(self, stream: trio.abc.Stream) -> None:
        if len(self._handshakes) >= MAX_HANDSHAKES:
            # Refusing the new one would let handshakes that never end shut out all callers.
            self._counters.count("tls.handshakes_refused")
            oldest = next(iter(self._handshakes))
            del self._handshakes[oldest]
            oldest.refuse_for_memory()
        tls_stream = _wrap_tls(stream, self._contexts.server, server_side=True)
        try:
            if await self._shake_hands(tls_stream):
                assert self._handler is not None
                await self._handler(tls_stream)
            else:
                self._counters.count("tls.handshake_failures")
                close_now(stream)
        finally:
            # A stream of trio's refers to itself by its handshake, and the garbage collector may
            # come after thousands of connections.
            vars(tls_stream).clear()

    async def _shake_hands(self, stream: trio.SSLStream) -> bool:
        """Perform the handshake; False if it fails, takes too long or is refused."""
        handshake = _Handshake()
        self._handshakes[handshake] = None
        try:
            with handshake.scope, self._memory.open(handshake, has_tls=True):
                self._memory.make_room(handshake.since_s)
                await stream.do_handshake()
                return True
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        finally:
            self._handshakes.pop(handshake, None)
        return False


@limit_receive_buffers.register
def _(listener: TlsListener, size: int) -> None:
    limit_receive_buffers(listener.inner, size)


class TlsNetwork:
    """Network that wraps every stream in TLS."""

    __slots__ = ("_contexts", "_counters", "_inner", "_memory")

    def __init__(
        self,
        inner: Network,
        contexts: CertificateContexts,
        counters: Counters,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._inner = inner
        self._contexts = contexts
        self._counters = counters
        self._memory = memory or MemoryBudget()

    async def connect(self, address: str, port: int) -> trio.abc.Stream:
        """Open a TLS stream; raises `OSError` if the connection or the handshake fails."""
        stream = await self._inner.connect(address, port)
        tls_stream = _wrap_tls(stream, self._contexts.client, server_side=False)
        try:
            await tls_stream.do_handshake()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._counters.count("tls.handshake_failures")
            close_now(stream)
            raise OSError(f"TLS handshake with {address}:{port} failed") from error
        except BaseException:
            close_now(stream)
            raise
        return tls_stream

    async def listen(self, address: str, port: int) -> TlsListener:
        """Open a TLS listener; raises `OSError`."""
        listener = await self._inner.listen(address, port)
        return TlsListener(listener, self._contexts, self._counters, self._memory)


class Certificates:
    """TLS contexts of a daemon for callers and for peers; each is None without TLS."""

    __slots__ = ("_callers", "_peers")

    def __init__(
        self, callers: CertificateContexts | None, peers: CertificateContexts | None
    ) -> None:
        self._callers = callers
        self._peers = peers

    def caller_network(
        self, network: Network, counters: Counters, memory: MemoryBudget | None = None
    ) -> Network:
        """Network for caller connections, whose handshakes are counted by `memory`."""
        if self._callers is None:
            return network
        return TlsNetwork(network, self._callers, counters, memory)

    def peer_network(self, network: Network, counters: Counters) -> Network:
        """Network for links between entry hosts."""
        return network if self._peers is None else TlsNetwork(network, self._peers, counters)

    async def run(self) -> None:
        """Reload changed files until cancelled."""
        while True:
            await trio.sleep(RELOAD_INTERVAL_S)
            for contexts in (self._callers, self._peers):
                if contexts is not None:
                    contexts.reload_if_changed()


def load_certificates(settings: Settings) -> Result[Certificates, list[SettingsError]]:
    """Load the files named in the settings; fails with one error per unusable set of files."""
    loaded: list[CertificateContexts | None] = []
    errors: list[SettingsError] = []
    for prefix in ("caller", "peer"):
        files = CertificateFiles(settings, prefix)
        contexts = CertificateContexts(files) if files.configured else None
        error = contexts.load() if contexts is not None else None
        if error is not None:
            errors.append(error)
        loaded.append(contexts)
    return Failure(errors) if errors else Success(Certificates(*loaded))


def _wrap_tls(
    stream: trio.abc.Stream, context: ssl.SSLContext, server_side: bool
) -> trio.SSLStream:
    # HTTP and websocket frame their messages, so a missing close_notify cannot hide a truncation.
    return trio.SSLStream(stream, context, server_side=server_side, https_compatible=True)
