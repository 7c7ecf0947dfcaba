"""Service figures: accumulated per second while a day is played, and combined into `g` at its end.

A first try belongs to the second in which the client made it. It earns its worth if it is served within its
aim, the share `late_worth` of it if it is served later, and nothing otherwise.
"""

from __future__ import annotations

from math import ceil
from typing import Any, NamedTuple

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from wheatring.lab.event_recorder import FirstTryEnd
from wheatring.lab.outcome import ClassFigures, Outcome, SecondFigures
from wheatring.lab.plan import Plan

WINDOW_SECONDS = 10  # length of the windows of which the worst counts
MAX_LATENCY_MS = 60_000


def percentile(times: list[float], share: float) -> float:
    """Return the nearest-rank percentile of the sorted times, 0 if there are none; `share` is 0 to 1."""
    return times[max(0, ceil(share * len(times)) - 1)] if times else 0.0


def histogram() -> Any:  # the library has no types
    """Return an empty histogram of latencies in ms."""
    return HdrHistogram(1, MAX_LATENCY_MS, 3)


class OpenAttempt(NamedTuple):
    """A client's first try that is not settled yet."""

    class_index: int
    started_at: float
    second: int  # second of the day


class Figures:
    """The figures of a day that begins at `start`. Times passed in never decrease."""

    def __init__(self, plan: Plan, start: float) -> None:
        self.plan = plan
        self.start = start
        self.seconds: list[SecondFigures] = [SecondFigures()]
        self.current = self.seconds[0]
        self.current_number = 0  # index of the current second
        self.current_end = start + 1.0
        self.classes = [ClassFigures(each.name) for each in plan.classes]
        self.earned_by_class = [0.0 for _ in plan.classes]
        self.earned_late = 0.0
        self.late_unserved_value = 0.0  # worth of tries that ended unserved after their aim
        self.open_attempts: dict[int, OpenAttempt] = {}
        self.latencies_ms: dict[int, list[float]] = {}  # by second
        self.horizon = int(max([each.deadline for each in plan.classes], default=0.0)) + 2
        self.latency_counts: list[dict[int, int]] = [{} for _ in plan.classes]  # by class, then by whole ms

    # While the day is played

    def second(self, at: float) -> SecondFigures:
        """Return the figures of the second that contains `at`, the new current second."""
        if at >= self.current_end:
            number = self.current_number = max(self.current_number + 1, int(at - self.start))
            while len(self.seconds) <= number:
                self.seconds.append(SecondFigures())
            self.current = self.seconds[number]
            self.current_end = self.start + number + 1
            for each in [each for each in self.latencies_ms if each < number - self.horizon]:
                self._compute_percentiles(each)
        return self.current

    def asked(self, first: int, index: int, at: float) -> None:
        """Record the first try `first` of the class at an index."""
        second = self.second(at)
        figures = self.classes[index]
        self.open_attempts[first] = OpenAttempt(index, at, self.current_number)
        second.asked += 1
        second.worth += self.plan.classes[index].worth
        figures.asked += 1

    def settled(self, first: int, end: FirstTryEnd, at: float) -> None:
        """Record the end of a first try."""
        index, since, number = self.open_attempts.pop(first)
        second, figures, plan = self.seconds[number], self.classes[index], self.plan.classes[index]
        latency = at - since
        if end == "served":
            earned = plan.worth
            if latency <= plan.aim:
                second.in_time += 1
                figures.in_time += 1
            else:
                second.late += 1
                figures.late += 1
                earned *= plan.late_worth
                self.earned_late += earned
            second.earned += earned
            self.earned_by_class[index] += earned
            times = self.latencies_ms.get(number)
            if times is None:
                times = self.latencies_ms[number] = []
            times.append(latency * 1000)
            rounded_ms = round(latency * 1000)
            counts = self.latency_counts[index]
            counts[rounded_ms] = counts.get(rounded_ms, 0) + 1
            return
        if end == "refused":
            second.refused += 1
            figures.refused += 1
        else:
            second.failed += 1
            figures.failed += 1
        if latency > plan.aim:
            self.late_unserved_value += plan.worth

    def _compute_percentiles(self, number: int) -> None:
        """Compute the latency percentiles of a second that can get no more answers."""
        times = sorted(self.latencies_ms.pop(number))
        second = self.seconds[number]
        second.p50_ms = round(percentile(times, 0.5), 3)
        second.p99_ms = round(percentile(times, 0.99), 3)

    # At its end

    def finish(self, at: float) -> None:
        """End the day; first tries that are still open count as timed out."""
        self.second(at)
        for first in list(self.open_attempts):
            self.settled(first, "timeout", at)
        for number in list(self.latencies_ms):
            self._compute_percentiles(number)

    def worst_window(self) -> float:
        """Return the lowest service over ten consecutive seconds with first tries."""
        length = int(self.plan.length + 1e-9)
        seconds = self.seconds[: max(length, 1)]
        worst = 1.0
        for since in range(max(1, len(seconds) - WINDOW_SECONDS + 1)):
            window = seconds[since : since + WINDOW_SECONDS]
            worth = sum([second.worth for second in window])
            if worth > 0:
                worst = min(worst, sum([second.earned for second in window]) / worth)
        return worst

    def asked_work(self) -> float:
        """Return the work requested, by the mean work of the classes and the shares of the tiers."""
        share = calls = 0.0
        for number, tier in enumerate(self.plan.tiers):
            calls = calls * tier.calls if number else 1.0
            share += calls * tier.work
        return share * sum(
            [figures.asked * each.work for figures, each in zip(self.classes, self.plan.classes, strict=True)]
        )

    def outcome(self, grain: str, at: float, wall_s: float, waste: float, choke_price: float) -> Outcome:
        """Return the figures of a finished day.

        `waste` is the ratio of useless to requested work, `choke_price` the deduction from `g` for choked
        nodes.
        """
        plan, goal = self.plan, self.plan.goal
        worth = sum([second.worth for second in self.seconds])
        whole = sum([second.earned for second in self.seconds]) / worth if worth > 0 else 1.0
        worst_class, overall = 1.0, histogram()
        for index, figures in enumerate(self.classes):
            times = histogram()
            for ms, count in self.latency_counts[index].items():
                times.record_value(min(MAX_LATENCY_MS, max(1, ms)), count)
            overall.add(times)
            figures.p50_ms = float(times.get_value_at_percentile(50))
            figures.p99_ms = float(times.get_value_at_percentile(99))
            asked = figures.asked * plan.classes[index].worth
            if asked > 0:
                figures.earned = self.earned_by_class[index] / asked
                worst_class = min(worst_class, figures.earned)
        worst_window = self.worst_window()
        g = goal.whole * whole + goal.worst_window * worst_window + goal.worst_class * worst_class
        g -= waste * goal.waste + choke_price
        if worth > 0:
            g -= goal.late_fail * self.late_unserved_value / worth
        encoded = overall.encode()
        return Outcome(
            scenario=plan.scenario,
            seed=plan.seed,
            grain=grain,
            requests=sum([figures.asked for figures in self.classes]),
            service=whole,
            g=g,
            whole=whole,
            worst_window=worst_window,
            worst_class=worst_class,
            waste=waste,
            simulated_s=at - self.start,
            wall_s=wall_s,
            classes=self.classes,
            seconds=self.seconds,
            latency=encoded.decode("ascii"),
        )
