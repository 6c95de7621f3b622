"""Ends a Python process when the process that started it has ended, whatever ended that one.

Python imports this module at its start if its folder is in `PYTHONPATH`. The variable
`GUARD_PARENT` holds the number of the process that started it, which may have ended already.
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
