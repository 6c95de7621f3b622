"""Entry point of dotterelstandd."""

import signal


def main() -> None:
    """Run dotterelstandd from the command line."""
    # The default action of SIGHUP would end a daemon that is still loading its modules. It reads
    # its settings after this, so that a change is not lost.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import fire

    from dotterelstand.process.run import run_daemon

    fire.Fire(run_daemon)


if __name__ == "__main__":
    main()
