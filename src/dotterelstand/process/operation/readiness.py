"""Answers the platform's readiness probe, which asks whether this host accepts new callers."""

from dotterelstand.connection.control import ControlAnswer, ControlRequest, ControlServer
from dotterelstand.connection.network import Network
from dotterelstand.process.operation.control import ControlRegistry
from dotterelstand.settings import Settings

# Maximum number of concurrent connections; further connections are closed.
MAX_CONNECTIONS = 16
# A probe has no body, so a small limit is enough.
MAX_BODY_BYTES = 1024
# Maximum time in seconds for a probe to arrive.
TIMEOUT_S = 2.0


class ReadinessPort:
    """Port that serves one path: status 200 while all readiness checks succeed, else 503."""

    __slots__ = ("_path", "_registry", "_settings")

    def __init__(self, settings: Settings, registry: ControlRegistry) -> None:
        self._settings = settings
        self._registry = registry
        self._path = settings.text("readiness", "path")

    async def run(self, network: Network) -> None:
        """Serve until cancelled, if enabled in the settings; raises `OSError`."""
        if not self._settings.flag("readiness", "enabled"):
            return
        listener = await network.listen(
            self._settings.text("readiness", "address"), self._settings.integer("readiness", "port")
        )
        server = ControlServer(self._answer, MAX_CONNECTIONS, MAX_BODY_BYTES, TIMEOUT_S)
        await server.serve(listener)

    async def _answer(self, request: ControlRequest) -> ControlAnswer:
        if request.path != self._path:
            return ControlAnswer(404, {"found": request.path})
        failing = self._registry.failing_checks()
        return ControlAnswer(503 if failing else 200, {"ready": not failing, "missing": failing})
