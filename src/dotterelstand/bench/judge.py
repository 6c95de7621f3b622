"""Judges a run of keyed requests by what the target executed and what callers were told."""

from dotterelstand.bench.fleet import FakeTarget, Reply
from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode


class Judge:
    """Collects what callers were told, by key and attempt."""

    __slots__ = ("codes", "told")

    def __init__(self) -> None:
        self.told: list[tuple[bytes, int, Reply]] = []
        self.codes: dict[int, int] = {}

    def note(self, key: bytes, attempt: int, reply: Reply) -> None:
        """Note an answer that a host gave, whether or not it reached its caller."""
        self.told.append((key, attempt, reply))
        self.codes[int(reply.code)] = self.codes.get(int(reply.code), 0) + 1

    def violations(self, target: FakeTarget) -> list[str]:
        """What was broken: double runs, "not run" that ran, answers of another request."""
        found = [
            f"{key!r} ran {len(runs)} times: attempts {runs}"
            for key, runs in target.runs.items()
            if len(runs) > 1
        ]
        for key, attempt, reply in self.told:
            runs = target.runs.get(key, [])
            if reply.code.run is Execution.NOT_RUN and attempt in runs:
                found.append(f"{key!r} attempt {attempt} ran and was told {reply.code}")
            if reply.code in (ResultCode.ANSWERED, ResultCode.REPLAYED):
                if [reply.body] != [b"%d" % run for run in runs]:
                    found.append(f"{key!r} attempt {attempt} was told {reply.body!r}, ran {runs}")
        return found
