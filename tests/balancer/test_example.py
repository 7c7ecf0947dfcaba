"""The example in the documentation of the balancer runs unchanged."""

from __future__ import annotations

from pathlib import Path

import pytest

PAGE = Path(__file__).parents[2] / "docs" / "design" / "decisions.md"


def test_the_example_in_the_documentation_runs(capsys: pytest.CaptureFixture[str]) -> None:
    code = PAGE.read_text(encoding="utf-8").split("```python\n")[1].split("```")[0]
    exec(compile(code, str(PAGE), "exec"), {})
    printed = capsys.readouterr().out.splitlines()
    assert len(printed) == 3
    assert printed[0].startswith("send 1 to endpoint-")
    assert printed[1].startswith("wait ")
    assert printed[2].startswith("send 1 to endpoint-")
