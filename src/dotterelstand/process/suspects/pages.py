"""Control pages of the quarantine."""

from returns.result import Failure, Result, Success

from dotterelstand.process.operation.control import Arguments, ControlRegistry
from dotterelstand.process.suspects.quarantine import QuarantineService


def register_quarantine(registry: ControlRegistry, service: QuarantineService) -> None:
    """Register the control pages with which the command-line tool lists and lifts quarantines."""

    async def lift(arguments: Arguments) -> Result[object, str]:
        fingerprint = str(arguments.get("fingerprint", ""))
        if service.lift(fingerprint):
            return Success({"lifted": fingerprint})
        return Failure(f"{fingerprint}: this fingerprint has no strikes on this host")

    registry.provide("quarantine", service.list_quarantined)
    registry.add_action("quarantine/lift", lift)
