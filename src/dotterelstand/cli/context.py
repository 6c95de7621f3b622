"""Options common to all commands, and helpers that print their results."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import urlsplit

import trio
from returns.pipeline import is_successful

from dotterelstand.cli.client import ControlClient, HostAnswers, parse_hosts
from dotterelstand.cli.output import Row, exit_with_errors, print_json, print_table
from dotterelstand.connection.network import TcpNetwork
from dotterelstand.exits import ExitCode, ToolError
from dotterelstand.process.storage.store import StoreClient
from dotterelstand.settings import SETTINGS_VARIABLE, Settings, default_settings, load_settings


class Context:
    """Options common to all commands; creates the clients that they configure."""

    __slots__ = ("_hosts", "_settings", "_settings_path", "json")

    def __init__(self, settings: str, hosts: str | tuple[str, ...], json: bool) -> None:
        self._settings_path = str(settings or os.environ.get(SETTINGS_VARIABLE, ""))
        self._hosts = hosts
        self._settings: Settings | None = None
        self.json = json

    @property
    def settings(self) -> Settings:
        """Settings of the file, or the defaults; ends the program if they are invalid."""
        if self._settings is None:
            self._settings = self._load()
        return self._settings

    def client(self) -> ControlClient:
        """Create a client of the control ports in `--hosts`, or by default in `tool.hosts`."""
        given = self._hosts
        if isinstance(given, str):
            given = tuple(item for item in given.split(",") if item)
        settings = self.settings
        items = list(given) or settings.texts("tool", "hosts")
        if not items:
            port = settings.integer("control", "port")
            items = [f"{settings.text('control', 'address')}:{port}"]
        result = parse_hosts([str(item) for item in items])
        if not is_successful(result):
            exit_with_errors([result.failure()])
        tokens = settings.texts("control", "tokens")
        token = tokens[0] if tokens else ""
        return ControlClient(
            TcpNetwork(), result.unwrap(), token, settings.number("tool", "timeout_s")
        )

    def store(self) -> StoreClient:
        """Create a client of the object store in the settings."""
        url = urlsplit(self.settings.text("store", "url"))
        timeout_s = self.settings.number("store", "timeout_s")
        return StoreClient(url.hostname or "", url.port or 80, TcpNetwork(), timeout_s)

    def author(self) -> str:
        """Return the author recorded with changes."""
        return self.settings.text("tool", "author") or os.environ.get("USER", "") or "unknown"

    def _load(self) -> Settings:
        if not self._settings_path:
            return default_settings()
        result = load_settings(Path(self._settings_path))
        if not is_successful(result):
            errors = result.failure()
            exit_with_errors([ToolError(ExitCode.SETTINGS_INVALID, str(error)) for error in errors])
        return result.unwrap()


def print_pages(context: Context, name: str, make_rows: Callable[[HostAnswers], list[Row]]) -> None:
    """Read a page of every host and print it; ends the program if a host failed."""
    answers = trio.run(context.client().read_all, name)
    print_answers(context, answers, make_rows(answers))


def print_value(context: Context, value: object, rows: list[Row]) -> None:
    """Print a value as JSON, or its rows as a table."""
    if context.json:
        print_json(value)
    else:
        print_table(rows)


def print_answers(context: Context, answers: HostAnswers, rows: list[Row]) -> None:
    """Print the answers of the hosts; ends the program if a host failed."""
    errors = [answers.errors[host] for host in sorted(answers.errors)]
    if context.json:
        texts = {host: str(error) for host, error in answers.errors.items()}
        print_json({"hosts": answers.values, "errors": texts})
    elif answers.values:
        print_table(rows)
    if errors:
        exit_with_errors(errors)


def settings_without_tokens(settings: Settings) -> dict[str, dict[str, Any]]:
    """Return the settings for display, with the tokens hidden."""
    values = settings.as_dict()
    values["control"]["tokens"] = [f"({len(values['control']['tokens'])} hidden)"]
    return values
