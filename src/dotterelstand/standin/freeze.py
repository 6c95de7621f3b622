"""Freezes and thaws the tasks of simulated hosts to model a paused process."""

import contextvars
from collections.abc import Callable
from types import TracebackType
from typing import Any

import trio

_CURRENT_HOST: contextvars.ContextVar[str] = contextvars.ContextVar("host", default="")


def set_current_host(name: str) -> None:
    """Assign the current task and the tasks that it starts to a host; "" assigns them to none."""
    _CURRENT_HOST.set(name)


class Freezer:
    """Context manager that keeps the tasks of frozen hosts from being scheduled.

    Timeouts that expire while a host is frozen take effect when it is thawed. A task that was woken
    before its timeout expired sees the wake-up first, as after a pause of a real process.
    """

    __slots__ = ("_callbacks", "_frozen_tasks", "_original")

    def __init__(self) -> None:
        self._frozen_tasks: dict[str, list[Any]] = {}
        self._callbacks: dict[str, tuple[int, Callable[[], None]]] = {}
        self._original: Any = None

    def __enter__(self) -> "Freezer":
        runner: Any = trio._core._run.Runner  # type: ignore[attr-defined]
        original = self._original = runner.reschedule
        freezer = self

        def reschedule(run: Any, task: Any, *next_send: Any) -> None:
            host = task.context.get(_CURRENT_HOST, "")
            if host:
                # The callback may schedule other tasks. It runs first, so that this task is
                # still the last one of the run queue below.
                freezer._count_step(host)
            original(run, task, *next_send)
            if host in freezer._frozen_tasks:
                # This task is the last one of the run queue. Trio cannot cancel it before it
                # runs, so it can be held back.
                freezer._frozen_tasks[host].append(run.runq.pop())

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
        """Whether a host is frozen."""
        return host in self._frozen_tasks

    def freeze(self, host: str) -> None:
        """Stop scheduling the tasks of a host."""
        self._frozen_tasks.setdefault(host, [])

    def thaw(self, host: str) -> None:
        """Schedule the tasks of a host again, in the order in which they became runnable."""
        self._callbacks.pop(host, None)
        run = trio._core._run.GLOBAL_RUN_CONTEXT.runner  # type: ignore[attr-defined]
        run.runq.extend(self._frozen_tasks.pop(host, []))

    def thaw_all(self) -> None:
        """Thaw every frozen host."""
        for host in list(self._frozen_tasks):
            self.thaw(host)

    def call_after_steps(self, host: str, steps: int, callback: Callable[[], None]) -> None:
        """Call `callback` once, before the `steps`th scheduling of a task of a host from now on."""
        self._callbacks[host] = (steps, callback)

    def cancel_callbacks(self) -> None:
        """Cancel the callbacks that have not been called."""
        self._callbacks.clear()

    def _count_step(self, host: str) -> None:
        pending = self._callbacks.get(host)
        if pending is None:
            return
        steps, callback = pending
        if steps > 1:
            self._callbacks[host] = (steps - 1, callback)
        else:
            del self._callbacks[host]
            callback()
