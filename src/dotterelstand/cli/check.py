"""Checks settings files, section files and directories of section files."""

import tomllib
from pathlib import Path

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.cli.sections import read_section_file
from dotterelstand.exits import ExitCode, ToolError
from dotterelstand.settings import default_settings, load_settings
from dotterelstand.version.check import check_bodies
from dotterelstand.version.section import parse_section


def check_path(path: Path) -> Result[str, list[ToolError]]:
    """Check a file or directory and return a summary; fails with every error found."""
    if path.is_dir():
        return _check_directory(path)
    if _is_settings(path):
        settings = load_settings(path)
        if is_successful(settings):
            return Success(f"{path}: settings are valid")
        errors = settings.failure()
        return Failure([ToolError(ExitCode.SETTINGS_INVALID, str(error)) for error in errors])
    edited = read_section_file(path)
    if not is_successful(edited):
        return Failure([edited.failure()])
    section = parse_section(path.stem, edited.unwrap().body, strict=True)
    if is_successful(section):
        text = f"{path}: section {path.stem} is valid by itself; `section propose` checks the rest"
        return Success(text)
    return Failure(
        [ToolError(ExitCode.DOCUMENT_INVALID, str(error)) for error in section.failure()]
    )


def _check_directory(path: Path) -> Result[str, list[ToolError]]:
    bodies = {}
    for file in sorted(path.glob("*.toml")):
        edited = read_section_file(file)
        if not is_successful(edited):
            return Failure([edited.failure()])
        bodies[file.stem] = edited.unwrap().body
    if not bodies:
        return Failure([ToolError(ExitCode.FILE_UNREADABLE, f"{path}: no section files *.toml")])
    errors = check_bodies(bodies)
    if errors:
        return Failure([ToolError(ExitCode.DOCUMENT_INVALID, str(error)) for error in errors])
    return Success(f"{path}: document of {len(bodies)} sections is valid")


def _is_settings(path: Path) -> bool:
    """Return whether a file holds settings, that is, has a top-level key of the settings."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError):
        return False
    except tomllib.TOMLDecodeError:
        # Either check would report the syntax error, but the check of a section names only the
        # file's stem, and that of the settings names its path, so treat the file as settings.
        return True
    return bool(table.keys() & default_settings().as_dict().keys())
