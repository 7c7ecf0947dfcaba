"""Which weights a route has at which instant: a pure function of the plan, so the same at every sidecar.

Layers: the route's own weights lie below; each open window lies above those of lower priority. While a window
ramps, its share of the whole is k of n steps and the rest is what lies below *at that instant*, so that a
change below shows through in proportion. Ramps are within the window: step 1 of n is at its opening, the last
`n - 1` steps of `every` before its close lead back, and at its close it is gone.

Steps are cached by days of Unix time, each computed when it is first asked for, and found by bisection.
Instants are whole microseconds inside, so that no rounding puts two sidecars on two sides of a step.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator, Mapping, Sequence
from math import gcd, inf
from typing import NamedTuple

from wheatring.fleet.plan.document import Plan
from wheatring.fleet.schedule.windows import MICROSECONDS, Window

DAY_MICROSECONDS = 86_400 * MICROSECONDS
MAX_DAYS = 16  # whose steps are cached
LOOKAHEAD_SECONDS = 2 * 86_400.0  # of `next_change`
WEIGHT_PARTS = 1_000_000  # of the whole, to which blended weights are rounded where they are not exact

Weights = dict[str, int]
OpeningKey = tuple[str, float]  # an opening: the window's name, and when it opens, Unix seconds


class OpenWindow(NamedTuple):
    """A window that is open, by its opening, in Unix seconds. `hold` is its `when_cut`."""

    window: str
    opens: float
    closes: float
    hold: bool


class WeightStep(NamedTuple):
    """From `at` (Unix seconds) on a route has these weights, by the windows in `open`, the lowest first."""

    at: float
    route: str
    weights: Weights
    open: tuple[OpenWindow, ...]


class _DaySteps(NamedTuple):
    """The steps of a route in one day, and where they start, Unix microseconds."""

    starts: list[int]
    steps: list[WeightStep]


def blend(base: Mapping[str, int], overlay: Mapping[str, int], part: int, of: int) -> Weights:
    """Return weights by which `part` of `of` of the whole goes by `overlay` and the rest by `base`.

    The sums of the two need not be equal. Exact in the smallest whole numbers, or rounded to `WEIGHT_PARTS`
    where these are larger: the largest remainders are rounded up, of equal ones the first by name.
    """
    base_sum, overlay_sum = sum(base.values()), sum(overlay.values())
    names = [*base, *(name for name in overlay if name not in base)]
    base_share, overlay_share = overlay_sum * (of - part), base_sum * part
    mixed = [base.get(name, 0) * base_share + overlay.get(name, 0) * overlay_share for name in names]
    divisor = gcd(*mixed) or 1
    mixed = [value // divisor for value in mixed]
    total = sum(mixed)
    if total > WEIGHT_PARTS:
        exact = mixed
        mixed = [value * WEIGHT_PARTS // total for value in exact]
        order = sorted(range(len(names)), key=lambda i: (-(exact[i] * WEIGHT_PARTS % total), names[i]))
        for i in order[: WEIGHT_PARTS - sum(mixed)]:
            mixed[i] += 1
    return dict(zip(names, mixed, strict=True))


class Timetable:
    """The weights of a plan that `validation.validate_windows` has accepted."""

    def __init__(self, plan: Plan) -> None:
        self.base: dict[str, Weights] = {route.name: dict(route.weights) for route in plan.routes}
        self.windows: dict[str, Window] = {window.name: Window(window) for window in plan.windows}
        self.routes: dict[str, list[Window]] = {}  # those that have windows
        for window in self.windows.values():
            self.routes.setdefault(window.plan.route, []).append(window)
        self.days: dict[int, dict[str, _DaySteps]] = {}

    # Queries, in Unix seconds

    def weights(self, route: str, at: float, without: frozenset[OpeningKey] = frozenset()) -> Weights:
        """Return weights by pool at an instant, as if the openings in `without` were not there.

        Raises
        ------
        KeyError
            There is no such route.
        """
        if route not in self.routes:
            return self.base[route]
        step = self.step(route, at)
        if without and not without.isdisjoint((opened.window, opened.opens) for opened in step.open):
            remaining = [opened for opened in step.open if (opened.window, opened.opens) not in without]
            return self._layer_weights(route, _to_microseconds(step.at), remaining)
        return step.weights

    def step(self, route: str, at: float) -> WeightStep:
        """Return the step that an instant is in, of a route that has windows.

        A day begins a new step, so its `at` may be the beginning of a day.
        """
        instant = _to_microseconds(at)
        starts, steps = self._day(instant // DAY_MICROSECONDS)[route]
        return steps[bisect_right(starts, instant) - 1]

    def changes(self, after: float, before: float) -> Iterator[WeightStep]:
        """Yield all changes of weights after `after` and before `before`, in order of time and route."""
        first, last = _to_microseconds(after), _to_microseconds(before)
        current = {route: self.step(route, after).weights for route in self.routes}
        for day in range(first // DAY_MICROSECONDS, (last - 1) // DAY_MICROSECONDS + 1):
            found = [
                (start, step)
                for starts, steps in self._day(day).values()
                for start, step in zip(starts, steps, strict=True)
                if first < start < last
            ]
            for _, step in sorted(found, key=lambda item: (item[0], item[1].route)):
                if step.weights != current[step.route]:
                    current[step.route] = step.weights
                    yield step

    def next_change(self, at: float) -> float:
        """Return the next instant after `at` at which weights change, infinite beyond the lookahead."""
        return next((step.at for step in self.changes(at, at + LOOKAHEAD_SECONDS)), inf)

    def next_mark(self, at: float) -> float:
        """Return the next instant after `at` at which anything may change, also below an open window.

        Whoever leaves a window out has to look again then; the next day's beginning at the latest.
        """
        instant = _to_microseconds(at)
        day = instant // DAY_MICROSECONDS
        marks = [(day + 1) * DAY_MICROSECONDS]
        for starts, _ in self._day(day).values():
            marks += starts[bisect_right(starts, instant) :][:1]
        return min(marks) / MICROSECONDS

    def marks(self, window: str, after: float, before: float) -> list[float]:
        """Return when a window opens, closes or steps in that interval, ascending."""
        found = self.windows[window]
        first, last = _to_microseconds(after), _to_microseconds(before)
        marks: set[int] = set()
        for opening in found.openings((first - found.length) // MICROSECONDS, -(-last // MICROSECONDS)):
            hold = found.plan.when_cut == "hold"
            opened = OpenWindow(window, opening.opens / MICROSECONDS, opening.closes / MICROSECONDS, hold)
            marks.update(self._marks(opened))
        return [mark / MICROSECONDS for mark in sorted(marks) if first <= mark < last]

    # Computation, in Unix microseconds

    def _day(self, day: int) -> dict[str, _DaySteps]:
        found = self.days.get(day)
        if found is None:
            while len(self.days) >= MAX_DAYS:
                del self.days[next(iter(self.days))]
            day_start = day * DAY_MICROSECONDS
            found = self.days[day] = {route: self._day_steps(route, day_start) for route in self.routes}
        return found

    def _openings(self, route: str, after: int, before: int) -> list[OpenWindow]:
        """Return openings with an instant from `after` to just before `before`, the lowest priority first."""
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
                name,
                opens / MICROSECONDS,
                closes / MICROSECONDS,
                self.windows[name].plan.when_cut == "hold",
            )
            for _, opens, name, closes in sorted(found)
        ]

    def _day_steps(self, route: str, day_start: int) -> _DaySteps:
        day_end = day_start + DAY_MICROSECONDS
        openings = self._openings(route, day_start, day_end)
        marks = {day_start}
        for opening in openings:
            marks.update(mark for mark in self._marks(opening) if day_start < mark < day_end)
        starts = sorted(marks)
        steps: list[WeightStep] = []
        for start in starts:
            opened = tuple(
                opening
                for opening in openings
                if _to_microseconds(opening.opens) <= start < _to_microseconds(opening.closes)
            )
            weights = self._layer_weights(route, start, opened)
            steps.append(WeightStep(start / MICROSECONDS, route, weights, opened))
        return _DaySteps(starts, steps)

    def _marks(self, opening: OpenWindow) -> list[int]:
        """Return all instants at which an opening changes anything."""
        opens, closes = _to_microseconds(opening.opens), _to_microseconds(opening.closes)
        marks = [opens, closes]
        ramp = self.windows[opening.window].plan.ramp
        if ramp is not None:
            every = _to_microseconds(ramp.every)
            marks += [opens + k * every for k in range(1, ramp.steps)]
            marks += [closes - k * every for k in range(1, ramp.steps)]
        return marks

    def _layer_weights(self, route: str, instant: int, opened: Sequence[OpenWindow]) -> Weights:
        """Return the weights at an instant with these windows, each blended over those before it."""
        weights = self.base[route]
        for opening in opened:
            plan = self.windows[opening.window].plan
            level, of = 1, 1
            if plan.ramp is not None:
                every, of = _to_microseconds(plan.ramp.every), plan.ramp.steps
                steps_in = (instant - _to_microseconds(opening.opens)) // every + 1
                steps_out = -(-(_to_microseconds(opening.closes) - instant) // every)
                level = min(of, steps_in, steps_out)
            weights = dict(plan.weights) if level == of else blend(weights, plan.weights, level, of)
        return weights


def _to_microseconds(unix: float) -> int:
    return round(unix * MICROSECONDS)
