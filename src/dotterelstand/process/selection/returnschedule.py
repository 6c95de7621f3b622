"""Times at which the callers of refused calls may retry, in the order of their refusals."""

# Longest time in seconds until a retry; a caller that is told to wait longer gives up.
MAX_RETURN_S = 5.0


class ReturnSchedule:
    """Assigns each refused call a time to retry, so that the callers don't all return at once.

    The callers return one by one, at the rate at which slots become free, and not before the calls
    that wait now have been served. Lives as long as the dispatcher.
    """

    __slots__ = ("_next_at",)

    def __init__(self) -> None:
        self._next_at = 0.0

    def reserve(self, now: float, wait_s: float, slot_interval_s: float) -> float:
        """Seconds until the caller of a call that is refused at `now` may retry.

        `wait_s` is the time until the waiting calls are served, and `slot_interval_s` the mean time
        between two slots that become free.
        """
        at = max(self._next_at, now + wait_s)
        self._next_at = min(at + slot_interval_s, now + MAX_RETURN_S)
        return min(at - now, MAX_RETURN_S)
