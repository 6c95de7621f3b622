"""The control port requires a token, and its errors do not stop the daemon."""

import pytest
import trio
from returns.result import Failure, Result, Success
from support_operation import TOKEN, TOKEN_SETTINGS, call_control

from dotterelstand.process.operation.control import ControlPort, ControlRegistry
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import parse_settings
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.virtual import run_virtual


def _registry() -> ControlRegistry:
    registry = ControlRegistry()
    registry.add_check("document", lambda: False)
    registry.provide("members", lambda: [{"host": "entry-1"}])
    registry.provide("budgets.store", lambda: {"reads": 1})
    registry.provide("budgets.measure", lambda: {"bytes": 2})
    registry.provide("broken", lambda: 1 // 0)

    async def lift(arguments: dict[str, object]) -> Result[object, str]:
        if arguments.get("fingerprint") == "aa":
            return Success({"lifted": "aa"})
        return Failure("no such fingerprint")

    registry.add_action("quarantine/lift", lift)
    return registry


def _call(method: str, path: str, token: str, body: bytes, text: str = TOKEN_SETTINGS):
    async def main() -> tuple[int, object]:
        network = FakeNetwork(lambda source, destination: 0.001)
        port = ControlPort(parse_settings(text, "t").unwrap(), _registry(), Metrics(8))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(port.serve, await port.listen(network.at("127.0.0.1")))
            await trio.testing.wait_all_tasks_blocked()
            stream = await network.at("10.0.0.9").connect("127.0.0.1", port.port)
            answer = await call_control(stream, method, path, token, body)
            nursery.cancel_scope.cancel()
        return answer

    return run_virtual(main, seed=1)


@pytest.mark.parametrize(
    ("method", "path", "token", "body", "status", "value"),
    [
        ("GET", "/health", "", b"", 200, {"health": "ok"}),
        ("GET", "/ready", "", b"", 503, {"ready": False, "missing": ["document"]}),
        ("HEAD", "/health", "", b"", 200, None),
        ("HEAD", "/ready", "", b"", 503, None),
        ("GET", "/v1/members", TOKEN, b"", 200, [{"host": "entry-1"}]),
        ("GET", "/v1/budgets", TOKEN, b"", 200, {"store": {"reads": 1}, "measure": {"bytes": 2}}),
        ("POST", "/v1/quarantine/lift", TOKEN, b'{"fingerprint":"aa"}', 200, {"lifted": "aa"}),
    ],
)
def test_answers(
    method: str, path: str, token: str, body: bytes, status: int, value: object
) -> None:
    """Guards against pages that the command-line tool cannot read."""
    assert _call(method, path, token, body) == (status, value)


@pytest.mark.parametrize(
    ("method", "path", "token", "body", "status", "code"),
    [
        ("GET", "/v1/members", "", b"", 401, 4201),
        ("GET", "/v1/members", TOKEN[:-1], b"", 401, 4201),
        ("POST", "/v1/quarantine/lift", "x", b"{}", 401, 4201),
        ("GET", "/v1/nothing", TOKEN, b"", 404, 4202),
        ("POST", "/v1/members", TOKEN, b"", 404, 4202),
        ("POST", "/v1/quarantine/lift", TOKEN, b"[1]", 400, 4203),
        ("POST", "/v1/quarantine/lift", TOKEN, b"{", 400, 4203),
        ("POST", "/v1/quarantine/lift", TOKEN, b"{}", 409, 4204),
        ("GET", "/v1/broken", TOKEN, b"", 500, 4205),
    ],
)
def test_refusals(method: str, path: str, token: str, body: bytes, status: int, code: int) -> None:
    """Guards against access without a token, and against a page whose error stops the daemon."""
    actual_status, value = _call(method, path, token, body)
    assert isinstance(value, dict)
    assert (actual_status, value["code"]) == (status, code)


def test_no_tokens_refuse_every_call() -> None:
    """Guards against accepting requests without a token when the settings contain no tokens."""
    status, _ = _call("GET", "/v1/members", "", b"", "[control]\nport = 0\n")
    assert status == 401


def test_idle_connections_do_not_block_the_port() -> None:
    """Guards against idle connections that use up the connection limit for ever."""

    async def main() -> tuple[int, object]:
        network = FakeNetwork(lambda source, destination: 0.001)
        text = TOKEN_SETTINGS + "max_connections = 2\n"
        metrics = Metrics(8)
        port = ControlPort(parse_settings(text, "t").unwrap(), _registry(), metrics)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(port.serve, await port.listen(network.at("127.0.0.1")))
            await trio.testing.wait_all_tasks_blocked()
            caller = network.at("10.0.0.9")
            for _ in range(5):
                await caller.connect("127.0.0.1", port.port)
            await trio.sleep(1)
            assert metrics.value("control.connections_refused") == 3
            await trio.sleep(10)
            answer = await call_control(
                await caller.connect("127.0.0.1", port.port), "GET", "/health"
            )
            nursery.cancel_scope.cancel()
        return answer

    assert run_virtual(main, seed=1)[0] == 200
