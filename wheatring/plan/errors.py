"""The ways in which a plan is refused or not settled, each with its code and what to do."""

from __future__ import annotations

from wheatring.errors import OperatorError


class PlanUnreadableError(OperatorError):
    code = "plan-unreadable"
    do = "Correct the key that is named and push again."


class PlanTooLargeError(OperatorError):
    code = "plan-too-large"
    do = "Leave out routes, windows or trials until it fits."


class PlanFormatUnknownError(OperatorError):
    code = "plan-format-unknown"
    do = "Write it in a format that all sidecars read, or bring the older ones up to date first."


class PlanFormatTooLowError(OperatorError):
    code = "plan-format-too-low"
    do = "State the format that the key needs, or leave the key out."


class PlanRoutesClashError(OperatorError):
    code = "plan-routes-clash"
    do = "Give each route a name and conditions of its own."


class PlanWeightsEmptyError(OperatorError):
    code = "plan-weights-empty"
    do = "Give one pool at least a weight above 0."


class PlanWindowUnknownRouteError(OperatorError):
    code = "plan-window-unknown-route"
    do = "Name a route of the same plan in the window."


class PlanWindowUnknownPoolError(OperatorError):
    code = "plan-window-unknown-pool"
    do = "Name only pools that the window's route has; one that is to get nothing else there has weight 0."


class PlanWindowsClashError(OperatorError):
    code = "plan-windows-clash"
    do = "Give each window a name of its own."


class PlanRolloutInProgressError(OperatorError):
    code = "plan-push-under-way"
    do = "Wait until that one is settled or refused, then look at the plan and push again."


class PlanOvertakenError(OperatorError):
    code = "plan-overtaken"
    do = "Look at the plan that is settled now, and push again if yours is to take its place."


class PlanNotFetchedError(OperatorError):
    code = "plan-not-fetched"
    do = "Look whether the leader reaches the sidecar it was pushed at; push again, at another one if not."


class PlanNotStoredError(OperatorError):
    code = "plan-not-whole"
    do = "Look at the sidecars named, take out or bring back those that are gone, and push again."


class PlanMembersLostError(OperatorError):
    code = "plan-members-lost"
    do = "Find out why so many went, then push again to those that are there."


class PlanNotCheckedError(OperatorError):
    code = "plan-not-judged"
    do = "Look at the sidecars that have not answered, and push again."


class PlanViewUnstableError(OperatorError):
    code = "plan-view-moved-too-often"
    do = "Wait until the members stay as they are, and push again."


class PlanNoViewError(OperatorError):
    code = "plan-no-view"
    do = "Wait until this sidecar stands in a view (`fleet show`), or push at one that does."


class PlanNotCommittedError(OperatorError):
    code = "plan-not-kept"
    do = "It may settle yet; bring back a majority of the voters and look again."


class PlanLeaderLostError(OperatorError):
    code = "plan-leader-lost"
    do = "Look at the plan's number first, as it may have been settled; push again if it was not."
