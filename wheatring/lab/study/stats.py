"""Medians, bootstrap intervals and statistical power. Deterministic: callers pass the random seed."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil, sqrt
from statistics import NormalDist, fmean, median, stdev

import numpy

__all__ = ["Interval", "bootstrap", "fmean", "median", "pairs_needed", "standard_deviation"]

RESAMPLES = 10_000
MAX_NUMBERS_PER_BATCH = 1_000_000  # bounds the memory of the resampling

_NORMAL = NormalDist()


@dataclass(frozen=True, slots=True)
class Interval:
    """A closed interval."""

    low: float
    high: float

    def contains(self, value: float) -> bool:
        """Return whether a value lies in the interval."""
        return self.low <= value <= self.high


def standard_deviation(values: Sequence[float]) -> float:
    """Return the sample standard deviation, 0 for fewer than two values."""
    return stdev(values) if len(values) > 1 else 0.0


def student_t_quantile(share: float, freedom: int) -> float:
    """Return a quantile of Student's t distribution, by its expansion about the normal quantile.

    The error is below 1 % from 3 degrees of freedom on.
    """
    z = _NORMAL.inv_cdf(share)
    z2 = z * z
    terms = (
        z * (z2 + 1) / 4,
        z * (5 * z2 * z2 + 16 * z2 + 3) / 96,
        z * (3 * z2**3 + 19 * z2 * z2 + 17 * z2 - 15) / 384,
        z * (79 * z2**4 + 776 * z2**3 + 1482 * z2 * z2 - 1920 * z2 - 945) / 92160,
    )
    return z + sum(term / float(freedom**power) for power, term in enumerate(terms, 1))


def bootstrap(values: Sequence[float], seed: int, level: float = 0.95) -> Interval:
    """Return the bootstrap confidence interval of the population mean.

    Percentiles of resampled means give too narrow an interval for few values, because their variance divides
    by n instead of n - 1. The percentiles are therefore moved outwards by the ratio of the quantile of
    Student's t to the normal one. The interval of a single value is unbounded.
    """
    count = len(values)
    if not count:
        raise ValueError("no values")
    if count == 1:
        return Interval(float("-inf"), float("inf"))
    quantile = student_t_quantile(0.5 + level / 2, count - 1) * sqrt(count / (count - 1))
    tail = _NORMAL.cdf(-quantile)
    generator = numpy.random.Generator(numpy.random.PCG64(seed))
    given = numpy.asarray(values, dtype=numpy.float64)
    batch = max(1, MAX_NUMBERS_PER_BATCH // count)
    means = numpy.concatenate(
        [
            given[generator.integers(0, count, (min(batch, RESAMPLES - done), count))].mean(axis=1)
            for done in range(0, RESAMPLES, batch)
        ]
    )
    low, high = numpy.quantile(means, (tail, 1 - tail))
    return Interval(float(low), float(high))


def pairs_needed(difference: float, deviation: float, power: float = 0.8, level: float = 0.95) -> int | None:
    """Return the number of pairs that detects a mean difference of that size with probability `power`.

    `deviation` is the standard deviation of the single differences. None if the difference is 0, which no
    number of pairs could detect.
    """
    if difference == 0:
        return None
    z = _NORMAL.inv_cdf(0.5 + level / 2)
    effect = (z + _NORMAL.inv_cdf(power)) * deviation / difference
    return max(2, ceil(effect * effect + z * z / 2))  # the second term: the deviation is estimated as well
