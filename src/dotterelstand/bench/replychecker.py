"""Checks the replies to requests with keys against the executions that the target recorded."""

from dotterelstand.bench.fleet import FakeTarget, Reply
from dotterelstand.codes import Execution
from dotterelstand.codes import Result as ResultCode


class ReplyChecker:
    """Collects replies by key and attempt, and finds those that contradict the executions."""

    __slots__ = ("codes", "replies")

    def __init__(self) -> None:
        self.replies: list[tuple[bytes, int, Reply]] = []
        self.codes: dict[int, int] = {}

    def record(self, key: bytes, attempt: int, reply: Reply) -> None:
        """Record a reply of a host, whether or not it reached its caller."""
        self.replies.append((key, attempt, reply))
        self.codes[int(reply.code)] = self.codes.get(int(reply.code), 0) + 1

    def violations(self, target: FakeTarget) -> list[str]:
        """Find keys that ran twice, "not run" replies to requests that ran, and wrong answers.

        An answer is wrong if it is not the one of the only execution of its key.
        """
        found = [
            f"{key!r} ran {len(runs)} times: attempts {runs}"
            for key, runs in target.runs.items()
            if len(runs) > 1
        ]
        for key, attempt, reply in self.replies:
            runs = target.runs.get(key, [])
            if reply.code.run is Execution.NOT_RUN and attempt in runs:
                found.append(f"{key!r} attempt {attempt} ran, but its reply was {reply.code}")
            if reply.code in (ResultCode.ANSWERED, ResultCode.REPLAYED):
                if [reply.body] != [b"%d" % run for run in runs]:
                    found.append(f"{key!r} attempt {attempt} was told {reply.body!r}, ran {runs}")
        return found
