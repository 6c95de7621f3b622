"""Command-line tool `dotterelstand`: thin commands over the library."""

import os
import sys
from pathlib import Path
from typing import Any

import fire
import trio
from fire.decorators import SetParseFn
from returns.pipeline import is_successful

from dotterelstand.cli.client import HostAnswers, parse_hosts
from dotterelstand.cli.context import Context
from dotterelstand.cli.drain import drain_host
from dotterelstand.cli.histogram import histogram_rows, merge_pages, plot_histograms
from dotterelstand.cli.output import Row, fail, print_json, print_table
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
        self.quarantine = Quarantine(self._context)
        self.settings = SettingsCommands(self._context)

    def status(self) -> None:
        """Show for each entry host whether it is ready and which document version is in force."""
        answers = _read(self._context, "status")
        _finish(self._context, answers, list_rows(answers))

    def targets(self) -> None:
        """Show the targets as each entry host sees them."""
        answers = _read(self._context, "targets")
        _finish(self._context, answers, list_rows(answers))

    def members(self) -> None:
        """Show the live entry hosts as each of them sees the fleet."""
        answers = _read(self._context, "members")
        _finish(self._context, answers, list_rows(answers))

    def ownership(self) -> None:
        """Show which entry host owns each partition of the idempotency journal."""
        answers = _read(self._context, "ownership")
        _finish(self._context, answers, list_rows(answers))

    def budgets(self) -> None:
        """Show the store call budget, its circuit breaker and the measuring budget."""
        answers = _read(self._context, "budgets")
        _finish(self._context, answers, group_rows(answers))

    def counters(self) -> None:
        """Show all counters, summed over the hosts."""
        answers = _read(self._context, "counters")
        _finish(self._context, answers, sum_counters(answers))

    @SetParseFn(str, "service", "plot")
    def histogram(self, service: str = "", by_tenant: bool = False, plot: str = "") -> None:
        """Show latencies merged over the hosts, and plot them.

        Args:
            service: only this service
            by_tenant: keep tenants apart
            plot: PNG file to write
        """
        answers = _read(self._context, "histograms")
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
        _finish(self._context, answers, rows)

    @SetParseFn(str, "host")
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
        result = trio.run(drain_host, client, parsed.unwrap()[0], float(wait))
        if not is_successful(result):
            fail([result.failure()])
        _show(self._context, result.unwrap(), [{"host": host, "drain": result.unwrap()}])


class Quarantine:
    """List and lift quarantines of requests that crash targets."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def list(self) -> None:
        """Show the quarantined request fingerprints of each entry host."""
        answers = _read(self._context, "quarantine")
        _finish(self._context, answers, list_rows(answers))

    # fire would read a fingerprint such as 12e4 as a number.
    @SetParseFn(str, "fingerprint")
    def lift(self, fingerprint: str) -> None:
        """Let requests with this fingerprint run again.

        Args:
            fingerprint: hexadecimal fingerprint as `quarantine list` shows it
        """
        client = self._context.client()
        arguments = {"fingerprint": fingerprint}
        errors = []
        # One host spreads the lift to the others, so the first that accepts it is enough.
        for host in client.hosts:
            result = trio.run(client.call, host, "POST", "/v1/quarantine/lift", arguments)
            if is_successful(result):
                value = result.unwrap()
                _show(self._context, value, [{"host": str(host), "lifted": fingerprint}])
                return
            errors.append(result.failure())
        fail(errors)


class SettingsCommands:
    """Show the settings."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def show(self) -> None:
        """Show all settings in force with this settings file; tokens are hidden."""
        values = self._context.settings.as_dict()
        values["control"]["tokens"] = [f"({len(values['control']['tokens'])} hidden)"]
        rows: list[Row] = [
            {"key": f"{section}.{key}", "value": value}
            for section, keys in values.items()
            for key, value in keys.items()
        ]
        _show(self._context, values, rows)


def _read(context: Context, name: str) -> HostAnswers:
    return trio.run(context.client().read_all, name)


def _show(context: Context, value: object, rows: list[Row]) -> None:
    if context.json:
        print_json(value)
    else:
        print_table(rows)


def _finish(context: Context, answers: HostAnswers, rows: list[Row]) -> None:
    errors = [answers.errors[host] for host in sorted(answers.errors)]
    if context.json:
        texts = {host: str(error) for host, error in answers.errors.items()}
        print_json({"hosts": answers.values, "errors": texts})
    elif answers.values:
        print_table(rows)
    if errors:
        fail(errors)


def run_tool(command: list[str]) -> None:
    """Run one command line; raises `SystemExit` with an exit code."""
    # fire shows only the options of a class but the commands of an object.
    help_wanted = command in ([], ["--help"], ["-h"], ["help"])
    component: Any = Tool() if help_wanted else Tool
    fire.Fire(component, command=["--help"] if help_wanted else command, name="dotterelstand")


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
