"""The table of docs/CAPACITY.md names the slopes that the scale run prints."""

from __future__ import annotations

from pathlib import Path

from wheatring.lab.scale.linear_fit import fit
from wheatring.lab.scale.measurement import SLOPES

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"


def test_page_and_command_name_the_same_slopes() -> None:
    lines = PAGE.read_text(encoding="utf-8").splitlines()
    table = [line for line in lines if line.startswith("| ") and "±" in line]
    assert [line.split("|")[1].strip() for line in table] == ["what", *SLOPES]


def test_a_line_is_found_with_its_error() -> None:
    exact = fit([1, 2, 3, 4], [5, 7, 9, 11])
    assert abs(exact.slope - 2) < 1e-9 and abs(exact.base - 3) < 1e-9 and exact.error < 1e-9
    rough = fit([1, 2, 3, 4], [5, 7.4, 8.6, 11])
    assert 1.8 < rough.slope < 2.2 and 0.05 < rough.error < 0.5
