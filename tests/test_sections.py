"""Section commands show, check and accept sections, and report conflicting edits."""

import json
import queue
import threading
from collections.abc import Iterator
from pathlib import Path

import pytest
import trio
from support_operation import run_command

from dotterelstand.connection.network import TcpNetwork
from dotterelstand.exits import ExitCode
from dotterelstand.standin.httpd import serve_http
from dotterelstand.standin.platform import ObjectStore

EXAMPLES = Path(__file__).parent.parent / "examples"
ORDERS = EXAMPLES / "asante-boakye" / "document" / "orders.toml"
PLATFORM = EXAMPLES / "asante-boakye" / "document" / "platform.toml"


@pytest.fixture
def options(tmp_path: Path) -> Iterator[list[str]]:
    """Options that point the tool to an empty store on a free port."""
    ports: queue.Queue[tuple[int, trio.lowlevel.TrioToken, trio.CancelScope]] = queue.Queue()

    async def main() -> None:
        store = ObjectStore()
        listener = await TcpNetwork().listen("127.0.0.1", 0)

        async def serve(stream: trio.abc.Stream) -> None:
            await serve_http(stream, store.handle)

        async with trio.open_nursery() as nursery:
            ports.put((listener.port, trio.lowlevel.current_trio_token(), nursery.cancel_scope))
            await listener.serve(serve, nursery)

    thread = threading.Thread(target=trio.run, args=(main,))
    thread.start()
    port, token, scope = ports.get()
    settings = tmp_path / "tool.toml"
    settings.write_text(f'[store]\nurl = "http://127.0.0.1:{port}"\n[tool]\nauthor = "esi"\n')
    yield ["--settings", str(settings)]
    trio.from_thread.run_sync(scope.cancel, trio_token=token)
    thread.join()


def test_edit_propose_accept_and_history(
    options: list[str], capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against commands that do not work together, and against overwriting another edit."""

    def run(*command: str) -> tuple[int, str, str]:
        return run_command(capsys, "section", *command, *options)

    assert run("accept", "platform", str(PLATFORM))[0] == 0
    assert run("accept", "orders", str(ORDERS))[:2] == (
        0,
        "section orders is accepted in version 2\n",
    )
    assert run("show", "orders")[1] == ORDERS.read_text()
    mine, theirs = tmp_path / "mine.toml", tmp_path / "theirs.toml"
    for path in (mine, theirs):
        assert run("edit", "orders", str(path))[0] == 0
    mine.write_text(mine.read_text().replace("slots = 2", "slots = 3"))
    theirs.write_text(theirs.read_text().replace("slots = 2", "slots = 4"))
    code, out, _ = run("propose", "orders", str(mine))
    assert (code, "+slots = 3" in out) == (0, True)
    assert run("accept", "orders", str(mine))[0] == 0
    for command in ("propose", "accept"):
        code, _, err = run(command, "orders", str(theirs))
        assert code == ExitCode.CONFLICT
        assert "4105" in err
        assert "slots = 3" in err
    code, out, _ = run("history", "orders", "--json")
    assert code == 0
    assert out.count('"author": "esi"') == 2
    assert "+slots = 3" in run("diff", "2")[1]
    assert "slots" not in run("diff", "0", "1")[1]
    for command, key in ((("diff", "2"), "difference"), (("show", "orders"), "body")):
        assert "slots = 3" in json.loads(run(*command, "--json")[1])[key]
    code, out, _ = run_command(capsys, "check", str(theirs), "--json")
    assert (code, json.loads(out)) == (0, {"valid": True, "errors": []})
    assert run("remove", "orders")[0] == 0
    assert "orders" not in run("show")[1]


def test_errors_set_the_exit_code(
    options: list[str], capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    """Guards against exit code 0 for an invalid, unknown or unreadable section."""

    def code_of(*command: str) -> int:
        return run_command(capsys, "section", *command, *options)[0]

    broken = tmp_path / "broken.toml"
    broken.write_text('owner = "a"\n[services.x]\nslots = 0\n')
    assert code_of("propose", "broken", str(broken)) == ExitCode.DOCUMENT_INVALID
    assert code_of("accept", "broken", str(broken)) == ExitCode.DOCUMENT_INVALID
    assert code_of("accept", "x", str(tmp_path / "none.toml")) == ExitCode.FILE_UNREADABLE
    assert code_of("show", "nothing") == ExitCode.NOT_FOUND
    assert code_of("show", "--version", "7") == ExitCode.NOT_FOUND
    assert code_of("remove", "nothing") == ExitCode.NOT_FOUND
    assert code_of("show") == ExitCode.OK


def test_store_outage_changes_nothing(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    """Guards against a command that hangs or reports success while the store is down."""
    settings = tmp_path / "tool.toml"
    settings.write_text('[store]\nurl = "http://127.0.0.1:1"\n')
    code, _, err = run_command(capsys, "section", "show", "--settings", str(settings))
    assert code == ExitCode.STORE_UNAVAILABLE, err


@pytest.mark.parametrize(
    ("text", "code", "words"),
    [
        ("[listen]\nport = 70000\n", ExitCode.SETTINGS_INVALID, ["4005", "listen.port"]),
        ("[listen]\nport = 8081\n", ExitCode.OK, ["settings are valid"]),
        ('owner = "a"\nslots = 1\n', ExitCode.DOCUMENT_INVALID, ["4102", "slots"]),
        ('owner = "a"\nclasses = ["x"]\n', ExitCode.OK, ["valid by itself"]),
        ("x =", ExitCode.SETTINGS_INVALID, ["4001", "file.toml"]),
    ],
)
def test_check_detects_the_kind_of_a_file(
    capsys: pytest.CaptureFixture[str], tmp_path: Path, text: str, code: int, words: list[str]
) -> None:
    """Guards against checking a settings file as a section, and a section as settings."""
    path = tmp_path / "file.toml"
    path.write_text(text)
    found, out, err = run_command(capsys, "check", str(path))
    assert found == code, err
    assert all(word in out + err for word in words), out + err


@pytest.mark.parametrize("name", ["asante-boakye", "styrkeloft"])
def test_example_documents_are_valid(capsys: pytest.CaptureFixture[str], name: str) -> None:
    """Guards against example documents that would be rejected."""
    code, out, err = run_command(capsys, "check", str(EXAMPLES / name / "document"))
    assert code == 0, err
    assert "4 sections" in out
