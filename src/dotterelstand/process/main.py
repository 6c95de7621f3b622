"""Entry point of dotterelstandd."""

import random
import signal
import sys
from pathlib import Path

import fire
import trio
from absl import logging
from returns.pipeline import is_successful

from dotterelstand.connection.network import TcpNetwork
from dotterelstand.connection.tls import Certificates, load_certificates
from dotterelstand.exits import ExitCode
from dotterelstand.process.daemon import Daemon
from dotterelstand.settings import Settings, load_settings


def run_daemon(settings: str) -> None:
    """Run one entry daemon with a TOML settings file."""
    result = load_settings(Path(settings))
    if not is_successful(result):
        for error in result.failure():
            print(error, file=sys.stderr)
        sys.exit(ExitCode.SETTINGS_INVALID)
    certificates = load_certificates(result.unwrap())
    if not is_successful(certificates):
        for error in certificates.failure():
            print(error, file=sys.stderr)
        sys.exit(ExitCode.SETTINGS_INVALID)
    logging.set_verbosity(logging.INFO)
    logging.use_absl_handler()
    trio.run(_serve, result.unwrap(), certificates.unwrap())


async def _serve(settings: Settings, certificates: Certificates) -> None:
    daemon = Daemon(settings, TcpNetwork(), random.Random(), certificates)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, daemon)
        await daemon.run()
        nursery.cancel_scope.cancel()


async def _stop_on_signal(daemon: Daemon) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            daemon.stop()


def main() -> None:
    """Run dotterelstandd from the command line."""
    fire.Fire(run_daemon)


if __name__ == "__main__":
    main()
