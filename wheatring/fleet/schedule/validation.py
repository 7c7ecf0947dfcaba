"""Validation of a plan's windows. It depends on the plan alone, so all sidecars get the same result.

Overlaps of windows with the same priority and route are searched for within `OVERLAP_HORIZON_SECONDS` of the
start of each such window, so a yearly rule is covered once. An overlap that occurs only later is not
detected; then the window that opened last takes precedence. The validation also bounds the work that a plan
may cost a sidecar.
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
MAX_STEPS_PER_DAY = 20_000  # limit on the weight changes of all windows of a plan
MAX_OPENINGS = 100_000  # limit on the openings that one validation searches for overlaps
ONCE_A_DAY_SECONDS = 20 * 3600  # a daily window shorter than this never overlaps itself


def validate_windows(plan: Plan) -> None:
    """Check all windows of a plan in order, then their overlaps.

    Raises
    ------
    WindowError
        The first error that is found.
    """
    names: set[str] = set()
    routes = {route.name: route for route in plan.routes}
    windows: list[Window] = []
    for definition in plan.windows:
        where = f"windows.{definition.name}"
        if definition.name in names:
            raise WindowNameDuplicateError(f"{where}: two windows are called so")
        names.add(definition.name)
        windows.append(_validate_window(where, definition, routes))
    steps = sum(_steps_per_day(window) for window in windows)
    if steps > MAX_STEPS_PER_DAY:
        raise WindowsTooManyStepsError(f"windows: {steps} steps a day, {MAX_STEPS_PER_DAY} are the most")
    _reject_overlaps(windows)


def _validate_window(where: str, definition: PlanWindow, routes: dict[str, PlanRoute]) -> Window:
    """Check one window and its route; return the parsed window."""
    if definition.route not in routes:
        raise WindowRouteUnknownError(f"{where}: route: there is no route {definition.route!r}")
    if not any(definition.weights.values()):
        raise WindowWeightsEmptyError(f"{where}: weights: {len(definition.weights)} pools and none above 0")
    if not any(routes[definition.route].weights.values()):
        what = f"weights: none above 0, and {definition.name} goes back to them"
        raise WindowWeightsEmptyError(f"routes.{definition.route}: {what}")
    _validate_ramp(where, definition)
    window = Window(definition)
    _validate_exceptions(where, window)
    if not window.ever_opens():
        rule = definition.rrule or "once"
        what = f"no opening within {SEARCH_YEARS} years of its start"
        raise WindowNeverOpensError(f"{where}: {rule}: {what}")
    return window


def _validate_ramp(where: str, window: PlanWindow) -> None:
    if window.ramp is None:
        return
    ramp_seconds = 2 * (window.ramp.steps - 1) * window.ramp.every
    if ramp_seconds >= window.length:
        what = f"takes {ramp_seconds:g} s in and out, the window lasts {window.length:g} s"
        raise WindowRampTooLongError(f"{where}: ramp: {what}")


def _validate_exceptions(where: str, window: Window) -> None:
    """Check that each exception matches an opening; one that matches none is a mistake."""
    texts = window.definition.except_
    for text, exception in zip(texts, map(window.parse_exception, texts), strict=True):
        unix = to_unix(exception, window.zone)
        if all(local_time != exception for _, local_time in window.occurrences(unix, unix + 1)):
            what = f"it does not open at {text} in {window.definition.zone}"
            raise WindowExceptionUnusedError(f"{where}: except_: {what}")


def _steps_per_day(window: Window) -> int:
    """Return the maximum number of weight changes of a window in one day."""
    ramp = window.definition.ramp
    openings = 1 if window.rule is None else window.rule.openings_per_day
    return openings * (2 if ramp is None else 2 * ramp.steps)


def _reject_overlaps(windows: Iterable[Window]) -> None:
    groups: dict[tuple[str, int], list[Window]] = {}
    for window in windows:
        groups.setdefault((window.definition.route, window.definition.priority), []).append(window)
    opening_count = 0
    for group in groups.values():
        if len(group) == 1 and _never_overlaps_itself(group[0]):
            continue
        openings: list[tuple[Opening, str]] = []
        for after, before in _search_spans(sorted(window.start_unix for window in group)):
            for window in group:
                span_openings = window.openings(after, before)
                opening_count += len(span_openings)
                if opening_count > MAX_OPENINGS:
                    what = f"more than {MAX_OPENINGS} openings to look at for overlaps"
                    raise WindowsTooManyStepsError(f"windows: {what}")
                openings += [(opening, window.definition.name) for opening in span_openings]
        _reject_overlap_in(sorted(openings))


def _reject_overlap_in(openings: list[tuple[Opening, str]]) -> None:
    """Raise an error for the first two overlapping openings; each is paired with its window's name."""
    for (earlier, name), (later, other_name) in pairwise(openings):
        if later.opens < earlier.closes:
            names = f"{name} and {other_name}" if name != other_name else f"{name} and itself"
            seconds = (earlier.closes - later.opens) / MICROSECONDS
            at = f"{later.start.strftime(LOCAL_TIME_FORMAT)} ({seconds:g} s)"
            raise WindowOverlapError(f"windows: {names} overlap at {at}, with one priority on one route")


def _never_overlaps_itself(window: Window) -> bool:
    """Whether a window certainly never overlaps itself: it is short and opens at most once a day."""
    if window.rule is None:
        return True
    return window.rule.openings_per_day == 1 and window.definition.length < ONCE_A_DAY_SECONDS


def _search_spans(starts: list[int]) -> list[tuple[int, int]]:
    """Return the merged spans within the horizon of these ascending starts, all in Unix seconds."""
    day = round(timedelta(days=1).total_seconds())
    spans: list[tuple[int, int]] = []
    for start in starts:
        if spans and start - day <= spans[-1][1]:
            spans[-1] = spans[-1][0], start + OVERLAP_HORIZON_SECONDS
        else:
            spans.append((start - day, start + OVERLAP_HORIZON_SECONDS))
    return spans
