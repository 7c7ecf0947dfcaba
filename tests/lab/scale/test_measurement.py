"""The table of docs/CAPACITY.md has the names of the slopes that the scale measurement prints."""

from __future__ import annotations

from pathlib import Path

from wheatring.lab.scale.measurement import SLOPES

PAGE = Path(__file__).parents[3] / "docs" / "CAPACITY.md"


def test_the_page_and_the_measurement_have_the_same_slope_names() -> None:
    lines = PAGE.read_text(encoding="utf-8").splitlines()
    table = [line for line in lines if line.startswith("| ") and "±" in line]
    assert [line.split("|")[1].strip() for line in table] == ["what", *SLOPES]
