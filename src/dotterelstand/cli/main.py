"""Command-line tool `dotterelstand`: thin commands over the library."""

import contextlib
import os
import sys
from pathlib import Path
from typing import Any

import fire
import trio
from fire.parser import DefaultParseValue
from returns.pipeline import is_successful

from dotterelstand.cli.check import check_path
from dotterelstand.cli.client import HostAnswers, parse_hosts
from dotterelstand.cli.context import Context, finish, read_hosts, show
from dotterelstand.cli.drain import drain_host
from dotterelstand.cli.explain import find_story, read_log_lines, show_story
from dotterelstand.cli.groups import QuarantineCommands, SectionCommands, SettingsCommands
from dotterelstand.cli.histogram import histogram_rows, merge_pages, plot_histograms
from dotterelstand.cli.output import Row, fail, print_json, to_number
from dotterelstand.cli.state import group_rows, list_rows, sum_counters
from dotterelstand.exits import ExitCode, ToolError


class Tool:
    """Operate dotterelstand: the document, the entry hosts and their state.

    Options for all commands: --settings FILE, --hosts ADDRESS:PORT,... and --json.
    Help on one command: dotterelstand COMMAND --help.

    Args:
        settings: settings file with the store, the control token and tool.hosts; the default is
            the file that DOTTERELSTAND_SETTINGS names
        hosts: control ports "address:port", separated by commas, in place of tool.hosts
        json: print JSON for scripts instead of a table
    """

    def __init__(self, settings: str = "", hosts: str = "", json: bool = False) -> None:
        self._context = Context(settings, hosts, json)
        self.section = SectionCommands(self._context)
        self.quarantine = QuarantineCommands(self._context)
        self.settings = SettingsCommands(self._context)

    def check(self, path: str) -> None:
        """Check a settings file, a section file or a directory of section files.

        Args:
            path: file or directory; nothing is changed and no host is called
        """
        result = check_path(Path(path))
        errors = [] if is_successful(result) else result.failure()
        if self._context.json:
            print_json({"valid": not errors, "errors": [str(error) for error in errors]})
        elif not errors:
            print(result.unwrap())
        if errors:
            fail(errors)

    def status(self) -> None:
        """Show for each entry host whether it is ready and which document version is in force."""
        read_hosts(self._context, "status", list_rows)

    def targets(self, service: str = "") -> None:
        """Show the targets as each entry host sees them.

        Args:
            service: only this service
        """

        def make_rows(answers: HostAnswers) -> list[Row]:
            return [row for row in list_rows(answers) if service in ("", row.get("service"))]

        read_hosts(self._context, "targets", make_rows)

    def members(self) -> None:
        """Show the live entry hosts as each of them sees the fleet."""
        read_hosts(self._context, "members", list_rows)

    def ownership(self) -> None:
        """Show which entry host owns each partition of the idempotency journal."""
        read_hosts(self._context, "ownership", list_rows)

    def budgets(self) -> None:
        """Show the store call budget, its circuit breaker and the measuring budget."""
        read_hosts(self._context, "budgets", group_rows)

    def counters(self) -> None:
        """Show all counters, summed over the hosts."""
        read_hosts(self._context, "counters", sum_counters)

    def histogram(self, service: str = "", by_tenant: bool = False, plot: str = "") -> None:
        """Show latencies merged over the hosts, and plot them.

        Args:
            service: only this service
            by_tenant: keep tenants apart
            plot: PNG file to write
        """
        answers = trio.run(self._context.client().read_all, "histograms")
        pages = list(answers.values.values())
        merged = merge_pages(pages, service, by_tenant)
        if not is_successful(merged):
            fail([merged.failure()])
        if plot:
            try:
                plot_histograms(merged.unwrap(), Path(plot))
            except OSError as error:
                fail([ToolError(ExitCode.FILE_UNREADABLE, f"{plot}: cannot be written: {error}")])
        rows = histogram_rows(merged.unwrap())
        # The values of the hosts are encoded histograms; a script wants the merged rows.
        answers.values = {"merged": rows}
        finish(self._context, answers, rows)

    def explain(self, request: str, *files: str) -> None:
        """Show the decisions on one request and what its entry hosts believed meanwhile.

        Args:
            request: id of the request
            files: files with the log lines of the entry hosts
        """
        result = read_log_lines([Path(str(file)) for file in files])
        if not is_successful(result):
            fail([result.failure()])
        logs = result.unwrap()
        if logs.unreadable:
            print(f"{logs.unreadable} lines are no log events", file=sys.stderr)
        story = find_story(logs, str(request))
        if story is None:
            text = f"{request}: no line of {len(logs.lines)} bears this id"
            fail([ToolError(ExitCode.NOT_FOUND, text)])
        show_story(self._context, story)

    def drain(self, host: str, wait: float = 60.0) -> None:
        """Stop one entry host gracefully: it finishes its requests and exits.

        Args:
            host: control port "address:port" of the host
            wait: seconds to wait until its control port is closed; 0 returns at once
        """
        parsed = parse_hosts([host])
        if not is_successful(parsed):
            fail([parsed.failure()])
        client = self._context.client()
        wait_s = to_number("wait", wait)
        result = trio.run(drain_host, client, parsed.unwrap()[0], wait_s)
        if not is_successful(result):
            fail([result.failure()])
        show(self._context, result.unwrap(), [{"host": host, "drain": result.unwrap()}])


def _as_text(argument: str) -> str:
    """Argument in a form that fire reads as text, since 12e4 may be a fingerprint."""
    flag, equals, value = (
        argument.partition("=") if argument.startswith("--") else ("", "", argument)
    )
    if (flag and not equals) or isinstance(DefaultParseValue(value), str | bool):
        return argument
    return f"{flag}{equals}{value!r}"


def run_tool(command: list[str]) -> None:
    """Run one command line; raises `SystemExit` with an exit code."""
    # fire shows only the options of a class but the commands of an object.
    help_wanted = command in ([], ["--help"], ["-h"], ["help"])
    component: Any = Tool() if help_wanted else Tool
    arguments = ["--help"] if help_wanted else [_as_text(item) for item in command]
    # fire prints help as if it were an error, which would be lost in a pipe to a pager.
    shows_help = any(item in ("--help", "-h") for item in arguments)
    with contextlib.redirect_stderr(sys.stdout if shows_help else sys.stderr):
        fire.Fire(component, command=arguments, name="dotterelstand")


def main() -> None:
    """Run the command-line tool."""
    try:
        run_tool(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, for example `head`, has what it wants; nothing more can be written.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except KeyboardInterrupt:
        sys.exit(ExitCode.INTERNAL)
