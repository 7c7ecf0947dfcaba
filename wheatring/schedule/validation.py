"""Whether the windows of a plan are in order. A function of the plan alone, so all sidecars find the same.

Overlaps of one priority are looked for in what is open within `HORIZON` of any start of a window on the same
route: rules that come back yearly are seen once. What would meet only later is not found, and then the one
that opened first lies below. What this file guards besides: no plan may cost a sidecar more than so much
work.
"""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta
from itertools import pairwise

from wheatring.plan.document import Plan, PlanWindow
from wheatring.schedule.errors import (
    WindowExceptionUnusedError,
    WindowNameDuplicateError,
    WindowNeverOpensError,
    WindowOverlapError,
    WindowRampTooLongError,
    WindowRouteUnknownError,
    WindowsTooManyStepsError,
    WindowWeightsEmptyError,
)
from wheatring.schedule.timetable import MICROSECONDS
from wheatring.schedule.windows import LOCAL_TIME_FORMAT, SEARCH_YEARS, Opening, Window
from wheatring.schedule.zones import to_unix

OVERLAP_HORIZON_SECONDS = 400 * 86_400  # seconds
MAX_STEPS_PER_DAY = 20_000  # steps a day of all windows of a plan
MAX_OPENINGS = 100_000  # openings looked at in one check


def validate_windows(plan: Plan) -> None:
    """Raises the first of `errors.WindowError`s, in the order of the plan's windows; overlaps come last."""
    names: set[str] = set()
    routes = {route.name: route for route in plan.routes}
    windows: list[Window] = []
    for one in plan.windows:
        where = f"windows.{one.name}"
        if one.name in names:
            raise WindowNameDuplicateError(f"{where}: two windows are called so")
        names.add(one.name)
        if one.route not in routes:
            raise WindowRouteUnknownError(f"{where}: route: there is no route {one.route!r}")
        if not any(one.weights.values()):
            raise WindowWeightsEmptyError(f"{where}: weights: {len(one.weights)} pools and none above 0")
        if not any(routes[one.route].weights.values()):
            raise WindowWeightsEmptyError(
                f"routes.{one.route}: weights: none above 0, and {one.name} goes back to them"
            )
        _ramp(where, one)
        window = Window(one)
        _exceptions(where, window)
        if not window.opens_ever():
            raise WindowNeverOpensError(
                f"{where}: {one.rrule or 'once'}: no opening within {SEARCH_YEARS} years of its start"
            )
        windows.append(window)
    steps = sum(_steps(window) for window in windows)
    if steps > MAX_STEPS_PER_DAY:
        raise WindowsTooManyStepsError(f"windows: {steps} steps a day, {MAX_STEPS_PER_DAY} are the most")
    _overlaps(windows)


def _ramp(where: str, window: PlanWindow) -> None:
    if window.ramp is None:
        return
    both = 2 * (window.ramp.steps - 1) * window.ramp.every
    if both >= window.length:
        raise WindowRampTooLongError(
            f"{where}: ramp: takes {both:g} s in and out, the window lasts {window.length:g} s"
        )


def _exceptions(where: str, window: Window) -> None:
    for text, left_out in zip(
        window.plan.except_, map(window.parse_exception, window.plan.except_), strict=True
    ):
        unix = to_unix(left_out, window.zone)
        if all(found != left_out for _, found in window.occurrences(unix, unix + 1)):
            raise WindowExceptionUnusedError(
                f"{where}: except_: it does not open at {text} in {window.plan.zone}"
            )


def _steps(window: Window) -> int:
    """Of one day, at most."""
    ramp = window.plan.ramp
    openings = 1 if window.rule is None else window.rule.openings_per_day
    return openings * (2 if ramp is None else 2 * ramp.steps)


def _overlaps(windows: Iterable[Window]) -> None:
    groups: dict[tuple[str, int], list[Window]] = {}
    for window in windows:
        groups.setdefault((window.plan.route, window.plan.priority), []).append(window)
    looked = 0
    for group in groups.values():
        if len(group) == 1 and _apart(group[0]):
            continue
        found: list[tuple[Opening, str]] = []
        for after, before in _spans(sorted(window.start_unix for window in group)):
            for window in group:
                here = window.openings(after, before)
                looked += len(here)
                if looked > MAX_OPENINGS:
                    raise WindowsTooManyStepsError(
                        f"windows: more than {MAX_OPENINGS} openings to look at for overlaps"
                    )
                found += [(opening, window.plan.name) for opening in here]
        for (one, name), (other, with_) in pairwise(sorted(found)):
            if other.opens < one.closes:
                both = f"{name} and {with_}" if name != with_ else f"{name} and itself"
                at = f"{other.start.strftime(LOCAL_TIME_FORMAT)} ({(one.closes - other.opens) / MICROSECONDS:g} s)"
                raise WindowOverlapError(f"windows: {both} overlap at {at}, with one priority on one route")


def _apart(window: Window) -> bool:
    """Whether it surely never meets itself: it opens once a day at most, at one local time."""
    return window.rule is None or (window.rule.openings_per_day == 1 and window.plan.length < 20 * 3600)


def _spans(firsts: list[int]) -> list[tuple[int, int]]:
    """What is within the horizon of any of these, in pieces that do not touch."""
    day = round(timedelta(days=1).total_seconds())
    spans: list[tuple[int, int]] = []
    for first in firsts:
        if spans and first - day <= spans[-1][1]:
            spans[-1] = spans[-1][0], first + OVERLAP_HORIZON_SECONDS
        else:
            spans.append((first - day, first + OVERLAP_HORIZON_SECONDS))
    return spans
