"""Rates with bursts by GCRA: one number for each key, exact to the nanosecond."""

from __future__ import annotations

from fractions import Fraction

from wheatring.routes.values import Rate

NANO = 1_000_000_000
LONG_AGO = -(10**40)  # the number of a key that has not been used


class Gcra:
    """A bucket of `burst` jobs that is full at first and fills at the rate, kept as the instant at which it
    will be full again.

    Whole numbers only: a mark is an instant in nanoseconds, times the rate's numerator, so that one job costs
    a whole number as well. Rounding neither adds up nor turns a job away at the very instant that is its own.
    A mark must not be lower than one used before; callers hold `now` to that.
    """

    __slots__ = ("cost", "numerator", "rate", "slack")

    def __init__(self, rate: Rate) -> None:
        exact = Fraction(repr(rate.per_s))  # as it was written: 0.1 is a tenth
        self.rate = rate
        self.numerator = exact.numerator
        self.cost = exact.denominator * NANO
        self.slack = (rate.burst - 1) * self.cost

    def mark(self, now: float) -> int:
        return int(now * NANO) * self.numerator

    def fits(self, full: int, mark: int) -> bool:
        return full - mark <= self.slack

    def taken(self, full: int, mark: int) -> int:
        """The key's new number, once a job that fits is taken."""
        return (full if full > mark else mark) + self.cost

    def wait(self, full: int, mark: int) -> float:
        """Seconds until a job fits, if no other comes."""
        return max(0, full - self.slack - mark) / (self.numerator * NANO)

    def moved(self, full: int, before: Gcra) -> int:
        """The number of a key whose rate was another: it will be full at the same instant."""
        return full * self.numerator // before.numerator
