"""Which weights a route has at which instant: a pure function of the plan, so the same at every sidecar.

Layers: the route's own weights lie below; each open window lies above those of lower priority. While a window
ramps, its share of the whole is k of n steps and the rest is what lies below *at that instant*, so a change
below shows through by what is left of it. Ramps are within the window: step 1 of n at its opening, the last
`n - 1` steps of `every` before its close lead back, and at its close it is gone.

Steps are kept by days of Unix time, each worked out when it is first asked for and found by bisection.
Instants are whole microseconds inside, so that no rounding puts two sidecars on two sides of a step.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator, Mapping, Sequence
from math import gcd, inf
from typing import NamedTuple

from wheatring.plan.document import Plan
from wheatring.schedule.windows import Window

MICROSECONDS = 1_000_000
DAY_MICROSECONDS = 86_400 * MICROSECONDS
MAX_DAYS = 16  # days whose steps are kept
LOOKAHEAD_SECONDS = 2 * 86_400.0  # seconds that `next_edge` looks ahead
WEIGHT_PARTS = (
    1_000_000  # parts of the whole to which weights of a step are rounded, where they are not exact
)

Weights = dict[str, int]


class OpenWindow(NamedTuple):
    """A window that is open, by its opening."""

    window: str
    opens: float  # Unix seconds
    closes: float
    hold: bool  # `when_cut`


class WeightStep(NamedTuple):
    """From `at` (Unix seconds) on a route has these weights, by these windows, the lowest first."""

    at: float
    route: str
    weights: Weights
    open: tuple[OpenWindow, ...]


def blend(below: Mapping[str, int], above: Mapping[str, int], part: int, of: int) -> Weights:
    """`part` of `of` of all goes by `above`, the rest by `below`, whatever numbers either is written in.
    Exact in the smallest whole numbers, or to the millionth where these were larger; the largest remainders
    are rounded up, the first by name of equal ones.
    """
    one, other = sum(below.values()), sum(above.values())
    names = [*below, *(name for name in above if name not in below)]
    mixed = [below.get(n, 0) * other * (of - part) + above.get(n, 0) * one * part for n in names]
    whole = gcd(*mixed) or 1
    mixed = [value // whole for value in mixed]
    total = sum(mixed)
    if total > WEIGHT_PARTS:
        exact = mixed
        mixed = [value * WEIGHT_PARTS // total for value in exact]
        order = sorted(range(len(names)), key=lambda i: (-(exact[i] * WEIGHT_PARTS % total), names[i]))
        for i in order[: WEIGHT_PARTS - sum(mixed)]:
            mixed[i] += 1
    return dict(zip(names, mixed, strict=True))


class Timetable:
    """Of a plan that `check` let through."""

    def __init__(self, plan: Plan) -> None:
        self.base: dict[str, Weights] = {route.name: dict(route.weights) for route in plan.routes}
        self.windows: dict[str, Window] = {window.name: Window(window) for window in plan.windows}
        self.routes: dict[str, list[Window]] = {}  # those that have windows
        for window in self.windows.values():
            self.routes.setdefault(window.plan.route, []).append(window)
        self.days: dict[int, dict[str, tuple[list[int], list[WeightStep]]]] = {}

    # What it is asked

    def weights(self, route: str, at: float, without: frozenset[tuple[str, float]] = frozenset()) -> Weights:
        """Weights by pool at an instant, Unix seconds. `without`: openings, by window and instant, as if they
        were not there. KeyError: there is no such route.
        """
        if route not in self.routes:
            return self.base[route]
        step = self.step(route, at)
        if without and not without.isdisjoint((one.window, one.opens) for one in step.open):
            left = [one for one in step.open if (one.window, one.opens) not in without]
            return self._layers(route, _micro(step.at), left)
        return step.weights

    def step(self, route: str, at: float) -> WeightStep:
        """The step that an instant is in. A day begins one anew, so `at` of it may be a day's begin. Only of
        a route that has windows.
        """
        instant = _micro(at)
        starts, steps = self._day(instant // DAY_MICROSECONDS)[route]
        return steps[bisect_right(starts, instant) - 1]

    def changes(self, after: float, before: float) -> Iterator[WeightStep]:
        """All changes of weights after `after` and before `before`, Unix seconds, in order, and by the names
        of routes where they are at one instant.
        """
        first, last = _micro(after), _micro(before)
        was = {route: self.step(route, after).weights for route in self.routes}
        for day in range(first // DAY_MICROSECONDS, (last - 1) // DAY_MICROSECONDS + 1):
            found = [
                (start, step)
                for starts, steps in self._day(day).values()
                for start, step in zip(starts, steps, strict=True)
                if first < start < last
            ]
            for _, step in sorted(found, key=lambda one: (one[0], one[1].route)):
                if step.weights != was[step.route]:
                    was[step.route] = step.weights
                    yield step

    def next_change(self, at: float) -> float:
        """The next instant after `at` at which weights of any route change; infinite: none within `AHEAD`."""
        return next((step.at for step in self.changes(at, at + LOOKAHEAD_SECONDS)), inf)

    def next_mark(self, at: float) -> float:
        """The next instant after `at` at which anything may change, also what lies below an open window: when
        whoever leaves a window out has to look again. A day's begin at the latest.
        """
        instant = _micro(at)
        day = instant // DAY_MICROSECONDS
        marks = [(day + 1) * DAY_MICROSECONDS]
        for starts, _ in self._day(day).values():
            marks += starts[bisect_right(starts, instant) :][:1]
        return min(marks) / MICROSECONDS

    def marks(self, window: str, after: float, before: float) -> list[float]:
        """When that window opens, closes or steps within, upwards, Unix seconds."""
        one = self.windows[window]
        first, last = _micro(after), _micro(before)
        marks: set[int] = set()
        for opening in one.openings((first - one.length) // MICROSECONDS, -(-last // MICROSECONDS)):
            hold = one.plan.when_cut == "hold"
            marks.update(
                self._marks(
                    OpenWindow(window, opening.opens / MICROSECONDS, opening.closes / MICROSECONDS, hold)
                )
            )
        return [mark / MICROSECONDS for mark in sorted(marks) if first <= mark < last]

    # How it is worked out

    def _day(self, day: int) -> dict[str, tuple[list[int], list[WeightStep]]]:
        found = self.days.get(day)
        if found is None:
            while len(self.days) >= MAX_DAYS:
                del self.days[next(iter(self.days))]
            found = self.days[day] = {
                route: self._steps(route, day * DAY_MICROSECONDS) for route in self.routes
            }
        return found

    def _openings(self, route: str, after: int, before: int) -> list[OpenWindow]:
        """Those that have an instant from `after` to just before `before`, the lowest priority first."""
        found = [
            (window.plan.priority, opening.opens, window.plan.name, opening.closes)
            for window in self.routes[route]
            for opening in window.cached_openings(
                (after - window.length) // MICROSECONDS, -(-before // MICROSECONDS)
            )
            if opening.opens < before and opening.closes > after
        ]
        return [
            OpenWindow(
                name, opens / MICROSECONDS, closes / MICROSECONDS, self.windows[name].plan.when_cut == "hold"
            )
            for _, opens, name, closes in sorted(found)
        ]

    def _steps(self, route: str, begin: int) -> tuple[list[int], list[WeightStep]]:
        end = begin + DAY_MICROSECONDS
        openings = self._openings(route, begin, end)
        marks = {begin}
        for one in openings:
            marks.update(mark for mark in self._marks(one) if begin < mark < end)
        starts = sorted(marks)
        steps: list[WeightStep] = []
        for start in starts:
            here = tuple(one for one in openings if _micro(one.opens) <= start < _micro(one.closes))
            steps.append(WeightStep(start / MICROSECONDS, route, self._layers(route, start, here), here))
        return starts, steps

    def _marks(self, one: OpenWindow) -> list[int]:
        """All instants at which an opening changes anything."""
        opens, closes = _micro(one.opens), _micro(one.closes)
        marks = [opens, closes]
        ramp = self.windows[one.window].plan.ramp
        if ramp is not None:
            every = _micro(ramp.every)
            marks += [opens + k * every for k in range(1, ramp.steps)]
            marks += [closes - k * every for k in range(1, ramp.steps)]
        return marks

    def _layers(self, route: str, instant: int, open_: Sequence[OpenWindow]) -> Weights:
        weights = self.base[route]
        for one in open_:
            plan = self.windows[one.window].plan
            level, of = 1, 1
            if plan.ramp is not None:
                every, of = _micro(plan.ramp.every), plan.ramp.steps
                in_ = (instant - _micro(one.opens)) // every + 1
                out = -(-(_micro(one.closes) - instant) // every)
                level = min(of, in_, out)
            weights = dict(plan.weights) if level == of else blend(weights, plan.weights, level, of)
        return weights


def _micro(unix: float) -> int:
    return round(unix * MICROSECONDS)
