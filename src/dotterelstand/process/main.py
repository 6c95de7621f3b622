"""Entry point of dotterelstandd."""

import signal


def main() -> None:
    """Run dotterelstandd from the command line."""
    # The default action of SIGHUP would kill a daemon that is still importing its modules. The
    # settings are read after the imports, so no change is lost if the signal is ignored until then.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import fire

    from dotterelstand.process.run import run_daemon

    fire.Fire(run_daemon)


if __name__ == "__main__":
    main()
