"""Replies that peers owe to a request of this host."""

import trio


class PendingReplies:
    """A request to peers and the number of replies that are still missing."""

    __slots__ = ("allowed", "done", "remaining", "source")

    def __init__(self, remaining: int) -> None:
        self.remaining = remaining
        self.source = ""
        self.allowed = False
        self.done = trio.Event()

    def add_reply(self, allowed: bool) -> None:
        """Note a reply; the last missing one sets `done`."""
        self.allowed = allowed
        self.remaining -= 1
        if self.remaining <= 0:
            self.done.set()
