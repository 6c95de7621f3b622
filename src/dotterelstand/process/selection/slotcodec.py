"""Packs the fields of slot messages into integers that CBOR holds in one or two bytes."""

import math

from dotterelstand.codes import Result as ResultCode
from dotterelstand.codes import Run
from dotterelstand.process.selection.outcome import AttemptOutcome

MAX_CLASSES = 8
MAX_TENANTS = 1024
MAX_REMAINING_MS = 65535
# Steps of a factor sqrt(2) from 0.5 ms; code 23 stands for 1.4 s and longer.
DURATION_CODES = 24
MIN_DURATION_S = 0.0005


def pack_requirements(
    klass: int, tenant: int, remaining_s: float | None, no_wait: bool = False
) -> int:
    """Class, tenant number, remaining time and whether only a spare slot will do.

    The time is None for a deadline that is far away.

    Classes from 7 on share one number. A default call takes one byte, a tenant below 32 two.
    """
    assert klass >= 0 and 0 <= tenant < MAX_TENANTS, (klass, tenant)
    remaining_ms = 0
    if remaining_s is not None:
        remaining_ms = min(MAX_REMAINING_MS, max(1, int(remaining_s * 1000)))
    urgent = remaining_ms + (MAX_REMAINING_MS + 1) * no_wait
    return min(klass, MAX_CLASSES - 1) + MAX_CLASSES * (tenant + MAX_TENANTS * urgent)


class SlotRequirements:
    """Unpacked class, tenant number, remaining seconds (None if far away) and `spare`."""

    __slots__ = ("klass", "no_wait", "remaining_s", "tenant")

    def __init__(self, klass: int, tenant: int, remaining_s: float | None, no_wait: bool) -> None:
        self.no_wait = no_wait
        self.klass = klass
        self.tenant = tenant
        self.remaining_s = remaining_s


def unpack_requirements(need: int) -> SlotRequirements | None:
    """Inverse of `pack_need`; None if the number is out of range."""
    if not 0 <= need < 2 * MAX_CLASSES * MAX_TENANTS * (MAX_REMAINING_MS + 1):
        return None
    rest, klass = divmod(need, MAX_CLASSES)
    urgent, tenant = divmod(rest, MAX_TENANTS)
    no_wait, remaining_ms = divmod(urgent, MAX_REMAINING_MS + 1)
    return SlotRequirements(
        klass, tenant, remaining_ms / 1000 if remaining_ms else None, bool(no_wait)
    )


def pack_result(kind: AttemptOutcome, duration_s: float) -> int:
    """Outcome and duration; a success takes one byte."""
    code = 0
    if duration_s > MIN_DURATION_S:
        code = min(DURATION_CODES - 1, round(2 * math.log2(duration_s / MIN_DURATION_S)))
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
    return UnpackedResult(AttemptOutcome(kind), MIN_DURATION_S * 2 ** (code / 2))


def refusal_code(number: int) -> ResultCode | None:
    """Result code of a refusal that a dispatcher may give, or None."""
    try:
        code = ResultCode(number)
    except ValueError:
        return None
    return code if code.run is Run.NOT_RUN else None
