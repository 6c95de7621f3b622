"""Choice of the host that receives reports, and the validity of its answers."""

from collections.abc import Sequence

# Seconds after which a host that has not answered a report is replaced by the next one, and
# seconds until it is tried again.
ANSWER_TIMEOUT_S = 0.25
RETRY_AFTER_S = 5.0
# Seconds after which a missing answer shows that limits may be out of date. Messages travel up to
# 30 ms between regions and back.
LATE_S = 0.08
# Seconds after it sent a report for which a host leaves its share to the host that answered it.
DELEGATION_S = 1.0
# Seconds between two checks whether a report is due.
STEP_S = 0.1
# Messages are stamped with the sender's clock in 1/1000 s; 0 stands for no message.
STAMPS_PER_S = 1000


def make_stamp(now: float) -> int:
    """Stamp of a message sent at `now` (seconds)."""
    return max(1, int(now * STAMPS_PER_S))


def age_of(stamp: int, now: float) -> float | None:
    """Seconds since this host made a stamp; None if it is none of this run of the process."""
    age_s = now - stamp / STAMPS_PER_S
    return age_s if stamp > 0 and age_s > -1.0 / STAMPS_PER_S else None


class Uplink:
    """Link of one host to the host that it sends its reports to.

    Answers are dated at the time at which the report they follow was sent, by this host's clock, so
    that a delay in transit makes them older and never younger.
    """

    __slots__ = (
        "_answered_at",
        "_missing_since",
        "_silent_until",
        "_unanswered_since",
        "delegated_until",
        "follows",
        "server",
    )

    def __init__(self) -> None:
        self._silent_until: dict[str, float] = {}
        # Time of the first report that was not answered by `server`, and by any host.
        self._unanswered_since: float | None = None
        self._missing_since: float | None = None
        self._answered_at = float("-inf")
        self.delegated_until = float("-inf")
        # Stamp of the last answer of `server`, 0 without one.
        self.follows = 0
        self.server: str | None = None

    def is_delegated(self, now: float) -> bool:
        """Whether the share of this host is used by the host that it reports to."""
        return now < self.delegated_until

    def answer_age_s(self, now: float) -> float:
        """Seconds since the last report was sent that has been answered."""
        return now - self._answered_at

    def is_late(self, now: float) -> bool:
        """Whether an answer is missing, also after the choice of another host."""
        since = self._missing_since
        return since is not None and now - since >= LATE_S

    def choose(self, ranked: Sequence[str], now: float) -> str | None:
        """Choose the first of the ranked hosts that answers; None if there is no host."""
        since = self._unanswered_since
        if self.server is not None and since is not None and now - since > ANSWER_TIMEOUT_S:
            self._silent_until[self.server] = now + RETRY_AFTER_S
        self._silent_until = {
            host: until for host, until in self._silent_until.items() if until > now
        }
        able = [host for host in ranked if host not in self._silent_until]
        server = able[0] if able else (ranked[0] if ranked else None)
        if server != self.server or not able:
            self._unanswered_since = None
        if server != self.server:
            self.server = server
            self.follows = 0
        return server

    def record_sent(self, now: float) -> None:
        """Record that a report was sent, or could not be sent, to `server`."""
        if self._unanswered_since is None:
            self._unanswered_since = now
        if self._missing_since is None:
            self._missing_since = now

    def record_answer(self, sender: str, follows: int, stamp: int, now: float) -> bool:
        """Record an answer; False if it follows a report that is too old to count."""
        age_s = age_of(follows, now)
        if sender != self.server or age_s is None or age_s >= DELEGATION_S:
            return False
        sent_at = now - max(0.0, age_s)
        if sent_at < self._answered_at:
            return False
        self._unanswered_since = self._missing_since = None
        self._answered_at = sent_at
        self.follows = stamp
        self.delegated_until = max(self.delegated_until, sent_at + DELEGATION_S)
        return True
