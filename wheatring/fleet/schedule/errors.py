"""The errors in the windows of a plan.

Codes and texts are part of the operators' interface (`docs/operate/errors.md`) and must not change.
"""

from __future__ import annotations

from wheatring.common.errors import OperatorError


class WindowError(OperatorError):
    """Base of all errors in the windows of a plan."""


class WindowRouteUnknownError(WindowError):
    """A window refers to a route that is not in the plan."""

    code = "window-route-unknown"
    do = "Name a route of the same plan."


class WindowNameDuplicateError(WindowError):
    """Two windows have the same name."""

    code = "window-twice"
    do = "Give each window a name of its own."


class WindowWeightsEmptyError(WindowError):
    """A window, or the route whose weights apply after it, has no weight above 0."""

    code = "window-weights-empty"
    do = "Give at least one pool a weight above 0."


class WindowZoneUnknownError(WindowError):
    """The time zone is not in the pinned `tzdata` package."""

    code = "window-zone-unknown"
    do = "Name a zone of the IANA database, as Europe/Dublin."


class WindowStartUnreadableError(WindowError):
    """The start is not a local time from 1970 to 2199."""

    code = "window-start-unreadable"
    do = "Write a local time that there is, from 1970 to 2199, as 2026-10-25T01:30:00."


class WindowRuleUnreadableError(WindowError):
    """The recurrence rule violates RFC 5545, or combines parts that this program does not support."""

    code = "window-rule-unreadable"
    do = "Write one rule as RFC 5545 spells it, as FREQ=WEEKLY;BYDAY=MO,TU, and UNTIL in UTC."


class WindowRuleTooOftenError(WindowError):
    """The rule opens more often than `recurrence.MAX_OPENINGS_PER_DAY`."""

    code = "window-rule-too-often"
    do = "Let it open less often, or make one long window of many short ones."


class WindowRuleTooLongError(WindowError):
    """The rule's COUNT or one of its lists is too expensive to evaluate."""

    code = "window-rule-too-long"
    do = "Use a COUNT or a list that is shorter, or UNTIL instead."


class WindowNeverOpensError(WindowError):
    """The window has no opening within `windows.SEARCH_YEARS` of its start."""

    code = "window-never-opens"
    do = "Correct the rule, its UNTIL, or the exceptions."


class WindowExceptionUnreadableError(WindowError):
    """An exception is not a local time."""

    code = "window-exception-unreadable"
    do = "Write an exception as the window's start is, in the window's own zone."


class WindowExceptionUnusedError(WindowError):
    """An exception does not match any opening of its window."""

    code = "window-exception-idle"
    do = "Name the very start that is to be left out, in the window's own zone, or drop the exception."


class WindowOverlapError(WindowError):
    """Two openings with the same priority overlap on one route."""

    code = "window-overlap"
    do = "Give one of them another priority, or make it shorter."


class WindowRampTooLongError(WindowError):
    """The two ramps together are not shorter than the window."""

    code = "window-ramp-too-long"
    do = "Take fewer steps, or steps that are closer together, so that both ramps fit into the window."


class WindowsTooManyStepsError(WindowError):
    """The windows of a plan are too expensive for a sidecar to evaluate."""

    code = "windows-too-busy"
    do = "Use fewer windows, or ramps of fewer steps, or rules that begin later."
