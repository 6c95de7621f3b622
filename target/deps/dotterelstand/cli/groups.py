"""Groups of commands of the tool: document sections, quarantine and settings."""

import random
import sys
from pathlib import Path
from typing import TypeVar

import trio
from returns.pipeline import is_successful
from returns.result import Result

from dotterelstand.cli.context import Context, hidden_tokens, read_hosts, show
from dotterelstand.cli.output import Row, fail, print_json, print_table, to_version
from dotterelstand.cli.sections import EditedFile, Sections, edited_text, read_edited
from dotterelstand.cli.state import list_rows
from dotterelstand.exits import ExitCode, ToolError

T = TypeVar("T")


class SectionCommands:
    """Show, edit, propose and accept sections of the document in the store."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def show(self, name: str = "", version: int | None = None) -> None:
        """Show the list of sections in force, or the text of one section.

        Args:
            name: section to print; without it all sections are listed
            version: an earlier version of the document
        """
        sections = self._sections()
        number = None if version is None else to_version("version", version)
        if name:
            body = _unwrap(trio.run(sections.body, name, number))
            if self._context.json:
                print_json({"section": name, "version": number, "body": body})
            else:
                print(body, end="")
            return
        manifest = _unwrap(trio.run(sections.manifest, number))
        rows: list[Row] = [
            {"section": name, "changed_in": entry.number, "owner": entry.owner,
             "author": entry.author, "time": entry.time, "digest": entry.digest}
            for name, entry in sorted(manifest.entries.items())
        ]  # fmt: skip
        if self._context.json:
            print_json({"version": manifest.number, "sections": rows})
        else:
            print(f"version {manifest.number}")
            print_table(rows, "no section was accepted yet")

    def edit(self, name: str, file: str) -> None:
        """Write a section to a file for editing; its first line records what was edited.

        Args:
            name: section to edit; a new name gives an empty section
            file: file to write; it must not exist
        """
        manifest = _unwrap(trio.run(self._sections().manifest))
        body = None
        if name in manifest.entries:
            body = _unwrap(trio.run(self._sections().body, name))
        try:
            with Path(file).open("x", encoding="utf-8") as out:
                out.write(edited_text(body))
        except OSError as error:
            fail([ToolError(ExitCode.FILE_UNREADABLE, f"{file}: {error}")])
        print(f"{file}: section {name} of version {manifest.number}")

    def propose(self, name: str, file: str) -> None:
        """Check the whole document with a changed section and show the difference.

        Nothing is changed.

        Args:
            name: section
            file: its new text
        """
        edited = _unwrap(read_edited(Path(file)))
        difference = _unwrap(trio.run(self._sections().propose, name, edited))
        self._show_difference(difference, f"section {name} would not change")

    def accept(self, name: str, file: str) -> None:
        """Accept a changed section; it is in force everywhere within seconds.

        Args:
            name: section
            file: its new text
        """
        self._submit(name, _unwrap(read_edited(Path(file))))

    def remove(self, name: str) -> None:
        """Remove a section from the document.

        Args:
            name: section
        """
        self._submit(name, None)

    def history(self, name: str = "", limit: int = 20) -> None:
        """Show which versions changed a section, newest first.

        Args:
            name: section; without it the changes of all sections are shown
            limit: versions to look back, at most 100
        """
        rows = _unwrap(trio.run(self._sections().history, name, to_version("limit", limit)))
        show(self._context, rows, rows)

    def diff(self, old: int, new: int | None = None, name: str = "") -> None:
        """Show what changed between two versions.

        Args:
            old: earlier version; 0 is the empty document
            new: later version; without it the version in force
            name: only this section
        """
        later = None if new is None else to_version("new", new)
        earlier = to_version("old", old)
        difference = _unwrap(trio.run(self._sections().diff, name, earlier, later))
        self._show_difference(difference, "no difference")

    def _sections(self) -> Sections:
        return Sections(self._context.store(), random.SystemRandom())

    def _show_difference(self, difference: str, empty: str) -> None:
        if self._context.json:
            print_json({"difference": difference})
        else:
            print(difference or empty)

    def _submit(self, name: str, edited: EditedFile | None) -> None:
        author = self._context.author()
        number = _unwrap(trio.run(self._sections().accept, name, edited, author))
        if self._context.json:
            print_json({"section": name, "version": number})
        else:
            print(f"section {name} is accepted in version {number}")


class QuarantineCommands:
    """List and lift quarantines of requests that crash targets."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def list(self) -> None:
        """Show the quarantined request fingerprints of each entry host."""
        read_hosts(self._context, "quarantine", list_rows)

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
                show(self._context, value, [{"host": str(host), "lifted": fingerprint}])
                return
            errors.append(result.failure())
        fail(errors)


class SettingsCommands:
    """Show the settings."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def show(self) -> None:
        """Show all settings in force with this settings file; tokens are hidden."""
        values = hidden_tokens(self._context.settings)
        rows: list[Row] = [
            {"key": f"{section}.{key}", "value": value}
            for section, keys in values.items()
            for key, value in keys.items()
        ]
        show(self._context, values, rows)


def _unwrap(result: Result[T, ToolError]) -> T:
    if is_successful(result):
        return result.unwrap()
    sys.stdout.flush()
    fail([result.failure()])
