"""Bounded queue of one service's calls that wait for a slot."""

from collections import OrderedDict

from dotterelstand.version.workspace import ANY_REGION

CallKey = tuple[str, int]


class WaitingCall:
    """A call that requests a slot; times in seconds.

    `key` is the requesting host and its call number, `zone` that host's availability zone.
    `excluded` holds names of targets, since positions change while the call waits. A `no_wait`
    call is never queued. Only targets in `regions` may run the call, unless that is empty. A call
    that starts after `start_by` is late even if it ends before its deadline.
    """

    __slots__ = (
        "arrived_at",
        "deadline",
        "excluded",
        "key",
        "klass",
        "no_wait",
        "regions",
        "start_by",
        "workspace",
        "zone",
    )

    def __init__(
        self,
        key: CallKey,
        klass: int,
        workspace: int,
        arrived_at: float,
        deadline: float,
        excluded: frozenset[str] = frozenset(),
        zone: str = "",
        no_wait: bool = False,
    ) -> None:
        self.no_wait = no_wait
        self.start_by: float | None = None
        self.regions: frozenset[str] = ANY_REGION
        self.key = key
        self.klass = klass
        self.workspace = workspace
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.excluded = excluded
        self.zone = zone


class _ClassLane:
    """Waiting calls of one class, on time or late, round robin by workspace."""

    __slots__ = ("size", "workspaces")

    def __init__(self) -> None:
        self.workspaces: OrderedDict[int, OrderedDict[CallKey, WaitingCall]] = OrderedDict()
        self.size = 0

    def add(self, call: WaitingCall) -> None:
        self.workspaces.setdefault(call.workspace, OrderedDict())[call.key] = call
        self.size += 1

    def pop(self, newest: bool = False) -> WaitingCall:
        """Remove and return the oldest or newest call of the next workspace."""
        workspace, calls = next(iter(self.workspaces.items()))
        _, call = calls.popitem(last=newest)
        if calls:
            self.workspaces.move_to_end(workspace)
        else:
            del self.workspaces[workspace]
        self.size -= 1
        return call

    def remove(self, call: WaitingCall) -> None:
        calls = self.workspaces[call.workspace]
        del calls[call.key]
        if not calls:
            del self.workspaces[call.workspace]
        self.size -= 1


class CallQueue:
    """Queue of calls, served in class order and round robin over the workspaces of a class.

    `push` and `remove` are O(classes).
    """

    __slots__ = (
        "_calls",
        "_calls_by_workspace",
        "_capacity",
        "_lane_of",
        "_lanes",
        "_largest_size",
        "_workspaces_by_size",
    )

    def __init__(self, capacity: int, classes: int) -> None:
        self._capacity = capacity
        # Each class has a lane for calls that can still start on time, then one for late calls.
        self._lanes = [_ClassLane() for _ in range(2 * classes)]
        self._lane_of: dict[CallKey, int] = {}
        self._calls: dict[CallKey, WaitingCall] = {}
        self._calls_by_workspace: dict[int, OrderedDict[CallKey, WaitingCall]] = {}
        # Workspaces by number of waiting calls, to find the one with the most calls without a scan.
        self._workspaces_by_size: dict[int, OrderedDict[int, None]] = {}
        self._largest_size = 0

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, key: CallKey) -> bool:
        return key in self._calls

    @property
    def capacity(self) -> int:
        """Maximum number of waiting calls."""
        return self._capacity

    @capacity.setter
    def capacity(self, capacity: int) -> None:
        self._capacity = capacity

    def keys(self) -> list[CallKey]:
        """Keys of all calls."""
        return list(self._calls)

    def count_ahead(self, klass: int) -> int:
        """Maximum number of waiting calls served before a new on-time call of this class."""
        return sum(lane.size for lane in self._lanes[: 2 * klass + 1])

    def push(self, call: WaitingCall) -> WaitingCall | None:
        """Add a call; if the queue was full, evict a call and return it.

        Evicts the longest-waiting late call of the lowest class or, if no call is late, the newest
        call of the workspace with the most waiting calls.
        """
        assert call.key not in self._calls, call.key
        # The capacity may have been reduced below the number of calls that wait already.
        bound = max(self._capacity, len(self._calls))
        self._add(call)
        if len(self._calls) <= self._capacity:
            return None
        for lane in reversed(self._lanes[1::2]):
            if lane.size:
                late = lane.pop()
                self._discard(late)
                return late
        workspace = next(iter(self._workspaces_by_size[self._largest_size]))
        if len(self._calls_by_workspace[call.workspace]) == self._largest_size:
            workspace = call.workspace
        newest = next(reversed(self._calls_by_workspace[workspace].values()))
        self._lanes[self._lane_of[newest.key]].remove(newest)
        self._discard(newest)
        assert len(self._calls) <= bound
        return newest

    def pop(self, now: float) -> WaitingCall | None:
        """Remove and return the next call to serve, or None.

        Within a class, calls that can still start on time are served before late ones.
        """
        for number in range(0, len(self._lanes), 2):
            self._move_late_calls(number, now)
        for number, lane in enumerate(self._lanes):
            if lane.size:
                # The newest late call is the most likely to end before its deadline.
                call = lane.pop(newest=number % 2 == 1)
                self._discard(call)
                return call
        return None

    def remove(self, key: CallKey) -> WaitingCall | None:
        """Remove and return a call; None if it is not in the queue."""
        call = self._calls.get(key)
        if call is not None:
            self._lanes[self._lane_of[key]].remove(call)
            self._discard(call)
        return call

    def pop_expiring(self, latest_end: float) -> list[WaitingCall]:
        """Remove and return the calls whose deadline is before `latest_end` (seconds)."""
        calls = [call for call in self._calls.values() if call.deadline < latest_end]
        for call in calls:
            self.remove(call.key)
        return calls

    def remove_host(self, host: str) -> None:
        """Remove every call of a lost host."""
        for key in [key for key in self._calls if key[0] == host]:
            self.remove(key)

    def _move_late_calls(self, number: int, now: float) -> None:
        """Move the calls that can no longer start on time to the class's late lane."""
        lane = self._lanes[number]
        late = [call for calls in lane.workspaces.values() for call in calls.values()]
        for call in late:
            if call.start_by is not None and call.start_by < now:
                lane.remove(call)
                self._lanes[number + 1].add(call)
                self._lane_of[call.key] = number + 1

    def _add(self, call: WaitingCall) -> None:
        self._lanes[2 * call.klass].add(call)
        self._lane_of[call.key] = 2 * call.klass
        self._calls[call.key] = call
        calls = self._calls_by_workspace.setdefault(call.workspace, OrderedDict())
        self._resize(call.workspace, len(calls), len(calls) + 1)
        calls[call.key] = call

    def _discard(self, call: WaitingCall) -> None:
        del self._calls[call.key], self._lane_of[call.key]
        calls = self._calls_by_workspace[call.workspace]
        self._resize(call.workspace, len(calls), len(calls) - 1)
        del calls[call.key]
        if not calls:
            del self._calls_by_workspace[call.workspace]

    def _resize(self, workspace: int, old: int, new: int) -> None:
        if old:
            del self._workspaces_by_size[old][workspace]
            if not self._workspaces_by_size[old]:
                del self._workspaces_by_size[old]
        if new:
            self._workspaces_by_size.setdefault(new, OrderedDict())[workspace] = None
        self._largest_size = max(self._largest_size, new)
        # A workspace's number of calls changes by one, so the largest number falls by at most one.
        if self._largest_size and self._largest_size not in self._workspaces_by_size:
            self._largest_size -= 1
