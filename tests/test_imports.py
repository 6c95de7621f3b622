"""A daemon imports only the modules that it runs."""

import subprocess
import sys

import pytest

# Modules that the serving path of a daemon does not use, each with the reason why it is costly.
UNUSED = [
    ("asyncio", "loaded by fire, which only parses arguments"),
    ("fire", "parses arguments"),
    ("prometheus_client", "formats metrics when they are asked for"),
    ("matplotlib", "draws plots"),
    ("difflib", "compares sections of the document"),
    ("dotterelstand.process.idempotency.journalservice", "journal of the native protocol"),
    ("dotterelstand.process.distribution.distributor", "sections of the native protocol"),
    ("dotterelstand.version.section", "sections of the native protocol"),
]


@pytest.mark.parametrize(("module", "reason"), UNUSED)
def test_a_daemon_does_not_load_what_it_does_not_run(module: str, reason: str) -> None:
    """Guards against memory and start time of each daemon spent on modules that it never uses."""
    code = f"import sys, dotterelstand.process.run; print({module!r} in sys.modules)"
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout
    assert output == "False\n", f"{module} is loaded at the start: {reason}"
