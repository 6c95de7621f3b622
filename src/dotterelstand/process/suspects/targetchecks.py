"""Checks with a new connection whether a target that closed one is still there."""

from collections.abc import Callable

import h11
import trio

from dotterelstand.connection.network import CONNECTION_ERRORS, Network
from dotterelstand.connection.target import TargetConnection
from dotterelstand.process.suspects.evidence import (
    SECOND_CONTACT_AFTER_S,
    CheckPlan,
    Contact,
    Evidence,
    PlannedCheck,
    judge_contacts,
)
from dotterelstand.process.telemetry.invariant import log_fault
from dotterelstand.request.fields import HeaderFields, names_target
from dotterelstand.version.model import Document, Service, Target

# Maximum size of the head of a health answer.
MAX_HEAD_BYTES = 16384


class CheckLimits:
    """Times in seconds: `check_s` for one check, `connect_s` until a connection is accepted.

    The last connection of a check may exceed `check_s` by `connect_s`.
    """

    __slots__ = ("check_s", "connect_s")

    def __init__(self, check_s: float = 0.3, connect_s: float = 0.15) -> None:
        self.check_s = check_s
        self.connect_s = connect_s


class TargetChecks:
    """Finds out what became of targets that closed a connection, with one check per burst.

    `departure` tells what the document in force and the reports of leaving targets say of a target.
    """

    __slots__ = ("_departure", "_ends", "_fields", "_limits", "_network", "_plan")

    def __init__(
        self,
        network: Network,
        limits: CheckLimits,
        fields: HeaderFields,
        departure: Callable[[Service, Target], Evidence | None],
    ) -> None:
        self._network = network
        self._limits = limits
        self._fields = fields
        self._departure = departure
        self._plan = CheckPlan()
        # Event that is set at the end of each check that has not ended.
        self._ends: dict[PlannedCheck, trio.Event] = {}

    async def find_evidence(self, service: Service, target: Target) -> Evidence:
        """Evidence about a target that has just closed a connection.

        Takes at most `check_s` and `connect_s`, plus the interval between two checks of one target.
        The caller must not be cancelled meanwhile, since others wait for the same check.
        """
        known = self._departure(service, target)
        if known is not None:
            return known
        waiting = self._plan.waiting(target.name)
        if waiting is not None:
            await self._ends[waiting].wait()
            return waiting.evidence
        check = self._plan.plan(target.name, trio.current_time())
        if check is None:
            return Evidence.UNCHECKED
        self._ends[check] = trio.Event()
        try:
            await trio.sleep_until(check.starts_at)
            self._plan.start(check, trio.current_time())
            check.evidence = await self._check(service, target)
        except Exception as error:
            log_fault("target check", [error], target=target.name)
        finally:
            self._plan.end(check)
            self._ends.pop(check).set()
        # The document may list a new start of the target by now.
        return self._departure(service, target) or check.evidence

    async def _check(self, service: Service, target: Target) -> Evidence:
        end = trio.current_time() + self._limits.check_s
        contacts: list[Contact] = []
        while (evidence := judge_contacts(contacts)) is None:
            if contacts:
                await trio.sleep(SECOND_CONTACT_AFTER_S)
            if trio.current_time() >= end:
                return Evidence.UNCHECKED
            contacts.append(await self._contact(service, target, end))
        return evidence

    async def _contact(self, service: Service, target: Target, end: float) -> Contact:
        stream: trio.abc.Stream | None = None
        try:
            with trio.move_on_after(self._limits.connect_s):
                stream = await self._network.connect(target.address, target.port)
        except OSError:
            return Contact.REFUSED
        if stream is None:
            return Contact.SILENT
        address = f"{target.address}:{target.port}"
        with TargetConnection(stream, address, trio.current_time(), MAX_HEAD_BYTES) as connection:
            contact = Contact.OPEN
            with trio.move_on_at(end):
                contact = await self._request_health(connection, service, target)
        return contact

    async def _request_health(
        self, connection: TargetConnection, service: Service, target: Target
    ) -> Contact:
        host = [(b"host", connection.address.encode())]
        try:
            await connection.send_request("GET", service.health_path, host, b"", True)
            head = await connection.receive()
        except CONNECTION_ERRORS:
            return Contact.CLOSED
        except h11.RemoteProtocolError:
            return Contact.CLOSED if connection.closed_by_target() else Contact.ANSWERED
        if not isinstance(head, h11.Response | h11.InformationalResponse):
            return Contact.CLOSED
        values = {bytes(name): bytes(value) for name, value in head.headers}
        same = names_target(values, self._fields, target.name)
        return Contact.ANSWERED if same else Contact.OTHER


def make_departure(
    document: Callable[[], Document | None], is_leaving: Callable[[Target], bool]
) -> Callable[[Service, Target], Evidence | None]:
    """Create the function that tells whether a target has left or was started again."""

    def find(service: Service, target: Target) -> Evidence | None:
        current = document()
        listed = current.services.get(service.name) if current is not None else None
        position = listed.position_of(target.index) if listed is not None else None
        if listed is None or position is None:
            return Evidence.REMOVED
        if listed.targets[position].incarnation > target.incarnation > 0:
            return Evidence.RESTARTED
        return Evidence.LEAVING if is_leaving(target) else None

    return find
