"""What may be wrong with the windows of a plan: one error for each way of refusal."""

from __future__ import annotations

from wheatring.errors import OperatorError


class WindowError(OperatorError):
    """What all of these are: a plan whose windows are refused."""


class WindowRouteUnknownError(WindowError):
    code = "window-route-unknown"
    do = "Name a route of the same plan."


class WindowNameDuplicateError(WindowError):
    code = "window-twice"
    do = "Give each window a name of its own."


class WindowWeightsEmptyError(WindowError):
    code = "window-weights-empty"
    do = "Give at least one pool a weight above 0."


class WindowZoneUnknownError(WindowError):
    code = "window-zone-unknown"
    do = "Name a zone of the IANA database, as Europe/Dublin."


class WindowStartUnreadableError(WindowError):
    code = "window-start-unreadable"
    do = "Write a local time that there is, from 1970 to 2199, as 2026-10-25T01:30:00."


class WindowRuleUnreadableError(WindowError):
    code = "window-rule-unreadable"
    do = "Write one rule as RFC 5545 spells it, as FREQ=WEEKLY;BYDAY=MO,TU, and UNTIL in UTC."


class WindowRuleTooOftenError(WindowError):
    code = "window-rule-too-often"
    do = "Let it open less often, or make one long window of many short ones."


class WindowRuleTooLongError(WindowError):
    code = "window-rule-too-long"
    do = "Use a COUNT or a list that is shorter, or UNTIL instead."


class WindowNeverOpensError(WindowError):
    code = "window-never-opens"
    do = "Correct the rule, its UNTIL, or the exceptions."


class WindowExceptionUnreadableError(WindowError):
    code = "window-exception-unreadable"
    do = "Write an exception as the window's start is, in the window's own zone."


class WindowExceptionUnusedError(WindowError):
    code = "window-exception-idle"
    do = "Name the very start that is to be left out, in the window's own zone, or drop the exception."


class WindowOverlapError(WindowError):
    code = "window-overlap"
    do = "Give one of them another priority, or make it shorter."


class WindowRampTooLongError(WindowError):
    code = "window-ramp-too-long"
    do = "Take fewer steps, or steps that are closer together, so that both ramps fit into the window."


class WindowsTooManyStepsError(WindowError):
    code = "windows-too-busy"
    do = "Use fewer windows, or ramps of fewer steps, or rules that begin later."
