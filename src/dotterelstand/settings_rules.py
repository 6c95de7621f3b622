"""Rules for the value of every settings key."""

import ipaddress
import re
from collections.abc import Callable
from typing import Any, Protocol
from urllib.parse import urlsplit

Values = dict[str, dict[str, Any]]
MIN_TOKEN_CHARACTERS = 16


class Rule(Protocol):
    """Rule for one value; an error message has the form "found x; <allowed>"."""

    @property
    def allowed(self) -> str:
        """Description of the allowed values, for messages and the reference page."""

    def accepts(self, value: Any) -> bool:
        """Return whether a value, already of the right type, is allowed."""


class Range:
    """Rule for numbers between two limits, both inclusive."""

    __slots__ = ("_high", "_low")

    def __init__(self, low: float, high: float) -> None:
        self._low = low
        self._high = high

    @property
    def allowed(self) -> str:
        """Lower and upper limit."""
        return f"{self._low:.12g} to {self._high:.12g}"

    def accepts(self, value: Any) -> bool:
        """Return whether the number is finite and within the limits."""
        return self._low <= value <= self._high


class TextRule:
    """Rule for strings, checked by a predicate."""

    __slots__ = ("_accepts_text", "_allowed")

    def __init__(self, allowed: str, test: Callable[[str], bool]) -> None:
        self._allowed = allowed
        self._accepts_text = test

    @property
    def allowed(self) -> str:
        """Description of the accepted strings."""
        return self._allowed

    def accepts(self, value: Any) -> bool:
        """Return whether the predicate accepts the string."""
        return self._accepts_text(value)


class ListRule:
    """Rule for lists of limited length whose items all satisfy one rule."""

    __slots__ = ("_max_items", "_rule")

    def __init__(self, rule: Rule, max_items: int) -> None:
        self._rule = rule
        self._max_items = max_items

    @property
    def allowed(self) -> str:
        """Rule for the items and their maximum number."""
        return f"up to {self._max_items} items, each {self._rule.allowed}"

    def accepts(self, value: Any) -> bool:
        """Return whether the length and all items are allowed."""
        return len(value) <= self._max_items and all(self._rule.accepts(item) for item in value)


class BooleanRule:
    """Rule for booleans; accepts both values."""

    __slots__ = ()

    @property
    def allowed(self) -> str:
        """The two boolean values."""
        return "true or false"

    def accepts(self, value: Any) -> bool:
        """Return True, since both values are allowed."""
        return True


def _is_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_host_port(text: str) -> bool:
    address, _, port = text.rpartition(":")
    return _is_address(address.strip("[]")) and port.isdigit() and 0 < int(port) < 65536


def _is_store_url(text: str) -> bool:
    try:
        url = urlsplit(text)
        port = url.port
    except ValueError:
        return False
    plain = url.scheme == "http" and url.path in ("", "/") and not url.query
    return plain and _is_address(url.hostname or "") and port is not None


def _is_token(text: str) -> bool:
    return MIN_TOKEN_CHARACTERS <= len(text) <= 256 and re.fullmatch(r"[!-~]+", text) is not None


# Processes address each other by IP; resolving a host name would block the event loop.
ADDRESS = TextRule("an IP address", _is_address)
HOST_PORT = TextRule('"address:port" with an IP address', _is_host_port)
OPTIONAL_HOST_PORT = TextRule(
    "empty or " + HOST_PORT.allowed, lambda text: not text or _is_host_port(text)
)
NAME = TextRule(
    "1 to 64 letters, digits, '.', '_' or '-'",
    lambda text: re.fullmatch(r"[A-Za-z0-9._-]{1,64}", text) is not None,
)
OPTIONAL_NAME = TextRule("empty or " + NAME.allowed, lambda text: not text or NAME.accepts(text))
TEXT = TextRule(
    "up to 256 printable characters", lambda text: len(text) <= 256 and text.isprintable()
)
TOKEN = TextRule(f"{MIN_TOKEN_CHARACTERS} to 256 ASCII characters without spaces", _is_token)
ZONE_REGION_PAIR = TextRule(
    '"zone=region"',
    lambda text: len(parts := text.split("=")) == 2 and all(map(NAME.accepts, parts)),
)
PATH = TextRule('a path that begins with "/"', lambda text: text.startswith("/"))
PROTOCOL = TextRule('"own" or "objects"', lambda text: text in ("own", "objects"))
STORE_URL = TextRule('"http://address:port" with an IP address', _is_store_url)
BOOLEAN = BooleanRule()
PORT = Range(0, 65535)
MIB = 1024 * 1024

RULES: dict[str, dict[str, Rule]] = {
    "host": {
        "name": NAME,
        "region": NAME,
        "availability_zone": NAME,
        "regions": ListRule(ZONE_REGION_PAIR, 64),
        "processors": Range(0.01, 1024),
        "processor_share": Range(0.01, 1),
        "memory_mb": Range(0, 1_048_576),
    },
    "listen": {
        "endpoint": OPTIONAL_HOST_PORT,
        "address": ADDRESS,
        "port": PORT,
        "max_connections": Range(1, 100_000),
        "max_head_bytes": Range(1024, MIB),
        "max_body_bytes": Range(1024, 100_000_000_000),
        "head_timeout_s": Range(0.1, 300),
        "body_idle_timeout_s": Range(0.1, 3600),
        "idle_timeout_s": Range(0.1, 3600),
        "close_grace_s": Range(0, 60),
        "stop_limit_s": Range(0, 3600),
        "linger_s": Range(0, 60),
    },
    "peers": {
        "address": ADDRESS,
        "port": PORT,
        "seeds": ListRule(HOST_PORT, 64),
        "heartbeat_s": Range(0.05, 10),
        "suspect_after_s": Range(0.1, 60),
        "max_message_bytes": Range(4096, 16 * MIB),
        "max_queue": Range(16, 65536),
        "max_queue_bytes": Range(65536, 256 * MIB),
        "max_links": Range(1, 10_000),
        "max_members": Range(1, 100_000),
        "connect_timeout_s": Range(0.05, 60),
        "redial_min_s": Range(0.01, 60),
        "redial_max_s": Range(0.01, 600),
        "host_list_interval_s": Range(0.5, 600),
        "introduction_s": Range(0, 60),
        "bootstrap_wait_s": Range(0, 60),
    },
    "control": {
        "address": ADDRESS,
        "port": PORT,
        "tokens": ListRule(TOKEN, 16),
        "max_connections": Range(1, 1000),
        "max_body_bytes": Range(256, MIB),
        "timeout_s": Range(0.1, 60),
    },
    "readiness": {
        "enabled": BOOLEAN,
        "endpoint": OPTIONAL_HOST_PORT,
        "address": ADDRESS,
        "port": PORT,
        "path": PATH,
    },
    "store": {
        "protocol": PROTOCOL,
        "url": STORE_URL,
        "targets_pause_s": Range(0, 60),
        "document_pause_s": Range(0, 60),
        "timeout_s": Range(0.05, 30),
        "reads_per_s": Range(1, 2000),
        "read_burst": Range(0, 1000),
        "writes_per_s": Range(1, 500),
        "watch_wait_s": Range(1, 300),
        "breaker_failures": Range(1, 100),
        "breaker_pause_s": Range(0.05, 60),
        "max_waiting_calls": Range(1, 10_000),
        "max_idle_connections": Range(0, 1000),
    },
    "evacuation": {"enabled": BOOLEAN},
    "document": {
        "watchers_per_region": Range(1, 16),
        "fetch_timeout_s": Range(0.1, 30),
        "peer_wait_s": Range(0.1, 60),
        "max_cached_sections": Range(16, 65536),
        "max_cached_bytes": Range(MIB, 1024 * MIB),
    },
    "access": {
        "strict_revocation": BOOLEAN,
        "revocation_limit_s": Range(1, 600),
        "proof_interval_s": Range(0.5, 60),
    },
    "targets": {
        "connect_timeout_s": Range(0.01, 30),
        "idle_timeout_s": Range(0.1, 600),
        "max_idle_connections": Range(0, 1000),
        "max_answer_head_bytes": Range(1024, MIB),
        "sharing_hosts": Range(1, 10_000),
        "health_interval_s": Range(0, 60),
        "health_drains": BOOLEAN,
        "return_after_s": Range(1, 3600),
    },
    "measure": {
        "bytes_per_s": Range(0, 100 * MIB),
        "calls_per_s": Range(0, 1_000_000),
        "cross_region_bytes_per_s": Range(0, 100 * MIB),
        "cross_region_calls_per_s": Range(0, 1_000_000),
    },
    "journal": {
        "partitions": Range(1, 1024),
        "lease_s": Range(0.5, 60),
        "writes_per_s": Range(0.5, 100),
        "retention_s": Range(10, 86400),
        "max_answer_bytes": Range(0, 65536),
        "region": OPTIONAL_NAME,
        "owner_timeout_s": Range(0.01, 60),
        "outcome_delay_s": Range(0, 10),
        "running_limit_s": Range(1, 86400),
        "max_records": Range(1, 10_000_000),
        "max_kept_bytes": Range(0, 1024 * MIB),
        "max_staged": Range(1, 100_000),
        "max_segments": Range(1, 100_000),
        "segment_bytes": Range(4096, 900_000),
        "max_waiting": Range(1, 1_000_000),
        "max_unsettled": Range(1, 1_000_000),
    },
    "requests": {
        "max_attempts": Range(1, 10),
        "retry_min_per_s": Range(0, 1000),
        "retry_slack": Range(0, 100000),
        "held_body_bytes": Range(0, 16 * MIB),
    },
    "service_defaults": {
        "hedge": BOOLEAN,
        "retry_share": Range(0, 1),
        "max_queue_per_slot": Range(0, 1000),
        "silence_timeout_s": Range(0.01, 3600),
    },
    "quota": {"enabled": BOOLEAN},
    "quarantine": {
        "window_s": Range(1, 3600),
        "quarantine_s": Range(1, 86400),
        "max_entries": Range(1, 100_000),
        "confirm_timeout_s": Range(0, 10),
        "check_s": Range(0.01, 10),
        "admit_wait_s": Range(0, 60),
        "run_limit_s": Range(0.1, 600),
    },
    "selection": {
        "answer_grace_ms": Range(0.1, 1000),
        "grant_life_s": Range(0.1, 600),
        "lookahead_per_slot": Range(0, 8),
        "max_calls": Range(1, 1_000_000),
        "crossing_round_trip_ms": Range(0, 10_000),
        "crossing_price_ms_per_kib": Range(0, 1000),
        "usual_call_kib": Range(0, 1_000_000),
        "eject_share": Range(0, 0.9),
        "eject_first_s": Range(0.01, 600),
        "eject_longest_s": Range(0.01, 3600),
        "failure_bound": Range(0.01, 1),
        "slow_factor": Range(1, 1000),
        "new_targets_cold": BOOLEAN,
        "full_share": Range(0, 1),
        "full_slowdown": Range(1, 100),
        "successes_per_slot": Range(1, 10_000),
    },
    "logs": {
        "max_lines_per_s": Range(10, 100_000),
        "max_buffered_bytes": Range(4096, 64 * MIB),
        "answered_sample": Range(1, 1_000_000),
    },
    "metrics": {
        "served": BOOLEAN,
        "endpoint": OPTIONAL_HOST_PORT,
        "address": ADDRESS,
        "port": PORT,
        "statsd_address": ADDRESS,
        "statsd_port": Range(1, 65535),
        "enabled": BOOLEAN,
        "prefix": NAME,
        "max_series": Range(2, 8192),
        "flush_interval_s": Range(0.1, 60),
    },
    "tool": {"hosts": ListRule(HOST_PORT, 1024), "author": TEXT, "timeout_s": Range(0.1, 600)},
    "tls": {
        "caller_certificate": TEXT,
        "caller_key": TEXT,
        "peer_certificate": TEXT,
        "peer_key": TEXT,
        "peer_authority": TEXT,
    },
}
