"""Packs the fields of slot messages into integers that CBOR holds in one or two bytes."""

import math

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.selection.outcome import AttemptOutcome

CLASSES = 8
TENANTS = 1024
MAX_URGENT_MS = 65535
# Steps of a factor sqrt(2) from 0.5 ms; code 23 stands for 1.4 s and longer.
DURATION_CODES = 24
SHORTEST_S = 0.0005


def pack_need(klass: int, tenant: int, urgent_s: float | None, spare: bool = False) -> int:
    """Class, tenant number, remaining time and whether only a spare slot will do.

    The time is None for a deadline that is far away.

    Classes from 7 on share one number. A default call takes one byte, a tenant below 32 two.
    """
    assert klass >= 0 and 0 <= tenant < TENANTS, (klass, tenant)
    urgent_ms = 0
    if urgent_s is not None:
        urgent_ms = min(MAX_URGENT_MS, max(1, int(urgent_s * 1000)))
    urgent = urgent_ms + (MAX_URGENT_MS + 1) * spare
    return min(klass, CLASSES - 1) + CLASSES * (tenant + TENANTS * urgent)


class Need:
    """Unpacked class, tenant number, remaining seconds (None if far away) and `spare`."""

    __slots__ = ("klass", "spare", "tenant", "urgent_s")

    def __init__(self, klass: int, tenant: int, urgent_s: float | None, spare: bool) -> None:
        self.spare = spare
        self.klass = klass
        self.tenant = tenant
        self.urgent_s = urgent_s


def unpack_need(need: int) -> Need | None:
    """Inverse of `pack_need`; None if the number is out of range."""
    if not 0 <= need < 2 * CLASSES * TENANTS * (MAX_URGENT_MS + 1):
        return None
    rest, klass = divmod(need, CLASSES)
    urgent, tenant = divmod(rest, TENANTS)
    spare, urgent_ms = divmod(urgent, MAX_URGENT_MS + 1)
    return Need(klass, tenant, urgent_ms / 1000 if urgent_ms else None, bool(spare))


def pack_result(kind: AttemptOutcome, duration_s: float) -> int:
    """Outcome and duration; a success takes one byte."""
    code = 0
    if duration_s > SHORTEST_S:
        code = min(DURATION_CODES - 1, round(2 * math.log2(duration_s / SHORTEST_S)))
    return code + DURATION_CODES * kind


class UnpackedResult:
    """Unpacked outcome and duration in seconds."""

    __slots__ = ("duration_s", "kind")

    def __init__(self, kind: AttemptOutcome, duration_s: float) -> None:
        self.kind = kind
        self.duration_s = duration_s


def unpack_result(result: int) -> UnpackedResult | None:
    """Inverse of `pack_result` to within a factor of 1.19; None if out of range."""
    if not 0 <= result < DURATION_CODES * len(AttemptOutcome):
        return None
    kind, code = divmod(result, DURATION_CODES)
    return UnpackedResult(AttemptOutcome(kind), SHORTEST_S * 2 ** (code / 2))


def refusal_code(number: int) -> ResultCode | None:
    """Result code of a refusal that a dispatcher may give, or None."""
    try:
        code = ResultCode(number)
    except ValueError:
        return None
    return code if code.run is Execution.NOT_RUN else None
