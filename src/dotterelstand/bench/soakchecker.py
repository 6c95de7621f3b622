"""Compares what callers were told with what the targets recorded."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from dotterelstand.bench.soakcallers import SIZES, UPLOAD_BYTES, Request, answered_path
from dotterelstand.bench.soakfleet import CRASH_PATH
from dotterelstand.codes import Run

# Targets that one crashing request may take down in the whole fleet.
MAX_CRASHES = 2


class Violation:
    """A promise that a run broke."""

    __slots__ = ("detail", "promise")

    def __init__(self, promise: str, detail: str) -> None:
        self.promise = promise
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"


class ExecutionRecord(Protocol):
    """What a target records of one execution."""

    path: str
    state: str
    body_bytes: int


class TargetRecord(Protocol):
    """A target with its executions."""

    @property
    def runs(self) -> Iterable[ExecutionRecord]:
        """Executions in order."""


class HostRecord(Protocol):
    """One incarnation of an entry host; `stopped` is the time of its graceful stop."""

    context: str
    disturbed: bool
    stopped: float | None


class FleetRecord(Protocol):
    """What is compared with what callers were told."""

    @property
    def targets(self) -> Mapping[str, TargetRecord]:
        """Targets by name."""

    @property
    def incarnations(self) -> Mapping[str, HostRecord]:
        """Every entry host that ever ran, by its context."""


def find_violations(fleet: FleetRecord, requests: list[Request]) -> list[Violation]:
    """Every broken promise among finished requests."""
    runs: dict[str, list[str]] = {}
    complete: dict[str, int] = {}
    for target in fleet.targets.values():
        for run in target.runs:
            runs.setdefault(run.path, []).append(run.state)
            if run.state == "done":
                complete[run.path] = run.body_bytes
    violations: list[Violation] = []
    for request in requests:
        violations.extend(_judge(request, runs.get(request.path, []), complete))
        violations.extend(_find_cuts(fleet, request))
    return violations


def _find_cuts(fleet: FleetRecord, request: Request) -> list[Violation]:
    """Attempts without an answer that began before a graceful stop of an undisturbed host."""
    found = []
    for told in request.attempts:
        host = fleet.incarnations[told.incarnation]
        stopped = host.stopped is not None and told.began < host.stopped
        if stopped and not host.disturbed and told.code == 0:
            detail = f"{request.path} began {told.began:.3f} at {host.context}"
            found.append(Violation("planned stop", f"{detail}, stopped {host.stopped:.3f}"))
    return found


def _judge(request: Request, runs: list[str], complete: dict[str, int]) -> list[Violation]:
    found: list[Violation] = []
    summary = f"{request.path} told {[told.code for told in request.attempts]} ran {runs}"
    if request.path.startswith(CRASH_PATH) and len(runs) > MAX_CRASHES:
        found.append(Violation("targets lost to one request", summary))
    if request.kind != "prices" and len(runs) > 1:
        found.append(Violation("at most once", summary))
    told_not_run = [told.run == Run.NOT_RUN.value for told in request.attempts]
    if request.attempts and all(told_not_run) and runs:
        found.append(Violation("not run", summary))
    for told in request.attempts:
        # A target that fails fast answers without running anything, which its status shows.
        if told.run != Run.RAN.value or told.status >= 500:
            continue
        if answered_path(told) != (request.path, SIZES[request.kind]):
            found.append(Violation("own answer", f"{summary} got {told.body[:80]!r}"))
        if "done" not in runs:
            found.append(Violation("answered but not done", summary))
    if request.kind == "artwork" and request.path in complete:
        if complete[request.path] != UPLOAD_BYTES:
            found.append(Violation("whole upload", f"{summary} {complete[request.path]} bytes"))
    return found
