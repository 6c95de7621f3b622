from .client import StatsClient
from .client import TCPStatsClient
from .client import UnixSocketStatsClient


VERSION = (4, 0, 1)
__version__ = '.'.join(map(str, VERSION))
__all__ = ['StatsClient', 'TCPStatsClient', 'UnixSocketStatsClient']
