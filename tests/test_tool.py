"""Commands of the tool print the reports of the hosts and exit with the documented codes."""

import json
from pathlib import Path

import pytest
from returns.result import Failure, Result, Success
from support_operation import TOKEN, control_port_thread, run_command

from dotterelstand.exits import ExitCode
from dotterelstand.process.operation.control import ControlRegistry
from dotterelstand.process.operation.pages import _histograms
from dotterelstand.process.telemetry.metrics import Metrics


def _registry() -> ControlRegistry:
    registry = ControlRegistry()
    metrics = Metrics(8)
    for workspace in ("a", "b"):
        metrics.record_latency("quote", "interactive", workspace, 0.002)
    registry.provide("status", lambda: {"host": "entry-1", "ready": True, "document": 7})
    targets = [{"service": name, "target": f"{name}-01"} for name in ("quote", "orders")]
    registry.provide("targets", lambda: targets)
    registry.provide("counters", lambda: {"requests.result.1000": 2})
    links = [{"link": "all", "peak_bytes_per_s": 77}]
    registry.provide("budgets.store", lambda: {"breaker": "closed", "links": links})
    registry.provide_async("histograms", lambda: _histograms(metrics))

    async def lift(arguments: dict[str, object]) -> Result[object, str]:
        known = arguments["fingerprint"] == "12e4"
        return Success({"lifted": "12e4"}) if known else Failure("not quarantined")

    registry.add_action("quarantine/lift", lift)
    return registry


@pytest.fixture
def options(tmp_path: Path):
    """Options that point the tool to two control ports with the same state."""
    path = tmp_path / "tool.toml"
    path.write_text(f'[control]\ntokens = ["{TOKEN}"]\n')
    with control_port_thread(_registry()) as one, control_port_thread(_registry()) as two:
        yield ["--settings", str(path), "--hosts", f"127.0.0.1:{one},127.0.0.1:{two}"]


@pytest.mark.parametrize(
    ("command", "code", "words"),
    [
        (["status"], ExitCode.OK, ["entry-1", "yes", "7"]),
        (["targets"], ExitCode.OK, ["quote-01", "orders-01"]),
        (["counters"], ExitCode.OK, ["requests.result.1000", "4"]),
        (
            ["budgets"],
            ExitCode.OK,
            ["store", "breaker", "closed", "links all: peak_bytes_per_s  77"],
        ),
        (["histogram"], ExitCode.OK, ["quote", "interactive", "all", "4", "2.01"]),
        (["histogram", "--by_tenant"], ExitCode.OK, ["quote", "a", "b", "2"]),
        (["quarantine", "lift", "12e4"], ExitCode.OK, ["12e4"]),
        (["quarantine", "lift", "ff"], ExitCode.HOST_REFUSED, ["4204", "not quarantined"]),
        (["members"], ExitCode.NOT_FOUND, ["4202", "members"]),
        (["nothing"], ExitCode.USAGE, ["nothing"]),
        (["drain", "127.0.0.1:1", "--wait", "x"], ExitCode.USAGE, ["wait", "a number"]),
        (["section", "diff", "x"], ExitCode.USAGE, ["old", "whole number"]),
        (["--help"], ExitCode.OK, ["histogram", "quarantine"]),
    ],
)
def test_commands(
    options: list[str],
    capsys: pytest.CaptureFixture[str],
    command: list[str],
    code: ExitCode,
    words: list[str],
) -> None:
    """Guards against output that omits a host, and against undocumented exit codes."""
    arguments = command if command == ["--help"] else [*command, *options]
    found, out, err = run_command(capsys, *arguments)
    assert found == code, (out, err)
    for word in words:
        assert word in out + err


def test_targets_of_one_service(options: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a service filter without effect."""
    code, out, _ = run_command(capsys, "targets", "--service", "orders", *options)
    assert code == 0
    assert out.count("orders-01") == 2
    assert "quote" not in out


def test_plot_is_written(
    options: list[str], capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against an empty or unreadable plot."""
    path = tmp_path / "latency.png"
    code, _, err = run_command(capsys, "histogram", *options, "--plot", str(path))
    assert code == 0, err
    assert path.read_bytes().startswith(b"\x89PNG")


def test_one_silent_host_leaves_the_others(
    options: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against one unreachable host that suppresses the output of the others."""
    options[3] += ",127.0.0.1:1"
    code, out, err = run_command(capsys, "status", "--json", *options)
    assert code == ExitCode.HOST_UNREACHABLE
    answer = json.loads(out)
    assert len(answer["hosts"]) == 2
    assert list(answer["errors"]) == ["127.0.0.1:1"]
    assert "127.0.0.1:1" in err


def test_wrong_token_and_bad_settings(
    options: list[str], capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against wrong exit codes for a rejected token and for invalid settings."""
    other = tmp_path / "other.toml"
    other.write_text('[control]\ntokens = ["some-other-token"]\n')
    code, _, _ = run_command(capsys, "status", "--settings", str(other), *options[2:])
    assert code == ExitCode.NOT_AUTHORIZED
    other.write_text("[control]\nport = 'x'\n")
    code, _, err = run_command(capsys, "settings", "show", "--settings", str(other))
    assert code == ExitCode.SETTINGS_INVALID
    assert "control.port" in err
