"""The table of docs/CAPACITY.md names the slopes that the scale measurement prints."""

from __future__ import annotations

from pathlib import Path

from wheatring.lab.scale.measurement import SLOPES

PAGE = Path(__file__).parents[3] / "docs" / "CAPACITY.md"


def test_page_and_command_name_the_same_slopes() -> None:
    lines = PAGE.read_text(encoding="utf-8").splitlines()
    table = [line for line in lines if line.startswith("| ") and "±" in line]
    assert [line.split("|")[1].strip() for line in table] == ["what", *SLOPES]
