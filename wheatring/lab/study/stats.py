"""Medians, bootstrap intervals and power. Pure: random numbers come from the seed that is handed in."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil, sqrt
from statistics import NormalDist, fmean, median, stdev

import numpy

__all__ = ["Interval", "bootstrap", "fmean", "median", "pairs_needed", "spread"]

RESAMPLES = 10_000
MAX_NUMBERS_AT_ONCE = 1_000_000  # that are drawn, for the memory they take

_NORMAL = NormalDist()


@dataclass(frozen=True, slots=True)
class Interval:
    """An interval of numbers, its ends included."""

    low: float
    high: float

    def contains(self, value: float) -> bool:
        """Return whether a value lies in it."""
        return self.low <= value <= self.high


def spread(values: Sequence[float]) -> float:
    """Return the standard deviation of what the values were drawn from; 0 for fewer than two."""
    return stdev(values) if len(values) > 1 else 0.0


def student(share: float, freedom: int) -> float:
    """Return a quantile of Student's t, by its expansion about the normal one.

    It is good to 1 % from 3 degrees of freedom on.
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
    """Return the interval of the mean of what the values were drawn from, by resampling.

    Percentiles of resampled means are too narrow for few values (their spread is that of the n values, not of
    n - 1 degrees of freedom); they are taken further out by as much as Student's t is wider than the normal.
    The interval of one value reaches over all numbers.
    """
    count = len(values)
    if not count:
        raise ValueError("no values")
    if count == 1:
        return Interval(float("-inf"), float("inf"))
    wide = student(0.5 + level / 2, count - 1) * sqrt(count / (count - 1))
    tail = _NORMAL.cdf(-wide)
    drawn = numpy.random.Generator(numpy.random.PCG64(seed))
    given = numpy.asarray(values, dtype=numpy.float64)
    at_once = max(1, MAX_NUMBERS_AT_ONCE // count)
    means = numpy.concatenate(
        [
            given[drawn.integers(0, count, (min(at_once, RESAMPLES - done), count))].mean(axis=1)
            for done in range(0, RESAMPLES, at_once)
        ]
    )
    low, high = numpy.quantile(means, (tail, 1 - tail))
    return Interval(float(low), float(high))


def pairs_needed(difference: float, deviation: float, power: float = 0.8, level: float = 0.95) -> int | None:
    """Return the pairs with which a mean difference of that size is told from none with this probability.

    `deviation` is that of single differences. None where no number would do: there is no difference.
    """
    if difference == 0:
        return None
    z = _NORMAL.inv_cdf(0.5 + level / 2)
    effect = (z + _NORMAL.inv_cdf(power)) * deviation / difference
    return max(2, ceil(effect * effect + z * z / 2))  # the second term: the deviation has to be told as well
