"""Settings files are checked when they are read, and errors name the key."""

from pathlib import Path

import pytest
from returns.pipeline import is_successful

from dotterelstand.settings import (
    CONFLICTING,
    NOT_ALLOWED,
    UNKNOWN_KEY,
    WRONG_TYPE,
    load_settings,
    parse_settings,
)

EXAMPLES = Path(__file__).parent.parent / "examples"
TLS = "[tls]\ncaller_certificate = 'a'\n"


@pytest.mark.parametrize(
    ("text", "code", "key"),
    [
        ("[listen]\nport = 'x'\n", WRONG_TYPE, "listen.port"),
        ("[listen]\nprot = 1\n", UNKNOWN_KEY, "listen.prot"),
        ("[peers]\nseeds = [1]\n", WRONG_TYPE, "peers.seeds"),
        ("[nothing]\na = 1\n", UNKNOWN_KEY, "nothing"),
        ("[listen]\nport = 70000\n", NOT_ALLOWED, "listen.port"),
        ("[listen]\nidle_timeout_s = nan\n", NOT_ALLOWED, "listen.idle_timeout_s"),
        ("[listen]\nmax_connections = true\n", WRONG_TYPE, "listen.max_connections"),
        ("[listen]\naddress = 'entry-1'\n", NOT_ALLOWED, "listen.address"),
        ("[host]\nname = 'a b'\n", NOT_ALLOWED, "host.name"),
        ("[store]\nurl = 'http://store:80'\n", NOT_ALLOWED, "store.url"),
        ("[store]\nurl = 'http://127.0.0.1:x'\n", NOT_ALLOWED, "store.url"),
        ("[peers]\nseeds = ['127.0.0.1']\n", NOT_ALLOWED, "peers.seeds"),
        ("[control]\ntokens = ['short']\n", NOT_ALLOWED, "control.tokens"),
        ("[peers]\nsuspect_after_s = 1.5\n", CONFLICTING, "peers.suspect_after_s"),
        ("[journal]\nlease_s = 1.0\n", CONFLICTING, "journal.lease_s"),
        ("[journal]\nwrites_per_s = 50\n", CONFLICTING, "journal.writes_per_s"),
        ("[control]\nport = 8080\n", CONFLICTING, "control.port"),
        (TLS, CONFLICTING, "tls.caller_key"),
    ],
)
def test_invalid_settings_name_the_key(text: str, code: int, key: str) -> None:
    """Guards against a daemon that starts with an invalid setting."""
    (error,) = parse_settings(text, "host.toml").failure()
    assert (error.code, error.key) == (code, key)


def test_overrides_keep_other_defaults() -> None:
    """Guards against an override that drops the other defaults of its section."""
    result = parse_settings("[listen]\nport = 1\n", "host.toml")
    assert is_successful(result)
    assert result.unwrap().integer("listen", "port") == 1
    assert result.unwrap().text("listen", "address") == "127.0.0.1"


def test_errors_hide_tokens() -> None:
    """Guards against tokens in error messages, which are logged."""
    (error,) = parse_settings("[control]\ntokens = ['short']\n", "host.toml").failure()
    assert "short" not in str(error)
    assert "16 to 256" in str(error)


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*/settings/*.toml")), ids=str)
def test_example_settings_are_allowed(path: Path) -> None:
    """Guards against example settings that a daemon rejects."""
    assert is_successful(load_settings(path))
