"""A process that has just started: how its capacity rises, and what pushes it over. Pure arithmetic."""

from __future__ import annotations

from collections import deque
from math import sqrt

from wheatring.lab.plan import RulesPlan


class CapacityRamp:
    """A capacity that rises evenly from a part of the full one to all of it."""

    __slots__ = ("end", "first", "slope", "start")

    def __init__(self, start: float, first: float, length: float) -> None:
        """`start`: when the process began; `first`: the part it began with; `length`: seconds, over 0."""
        self.start = start
        self.end = start + length
        self.first = first
        self.slope = (1.0 - first) / length

    def share(self, now: float) -> float:
        """The part of the full capacity that there is at an instant."""
        if now >= self.end:
            return 1.0
        return self.first + self.slope * (now - self.start)

    def between(self, since: float, now: float) -> float:
        """Seconds of full capacity that there were between two instants, neither before the start."""
        if since >= self.end:
            return now - since
        warm = max(0.0, now - self.end)
        part = now - since - warm
        return part * (self.share(since) + 0.5 * self.slope * part) + warm

    def after(self, since: float, amount: float) -> float:
        """The instant by which so many seconds of full capacity have come together."""
        if since >= self.end:
            return since + amount
        cold = self.between(since, self.end)
        if amount >= cold:
            return self.end + (amount - cold)
        share = self.share(since)
        root = sqrt(share * share + 2.0 * self.slope * amount)
        # This form of the solution stays exact where the slope is next to nothing.
        return since + 2.0 * amount / (share + root) if amount > 0.0 else since


class OverloadDetector:
    """Work offered to a cold process, and whether it is too much. Machines fall by it, rules judge by it.

    It is too much when what was offered within the window, its largest piece left out, is more than the
    multiple of what the process could do in a window at its present capacity. The largest piece is the slack
    for chance: sizes vary widely and no sidecar knows them, so no single request may push a process over.
    """

    __slots__ = ("at", "largest", "multiple", "total", "window")

    def __init__(self, rules: RulesPlan) -> None:
        self.multiple = rules.fall_multiple
        self.window = rules.fall_for
        self.at: deque[tuple[float, float]] = deque()
        self.largest: deque[tuple[float, float]] = deque()  # falling: each the largest of all since it
        self.total = 0.0

    def offer(self, now: float, work: float, capacity: float) -> bool:
        """So much work arrives. `capacity` is what the process can do at present, in work a second; the
        window is open at its far end. True: it is too much.
        """
        at, largest = self.at, self.largest
        at.append((now, work))
        self.total += work
        past = now - self.window
        while at[0][0] <= past:
            self.total -= at.popleft()[1]
        while largest and largest[-1][1] <= work:
            largest.pop()
        largest.append((now, work))
        while largest[0][0] <= past:
            largest.popleft()
        return self.total - largest[0][1] > self.multiple * capacity * self.window
