"""Plan of a load run: kinds of requests, their shares and the times at which they are sent."""

import random
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from returns.result import Failure, Result, Success

# Limits of one run, so that a mistyped argument cannot overload a machine.
MAX_RATE = 20_000.0
MAX_SECONDS = 3_600.0
# The report keeps the outcome of each request in memory to compare it with the targets' records.
MAX_REQUESTS = 1_000_000
MAX_BODY_BYTES = 64 * 1024 * 1024


class RequestKind:
    """One kind of request of a mix; `share` is its relative frequency."""

    __slots__ = (
        "body_bytes",
        "deadline_ms",
        "idempotent",
        "keyed",
        "klass",
        "method",
        "path",
        "service",
        "share",
        "workspaces",
    )

    def __init__(self, values: dict[str, Any]) -> None:
        self.service = str(values["service"])
        self.klass = str(values["class"])
        self.method = str(values["method"])
        self.path = str(values["path"])
        self.share = float(values["share"])
        self.keyed = bool(values.get("keyed", False))
        self.idempotent = bool(values.get("idempotent", False))
        low, high = values.get("body_bytes", [0, 0])
        self.body_bytes = (int(low), int(high))
        self.deadline_ms = int(values.get("deadline_ms", 0))
        self.workspaces = [str(workspace) for workspace in values.get("tenants", [])]


class PlannedRequest:
    """One request; `at_s` is its planned time in seconds from the start of the run."""

    __slots__ = ("at_s", "body_bytes", "entry", "kind", "request_id", "workspace")

    def __init__(
        self,
        at_s: float,
        request_id: str,
        kind: RequestKind,
        body_bytes: int,
        workspace: str,
        entry: int,
    ) -> None:
        self.at_s = at_s
        self.request_id = request_id
        self.kind = kind
        self.body_bytes = body_bytes
        self.workspace = workspace
        self.entry = entry

    @property
    def path(self) -> str:
        """Path with the request id; the target returns the path in its answer."""
        return f"{self.kind.path}?id={self.request_id}"


class LoadPlan:
    """Open-loop plan: the planned times do not depend on answers."""

    __slots__ = ("_entries", "_kinds", "_rate", "_seconds", "_seed")

    def __init__(
        self, kinds: list[RequestKind], rate: float, seconds: float, entries: int, seed: int
    ) -> None:
        self._kinds = kinds
        self._rate = rate
        self._seconds = seconds
        self._entries = entries
        self._seed = seed

    def requests(self) -> Iterator[PlannedRequest]:
        """Yield the requests in order of their times; the same seed gives the same plan."""
        rng = random.Random(self._seed)
        shares = [kind.share for kind in self._kinds]
        at_s, index = rng.expovariate(self._rate), 0
        while at_s < self._seconds:
            (kind,) = rng.choices(self._kinds, shares)
            body_bytes = rng.randint(*kind.body_bytes)
            workspace = rng.choice(kind.workspaces) if kind.workspaces else ""
            entry = rng.randrange(self._entries)
            yield PlannedRequest(at_s, f"{self._seed}-{index}", kind, body_bytes, workspace, entry)
            at_s += rng.expovariate(self._rate)
            index += 1


def read_mix(path: Path) -> Result[list[RequestKind], str]:
    """Read the kinds of requests from a TOML file; fails with a description of the error."""
    try:
        table = tomllib.loads(path.read_text(encoding="utf-8"))
        kinds = [RequestKind(values) for values in table["requests"]]
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return Failure(f"{path}: {error}")
    except (KeyError, TypeError, ValueError) as error:
        return Failure(f"{path}: requests: missing or malformed key: {error!r}")
    for kind in kinds:
        low, high = kind.body_bytes
        if not 0 <= low <= high <= MAX_BODY_BYTES or kind.share <= 0:
            allowed = f"body_bytes 0 to {MAX_BODY_BYTES}, share above 0"
            return Failure(f"{path}: requests of {kind.path}: {allowed}")
    return Success(kinds) if kinds else Failure(f"{path}: requests: at least one kind is needed")
