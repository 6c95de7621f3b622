"""The reference tables in docs/ are complete and agree with the code."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest
from returns.pipeline import is_successful

from dotterelstand.cli.check import check_path
from dotterelstand.cli.main import Tool
from dotterelstand.codes import Result
from dotterelstand.events import Event
from dotterelstand.exits import ExitCode
from dotterelstand.process.idempotency.journalowner import PartitionFigures
from dotterelstand.process.idempotency.journalservice import JournalFigures
from dotterelstand.process.idempotency.journaltypes import RecordFigures
from dotterelstand.process.idempotency.outcomes import OutcomeFigures
from dotterelstand.process.quota.node import QuotaCounters
from dotterelstand.process.selection.dispatcher import DispatcherCounters
from dotterelstand.process.selection.grantserver import GrantServerCounters
from dotterelstand.process.selection.measure import MeasureCounters
from dotterelstand.process.selection.slotcore import SlotCounters
from dotterelstand.process.storage.callbudget import CallFigures
from dotterelstand.process.telemetry.counters import PREFIXES
from dotterelstand.settings import default_settings
from dotterelstand.settings_rules import RULES

FIGURES = (
    CallFigures,
    DispatcherCounters,
    GrantServerCounters,
    JournalFigures,
    MeasureCounters,
    OutcomeFigures,
    PartitionFigures,
    QuotaCounters,
    RecordFigures,
    SlotCounters,
)
ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "src").rglob("*.py"))
COUNTER_NAME = re.compile(r"[a-z_]+(\.([a-z_]+|<>))+")
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])


def _rows(name: str) -> dict[str, list[str]]:
    """Return the rows of all tables of a page by their first cell, without backquotes."""
    rows: dict[str, list[str]] = {}
    lines = (ROOT / "docs" / name).read_text(encoding="utf-8").splitlines()
    for line, following in zip(lines, [*lines[1:], ""], strict=True):
        is_head = following.startswith("| --")
        if not line.startswith("| ") or line.startswith("| --") or is_head:
            continue
        cells = [cell.strip().strip("`") for cell in line.strip().strip("|").split(" | ")]
        assert cells[0] not in rows, f"{name}: two rows for {cells[0]}"
        rows[cells[0]] = cells
    return rows


def _calls() -> Iterator[tuple[Path, ast.Call]]:
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Call):
                yield path, node


def _name_pattern(node: ast.expr) -> str | None:
    """Return the counter name of an argument, with `<>` for each interpolated value."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        parts = [part.value if isinstance(part, ast.Constant) else "<>" for part in node.values]
        return "".join(map(str, parts))
    return None


def _counted_names() -> set[str]:
    """Return names passed to counting methods, and keys of tables named `counts`."""
    names = set()
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            choices: list[ast.expr] = []
            counts = False
            if isinstance(node, ast.Call) and node.args:
                receiver, _, function = ast.unparse(node.func).lower().rpartition(".")
                choices = [node.args[0]] if function in ("count", "_count") else []
                counts = bool(choices) and ("metrics" in receiver or "counters" in receiver)
            elif isinstance(node, ast.Subscript) and ast.unparse(node.value).endswith("counts"):
                choices = [node.slice]
            if choices and isinstance(choices[0], ast.IfExp):
                choices = [choices[0].body, choices[0].orelse]
            found = [_name_pattern(choice) for choice in choices]
            assert not counts or all(found), f"{path.name}:{node.lineno}: name is no literal"
            names.update(name for name in found if name and COUNTER_NAME.fullmatch(name))
    return names


def test_result_codes_are_described() -> None:
    """Guards against a result code that a caller cannot look up."""
    rows = _rows("result-codes.md")
    assert set(rows) == {str(int(code)) for code in Result}
    for code in Result:
        _, name, run, status, *_ = rows[str(int(code))]
        shown = "of the target" if code < 2000 else str(code.http_status)
        assert (name, run, status) == (code.name.lower(), code.run.value, shown)


def test_log_events_are_described() -> None:
    """Guards against a log line whose number or fields an operator cannot look up."""
    rows = _rows("log-events.md")
    assert set(rows) == {str(int(event)) for event in Event}
    assert {row[1] for row in rows.values()} == {event.name.lower() for event in Event}
    for path, call in _calls():
        function = ast.unparse(call.func)
        if not call.args or not (function == "log" or function in ("self.note", "trail.note")):
            continue
        event = call.args[0]
        choices = [event.body, event.orelse] if isinstance(event, ast.IfExp) else [event]
        for name in map(ast.unparse, choices):
            if not name.startswith("Event."):
                continue
            row = rows[str(int(Event[name.removeprefix("Event.")]))]
            described = {field.strip() for field in row[3].split(",")} if len(row) > 3 else set()
            used = {keyword.arg for keyword in call.keywords if keyword.arg}
            assert used <= described, f"{path.name}:{call.lineno}: {name}: {used - described}"


def test_every_log_event_is_used() -> None:
    """Guards against a documented event that is never logged."""
    used = set()
    for path in SOURCES:
        if path.name != "events.py":
            used.update(re.findall(r"\bEvent\.([A-Z_]+)", path.read_text(encoding="utf-8")))
    assert used == set(Event.__members__)


def test_exit_codes_are_described() -> None:
    """Guards against an exit code that a script cannot interpret."""
    rows = _rows("exit-codes.md")
    assert set(rows) == {str(int(code)) for code in ExitCode}
    assert all(rows[str(int(code))][1] == code.name.lower() for code in ExitCode)


def test_counters_are_described() -> None:
    """Guards against a counter without a row in docs/counters.md, and rows of removed counters."""
    described = set()
    for name in _rows("counters.md"):
        parts = name.replace(">", "<").split("<")
        described.add("<>".join(parts[::2]))
    figures = {f"{PREFIXES[kind.__name__]}.{name}" for kind in FIGURES for name in kind.__slots__}
    figures -= {"store.breaker"}  # a state, not a counter
    tables = {name for name in figures if any(row.startswith(name + ".<>") for row in described)}
    described -= {row for row in described if any(row.startswith(name + ".<>") for name in tables)}
    assert described == _counted_names() | figures - tables


def test_error_codes_are_described() -> None:
    """Guards against a numbered error message that an operator cannot look up."""
    found: dict[str, str] = {}
    for path in SOURCES:
        for node in ast.parse(path.read_text(encoding="utf-8")).body:
            if not isinstance(node, ast.Assign) or not isinstance(node.targets[0], ast.Name):
                continue
            value = node.value.value if isinstance(node.value, ast.Constant) else None
            name = node.targets[0].id
            is_bound = name.startswith("MAX_")
            if isinstance(value, int) and 4000 < value < 6000 and not is_bound:
                assert str(value) not in found, f"{path.name}: {value} is used twice"
                found[str(value)] = name.lower()
    rows = _rows("error-codes.md")
    assert {code: row[1] for code, row in rows.items()} == found


@pytest.mark.parametrize("section", sorted(default_settings().as_dict()))
def test_settings_are_described(section: str) -> None:
    """Guards against a setting without a rule, and wrong or missing rows in docs/settings.md."""
    rows = {name: row for name, row in _rows("settings.md").items() if "." in name}
    values = default_settings().as_dict()[section]
    documented = {name for name in rows if name.startswith(section + ".")}
    assert documented == {f"{section}.{key}" for key in values}
    assert set(RULES[section]) == set(values)
    for key, value in values.items():
        rule = RULES[section][key]
        assert rule.accepts(value), f"{section}.{key}: default {value!r}; {rule.allowed}"
        shown = str(value).lower() if isinstance(value, bool) else str(value) or '""'
        assert rows[f"{section}.{key}"][1:3] == [shown, rule.allowed], f"{section}.{key}"


@pytest.mark.parametrize("page", ["README.md", "docs/quickstart.md"])
def test_shown_files_are_valid(page: str, tmp_path: Path) -> None:
    """Guards against example documents and settings for new users that the check rejects."""
    blocks = (ROOT / page).read_text(encoding="utf-8").split("```toml\n")[1:]
    assert blocks
    for number, block in enumerate(blocks):
        path = tmp_path / f"file-{number}.toml"
        path.write_text(block.split("```")[0])
        assert is_successful(check_path(path)), path.read_text()


def test_every_page_is_in_the_index() -> None:
    """Guards against a page in docs/ that docs/index.md does not link to."""
    index = (ROOT / "docs" / "index.md").read_text(encoding="utf-8")
    names = {page.name for page in (ROOT / "docs").glob("*.md")} - {"index.md"}
    assert {name for name in names if f"]({name})" not in index} == set()


def test_named_runs_exist() -> None:
    """Guards against a claim in docs/operators.md that names a removed test or make target."""
    makefile = (ROOT / "Makefile").read_text(encoding="utf-8")
    features = {path.stem for path in (ROOT / "tests").rglob("*.feature")}
    text = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")
    claims = [part.split("\n\n")[0] for part in text.split("\nShown by ")[1:]]
    assert claims
    for claim in claims:
        names = claim.split("`")[1::2]
        assert names, claim
        for name in names:
            target = re.fullmatch(r"make (\w+)", name)
            known = name in features or (ROOT / name).exists()
            assert f"\n{target[1]}:" in makefile if target else known, name


def test_shown_commands_exist() -> None:
    """Guards against a command in the documentation that the tool does not have."""
    tool = Tool()
    for page in PAGES:
        # The changelog may name commands that were removed later.
        if page.name == "CHANGELOG.md":
            continue
        shown = re.findall(r"dotterelstand ([a-z]+)(?: ([a-z]+))?", page.read_text("utf-8"))
        for name, sub in shown:
            if not hasattr(tool, name):
                # Prose such as "dotterelstand is a load balancer".
                assert not re.search(
                    rf"(`|^    )dotterelstand {name}", page.read_text("utf-8"), re.M
                )
            elif not callable(getattr(tool, name)) and sub:
                assert hasattr(getattr(tool, name), sub), f"{page.name}: {name} {sub}"


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_somewhere(page: Path) -> None:
    """Guards against links to removed pages."""
    text = page.read_text(encoding="utf-8")
    for target in [part.split(")")[0] for part in text.split("](")[1:]]:
        if not target.startswith(("http:", "https:", "#")):
            assert (page.parent / target.split("#")[0]).exists(), target
