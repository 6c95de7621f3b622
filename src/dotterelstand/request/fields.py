"""Names of the header fields that callers, entry hosts and targets exchange."""

RUN_HEADER = b"dotterelstand-run"
RESULT_HEADER = b"dotterelstand-result"

# Maximum digits of a number in a load report; a report with a longer number is ignored.
MAX_LOAD_DIGITS = 6


class LoadReport:
    """Load that a target reports about itself.

    `requests` counts running and waiting requests. `slowdown` is the target's current service
    time as a multiple of its usual one.
    """

    __slots__ = ("requests", "slowdown")

    def __init__(self, requests: int, slowdown: float = 1.0) -> None:
        self.requests = requests
        self.slowdown = slowdown


class HeaderFields:
    """Header names in lower case; empty for a header that the platform does not use.

    `target` carries the name of the intended target, `identity` the name of the target that
    answers a health check, and `signature` is present on every successful answer. Each name in
    `draining` has the value 1 in the answers of a target that is draining.

    A target reports that it did not run a request by one of `not_run_statuses`, or by the header
    `not_run` with the value `not_run_value` (any value if that is empty). With `echoes_request_id`,
    each answer to a request with an id carries that id. `workspace` carries the name of the
    workspace whose key a request has. A health answer carries in `warmup` the milliseconds for
    which the target is still cold, 0 if it is warm.
    """

    __slots__ = (
        "deadline",
        "draining",
        "echoes_request_id",
        "identity",
        "load",
        "not_run",
        "not_run_statuses",
        "not_run_value",
        "request_id",
        "signature",
        "target",
        "warmup",
        "workspace",
    )

    def __init__(
        self,
        request_id: bytes,
        deadline: bytes,
        target: bytes,
        load: bytes,
        draining: tuple[bytes, ...],
        not_run: bytes,
        not_run_value: bytes = b"",
        not_run_statuses: frozenset[int] = frozenset(),
        signature: bytes = b"",
        identity: bytes = b"",
        echoes_request_id: bool = False,
        workspace: bytes = b"",
        warmup: bytes = b"",
    ) -> None:
        self.workspace = workspace
        self.warmup = warmup
        self.echoes_request_id = echoes_request_id
        self.identity = identity
        self.request_id = request_id
        self.deadline = deadline
        self.target = target
        self.load = load
        self.draining = draining
        self.not_run = not_run
        self.not_run_value = not_run_value
        self.not_run_statuses = not_run_statuses
        self.signature = signature


DEFAULT_FIELDS = HeaderFields(
    request_id=b"dotterelstand-request-id",
    deadline=b"dotterelstand-deadline-ms",
    target=b"dotterelstand-target",
    load=b"dotterelstand-load",
    draining=(b"dotterelstand-draining",),
    not_run=RUN_HEADER,
    not_run_value=b"not-run",
)


def names_target(headers: dict[bytes, bytes], fields: HeaderFields, target: str) -> bool:
    """Whether an answer may come from a target: its identity is the target's name or absent.

    The address of a target may have been reassigned to another one.
    """
    return headers.get(fields.identity) in (None, encode_target(target))


def encode_target(name: str) -> bytes:
    """Name of a target as it is sent in header fields."""
    return name.encode("latin-1", "replace")


def encode_workspace(name: str) -> bytes:
    """Name of a workspace as it is sent in header fields.

    Unlike that of a target, it must stay distinct from all others.
    """
    return name.encode()


def announces_draining(headers: dict[bytes, bytes], fields: HeaderFields) -> bool:
    """Whether the headers of a target's answer say that it is draining."""
    return any(headers.get(name) == b"1" for name in fields.draining)


def parse_warmup(value: bytes | None) -> float | None:
    """Parse a remaining warm-up time; returns seconds, or None if it is absent or malformed."""
    if value is None or not value.strip().isdigit() or len(value.strip()) > MAX_LOAD_DIGITS:
        return None
    return int(value) / 1000


def parse_load_report(value: bytes | None) -> LoadReport | None:
    """Parse a load report header; None if it is absent or malformed.

    The value is the number of requests, or "running,waiting,slots" with the slowdown in percent
    as an optional fourth number.
    """
    if value is None:
        return None
    parts = [part.strip() for part in value.split(b",")]
    if any(not part.isdigit() or len(part) > MAX_LOAD_DIGITS for part in parts):
        return None
    numbers = [int(part) for part in parts]
    if len(numbers) < 3:
        return LoadReport(numbers[0])
    slowdown = numbers[3] / 100 if len(numbers) > 3 else 1.0
    return LoadReport(numbers[0] + numbers[1], slowdown)
