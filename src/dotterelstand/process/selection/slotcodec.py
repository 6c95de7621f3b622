"""Packs the fields of slot messages into small integers, which CBOR encodes in few bytes."""

import math

from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode
from dotterelstand.process.selection.outcome import AttemptOutcome
from dotterelstand.version.workspace import ANY_REGION

MAX_CLASSES = 8
MAX_WORKSPACES = 1024
MAX_REMAINING_MS = 65535
# Number of duration codes, in steps of factor sqrt(2): 0 is 0.5 ms or less, 23 is 1.4 s or more.
DURATION_CODES = 24
# Number of regions that a bit mask can name.
MAX_REGIONS = 32
MIN_DURATION_S = 0.0005


def pack_requirements(
    klass: int, workspace: int, remaining_s: float | None, no_wait: bool = False
) -> int:
    """Pack class, workspace number, remaining time and whether the call must not wait for a slot.

    `remaining_s` is None for a distant deadline. Classes from 7 on share one number. CBOR encodes
    the result in one byte for a call with default values, and in two bytes if the call also has a
    workspace number below 32.
    """
    assert klass >= 0 and 0 <= workspace < MAX_WORKSPACES, (klass, workspace)
    remaining_ms = 0
    if remaining_s is not None:
        remaining_ms = min(MAX_REMAINING_MS, max(1, int(remaining_s * 1000)))
    time_and_flag = remaining_ms + (MAX_REMAINING_MS + 1) * no_wait
    return min(klass, MAX_CLASSES - 1) + MAX_CLASSES * (workspace + MAX_WORKSPACES * time_and_flag)


class SlotRequirements:
    """Unpacked requirements of an `Acquire`; `remaining_s` is None for a distant deadline."""

    __slots__ = ("klass", "no_wait", "remaining_s", "workspace")

    def __init__(
        self, klass: int, workspace: int, remaining_s: float | None, no_wait: bool
    ) -> None:
        self.no_wait = no_wait
        self.klass = klass
        self.workspace = workspace
        self.remaining_s = remaining_s


def unpack_requirements(packed: int) -> SlotRequirements | None:
    """Unpack the result of `pack_requirements`; None if the number is out of range."""
    if not 0 <= packed < 2 * MAX_CLASSES * MAX_WORKSPACES * (MAX_REMAINING_MS + 1):
        return None
    rest, klass = divmod(packed, MAX_CLASSES)
    time_and_flag, workspace = divmod(rest, MAX_WORKSPACES)
    no_wait, remaining_ms = divmod(time_and_flag, MAX_REMAINING_MS + 1)
    return SlotRequirements(
        klass, workspace, remaining_ms / 1000 if remaining_ms else None, bool(no_wait)
    )


def pack_regions(regions: frozenset[str], known: tuple[str, ...]) -> int | None:
    """Bit mask of regions over the regions of a document, 0 for any.

    None if it can name none of them: a mask of 0 would permit all.
    """
    if not regions:
        return 0
    bits = (1 << bit for bit, name in enumerate(known[:MAX_REGIONS]) if name in regions)
    return sum(bits) or None


def unpack_regions(mask: int, known: tuple[str, ...]) -> frozenset[str] | None:
    """Regions of the result of `pack_regions`.

    None if the mask names a region that this host does not know, so that the two hosts have
    different regions and a bit may stand for different ones.
    """
    if not 0 <= mask < 1 << min(len(known), MAX_REGIONS):
        return None if mask else ANY_REGION
    return frozenset(name for bit, name in enumerate(known) if mask >> bit & 1)


def pack_result(outcome: AttemptOutcome, duration_s: float) -> int:
    """Pack outcome and duration; a success takes one byte."""
    code = 0
    if duration_s > MIN_DURATION_S:
        code = min(DURATION_CODES - 1, round(2 * math.log2(duration_s / MIN_DURATION_S)))
    return code + DURATION_CODES * outcome


class UnpackedResult:
    """Unpacked outcome and duration in seconds."""

    __slots__ = ("duration_s", "kind")

    def __init__(self, kind: AttemptOutcome, duration_s: float) -> None:
        self.kind = kind
        self.duration_s = duration_s


def unpack_result(result: int) -> UnpackedResult | None:
    """Unpack the result of `pack_result`; None if out of range.

    The duration is exact to a factor of 1.19 within the range of the duration codes.
    """
    if not 0 <= result < DURATION_CODES * len(AttemptOutcome):
        return None
    kind, code = divmod(result, DURATION_CODES)
    return UnpackedResult(AttemptOutcome(kind), MIN_DURATION_S * 2 ** (code / 2))


def refusal_code(number: int) -> ResultCode | None:
    """Result code of a dispatcher's refusal; None if the number is not such a code."""
    try:
        code = ResultCode(number)
    except ValueError:
        return None
    return code if code.run is Execution.NOT_RUN else None
