"""Checks the results of callers' requests against the executions that the targets recorded."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from dotterelstand.bench.soakcallers import BODY_BYTES, UPLOAD_BYTES, Request, parse_received
from dotterelstand.bench.soakfleet import CRASH_PATH_PREFIX
from dotterelstand.codes import Execution

# Maximum number of targets in the whole fleet that one crashing request may crash.
MAX_CRASHED_TARGETS = 2


class Violation:
    """One violation of a guarantee; `guarantee` is the name of that guarantee in the output."""

    __slots__ = ("detail", "guarantee")

    def __init__(self, guarantee: str, detail: str) -> None:
        self.guarantee = guarantee
        self.detail = detail

    def __str__(self) -> str:
        return f"{self.guarantee}: {self.detail}"


class ExecutionRecord(Protocol):
    """Record that a target keeps of one execution."""

    path: str
    state: str
    body_bytes: int


class TargetRecord(Protocol):
    """Target with the records of its executions."""

    @property
    def runs(self) -> Iterable[ExecutionRecord]:
        """Executions in order."""


class HostRecord(Protocol):
    """One incarnation of an entry host; its graceful stop, if any, began at `stop_began_at`."""

    incarnation_id: str
    was_paused_or_lost: bool
    stop_began_at: float | None


class FleetRecord(Protocol):
    """Targets and entry hosts of a run, as far as the checks need them."""

    @property
    def targets(self) -> Mapping[str, TargetRecord]:
        """Targets by name."""

    @property
    def incarnations(self) -> Mapping[str, HostRecord]:
        """All incarnations of entry hosts in the run, by `incarnation_id`."""


def find_violations(fleet: FleetRecord, requests: list[Request]) -> list[Violation]:
    """Find all violations among finished requests."""
    runs: dict[str, list[str]] = {}
    received_bytes: dict[str, int] = {}
    for target in fleet.targets.values():
        for run in target.runs:
            runs.setdefault(run.path, []).append(run.state)
            if run.state == "done":
                received_bytes[run.path] = run.body_bytes
    violations: list[Violation] = []
    for request in requests:
        violations.extend(_check_request(request, runs.get(request.path, []), received_bytes))
        violations.extend(_find_interrupted(fleet, request))
    return violations


def _find_interrupted(fleet: FleetRecord, request: Request) -> list[Violation]:
    """Find attempts that got no answer because their host was stopped, although gracefully.

    Hosts that were also paused or lost are left out.
    """
    found = []
    for result in request.attempts:
        host = fleet.incarnations[result.incarnation]
        stopped = host.stop_began_at is not None and result.started_at < host.stop_began_at
        if stopped and not host.was_paused_or_lost and result.code == 0:
            detail = f"{request.path} began {result.started_at:.3f} at {host.incarnation_id}"
            found.append(Violation("planned stop", f"{detail}, stopped {host.stop_began_at:.3f}"))
    return found


def _check_request(
    request: Request, runs: list[str], received_bytes: dict[str, int]
) -> list[Violation]:
    found: list[Violation] = []
    summary = f"{request.path} got codes {[result.code for result in request.attempts]}, ran {runs}"
    if request.path.startswith(CRASH_PATH_PREFIX) and len(runs) > MAX_CRASHED_TARGETS:
        found.append(Violation("targets lost to one request", summary))
    if request.kind != "prices" and len(runs) > 1:
        found.append(Violation("at most once", summary))
    reported_not_run = [result.run == Execution.NOT_RUN.value for result in request.attempts]
    if request.attempts and all(reported_not_run) and runs:
        found.append(Violation("not run", summary))
    for result in request.attempts:
        # A target that fails fast answers with a status of 500 or more and does not execute the
        # request, so there is no execution to compare.
        if result.run != Execution.RAN.value or result.status >= 500:
            continue
        if parse_received(result) != (request.path, BODY_BYTES[request.kind]):
            found.append(Violation("own answer", f"{summary} got {result.body[:80]!r}"))
        if "done" not in runs:
            found.append(Violation("answered but not done", summary))
    if request.kind == "artwork" and request.path in received_bytes:
        if received_bytes[request.path] != UPLOAD_BYTES:
            found.append(
                Violation("whole upload", f"{summary} {received_bytes[request.path]} bytes")
            )
    return found
