"""Whether the windows of a plan are valid: a function of the plan alone, so that all sidecars find the same.

Overlaps of one priority are looked for within `OVERLAP_HORIZON_SECONDS` of any start of a window on the same
route: rules that recur yearly are seen once. An overlap that comes only later is not found; there the window
that opened first lies below. Besides, no plan may cost a sidecar more than a bounded amount of work.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from itertools import pairwise

from wheatring.fleet.plan.document import Plan, PlanRoute, PlanWindow
from wheatring.fleet.schedule.errors import (
    WindowExceptionUnusedError,
    WindowNameDuplicateError,
    WindowNeverOpensError,
    WindowOverlapError,
    WindowRampTooLongError,
    WindowRouteUnknownError,
    WindowsTooManyStepsError,
    WindowWeightsEmptyError,
)
from wheatring.fleet.schedule.windows import LOCAL_TIME_FORMAT, MICROSECONDS, SEARCH_YEARS, Opening, Window
from wheatring.fleet.schedule.zones import to_unix

OVERLAP_HORIZON_SECONDS = 400 * 86_400
MAX_STEPS_PER_DAY = 20_000  # of all windows of a plan
MAX_OPENINGS = 100_000  # that one validation looks at
ONCE_A_DAY_SECONDS = 20 * 3600  # a daily window shorter than this never overlaps itself


def validate_windows(plan: Plan) -> None:
    """Check all windows of a plan, in their order; overlaps come last.

    Raises
    ------
    WindowError
        The first thing that is wrong.
    """
    names: set[str] = set()
    routes = {route.name: route for route in plan.routes}
    windows: list[Window] = []
    for planned in plan.windows:
        where = f"windows.{planned.name}"
        if planned.name in names:
            raise WindowNameDuplicateError(f"{where}: two windows are called so")
        names.add(planned.name)
        windows.append(_validate_window(where, planned, routes))
    steps = sum(_steps_per_day(window) for window in windows)
    if steps > MAX_STEPS_PER_DAY:
        raise WindowsTooManyStepsError(f"windows: {steps} steps a day, {MAX_STEPS_PER_DAY} are the most")
    _reject_overlaps(windows)


def _validate_window(where: str, planned: PlanWindow, routes: dict[str, PlanRoute]) -> Window:
    """Check one window by itself and against its route; return it parsed."""
    if planned.route not in routes:
        raise WindowRouteUnknownError(f"{where}: route: there is no route {planned.route!r}")
    if not any(planned.weights.values()):
        raise WindowWeightsEmptyError(f"{where}: weights: {len(planned.weights)} pools and none above 0")
    if not any(routes[planned.route].weights.values()):
        what = f"weights: none above 0, and {planned.name} goes back to them"
        raise WindowWeightsEmptyError(f"routes.{planned.route}: {what}")
    _validate_ramp(where, planned)
    window = Window(planned)
    _validate_exceptions(where, window)
    if not window.opens_ever():
        rule = planned.rrule or "once"
        what = f"no opening within {SEARCH_YEARS} years of its start"
        raise WindowNeverOpensError(f"{where}: {rule}: {what}")
    return window


def _validate_ramp(where: str, window: PlanWindow) -> None:
    if window.ramp is None:
        return
    both = 2 * (window.ramp.steps - 1) * window.ramp.every
    if both >= window.length:
        what = f"takes {both:g} s in and out, the window lasts {window.length:g} s"
        raise WindowRampTooLongError(f"{where}: ramp: {what}")


def _validate_exceptions(where: str, window: Window) -> None:
    """Check that each exception leaves out an opening: one that leaves out none is a mistake."""
    texts = window.plan.except_
    for text, exception in zip(texts, map(window.parse_exception, texts), strict=True):
        unix = to_unix(exception, window.zone)
        if all(found != exception for _, found in window.occurrences(unix, unix + 1)):
            what = f"it does not open at {text} in {window.plan.zone}"
            raise WindowExceptionUnusedError(f"{where}: except_: {what}")


def _steps_per_day(window: Window) -> int:
    """Return how many changes of weights a window has in one day, at most."""
    ramp = window.plan.ramp
    openings = 1 if window.rule is None else window.rule.openings_per_day
    return openings * (2 if ramp is None else 2 * ramp.steps)


def _reject_overlaps(windows: Iterable[Window]) -> None:
    groups: dict[tuple[str, int], list[Window]] = {}
    for window in windows:
        groups.setdefault((window.plan.route, window.plan.priority), []).append(window)
    seen = 0
    for group in groups.values():
        if len(group) == 1 and _never_overlaps_itself(group[0]):
            continue
        openings: list[tuple[Opening, str]] = []
        for after, before in _search_spans(sorted(window.start_unix for window in group)):
            for window in group:
                found = window.openings(after, before)
                seen += len(found)
                if seen > MAX_OPENINGS:
                    what = f"more than {MAX_OPENINGS} openings to look at for overlaps"
                    raise WindowsTooManyStepsError(f"windows: {what}")
                openings += [(opening, window.plan.name) for opening in found]
        _reject_overlap_in(sorted(openings))


def _reject_overlap_in(openings: list[tuple[Opening, str]]) -> None:
    """Raise for the first two openings, with the names of their windows, that overlap."""
    for (earlier, name), (later, other_name) in pairwise(openings):
        if later.opens < earlier.closes:
            both = f"{name} and {other_name}" if name != other_name else f"{name} and itself"
            seconds = (earlier.closes - later.opens) / MICROSECONDS
            at = f"{later.start.strftime(LOCAL_TIME_FORMAT)} ({seconds:g} s)"
            raise WindowOverlapError(f"windows: {both} overlap at {at}, with one priority on one route")


def _never_overlaps_itself(window: Window) -> bool:
    """Whether a window surely never overlaps itself: it opens once a day at most, at one local time."""
    if window.rule is None:
        return True
    return window.rule.openings_per_day == 1 and window.plan.length < ONCE_A_DAY_SECONDS


def _search_spans(starts: list[int]) -> list[tuple[int, int]]:
    """Return the spans, Unix seconds, within the horizon of any of these ascending starts, merged."""
    day = round(timedelta(days=1).total_seconds())
    spans: list[tuple[int, int]] = []
    for start in starts:
        if spans and start - day <= spans[-1][1]:
            spans[-1] = spans[-1][0], start + OVERLAP_HORIZON_SECONDS
        else:
            spans.append((start - day, start + OVERLAP_HORIZON_SECONDS))
    return spans
