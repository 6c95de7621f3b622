"""Command-line tool `dotterelstand`."""

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
from dotterelstand.cli.commandgroups import QuarantineCommands, SectionCommands, SettingsCommands
from dotterelstand.cli.context import Context, print_answers, print_pages, print_value
from dotterelstand.cli.drain import drain_host
from dotterelstand.cli.explain import find_trace, print_trace, read_log_lines
from dotterelstand.cli.histogram import histogram_rows, merge_pages, plot_histograms
from dotterelstand.cli.output import Row, exit_with_errors, print_json, to_number
from dotterelstand.cli.tablerows import counter_rows, nested_page_rows, page_rows
from dotterelstand.exits import ExitCode, ToolError


class Tool:
    """Operate dotterelstand: the document, the entry hosts and their state.

    Options for all commands: --settings FILE, --hosts ADDRESS:PORT,... and --json.
    Help on one command: dotterelstand COMMAND --help.

    Args:
        settings: settings file with the store, the control token and tool.hosts; the default is
            the file that DOTTERELSTAND_SETTINGS names
        hosts: control ports "address:port", separated by commas; overrides tool.hosts
        json: print JSON instead of tables
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
            exit_with_errors(errors)

    def status(self) -> None:
        """Show for each entry host whether it is ready and its document version in force."""
        print_pages(self._context, "status", page_rows)

    def targets(self, service: str = "") -> None:
        """Show the targets as each entry host sees them.

        Args:
            service: only this service
        """

        def make_rows(answers: HostAnswers) -> list[Row]:
            return [row for row in page_rows(answers) if service in ("", row.get("service"))]

        print_pages(self._context, "targets", make_rows)

    def members(self) -> None:
        """Show the live entry hosts, as seen by each of them."""
        print_pages(self._context, "members", page_rows)

    def ownership(self) -> None:
        """Show which entry host owns each partition of the idempotency journal."""
        print_pages(self._context, "ownership", page_rows)

    def budgets(self) -> None:
        """Show the budget and circuit breaker of store calls, and the load measurement budget."""
        print_pages(self._context, "budgets", nested_page_rows)

    def counters(self) -> None:
        """Show all counters, summed over the hosts."""
        print_pages(self._context, "counters", counter_rows)

    def histogram(self, service: str = "", by_tenant: bool = False, plot: str = "") -> None:
        """Show latencies merged over the hosts; can also plot them.

        Args:
            service: only this service
            by_tenant: show each workspace separately
            plot: PNG file to write
        """
        answers = trio.run(self._context.client().read_all, "histograms")
        pages = list(answers.values.values())
        merged = merge_pages(pages, service, by_tenant)
        if not is_successful(merged):
            exit_with_errors([merged.failure()])
        if plot:
            try:
                plot_histograms(merged.unwrap(), Path(plot))
            except OSError as error:
                exit_with_errors(
                    [ToolError(ExitCode.FILE_UNREADABLE, f"{plot}: cannot be written: {error}")]
                )
        rows = histogram_rows(merged.unwrap())
        # The hosts return encoded histograms; scripts need the merged rows.
        answers.values = {"merged": rows}
        print_answers(self._context, answers, rows)

    def explain(self, request: str, *files: str) -> None:
        """Show the decisions on one request and the state changes of its entry hosts.

        Args:
            request: id of the request
            files: files with the log lines of the entry hosts
        """
        result = read_log_lines([Path(str(file)) for file in files])
        if not is_successful(result):
            exit_with_errors([result.failure()])
        logs = result.unwrap()
        if logs.unreadable:
            print(f"{logs.unreadable} lines are not log events", file=sys.stderr)
        trace = find_trace(logs, str(request))
        if trace is None:
            text = f"{request}: none of {len(logs.lines)} lines has this id"
            exit_with_errors([ToolError(ExitCode.NOT_FOUND, text)])
        print_trace(self._context, trace)

    def drain(self, host: str, wait: float = 60.0) -> None:
        """Stop one entry host gracefully: it finishes its requests and exits.

        Args:
            host: control port "address:port" of the host
            wait: seconds to wait until its control port is closed; 0 returns at once
        """
        parsed = parse_hosts([host])
        if not is_successful(parsed):
            exit_with_errors([parsed.failure()])
        client = self._context.client()
        wait_s = to_number("wait", wait)
        result = trio.run(drain_host, client, parsed.unwrap()[0], wait_s)
        if not is_successful(result):
            exit_with_errors([result.failure()])
        print_value(self._context, result.unwrap(), [{"host": host, "drain": result.unwrap()}])


def _quote_for_fire(argument: str) -> str:
    """Quote an argument that fire would not read as text, such as the fingerprint 12e4."""
    flag, equals, value = (
        argument.partition("=") if argument.startswith("--") else ("", "", argument)
    )
    if (flag and not equals) or isinstance(DefaultParseValue(value), str | bool):
        return argument
    return f"{flag}{equals}{value!r}"


def run_tool(command: list[str]) -> None:
    """Run one command line; raises `SystemExit` with an exit code."""
    # For a class fire lists only the options, but for an object it lists the commands.
    help_wanted = command in ([], ["--help"], ["-h"], ["help"])
    component: Any = Tool() if help_wanted else Tool
    arguments = ["--help"] if help_wanted else [_quote_for_fire(item) for item in command]
    # fire prints help to standard error, which a pipe to a pager would miss.
    shows_help = any(item in ("--help", "-h") for item in arguments)
    with contextlib.redirect_stderr(sys.stdout if shows_help else sys.stderr):
        fire.Fire(component, command=arguments, name="dotterelstand")


def main() -> None:
    """Run the command-line tool."""
    try:
        run_tool(sys.argv[1:])
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader, for example `head`, has closed the pipe; nothing more can be written.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    except KeyboardInterrupt:
        sys.exit(ExitCode.INTERNAL)
