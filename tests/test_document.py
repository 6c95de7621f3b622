"""Checks of the whole document: invalid sections are rejected, errors name section and key."""

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from dotterelstand.standin.entryfleet import section_text
from dotterelstand.version.check import check_bodies, join_sections, parse_bodies
from dotterelstand.version.document import build_document
from dotterelstand.version.fields import (
    DUPLICATE,
    MISSING_KEY,
    NO_SUCH_NAME,
    OUT_OF_RANGE,
    SYNTAX,
    TOO_LARGE,
    UNKNOWN_KEY,
    WRONG_TYPE,
)
from dotterelstand.version.manifest import parse_manifest

VALID_SECTION = section_text("quotes")


ROUTES = "[[routes]]"
TARGET = '{ name = "t", address = "10.0.0.1", port = 9, region = "a", availability_zone = "b" }'
TARGET_WITH_USED_NAME = TARGET.replace('"t"', '"quotes-1"')
SERVICE, TARGET_KEY = "services.quotes", "services.quotes.targets[0]"


@pytest.mark.parametrize(
    ("old", "new", "code", "key"),
    [
        (VALID_SECTION, "owner = ", SYNTAX, "-"),
        (VALID_SECTION, "#" * 1_000_001, TOO_LARGE, "-"),
        ('owner = "pricing"', "", MISSING_KEY, "owner"),
        ('owner = "pricing"', "owner = 1", WRONG_TYPE, "owner"),
        (ROUTES, f"[extra]\n{ROUTES}", UNKNOWN_KEY, "extra"),
        (ROUTES, f"[services.x]\nslots = 0\n{ROUTES}", OUT_OF_RANGE, "services.x.slots"),
        (
            ROUTES,
            f"[services.x]\nretry_share = nan\n{ROUTES}",
            OUT_OF_RANGE,
            "services.x.retry_share",
        ),
        (ROUTES, f"[services.x]\nslot = 1\n{ROUTES}", UNKNOWN_KEY, "services.x.slot"),
        ("port = 9000", "port = true", WRONG_TYPE, f"{TARGET_KEY}.port"),
        ("port = 9000", "", MISSING_KEY, f"{TARGET_KEY}.port"),
        ("10.0.0.1", "host.example", OUT_OF_RANGE, f"{TARGET_KEY}.address"),
        (
            ROUTES,
            f"[services.x]\ntargets = [{TARGET}, {TARGET}]\n{ROUTES}",
            DUPLICATE,
            "services.x.targets[1].name",
        ),
        ('prefix = "/quotes"', "", MISSING_KEY, "routes[0].prefix"),
        ('"/quotes"', '"quotes"', OUT_OF_RANGE, "routes[0].prefix"),
        ('"/quotes"', f'"{"/a" * 17}"', OUT_OF_RANGE, "routes[0].prefix"),
        (ROUTES, f'{ROUTES}\nkey = "no"', OUT_OF_RANGE, "routes[0].key"),
        (ROUTES, f'{ROUTES}\nmethods = ["BREW"]', OUT_OF_RANGE, "routes[0].methods"),
        (ROUTES, f'{ROUTES}\nclass = "gold"', NO_SUCH_NAME, "routes[0].class"),
        ('service = "quotes"', 'service = "gone"', NO_SUCH_NAME, "routes[0].service"),
    ],
)
def test_error_names_section_and_key(old: str, new: str, code: int, key: str) -> None:
    """Guards against accepting an invalid section, and against errors without section or key."""
    assert old in VALID_SECTION
    (error,) = check_bodies({"pricing": VALID_SECTION.replace(old, new)})
    assert (error.code, error.section, error.key, error.other_section) == (code, "pricing", key, "")
    assert len(str(error)) < 500


@pytest.mark.parametrize(
    ("first", "second", "code", "key"),
    [
        (VALID_SECTION, "[services.quotes]", DUPLICATE, SERVICE),
        (
            VALID_SECTION,
            f'{ROUTES}\nprefix = "/quotes/"\nservice = "quotes"',
            DUPLICATE,
            "routes[0].prefix",
        ),
        ('classes = ["a"]\n' + VALID_SECTION, 'classes = ["b"]', DUPLICATE, "classes"),
        (
            'classes = ["a"]\n' + VALID_SECTION,
            f'{ROUTES}\nprefix = "/x"\nservice = "quotes"\nclass = "b"',
            NO_SUCH_NAME,
            "routes[0].class",
        ),
        (f"tenants = {{ t = 1 }}\n{VALID_SECTION}", "tenants = { t = 2 }", DUPLICATE, "tenants.t"),
        (
            VALID_SECTION,
            f"[services.x]\ntargets = [{TARGET_WITH_USED_NAME}]",
            DUPLICATE,
            "services.x.targets.quotes-1",
        ),
    ],
)
def test_error_names_both_sections(first: str, second: str, code: int, key: str) -> None:
    """Guards against accepting contradictory sections, and errors that name only one of them."""
    (error,) = check_bodies({"pricing": first, "booking": f'owner = "b"\n{second}'})
    assert (error.code, error.section, error.key) == (code, "booking", key)
    assert error.other_section == "pricing" and "sections booking and pricing" in str(error)


def test_removed_service_names_both_sections() -> None:
    """Guards against removing a service that another team uses, and errors without that section."""
    current_sections, _ = parse_bodies({"a": VALID_SECTION, "b": 'owner = "b"'}, True)
    route = '[[routes]]\nprefix = "/b"\nservice = "quotes"'
    bodies = {"a": 'owner = "a"', "b": 'owner = "b"\n' + route}
    sections, errors = parse_bodies(bodies, True)
    assert errors == []
    (error,) = join_sections(2, sections, {}, current_sections).failure()
    assert (error.code, error.section, error.other_section) == (NO_SUCH_NAME, "b", "a")


@pytest.mark.parametrize("end", ["", "/"])
@pytest.mark.parametrize(
    ("path", "method", "prefix"),
    [
        ("/quotes/7?x=/a/b", "GET", "/quotes"),
        ("/quotes", "GET", "/quotes"),
        ("/quotes/", "GET", "/quotes"),
        ("/quotes?x", "GET", "/quotes"),
        ("/quotesx", "GET", "/"),
        ("/quotes/new/1", "POST", "/quotes/new"),
        ("/quotes/new", "POST", "/quotes/new"),
        ("/quotes/new/1", "GET", "/quotes"),
        ("/%71uotes", "GET", "/quotes"),
        ("/a/b/c/d/e", "PUT", None),
    ],
)
def test_longest_prefix_in_whole_segments_wins(
    path: str, method: str, prefix: str | None, end: str
) -> None:
    """Guards against requests that are routed to the wrong service."""
    rows = [("/", "GET"), (f"/quotes{end}", "GET"), (f"/quotes/new{end}", "POST")]
    services = VALID_SECTION.partition(ROUTES)[0]
    routes = "".join(
        f'{ROUTES}\nprefix = "{prefix}"\nmethods = ["{method}"]\nservice = "quotes"\n'
        for prefix, method in rows
    )
    document = join_sections(1, parse_bodies({"a": services + routes}, True)[0], {}).unwrap()
    found = document.find_route(path, method)
    assert (found.prefix if found else None) == prefix


def test_examples_in_the_repository_are_valid() -> None:
    """Guards against examples that the document check rejects."""
    root = Path(__file__).parents[1]
    text = (root / "docs" / "document.md").read_text(encoding="utf-8")
    assert check_bodies({"quotes": text.split("```toml\n")[1].split("```")[0]}) == []
    for folder in sorted(root.glob("examples/*/document")):
        bodies = {path.stem: path.read_text(encoding="utf-8") for path in folder.glob("*.toml")}
        assert check_bodies(bodies) == [], folder


def test_defaults_and_priorities() -> None:
    """Guards against a high default priority of routes, and against wrong positions of targets."""
    text = 'classes = ["high", "low"]\n' + VALID_SECTION
    document = build_document(3, {"pricing": text}).unwrap()
    assert document.routes[0].klass == "low"
    target = document.services["quotes"].targets[0]
    service = document.services["quotes"]
    assert service.targets[service.position_of(target.index)] is target
    assert document.allowed_methods("/quotes/1") == {"GET"}


KEYS = st.sampled_from(["owner", "classes", "services", "routes", "tenants", "targets", "slots"])
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS | st.text(max_size=3), inner),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.text(max_size=40), st.tuples(KEYS, st.text(max_size=20)))
def test_any_text_is_read_or_refused(text: str, line: tuple[str, str]) -> None:
    """Guards against document text that raises an exception in the check."""
    for body in (text, f"{line[0]} = {line[1]}", f"{VALID_SECTION}\n{line[0]}.{line[1]}"):
        errors = check_bodies({"pricing": body})
        assert all(error.section == "pricing" for error in errors)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=60) | VALUES.map(lambda value: repr(value).encode()))
def test_any_stored_manifest_is_read_or_refused(body: bytes) -> None:
    """Guards against a stored manifest that raises an exception in the parser."""
    result = parse_manifest(body)
    assert not is_successful(result) or result.unwrap().number >= 1
