"""Open-loop load tool: sends requests at planned times and measures latency from those times."""

import json
import sys
from pathlib import Path
from typing import NoReturn
from urllib.parse import parse_qs, urlsplit

import fire
import trio
from returns.pipeline import is_successful

from dotterelstand.connection.network import Network, TcpNetwork
from dotterelstand.exits import ExitCode
from dotterelstand.standin.loadclient import LoadAnswer, LoadClient, LoadRequest
from dotterelstand.standin.loadplan import (
    MAX_RATE,
    MAX_REQUESTS,
    MAX_SECONDS,
    LoadPlan,
    PlannedRequest,
    read_mix,
)
from dotterelstand.standin.loadreport import LoadReport

# Result codes after which a repeat is useless. After `KEY_UNKNOWN` (3006) the outcome of the key
# stays unknown.
FINAL_CODES = frozenset({3006})
REPEAT_AFTER_S = 0.2
MAX_RUNS_BYTES = 64 * 1024 * 1024


class LoadLimits:
    """Limits of one load run."""

    __slots__ = ("max_in_flight", "max_repeats", "timeout_s")

    def __init__(self, max_in_flight: int, max_repeats: int, timeout_s: float) -> None:
        self.max_in_flight = max_in_flight
        self.max_repeats = max_repeats
        self.timeout_s = timeout_s


class LoadRun:
    """Sends the requests of a plan to several entry hosts."""

    __slots__ = ("_clients", "_in_flight", "_limits", "report")

    def __init__(
        self, network: Network, entries: list[tuple[str, int]], limits: LoadLimits
    ) -> None:
        self._limits = limits
        self._clients = [
            LoadClient(network, address, port, limits.max_in_flight) for address, port in entries
        ]
        self._in_flight = 0
        self.report = LoadReport()

    async def run(self, plan: LoadPlan) -> LoadReport:
        """Send all planned requests, wait for the last answer and return the report."""
        start = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                for request in plan.requests():
                    await trio.sleep_until(start + request.at_s)
                    if self._in_flight >= self._limits.max_in_flight:
                        self.report.not_sent += 1
                        continue
                    self._in_flight += 1
                    nursery.start_soon(self._run_request, request, start + request.at_s)
        finally:
            for client in self._clients:
                client.close()
        return self.report

    async def _run_request(self, request: PlannedRequest, planned_at: float) -> None:
        answers: list[LoadAnswer] = []
        try:
            while True:
                answer = await self._send(request, len(answers))
                answers.append(answer)
                self.report.add_answer(request, answer)
                if self._is_final(request, answers):
                    break
                await trio.sleep(max(REPEAT_AFTER_S, answer.retry_after_s))
        finally:
            self._in_flight -= 1
        self.report.end_request(request, answers, trio.current_time() - planned_at)

    async def _send(self, request: PlannedRequest, attempt: int) -> LoadAnswer:
        headers = []
        if request.workspace:
            headers.append(("dotterelstand-tenant", request.workspace))
        if request.kind.keyed:
            headers.append(("idempotency-key", f"key-{request.request_id}"))
        if request.kind.deadline_ms:
            headers.append(("dotterelstand-deadline-ms", str(request.kind.deadline_ms)))
        # A repeat is sent to the next entry host, since every entry host must recognize the key.
        client = self._clients[(request.entry + attempt) % len(self._clients)]
        load_request = LoadRequest(request.kind.method, request.path, headers, request.body_bytes)
        with trio.move_on_after(self._limits.timeout_s):
            return await client.send(load_request)
        return LoadAnswer(0, 0, "unknown", 0.0, b"")

    def _is_final(self, request: PlannedRequest, answers: list[LoadAnswer]) -> bool:
        last = answers[-1]
        return (
            last.run == "ran"
            or not request.kind.keyed
            or last.code in FINAL_CODES
            or len(answers) > self._limits.max_repeats
        )


async def count_runs(network: Network, targets: list[tuple[str, int]]) -> dict[str, int]:
    """Return the number of executions by request id from the targets' records; raises `OSError`."""
    runs: dict[str, int] = {}
    for address, port in targets:
        client = LoadClient(network, address, port, 0, MAX_RUNS_BYTES)
        answer = await client.send(LoadRequest("GET", "/_runs", [], 0))
        if answer.status != 200:
            raise OSError(f"{address}:{port}: /_runs answered {answer.status}")
        for run in json.loads(answer.body):
            request_id = parse_qs(urlsplit(run["path"]).query).get("id", [""])[0]
            runs[request_id] = runs.get(request_id, 0) + 1
    return runs


async def _run(
    entries: list[tuple[str, int]],
    targets: list[tuple[str, int]],
    plan: LoadPlan,
    limits: LoadLimits,
) -> LoadReport:
    network = TcpNetwork()
    report = await LoadRun(network, entries, limits).run(plan)
    if targets:
        report.check_runs(await count_runs(network, targets))
    return report


def run_load(
    entries: str,
    mix: str,
    rate: float = 100.0,
    seconds: float = 5.0,
    seed: int = 1,
    targets: str = "",
    max_in_flight: int = 500,
    max_repeats: int = 3,
    timeout: float = 30.0,
    out: str = "",
) -> None:
    """Send a deployment's mix of requests to entry hosts and print the measurements.

    Args:
        entries: "address:port" of the entry hosts, separated by commas
        mix: TOML file with the kinds of requests and their shares
        rate: total requests a second to all entry hosts, at most 20000
        seconds: length of the run, at most 3600
        seed: seed of the plan
        targets: "address:port" of the stand-in targets whose records are checked after the run
        max_in_flight: planned requests are not sent while this many requests are unanswered
        max_repeats: maximum repeats of a request with a key, while no answer says "ran"
        timeout: seconds after which a request counts as unanswered
        out: file for the JSON report; empty prints the report
    """
    if not (0 < rate <= MAX_RATE and 0 < seconds <= MAX_SECONDS and rate * seconds <= MAX_REQUESTS):
        allowed = f"rate to {MAX_RATE:g}, seconds to {MAX_SECONDS:g}, {MAX_REQUESTS} requests"
        _exit_with_error(ExitCode.USAGE, f"found rate {rate:g}, seconds {seconds:g}; {allowed}")
    kinds = read_mix(Path(mix))
    if not is_successful(kinds):
        _exit_with_error(ExitCode.FILE_UNREADABLE, kinds.failure())
    hosts, servers = _parse_addresses(entries), _parse_addresses(targets)
    plan = LoadPlan(kinds.unwrap(), rate, seconds, len(hosts), seed)
    limits = LoadLimits(max_in_flight, max_repeats, timeout)
    try:
        report = trio.run(_run, hosts, servers, plan, limits)
    except OSError as error:
        _exit_with_error(ExitCode.HOST_UNREACHABLE, str(error))
    text = json.dumps(report.as_dict(), indent=2)
    if out:
        Path(out).write_text(text + "\n", encoding="utf-8")
    else:
        print(text)
    if report.violations:
        _exit_with_error(ExitCode.INVARIANT_BROKEN, f"violations: {report.violations}")


def _parse_addresses(text: str | tuple[str, ...] | list[str]) -> list[tuple[str, int]]:
    items = text.split(",") if isinstance(text, str) else list(text)
    pairs = [str(item).strip().rpartition(":") for item in items if str(item).strip()]
    for address, _, port in pairs:
        if not address or not port.isdigit():
            _exit_with_error(ExitCode.USAGE, f"found {address}:{port}; each must be address:port")
    return [(address, int(port)) for address, _, port in pairs]


def _exit_with_error(code: ExitCode, text: str) -> NoReturn:
    print(f"dotterelstand-load: {text}", file=sys.stderr)
    sys.exit(code)


def main() -> None:
    """Run the load tool from the command line."""
    fire.Fire(run_load)
