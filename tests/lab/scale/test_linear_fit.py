"""Least-squares fits, with the standard errors of their slopes."""

from __future__ import annotations

from wheatring.lab.scale.linear_fit import fit


def test_a_fit_returns_the_line_and_its_standard_error() -> None:
    exact = fit([1, 2, 3, 4], [5, 7, 9, 11])
    assert abs(exact.slope - 2) < 1e-9 and abs(exact.base - 3) < 1e-9 and exact.error < 1e-9
    rough = fit([1, 2, 3, 4], [5, 7.4, 8.6, 11])
    assert 1.8 < rough.slope < 2.2 and 0.05 < rough.error < 0.5
