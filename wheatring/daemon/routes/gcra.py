"""Rate limits with bursts by the generic cell rate algorithm (GCRA, ITU-T I.371).

The state of a key is one integer, exact to the nanosecond.
"""

from __future__ import annotations

from fractions import Fraction

from wheatring.daemon.routes.limit_settings import RateSettings

NANOSECONDS_PER_SECOND = 1_000_000_000
NEVER_USED = -(10**40)  # the theoretical arrival time of a key that has not been used


class Gcra:
    """A token bucket that holds `burst` requests, is full at first, and fills at the rate.

    The state of a key is its theoretical arrival time: the instant at which the bucket is full again. The
    caller of these methods stores it.

    Arithmetic is in integers. A tick is an instant in nanoseconds multiplied by the rate's numerator, so
    the cost of one request is an integer. Rounding errors don't accumulate, and a request at the very
    instant at which it conforms is not rejected. Ticks must not decrease, which the callers ensure.
    """

    __slots__ = ("burst_tolerance", "emission_interval", "numerator", "rate")

    def __init__(self, rate: RateSettings) -> None:
        exact_rate = Fraction(repr(rate.per_s))  # of the decimal notation: 0.1 is exactly a tenth
        self.rate = rate
        self.numerator = exact_rate.numerator
        self.emission_interval = exact_rate.denominator * NANOSECONDS_PER_SECOND
        self.burst_tolerance = (rate.burst - 1) * self.emission_interval

    def tick(self, now: float) -> int:
        """Convert an instant in seconds to ticks."""
        return int(now * NANOSECONDS_PER_SECOND) * self.numerator

    def conforms(self, theoretical_arrival: int, tick: int) -> bool:
        """Return whether a request at this tick conforms to the rate and burst."""
        return theoretical_arrival - tick <= self.burst_tolerance

    def charge(self, theoretical_arrival: int, tick: int) -> int:
        """Return the key's theoretical arrival time after a conforming request."""
        return (theoretical_arrival if theoretical_arrival > tick else tick) + self.emission_interval

    def wait_seconds(self, theoretical_arrival: int, tick: int) -> float:
        """Return the seconds until a request conforms, if no other request is admitted before."""
        excess_ticks = max(0, theoretical_arrival - self.burst_tolerance - tick)
        return excess_ticks / (self.numerator * NANOSECONDS_PER_SECOND)

    def convert(self, theoretical_arrival: int, previous: Gcra) -> int:
        """Convert a key's state from a previous rate, keeping the instant at which its bucket is full."""
        return theoretical_arrival * self.numerator // previous.numerator
