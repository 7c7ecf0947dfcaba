"""Open-loop arrivals of first tries, which do not depend on the outcome of earlier ones."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Callable
from itertools import accumulate, pairwise
from math import exp, inf, log, sqrt
from random import Random
from typing import NamedTuple

from wheatring.lab.correlation import OriginalRequest
from wheatring.lab.plan import ClassPlan, NodePlan, Plan
from wheatring.lab.timers import Timers

Sampler = Callable[[], float]  # draws one value
Shape = tuple[tuple[float, float], ...]  # knots (instant, factor on the rate), with linear interpolation


class RateSegment(NamedTuple):
    """A part of the day in which the rate of arrivals (a second) is linear."""

    start: float  # seconds from the day's start
    end: float
    start_rate: float
    end_rate: float


def lognormal_sampler(random: Random, mean: float, cv: float) -> Sampler:
    """Return a sampler of the lognormal distribution with a mean and a coefficient of variation."""
    if not cv:
        return lambda: mean
    variance = log(1 + cv * cv)
    location, sigma, gauss = log(mean) - variance / 2, sqrt(variance), random.gauss
    return lambda: exp(gauss(location, sigma))


def pareto_sampler(random: Random, mean: float, cv: float) -> Sampler:
    """Return a sampler of the Pareto distribution with a mean and a coefficient of variation."""
    if not cv:
        return lambda: mean
    alpha = 1 + sqrt(1 + 1 / (cv * cv))
    minimum, power, uniform = mean * (alpha - 1) / alpha, -1 / alpha, random.random
    return lambda: minimum * (1 - uniform()) ** power


def work_sampler(random: Random, plan: ClassPlan) -> Sampler:
    """Return a sampler of the work of a class's requests, in seconds on a standard core."""
    if plan.dist == "fixed" or plan.work <= 0:
        return lambda: plan.work
    return (pareto_sampler if plan.dist == "pareto" else lognormal_sampler)(random, plan.work, plan.cv)


def call_work_samplers(plan: Plan, node: NodePlan) -> list[Sampler]:
    """Return, by class, samplers of the work of a node's calls to the next tier."""
    random = Random(f"{plan.seed}:calls:{node.name}")
    return [work_sampler(random, each) for each in plan.classes]


def rate_segments(plan: Plan) -> list[RateSegment]:
    """Return the rate of arrivals over the day, without bursts."""
    shape = plan.traffic.shape or ((0.0, 1.0),)
    loads = [
        (e.at, e.at + e.length if e.length > 0 else inf, e.size) for e in plan.events if e.kind == "load"
    ]
    edges = {0.0, plan.length, *(at for at, _ in shape), *(edge for load in loads for edge in load[:2])}
    segments = []
    for begin, end in pairwise(sorted(edge for edge in edges if 0 <= edge <= plan.length)):
        rate = plan.traffic.rate
        for since, until, factor in loads:
            if since <= begin < until:
                rate *= factor
        segments.append(
            RateSegment(begin, end, rate * _factor_at(shape, begin), rate * _factor_at(shape, end))
        )
    return segments


def _factor_at(shape: Shape, at: float) -> float:
    """Return the factor of a shape at an instant. If two knots have this instant, the later one applies."""
    n = bisect_right(shape, at, key=lambda knot: knot[0])
    if not n or n == len(shape):
        return shape[n - 1 if n else 0][1]
    (begin, low), (end, high) = shape[n - 1], shape[n]
    return low + (high - low) * (at - begin) / (end - begin)


class Traffic:
    """Generates the first tries of a day, numbered from 1.

    It draws one arrival ahead, from its own generators, which depend only on the plan's seed.

    Parameters
    ----------
    plan
        The plan.
    timers
        The clock.
    on_arrival
        Called with each first try at the instant of its arrival.
    """

    def __init__(self, plan: Plan, timers: Timers, on_arrival: Callable[[OriginalRequest], None]) -> None:
        self.timers = timers
        self.on_arrival = on_arrival
        self._arrival_random = Random(f"{plan.seed}:arrivals")
        self._content_random = Random(f"{plan.seed}:content")
        bursts = Random(f"{plan.seed}:bursts")
        self._draw_burst_factor = lognormal_sampler(bursts, 1.0, plan.traffic.burst_cv)
        self._burst_length = plan.traffic.burst if plan.traffic.burst_cv else inf
        self._segments = rate_segments(plan)
        self._cumulative_shares = list(accumulate(c.share for c in plan.classes))
        self._work_samplers = [work_sampler(self._content_random, c) for c in plan.classes]
        self._has_key = [c.effect != "safe" for c in plan.classes]
        self._segment_index = 0
        self._position = 0.0  # the instant up to which arrivals have been drawn, in seconds of the day
        self._burst_factor = self._draw_burst_factor()
        self._burst_count = 1  # number of burst factors drawn so far
        self._day_start = 0.0
        self._arrival_count = 0

    def start(self) -> None:
        """Start the day now."""
        self._day_start = self.timers.now()
        self._schedule_arrival()

    def _schedule_arrival(self) -> None:
        at = self._draw_arrival()
        if at is not None:
            self.timers.at(self._day_start + at, self._arrive)

    def _arrive(self) -> None:
        self._arrival_count += 1
        origin = self._draw_origin(self._arrival_count)
        self._schedule_arrival()
        self.on_arrival(origin)

    def _draw_origin(self, number: int) -> OriginalRequest:
        """Draw class, work and idempotency key of a first try."""
        random, shares = self._content_random, self._cumulative_shares
        index = 0
        if len(shares) > 1:
            index = min(bisect_right(shares, random.random() * shares[-1]), len(shares) - 1)
        work = self._work_samplers[index]()
        key = f"{random.getrandbits(128):032x}" if self._has_key[index] else ""
        return OriginalRequest(number, index, work, key)

    def _draw_arrival(self) -> float | None:
        """Draw the next arrival, in seconds of the day, or return None if there is none before its end.

        The arrival is the instant at which the integral of the rate reaches an exponential draw.
        """
        needed = self._arrival_random.expovariate(1.0)
        while self._segment_index < len(self._segments):
            segment = self._segments[self._segment_index]
            slope = (segment.end_rate - segment.start_rate) / (segment.end - segment.start)
            start, burst_end = self._position, self._burst_count * self._burst_length
            until = min(segment.end, burst_end)
            rate = (segment.start_rate + slope * (start - segment.start)) * self._burst_factor
            slope *= self._burst_factor
            length = until - start
            expected = (rate + slope * length / 2) * length  # expected arrivals within `length`
            if needed < expected:
                root = sqrt(max(0.0, rate * rate + 2 * slope * needed))
                self._position = min(until, start + 2 * needed / (rate + root))
                return self._position
            needed -= expected
            self._position = until
            if until >= burst_end:
                self._burst_factor = self._draw_burst_factor()
                self._burst_count += 1
            if until >= segment.end:
                self._segment_index += 1
        return None
