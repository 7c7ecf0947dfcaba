"""Open arrivals of first tries: they come as the plan says, whatever becomes of those before them."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from itertools import accumulate, pairwise
from math import exp, inf, log, sqrt
from random import Random

from wheatring.lab.correlation import OriginalRequest
from wheatring.lab.plan import ClassPlan, Plan
from wheatring.lab.timers import Timers

Draw = Callable[[], float]
Piece = tuple[float, float, float, float]  # from, to, and the rate at both; linear between


def lognormal(random: Random, mean: float, cv: float) -> Draw:
    if not cv:
        return lambda: mean
    variance = log(1 + cv * cv)
    middle, sigma, gauss = log(mean) - variance / 2, sqrt(variance), random.gauss
    return lambda: exp(gauss(middle, sigma))


def pareto(random: Random, mean: float, cv: float) -> Draw:
    if not cv:
        return lambda: mean
    alpha = 1 + sqrt(1 + 1 / (cv * cv))
    least, power, uniform = mean * (alpha - 1) / alpha, -1 / alpha, random.random
    return lambda: least * (1 - uniform()) ** power


def sizes(random: Random, plan: ClassPlan) -> Draw:
    """Draws of a class's size of work."""
    if plan.dist == "fixed" or plan.work <= 0:
        return lambda: plan.work
    return (pareto if plan.dist == "pareto" else lognormal)(random, plan.work, plan.cv)


def pieces(plan: Plan) -> list[Piece]:
    """The rate of arrivals over the day but for its bursts."""
    shape = plan.traffic.shape or ((0.0, 1.0),)
    loads = [
        (e.at, e.at + e.length if e.length > 0 else inf, e.size) for e in plan.events if e.kind == "load"
    ]
    edges = {0.0, plan.length, *(at for at, _ in shape), *(edge for load in loads for edge in load[:2])}
    drawn = []
    for begin, end in pairwise(sorted(edge for edge in edges if 0 <= edge <= plan.length)):
        rate = plan.traffic.rate
        for since, until, size in loads:
            if since <= begin < until:
                rate *= size
        drawn.append((begin, end, rate * _factor(shape, begin), rate * _factor(shape, end)))
    return drawn


def _factor(shape: tuple[tuple[float, float], ...], at: float) -> float:
    """The shape at an instant. Where two knots share it, the later one counts from there on."""
    n = bisect_right(shape, at, key=lambda knot: knot[0])
    if not n or n == len(shape):
        return shape[n - 1 if n else 0][1]
    (begin, low), (end, high) = shape[n - 1], shape[n]
    return low + (high - low) * (at - begin) / (end - begin)


class Traffic:
    """Calls `arrive` with the origin of each first try, at its instant; first tries count from 1.

    It looks one arrival ahead and draws from streams of its own, named after the plan's seed alone.
    """

    def __init__(self, plan: Plan, timers: Timers, arrive: Callable[[OriginalRequest], None]) -> None:
        self.timers = timers
        self.arrive = arrive
        self.random = Random(f"{plan.seed}:arrivals")
        content = Random(f"{plan.seed}:content")
        self.content = content
        bursts = Random(f"{plan.seed}:bursts")
        self.factors = lognormal(bursts, 1.0, plan.traffic.burst_cv)
        self.span = plan.traffic.burst if plan.traffic.burst_cv else inf
        self.pieces = pieces(plan)
        self.shares = list(accumulate(c.share for c in plan.classes))
        self.sizes = [sizes(content, c) for c in plan.classes]
        self.keyed = [c.effect != "safe" for c in plan.classes]
        self.piece = 0
        self.at = 0.0  # of the last arrival found, from the day's start
        self.factor = self.factors()
        self.slots = 1  # bursts drawn
        self.began = 0.0
        self.last = 0

    def start(self) -> None:
        """The day starts now."""
        self.began = self.timers.now()
        self.wait()

    def wait(self) -> None:
        at = self.next()
        if at is not None:
            self.timers.at(self.began + at, self.come)

    def come(self) -> None:
        self.last += 1
        content = self.content
        index = 0
        if len(self.shares) > 1:
            index = min(bisect_right(self.shares, content.random() * self.shares[-1]), len(self.shares) - 1)
        size = self.sizes[index]()
        key = f"{content.getrandbits(128):032x}" if self.keyed[index] else ""
        self.wait()
        self.arrive(OriginalRequest(self.last, index, size, key))

    def next(self) -> float | None:
        """The next arrival, in seconds from the day's start: where the rate has summed up to a draw."""
        need = self.random.expovariate(1.0)
        while self.piece < len(self.pieces):
            begin, end, low, high = self.pieces[self.piece]
            slope = (high - low) / (end - begin)
            at, burst_end = self.at, self.slots * self.span
            until = min(end, burst_end)
            rate = (low + slope * (at - begin)) * self.factor
            steep = slope * self.factor
            span = until - at
            held = (rate + steep * span / 2) * span
            if need < held:
                self.at = min(until, at + 2 * need / (rate + sqrt(max(0.0, rate * rate + 2 * steep * need))))
                return self.at
            need -= held
            self.at = until
            if until >= burst_end:
                self.factor = self.factors()
                self.slots += 1
            if until >= end:
                self.piece += 1
        return None
