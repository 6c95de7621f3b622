"""Control pages and actions of the daemon itself."""

from collections.abc import Callable

import trio
from returns.result import Result, Success

from dotterelstand.process.operation.control import Arguments, ControlRegistry
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.settings import Settings
from dotterelstand.version.model import Document

TargetStates = Callable[[str], dict[str, dict[str, object]]]


class DaemonState:
    """State of the daemon that the control pages show."""

    __slots__ = ("document", "started_s", "stop", "stopping")

    def __init__(
        self,
        document: Callable[[], Document | None],
        stopping: Callable[[], bool],
        stop: Callable[[], None],
    ) -> None:
        self.document = document
        self.stopping = stopping
        self.stop = stop
        self.started_s: float | None = None


def register_pages(
    registry: ControlRegistry,
    settings: Settings,
    metrics: Metrics,
    state: DaemonState,
    target_states: TargetStates = lambda service: {},
) -> None:
    """Register the daemon's control pages, readiness checks and the drain action."""
    registry.add_check("document", lambda: state.document() is not None)
    registry.add_check("not-stopping", lambda: not state.stopping())
    registry.provide("status", lambda: _status(registry, settings, state))
    registry.provide("document", lambda: _document(state.document()))
    registry.provide("targets", lambda: _targets(state.document(), target_states))
    registry.provide("counters", metrics.counters)
    registry.provide_async("histograms", lambda: _histograms(metrics))
    registry.provide("settings", lambda: _settings(settings))

    async def drain(arguments: Arguments) -> Result[object, str]:
        state.stop()
        return Success({"stopping": True})

    registry.add_action("drain", drain)


def _status(registry: ControlRegistry, settings: Settings, state: DaemonState) -> object:
    document = state.document()
    missing = registry.failing_checks()
    started = state.started_s
    return {
        "host": settings.text("host", "name"),
        "region": settings.text("host", "region"),
        "availability_zone": settings.text("host", "availability_zone"),
        "ready": not missing,
        "missing": missing,
        "stopping": state.stopping(),
        "document": None if document is None else document.number,
        "uptime_s": 0.0 if started is None else round(trio.current_time() - started, 1),
    }


def _document(document: Document | None) -> object:
    if document is None:
        return {"number": None, "sections": {}}
    return {"number": document.number, "sections": dict(document.sections)}


def _targets(document: Document | None, target_states: TargetStates) -> object:
    if document is None:
        return []
    known = {name: target_states(name) for name in document.services}
    return [
        {
            "service": service.name,
            "target": target.name,
            "address": f"{target.address}:{target.port}",
            "region": target.region,
            "availability_zone": target.availability_zone,
            "slots": target.slots,
            **known[service.name].get(target.name, {}),
        }
        for service in document.services.values()
        for target in service.targets
    ]


async def _histograms(metrics: Metrics) -> object:
    page = []
    for series in metrics.series():
        page.append(
            {
                "service": series.service,
                "class": series.klass,
                "tenant": series.workspace,
                "encoded": series.encoded,
            }
        )
        # Yield between series, since encoding all of them takes 20 ms.
        await trio.lowlevel.checkpoint()
    return page


def _settings(settings: Settings) -> object:
    values = settings.as_dict()
    values["control"]["tokens"] = [f"({len(values['control']['tokens'])} hidden)"]
    return values
