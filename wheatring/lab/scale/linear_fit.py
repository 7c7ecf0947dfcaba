"""Least-squares lines through measured points, with the standard errors of their slopes."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import sqrt


@dataclass(frozen=True, slots=True)
class Slope:
    """The line `value = base + slope * size`, and the standard error of its slope."""

    base: float
    slope: float
    error: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Fit a line by least squares. With two points, the standard error is reported as 0."""
    points = list(zip(sizes, values, strict=True))
    count = len(points)
    mean_size, mean_value = sum(sizes) / count, sum(values) / count
    size_deviation = sum((size - mean_size) ** 2 for size in sizes)
    if not size_deviation:
        return Slope(mean_value, 0.0, 0.0)
    covariance = sum((size - mean_size) * (value - mean_value) for size, value in points)
    slope = covariance / size_deviation
    base = mean_value - slope * mean_size
    residual = sum((value - base - slope * size) ** 2 for size, value in points)
    error = sqrt(residual / (count - 2) / size_deviation) if count > 2 else 0.0
    return Slope(base, slope, error)
