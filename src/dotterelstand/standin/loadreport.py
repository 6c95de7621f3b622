"""Measurements of the load tool, and violations of the guarantees that it checks."""

import json

from hdrh.histogram import HdrHistogram

from dotterelstand.standin.loadclient import LoadAnswer
from dotterelstand.standin.loadplan import PlannedRequest

MAX_LATENCY_US = 120_000_000
QUANTILES = (50.0, 90.0, 99.0, 99.9)
# Number of examples kept for each kind of violation.
MAX_EXAMPLES = 5


class LoadSeries:
    """Counts and latencies (microseconds) of one service and class."""

    __slots__ = ("answered", "codes", "latency_us", "refused", "repeats", "requests", "runs",
                 "unknown")  # fmt: skip

    def __init__(self) -> None:
        self.requests = 0
        self.answered = 0
        self.refused = 0
        self.unknown = 0
        self.repeats = 0
        self.codes: dict[int, int] = {}
        self.runs: dict[str, int] = {}
        self.latency_us = HdrHistogram(1, MAX_LATENCY_US, 3)


class LoadReport:
    """Measurements by service and class, and violations of the guarantees to callers."""

    __slots__ = ("_examples", "_outcomes", "not_sent", "series", "violations")

    def __init__(self) -> None:
        self.series: dict[tuple[str, str], LoadSeries] = {}
        self.violations: dict[str, int] = {}
        self._examples: dict[str, list[str]] = {}
        self.not_sent = 0
        self._outcomes: dict[str, tuple[PlannedRequest, bool]] = {}

    def add_answer(self, request: PlannedRequest, answer: LoadAnswer) -> None:
        """Count the answer of one attempt and check that its body belongs to this request."""
        series = self._series(request)
        series.codes[answer.code] = series.codes.get(answer.code, 0) + 1
        series.runs[answer.run] = series.runs.get(answer.run, 0) + 1
        checked = answer.run == "ran" and answer.status == 200 and answer.body_kept
        if checked and not _echoes_request(request, answer.body):
            self._add_violation("wrong_answer", f"{request.path}: {answer.body[:200]!r}")

    def end_request(
        self, request: PlannedRequest, answers: list[LoadAnswer], seconds: float
    ) -> None:
        """Count a finished request; `seconds` is the time since its planned time."""
        series = self._series(request)
        series.requests += 1
        series.repeats += len(answers) - 1
        runs = [answer.run for answer in answers]
        not_run = all(run in ("not-run", "unsent") for run in runs)
        if runs[-1] == "ran":
            series.answered += 1
            series.latency_us.record_value(min(MAX_LATENCY_US, max(1, int(seconds * 1e6))))
        elif not_run:
            series.refused += 1
        else:
            series.unknown += 1
        self._outcomes[request.request_id] = (request, not_run)

    def check_runs(self, runs: dict[str, int]) -> None:
        """Compare outcomes with the number of executions by request id in the targets' records."""
        for request_id, (request, not_run) in self._outcomes.items():
            count = runs.get(request_id, 0)
            if not_run and count:
                self._add_violation("not_run_but_ran", f"{request.path} ran {count} times")
            if not request.kind.idempotent and count > 1:
                self._add_violation("double_run", f"{request.path} ran {count} times")

    def as_dict(self) -> dict[str, object]:
        """Return the report for JSON output; times are in milliseconds."""
        series = [
            {
                "service": service,
                "class": klass,
                "requests": item.requests,
                "answered": item.answered,
                "refused": item.refused,
                "unknown": item.unknown,
                "repeats": item.repeats,
                "codes": {str(code): item.codes[code] for code in sorted(item.codes)},
                "runs": item.runs,
                "encoded": item.latency_us.encode().decode("ascii"),
                **{
                    f"p{quantile:g}_ms": item.latency_us.get_value_at_percentile(quantile) / 1000
                    for quantile in QUANTILES
                },
            }
            for (service, klass), item in sorted(self.series.items())
        ]
        return {
            "series": series,
            "not_sent": self.not_sent,
            "violations": self.violations,
            "examples": self._examples,
        }

    def _series(self, request: PlannedRequest) -> LoadSeries:
        key = (request.kind.service, request.kind.klass)
        return self.series.setdefault(key, LoadSeries())

    def _add_violation(self, name: str, text: str) -> None:
        self.violations[name] = self.violations.get(name, 0) + 1
        examples = self._examples.setdefault(name, [])
        if len(examples) < MAX_EXAMPLES:
            examples.append(text)


def _echoes_request(request: PlannedRequest, body: bytes) -> bool:
    try:
        echoed = json.loads(body)
    except ValueError:
        return False
    return (
        isinstance(echoed, dict)
        and echoed.get("path") == request.path
        and echoed.get("bytes") == request.body_bytes
    )
