"""Freezes and thaws the tasks of simulated hosts, as a paused machine would be."""

import contextvars
from collections.abc import Callable
from types import TracebackType
from typing import Any

import trio

_HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


def set_current_host(name: str) -> None:
    """Make the current task, and those that it starts, part of a host; "" of none."""
    _HOST.set(name)


class Freezer:
    """Holds back every step of the tasks of frozen hosts; a context manager.

    Timeouts that pass meanwhile take effect when the host is thawed, and a wake-up that came
    before a timeout keeps its place, as after a pause of a real process.
    """

    __slots__ = ("_armed", "_held", "_original")

    def __init__(self) -> None:
        self._held: dict[str, list[Any]] = {}
        self._armed: dict[str, tuple[int, Callable[[], None]]] = {}
        self._original: Any = None

    def __enter__(self) -> "Freezer":
        runner: Any = trio._core._run.Runner  # type: ignore[attr-defined]
        original = self._original = runner.reschedule
        freezer = self

        def reschedule(run: Any, task: Any, *next_send: Any) -> None:
            host = task.context.get(_HOST, "")
            if host:
                # May make other tasks runnable, so it comes before this one is appended.
                freezer._count_step(host)
            original(run, task, *next_send)
            if host in freezer._held:
                # The task was appended last; it is runnable and can no longer be cancelled.
                freezer._held[host].append(run.runq.pop())

        runner.reschedule = reschedule
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        runner: Any = trio._core._run.Runner  # type: ignore[attr-defined]
        runner.reschedule = self._original

    def is_frozen(self, host: str) -> bool:
        """Whether the tasks of a host are held back."""
        return host in self._held

    def freeze(self, host: str) -> None:
        """Hold back the tasks of a host from their next step on."""
        self._held.setdefault(host, [])

    def thaw(self, host: str) -> None:
        """Let the tasks of a host continue in the order in which they became ready."""
        self._armed.pop(host, None)
        run = trio._core._run.GLOBAL_RUN_CONTEXT.runner  # type: ignore[attr-defined]
        run.runq.extend(self._held.pop(host, []))

    def thaw_all(self) -> None:
        """Let every host continue."""
        for host in list(self._held):
            self.thaw(host)

    def call_after_steps(self, host: str, steps: int, act: Callable[[], None]) -> None:
        """Call `act` before the given step of a host's tasks, counted from now."""
        self._armed[host] = (steps, act)

    def cancel_callbacks(self) -> None:
        """Forget every act that waits for a step."""
        self._armed.clear()

    def _count_step(self, host: str) -> None:
        armed = self._armed.get(host)
        if armed is None:
            return
        steps, act = armed
        if steps > 1:
            self._armed[host] = (steps - 1, act)
        else:
            del self._armed[host]
            act()
