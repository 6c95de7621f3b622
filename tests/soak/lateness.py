"""Measures how late the processes of a run are, since that looks like faults of the daemons."""

import os
import time
from datetime import UTC, datetime
from pathlib import Path

import trio

from soak.hosts import ProcessFleet, ProcessHost

CHECK_S = 0.05
SAMPLE_S = 0.25
# Lateness of this process and waits of a daemon that are recorded, in seconds; shorter ones are
# within all allowances.
MIN_LATE_S = 0.2
MIN_WAIT_S = 0.5
# A daemon that is ready to run is late if it gets less than this share of one core.
WAITING_SHARE = 0.5
MAX_PRINTED = 8

# Time at which a period began, its length in seconds, and who was late.
Period = tuple[float, float, str]


class Lateness:
    """Records how late this process and the daemons of a run are.

    `periods` holds the wake-ups of this process that were late by `MIN_LATE_S` or more, and the
    times for which a daemon was ready to run and got less than `WAITING_SHARE` of a core;
    `longest_s` is the most by which this process was late.
    """

    __slots__ = ("_began_at", "_cpu_before_s", "_zero", "longest_s", "periods")

    def __init__(self) -> None:
        self._began_at = trio.current_time()
        self._cpu_before_s = time.process_time()
        # Time of day at which the clock of the run was 0.
        self._zero = datetime.fromtimestamp(time.time() - self._began_at, UTC)
        self.longest_s = 0.0
        self.periods: list[Period] = []

    @property
    def cpu_share(self) -> float:
        """Share of one core that this process has used, for all runs in it."""
        used_s = time.process_time() - self._cpu_before_s
        return used_s / max(trio.current_time() - self._began_at, CHECK_S)

    async def run(self, fleet: ProcessFleet) -> None:
        """Measure until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_itself)
            nursery.start_soon(self._watch_hosts, fleet)

    def total_s(self, daemon: str) -> float:
        """Seconds for which a daemon, by its `incarnation_id`, or this process was late."""
        return sum(late_s for _, late_s, who in self.periods if who in (daemon, "soak"))

    def describe(self) -> str:
        """Describe the longest periods, for the report of violations."""
        longest = sorted(self.periods, key=lambda period: -period[1])[:MAX_PRINTED]
        listed = ", ".join(f"{who} {late_s:.2f} s from {at:.1f}" for at, late_s, who in longest)
        return f"{len(self.periods)} periods: {listed}; 0.0 is {self._zero:%F %T.%f} in logs"

    async def _watch_itself(self) -> None:
        while True:
            late_s = await measure_wake_up(CHECK_S)
            self.longest_s = max(self.longest_s, late_s)
            if late_s >= MIN_LATE_S:
                self.periods.append((trio.current_time() - late_s, late_s, "soak"))

    async def _watch_hosts(self, fleet: ProcessFleet) -> None:
        """Sample the daemons; a wait between two samples is that of a process ready at both."""
        ready: dict[str, tuple[float, float]] = {}
        # Begin and end of waits that may go on.
        waits: dict[str, tuple[float, float]] = {}
        try:
            while True:
                now, before, ready = trio.current_time(), ready, {}
                for host in fleet.running_hosts():
                    name, used_s = host.incarnation_id, find_cpu_time(host)
                    if used_s is None:
                        continue
                    ready[name] = now, used_s
                    since, used_before_s = before.get(name, (now, used_s))
                    if used_s - used_before_s < WAITING_SHARE * (now - since):
                        waits[name] = waits.get(name, (since, now))[0], now
                ended = {name: wait for name, wait in waits.items() if wait[1] < now}
                self._note_waits(ended)
                waits = {name: wait for name, wait in waits.items() if name not in ended}
                await trio.sleep(SAMPLE_S)
        finally:
            self._note_waits(waits)

    def _note_waits(self, waits: dict[str, tuple[float, float]]) -> None:
        self.periods += [
            (began, until - began, name)
            for name, (began, until) in waits.items()
            if until - began >= MIN_WAIT_S
        ]


async def measure_wake_up(seconds: float) -> float:
    """Sleep, and return by how many seconds this process woke up too late."""
    due_at = trio.current_time() + seconds
    await trio.sleep_until(due_at)
    return trio.current_time() - due_at


def find_cpu_time(host: ProcessHost) -> float | None:
    """CPU time in seconds that a daemon has used if it runs or is ready to; None otherwise."""
    assert host.process is not None
    try:
        line = Path(f"/proc/{host.process.pid}/stat").read_text(encoding="ascii")
    except (FileNotFoundError, ProcessLookupError):
        return None
    # The name of the program, in brackets, may hold blanks.
    fields = line.rpartition(")")[2].split()
    if fields[0] != "R":
        return None
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
