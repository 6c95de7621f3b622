"""Settings files are checked on reading, and an error names what is wrong."""

import pytest
from returns.pipeline import is_successful

from dotterelstand.settings import UNKNOWN_KEY, WRONG_TYPE, parse_settings


@pytest.mark.parametrize(
    ("text", "code", "key"),
    [
        ("[listen]\nport = 'x'\n", WRONG_TYPE, "listen.port"),
        ("[listen]\nprot = 1\n", UNKNOWN_KEY, "listen.prot"),
        ("[peers]\nseeds = [1]\n", WRONG_TYPE, "peers.seeds"),
        ("[nothing]\na = 1\n", UNKNOWN_KEY, "nothing"),
    ],
)
def test_invalid_settings_name_the_key(text: str, code: int, key: str) -> None:
    """Guards against a daemon that starts with a misread setting."""
    (error,) = parse_settings(text, "host.toml").failure()
    assert (error.code, error.key) == (code, key)


def test_overrides_keep_other_defaults() -> None:
    """Guards against an override that drops the defaults beside it."""
    result = parse_settings("[listen]\nport = 1\n", "host.toml")
    assert is_successful(result)
    assert result.unwrap().integer("listen", "port") == 1
    assert result.unwrap().text("listen", "address") == "127.0.0.1"
