"""The entries of `KNOWN-RED.txt`."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.support import known_red


def test_each_line_names_an_existing_test() -> None:
    for test in known_red.entries():
        file, _, name = test.partition("::")
        assert f"def {name}(" in (known_red.FILE.parent / file).read_text(encoding="utf-8")


def test_more_than_three_are_an_error(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text("".join(f"tests/a.py::test_{n} | cause | issue 1\n" for n in range(4)), encoding="utf-8")
    monkeypatch.setattr(known_red, "FILE", file)
    with pytest.raises(ValueError, match="lists 4 tests, 3 at most"):
        known_red.entries()


def test_a_line_without_a_cause_is_an_error(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    file = tmp_path / "KNOWN-RED.txt"
    file.write_text("tests/a.py::test_a\n", encoding="utf-8")
    monkeypatch.setattr(known_red, "FILE", file)
    with pytest.raises(ValueError):
        known_red.entries()
