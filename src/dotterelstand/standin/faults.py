"""Faults of a target stand-in, which can be changed while it runs."""

import math
import random
from typing import Any

import trio

# Paths of the stand-in's own endpoints, which are not counted as received requests.
ENDPOINT_PATHS = frozenset({"/health", "/load", "/_runs", "/_faults"})
MAX_FAULTS_BYTES = 16384


class Faults:
    """Active faults of a target; times are in seconds.

    `shed` is the probability that a request is refused, and `reset_share` that the connection is
    reset in place of the answer. A target that has more than `reset_beyond` waiting requests resets
    the connection of the next one; -1 turns this off. With `resets_checks`, both faults apply to
    health checks as well.
    The `*_paths` lists hold path prefixes: the fault applies to requests whose path starts with
    one of them.
    """

    __slots__ = (
        "answer_bytes",
        "crash_paths",
        "draining",
        "draining_changed_s",
        "early_paths",
        "fail_status",
        "garbage_paths",
        "health_lag_s",
        "load_fixed",
        "load_lag_s",
        "reset_beyond",
        "reset_share",
        "resets_checks",
        "restart_s",
        "shed",
        "silent_accepted",
        "silent_paths",
        "slow_factor",
        "stall_body_paths",
        "truncate_paths",
    )

    def __init__(self) -> None:
        self.answer_bytes = 0
        self.crash_paths: list[str] = []
        self.draining = False
        self.draining_changed_s = -math.inf
        self.early_paths: list[str] = []
        self.fail_status = 0
        self.garbage_paths: list[str] = []
        self.health_lag_s = 0.0
        self.load_fixed = -1
        self.load_lag_s = 0.0
        self.reset_beyond = -1
        self.reset_share = 0.0
        self.resets_checks = False
        self.restart_s = 0.5
        self.shed = 0.0
        self.silent_accepted = False
        self.silent_paths: list[str] = []
        self.slow_factor = 1.0
        self.stall_body_paths: list[str] = []
        self.truncate_paths: list[str] = []

    def update(self, values: dict[str, Any]) -> str | None:
        """Set faults by name; returns a description of the first invalid entry, or None."""
        for name, value in values.items():
            if name not in self.names():
                return f"{name}: unknown; one of {', '.join(self.names())}"
            current = getattr(self, name)
            if isinstance(current, float) and type(value) is int:
                value = float(value)
            if type(value) is not type(current):
                return f"{name}: found {value!r}; a value like {current!r}"
            setattr(self, name, value)
            if name == "draining":
                self.draining_changed_s = trio.current_time()
        return None

    def applies_resets(self, path: str) -> bool:
        """Whether requests of this path are reset; the endpoints are only if it is `/health`."""
        return path not in ENDPOINT_PATHS or (path == "/health" and self.resets_checks)

    def resets_answer(self, rng: random.Random) -> bool:
        """Whether the connection is reset in place of the next answer."""
        return 0 < self.reset_share > rng.random()

    def health_reports_draining(self) -> bool:
        """Whether the health endpoint reports draining; a change shows after `health_lag_s`."""
        lag_passed = trio.current_time() - self.draining_changed_s >= self.health_lag_s
        return self.draining == lag_passed

    def names(self) -> list[str]:
        """Return the names of the faults that can be set."""
        return [name for name in self.__slots__ if name != "draining_changed_s"]

    def as_dict(self) -> dict[str, object]:
        """Return the values of all faults by name."""
        return {name: getattr(self, name) for name in self.names()}


def matches_prefix(path: str, prefixes: list[str]) -> bool:
    """Whether a path starts with one of the prefixes."""
    return any(path.startswith(prefix) for prefix in prefixes)
