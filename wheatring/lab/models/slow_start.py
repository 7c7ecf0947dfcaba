"""Slow start of a new process: the ramp of its capacity, and the detection of overload. No timers, no I/O.

Instants and durations are seconds; work is in seconds on a standard core.
"""

from __future__ import annotations

from collections import deque
from math import sqrt

from wheatring.lab.plan import RulesPlan


class CapacityRamp:
    """A capacity that rises linearly from a share of the full capacity to all of it.

    Parameters
    ----------
    start
        The instant at which the process started.
    initial_share
        The share of the full capacity at the start.
    length
        Seconds until the full capacity is reached, greater than 0.
    """

    __slots__ = ("end", "initial_share", "slope", "start")

    def __init__(self, start: float, initial_share: float, length: float) -> None:
        self.start = start
        self.end = start + length
        self.initial_share = initial_share
        self.slope = (1.0 - initial_share) / length

    def share_at(self, now: float) -> float:
        """Return the share of the full capacity at an instant."""
        if now >= self.end:
            return 1.0
        return self.initial_share + self.slope * (now - self.start)

    def capacity_between(self, since: float, now: float) -> float:
        """Return the capacity between two instants, in seconds of full capacity.

        Both instants must be at or after the start.
        """
        if since >= self.end:
            return now - since
        warm = max(0.0, now - self.end)
        ramping = now - since - warm
        return ramping * (self.share_at(since) + 0.5 * self.slope * ramping) + warm

    def instant_after(self, since: float, amount: float) -> float:
        """Return the instant by which `amount` seconds of full capacity have been available since `since`."""
        if since >= self.end:
            return since + amount
        ramp_capacity = self.capacity_between(since, self.end)
        if amount >= ramp_capacity:
            return self.end + (amount - ramp_capacity)
        share = self.share_at(since)
        root = sqrt(share * share + 2.0 * self.slope * amount)
        # This form of the solution is numerically stable for a slope close to 0.
        return since + 2.0 * amount / (share + root) if amount > 0.0 else since


class OverloadDetector:
    """Decides whether the work offered to a process in slow start overloads it.

    It does if the work offered within the window, without its largest item, exceeds a multiple of the work
    that the process can do in a window at its present capacity. The largest item is left out because amounts
    of work vary widely and no sidecar knows them, so no single request may overload a process.

    Both the crash of machines and the rule for sidecars use it.
    """

    __slots__ = ("largest_offers", "multiple", "offers", "total_work", "window")

    def __init__(self, rules: RulesPlan) -> None:
        self.multiple = rules.fall_multiple
        self.window = rules.fall_for
        self.offers: deque[tuple[float, float]] = deque()  # (instant, work)
        self.largest_offers: deque[tuple[float, float]] = deque()  # descending: each is the maximum since it
        self.total_work = 0.0  # of the offers in the window

    def offer(self, now: float, work: float, capacity: float) -> bool:
        """Record offered work, and return whether it overloads the process.

        Parameters
        ----------
        now
            The present instant, at which the window ends. The start of the window is excluded.
        work
            The offered work.
        capacity
            The present capacity of the process, in work a second.
        """
        offers, largest = self.offers, self.largest_offers
        offers.append((now, work))
        self.total_work += work
        expired = now - self.window
        while offers[0][0] <= expired:
            self.total_work -= offers.popleft()[1]
        while largest and largest[-1][1] <= work:
            largest.pop()
        largest.append((now, work))
        while largest[0][0] <= expired:
            largest.popleft()
        return self.total_work - largest[0][1] > self.multiple * capacity * self.window
