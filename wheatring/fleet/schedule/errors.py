"""What may be wrong with the windows of a plan.

Codes and sentences are part of the operators' interface (`docs/operate/errors.md`) and don't change.
"""

from __future__ import annotations

from wheatring.common.errors import OperatorError


class WindowError(OperatorError):
    """A plan whose windows are refused; base of all errors here."""


class WindowRouteUnknownError(WindowError):
    """A window names a route that the plan doesn't have."""

    code = "window-route-unknown"
    do = "Name a route of the same plan."


class WindowNameDuplicateError(WindowError):
    """Two windows have one name."""

    code = "window-twice"
    do = "Give each window a name of its own."


class WindowWeightsEmptyError(WindowError):
    """A window, or the route that it goes back to, has no weight above 0."""

    code = "window-weights-empty"
    do = "Give at least one pool a weight above 0."


class WindowZoneUnknownError(WindowError):
    """The time zone is not in the pinned database."""

    code = "window-zone-unknown"
    do = "Name a zone of the IANA database, as Europe/Dublin."


class WindowStartUnreadableError(WindowError):
    """The start is no local time from 1970 to 2199."""

    code = "window-start-unreadable"
    do = "Write a local time that there is, from 1970 to 2199, as 2026-10-25T01:30:00."


class WindowRuleUnreadableError(WindowError):
    """The recurrence rule is not what RFC 5545 allows, or combines parts that this program refuses."""

    code = "window-rule-unreadable"
    do = "Write one rule as RFC 5545 spells it, as FREQ=WEEKLY;BYDAY=MO,TU, and UNTIL in UTC."


class WindowRuleTooOftenError(WindowError):
    """The rule opens more often than `recurrence.MAX_OPENINGS_PER_DAY`."""

    code = "window-rule-too-often"
    do = "Let it open less often, or make one long window of many short ones."


class WindowRuleTooLongError(WindowError):
    """The rule's COUNT or one of its lists takes too long to work out."""

    code = "window-rule-too-long"
    do = "Use a COUNT or a list that is shorter, or UNTIL instead."


class WindowNeverOpensError(WindowError):
    """The window has no opening within `windows.SEARCH_YEARS` of its start."""

    code = "window-never-opens"
    do = "Correct the rule, its UNTIL, or the exceptions."


class WindowExceptionUnreadableError(WindowError):
    """An exception is no local time."""

    code = "window-exception-unreadable"
    do = "Write an exception as the window's start is, in the window's own zone."


class WindowExceptionUnusedError(WindowError):
    """An exception is at no opening of its window."""

    code = "window-exception-idle"
    do = "Name the very start that is to be left out, in the window's own zone, or drop the exception."


class WindowOverlapError(WindowError):
    """Two openings of one priority on one route overlap."""

    code = "window-overlap"
    do = "Give one of them another priority, or make it shorter."


class WindowRampTooLongError(WindowError):
    """Both ramps take longer than the window lasts."""

    code = "window-ramp-too-long"
    do = "Take fewer steps, or steps that are closer together, so that both ramps fit into the window."


class WindowsTooManyStepsError(WindowError):
    """The windows of a plan take more work than a sidecar may spend on them."""

    code = "windows-too-busy"
    do = "Use fewer windows, or ramps of fewer steps, or rules that begin later."
