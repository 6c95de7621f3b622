"""Reads and checks the daemon settings: defaults, overridden by a settings file."""

import tomllib
from importlib import resources
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

from dotterelstand.settings_conflicts import find_conflicts
from dotterelstand.settings_rules import RULES

# Environment variable that names the settings file of a command without `--settings`.
SETTINGS_VARIABLE = "DOTTERELSTAND_SETTINGS"


class SettingsError:
    """Error in the settings: its source and key, the value found and the values allowed."""

    __slots__ = ("allowed", "code", "found", "key", "source")

    def __init__(self, code: int, source: str, key: str, found: object, allowed: str) -> None:
        self.code = code
        self.source = source
        self.key = key
        self.found = found
        self.allowed = allowed

    def __str__(self) -> str:
        return f"{self.code}: {self.source}: {self.key}: found {self.found!r}; {self.allowed}"


SYNTAX_ERROR = 4001
UNKNOWN_KEY = 4002
WRONG_TYPE = 4003
UNREADABLE = 4004
NOT_ALLOWED = 4005
CONFLICTING = 4006


class Settings:
    """Settings of one process, read by section and key."""

    __slots__ = ("_values",)

    def __init__(self, values: dict[str, dict[str, Any]]) -> None:
        self._values = values

    def text(self, section: str, key: str) -> str:
        """Return the value of a string setting."""
        value = self._values[section][key]
        assert isinstance(value, str)
        return value

    def integer(self, section: str, key: str) -> int:
        """Return the value of an integer setting, in the unit given by its name."""
        value = self._values[section][key]
        assert isinstance(value, int)
        return value

    def number(self, section: str, key: str) -> float:
        """Return the value of a numeric setting, in the unit given by its name."""
        return float(self._values[section][key])

    def flag(self, section: str, key: str) -> bool:
        """Return the value of a boolean setting."""
        return bool(self._values[section][key])

    def texts(self, section: str, key: str) -> list[str]:
        """Return the value of a setting that is a list of strings."""
        return list(self._values[section][key])

    def as_dict(self) -> dict[str, dict[str, Any]]:
        """Return a copy of all settings, for display."""
        return {section: dict(keys) for section, keys in self._values.items()}


def default_settings() -> Settings:
    """Return the default settings of the package."""
    return Settings(_default_values())


def load_settings(path: Path) -> Result[Settings, list[SettingsError]]:
    """Read a settings file and apply it to the defaults; fails with every error found in it."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([SettingsError(UNREADABLE, str(path), "-", str(error), "a readable file")])
    return parse_settings(text, str(path))


def parse_settings(text: str, source: str) -> Result[Settings, list[SettingsError]]:
    """Parse settings in TOML and apply them to the defaults; `source` names the text in errors."""
    try:
        layer = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Failure([SettingsError(SYNTAX_ERROR, source, "-", str(error), "TOML 1.0")])
    values = _default_values()
    errors: list[SettingsError] = []
    for section, keys in layer.items():
        if section not in values or not isinstance(keys, dict):
            allowed = "one of the sections " + ", ".join(values)
            errors.append(SettingsError(UNKNOWN_KEY, source, section, keys, allowed))
            continue
        for key, value in keys.items():
            problem = _check_value(values[section], section, key, value, source)
            if problem is None:
                values[section][key] = value
            else:
                errors.append(problem)
    if not errors:
        _apply_endpoints(values)
        errors.extend(_check_conflicts(values, source))
    return Failure(errors) if errors else Success(Settings(values))


def _default_values() -> dict[str, dict[str, Any]]:
    text = resources.files("dotterelstand").joinpath("settings_default.toml").read_text("utf-8")
    return tomllib.loads(text)


def _check_value(
    defaults: dict[str, Any], section: str, key: str, value: object, source: str
) -> SettingsError | None:
    name = f"{section}.{key}"
    if key not in defaults:
        allowed = "one of the keys " + ", ".join(defaults)
        return SettingsError(UNKNOWN_KEY, source, name, value, allowed)
    default = defaults[key]
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if type(value) is not type(default) and not (isinstance(default, float) and is_integer):
        allowed = f"a value like {default!r}"
        return SettingsError(WRONG_TYPE, source, name, value, allowed)
    if isinstance(value, list) and not all(isinstance(item, str) for item in value):
        return SettingsError(WRONG_TYPE, source, name, value, "a list of strings")
    rule = RULES.get(section, {}).get(key)
    if rule is not None and not rule.accepts(value):
        if name == "control.tokens":
            value = "(hidden)"
        return SettingsError(NOT_ALLOWED, source, name, value, rule.allowed)
    return None


def _apply_endpoints(values: dict[str, dict[str, Any]]) -> None:
    """Set address and port of each section from its endpoint, if one is set."""
    for keys in values.values():
        if keys.get("endpoint"):
            address, _, port = keys["endpoint"].rpartition(":")
            keys["address"], keys["port"] = address.strip("[]"), int(port)


def _check_conflicts(values: dict[str, dict[str, Any]], source: str) -> list[SettingsError]:
    errors = []
    for conflict in find_conflicts(values):
        section, _, key = conflict.key.partition(".")
        found = values[section][key]
        errors.append(SettingsError(CONFLICTING, source, conflict.key, found, conflict.allowed))
    return errors
