"""Ends a Python process when the process that started it has ended, whatever ended that one.

Python imports this module at its start if its folder is in `PYTHONPATH`. The variable
`GUARD_PARENT` holds the number of the process that started it, which may have ended already.
If `LINK_PROXIES` holds a port and a third octet, connections to that port use that octet.
"""

import os
import threading
import time

# Seconds between two checks of the parent process.
CHECK_INTERVAL_S = 0.5


def _end_with_parent(parent: int) -> None:
    while os.getppid() == parent:
        time.sleep(CHECK_INTERVAL_S)
    os._exit(1)


PARENT = int(os.environ["GUARD_PARENT"])
threading.Thread(target=_end_with_parent, args=(PARENT,), daemon=True).start()

if "LINK_PROXIES" in os.environ:
    import socket

    PORT, THIRD_OCTET = os.environ["LINK_PROXIES"].split()
    connect = socket.socket.connect

    def _connect_by_proxy(self: socket.socket, address: tuple[str, int]) -> None:
        if address[1] == int(PORT):
            octets = address[0].split(".")
            address = (".".join([*octets[:2], THIRD_OCTET, octets[3]]), address[1])
        connect(self, address)

    socket.socket.connect = _connect_by_proxy  # type: ignore[method-assign, assignment]
