"""Command groups of the tool: document sections, quarantine and settings."""

import random
import sys
from pathlib import Path
from typing import TypeVar

import trio
from returns.pipeline import is_successful
from returns.result import Result

from dotterelstand.cli.context import Context, print_pages, print_value, settings_without_tokens
from dotterelstand.cli.output import Row, exit_with_errors, print_json, print_table, to_whole_number
from dotterelstand.cli.sections import (
    SectionFile,
    StoredDocument,
    read_section_file,
    section_file_text,
)
from dotterelstand.cli.tablerows import page_rows
from dotterelstand.exits import ExitCode, ToolError

T = TypeVar("T")


class SectionCommands:
    """Show, edit, propose and accept sections of the document in the store."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def show(self, name: str = "", version: int | None = None) -> None:
        """Show the list of sections in force, or the text of one section.

        Args:
            name: section to print; if omitted, all sections are listed
            version: an earlier version of the document
        """
        sections = self._document()
        number = None if version is None else to_whole_number("version", version)
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
        """Write a section to a file for editing; its first line records the base version.

        Args:
            name: section to edit; a new name gives an empty section
            file: file to write; it must not exist
        """
        manifest = _unwrap(trio.run(self._document().manifest))
        body = None
        if name in manifest.entries:
            body = _unwrap(trio.run(self._document().body, name))
        try:
            with Path(file).open("x", encoding="utf-8") as out:
                out.write(section_file_text(body))
        except OSError as error:
            exit_with_errors([ToolError(ExitCode.FILE_UNREADABLE, f"{file}: {error}")])
        print(f"{file}: section {name} of version {manifest.number}")

    def propose(self, name: str, file: str) -> None:
        """Check the whole document with a changed section and show the difference.

        Nothing is changed.

        Args:
            name: section
            file: its new text
        """
        edited = _unwrap(read_section_file(Path(file)))
        difference = _unwrap(trio.run(self._document().propose, name, edited))
        self._show_difference(difference, f"section {name} would not change")

    def accept(self, name: str, file: str) -> None:
        """Accept a changed section; it is in force on all hosts within seconds.

        Args:
            name: section
            file: its new text
        """
        self._submit(name, _unwrap(read_section_file(Path(file))))

    def remove(self, name: str) -> None:
        """Remove a section from the document.

        Args:
            name: section
        """
        self._submit(name, None)

    def history(self, name: str = "", limit: int = 20) -> None:
        """Show the versions that changed a section, newest first.

        Args:
            name: section; if omitted, the changes of all sections are shown
            limit: number of latest versions to search, at most 100
        """
        rows = _unwrap(trio.run(self._document().history, name, to_whole_number("limit", limit)))
        print_value(self._context, rows, rows)

    def diff(self, old: int, new: int | None = None, name: str = "") -> None:
        """Show what changed between two versions.

        Args:
            old: earlier version; 0 is the empty document
            new: later version; if omitted, the version in force
            name: only this section
        """
        later = None if new is None else to_whole_number("new", new)
        earlier = to_whole_number("old", old)
        difference = _unwrap(trio.run(self._document().diff, name, earlier, later))
        self._show_difference(difference, "no difference")

    def _document(self) -> StoredDocument:
        return StoredDocument(self._context.store(), random.SystemRandom())

    def _show_difference(self, difference: str, empty: str) -> None:
        if self._context.json:
            print_json({"difference": difference})
        else:
            print(difference or empty)

    def _submit(self, name: str, edited: SectionFile | None) -> None:
        author = self._context.author()
        number = _unwrap(trio.run(self._document().accept, name, edited, author))
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
        print_pages(self._context, "quarantine", page_rows)

    def lift(self, fingerprint: str) -> None:
        """Let requests with this fingerprint run again.

        Args:
            fingerprint: hexadecimal fingerprint as `quarantine list` shows it
        """
        client = self._context.client()
        arguments = {"fingerprint": fingerprint}
        errors = []
        # One accepted call is enough, since the host that accepts it forwards it to the others.
        for host in client.hosts:
            result = trio.run(client.call, host, "POST", "/v1/quarantine/lift", arguments)
            if is_successful(result):
                value = result.unwrap()
                print_value(self._context, value, [{"host": str(host), "lifted": fingerprint}])
                return
            errors.append(result.failure())
        exit_with_errors(errors)


class SettingsCommands:
    """Show the settings."""

    def __init__(self, context: Context) -> None:
        self._context = context

    def show(self) -> None:
        """Show all settings: the defaults, overridden by the settings file; tokens are hidden."""
        values = settings_without_tokens(self._context.settings)
        rows: list[Row] = [
            {"key": f"{section}.{key}", "value": value}
            for section, keys in values.items()
            for key, value in keys.items()
        ]
        print_value(self._context, values, rows)


def _unwrap(result: Result[T, ToolError]) -> T:
    if is_successful(result):
        return result.unwrap()
    sys.stdout.flush()
    exit_with_errors([result.failure()])
