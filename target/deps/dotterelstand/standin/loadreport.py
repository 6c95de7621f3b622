"""What the load tool measured, and the promises that it checked."""

import json

from hdrh.histogram import HdrHistogram

from dotterelstand.standin.loadclient import LoadAnswer
from dotterelstand.standin.loadplan import PlannedRequest

MAX_LATENCY_US = 120_000_000
QUANTILES = (50.0, 90.0, 99.0, 99.9)
# Examples that are kept of each kind of violation.
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
    """Series by service and class, and violations of the promises to callers."""

    __slots__ = ("_ended", "_examples", "not_sent", "series", "violations")

    def __init__(self) -> None:
        self.series: dict[tuple[str, str], LoadSeries] = {}
        self.violations: dict[str, int] = {}
        self._examples: dict[str, list[str]] = {}
        self.not_sent = 0
        self._ended: dict[str, tuple[PlannedRequest, bool]] = {}

    def add_answer(self, request: PlannedRequest, answer: LoadAnswer) -> None:
        """Count one answer and check that it belongs to its request."""
        series = self._series(request)
        series.codes[answer.code] = series.codes.get(answer.code, 0) + 1
        series.runs[answer.run] = series.runs.get(answer.run, 0) + 1
        checked = answer.run == "ran" and answer.status == 200 and answer.body_kept
        if checked and not _belongs(request, answer.body):
            self._violate("wrong_answer", f"{request.path}: {answer.body[:200]!r}")

    def end(self, request: PlannedRequest, answers: list[LoadAnswer], seconds: float) -> None:
        """Count a request with all its answers; `seconds` counts from the planned time."""
        series = self._series(request)
        series.requests += 1
        series.repeats += len(answers) - 1
        runs = [answer.run for answer in answers]
        safe = all(run in ("not-run", "unsent") for run in runs)
        if runs[-1] == "ran":
            series.answered += 1
            series.latency_us.record_value(min(MAX_LATENCY_US, max(1, int(seconds * 1e6))))
        elif safe:
            series.refused += 1
        else:
            series.unknown += 1
        self._ended[request.identity] = (request, safe)

    def check_runs(self, runs: dict[str, int]) -> None:
        """Compare with the targets' records: how often each identity ran."""
        for identity, (request, not_run) in self._ended.items():
            count = runs.get(identity, 0)
            if not_run and count:
                self._violate("not_run_but_ran", f"{request.path} ran {count} times")
            if not request.kind.idempotent and count > 1:
                self._violate("double_run", f"{request.path} ran {count} times")

    def as_dict(self) -> dict[str, object]:
        """Report for JSON output, times in milliseconds."""
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

    def _violate(self, name: str, text: str) -> None:
        self.violations[name] = self.violations.get(name, 0) + 1
        examples = self._examples.setdefault(name, [])
        if len(examples) < MAX_EXAMPLES:
            examples.append(text)


def _belongs(request: PlannedRequest, body: bytes) -> bool:
    try:
        echoed = json.loads(body)
    except ValueError:
        return False
    return (
        isinstance(echoed, dict)
        and echoed.get("path") == request.path
        and echoed.get("bytes") == request.body_bytes
    )
