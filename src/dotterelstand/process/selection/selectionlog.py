"""Log events of target selection."""

from dotterelstand.events import Event, log
from dotterelstand.process.selection.servicestate import ServiceState
from dotterelstand.process.selection.slotcore import SlotCore

REPORT_PERIOD_S = 1.0


class SelectionLog:
    """Logs changes of target health, dispatchers that turn silent or answer again, and messages
    refused by the measuring budget.
    """

    __slots__ = ("_core", "_refused", "_reported_at")

    def __init__(self, core: SlotCore) -> None:
        self._core = core
        self._refused = 0
        self._reported_at = 0.0

    def report(self, active: list[ServiceState], now: float) -> None:
        """Log changes of active services and, once a second, messages refused by the budget."""
        for state in active:
            self._report_health(state)
            self._report_silence(state)
        if now - self._reported_at >= REPORT_PERIOD_S:
            self._reported_at = now
            refused = self._core.budget.counters.refused
            if refused > self._refused:
                log(Event.MEASURE_BUDGET_SPENT, refused=refused - self._refused)
                self._refused = refused

    def _report_health(self, state: ServiceState) -> None:
        for dispatcher in (state.regional, state.local):
            changes = dispatcher.table.changes
            while changes:
                change = changes.popleft()
                fields = {"service": state.service.name, "target": change.target}
                if change.seconds is None:
                    log(Event.TARGET_RESTORED, **fields)
                else:
                    log(Event.TARGET_EJECTED, seconds=change.seconds, **fields)

    def _report_silence(self, state: ServiceState) -> None:
        silent = state.answer_time.silent
        if silent != state.logged_silent:
            state.logged_silent = silent
            event = Event.DISPATCHER_SILENT if silent else Event.DISPATCHER_ANSWERS
            log(event, service=state.service.name)
