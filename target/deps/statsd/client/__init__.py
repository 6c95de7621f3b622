from .stream import TCPStatsClient, UnixSocketStatsClient  # noqa
from .udp import StatsClient  # noqa
