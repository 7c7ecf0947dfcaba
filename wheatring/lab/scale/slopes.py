"""Straight lines through measured points, with the errors of their slopes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt


@dataclass(frozen=True, slots=True)
class Slope:
    """`value = base + slope * size`, and the standard error of the slope."""

    base: float
    slope: float
    error: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Least squares. With two points there is no error to be told; it is 0 then."""
    count = len(sizes)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    spread = sum((size - mean_size) ** 2 for size in sizes)
    if not spread:
        return Slope(mean_value, 0.0, 0.0)
    shared = sum((size - mean_size) * (value - mean_value) for size, value in zip(sizes, values, strict=True))
    slope = shared / spread
    base = mean_value - slope * mean_size
    rest = sum((value - base - slope * size) ** 2 for size, value in zip(sizes, values, strict=True))
    error = sqrt(rest / (count - 2) / spread) if count > 2 else 0.0
    return Slope(base, slope, error)
