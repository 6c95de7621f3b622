"""The examples in docs/embedding.md run unchanged."""

import re
from pathlib import Path

import pytest

PAGE = Path(__file__).parent.parent / "docs" / "embedding.md"
EXAMPLES = re.findall(r"^## (.+?)\n.*?```python\n(.*?)```", PAGE.read_text("utf-8"), re.S | re.M)


@pytest.mark.parametrize(("title", "code"), EXAMPLES, ids=[title for title, _ in EXAMPLES])
def test_example_runs(title: str, code: str) -> None:
    """Guards against examples that do not match the current classes."""
    exec(compile(code, title, "exec"), {"__name__": "example"})


def test_every_part_has_an_example() -> None:
    """Guards against examples that the pattern of `EXAMPLES` does not find."""
    assert len(EXAMPLES) == 4
