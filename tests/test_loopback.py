"""Example deployments keep their size and topology when they are rewritten for loopback."""

from pathlib import Path

import pytest
from returns.pipeline import is_successful

from dotterelstand.settings import load_settings
from dotterelstand.standin.loopback import write_loopback_example
from dotterelstand.version.document import build_document

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize(
    ("name", "sizes", "slots", "regions"),
    [
        ("asante-boakye", {"lookup": 17, "orders": 12, "artwork": 12}, 2, 3),
        ("styrkeloft", {"programme": 21, "booking": 12, "video": 12}, 4, 3),
    ],
)
def test_examples_have_the_size_of_the_deployment(
    name: str, sizes: dict[str, int], slots: int, regions: int, tmp_path: Path
) -> None:
    """Guards against a demo whose deployment differs from the example."""
    assert is_successful(write_loopback_example(EXAMPLES / name, tmp_path, 21000, 2))
    for folder in (EXAMPLES / name / "document", tmp_path / "document"):
        bodies = {path.stem: path.read_text() for path in folder.glob("*.toml")}
        document = build_document(1, bodies).unwrap()
        found = {service.name: len(service.targets) for service in document.services.values()}
        assert found == sizes
        targets = [target for item in document.services.values() for target in item.targets]
        assert {target.slots for target in targets} == {slots}
        assert len({target.region for target in targets}) == regions
        assert len({target.availability_zone for target in targets}) == 2 * regions
        assert len({(target.address, target.port) for target in targets}) == len(targets)
    for path in tmp_path.glob("*.toml"):
        assert is_successful(load_settings(path)), path
    assert len(list(tmp_path.glob("entry-*.toml"))) == 2 * regions


def test_bad_base_port_is_named(tmp_path: Path) -> None:
    """Guards against base ports that are privileged, or that lead to ports above 65535."""
    assert "base_port" in write_loopback_example(EXAMPLES / "styrkeloft", tmp_path, 65000).failure()
