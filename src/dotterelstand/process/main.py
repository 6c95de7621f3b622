"""Entry point of dotterelstandd."""

import os
import select
import signal
import sys
import time

# Number and name of the log event of a stop during the start; the module of events is not loaded.
STOPPED_EARLY = 104, "daemon_stopped_early"
STDOUT_FD = 1


def main() -> None:
    """Run dotterelstandd from the command line."""
    # The default action of SIGHUP would kill a daemon that is still importing its modules. The
    # settings are read after the imports, so no change is lost if the signal is ignored until then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The default action would count as a failure, and a parent may have left a stop ignored.
    signal.signal(signal.SIGTERM, _stop_early)
    signal.signal(signal.SIGINT, _stop_early)
    from dotterelstand.process.run import run_daemon
    from dotterelstand.settings import SETTINGS_VARIABLE

    settings = os.environ.get(SETTINGS_VARIABLE, "")
    if settings and len(sys.argv) == 1:
        # Without arguments there is nothing to parse, and `fire` takes 2.5 MB of each daemon.
        run_daemon(settings)
        return
    import fire

    fire.Fire(run_daemon)


def _stop_early(number: int, frame: object) -> None:
    """End a daemon that has opened nothing yet, with a log line; imports nothing.

    Any module may be half imported when the signal arrives, also those that log.
    """
    event, name = STOPPED_EARLY
    seconds, micros = divmod(time.time_ns() // 1000, 1_000_000)
    utc = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(seconds))
    line = (
        f'{{"level": "INFO", "host": "", "event": {event}, "message": "{name}", '
        f'"clock_s": {time.monotonic():.4f}, "signal": {number:d}, '
        f'"time": "{utc}.{micros:06d}+00:00"}}\n'
    )
    output = select.poll()
    output.register(STDOUT_FD, select.POLLOUT)
    try:
        # The platform's limit for a stop is kept even if the reader of the log stands still.
        if output.poll(0):
            os.write(STDOUT_FD, line.encode())
    except OSError:
        # The reader has closed the pipe, so nobody can read the line.
        pass
    os._exit(os.EX_OK)


if __name__ == "__main__":
    main()
