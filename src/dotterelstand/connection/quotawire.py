"""Messages between entry hosts about the quotas of workspaces."""

from dotterelstand.connection.wire import Message


class QuotaReport(Message):
    """Requests of limited workspaces since the last report, of a host or `summed` for a region.

    `names` are hashes of names, `asked` and `admitted` (less refunds) numbers of requests.
    `number` is the sender's time, `follows` the `number` of the last answer, 0 without a valid one.
    `hosts` of the `listed` hosts of the region delegate their share.
    """

    __slots__ = ("admitted", "asked", "follows", "hosts", "listed", "names", "number", "summed")
    TYPE = 34
    admitted: list[int]
    asked: list[int]
    follows: int
    hosts: int
    listed: int
    names: list[int]
    number: int
    summed: bool


class QuotaLimits(Message):
    """Answer to the `QuotaReport` with the number `follows`.

    Hosts admit `shares` millionths of the requests of the workspaces in `names` (hashes of names),
    and all of others. `hosts` is the number of hosts that own a share of the quotas, of which
    `sharing` delegate it to the `coordinator`. They are `stale` if the coordinator doesn't answer.
    """

    __slots__ = (
        "coordinator",
        "follows",
        "hosts",
        "names",
        "number",
        "shares",
        "sharing",
        "stale",
        "summed",
    )
    TYPE = 35
    coordinator: str
    follows: int
    hosts: int
    names: list[int]
    number: int
    shares: list[int]
    sharing: int
    stale: bool
    summed: bool
