# This is a public namespace, so we don't want to expose any non-underscored
# attributes that aren't actually part of our public API. But it's very
# annoying to carefully always use underscored names for module-level
# temporaries, imports, etc. when implementing the module. So we put the
# implementation in an underscored module, and then re-export the public parts
# here.

# Uses `from x import y as y` for compatibility with `pyright --verifytypes` (#2625)
from ._abc import (
    AsyncResource as AsyncResource,
    Channel as Channel,
    Clock as Clock,
    HalfCloseableStream as HalfCloseableStream,
    HostnameResolver as HostnameResolver,
    Instrument as Instrument,
    Listener as Listener,
    ReceiveChannel as ReceiveChannel,
    ReceiveStream as ReceiveStream,
    SendChannel as SendChannel,
    SendStream as SendStream,
    SocketFactory as SocketFactory,
    Stream as Stream,
)
