"""The weights of a route at each instant: a pure function of the plan, so identical at every sidecar.

Weights are layered: the route's base weights are the lowest layer, and open windows are stacked on it by
priority. During a ramp, a window has k of n steps of the total share, and the rest goes to the layers below
*at that instant*, so that a change below shows in proportion. Ramps lie within the window: step 1 of n is at
its opening, the last `n - 1` intervals of `every` seconds before its close lead back, and from its close on
the window has no share.

Steps are computed on demand for whole days of Unix time, cached, and looked up by bisection. Internally
instants are integers in microseconds, so that rounding cannot put two sidecars on different sides of a step.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterator, Mapping, Sequence
from math import gcd, inf
from typing import NamedTuple

from wheatring.fleet.plan.document import Plan
from wheatring.fleet.schedule.windows import MICROSECONDS, Window

DAY_MICROSECONDS = 86_400 * MICROSECONDS
MAX_DAYS = 16  # number of days with cached steps
LOOKAHEAD_SECONDS = 2 * 86_400.0  # limit of `next_change`
WEIGHT_PARTS = 1_000_000  # sum of blended weights if the exact ones are larger

Weights = dict[str, int]
OpeningKey = tuple[str, float]  # window name, and its opening in Unix seconds


class OpenWindow(NamedTuple):
    """One opening of a window, in Unix seconds; `hold` is set if its `when_cut` is `hold`."""

    window: str
    opens: float
    closes: float
    hold: bool


class WeightStep(NamedTuple):
    """A route's weights from `at` (Unix seconds) on; `open` are the open windows, lowest priority first."""

    at: float
    route: str
    weights: Weights
    open: tuple[OpenWindow, ...]


class _DaySteps(NamedTuple):
    """The steps of a route in one day, and their starts in Unix microseconds."""

    starts: list[int]
    steps: list[WeightStep]


def blend(base: Mapping[str, int], overlay: Mapping[str, int], part: int, of: int) -> Weights:
    """Return weights that give the share `part / of` to `overlay` and the rest to `base`.

    The sums of the two may differ. The result is exact and in the smallest integers; if their sum exceeds
    `WEIGHT_PARTS`, it is rounded to that sum by largest remainders, ties by name.
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
    """The weights of a plan that `validation.validate_windows` accepted."""

    def __init__(self, plan: Plan) -> None:
        self.base: dict[str, Weights] = {route.name: dict(route.weights) for route in plan.routes}
        self.windows: dict[str, Window] = {window.name: Window(window) for window in plan.windows}
        self.routes: dict[str, list[Window]] = {}  # windows by route; only routes with windows
        for window in self.windows.values():
            self.routes.setdefault(window.definition.route, []).append(window)
        self.days: dict[int, dict[str, _DaySteps]] = {}

    # Queries, in Unix seconds

    def weights(self, route: str, at: float, excluded: frozenset[OpeningKey] = frozenset()) -> Weights:
        """Return the weights by pool at an instant, ignoring the openings in `excluded`.

        Raises
        ------
        KeyError
            The route does not exist.
        """
        if route not in self.routes:
            return self.base[route]
        step = self.step(route, at)
        if excluded and not excluded.isdisjoint(
            (open_window.window, open_window.opens) for open_window in step.open
        ):
            remaining = [
                open_window
                for open_window in step.open
                if (open_window.window, open_window.opens) not in excluded
            ]
            return self._layer_weights(route, _to_microseconds(step.at), remaining)
        return step.weights

    def step(self, route: str, at: float) -> WeightStep:
        """Return the step that contains an instant; the route must have windows.

        Each day begins a new step, so the step's `at` may be the start of the day.
        """
        instant = _to_microseconds(at)
        starts, steps = self._day(instant // DAY_MICROSECONDS)[route]
        return steps[bisect_right(starts, instant) - 1]

    def changes(self, after: float, before: float) -> Iterator[WeightStep]:
        """Yield all changes of weights after `after` and before `before`, sorted by time and route."""
        first, last = _to_microseconds(after), _to_microseconds(before)
        current = {route: self.step(route, after).weights for route in self.routes}
        for day in range(first // DAY_MICROSECONDS, (last - 1) // DAY_MICROSECONDS + 1):
            day_changes = [
                (start, step)
                for starts, steps in self._day(day).values()
                for start, step in zip(starts, steps, strict=True)
                if first < start < last
            ]
            for _, step in sorted(day_changes, key=lambda item: (item[0], item[1].route)):
                if step.weights != current[step.route]:
                    current[step.route] = step.weights
                    yield step

    def next_change(self, at: float) -> float:
        """Return the next instant after `at` at which weights change; infinite if beyond the lookahead."""
        return next((step.at for step in self.changes(at, at + LOOKAHEAD_SECONDS)), inf)

    def next_edge(self, at: float) -> float:
        """Return the next instant after `at` at which any layer may change, or the next day's start.

        Callers that exclude an open window must evaluate the weights again then.
        """
        instant = _to_microseconds(at)
        day = instant // DAY_MICROSECONDS
        edges = [(day + 1) * DAY_MICROSECONDS]
        for starts, _ in self._day(day).values():
            edges += starts[bisect_right(starts, instant) :][:1]
        return min(edges) / MICROSECONDS

    def edges(self, window: str, after: float, before: float) -> list[float]:
        """Return when a window opens, closes or steps in an interval, ascending."""
        parsed_window = self.windows[window]
        first, last = _to_microseconds(after), _to_microseconds(before)
        edges: set[int] = set()
        for opening in parsed_window.openings(
            (first - parsed_window.length) // MICROSECONDS, -(-last // MICROSECONDS)
        ):
            hold = parsed_window.definition.when_cut == "hold"
            open_window = OpenWindow(
                window, opening.opens / MICROSECONDS, opening.closes / MICROSECONDS, hold
            )
            edges.update(self._edges(open_window))
        return [edge / MICROSECONDS for edge in sorted(edges) if first <= edge < last]

    # Computation, in Unix microseconds

    def _day(self, day: int) -> dict[str, _DaySteps]:
        day_steps = self.days.get(day)
        if day_steps is None:
            while len(self.days) >= MAX_DAYS:
                del self.days[next(iter(self.days))]
            day_start = day * DAY_MICROSECONDS
            day_steps = self.days[day] = {route: self._day_steps(route, day_start) for route in self.routes}
        return day_steps

    def _openings(self, route: str, after: int, before: int) -> list[OpenWindow]:
        """Return the openings that overlap the interval from `after` to `before`, lowest priority first."""
        overlapping = [
            (window.definition.priority, opening.opens, window.definition.name, opening.closes)
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
                self.windows[name].definition.when_cut == "hold",
            )
            for _, opens, name, closes in sorted(overlapping)
        ]

    def _day_steps(self, route: str, day_start: int) -> _DaySteps:
        day_end = day_start + DAY_MICROSECONDS
        openings = self._openings(route, day_start, day_end)
        edges = {day_start}
        for opening in openings:
            edges.update(edge for edge in self._edges(opening) if day_start < edge < day_end)
        starts = sorted(edges)
        steps: list[WeightStep] = []
        for start in starts:
            open_windows = tuple(
                opening
                for opening in openings
                if _to_microseconds(opening.opens) <= start < _to_microseconds(opening.closes)
            )
            weights = self._layer_weights(route, start, open_windows)
            steps.append(WeightStep(start / MICROSECONDS, route, weights, open_windows))
        return _DaySteps(starts, steps)

    def _edges(self, opening: OpenWindow) -> list[int]:
        """Return all instants at which an opening opens, closes or steps."""
        opens, closes = _to_microseconds(opening.opens), _to_microseconds(opening.closes)
        edges = [opens, closes]
        ramp = self.windows[opening.window].definition.ramp
        if ramp is not None:
            every = _to_microseconds(ramp.every)
            edges += [opens + k * every for k in range(1, ramp.steps)]
            edges += [closes - k * every for k in range(1, ramp.steps)]
        return edges

    def _layer_weights(self, route: str, instant: int, open_windows: Sequence[OpenWindow]) -> Weights:
        """Return the weights at an instant with these windows, each blended over the previous ones."""
        weights = self.base[route]
        for opening in open_windows:
            definition = self.windows[opening.window].definition
            level, of = 1, 1
            if definition.ramp is not None:
                every, of = _to_microseconds(definition.ramp.every), definition.ramp.steps
                steps_in = (instant - _to_microseconds(opening.opens)) // every + 1
                steps_out = -(-(_to_microseconds(opening.closes) - instant) // every)
                level = min(of, steps_in, steps_out)
            weights = (
                dict(definition.weights) if level == of else blend(weights, definition.weights, level, of)
            )
        return weights


def _to_microseconds(unix: float) -> int:
    return round(unix * MICROSECONDS)
