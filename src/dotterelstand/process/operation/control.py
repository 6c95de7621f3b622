"""Control port of a daemon: shows the state of its components and runs operators' actions.

Components register with the daemon's `ControlRegistry`:

- `registry.provide("members", function)`: `GET /v1/members` answers with the return value of
  `function()`, which must be serializable as JSON; the function must not block.
- A name with a dot belongs to a group: `budgets.store` and `budgets.measure` are answered together
  under `GET /v1/budgets` as `{"store": ..., "measure": ...}`.
- `registry.provide_async("histograms", function)` is for pages that take long to build: the
  function is asynchronous and yields to other tasks in between.
- `registry.add_check("document", function)`: the host is ready while every `function()` is True.
- `registry.add_action("quarantine/lift", function)`: `POST /v1/quarantine/lift` calls
  `await function(arguments)` with the JSON object of the body; a `Failure` holds the reason.

The command-line tool prints some pages as tables: `targets`, `members`, `ownership` and
`quarantine` are lists of flat objects; `status` and each part of `budgets` are flat objects.
"""

import hmac
import json
from collections.abc import Awaitable, Callable

from returns.pipeline import is_successful
from returns.result import Result

from dotterelstand.connection.control import ControlAnswer, ControlRequest, ControlServer
from dotterelstand.connection.network import Listener, Network
from dotterelstand.events import Event, log
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import Settings

NOT_AUTHORIZED = 4201
UNKNOWN_NAME = 4202
BAD_ARGUMENTS = 4203
ACTION_FAILED = 4204
PROVIDER_FAILED = 4205

Provider = Callable[[], object]
AsyncProvider = Callable[[], Awaitable[object]]
Arguments = dict[str, object]
Action = Callable[[Arguments], Awaitable[Result[object, str]]]


class ControlRegistry:
    """Page providers, readiness checks and actions by name."""

    __slots__ = ("_actions", "_async_providers", "_checks", "_providers")

    def __init__(self) -> None:
        self._providers: dict[str, Provider] = {}
        self._async_providers: dict[str, AsyncProvider] = {}
        self._checks: dict[str, Callable[[], bool]] = {}
        self._actions: dict[str, Action] = {}

    def provide(self, name: str, provider: Provider) -> None:
        """Answer `GET /v1/<name>` with the return value of a provider."""
        assert name not in self._providers and name not in self._async_providers, name
        self._providers[name] = provider

    def provide_async(self, name: str, provider: AsyncProvider) -> None:
        """Answer `GET /v1/<name>` with the return value of an asynchronous provider."""
        assert name not in self._providers and name not in self._async_providers, name
        self._async_providers[name] = provider

    def add_check(self, name: str, check: Callable[[], bool]) -> None:
        """Add a readiness check; the host is ready while all checks return True."""
        assert name not in self._checks, name
        self._checks[name] = check

    def add_action(self, name: str, action: Action) -> None:
        """Add an action that `POST /v1/<name>` runs."""
        assert name not in self._actions, name
        self._actions[name] = action

    def failing_checks(self) -> list[str]:
        """Names of the readiness checks that fail."""
        return [name for name, check in self._checks.items() if not check()]

    def names(self) -> list[str]:
        """Sorted names of pages, with each group listed once."""
        names = {name.partition(".")[0] for name in self._providers}
        return sorted(names | self._async_providers.keys())

    async def read(self, name: str) -> object:
        """Value of a page or of all parts of a group; raises `KeyError` for an unknown name."""
        if name in self._async_providers:
            return await self._async_providers[name]()
        if name in self._providers:
            return self._providers[name]()
        parts = {
            part.partition(".")[2]: provider()
            for part, provider in self._providers.items()
            if part.partition(".")[0] == name
        }
        if not parts:
            raise KeyError(name)
        return parts

    def action(self, name: str) -> Action | None:
        """Find an action by its name; None if there is none."""
        return self._actions.get(name)


class ControlPort:
    """Serves the control port; every path except health and readiness requires a token."""

    __slots__ = ("_metrics", "_registry", "_settings", "_tokens", "port")

    def __init__(self, settings: Settings, registry: ControlRegistry, metrics: Metrics) -> None:
        self._settings = settings
        self._registry = registry
        self._metrics = metrics
        self._tokens = [token.encode() for token in settings.texts("control", "tokens")]
        self.port = 0

    async def listen(self, network: Network) -> Listener:
        """Open the configured port; raises `OSError`."""
        listener = await network.listen(
            self._settings.text("control", "address"), self._settings.integer("control", "port")
        )
        self.port = listener.port
        return listener

    async def serve(self, listener: Listener) -> None:
        """Serve until cancelled."""
        settings = self._settings
        server = ControlServer(
            self.handle,
            settings.integer("control", "max_connections"),
            settings.integer("control", "max_body_bytes"),
            settings.number("control", "timeout_s"),
            lambda: self._metrics.count("control.connections_refused"),
        )
        await server.serve(listener)

    async def handle(self, request: ControlRequest) -> ControlAnswer:
        """Answer one request."""
        is_read = request.method in ("GET", "HEAD")
        if is_read and request.path == "/health":
            return ControlAnswer(200, {"health": "ok"})
        if is_read and request.path == "/ready":
            failing = self._registry.failing_checks()
            return ControlAnswer(
                503 if failing else 200, {"ready": not failing, "missing": failing}
            )
        if not self._authorized(request.token):
            self._metrics.count("control.denied")
            return _error(401, NOT_AUTHORIZED, "send one of control.tokens as bearer token")
        name = request.path.removeprefix("/v1/")
        try:
            if request.method == "POST":
                return await self._run(name, request.body)
            return await self._read(name)
        except Exception as error:
            # An error in one page must not stop the daemon; it is logged and answered with 500.
            log(Event.CONTROL_FAILED, name=name, error=repr(error))
            return _error(500, PROVIDER_FAILED, f"{name}: {error!r}")

    def _authorized(self, token: str) -> bool:
        # Comparing every token keeps the response time from revealing which one matched.
        given = token.encode("latin-1", "replace")
        return sum(hmac.compare_digest(known, given) for known in self._tokens) > 0

    async def _read(self, name: str) -> ControlAnswer:
        if name not in self._registry.names():
            known = ", ".join(self._registry.names())
            return _error(404, UNKNOWN_NAME, f"found {name!r}; one of {known}")
        return ControlAnswer(200, await self._registry.read(name))

    async def _run(self, name: str, body: bytes) -> ControlAnswer:
        action = self._registry.action(name)
        if action is None:
            return _error(404, UNKNOWN_NAME, f"found {name!r}; no such action on this host")
        try:
            arguments = json.loads(body or b"{}")
        except ValueError:
            arguments = None
        if not isinstance(arguments, dict):
            return _error(400, BAD_ARGUMENTS, "the body must be a JSON object")
        log(Event.CONTROL_ACTION, name=name, arguments=arguments)
        result = await action(arguments)
        if is_successful(result):
            return ControlAnswer(200, result.unwrap())
        return _error(409, ACTION_FAILED, result.failure())


def _error(status: int, code: int, text: str) -> ControlAnswer:
    return ControlAnswer(status, {"code": code, "error": text})
